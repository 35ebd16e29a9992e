"""Model servers that write an answer or read a request slowly, before a real router process."""

from __future__ import annotations

import asyncio
import contextlib
import socket
from collections.abc import AsyncIterator, Awaitable, Callable
from contextlib import asynccontextmanager
from pathlib import Path
from typing import Any

import pytest

from pearstall.lab.processes import RouterProcess
from pearstall.lab.rig import free_ports
from pearstall.lab.servers import HEAD, LOCAL
from pearstall.lab.stations import Discovery
from tests.net_support import Wire, setup
from tests.test_memory_under_crowds import request

EVENT = b'data: {"choices":[{"index":0,"delta":{"content":"' + b"x" * 120 + b'"}}]}\n\n'
PIECES = 16
PIECE_SECONDS = 0.5
LARGE_BODY_BYTES = 250_000
WAIT_SECONDS = 2.5  # X-Remaining of the requests
LATE_SECONDS = 0.5  # an answer that comes later than this after its time is lost
READ_BYTES = 2_000

Handler = Callable[[asyncio.StreamReader, asyncio.StreamWriter], Awaitable[None]]


async def write_an_event_slowly(reader: asyncio.StreamReader, writer: asyncio.StreamWriter) -> None:
    """One event at once, and another in pieces over 8 s."""
    await reader.readuntil(b"\r\n\r\n")
    writer.write(HEAD + b"%x\r\n%b\r\n" % (len(EVENT), EVENT) + b"%x\r\n" % len(EVENT))
    step = -(-len(EVENT) // PIECES)
    for begin in range(0, len(EVENT), step):
        await asyncio.sleep(PIECE_SECONDS)
        writer.write(EVENT[begin : begin + step])
    writer.write(b"\r\n0\r\n\r\n")
    await writer.drain()
    await reader.read()


async def read_slowly(reader: asyncio.StreamReader, writer: asyncio.StreamWriter) -> None:
    while await reader.read(READ_BYTES):
        await asyncio.sleep(0.1)


async def read_nothing(reader: asyncio.StreamReader, writer: asyncio.StreamWriter) -> None:
    writer.transport.pause_reading()  # type: ignore[attr-defined]
    await asyncio.sleep(30)


def closing_after(handler: Handler) -> Handler:
    async def handle(reader: asyncio.StreamReader, writer: asyncio.StreamWriter) -> None:
        try:
            await handler(reader, writer)
        finally:
            writer.transport.abort()

    return handle


@asynccontextmanager
async def router_before(folder: Path, handler: Handler, resume: bool) -> AsyncIterator[RouterProcess]:
    async with contextlib.AsyncExitStack() as stack:
        discovery = Discovery((LOCAL, free_ports(1)[0]))
        for number in range(2):
            listener = socket.create_server((LOCAL, 0))
            listener.setsockopt(socket.SOL_SOCKET, socket.SO_RCVBUF, 4096)
            server = await asyncio.start_server(closing_after(handler), sock=listener, limit=READ_BYTES)
            stack.callback(server.close)
            address = f"{LOCAL}:{listener.getsockname()[1]}"
            row: dict[str, Any] = {"name": f"s{number}", "address": address, "zone": "a", "type": "m1", "group": 0}
            discovery.put(row | {"status": "ready", "weight": 1.0, "since_ms": 0})
        await discovery.start()
        settings = setup(familyInfo={"resume": resume})
        router = RouterProcess(folder, {"discovery": f"{LOCAL}:{discovery.address[1]}", "settings": settings})
        stack.callback(router.kill)
        router.start()
        await router.until_health(200, 20)
        yield router


@pytest.mark.parametrize("resume", [False, True], ids=["not-resumed", "resumed"])
def test_a_stream_whose_server_still_writes_is_not_cut(resume: bool, tmp_path: Path) -> None:
    """Only whole events counted as signs of life."""

    async def scene() -> None:
        async with router_before(tmp_path, write_an_event_slowly, resume) as router:
            wire = Wire(*await asyncio.open_connection(LOCAL, router.port))
            wire.writer.write(request("t1", 10))
            head = await wire.head(True)
            assert head is not None and head.status == 200
            assert await wire.body(head) == (2 * EVENT, True)
            wire.writer.close()

    asyncio.run(scene())


@pytest.mark.parametrize("handler", [read_slowly, read_nothing], ids=lambda handler: handler.__name__)
def test_a_large_request_that_its_server_reads_slowly_is_answered_in_time(handler: Handler, tmp_path: Path) -> None:
    async def scene() -> None:
        async with router_before(tmp_path, handler, True) as router:
            loop = asyncio.get_running_loop()
            wires = [Wire(*await asyncio.open_connection(LOCAL, router.port)) for _ in range(8)]
            for number, wire in enumerate(wires):
                wire.writer.write(request(f"t{number}", LARGE_BODY_BYTES))
            began = loop.time()
            heads = await asyncio.gather(*(wire.head(True) for wire in wires))
            waited = loop.time() - began
            assert all(head is not None and head.status in (502, 503, 504) for head in heads)
            assert waited < WAIT_SECONDS + LATE_SECONDS
            for wire in wires:
                wire.writer.close()

    asyncio.run(scene())


def test_noise_that_keeps_coming_does_not_keep_a_stream_open(tmp_path: Path) -> None:
    """A spoilt stream is ended within 5 s of its last event."""

    async def write_noise(reader: asyncio.StreamReader, writer: asyncio.StreamWriter) -> None:
        await reader.readuntil(b"\r\n\r\n")
        writer.write(HEAD + b"%x\r\n%b\r\n" % (len(EVENT), EVENT))
        with contextlib.suppress(OSError):
            while True:
                await asyncio.sleep(0.2)
                writer.write(b"3\r\n\x07zz\r\n")
                await writer.drain()

    async def scene() -> None:
        async with router_before(tmp_path, write_noise, True) as router:
            wire = Wire(*await asyncio.open_connection(LOCAL, router.port))
            wire.writer.write(request("t1", 10))
            head = await wire.head(True)
            assert head is not None
            async with asyncio.timeout(5.0):
                assert await wire.body(head) == (EVENT, False)
            wire.writer.close()

    asyncio.run(scene())
