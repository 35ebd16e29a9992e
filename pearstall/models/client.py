"""Model `client`: a client connection, byte by byte, on the real `ClientLink` with the platform's front.

A client pipelines queries, each split at token boundaries; it may half-close, reset, read slowly, or become silent.
The core is scripted: its answers, of every kind, are events of the model.
"""

from __future__ import annotations

import asyncio
import contextlib
import io
from collections.abc import Callable, Iterable
from functools import partial
from typing import Any, cast

from pearstall.eventlog import SILENT
from pearstall.models.attempt import Clock
from pearstall.models.explore import Model, Property
from pearstall.net.buffer import Buffer
from pearstall.net.client_link import ClientLink
from pearstall.net.client_links import ClientLinks
from pearstall.net.config import Named, Names
from pearstall.net.core import Blamed, Core, Query
from pearstall.net.counters import Counters
from pearstall.net.deadlines import Deadlines
from pearstall.net.http1 import Body, Head, Malformed, body_of, read_head
from pearstall.net.platform import PlatformFront

TICKS = 60

PROPERTIES = (
    Property(
        "one-answer", "the rule on final answers", "Each complete query gets one answer, and nothing else does."
    ),
    Property(
        "framed",
        "RFC 9112",
        "The output is a sequence of complete answers; only the last one of a closed connection may be partial.",
    ),
    Property("one-at-a-time", "the rule on queries", "A connection has at most one open query at the core."),
    Property(
        "gone-told",
        "the core is notified",
        "The core is notified of a disconnected client once, and only for an open query.",
    ),
    Property("silent-behind-end", "sockets", "Nothing is written to a lost connection."),
    Property("flow", "backpressure", "A query is paused exactly while its client's write buffer is full."),
    Property("freed", "bounded and freed", "A lost connection leaves nothing behind; a silent one is closed."),
)

HEAD = b"POST /v1/chat/completions HTTP/1.1\r\n"
FIRST = [
    HEAD[:28],
    HEAD[28:] + b"X-Txn: 1\r\nX-Lane: chat\r\nX-Remaining: 2\r\nContent-Length: 2\r\n",
    b"\r\n",
    b"{",
    b"}",
]
SECOND = [
    HEAD + b"X-Txn: 2\r\nX-Lane: chat\r\nX-Remaining: 2\r\nTransfer-Encoding: chunked\r",
    b"\n\r\n2\r\n{",
    b"}\r\n0\r\n\r\n",
]
BAD = [
    b"POST /v1/chat/completions HTTP/1.1\r\nX-Txn: 3\r\nX-Lane: chat\r\nTransfer-Encoding: chunked\r\n\r\n",
    b"zz\r\n",
]
OLD = [
    b"POST /v1/chat/completions HTTP/1.0\r\nX-Txn: 4\r\nX-Lane: chat\r\nX-Remaining: 2\r\nContent-Length: 2\r\n\r\n",
    b"{}",
]
NAMES = Names(lanes=[Named("chat")])


class Loop:
    """The part of an event loop that a connection uses."""

    def __init__(self) -> None:
        self.soon: list[Callable[[], object]] = []

    def call_soon(self, call: Callable[..., object], *given: Any) -> None:
        self.soon.append(partial(call, *given))

    def get_debug(self) -> bool:
        return False


class Transport(asyncio.Transport):
    def __init__(self) -> None:
        super().__init__()
        self.out = b""
        self.closing = self.lost = self.half = False
        self.breaches_seen: list[str] = []

    def get_extra_info(self, name: str, default: Any = None) -> Any:
        return (lambda: False) if name in ("pending", "gone") else default

    def set_write_buffer_limits(self, high: int | None = None, low: int | None = None) -> None: ...

    def get_write_buffer_size(self) -> int:
        return 0

    def is_closing(self) -> bool:
        return self.closing

    def write(self, data: Any) -> None:
        if self.lost:
            self.breaches_seen.append("silent-behind-end: written after the connection was lost")
        if self.half:
            self.breaches_seen.append("framed: written after the half close")
        if not self.closing:
            self.out += bytes(data)

    def write_eof(self) -> None:
        self.half = True

    def close(self) -> None:
        self.closing = True

    def abort(self) -> None:
        self.closing = True


class ScriptedCore:
    """A scripted core."""

    def __init__(self, deadlines: Deadlines) -> None:
        self.deadlines = deadlines
        self.open: dict[int, Query] = {}
        self.open_ids: set[str] = set()
        self.taken = 0
        self.gone = 0
        self.paused = False
        self.breaches_seen: list[str] = []
        self.log = SILENT

    def repeats_id(self, query: Query) -> bool:
        return query.txn in self.open_ids

    def take(self, query: Query) -> int:
        self.taken += 1
        query.handle = self.taken
        self.open[self.taken] = query
        self.paused = False
        if len(self.open) > 1:
            self.breaches_seen.append("one-at-a-time: two queries of one connection are open")
        return self.taken

    def client_gone(self, handle: int) -> None:
        self.gone += 1
        if self.open.pop(handle, None) is None:
            self.breaches_seen.append("gone-told: the core was notified of a client whose query is not open")

    def pause(self, handle: int, paused: bool) -> None:
        self.paused = paused


class ClientMachine:
    """The machine of this model; `queries` lists each query's tokens, `leaves` enables the event of a shutdown."""

    def __init__(self, queries: list[list[bytes]], leaves: bool = True) -> None:
        self.clock, self.counters, self.loop = Clock(), Counters(), Loop()
        self.core = ScriptedCore(Deadlines(self.clock))
        self.links = ClientLinks(cast(Core, self.core), self.counters, 8)
        front = PlatformFront(NAMES)
        front.ready = True
        self.link = ClientLink(self.links, front)
        self.transport = Transport()
        self.tokens = [token for query in queries for token in query]
        self.ends = {sum(map(len, queries[: number + 1])) for number in range(len(queries))}
        self.at = 0
        self.whole = 0  # number of queries sent completely
        self.leaves = leaves
        self.full = False
        self.lost = False
        self.events_made = 0
        self.breaches_seen: list[str] = []
        with self._running():
            self.link.connection_made(self.transport)

    @contextlib.contextmanager
    def _running(self) -> Any:
        asyncio._set_running_loop(cast(Any, self.loop))
        try:
            with contextlib.redirect_stderr(io.StringIO()):
                yield
        finally:
            asyncio._set_running_loop(None)

    def events(self) -> list[str]:
        out = []
        if not self.lost:
            if not self.transport.closing:
                if self.at < len(self.tokens):
                    out.append("send")
                out += ["eof", "reset", "room" if self.full else "full"]
            else:
                out.append("lost")
        if self.core.open:
            if self.events_made < 2:
                out.append("event")
            out += ["finish", "cut"] if self.events_made else ["refuse", "fail", "blame"]
        if self.loop.soon:
            out.append("turn")
        if self.leaves and not self.links.leaving:
            out.append("leave")
        if self.clock.has_timer():
            out.append("tick")
        return out

    def apply(self, event: str) -> None:
        self.breaches_seen = []
        self.core.breaches_seen, self.transport.breaches_seen = [], []
        with self._running():
            self._apply(event)

    def _apply(self, event: str) -> None:
        if event == "send":
            token = self.tokens[self.at]
            self.at += 1
            if self.at in self.ends:
                self.whole += 1
            while token:
                free = memoryview(self.link.get_buffer(-1))
                part = token[: len(free)]
                free[: len(part)] = part
                self.link.buffer_updated(len(part))
                token = token[len(part) :]
        elif event == "eof":
            if not self.link.eof_received():
                self.transport.closing = True
        elif event == "reset":
            self.transport.closing = True
            self._end(ConnectionResetError())
        elif event == "lost":
            self._end(None)
        elif event in ("full", "room"):
            self.full = event == "full"
            (self.link.pause_writing if self.full else self.link.resume_writing)()
        elif event == "turn":
            self.loop.soon.pop(0)()
        elif event == "leave":
            self.links.leave()
        elif event == "tick":
            self.clock.fire()
        else:
            self._answer(event)

    def _end(self, error: Exception | None) -> None:
        self.lost = self.transport.lost = True
        self.link.connection_lost(error)

    def _answer(self, event: str) -> None:
        (handle,) = self.core.open
        answer = self.core.open[handle].answer
        if event == "event":
            self.events_made += 1
            answer.pass_on(b"data: %d\n\n" % self.events_made)
            return
        del self.core.open[handle]
        self.events_made = 0
        answers: dict[str, Callable[[], None]] = {
            "finish": answer.finish,
            "cut": answer.cut,
            "refuse": partial(answer.refuse, 0),
            "fail": partial(answer.fail, False),
            "blame": partial(answer.blame, Blamed(400, b"{}", "text/plain")),
        }
        answers[event]()

    def _written(self) -> tuple[list[int], bytes]:
        """Returns the statuses of complete answers and the bytes after them; `?` if the output is malformed."""
        buffer = Buffer()
        statuses: list[int] = []
        buffer.add(self.transport.out)
        while len(buffer):
            left = len(buffer)
            head = read_head(buffer, response=True)
            if not isinstance(head, Head):
                return statuses, b"?" if isinstance(head, Malformed) else self.transport.out[-left:]
            body = body_of(head)
            if not isinstance(body, Body) or isinstance(body.feed(buffer), Malformed):
                return statuses, b"?"
            if not body.done:
                return statuses, self.transport.out[-left:]
            statuses.append(head.status)
        return statuses, b""

    def state(self) -> object:
        link, now = self.link, self.clock.now
        timers = sorted(
            (round((when - now) * 1e3), getattr(deadline.call, "__name__", ""))
            for when, _, deadline in self.core.deadlines.heap
            if deadline.call is not None
        )
        return (
            self.at,
            len(self.loop.soon),
            self.lost,
            self.transport.closing,
            self.transport.half,
            self.transport.out,
            self.full,
            tuple(self.core.open),
            self.core.gone,
            self.core.paused,
            self.events_made,
            timers,
            link.busy,
            link.keep_alive,
            link.closing,
            link.head is None,
            len(link.buffer),
            link.size,
            self.links.leaving,
            len(self.links.awaiting_request),
            len(self.links.between_requests),
        )

    def breaches(self) -> list[str]:
        out = self.breaches_seen + self.core.breaches_seen + self.transport.breaches_seen
        statuses, rest = self._written()
        sent = self.whole + self.counters.malformed + self.counters.crowded_out
        if len(statuses) > sent:
            out.append(f"one-answer: {len(statuses)} answers to {self.whole} queries")
        streaming = bool(self.core.open) and self.events_made > 0
        if rest and not (streaming or self.transport.closing or self.link.closing):
            out.append(f"framed: {rest!r} is written, but no answer is in progress")
        if rest == b"?":
            out.append(f"framed: {self.transport.out!r} can't be parsed")
        if self.counters.exceptions:
            out.append("no-exception: one was caught at the connection")
        streams = streaming and not self.lost and not self.transport.closing
        if streams and self.full != self.core.paused:
            out.append(f"flow: the client's buffer is {'full' if self.full else 'open'}, but its query is not")
        if self.lost:
            if self.core.open:
                out.append("gone-told: the client has disconnected, but its query is open")
            left = {
                "connections": len(self.links.links),
                "awaiting request": len(self.links.awaiting_request),
                "held bytes": self.links.memory.client_bytes,
                "between requests": len(self.links.between_requests),
                "timers": len(self.core.deadlines),
            }
            if any(left.values()):
                out.append(f"freed: {left}")
        return out

    def applied(self) -> Iterable[str]:
        out = {"framed"} if self.transport.out else set()
        if self.whole:
            out |= {"one-answer", "one-at-a-time"}
        if self.core.gone:
            out.add("gone-told")
        if self.core.open and self.full and self.events_made:
            out.add("flow")
        if self.lost:
            out |= {"freed", "silent-behind-end"}
        return out

    def settle(self) -> list[str]:
        """The client sends nothing more and reads; the core answers its open queries."""
        for _ in range(TICKS):
            names = self.events()
            for event in ("room", "lost", "turn", "finish", "fail", "tick"):
                if event in names:
                    self.apply(event)
                    break
            else:
                break
            if broken := self.breaches():
                return broken
        return [] if self.lost else ["freed: a silent connection was not closed"]


SHAPES: dict[str, Callable[[], ClientMachine]] = {
    "pipelined": partial(ClientMachine, [FIRST, SECOND]),
    "malformed": partial(ClientMachine, [SECOND, BAD]),
    "HTTP/1.0": partial(ClientMachine, [OLD]),
}
MODEL = Model(
    "client",
    "a client's connection, byte by byte: pipelined queries, bad chunks, half closes, resets, full buffers",
    PROPERTIES,
    dict(SHAPES),
    {"pipelined": (13, 22), "malformed": (13, 22), "HTTP/1.0": (12, 12)},
)
