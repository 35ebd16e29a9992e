"""The memory that a real router process holds for its clients, whatever they send."""

from __future__ import annotations

import asyncio
import contextlib
import fcntl
import gc
import itertools
import struct
import weakref
from contextlib import AsyncExitStack
from pathlib import Path
from string import ascii_lowercase

from pearstall.lab.processes import RouterProcess
from pearstall.lab.rig import free_ports
from pearstall.lab.servers import LOCAL, Behaviour, ExecutionLog, StandIn
from pearstall.lab.stations import Discovery
from pearstall.net.buffer import INITIAL_BYTES
from pearstall.net.client_link import MAX_UNSENT_BYTES
from pearstall.net.core import Query
from pearstall.net.listener import KERNEL_UNSENT_BYTES
from tests.net_support import HEAD, PATH, Client, ModelServer, running, setup, until
from tests.test_restart_membership import row

SIOCOUTQNSD = 0x894B  # ioctl of tcp(7): bytes that were not sent yet
ONE_SEND_BYTES = 64 * 1024  # the limit is looked at before each buffer of the kernel that a send fills
MEMORY_LIMIT_MB = 96
BAD_CLIENTS = 330  # with the sound ones, a third of the descriptors
HEAD_BYTES = 32_000
PIPELINED_BODY_BYTES = 60_000
STAY_SECONDS = 2.5
BATCH_REQUESTS = 500
BLOCKED_WITHIN_SECONDS = 20.0
BLOCKED_ITERATIONS = 300  # of the event loop: more than the router takes to read what the kernel holds for it
REQUEST_LINE = f"POST {PATH} HTTP/1.1\r\nX-Lane: chat\r\nX-Remaining: 2.5\r\n"


def short_header_lines(size: int) -> str:
    names = itertools.chain(*(itertools.product(ascii_lowercase, repeat=length) for length in (1, 2, 3)))
    lines = (f"{''.join(name)}:ab\r\n" for name in names if "".join(name) != "te")
    taken, total = [], 0
    for line in lines:
        taken.append(line)
        total += len(line)
        if total >= size:
            break
    return "".join(taken)


def half_request(number: int) -> bytes:
    """A long head of short lines, and the first byte of the body that it announces."""
    return f"{REQUEST_LINE}X-Txn: bad{number}\r\nContent-Length: 9\r\n{short_header_lines(HEAD_BYTES)}\r\n{{".encode()


async def bad_client(port: int, data: bytes) -> None:
    with contextlib.suppress(OSError):
        reader, writer = await asyncio.open_connection(LOCAL, port)
        writer.write(data)
        with contextlib.suppress(TimeoutError):
            async with asyncio.timeout(STAY_SECONDS):
                while await reader.read(65536):
                    pass
        writer.close()


def test_half_requests_with_long_heads_do_not_exhaust_the_memory(tmp_path: Path) -> None:
    """Only bodies counted against a limit: parsed heads took the process over its memory limit, and it was killed."""

    async def scene() -> None:
        async with AsyncExitStack() as stack:
            books = ExecutionLog()
            server = await stack.enter_async_context(StandIn(0, books, Behaviour(), 1, "platform").listening())
            discovery = Discovery((LOCAL, free_ports(1)[0]))
            discovery.put(row(server, "ready"))
            await discovery.start()
            limits = {"cores": 1.0, "memory_mb": MEMORY_LIMIT_MB, "sockets": 1024}
            router = RouterProcess(
                tmp_path,
                {"discovery": f"{LOCAL}:{discovery.address[1]}", "limits": limits, "settings": setup()},
            )
            stack.callback(router.kill)
            router.start()
            await router.until_health(200, 20)
            await asyncio.gather(*(bad_client(router.port, half_request(number)) for number in range(BAD_CLIENTS)))
            assert router.exit_code is None
            assert router.peak_bytes() < MEMORY_LIMIT_MB << 20
            assert (await Client("platform", router.port).ask())[0] == "served"

    asyncio.run(scene())


def test_connections_that_are_ended_for_memory_do_not_end_each_other(tmp_path: Path) -> None:
    """One that was ended was read first, ran short of memory itself, and ended the one for which room was made."""

    async def scene() -> None:
        servers = [ModelServer("platform")]
        async with servers[0].listening(), running(tmp_path, servers) as (program, ports):
            program.clients.memory.max_bytes = 4 << 20
            bad = [bad_client(ports["platform"], chunked_body(number)) for number in range(200)]
            await asyncio.gather(*bad)
            ended = program.counters.malformed + program.counters.crowded_out  # for lack of memory
            assert ended and not program.counters.exceptions
            assert (await Client("platform", ports["platform"]).ask())[0] == "served"

    asyncio.run(scene())


def chunked_body(number: int) -> bytes:
    """Tiny chunks, more than are read in one turn."""
    head = f"{REQUEST_LINE}X-Txn: bad{number}\r\nTransfer-Encoding: chunked\r\n\r\n"
    return head.encode() + b"1\r\nx\r\n" * 10_000


def request(number: int, body_bytes: int) -> bytes:
    body = b'{"x":"' + b"x" * body_bytes + b'"}'
    return f"{REQUEST_LINE}X-Txn: t{number}\r\nContent-Length: {len(body)}\r\n\r\n".encode() + body


def test_a_pipelined_request_waits_in_the_kernel_while_memory_is_short(tmp_path: Path) -> None:
    """Bytes behind an open request counted nowhere; they must neither be held without a limit nor be lost."""

    async def scene() -> None:
        async with (
            ModelServer("platform", "hold").listening() as server,
            running(tmp_path, [server]) as (program, ports),
        ):
            program.clients.memory.max_bytes = 16_000
            client = Client("platform", ports["platform"])
            wire = await client.connect()
            wire.writer.write(request(1, 10))
            await until(lambda: len(server.seen) == 1)
            program.clients.memory.max_bytes = 0
            wire.writer.write(request(2, PIPELINED_BODY_BYTES))
            (link,) = program.clients.links
            await until(lambda: len(link.buffer) > 0)
            await asyncio.sleep(0.05)
            assert len(link.buffer) <= INITIAL_BYTES
            program.clients.memory.max_bytes = 1 << 20
            server.go_on.set()
            assert [(await client.answer())[0], (await client.answer())[0]] == ["served", "served"]
            client.close()
            await until(lambda: not len(program.clients.links))
            assert program.clients.memory.client_bytes == 0

    asyncio.run(scene())


def test_only_the_headers_in_use_are_kept_of_an_answer(tmp_path: Path) -> None:
    """A model server's answer with thousands of headers was kept parsed for as long as its stream went on."""
    several = "".join(f"H{number}: ab\r\n" for number in range(1000)).encode()

    async def answer(reader: asyncio.StreamReader, writer: asyncio.StreamWriter) -> None:
        await reader.readuntil(b"\r\n\r\n")
        writer.write(HEAD[:-2] + several + b"\r\n" + b"9\r\ndata: x\n\n\r\n")
        await reader.read()
        writer.close()

    async def scene() -> None:
        listener = await asyncio.start_server(answer, LOCAL, 0)
        server = ModelServer("platform")
        server.port = listener.sockets[0].getsockname()[1]
        async with running(tmp_path, [server]) as (program, ports):
            client = Client("platform", ports["platform"])
            await client.send()
            await until(lambda: any(query.forwarded for query in program.core.queries))
            (link,) = program.servers.links
            assert link.head is not None and set(link.head.headers) == {"content-type", "transfer-encoding"}
            client.close()
        listener.close()

    asyncio.run(scene())


class RequestSender:
    """Sends requests in batches for as long as the other side reads them."""

    def __init__(self, writer: asyncio.StreamWriter) -> None:
        self.writer = writer
        self.sent = 0
        writer.transport.set_write_buffer_limits(0)

    async def run(self) -> None:
        while True:
            self.writer.write(b"GET /nothing HTTP/1.1\r\n\r\n" * BATCH_REQUESTS)
            self.sent += BATCH_REQUESTS
            await self.writer.drain()

    async def until_blocked(self) -> None:
        """Waits until the kernel takes no more requests, over many iterations of the event loop."""
        unchanged_iterations, unsent_before = 0, 0
        async with asyncio.timeout(BLOCKED_WITHIN_SECONDS):
            while unchanged_iterations < BLOCKED_ITERATIONS:
                await asyncio.sleep(0)
                unsent = self.writer.transport.get_write_buffer_size()
                unchanged_iterations = unchanged_iterations + 1 if unsent and unsent == unsent_before else 0
                unsent_before = unsent


def test_answers_that_a_client_does_not_read_are_bounded(tmp_path: Path) -> None:
    """Each request on a connection was answered, however many answers lay unread in the write buffer.

    The kernel holds some MB of them before the write buffer fills; how long that takes depends on the machine.
    """

    async def scene() -> None:
        async with running(tmp_path, []) as (program, ports):
            reader, writer = await asyncio.open_connection(LOCAL, ports["platform"], limit=1 << 10)
            sender = RequestSender(writer)
            sending = asyncio.create_task(sender.run())
            await until(lambda: any(link.unsent > MAX_UNSENT_BYTES for link in program.clients.links))
            await sender.until_blocked()
            (link,) = program.clients.links
            answer_bytes = 1024
            assert MAX_UNSENT_BYTES < link.unsent <= MAX_UNSENT_BYTES + answer_bytes
            sending.cancel()
            answers = 0
            while answers < sender.sent:
                answers += (await reader.readuntil(b"no such path\n")).count(b"HTTP/1.1 404")
            writer.close()

    asyncio.run(scene())


def test_ended_connections_and_their_request_are_freed_without_the_garbage_collector(tmp_path: Path) -> None:
    """They referred to each other, so their buffers stayed until a collection, which counts objects, not bytes."""

    async def scene() -> None:
        async with (
            ModelServer("platform", "silent").listening() as server,
            running(tmp_path, [server]) as (program, ports),
        ):
            client = Client("platform", ports["platform"])
            await client.send()
            await until(lambda: len(server.seen) == 1)
            ended = [*program.clients.links, *program.servers.links, *program.core.queries]
            assert len(ended) == 3
            connections = [weakref.ref(one) for one in ended if not isinstance(one, Query)]
            ended.clear()
            client.close()
            await until(lambda: not len(program.clients.links) and not len(program.servers.links))
            await asyncio.sleep(0.05)
            assert not any(reference() for reference in connections)
            assert not any(isinstance(one, Query) for one in gc.get_objects())

    gc.collect()
    gc.disable()
    try:
        asyncio.run(scene())
    finally:
        gc.enable()


def test_the_kernel_holds_little_of_an_answer_that_a_client_does_not_read(tmp_path: Path) -> None:
    """It took up to 4 MB of each, which no limit of the router counted."""

    async def scene() -> None:
        async with (
            ModelServer("platform", "flood").listening() as server,
            running(tmp_path, [server]) as (program, ports),
        ):
            client = Client("platform", ports["platform"])
            await client.send()
            await until(lambda: any(link.write_paused for link in program.clients.links))
            (link,) = program.clients.links
            assert link.transport is not None
            descriptor = link.transport.get_extra_info("socket").fileno()
            unsent = struct.unpack("i", fcntl.ioctl(descriptor, SIOCOUTQNSD, b"\0" * 4))[0]
            assert 0 < unsent <= KERNEL_UNSENT_BYTES + ONE_SEND_BYTES
            client.close()

    asyncio.run(scene())


def test_a_connection_that_is_not_read_is_checked_by_one_timer(tmp_path: Path) -> None:
    """Each query with others behind it started another timer, and all of them went on."""

    async def scene() -> None:
        async with (
            ModelServer("platform", *["serve"] * 30, "hold").listening() as server,
            running(tmp_path, [server]) as (program, ports),
        ):
            client = Client("platform", ports["platform"])
            wire = await client.connect()
            wire.writer.write(b"".join(request(number, 500) for number in range(60)))
            await until(lambda: len(server.seen) == 31)
            calls = [deadline.call for _, _, deadline in program.deadlines.heap]
            assert [getattr(call, "__name__", "") for call in calls].count("_check_paused") == 1
            client.close()

    asyncio.run(scene())


def test_a_new_connection_is_not_closed_for_memory_that_others_hold(tmp_path: Path) -> None:
    """It holds nothing yet, and its request may be on its way."""

    async def scene() -> None:
        async with ModelServer("platform").listening() as server, running(tmp_path, [server]) as (program, ports):
            program.clients.memory.max_bytes = 30_000
            client = Client("platform", ports["platform"])
            await client.connect()
            await until(lambda: len(program.clients.links) == 1)
            await bad_client(ports["platform"], request(1, PIPELINED_BODY_BYTES)[:-1])
            assert program.counters.crowded_out
            assert (await client.ask())[0] == "served"
            client.close()

    asyncio.run(scene())
