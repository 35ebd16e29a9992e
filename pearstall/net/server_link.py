"""Connections to model servers: pooled by process, one execution at a time."""

from __future__ import annotations

import asyncio
import contextlib
import socket
from collections.abc import Callable
from typing import NamedTuple, Protocol

from pearstall.net.buffer import Buffer
from pearstall.net.core import Blamed, Broken, Carrier, Core, Declined, End, Execution, Query, Reach, Served
from pearstall.net.counters import Counters
from pearstall.net.deadlines import Deadline, Deadlines
from pearstall.net.events import WELL_FORMED_LINES, EventSplitter
from pearstall.net.http1 import Body, Head, HeadReader, Malformed, body_of
from pearstall.net.memory import HeldMemory
from pearstall.net.pending import pending
from pearstall.net.slots import Slots


class Endpoint(NamedTuple):
    """One process of a model server. Another one may take its address later, or start again under its name."""

    host: str
    port: int
    replica: int
    since_ms: float  # its start, as discovery reports it


MAX_ERROR_BODY_BYTES = 64 * 1024
MAX_EVENT_WHILE_SHORT_BYTES = 64 * 1024  # of an incomplete event, while memory is short
MAX_INTERIM_RESPONSES = 16  # 1xx responses before the final one
# A server may send a second answer some milliseconds after the first. On a connection that is already in use again,
# it would be read as the answer to the next request, so a connection is not reused for this long after an answer.
REUSE_DELAY_SECONDS = 0.05
# When the event loop was blocked, an established connection may be noticed in the same iteration in which its connect
# timeout fires. asyncio needs at most this many more iterations to report it.
CONNECT_GRACE_ITERATIONS = 5
# The headers of an answer that are used; a server may send thousands of others, which would take memory.
ANSWER_HEADERS = frozenset(("connection", "content-length", "content-type", "transfer-encoding", "x-turned-away"))


class ServerForm(Protocol):
    """The wire form of a kind of model server."""

    def request(self, query: Query, address: tuple[str, int], timeout: float) -> bytes: ...

    def turned_away(self, head: Head) -> bool: ...

    def blames_query(self, head: Head) -> bool: ...

    def kept_tokens(self, events: bytes) -> int | None: ...


class ServerLink(asyncio.BufferedProtocol):
    def __init__(self, owner: ServerLinks, endpoint: Endpoint) -> None:
        self.owner = owner
        self.form: ServerForm
        self.endpoint = endpoint
        self.handle = owner.links.add(self)
        self.buffer = Buffer()
        self.transport: asyncio.Transport | None = None
        self.connecting: asyncio.Task[None] | None = None
        self.execution: Execution | None = None
        self.written = False  # the whole request was handed to the kernel
        self.closed = False
        self.head_reader = HeadReader(response=True)
        self.head: Head | None = None
        self.body: Body | None = None
        self.splitter = EventSplitter()
        self.kept_tokens = 0
        self.interim_responses = 0
        self.event_forwarded = self.done_event_seen = False
        self.error_body: list[bytes] = []
        self.deadline: Deadline | None = None  # of the connect at first, later of an idle connection
        self.idle_since = 0.0
        self.held_bytes = 0  # as counted by the owner

    # -- memory --------------------------------------------------------------------------------------------

    def _count_memory(self) -> None:
        """Updates what is counted for this connection: the part of a request that was not sent, and what came of its
        answer and was not passed on."""
        held = self.buffer.allocated_bytes + len(self.splitter.remainder) + sum(map(len, self.error_body))
        if self.transport is not None:
            held += self.transport.get_write_buffer_size()
        change, self.held_bytes = held - self.held_bytes, held
        self.owner.memory.count_for_servers(change)

    # -- one execution -------------------------------------------------------------------------------------

    def begin(self, execution: Execution, form: ServerForm) -> None:
        self._cancel_deadline()
        self.form = form
        self.execution = execution
        self.head = self.body = None
        self.splitter = EventSplitter()
        self.kept_tokens = self.interim_responses = 0
        self.event_forwarded = self.done_event_seen = False
        self.error_body = []
        self.written = False
        if self.transport is not None:
            self._write()

    def connect(self, limit: float) -> None:
        self._trace("connect")
        self.deadline = self.owner.deadlines.after(limit, self._connect_timed_out)
        self.connecting = asyncio.get_running_loop().create_task(self._connect())

    def _connect_timed_out(self, iterations_left: int = CONNECT_GRACE_ITERATIONS) -> None:
        if self.transport is not None or self.closed:
            return
        if iterations_left:
            asyncio.get_running_loop().call_soon(self._connect_timed_out, iterations_left - 1)
            return
        self._trace("too long")
        self.fail("connect timed out")

    async def _connect(self) -> None:
        try:
            await asyncio.get_running_loop().create_connection(
                lambda: self, self.endpoint.host, self.endpoint.port
            )
        except OSError as error:
            self._trace(f"refused {error.errno}")
            self.fail(f"connect: {error.strerror or error}")

    def connection_made(self, transport: asyncio.BaseTransport) -> None:
        assert isinstance(transport, asyncio.Transport)
        self.transport = transport
        # With no buffer above the socket's own, pause_writing means that the request is only partly written, and
        # resume_writing that it is written completely.
        transport.set_write_buffer_limits(0)
        if self.closed or self.execution is None or not self._still_wanted(self.execution):
            self.close()
            return
        self._trace("made")
        self._cancel_deadline()
        self._write()

    def _still_wanted(self, execution: Execution) -> bool:
        """While the connection was being established, the client may have left, the deadline may have passed, or the
        server may have started to drain."""
        target = self.owner.resolve(execution.replica)
        listed = target is not None and target[0] == self.endpoint
        return self.owner.core.still_needed(execution, listed)

    def _trace(self, what: str) -> None:
        if (trace := self.owner.core.trace) is not None and self.execution is not None:
            trace.link(what, self.execution.replica)

    def _write(self) -> None:
        assert self.transport is not None and self.execution is not None
        self.written = True
        # Encoded only now: if the connection took long to establish, less time is left than when it was requested.
        left = self.execution.expires_at - self.owner.deadlines.clock.time()
        address = (self.endpoint.host, self.endpoint.port)
        self.transport.write(self.form.request(self.execution.query, address, left))
        self._count_memory()

    def pause_writing(self) -> None:
        self.written = False

    def resume_writing(self) -> None:
        self.written = True
        self._count_memory()

    @property
    def reach(self) -> Reach:
        if self.head is not None:
            return Reach.ANSWERING
        if self.written:
            return Reach.FULLY_WRITTEN
        return Reach.PARTLY_WRITTEN if self.transport is not None else Reach.NOT_CONNECTED

    # -- the response --------------------------------------------------------------------------------------

    def get_buffer(self, sizehint: int) -> memoryview:
        return self.buffer.writable_view(read_ahead=not self.owner.memory.short)

    def buffer_updated(self, nbytes: int) -> None:
        self.buffer.wrote(nbytes)
        try:
            self._read()
        except Exception as error:  # contained here, so that no other connection is affected
            self.owner.counters.exceptions += 1
            self.fail(f"{type(error).__name__}: {error}")
        self._limit_memory()

    def _limit_memory(self) -> None:
        if not len(self.buffer):
            self.buffer.release_memory()
        self._count_memory()
        if self.owner.memory.short and len(self.splitter.remainder) > MAX_EVENT_WHILE_SHORT_BYTES:
            self.fail("the event is too large for the memory that is left")

    def _read(self) -> None:
        if self.execution is None:
            if len(self.buffer):
                self.close()  # data without a request: it must not be taken for the answer to the next one
            return
        while self.head is None:
            head = self.head_reader.read(self.buffer)
            if head is None:
                return
            if isinstance(head, Malformed):
                self.fail(head.why)
                return
            if head.status >= 200:
                self.head = head.reduced(ANSWER_HEADERS)
                continue
            self.interim_responses += 1
            if self.interim_responses > MAX_INTERIM_RESPONSES:
                self.fail("too many interim responses")
                return
        head = self.head
        if self.body is None:
            body = body_of(head)
            if isinstance(body, Malformed):
                self.fail(body.why)
                return
            self.body = body
        data = self.body.feed(self.buffer)
        if isinstance(data, Malformed):
            self.fail(data.why)
            return
        error = self.body.error  # handled once the data before it has been passed on
        streams = head.headers.get("content-type", "").lower().startswith("text/event-stream")
        if self.form.blames_query(head):
            self.error_body.append(data)
            if self.body.done:
                content_type = head.headers.get("content-type", "application/json")
                self._complete(Blamed(head.status, b"".join(self.error_body), content_type))
            elif sum(map(len, self.error_body)) > MAX_ERROR_BODY_BYTES:
                self.fail("the body of an error response is too large")
            return
        if head.status != 200 or not streams:
            self._complete(Declined(self.form.turned_away(head)))
            return
        if data:
            events = self.splitter.feed(data)
            if isinstance(events, Malformed):
                self.fail(events.why)
                return
            self._forward(events)
            if self.execution is not None and self.splitter.holds_part_of_event:
                self.owner.core.received_part(self.execution)
            error = error or self.splitter.error
        if error is not None:
            self.fail(error.why)
        elif self.body.done:
            self._finish_stream()

    def _forward(self, events: bytes) -> None:
        if events and self.execution is not None:
            tokens = self.form.kept_tokens(events)
            self.kept_tokens = self.kept_tokens if tokens is None else tokens
            self.event_forwarded = True
            self.done_event_seen = events.rstrip().endswith(b"[DONE]")
            self.owner.core.received(self.execution, events)

    def _finish_stream(self) -> None:
        remainder = self.splitter.remainder
        if (
            remainder
            and self.body is not None
            and self.body.until_close
            and not remainder.rstrip().endswith(b"[DONE]")
        ):
            self.fail("the connection closed within an event")  # the client would read a partial event as complete
            return
        if remainder:
            if not WELL_FORMED_LINES.fullmatch(remainder + b"\n"):
                self.fail("the stream contains a malformed event")
                return
            self._forward(remainder)
        if not self.event_forwarded:
            self.fail("the stream contains no event")
        elif self.body is not None and self.body.until_close and not self.done_event_seen:
            # Without framing, only [DONE] distinguishes a complete stream from a broken connection.
            self.fail("the connection closed before the end of the stream")
        else:
            self._complete(Served(self.kept_tokens))

    def eof_received(self) -> bool:
        return False

    def connection_lost(self, error: Exception | None) -> None:
        if not self.closed and error is None and self.body is not None and self.body.until_close:
            self.closed = True
            if self.execution is not None:
                self._finish_stream()
            self.close()
            self._release_memory()
            return
        self.fail(f"the connection was lost{f': {error}' if error else ''}")
        self._release_memory()

    def _release_memory(self) -> None:
        """The connection has ended; a transport may refer to it for longer."""
        self.buffer.discard()
        self.splitter = EventSplitter()
        self.error_body = []
        self.head = self.body = self.transport = self.connecting = None
        self._count_memory()

    # -- its end -------------------------------------------------------------------------------------------

    def _complete(self, end: End) -> None:
        """The execution has its answer. The connection is released before the core is notified, so that a next
        execution can use it."""
        execution, self.execution = self.execution, None
        clean = self.body is not None and self.body.done and self.written and not len(self.buffer)
        if clean and self.head is not None and self.head.keep_alive and not self.closed:
            self.pause(False)
            self.buffer.release_memory()
            self.owner.release(self)
        else:
            self.close()
        if execution is not None:
            self.owner.core.ended(execution, end)

    def fail(self, why: str) -> None:
        reach = self.reach
        execution, self.execution = self.execution, None
        self.close()
        if execution is not None:
            self.owner.core.ended(execution, Broken(reach, why))

    def give_up(self) -> None:
        self.execution = None
        self.close()

    def close(self) -> None:
        """Shuts the socket down at once, so that no earlier execution has an open connection when the next one
        starts: the transport itself closes its socket only in the next iteration of the event loop."""
        self.closed = True
        self._cancel_deadline()
        if self.transport is not None:
            sock: socket.socket | None = self.transport.get_extra_info("socket")
            with contextlib.suppress(OSError):  # the server has closed it already
                if sock is not None:
                    sock.shutdown(socket.SHUT_RDWR)
            self.transport.abort()
        elif self.connecting is not None:
            self.connecting.cancel()
        self._drop()

    def _drop(self) -> None:
        self.owner.drop(self)

    def _cancel_deadline(self) -> None:
        if self.deadline is not None:
            self.deadline.cancel()
            self.deadline = None

    def pause(self, paused: bool) -> None:
        if self.transport is not None and not self.closed and not self.transport.is_closing():
            if paused:
                self.transport.pause_reading()
            else:
                self.transport.resume_reading()


class ServerLinks:
    def __init__(
        self,
        deadlines: Deadlines,
        counters: Counters,
        connect_limit: float,
        idle_limit: float,
        max_links: int,
        resolve: Callable[[int], tuple[Endpoint, ServerForm] | None],
        memory: HeldMemory | None = None,
    ) -> None:
        self.deadlines = deadlines
        self.counters = counters
        self.connect_limit = connect_limit
        self.idle_limit = idle_limit
        self.max_links = max_links
        self.resolve = resolve
        self.core: Core  # set once the core has been created: each refers to the other
        self.memory = memory or HeldMemory()
        self.links: Slots[ServerLink] = Slots()
        self.idle: dict[Endpoint, list[ServerLink]] = {}

    def start(self, execution: Execution) -> Carrier | None:
        target = self.resolve(execution.replica)
        if target is None:
            return None
        endpoint, form = target
        if (link := self._take_idle(endpoint)) is not None:
            self.counters.server_links_reused += 1
            link.begin(execution, form)
            return link
        if len(self.links) >= self.max_links:
            self._close_one_idle()
        link = ServerLink(self, endpoint)
        self.memory.count_connections(1)
        self.counters.server_links += 1
        link.begin(execution, form)
        link.connect(self.connect_limit)
        return link

    def _take_idle(self, endpoint: Endpoint) -> ServerLink | None:
        """The most recently used connection that is past its reuse delay, so that surplus ones reach their idle
        timeout."""
        idle_before = self.deadlines.clock.time() - REUSE_DELAY_SECONDS
        for link in reversed(self.idle.get(endpoint, [])):
            if link.idle_since > idle_before:
                continue
            if link.transport is None or link.transport.is_closing() or pending(link.transport):
                link.close()  # the server's close has arrived but was not read yet: the query would get a reset
                continue
            self.idle[endpoint].remove(link)
            return link
        return None

    def _close_one_idle(self) -> None:
        for links in self.idle.values():
            if links:
                links[0].close()
                return

    def release(self, link: ServerLink) -> None:
        link.idle_since = self.deadlines.clock.time()
        self.idle.setdefault(link.endpoint, []).append(link)
        link.deadline = self.deadlines.after(self.idle_limit, link.close)

    def drop(self, link: ServerLink) -> None:
        if self.links.remove(link.handle) is not None:
            self.memory.count_connections(-1)
        idle = self.idle.get(link.endpoint)
        if idle and link in idle:
            idle.remove(link)
        if idle is not None and not idle:
            del self.idle[link.endpoint]  # servers come and go: an entry for each one ever seen would add up

    def close_idle(self) -> None:
        for links in list(self.idle.values()):
            for link in list(links):
                link.close()

    def close(self) -> None:
        for link in self.links:
            link.close()
