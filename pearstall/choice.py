"""Every decision of a gateway. Its interface, the settings, events and actions, is pearstall/interface.py.

A gateway makes one `Router(settings, seed)`, calls `start(now)` once, then `handle(now, event)` for each
event, and carries out the returned actions in order. The router keeps no clock, does no I/O and shares
nothing; the same seed and events give the same actions. The rule is Envoy's outlier detection in unsplit mode
(streaks, success rate, growing capped ejections) with a pick of two by a learned time to first token;
docs/design.md says when each extension acts.
"""

from __future__ import annotations

from bisect import bisect_left
from collections.abc import Sequence
from random import Random
from typing import Any

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
    Log,
    Outcome,
    Refuse,
    Replica,
    ReplicaList,
    Request,
    RequestClass,
    Result,
    Scope,
    Send,
    SetTimer,
    Settings,
    State,
    Subscribe,
    Timer,
)

# -- tunables ----------------------------------------------------------------------------------------------
# Times are multiples of settings. Envoy's names where Envoy has one.

CONSECUTIVE_5XX = 3  # failures of any kind in a row that eject
CONSECUTIVE_GATEWAY_FAILURE = 3  # time-outs, failed connects, resets and broken streams in a row that eject
INTERVAL_AIMS = 1.5  # interval: this many of the longest aim
BASE_EJECTION_AIMS = 3.0  # base_ejection_time: likewise
MAX_EJECTION_TIMES = 6  # max_ejection_time / base_ejection_time
MAX_EJECTION_PERCENT = 40
SUCCESS_RATE_MINIMUM_HOSTS = 3
SUCCESS_RATE_REQUEST_VOLUME = 5
SUCCESS_RATE_STDEV_FACTOR = 1300  # thousandths of a standard deviation
SUCCESS_RATE_MINIMUM_FAILURES = 2  # one failure in a thin volume is no outlier
SUCCESS_RATE_CHANCE = 2.5  # nor are so many deviations above what the others' share gives by chance
VOLUME_INTERVALS = 5  # counts under the volume are carried on for this many intervals
SHARED_TIMEOUTS = 0.5  # above this share of time-outs over all replicas, time-outs single nobody out

FIT_PRIOR = 0.5  # how far a replica's weights may lie from the median's, as a part of them
FIT_DRIFT = 0.12  # and how far they may move between two samples
FIT_NOISE = 0.35  # scatter of a sample, as a part of the prediction
FADE_AIMS = 3.0  # a fit without a sample for so long fades to the median, and is gone after twice that
KIND_MINIMUM_HOSTS = 3  # so many replicas of a kind with samples have a median of their own
FAILING_STEP = 0.25  # weight of one outcome in a replica's recent share of failures
ZONE_STEP = 0.08  # the same for a zone
ZONE_BAR = 0.5  # which counts above this only: a jam alone fails less
ZONE_FADE = 0.85  # what an interval leaves of it
KEPT_ENTRIES = 512  # prefixes and sessions believed kept, a replica
HELD_KEYS = 4096  # prefixes and sessions whose holders are remembered
HOLDERS = 6  # holders remembered of one prefix
HOME_SPREAD = 4.0  # homes of a prefix: this many times its share of the requests, of all replicas
HOME_LEAST = 2  # and so many at least
HOME_MOST = 32  # of which so many are asked for a session's home, others for each session
HOME_USUAL = 4.0  # homes of a prefix while little is known of its share
HOME_PART = 1 / 8  # or this part of all replicas, where that is more: gateways that just started must agree
HOME_PRIOR = 100.0  # and for how many requests that stands
HOME_FADE = 0.95  # what an interval leaves of the requests counted for a prefix
DECODE_TOKENS = 1000.0  # the work of an answer, as prompt tokens to read

CROWDING = 1.0  # the weight of own streams in the pick, in shortest aims at a large mean number of them
CROWD_START = 60.0  # mean of all gateways' streams up to which a stream weighs the same
CROSSING = 7.0  # what the pick adds for another zone: times cross_zone_price, of the shortest aim
PACE = 3.5  # quick first tokens take about two steps; from this many token aims on, load is shed
SHED_GAIN = 1.5  # share shed, for each part of that by which they take longer
QUICK_STEP = 0.05  # how far one sample moves the running median of quick first tokens
QUICK_READING = 3.0  # a first token counts while what it reads takes so many median intercepts at most
QUICK_GAP = 4.0  # where samples are rare, one moves the median so many times as far at most
QUICK_MOST = 8.0  # and how high it goes, in the longest token aims; more than enough to shed all
LET_IN = 1.0  # of its own give-up time: after this a class of which nothing was sent on has one request let in
CLASS_PART = 0.5  # of an equal part of the streams here a class may have whatever the others hold; one at least
CLASS_FADE = 0.8  # what an interval leaves of the requests counted for a class
IN_TIME_STEP = 0.3  # weight of one attempt in the share of its class that is in time
IN_TIME_START = 0.7  # of it: nothing is known, which is not enough
IN_TIME_LEAST = 0.7  # under this share a class without late worth has until its deadline, as the others
CLASS_ASKED = 0.3  # a class with fewer of them is not there just now
STANDING = 1.6  # how far its worth moves the share of a class that is shed, either way
SHED_MOST = 0.9  # some always go, or nothing would tell that it got better
OVER_SHARE = 1.5  # a tenant floods from this many times its share of recent requests on
REFUSE_MARGIN = 1.2  # a prediction over this many times the time left can't earn
HEDGE_TIMES = 3.0  # a second attempt goes out after this many times the predicted first token
HEDGE_ROOM = 1.3  # and only while this many median predictions still fit before the aim
PATIENCE_TIMES = 5.0  # a first token this many times as late as predicted is no queue but a hang
PATIENCE_TIMEOUTS = 0.2  # unless more than this share of attempts, of late, was given up for lateness
HEDGE_SHARE = 0.03  # second copies, as a share of requests
HEDGE_BURST = 4.0
WORK_FADE = 0.97  # what an interval leaves of the most work a replica was seen to bear
LIKELY = 0.75  # the least part of its capacity, to this power, is what a cold replica likely has
COLD_LOOKS = 64  # cold replicas that a pick asks for their budget at most
ANEW = 0.5  # a prompt of which more than this part is to be read where it would go, is read at a cold replica as well
QUOTA_MOST = 2.5  # of what tenants are due: the most that is taken for what warm replicas bear, whatever was sent
COLD_SAFETY = 0.8  # part of a cold replica's budget that the gateways together may use
COLD_FLOW = 0.65  # and where each of them has so little of it that it comes by whole requests
COLD_READY = 1 / 8  # these lapse after this part of tip_time
COLD_CHANCE = 1.5  # roots of the budget that may be used beyond it; two are put down to chance
ROOM_START = 40.0  # streams at a warm replica, of all gateways together, before anything is known
ROOM_LATE = 0.87  # what a late first token leaves of the room, and what a good one near it makes of it
ROOM_GOOD = 1.04
ROOM_EARLY = 1.08  # the same before any late one
ROOM_LEAST = 10.0  # least and most of it, as ROOM_START
ROOM_MOST = 400.0
ROOM_USED = 0.45  # from this part on streams are near the room: they come by chance
ROOM_HOME = 1.5  # what a replica may hold of requests whose beginning is at home there, and of others
ROOM_AWAY = 0.75
ROOM_LATE_PART = 0.5  # of the aim: a first token later than that tells of a crowd
LATE_IDLE = 4.0  # and this many times as late as on an idle replica: a limit makes nothing sooner than that
IDLE_STEP = 0.1  # how far a sample moves the time that a prompt token takes on an idle replica;
IDLE_PART = 0.1  # so many samples take less
RETRY_SHARE = 0.5  # executions after a time-out, as a share of requests: a general failure multiplies no load
RETRY_BURST = 5.0
REPEAT_TRANSIT = 100_000  # microseconds from the first byte of a repeat to its arrival at the replica
SHUT_FIRST = 0.25  # a refused connect keeps a replica out of the pick for this many shortest aims
SHUT_LONGEST = 8.0  # doubled at each refusal in a row, up to so many
TOLD_BY = 6_000_000  # a change counts as told so long after discovery had it and could be reached, heard or not
ASK_GATEWAY = 1 / 60  # of that, for each gateway, is what calls are spread over, each at its own place in it
ASK_TOGETHER = 8  # so few ask at once when they start
ASK_START = 2 / 3  # at most so much of it, when gateways start
ASK_LOST = 5 / 12  # when watches end; to notice that one has fallen silent takes as long
ASK_AGAIN = 3 / 4  # and while calls fail, however long: one falls into this time whenever discovery comes back
ASK_JITTER = 0.05
ASK_FAILED_FAST = 500_000  # microseconds: a first call that fails sooner may have met a passing fault, and is
ASK_REPEAT = 250_000  # made again after this
ASK_AGENT = 50_000  # where each gateway has an agent of its own, a lost watch is opened anew after this
ASK_AGENT_MOST = 250_000  # doubled while that fails, up to this
SUBSCRIBE_TAG = 1 << 60  # timer tags below this are request ids


class _Attempt:
    """One send; `replica` stays valid after the list forgot it."""

    __slots__ = ("replica", "number", "sent", "zone", "cell", "predicted", "load", "streams", "unread",
                 "age", "result", "waiting", "unreached", "likely")  # fmt: skip

    def __init__(
        self, replica: _Replica, number: int, sent: int, predicted: float, unread: float, likely: float
    ) -> None:
        self.replica = replica
        self.likely = likely  # the part of its capacity that the replica likely had
        self.number = number
        self.sent = sent
        self.zone = replica.zone
        self.cell = replica.cell
        self.predicted = predicted
        self.load = (replica.unread + unread) / 1000
        self.streams = replica.streams
        self.unread = unread
        self.age = -1  # of the belief that the prefix is kept there; -1: none
        self.result = -1  # out
        self.waiting = True  # for its first token
        self.unreached = False  # its connect never came up; a refused one says that the way is there


class _Call:
    """A request this gateway has taken, until it is answered and its attempts have ended."""

    __slots__ = ("request", "klass", "state", "born", "aim_at", "earn_by", "attempts", "out", "answered", "streaming",
                 "hedge_at", "homes_ring", "homes_from", "homes", "session_home")  # fmt: skip

    def __init__(self, request: Request, klass: RequestClass, born: int, state: _ClassState | None = None) -> None:
        self.request = request
        self.klass = klass
        self.state = state or _ClassState()
        self.born = born  # when its client asked first, as far as this gateway knows
        self.aim_at = born + klass.aim + int(klass.aim_per_1000_tokens * request.prompt_tokens / 1000)
        self.earn_by = request.deadline
        self.attempts: list[_Attempt] = []
        self.out = 0
        self.answered = False
        self.streaming = False
        self.hedge_at = 0
        self.homes_ring: list[_Replica] | None = None  # that the homes were found on
        self.homes_from = 0  # the place there where the homes of the prefix begin
        self.homes = 0  # how many they are
        self.session_home = -1  # the place of the session's


class _ClassState:
    """What this gateway knows of one class of requests."""

    __slots__ = ("asked", "out", "sent_at", "in_time", "hedges", "retries")

    def __init__(self) -> None:
        self.asked = 0.0  # recent requests
        self.out = 0  # own attempts out
        self.sent_at = 0  # when a request was sent on last
        self.in_time = IN_TIME_START  # recent share of attempts whose first token came before the aim
        self.hedges = HEDGE_BURST
        self.retries = RETRY_BURST


class _Replica:
    __slots__ = ("id", "zone", "cell", "kind", "mark", "place", "ready", "started",
                 "consecutive_5xx", "consecutive_gateway_failure", "successes", "volume", "thin",
                 "multiplier", "ejected_until",
                 "w0", "w1", "w2", "p00", "p01", "p02", "p11", "p12", "p22", "fitted",
                 "failing", "full_until", "shut_until", "shut", "waiting", "unread", "streams", "kept", "hold",
                 "strays", "luck", "cold_debt", "cold_ready", "cold_at")  # fmt: skip

    def __init__(self, entry: Replica) -> None:
        self.id = entry.id
        self.mark = _mix(entry.id)  # its order on the ring
        self.luck = 0.0  # of this gateway there: where it may have part of a stream, it has one or none
        self.place = 0
        self.waiting: dict[_Attempt, None] = {}  # own attempts without a first token, oldest first
        self.unread = 0.0  # prompt tokens these still have to have read
        self.streams = 0  # own attempts out
        self.ready = False
        self.renew(entry)

    def renew(self, entry: Replica) -> None:
        """A new process: what was learned of the one before is void, but for attempts still out."""
        self.zone = entry.zone
        self.cell = entry.cell
        self.kind = entry.kind
        self.started = entry.started
        self.consecutive_5xx = 0
        self.consecutive_gateway_failure = 0
        self.successes = 0
        self.volume = 0
        self.thin = 0
        self.multiplier = 0
        self.ejected_until = 0
        self.w0 = self.w1 = self.w2 = 0.0
        self.p00 = self.p01 = self.p02 = self.p11 = self.p12 = self.p22 = 0.0
        self.fitted = -1  # when the fit had its last sample; -1: never
        self.failing = 0.0
        self.full_until = 0
        self.shut_until = 0
        self.shut = 0  # for how long it was kept out at its last refused connect
        self.kept: dict[int, tuple[float, int]] = {}  # session or ~prefix: tokens, when
        self.hold = 1 << 50  # how long what it read is believed kept
        self.strays = 0.0  # share of a prefix found kept where it was not believed
        self.cold_debt = 0.0  # work sent ahead of the cold budget; below 0: what lies ready of it
        self.cold_ready = 0.0  # what lies ready before it lapses
        self.cold_at = -1  # when that was reckoned; -1: not begun


def _mix(id: int) -> int:
    mixed = (id + 0x9E3779B97F4A7C15) * 0xBF58476D1CE4E5B9 & (1 << 64) - 1
    return (mixed ^ mixed >> 29) * 0x94D049BB133111EB & (1 << 64) - 1


def _mark(replica: _Replica) -> int:
    return replica.mark


def _median(fits: list[_Replica]) -> tuple[float, float, float]:
    half = len(fits) // 2
    return (
        sorted(r.w0 for r in fits)[half],
        sorted(r.w1 for r in fits)[half],
        sorted(r.w2 for r in fits)[half],
    )


class Router:
    """The decisions of one gateway."""

    def __init__(self, settings: Settings, seed: int) -> None:
        self._adopt(settings)
        self.random = Random(seed).random
        self.salt = _mix(seed)
        self.now = 0
        self.actions: list[Action] = []
        self.calls: dict[int, _Call] = {}
        self.held: dict[int, _Call] = {}  # no replica to send to yet
        self.replicas: dict[int, _Replica] = {}
        self.near: list[_Replica] = []  # ready, not ejected, own zone
        self.far: list[_Replica] = []
        self.ready = 0
        self.most_ready = 0
        self.ejected = 0
        self.next_return = 1 << 62
        self.next_sweep = 0
        # The prediction of a replica without samples: intercept, a thousand unread tokens, a stream.
        self.median = (self.shortest / 10, self.shortest / 8, self.shortest / 100)
        self.medians: dict[int, tuple[float, float, float]] = {}  # by kind, where enough have samples
        self.learned = False  # the median comes from samples
        self.timeouts = 0.0  # recent share of time-outs over all replicas
        self.states = [_ClassState() for _ in settings.classes]
        self.room = ROOM_START / settings.gateways  # own streams for each replica's worth of capacity
        self.crowded = False  # a late first token was seen
        self.capacity = 1.0  # of the ready replicas, in warm ones
        self.capacity_at = -1
        self.out = 0  # own attempts out
        self.crowding = 0.0  # what one stream weighs in the pick under way
        self.zone_failing = [0.0] * settings.zones  # recent share of time-outs and failed connects
        self.zone_least = [1 << 62] * settings.zones  # the shortest first token from a zone
        self.read_time = 0.0  # that a prompt token takes on an idle replica; 0: no sample yet
        # Running median of first tokens with little to read before them; no alarm before samples.
        self.quick = min((klass.token_aim for klass in settings.classes if klass.token_aim), default=1.0)
        self.quick_at = 0
        self.token_aim = 0.0  # of the usual request here; 0: none of them has one
        self.mean_worth = 0.0  # of what was asked
        self.turned_away: dict[tuple[int, float], int] = {}  # session and prompt: when it came first
        self.asked_share = list(settings.tenant_shares)  # each tenant's part of recent requests here
        self.holders: dict[int, list[int]] = {}  # session or ~prefix: ids of replicas believed to hold it
        self.asked_prefix: dict[int, float] = {}  # recent requests of each prefix here
        self.asked_prefixes = 0.0  # and their sum
        self.ring: list[_Replica] = []  # ready, of all zones, in an order by hash; a new one at each change
        self.session_kept = 0.5  # share of a prompt found kept at its session's home
        self.home_kept = 0.5  # share of a prefix found kept at its homes, where others must have brought it
        self.work_sent = 0.0  # since the last sweep
        self.work_rate = 0.0  # of this gateway, a second and warm replica
        self.usual_work = 0.0  # of a request here; 0: none yet
        self.work_borne = 0.0  # the most of it, of late
        self.cold: list[_Replica] = []  # ready and started not long ago
        self.cold_late = 0  # lapsed parts of their budgets that may be used for now
        self.cold_late_time = -1
        self.subscribed = False
        self.asked = 0  # calls since there was a watch
        self.asked_at = 0  # the last of them
        self.list_verified = not settings.subscribe  # by discovery, or by a call that found it unreachable
        self.ask_at = 0
        self._handlers: dict[type, Any] = {
            Request: self._on_request,
            FirstToken: self._on_first_token,
            Outcome: self._on_outcome,
            Timer: self._on_timer,
            ClientGone: self._on_client_gone,
            ReplicaList: self._on_list,
        }

    def _adopt(self, settings: Settings) -> None:
        self.settings = settings
        longest = max(max(klass.aim, klass.give_up // 20) for klass in settings.classes)
        # One class that wants its answers at once must not make what is remembered for all forgotten at once.
        self.shortest = max(min(klass.aim for klass in settings.classes), longest // 20, 1)
        self.interval = int(INTERVAL_AIMS * longest)
        self.base_ejection_time = int(BASE_EJECTION_AIMS * longest)
        self.max_ejection_time = MAX_EJECTION_TIMES * self.base_ejection_time
        self.fade = FADE_AIMS * longest
        self.crossing = CROSSING * settings.cross_zone_price * self.shortest
        token_aims = [klass.token_aim for klass in settings.classes if klass.token_aim] or [1.0]
        self.quick_most = QUICK_MOST * max(token_aims)  # a burst must not keep load shed long after it

    def reconfigure(self, settings: Settings, classes: Sequence[int], tenants: Sequence[int]) -> None:
        """Other classes, tenants and limits; for each its number before, or -1. What is open ends as it began."""
        self.states = [self.states[old] if old >= 0 else _ClassState() for old in classes]
        shares = settings.tenant_shares
        self.asked_share = [self.asked_share[old] if old >= 0 else shares[new] for new, old in enumerate(tenants)]
        self._adopt(settings)

    def start(self, now: int) -> list[Action]:
        self.now = now
        self.actions = []
        self.next_sweep = now + self.interval
        if self.settings.subscribe:
            if self.settings.gateways <= ASK_TOGETHER or self.settings.pushed:
                self._subscribe()
            else:
                self._ask_later(ASK_START)
        return self.actions

    def handle(self, now: int, event: Event) -> list[Action]:
        self.now = now
        self.actions = []
        if now >= self.next_sweep:
            self._sweep()
        if now >= self.next_return:
            self._rebuild()
        if handler := self._handlers.get(type(event)):  # reports and peers' messages move no decision
            handler(event)
        return self.actions

    # -- requests ------------------------------------------------------------------------------------------

    def _on_request(self, request: Request) -> None:
        if request.id in self.calls:
            return
        classes = self.settings.classes
        if request.class_index >= len(classes) or request.deadline <= self.now:
            self.actions.append(Refuse(request.id, why="class or deadline"))
            return
        klass = classes[request.class_index]
        born = self.now
        if request.session:
            # A client that comes back after a refusal asks for the same prompt; its aim runs from its first
            # try. Served as new, such repeats would keep an overload going with work that can't earn.
            first = self.turned_away.get((request.session, request.prompt_tokens), born)
            born = first if born - first < klass.give_up else born
        state = self.states[request.class_index]
        state.asked += 1.0
        self.mean_worth += 0.05 * (klass.worth - self.mean_worth) if self.mean_worth else klass.worth
        state.hedges = min(HEDGE_BURST, state.hedges + HEDGE_SHARE)
        state.retries = min(RETRY_BURST, state.retries + RETRY_SHARE)
        call = _Call(request, klass, born, state)
        if klass.late_worth <= 0 and state.in_time > IN_TIME_LEAST:  # else its client waits on all the same
            call.earn_by = min(request.deadline, call.aim_at)
        work = request.prompt_tokens + DECODE_TOKENS
        self.usual_work += 0.02 * (work - self.usual_work) if self.usual_work else work
        if klass.token_aim:
            self.token_aim += 0.05 * (klass.token_aim - self.token_aim) if self.token_aim else klass.token_aim
        if request.tenant < len(self.asked_share):
            self.asked_share = [0.98 * share for share in self.asked_share]
            self.asked_share[request.tenant] += 0.02
        if request.prefix:
            self.asked_prefix[request.prefix] = self.asked_prefix.get(request.prefix, 0.0) + 1.0
            self.asked_prefixes += 1.0
        self.calls[request.id] = call
        self._place(call)

    def _place(self, call: _Call) -> None:
        """Sends the next attempt of a call that has none out, holds it, or ends it."""
        left = call.earn_by - self.now
        if not self.list_verified and left > 0 and self.settings.gateways > ASK_TOGETHER:
            self._hold_for_list(call, left)
            return
        if left <= 0 or len(call.attempts) >= self.settings.max_attempts or not self._may_resend(call):
            self._end(call, "too late" if left <= 0 else "attempts")
            return
        call.homes_ring = None  # shares have changed since the last attempt
        replica, predicted = self._choose(call, left)
        if replica is None:
            self._hold(call, left)
        elif (why := self._hopeless(call, replica, predicted, left)) and self._may_refuse(call):
            self._end(call, why)
        else:
            self._send(call, replica, predicted, left)

    def _due(self, call: _Call) -> bool:
        """Nothing of its class was sent on for long. Then one goes, or what was learned would never be put right."""
        return not call.attempts and self.now - call.state.sent_at > LET_IN * call.klass.give_up

    def _hopeless(self, call: _Call, replica: _Replica, predicted: float, left: int) -> str:
        """Why the best replica found won't do, or nothing: it would answer too late, or tokens come too slowly
        everywhere. Then a refusal costs this request nothing and spares the others."""
        if self._due(call):
            return ""
        if self._shed(call):
            return "pace"
        # Every replica is home to some: what is out to all of them together stays bounded as well, or a jam of
        # hundreds of gateways never ends. Sent elsewhere it would have to be read anew, and there is no room either.
        limit = max(1.0, ROOM_HOME * self.room * self._capacity_now())
        full = (self.crowded and self.out >= limit) or replica.streams >= self._slots(replica, call)
        if full and call.state.out >= self._class_part(limit):
            return "crowded"  # nowhere is there room: one more would make all that run there late
        if call.attempts and predicted > left:
            return "again"  # sent again for nothing, over a connection that costs the replica a handshake
        if left < self.quick:
            return "too late"  # nor does any replica begin so soon: of 403 sent so late 13 got a first token
        if not replica.waiting and (replica.fitted < 0 or self.now - replica.fitted > self.shortest):
            return ""  # a scout goes all the same, so that a wrong prediction can't refuse for good
        return "predicted" if predicted > REFUSE_MARGIN * left else ""

    def _shed(self, call: _Call) -> bool:
        """In proportion, while tokens come slowly everywhere. It needs no sample of the replica picked: in a
        large fleet there is hardly ever a recent one, and nothing would be shed. How slowly is the replicas' matter
        and one for all classes, by the token aim of the usual request: by its own, a class that wants tokens
        sooner than the others would be refused all but whole while these are let in."""
        over = self.quick / (PACE * self.token_aim) - 1 if self.token_aim else 0.0
        if over <= 0:
            return False
        if self._beyond_share(call.request.tenant):
            return True
        return self.random() < min(SHED_GAIN * over / self._standing(call), SHED_MOST)

    def _class_part(self, limit: float) -> float:
        """Own streams that a class may have whatever the others hold, where several classes ask. The limit is one for
        all: what some of them teach or take must not keep another one out."""
        asking = sum(state.asked > CLASS_ASKED for state in self.states)
        return max(1.0, CLASS_PART * limit / asking) if asking > 1 else 0.0

    def _slots(self, replica: _Replica, call: _Call) -> int:
        """How many own streams it may have. Streams share a replica's steps and memory: past some number of them each
        further one makes all slower, and first tokens stop coming. How many that is, is learned from how late these
        come. Where it is less than one for a gateway, each of them uses a part of the replicas, another one each."""
        home = self._at_home(replica, call) or call.session_home == replica.place
        room = self.room * (ROOM_HOME if home else ROOM_AWAY)
        if room < 1.0 and (home or not self.crowded):
            room = 1.0  # a part of the replicas costs what the others keep: not before there is need
        return int(room * self._likely(replica) + replica.luck)

    def _capacity_now(self) -> float:
        if self.now - self.capacity_at > self.interval // 12:
            self.capacity_at = self.now
            self.capacity = max(0.5, sum(self._likely(r) for r in self.near) + sum(self._likely(r) for r in self.far))
        return self.capacity

    def _likely(self, replica: _Replica) -> float:
        """The part of its capacity that a replica likely has: between the least it may have and all."""
        least = self._capacity(replica)
        return least**LIKELY if least < 1.0 else 1.0

    def _learn_room(self, call: _Call, attempt: _Attempt, took: int) -> None:
        """A late first token tells of a crowd, unless an idle replica is about as late: a limit learned from an aim
        that can't be met would fall to its least, and keep out whoever has no home of its own."""
        if self._likely(attempt.replica) < 1.0:
            return  # it is cold that is slow there
        least, most = ROOM_LEAST / self.settings.gateways, ROOM_MOST / self.settings.gateways
        level = self.out / self._capacity_now()
        shortest = min(self.zone_least)
        if attempt.unread > 0:
            sample = max(0, took - shortest) / attempt.unread
            step = IDLE_STEP * (IDLE_PART - 1 if sample < self.read_time else IDLE_PART)
            self.read_time = self.read_time * (1 + step) or sample
        idle = shortest + self.read_time * call.request.prompt_tokens  # of which nothing is kept
        if took > max(ROOM_LATE_PART * (call.aim_at - call.born), LATE_IDLE * idle):
            self.crowded = True
            self.room = max(least, min(self.room, 1.2 * level) * ROOM_LATE)
        elif level > ROOM_USED * self.room:
            self.room = min(most, self.room * (ROOM_GOOD if self.crowded else ROOM_EARLY))

    def _beyond_share(self, tenant: int) -> bool:
        """Whether this request counts to what its tenant asks beyond its share, by chance in proportion: one
        tenant's flood must not take what the others are due."""
        shares = self.settings.tenant_shares
        if tenant >= len(shares) or self.settings.over_share_worth >= 1:
            return False
        return self.random() * self.asked_share[tenant] > OVER_SHARE * shares[tenant]

    def _standing(self, call: _Call) -> float:
        """Under overload, what is worth more than the mean goes first."""
        return min(STANDING, max(1 / STANDING, call.klass.worth / (self.mean_worth or 1.0)))

    def _hold(self, call: _Call, left: int) -> None:
        self.held[call.request.id] = call
        step = max(2 * self.settings.tick, self.shortest // 10)
        self.actions.append(SetTimer(max(1, min(step, left)), call.request.id))

    def _hold_for_list(self, call: _Call, left: int) -> None:
        """The list held at a start is of unknown age: servers on it may have left while this gateway was down. Few
        gateways call at once when they start, and have the answer before a request is under way."""
        if not self.asked:
            self._subscribe()
        self._hold(call, left)

    def _end(self, call: _Call, why: str) -> None:
        """The final answer where none was served."""
        refuse = self._may_refuse(call)
        self._cancel_out(call)
        id = call.request.id
        self.actions.append(Refuse(id, self.settings.max_retry_after, why) if refuse else Fail(id, why))
        self._turned_away(call)
        self._answered(call)

    def _turned_away(self, call: _Call) -> None:
        request = call.request
        if request.session:
            self.turned_away[request.session, request.prompt_tokens] = call.born
            if len(self.turned_away) > HELD_KEYS:
                del self.turned_away[next(iter(self.turned_away))]

    def _answered(self, call: _Call) -> None:
        call.answered = True
        self.held.pop(call.request.id, None)
        if not call.out:
            del self.calls[call.request.id]

    def _cancel_out(self, call: _Call, keep: int = -1) -> None:
        if self.settings.may_cancel and call.out:
            for attempt in call.attempts:
                if attempt.result < 0 and attempt.number != keep:
                    self.actions.append(Cancel(call.request.id, attempt.number))

    # Rule 2. An attempt may have run unless its outcome proves otherwise; one that is out may run yet.

    def _may_have_run(self, call: _Call) -> _Attempt | None:
        return next((attempt for attempt in call.attempts if attempt.result not in NEVER_RAN), None)

    def _may_resend(self, call: _Call) -> bool:
        if call.klass.effect == Effect.PURE or not call.attempts:
            return True
        first = self._may_have_run(call)
        if first is None:
            return True
        if call.klass.effect == Effect.SIDE_EFFECT:
            return False
        # The repeat has to arrive within the window: its connection may take so long to come up.
        arrives_by = self.now + self.settings.connect_timeout + REPEAT_TRANSIT
        return arrives_by < first.sent + call.klass.window

    def may_refuse(self, id: int) -> bool:
        """Whether a refusal would be true of a request: that to ask again does no harm."""
        call = self.calls.get(id)
        return call is None or self._may_refuse(call)

    def _may_refuse(self, call: _Call) -> bool:
        klass = call.klass
        if klass.effect == Effect.PURE or (klass.effect == Effect.TOKEN and klass.scope == Scope.ALL):
            return True
        return self._may_have_run(call) is None

    def _allowed(self, call: _Call, replica: _Replica) -> bool:
        """Whether a further attempt may go to this replica, by its group."""
        klass = call.klass
        if klass.effect != Effect.TOKEN or klass.scope == Scope.ALL or not call.attempts:
            return True
        first = self._may_have_run(call)
        if first is None:
            return True
        return replica.zone == first.zone if klass.scope == Scope.ZONE else replica.cell == first.cell

    def _send(self, call: _Call, replica: _Replica, predicted: float, left: int) -> None:
        now, settings, request = self.now, self.settings, call.request
        unread = self._unread(replica, call)
        attempt = _Attempt(replica, len(call.attempts), now, predicted, unread, self._likely(replica))
        if request.prefix:
            entry = replica.kept.get(~request.prefix)
            if entry:
                attempt.age = now - entry[1]
            self._remember(replica, ~request.prefix, request.prefix_tokens)
        if request.session:
            self._remember(replica, request.session, request.prompt_tokens)
        call.attempts.append(attempt)
        call.out += 1
        self.out += 1
        call.state.sent_at = now
        call.state.out += 1
        replica.waiting[attempt] = None
        replica.unread += unread
        replica.streams += 1
        work = request.prompt_tokens + DECODE_TOKENS
        self.work_sent += work
        if replica.cold_at >= 0:
            if replica.cold_debt < -replica.cold_ready:
                self.cold_late -= 1
            replica.cold_debt += work
        self.held.pop(request.id, None)
        timeout = 0
        if call.klass.effect != Effect.SIDE_EFFECT and self._may_refuse(call):
            # What can't earn any more is called off in time to be refused before its aim has passed.
            timeout = max(1, left - 2 * settings.tick)
            m0, m1, m2 = self.median
            other = HEDGE_ROOM * (m0 + m1 * request.prompt_tokens / 1000)
            patience = timeout - other
            if settings.second_copies:
                patience = min(max(HEDGE_TIMES * predicted, left / 4), patience)
            # Else giving up wastes what was done: it is left until another just fits.
            if patience > 1.2 * predicted and len(call.attempts) < settings.max_attempts:
                if settings.second_copies and settings.may_cancel:
                    call.hedge_at = now + int(patience)
                    self.actions.append(SetTimer(int(patience), request.id))
                # With many late, all may well take so long: what was read for it is lost with the attempt, and the
                # next one has it to read again, where others wait as well.
                elif self.timeouts < PATIENCE_TIMEOUTS:
                    timeout = int(patience)
                    # A hang is left while another still fits before the aim, and not only before the deadline.
                    before_aim = int(call.aim_at - now - other)
                    if self.learned and before_aim > PATIENCE_TIMES * predicted:
                        timeout = min(timeout, before_aim)
        self.actions.append(Send(request.id, replica.id, timeout))

    def _on_timer(self, timer: Timer) -> None:
        if timer.tag == SUBSCRIBE_TAG:
            if self.now >= self.ask_at and not self.subscribed:
                self._subscribe()
            return
        call = self.calls.get(timer.tag)
        if call is None or call.answered or call.streaming:
            return
        if not call.out:
            self._place(call)
        elif call.hedge_at and self.now >= call.hedge_at:
            call.hedge_at = 0
            self._hedge(call)

    def _hedge(self, call: _Call) -> None:
        """A second copy, while it can still pay: the first may hang, or wait behind something heavy."""
        left, state = call.earn_by - self.now, call.state
        if call.out != 1 or len(call.attempts) >= self.settings.max_attempts:
            return
        if state.hedges < 1 or not self._may_resend(call):
            return
        replica, predicted = self._choose(call, left)
        if replica is None or predicted > left or replica is call.attempts[-1].replica:
            return
        state.hedges -= 1
        self._send(call, replica, predicted, left)
        call.hedge_at = 0

    def _on_first_token(self, event: FirstToken) -> None:
        call = self.calls.get(event.request)
        if call is None or event.attempt >= len(call.attempts):
            return
        attempt = call.attempts[event.attempt]
        if not attempt.waiting or attempt.result >= 0:
            return
        self._not_waiting(attempt)
        call.state.in_time += IN_TIME_STEP * ((self.now <= call.aim_at) - call.state.in_time)
        self._learn(attempt, event.took)
        self._learn_room(call, attempt, event.took)
        # Envoy judges an answer when it begins. Judged seconds later, at its end, a busy replica that still
        # answers would be ejected by a streak of time-outs among its first tokens.
        self._judge(attempt.replica, Result.OK)
        if not call.streaming:
            call.streaming = True
            self._cancel_out(call, attempt.number)

    def _on_outcome(self, event: Outcome) -> None:
        call = self.calls.get(event.request)
        if call is None or event.attempt >= len(call.attempts):
            return
        attempt = call.attempts[event.attempt]
        if attempt.result >= 0:
            return
        attempt.result = event.result
        state = call.state
        state.out -= 1
        call.out -= 1
        self.out -= 1
        replica = attempt.replica
        replica.streams -= 1
        waiting = attempt.waiting
        if waiting:
            self._not_waiting(attempt)
            state.in_time -= IN_TIME_STEP * state.in_time * (event.result == Result.TIMEOUT)
            if event.result == Result.OK:
                self._learn(attempt, event.took)
            elif event.took > attempt.predicted and event.result in (Result.TIMEOUT, Result.CANCELLED):
                self._learn(attempt, event.took)  # it would have taken at least as long
                self._learn_room(call, attempt, event.took)
        if event.result == Result.OK:
            replica.shut = 0
            self._found(attempt, call, event.kept_tokens)
        elif event.result == Result.FULL:
            replica.full_until = self.now + self.shortest // 4
        elif event.result == Result.CONNECT_FAILED:
            attempt.unreached = event.took >= self.settings.connect_timeout // 2
            self._shut(replica)
        if waiting or event.result != Result.OK:
            self._judge(replica, event.result)
        if event.done or call.answered:
            if not call.answered:
                self._cancel_out(call)
            self._answered(call)
        elif not call.out:
            call.streaming = False
            if event.result == Result.TIMEOUT:
                if state.retries < 1.0:
                    self._end(call, "retries")
                    return
                state.retries -= 1.0
            self._place(call)

    def _on_client_gone(self, event: ClientGone) -> None:
        call = self.calls.get(event.request)
        if call is not None and not call.answered:
            self._cancel_out(call)
            self._turned_away(call)
            self._answered(call)

    def _shut(self, replica: _Replica) -> None:
        """Nobody listens there, or its table is full. Where the list is late that says more than it, and at once;
        three in a row would cost three requests an attempt, at each gateway."""
        longest = int(SHUT_LONGEST * self.shortest)
        replica.shut = min(longest, max(int(SHUT_FIRST * self.shortest), 2 * replica.shut))
        replica.shut_until = self.now + int(replica.shut * (0.5 + self.random()))

    def _not_waiting(self, attempt: _Attempt) -> None:
        attempt.waiting = False
        replica = attempt.replica
        replica.waiting.pop(attempt, None)
        replica.unread = max(0.0, replica.unread - attempt.unread) if replica.waiting else 0.0

    # -- the pick ------------------------------------------------------------------------------------------

    def _choose(self, call: _Call, left: int) -> tuple[_Replica | None, float]:
        """The lower prediction of two random replicas; holders of the prompt's beginning stand beside."""
        # An own stream tells of others there, though not of as many as there are gateways: where each has few, one
        # more or less is chance. Loads that scatter by about their mean make it stand for so many.
        gateways = self.settings.gateways
        others = gateways * self.out / max(1, len(self.near) + len(self.far))
        stands_for = gateways * max(1.0, others) / (gateways + max(1.0, others))
        self.crowding = CROWDING * self.shortest * stands_for / (CROWD_START + others)
        best, time = self._look(call, self.near, None, float("inf"))
        best, time = self._look_home(call, True, best, time)
        best, time = self._look_arc(call, best, time)
        if self.cold:
            # Those that may be sent something just now are few: by chance alone they'd hardly be met.
            n, found = len(self.cold), 0
            # What has to be read anew anyway is read where the fleet has room that only its budget bounds: by latency
            # alone the warm ones get all of it until they jam, and what is cold stays cold.
            anew = best is None or self._unread(best, call) > ANEW * call.request.prompt_tokens
            start = int(self.random() * n)
            for step in range(min(n, COLD_LOOKS)):
                one = self.cold[(start + step) % n]
                young = self.now - one.started < self.settings.cold_time  # the list is as old as the last change
                if young and one.ejected_until <= self.now and self._open(call, one):
                    weighed = self._weigh(one, call) + self._apart(one)
                    if weighed < time or (anew and weighed < min(left, call.aim_at - self.now)):
                        best, time, anew = one, weighed, False
                    found += 1
                    if found == 2:
                        break
        if self.far and time > self.crossing:
            other, apart = self._look(call, self.far, None, time - self.crossing)
            other, apart = self._look_home(call, False, other, apart)
            best = best if other is None else other
        if best is None:
            # Both draws may be barred (tried, full, cold, out of group): look at all before giving up.
            pool = self.near + self.far
            for again in (0, 1, 2):
                for replica in pool:
                    if replica.ready and self._open(call, replica, again):
                        weighed = self._weigh(replica, call)
                        if weighed < time:
                            best, time = replica, weighed
                if best is not None:
                    break
        return best, self._predict(best, call) if best is not None else time

    def _look(self, call: _Call, pool: list[_Replica], best: _Replica | None, time: float) -> Any:
        n = len(pool)
        if n > 2:
            one = int(self.random() * n)
            two = int(self.random() * (n - 1))
            pool = [pool[one], pool[two if two < one else two + 1]]
        for replica in pool:
            if self._open(call, replica):
                weighed = self._weigh(replica, call)
                if weighed < time:
                    best, time = replica, weighed
        return best, time

    def _look_arc(self, call: _Call, best: _Replica | None, time: float) -> Any:
        """Two random homes of the prefix and the home of the session stand beside. All gateways agree on them
        without a word; spread over all replicas, each would have to read every prefix, and homes in each zone would
        keep it once a zone. A crossing costs less than reading what another zone has."""
        ring = self._find_homes(call)
        if not ring:
            return best, time
        places = [call.session_home] if call.request.session else []
        if call.homes:
            one = int(self.random() * call.homes)
            two = int(self.random() * (call.homes - 1))
            places += [call.homes_from + one, call.homes_from + (two if two < one else two + 1)]
        for place in places:
            replica = ring[place % len(ring)]
            if replica is best or replica.ejected_until > self.now or not self._open(call, replica):
                continue
            if call.request.repeated and replica.place == call.session_home:
                continue  # all gateways send a session's tries there: one that answers nobody would have them all
            weighed = self._weigh(replica, call) + self._apart(replica)
            if weighed < time:
                best, time = replica, weighed
        return best, time

    def _find_homes(self, call: _Call) -> list[_Replica]:
        """The homes of a prefix are an arc of the ring, and the session's is one of them."""
        ring = self.ring
        if call.homes_ring is ring:
            return ring
        call.homes_ring = ring
        request, n = call.request, len(ring)
        call.homes_from, call.homes, call.session_home = 0, 0, -1
        if request.prefix:
            call.homes_from = bisect_left(ring, _mix(request.prefix), key=_mark)
            # Few requests tell little of a share, and gateways that differ in it differ in a session's home.
            usual = max(HOME_USUAL, HOME_PART * n)
            spread = HOME_SPREAD * n * self.asked_prefix.get(request.prefix, 0.0) + HOME_PRIOR * usual
            least = HOME_LEAST
            while least < min(n, spread / (HOME_PRIOR + self.asked_prefixes)):
                least *= 2
            call.homes = min(n, least)
        if request.session and n:
            # By rendezvous among the homes: a replica that comes or goes moves its own sessions only. Of many homes
            # some are asked, from a place of the session's own on: the same ones would be home to all sessions.
            session, most, homes, begin = request.session, -1, call.homes or n, 0
            if homes >= n:
                begin = bisect_left(ring, _mix(session), key=_mark) - call.homes_from
            elif homes > HOME_MOST:
                begin = homes * (_mix(session) >> 32) >> 32
            for step in range(min(homes, HOME_MOST)):
                place = (call.homes_from + (begin + step) % homes) % n
                mixed = _mix(ring[place].mark ^ session)
                if mixed > most:
                    call.session_home, most = place, mixed
        return ring

    def _apart(self, replica: _Replica) -> float:
        return self.crossing if replica.zone != self.settings.zone else 0.0

    def _look_home(self, call: _Call, near: bool, best: _Replica | None, time: float) -> Any:
        zone = self.settings.zone
        for key in (call.request.session, ~call.request.prefix):
            holders = self.holders.get(key) if key and key != -1 else None
            if not holders:
                continue
            n = len(holders)
            start = int(self.random() * n) if n > 1 else 0
            for step in range(min(n, 3)):
                replica = self.replicas.get(holders[(start + step) % n])
                if replica is None or not replica.ready or replica.ejected_until > self.now:
                    continue
                if replica is best or (replica.zone == zone) != near:
                    continue
                if self._open(call, replica):
                    weighed = self._weigh(replica, call)
                    if weighed < time:
                        best, time = replica, weighed
        return best, time

    def _weigh(self, replica: _Replica, call: _Call) -> float:
        """What the pick compares. A crowded replica may start an answer soon and then make its tokens slowly,
        for all its streams; so streams count by themselves, against this gateway's mean."""
        return self._predict(replica, call) + self.crowding * replica.streams

    def _open(self, call: _Call, replica: _Replica, again: int = 0) -> bool:
        """Whether this call may go there now; `again`: also 1: past its room and where
        connects were refused, 2: where it failed."""
        if replica.full_until > self.now or (replica.shut_until > self.now and not again):
            return False
        if call.attempts:
            for attempt in call.attempts:
                if again > 1:
                    break
                # A zone that could not be reached is left: a cut one would use up all attempts.
                cut = attempt.unreached and attempt.zone == replica.zone
                if attempt.replica is replica or (cut and replica.zone != self.settings.zone):
                    return False
            if not self._allowed(call, replica):
                return False
        if replica.started and self.now - replica.started < self.settings.cold_time:
            if not self._cold_room(replica, call.request):
                return False
        else:
            replica.cold_at = -1
        return again > 0 or replica.streams < self._slots(replica, call)

    def _capacity(self, replica: _Replica) -> float:
        """The least part of its capacity that a starting replica can have by now."""
        settings = self.settings
        age = max(0, self.now - replica.started)
        if not replica.started or age >= settings.cold_time:
            return 1.0
        return settings.cold_share + (1 - settings.cold_share) * age / settings.cold_time

    def _cold_room(self, replica: _Replica, request: Request) -> bool:
        """Rule 4: this gateway's part of what a cold replica may be sent. Each sends one request, then waits
        until the budget has paid for it; they begin at random points, so that not all start at once. Where that
        takes long, what is not used soon lapses: else each of many gateways holds one request ready, and when those
        that were warm fail all send it in the same moment."""
        settings = self.settings
        work = request.prompt_tokens + DECODE_TOKENS
        # What tenants are due is told in requests, and so is what replicas can do: in such of the usual work, whether
        # their prompts are kept or not. Reckoned by what has to be read, cold ones stood idle beside a jam.
        usual = self.usual_work or work
        if replica.cold_at < 0:
            replica.cold_debt = self.random() * usual
            replica.cold_at = self.now
        quota = settings.quota_rate * usual / (max(1, self.most_ready) * settings.gateways)
        borne = min(self.work_borne, QUOTA_MOST * quota or self.work_borne)
        rate = max(borne, quota, work * 1e6 / (settings.cold_time * settings.gateways))
        pace = settings.tip_multiple * rate * self._capacity(replica) / 1e6
        paid = pace * settings.tip_time
        replica.cold_ready = ready = COLD_READY * paid
        lapses = ready < usual
        debt = replica.cold_debt - (self.now - replica.cold_at) * pace * (COLD_FLOW if lapses else COLD_SAFETY)
        replica.cold_at = self.now
        if debt < 0:  # where it lapses, this is the time since the latest part was paid for
            debt = -(-debt % usual) if lapses else 0.0
        replica.cold_debt = debt
        if debt < -ready:
            self._renew_late(paid * settings.gateways / usual)
            return self.cold_late > 0
        return debt <= 0

    def _renew_late(self, budget: float) -> None:
        """How much of what has lapsed may be used all the same in this time, at all cold replicas together: what is
        left of each one's budget, in requests, and of what is put down to chance; half, as two times may meet."""
        time = (self.now + self.salt % (1 << 40)) // self.settings.tip_time
        if time != self.cold_late_time:
            self.cold_late_time = time
            left = (1 - COLD_FLOW * (1 + COLD_READY)) * budget + COLD_CHANCE * budget**0.5
            self.cold_late = int(left / 2 * len(self.cold) / self.settings.gateways + self.random())

    def _unread(self, replica: _Replica, call: _Call) -> float:
        """Prompt tokens it will have to read, as far as this gateway knows what it keeps."""
        request = call.request
        self._find_homes(call)
        kept = 0.0
        since = self.now - replica.hold
        if request.session:
            entry = replica.kept.get(request.session)
            if entry and entry[1] > since:
                kept = entry[0]
            elif call.session_home == replica.place:
                kept = self.session_kept * request.prompt_tokens
        if request.prefix and kept < request.prefix_tokens:
            entry = replica.kept.get(~request.prefix)
            if entry and entry[1] > since:
                kept = request.prefix_tokens
            else:
                share = self.home_kept if self._at_home(replica, call) else replica.strays
                believed = share * request.prefix_tokens
                kept = believed if believed > kept else kept
        unread = request.prompt_tokens - kept
        return unread if unread > 0 else 0.0

    def _at_home(self, replica: _Replica, call: _Call) -> bool:
        n = len(self._find_homes(call))
        return n > 0 and (replica.place - call.homes_from) % n < call.homes

    def _predict(self, replica: _Replica, call: _Call) -> float:
        """Time to first token, by this replica's fit."""
        load = (replica.unread + self._unread(replica, call)) / 1000
        age = self.now - replica.fitted if replica.fitted >= 0 else 2 * self.fade
        if age < self.fade:
            predicted = replica.w0 + replica.w1 * load + replica.w2 * replica.streams
        else:
            m0, m1, m2 = self.medians.get(replica.kind, self.median)
            predicted = m0 + m1 * load + m2 * replica.streams
            if age < 2 * self.fade:
                own = replica.w0 + replica.w1 * load + replica.w2 * replica.streams
                predicted += (own - predicted) * (2 - age / self.fade)
        if replica.waiting:
            first = next(iter(replica.waiting))
            overdue = self.now - first.sent - first.predicted
            if overdue > 0:  # a hang shows here before any time-out
                predicted += overdue
        if replica.started:
            predicted /= self._likely(replica)
        # Errors that come back fast never draw traffic: what fails has to be sent again.
        zone = self.zone_failing[replica.zone]
        return predicted / (1.0 - max(replica.failing, zone if zone > ZONE_BAR else 0.0))

    def _learn(self, attempt: _Attempt, took: int) -> None:
        """One sample for the replica's fit: a recursive least squares step whose weights may drift."""
        if attempt.likely >= 1.0:
            self._learn_pace(attempt, took)  # a cold replica's tokens come slowly without any crowd
        took = int(took * attempt.likely)  # as it would take there warm: that is what is predicted from
        r = attempt.replica
        x1, x2 = attempt.load, float(attempt.streams)
        if r.fitted < 0 or self.now - r.fitted > 2 * self.fade:
            # Begun anew after so long: with its old weights a replica once slow would stay shunned for good.
            r.w0, r.w1, r.w2 = median = self.medians.get(r.kind, self.median)
            r.p00, r.p11, r.p22 = ((FIT_PRIOR * w) ** 2 for w in median)
            r.p01 = r.p02 = r.p12 = 0.0
        else:
            r.p00 += (FIT_DRIFT * r.w0) ** 2
            r.p11 += (FIT_DRIFT * r.w1) ** 2
            r.p22 += (FIT_DRIFT * r.w2) ** 2
        r.fitted = self.now
        predicted = r.w0 + r.w1 * x1 + r.w2 * x2
        g0 = r.p00 + r.p01 * x1 + r.p02 * x2
        g1 = r.p01 + r.p11 * x1 + r.p12 * x2
        g2 = r.p02 + r.p12 * x1 + r.p22 * x2
        scale = 1.0 / (g0 + g1 * x1 + g2 * x2 + (FIT_NOISE * predicted) ** 2 + self.settings.tick**2)
        error = (took - predicted) * scale
        least0, least1, least2 = (w / 20 for w in self.median)
        r.w0 = max(least0, r.w0 + g0 * error)
        r.w1 = max(least1, r.w1 + g1 * error)
        r.w2 = max(least2, r.w2 + g2 * error)
        r.p00 = max(r.p00 - g0 * g0 * scale, 1.0)
        r.p01 -= g0 * g1 * scale
        r.p02 -= g0 * g2 * scale
        r.p11 = max(r.p11 - g1 * g1 * scale, 1.0)
        r.p12 -= g1 * g2 * scale
        r.p22 = max(r.p22 - g2 * g2 * scale, 1.0)

    def _learn_pace(self, attempt: _Attempt, took: int) -> None:
        """A first token with little to read before it takes about two steps: that tells the token pace, long
        before streams end. The way to another zone, by the zones' shortest first tokens, is no pace."""
        least, zone = self.zone_least, attempt.zone
        least[zone] = min(least[zone], took)
        reading = self.median[1] * attempt.unread / 1000
        if reading < QUICK_READING * self.median[0]:
            steps = took - reading - max(0, least[zone] - least[self.settings.zone])
            # A gateway with few samples must still learn of a jam within seconds.
            gap = min(QUICK_GAP, max(1.0, 20 * (self.now - self.quick_at) / self.interval))
            self.quick_at = self.now
            step = QUICK_STEP * gap
            quick = self.quick * (1 + step if steps > self.quick else 1 - step)
            self.quick = min(quick, self.quick_most)

    def _remember(self, replica: _Replica, key: int, tokens: float) -> None:
        kept = replica.kept
        kept.pop(key, None)
        kept[key] = (tokens, self.now)
        if len(kept) > KEPT_ENTRIES:
            del kept[next(iter(kept))]
        holders = self.holders.pop(key, None) or []
        if replica.id not in holders:
            holders.append(replica.id)
            if len(holders) > HOLDERS:
                del holders[0]
        self.holders[key] = holders
        if len(self.holders) > HELD_KEYS:
            del self.holders[next(iter(self.holders))]

    def _found(self, attempt: _Attempt, call: _Call, kept_tokens: int) -> None:
        """An answer tells how much the replica had kept: how long it holds what it read, and strays."""
        request = call.request
        if not request.prefix or request.prefix_tokens <= 0:
            return
        replica = attempt.replica
        share = min(1.0, kept_tokens / request.prefix_tokens)
        at_home = self._at_home(replica, call)
        if request.session and call.session_home == replica.place:
            share_of_all = kept_tokens / max(1.0, request.prompt_tokens)
            self.session_kept += 0.05 * (share_of_all - self.session_kept)
        if attempt.age < 0:
            if at_home:
                self.home_kept += 0.05 * (share - self.home_kept)
            else:
                replica.strays += 0.1 * (share - replica.strays)
        elif share < 0.5:
            replica.hold = max(attempt.age, replica.hold // 2, self.interval)
        elif attempt.age * 2 > replica.hold:
            replica.hold = attempt.age * 2

    # -- outlier detection ---------------------------------------------------------------------------------

    def _judge(self, replica: _Replica, result: int) -> None:
        """Envoy's counts in unsplit mode. Attempts called off, refused unseen or never sent don't count."""
        if result == Result.OK:
            replica.consecutive_5xx = 0
            replica.consecutive_gateway_failure = 0
            replica.successes += 1
            replica.volume += 1
            replica.failing -= FAILING_STEP * replica.failing
            self.zone_failing[replica.zone] *= 1 - ZONE_STEP
            self.timeouts -= self.timeouts / 16
            return
        if result in (Result.FULL, Result.CANCELLED, Result.MOOT):
            return
        replica.volume += 1
        replica.failing += FAILING_STEP * (0.95 - replica.failing)
        replica.consecutive_5xx += 1
        if result == Result.ERROR:
            replica.consecutive_gateway_failure = 0
        else:
            replica.consecutive_gateway_failure += 1
            # A zone that is cut off or hangs fails at replicas met too seldom here to learn it of each.
            self.zone_failing[replica.zone] += ZONE_STEP * (0.95 - self.zone_failing[replica.zone])
            if result == Result.TIMEOUT:
                self.timeouts += (1 - self.timeouts) / 16
                if self.timeouts > SHARED_TIMEOUTS:
                    return  # everybody is late, so lateness singles nobody out
        if replica.consecutive_gateway_failure >= CONSECUTIVE_GATEWAY_FAILURE:
            self._eject(replica, "consecutive_gateway_failure")
        elif replica.consecutive_5xx >= CONSECUTIVE_5XX:
            self._eject(replica, "consecutive_5xx")

    def _eject(self, replica: _Replica, why: str) -> None:
        if replica.ejected_until > self.now or not replica.ready:
            return
        if (self.ejected + 1) * 100 > MAX_EJECTION_PERCENT * self.ready:
            return
        replica.multiplier += 1
        time = min(self.base_ejection_time * replica.multiplier, self.max_ejection_time)
        replica.ejected_until = self.now + time
        replica.consecutive_5xx = replica.consecutive_gateway_failure = 0
        self.actions.append(Log(f"eject replica {replica.id} for {time // 1000} ms: {why}"))
        self._rebuild()

    def _sweep(self) -> None:
        """Once an interval, on the first event past it: success rates, multipliers, the median prediction."""
        now = self.now
        passed = 1 + (now - self.next_sweep) // self.interval
        self.next_sweep += passed * self.interval
        judged = []
        fits = []
        for replica in self.replicas.values():
            if replica.ejected_until <= now and replica.multiplier:
                replica.multiplier = max(0, replica.multiplier - passed)
            replica.failing *= 0.7
            replica.thin += passed
            if replica.volume >= SUCCESS_RATE_REQUEST_VOLUME:
                failures = replica.volume - replica.successes
                judged.append((replica, replica.successes / replica.volume, failures))
            if replica.fitted >= 0 and now - replica.fitted < 4 * self.fade:
                fits.append(replica)
        if len(judged) >= SUCCESS_RATE_MINIMUM_HOSTS:
            mean = sum(rate for _, rate, _ in judged) / len(judged)
            stdev = (sum((rate - mean) ** 2 for _, rate, _ in judged) / len(judged)) ** 0.5
            bar = mean - SUCCESS_RATE_STDEV_FACTOR / 1000 * stdev
            volume = sum(replica.volume for replica, _, _ in judged)
            failed = sum(failures for _, _, failures in judged)
            for replica, rate, failures in judged:
                # Where all replicas fail alike, in thin volumes somebody is always under the bar.
                n = replica.volume
                share = (failed - failures) / max(1, volume - n)
                by_chance = share * n + SUCCESS_RATE_CHANCE * (share * (1 - share) * n) ** 0.5
                enough = max(SUCCESS_RATE_MINIMUM_FAILURES, by_chance)
                if rate < bar and failures >= enough:
                    self._eject(replica, "success_rate")
        for replica in self.replicas.values():
            if replica.volume >= SUCCESS_RATE_REQUEST_VOLUME or replica.thin >= VOLUME_INTERVALS:
                replica.successes = replica.volume = replica.thin = 0
        if fits:
            self.median = _median(fits)
            self.learned = self.learned or len(fits) >= KIND_MINIMUM_HOSTS
            # In a large fleet most replicas have no recent sample here; those of a kind are alike.
            kinds: dict[int, list[_Replica]] = {}
            for replica in fits:
                kinds.setdefault(replica.kind, []).append(replica)
            for kind, alike in kinds.items():
                if len(alike) >= KIND_MINIMUM_HOSTS:
                    self.medians[kind] = _median(alike)
        fade = HOME_FADE**passed
        self.asked_prefixes *= fade
        self.zone_failing = [ZONE_FADE**passed * share for share in self.zone_failing]
        for prefix in list(self.asked_prefix):
            self.asked_prefix[prefix] *= fade
            if self.asked_prefix[prefix] < 0.05:
                self.asked_prefixes -= self.asked_prefix.pop(prefix)
        for state in self.states:
            state.asked *= CLASS_FADE**passed
        rate = self.work_sent * 1e6 / (passed * self.interval * self._capacity_now())
        self.work_rate = rate if not self.work_rate else self.work_rate + 0.3 * (rate - self.work_rate)
        # What warm replicas bore once they can bear: while load is shed, cold ones are needed most.
        self.work_borne = max(self.work_rate, self.work_borne * WORK_FADE**passed)
        self.work_sent = 0.0

    def _rebuild(self) -> None:
        """The pools of the pick; the time at which the next ejection ends."""
        now = self.now
        ready = [replica for replica in self.replicas.values() if replica.ready]
        well = [replica for replica in ready if replica.ejected_until <= now]
        self.ready = len(ready)
        self.most_ready = max(self.most_ready, self.ready)
        self.ejected = len(ready) - len(well)
        self.next_return = min((r.ejected_until for r in ready if r.ejected_until > now), default=1 << 62)
        pool = well or ready  # panic: with everybody ejected, ejection tells nothing
        self.near = [replica for replica in pool if replica.zone == self.settings.zone]
        warm_from = now - self.settings.cold_time
        self.cold = [replica for replica in pool if replica.started and replica.started > warm_from]
        self.capacity_at = -self.interval
        self.far = [replica for replica in pool if replica.zone != self.settings.zone]
        for call in list(self.held.values()):
            self._place(call)

    # -- membership ----------------------------------------------------------------------------------------

    def _on_list(self, event: ReplicaList) -> None:
        if event.kind == ListKind.FAILED:
            if self.settings.subscribe:
                if self.subscribed:
                    self.asked = 0
                self.subscribed = False
                if self.asked == 1 and self.now - self.asked_at < ASK_FAILED_FAST and not self.settings.pushed:
                    self._ask_in(ASK_REPEAT)
                else:
                    self._ask_later()
                    self._verify_list()
            return
        if event.kind != ListKind.CACHED:
            self.subscribed = self.settings.subscribe
            self.list_verified = True
        if event.kind != ListKind.DELTA:
            named = {entry.id for entry in event.replicas}
            for id in [id for id in self.replicas if id not in named]:
                self.replicas.pop(id).ready = False
        for entry in event.replicas:
            replica = self.replicas.get(entry.id)
            if entry.state == State.GONE:
                if replica is not None:
                    self.replicas.pop(entry.id).ready = False
                continue
            if replica is None:
                replica = self.replicas[entry.id] = _Replica(entry)
                replica.luck = (_mix(entry.id ^ self.salt) >> 32) / (1 << 32)
            elif entry.started != replica.started:
                replica.renew(entry)
            replica.zone = entry.zone if entry.zone < self.settings.zones else self.settings.zone
            replica.cell = entry.cell
            replica.ready = entry.state == State.READY
        self.ring = sorted((replica for replica in self.replicas.values() if replica.ready), key=_mark)
        for place, replica in enumerate(self.ring):
            replica.place = place
        self._rebuild()

    def _verify_list(self) -> None:
        if not self.list_verified:
            self.list_verified = True
            self._rebuild()

    def _subscribe(self) -> None:
        self.actions.append(Subscribe())
        self.asked += 1
        self.asked_at = self.now
        self._ask_in(self.settings.must_ask_in // 2)  # should no answer come at all

    def _ask_later(self, first: float = ASK_LOST) -> None:
        """First over a short time, for the sake of what has changed; then over one in which all can be served.
        Gateways that begin or lose their watches as one ask one after the other, each at the place of its number: a
        call that waits too long is served for nothing, and where too many meet by chance all do, for good."""
        if self.settings.pushed:  # nobody else waits for it, and what it has counts as told at once
            self._ask_in(min(ASK_AGENT_MOST, ASK_AGENT << min(self.asked, 9)))
            return
        span, number = self._ask_span(self.asked, first), self.settings.gateway
        delay = self.random() * span
        if number >= 0:
            last = self._ask_span(self.asked - 1, first)
            place = (number % self.settings.gateways + 0.5) / self.settings.gateways
            delay = last - (self.now - self.asked_at) if self.asked else 0.0
            delay = (delay + place * (span - last)) * (1 + ASK_JITTER * (2 * self.random() - 1))
        self._ask_in(max(1, int(delay)))

    def _ask_span(self, asked: int, first: float) -> float:
        """Over what time the gateways' calls are spread that come after so many in vain."""
        over = ASK_GATEWAY * self.settings.gateways
        most = first if asked < 1 else ASK_AGAIN
        told_by = min(TOLD_BY, self.settings.must_ask_in)
        return told_by * min(most, over * 2.0 ** min(asked, 9)) if asked >= 0 else 0.0

    def _ask_in(self, delay: int) -> None:
        self.ask_at = self.now + delay
        self.actions.append(SetTimer(delay, SUBSCRIBE_TAG))
