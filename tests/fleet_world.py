"""Simulates a fleet of many routers in front of simple model servers, with faults, in virtual time.

`compare_policies` compares the fraction of each class that the routers serve with the fraction served in the same
world by picking a random ready replica. There are no sockets: `pearstall.lab.world` simulates them, for fewer
routers.
"""

from __future__ import annotations

import heapq
import itertools
from collections import Counter, OrderedDict
from collections.abc import Callable
from dataclasses import dataclass, field
from functools import partial
from random import Random
from typing import Any, Protocol

from pearstall.choice import Router
from pearstall.interface import (
    NEVER_RAN,
    Action,
    Cancel,
    ClientGone,
    Effect,
    Event,
    Fail,
    FirstToken,
    ListKind,
    Outcome,
    Refuse,
    Replica,
    ReplicaList,
    Request,
    Result,
    Send,
    SetTimer,
    Settings,
    State,
    Subscribe,
    Timer,
)
from tests.support import MS, S, settings

LIST_LAG = 1 * S
CONNECT_TIMEOUT = 250 * MS
CACHED_PREFIXES = 600  # sessions and prefixes in the cache of a server
CROSS_ZONE_LATENCY = 40 * MS
CLIENT_RETRY_WAIT = 100 * MS


@dataclass(frozen=True)
class Traffic:
    """The requests of one class. Token counts are means; `share` is the fraction of the load."""

    share: float = 1.0
    prompt: int = 1500
    answer: int = 110
    prefixes: int = 24  # number of shared prompt prefixes; 0: prompts share none
    prefix_tokens: int = 800
    sessions: bool = True
    turns: float = 3.0
    streamed: bool = True  # False: no first token is reported, only the complete answer


@dataclass(frozen=True)
class Machine:
    """The performance of a world's model servers. Times in microseconds."""

    slots: int = 60
    queue: int = 40
    step: int = 14 * MS
    per_sequence: int = 300
    prefill_tokens_per_second: float = 12_000.0


MACHINE = Machine()


@dataclass(frozen=True)
class Fault:
    """A fault of the given kind, from second `at` on for `lasts` seconds, at `share` of the servers or routers.

    Kinds for servers: hang, errors, resets (before the first token), broken (mid-stream), refused (connects),
    slow_connects, slow (by `factor`), replace. For zone 0: cut (off from the other zones), zone_hang. For routers:
    restart. For discovery: list_down. For the load: burst (by `factor`), flood (extra load by tenant 0).
    """

    kind: str
    at: float = 8.0
    lasts: float = 8.0
    share: float = 0.16
    factor: float = 3.0


@dataclass
class Tally:
    """How many requests of one class were made and served, and why others ended."""

    requests: Counter[int] = field(default_factory=Counter)  # by the second of the client's first try
    served: Counter[int] = field(default_factory=Counter)
    reasons: Counter[str] = field(default_factory=Counter)

    def share(self, begin: float = 0.0, end: float = 1e9) -> float:
        """The fraction of the requests made from second `begin` until `end` that was served."""
        requests = sum(count for second, count in self.requests.items() if begin <= second < end)
        served = sum(count for second, count in self.served.items() if begin <= second < end)
        return served / requests if requests else 1.0


class Decisions(Protocol):
    """The interface that `Router` and `RandomRouter` share."""

    def start(self, now: int) -> list[Action]: ...

    def handle(self, now: int, event: Event) -> list[Action]: ...


class RandomRouter:
    """The simple policy: picks a random ready replica, retries where the class allows it, never refuses early."""

    def __init__(self, settings: Settings, seed: int) -> None:
        self.settings, self.random = settings, Random(seed)
        self.ready: list[int] = []
        self.states: dict[int, int] = {}
        self.open: dict[int, tuple[Request, list[int]]] = {}  # request, results of its attempts

    def start(self, now: int) -> list[Action]:
        return [Subscribe()]

    def handle(self, now: int, event: Event) -> list[Action]:
        if isinstance(event, ReplicaList):
            if event.kind in (ListKind.FULL, ListKind.CACHED):
                self.states.clear()
            self.states |= {entry.id: entry.state for entry in event.replicas}
            self.ready = [id for id, state in self.states.items() if state == State.READY]
        elif isinstance(event, Request):
            self.open[event.id] = (event, [])
            return self._dispatch(now, event.id)
        elif isinstance(event, ClientGone) or (isinstance(event, Outcome) and event.done):
            self.open.pop(event.request, None)
        elif isinstance(event, Outcome) and event.request in self.open:
            self.open[event.request][1].append(event.result)
            return self._dispatch(now, event.request)
        return []

    def _dispatch(self, now: int, id: int) -> list[Action]:
        request, results = self.open[id]
        klass = self.settings.classes[request.class_index]
        ran = any(result not in NEVER_RAN for result in results)
        allowed = klass.effect == Effect.PURE or not ran
        if not self.ready or request.deadline <= now or len(results) >= self.settings.max_attempts or not allowed:
            del self.open[id]
            return [Refuse(id)]
        return [Send(id, self.random.choice(self.ready), 0)]


@dataclass
class Server:
    """A model server: it processes prompts one after another, and generates tokens for all running requests in a
    batch."""

    id: int
    started: int = 0
    speed: float = 1.0
    fault: str = ""
    prefill_done_at: int = 0  # when all prompts accepted so far are processed
    running: int = 0
    sends: list[tuple[int, int]] = field(default_factory=list)  # time and router of each attempt
    cached: OrderedDict[int, None] = field(default_factory=OrderedDict)

    def uncached_tokens(self, request: Request) -> float:
        """The prompt tokens to process for a request; its session and prefix are cached from now on."""
        cached = 0.0
        if request.session in self.cached:
            cached = 0.9 * request.prompt_tokens
        elif request.prefix and ~request.prefix in self.cached:
            cached = min(request.prefix_tokens, request.prompt_tokens)
        for key in (request.session, ~request.prefix):
            if key not in (0, ~0):
                self.cached[key] = None
                self.cached.move_to_end(key)
        while len(self.cached) > CACHED_PREFIXES:
            self.cached.popitem(last=False)
        return request.prompt_tokens - cached


@dataclass
class Client:
    """One request as its user sees it: by default up to three tries, each at a random router."""

    klass: int
    asked_at: int
    give_up_at: int
    prompt: float
    answer: int
    session: int
    prefix: int
    prefix_tokens: float
    tenant: int
    tries: int = 0
    served: bool = False


@dataclass
class Attempt:
    """One attempt of a request, sent by a router to a server."""

    request: Request
    number: int
    server: Server
    sent: int
    ended: bool = False
    started: bool = False


class OpenRequest:
    """A request that a router has accepted."""

    def __init__(self, client: Client, request: Request) -> None:
        self.client, self.request = client, request
        self.attempts: list[Attempt] = []
        self.ended = False


class World:
    """Routers, servers, clients and discovery, driven by one queue of events. Times are in microseconds."""

    def __init__(
        self,
        classes: list[tuple[dict[str, Any], Traffic]],
        faults: tuple[Fault, ...] = (),
        make_router: Callable[[Settings, int], Decisions] = Router,
        routers: int = 200,
        servers: int = 30,
        rate: float = 90.0,
        seconds: float = 30.0,
        seed: int = 1,
        cold: float = 0.0,  # fraction of the servers that have just started
        machine: Machine = MACHINE,
        zones: int = 1,
        tries: int = 3,  # per client
        **changes: Any,
    ) -> None:
        self.traffic = [traffic for _, traffic in classes]
        self.class_settings = [row for row, _ in classes]
        self.faults, self.make_router, self.seed, self.machine = faults, make_router, seed, machine
        self.zones, self.tries = zones, tries
        self.isolated_zones: set[int] = set()  # zones that cannot reach any other
        self.rate, self.duration = rate, int(seconds * S)
        self.random = Random(seed)
        base: dict[str, Any] = {
            "gateways": routers, "tick": 4 * MS, "quota_rate": 1.2 * rate, "max_attempts": 3, "cold_time": 20 * S,
            "cold_share": 0.12, "tip_multiple": 3.0, "tip_time": 2 * S, "subscribe": True, "may_cancel": True,
            "connect_timeout": CONNECT_TIMEOUT, "tenant_shares": [0.25] * 4,
        }  # fmt: skip
        base |= changes | {"zones": zones}
        self.settings = [
            settings(*self.class_settings, **base | {"gateway": n, "zone": n % zones}) for n in range(routers)
        ]
        self.ids = itertools.count(1)
        self.now = 100 * S
        self.begin = self.now
        self.event_queue: list[tuple[int, int, Callable[[], None]]] = []
        self.sequence = itertools.count()
        self.servers: dict[int, Server] = {}
        for number in range(servers):
            started = self.now if number < cold * servers else 0
            self.servers[number] = Server(number, started, self.random.uniform(0.85, 1.6))
        self.listed = dict(self.servers)
        self.list_up = True
        self.load_factor = 1.0
        self.flood_factor = 0.0
        self.open_requests: list[dict[int, OpenRequest]] = [{} for _ in range(routers)]
        self.routers: list[Decisions] = []
        self.incarnations = [0] * routers
        self.tallies = [Tally() for _ in classes]
        self.trace: Callable[[int, int, Event, list[Action]], None] | None = None

    # -- time ------------------------------------------------------------------------------------------------

    def schedule(self, time: int, callback: Callable[[], None]) -> None:
        """Calls `callback` at this moment of virtual time."""
        heapq.heappush(self.event_queue, (time, next(self.sequence), callback))

    def run(self) -> list[Tally]:
        for number in range(len(self.open_requests)):
            self.routers.append(self.make_router(self.settings[number], self.seed * 1000 + number))
            self._start_router(number)
        for fault in self.faults:
            self.schedule(self.begin + int(fault.at * S), partial(self._apply_fault, fault))
        self._next_arrival()
        limit = self.begin + self.duration + 120 * S
        while self.event_queue and self.event_queue[0][0] < limit:
            self.now, _, callback = heapq.heappop(self.event_queue)
            callback()
        return self.tallies

    # -- routers ---------------------------------------------------------------------------------------------

    def _start_router(self, number: int) -> None:
        self._carry_out(number, self.routers[number].start(self.now))
        entries = [self._entry(server) for server in self.listed.values()]
        self.deliver(number, ReplicaList(ListKind.CACHED, entries))

    def _entry(self, server: Server, state: int = State.READY) -> Replica:
        return Replica(server.id, server.id % self.zones, server.id % 4, state, started=server.started)

    def deliver(self, number: int, event: Event) -> None:
        actions = self.routers[number].handle(self.now, event)
        if self.trace is not None:
            self.trace(self.now - self.begin, number, event, actions)
        self._carry_out(number, actions)

    def _carry_out(self, number: int, actions: list[Action]) -> None:
        incarnation = self.incarnations[number]
        for action in actions:
            if isinstance(action, Send):
                self._send(number, action)
            elif isinstance(action, SetTimer):
                self.schedule(self.now + action.delay, partial(self._on_timer, number, incarnation, action.tag))
            elif isinstance(action, Cancel):
                open_request = self.open_requests[number].get(action.request)
                if open_request is not None and not open_request.attempts[action.attempt].started:
                    self._outcome(
                        number, incarnation, open_request, open_request.attempts[action.attempt], Result.CANCELLED
                    )
            elif isinstance(action, Refuse | Fail):
                open_request = self.open_requests[number].get(action.request)
                if open_request is not None and not open_request.ended:
                    open_request.ended = True
                    self.tallies[open_request.client.klass].reasons[action.why or type(action).__name__] += 1
                    self._retry_later(open_request.client)
            elif isinstance(action, Subscribe):
                self.schedule(self.now + 30 * MS, partial(self._answer_list, number, incarnation))

    def _on_timer(self, number: int, incarnation: int, tag: int) -> None:
        if self.incarnations[number] == incarnation:
            self.deliver(number, Timer(tag))

    def _answer_list(self, number: int, incarnation: int) -> None:
        if self.incarnations[number] == incarnation:
            entries = [self._entry(server) for server in self.listed.values()] if self.list_up else []
            self.deliver(number, ReplicaList(ListKind.FULL if self.list_up else ListKind.FAILED, entries))

    def _restart_router(self, number: int) -> None:
        """Kills the process: its open requests are lost, and its successor starts without any state."""
        self.incarnations[number] += 1
        lost_requests, self.open_requests[number] = self.open_requests[number], {}
        for open_request in lost_requests.values():
            if not open_request.ended:
                open_request.ended = True
                self._retry_later(open_request.client)
        seed = self.seed * 1000 + number + 7919 * self.incarnations[number]
        self.routers[number] = self.make_router(self.settings[number], seed)
        self.schedule(self.now + S, partial(self._start_router, number))

    # -- clients ---------------------------------------------------------------------------------------------

    def _next_arrival(self) -> None:
        random = self.random
        arrival = self.now + int(random.expovariate(self.rate * 4.0) * S)
        if arrival > self.begin + self.duration:
            return
        self.schedule(arrival, self._next_arrival)
        if random.random() < self.load_factor / 4.0:
            self._start_session(random.choices(range(len(self.traffic)), [one.share for one in self.traffic])[0])
        if random.random() < self.flood_factor / 4.0:
            self._start_session(0, tenant=0)

    def _start_session(self, klass: int, tenant: int = -1) -> None:
        random, traffic, row = self.random, self.traffic[klass], self.class_settings[klass]
        prefix = random.randrange(traffic.prefixes) + 1000 * (klass + 1) if traffic.prefixes else 0
        client = Client(
            klass=klass,
            asked_at=self.now,
            give_up_at=self.now + row.get("give_up", 5 * S),
            prompt=max(20.0, random.lognormvariate(0, 0.5) * traffic.prompt),
            answer=max(2, int(random.lognormvariate(0, 0.5) * traffic.answer)),
            session=random.getrandbits(60) | 1 if traffic.sessions else 0,
            prefix=prefix,
            prefix_tokens=traffic.prefix_tokens if prefix else 0.0,
            tenant=random.randrange(4) if tenant < 0 else tenant,
        )
        self._start_turn(client, traffic)

    def _start_turn(self, client: Client, traffic: Traffic) -> None:
        self.tallies[client.klass].requests[self._second(client)] += 1
        self._try(client)
        if traffic.sessions and self.random.random() > 1 / traffic.turns:
            next_at = self.now + int(self.random.expovariate(1 / 4.0) * S) + client.answer * 40 * MS
            if next_at < self.begin + self.duration:
                self.schedule(next_at, partial(self._next_turn, client, traffic))

    def _next_turn(self, previous: Client, traffic: Traffic) -> None:
        timeout = previous.give_up_at - previous.asked_at
        prompt = previous.prompt + previous.answer + 100
        self._start_turn(
            Client(previous.klass, self.now, self.now + timeout, prompt, previous.answer, previous.session,
                   previous.prefix, previous.prefix_tokens, previous.tenant), traffic)  # fmt: skip

    def _second(self, client: Client) -> int:
        return (client.asked_at - self.begin) // S

    def _try(self, client: Client) -> None:
        time_left = client.give_up_at - self.now
        if time_left <= 20 * MS or client.tries >= self.tries:
            return
        client.tries += 1
        total_wait = client.give_up_at - client.asked_at
        timeout = min(time_left, int(total_wait * self.random.uniform(0.40, 0.55)))
        number = self.random.randrange(len(self.open_requests))
        id = next(self.ids)
        request = Request(id, client.klass, self.now + timeout, client.prompt, client.session, client.prefix,
                          client.prefix_tokens, client.tenant)  # fmt: skip
        open_request = self.open_requests[number][id] = OpenRequest(client, request)
        self.schedule(
            request.deadline, partial(self._client_gives_up, number, self.incarnations[number], open_request)
        )
        self.deliver(number, request)

    def _retry_later(self, client: Client) -> None:
        if not client.served:
            self.schedule(self.now + CLIENT_RETRY_WAIT, partial(self._try, client))

    def _client_gives_up(self, number: int, incarnation: int, open_request: OpenRequest) -> None:
        if (
            open_request.ended
            or self.incarnations[number] != incarnation
            or any(one.started for one in open_request.attempts)
        ):
            return
        open_request.ended = True
        in_flight = [one for one in open_request.attempts if not one.ended]
        for attempt in in_flight:
            self._outcome(number, incarnation, open_request, attempt, Result.TIMEOUT)
        if not in_flight:
            self.deliver(number, ClientGone(open_request.request.id))
        self.tallies[open_request.client.klass].reasons["given up"] += 1
        self._retry_later(open_request.client)

    # -- attempts --------------------------------------------------------------------------------------------

    def _send(self, number: int, action: Send) -> None:
        open_request, incarnation = self.open_requests[number].get(action.request), self.incarnations[number]
        if open_request is None:
            return
        server = self.servers.get(action.replica)
        unknown = Server(action.replica, fault="refused")
        attempt = Attempt(open_request.request, len(open_request.attempts), server or unknown, self.now)
        open_request.attempts.append(attempt)
        deadline = min(open_request.request.deadline, self.now + action.timeout if action.timeout else 1 << 62)
        end_attempt = partial(self._end_unstarted, number, incarnation, open_request, attempt)
        self.schedule(deadline, partial(end_attempt, Result.TIMEOUT))
        fault, server_zone, router_zone = (
            attempt.server.fault,
            server.id % self.zones if server else 0,
            number % self.zones,
        )
        unreachable = server_zone != router_zone and (
            server_zone in self.isolated_zones or router_zone in self.isolated_zones
        )
        if unreachable:
            self.schedule(self.now + CONNECT_TIMEOUT, partial(end_attempt, Result.CONNECT_FAILED))
        elif fault == "refused":
            self.schedule(self.now + MS, partial(end_attempt, Result.CONNECT_FAILED))
        elif fault == "slow_connects" and self.random.random() < 0.7:
            self.schedule(self.now + CONNECT_TIMEOUT, partial(end_attempt, Result.CONNECT_FAILED))
        else:
            self._arrive_at_server(number, attempt, end_attempt)

    def _arrive_at_server(self, number: int, attempt: Attempt, end_attempt: Callable[[Result], None]) -> None:
        server, request, now = attempt.server, attempt.request, self.now
        server.sends.append((now, number))
        if server.fault == "hang":
            return
        if server.fault == "errors" and self.random.random() < 0.8:
            self.schedule(now + 15 * MS, partial(end_attempt, Result.ERROR))
            return
        if server.fault == "resets" and self.random.random() < 0.7:
            self.schedule(now + 25 * MS, partial(end_attempt, Result.RESET))
            return
        if server.running >= self.machine.slots + self.machine.queue:
            self.schedule(now + 3 * MS, partial(end_attempt, Result.FULL))
            return
        speed = server.speed * self._warm_fraction(server)
        prefill = int(server.uncached_tokens(request) / (self.machine.prefill_tokens_per_second * speed) * S)
        server.prefill_done_at = max(now, server.prefill_done_at) + prefill
        server.running += 1
        wait = max(0, server.running - self.machine.slots) * 60 * MS
        transit = 0 if server.id % self.zones == number % self.zones else CROSS_ZONE_LATENCY
        first = server.prefill_done_at + wait + transit + self._step_time(server)
        self.schedule(first, partial(self._on_first_token, number, self.incarnations[number], attempt))

    def _warm_fraction(self, server: Server) -> float:
        age = self.now - server.started
        return 1.0 if not server.started or age > 20 * S else 0.12 + 0.88 * age / (20 * S)

    def _step_time(self, server: Server) -> int:
        machine, speed = self.machine, server.speed * self._warm_fraction(server)
        return int((machine.step + machine.per_sequence * min(server.running, machine.slots)) / speed)

    def _on_first_token(self, number: int, incarnation: int, attempt: Attempt) -> None:
        server = attempt.server
        if server.fault == "hang":  # accepted requests wait until the fault ends
            self.schedule(self.now + 500 * MS, partial(self._on_first_token, number, incarnation, attempt))
            return
        open_request = (
            self.open_requests[number].get(attempt.request.id) if self.incarnations[number] == incarnation else None
        )
        tokens = open_request.client.answer if open_request is not None else 60
        self.schedule(
            self.now + tokens * self._step_time(server), partial(self._stream_end, number, incarnation, attempt)
        )
        if open_request is None or attempt.ended or open_request.ended:
            return
        attempt.started = True
        took = self.now - attempt.sent
        if self.traffic[open_request.client.klass].streamed:
            self.deliver(number, FirstToken(attempt.request.id, attempt.number, server.id, took))

    def _stream_end(self, number: int, incarnation: int, attempt: Attempt) -> None:
        server = attempt.server
        server.running -= 1
        open_request = (
            self.open_requests[number].get(attempt.request.id) if self.incarnations[number] == incarnation else None
        )
        if open_request is None or attempt.ended:
            return
        breaks = server.id not in self.servers or (server.fault == "broken" and self.random.random() < 0.6)
        open_request.ended = True
        if breaks:
            self._outcome(number, incarnation, open_request, attempt, Result.RESET)
            self._retry_later(open_request.client)
            return
        self._served(open_request.client, attempt)
        self._outcome(number, incarnation, open_request, attempt, Result.OK)

    def _served(self, client: Client, attempt: Attempt) -> None:
        if not client.served:
            client.served = True
            tally = self.tallies[client.klass]
            tally.served[self._second(client)] += 1

    def _end_unstarted(
        self, number: int, incarnation: int, open_request: OpenRequest, attempt: Attempt, result: Result
    ) -> None:
        if self.incarnations[number] == incarnation and not attempt.ended and not attempt.started:
            self._outcome(number, incarnation, open_request, attempt, result)

    def _outcome(
        self, number: int, incarnation: int, open_request: OpenRequest, attempt: Attempt, result: Result
    ) -> None:
        if attempt.ended:
            return
        attempt.ended = True
        took = self.now - attempt.sent
        done = open_request.ended or result == Result.OK
        cached = int(0.8 * attempt.request.prompt_tokens) if attempt.request.session in attempt.server.cached else 0
        event = Outcome(attempt.request.id, attempt.number, attempt.server.id, result, done, took, cached)
        self.deliver(number, event)
        if done:
            self.open_requests[number].pop(attempt.request.id, None)

    # -- faults ----------------------------------------------------------------------------------------------

    def _apply_fault(self, fault: Fault) -> None:
        ends = self.now + int(fault.lasts * S)
        count = round(fault.share * len(self.servers))
        if fault.kind in ("hang", "errors", "resets", "broken", "refused", "slow_connects"):
            for server in self.random.sample(list(self.servers.values()), count):
                server.fault = fault.kind
                self.schedule(ends, partial(setattr, server, "fault", ""))
        elif fault.kind == "slow":
            for server in self.random.sample(list(self.servers.values()), count):
                server.speed /= fault.factor
                self.schedule(ends, partial(setattr, server, "speed", server.speed * fault.factor))
        elif fault.kind == "cut":
            self.isolated_zones.add(0)
            self.schedule(ends, partial(self.isolated_zones.discard, 0))
        elif fault.kind == "zone_hang":
            for server in self.servers.values():
                if server.id % self.zones == 0:
                    server.fault = "hang"
                    self.schedule(ends, partial(setattr, server, "fault", ""))
        elif fault.kind == "burst":
            self.load_factor = fault.factor
            self.schedule(ends, partial(setattr, self, "load_factor", 1.0))
        elif fault.kind == "flood":
            self.flood_factor = fault.factor
            self.schedule(ends, partial(setattr, self, "flood_factor", 0.0))
        elif fault.kind == "list_down":
            self.list_up = False
            for number in range(len(self.routers)):
                self.deliver(number, ReplicaList(ListKind.FAILED))
            self.schedule(ends, partial(setattr, self, "list_up", True))
        elif fault.kind == "restart":
            selected = self.random.sample(range(len(self.routers)), round(fault.share * len(self.routers)))
            for position, number in enumerate(selected):
                self.schedule(
                    self.now + position * int(fault.lasts * S) // len(selected), partial(self._restart_router, number)
                )
        elif fault.kind == "replace":
            selected = self.random.sample(sorted(self.servers), count)
            for position, number in enumerate(selected):
                self.schedule(
                    self.now + position * int(fault.lasts * S) // len(selected), partial(self._replace_server, number)
                )
        else:
            raise ValueError(f"no such fault: {fault.kind}")

    def _replace_server(self, number: int) -> None:
        old = self.servers.pop(number)
        fresh = Server(number + 1000, self.now, old.speed)
        self.servers[fresh.id] = fresh
        del self.listed[number]
        self.listed[fresh.id] = fresh
        change = [self._entry(old, State.GONE), self._entry(fresh)]
        for router in range(len(self.routers)):
            lag = int(self.random.uniform(0.5, 1.5) * LIST_LAG)
            self.schedule(self.now + lag, partial(self._deliver_change, router, self.incarnations[router], change))

    def _deliver_change(self, number: int, incarnation: int, change: list[Replica]) -> None:
        if self.incarnations[number] == incarnation and self.list_up:
            self.deliver(number, ReplicaList(ListKind.DELTA, change))


def compare_policies(
    classes: list[tuple[dict[str, Any], Traffic]], faults: tuple[Fault, ...] = (), **world: Any
) -> list[tuple[Tally, Tally]]:
    """For each class its tallies in the same world: with `Router`, and with the simple policy."""
    router = World(classes, faults, **world).run()
    simple = World(classes, faults, make_router=RandomRouter, **world).run()
    return list(zip(router, simple, strict=True))
