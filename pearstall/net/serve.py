"""Puts the parts together and runs them until the program is asked to end."""

from __future__ import annotations

import asyncio
import signal
import time
import uuid
from collections.abc import Callable
from functools import partial
from typing import TYPE_CHECKING, Any

from pearstall import signals
from pearstall.eventlog import SILENT, DescriptorSink, EventLog, log_exception
from pearstall.interface import ListKind
from pearstall.net.client_link import ClientLink, ClientLinks
from pearstall.net.cluster import Cluster
from pearstall.net.config import Config, ConfigError, read_again
from pearstall.net.core import Core
from pearstall.net.counters import Counters
from pearstall.net.deadlines import Deadlines
from pearstall.net.listener import Closable, MakeProtocol, open_listener
from pearstall.net.openai import OpenAIFront, OpenAIServer
from pearstall.net.platform import PlatformFront, PlatformServer
from pearstall.net.reconfigure import Renumbering, renumber
from pearstall.net.server_link import ServerForm, ServerLinks

if TYPE_CHECKING:
    from pearstall.edge.attach import EdgeSide

IDLE_PART = 0.7  # of the time after which a model server closes an idle link
SPARE_SOCKETS = 64  # listeners, the watch, files, and links that are accepted before others are closed
HELD_PART = 0.15  # of the memory, for the bodies of queries
CLIENT_PART = 0.5  # of the other sockets
# Links that clients have are kept for so long: another router may be down just now, and a front that deals
# out new ones needs a while to take it in again. Clients invited off at once had nowhere to go.
INVITE_AFTER = 1.5
STAY = 2.0  # after SIGTERM new clients may still come for less than this
QUIET = 0.5  # and the last one's query for less than this
# A program asked to end may be killed once the longest deadline, but no more than 3 s, and 0.7 s are over.
KILLED_AFTER = 3.0
MOVE_AFTER = 2.75  # streams are handed on, where other routers take what comes
LATE = 0.5  # what came so long after SIGTERM must be answered before the program is killed
RELOAD_ATTEMPTS = 12  # while the file can't be read for a reason that passes
RELOAD_PAUSE_SECONDS = 0.25
HASTE = 0.2  # past that deadline, what is still owed is ended, with half a second to spare


def shares(sockets: int) -> tuple[int, int]:
    """How many links to clients and to servers there may be at once."""
    free = sockets - SPARE_SOCKETS if sockets > 2 * SPARE_SOCKETS else sockets // 2
    clients = int(free * CLIENT_PART)
    return clients, free - clients


class Surroundings:
    """What a program takes from the machine besides its loop's clock; a simulation brings its own."""

    async def listen(self, make: MakeProtocol, host: str, port: int, failed: Callable[[OSError], None]) -> Closable:
        """An OSError where the place is taken."""
        return await open_listener(make, host, port, failed)

    def now(self) -> float:
        """Unix time, in seconds."""
        return time.time()

    def make_id(self) -> str:
        return uuid.uuid4().hex


class Program:
    """One router. Made inside a running loop."""

    def __init__(self, config: Config, around: Surroundings | None = None, log: EventLog = SILENT) -> None:
        self.config = config
        self.around = around = around or Surroundings()
        self.loop = asyncio.get_running_loop()
        self.deadlines = Deadlines(self.loop)
        self.log = log
        self.counters = Counters()
        clients, servers = shares(config.limits.sockets)
        limits = config.names.limits
        self.servers = ServerLinks(
            self.deadlines,
            self.counters,
            limits.connect_timeout / 1e6,
            IDLE_PART * limits.conn_idle / 1e6,
            servers,
            self._where,
        )
        self.core = Core(config.settings, config.seed, self.deadlines, self.counters, self.servers)
        self.core.log = log
        self.servers.core = self.core
        subset = None
        if config.subset:
            from pearstall.net.subset import Subset  # like the edge: off, and not imported, on the platform

            subset = Subset(config.subset, config.name)
        self.cluster = Cluster(self.core, config.names, config.discovery, around.now, subset)
        self.core.watch = self.cluster.subscribe
        self.core.server_name = lambda replica: self.cluster.names.get(replica, str(replica))
        self.clients = ClientLinks(self.core, self.counters, clients)
        self.clients.most_held = int(config.limits.memory_mb * HELD_PART * (1 << 20))
        self.fronts: dict[tuple[str, int], PlatformFront | OpenAIFront] = {}
        if config.listen is not None:
            self.fronts[config.listen] = PlatformFront(config.names)
        if config.openai is not None and config.openai_listen is not None:
            self.fronts[config.openai_listen] = OpenAIFront(
                config.openai, config.names, config.settings, around.make_id
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
            from pearstall.edge.attach import EdgeSide  # the platform's `run` names no such file

            self.edge = EdgeSide(config, self.core, self.clients, around.now)
        self.listeners: list[Closable] = []
        self.ended = asyncio.Event()
        self.leaving_from = 0.0
        self.invite_after = INVITE_AFTER

    def traced(self) -> None:
        from pearstall.net.trace import Trace

        classes = [lane.name for lane in self.config.names.lanes]
        self.core.trace = Trace(self.deadlines, self.config.name, self.around.now, classes)

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
        self.cluster.told = self._listed
        self.core.start()
        if self.config.known.hosts:
            self.cluster.take(self.config.known, ListKind.CACHED)
        if self.config.inventory is not None:
            self.cluster.load(self.config.inventory)
        makers: dict[tuple[str, int], MakeProtocol] = {
            place: partial(ClientLink, self.clients, front) for place, front in self.fronts.items()
        }
        if self.edge is not None:
            makers |= self.edge.listeners()
        for (host, port), make in makers.items():
            self.listeners.append(await self.around.listen(make, host, port, self._accept_failed))
        self.log.event("router_listening", places=list(makers))

    def _accept_failed(self, error: OSError) -> None:
        self.counters.accept_failures += 1
        self.log.event("accept_failed", why=error.strerror or str(error))

    def _where(self, replica: int) -> tuple[tuple[str, int], ServerForm] | None:
        address = self.cluster.addresses.get(replica)
        if address is None or replica in self.cluster.draining:
            return None  # nothing new goes there
        return address, self.forms.get(self.cluster.types.get(replica, ""), self.form)

    def _listed(self) -> None:
        if self.cluster.addresses and self.core.router.list_verified:
            for front in self.fronts.values():
                if not front.ready:
                    self.log.event("router_ready", servers=len(self.cluster.addresses))
                front.ready = True
            if self.edge is not None:
                self.edge.ready()

    def leave(self) -> None:
        """Asked to end: what was taken is answered first, and what still comes meanwhile."""
        if not self.leaving_from:
            self.leaving_from = self.loop.time()
            self.log.event("shutdown_begins", requests=len(self.core.queries), connections=len(self.clients.links))
            self.deadlines.after(self.invite_after, self.clients.leave)
            if self.edge is not None:
                self.edge.leave()
            longest = max(klass.give_up for klass in self.core.settings.classes) / 1e6
            resumable = self.config.names.family.resume
            if resumable:
                self.deadlines.after(MOVE_AFTER, self.core.move)
            else:
                self.deadlines.after(LATE, self.stop_taking)
            hurry = min(longest, KILLED_AFTER) + HASTE
            self.deadlines.after(hurry, partial(self.core.hurry, resumable, self.leaving_from + LATE))
            self.deadlines.after(hurry, self.clients.hurry)
            self._look()

    def stop_taking(self) -> None:
        """Where clients don't ask for the rest of a stream, one begun now would neither end before the program is
        killed nor may it be cut: its client is better served by another router."""
        self.core.stop_taking()
        self.clients.leave()

    def _look(self) -> None:
        now = self.loop.time()
        stayed = now - self.leaving_from >= STAY and now - self.clients.latest >= QUIET
        owing = any(link.closing or not link.idle or link.unsent for link in self.clients.links)
        settled = self.edge is None or self.edge.settled
        if stayed and not len(self.core.queries) and not owing and settled:
            self.ended.set()
        else:
            self.deadlines.after(0.05, self._look)

    async def close(self) -> None:
        for listener in self.listeners:
            listener.close()
        for link in self.clients.links:
            link.close()
        if self.edge is not None:
            self.edge.close()
        await asyncio.sleep(0.02)  # what was written last is on its way
        self.cluster.subscribe(False)
        self.servers.close()

    def exception(self, loop: asyncio.AbstractEventLoop, context: dict[str, Any]) -> None:
        """What no connection stopped: a line and a count, and the program goes on."""
        self.counters.exceptions += 1
        error = context.get("exception")
        if isinstance(error, Exception):
            log_exception(self.log, error)

    def print_counters(self) -> None:
        self.counters.log_lines_lost = self.log.lost
        self.log.line(self.counters.line())
        if self.edge is not None:
            self.log.line(self.edge.line())
        self.log.flush()

    def reload(self, attempts: int = RELOAD_ATTEMPTS) -> None:
        """Reads the configuration again, under load. What can't be read changes nothing."""
        try:
            found = read_again(self.config)
            changed = renumber(self.config, found)
        except ConfigError as error:
            if error.passing and attempts > 1:
                self.log.event("reload_put_off", why=str(error))
                self.deadlines.after(RELOAD_PAUSE_SECONDS, partial(self.reload, attempts - 1))
                return
            self.counters.reload_failures += 1
            self.log.event("reload_refused", why=str(error))
        else:
            self.counters.reloads += 1
            self.log.event("reloaded", discovery=found.discovery)
            self._adopt(found, changed)
        if self.config.inventory is not None:
            self.cluster.load(self.config.inventory)

    def _adopt(self, found: Config, changed: Renumbering | None) -> None:
        """A configuration that was read whole and checked: nothing of it can fail any more."""
        self.config = found
        if changed is not None:
            self.core.reconfigure(found.settings, changed.classes, changed.tenants)
            for front in self.fronts.values():
                if isinstance(front, OpenAIFront):
                    front.adopt(found.names, found.settings)
                else:
                    front.adopt(found.names)
            links = found.names.limits
            self.servers.connect_limit = links.connect_timeout / 1e6
            self.servers.idle_limit = IDLE_PART * links.conn_idle / 1e6
        self.clients.most, self.servers.most = shares(found.limits.sockets)
        self.clients.most_held = int(found.limits.memory_mb * HELD_PART * (1 << 20))
        self.cluster.follow(found.discovery)
        if self.edge is not None:
            self.edge.reload(found)


async def run(config: Config, traced: bool = False) -> None:
    log = EventLog(DescriptorSink())
    program = Program(config, log=log)
    log.scheduler = program.deadlines
    if traced:
        program.traced()
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
    try:
        await program.ended.wait()
    finally:
        await program.close()
        program.print_counters()
