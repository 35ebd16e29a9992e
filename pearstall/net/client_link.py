"""Links from clients: one query at a time, in either front's form."""

from __future__ import annotations

import asyncio
from collections.abc import Callable
from itertools import islice
from typing import Protocol

from pearstall.eventlog import log_exception
from pearstall.net.buffer import Buffer
from pearstall.net.core import Blamed, Core, Query
from pearstall.net.counters import Counters
from pearstall.net.deadlines import Deadline
from pearstall.net.http1 import LAST_CHUNK, Body, Head, Malformed, Reply, UnknownClass, body_of, chunk, read_head
from pearstall.net.pending import end_sending, gone, pending
from pearstall.net.slots import Slots

LARGEST_BODY = 256 * 1024
MOST_AHEAD = 64 * 1024  # read of a next query while one is under way
MOST_GATHERED = 4 << 20  # of an answer that is given whole
READ_LIMIT = 2.4  # for a query to come whole, from its first byte; for the first one, from the accept
IDLE_LIMIT = 4.0  # between two queries
GRACE = 0.3  # a link accepted just now is let be, though its query has not come
UNSENT = 64 * 1024  # towards a client, before its server link is paused
INVITE = 0.1  # for a link's next query, while the program is about to end
LINGER = 1.0  # a link closed while more may come
LOOKS = 16  # links looked at for one to give way


class Front(Protocol):
    """A wire form: reads queries and words final answers."""

    def check(self, head: Head) -> Reply | None:
        """From the head alone: an answer that needs no query, or none."""

    def read(self, head: Head, body: bytes, came: float, answer: ClientLink) -> Query | Reply: ...

    def names_answer(self, head: Head | None) -> str:
        """A header line for every answer, or nothing."""

    def malformed(self, why: Malformed) -> Reply: ...

    def refused(self, retry_after: int) -> Reply: ...

    def failed(self, timed_out: bool) -> Reply: ...

    def whole(self, query: Query, events: bytes) -> Reply:
        """The answer where the client wanted no stream."""


class Holder(Protocol):
    """Who holds a link's query: the core, or what stands between the two."""

    def client_gone(self, handle: int) -> None: ...

    def pause(self, handle: int, paused: bool) -> None: ...


class ClientLink(asyncio.BufferedProtocol):
    def __init__(self, owner: ClientLinks, front: Front) -> None:
        self.owner = owner
        self.front = front
        self.buffer = Buffer()
        self.handle = 0
        self.transport: asyncio.Transport | None = None
        self.head: Head | None = None
        self.body: Body | None = None
        self.parts: list[bytes] = []
        self.size = 0
        self.came = 0.0
        self.ahead_since = 0.0  # when the oldest bytes came that wait behind the query under way; 0: none do
        self.query: Query | None = None  # the one under way
        self.holder: Holder = owner.core
        self.busy = False
        self.begun = False
        self.full = False  # towards the client: asyncio tells it once, whatever queries begin meanwhile
        self.gathered: list[bytes] = []
        self.gathered_size = 0
        self.keeps = True
        self.carried = 0  # queries so far
        self.closing = False
        self.deadline: Deadline | None = None

    @property
    def unsent(self) -> int:
        """Bytes of its answers that still wait here for the client to read."""
        return self.transport.get_write_buffer_size() if self.transport is not None else 0

    @property
    def idle(self) -> bool:
        return not self.busy and self.head is None and not len(self.buffer)

    def connection_made(self, transport: asyncio.BaseTransport) -> None:
        assert isinstance(transport, asyncio.Transport)
        self.transport = transport
        transport.set_write_buffer_limits(UNSENT)
        self.handle = self.owner.links.add(self)
        self._wait(INVITE if self.owner.hurried else READ_LIMIT, self.too_slow)
        self.owner.accepted(self)

    def connection_lost(self, error: Exception | None) -> None:
        self.owner.links.remove(self.handle)
        self.owner.lost(self)
        self._wait(0)
        self._drop_parts()
        if self.busy and self.query is not None:
            self.busy = False
            self.holder.client_gone(self.query.handle)
        self.closing = True

    def eof_received(self) -> bool:
        return False  # a client that closes has gone: connection_lost follows

    def _wait(self, limit: float, then: Callable[[], object] | None = None) -> None:
        if self.deadline is not None:
            self.deadline.cancel()
            self.deadline = None
        if limit:
            self.deadline = self.owner.deadlines.after(limit, then or self.close)

    def retire(self) -> bool:
        """Closes the link between two queries, but not on one that has come and was not read yet."""
        quiet = self.idle and self.transport is not None and not self.unsent and not pending(self.transport)
        if quiet:
            self.close()
        return quiet

    def too_slow(self) -> None:
        """Its query has not come whole in time, or its place is wanted. Who said nothing is told nothing."""
        if self.closing:
            self.abort()
        elif self.unsent:
            self._linger()  # it may still read what it was told
        elif self.idle:
            if not self.retire():
                self._wait(INVITE, self.too_slow)  # a query has come and is about to be read
        elif self.owner.hurried:
            self._reply(self.front.refused(0), last=True)  # the program won't be there when the rest comes
        else:
            self._bad(Malformed("the query has not come whole in time", 408))

    def _log_close(self, why: str) -> None:
        request = self.query.txn if self.query is not None else ""
        self.owner.core.log.event("client_connection_closed", connection=self.handle, request=request, why=why)

    def _drop_parts(self) -> None:
        self.owner.held -= self.size
        self.parts, self.size = [], 0

    # -- reading -------------------------------------------------------------------------------------------

    def get_buffer(self, sizehint: int) -> memoryview:
        return self.buffer.room()

    def buffer_updated(self, nbytes: int) -> None:
        self.buffer.wrote(nbytes)
        if self.closing:
            self.buffer.skip(len(self.buffer))
            return
        if self.busy:
            self.ahead_since = self.ahead_since or self.owner.deadlines.clock.time()
            if len(self.buffer) > MOST_AHEAD:
                # Nobody sends so much ahead, and paused reading would hide that it has gone. Not closed in the
                # usual way, which would wait until it has read what it was sent: it may never do so.
                self._log_close("too much sent ahead")
                self.abort()
            return
        try:
            self._read()
        except Exception as error:  # stops here: no other link is harmed
            self.owner.counters.exceptions += 1
            log_exception(self.owner.core.log, error)
            if self.busy or self.closing:
                self.close()
            else:
                self._reply(self.front.failed(False), last=True)

    def _read(self) -> None:
        """Runs from the last answer's end to the next query's last byte."""
        while not self.busy and not self.closing and len(self.buffer):
            if self.head is None:
                if not self.came:
                    # The client's time runs from its sending, not from the end of the answer before.
                    self.came = self.ahead_since or self.owner.deadlines.clock.time()
                    if self.carried:  # the first one's time runs from the accept
                        self._wait(INVITE if self.owner.hurried else READ_LIMIT, self.too_slow)
                    self.owner.reading(self)
                head = read_head(self.buffer)
                if head is None:
                    return
                if isinstance(head, Malformed):
                    self._bad(head)
                    return
                body = body_of(head)
                if isinstance(body, Malformed):
                    self._bad(body)
                    return
                self.head, self.body = head, body
                self._drop_parts()
                self.keeps = head.keeps
                if body.left > LARGEST_BODY:
                    self._bad(Malformed("the body is too large", 413))
                    return
                if head.headers.get("expect", "").lower() == "100-continue" and not body.done:
                    self._write(b"HTTP/1.1 100 Continue\r\n\r\n")
            assert self.body is not None
            data = self.body.feed(self.buffer)
            if isinstance(data, Malformed):
                self._bad(data)
                return
            if data:
                self.parts.append(data)
                self.size += len(data)
                self.owner.held += len(data)
                if self.owner.held > self.owner.most_held and not self.owner.free_memory(self):
                    self.owner.counters.crowded_out += 1
                    self._reply(self.front.refused(0), last=True)
                    return
            if self.size > LARGEST_BODY or (self.body.chunked and self.body.left > LARGEST_BODY):
                self._bad(Malformed("the body is too large", 413))
                return
            if not self.body.done:
                return
            now = self.owner.deadlines.clock.time()
            self.ahead_since = self.ahead_since or now if len(self.buffer) else 0.0
            self._whole(self.head, b"".join(self.parts))

    def _whole(self, head: Head, body: bytes) -> None:
        self._wait(0)
        self.owner.whole(self)
        self.parts = []
        direct = self.front.check(head)
        if direct is not None:
            self._reply(direct)
            return
        query = self.front.read(head, body, self.came, self)
        shared = self.owner.share(self, head, body) if self.owner.share is not None else None
        if shared is not None and isinstance(query, Query):
            self._begin(query)
            shared(query)
            return
        if isinstance(query, Query) and query.txn in self.owner.core.open_ids:
            # Under one id two queries would be two copies of one to the model servers.
            query = self.front.malformed(Malformed("another query with this id is open", 409))
        if isinstance(query, Reply):
            if isinstance(query, UnknownClass):
                self.owner.counters.unknown_class += 1
            else:
                self.owner.counters.malformed += 1
            self._reply(query)
            return
        self._begin(query)
        self.owner.core.take(query)

    def _begin(self, query: Query) -> None:
        self.begun = False
        self.gathered, self.gathered_size = [], 0
        self.busy = True
        self.carried += 1
        query.answer = self
        self.query = query

    def _bad(self, why: Malformed) -> None:
        self.owner.counters.malformed += 1
        self._log_close(why.why)
        self._reply(self.front.malformed(why), last=True)

    # -- the final answer ----------------------------------------------------------------------------------

    def gone(self) -> bool:
        return self.closing or self.transport is None or gone(self.transport)

    def again(self) -> None:
        self.gathered, self.gathered_size = [], 0

    def pass_on(self, events: bytes) -> bool:
        if self.closing:
            return False
        if self.query is None or not self.query.streams:
            self.gathered.append(events)
            self.gathered_size += len(events)
            if self.gathered_size > MOST_GATHERED:
                self.close()
            return False
        out = chunk(events) if self.framed else events
        if not self.begun:
            self.begun = True
            if self.full:  # with what the query before it left unread
                self.holder.pause(self.query.handle, True)
            lines = ["HTTP/1.1 200 OK", "Content-Type: text/event-stream", "Cache-Control: no-cache"]
            if self.framed:
                lines.append("Transfer-Encoding: chunked")
            else:
                self.keeps = False  # HTTP/1.0 knows no chunks: the end of the link is the end of the stream
            if name := self.front.names_answer(self.head):
                lines.append(name)
            if self._last():
                lines.append("Connection: close")
            out = "\r\n".join([*lines, "", ""]).encode() + out
        self._write(out)
        return True

    @property
    def framed(self) -> bool:
        return self.head is not None and self.head.minor == 1

    def finish(self) -> None:
        if self.query is not None and not self.query.streams:
            self._reply(self.front.whole(self.query, b"".join(self.gathered)))
        elif not self.begun:
            self._reply(self.front.failed(False))  # a stream without a single event
        else:
            self._write(LAST_CHUNK if self.framed else b"")
            self._next()

    def cut(self) -> None:
        """What was passed on goes out first; then the link ends, without the last chunk."""
        self.busy = False
        if not self.framed and self.transport is not None:
            self.transport.abort()  # only a reset tells such a client from a whole stream's end
        self.close()
        self._end_unless_read()

    def refuse(self, retry_after: int) -> None:
        self.owner.counters.refused += 1
        self._reply(self.front.refused(retry_after))

    def fail(self, timed_out: bool) -> None:
        self.owner.counters.failed += 1
        self._reply(self.front.failed(timed_out))

    def blame(self, end: Blamed) -> None:
        self._reply(Reply(end.status, end.body, {}, end.content_type))

    def _last(self) -> bool:
        """Whether the link ends after this answer. Before the program ends, clients are invited off."""
        if self.owner.leaving and not len(self.buffer):  # a request behind it is answered first
            self.keeps = False
        return not self.keeps

    def answer(self, reply: Reply) -> None:
        """A final answer that another than the core gives."""
        if self.busy:
            self._reply(reply)

    def _reply(self, reply: Reply, last: bool = False) -> None:
        self.keeps = self.keeps and not last
        if self.head is not None and self.head.method == "HEAD":
            reply = Reply(reply.status, b"", reply.headers)  # bytes after its head would be the next answer's
        self._write(reply.encode(self._last(), self.front.names_answer(self.head)))
        self._next()

    def _write(self, data: bytes) -> None:
        if self.transport is not None and not self.transport.is_closing():
            self.transport.write(data)

    def _next(self) -> None:
        self.busy = False
        self.head = self.body = None
        self.came = 0.0
        self.gathered = []
        self.query = None
        self.holder = self.owner.core
        self._drop_parts()
        self.owner.rests(self)
        if not self.keeps or (self.owner.hurried and not len(self.buffer)):
            self._linger()
            return
        self.buffer.rest()
        if self.owner.leaving:
            self._wait(INVITE, self.too_slow)  # not told to go: the next query may be on its way
        else:
            self._wait(IDLE_LIMIT, self.too_slow)
        if len(self.buffer):
            asyncio.get_running_loop().call_soon(self.buffer_updated, 0)

    def _linger(self) -> None:
        """Ends sending, and reads on for a moment: a reset would take the answer from under the client."""
        self.closing = True
        self.buffer.skip(len(self.buffer))
        if self.transport is not None and not self.transport.is_closing():
            end_sending(self.transport)
            self._end_unless_read()

    def _end_unless_read(self, unsent_before: int = -1) -> None:
        """A closed link goes once its client has had the time to read: a slow one gets more for as long as it
        reads, and one that reads nothing must not hold the link for what it has left unread."""
        unsent = self.unsent
        if unsent_before >= 0 and not 0 < unsent < unsent_before:
            self.abort()
        else:
            self._wait(LINGER, lambda: self._end_unless_read(unsent))

    def close(self) -> None:
        self.closing = True
        if self.transport is not None:
            self.transport.close()

    def abort(self) -> None:
        self.closing = True
        if self.transport is not None:
            self.transport.abort()

    def pause_writing(self) -> None:
        self.full = True
        if self.query is not None:
            self.holder.pause(self.query.handle, True)

    def resume_writing(self) -> None:
        self.full = False
        if self.query is not None:
            self.holder.pause(self.query.handle, False)


class ClientLinks:
    def __init__(self, core: Core, counters: Counters, most: int) -> None:
        self.core = core
        self.deadlines = core.deadlines
        self.counters = counters
        self.most = most
        self.most_held = 16 << 20
        self.held = 0  # bytes of bodies, of queries that are coming or open
        self.links: Slots[ClientLink] = Slots()
        # In the order in which they came to be so: links that owe a whole query, and those between two.
        self.owing: dict[ClientLink, float] = {}
        self.resting: dict[ClientLink, None] = {}
        self.leaving = False
        self.hurried = False
        self.latest = 0.0  # when a link was accepted last
        # Whether a query is to be shared with others of the same key, and how; see edge/idempotency.py.
        self.share: Callable[[ClientLink, Head, bytes], Callable[[Query], None] | None] | None = None

    def accepted(self, link: ClientLink) -> None:
        self.counters.client_links += 1
        self.latest = self.deadlines.clock.time()
        self.owing[link] = self.latest
        if len(self.links) > self.most and not self._make_room(link):
            self.counters.crowded_out += 1
            self.core.log.event("client_connection_closed", connection=link.handle, request="", why="no room")
            link.close()

    def _make_room(self, link: ClientLink) -> bool:
        """Who holds a link and asks for nothing goes first: hundreds that stay silent must not keep out those
        who ask. Then the ones between two queries, the longest at rest first. Each goes off the books at once:
        its descriptor is free only a turn of the loop later, and the next one accepted must find another."""
        return self._end_owing(link, GRACE) or self._end_resting() or self._end_owing(link, 0.0)

    def _end_owing(self, link: ClientLink, grace: float) -> bool:
        for other, since in list(islice(self.owing.items(), LOOKS)):
            if other is link or self.latest - since < grace:
                return False
            if other.idle or not grace:
                self.lost(other)  # one that has sent something meanwhile comes back with it
                if other.retire():
                    return True
                if not other.idle:
                    other.too_slow()
                    other.abort()
                    return True
        return False

    def _end_resting(self) -> bool:
        for other in list(islice(self.resting, LOOKS)):
            self.lost(other)
            if other.closing or other.unsent:  # its descriptor is needed, and it does not read
                other.abort()
                return True
            if other.retire():
                return True
        return False

    def free_memory(self, link: ClientLink) -> bool:
        """Half queries that are left lying must not use up the memory of those that come whole."""
        for other in list(self.owing):
            if other is not link and other.size:
                other.too_slow()
                if self.held <= self.most_held:
                    return True
        return False

    def reading(self, link: ClientLink) -> None:
        self.resting.pop(link, None)
        self.owing.setdefault(link, self.deadlines.clock.time())

    def whole(self, link: ClientLink) -> None:
        self.owing.pop(link, None)

    def rests(self, link: ClientLink) -> None:
        self.owing.pop(link, None)
        self.resting.pop(link, None)
        self.resting[link] = None

    def lost(self, link: ClientLink) -> None:
        self.owing.pop(link, None)
        self.resting.pop(link, None)

    def leave(self) -> None:
        """The program is about to end: links between two queries are closed, the rest after their answer."""
        self.leaving = True
        for link in self.links:
            if link.carried and link.idle and not link.closing:
                link.too_slow()

    def hurry(self) -> None:
        """It may be killed from now on: no link stays open on which a query could still come whole."""
        self.hurried = True
        for link in self.links:
            if not link.busy and not link.closing:
                link.too_slow()
