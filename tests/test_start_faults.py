"""A router starts and reloads although its address is in use or its configuration can't be read for a while."""

from __future__ import annotations

import asyncio
import signal
from pathlib import Path

import pytest

from pearstall.lab.processes import RouterProcess
from pearstall.lab.rig import free_ports, platform_settings
from pearstall.lab.servers import LOCAL
from pearstall.lab.stations import Discovery

READY_SECONDS = 10.0
SERVER = {"name": "s0", "address": f"{LOCAL}:1", "zone": "here", "type": "toy", "group": 0, "status": "ready",
          "weight": 1.0, "since_ms": 0}  # fmt: skip


@pytest.mark.parametrize("faults", ['{"bind_failures": 4}', '{"file_failures": 4}'])
def test_a_start_survives_an_address_in_use_and_a_file_that_cannot_be_read(faults: str, tmp_path: Path) -> None:
    async def scene() -> None:
        discovery = Discovery((LOCAL, free_ports(1)[0]))
        discovery.put(SERVER)
        await discovery.start()
        config = {"discovery": f"{LOCAL}:{discovery.address[1]}", "settings": platform_settings()}
        router = RouterProcess(tmp_path, config, ["-m", "pearstall.lab.fault_shim", faults, "--"])
        try:
            router.start()
            await router.until_health(200, READY_SECONDS)
        finally:
            router.kill()
        assert router.exit_code == -signal.SIGKILL, router.log()

    asyncio.run(scene())


def test_a_reload_whose_file_cannot_be_read_is_retried(tmp_path: Path) -> None:
    async def scene() -> None:
        old, new = (Discovery((LOCAL, free_ports(1)[0])) for _ in range(2))
        for discovery in (old, new):
            discovery.put(SERVER)
            await discovery.start()
        config = {"discovery": f"{LOCAL}:{old.address[1]}", "settings": platform_settings()}
        launcher = ["-m", "pearstall.lab.fault_shim", '{"reload_failures": 4}', "--"]
        router = RouterProcess(tmp_path, config, launcher)
        try:
            router.start()
            await router.until_health(200, READY_SECONDS)
            router.write_config(discovery=f"{LOCAL}:{new.address[1]}")
            router.send_signal(signal.SIGHUP)
            async with asyncio.timeout(READY_SECONDS):
                while not new.watches:
                    await asyncio.sleep(0.02)
        finally:
            router.kill()

    asyncio.run(scene())
