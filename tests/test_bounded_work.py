"""How long a real router process stands still while bad clients send what takes long to read."""

from __future__ import annotations

import asyncio
import contextlib
import socket
import threading
from collections.abc import AsyncIterator, Iterator
from contextlib import AsyncExitStack, asynccontextmanager
from pathlib import Path

import pytest

from pearstall.lab.processes import RouterProcess
from pearstall.lab.rig import free_ports
from pearstall.lab.servers import LOCAL, Behaviour, ExecutionLog, StandIn
from pearstall.lab.stations import Discovery
from pearstall.net.buffer import Buffer
from pearstall.net.http1 import MAX_HEADER_LINES, Head, Malformed, read_head
from pearstall.net.platform import Labels
from tests.net_support import PATH, setup
from tests.test_restart_membership import row

BAD_CLIENTS = 300
SECONDS = 4.0
LATE_SECONDS = 0.5  # an answer that comes later than this after its time is lost
PIECE_SECONDS = 0.05
REQUEST_LINE = f"POST {PATH} HTTP/1.1\r\nX-Lane: chat\r\nX-Remaining: 2.5\r\n"


def repeated_lines(number: int) -> Iterator[bytes]:
    """One header line 7,000 times, whose end comes with those of all other clients."""
    yield f"{REQUEST_LINE}X-Txn: bad{number}\r\nContent-Length: 9\r\n".encode() + b"a:\r\n" * 7000
    yield b"\r\n{"


def head_in_pieces(number: int) -> Iterator[bytes]:
    """Many short lines, then a line that comes in small pieces."""
    yield (
        f"{REQUEST_LINE}X-Txn: bad{number}\r\n".encode() + b"".join(b"h%d:\r\n" % line for line in range(600)) + b"b:"
    )
    while True:
        yield b"x" * 8


def tiny_chunks(number: int) -> Iterator[bytes]:
    """A body of tiny chunks."""
    yield f"{REQUEST_LINE}X-Txn: bad{number}\r\nTransfer-Encoding: chunked\r\n\r\n".encode() + b"1\r\nx\r\n" * 10_000


def refused_requests(number: int) -> Iterator[bytes]:
    """Hundreds of whole requests of an unknown class at once."""
    yield f"POST {PATH} HTTP/1.1\r\nX-Txn: bad{number}\r\nContent-Length: 2\r\n\r\n{{}}".encode() * 700


async def bad_client(port: int, pieces: Iterator[bytes]) -> None:
    """Sends the pieces, reads what it is sent, and does the same again until it has been turned away."""
    with contextlib.suppress(OSError):
        reader, writer = await asyncio.open_connection(LOCAL, port)
        reading = asyncio.create_task(reader.read(-1))
        for piece in pieces:
            if writer.is_closing() or reading.done():
                break
            writer.write(piece)
            await asyncio.sleep(PIECE_SECONDS)
        with contextlib.suppress(OSError):
            await reading
        writer.close()


async def slowest_answer(router: RouterProcess, seconds: float) -> float:
    """The longest time that a health check took."""
    loop, slowest = asyncio.get_running_loop(), 0.0
    end = loop.time() + seconds
    while (began := loop.time()) < end:
        assert await router.health() == 200
        slowest = max(slowest, loop.time() - began)
        await asyncio.sleep(0.01)
    return slowest


@asynccontextmanager
async def router_with_a_server(folder: Path) -> AsyncIterator[RouterProcess]:
    async with AsyncExitStack() as stack:
        server = StandIn(0, ExecutionLog(), Behaviour(), 1, "platform")
        await stack.enter_async_context(server.listening())
        discovery = Discovery((LOCAL, free_ports(1)[0]))
        discovery.put(row(server, "ready"))
        await discovery.start()
        router = RouterProcess(folder, {"discovery": f"{LOCAL}:{discovery.address[1]}", "settings": setup()})
        stack.callback(router.kill)
        router.start()
        await router.until_health(200, 20)
        yield router


@pytest.mark.parametrize("sent", [repeated_lines, head_in_pieces, tiny_chunks, refused_requests])
def test_other_clients_are_answered_in_time(sent, tmp_path: Path) -> None:  # type: ignore[no-untyped-def]
    """The event loop stood still for seconds while it read what hundreds of bad clients had sent."""

    async def scene() -> None:
        async with router_with_a_server(tmp_path) as router:
            bad = [asyncio.create_task(bad_client(router.port, sent(number))) for number in range(BAD_CLIENTS)]
            assert await slowest_answer(router, SECONDS) < LATE_SECONDS
            for task in bad:
                task.cancel()

    asyncio.run(scene())


def head_of(lines: list[str]) -> Head | Malformed | None:
    buffer = Buffer()
    buffer.add("\r\n".join(["GET / HTTP/1.1", *lines, "", ""]).encode())
    return read_head(buffer)


def test_repeated_headers_are_joined_in_order_and_the_number_of_lines_is_limited() -> None:
    head = head_of(["A: 1", "b: 2", "a:3", "A:"])
    assert isinstance(head, Head) and head.headers == {"a": "1, 3, ", "b": "2"}
    assert isinstance(head_of(["a:"] * MAX_HEADER_LINES), Head)
    too_many = head_of(["a:"] * (MAX_HEADER_LINES + 1))
    assert isinstance(too_many, Malformed) and too_many.status == 431


def test_only_the_labels_in_use_are_kept() -> None:
    labels = Labels(" prompt_len = 5 ,x=1,prefix=a=b,prefix_len=,xprefix=c,y" + ",z" * 1000)
    assert labels.values == {"prompt_len": "5", "prefix": "a=b", "prefix_len": ""}


FLOODS = {
    "empty lines": b"\r\n" * 30_000,
    "requests of no class": f"POST {PATH} HTTP/1.1\r\nX-Txn: bad\r\nContent-Length: 2\r\n\r\n{{}}".encode() * 200,
    "health checks": b"GET /_health HTTP/1.1\r\n\r\n" * 500,
    "tiny chunks": b"1\r\nx\r\n" * 3000,
    "no request": b"GET\r\n\r\n" * 3000,
}
FLOOD_LATE_SECONDS = 0.3  # an event that is passed on later than this is late


def flood_until(stop: threading.Event, port: int, data: bytes) -> None:
    """One client at full speed; it reads what it is sent, and comes again when it is turned away."""
    start = f"{REQUEST_LINE}X-Txn: flood\r\nTransfer-Encoding: chunked\r\n\r\n".encode()
    while not stop.is_set():
        with contextlib.suppress(OSError), socket.create_connection((LOCAL, port)) as end:
            end.settimeout(PIECE_SECONDS)
            reading = threading.Thread(target=read_until, args=(stop, end))
            reading.start()
            with contextlib.suppress(OSError):
                end.sendall(start if data.startswith(b"1\r\n") else b"")
                while not stop.is_set():
                    end.sendall(data)
            end.shutdown(socket.SHUT_RDWR)
            reading.join()


def read_until(stop: threading.Event, end: socket.socket) -> None:
    while not stop.is_set():
        try:
            if not end.recv(65536):
                return
        except TimeoutError:
            continue
        except OSError:
            return


@pytest.mark.parametrize("data", FLOODS.values(), ids=FLOODS)
def test_one_client_at_full_speed_does_not_delay_others(data: bytes, tmp_path: Path) -> None:
    async def scene() -> None:
        async with router_with_a_server(tmp_path) as router:
            stop = threading.Event()
            flood = threading.Thread(target=flood_until, args=(stop, router.port, data))
            flood.start()
            try:
                assert await slowest_answer(router, SECONDS) < FLOOD_LATE_SECONDS
            finally:
                stop.set()
                await asyncio.to_thread(flood.join)

    asyncio.run(scene())
