"""Client connections: one query at a time, in the wire form of either front."""

from __future__ import annotations

import asyncio
from collections.abc import Callable
from typing import TYPE_CHECKING, Protocol

from pearstall.eventlog import log_exception
from pearstall.net.buffer import Buffer
from pearstall.net.core import Blamed, Query
from pearstall.net.deadlines import Deadline
from pearstall.net.http1 import LAST_CHUNK, Body, Head, HeadReader, Malformed, Reply, UnknownClass, body_of, chunk
from pearstall.net.pending import end_sending, gone, pending, unread_bytes

if TYPE_CHECKING:
    from pearstall.net.client_links import ClientLinks

MAX_BODY_BYTES = 256 * 1024
MAX_PIPELINED_BYTES = 64 * 1024  # sent behind a query that is still being answered, wherever they wait
MAX_READ_AHEAD_BYTES = 4 * 1024  # of these, in this process; the others wait in the kernel
MAX_WAITING_BYTES = 16 * 1024  # read of a query that waits for its turn to be handled
PAUSED_CHECK_SECONDS = 0.05  # between two looks at a connection that is not read behind a query
MAX_CHUNK_LINES_PER_TURN = 64  # of one body: it may consist of thousands of tiny chunks
MAX_COLLECTED_BYTES = 4 << 20  # of an answer that is sent as one object instead of a stream
READ_TIMEOUT_SECONDS = 2.4  # for a complete query, from its first byte; for the first one, from the accept
IDLE_TIMEOUT_SECONDS = 4.0  # between two queries
MAX_UNSENT_BYTES = 256 * 1024  # of answers; beyond, the client's next queries are not read until it has read some
WRITE_BUFFER_BYTES = 64 * 1024  # unsent bytes towards a client at which reading from its model server pauses
SHUTDOWN_IDLE_SECONDS = 0.1  # for the next query of a connection, once the process is shutting down
LINGER_SECONDS = 1.0  # a closed connection is drained this long before it is aborted


class Front(Protocol):
    """A wire form: parses queries and encodes final answers."""

    def direct_reply(self, head: Head) -> Reply | None:
        """A reply that follows from the head alone and needs no query, or None."""

    def read(self, head: Head, body: bytes, received_at: float, answer: ClientLink) -> Query | Reply: ...

    def id_header_line(self, head: Head | None) -> str:
        """A header line that identifies the answer, or an empty string."""

    def malformed(self, why: Malformed) -> Reply: ...

    def refused(self, retry_after: int) -> Reply: ...

    def failed(self, timed_out: bool) -> Reply: ...

    def complete_answer(self, query: Query, events: bytes) -> Reply:
        """The answer as one object, for a client that did not ask for a stream."""


class Holder(Protocol):
    """Is notified about the client side of a query: the core, or a layer between the connection and the core."""

    def client_gone(self, handle: int) -> None: ...

    def pause(self, handle: int, paused: bool) -> None: ...


class ClientLink(asyncio.BufferedProtocol):
    def __init__(self, owner: ClientLinks, front: Front) -> None:
        self.owner = owner
        self.front = front
        self.buffer = Buffer()
        self.handle = 0
        self.transport: asyncio.Transport | None = None
        self.head_reader = HeadReader()
        self.head: Head | None = None
        self.body: Body | None = None
        self.received_body = bytearray()
        self.size = 0  # of the body, until the query is answered
        self.held_bytes = 0  # as counted by the owner
        self.counted = False  # by the owner, as a connection
        self.received_at = 0.0
        self.waiting_since = 0.0  # arrival of input that waits for a turn to be read; 0: none does
        self.pipelined_since = 0.0  # arrival of the oldest bytes behind the query in progress; 0: there are none
        self.query: Query | None = None  # the one in progress
        self.holder: Holder = owner.core
        self.busy = False
        self.begun = False  # the head of a streamed answer was written
        self.read_paused = False  # too little memory for what comes behind the query in progress
        self.write_paused = False  # asyncio reports this once, however many queries begin in the meantime
        self.collected: list[bytes] = []
        self.collected_size = 0
        self.keep_alive = True
        self.query_count = 0
        self.closing = False
        self.deadline: Deadline | None = None
        self.paused_check: Deadline | None = None

    @property
    def unsent(self) -> int:
        """Bytes of answers that are still buffered here because the client has not read them."""
        return self.transport.get_write_buffer_size() if self.transport is not None else 0

    @property
    def idle(self) -> bool:
        return not self.busy and self.head is None and not len(self.buffer)

    def connection_made(self, transport: asyncio.BaseTransport) -> None:
        assert isinstance(transport, asyncio.Transport)
        self.transport = transport
        transport.set_write_buffer_limits(WRITE_BUFFER_BYTES)
        self.handle = self.owner.links.add(self)
        self._set_timeout(SHUTDOWN_IDLE_SECONDS if self.owner.hurried else READ_TIMEOUT_SECONDS, self.stop_waiting)
        self.owner.accepted(self)

    def connection_lost(self, error: Exception | None) -> None:
        self.transport = None
        self.owner.removed(self)
        self._set_timeout(0)
        if self.paused_check is not None:
            self.paused_check.cancel()
        self._release_memory()
        if self.busy and self.query is not None:
            self.busy = False
            self.holder.client_gone(self.query.handle)
        self.closing = True
        # Ends the references between this connection, its query and its transport, which would keep all three until
        # the garbage collector runs: it counts objects, not bytes.
        self.query = self.body = None

    def eof_received(self) -> bool:
        return False  # a half-closed connection counts as gone: asyncio closes it and calls connection_lost

    def _set_timeout(self, seconds: float, then: Callable[[], object] | None = None) -> None:
        if self.deadline is not None:
            self.deadline.cancel()
            self.deadline = None
        if seconds:
            self.deadline = self.owner.deadlines.after(seconds, then or self.close)

    def close_if_idle(self) -> bool:
        """Closes the connection between two queries, unless one has arrived in the socket and was not read yet."""
        idle = self.idle and self.transport is not None and not self.unsent and not pending(self.transport)
        if idle:
            self.close()
            self.owner.stop_counting(self)
        return idle

    def stop_waiting(self) -> None:
        """The query has not arrived completely in time, or the connection is evicted. A client that sent nothing
        gets no answer."""
        if self.closing:
            self.abort()
            return
        self.owner.turns.read_now(self)
        if self.busy or self.closing:
            return  # a query had arrived, and only waited to be read
        if self.unsent:
            self._linger()  # the client may still read the previous answer
        elif self.idle:
            if not self.close_if_idle():
                self._set_timeout(SHUTDOWN_IDLE_SECONDS, self.stop_waiting)  # a query is about to be read
        elif self.owner.hurried:
            self._reply(self.front.refused(0), last=True)  # the process will have ended when the rest arrives
        else:
            self._reject(Malformed("the query has not come whole in time", 408))

    def log_close(self, why: str) -> None:
        request = self.query.txn if self.query is not None else ""
        self.owner.core.log.event("client_connection_closed", connection=self.handle, request=request, why=why)

    # -- memory --------------------------------------------------------------------------------------------

    def count_memory(self) -> None:
        """Updates what is counted for this connection: all of its memory that grows with what was received, and the
        answers that its client has not read."""
        body_bytes = max(self.size, self.received_body.__alloc__())
        held = self.buffer.allocated_bytes + body_bytes + self.collected_size + self.unsent
        if self.head is not None:
            held += self.head.memory_bytes
        change, self.held_bytes = held - self.held_bytes, held
        self.owner.memory.count_for_clients(change)

    def _release_memory(self) -> None:
        self.received_body, self.size = bytearray(), 0
        self.collected, self.collected_size = [], 0
        self.buffer.discard()
        self.head = None
        self.count_memory()

    def _memory_suffices(self) -> bool:
        """Whether there is memory for what this connection holds, at the expense of incomplete queries if need be."""
        self.count_memory()
        return not self.owner.memory.short or self.owner.free_memory(self)

    def _refuse_for_memory(self) -> None:
        self.owner.counters.crowded_out += 1
        self.log_close("memory limit reached")
        self._reply(self.front.refused(0), last=True)

    def _pause_reading(self, paused: bool) -> None:
        if paused != self.read_paused and self.transport is not None and not self.transport.is_closing():
            self.read_paused = paused
            if paused:
                self.transport.pause_reading()
            else:
                self.transport.resume_reading()

    # -- reading -------------------------------------------------------------------------------------------

    def get_buffer(self, sizehint: int) -> memoryview:
        incomplete = not self.busy and not self.waiting_since
        return self.buffer.writable_view(read_ahead=incomplete and not self.owner.memory.short)

    def buffer_updated(self, nbytes: int) -> None:
        self.buffer.wrote(nbytes)
        if self.closing:
            self.buffer.discard()
            return
        if self.busy:
            self.pipelined_since = self.pipelined_since or self.owner.deadlines.clock.time()
            self._limit_read_ahead()
            return
        if not self.owner.turns.add(self):
            self.waiting_since = self.waiting_since or self.owner.deadlines.clock.time()
            self.count_memory()
            if len(self.buffer) >= MAX_WAITING_BYTES or self.owner.memory.short:
                self._pause_reading(True)

    def _limit_read_ahead(self) -> None:
        """Leaves most of what comes behind the query in progress in the kernel."""
        self.count_memory()
        if self.pipelined_bytes > MAX_PIPELINED_BYTES:
            self._end_flood()
        elif len(self.buffer) >= MAX_READ_AHEAD_BYTES or self.owner.memory.short:
            self._pause_reading(True)
            if self.paused_check is None:
                self._check_paused()

    @property
    def pipelined_bytes(self) -> int:
        unread = unread_bytes(self.transport) if self.transport is not None else 0
        return len(self.buffer) + unread

    def _end_flood(self) -> None:
        """Legitimate clients do not pipeline this much, and the end of a connection is hidden behind what the kernel
        can't hold. Aborted rather than closed: a close waits until the client has read its answer, which it may
        never do."""
        self.log_close("too much pipelined data")
        self.abort()

    def _check_paused(self) -> None:
        """asyncio does not report that a client has left while its connection is not read."""
        self.paused_check = None
        if not self.busy or not self.read_paused or self.closing:
            return
        if self.gone():
            self.abort()
        elif self.pipelined_bytes > MAX_PIPELINED_BYTES:
            self._end_flood()
        else:
            self.paused_check = self.owner.deadlines.after(PAUSED_CHECK_SECONDS, self._check_paused)

    def read_input(self, now: float) -> None:
        """Handles what has arrived, up to the end of one query."""
        if self.closing or self.busy:
            return
        if self.unsent > MAX_UNSENT_BYTES or (self.unsent and self.owner.memory.short):
            self.waiting_since = self.waiting_since or now
            self._pause_reading(True)  # until resume_writing
            self._report_writable_when_all_is_sent()
            return
        self._pause_reading(False)
        arrived_at, self.waiting_since = self.waiting_since or now, 0.0
        try:
            self._read(arrived_at)
        except Exception as error:  # contained here, so that no other connection is affected
            self.owner.counters.exceptions += 1
            log_exception(self.owner.core.log, error)
            if self.busy or self.closing:
                self.close()
            else:
                self._reply(self.front.failed(False), last=True)

    def _read(self, arrived_at: float) -> None:
        """Handles what lies between the end of the last answer and the last byte of the next query."""
        if not len(self.buffer):
            return
        if self.head is None:
            self._read_head(arrived_at)
        if self.head is None or self.body is None:
            return
        data = self.body.feed(self.buffer, MAX_CHUNK_LINES_PER_TURN)
        if isinstance(data, Malformed):
            self._reject(data)
            return
        self.received_body += data
        self.size += len(data)
        if not self._memory_suffices():
            self._refuse_for_memory()
        elif self.size > MAX_BODY_BYTES or (self.body.chunked and self.body.left > MAX_BODY_BYTES):
            self._reject(Malformed("the body is too large", 413))
        elif self.body.done:
            self.pipelined_since = self.pipelined_since or arrived_at if len(self.buffer) else 0.0
            self._handle_request(self.head, bytes(self.received_body))
        elif self.body.unread_lines:
            self.owner.turns.add_last(self)

    def _read_head(self, arrived_at: float) -> None:
        """Reads the head of the next query, once it is there, and answers one that can't be read."""
        if not self.received_at:
            # The client's deadline counts from when it sent the query, not from the end of the last answer.
            self.received_at = self.pipelined_since or arrived_at
            if self.query_count:  # the timeout of the first query counts from the accept
                limit = SHUTDOWN_IDLE_SECONDS if self.owner.hurried else READ_TIMEOUT_SECONDS
                self._set_timeout(limit, self.stop_waiting)
            self.owner.request_started(self)
        head = self.head_reader.read(self.buffer)
        if head is None:
            if not self._memory_suffices():
                self._refuse_for_memory()
            return
        if isinstance(head, Malformed):
            self._reject(head)
            return
        body = body_of(head)
        if isinstance(body, Malformed):
            self._reject(body)
            return
        self.head, self.body = head, body
        self.keep_alive = head.keep_alive
        if body.left > MAX_BODY_BYTES:
            self._reject(Malformed("the body is too large", 413))
        elif head.headers.get("expect", "").lower() == "100-continue" and not body.done:
            self._write(b"HTTP/1.1 100 Continue\r\n\r\n")

    def _handle_request(self, head: Head, body: bytes) -> None:
        self._set_timeout(0)
        self.owner.request_received(self)
        self.received_body = bytearray()
        direct = self.front.direct_reply(head)
        if direct is not None:
            self._reply(direct)
            return
        query = self.front.read(head, body, self.received_at, self)
        shared = self.owner.share(self, head, body) if self.owner.share is not None else None
        if shared is not None and isinstance(query, Query):
            self._start_query(query)
            shared(query)
            return
        if isinstance(query, Query) and self.owner.core.repeats_id(query):
            # Two queries with one id would look like two copies of the same query to the model servers.
            query = self.front.malformed(Malformed("another query with this id is open", 409))
        if isinstance(query, Reply):
            if isinstance(query, UnknownClass):
                self.owner.counters.unknown_class += 1
            else:
                self.owner.counters.malformed += 1
            self._reply(query)
            return
        self._start_query(query)
        self.owner.core.take(query)

    def _start_query(self, query: Query) -> None:
        self.begun = False
        self.collected, self.collected_size = [], 0
        self.busy = True
        self.query_count += 1
        query.answer = self
        self.query = query
        self.buffer.release_memory()
        self.count_memory()

    def _reject(self, why: Malformed) -> None:
        self.owner.counters.malformed += 1
        self.log_close(why.why)
        self._reply(self.front.malformed(why), last=True)

    # -- the final answer ----------------------------------------------------------------------------------

    def gone(self) -> bool:
        return self.closing or self.transport is None or gone(self.transport)

    def again(self) -> None:
        self.collected, self.collected_size = [], 0

    def pass_on(self, events: bytes) -> bool:
        if self.closing:
            return False
        if self.query is None or not self.query.streams:
            self.collected.append(events)
            self.collected_size += len(events)
            self.count_memory()
            if self.collected_size > MAX_COLLECTED_BYTES:
                self.log_close("the answer is too large")
                self.close()
            return False
        out = chunk(events) if self.chunked else events
        if not self.begun:
            self.begun = True
            if self.write_paused:  # by unread bytes of the previous answer
                self.holder.pause(self.query.handle, True)
            lines = ["HTTP/1.1 200 OK", "Content-Type: text/event-stream", "Cache-Control: no-cache"]
            if self.chunked:
                lines.append("Transfer-Encoding: chunked")
            else:
                self.keep_alive = False  # HTTP/1.0 has no chunks: closing the connection ends the stream
            if id_line := self.front.id_header_line(self.head):
                lines.append(id_line)
            if self._closes_after_answer():
                lines.append("Connection: close")
            out = "\r\n".join([*lines, "", ""]).encode() + out
        self._write(out)
        self.count_memory()
        if self.owner.memory.short and self.unsent:
            self._report_writable_when_all_is_sent()
        return True

    def _report_writable_when_all_is_sent(self) -> None:
        """While memory is short, an answer is read from its model server only as fast as its client reads it."""
        if self.transport is not None and not self.transport.is_closing():
            self.transport.set_write_buffer_limits(0)

    @property
    def chunked(self) -> bool:
        return self.head is not None and self.head.minor == 1

    def finish(self) -> None:
        if self.query is not None and not self.query.streams:
            self._reply(self.front.complete_answer(self.query, b"".join(self.collected)))
        elif not self.begun:
            self._reply(self.front.failed(False))  # the stream ended without a single event
        else:
            self._write(LAST_CHUNK if self.chunked else b"")
            self._next_request()

    def cut(self) -> None:
        """Sends what was already passed on, then closes the connection without the terminating chunk."""
        self.busy = False
        if not self.chunked and self.transport is not None:
            self.transport.abort()  # without chunks, only a reset distinguishes a cut stream from a complete one
        self.close()
        self._abort_unless_read()

    def refuse(self, retry_after: int) -> None:
        self.owner.counters.refused += 1
        self._reply(self.front.refused(retry_after))

    def fail(self, timed_out: bool) -> None:
        self.owner.counters.failed += 1
        self._reply(self.front.failed(timed_out))

    def blame(self, end: Blamed) -> None:
        self._reply(Reply(end.status, end.body, {}, end.content_type))

    def _closes_after_answer(self) -> bool:
        """Whether the connection closes after this answer. During a shutdown, clients are asked to reconnect."""
        if self.owner.leaving and not len(self.buffer):  # a pipelined request is answered first
            self.keep_alive = False
        return not self.keep_alive

    def answer(self, reply: Reply) -> None:
        """A final answer from a layer other than the core."""
        if self.busy:
            self._reply(reply)

    def _reply(self, reply: Reply, last: bool = False) -> None:
        self.keep_alive = self.keep_alive and not last
        if self.head is not None and self.head.method == "HEAD":
            reply = Reply(reply.status, b"", reply.headers)  # a body would be parsed as the next answer
        self._write(reply.encode(self._closes_after_answer(), self.front.id_header_line(self.head)))
        self._next_request()

    def _write(self, data: bytes) -> None:
        if self.transport is not None and not self.transport.is_closing():
            self.transport.write(data)

    def _next_request(self) -> None:
        self.busy = False
        self.head = self.body = None
        self.received_at = 0.0
        self.received_body, self.size = bytearray(), 0
        self.collected, self.collected_size = [], 0
        self.query = None
        self.holder = self.owner.core
        self.owner.answered(self)
        self._pause_reading(False)
        if not self.keep_alive or (self.owner.hurried and not len(self.buffer)):
            self._linger()
            return
        self.buffer.release_memory()
        self.count_memory()
        if self.owner.leaving:
            self._set_timeout(SHUTDOWN_IDLE_SECONDS, self.stop_waiting)  # the answer had no "Connection: close"
        else:
            self._set_timeout(IDLE_TIMEOUT_SECONDS, self.stop_waiting)
        if len(self.buffer):
            asyncio.get_running_loop().call_soon(self.buffer_updated, 0)

    def _linger(self) -> None:
        """Half-closes and keeps reading for a moment: an immediate close may send a reset, which would discard the
        part of the answer that the client has not read."""
        self.closing = True
        self._release_memory()
        if self.transport is not None and not self.transport.is_closing():
            end_sending(self.transport)
            self._abort_unless_read()

    def _abort_unless_read(self, unsent_before: int = -1) -> None:
        """Aborts a closed connection once its client has had time to read. A slow client gets more time as long as
        it makes progress; one that reads nothing must not hold the connection open."""
        unsent = self.unsent
        self.count_memory()
        if unsent_before >= 0 and not 0 < unsent < unsent_before:
            if unsent:
                self.log_close("the client does not read")
            self.abort()
        else:
            self._set_timeout(LINGER_SECONDS, lambda: self._abort_unless_read(unsent))

    def close(self) -> None:
        self.closing = True
        if self.transport is not None:
            self.transport.close()

    def abort(self) -> None:
        self.closing = True
        if self.transport is not None:
            self.transport.abort()

    def pause_writing(self) -> None:
        self.write_paused = True
        if self.query is not None:
            self.holder.pause(self.query.handle, True)

    def resume_writing(self) -> None:
        self.write_paused = False
        self.count_memory()
        if self.transport is not None:
            self.transport.set_write_buffer_limits(WRITE_BUFFER_BYTES)
        if self.query is not None:
            self.holder.pause(self.query.handle, False)
        elif self.waiting_since:
            self.owner.turns.add(self)
