"""Guarantees for every client, over loopback: no attempt after it has left, and an answer to every query read."""

from __future__ import annotations

import asyncio
import socket
import struct
from collections.abc import Callable
from contextlib import AsyncExitStack
from pathlib import Path

import pytest

from pearstall.net.core import Execution
from pearstall.net.server_link import ServerLink
from tests.net_support import LOCAL, PATH, Client, ModelServer, running, until
from tests.test_crossings import router_and_server

TOLERANCE_SECONDS = 0.15  # between the X-Remaining of a server and the time that its client has left


def request(number: int, wait: float = 6.0, body: bytes = b"{}") -> bytes:
    head = f"POST {PATH} HTTP/1.1\r\nHost: x\r\nX-Txn: {number}\r\nX-Lane: chat\r\nX-Remaining: {wait}\r\n"
    return f"{head}Content-Length: {len(body)}\r\n\r\n".encode() + body


def reset(end: socket.socket) -> None:
    end.setsockopt(socket.SOL_SOCKET, socket.SO_LINGER, struct.pack("ii", 1, 0))
    end.close()


def half_close(end: socket.socket) -> None:
    end.shutdown(socket.SHUT_WR)


def send_and_close(end: socket.socket) -> None:
    end.sendall(request(2)[:40])  # unread bytes before the close
    end.close()


WAYS_TO_LEAVE: list[Callable[[socket.socket], None]] = [socket.socket.close, reset, half_close, send_and_close]
ways = pytest.mark.parametrize("leave", WAYS_TO_LEAVE, ids=["close", "reset", "half close", "bytes and close"])


@ways
def test_no_further_attempt_begins_for_a_client_that_has_left(
    leave: Callable[[socket.socket], None], tmp_path: Path
) -> None:
    """Its close and the failure of the first attempt arrive in the same iteration of the event loop."""

    async def scene() -> None:
        async with router_and_server(tmp_path, "hold error", "serve") as (server, program, port):
            end = socket.create_connection((LOCAL, port))
            end.sendall(request(1))
            await until(lambda: len(server.seen) == 1)
            leave(end)
            server.go_on.set()
            await until(lambda: not len(program.core.queries))
            await asyncio.sleep(0.05)
            assert len(server.seen) == 1 and program.counters.executions == 1
            end.close()

    asyncio.run(scene())


@ways
def test_nothing_is_written_on_a_connection_established_after_the_client_left(
    leave: Callable[[socket.socket], None], tmp_path: Path, monkeypatch: pytest.MonkeyPatch
) -> None:
    connect, begun, go_on = ServerLink._connect, asyncio.Event(), asyncio.Event()

    async def late(link: ServerLink) -> None:
        begun.set()
        await go_on.wait()
        await connect(link)

    monkeypatch.setattr(ServerLink, "_connect", late)

    async def scene() -> None:
        async with router_and_server(tmp_path) as (server, program, port):
            end = socket.create_connection((LOCAL, port))
            end.sendall(request(1))
            await begun.wait()
            leave(end)
            go_on.set()
            await until(lambda: not len(program.core.queries))
            await asyncio.sleep(0.05)
            assert not server.seen
            end.close()

    asyncio.run(scene())


@pytest.mark.parametrize("fault", ["silent", "reset", "error", "noise", "endless", "away"])
def test_every_request_is_answered_while_all_servers_fail(fault: str, tmp_path: Path) -> None:
    """Each of many requests, on a connection of its own, gets one final answer by its deadline."""

    async def scene() -> None:
        async with router_and_server(tmp_path, *[fault] * 300) as (server, program, port):
            clients = [Client("platform", port, f"c{n}") for n in range(12)]
            began = asyncio.get_running_loop().time()
            kinds = [kind for kind, _, _ in await asyncio.gather(*[client.ask(0.6) for client in clients])]
            assert asyncio.get_running_loop().time() - began < 0.6 + 0.5
            assert set(kinds) <= {"refused", "failed"} and len(kinds) == 12
            assert program.counters.overdue == 0 and program.counters.exceptions == 0

    asyncio.run(scene())


def test_garbage_and_floods_only_close_their_own_connections(tmp_path: Path) -> None:
    async def scene() -> None:
        async with router_and_server(tmp_path, *["hold"] * 4) as (server, program, port):
            clients = [Client("platform", port, f"c{n}") for n in range(4)]
            for client in clients:
                await client.send()
            await until(lambda: len(server.seen) == 4)
            others = [socket.create_connection((LOCAL, port)) for _ in range(60)]
            for number, other in enumerate(others):
                other.sendall([b"\x00\xff" * 200, b"GET / HTTP/9\r\n\r\n", request(99)[:50], b""][number % 4])
            await asyncio.sleep(0.1)
            for other in others:
                other.close()
            server.go_on.set()
            assert [(await client.answer())[0] for client in clients] == ["served"] * 4
            assert program.counters.exceptions == 0

    asyncio.run(scene())


def test_garbage_behind_a_request_does_not_affect_its_answer(tmp_path: Path) -> None:
    """Bytes that are not a request, after one that is in progress."""

    async def scene() -> None:
        async with router_and_server(tmp_path, "hold") as (server, _, port):
            client = Client("platform", port)
            await client.send()
            wire = await client.connect()
            wire.writer.write(b"\x00\x01 no request at all\r\n\r\n")
            await until(lambda: len(server.seen) == 1)
            server.go_on.set()
            assert (await client.answer())[0] == "served"
            head = await wire.head(True)
            assert head is not None and head.status == 400

    asyncio.run(scene())


@pytest.mark.parametrize("attempts", [1, 2, 3])
def test_a_server_gets_at_most_the_time_that_its_client_has_left(attempts: int, tmp_path: Path) -> None:
    """In the first and later attempts, for a body that arrived slowly."""

    async def scene() -> None:
        async with AsyncExitStack() as stack:
            script = ["error"] * (attempts - 1) + ["serve"]
            server = await stack.enter_async_context(ModelServer("platform", *script).listening())
            program, ports = await stack.enter_async_context(running(tmp_path, [server]))
            clock = asyncio.get_running_loop().time
            left_at_start: list[float] = []
            start = program.servers.start

            def record(execution: Execution) -> object:
                left_at_start.append(execution.query.deadline - clock())
                return start(execution)

            program.core.servers.start = record  # type: ignore[method-assign, assignment]
            whole = request(1, wait=3.0, body=b'{"a": "' + b"x" * 2000 + b'"}')
            reader, writer = await asyncio.open_connection(LOCAL, ports["platform"])
            sent = clock()
            for at in range(0, len(whole), 500):
                writer.write(whole[at : at + 500])
                await asyncio.sleep(0.1)
            await until(lambda: len(server.seen) == attempts)
            for (head, _), left in zip(server.seen, left_at_start, strict=True):
                remaining = float(head.headers["x-remaining"])
                assert remaining <= left + 0.001 and remaining <= 3.0 - 0.4 + TOLERANCE_SECONDS
            assert clock() - sent < 3.0
            writer.close()

    asyncio.run(scene())


@pytest.mark.parametrize("header", [b"X-Lane:chat", b"x-lane: \t chat \t", b"X-LANE: chat"])
@pytest.mark.parametrize("piece", [1, 7, 4096])
def test_a_class_header_is_read_in_any_spelling_and_in_pieces_of_any_size(
    header: bytes, piece: int, tmp_path: Path
) -> None:
    async def scene() -> None:
        async with router_and_server(tmp_path) as (server, program, port):
            reader, writer = await asyncio.open_connection(LOCAL, port)
            whole = request(1).replace(b"X-Lane: chat", header)
            for at in range(0, len(whole), piece):
                writer.write(whole[at : at + piece])
                await asyncio.sleep(0)
            assert (await reader.readline()).startswith(b"HTTP/1.1 200")
            assert len(server.seen) == 1 and program.counters.unknown_class == 0
            writer.close()

    asyncio.run(scene())


@pytest.mark.parametrize(("headers", "unknown"), [(b"X-Lane: chat\r\nX-Lane: agent", 0), (b"X-Lane: CHAT", 1)])
def test_a_repeated_or_unknown_class_is_a_client_error(headers: bytes, unknown: int, tmp_path: Path) -> None:
    async def scene() -> None:
        async with router_and_server(tmp_path) as (server, program, port):
            reader, writer = await asyncio.open_connection(LOCAL, port)
            writer.write(request(1).replace(b"X-Lane: chat", headers))
            assert (await reader.readline()).startswith(b"HTTP/1.1 400")
            assert not server.seen and program.counters.unknown_class == unknown
            writer.close()

    asyncio.run(scene())
