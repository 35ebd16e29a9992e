"""The list of model servers, read from discovery's watch or an inventory and passed on to the Router."""

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
from pearstall.net.http1 import Body, HeadReader, Malformed, body_of
from pearstall.net.inventory import BadList, Host, HostList, read_host_list, read_inventory, split_address
from pearstall.net.platform import number_of
from pearstall.net.start_times import StartTimes

if TYPE_CHECKING:
    from pearstall.net.subset import Subset

WATCH_SILENCE_SECONDS = 2.5  # discovery sends a line every 2 s; a watch without one for this long has failed
MAX_MESSAGE_BYTES = 8 << 20
MAX_LOGGED_NAMES = 32
STATES = {"ready": State.READY, "draining": State.DRAINING, "gone": State.GONE}


class Cluster:
    """The known model servers. `now`: Unix time in seconds; it may be stepped, and is used only for the age of a
    server's start."""

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
        self.since_ms: dict[int, float] = {}  # start of each server's process, as discovery reports it
        self.names: dict[int, str] = {}
        self.types: dict[int, str] = {}
        self.draining: set[int] = set()
        self.index = -1
        self.start_times = StartTimes(core.clock, now)
        self.watch: WatchLink | None = None
        self.on_change: Callable[[], None] = lambda: None

    def take(self, update: HostList, kind: int) -> None:
        if kind == ListKind.DELTA and 0 <= update.index < self.index:
            # Changes older than the current list would undo newer ones: a draining server would appear ready again.
            update = HostList([], self.index, False, update.skipped + len(update.hosts))
        self.core.counters.list_entries_skipped += update.skipped
        if self.subset is not None:
            update = self.subset.take(update, kind != ListKind.DELTA)
        if update.index >= 0:
            self.index = update.index
        if kind != ListKind.DELTA:
            self.addresses, self.types, self.names, self.draining = {}, {}, {}, set()
            self.since_ms = {}
        replicas = [self._replica(host) for host in update.hosts]
        if not (kind == ListKind.DELTA and not replicas):
            self.core.listed(ReplicaList(kind, replicas))
        else:
            self.core.dispatch(ReplicaList(kind, replicas))
        if kind != ListKind.CACHED:
            self.start_times.confirm_list()
        self._log_list(update, kind)
        self.on_change()

    def _log_list(self, update: HostList, kind: int) -> None:
        if self.core.log.enabled:
            states = {state: [host.name for host in update.hosts if host.status == state] for state in STATES}
            self.core.log.event(
                "server_list",
                kind=ListKind(kind).name.lower(),
                index=update.index,
                servers=len(self.addresses),
                ready=len(states["ready"]),
                draining=states["draining"][:MAX_LOGGED_NAMES],
                gone=states["gone"][:MAX_LOGGED_NAMES],
                skipped=update.skipped,
            )

    def _replica(self, host: Host) -> Replica:
        id = number_of(host.name)
        address = split_address(host.address)
        self.names[id] = host.name
        self.draining.discard(id)
        if host.status == "draining":
            self.draining.add(id)
        if host.status == "gone" or address is None:
            self.addresses.pop(id, None)
            self.types.pop(id, None)
            self.names.pop(id, None)
            self.since_ms.pop(id, None)
        else:
            self.addresses[id] = address
            self.since_ms[id] = host.since_ms
            self.types[id] = host.type
        started = self.start_times.started(id, host.since_ms)
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
        """Opens or closes the watch as the Router requests. The Router limits how often it asks."""
        if self.watch is not None:
            old, self.watch = self.watch, None
            old.close()
        if on and self.discovery is not None:
            self.watch = WatchLink(self, self.discovery)
            self.watch.start()

    def change_discovery(self, discovery: tuple[str, int] | None) -> None:
        """Switches to discovery at another address. The current index belongs to the old one, so the whole list is
        requested: a delta from that index might omit changes."""
        if discovery != self.discovery and discovery is not None:
            self.discovery = discovery
            self.index = -1
            self.subscribe(True)

    def watch_failed(self, watch: WatchLink, why: str) -> None:
        if watch is self.watch:
            self.watch = None
            self.core.log.event("watch_ended", why=why, lines=watch.lines_read, silent_ms=watch.silent_ms)
            self.core.listed(ReplicaList(ListKind.FAILED, refused=watch.refused, silence=1000 * watch.silent_ms))
            self.on_change()

    # -- inventory ----------------------------------------------------------------------------------------

    def load(self, path: Path) -> None:
        hosts = read_inventory(path)
        if isinstance(hosts, BadList):
            self.core.counters.list_failures += 1
            self.core.log.event("inventory_unreadable", why=hosts.why)
        else:
            self.take(hosts, ListKind.FULL)


class WatchLink(asyncio.BufferedProtocol):
    """The connection of one watch, from its request to its end."""

    def __init__(self, cluster: Cluster, address: tuple[str, int]) -> None:
        self.cluster = cluster
        self.address = address
        self.buffer = Buffer()
        self.lines = Buffer()
        self.partial_message = bytearray()  # the lines so far of a message that spans several lines
        self.first_indent = 0  # indentation of that message's first line
        self.head_reader = HeadReader(response=True)
        self.body: Body | None = None
        self.transport: asyncio.Transport | None = None
        self.connecting: asyncio.Task[None] | None = None
        self.deadline: Deadline | None = None
        self.closed = False
        self.lines_read = 0
        self.refused = False  # discovery answered with an error
        self.received_list = False  # a whole list, or the changes since the index in the request
        self.last_line_at = 0.0

    @property
    def silent_ms(self) -> int:
        """Milliseconds since the last line or, before the first, since the request."""
        return round((self.cluster.core.clock() - self.last_line_at) * 1000)

    def start(self) -> None:
        self.cluster.core.log.event("watch_called", discovery=self.address, index=self.cluster.index)
        self._restart_timeout()
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
        transport.write(f"GET /catalog/members?stream=1{after} HTTP/1.1\r\nHost: {host}:{port}\r\n\r\n".encode())

    def get_buffer(self, sizehint: int) -> memoryview:
        return self.buffer.writable_view()

    def buffer_updated(self, nbytes: int) -> None:
        self.buffer.wrote(nbytes)
        if self.closed:
            return
        try:
            if not self._read():
                self.fail("discovery refused" if self.refused else "what came is no list, or it has ended")
        except Exception as error:  # ends this watch only: the current list stays
            self.cluster.core.counters.exceptions += 1
            log_exception(self.cluster.core.log, error)
            self.fail("exception")

    def _read(self) -> bool:
        """False if the response is invalid or has ended."""
        while self.body is None:
            head = self.head_reader.read(self.buffer)
            if head is None:
                return True
            if isinstance(head, Malformed):
                return False
            if head.status >= 300:
                self.refused = True
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
            self._restart_timeout()
            if self.received_list and not line.strip():
                self.cluster.start_times.confirm_list()  # an empty line: the list has not changed
            if not self._take_line(line):
                return False  # the message is lost; the next watch requests it again by index
            if self.closed:
                return True
        return len(self.lines) <= MAX_MESSAGE_BYTES and not self.body.done

    def _take_line(self, line: bytes) -> bool:
        """Reads a line that is a message or part of one. False if it is neither."""
        if not line.strip():
            return not self.partial_message  # an empty line must not interrupt a message
        indent = len(line) - len(line.lstrip())
        if not self.partial_message:
            self.first_indent = indent
            if line[indent : indent + 1] != b"{":
                return False
        self.partial_message += line
        if indent > self.first_indent or not line.rstrip().endswith(
            b"}"
        ):  # the last line is a closing brace, indented as the first line
            return len(self.partial_message) <= MAX_MESSAGE_BYTES
        message, self.partial_message = bytes(self.partial_message), bytearray()
        update = read_host_list(message)
        if isinstance(update, BadList):
            return False
        self.received_list = True
        self.cluster.take(update, ListKind.FULL if update.snapshot else ListKind.DELTA)
        return True

    def _restart_timeout(self) -> None:
        if self.deadline is not None:
            self.deadline.cancel()
        self.last_line_at = self.cluster.core.clock()
        self.deadline = self.cluster.core.deadlines.after(WATCH_SILENCE_SECONDS, partial(self.fail, "silent"))

    def eof_received(self) -> bool:
        return False

    def connection_lost(self, error: Exception | None) -> None:
        self.fail(f"connection lost: {error or 'closed'}")

    def fail(self, why: str) -> None:
        if not self.closed:
            self.close()
            self.cluster.watch_failed(self, why)

    def close(self) -> None:
        self.closed = True
        if self.deadline is not None:
            self.deadline.cancel()
        if self.transport is not None:
            self.transport.abort()
        elif self.connecting is not None:
            self.connecting.cancel()
