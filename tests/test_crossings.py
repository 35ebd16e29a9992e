"""Tests of two things that happen at the same moment, one test per pair; docs/design/crossings.md lists the pairs.

The order is forced: by the peers on loopback sockets, by a file that the program waits for, or by blocking the event
loop.
"""

from __future__ import annotations

import asyncio
import json
import os
import signal
import socket
import subprocess
import sys
import time
from collections.abc import AsyncIterator
from contextlib import AsyncExitStack, asynccontextmanager
from pathlib import Path

import pytest

from pearstall.interface import ListKind, Result, Send
from pearstall.models.client import Transport
from pearstall.net import serve, server_link
from pearstall.net.buffer import MAX_RETAINED_BYTES
from pearstall.net.client_link import LINGER_SECONDS, MAX_PIPELINED_BYTES, ClientLink
from pearstall.net.client_links import ClientLinks
from pearstall.net.config import Named, Names, read_config
from pearstall.net.core import Carrier, Execution
from pearstall.net.inventory import Host, HostList
from pearstall.net.platform import PlatformFront, number_of
from pearstall.net.serve import Program
from pearstall.net.server_link import ServerLink
from tests.net_support import LOCAL, PATH, Client, ModelServer, free_port, running, setup, stream, until
from tests.support import MS, Gateway, S, of, settings
from tests.test_core import Scene
from tests.test_lists import GOOD, Discovery, message

ROOT = Path(__file__).parent.parent


def request(number: int, wait: float = 60.0) -> bytes:
    head = f"POST {PATH} HTTP/1.1\r\nX-Txn: {number}\r\nX-Lane: chat\r\nX-Remaining: {wait}\r\n"
    return f"{head}Content-Length: 2\r\n\r\n{{}}".encode()


@asynccontextmanager
async def router_and_server(folder: Path, *script: str) -> AsyncIterator[tuple[ModelServer, Program, int]]:
    """A model server that follows this script, a router in front of it, and the port of the router's front."""
    async with ModelServer("platform", *script).listening() as server, running(folder, [server]) as (program, ports):
        yield server, program, ports["platform"]


async def until_streaming(program: Program) -> None:
    """Waits until a first event was passed on."""
    await until(lambda: any(query.forwarded for query in program.core.queries))


def no_delay(transport: asyncio.BaseTransport | None) -> bool:
    assert transport is not None
    sock: socket.socket = transport.get_extra_info("socket")
    return bool(sock.getsockopt(socket.IPPROTO_TCP, socket.TCP_NODELAY))


def test_small_events_are_not_delayed_on_either_side(tmp_path: Path) -> None:
    """Without TCP_NODELAY, the kernel delays an event until the previous one is acknowledged; a reset discards it."""

    async def scene() -> None:
        async with router_and_server(tmp_path, "wait") as (server, program, port):
            client = Client("platform", port)
            await client.send()
            await until_streaming(program)
            (downstream,) = program.clients.links
            (upstream,) = program.servers.links
            assert no_delay(downstream.transport) and no_delay(upstream.transport)
            server.go_on.set()
            client.close()

    asyncio.run(scene())


def test_each_event_is_forwarded_before_the_next_one_arrives(tmp_path: Path) -> None:
    """The server sends the next event only after the client has received the last one. If the router collected
    events, the stream would stall."""

    async def scene() -> None:
        async with router_and_server(tmp_path, "one by one") as (server, _, port):
            client = Client("platform", port)
            await client.send()
            wire = await client.connect()
            assert await wire.head(True) is not None
            for event in stream("platform"):
                while event not in wire.buffer.peek(len(wire.buffer)):
                    assert await wire.more()
                server.event_received.release()

    asyncio.run(scene())


def test_one_busy_connection_is_read_in_bounded_parts(tmp_path: Path, monkeypatch: pytest.MonkeyPatch) -> None:
    """Events on other connections wait for at most one such part."""
    sizes = []
    original = ServerLink.buffer_updated

    def recorded(self: ServerLink, nbytes: int) -> None:
        sizes.append(nbytes)
        original(self, nbytes)

    monkeypatch.setattr(ServerLink, "buffer_updated", recorded)

    async def scene() -> None:
        async with router_and_server(tmp_path, "flood") as (_, _, port):
            assert (await Client("platform", port).ask())[0] == "served"

    asyncio.run(scene())
    assert sum(sizes) > 20_000_000 and max(sizes) <= 2 * MAX_RETAINED_BYTES


# -- the start ---------------------------------------------------------------------------------------------


class BlockedOnConfiguration:
    """A router process that reads its configuration from a pipe, and blocks until a test has written it."""

    def __init__(self, folder: Path) -> None:
        self.pipe = folder / "config"
        os.mkfifo(self.pipe)
        command = [sys.executable, "-m", "pearstall", "--config", str(self.pipe)]
        self.process = subprocess.Popen(command, cwd=ROOT, stderr=subprocess.PIPE, text=True)

    def __enter__(self) -> BlockedOnConfiguration:
        return self

    def __exit__(self, *error: object) -> None:
        self.process.kill()
        self.process.communicate()

    def wait_for_read(self) -> int:
        """The other end of the pipe, once the process reads from it."""
        while self.process.poll() is None:
            try:
                return os.open(self.pipe, os.O_WRONLY | os.O_NONBLOCK)
            except OSError:  # it is not reading yet
                time.sleep(0.005)
        raise AssertionError(f"the program has ended with {self.process.returncode}")

    def write_configuration(self, end: int) -> None:
        """Writes the configuration, and replaces the pipe by a new one for the next read."""
        self.pipe.unlink()
        os.mkfifo(self.pipe)
        where = {"listen": f"{LOCAL}:{free_port()}", "discovery": f"{LOCAL}:1"}
        os.write(end, json.dumps({**where, "seed": "1", "settings": setup()}).encode())
        os.close(end)


def test_a_reload_requested_during_the_start_is_made_after_it(tmp_path: Path) -> None:
    with BlockedOnConfiguration(tmp_path) as blocked:
        end = blocked.wait_for_read()
        blocked.process.send_signal(signal.SIGHUP)
        blocked.process.send_signal(signal.SIGUSR1)
        blocked.write_configuration(end)
        blocked.write_configuration(blocked.wait_for_read())
        blocked.process.send_signal(signal.SIGTERM)
        _, errors = blocked.process.communicate(timeout=60)
        assert blocked.process.returncode == 0
        assert json.loads(errors.splitlines()[-1].partition(" ")[2])["reloads"] == 1


def test_a_program_asked_to_end_during_its_start_exits_cleanly(tmp_path: Path) -> None:
    with BlockedOnConfiguration(tmp_path) as blocked:
        end = blocked.wait_for_read()
        blocked.process.send_signal(signal.SIGTERM)
        blocked.process.send_signal(signal.SIGTERM)
        blocked.write_configuration(end)
        _, errors = blocked.process.communicate(timeout=60)
        assert blocked.process.returncode == 0 and "counters" in errors


def test_streams_that_nobody_resumes_are_not_begun_shortly_before_the_kill(
    tmp_path: Path, monkeypatch: pytest.MonkeyPatch
) -> None:
    """Streams in progress run to their end. A new one would be cut by the kill and lost."""
    assert serve.LATE_ARRIVAL_SECONDS < 0.7  # later queries have to be answered before the kill
    monkeypatch.setattr(serve, "LATE_ARRIVAL_SECONDS", 0.0)

    async def scene() -> None:
        async with router_and_server(tmp_path, "wait") as (server, program, port):
            first, second = (Client("platform", port, name) for name in "ab")
            await first.send()
            await until_streaming(program)
            program.leave()
            await until(lambda: not program.core.accepting)
            kind, head, _ = await second.ask()
            assert kind == "refused" and not head.keep_alive and len(server.seen) == 1
            server.go_on.set()
            assert (await first.answer())[0] == "served"

    asyncio.run(scene())


# -- upstream connections ----------------------------------------------------------------------------------


def test_a_second_answer_that_comes_late_is_no_answer_to_the_next_request(
    tmp_path: Path, monkeypatch: pytest.MonkeyPatch
) -> None:
    """The server writes the second answer once the next request has arrived, on whichever connection."""
    monkeypatch.setattr(server_link, "REUSE_DELAY_SECONDS", 60.0)

    async def scene() -> None:
        async with router_and_server(tmp_path, "serve", "late second") as (server, program, port):
            client = Client("platform", port)
            for _ in range(2):
                kind, _, body = await client.ask()
                assert (kind, body) == ("served", b"".join(stream("platform")))
            assert program.counters.outcomes == {"ok": 2}

    asyncio.run(scene())


def test_a_connection_is_reused_after_its_reuse_delay(tmp_path: Path) -> None:
    """The most recently used one of those, so that the others reach their idle timeout."""

    async def scene() -> None:
        async with router_and_server(tmp_path) as (server, program, port):
            clients = [Client("platform", port, name) for name in "abc"]
            await asyncio.gather(*(client.ask() for client in clients))
            (links,) = program.servers.idle.values()
            first, second, third = links
            now = program.loop.time()
            first.idle_since, second.idle_since, third.idle_since = now - 60.0, now - 50.0, now + 60.0
            assert program.servers._take_idle(first.endpoint) is second
            assert program.servers._take_idle(first.endpoint) is first
            assert program.servers._take_idle(first.endpoint) is None and links == [third]

    asyncio.run(scene())


def test_a_server_that_drains_while_its_connection_comes_up_is_sent_nothing(tmp_path: Path) -> None:
    """Where connects take longer than the grace period for drains, a request would arrive after it."""

    async def scene() -> None:
        async with AsyncExitStack() as stack:
            servers = [await stack.enter_async_context(ModelServer("platform").listening()) for _ in range(2)]
            program, ports = await stack.enter_async_context(running(tmp_path, servers))
            start, drained = program.servers.start, list[ModelServer]()

            def start_and_drain(execution: Execution) -> Carrier | None:
                carrier = start(execution)
                if not drained:  # one iteration after the choice, before the connection can be established
                    name = next(name for name in ("s0", "s1") if number_of(name) == execution.replica)
                    drained.append(servers[int(name[1])])
                    host = Host(name, f"{LOCAL}:{drained[0].port}", "a", "m1", status="draining")
                    program.loop.call_soon(program.cluster.take, HostList([host], 5, False), ListKind.DELTA)
                return carrier

            program.core.servers.start = start_and_drain  # type: ignore[method-assign]
            assert (await Client("platform", ports["platform"]).ask())[0] == "served"
            assert not drained[0].seen and program.counters.outcomes == {"moot": 1, "ok": 1}
            program.cluster.take(HostList([Host("s0", f"{LOCAL}:1", status="draining")], 3, False), ListKind.DELTA)
            assert program.counters.list_entries_skipped == 1  # older than the entry that the router has

    asyncio.run(scene())


def test_a_connection_established_while_the_loop_was_blocked_has_not_failed(tmp_path: Path) -> None:
    """Its connect timeout fires in the iteration that notices the connection, but asyncio reports it some iterations
    later."""

    async def scene() -> None:
        async with router_and_server(tmp_path) as (_, program, port):
            start = program.servers.start

            def start_and_block(execution: Execution) -> Carrier | None:
                carrier = start(execution)
                program.loop.call_soon(time.sleep, 2 * program.servers.connect_limit)
                return carrier

            program.core.servers.start = start_and_block  # type: ignore[method-assign]
            assert (await Client("platform", port).ask())[0] == "served"
            assert program.counters.outcomes == {"ok": 1}

    asyncio.run(scene())


def test_a_connection_established_at_the_deadline_is_not_written_to() -> None:
    """In one iteration, the event loop runs socket callbacks before timers that are due."""
    scene = Scene()
    query = scene.ask()
    (attempt,) = scene.out
    scene.clock.now = attempt.expires_at
    assert not scene.core.still_needed(attempt, True)
    assert attempt.ended and scene.counters.outcomes == {"moot": 1}
    assert query.in_flight == len(scene.out) - 1  # no attempt is in flight, or a new one


@pytest.mark.parametrize("after", [0.0, 0.5, 0.6, 0.7, 0.999, 1.0, 1.1])
def test_a_repeat_arrives_within_its_window(after: float) -> None:
    """Its connect may take the whole connect timeout."""
    window = 1 * S
    rules = settings({"effect": "token", "window": window, "give_up": 9 * S}, connect_timeout=250 * MS)
    gateway = Gateway(rules, 4)
    id, _ = gateway.request(deadline=gateway.now + 9 * S)
    gateway.now += int(after * S)
    repeats = of(Send, gateway.outcome(id, Result.RESET))
    assert len(repeats) == (after < 0.65)


def test_an_idle_connection_that_its_server_closes_as_it_is_taken_is_not_written_to(
    tmp_path: Path, monkeypatch: pytest.MonkeyPatch
) -> None:
    """The close is in the socket, but the event loop has not read it: the request would get a reset."""
    monkeypatch.setattr(server_link, "REUSE_DELAY_SECONDS", -1.0)

    async def scene() -> None:
        async with router_and_server(tmp_path) as (server, program, port):
            client = Client("platform", port)
            assert (await client.ask())[0] == "served"
            ((link,),) = program.servers.idle.values()
            (writer,) = server.open
            writer.get_extra_info("socket").shutdown(socket.SHUT_WR)
            assert program.servers._take_idle(link.endpoint) is None and link.closed  # in the same loop iteration
            assert (await client.ask())[0] == "served" and program.counters.outcomes == {"ok": 2}

    asyncio.run(scene())


def test_a_partial_event_at_the_end_of_a_connection_is_not_passed_on(tmp_path: Path) -> None:
    async def scene() -> None:
        async with router_and_server(tmp_path, "half an event") as (server, program, port):
            kind, _, body = await Client("platform", port).ask()
            assert (kind, body) == ("cut", b"data: x\n\n") and program.counters.broken == 1

    asyncio.run(scene())


# -- downstream connections --------------------------------------------------------------------------------


def test_the_deadline_of_a_pipelined_request_counts_from_its_arrival(tmp_path: Path) -> None:
    """Counted from the end of the previous answer, its deadline would be late by the duration of that answer."""

    async def scene() -> None:
        async with router_and_server(tmp_path, "wait", "silent") as (server, program, port):
            wire = await Client("platform", port).connect()
            wire.writer.write(request(1) + request(2))
            await until_streaming(program)
            sent_by = program.loop.time()
            server.go_on.set()
            await until(lambda: len(server.seen) == 2)
            (second,) = [query for query in program.core.queries if query.txn == "2"]
            assert second.deadline <= sent_by + 60.0
            wire.writer.close()

    asyncio.run(scene())


@pytest.mark.parametrize(("begun", "hurried"), [(False, False), (True, False), (True, True)])
def test_a_pipelined_request_is_answered_during_a_shutdown(begun: bool, hurried: bool, tmp_path: Path) -> None:
    """It arrived before the client could know of the shutdown: the connection must not close without its answer."""

    async def scene() -> None:
        async with router_and_server(tmp_path, "wait" if begun else "hold") as (server, program, port):
            client = Client("platform", port)
            wire = await client.connect()
            wire.writer.write(request(1) + request(2))
            await (until_streaming(program) if begun else until(lambda: len(server.seen) == 1))
            program.clients.leave()
            if hurried:
                program.core.hurry(True, program.loop.time() + 10.0)  # the stream in progress continues
                program.clients.hurry()
            server.go_on.set()
            assert (await client.answer())[0] == "served"
            kind, head, _ = await client.answer()
            assert kind == ("refused" if hurried else "served") and not head.keep_alive

    asyncio.run(scene())


def test_a_disconnect_is_noticed_while_writing_to_the_client_is_paused(tmp_path: Path) -> None:
    """One request has a paused answer, the other is pipelined behind it."""

    async def scene() -> None:
        async with router_and_server(tmp_path, "flood") as (server, program, port):
            end = socket.create_connection((LOCAL, port))
            end.sendall(request(1) + request(2))
            await until(lambda: any(link.write_paused for link in program.clients.links))
            end.close()
            await until(lambda: not len(program.clients.links) and not server.open)
            assert len(server.seen) == 1 and program.counters.clients_gone == 1
            assert not len(program.core.queries) and not program.core.router.pending

    asyncio.run(scene())


def test_a_client_that_pipelines_too_much_and_reads_nothing_is_aborted(tmp_path: Path) -> None:
    """A regular close would wait until the client has read its answer, and occupy the model server meanwhile."""

    async def scene() -> None:
        async with router_and_server(tmp_path, "flood") as (server, program, port):
            end = socket.create_connection((LOCAL, port))
            end.sendall(request(1))
            await until(lambda: any(link.write_paused for link in program.clients.links))
            end.setblocking(False)
            end.send(b"x" * 2 * MAX_PIPELINED_BYTES)
            await until(lambda: not len(program.core.queries) and not len(program.clients.links))
            await until(lambda: not server.open)
            end.close()

    asyncio.run(scene())


class SlowTransport(Transport):
    """The transport of a client that has not read this many bytes yet."""

    unread = 100

    def get_write_buffer_size(self) -> int:
        return self.unread


def slow_client(scene: Scene) -> tuple[ClientLink, SlowTransport]:
    links = ClientLinks(scene.core, scene.counters, 10)
    link, transport = ClientLink(links, PlatformFront(Names(lanes=[Named("chat")]))), SlowTransport()
    link.connection_made(transport)
    return link, transport


def test_a_closed_connection_stays_open_as_long_as_its_client_reads() -> None:
    scene = Scene()
    link, transport = slow_client(scene)
    link._linger()
    for unread in (60, 30, 1):
        transport.unread = unread
        scene.clock.move(LINGER_SECONDS)
        assert transport.half and not transport.closing
    scene.clock.move(LINGER_SECONDS)  # it has read nothing in the meantime
    assert transport.closing


def test_an_answer_that_is_read_slowly_is_not_reset_between_two_requests() -> None:
    scene = Scene()
    link, transport = slow_client(scene)
    link._next_request()
    link.owner.leave()
    link.owner.hurry()
    assert link.closing and transport.half and not transport.closing


def test_the_program_does_not_end_before_its_answers_are_read(tmp_path: Path) -> None:
    async def scene() -> None:
        async with running(tmp_path, []) as (program, ports):
            link = ClientLink(program.clients, program.fronts[LOCAL, ports["platform"]])
            transport = SlowTransport()
            link.connection_made(transport)
            program.shutdown_started_at = program.clients.last_accept_at = program.loop.time() - 60.0
            program._check_finished()
            assert not program.ended.is_set()
            transport.unread = 0
            program._check_finished()
            assert program.ended.is_set()
            link.connection_lost(None)

    asyncio.run(scene())


def test_a_request_that_waits_for_a_server_is_dropped_when_its_client_disconnects(tmp_path: Path) -> None:
    async def scene() -> None:
        async with AsyncExitStack() as stack:
            server = await stack.enter_async_context(ModelServer("platform").listening())
            program, ports = await stack.enter_async_context(running(tmp_path, []))
            client = Client("platform", ports["platform"])
            await client.send()
            await until(lambda: len(program.core.router.queued) == 1)
            client.close()
            await until(lambda: not program.core.router.queued and not len(program.core.queries))
            program.cluster.take(HostList([Host("s0", f"{LOCAL}:{server.port}", "a", "m1")], 5), ListKind.FULL)
            assert (await Client("platform", ports["platform"], "n").ask())[0] == "served"
            assert len(server.seen) == 1 and program.counters.clients_gone == 1

    asyncio.run(scene())


# -- signals and reloads --------------------------------------------------------------------------------------


HALF = ["", '{"listen": "127.0', "[]", '{"settings": 3}', '{"limits": {"sockets": "x"}}', '{"name": "\\ud800"}']


@pytest.mark.parametrize("half", HALF)
def test_a_configuration_that_is_half_written_changes_nothing(half: str, tmp_path: Path) -> None:
    async def scene() -> None:
        async with router_and_server(tmp_path, "wait") as (server, program, port):
            client = Client("platform", port)
            await client.send()
            await until_streaming(program)
            before = program.config
            (tmp_path / "config.json").write_text(half)
            program.reload()
            (tmp_path / "config.json").unlink()
            program.reload()
            assert program.config is before and program.counters.reload_failures == 2
            server.go_on.set()
            assert (await client.answer())[0] == "served" and (await client.ask())[0] == "served"

    asyncio.run(scene())


def test_a_program_asked_twice_to_end_answers_its_open_queries_and_ends_once(tmp_path: Path) -> None:
    async def scene() -> None:
        async with router_and_server(tmp_path, "wait") as (server, program, port):
            client = Client("platform", port)
            await client.send()
            await until_streaming(program)
            program.leave()
            first = program.shutdown_started_at
            program.reload()
            program.leave()
            assert program.shutdown_started_at == first and not program.ended.is_set()
            server.go_on.set()
            assert (await client.answer())[0] == "served"
            client.close()
            await until(program.ended.is_set)

    asyncio.run(scene())


@pytest.mark.parametrize("silent", [False, True])
def test_a_watch_that_ends_or_is_silent_right_after_a_reload_is_opened_anew(
    silent: bool, tmp_path: Path, monkeypatch: pytest.MonkeyPatch
) -> None:
    """The router requests the whole list again, because the versions of the new discovery may start anew."""
    monkeypatch.setattr("pearstall.net.cluster.WATCH_SILENCE_SECONDS", 0.1)

    async def scene() -> None:
        old = Discovery([message(GOOD, index=6), b"wait", b"end"])
        new = Discovery([] if silent else [b"end"], [message(GOOD, index=2), b"wait", b"end"])
        listeners = [await asyncio.start_server(one.link, LOCAL, 0) for one in (old, new)]
        places = [f"{LOCAL}:{one.sockets[0].getsockname()[1]}" for one in listeners]
        config = {"listen": f"{LOCAL}:{free_port()}", "seed": "7", "settings": setup()}
        (tmp_path / "config.json").write_text(json.dumps(config | {"discovery": places[0]}))
        program = Program(read_config({}, config=str(tmp_path / "config.json")))
        await program.start()
        await until(lambda: program.cluster.index == 6)
        (tmp_path / "config.json").write_text(json.dumps(config | {"discovery": places[1]}))
        program.reload()
        await until(lambda: program.cluster.index == 2)
        assert new.asked[:2] == ["/catalog/members?stream=1"] * 2
        assert number_of("s1") in program.cluster.addresses
        for one in (old, new):
            one.more.set()
        await program.close()
        for listener in listeners:
            listener.close()

    asyncio.run(scene())


# -- headers of requests -----------------------------------------------------------------------------------


def test_end_to_end_headers_are_forwarded_and_hop_by_hop_headers_are_not(tmp_path: Path) -> None:
    """A class that may be repeated within a window has a key by which model servers recognise a repeat."""

    async def scene() -> None:
        async with router_and_server(tmp_path, "error") as (server, program, port):
            client = Client("platform", port)
            wire = await client.connect()
            extra = b"Idempotency-Key: k-1\r\nTraceparent: 00-1\r\nAccept-Encoding: gzip\r\n"
            hop = b"Connection: keep-alive, X-Hop\r\nX-Hop: 1\r\n"
            wire.writer.write(request(1).replace(b"X-Txn", extra + hop + b"X-Txn", 1))
            assert (await client.answer())[0] == "served"
            for head, _ in server.seen:
                assert (head.headers["idempotency-key"], head.headers["traceparent"]) == ("k-1", "00-1")
                assert not {"x-hop", "x-lane", "connection", "accept-encoding"} & set(head.headers)
            assert len(server.seen) == 2 and program.counters.exceptions == 0

    asyncio.run(scene())
