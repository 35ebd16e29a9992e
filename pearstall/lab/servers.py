"""Stand-in model servers on loopback, with seeded answers and faults, and a log of every execution.

They follow the platform's protocol page and the public description of the OpenAI-style API. Each event of an answer
names the query and the execution that produced it, so a mix of two answers is detected.
"""

from __future__ import annotations

import asyncio
import json
import time
from collections.abc import AsyncIterator, Callable
from contextlib import asynccontextmanager
from dataclasses import dataclass, field
from random import Random

from pearstall.net.buffer import Buffer
from pearstall.net.http1 import Body, Head, Malformed, body_of, read_head
from pearstall.net.pending import pending

LOCAL = "127.0.0.1"
HEAD = b"HTTP/1.1 200 OK\r\nContent-Type: text/event-stream\r\nTransfer-Encoding: chunked\r\n\r\n"
# "away" is a 503 with X-Turned-Away; "silent" and "stall" send nothing (more) and keep the connection open.
OUTCOMES = ("serve", "error", "away", "reset", "silent", "break", "stall")


@dataclass(slots=True)
class Execution:
    """One request executed by one server. Times are seconds of the event loop's clock."""

    txn: str
    server: int
    outcome: str
    began: float
    ended: float = 0.0
    events: list[bytes] = field(default_factory=list)  # the events written, in order
    whole: bool = False  # the complete answer was written
    wasted: int = 0  # events produced after the router had closed the connection


@dataclass(slots=True)
class Behaviour:
    """How a server behaves. `outcome_weights`: weights of OUTCOMES. Times are seconds, each drawn from a range."""

    outcome_weights: dict[str, float] = field(default_factory=lambda: {"serve": 1.0})
    first: tuple[float, float] = (0.005, 0.03)  # until the answer begins
    gap: tuple[float, float] = (0.0, 0.01)  # between events
    events: tuple[int, int] = (4, 20)  # in one answer
    size: tuple[int, int] = (4, 120)  # characters of text in an event
    stall: float = 6.0  # how long a silent or stalled answer keeps the connection open

    def draw(self, random: Random) -> str:
        names = list(self.outcome_weights)
        return random.choices(names, [self.outcome_weights[name] for name in names])[0]


class ExecutionLog:
    """All executions of all servers, by the id that the client gave its query (X-Txn or X-Request-Id)."""

    def __init__(self, peer_has_closed: Callable[[asyncio.BaseTransport], bool] = pending) -> None:
        self.peer_has_closed = peer_has_closed  # whether the peer is known to have closed this connection
        self.count = 0
        self.by_txn: dict[str, list[Execution]] = {}
        self.running: dict[str, list[tuple[Execution, asyncio.BaseTransport]]] = {}
        self.overlapping: list[str] = []  # queries that had two executions running at once

    def began(self, execution: Execution, transport: asyncio.BaseTransport) -> None:
        """Records the start of an execution. It overlaps another one of the same query that still runs on an open
        connection, unless the router has closed that connection and the server has only not read the close yet."""
        for _, other in self.running.get(execution.txn, []):
            if not other.is_closing() and not self.peer_has_closed(other):
                self.overlapping.append(execution.txn)
        self.count += 1
        self.by_txn.setdefault(execution.txn, []).append(execution)
        self.running.setdefault(execution.txn, []).append((execution, transport))

    def ended(self, execution: Execution) -> None:
        remaining = [pair for pair in self.running.get(execution.txn, []) if pair[0] is not execution]
        if remaining:
            self.running[execution.txn] = remaining
        else:
            self.running.pop(execution.txn, None)


class StandIn:
    """One model server. `form`: the API that it serves, platform or openai."""

    def __init__(
        self, number: int, log: ExecutionLog, behaviour: Behaviour, seed: int, form: str = "openai",
        clock: Callable[[], float] = time.monotonic,
    ) -> None:  # fmt: skip
        self.number, self.log, self.behaviour, self.form, self.clock = number, log, behaviour, form, clock
        self.random = Random(f"{seed}/{number}")
        self.port = 0
        self.open: set[asyncio.StreamWriter] = set()

    @asynccontextmanager
    async def listening(self, port: int = 0) -> AsyncIterator[StandIn]:
        server = await asyncio.start_server(self._serve_connection, LOCAL, port)
        self.port = server.sockets[0].getsockname()[1]
        try:
            yield self
        finally:
            server.close()
            for writer in list(self.open):
                writer.transport.abort()

    async def _serve_connection(self, reader: asyncio.StreamReader, writer: asyncio.StreamWriter) -> None:
        self.open.add(writer)
        buffer = Buffer()
        try:
            while (request := await _read_request(reader, buffer)) is not None:
                if not await self._answer(*request, reader, writer):
                    return
        except (ConnectionError, asyncio.CancelledError):
            pass  # the router closed the connection, or the run is over
        finally:
            writer.close()
            self.open.discard(writer)

    async def _answer(
        self, head: Head, body: bytes, reader: asyncio.StreamReader, writer: asyncio.StreamWriter
    ) -> bool:
        txn = head.headers.get("x-txn") or head.headers.get("x-request-id") or ""
        execution = Execution(txn, self.number, self.behaviour.draw(self.random), self.clock())
        self.log.began(execution, writer.transport)
        try:
            return await self._respond(execution, body, reader, writer)
        finally:
            execution.ended = self.clock()
            self.log.ended(execution)

    async def _respond(
        self, execution: Execution, body: bytes, reader: asyncio.StreamReader, writer: asyncio.StreamWriter
    ) -> bool:
        random, behaviour = self.random, self.behaviour
        if execution.outcome in ("error", "away"):
            await asyncio.sleep(random.uniform(0, behaviour.first[0]))
            status = "500 Error" if execution.outcome == "error" else "503 Busy"
            extra_header = "X-Turned-Away: 1\r\n" if execution.outcome == "away" else ""
            writer.write(f"HTTP/1.1 {status}\r\n{extra_header}Content-Length: 0\r\n\r\n".encode())
            await writer.drain()
            return True
        await asyncio.sleep(random.uniform(*behaviour.first))
        if execution.outcome == "reset":
            writer.transport.abort()
            return False
        if execution.outcome == "silent":
            await _wait_for_close(reader, behaviour.stall)
            return False
        events = answer(execution.txn, len(self.log.by_txn[execution.txn]), random, behaviour)
        stop = random.randrange(1, len(events) - 1) if execution.outcome in ("break", "stall") else -1
        writer.write(HEAD)
        for number, event in enumerate(events):
            if number == stop:
                if execution.outcome == "stall":
                    await _wait_for_close(reader, behaviour.stall)
                writer.transport.abort()
                return False
            if writer.transport.is_closing() or reader.at_eof():
                execution.wasted += 1
                return False
            writer.write(b"%x\r\n%b\r\n" % (len(event), event))
            execution.events.append(event)
            await writer.drain()
            gap = random.uniform(*behaviour.gap)
            if gap:
                await asyncio.sleep(gap)
        writer.write(b"0\r\n\r\n")
        execution.whole = True
        await writer.drain()
        return True


def answer(txn: str, execution: int, random: Random, behaviour: Behaviour) -> list[bytes]:
    """The events of one answer, in the form that the API's public description gives."""
    base = {"id": f"chatcmpl-{txn}-{execution}", "object": "chat.completion.chunk", "created": 0, "model": "toy"}
    count = random.randint(*behaviour.events)
    out = []
    for number in range(count):
        text = f"{number}:" + "x" * random.randint(*behaviour.size)
        end = "stop" if number == count - 1 else None
        choice = {"index": 0, "delta": {"content": text}, "finish_reason": end}
        out.append(b"data: %b\n\n" % json.dumps({**base, "choices": [choice]}).encode())
    usage = {"prompt_tokens": 9, "completion_tokens": count, "total_tokens": 9 + count}
    out.append(b"data: %b\n\n" % json.dumps({**base, "choices": [], "usage": usage}).encode())
    return [*out, b"data: [DONE]\n\n"]


async def _wait_for_close(reader: asyncio.StreamReader, timeout: float) -> None:
    """Waits until the router closes the connection, for at most `timeout` seconds."""
    try:
        async with asyncio.timeout(timeout):
            while await reader.read(4096):
                pass
    except TimeoutError:
        pass


async def _read_request(reader: asyncio.StreamReader, buffer: Buffer) -> tuple[Head, bytes] | None:
    while (head := read_head(buffer)) is None:
        data = await reader.read(65536)
        if not data:
            return None
        buffer.add(data)
    if isinstance(head, Malformed):
        raise ConnectionError(head.why)
    body = body_of(head)
    parts: list[bytes] = []
    while isinstance(body, Body):
        part = body.feed(buffer)
        if isinstance(part, Malformed):
            raise ConnectionError(part.why)
        parts.append(part)
        if body.done:
            return head, b"".join(parts)
        data = await reader.read(65536)
        if not data:
            return None
        buffer.add(data)
    raise ConnectionError("the request's framing is malformed")
