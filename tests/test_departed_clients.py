"""Clients that leave while much of what they sent is unread, before a real router process."""

from __future__ import annotations

import asyncio
import contextlib
import signal
import socket
from collections.abc import AsyncIterator
from contextlib import asynccontextmanager
from dataclasses import dataclass, field
from pathlib import Path

import pytest

from pearstall.lab.processes import RouterProcess
from pearstall.lab.servers import LOCAL, Behaviour, ExecutionLog
from tests.net_support import Client, setup
from tests.test_memory_under_crowds import request, router_and_servers

LEAVES_AFTER_SECONDS = 0.3
NOTICED_SECONDS = 0.5
MEMORY_MB = 192
SHORT_MEMORY_MB = 1.0  # a fifth of it is less than one large request holds
LARGE_BODY_BYTES = 250_000
PIPELINED_REQUESTS = 8_000


@dataclass(slots=True)
class Scene:
    router: RouterProcess
    execution_log: ExecutionLog
    writers: list[asyncio.StreamWriter] = field(default_factory=list)  # of connections that stay open

    def began(self, txn: str) -> list[float]:
        return [execution.began for execution in self.execution_log.by_txn.get(txn, [])]


@asynccontextmanager
async def scene_with(folder: Path, behaviour: Behaviour) -> AsyncIterator[Scene]:
    settings = setup()
    settings["lanes"] = [{**lane, "effect": "pure"} for lane in settings["lanes"]]
    async with router_and_servers(folder, behaviour, MEMORY_MB, settings) as (router, execution_log):
        yield Scene(router, execution_log)


async def until_began(scene: Scene, txn: str) -> None:
    async with asyncio.timeout(5):
        while not scene.began(txn):
            await asyncio.sleep(0.01)


def patient_request(txn: str) -> bytes:
    """One whose client waits long enough for a further attempt."""
    return request(txn, 40).replace(b"X-Remaining: 2.5", b"X-Remaining: 6.0")


async def make_memory_short(scene: Scene) -> None:
    """Another client's large request waits for its answer, and takes more than a reload leaves for all."""
    _, writer = await asyncio.open_connection(LOCAL, scene.router.port)
    writer.write(request("large", LARGE_BODY_BYTES))
    await until_began(scene, "large")
    scene.writers.append(writer)
    scene.router.write_config(limits={"cores": 1.0, "memory_mb": SHORT_MEMORY_MB, "sockets": 1024})
    scene.router.send_signal(signal.SIGHUP)
    async with asyncio.timeout(5):
        while '"reloaded"' not in scene.router.log():
            await asyncio.sleep(0.01)


async def leave_with_pipelined_requests(scene: Scene, short: bool) -> float:
    """Sends a request, then many behind it, and closes the connection a moment later. Returns when."""
    end = socket.create_connection((LOCAL, scene.router.port))
    end.setblocking(False)
    end.send(patient_request("t0"))
    await until_began(scene, "t0")
    if short:
        await make_memory_short(scene)
    with contextlib.suppress(ConnectionError):
        end.send(b"".join(request(f"t{number}", 40) for number in range(1, PIPELINED_REQUESTS)))
    await asyncio.sleep(LEAVES_AFTER_SECONDS)
    end.close()
    return asyncio.get_running_loop().time()


@pytest.mark.parametrize("short", [False, True], ids=["enough-memory", "short-memory"])
def test_a_client_that_left_with_requests_unread_is_noticed(short: bool, tmp_path: Path) -> None:
    """The kernel holds the end of a connection back behind what was not read: its requests were kept and went on."""

    async def play() -> None:
        async with scene_with(tmp_path, Behaviour(outcome_weights={"silent": 1.0})) as scene:
            left_at = await leave_with_pipelined_requests(scene, short)
            await asyncio.sleep(1.5)
            (attempt,) = scene.execution_log.by_txn["t0"]
            assert attempt.ended and attempt.ended < left_at + NOTICED_SECONDS
            assert set(scene.execution_log.by_txn) <= {"t0", "large"}

    asyncio.run(play())


@pytest.mark.parametrize("short", [False, True], ids=["enough-memory", "short-memory"])
def test_a_request_whose_client_left_does_not_run_again_under_its_id(short: bool, tmp_path: Path) -> None:
    """Its server may go on with it after the router has given it up."""

    async def play() -> None:
        async with scene_with(tmp_path, Behaviour(outcome_weights={"silent": 1.0})) as scene:
            await leave_with_pipelined_requests(scene, short)
            await asyncio.sleep(0.5)
            reader, writer = await asyncio.open_connection(LOCAL, scene.router.port)
            writer.write(patient_request("t0"))
            with contextlib.suppress(TimeoutError):
                async with asyncio.timeout(1.0):
                    status = int((await reader.readline()).split()[1])
                    assert status == 409 or (short and status == 503)
            writer.close()
            assert len(scene.began("t0")) == 1

    asyncio.run(play())


def test_a_request_that_reached_no_server_may_come_again_under_its_id(tmp_path: Path) -> None:
    async def play() -> None:
        async with scene_with(tmp_path, Behaviour()) as scene:
            _, writer = await asyncio.open_connection(LOCAL, scene.router.port)
            writer.write(request("t1", 40)[:-1])
            await asyncio.sleep(0.2)
            writer.close()
            client = Client("platform", scene.router.port)  # its first request has the id t1
            assert (await client.ask())[0] == "served"
            assert len(scene.began("t1")) == 1

    asyncio.run(play())
