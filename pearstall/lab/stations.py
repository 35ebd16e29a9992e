"""Simulated endpoints of a world: model servers with an engine, discovery, and clients of the routers.

They speak the platform's protocol (servers also the OpenAI-style one) on any asyncio loop: a virtual one with
`network.Network`, or one with real sockets.
"""

from __future__ import annotations

import asyncio
import json
from collections.abc import Callable
from dataclasses import dataclass, field
from typing import Any

import msgspec

from pearstall.lab.engine import Engine, EngineSettings, Sequence_, Verdict
from pearstall.lab.servers import Execution, ExecutionLog
from pearstall.net.buffer import Buffer
from pearstall.net.http1 import Body, Head, Malformed, body_of, read_head

TOKEN = b'data: {"choices":[{"index":0,"delta":{"content":"%b"},"finish_reason":%b}]}\n\n'
TAGGED = b'data: {"id":"%b","choices":[{"index":0,"delta":{"content":"%b"},"finish_reason":%b}]}\n\n'
HEAD = b"HTTP/1.1 200 OK\r\nContent-Type: text/event-stream\r\nTransfer-Encoding: chunked\r\n\r\n"
CHARACTERS_PER_TOKEN = 4


class Work(msgspec.Struct):
    """Describes a simulated prompt: named segments with their token counts, and the number of tokens to generate.
    It replaces the prompt's text, which a simulation does not need."""

    segments: list[tuple[str, int]] = []
    wanted: int = 0


class CompletionRequest(msgspec.Struct):
    work: Work | None = None
    messages: list[dict[str, Any]] = []
    max_tokens: int | None = None


def prompt_blocks(request: CompletionRequest, block: int) -> tuple[int, list[object], int]:
    """Returns the prompt tokens, a key for each complete block, and the tokens to generate."""
    if request.work is not None:
        keys: list[object] = []
        total = 0
        for name, tokens in request.work.segments:
            first, total = total, total + tokens
            keys += [(name, at) for at in range(first // block, total // block)]
        return max(1, total), keys, max(1, request.work.wanted)
    text = "".join(str(message.get("content") or "") for message in request.messages)
    size = block * CHARACTERS_PER_TOKEN
    keys = [text[:at] for at in range(size, len(text) + 1, size)]
    return max(1, len(text) // CHARACTERS_PER_TOKEN), list(keys), min(request.max_tokens or 64, 4096)


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
        self.stalled = False
        self.txn = ""
        self.execution: Execution | None = None  # only if `owner.execution_log` records this request

    def connection_made(self, transport: asyncio.BaseTransport) -> None:
        assert isinstance(transport, asyncio.Transport)
        self.transport = transport
        self.owner.links[self] = None

    def connection_lost(self, error: Exception | None) -> None:
        self.owner.links.pop(self, None)
        if self.sequence is not None:
            sequence, self.sequence = self.sequence, None
            self.owner.in_flight.pop(self.txn, None) if self.owner.in_flight.get(self.txn) is self else None
            self.owner.engine.cancel(sequence)
        self._record_end()

    def _record_end(self) -> None:
        if self.execution is not None and self.owner.execution_log is not None:
            self.owner.execution_log.ended(self.execution)
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
        self.owner.in_flight.pop(self.txn, None)
        self._record_end()
        self._write(f"HTTP/1.1 {status}\r\n{headers}Content-Length: 0\r\n\r\n".encode())

    def _request(self, head: Head, body: bytes) -> None:
        owner = self.owner
        owner.requests += 1
        if head.path == "/_health":
            self._reply("200 OK")
            return
        self.txn = head.headers.get("x-txn") or head.headers.get("x-request-id") or ""
        owner.register_request(self.txn, self)
        fault = owner.fault
        if (
            owner.execution_log is not None
            and self.txn.startswith(owner.recorded_prefix)
            and self.transport is not None
        ):
            self.execution = Execution(self.txn, owner.execution_log.count, fault, asyncio.get_running_loop().time())
            owner.execution_log.began(self.execution, self.transport)
        if fault == "errors":
            self._reply("500 Error")
            return
        if fault == "silent" or (fault == "gray" and owner.requests % 2):
            return
        try:
            request = msgspec.json.decode(body, type=CompletionRequest)
        except (msgspec.DecodeError, UnicodeDecodeError):
            self._reply("400 Bad Request")
            return
        prompt, keys, wanted = prompt_blocks(request, owner.engine.settings.block)
        self.begun = self.stalled = False
        outcome = owner.engine.submit(prompt, keys, wanted, self._on_tokens)
        if isinstance(outcome, Verdict):
            if owner.form == "platform":
                self._reply("503 Busy", "X-Turned-Away: 1\r\n")
            else:
                self._reply("429 Busy" if outcome == Verdict.FULL else "503 Busy", "Retry-After: 1\r\n")
            return
        self.sequence = outcome

    def _on_tokens(self, count: int, done: bool) -> None:
        sequence = self.sequence
        if sequence is None:
            return
        if self.stalled or (self.owner.fault == "stalls" and self.begun):
            self.stalled = True  # sends nothing more, although the engine continues
            return
        reason = b'"stop"' if done else b"null"
        if self.execution is None:
            event = TOKEN % (b"w" * count, reason)
        else:  # events carry the execution's id, so that a mix of two executions is detected
            event = TAGGED % (b"e%d" % self.execution.server, b"w" * count, reason)
            self.execution.events.append(event)
        response = b"" if self.begun else HEAD
        self.begun = True
        response += b"%x\r\n%b\r\n" % (len(event), event)
        if self.owner.fault == "garbles" and sequence.made > 8:
            self._write(response + b"zz\r\nnoise")
            self._abort()
            return
        if done:
            usage = b'data: {"choices":[],"usage":{"prompt_tokens":%d,"completion_tokens":%d,' % (
                sequence.prompt,
                sequence.made,
            )
            usage += b'"prompt_tokens_details":{"cached_tokens":%d}}}\n\ndata: [DONE]\n\n' % sequence.reused
            response += b"%x\r\n%b\r\n0\r\n\r\n" % (len(usage), usage)
            self.sequence = None
            self.owner.in_flight.pop(self.txn, None)
            if self.execution is not None:
                self.execution.events += [part + b"\n\n" for part in usage.split(b"\n\n")[:-1]]
                self.execution.whole = True
                self.execution.ended = asyncio.get_running_loop().time()
            self._record_end()
        self._write(response)


class ModelServer:
    """A model server at an address. `fault`: errors, silent, gray (every second request is accepted but never
    answered), stalls, garbles, or empty. `execution_log` records the executions whose ids start with
    `recorded_prefix`."""

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
        self.in_flight: dict[str, ServerLink] = {}  # requests being executed, by id
        self.requests = 0
        self.listener: asyncio.AbstractServer | None = None
        self.on_request: Callable[[str, ModelServer], None] = lambda txn, server: None
        self.execution_log: ExecutionLog | None = None
        self.recorded_prefix = ""

    def register_request(self, txn: str, link: ServerLink) -> None:
        self.in_flight[txn] = link
        self.on_request(txn, self)

    async def start(self) -> None:
        loop = asyncio.get_running_loop()
        self.listener = await loop.create_server(lambda: ServerLink(self), *self.address)

    def stop(self) -> None:
        if self.listener is not None:
            self.listener.close()
        for link in list(self.links):
            link._abort()

    def row(self) -> dict[str, Any]:
        """Returns its entry in the discovery list."""
        return {
            "name": self.name, "address": f"{self.address[0]}:{self.address[1]}", "zone": self.zone, "type": "m1",
            "group": 0, "status": self.status, "weight": 1.0, "since_ms": self.since_ms,
        }  # fmt: skip


class Discovery:
    """A discovery service with watches. `lag`: seconds from a change until it is sent to the watches."""

    def __init__(self, address: tuple[str, int], lag: float = 0.05) -> None:
        self.address, self.lag = address, lag
        self.rows: dict[str, dict[str, Any]] = {}
        self.index = 1
        self.changes: list[tuple[int, dict[str, Any]]] = []
        self.watches: dict[WatchConnection, None] = {}
        self.up = True
        self.silent = False
        self.listener: asyncio.AbstractServer | None = None

    async def start(self) -> None:
        loop = asyncio.get_running_loop()
        self.listener = await loop.create_server(lambda: WatchConnection(self), *self.address)

    def put(self, row: dict[str, Any]) -> None:
        self.index += 1
        if row["status"] == "gone":
            self.rows.pop(row["name"], None)
        else:
            self.rows[row["name"]] = row
        self.changes.append((self.index, row))
        del self.changes[:-512]
        asyncio.get_running_loop().call_later(self.lag, self._notify, self.index, row)

    def _notify(self, index: int, row: dict[str, Any]) -> None:
        for watch in list(self.watches):
            watch.send({"index": index, "snapshot": False, "endpoints": [row]})

    def since(self, index: int) -> dict[str, Any]:
        oldest = self.changes[0][0] if self.changes else self.index + 1
        if 0 <= index <= self.index and index + 1 >= oldest:
            rows = [row for at, row in self.changes if at > index]
            return {"index": self.index, "snapshot": False, "endpoints": rows}
        return {"index": self.index, "snapshot": True, "endpoints": list(self.rows.values())}

    def mute(self) -> None:
        """Stops sending on all open watches without closing them; new watches are served."""
        for watch in self.watches:
            watch.muted = True

    def restart(self, reset_index: bool = False) -> None:
        for watch in list(self.watches):
            if watch.transport is not None:
                watch.transport.abort()
        if reset_index:
            self.index, self.changes = 1, []


class WatchConnection(asyncio.Protocol):
    """A watch of the discovery service."""

    def __init__(self, owner: Discovery) -> None:
        self.owner = owner
        self.transport: asyncio.Transport | None = None
        self.data = b""
        self.heartbeat: asyncio.TimerHandle | None = None
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
        self.send(self.owner.since(index))
        self._send_heartbeat()

    def send(self, message: dict[str, Any]) -> None:
        if self.transport is not None and not self.owner.silent and not self.muted:
            line = json.dumps(message).encode() + b"\n"
            self.transport.write(b"%x\r\n%b\r\n" % (len(line), line))

    def _send_heartbeat(self) -> None:
        if self.transport is not None and not self.transport.is_closing():
            if not self.owner.silent and not self.muted:
                self.transport.write(b"1\r\n\n\r\n")
            self.heartbeat = asyncio.get_running_loop().call_later(2.0, self._send_heartbeat)

    def connection_lost(self, error: Exception | None) -> None:
        self.owner.watches.pop(self, None)
        if self.heartbeat is not None:
            self.heartbeat.cancel()


@dataclass(slots=True)
class Answer:
    """The outcome of one try of a client. Times are in seconds of the event loop's clock."""

    kind: str  # served, refused, failed, cut, lost
    first: float = 0.0
    last: float = 0.0
    tokens: int = 0
    retry_after: float = 0.0


@dataclass(slots=True)
class ClientRequest:
    """One client request of the generated load, with the outcomes of all its tries."""

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


class ClientConnection(asyncio.Protocol):
    """A client's connection to a router, with one request at a time."""

    def __init__(self) -> None:
        self.transport: asyncio.Transport | None = None
        self.buffer = Buffer()
        self.head: Head | None = None
        self.body: Body | None = None
        self.done: asyncio.Future[Answer] | None = None
        self.answer = Answer("lost")
        self.begun = False
        self.gone = False

    def connection_made(self, transport: asyncio.BaseTransport) -> None:
        assert isinstance(transport, asyncio.Transport)
        self.transport = transport

    def ask(self, data: bytes) -> asyncio.Future[Answer]:
        assert self.transport is not None
        self.done = asyncio.get_running_loop().create_future()
        self.answer, self.head, self.body, self.begun = Answer("lost"), None, None, False
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
            self.answer.kind = kinds.get(head.status, "failed")
            self.answer.retry_after = float(head.headers.get("retry-after", "0") or 0)
        assert self.body is not None
        part = self.body.feed(self.buffer)
        if isinstance(part, Malformed):
            return
        if part and self.head.status == 200:
            if not self.begun:
                self.begun, self.answer.first = True, now
            self.answer.last = now
            self.answer.tokens += part.count(b"w")
        if self.body.done:
            if self.head.status == 200:
                self.answer.kind = "served"
            self.answer.last = now
            if not self.head.keep_alive:
                self.gone = True
            self._end()

    def connection_lost(self, error: Exception | None) -> None:
        self.gone = True
        self.answer.last = asyncio.get_running_loop().time()
        self._end()

    def _end(self) -> None:
        if self.done is not None and not self.done.done():
            self.done.set_result(self.answer)
