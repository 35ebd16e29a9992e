"""Simulates a fleet in virtual time: real routers, engines, discovery, clients and faults, with invariants checked.

`play` runs one scenario from one seed. The routers are the product's `Program`, unmodified, each on a host of its
own. All random numbers come from named streams of the seed, so that changing one thing (such as a variant's
setting) leaves the load, the faults and the connections as they were, and runs can be compared seed by seed.
"""

from __future__ import annotations

import asyncio
import contextlib
import heapq
import io
import math
import time
from collections import Counter
from collections.abc import Callable
from dataclasses import dataclass, field
from random import Random
from types import ModuleType
from typing import Any

import msgspec
from blake3 import blake3

from pearstall.lab.clock import VirtualLoop, run
from pearstall.lab.devices import DeviceLoad, Devices, EdgeSettings, operators_of
from pearstall.lab.engine import EngineSettings
from pearstall.lab.loopback import Loopback, LoopbackLoop
from pearstall.lab.network import Network, Path, set_current_host
from pearstall.lab.stations import Answer, ClientConnection, ClientRequest, Discovery, ModelServer
from pearstall.net.config import Config, Limits, Names
from pearstall.net.inventory import HostList
from pearstall.net.serve import Program, System
from pearstall.settings import settings_from_wire

PORT, DISCOVERY = 7070, ("discovery", 8500)
DRAIN_LIMIT = 0.5  # seconds after the announcement of a drain during which requests may still be sent
DEADLINE_TOLERANCE = 0.05  # seconds
MAX_EXECUTIONS = 3
BIN = 1.0  # seconds per point of the time series


class Klass(msgspec.Struct, frozen=True, forbid_unknown_fields=True):
    """A request class. Times are in seconds, lengths in tokens; `share` is its part of the load."""

    name: str
    aim: float = 1.0
    give_up: float = 3.0
    late_share: float = 0.5
    value: float = 1.0
    share: float = 1.0
    prompt: int = 400  # mean length of a turn's own text
    shared: int = 600  # length of the prefix that sessions share
    wanted: int = 100
    turns: float = 3.0  # mean number per session
    think: float = 4.0
    token_aim: float = 0.0  # inter-token latency for full value; late up to twice that; 0: no limit
    aim_per_k: float = 0.0  # added to the aim per 1,000 prompt tokens


class Fault(msgspec.Struct, frozen=True, forbid_unknown_fields=True):
    """A fault of type `kind`, injected at time `at` for `lasts` seconds into `share` (or `count`) of its targets.

    With `every`, it repeats from then on as a Poisson process with a mean interval of `every` seconds (its hazard
    rate is 1 / every).
    """

    kind: str
    at: float
    lasts: float = 10.0
    share: float = 0.0
    count: int = 0
    factor: float = 4.0
    zone: str = ""
    every: float = 0.0


FAULTS = {
    "errors": "servers answer 500 at once",
    "silent": "servers accept requests and never answer",
    "gray": "servers pass health checks, but leave every second request unanswered",
    "stalls": "servers stop sending in the middle of a stream",
    "garbles": "servers corrupt their streams with random bytes",
    "slow": "servers take `factor` times as long",
    "heavy-tail": "one step in twenty takes a Pareto-distributed time, `factor` times as long on average",
    "hang": "engines stop processing, then resume",
    "lost": "machines become unreachable without any notification",
    "replace": "servers drain, leave and come back cold, one after the other over `lasts`",
    "partition": "zones cannot reach each other",
    "kill-router": "routers are killed and restart after `lasts`",
    "term-router": "routers get SIGTERM, are killed 3.7 s later and restart",
    "list-silent": "discovery's watch sends nothing",
    "list-down": "discovery drops its watches and accepts no new ones",
    "skew": "routers' wall clocks are off by `factor` seconds, ahead or behind",
    "reconnect-storm": "every connection of devices and clients is reset at once",
    "list-lag": "discovery announces changes `factor` seconds late",
}

ONLY_VIRTUAL = {"lost", "partition", "kill-router", "term-router", "replace", "reconnect-storm"}
SERVER_FAULTS = ("errors", "silent", "gray", "stalls", "garbles", "slow", "heavy-tail", "hang", "lost")


class Scenario(msgspec.Struct, forbid_unknown_fields=True):
    """Everything that defines a run except its seed. `rate(t)` is the number of requests per second for the fleet."""

    name: str = "scenario"
    seconds: float = 40.0
    routers: int = 4
    servers: int = 20
    zones: int = 1
    rate: Callable[[float], float] = lambda t: 60.0
    most_rate: float = 60.0
    classes: list[Klass] = msgspec.field(default_factory=lambda: [Klass("chat")])
    tenants: int = 1
    engine: EngineSettings = EngineSettings()
    speeds: tuple[float, float] = (0.9, 1.1)  # range of the servers' relative speeds
    faults: list[Fault] = []
    latency: float = 0.0005
    jitter: float = 0.0002
    cross_latency: float = 0.002
    list_lag: float = 0.05
    retries: int = 2  # per client request
    honours_advice: float = 1.0  # share of clients that wait for Retry-After
    notices_after: float = 1.0  # seconds until the load balancer stops using a dead router
    settings: dict[str, Any] = {}  # override the platform's settings
    constants: dict[str, float] = {}  # of the decision modules, overridden during a run
    sockets: int = 1024
    subset: int = 0  # servers that each router uses; 0: all of them
    devices: list[Devices] = []  # connected to the routers' edges
    edge: EdgeSettings = EdgeSettings()


@dataclass(slots=True)
class Result:
    """The measurements of a run."""

    scenario: str
    seed: int
    digest: str = ""
    worth: float = 0.0  # share of the requested value that was earned
    asked: int = 0
    kinds: dict[str, int] = field(default_factory=dict)
    breaches: list[str] = field(default_factory=list)
    by_class: dict[str, float] = field(default_factory=dict)
    by_tenant: dict[str, float] = field(default_factory=dict)
    first: dict[str, list[float]] = field(default_factory=dict)  # class -> times to first token
    series: dict[str, list[float]] = field(default_factory=dict)  # one value per BIN
    executions: int = 0
    tries: int = 0
    made: int = 0
    wasted: int = 0
    prompt_read: int = 0
    prompt_reused: int = 0
    turned_away: int = 0
    ejections: list[tuple[float, int, str]] = field(default_factory=list)  # time, router, server
    sick: list[tuple[float, float, str]] = field(default_factory=list)  # start, end, server
    loads: list[float] = field(default_factory=list)  # busy fraction of each server
    events: int = 0  # callbacks run by the event loop
    steps: int = 0
    real_seconds: float = 0.0
    seconds: float = 0.0
    counters: dict[str, int] = field(default_factory=dict)
    devices: dict[str, float] = field(default_factory=dict)  # outcomes of the devices' asks
    device_waits: list[float] = field(default_factory=list)  # seconds until the device has the final record


class _VirtualSystem(System):
    def __init__(self, loop: VirtualLoop | LoopbackLoop, random: Random) -> None:
        self.loop, self.random = loop, random
        self.skew = 0.0

    async def listen(self, make: Any, host: str, port: int, failed: Any) -> Any:
        return await self.loop.create_server(make, host, port)

    def now(self) -> float:
        return self.loop.wall() + self.skew

    def make_id(self) -> str:
        return f"{self.random.getrandbits(64):016x}"


class World:
    """The simulated fleet of one run: builds it, generates its load and faults, and checks its invariants."""

    def __init__(self, scenario: Scenario, seed: int, trace: list[str] | None = None) -> None:
        self.scenario, self.seed, self.trace = scenario, seed, trace
        loop = asyncio.get_running_loop()
        assert isinstance(loop, VirtualLoop | LoopbackLoop)
        self.loop = loop
        self.begin = loop.time()
        self.network: Network | Loopback
        if isinstance(loop, VirtualLoop):
            self.network = Network(loop, seed, self._path)
        else:
            self.network = Loopback(loop)
        self.result = Result(scenario.name, seed)
        self.hash = blake3()
        self.discovery = Discovery(DISCOVERY, scenario.list_lag)
        self.zone_names = [f"z{n}" for n in range(scenario.zones)]
        self.servers: dict[str, ModelServer] = {}
        self.names: dict[int, str] = {}  # the routers' numeric id of a server -> its name
        self.routers: list[Router] = []
        self.request_count = 0
        self.open = 0
        self.in_flight: dict[str, tuple[ModelServer, Any]] = {}
        self.executions: dict[str, int] = {}
        self.drained: dict[str, float] = {}  # server -> when routers could know of its drain
        self.bins = math.ceil(scenario.seconds / BIN) + 1
        self.sums = {key: [0.0] * self.bins for key in ("asked", "worth", "tries", "refused", "executions")}
        self.prefixes = 24
        self.device_links: dict[str, Path] = {}  # a device's cell -> its network path
        self.devices: DeviceLoad | None = None
        if scenario.devices:
            self.devices = DeviceLoad(self)
        self.worths = _ListsByName()  # class -> fraction of its value that each request earned
        self.tenants = _ListsByName()

    def stream(self, name: str) -> Random:
        """Returns an independent random generator for `name`."""
        return Random(f"{self.seed}/{name}")

    def _zone_of(self, host: str) -> str:
        return self.network.zones.get(host, "")

    def _path(self, here: str, there: str) -> Path:
        scenario = self.scenario
        link = self.device_links.get(here) or self.device_links.get(there)
        if link is not None:
            return link
        cross = self._zone_of(here) != self._zone_of(there)
        return Path(scenario.cross_latency if cross else scenario.latency, scenario.jitter)

    def note(self, *what: Any) -> None:
        """Adds a line to the run's digest and its trace."""
        self.hash.update(repr((round(self.loop.now, 9), *what)).encode())
        if self.trace is not None:
            self.trace.append(f"{self.loop.now - self.begin:10.4f}  {' '.join(map(str, what))}")

    def breach(self, what: str) -> None:
        self.result.breaches.append(f"seed {self.seed}, {self.loop.now - self.begin:.3f} s: {what}")

    # -- building ------------------------------------------------------------------------------------------

    async def build(self) -> None:
        from pearstall.net.platform import number_of

        scenario, random = self.scenario, self.stream("servers")
        set_current_host(DISCOVERY[0])
        await self.discovery.start()
        for number in range(scenario.servers):
            name = f"s{number}"
            server = await self.start_server(name, self.zone_names[number % scenario.zones], cold=False)
            server.engine.speed = random.uniform(*scenario.speeds)
            self.names[number_of(name)] = name
            self.discovery.rows[name] = server.row()
        for number in range(scenario.routers):
            router = Router(self, number)
            self.routers.append(router)
            await router.start()

    async def start_server(self, name: str, zone: str, cold: bool) -> ModelServer:
        self.network.zones[name] = zone
        since = self.loop.wall() if cold else 0.0
        server = ModelServer(name, (name, 9000), self.scenario.engine, zone, since=since)
        server.on_request = self.check_execution
        if self.devices is not None:
            server.execution_log, server.recorded_prefix = self.devices.ledger.execution_log, "dev"
        self.servers[name] = server
        set_current_host(name)
        await server.start()
        return server

    # -- invariants ----------------------------------------------------------------------------------------

    def check_execution(self, txn: str, server: ModelServer) -> None:
        """Checks invariants when a server has received a whole request."""
        self.note("run", txn, server.name)
        count = self.executions[txn] = self.executions.get(txn, 0) + 1
        self._add_to_series("executions", 1)
        if count > MAX_EXECUTIONS:
            self.breach(f"{txn}: {count} executions")
        previous = self.in_flight.get(txn)
        if previous is not None:
            link = previous[1]
            # None if the previous server has already answered.
            open_transport = link.transport if previous[0].in_flight.get(txn) is link else None
            if open_transport is not None and not self.network.peer_closed(open_transport):
                self.breach(f"{txn}: at {server.name} while out at {previous[0].name}")
        self.in_flight[txn] = (server, server.in_flight[txn])
        drain_announced = self.drained.get(server.name)
        if (
            server.status == "draining"
            and drain_announced is not None
            and self.loop.now > drain_announced + DRAIN_LIMIT + DEADLINE_TOLERANCE
        ):
            self.breach(
                f"{txn}: sent to {server.name}, {self.loop.now - drain_announced:.3f} s after its drain was announced"
            )

    def _add_to_series(self, key: str, value: float, at: float | None = None) -> None:
        bin = int(((self.loop.now if at is None else at) - self.begin) / BIN)
        if bin < self.bins:
            self.sums[key][bin] += value

    # -- load ----------------------------------------------------------------------------------------------

    async def load(self) -> None:
        """Generates open-loop arrivals by thinning (Lewis and Shedler 1979)."""
        scenario, random = self.scenario, self.stream("load")
        max_rate = scenario.most_rate
        weights = [klass.share for klass in scenario.classes]
        load_end = self.begin + scenario.seconds
        turns: list[tuple[float, int, ClientRequest, int]] = []
        now = self.begin
        while True:
            now += random.expovariate(max_rate)
            while turns and turns[0][0] <= min(now, load_end):
                start_at, _, previous, turns_left = heapq.heappop(turns)
                await self._sleep_until(start_at)
                self._start_client(self._next_turn(previous, random), random, turns, turns_left)
            if now >= load_end:
                return
            if random.random() * max_rate > scenario.rate(now - self.begin):
                continue
            await self._sleep_until(now)
            number = random.choices(range(len(weights)), weights)[0]
            klass = scenario.classes[number]
            prefix = f"p{number}.{int(random.paretovariate(1.2)) % self.prefixes}"
            self.request_count += 1
            own_tokens = max(16, int(random.lognormvariate(math.log(klass.prompt), 0.6)))
            wanted = max(4, int(random.lognormvariate(math.log(klass.wanted), 0.5)))
            request = ClientRequest(
                self.request_count, number, random.randrange(scenario.tenants), f"e{self.request_count}",
                [(prefix, klass.shared), (f"t{self.request_count}", own_tokens)], wanted,
                self.loop.now, self.loop.now + klass.give_up,
            )  # fmt: skip
            turns_left = int(random.expovariate(1 / klass.turns)) if klass.turns else 0
            self._start_client(request, random, turns, turns_left)

    def _start_client(
        self,
        request: ClientRequest,
        random: Random,
        turns: list[tuple[float, int, ClientRequest, int]],
        turns_left: int,
    ) -> None:
        klass = self.scenario.classes[request.klass]
        if turns_left > 0:
            next_turn_at = self.loop.now + klass.wanted * 0.02 + random.expovariate(1 / klass.think)
            heapq.heappush(turns, (next_turn_at, request.number, request, turns_left - 1))
        self.open += 1
        self._add_to_series("asked", klass.value)
        self.result.asked += 1
        task = self.loop.create_task(self._run_client(request, random.random() < self.scenario.honours_advice))
        task.add_done_callback(self._client_done)

    def _next_turn(self, previous: ClientRequest, random: Random) -> ClientRequest:
        """Returns the next turn of a session; its prompt begins with the whole previous turn."""
        klass = self.scenario.classes[previous.klass]
        self.request_count += 1
        own_tokens = max(16, int(random.lognormvariate(math.log(klass.prompt), 0.6)))
        wanted = max(4, int(random.lognormvariate(math.log(klass.wanted), 0.5)))
        return ClientRequest(
            self.request_count, previous.klass, previous.tenant, previous.session,
            [*previous.segments, (f"t{self.request_count}", own_tokens)], wanted,
            self.loop.now, self.loop.now + klass.give_up,
        )  # fmt: skip

    def _client_done(self, task: asyncio.Task[None]) -> None:
        self.open -= 1
        if not task.cancelled() and (error := task.exception()) is not None:
            self.breach(f"a client ended with {type(error).__name__}: {error}")

    async def _sleep_until(self, when: float) -> None:
        if when > self.loop.now:
            await asyncio.sleep(when - self.loop.now)

    async def _run_client(self, request: ClientRequest, follows_advice: bool) -> None:
        """Sends one request with its retries and scores the result that its user gets."""
        set_current_host("clients")
        klass = self.scenario.classes[request.klass]
        pause = 0.05
        for number in range(self.scenario.retries + 1):
            time_left = request.deadline - self.loop.now
            if time_left <= 0.01:
                break
            router = self._choose_router(request, number)
            if router is None:
                request.tries.append(Answer("lost", 0.0, self.loop.now))
                await asyncio.sleep(min(0.2, time_left))
                continue
            self._add_to_series("tries", 1)
            txn = f"{request.number}.{number}"
            answer = await router.send_request(self._encode_request(request, txn, time_left), time_left)
            request.tries.append(answer)
            self.note("got", txn, answer.kind, answer.tokens, round(answer.first, 9))
            self.executions.pop(txn, None)
            self.in_flight.pop(txn, None)
            self._check_answer(request, txn, answer, time_left)
            if answer.kind == "served" or answer.first:
                break
            if answer.kind == "refused":
                self._add_to_series("refused", 1)
                wait = answer.retry_after if follows_advice and answer.retry_after else pause
            else:
                wait = pause if answer.kind == "lost" else 0.0
            pause = min(1.0, pause * 2)
            if request.deadline - self.loop.now <= wait:
                break
            await asyncio.sleep(wait)
        self._score(request, klass)

    def _choose_router(self, request: ClientRequest, number: int) -> Router | None:
        """Spreads clients over the routers in service, and picks another router for each try."""
        in_service = [router for router in self.routers if router.in_service(self.loop.now)]
        if not in_service:
            return None
        return in_service[(request.number * 2654435761 + number * 7919) % len(in_service)]

    def _encode_request(self, request: ClientRequest, txn: str, time_left: float) -> bytes:
        klass = self.scenario.classes[request.klass]
        body = msgspec.json.encode(
            {"model": klass.name, "stream": True, "work": {"segments": request.segments, "wanted": request.wanted}}
        )
        prefix, length = request.segments[0]
        return (
            f"POST /v1/chat/completions HTTP/1.1\r\nHost: r\r\nX-Txn: {txn}\r\nX-Lane: {klass.name}\r\n"
            f"X-Org: t{request.tenant}\r\nX-Entity: {request.session}\r\nX-Remaining: {time_left:.6f}\r\n"
            f"X-Labels: prefix={prefix},prefix_len={length},prompt_len={request.prompt}\r\n"
            f"Content-Length: {len(body)}\r\n\r\n"
        ).encode() + body

    def _check_answer(self, request: ClientRequest, txn: str, answer: Answer, time_left: float) -> None:
        when = answer.first or answer.last
        if (
            answer.kind in ("refused", "failed", "served", "cut")
            and when > request.deadline + DEADLINE_TOLERANCE + 0.01
        ):
            self.breach(f"{txn}: {answer.kind} {when - request.deadline:.3f} s past its deadline")
        if answer.kind == "served" and answer.tokens != request.wanted:
            self.breach(f"{txn}: {answer.tokens} tokens of {request.wanted} in an answer reported as complete")

    def _score(self, request: ClientRequest, klass: Klass) -> None:
        result = self.result
        last = request.tries[-1] if request.tries else Answer("lost")
        result.tries += len(request.tries)
        result.kinds[last.kind] = result.kinds.get(last.kind, 0) + 1
        share_earned = 0.0
        if last.kind == "served":
            wait = last.first - request.at
            result.first.setdefault(klass.name, []).append(wait)
            aim = klass.aim + klass.aim_per_k * request.prompt / 1000
            token_latency_ratio = (
                (last.last - last.first) / max(1, last.tokens - 1) / klass.token_aim if klass.token_aim else 0.0
            )
            late = klass.late_share if wait <= klass.give_up and token_latency_ratio <= 2 else 0.0
            share_earned = 1.0 if wait <= aim and token_latency_ratio <= 1 else late
        self._add_to_series("worth", share_earned * klass.value, request.at)
        self.worths[klass.name].append(share_earned)
        self.tenants[f"t{request.tenant}"].append(share_earned)

    # -- faults --------------------------------------------------------------------------------------------

    async def faults(self) -> None:
        for number, fault in enumerate(self.scenario.faults):
            random = self.stream(f"fault{number}")
            for at in self._fault_times(fault, random):
                occurrence = msgspec.structs.replace(fault, at=at)
                self.loop.create_task(self._inject_fault(occurrence, random))

    def _fault_times(self, fault: Fault, random: Random) -> list[float]:
        out, at = [fault.at], fault.at
        while fault.every:
            at += random.expovariate(1 / fault.every)
            if at >= self.scenario.seconds:
                break
            out.append(at)
        return out

    def _choose_servers(self, fault: Fault, random: Random) -> list[str]:
        names = [name for name, one in self.servers.items() if not fault.zone or one.zone == fault.zone]
        count = fault.count or round(fault.share * len(names))
        names = [name for name in names if not self.servers[name].fault and name not in self.network.unreachable]
        return sorted(random.sample(names, min(len(names), max(1, count))))

    async def _inject_fault(self, fault: Fault, random: Random) -> None:
        await self._sleep_until(self.begin + fault.at)
        kind = fault.kind
        self.note("fault", kind)
        if kind in SERVER_FAULTS:
            await self._inject_server_fault(fault, self._choose_servers(fault, random), random)
        elif kind == "replace":
            await self._replace(fault, self._choose_servers(fault, random))
        elif kind == "partition":
            pairs = {(a, b) for a in self.zone_names for b in self.zone_names if a != b}
            if fault.zone:
                pairs = {pair for pair in pairs if fault.zone in pair}
            self.network.zone_partitions |= pairs
            await asyncio.sleep(fault.lasts)
            self.network.zone_partitions -= pairs
        elif kind in ("kill-router", "term-router"):
            count = fault.count or max(1, round(fault.share * len(self.routers)))
            for router in random.sample(self.routers, min(count, len(self.routers))):
                self.loop.create_task(router.restart(kind == "term-router", fault.lasts))
        elif kind == "skew":
            count = fault.count or max(1, round(fault.share * len(self.routers)))
            chosen = random.sample(self.routers, min(count, len(self.routers)))
            before_skew = [router.skew for router in chosen]
            for router in chosen:
                router.set_skew(fault.factor * random.choice((-1, 1)))
            await asyncio.sleep(fault.lasts)
            for router, skew in zip(chosen, before_skew, strict=True):
                router.set_skew(skew)
        elif kind == "reconnect-storm":
            cut = self.network.reset_connections(lambda host: host in self.device_links or host == "clients")
            self.note("cut", cut)
        elif kind == "list-silent":
            self.discovery.silent = True
            await asyncio.sleep(fault.lasts)
            self.discovery.silent = False
        elif kind == "list-down":
            self.discovery.up = False
            self.discovery.restart()
            await asyncio.sleep(fault.lasts)
            self.discovery.up = True
        elif kind == "list-lag":
            previous, self.discovery.lag = self.discovery.lag, fault.factor
            await asyncio.sleep(fault.lasts)
            self.discovery.lag = previous

    async def _inject_server_fault(self, fault: Fault, names: list[str], random: Random) -> None:
        chosen = [self.servers[name] for name in names]
        since = self.loop.now - self.begin
        for server in chosen:
            if fault.kind == "slow":
                server.engine.speed /= fault.factor
            elif fault.kind == "heavy-tail":
                server.engine.tail = _heavy_tail(random, fault.factor)
            elif fault.kind == "hang":
                server.engine.hung = True
            elif fault.kind == "lost":
                self.network.unreachable.add(server.name)
            else:
                server.fault = fault.kind
        await asyncio.sleep(fault.lasts)
        for server in chosen:
            if fault.kind == "slow":
                server.engine.speed *= fault.factor
            elif fault.kind == "heavy-tail":
                server.engine.tail = None
            elif fault.kind == "hang":
                server.engine.resume()
            elif fault.kind == "lost":
                self.network.restore_host(server.name)
            else:
                server.fault = ""
            self.result.sick.append((since, self.loop.now - self.begin, server.name))

    async def _replace(self, fault: Fault, names: list[str]) -> None:
        """Rolls out a release: each server drains for 2 s, is gone for 1 s, and comes back cold."""
        interval = fault.lasts / len(names)

        async def replace_server(name: str) -> None:
            server = self.servers[name]
            server.status = "draining"
            self.discovery.put(server.row())
            self.drained[name] = self.loop.now + self.discovery.lag + self.scenario.cross_latency
            await asyncio.sleep(0.5)
            server.engine.draining = True
            await asyncio.sleep(1.5)
            server.status = "gone"
            self.discovery.put(server.row())
            server.stop()
            self.network.kill(name)
            self.drained.pop(name, None)
            await asyncio.sleep(1.0)
            speed = server.engine.speed
            replacement = await self.start_server(name, server.zone, cold=True)
            replacement.engine.speed = speed
            _carry_counters_over(server, replacement)
            self.discovery.put(replacement.row())

        for name in names:
            self.loop.create_task(replace_server(name))
            await asyncio.sleep(interval)

    # -- results -------------------------------------------------------------------------------------------

    def finish(self) -> Result:
        result = self.result
        result.series = dict(self.sums)
        worths, tenants = self.worths, self.tenants
        values: dict[str, float] = {klass.name: klass.value for klass in self.scenario.classes}
        asked = sum(values[name] * len(parts) for name, parts in worths.items())
        result.worth = sum(values[name] * sum(parts) for name, parts in worths.items()) / asked if asked else 0.0
        result.by_class = {name: sum(parts) / len(parts) for name, parts in sorted(worths.items())}
        result.by_tenant = {name: sum(parts) / len(parts) for name, parts in sorted(tenants.items())}
        elapsed = self.loop.now - self.begin
        for server in self.servers.values():
            counters = server.engine.counters
            result.made += counters.made
            result.wasted += counters.wasted
            result.prompt_read += counters.prompt_tokens
            result.prompt_reused += counters.reused_tokens
            result.turned_away += counters.turned_away
            result.steps += counters.steps
            result.loads.append(counters.busy / elapsed)
        total: Counter[str] = Counter()
        for router in self.routers:
            total.update(router.total())
        result.counters = dict(total)
        result.executions = total["executions"]
        if total["exceptions"]:
            self.breach(f"{total['exceptions']} exceptions were caught at a connection")
        if total["overdue"]:
            self.breach(f"{total['overdue']} answers were overdue")
        if self.devices is not None:
            stats = self.devices.stats
            result.devices = {
                "asked": stats.asked, "attempts": stats.attempts, "moves": stats.moves,
                "abandoned": stats.abandoned, "wire changes": stats.wire_changes, "forgotten": stats.forgotten,
                **{f"held {kind}": count for kind, count in sorted(stats.kinds.items())},
                **{f"told {code}": count for code, count in sorted(stats.told.items())},
            }  # fmt: skip
            result.device_waits = stats.waits
            for text in self.devices.check():
                self.breach(text)
        result.events = self.loop.number
        result.digest = self.hash.hexdigest(16)
        result.seconds = elapsed
        return result


class _ListsByName(dict[str, list[float]]):
    def __missing__(self, key: str) -> list[float]:
        made = self[key] = []
        return made


def _heavy_tail(random: Random, factor: float) -> Callable[[], float]:
    """Returns a function that draws the slowdown of an engine step.

    One step in twenty is slowed, `factor` times on average. A Pareto distribution of shape 1.5 has infinite variance.
    """
    return lambda: 1.0 if random.random() >= 0.05 else max(1.0, factor / 3 * random.paretovariate(1.5))


def _carry_counters_over(old: ModelServer, new: ModelServer) -> None:
    """Makes a replacement continue the counters of the server that it replaces."""
    new.engine.counters = old.engine.counters
    new.requests = old.requests


class Router:
    """One simulated router host: its program, its clients' connections and its restarts."""

    def __init__(self, world: World, number: int) -> None:
        self.world, self.number = world, number
        self.host = f"r{number}"
        self.program: Program | None = None
        self.idle: list[ClientConnection] = []
        self.up_from = 0.0
        self.dead_from = math.inf
        self.starts = 0
        self.skew = 0.0
        self.system: _VirtualSystem | None = None
        self.past_counters: Counter[str] = Counter()
        world.network.zones[self.host] = world.zone_names[number % len(world.zone_names)]

    def in_service(self, now: float) -> bool:
        return self.up_from <= now < self.dead_from + self.world.scenario.notices_after

    async def start(self) -> None:
        world = self.world
        set_current_host(self.host)
        seed = world.stream(f"{self.host}/{self.starts}").getrandbits(64)
        self.starts += 1
        self.system = _VirtualSystem(world.loop, Random(seed))
        self.system.skew = self.skew
        program = self.program = Program(config_of(world, self, seed), self.system)
        if world.devices is not None:
            world.devices.join(self)
        await program.start()
        self.up_from, self.dead_from = world.loop.now + 0.05, math.inf
        set_current_host("world")

    def set_skew(self, seconds: float) -> None:
        self.skew = seconds
        if self.system is not None:
            self.system.skew = seconds

    def total(self) -> Counter[str]:
        out = Counter(self.past_counters)
        if self.program is not None:
            out.update(_counter_values(self.program))
        return out

    async def send_request(self, data: bytes, timeout: float) -> Answer:
        world = self.world
        while self.idle:
            connection = self.idle.pop()
            if not connection.gone:
                break
        else:
            try:
                async with asyncio.timeout(timeout):
                    _, connection = await world.network.connect(ClientConnection, (self.host, PORT), "clients")
            except (OSError, TimeoutError):
                return Answer("lost", 0.0, world.loop.now)
        pending_answer = connection.ask(data)
        abort_timer = world.loop.call_later(timeout + 0.2, _abort_unless_begun, connection)
        answer = await pending_answer
        abort_timer.cancel()
        if connection.begun and answer.kind == "cut" and not connection.gone and connection.transport is not None:
            connection.transport.abort()
        if not connection.gone:
            self.idle.append(connection)
        return answer

    async def restart(self, gracefully: bool, lasts: float) -> None:
        world, program = self.world, self.program
        if program is None:
            return
        set_current_host(self.host)
        world.note("restart", self.host)
        if gracefully:
            program.leave()
            self.dead_from = world.loop.now - world.scenario.notices_after + 0.3
            await asyncio.sleep(3.7)
        else:
            self.dead_from = world.loop.now
        self.past_counters.update(_counter_values(program))
        self.program = None
        world.network.kill(self.host)
        _disable_timers(program)
        self.idle.clear()
        await asyncio.sleep(lasts)
        await self.start()


def _abort_unless_begun(connection: ClientConnection) -> None:
    """Aborts the connection of a client that timed out waiting for its first token."""
    if not connection.begun and connection.transport is not None:
        connection.transport.abort()


def _counter_values(program: Program) -> dict[str, int]:
    counters = program.counters
    names = ("queries", "executions", "served", "refused", "failed", "broken", "moved", "clients_gone", "overdue",
             "exceptions", "server_links", "server_links_reused", "crowded_out", "logs")  # fmt: skip
    out = {name: getattr(counters, name) for name in names}
    return out | {f"outcome_{name}": count for name, count in counters.outcomes.items()}


def _disable_timers(program: Program) -> None:
    """Cancels the timers of a killed process, and prevents new ones."""
    if program.deadlines.armed is not None:
        program.deadlines.armed.cancel()
    program.deadlines.heap.clear()
    program.deadlines.armed_at = -math.inf  # later deadlines are never armed
    program.core.watch = lambda on: None
    program.cluster.watch = None


def config_of(world: World, router: Router, seed: int) -> Config:
    scenario = world.scenario
    lanes = [
        {"name": klass.name, "aim": int(klass.aim * 1e6), "hardLimit": int(klass.give_up * 1e6),
         "lateShare": klass.late_share, "value": klass.value, "effect": "pure"}
        for klass in scenario.classes
    ]  # fmt: skip
    engine = scenario.engine
    raw: dict[str, Any] = {
        "lanes": lanes,
        "accounts": [{"name": f"t{n}", "share": 1 / scenario.tenants} for n in range(scenario.tenants)],
        "dcs": world.zone_names, "models": ["m1"], "tick": 4000, "membershipMode": "subscribe",
        "familyInfo": {"tokenAim": [int(klass.token_aim * 1e6) for klass in scenario.classes],
                       "aimUsPer1000PromptTokens": [int(klass.aim_per_k * 1e6) for klass in scenario.classes]},
        "limits": {"maxAttempts": 3, "mayCancel": True, "retryAfter": True, "maxRetryAfter": 2_000_000,
                   "connIdle": 30_000_000, "connectTimeout": 250_000},
        "obligations": {"mustAskIn": 1_000_000, "cold": int(engine.cold_time * 1e6), "coldShare": engine.cold_share,
                        "tipMultiple": 3.0},
    }  # fmt: skip
    for name, value in scenario.settings.items():
        place = next((part for part in (raw["limits"], raw["obligations"]) if name in part), raw)
        place[name] = int(value)
    data = msgspec.json.encode(raw)
    return Config(
        name=router.host,
        listen=(router.host, PORT),
        discovery=DISCOVERY,
        seed=seed,
        limits=Limits(sockets=scenario.sockets),
        known=HostList(),
        subset=scenario.subset,
        operators=operators_of(scenario.edge, router.host, scenario.classes[0].name) if scenario.devices else None,
        settings=settings_from_wire(data),
        names=msgspec.json.decode(data, type=Names),
    )


def decision_constants() -> dict[str, ModuleType]:
    """The numeric constants of the decision modules: the module of each name."""
    from pearstall import choice, discovery

    return {
        name: module
        for module in (discovery, choice)
        for name, value in vars(module).items()
        if isinstance(value, int | float) and not isinstance(value, bool)
    }


@contextlib.contextmanager
def constants(changes: dict[str, float]) -> Any:
    """Overrides constants of the decision modules during a run. Raises KeyError for an unknown constant."""
    modules = decision_constants()
    previous = {name: vars(modules[name])[name] for name in changes}
    for name, value in changes.items():
        setattr(modules[name], name, type(previous[name])(value))
    try:
        yield
    finally:
        for name, value in previous.items():
            setattr(modules[name], name, value)


async def _main(
    scenario: Scenario, seed: int, ejections: _Ejections, progress: Callable[[float], object] | None = None,
    watch: Callable[[World], object] | None = None, trace: list[str] | None = None,
) -> Result:  # fmt: skip
    world = World(scenario, seed, trace)
    await world.build()
    await asyncio.sleep(0.2)
    world.begin = ejections.begin = world.loop.time()
    await world.faults()
    if world.devices is not None:
        world.devices.start()

    async def report_progress() -> None:
        while True:
            await asyncio.sleep(1.0)
            if progress is not None:
                progress((world.loop.now - world.begin) / scenario.seconds)
            if watch is not None:
                watch(world)

    if progress is not None or watch is not None:
        world.loop.create_task(report_progress())
    await world.load()
    longest_wait = max(klass.give_up for klass in scenario.classes)
    wait_until = world.loop.now + 20 * longest_wait
    while world.open and world.loop.now < wait_until:
        await asyncio.sleep(0.05)
    while world.devices is not None and world.devices.open and world.loop.now < wait_until + 300:
        await asyncio.sleep(0.5)
    if world.open:
        world.breach(f"{world.open} clients are still waiting {20 * longest_wait:.0f} s after the last request")
    return world.finish()


def play(
    scenario: Scenario, seed: int, progress: Callable[[float], object] | None = None,
    watch: Callable[[World], object] | None = None, trace: list[str] | None = None,
) -> Result:  # fmt: skip
    """Runs a scenario in virtual time. `trace` collects the lines that go into the digest.

    The routers' log lines are discarded after their ejections have been extracted.
    """
    began = time.perf_counter()
    ejections = _Ejections()

    with constants(scenario.constants), contextlib.redirect_stderr(ejections):
        loop = VirtualLoop()
        ejections.loop = loop
        result = run(_main(scenario, seed, ejections, progress, watch, trace), loop)
    ejections.store(result, scenario)
    result.real_seconds = time.perf_counter() - began
    return result


def play_on_sockets(scenario: Scenario, seed: int) -> Result:
    """Runs a scenario in real time on the machine's loopback addresses, as a reference for virtual time.

    Raises ValueError for faults that need the simulated network. Latencies are the machine's, not the scenario's.
    """
    unsupported = sorted({fault.kind for fault in scenario.faults} & ONLY_VIRTUAL)
    if unsupported or scenario.devices:
        raise ValueError(f"not supported on real sockets: {', '.join(unsupported) or 'devices'}")
    began = time.perf_counter()
    ejections = _Ejections()
    loop = LoopbackLoop()
    ejections.loop = loop
    with constants(scenario.constants), contextlib.redirect_stderr(ejections):
        try:
            asyncio.set_event_loop(loop)
            result = loop.run_until_complete(_main(scenario, seed, ejections))
            left = asyncio.all_tasks(loop)
            for task in left:
                task.cancel()
            loop.run_until_complete(asyncio.gather(*left, return_exceptions=True))
        finally:
            asyncio.set_event_loop(None)
            loop.close()
    ejections.store(result, scenario)
    result.real_seconds = time.perf_counter() - began
    return result


class _Ejections(io.StringIO):
    """Stands in for the routers' standard error and records which servers they ejected, and when."""

    def __init__(self) -> None:
        super().__init__()
        self.observed: list[tuple[float, int]] = []  # seconds since the start, the routers' server id
        self.begin = 0.0
        self.loop: VirtualLoop | LoopbackLoop | None = None

    def store(self, result: Result, scenario: Scenario) -> None:
        from pearstall.net.platform import number_of

        names = {number_of(f"s{n}"): f"s{n}" for n in range(scenario.servers)}
        result.ejections = [(at, 0, names.get(id, "?")) for at, id in self.observed]

    def write(self, text: str) -> int:
        if text.startswith("eject replica ") and self.loop is not None:
            self.observed.append((self.loop.now - self.begin, int(text.split(" ")[2])))
        return len(text)
