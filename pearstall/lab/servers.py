"""Stand-in model servers on loopback: they answer by seed, err, stall and break on cue, and keep books.

Written from the platform's protocol page and the public description of the OpenAI-style API. An answer's events name
the query and the execution that made them, so that a mix of two can't pass for one.
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
WAYS = ("serve", "error", "away", "reset", "silent", "break", "stall")


@dataclass(slots=True)
class Execution:
    """One request at one server. Times are the event loop's seconds."""

    txn: str
    server: int
    way: str
    began: float
    ended: float = 0.0
    events: list[bytes] = field(default_factory=list)  # written, in their order
    whole: bool = False
    wasted: int = 0  # events made after the router had gone


@dataclass(slots=True)
class Behaviour:
    """How a server acts. `ways`: weights of WAYS. Times are seconds, each drawn from a range."""

    ways: dict[str, float] = field(default_factory=lambda: {"serve": 1.0})
    first: tuple[float, float] = (0.005, 0.03)
    gap: tuple[float, float] = (0.0, 0.01)
    events: tuple[int, int] = (4, 20)
    size: tuple[int, int] = (4, 120)  # characters of an event's text
    stall: float = 6.0

    def draw(self, random: Random) -> str:
        names = list(self.ways)
        return random.choices(names, [self.ways[name] for name in names])[0]


class Books:
    """All executions of all servers, by the id that the client gave its query."""

    def __init__(self, given_up: Callable[[asyncio.BaseTransport], bool] = pending) -> None:
        self.given_up = given_up  # whether the other side of this connection has left it, as far as can be known
        self.count = 0
        self.by_txn: dict[str, list[Execution]] = {}
        self.out: dict[str, list[tuple[Execution, asyncio.BaseTransport]]] = {}
        self.doubles: list[str] = []  # queries with two executions out at once

    def began(self, execution: Execution, transport: asyncio.BaseTransport) -> None:
        """A second execution while the first is out on an open link is a breach; one whose end waits unread
        on its link was given up."""
        for _, other in self.out.get(execution.txn, []):
            if not other.is_closing() and not self.given_up(other):
                self.doubles.append(execution.txn)
        self.count += 1
        self.by_txn.setdefault(execution.txn, []).append(execution)
        self.out.setdefault(execution.txn, []).append((execution, transport))

    def ended(self, execution: Execution) -> None:
        left = [pair for pair in self.out.get(execution.txn, []) if pair[0] is not execution]
        if left:
            self.out[execution.txn] = left
        else:
            self.out.pop(execution.txn, None)


class StandIn:
    """One model server. `form`: platform or openai."""

    def __init__(
        self, number: int, books: Books, behaviour: Behaviour, seed: int, form: str = "openai",
        clock: Callable[[], float] = time.monotonic,
    ) -> None:  # fmt: skip
        self.number, self.books, self.behaviour, self.form, self.clock = number, books, behaviour, form, clock
        self.random = Random(f"{seed}/{number}")
        self.port = 0
        self.open: set[asyncio.StreamWriter] = set()

    @asynccontextmanager
    async def listening(self, port: int = 0) -> AsyncIterator[StandIn]:
        server = await asyncio.start_server(self._link, LOCAL, port)
        self.port = server.sockets[0].getsockname()[1]
        try:
            yield self
        finally:
            server.close()
            for writer in list(self.open):
                writer.transport.abort()

    async def _link(self, reader: asyncio.StreamReader, writer: asyncio.StreamWriter) -> None:
        self.open.add(writer)
        buffer = Buffer()
        try:
            while (request := await _request(reader, buffer)) is not None:
                if not await self._answer(*request, reader, writer):
                    return
        except (ConnectionError, asyncio.CancelledError):
            pass  # the router has gone, or the run is over
        finally:
            writer.close()
            self.open.discard(writer)

    async def _answer(
        self, head: Head, body: bytes, reader: asyncio.StreamReader, writer: asyncio.StreamWriter
    ) -> bool:
        txn = head.headers.get("x-txn") or head.headers.get("x-request-id") or ""
        made = Execution(txn, self.number, self.behaviour.draw(self.random), self.clock())
        self.books.began(made, writer.transport)
        try:
            return await self._play(made, body, reader, writer)
        finally:
            made.ended = self.clock()
            self.books.ended(made)

    async def _play(
        self, made: Execution, body: bytes, reader: asyncio.StreamReader, writer: asyncio.StreamWriter
    ) -> bool:
        random, way = self.random, self.behaviour
        if made.way in ("error", "away"):
            await asyncio.sleep(random.uniform(0, way.first[0]))
            status = "500 Error" if made.way == "error" else "503 Busy"
            mark = "X-Turned-Away: 1\r\n" if made.way == "away" else ""
            writer.write(f"HTTP/1.1 {status}\r\n{mark}Content-Length: 0\r\n\r\n".encode())
            await writer.drain()
            return True
        await asyncio.sleep(random.uniform(*way.first))
        if made.way == "reset":
            writer.transport.abort()
            return False
        if made.way == "silent":
            await _gone(reader, way.stall)
            return False
        events = answer(made.txn, len(self.books.by_txn[made.txn]), random, way)
        stop = random.randrange(1, len(events) - 1) if made.way in ("break", "stall") else -1
        writer.write(HEAD)
        for number, event in enumerate(events):
            if number == stop:
                if made.way == "stall":
                    await _gone(reader, way.stall)
                writer.transport.abort()
                return False
            if writer.transport.is_closing() or reader.at_eof():
                made.wasted += 1
                return False
            writer.write(b"%x\r\n%b\r\n" % (len(event), event))
            made.events.append(event)
            await writer.drain()
            gap = random.uniform(*way.gap)
            if gap:
                await asyncio.sleep(gap)
        writer.write(b"0\r\n\r\n")
        made.whole = True
        await writer.drain()
        return True


def answer(txn: str, execution: int, random: Random, way: Behaviour) -> list[bytes]:
    """The events of one answer, as the API's public description has them."""
    base = {"id": f"chatcmpl-{txn}-{execution}", "object": "chat.completion.chunk", "created": 0, "model": "toy"}
    count = random.randint(*way.events)
    out = []
    for number in range(count):
        text = f"{number}:" + "x" * random.randint(*way.size)
        end = "stop" if number == count - 1 else None
        choice = {"index": 0, "delta": {"content": text}, "finish_reason": end}
        out.append(b"data: %b\n\n" % json.dumps({**base, "choices": [choice]}).encode())
    usage = {"prompt_tokens": 9, "completion_tokens": count, "total_tokens": 9 + count}
    out.append(b"data: %b\n\n" % json.dumps({**base, "choices": [], "usage": usage}).encode())
    return [*out, b"data: [DONE]\n\n"]


async def _gone(reader: asyncio.StreamReader, most: float) -> None:
    """Until the router goes, or for so long."""
    try:
        async with asyncio.timeout(most):
            while await reader.read(4096):
                pass
    except TimeoutError:
        pass


async def _request(reader: asyncio.StreamReader, buffer: Buffer) -> tuple[Head, bytes] | None:
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
    raise ConnectionError("framing")
