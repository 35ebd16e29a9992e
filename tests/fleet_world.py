"""A fleet by events: many routers' decisions before simple model servers, with faults, in virtual time.

It compares the share of each class that the routers serve with what a random pick of a ready replica serves in the
same world. It plays no sockets: `pearstall.lab.world` does that, for fewer routers.
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
KEPT_BEGINNINGS = 600  # sessions and prefixes that a server keeps
CROSS_LATENCY = 40 * MS
CLIENT_RETRY_WAIT = 100 * MS


@dataclass(frozen=True)
class Traffic:
    """One class's requests. `share` of the load; tokens on average."""

    share: float = 1.0
    prompt: int = 1500
    answer: int = 110
    prefixes: int = 24  # 0: none shared
    prefix_tokens: int = 800
    sessions: bool = True
    turns: float = 3.0
    streamed: bool = True  # else no first token is told, only the whole answer


@dataclass(frozen=True)
class Machine:
    """What model servers of a world can do. Times in microseconds."""

    slots: int = 60
    queue: int = 40
    step: int = 14 * MS
    per_sequence: int = 300
    read_per_second: float = 12_000.0


MACHINE = Machine()


@dataclass(frozen=True)
class Fault:
    """`kind` from `at` on for `lasts` seconds, at `share` of the servers, or routers.

    Of servers: hang, errors, resets (before the first token), broken (in mid-stream), refused and slow_connects, slow
    (`factor` times), replace; of zone 0: cut (from the others), zone_hang; restart (of routers); list_down;
    of the load: burst (`factor` times), flood (of tenant 0).
    """

    kind: str
    at: float = 8.0
    lasts: float = 8.0
    share: float = 0.16
    factor: float = 3.0


@dataclass
class Tally:
    """What became of one class."""

    asked: Counter[int] = field(default_factory=Counter)  # by the second in which the client asked first
    served: Counter[int] = field(default_factory=Counter)
    reasons: Counter[str] = field(default_factory=Counter)

    def share(self, begin: float = 0.0, end: float = 1e9) -> float:
        """Of what was asked from `begin` to `end`, the part that was served."""
        asked = sum(count for second, count in self.asked.items() if begin <= second < end)
        served = sum(count for second, count in self.served.items() if begin <= second < end)
        return served / asked if asked else 1.0


class Decisions(Protocol):
    def start(self, now: int) -> list[Action]: ...

    def handle(self, now: int, event: Event) -> list[Action]: ...


class RandomRouter:
    """The simple policy: a random ready replica, retries as the class allows them, no early refusal."""

    def __init__(self, settings: Settings, seed: int) -> None:
        self.settings, self.random = settings, Random(seed)
        self.ready: list[int] = []
        self.states: dict[int, int] = {}
        self.open: dict[int, tuple[Request, list[int]]] = {}  # request, and what its attempts may have run

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
            return self._place(now, event.id)
        elif isinstance(event, ClientGone) or (isinstance(event, Outcome) and event.done):
            self.open.pop(event.request, None)
        elif isinstance(event, Outcome) and event.request in self.open:
            self.open[event.request][1].append(event.result)
            return self._place(now, event.request)
        return []

    def _place(self, now: int, id: int) -> list[Action]:
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
    """A model server: prompts are read one after another, tokens made for all running requests together."""

    id: int
    started: int = 0
    speed: float = 1.0
    fault: str = ""
    free_at: int = 0  # when all prompts taken so far are read
    running: int = 0
    sends: list[tuple[int, int]] = field(default_factory=list)  # when, by which router
    kept: OrderedDict[int, None] = field(default_factory=OrderedDict)

    def unread(self, request: Request) -> float:
        kept = 0.0
        if request.session in self.kept:
            kept = 0.9 * request.prompt_tokens
        elif request.prefix and ~request.prefix in self.kept:
            kept = min(request.prefix_tokens, request.prompt_tokens)
        for key in (request.session, ~request.prefix):
            if key not in (0, ~0):
                self.kept[key] = None
                self.kept.move_to_end(key)
        while len(self.kept) > KEPT_BEGINNINGS:
            self.kept.popitem(last=False)
        return request.prompt_tokens - kept


@dataclass
class Client:
    """One request as its user sees it: up to three tries."""

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
    request: Request
    number: int
    server: Server
    sent: int
    over: bool = False
    started: bool = False


class Booked:
    """A request at a router."""

    def __init__(self, client: Client, request: Request) -> None:
        self.client, self.request = client, request
        self.attempts: list[Attempt] = []
        self.over = False


class World:
    def __init__(
        self,
        classes: list[tuple[dict[str, Any], Traffic]],
        faults: tuple[Fault, ...] = (),
        make: Callable[[Settings, int], Decisions] = Router,
        routers: int = 200,
        servers: int = 30,
        rate: float = 90.0,
        seconds: float = 30.0,
        seed: int = 1,
        cold: float = 0.0,  # this share of the servers has just started
        machine: Machine = MACHINE,
        zones: int = 1,
        tries: int = 3,  # of a client
        **changes: Any,
    ) -> None:
        self.traffic = [traffic for _, traffic in classes]
        self.rows = [row for row, _ in classes]
        self.faults, self.make, self.seed, self.machine = faults, make, seed, machine
        self.zones, self.tries = zones, tries
        self.cut: set[int] = set()  # zones that reach no other
        self.rate, self.end = rate, int(seconds * S)
        self.random = Random(seed)
        base: dict[str, Any] = {
            "gateways": routers, "tick": 4 * MS, "quota_rate": 1.2 * rate, "max_attempts": 3, "cold_time": 20 * S,
            "cold_share": 0.12, "tip_multiple": 3.0, "tip_time": 2 * S, "subscribe": True, "may_cancel": True,
            "connect_timeout": CONNECT_TIMEOUT, "tenant_shares": [0.25] * 4,
        }  # fmt: skip
        base |= changes | {"zones": zones}
        self.settings = [settings(*self.rows, **base | {"gateway": n, "zone": n % zones}) for n in range(routers)]
        self.ids = itertools.count(1)
        self.now = 100 * S
        self.begin = self.now
        self.due: list[tuple[int, int, Callable[[], None]]] = []
        self.order = itertools.count()
        self.servers: dict[int, Server] = {}
        for number in range(servers):
            started = self.now if number < cold * servers else 0
            self.servers[number] = Server(number, started, self.random.uniform(0.85, 1.6))
        self.listed = dict(self.servers)
        self.list_up = True
        self.load_factor = 1.0
        self.flood = 0.0
        self.books: list[dict[int, Booked]] = [{} for _ in range(routers)]
        self.routers: list[Decisions] = []
        self.starts = [0] * routers
        self.tallies = [Tally() for _ in classes]
        self.trace: Callable[[int, int, Event, list[Action]], None] | None = None

    # -- time ------------------------------------------------------------------------------------------------

    def at(self, when: int, what: Callable[[], None]) -> None:
        heapq.heappush(self.due, (when, next(self.order), what))

    def play(self) -> list[Tally]:
        for number in range(len(self.books)):
            self.routers.append(self.make(self.settings[number], self.seed * 1000 + number))
            self._start(number)
        for fault in self.faults:
            self.at(self.begin + int(fault.at * S), partial(self._fault, fault))
        self._arrive()
        limit = self.begin + self.end + 120 * S
        while self.due and self.due[0][0] < limit:
            self.now, _, what = heapq.heappop(self.due)
            what()
        return self.tallies

    # -- routers ---------------------------------------------------------------------------------------------

    def _start(self, number: int) -> None:
        self._carry_out(number, self.routers[number].start(self.now))
        known = [self._entry(server) for server in self.listed.values()]
        self.tell(number, ReplicaList(ListKind.CACHED, known))

    def _entry(self, server: Server, state: int = State.READY) -> Replica:
        return Replica(server.id, server.id % self.zones, server.id % 4, state, started=server.started)

    def tell(self, number: int, event: Event) -> None:
        actions = self.routers[number].handle(self.now, event)
        if self.trace is not None:
            self.trace(self.now - self.begin, number, event, actions)
        self._carry_out(number, actions)

    def _carry_out(self, number: int, actions: list[Action]) -> None:
        life = self.starts[number]
        for action in actions:
            if isinstance(action, Send):
                self._send(number, action)
            elif isinstance(action, SetTimer):
                self.at(self.now + action.delay, partial(self._timer, number, life, action.tag))
            elif isinstance(action, Cancel):
                booked = self.books[number].get(action.request)
                if booked is not None and not booked.attempts[action.attempt].started:
                    self._outcome(number, life, booked, booked.attempts[action.attempt], Result.CANCELLED)
            elif isinstance(action, Refuse | Fail):
                booked = self.books[number].get(action.request)
                if booked is not None and not booked.over:
                    booked.over = True
                    self.tallies[booked.client.klass].reasons[action.why or type(action).__name__] += 1
                    self._again(booked.client)
            elif isinstance(action, Subscribe):
                self.at(self.now + 30 * MS, partial(self._answer_list, number, life))

    def _timer(self, number: int, life: int, tag: int) -> None:
        if self.starts[number] == life:
            self.tell(number, Timer(tag))

    def _answer_list(self, number: int, life: int) -> None:
        if self.starts[number] == life:
            entries = [self._entry(server) for server in self.listed.values()] if self.list_up else []
            self.tell(number, ReplicaList(ListKind.FULL if self.list_up else ListKind.FAILED, entries))

    def _restart(self, number: int) -> None:
        """The process is killed: its clients' requests are lost, and it knows nothing."""
        self.starts[number] += 1
        booked, self.books[number] = self.books[number], {}
        for one in booked.values():
            if not one.over:
                one.over = True
                self._again(one.client)
        seed = self.seed * 1000 + number + 7919 * self.starts[number]
        self.routers[number] = self.make(self.settings[number], seed)
        self.at(self.now + S, partial(self._start, number))

    # -- clients ---------------------------------------------------------------------------------------------

    def _arrive(self) -> None:
        random = self.random
        at = self.now + int(random.expovariate(self.rate * 4.0) * S)
        if at > self.begin + self.end:
            return
        self.at(at, self._arrive)
        if random.random() < self.load_factor / 4.0:
            self._ask(random.choices(range(len(self.traffic)), [one.share for one in self.traffic])[0])
        if random.random() < self.flood / 4.0:
            self._ask(0, tenant=0)

    def _ask(self, klass: int, tenant: int = -1) -> None:
        random, traffic, row = self.random, self.traffic[klass], self.rows[klass]
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
        self._turn(client, traffic)

    def _turn(self, client: Client, traffic: Traffic) -> None:
        self.tallies[client.klass].asked[self._second(client)] += 1
        self._try(client)
        if traffic.sessions and self.random.random() > 1 / traffic.turns:
            later = self.now + int(self.random.expovariate(1 / 4.0) * S) + client.answer * 40 * MS
            if later < self.begin + self.end:
                self.at(later, partial(self._next_turn, client, traffic))

    def _next_turn(self, last: Client, traffic: Traffic) -> None:
        patience = last.give_up_at - last.asked_at
        prompt = last.prompt + last.answer + 100
        self._turn(
            Client(last.klass, self.now, self.now + patience, prompt, last.answer, last.session, last.prefix,
                   last.prefix_tokens, last.tenant), traffic)  # fmt: skip

    def _second(self, client: Client) -> int:
        return (client.asked_at - self.begin) // S

    def _try(self, client: Client) -> None:
        left = client.give_up_at - self.now
        if left <= 20 * MS or client.tries >= self.tries:
            return
        client.tries += 1
        whole = client.give_up_at - client.asked_at
        patience = min(left, int(whole * self.random.uniform(0.40, 0.55)))
        number = self.random.randrange(len(self.books))
        id = next(self.ids)
        request = Request(id, client.klass, self.now + patience, client.prompt, client.session, client.prefix,
                          client.prefix_tokens, client.tenant)  # fmt: skip
        booked = self.books[number][id] = Booked(client, request)
        self.at(request.deadline, partial(self._give_up, number, self.starts[number], booked))
        self.tell(number, request)

    def _again(self, client: Client) -> None:
        if not client.served:
            self.at(self.now + CLIENT_RETRY_WAIT, partial(self._try, client))

    def _give_up(self, number: int, life: int, booked: Booked) -> None:
        if booked.over or self.starts[number] != life or any(one.started for one in booked.attempts):
            return
        booked.over = True
        out = [one for one in booked.attempts if not one.over]
        for attempt in out:
            self._outcome(number, life, booked, attempt, Result.TIMEOUT)
        if not out:
            self.tell(number, ClientGone(booked.request.id))
        self.tallies[booked.client.klass].reasons["given up"] += 1
        self._again(booked.client)

    # -- attempts --------------------------------------------------------------------------------------------

    def _send(self, number: int, action: Send) -> None:
        booked, life = self.books[number].get(action.request), self.starts[number]
        if booked is None:
            return
        server = self.servers.get(action.replica)
        stale = Server(action.replica, fault="refused")
        attempt = Attempt(booked.request, len(booked.attempts), server or stale, self.now)
        booked.attempts.append(attempt)
        until = min(booked.request.deadline, self.now + action.timeout if action.timeout else 1 << 62)
        end = partial(self._end, number, life, booked, attempt)
        self.at(until, partial(end, Result.TIMEOUT))
        fault, there, here = attempt.server.fault, server.id % self.zones if server else 0, number % self.zones
        apart = there != here and (there in self.cut or here in self.cut)
        if apart:
            self.at(self.now + CONNECT_TIMEOUT, partial(end, Result.CONNECT_FAILED))
        elif fault == "refused":
            self.at(self.now + MS, partial(end, Result.CONNECT_FAILED))
        elif fault == "slow_connects" and self.random.random() < 0.7:
            self.at(self.now + CONNECT_TIMEOUT, partial(end, Result.CONNECT_FAILED))
        else:
            self._arrive_at(number, attempt, end)

    def _arrive_at(self, number: int, attempt: Attempt, end: Callable[[Result], None]) -> None:
        server, request, now = attempt.server, attempt.request, self.now
        server.sends.append((now, number))
        if server.fault == "hang":
            return
        if server.fault == "errors" and self.random.random() < 0.8:
            self.at(now + 15 * MS, partial(end, Result.ERROR))
            return
        if server.fault == "resets" and self.random.random() < 0.7:
            self.at(now + 25 * MS, partial(end, Result.RESET))
            return
        if server.running >= self.machine.slots + self.machine.queue:
            self.at(now + 3 * MS, partial(end, Result.FULL))
            return
        speed = server.speed * self._warm(server)
        reading = int(server.unread(request) / (self.machine.read_per_second * speed) * S)
        server.free_at = max(now, server.free_at) + reading
        server.running += 1
        wait = max(0, server.running - self.machine.slots) * 60 * MS
        way = 0 if server.id % self.zones == number % self.zones else CROSS_LATENCY
        first = server.free_at + wait + way + self._step(server)
        self.at(first, partial(self._first, number, self.starts[number], attempt))

    def _warm(self, server: Server) -> float:
        age = self.now - server.started
        return 1.0 if not server.started or age > 20 * S else 0.12 + 0.88 * age / (20 * S)

    def _step(self, server: Server) -> int:
        machine, speed = self.machine, server.speed * self._warm(server)
        return int((machine.step + machine.per_sequence * min(server.running, machine.slots)) / speed)

    def _first(self, number: int, life: int, attempt: Attempt) -> None:
        server = attempt.server
        if server.fault == "hang":  # what it has taken waits until it is well
            self.at(self.now + 500 * MS, partial(self._first, number, life, attempt))
            return
        booked = self.books[number].get(attempt.request.id) if self.starts[number] == life else None
        tokens = booked.client.answer if booked is not None else 60
        self.at(self.now + tokens * self._step(server), partial(self._stream_end, number, life, attempt))
        if booked is None or attempt.over or booked.over:
            return
        attempt.started = True
        took = self.now - attempt.sent
        if self.traffic[booked.client.klass].streamed:
            self.tell(number, FirstToken(attempt.request.id, attempt.number, server.id, took))

    def _stream_end(self, number: int, life: int, attempt: Attempt) -> None:
        server = attempt.server
        server.running -= 1
        booked = self.books[number].get(attempt.request.id) if self.starts[number] == life else None
        if booked is None or attempt.over:
            return
        broken = server.id not in self.servers or (server.fault == "broken" and self.random.random() < 0.6)
        booked.over = True
        if broken:
            self._outcome(number, life, booked, attempt, Result.RESET)
            self._again(booked.client)
            return
        self._served(booked.client, attempt)
        self._outcome(number, life, booked, attempt, Result.OK)

    def _served(self, client: Client, attempt: Attempt) -> None:
        if not client.served:
            client.served = True
            tally = self.tallies[client.klass]
            tally.served[self._second(client)] += 1

    def _end(self, number: int, life: int, booked: Booked, attempt: Attempt, result: Result) -> None:
        if self.starts[number] == life and not attempt.over and not attempt.started:
            self._outcome(number, life, booked, attempt, result)

    def _outcome(self, number: int, life: int, booked: Booked, attempt: Attempt, result: Result) -> None:
        if attempt.over:
            return
        attempt.over = True
        took = self.now - attempt.sent
        done = booked.over or result == Result.OK
        kept = int(0.8 * attempt.request.prompt_tokens) if attempt.request.session in attempt.server.kept else 0
        event = Outcome(attempt.request.id, attempt.number, attempt.server.id, result, done, took, kept)
        self.tell(number, event)
        if done:
            self.books[number].pop(attempt.request.id, None)

    # -- faults ----------------------------------------------------------------------------------------------

    def _fault(self, fault: Fault) -> None:
        ends = self.now + int(fault.lasts * S)
        count = round(fault.share * len(self.servers))
        if fault.kind in ("hang", "errors", "resets", "broken", "refused", "slow_connects"):
            for server in self.random.sample(list(self.servers.values()), count):
                server.fault = fault.kind
                self.at(ends, partial(setattr, server, "fault", ""))
        elif fault.kind == "slow":
            for server in self.random.sample(list(self.servers.values()), count):
                server.speed /= fault.factor
                self.at(ends, partial(setattr, server, "speed", server.speed * fault.factor))
        elif fault.kind == "cut":
            self.cut.add(0)
            self.at(ends, partial(self.cut.discard, 0))
        elif fault.kind == "zone_hang":
            for server in self.servers.values():
                if server.id % self.zones == 0:
                    server.fault = "hang"
                    self.at(ends, partial(setattr, server, "fault", ""))
        elif fault.kind == "burst":
            self.load_factor = fault.factor
            self.at(ends, partial(setattr, self, "load_factor", 1.0))
        elif fault.kind == "flood":
            self.flood = fault.factor
            self.at(ends, partial(setattr, self, "flood", 0.0))
        elif fault.kind == "list_down":
            self.list_up = False
            for number in range(len(self.routers)):
                self.tell(number, ReplicaList(ListKind.FAILED))
            self.at(ends, partial(setattr, self, "list_up", True))
        elif fault.kind == "restart":
            chosen = self.random.sample(range(len(self.routers)), round(fault.share * len(self.routers)))
            for place, number in enumerate(chosen):
                self.at(self.now + place * int(fault.lasts * S) // len(chosen), partial(self._restart, number))
        elif fault.kind == "replace":
            chosen = self.random.sample(sorted(self.servers), count)
            for place, number in enumerate(chosen):
                self.at(self.now + place * int(fault.lasts * S) // len(chosen), partial(self._replace, number))
        else:
            raise ValueError(f"no such fault: {fault.kind}")

    def _replace(self, number: int) -> None:
        old = self.servers.pop(number)
        fresh = Server(number + 1000, self.now, old.speed)
        self.servers[fresh.id] = fresh
        del self.listed[number]
        self.listed[fresh.id] = fresh
        news = [self._entry(old, State.GONE), self._entry(fresh)]
        for router in range(len(self.routers)):
            lag = int(self.random.uniform(0.5, 1.5) * LIST_LAG)
            self.at(self.now + lag, partial(self._news, router, self.starts[router], news))

    def _news(self, number: int, life: int, news: list[Replica]) -> None:
        if self.starts[number] == life and self.list_up:
            self.tell(number, ReplicaList(ListKind.DELTA, news))


def compare(
    classes: list[tuple[dict[str, Any], Traffic]], faults: tuple[Fault, ...] = (), **world: Any
) -> list[tuple[Tally, Tally]]:
    """Each class's tally by the routers and by the simple policy, in the same world."""
    ours = World(classes, faults, **world).play()
    simple = World(classes, faults, make=RandomRouter, **world).play()
    return list(zip(ours, simple, strict=True))
