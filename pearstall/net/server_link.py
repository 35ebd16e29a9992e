"""Links to model servers: kept for reuse by address, one execution at a time."""

from __future__ import annotations

import asyncio
import contextlib
import socket
from collections.abc import Callable
from typing import Protocol

from pearstall.net.buffer import Buffer
from pearstall.net.core import Blamed, Broken, Carrier, Core, Declined, End, Execution, Query, Reach, Served
from pearstall.net.counters import Counters
from pearstall.net.deadlines import Deadline, Deadlines
from pearstall.net.events import LINES, EventSplitter
from pearstall.net.http1 import Body, Head, Malformed, body_of, read_head
from pearstall.net.pending import pending
from pearstall.net.slots import Slots

Address = tuple[str, int]
LARGEST_BLAME = 64 * 1024
MOST_AHEAD = 16  # 1xx answers before the one that counts
# A server may send a second answer some milliseconds behind the first. On a connection that was used again meanwhile
# it would pass for the next request's, so a connection rests for this long between two requests.
REST_BEFORE_REUSE = 0.05
# After the loop was held up, a connection that is up may be found in the turn in which its deadline is due; to show
# it needs so many turns more at most.
TURNS_TO_COME_UP = 5


class ServerForm(Protocol):
    """How a kind of model server is spoken to."""

    def request(self, query: Query, address: Address, patience: float) -> bytes: ...

    def turned_away(self, head: Head) -> bool: ...

    def blames_query(self, head: Head) -> bool: ...

    def kept_tokens(self, events: bytes) -> int | None: ...


class ServerLink(asyncio.BufferedProtocol):
    def __init__(self, owner: ServerLinks, address: Address) -> None:
        self.owner = owner
        self.form: ServerForm
        self.address = address
        self.handle = owner.links.add(self)
        self.buffer = Buffer()
        self.transport: asyncio.Transport | None = None
        self.connecting: asyncio.Task[None] | None = None
        self.execution: Execution | None = None
        self.written = False
        self.closed = False
        self.head: Head | None = None
        self.body: Body | None = None
        self.splitter = EventSplitter()
        self.kept = 0
        self.ahead = 0  # 1xx answers
        self.received = self.ended = False
        self.blame: list[bytes] = []  # the body of an error
        self.deadline: Deadline | None = None  # of the connect, then of being idle
        self.idle_since = 0.0

    # -- one execution -------------------------------------------------------------------------------------

    def begin(self, execution: Execution, form: ServerForm) -> None:
        self._stop_clock()
        self.form = form
        self.execution = execution
        self.head = self.body = None
        self.splitter = EventSplitter()
        self.kept = self.ahead = 0
        self.received = self.ended = False
        self.blame = []
        self.written = False
        if self.transport is not None:
            self._write()

    def connect(self, limit: float) -> None:
        self._note("connect")
        self.deadline = self.owner.deadlines.after(limit, self._too_long)
        self.connecting = asyncio.get_running_loop().create_task(self._connect())

    def _too_long(self, turns: int = TURNS_TO_COME_UP) -> None:
        if self.transport is not None or self.closed:
            return
        if turns:
            asyncio.get_running_loop().call_soon(self._too_long, turns - 1)
            return
        self._note("too long")
        self.fail("connect took too long")

    async def _connect(self) -> None:
        try:
            await asyncio.get_running_loop().create_connection(lambda: self, *self.address)
        except OSError as error:
            self._note(f"refused {error.errno}")
            self.fail(f"connect: {error.strerror or error}")

    def connection_made(self, transport: asyncio.BaseTransport) -> None:
        assert isinstance(transport, asyncio.Transport)
        self.transport = transport
        # No room above the socket's own: what is paused is partly written, what resumes is written whole.
        transport.set_write_buffer_limits(0)
        if self.closed or self.execution is None or not self._still_wanted(self.execution):
            self.close()
            return
        self._note("made")
        self._stop_clock()
        self._write()

    def _still_wanted(self, execution: Execution) -> bool:
        """While it came up, its client may have gone, its time passed, or its server begun to drain."""
        found = self.owner.where(execution.replica)
        listed = found is not None and found[0] == self.address
        return self.owner.core.still_needed(execution, listed)

    def _note(self, what: str) -> None:
        if (trace := self.owner.core.trace) is not None and self.execution is not None:
            trace.link(what, self.execution.replica)

    def _write(self) -> None:
        assert self.transport is not None and self.execution is not None
        self.written = True
        # Worded now: on a connection that came up late, less time is left than when it was asked for.
        left = self.execution.expires_at - self.owner.deadlines.clock.time()
        self.transport.write(self.form.request(self.execution.query, self.address, left))

    def pause_writing(self) -> None:
        self.written = False

    def resume_writing(self) -> None:
        self.written = True

    @property
    def reach(self) -> Reach:
        if self.head is not None:
            return Reach.ANSWERING
        if self.written:
            return Reach.FULLY_WRITTEN
        return Reach.PARTLY_WRITTEN if self.transport is not None else Reach.NOT_CONNECTED

    # -- what comes back -----------------------------------------------------------------------------------

    def get_buffer(self, sizehint: int) -> memoryview:
        return self.buffer.room()

    def buffer_updated(self, nbytes: int) -> None:
        self.buffer.wrote(nbytes)
        try:
            self._read()
        except Exception as error:  # stops here: no other link is harmed
            self.owner.counters.exceptions += 1
            self.fail(f"{type(error).__name__}: {error}")

    def _read(self) -> None:
        if self.execution is None:
            if len(self.buffer):
                self.close()  # a server that speaks unasked: what it would say next answers nothing of ours
            return
        while self.head is None:
            head = read_head(self.buffer, response=True)
            if head is None:
                return
            if isinstance(head, Malformed):
                self.fail(head.why)
                return
            if head.status >= 200:
                self.head = head
                continue
            self.ahead += 1
            if self.ahead > MOST_AHEAD:
                self.fail("an answer that never begins")
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
        broken = self.body.spoilt  # behind what came whole
        streams = head.headers.get("content-type", "").lower().startswith("text/event-stream")
        if self.form.blames_query(head):
            self.blame.append(data)
            if self.body.done:
                kind = head.headers.get("content-type", "application/json")
                self._done(Blamed(head.status, b"".join(self.blame), kind))
            elif sum(map(len, self.blame)) > LARGEST_BLAME:
                self.fail("an error without an end")
            return
        if head.status != 200 or not streams:
            self._done(Declined(self.form.turned_away(head)))
            return
        if data:
            events = self.splitter.feed(data)
            if isinstance(events, Malformed):
                self.fail(events.why)
                return
            self._pass_on(events)
            broken = broken or self.splitter.spoilt
        if broken is not None:
            self.fail(broken.why)
        elif self.body.done:
            self._stream_end()

    def _pass_on(self, events: bytes) -> None:
        if events and self.execution is not None:
            kept = self.form.kept_tokens(events)
            self.kept = self.kept if kept is None else kept
            self.received = True
            self.ended = events.rstrip().endswith(b"[DONE]")
            self.owner.core.received(self.execution, events)

    def _stream_end(self) -> None:
        rest = self.splitter.rest
        if rest and self.body is not None and self.body.until_close and not rest.rstrip().endswith(b"[DONE]"):
            self.fail("the link ended within an event")  # passed on, half of it would be an event of its own
            return
        if rest:
            if not LINES.fullmatch(rest + b"\n"):
                self.fail("an event that is none")
                return
            self._pass_on(rest)
        if not self.received:
            self.fail("a stream without an event")
        elif self.body is not None and self.body.until_close and not self.ended:
            self.fail("the link ended before the stream")  # nothing else tells its end from a break
        else:
            self._done(Served(self.kept))

    def eof_received(self) -> bool:
        return False

    def connection_lost(self, error: Exception | None) -> None:
        if not self.closed and error is None and self.body is not None and self.body.until_close:
            self.closed = True
            if self.execution is not None:
                self._stream_end()
            self.close()
            return
        self.fail(f"the link ended{f': {error}' if error else ''}")

    # -- its end -------------------------------------------------------------------------------------------

    def _done(self, end: End) -> None:
        """An answer is whole as far as the execution goes. The link is free before its end is told."""
        execution, self.execution = self.execution, None
        clean = self.body is not None and self.body.done and self.written and not len(self.buffer)
        if clean and self.head is not None and self.head.keeps and not self.closed:
            self.pause(False)
            self.buffer.rest()
            self.owner.free(self)
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
        """At once, so that the next execution finds no earlier one on an open connection: the transport
        itself would close its socket a turn of the loop later."""
        self.closed = True
        self._stop_clock()
        if self.transport is not None:
            end: socket.socket | None = self.transport.get_extra_info("socket")
            with contextlib.suppress(OSError):  # the other side was quicker
                if end is not None:
                    end.shutdown(socket.SHUT_RDWR)
            self.transport.abort()
        elif self.connecting is not None:
            self.connecting.cancel()
        self._drop()

    def _drop(self) -> None:
        self.owner.drop(self)

    def _stop_clock(self) -> None:
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
        most: int,
        where: Callable[[int], tuple[Address, ServerForm] | None],
    ) -> None:
        self.deadlines = deadlines
        self.counters = counters
        self.connect_limit = connect_limit
        self.idle_limit = idle_limit
        self.most = most
        self.where = where
        self.core: Core  # set by the one that puts the parts together
        self.links: Slots[ServerLink] = Slots()
        self.idle: dict[Address, list[ServerLink]] = {}

    def start(self, execution: Execution) -> Carrier | None:
        found = self.where(execution.replica)
        if found is None:
            return None
        address, form = found
        if (link := self._take_idle(address)) is not None:
            self.counters.server_links_reused += 1
            link.begin(execution, form)
            return link
        if len(self.links) >= self.most:
            self._make_room()
        link = ServerLink(self, address)
        self.counters.server_links += 1
        link.begin(execution, form)
        link.connect(self.connect_limit)
        return link

    def _take_idle(self, address: Address) -> ServerLink | None:
        """The latest used one that has rested: the others get to close."""
        rested_since = self.deadlines.clock.time() - REST_BEFORE_REUSE
        for link in reversed(self.idle.get(address, [])):
            if link.idle_since > rested_since:
                continue
            if link.transport is None or link.transport.is_closing() or pending(link.transport):
                link.close()  # its end has come but was not read yet: the query would be a reset
                continue
            self.idle[address].remove(link)
            return link
        return None

    def _make_room(self) -> None:
        for links in self.idle.values():
            if links:
                links[0].close()
                return

    def free(self, link: ServerLink) -> None:
        link.idle_since = self.deadlines.clock.time()
        self.idle.setdefault(link.address, []).append(link)
        link.deadline = self.deadlines.after(self.idle_limit, link.close)

    def drop(self, link: ServerLink) -> None:
        self.links.remove(link.handle)
        waiting = self.idle.get(link.address)
        if waiting and link in waiting:
            waiting.remove(link)
        if waiting is not None and not waiting:
            del self.idle[link.address]  # servers come and go: what is kept of them goes as well

    def close(self) -> None:
        for link in self.links:
            link.close()
