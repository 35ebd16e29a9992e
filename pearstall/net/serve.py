"""Assembles the router's components and runs them until the program is asked to stop."""

from __future__ import annotations

import asyncio
import gc
import signal
import time
import uuid
from collections.abc import Callable
from functools import partial
from typing import TYPE_CHECKING, Any

from pearstall import signals
from pearstall.eventlog import SILENT, DescriptorSink, EventLog, log_exception
from pearstall.interface import ListKind
from pearstall.net.client_link import ClientLink
from pearstall.net.client_links import ClientLinks
from pearstall.net.cluster import Cluster
from pearstall.net.config import Config, ConfigError, reread_config
from pearstall.net.core import Core
from pearstall.net.counters import Counters
from pearstall.net.deadlines import Deadlines
from pearstall.net.listener import Closable, MakeProtocol, open_listener
from pearstall.net.memory import HeldMemory, LinuxMemory, MemoryMonitor, ProcessMemory, UnknownMemory, Usage
from pearstall.net.openai import OpenAIFront, OpenAIServer
from pearstall.net.platform import PlatformFront, PlatformServer
from pearstall.net.reconfigure import Renumbering, renumber
from pearstall.net.server_link import Endpoint, ServerForm, ServerLinks

if TYPE_CHECKING:
    from pearstall.edge.attach import EdgeSide

IDLE_TIMEOUT_FRACTION = 0.7  # of the time after which a model server closes an idle connection
RESERVED_SOCKETS = 64  # for listeners, the watch, files, and connections accepted before others are closed
CLIENT_SOCKET_FRACTION = 0.5  # of the sockets that are not reserved
# Client connections stay open this long after SIGTERM: another router may be restarting at that time, and a load
# balancer takes a while to use it again. Clients that were disconnected at once found no other router.
CLOSE_CLIENTS_AFTER_SECONDS = 1.5
MIN_SHUTDOWN_SECONDS = 2.0  # after SIGTERM, new clients may still connect for almost this long
QUIET_SECONDS = 0.5  # and a client that connected last sends its query sooner than this
# After SIGTERM, the program may be killed once the longest deadline, counted as 3 s at most, and 0.7 s have passed.
MAX_DEADLINE_SECONDS = 3.0
MOVE_STREAMS_AFTER_SECONDS = 2.75  # streams move to other routers if those accept new queries
LATE_ARRIVAL_SECONDS = 0.5  # after SIGTERM; later queries must be answered before the program is killed
RELOAD_ATTEMPTS = 12  # while the file can't be read because of a transient error
RELOAD_PAUSE_SECONDS = 0.25
HURRY_DELAY_SECONDS = 0.2  # after that deadline, open queries are ended, half a second before the kill


def connection_limits(sockets: int) -> tuple[int, int]:
    """The limits on concurrent connections to clients and to model servers."""
    free = sockets - RESERVED_SOCKETS if sockets > 2 * RESERVED_SOCKETS else sockets // 2
    clients = int(free * CLIENT_SOCKET_FRACTION)
    return clients, free - clients


class System:
    """The operating system's services that a program uses besides its event loop; a simulation has its own."""

    async def listen(self, make: MakeProtocol, host: str, port: int, failed: Callable[[OSError], None]) -> Closable:
        """Raises an OSError if the address is in use."""
        return await open_listener(make, host, port, failed)

    def now(self) -> float:
        """Unix time, in seconds."""
        return time.time()

    def make_id(self) -> str:
        return uuid.uuid4().hex


class Program:
    """One router process. Must be created inside a running event loop."""

    def __init__(
        self,
        config: Config,
        system: System | None = None,
        log: EventLog = SILENT,
        process: ProcessMemory | None = None,
    ) -> None:
        self.config = config
        self.system = system = system or System()
        self.loop = asyncio.get_running_loop()
        self.deadlines = Deadlines(self.loop)
        self.log = log
        self.counters = Counters()
        held = HeldMemory()
        self.memory = MemoryMonitor(self.deadlines, log, held, process or UnknownMemory(), self._usage)
        self.memory.set_limit(config.limits.memory_mb)
        clients, servers = connection_limits(config.limits.sockets)
        limits = config.names.limits
        self.servers = ServerLinks(
            self.deadlines,
            self.counters,
            limits.connect_timeout / 1e6,
            IDLE_TIMEOUT_FRACTION * limits.conn_idle / 1e6,
            servers,
            self._resolve,
            held,
        )
        self.core = Core(config.settings, config.seed, self.deadlines, self.counters, self.servers)
        self.core.log = log
        self.core.streams_resumable = config.names.family.resume
        self.servers.core = self.core
        subset = None
        if config.subset:
            from pearstall.net.subset import Subset  # optional, like the edge: not imported on the platform

            subset = Subset(config.subset, config.name)
        self.cluster = Cluster(self.core, config.names, config.discovery, system.now, subset)
        self.core.watch = self.cluster.subscribe
        self.core.server_name = lambda replica: self.cluster.names.get(replica, str(replica))
        self.clients = ClientLinks(self.core, self.counters, clients, held)
        self.clients.free_server_connections = self.servers.close_idle
        self.fronts: dict[tuple[str, int], PlatformFront | OpenAIFront] = {}
        if config.listen is not None:
            self.fronts[config.listen] = PlatformFront(config.names)
        if config.openai is not None and config.openai_listen is not None:
            self.fronts[config.openai_listen] = OpenAIFront(
                config.openai, config.names, config.settings, system.make_id
            )
        self.form: ServerForm = PlatformServer()
        self.forms: dict[str, ServerForm] = {}
        forms = config.openai or (config.edge.asks if config.edge is not None else None)
        if forms is not None:
            known: dict[str, ServerForm] = {"platform": self.form, "openai": OpenAIServer()}
            self.form = known[forms.server_form]
            self.forms = {kind: known[form] for kind, form in forms.server_forms.items()}
        self.edge: EdgeSide | None = None
        if config.operators is not None:
            from pearstall.edge.attach import EdgeSide  # the platform's `run` command names no operators' file

            self.edge = EdgeSide(config, self.core, self.clients, system.now)
        self.listeners: list[Closable] = []
        self.ended = asyncio.Event()
        self.shutdown_started_at = 0.0
        self.close_clients_after = CLOSE_CLIENTS_AFTER_SECONDS

    def enable_trace(self) -> None:
        from pearstall.net.trace import Trace

        classes = [lane.name for lane in self.config.names.lanes]
        self.core.trace = Trace(self.deadlines, self.config.name, self.system.now, classes)

    async def start(self) -> None:
        settings = self.config.settings
        self.log.event(
            "router_starting",
            name=self.config.name,
            router=settings.gateway,
            routers=settings.gateways,
            index=self.config.known.index,
            servers=len(self.config.known.hosts),
        )
        self.cluster.on_change = self._listed
        self.core.on_list_verified = self._listed
        self.core.start()
        if self.config.known.hosts:
            self.cluster.take(self.config.known, ListKind.CACHED)
        if self.config.inventory is not None:
            self.cluster.load(self.config.inventory)
        makers: dict[tuple[str, int], MakeProtocol] = {
            address: partial(ClientLink, self.clients, front) for address, front in self.fronts.items()
        }
        if self.edge is not None:
            makers |= self.edge.listeners()
        for (host, port), make in makers.items():
            self.listeners.append(await self.system.listen(make, host, port, self._accept_failed))
        self.log.event("router_listening", places=list(makers))
        self.memory.start()

    def _usage(self) -> Usage:
        return Usage(
            client_connections=len(self.clients.links),
            server_connections=len(self.servers.links),
            requests=len(self.core.queries),
        )

    def _accept_failed(self, error: OSError) -> None:
        self.counters.accept_failures += 1
        self.log.event("accept_failed", why=error.strerror or str(error))

    def _resolve(self, replica: int) -> tuple[Endpoint, ServerForm] | None:
        address = self.cluster.addresses.get(replica)
        if address is None or replica in self.cluster.draining:
            return None  # accepts no new requests
        endpoint = Endpoint(*address, replica, self.cluster.since_ms.get(replica, 0))
        return endpoint, self.forms.get(self.cluster.types.get(replica, ""), self.form)

    def _listed(self) -> None:
        if self.cluster.addresses and self.core.router.list_verified:
            for front in self.fronts.values():
                if not front.ready:
                    self.log.event("router_ready", servers=len(self.cluster.addresses))
                front.ready = True
            if self.edge is not None:
                self.edge.ready()

    def leave(self) -> None:
        """Starts the shutdown. Accepted queries are answered first, including those that still arrive."""
        if not self.shutdown_started_at:
            self.shutdown_started_at = self.loop.time()
            self.log.event("shutdown_begins", requests=len(self.core.queries), connections=len(self.clients.links))
            self.deadlines.after(self.close_clients_after, self.clients.leave)
            if self.edge is not None:
                self.edge.leave()
            longest = max(klass.give_up for klass in self.core.settings.classes) / 1e6
            resumable = self.config.names.family.resume
            if resumable:
                self.deadlines.after(MOVE_STREAMS_AFTER_SECONDS, self.core.move_streams)
            else:
                self.deadlines.after(LATE_ARRIVAL_SECONDS, self.stop_accepting)
            hurry_after = min(longest, MAX_DEADLINE_SECONDS) + HURRY_DELAY_SECONDS
            self.deadlines.after(
                hurry_after, partial(self.core.hurry, resumable, self.shutdown_started_at + LATE_ARRIVAL_SECONDS)
            )
            self.deadlines.after(hurry_after, self.clients.hurry)
            self._check_finished()

    def stop_accepting(self) -> None:
        """Refuses new queries where clients can't resume a stream: one that begins now would not end before the
        program is killed, and must not be cut. Another router serves such clients better."""
        self.core.stop_accepting()
        self.clients.leave()

    def _check_finished(self) -> None:
        now = self.loop.time()
        quiet = (
            now - self.shutdown_started_at >= MIN_SHUTDOWN_SECONDS
            and now - self.clients.last_accept_at >= QUIET_SECONDS
        )
        busy = any(link.closing or not link.idle or link.unsent for link in self.clients.links)
        settled = self.edge is None or self.edge.settled
        if quiet and not len(self.core.queries) and not busy and settled:
            self.ended.set()
        else:
            self.deadlines.after(0.05, self._check_finished)

    async def close(self) -> None:
        for listener in self.listeners:
            listener.close()
        for link in self.clients.links:
            link.close()
        if self.edge is not None:
            self.edge.close()
        await asyncio.sleep(0.02)  # lets the last writes leave the process
        self.cluster.subscribe(False)
        self.servers.close()

    def exception(self, loop: asyncio.AbstractEventLoop, context: dict[str, Any]) -> None:
        """Logs and counts an exception that no connection handled; the program continues."""
        self.counters.exceptions += 1
        error = context.get("exception")
        if isinstance(error, Exception):
            log_exception(self.log, error)

    def print_counters(self) -> None:
        self.counters.log_lines_lost = self.log.lost
        self.memory.sample()
        self.counters.resident_bytes = self.memory.resident_bytes
        self.counters.peak_resident_bytes = self.memory.peak_bytes
        self.counters.held_bytes = self.memory.held.data_bytes
        self.log.line(self.counters.line())
        if self.edge is not None:
            self.log.line(self.edge.line())
        self.log.flush()

    def reload(self, attempts: int = RELOAD_ATTEMPTS) -> None:
        """Reads the configuration again while serving. An invalid one is refused and changes nothing."""
        try:
            updated = reread_config(self.config)
            renumbering = renumber(self.config, updated)
        except ConfigError as error:
            if error.transient and attempts > 1:
                self.log.event("reload_put_off", why=str(error))
                self.deadlines.after(RELOAD_PAUSE_SECONDS, partial(self.reload, attempts - 1))
                return
            self.counters.reload_failures += 1
            self.log.event("reload_refused", why=str(error))
        else:
            self.counters.reloads += 1
            self.log.event("reloaded", discovery=updated.discovery)
            self._apply_config(updated, renumbering)
        if self.config.inventory is not None:
            self.cluster.load(self.config.inventory)

    def _apply_config(self, updated: Config, renumbering: Renumbering | None) -> None:
        """Applies a configuration that was read and checked as a whole, so that no step can fail."""
        self.config = updated
        self.core.streams_resumable = updated.names.family.resume
        if renumbering is not None:
            self.core.reconfigure(updated.settings, renumbering.classes, renumbering.tenants)
            for front in self.fronts.values():
                if isinstance(front, OpenAIFront):
                    front.adopt(updated.names, updated.settings)
                else:
                    front.adopt(updated.names)
            links = updated.names.limits
            self.servers.connect_limit = links.connect_timeout / 1e6
            self.servers.idle_limit = IDLE_TIMEOUT_FRACTION * links.conn_idle / 1e6
        self.clients.max_links, self.servers.max_links = connection_limits(updated.limits.sockets)
        self.memory.set_limit(updated.limits.memory_mb)
        self.cluster.change_discovery(updated.discovery)
        if self.edge is not None:
            self.edge.reload(updated)


async def run(config: Config, traced: bool = False) -> None:
    log = EventLog(DescriptorSink())
    program = Program(config, log=log, process=LinuxMemory())
    log.scheduler = program.deadlines
    if traced:
        program.enable_trace()
    loop = asyncio.get_running_loop()
    loop.set_exception_handler(program.exception)
    loop.add_signal_handler(signal.SIGTERM, program.leave)
    loop.add_signal_handler(signal.SIGINT, program.leave)
    loop.add_signal_handler(signal.SIGUSR1, program.print_counters)
    loop.add_signal_handler(signal.SIGHUP, program.reload)
    signals.unblock()
    try:
        await program.start()
    except OSError as error:
        raise ConfigError(f"listen: {error.strerror or error}") from None
    gc.collect()
    gc.freeze()  # what lives as long as the process is not searched again, so that collections are frequent and short
    try:
        await program.ended.wait()
    finally:
        await program.close()
        program.print_counters()
