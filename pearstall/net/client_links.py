"""All client connections of a router: which one ends when connections or memory run short, and at a shutdown."""

from __future__ import annotations

from collections.abc import Callable
from itertools import islice

from pearstall.net.client_link import ClientLink
from pearstall.net.core import Core, Query
from pearstall.net.counters import Counters
from pearstall.net.http1 import Head
from pearstall.net.memory import HeldMemory
from pearstall.net.read_turns import ReadTurns
from pearstall.net.slots import Slots

EVICTION_GRACE_SECONDS = 0.3  # a connection younger than this is not evicted for lack of a query
EVICTION_CANDIDATES = 16  # connections examined to find one to evict
RECOUNT_SECONDS = 0.05  # while memory is short


class ClientLinks:
    def __init__(self, core: Core, counters: Counters, max_links: int, memory: HeldMemory | None = None) -> None:
        self.core = core
        self.deadlines = core.deadlines
        self.counters = counters
        self.max_links = max_links
        self.memory = memory or HeldMemory()
        self.free_server_connections: Callable[[], None] = lambda: None  # closes the idle ones
        self.freeing_memory = False
        self.recounted_at = 0.0
        self.links: Slots[ClientLink] = Slots()
        # Oldest first: connections whose request is not complete, with the time since when, and idle ones.
        self.awaiting_request: dict[ClientLink, float] = {}
        self.between_requests: dict[ClientLink, None] = {}
        self.leaving = False  # shutting down: clients are asked to reconnect elsewhere
        self.hurried = False  # about to be killed: no further query is accepted
        self.last_accept_at = 0.0
        self.turns = ReadTurns(core.deadlines.clock)
        # Decides whether a query shares its execution with others of the same idempotency key, and attaches it to
        # them; see edge/idempotency.py.
        self.share: Callable[[ClientLink, Head, bytes], Callable[[Query], None] | None] | None = None

    def accepted(self, link: ClientLink) -> None:
        self.counters.client_links += 1
        self.memory.count_connections(1)
        link.counted = True
        self.last_accept_at = self.deadlines.clock.time()
        self.awaiting_request[link] = self.last_accept_at
        if len(self.links) > self.max_links and not self._evict(link):
            self.counters.crowded_out += 1
            link.log_close("connection limit reached")
            link.close()

    def removed(self, link: ClientLink) -> None:
        """The connection has ended."""
        self.links.remove(link.handle)
        self.stop_counting(link)
        self.forget(link)
        self.turns.forget(link)

    def stop_counting(self, link: ClientLink) -> None:
        """The connection holds nothing any more, or will not once the event loop has closed it."""
        if link.counted:
            link.counted = False
            self.memory.count_connections(-1)

    def _evict(self, link: ClientLink) -> bool:
        """Closes a connection in favour of a new one. Connections without a request come first: hundreds of silent
        ones must not shut out clients that have a request. Idle connections are next, the longest idle one first.
        An evicted connection leaves the tables at once: its descriptor is only free in the next iteration of the
        event loop, and the next connection accepted must evict a different one."""
        return (
            self._evict_incomplete(link, EVICTION_GRACE_SECONDS)
            or self._evict_idle()
            or self._evict_incomplete(link, 0.0)
        )

    def _evict_incomplete(self, link: ClientLink, grace: float) -> bool:
        for other, since in list(islice(self.awaiting_request.items(), EVICTION_CANDIDATES)):
            if other is link or self.last_accept_at - since < grace:
                return False
            if other.idle or not grace:
                self.forget(other)  # request_started adds it again if it has sent something in the meantime
                if other.close_if_idle():
                    other.log_close("evicted without a request")
                    return True
                if not other.idle:
                    other.stop_waiting()
                    if other.busy:
                        continue
                    other.log_close("evicted with an incomplete request")
                    other.abort()
                    return True
        return False

    def _evict_idle(self) -> bool:
        for other in list(islice(self.between_requests, EVICTION_CANDIDATES)):
            self.forget(other)
            if other.closing or other.unsent:
                other.log_close("evicted while its client does not read")
                other.abort()
                return True
            if other.close_if_idle():
                other.log_close("evicted between two requests")
                return True
        return False

    def free_memory(self, link: ClientLink) -> bool:
        """Makes room for what a connection holds. What makes no progress must not use up the memory of requests that
        arrive completely: idle connections end first, then incomplete requests, the oldest first."""
        if self.freeing_memory:
            return False  # one that is to be ended is read first, and must not end others in turn
        self.freeing_memory = True
        try:
            return self._free_memory(link)
        finally:
            self.freeing_memory = False

    def _free_memory(self, link: ClientLink) -> bool:
        self.free_server_connections()
        self._recount()
        for other in list(self.between_requests):
            if not self.memory.too_many_connections:
                break  # an idle one holds no data
            if other is not link and other.close_if_idle():
                other.log_close("closed between two requests: memory limit reached")
        for other, since in list(self.awaiting_request.items()):
            if not self.memory.short:
                return True
            if other is not link and self._may_end_for_memory(other, since):
                other.stop_waiting()
        return not self.memory.short

    def _may_end_for_memory(self, link: ClientLink, since: float) -> bool:
        """Whether it gains something to end an incomplete request, or a connection that waits for its first one."""
        if link.waiting_since or link.closing:
            return False
        if link.held_bytes:
            return True
        return self.memory.too_many_connections and self.deadlines.clock.time() - since >= EVICTION_GRACE_SECONDS

    def _recount(self) -> None:
        """Clients may have read answers since what is held for them was counted."""
        now = self.deadlines.clock.time()
        if now - self.recounted_at >= RECOUNT_SECONDS:
            self.recounted_at = now
            for link in self.links:
                link.count_memory()

    def request_started(self, link: ClientLink) -> None:
        self.between_requests.pop(link, None)
        self.awaiting_request.setdefault(link, self.deadlines.clock.time())

    def request_received(self, link: ClientLink) -> None:
        self.awaiting_request.pop(link, None)

    def answered(self, link: ClientLink) -> None:
        self.awaiting_request.pop(link, None)
        self.between_requests.pop(link, None)
        self.between_requests[link] = None

    def forget(self, link: ClientLink) -> None:
        self.awaiting_request.pop(link, None)
        self.between_requests.pop(link, None)

    def leave(self) -> None:
        """The process is shutting down: idle connections are closed, the others after their answer."""
        self.leaving = True
        for link in self.links:
            if link.query_count and link.idle and not link.closing:
                link.stop_waiting()

    def hurry(self) -> None:
        """The process may be killed from now on: no connection stays open on which a query could still arrive."""
        self.hurried = True
        for link in self.links:
            if not link.busy and not link.closing:
                link.stop_waiting()
