"""The stations of a world: model servers with an engine, discovery, and the front with its clients.

They speak the platform's protocol (and servers the OpenAI-style form too) over whatever loop they run on: a virtual
one with `network.Network`, or real sockets. None of them knows which.
"""

from __future__ import annotations

import asyncio
import json
from collections.abc import Callable
from dataclasses import dataclass, field
from typing import Any

import msgspec

from pearstall.lab.engine import Engine, EngineSettings, Sequence_, Verdict
from pearstall.lab.servers import Books, Execution
from pearstall.net.buffer import Buffer
from pearstall.net.http1 import Body, Head, Malformed, body_of, read_head

TOKEN = b'data: {"choices":[{"index":0,"delta":{"content":"%b"},"finish_reason":%b}]}\n\n'
TAGGED = b'data: {"id":"%b","choices":[{"index":0,"delta":{"content":"%b"},"finish_reason":%b}]}\n\n'
HEAD = b"HTTP/1.1 200 OK\r\nContent-Type: text/event-stream\r\nTransfer-Encoding: chunked\r\n\r\n"
CHARACTERS = 4  # of a token


class Work(msgspec.Struct):
    """What a simulated prompt is made of: named beginnings with their tokens, and how many tokens are wanted. It
    stands for the text in the body, which nobody reads in a simulation."""

    segments: list[tuple[str, int]] = []
    wanted: int = 0


class Asked(msgspec.Struct):
    work: Work | None = None
    messages: list[dict[str, Any]] = []
    max_tokens: int | None = None


def blocks_of(asked: Asked, block: int) -> tuple[int, list[object], int]:
    """Prompt tokens, a key for each whole block, and the tokens wanted."""
    if asked.work is not None:
        keys: list[object] = []
        total = 0
        for name, tokens in asked.work.segments:
            first, total = total, total + tokens
            keys += [(name, at) for at in range(first // block, total // block)]
        return max(1, total), keys, max(1, asked.work.wanted)
    text = "".join(str(message.get("content") or "") for message in asked.messages)
    size = block * CHARACTERS
    keys = [text[:at] for at in range(size, len(text) + 1, size)]
    return max(1, len(text) // CHARACTERS), list(keys), min(asked.max_tokens or 64, 4096)


class ServerLink(asyncio.Protocol):
    """One connection to a model server."""

    def __init__(self, owner: ModelServer) -> None:
        self.owner = owner
        self.buffer = Buffer()
        self.transport: asyncio.Transport | None = None
        self.head: Head | None = None
        self.body: Body | None = None
        self.parts: list[bytes] = []
        self.sequence: Sequence_ | None = None
        self.begun = False
        self.stuck = False
        self.txn = ""
        self.execution: Execution | None = None  # in the books, where there are any

    def connection_made(self, transport: asyncio.BaseTransport) -> None:
        assert isinstance(transport, asyncio.Transport)
        self.transport = transport
        self.owner.links[self] = None

    def connection_lost(self, error: Exception | None) -> None:
        self.owner.links.pop(self, None)
        if self.sequence is not None:
            sequence, self.sequence = self.sequence, None
            self.owner.out.pop(self.txn, None) if self.owner.out.get(self.txn) is self else None
            self.owner.engine.cancel(sequence)
        self._close_books()

    def _close_books(self) -> None:
        if self.execution is not None and self.owner.books is not None:
            self.owner.books.ended(self.execution)
            self.execution = None

    def eof_received(self) -> bool:
        return False

    def data_received(self, data: bytes) -> None:
        self.buffer.add(data)
        while len(self.buffer):
            if self.head is None:
                head = read_head(self.buffer)
                if head is None:
                    return
                body = body_of(head) if isinstance(head, Head) else head
                if isinstance(head, Malformed) or isinstance(body, Malformed):
                    self._abort()
                    return
                self.head, self.body, self.parts = head, body, []
            assert self.body is not None
            part = self.body.feed(self.buffer)
            if isinstance(part, Malformed):
                self._abort()
                return
            self.parts.append(part)
            if not self.body.done:
                return
            head, self.head = self.head, None
            self._request(head, b"".join(self.parts))

    def _abort(self) -> None:
        if self.transport is not None:
            self.transport.abort()

    def _write(self, data: bytes) -> None:
        if self.transport is not None and not self.transport.is_closing():
            self.transport.write(data)

    def _reply(self, status: str, headers: str = "") -> None:
        self.owner.out.pop(self.txn, None)
        self._close_books()
        self._write(f"HTTP/1.1 {status}\r\n{headers}Content-Length: 0\r\n\r\n".encode())

    def _request(self, head: Head, body: bytes) -> None:
        owner = self.owner
        owner.requests += 1
        if head.path == "/_health":
            self._reply("200 OK")
            return
        self.txn = head.headers.get("x-txn") or head.headers.get("x-request-id") or ""
        owner.saw(self.txn, self)
        fault = owner.fault
        if owner.books is not None and self.txn.startswith(owner.booked) and self.transport is not None:
            self.execution = Execution(self.txn, owner.books.count, fault, asyncio.get_running_loop().time())
            owner.books.began(self.execution, self.transport)
        if fault == "errors":
            self._reply("500 Error")
            return
        if fault == "silent" or (fault == "gray" and owner.requests % 2):
            return
        try:
            asked = msgspec.json.decode(body, type=Asked)
        except (msgspec.DecodeError, UnicodeDecodeError):
            self._reply("400 Bad Request")
            return
        prompt, keys, wanted = blocks_of(asked, owner.engine.settings.block)
        self.begun = self.stuck = False
        found = owner.engine.submit(prompt, keys, wanted, self._told)
        if isinstance(found, Verdict):
            if owner.form == "platform":
                self._reply("503 Busy", "X-Turned-Away: 1\r\n")
            else:
                self._reply("429 Busy" if found == Verdict.FULL else "503 Busy", "Retry-After: 1\r\n")
            return
        self.sequence = found

    def _told(self, count: int, done: bool) -> None:
        sequence = self.sequence
        if sequence is None:
            return
        if self.stuck or (self.owner.fault == "stalls" and self.begun):
            self.stuck = True  # and says nothing more, though the engine goes on
            return
        reason = b'"stop"' if done else b"null"
        if self.execution is None:
            event = TOKEN % (b"w" * count, reason)
        else:  # its events name it, so that a mix of two executions can't pass for one
            event = TAGGED % (b"e%d" % self.execution.server, b"w" * count, reason)
            self.execution.events.append(event)
        out = b"" if self.begun else HEAD
        self.begun = True
        out += b"%x\r\n%b\r\n" % (len(event), event)
        if self.owner.fault == "garbles" and sequence.made > 8:
            self._write(out + b"zz\r\nnoise")
            self._abort()
            return
        if done:
            usage = b'data: {"choices":[],"usage":{"prompt_tokens":%d,"completion_tokens":%d,' % (
                sequence.prompt,
                sequence.made,
            )
            usage += b'"prompt_tokens_details":{"cached_tokens":%d}}}\n\ndata: [DONE]\n\n' % sequence.reused
            out += b"%x\r\n%b\r\n0\r\n\r\n" % (len(usage), usage)
            self.sequence = None
            self.owner.out.pop(self.txn, None)
            if self.execution is not None:
                self.execution.events += [part + b"\n\n" for part in usage.split(b"\n\n")[:-1]]
                self.execution.whole = True
                self.execution.ended = asyncio.get_running_loop().time()
            self._close_books()
        self._write(out)


class ModelServer:
    """A model server at an address. `fault`: errors, silent, gray (every second request is taken and not answered),
    stalls, garbles, or none. `books`: of the executions whose ids begin with `booked`."""

    def __init__(
        self, name: str, address: tuple[str, int], settings: EngineSettings, zone: str = "", form: str = "platform",
        since: float = 0.0,
    ) -> None:  # fmt: skip
        self.name, self.address, self.settings, self.zone, self.form = name, address, settings, zone, form
        loop = asyncio.get_running_loop()
        self.engine = Engine(settings, loop, loop.time() if since else -1e9)
        self.since_ms = since * 1000
        self.fault = ""
        self.status = "ready"
        self.links: dict[ServerLink, None] = {}
        self.out: dict[str, ServerLink] = {}  # requests under way, by their ids
        self.requests = 0
        self.listener: asyncio.AbstractServer | None = None
        self.seen: Callable[[str, ModelServer], None] = lambda txn, server: None
        self.books: Books | None = None
        self.booked = ""

    def saw(self, txn: str, link: ServerLink) -> None:
        self.out[txn] = link
        self.seen(txn, self)

    async def start(self) -> None:
        loop = asyncio.get_running_loop()
        self.listener = await loop.create_server(lambda: ServerLink(self), *self.address)

    def stop(self) -> None:
        if self.listener is not None:
            self.listener.close()
        for link in list(self.links):
            link._abort()

    def row(self) -> dict[str, Any]:
        """In discovery's form."""
        return {
            "name": self.name, "address": f"{self.address[0]}:{self.address[1]}", "zone": self.zone, "type": "m1",
            "group": 0, "status": self.status, "weight": 1.0, "since_ms": self.since_ms,
        }  # fmt: skip


class Discovery:
    """The list of servers, watched. `lag`: seconds until a change is told."""

    def __init__(self, address: tuple[str, int], lag: float = 0.05) -> None:
        self.address, self.lag = address, lag
        self.rows: dict[str, dict[str, Any]] = {}
        self.index = 1
        self.changes: list[tuple[int, dict[str, Any]]] = []
        self.watches: dict[WatchEnd, None] = {}
        self.up = True
        self.silent = False
        self.listener: asyncio.AbstractServer | None = None

    async def start(self) -> None:
        loop = asyncio.get_running_loop()
        self.listener = await loop.create_server(lambda: WatchEnd(self), *self.address)

    def put(self, row: dict[str, Any]) -> None:
        self.index += 1
        if row["status"] == "gone":
            self.rows.pop(row["name"], None)
        else:
            self.rows[row["name"]] = row
        self.changes.append((self.index, row))
        del self.changes[:-512]
        asyncio.get_running_loop().call_later(self.lag, self._tell, self.index, row)

    def _tell(self, index: int, row: dict[str, Any]) -> None:
        for watch in list(self.watches):
            watch.tell({"index": index, "snapshot": False, "endpoints": [row]})

    def since(self, index: int) -> dict[str, Any]:
        oldest = self.changes[0][0] if self.changes else self.index + 1
        if 0 <= index <= self.index and index + 1 >= oldest:
            rows = [row for at, row in self.changes if at > index]
            return {"index": self.index, "snapshot": False, "endpoints": rows}
        return {"index": self.index, "snapshot": True, "endpoints": list(self.rows.values())}

    def mute(self) -> None:
        """All open watches fall silent, and nobody is told; new ones are answered."""
        for watch in self.watches:
            watch.muted = True

    def restart(self, reset_index: bool = False) -> None:
        for watch in list(self.watches):
            if watch.transport is not None:
                watch.transport.abort()
        if reset_index:
            self.index, self.changes = 1, []


class WatchEnd(asyncio.Protocol):
    def __init__(self, owner: Discovery) -> None:
        self.owner = owner
        self.transport: asyncio.Transport | None = None
        self.data = b""
        self.beat: asyncio.TimerHandle | None = None
        self.muted = False

    def connection_made(self, transport: asyncio.BaseTransport) -> None:
        assert isinstance(transport, asyncio.Transport)
        self.transport = transport

    def data_received(self, data: bytes) -> None:
        self.data += data
        if b"\r\n\r\n" not in self.data or self.transport is None:
            return
        target = self.data.split(b" ")[1].decode()
        self.data = b""
        if not self.owner.up:
            self.transport.abort()
            return
        index = int(target.partition("index=")[2] or -1)
        self.transport.write(b"HTTP/1.1 200 OK\r\nTransfer-Encoding: chunked\r\n\r\n")
        self.owner.watches[self] = None
        self.tell(self.owner.since(index))
        self._beat()

    def tell(self, news: dict[str, Any]) -> None:
        if self.transport is not None and not self.owner.silent and not self.muted:
            line = json.dumps(news).encode() + b"\n"
            self.transport.write(b"%x\r\n%b\r\n" % (len(line), line))

    def _beat(self) -> None:
        if self.transport is not None and not self.transport.is_closing():
            if not self.owner.silent and not self.muted:
                self.transport.write(b"1\r\n\n\r\n")
            self.beat = asyncio.get_running_loop().call_later(2.0, self._beat)

    def connection_lost(self, error: Exception | None) -> None:
        self.owner.watches.pop(self, None)
        if self.beat is not None:
            self.beat.cancel()


@dataclass(slots=True)
class Answer:
    """What a client got for one try. Times are the loop's seconds."""

    kind: str  # served, refused, failed, cut, lost
    first: float = 0.0
    last: float = 0.0
    tokens: int = 0
    retry_after: float = 0.0


@dataclass(slots=True)
class Ask:
    """One request of the load, with all its tries."""

    number: int
    klass: int
    tenant: int
    session: str
    segments: list[tuple[str, int]]
    wanted: int
    at: float
    deadline: float
    tries: list[Answer] = field(default_factory=list)
    router: int = -1

    @property
    def prompt(self) -> int:
        return sum(tokens for _, tokens in self.segments)


class ClientEnd(asyncio.Protocol):
    """One client's connection to a router; one request at a time."""

    def __init__(self) -> None:
        self.transport: asyncio.Transport | None = None
        self.buffer = Buffer()
        self.head: Head | None = None
        self.body: Body | None = None
        self.done: asyncio.Future[Answer] | None = None
        self.got = Answer("lost")
        self.begun = False
        self.gone = False

    def connection_made(self, transport: asyncio.BaseTransport) -> None:
        assert isinstance(transport, asyncio.Transport)
        self.transport = transport

    def ask(self, data: bytes) -> asyncio.Future[Answer]:
        assert self.transport is not None
        self.done = asyncio.get_running_loop().create_future()
        self.got, self.head, self.body, self.begun = Answer("lost"), None, None, False
        self.transport.write(data)
        return self.done

    def data_received(self, data: bytes) -> None:
        self.buffer.add(data)
        now = asyncio.get_running_loop().time()
        if self.head is None:
            head = read_head(self.buffer, response=True)
            if not isinstance(head, Head):
                return
            body = body_of(head)
            assert isinstance(body, Body)
            self.head, self.body = head, body
            kinds = {200: "cut", 503: "refused", 429: "refused"}
            self.got.kind = kinds.get(head.status, "failed")
            self.got.retry_after = float(head.headers.get("retry-after", "0") or 0)
        assert self.body is not None
        part = self.body.feed(self.buffer)
        if isinstance(part, Malformed):
            return
        if part and self.head.status == 200:
            if not self.begun:
                self.begun, self.got.first = True, now
            self.got.last = now
            self.got.tokens += part.count(b"w")
        if self.body.done:
            if self.head.status == 200:
                self.got.kind = "served"
            self.got.last = now
            if not self.head.keep_alive:
                self.gone = True
            self._end()

    def connection_lost(self, error: Exception | None) -> None:
        self.gone = True
        self.got.last = asyncio.get_running_loop().time()
        self._end()

    def _end(self) -> None:
        if self.done is not None and not self.done.done():
            self.done.set_result(self.got)
