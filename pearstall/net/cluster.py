"""The cluster: the list of model servers, from discovery's watch or an inventory, told to the Router."""

from __future__ import annotations

import asyncio
import time
from collections.abc import Callable
from functools import partial
from pathlib import Path
from typing import TYPE_CHECKING

from pearstall.eventlog import log_exception
from pearstall.interface import ListKind, Replica, ReplicaList, State
from pearstall.net.buffer import Buffer
from pearstall.net.config import Names
from pearstall.net.core import Core
from pearstall.net.deadlines import Deadline
from pearstall.net.http1 import Body, Malformed, body_of, read_head
from pearstall.net.inventory import BadList, Host, HostList, read_host_list, read_inventory, split_address
from pearstall.net.platform import number_of
from pearstall.net.start_times import StartTimes

if TYPE_CHECKING:
    from pearstall.net.subset import Subset

SILENCE = 2.5  # a watch sends a line every 2 s; without one for so long, or without an answer, it is dead
LARGEST_LINE = 8 << 20
MOST_NAMES_LOGGED = 32
STATES = {"ready": State.READY, "draining": State.DRAINING, "gone": State.GONE}


class Cluster:
    """`now`: Unix time, in seconds; it may be stepped, and tells only how long ago a server started."""

    def __init__(
        self,
        core: Core,
        names: Names,
        discovery: tuple[str, int] | None,
        now: Callable[[], float] = time.time,
        subset: Subset | None = None,
    ) -> None:
        self.subset = subset
        self.core = core
        self.discovery = discovery
        self.zones = {name: number for number, name in enumerate(names.dcs)}
        self.kinds = {name: number for number, name in enumerate(names.models)}
        self.addresses: dict[int, tuple[str, int]] = {}
        self.names: dict[int, str] = {}
        self.types: dict[int, str] = {}
        self.draining: set[int] = set()
        self.index = -1
        self.starts = StartTimes(core.clock, now)
        self.watch: WatchLink | None = None
        self.told: Callable[[], None] = lambda: None

    def take(self, news: HostList, kind: int) -> None:
        if kind == ListKind.DELTA and 0 <= news.index < self.index:
            # Changes older than the list held would undo newer ones: a server that drains would seem ready again.
            news = HostList([], self.index, False, news.skipped + len(news.hosts))
        self.core.counters.list_entries_skipped += news.skipped
        if self.subset is not None:
            news = self.subset.take(news, kind != ListKind.DELTA)
        if news.index >= 0:
            self.index = news.index
        if kind != ListKind.DELTA:
            self.addresses, self.types, self.names, self.draining = {}, {}, {}, set()
        replicas = [self._replica(host) for host in news.hosts]
        if not (kind == ListKind.DELTA and not replicas):
            self.core.listed(ReplicaList(kind, replicas))
        else:
            self.core.tell(ReplicaList(kind, replicas))
        if kind != ListKind.CACHED:
            self.starts.heard()
        self._log_list(news, kind)
        self.told()

    def _log_list(self, news: HostList, kind: int) -> None:
        if self.core.log.enabled:
            states = {state: [host.name for host in news.hosts if host.status == state] for state in STATES}
            self.core.log.event(
                "server_list",
                kind=ListKind(kind).name.lower(),
                index=news.index,
                servers=len(self.addresses),
                ready=len(states["ready"]),
                draining=states["draining"][:MOST_NAMES_LOGGED],
                gone=states["gone"][:MOST_NAMES_LOGGED],
                skipped=news.skipped,
            )

    def _replica(self, host: Host) -> Replica:
        id = number_of(host.name)
        where = split_address(host.address)
        self.names[id] = host.name
        self.draining.discard(id)
        if host.status == "draining":
            self.draining.add(id)
        if host.status == "gone" or where is None:
            self.addresses.pop(id, None)
            self.types.pop(id, None)
            self.names.pop(id, None)
        else:
            self.addresses[id] = where
            self.types[id] = host.type
        started = self.starts.started(id, host.since_ms)
        return Replica(
            id,
            self.zones.get(host.zone, len(self.zones)),
            host.group,
            STATES[host.status],
            host.weight,
            started,
            self.kinds.get(host.type, number_of(host.type)),
        )

    # -- discovery -----------------------------------------------------------------------------------------

    def subscribe(self, on: bool) -> None:
        """The Router asks for the watch. It times its own tries, so that none come too often."""
        if self.watch is not None:
            old, self.watch = self.watch, None
            old.close()
        if on and self.discovery is not None:
            self.watch = WatchLink(self, self.discovery)
            self.watch.start()

    def follow(self, discovery: tuple[str, int] | None) -> None:
        """Discovery has another address. The index held is the old one's, so the whole list is asked for:
        a delta counted from there might leave out what changed meanwhile."""
        if discovery != self.discovery and discovery is not None:
            self.discovery = discovery
            self.index = -1
            self.subscribe(True)

    def failed(self, watch: WatchLink, why: str) -> None:
        if watch is self.watch:
            self.watch = None
            self.core.log.event("watch_ended", why=why, lines=watch.lines_read, silent_ms=watch.silent_ms)
            self.core.listed(ReplicaList(ListKind.FAILED))
            self.told()

    # -- an inventory in its place -------------------------------------------------------------------------

    def load(self, path: Path) -> None:
        found = read_inventory(path)
        if isinstance(found, BadList):
            self.core.counters.list_failures += 1
            self.core.log.event("inventory_unreadable", why=found.why)
        else:
            self.take(found, ListKind.FULL)


class WatchLink(asyncio.BufferedProtocol):
    """One watch, from its request until its connection ends."""

    def __init__(self, cluster: Cluster, address: tuple[str, int]) -> None:
        self.cluster = cluster
        self.address = address
        self.buffer = Buffer()
        self.lines = Buffer()
        self.unfinished = b""  # the first lines of a message that comes over several
        self.indent = 0  # of the first of them
        self.body: Body | None = None
        self.transport: asyncio.Transport | None = None
        self.connecting: asyncio.Task[None] | None = None
        self.deadline: Deadline | None = None
        self.closed = False
        self.lines_read = 0
        self.answered = False  # with a list, or with what changed since the index asked for
        self.heard_at = 0.0

    @property
    def silent_ms(self) -> int:
        """Since the last line, or since the call."""
        return round((self.cluster.core.clock() - self.heard_at) * 1000)

    def start(self) -> None:
        self.cluster.core.log.event("watch_called", discovery=self.address, index=self.cluster.index)
        self._heard()
        self.connecting = asyncio.get_running_loop().create_task(self._connect())

    async def _connect(self) -> None:
        try:
            await asyncio.get_running_loop().create_connection(lambda: self, *self.address)
        except OSError as error:
            self.fail(f"connect: {error.strerror or error}")

    def connection_made(self, transport: asyncio.BaseTransport) -> None:
        assert isinstance(transport, asyncio.Transport)
        self.transport = transport
        if self.closed:
            transport.abort()
            return
        after = f"&index={self.cluster.index}" if self.cluster.index >= 0 else ""
        host, port = self.address
        transport.write(
            f"GET /catalog/members?stream=1{after} HTTP/1.1\r\nHost: {host}:{port}\r\n\r\n".encode()
        )

    def get_buffer(self, sizehint: int) -> memoryview:
        return self.buffer.room()

    def buffer_updated(self, nbytes: int) -> None:
        self.buffer.wrote(nbytes)
        if self.closed:
            return
        try:
            if not self._read():
                self.fail("what came is no list, or it has ended")
        except Exception as error:  # stops here: the list held stays
            self.cluster.core.counters.exceptions += 1
            log_exception(self.cluster.core.log, error)
            self.fail("exception")

    def _read(self) -> bool:
        """False: what came is no watch, or it has ended."""
        while self.body is None:
            head = read_head(self.buffer, response=True)
            if head is None:
                return True
            if isinstance(head, Malformed) or head.status >= 300:
                return False
            if head.status == 200:
                body = body_of(head)
                if isinstance(body, Malformed):
                    return False
                self.body = body
        data = self.body.feed(self.buffer)
        if isinstance(data, Malformed):
            return False
        self.lines.add(data)
        while (end := self.lines.find(b"\n")) >= 0:
            line = self.lines.take(end + 1)
            self.lines_read += 1
            self._heard()
            if self.answered and not line.strip():
                self.cluster.starts.heard()  # nothing has changed
            if not self._take_line(line):
                return False  # what it said is lost: the next watch asks for it from the index held
            if self.closed:
                return True
        return len(self.lines) <= LARGEST_LINE and not self.body.done

    def _take_line(self, line: bytes) -> bool:
        """A message, or a part of one; False: neither."""
        if not line.strip():
            return not self.unfinished  # nothing comes between the lines of one message
        indent = len(line) - len(line.lstrip())
        if not self.unfinished:
            self.indent = indent
            if line[indent : indent + 1] != b"{":
                return False
        self.unfinished += line
        if indent > self.indent or not line.rstrip().endswith(b"}"):  # it ends where it began, with a brace
            return len(self.unfinished) <= LARGEST_LINE
        news = read_host_list(self.unfinished)
        if isinstance(news, BadList):
            return False
        self.unfinished = b""
        self.answered = True
        self.cluster.take(news, ListKind.FULL if news.snapshot else ListKind.DELTA)
        return True

    def _heard(self) -> None:
        if self.deadline is not None:
            self.deadline.cancel()
        self.heard_at = self.cluster.core.clock()
        self.deadline = self.cluster.core.deadlines.after(SILENCE, partial(self.fail, "silent"))

    def eof_received(self) -> bool:
        return False

    def connection_lost(self, error: Exception | None) -> None:
        self.fail(f"connection lost: {error or 'closed'}")

    def fail(self, why: str) -> None:
        if not self.closed:
            self.close()
            self.cluster.failed(self, why)

    def close(self) -> None:
        self.closed = True
        if self.deadline is not None:
            self.deadline.cancel()
        if self.transport is not None:
            self.transport.abort()
        elif self.connecting is not None:
            self.connecting.cancel()
