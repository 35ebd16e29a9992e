"""The memory of a real router process at the smallest limit that the operators name, under crowds of bad clients."""

from __future__ import annotations

import asyncio
import contextlib
from collections.abc import AsyncIterator, Callable, Coroutine
from contextlib import asynccontextmanager
from pathlib import Path
from typing import Any

import pytest

from pearstall.lab.processes import RouterProcess
from pearstall.lab.rig import free_ports
from pearstall.lab.servers import LOCAL, Behaviour, ExecutionLog, StandIn
from pearstall.lab.stations import Discovery
from tests.net_support import PATH, Client, setup
from tests.test_client_memory import half_request
from tests.test_restart_membership import row

MEMORY_MB = 32
DESCRIPTORS = 1024
CROWD = 330  # with the sound clients, a third of the descriptors
WAVES = 3
STAY_SECONDS = 3.0
SERVERS = 4
REQUEST_LINE = f"POST {PATH} HTTP/1.1\r\nX-Lane: chat\r\nX-Remaining: 2.5\r\n"
LARGE_BODY_BYTES = 250_000
PIECE_BYTES = 2_000
PIECE_SECONDS = 0.02
LONG_ANSWER = Behaviour(gap=(0.0, 0.0), events=(400, 400), size=(4000, 5000))
SLOW_START = Behaviour(first=(0.5, 1.5))

CrowdClient = Callable[[int, str], Coroutine[Any, Any, None]]


def request(txn: str, body_bytes: int, fields: str = "") -> bytes:
    body = b'{"x":"' + b"x" * body_bytes + b'"}'
    return f"{REQUEST_LINE}X-Txn: {txn}\r\n{fields}Content-Length: {len(body)}\r\n\r\n".encode() + body


@asynccontextmanager
async def connection(port: int) -> AsyncIterator[tuple[asyncio.StreamReader, asyncio.StreamWriter]]:
    """A client's connection. Errors and the end of its time end the client."""
    with contextlib.suppress(OSError, TimeoutError):
        async with asyncio.timeout(STAY_SECONDS):
            reader, writer = await asyncio.open_connection(LOCAL, port, limit=1 << 10)
            try:
                yield reader, writer
            finally:
                writer.transport.abort()


async def send_and_read(port: int, data: bytes) -> None:
    async with connection(port) as (reader, writer):
        writer.write(data)
        while await reader.read(65536):
            pass


async def many_at_once(port: int, name: str) -> None:
    await send_and_read(port, b"".join(request(f"{name}-{number}", 50) for number in range(500)))


async def large_ones_at_once(port: int, name: str) -> None:
    await send_and_read(port, b"".join(request(f"{name}-{number}", 60_000) for number in range(20)))


async def half_a_large_request(port: int, name: str) -> None:
    await send_and_read(port, request(name, LARGE_BODY_BYTES)[: LARGE_BODY_BYTES * 4 // 5])


async def whole_large_requests(port: int, name: str) -> None:
    await send_and_read(port, request(name, LARGE_BODY_BYTES))


async def many_short_fields(port: int, name: str) -> None:
    fields = "".join(f"{number:x}:a\r\n" for number in range(1000))
    await send_and_read(port, request(name, 20_000, fields)[:-1])


async def too_many_short_fields(port: int, name: str) -> None:
    await send_and_read(port, half_request(int(name.replace("-", ""))))


async def slow_writers(port: int, name: str) -> None:
    data = request(name, LARGE_BODY_BYTES)
    async with connection(port) as (_, writer):
        for begin in range(0, len(data), PIECE_BYTES):
            writer.write(data[begin : begin + PIECE_BYTES])
            await asyncio.sleep(PIECE_SECONDS)


async def slow_readers(port: int, name: str) -> None:
    async with connection(port) as (reader, writer):
        writer.write(request(name, 10))
        while await reader.read(100):
            await asyncio.sleep(PIECE_SECONDS)


CROWDS: dict[CrowdClient, Behaviour] = {
    many_at_once: SLOW_START,
    large_ones_at_once: SLOW_START,
    half_a_large_request: SLOW_START,
    whole_large_requests: SLOW_START,
    many_short_fields: SLOW_START,
    too_many_short_fields: SLOW_START,
    slow_writers: SLOW_START,
    slow_readers: LONG_ANSWER,
}


@asynccontextmanager
async def router_and_servers(
    folder: Path, behaviour: Behaviour, memory_mb: float, settings: dict[str, Any]
) -> AsyncIterator[tuple[RouterProcess, ExecutionLog]]:
    """A router process before stand-in model servers, and what these execute."""
    async with contextlib.AsyncExitStack() as stack:
        execution_log = ExecutionLog()
        discovery = Discovery((LOCAL, free_ports(1)[0]))
        for number in range(SERVERS):
            server = StandIn(number, execution_log, behaviour, 1, "platform")
            discovery.put(row(await stack.enter_async_context(server.listening()), "ready"))
        await discovery.start()
        limits = {"cores": 1.0, "memory_mb": memory_mb, "sockets": DESCRIPTORS}
        router = RouterProcess(
            folder, {"discovery": f"{LOCAL}:{discovery.address[1]}", "limits": limits, "settings": settings}
        )
        stack.callback(router.kill)
        router.start()
        await router.until_health(200, 20)
        yield router, execution_log


@asynccontextmanager
async def small_router(folder: Path, behaviour: Behaviour) -> AsyncIterator[RouterProcess]:
    """A router process at the smallest limits, with stand-in model servers."""
    async with router_and_servers(folder, behaviour, MEMORY_MB, setup()) as (router, _):
        yield router


def mapped_files(router: RouterProcess) -> str:
    assert router.process is not None
    return Path(f"/proc/{router.process.pid}/maps").read_text()


def test_a_router_on_plain_tcp_does_not_load_openssl(tmp_path: Path) -> None:
    async def scene() -> None:
        async with small_router(tmp_path, SLOW_START) as router:
            assert "libssl" not in mapped_files(router) and "libcrypto" not in mapped_files(router)
            assert (await Client("platform", router.port).ask())[0] == "served"

    asyncio.run(scene())


@pytest.mark.parametrize("crowd", CROWDS, ids=lambda crowd: crowd.__name__)
def test_a_crowd_does_not_take_the_process_over_its_memory_limit(crowd: CrowdClient, tmp_path: Path) -> None:
    async def scene() -> None:
        async with small_router(tmp_path, CROWDS[crowd]) as router:
            peaks = []
            for wave in range(WAVES):
                await asyncio.gather(*(crowd(router.port, f"{wave}-{number}") for number in range(CROWD)))
                peaks.append(round(router.peak_bytes() / 1e6, 1))
            assert router.exit_code is None
            assert max(peaks) < MEMORY_MB, peaks
            assert (await Client("platform", router.port).ask())[0] == "served"

    asyncio.run(scene())
