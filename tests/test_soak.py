"""Short soaks of a real router process under injected system faults, series of signals and kills."""

from __future__ import annotations

import asyncio
import os
from pathlib import Path

import pytest

from pearstall.lab.fault_shim import ACCEPT_ERRORS
from pearstall.lab.processes import RouterProcess
from pearstall.lab.rig import platform_settings
from pearstall.lab.servers import LOCAL
from pearstall.lab.soak import KINDS, Report, play_all

SECONDS = 10.0
RUNS_OF_A_KIND = 2
AT_ONCE = 4
CONNECTIONS = 40
MAX_ACCEPT_SECONDS = 0.3


@pytest.fixture(scope="module")
def reports() -> list[Report]:
    return asyncio.run(play_all(list(range(1, RUNS_OF_A_KIND * len(KINDS) + 1)), SECONDS, AT_ONCE))


@pytest.mark.parametrize("kind", KINDS)
def test_a_router_keeps_its_guarantees_under_seeded_faults_and_signals(kind: str, reports: list[Report]) -> None:
    runs = [report for report in reports if report.kind == kind]
    assert len(runs) == RUNS_OF_A_KIND and all(report.ends["served"] for report in runs)
    assert [(report.seed, report.breaches) for report in runs] == [(report.seed, []) for report in runs]


@pytest.mark.parametrize("number", ACCEPT_ERRORS, ids=os.strerror)
def test_a_failed_accept_does_not_delay_other_connections(number: int, tmp_path: Path) -> None:
    async def scene() -> None:
        (tmp_path / "hosts.csv").write_text(f"name,address\ns0,{LOCAL}:1\n")
        faults = f'{{"accept": 0.3, "accept_errors": [{number}], "seed": 3}}'
        launcher = ["-m", "pearstall.lab.fault_shim", faults, "--", "--inventory", str(tmp_path / "hosts.csv")]
        router = RouterProcess(tmp_path, {"settings": platform_settings()}, launcher)
        try:
            router.start()
            await router.until_health(200, 20)
            waits = []
            for _ in range(CONNECTIONS):
                began = asyncio.get_running_loop().time()
                assert await router.health() == 200
                waits.append(asyncio.get_running_loop().time() - began)
            assert max(waits) < MAX_ACCEPT_SECONDS
            assert '"event":"exception"' not in router.log()
        finally:
            router.kill()

    asyncio.run(scene())
