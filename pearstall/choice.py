"""Every decision of a gateway. Its interface (settings, events and actions) is pearstall/interface.py; when it calls
discovery is decided in pearstall/discovery.py.

A gateway makes one `Router(settings, seed)`, calls `start(now)` once, then `handle(now, event)` for each event, and
carries out the returned actions in order. The router keeps no clock, does no I/O and shares nothing: the same seed
and events give the same actions.

The base is Envoy's outlier detection in unsplit mode (consecutive failures, success rate, growing and capped
ejections), with a choice between two random replicas by a learned time to first token (TTFT). docs/design.md says
when each extension applies.

Times are integer microseconds and sizes of prompts are tokens, unless a name or a comment says otherwise.
"""

from __future__ import annotations

from bisect import bisect_left
from collections.abc import Sequence
from random import Random
from typing import Any

from pearstall.discovery import INITIAL_FETCH_TAG, SUBSCRIBE_TAG, Subscription
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
    Timer,
)

# -- tunables ----------------------------------------------------------------------------------------------
# Times are integer microseconds. Names with AIMS are multiples of an aim (a wanted time to first token) in the
# settings; parts and shares are fractions of 1. Envoy's names are used where Envoy has the same setting.

# Outlier detection.
CONSECUTIVE_5XX = 3  # consecutive failures of any kind that eject a replica
CONSECUTIVE_GATEWAY_FAILURE = 3  # consecutive time-outs, failed connects, resets and broken streams that eject it
INTERVAL_AIMS = 1.5  # interval, in longest aims
BASE_EJECTION_AIMS = 3.0  # base_ejection_time, in longest aims
MAX_EJECTION_TIMES = 6  # max_ejection_time, in base_ejection_times
MAX_EJECTION_PERCENT = 40  # of the ready replicas
SUCCESS_RATE_MINIMUM_HOSTS = 3  # replicas
SUCCESS_RATE_REQUEST_VOLUME = 5  # attempts that ended within the interval
SUCCESS_RATE_STDEV_FACTOR = 1300  # thousandths of a standard deviation
SUCCESS_RATE_MINIMUM_FAILURES = 2  # a single failure in a low volume doesn't make an outlier
# Failures up to this many standard deviations above what the other replicas' failure share gives count as chance.
SUCCESS_RATE_CHANCE_DEVIATIONS = 2.5
VOLUME_INTERVALS = 5  # intervals for which counts below the request volume are carried over
SHARED_TIMEOUT_SHARE = 0.5  # above this share of time-outs over all replicas, time-outs single out no replica

# Prediction of the time to first token (TTFT), fitted for each replica.
FIT_PRIOR = 0.5  # prior standard deviation of a replica's weights, as a part of the median weights
FIT_DRIFT = 0.12  # standard deviation of their drift between two samples, as a part of the weights
FIT_NOISE = 0.35  # standard deviation of a sample, as a part of the prediction
# Without a sample for this many longest aims a fit fades to the median; it is gone after twice that time.
FIT_LIFETIME_AIMS = 3.0
KIND_MINIMUM_HOSTS = 3  # replicas of a kind with samples, from which on the kind has a median of its own
FAILURE_SHARE_STEP = 0.25  # weight of one outcome in a replica's recent share of failures
ZONE_FAILURE_STEP = 0.08  # weight of one outcome in a zone's recent share of failures
ZONE_FAILURE_THRESHOLD = 0.5  # a zone's share counts above this only: under mere overload less fails
ZONE_FAILURE_DECAY = 0.85  # factor on a zone's share at each interval

# Affinity: which replicas are believed to have a prompt's beginning cached, and which are preferred for it.
CACHE_ENTRIES_PER_REPLICA = 512  # prefixes and sessions believed cached
REMEMBERED_KEYS_MAX = 4096  # prefixes and sessions whose holders are remembered; refused requests as well
HOLDERS_PER_KEY = 6  # replicas remembered to hold one prefix or session
# The preferred replicas of a prefix are this many times its share of the requests, as a part of all replicas.
PREFERRED_SHARE_FACTOR = 4.0
PREFERRED_MIN = 2  # preferred replicas of a prefix, at least
SESSION_CANDIDATES_MAX = 32  # preferred replicas compared to find a session's own one; other ones for each session
PREFERRED_DEFAULT = 4.0  # preferred replicas of a prefix while little is known of its share
# Or this part of all replicas, where that is more: gateways that have just started must agree.
PREFERRED_DEFAULT_PART = 1 / 8
PREFERRED_PRIOR_REQUESTS = 100.0  # weight of that default, in requests
PREFIX_REQUESTS_DECAY = 0.95  # factor at each interval on the requests counted for a prefix
DECODE_WORK_TOKENS = 1000.0  # the work of generating an answer, as prompt tokens to prefill

# Cost of streams and of other zones in the pick.
STREAM_COST_AIMS = 1.0  # weight of own streams at a large mean number of them, in shortest aims
STREAM_COST_KNEE = 60.0  # all gateways' streams for each replica, up to which a stream weighs the same
ZONE_CROSSING_AIMS = 7.0  # added for another zone: this many shortest aims, times cross_zone_price

# Load shedding, by the time to first token of requests with little to prefill: it is about two decode steps.
PACE = 3.5  # mean token aims in that time from which on load is shed
SHED_GAIN = 1.5  # share that is shed, for each part by which that time is longer
LIGHT_TTFT_STEP = 0.05  # how far one sample moves the running median, as a part of it
LIGHT_PREFILL_INTERCEPTS = 3.0  # a sample counts while its prefill takes at most this many median intercepts
LIGHT_TTFT_STEP_MAX_FACTOR = 4.0  # where samples are rare, one moves the median at most this many times as far
LIGHT_TTFT_MAX_TOKEN_AIMS = 8.0  # upper limit of the median, in longest token aims: more than enough to shed all
CLASS_PROBE_GIVE_UPS = 1.0  # give_up times of a class without any request sent on, after which one is let through
# Part of an equal share of this gateway's streams that a class may have whatever the others hold, at least one
# stream.
CLASS_RESERVED_PART = 0.5
CLASS_REQUESTS_DECAY = 0.8  # factor at each interval on the requests counted for a class
ON_TIME_STEP = 0.3  # weight of one attempt in its class's share of attempts that meet the aim
ON_TIME_START = 0.7  # that share while nothing is known: not above ON_TIME_MIN, so not enough
ON_TIME_MIN = 0.7  # up to this share a class without late worth has until its deadline, as the others have
CLASS_ACTIVE_REQUESTS = 0.3  # a class with no more recent requests than this counts as absent
PRIORITY_MAX_FACTOR = 1.6  # how far a class's worth raises or lowers the share of it that is shed
SHED_MOST = 0.9  # share of the requests; some are always sent, or no sample would show a recovery
OVER_SHARE_FACTOR = 1.5  # a tenant floods from this many times its share of the recent requests on
REFUSE_MARGIN = 1.2  # a prediction above this many times the time left can't earn anything

# Hedges and time-outs.
HEDGE_TIMES = 3.0  # predicted times to first token after which a second attempt is sent
HEDGE_RESERVE_PREDICTIONS = 1.3  # median predictions that have to fit before the aim for another attempt
PATIENCE_TIMES = 5.0  # a first token this many times as late as predicted means a hang and not a queue
PATIENCE_MAX_TIMEOUT_SHARE = 0.2  # unless more than this share of the recent attempts timed out
HEDGE_SHARE = 0.03  # second attempts, as a share of the requests
HEDGE_BURST = 4.0  # second attempts that may be saved up

# Warm-up budget of replicas that started a short time ago.
PEAK_WORK_DECAY = 0.97  # factor at each interval on the highest rate of work that a replica was seen to serve
LIKELY_CAPACITY_EXPONENT = 0.75  # a cold replica's least part of its capacity, to this power, is its likely part
COLD_CANDIDATES_MAX = 64  # cold replicas whose budget one pick checks, at most
COLD_PREFILL_PART = 0.5  # a prompt with more than this part to prefill at the best warm replica may go to a cold one
# Upper limit of the work that warm replicas are taken to serve, in the tenants' quotas, whatever was sent to them.
PEAK_WORK_MAX_QUOTAS = 2.5
COLD_SAFETY = 0.8  # part of a cold replica's budget that all gateways together may use
COLD_SAFETY_WHOLE_REQUESTS = 0.65  # the same where a gateway's part is so small that it is spent in whole requests
WARMUP_EXPIRY_PART = 1 / 8  # unspent whole requests expire after this part of tip_time
# Standard deviations (square roots of the budget in requests) that may be used beyond it; two would still be chance.
WARMUP_CHANCE_DEVIATIONS = 1.5

# Concurrency limit: streams at a warm replica, of all gateways together.
CONCURRENCY_START = 40.0  # streams, before anything is known
CONCURRENCY_DECREASE = 0.87  # factor at a late first token
CONCURRENCY_INCREASE = 1.04  # factor at a first token in time while the limit is nearly used
CONCURRENCY_INCREASE_START = 1.08  # the same before the first late one
CONCURRENCY_MIN = 10.0  # streams
CONCURRENCY_MAX = 400.0  # streams
CONCURRENCY_USED_PART = 0.45  # the limit counts as nearly used from this part on: streams arrive at random
CONCURRENCY_PREFERRED = 1.5  # factor on the limit for requests whose beginning is preferred there
CONCURRENCY_OTHERS = 0.75  # factor on the limit for all other requests
LATE_AIM_PART = 0.5  # a first token after this part of the aim shows saturation,
LATE_IDLE_FACTOR = 4.0  # if it also takes this many times as long as on an idle replica: no limit improves on that
PREFILL_TIME_STEP = 0.1  # how far a sample moves the time that a prompt token takes on an idle replica
PREFILL_TIME_QUANTILE = 0.1  # the part of the samples that lies below that time

# Retries, and the backoff after refused connects.
RETRY_SHARE = 0.5  # attempts after a time-out, as a share of the requests: retries don't multiply a general failure
RETRY_BURST = 5.0  # such attempts that may be saved up
REPEAT_TRANSIT_US = 100_000  # from the first byte of a repeat to its arrival at the replica
CONNECT_BACKOFF_FIRST_AIMS = 0.25  # shortest aims for which the first refused connect keeps a replica out of the pick
CONNECT_BACKOFF_MAX_AIMS = 8.0  # doubled at each consecutive refusal, up to this many shortest aims


class _Attempt:
    """One sending of a request to a replica. `replica` stays valid after the list has dropped it."""

    __slots__ = ("replica", "number", "sent_at", "zone", "cell", "predicted", "load", "streams", "prefill_tokens",
                 "cache_entry_age", "result", "waiting", "connect_timed_out", "likely_capacity")  # fmt: skip

    def __init__(
        self,
        replica: _Replica,
        number: int,
        sent_at: int,
        predicted: float,
        prefill_tokens: float,
        likely_capacity: float,
    ) -> None:
        self.replica = replica
        self.likely_capacity = likely_capacity  # the part of its capacity that the replica likely had
        self.number = number
        self.sent_at = sent_at
        self.zone = replica.zone
        self.cell = replica.cell
        self.predicted = predicted  # time to first token, in microseconds
        self.load = (replica.prefill_tokens + prefill_tokens) / 1000  # thousands of tokens to prefill, with its own
        self.streams = replica.streams  # own streams at the replica before it
        self.prefill_tokens = prefill_tokens  # of its own prompt
        self.cache_entry_age = -1  # of the belief that its prefix is cached there, in microseconds; -1: none
        self.result = -1  # in flight
        self.waiting = True  # for its first token
        self.connect_timed_out = False  # a refused connect, in contrast, shows that the replica can be reached


class _PendingRequest:
    """A request that this gateway has accepted, until it is answered and its attempts have ended."""

    __slots__ = ("request", "klass", "state", "first_asked_at", "aim_at", "useful_until", "attempts", "in_flight",
                 "answered", "streaming", "hedge_at", "preferred_ring", "preferred_start", "preferred_count",
                 "session_index")  # fmt: skip

    def __init__(
        self, request: Request, klass: RequestClass, first_asked_at: int, state: _ClassState | None = None
    ) -> None:
        self.request = request
        self.klass = klass
        self.state = state or _ClassState()
        self.first_asked_at = first_asked_at  # when its client asked first, as far as this gateway knows
        self.aim_at = first_asked_at + klass.aim + int(klass.aim_per_1000_tokens * request.prompt_tokens / 1000)
        self.useful_until = request.deadline  # an answer that begins later earns nothing
        self.attempts: list[_Attempt] = []
        self.in_flight = 0  # attempts without an outcome
        self.answered = False
        self.streaming = False
        self.hedge_at = 0  # when a second attempt is due; 0: none
        self.preferred_ring: list[_Replica] | None = None  # the ring to which the three fields below refer
        self.preferred_start = 0  # index of the prefix's first preferred replica
        self.preferred_count = 0  # how many follow each other from there
        self.session_index = -1  # index of the session's own preferred replica; -1: none


class _ClassState:
    """What this gateway knows of one class of requests."""

    __slots__ = ("recent_requests", "in_flight", "last_sent_at", "on_time_share", "hedge_budget", "retry_budget")

    def __init__(self) -> None:
        self.recent_requests = 0.0  # decayed count
        self.in_flight = 0  # own attempts without an outcome
        self.last_sent_at = 0
        self.on_time_share = ON_TIME_START  # recent share of attempts whose first token came before the aim
        self.hedge_budget = HEDGE_BURST  # second attempts that may be sent
        self.retry_budget = RETRY_BURST  # attempts after a time-out that may be sent


class _Replica:
    """What this gateway knows of one replica: its entry in the list, its results and its fit.

    The fit predicts the time to first token, in microseconds: w0 + w1 * (thousands of tokens to prefill) + w2 * (own
    streams). p00 to p22 are the covariances of these weights.
    """

    __slots__ = ("id", "zone", "cell", "kind", "ring_hash", "ring_index", "ready", "started",
                 "consecutive_5xx", "consecutive_gateway_failure", "successes", "volume", "volume_intervals",
                 "multiplier", "ejected_until",
                 "w0", "w1", "w2", "p00", "p01", "p02", "p11", "p12", "p22", "fitted_at",
                 "failure_share", "full_until", "connect_backoff_until", "connect_backoff", "waiting",
                 "prefill_tokens", "streams", "cached", "cache_time", "unexpected_hit_share", "limit_rounding",
                 "warmup_overdraft", "warmup_unexpired", "warmup_updated_at")  # fmt: skip

    def __init__(self, entry: Replica) -> None:
        self.id = entry.id
        self.ring_hash = _hash64(entry.id)  # its order on the ring
        # Added to this gateway's limit of streams before it is rounded down, from 0 to 1: where the limit is a part
        # of a stream, some gateways have one stream and the others none.
        self.limit_rounding = 0.0
        self.ring_index = 0
        self.waiting: dict[_Attempt, None] = {}  # own attempts without a first token, oldest first
        self.prefill_tokens = 0.0  # prompt tokens that these still have to have prefilled
        self.streams = 0  # own attempts in flight
        self.ready = False
        self.renew(entry)

    def renew(self, entry: Replica) -> None:
        """Forgets what was learned of the previous process. Attempts in flight still count."""
        self.zone = entry.zone
        self.cell = entry.cell
        self.kind = entry.kind
        self.started = entry.started
        self.consecutive_5xx = 0
        self.consecutive_gateway_failure = 0
        self.successes = 0
        self.volume = 0  # attempts that ended, whether well or not
        self.volume_intervals = 0  # intervals over which both were counted
        self.multiplier = 0  # of base_ejection_time at the last ejection
        self.ejected_until = 0
        self.w0 = self.w1 = self.w2 = 0.0
        self.p00 = self.p01 = self.p02 = self.p11 = self.p12 = self.p22 = 0.0
        self.fitted_at = -1  # when the fit had its last sample; -1: never
        self.failure_share = 0.0  # recent share of attempts that failed
        self.full_until = 0
        self.connect_backoff_until = 0
        self.connect_backoff = 0  # for how long it was left out after its last refused connect
        self.cached: dict[int, tuple[float, int]] = {}  # session or ~prefix: tokens believed cached, since when
        self.cache_time = 1 << 50  # for how long a prompt is believed to stay cached
        self.unexpected_hit_share = 0.0  # part of a prefix found cached where that was not believed
        self.warmup_overdraft = 0.0  # tokens of work sent beyond the warm-up budget; below 0: budget left unspent
        self.warmup_unexpired = 0.0  # how much unspent budget is kept before it expires
        self.warmup_updated_at = -1  # when both were computed last; -1: no budget in use


def _hash64(id: int) -> int:
    """A well mixed hash of 64 bits, the same at all gateways."""
    mixed = (id + 0x9E3779B97F4A7C15) * 0xBF58476D1CE4E5B9 & (1 << 64) - 1
    return (mixed ^ mixed >> 29) * 0x94D049BB133111EB & (1 << 64) - 1


def _ring_hash(replica: _Replica) -> int:
    return replica.ring_hash


def _median_weights(fits: list[_Replica]) -> tuple[float, float, float]:
    """The median of each weight of the fits."""
    half = len(fits) // 2
    return (
        sorted(r.w0 for r in fits)[half],
        sorted(r.w1 for r in fits)[half],
        sorted(r.w2 for r in fits)[half],
    )


class Router:
    """The decisions of one gateway."""

    def __init__(self, settings: Settings, seed: int) -> None:
        self._apply_settings(settings)
        self.random = Random(seed).random
        self.salt = _hash64(seed)
        self.now = 0
        self.actions: list[Action] = []
        self.pending: dict[int, _PendingRequest] = {}  # by request id
        self.queued: dict[int, _PendingRequest] = {}  # those of them without a replica to send to yet
        self.replicas: dict[int, _Replica] = {}
        self.near: list[_Replica] = []  # ready, not ejected, in this gateway's zone
        self.far: list[_Replica] = []  # the same in all other zones
        self.ready = 0  # replicas, ejected ones included
        self.max_ready = 0
        self.ejected = 0
        self.next_ejection_end = 1 << 62
        self.interval_ends_at = 0
        # The weights for replicas without samples: intercept, a thousand tokens to prefill, a stream.
        self.median_weights = (self.shortest_aim / 10, self.shortest_aim / 8, self.shortest_aim / 100)
        self.kind_medians: dict[int, tuple[float, float, float]] = {}  # by kind, where enough replicas have samples
        self.median_learned = False  # the median comes from samples
        self.timeout_share = 0.0  # recent share of time-outs over all replicas
        self.states = [_ClassState() for _ in settings.classes]
        self.concurrency_limit = CONCURRENCY_START / settings.gateways  # own streams for a warm replica's capacity
        self.saturated = False  # a late first token was seen
        self.capacity = 1.0  # of the ready replicas, in warm ones
        self.capacity_updated_at = -1
        self.in_flight = 0  # own attempts without an outcome
        self.stream_cost = 0.0  # microseconds that one stream adds to a replica's score, in the current pick
        self.zone_failure_share = [0.0] * settings.zones  # recent share of time-outs and failed connects
        self.zone_shortest_ttft = [1 << 62] * settings.zones
        self.prefill_time = 0.0  # microseconds that a prompt token takes on an idle replica; 0: no sample yet
        # Running median of the time to first token where there is little to prefill: about two decode steps. It
        # starts so low that nothing is shed before there are samples.
        self.light_ttft = min((klass.token_aim for klass in settings.classes if klass.token_aim), default=1.0)
        self.light_ttft_at = 0  # its last sample
        self.token_aim = 0.0  # running mean over the requests that have one; 0: none of them has
        self.mean_worth = 0.0  # running mean over the requests
        self.first_tries: dict[tuple[int, float], int] = {}  # refused session and prompt tokens: when it came first
        self.tenant_request_share = list(settings.tenant_shares)  # each tenant's part of the recent requests here
        self.holders: dict[int, list[int]] = {}  # session or ~prefix: ids of replicas believed to have it cached
        self.prefix_requests: dict[int, float] = {}  # recent requests of each prefix here
        self.prefix_requests_total = 0.0
        self.ring: list[_Replica] = []  # ready replicas of all zones, ordered by hash; a new list at each change
        self.session_hit_share = 0.5  # part of a prompt found cached at its session's own preferred replica
        self.preferred_hit_share = 0.5  # part of a prefix found cached at preferred replicas, sent there by others
        self.work_sent = 0.0  # tokens, since the last interval ended
        self.work_rate = 0.0  # tokens a second, of this gateway for each warm replica
        self.usual_work = 0.0  # running mean of a request's work, in tokens; 0: no request yet
        self.peak_work_rate = 0.0  # recent maximum of work_rate
        self.cold: list[_Replica] = []  # ready, and started less than cold_time ago
        self.expired_allowance = 0  # requests of expired warm-up budgets that may still be sent in the current period
        self.expired_allowance_period = -1
        self.subscription = Subscription(settings, self.random)
        self._handlers: dict[type, Any] = {
            Request: self._on_request,
            FirstToken: self._on_first_token,
            Outcome: self._on_outcome,
            Timer: self._on_timer,
            ClientGone: self._on_client_gone,
            ReplicaList: self._on_list,
        }

    def _apply_settings(self, settings: Settings) -> None:
        self.settings = settings
        longest = max(max(klass.aim, klass.give_up // 20) for klass in settings.classes)
        # A floor, as one class with a very short aim must not shorten what is remembered for all classes.
        self.shortest_aim = max(min(klass.aim for klass in settings.classes), longest // 20, 1)
        self.interval = int(INTERVAL_AIMS * longest)
        self.base_ejection_time = int(BASE_EJECTION_AIMS * longest)
        self.max_ejection_time = MAX_EJECTION_TIMES * self.base_ejection_time
        self.fit_lifetime = FIT_LIFETIME_AIMS * longest
        self.zone_crossing_cost = ZONE_CROSSING_AIMS * settings.cross_zone_price * self.shortest_aim
        token_aims = [klass.token_aim for klass in settings.classes if klass.token_aim] or [1.0]
        # Without a maximum a burst would keep load shed long after it has ended.
        self.light_ttft_max = LIGHT_TTFT_MAX_TOKEN_AIMS * max(token_aims)

    def reconfigure(self, settings: Settings, classes: Sequence[int], tenants: Sequence[int]) -> None:
        """Takes over other classes, tenants and limits.

        `classes` and `tenants` give each one's index before, or -1. Pending requests keep the class they began with.
        """
        self.states = [self.states[old] if old >= 0 else _ClassState() for old in classes]
        shares = settings.tenant_shares
        self.tenant_request_share = [
            self.tenant_request_share[old] if old >= 0 else shares[new] for new, old in enumerate(tenants)
        ]
        self._apply_settings(settings)
        self.subscription.settings = settings

    def start(self, now: int) -> list[Action]:
        self.now = now
        self.interval_ends_at = now + self.interval
        self.actions = self.subscription.start(now)
        return self.actions

    def handle(self, now: int, event: Event) -> list[Action]:
        self.now = now
        self.actions = []
        if now >= self.interval_ends_at:
            self._end_interval()
        if now >= self.next_ejection_end:
            self._rebuild_pools()
        if handler := self._handlers.get(type(event)):  # load reports and peer messages affect no decision
            handler(event)
        return self.actions

    # -- requests ------------------------------------------------------------------------------------------

    def _on_request(self, request: Request) -> None:
        if request.id in self.pending:
            return
        classes = self.settings.classes
        if request.class_index >= len(classes) or request.deadline <= self.now:
            self.actions.append(Refuse(request.id, why="class or deadline"))
            return
        klass = classes[request.class_index]
        first_asked_at = self.now
        if request.session:
            # A client that comes back after a refusal sends the same prompt; its aim runs from its first try. Served
            # as new requests, such repeats would prolong an overload with work that can't earn anything.
            first_try = self.first_tries.get((request.session, request.prompt_tokens), first_asked_at)
            first_asked_at = first_try if first_asked_at - first_try < klass.give_up else first_asked_at
        state = self.states[request.class_index]
        state.recent_requests += 1.0
        self.mean_worth += 0.05 * (klass.worth - self.mean_worth) if self.mean_worth else klass.worth
        state.hedge_budget = min(HEDGE_BURST, state.hedge_budget + HEDGE_SHARE)
        state.retry_budget = min(RETRY_BURST, state.retry_budget + RETRY_SHARE)
        pending = _PendingRequest(request, klass, first_asked_at, state)
        if klass.late_worth <= 0 and state.on_time_share > ON_TIME_MIN:  # else its client waits longer anyway
            pending.useful_until = min(request.deadline, pending.aim_at)
        work = request.prompt_tokens + DECODE_WORK_TOKENS
        self.usual_work += 0.02 * (work - self.usual_work) if self.usual_work else work
        if klass.token_aim:
            self.token_aim += 0.05 * (klass.token_aim - self.token_aim) if self.token_aim else klass.token_aim
        if request.tenant < len(self.tenant_request_share):
            self.tenant_request_share = [0.98 * share for share in self.tenant_request_share]
            self.tenant_request_share[request.tenant] += 0.02
        if request.prefix:
            self._count_prefix_request(request.prefix)
        self.pending[request.id] = pending
        self._dispatch(pending)

    def _dispatch(self, pending: _PendingRequest) -> None:
        """Sends the next attempt of a request that has none in flight, queues the request, or ends it."""
        left = pending.useful_until - self.now
        if left > 0 and self.subscription.awaits_list:
            self._enqueue_until_list(pending, left)
            return
        if left <= 0 or len(pending.attempts) >= self.settings.max_attempts or not self._may_resend(pending):
            self._refuse_or_fail(pending, "too late" if left <= 0 else "attempts")
            return
        pending.preferred_ring = None  # the prefixes' shares have changed since the last attempt
        replica, predicted = self._pick_replica(pending, left)
        if replica is None:
            self._enqueue(pending, left)
        elif (why := self._refusal_reason(pending, replica, predicted, left)) and self._may_refuse(pending):
            self._refuse_or_fail(pending, why)
        else:
            self._send(pending, replica, predicted, left)

    def _needs_class_probe(self, pending: _PendingRequest) -> bool:
        """Whether it is let through as a probe: no request of its class was sent on for a give-up time.

        Without probes, what was learned against the class would never be corrected.
        """
        return (
            not pending.attempts
            and self.now - pending.state.last_sent_at > CLASS_PROBE_GIVE_UPS * pending.klass.give_up
        )

    def _refusal_reason(self, pending: _PendingRequest, replica: _Replica, predicted: float, left: int) -> str:
        """Why the request should not be sent to the best replica found; empty if it should.

        The replica would answer too late, or tokens come too slowly everywhere. Then a refusal costs this request
        nothing and relieves the others.
        """
        if self._needs_class_probe(pending):
            return ""
        if self._should_shed(pending):
            return "pace"
        # Every replica is preferred for some requests, with a higher limit. So the streams at all of them together
        # are bounded as well, or an overload by hundreds of gateways would never end. Sent to another replica the
        # prompt would have to be prefilled anew, and there is no capacity for that either.
        limit = max(1.0, CONCURRENCY_PREFERRED * self.concurrency_limit * self._ready_capacity())
        full = (self.saturated and self.in_flight >= limit) or replica.streams >= self._stream_limit(replica, pending)
        if full and pending.state.in_flight >= self._class_reserved_streams(limit):
            return "crowded"  # no capacity anywhere: one more stream would make all the others there late
        if pending.attempts and predicted > left:
            return "again"  # a useless retry, over a connection that costs the replica a handshake
        if left < self.light_ttft:
            return "too late"  # no replica begins so soon: of 403 requests sent so late 13 got a first token
        if not replica.waiting and (replica.fitted_at < 0 or self.now - replica.fitted_at > self.shortest_aim):
            return ""  # a probe is sent anyway, so that a wrong prediction can't refuse requests forever
        return "predicted" if predicted > REFUSE_MARGIN * left else ""

    def _should_shed(self, pending: _PendingRequest) -> bool:
        """Sheds load in proportion to how slowly tokens come everywhere.

        It needs no sample of the replica picked: in a large fleet there is hardly ever a recent one, and nothing
        would be shed. The measure is one for all classes, by the mean token aim. By its own token aim, a class that
        wants tokens sooner than the others would be refused nearly completely while the others are let in.
        """
        over = self.light_ttft / (PACE * self.token_aim) - 1 if self.token_aim else 0.0
        if over <= 0:
            return False
        if self._exceeds_tenant_share(pending.request.tenant):
            return True
        return self.random() < min(SHED_GAIN * over / self._priority(pending), SHED_MOST)

    def _class_reserved_streams(self, limit: float) -> float:
        """Own streams that a class may have whatever the others hold, where several classes are active.

        All classes share one limit: what some of them taught it, or use of it, must not keep another one out.
        """
        asking = sum(state.recent_requests > CLASS_ACTIVE_REQUESTS for state in self.states)
        return max(1.0, CLASS_RESERVED_PART * limit / asking) if asking > 1 else 0.0

    def _stream_limit(self, replica: _Replica, pending: _PendingRequest) -> int:
        """How many own streams the replica may have.

        Streams share a replica's decode steps and memory: above some number each further one slows down all, and
        first tokens stop coming. That number is learned from how late first tokens come. Where it is less than one
        for each gateway, each gateway uses a part of the replicas, and each one another part.
        """
        preferred = self._is_preferred(replica, pending) or pending.session_index == replica.ring_index
        limit = self.concurrency_limit * (CONCURRENCY_PREFERRED if preferred else CONCURRENCY_OTHERS)
        if limit < 1.0 and (preferred or not self.saturated):
            limit = 1.0  # using a part of the replicas wastes the others' caches, so not before it is needed
        return int(limit * self._likely_capacity(replica) + replica.limit_rounding)

    def _ready_capacity(self) -> float:
        """The capacity of the ready replicas, in warm ones; computed at most twelve times an interval."""
        if self.now - self.capacity_updated_at > self.interval // 12:
            self.capacity_updated_at = self.now
            self.capacity = max(
                0.5,
                sum(self._likely_capacity(r) for r in self.near) + sum(self._likely_capacity(r) for r in self.far),
            )
        return self.capacity

    def _likely_capacity(self, replica: _Replica) -> float:
        """The part of its capacity that a replica likely has: between the least that it may have and 1."""
        least = self._least_capacity(replica)
        return least**LIKELY_CAPACITY_EXPONENT if least < 1.0 else 1.0

    def _learn_concurrency_limit(self, pending: _PendingRequest, attempt: _Attempt, took: int) -> None:
        """Lowers the limit at a late first token, raises it at others; `took` is in microseconds.

        A late first token shows saturation, unless an idle replica is about as late. A limit learned from an aim that
        can't be met would fall to its minimum, and keep out requests without a preferred replica.
        """
        if self._likely_capacity(attempt.replica) < 1.0:
            return  # it is slow because it is cold
        lowest, highest = CONCURRENCY_MIN / self.settings.gateways, CONCURRENCY_MAX / self.settings.gateways
        streams_each = self.in_flight / self._ready_capacity()
        shortest = min(self.zone_shortest_ttft)
        if attempt.prefill_tokens > 0:
            sample = max(0, took - shortest) / attempt.prefill_tokens
            step = PREFILL_TIME_STEP * (
                PREFILL_TIME_QUANTILE - 1 if sample < self.prefill_time else PREFILL_TIME_QUANTILE
            )
            self.prefill_time = self.prefill_time * (1 + step) or sample
        idle_ttft = shortest + self.prefill_time * pending.request.prompt_tokens  # with nothing cached
        if took > max(LATE_AIM_PART * (pending.aim_at - pending.first_asked_at), LATE_IDLE_FACTOR * idle_ttft):
            self.saturated = True
            self.concurrency_limit = max(
                lowest, min(self.concurrency_limit, 1.2 * streams_each) * CONCURRENCY_DECREASE
            )
        elif streams_each > CONCURRENCY_USED_PART * self.concurrency_limit:
            self.concurrency_limit = min(
                highest,
                self.concurrency_limit * (CONCURRENCY_INCREASE if self.saturated else CONCURRENCY_INCREASE_START),
            )

    def _exceeds_tenant_share(self, tenant: int) -> bool:
        """Whether this request counts as one beyond its tenant's share: drawn at random, in proportion.

        One tenant's flood must not use up the capacity that the others are entitled to.
        """
        shares = self.settings.tenant_shares
        if tenant >= len(shares) or self.settings.over_share_worth >= 1:
            return False
        return self.random() * self.tenant_request_share[tenant] > OVER_SHARE_FACTOR * shares[tenant]

    def _priority(self, pending: _PendingRequest) -> float:
        """The request's worth in mean worths, within limits: under overload, higher ones are shed less."""
        return min(PRIORITY_MAX_FACTOR, max(1 / PRIORITY_MAX_FACTOR, pending.klass.worth / (self.mean_worth or 1.0)))

    def _enqueue(self, pending: _PendingRequest, left: int) -> None:
        """Queues a request, and sets the timer for its next try."""
        self.queued[pending.request.id] = pending
        step = max(2 * self.settings.tick, self.shortest_aim // 10)
        self.actions.append(SetTimer(max(1, min(step, left)), pending.request.id))

    def _enqueue_until_list(self, pending: _PendingRequest, left: int) -> None:
        """Queues a request until the list is verified, and calls discovery if nothing did yet."""
        self.actions += self.subscription.call_if_none_yet(self.now)
        self._enqueue(pending, left)

    def _refuse_or_fail(self, pending: _PendingRequest, why: str) -> None:
        """Gives the final answer where no replica did: a refusal if that is true of the request, else a failure."""
        refuse = self._may_refuse(pending)
        self._cancel_in_flight(pending)
        id = pending.request.id
        self.actions.append(Refuse(id, self.settings.max_retry_after, why) if refuse else Fail(id, why))
        self._remember_first_try(pending)
        self._finish(pending)

    def _count_prefix_request(self, prefix: int) -> None:
        """Clients choose the prefixes: of too many, those that were asked for least recently are dropped."""
        counts = self.prefix_requests
        counts[prefix] = counts.pop(prefix, 0.0) + 1.0
        self.prefix_requests_total += 1.0
        if len(counts) > REMEMBERED_KEYS_MAX:
            self.prefix_requests_total -= counts.pop(next(iter(counts)))

    def _remember_first_try(self, pending: _PendingRequest) -> None:
        """Remembers when an unserved request came first, for the aim of its repeats."""
        request = pending.request
        if request.session:
            self.first_tries[request.session, request.prompt_tokens] = pending.first_asked_at
            if len(self.first_tries) > REMEMBERED_KEYS_MAX:
                del self.first_tries[next(iter(self.first_tries))]

    def _finish(self, pending: _PendingRequest) -> None:
        """Marks a request as answered, and drops it once none of its attempts is in flight."""
        pending.answered = True
        self.queued.pop(pending.request.id, None)
        if not pending.in_flight:
            del self.pending[pending.request.id]

    def _cancel_in_flight(self, pending: _PendingRequest, keep: int = -1) -> None:
        """Cancels a request's attempts in flight, but for the one with the number `keep`."""
        if self.settings.may_cancel and pending.in_flight:
            for attempt in pending.attempts:
                if attempt.result < 0 and attempt.number != keep:
                    self.actions.append(Cancel(pending.request.id, attempt.number))

    # Rule 2. An attempt may have run unless its outcome proves otherwise; one in flight may still run.

    def _first_that_may_have_run(self, pending: _PendingRequest) -> _Attempt | None:
        return next((attempt for attempt in pending.attempts if attempt.result not in NEVER_RAN), None)

    def _may_resend(self, pending: _PendingRequest) -> bool:
        """Whether a further attempt does no harm, if it goes to a replica that `_group_allows`."""
        if pending.klass.effect == Effect.PURE or not pending.attempts:
            return True
        first = self._first_that_may_have_run(pending)
        if first is None:
            return True
        if pending.klass.effect == Effect.SIDE_EFFECT:
            return False
        # The repeat has to arrive within the window, and its connection may take up to the connect timeout.
        arrives_by = self.now + self.settings.connect_timeout + REPEAT_TRANSIT_US
        return arrives_by < first.sent_at + pending.klass.window

    def may_refuse(self, id: int) -> bool:
        """Whether a refusal would be true of a request: it promises that trying again does no harm."""
        pending = self.pending.get(id)
        return pending is None or self._may_refuse(pending)

    def _may_refuse(self, pending: _PendingRequest) -> bool:
        klass = pending.klass
        if klass.effect == Effect.PURE or (klass.effect == Effect.TOKEN and klass.scope == Scope.ALL):
            return True
        return self._first_that_may_have_run(pending) is None

    def _group_allows(self, pending: _PendingRequest, replica: _Replica) -> bool:
        """Whether a further attempt may go to this replica, by the group in which repeats are dropped."""
        klass = pending.klass
        if klass.effect != Effect.TOKEN or klass.scope == Scope.ALL or not pending.attempts:
            return True
        first = self._first_that_may_have_run(pending)
        if first is None:
            return True
        return replica.zone == first.zone if klass.scope == Scope.ZONE else replica.cell == first.cell

    def _send(self, pending: _PendingRequest, replica: _Replica, predicted: float, left: int) -> None:
        """Sends an attempt, and sets its timeout or the time of a hedge; times are in microseconds."""
        now, settings, request = self.now, self.settings, pending.request
        prefill_tokens = self._prefill_tokens(replica, pending)
        attempt = _Attempt(
            replica, len(pending.attempts), now, predicted, prefill_tokens, self._likely_capacity(replica)
        )
        if request.prefix:
            entry = replica.cached.get(~request.prefix)
            if entry:
                attempt.cache_entry_age = now - entry[1]
            self._remember_cached(replica, ~request.prefix, request.prefix_tokens)
        if request.session:
            self._remember_cached(replica, request.session, request.prompt_tokens)
        pending.attempts.append(attempt)
        pending.in_flight += 1
        self.in_flight += 1
        pending.state.last_sent_at = now
        pending.state.in_flight += 1
        replica.waiting[attempt] = None
        replica.prefill_tokens += prefill_tokens
        replica.streams += 1
        work = request.prompt_tokens + DECODE_WORK_TOKENS
        self.work_sent += work
        if replica.warmup_updated_at >= 0:
            if replica.warmup_overdraft < -replica.warmup_unexpired:
                self.expired_allowance -= 1
            replica.warmup_overdraft += work
        self.queued.pop(request.id, None)
        timeout = 0
        if pending.klass.effect != Effect.SIDE_EFFECT and self._may_refuse(pending):
            # An attempt that can't earn any more is cancelled in time for a refusal before the aim has passed.
            timeout = max(1, left - 2 * settings.tick)
            m0, m1, m2 = self.median_weights
            next_attempt = HEDGE_RESERVE_PREDICTIONS * (m0 + m1 * request.prompt_tokens / 1000)
            wait_limit = timeout - next_attempt
            if settings.second_copies:
                wait_limit = min(max(HEDGE_TIMES * predicted, left / 4), wait_limit)
            # Without hedges, giving up wastes the work done: the attempt runs until another one just fits.
            if wait_limit > 1.2 * predicted and len(pending.attempts) < settings.max_attempts:
                if settings.second_copies and settings.may_cancel:
                    pending.hedge_at = now + int(wait_limit)
                    self.actions.append(SetTimer(int(wait_limit), request.id))
                # Where many attempts are late, all replicas may take as long. The prefill done is lost with the
                # attempt, and the next one has to repeat it in another replica's queue.
                elif self.timeout_share < PATIENCE_MAX_TIMEOUT_SHARE:
                    timeout = int(wait_limit)
                    # A hung attempt is given up while another one still fits before the aim, not just the deadline.
                    before_aim = int(pending.aim_at - now - next_attempt)
                    if self.median_learned and before_aim > PATIENCE_TIMES * predicted:
                        timeout = min(timeout, before_aim)
        self.actions.append(Send(request.id, replica.id, timeout))

    def _on_timer(self, timer: Timer) -> None:
        if timer.tag == SUBSCRIBE_TAG:
            self.actions += self.subscription.on_timer(self.now)
            return
        if timer.tag == INITIAL_FETCH_TAG:
            if not self.list_verified:
                self.subscription.on_initial_fetch_timeout()
                self._rebuild_pools()
            return
        pending = self.pending.get(timer.tag)
        if pending is None or pending.answered or pending.streaming:
            return
        if not pending.in_flight:
            self._dispatch(pending)
        elif pending.hedge_at and self.now >= pending.hedge_at:
            pending.hedge_at = 0
            self._hedge(pending)

    def _hedge(self, pending: _PendingRequest) -> None:
        """Sends a second attempt while it can still earn: the first may hang, or queue behind a long prompt."""
        left, state = pending.useful_until - self.now, pending.state
        if pending.in_flight != 1 or len(pending.attempts) >= self.settings.max_attempts:
            return
        if state.hedge_budget < 1 or not self._may_resend(pending):
            return
        replica, predicted = self._pick_replica(pending, left)
        if replica is None or predicted > left or replica is pending.attempts[-1].replica:
            return
        state.hedge_budget -= 1
        self._send(pending, replica, predicted, left)
        pending.hedge_at = 0

    def _on_first_token(self, event: FirstToken) -> None:
        pending = self.pending.get(event.request)
        if pending is None or event.attempt >= len(pending.attempts):
            return
        attempt = pending.attempts[event.attempt]
        if not attempt.waiting or attempt.result >= 0:
            return
        self._stop_waiting(attempt)
        pending.state.on_time_share += ON_TIME_STEP * ((self.now <= pending.aim_at) - pending.state.on_time_share)
        self._learn_fit(attempt, event.took)
        self._learn_concurrency_limit(pending, attempt, event.took)
        # Envoy counts an answer when it begins. Counted seconds later, at its end, a busy replica that still answers
        # would be ejected for consecutive time-outs among its first tokens.
        self._count_result(attempt.replica, Result.OK)
        if not pending.streaming:
            pending.streaming = True
            self._cancel_in_flight(pending, attempt.number)

    def _on_outcome(self, event: Outcome) -> None:
        pending = self.pending.get(event.request)
        if pending is None or event.attempt >= len(pending.attempts):
            return
        attempt = pending.attempts[event.attempt]
        if attempt.result >= 0:
            return
        attempt.result = event.result
        state = pending.state
        state.in_flight -= 1
        pending.in_flight -= 1
        self.in_flight -= 1
        replica = attempt.replica
        replica.streams -= 1
        waiting = attempt.waiting
        if waiting:
            self._stop_waiting(attempt)
            state.on_time_share -= ON_TIME_STEP * state.on_time_share * (event.result == Result.TIMEOUT)
            if event.result == Result.OK:
                self._learn_fit(attempt, event.took)
            elif event.took > attempt.predicted and event.result in (Result.TIMEOUT, Result.CANCELLED):
                self._learn_fit(attempt, event.took)  # it would have taken at least this long
                self._learn_concurrency_limit(pending, attempt, event.took)
        if event.result == Result.OK:
            replica.connect_backoff = 0
            self._learn_cache_hit(attempt, pending, event.kept_tokens)
        elif event.result == Result.FULL:
            replica.full_until = self.now + self.shortest_aim // 4
        elif event.result == Result.CONNECT_FAILED:
            attempt.connect_timed_out = event.took >= self.settings.connect_timeout // 2
            self._back_off_connects(replica)
        if waiting or event.result != Result.OK:
            self._count_result(replica, event.result)
        if event.done or pending.answered:
            if not pending.answered:
                self._cancel_in_flight(pending)
            self._finish(pending)
        elif not pending.in_flight:
            pending.streaming = False
            if event.result == Result.TIMEOUT:
                if state.retry_budget < 1.0:
                    self._refuse_or_fail(pending, "retries")
                    return
                state.retry_budget -= 1.0
            self._dispatch(pending)

    def _on_client_gone(self, event: ClientGone) -> None:
        pending = self.pending.get(event.request)
        if pending is not None and not pending.answered:
            self._cancel_in_flight(pending)
            self._remember_first_try(pending)
            self._finish(pending)

    def _back_off_connects(self, replica: _Replica) -> None:
        """Leaves out a replica that refused a connect, for a time that doubles at each consecutive refusal.

        No process listens there, or its connection table is full. Where the list is late, a refused connect tells
        more than the list, and at once; three consecutive ones would cost three requests an attempt, at each gateway.
        """
        longest = int(CONNECT_BACKOFF_MAX_AIMS * self.shortest_aim)
        replica.connect_backoff = min(
            longest, max(int(CONNECT_BACKOFF_FIRST_AIMS * self.shortest_aim), 2 * replica.connect_backoff)
        )
        replica.connect_backoff_until = self.now + int(replica.connect_backoff * (0.5 + self.random()))

    def _stop_waiting(self, attempt: _Attempt) -> None:
        """Takes an attempt that got its first token, or ended, off the replica's prefill queue."""
        attempt.waiting = False
        replica = attempt.replica
        replica.waiting.pop(attempt, None)
        replica.prefill_tokens = max(0.0, replica.prefill_tokens - attempt.prefill_tokens) if replica.waiting else 0.0

    # -- the pick ------------------------------------------------------------------------------------------

    def _pick_replica(self, pending: _PendingRequest, left: int) -> tuple[_Replica | None, float]:
        """The replica with the lowest score, or None, and its predicted time to first token.

        The candidates are two random replicas, those that have the prompt's beginning cached, the preferred ones, and
        cold ones; `left` is the time left in microseconds.
        """
        # An own stream suggests that other gateways have streams there too, though not one for each gateway: where
        # each has few, one more or less is chance. The number it stands for assumes that loads scatter by about their
        # mean.
        gateways = self.settings.gateways
        fleet_streams = gateways * self.in_flight / max(1, len(self.near) + len(self.far))
        stands_for = gateways * max(1.0, fleet_streams) / (gateways + max(1.0, fleet_streams))
        self.stream_cost = STREAM_COST_AIMS * self.shortest_aim * stands_for / (STREAM_COST_KNEE + fleet_streams)
        best, best_score = self._best_of_two(pending, self.near, None, float("inf"))
        best, best_score = self._best_cache_holder(pending, True, best, best_score)
        best, best_score = self._best_preferred(pending, best, best_score)
        if self.cold:
            # Few cold replicas have budget left at any time: random draws alone would hardly find them.
            n, accepted = len(self.cold), 0
            # A prompt that has to be prefilled anyway goes where only the warm-up budget bounds capacity. By latency
            # alone the warm replicas would get all of them until they are overloaded, and cold ones would stay cold.
            mostly_prefill = (
                best is None
                or self._prefill_tokens(best, pending) > COLD_PREFILL_PART * pending.request.prompt_tokens
            )
            start = int(self.random() * n)
            for step in range(min(n, COLD_CANDIDATES_MAX)):
                one = self.cold[(start + step) % n]
                still_cold = self.now - one.started < self.settings.cold_time  # self.cold may be outdated
                if still_cold and one.ejected_until <= self.now and self._accepts(pending, one):
                    score = self._score(one, pending) + self._crossing_cost(one)
                    if score < best_score or (mostly_prefill and score < min(left, pending.aim_at - self.now)):
                        best, best_score, mostly_prefill = one, score, False
                    accepted += 1
                    if accepted == 2:
                        break
        if self.far and best_score > self.zone_crossing_cost:
            remote, remote_score = self._best_of_two(pending, self.far, None, best_score - self.zone_crossing_cost)
            remote, remote_score = self._best_cache_holder(pending, False, remote, remote_score)
            best = best if remote is None else remote
        if best is None:
            # Both random replicas may be excluded (tried, full, cold, not in the group): try all before giving up.
            pool = self.near + self.far
            for relaxed in (0, 1, 2):
                for replica in pool:
                    if replica.ready and self._accepts(pending, replica, relaxed):
                        score = self._score(replica, pending)
                        if score < best_score:
                            best, best_score = replica, score
                if best is not None:
                    break
        return best, self._predict_ttft(best, pending) if best is not None else best_score

    def _best_of_two(
        self, pending: _PendingRequest, pool: list[_Replica], best: _Replica | None, best_score: float
    ) -> Any:
        """The better one of `best` and two random replicas of the pool, with its score."""
        n = len(pool)
        if n > 2:
            one = int(self.random() * n)
            two = int(self.random() * (n - 1))
            pool = [pool[one], pool[two if two < one else two + 1]]
        for replica in pool:
            if self._accepts(pending, replica):
                score = self._score(replica, pending)
                if score < best_score:
                    best, best_score = replica, score
        return best, best_score

    def _best_preferred(self, pending: _PendingRequest, best: _Replica | None, best_score: float) -> Any:
        """The best one of `best`, two random preferred replicas of the prefix and the session's own, with its score.

        All gateways agree on the preferred replicas without communication. Spread over all replicas, each would have
        to prefill every prefix, and preferred ones in each zone would cache it once a zone. Crossing zones costs less
        than prefilling what another zone has cached.
        """
        ring = self._find_preferred(pending)
        if not ring:
            return best, best_score
        places = [pending.session_index] if pending.request.session else []
        if pending.preferred_count:
            one = int(self.random() * pending.preferred_count)
            two = int(self.random() * (pending.preferred_count - 1))
            places += [pending.preferred_start + one, pending.preferred_start + (two if two < one else two + 1)]
        for place in places:
            replica = ring[place % len(ring)]
            if replica is best or replica.ejected_until > self.now or not self._accepts(pending, replica):
                continue
            if pending.request.repeated and replica.ring_index == pending.session_index:
                continue  # all gateways send it there: a hung replica would get all of its tries
            score = self._score(replica, pending) + self._crossing_cost(replica)
            if score < best_score:
                best, best_score = replica, score
        return best, best_score

    def _find_preferred(self, pending: _PendingRequest) -> list[_Replica]:
        """Finds the request's preferred replicas; returns the ring to which their indexes refer.

        Those of a prefix follow each other on the ring, and a session's own one is among them.
        """
        ring = self.ring
        if pending.preferred_ring is ring:
            return ring
        pending.preferred_ring = ring
        request, n = pending.request, len(ring)
        pending.preferred_start, pending.preferred_count, pending.session_index = 0, 0, -1
        if request.prefix:
            pending.preferred_start = bisect_left(ring, _hash64(request.prefix), key=_ring_hash)
            # A few requests say little about the prefix's share, and gateways that disagree on the share disagree on
            # the sessions' replicas. So the default counts like PREFERRED_PRIOR_REQUESTS requests.
            default = max(PREFERRED_DEFAULT, PREFERRED_DEFAULT_PART * n)
            weighted = (
                PREFERRED_SHARE_FACTOR * n * self.prefix_requests.get(request.prefix, 0.0)
                + PREFERRED_PRIOR_REQUESTS * default
            )
            preferred_count = PREFERRED_MIN
            while preferred_count < min(n, weighted / (PREFERRED_PRIOR_REQUESTS + self.prefix_requests_total)):
                preferred_count *= 2
            pending.preferred_count = min(n, preferred_count)
        if request.session and n:
            # Rendezvous hashing among the prefix's replicas: one that joins or leaves moves its own sessions only.
            # Of many replicas a part is compared, from an index that depends on the session: else the same few would
            # be preferred by all sessions.
            session, highest_hash, candidates, start = request.session, -1, pending.preferred_count or n, 0
            if candidates >= n:
                start = bisect_left(ring, _hash64(session), key=_ring_hash) - pending.preferred_start
            elif candidates > SESSION_CANDIDATES_MAX:
                start = candidates * (_hash64(session) >> 32) >> 32
            for step in range(min(candidates, SESSION_CANDIDATES_MAX)):
                place = (pending.preferred_start + (start + step) % candidates) % n
                hashed = _hash64(ring[place].ring_hash ^ session)
                if hashed > highest_hash:
                    pending.session_index, highest_hash = place, hashed
        return ring

    def _crossing_cost(self, replica: _Replica) -> float:
        """Microseconds added to the score of a replica in another zone."""
        return self.zone_crossing_cost if replica.zone != self.settings.zone else 0.0

    def _best_cache_holder(
        self, pending: _PendingRequest, near: bool, best: _Replica | None, best_score: float
    ) -> Any:
        """The best one of `best` and up to three known holders of the session, and of the prefix, with its score.

        `near`: holders in this gateway's zone, else those in the others.
        """
        zone = self.settings.zone
        for key in (pending.request.session, ~pending.request.prefix):
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
                if self._accepts(pending, replica):
                    score = self._score(replica, pending)
                    if score < best_score:
                        best, best_score = replica, score
        return best, best_score

    def _score(self, replica: _Replica, pending: _PendingRequest) -> float:
        """What the pick compares, in microseconds: the predicted time to first token and a cost for each stream.

        An overloaded replica may start an answer soon and then generate tokens slowly, for all its streams. So
        streams count by themselves, against this gateway's mean.
        """
        return self._predict_ttft(replica, pending) + self.stream_cost * replica.streams

    def _accepts(self, pending: _PendingRequest, replica: _Replica, relaxed: int = 0) -> bool:
        """Whether the request may go to the replica now.

        `relaxed` 1 ignores the stream limit and the backoff after refused connects, 2 also the request's own failed
        attempts there.
        """
        if replica.full_until > self.now or (replica.connect_backoff_until > self.now and not relaxed):
            return False
        if pending.attempts:
            for attempt in pending.attempts:
                if relaxed > 1:
                    break
                # A zone that could not be reached is avoided: one that is cut off would use up all attempts.
                zone_unreachable = attempt.connect_timed_out and attempt.zone == replica.zone
                if attempt.replica is replica or (zone_unreachable and replica.zone != self.settings.zone):
                    return False
            if not self._group_allows(pending, replica):
                return False
        if replica.started and self.now - replica.started < self.settings.cold_time:
            if not self._within_warmup_budget(replica, pending.request):
                return False
        else:
            replica.warmup_updated_at = -1
        return relaxed > 0 or replica.streams < self._stream_limit(replica, pending)

    def _least_capacity(self, replica: _Replica) -> float:
        """The least part of its capacity that a replica can have by now, given when it started."""
        settings = self.settings
        age = max(0, self.now - replica.started)
        if not replica.started or age >= settings.cold_time:
            return 1.0
        return settings.cold_share + (1 - settings.cold_share) * age / settings.cold_time

    def _within_warmup_budget(self, replica: _Replica, request: Request) -> bool:
        """Rule 4: whether this gateway's part of a cold replica's warm-up budget allows a request now.

        Each gateway sends one request, then waits until the budget has paid for it. They begin at random points, so
        that not all send at once. Where that takes long, budget that isn't used soon expires: otherwise each of many
        gateways could save up one request, and all would send it at the same moment when the warm replicas fail.
        """
        settings = self.settings
        work = request.prompt_tokens + DECODE_WORK_TOKENS
        # The tenants' quota is given in requests, and so is what replicas can serve: requests of the mean work,
        # whether their prompts are cached or not. By the tokens to prefill, cold replicas stayed idle beside
        # overloaded ones.
        usual = self.usual_work or work
        if replica.warmup_updated_at < 0:
            replica.warmup_overdraft = self.random() * usual
            replica.warmup_updated_at = self.now
        quota = settings.quota_rate * usual / (max(1, self.max_ready) * settings.gateways)
        peak = min(self.peak_work_rate, PEAK_WORK_MAX_QUOTAS * quota or self.peak_work_rate)
        rate = max(peak, quota, work * 1e6 / (settings.cold_time * settings.gateways))
        budget_rate = settings.tip_multiple * rate * self._least_capacity(replica) / 1e6
        budget = budget_rate * settings.tip_time
        replica.warmup_unexpired = unexpired = WARMUP_EXPIRY_PART * budget
        expires = unexpired < usual
        overdraft = replica.warmup_overdraft - (self.now - replica.warmup_updated_at) * budget_rate * (
            COLD_SAFETY_WHOLE_REQUESTS if expires else COLD_SAFETY
        )
        replica.warmup_updated_at = self.now
        if overdraft < 0:  # where budget expires, only what accrued since the last whole request
            overdraft = -(-overdraft % usual) if expires else 0.0
        replica.warmup_overdraft = overdraft
        if overdraft < -unexpired:
            self._renew_expired_allowance(budget * settings.gateways / usual)
            return self.expired_allowance > 0
        return overdraft <= 0

    def _renew_expired_allowance(self, budget: float) -> None:
        """Sets how much expired budget may still be used in this period, at all cold replicas together.

        That is what is left of each one's budget, in requests, and of what counts as chance. Half of it, as two
        periods may fall into one tip_time.
        """
        period = (self.now + self.salt % (1 << 40)) // self.settings.tip_time
        if period != self.expired_allowance_period:
            self.expired_allowance_period = period
            left = (
                1 - COLD_SAFETY_WHOLE_REQUESTS * (1 + WARMUP_EXPIRY_PART)
            ) * budget + WARMUP_CHANCE_DEVIATIONS * budget**0.5
            self.expired_allowance = int(left / 2 * len(self.cold) / self.settings.gateways + self.random())

    def _prefill_tokens(self, replica: _Replica, pending: _PendingRequest) -> float:
        """Prompt tokens that the replica will have to prefill, as far as this gateway knows what it has cached."""
        request = pending.request
        self._find_preferred(pending)
        cached = 0.0
        valid_since = self.now - replica.cache_time
        if request.session:
            entry = replica.cached.get(request.session)
            if entry and entry[1] > valid_since:
                cached = entry[0]
            elif pending.session_index == replica.ring_index:
                cached = self.session_hit_share * request.prompt_tokens
        if request.prefix and cached < request.prefix_tokens:
            entry = replica.cached.get(~request.prefix)
            if entry and entry[1] > valid_since:
                cached = request.prefix_tokens
            else:
                share = (
                    self.preferred_hit_share if self._is_preferred(replica, pending) else replica.unexpected_hit_share
                )
                expected = share * request.prefix_tokens
                cached = expected if expected > cached else cached
        prefill_tokens = request.prompt_tokens - cached
        return prefill_tokens if prefill_tokens > 0 else 0.0

    def _is_preferred(self, replica: _Replica, pending: _PendingRequest) -> bool:
        """Whether the replica is a preferred one of the request's prefix."""
        n = len(self._find_preferred(pending))
        return n > 0 and (replica.ring_index - pending.preferred_start) % n < pending.preferred_count

    def _predict_ttft(self, replica: _Replica, pending: _PendingRequest) -> float:
        """The time to first token in microseconds, by the replica's fit, its hangs and its failures."""
        load = (replica.prefill_tokens + self._prefill_tokens(replica, pending)) / 1000
        age = self.now - replica.fitted_at if replica.fitted_at >= 0 else 2 * self.fit_lifetime
        if age < self.fit_lifetime:
            predicted = replica.w0 + replica.w1 * load + replica.w2 * replica.streams
        else:
            m0, m1, m2 = self.kind_medians.get(replica.kind, self.median_weights)
            predicted = m0 + m1 * load + m2 * replica.streams
            if age < 2 * self.fit_lifetime:
                own = replica.w0 + replica.w1 * load + replica.w2 * replica.streams
                predicted += (own - predicted) * (2 - age / self.fit_lifetime)
        if replica.waiting:
            first = next(iter(replica.waiting))
            overdue = self.now - first.sent_at - first.predicted
            if overdue > 0:  # a hang is visible here before any time-out
                predicted += overdue
        if replica.started:
            predicted /= self._likely_capacity(replica)
        # Errors that come back fast must not attract traffic: a failed request has to be sent again.
        zone_share = self.zone_failure_share[replica.zone]
        return predicted / (
            1.0 - max(replica.failure_share, zone_share if zone_share > ZONE_FAILURE_THRESHOLD else 0.0)
        )

    def _learn_fit(self, attempt: _Attempt, took: int) -> None:
        """Adds a sample to the replica's fit: one step of recursive least squares, with weights that may drift.

        `took` is the time to first token in microseconds, or the time waited for it in vain.
        """
        if attempt.likely_capacity >= 1.0:
            self._learn_light_ttft(attempt, took)  # a cold replica's tokens are slow without any overload
        took = int(took * attempt.likely_capacity)  # on the replica once it is warm: predictions start from that
        r = attempt.replica
        x1, x2 = attempt.load, float(attempt.streams)
        if r.fitted_at < 0 or self.now - r.fitted_at > 2 * self.fit_lifetime:
            # An old fit starts anew: with its old weights, a replica that was slow once would be avoided forever.
            r.w0, r.w1, r.w2 = median = self.kind_medians.get(r.kind, self.median_weights)
            r.p00, r.p11, r.p22 = ((FIT_PRIOR * w) ** 2 for w in median)
            r.p01 = r.p02 = r.p12 = 0.0
        else:
            r.p00 += (FIT_DRIFT * r.w0) ** 2
            r.p11 += (FIT_DRIFT * r.w1) ** 2
            r.p22 += (FIT_DRIFT * r.w2) ** 2
        r.fitted_at = self.now
        predicted = r.w0 + r.w1 * x1 + r.w2 * x2
        g0 = r.p00 + r.p01 * x1 + r.p02 * x2
        g1 = r.p01 + r.p11 * x1 + r.p12 * x2
        g2 = r.p02 + r.p12 * x1 + r.p22 * x2
        scale = 1.0 / (g0 + g1 * x1 + g2 * x2 + (FIT_NOISE * predicted) ** 2 + self.settings.tick**2)
        error = (took - predicted) * scale
        least0, least1, least2 = (w / 20 for w in self.median_weights)
        r.w0 = max(least0, r.w0 + g0 * error)
        r.w1 = max(least1, r.w1 + g1 * error)
        r.w2 = max(least2, r.w2 + g2 * error)
        r.p00 = max(r.p00 - g0 * g0 * scale, 1.0)
        r.p01 -= g0 * g1 * scale
        r.p02 -= g0 * g2 * scale
        r.p11 = max(r.p11 - g1 * g1 * scale, 1.0)
        r.p12 -= g1 * g2 * scale
        r.p22 = max(r.p22 - g2 * g2 * scale, 1.0)

    def _learn_light_ttft(self, attempt: _Attempt, took: int) -> None:
        """Updates the running median of the time to first token of requests with little to prefill.

        Such a first token takes about two decode steps, which shows the token rate long before streams end. The
        network time to another zone, by the zones' shortest times to first token, is left out of it.
        """
        shortest, zone = self.zone_shortest_ttft, attempt.zone
        shortest[zone] = min(shortest[zone], took)
        prefill = self.median_weights[1] * attempt.prefill_tokens / 1000
        if prefill < LIGHT_PREFILL_INTERCEPTS * self.median_weights[0]:
            decode_steps = took - prefill - max(0, shortest[zone] - shortest[self.settings.zone])
            # A gateway with few samples must still learn of an overload within seconds.
            factor = min(LIGHT_TTFT_STEP_MAX_FACTOR, max(1.0, 20 * (self.now - self.light_ttft_at) / self.interval))
            self.light_ttft_at = self.now
            step = LIGHT_TTFT_STEP * factor
            updated = self.light_ttft * (1 + step if decode_steps > self.light_ttft else 1 - step)
            self.light_ttft = min(updated, self.light_ttft_max)

    def _remember_cached(self, replica: _Replica, key: int, tokens: float) -> None:
        """Records that the replica has these tokens of a session or ~prefix cached from now on."""
        cached = replica.cached
        cached.pop(key, None)
        cached[key] = (tokens, self.now)
        if len(cached) > CACHE_ENTRIES_PER_REPLICA:
            del cached[next(iter(cached))]
        holders = self.holders.pop(key, None) or []
        if replica.id not in holders:
            holders.append(replica.id)
            if len(holders) > HOLDERS_PER_KEY:
                del holders[0]
        self.holders[key] = holders
        if len(self.holders) > REMEMBERED_KEYS_MAX:
            del self.holders[next(iter(self.holders))]

    def _learn_cache_hit(self, attempt: _Attempt, pending: _PendingRequest, kept_tokens: int) -> None:
        """Learns from how many prompt tokens an answer found cached.

        It updates how long the replica keeps what it has prefilled, and what is cached where it wasn't believed to
        be.
        """
        request = pending.request
        if not request.prefix or request.prefix_tokens <= 0:
            return
        replica = attempt.replica
        share = min(1.0, kept_tokens / request.prefix_tokens)
        preferred = self._is_preferred(replica, pending)
        if request.session and pending.session_index == replica.ring_index:
            share_of_all = kept_tokens / max(1.0, request.prompt_tokens)
            self.session_hit_share += 0.05 * (share_of_all - self.session_hit_share)
        if attempt.cache_entry_age < 0:
            if preferred:
                self.preferred_hit_share += 0.05 * (share - self.preferred_hit_share)
            else:
                replica.unexpected_hit_share += 0.1 * (share - replica.unexpected_hit_share)
        elif share < 0.5:
            replica.cache_time = max(attempt.cache_entry_age, replica.cache_time // 2, self.interval)
        elif attempt.cache_entry_age * 2 > replica.cache_time:
            replica.cache_time = attempt.cache_entry_age * 2

    # -- outlier detection ---------------------------------------------------------------------------------

    def _count_result(self, replica: _Replica, result: int) -> None:
        """Envoy's counts in unsplit mode. Attempts that were cancelled, turned away or never sent don't count."""
        if result == Result.OK:
            replica.consecutive_5xx = 0
            replica.consecutive_gateway_failure = 0
            replica.successes += 1
            replica.volume += 1
            replica.failure_share -= FAILURE_SHARE_STEP * replica.failure_share
            self.zone_failure_share[replica.zone] *= 1 - ZONE_FAILURE_STEP
            self.timeout_share -= self.timeout_share / 16
            return
        if result in (Result.FULL, Result.CANCELLED, Result.MOOT):
            return
        replica.volume += 1
        replica.failure_share += FAILURE_SHARE_STEP * (0.95 - replica.failure_share)
        replica.consecutive_5xx += 1
        if result == Result.ERROR:
            replica.consecutive_gateway_failure = 0
        else:
            replica.consecutive_gateway_failure += 1
            # Where a zone is cut off or hangs, this gateway uses each replica too rarely to learn it one by one.
            self.zone_failure_share[replica.zone] += ZONE_FAILURE_STEP * (
                0.95 - self.zone_failure_share[replica.zone]
            )
            if result == Result.TIMEOUT:
                self.timeout_share += (1 - self.timeout_share) / 16
                if self.timeout_share > SHARED_TIMEOUT_SHARE:
                    return  # all replicas are late, so time-outs single out none
        if replica.consecutive_gateway_failure >= CONSECUTIVE_GATEWAY_FAILURE:
            self._eject(replica, "consecutive_gateway_failure")
        elif replica.consecutive_5xx >= CONSECUTIVE_5XX:
            self._eject(replica, "consecutive_5xx")

    def _eject(self, replica: _Replica, why: str) -> None:
        """Ejects a ready replica for a time that grows with each ejection, unless too many are ejected already."""
        if replica.ejected_until > self.now or not replica.ready:
            return
        if (self.ejected + 1) * 100 > MAX_EJECTION_PERCENT * self.ready:
            return
        replica.multiplier += 1
        time = min(self.base_ejection_time * replica.multiplier, self.max_ejection_time)
        replica.ejected_until = self.now + time
        replica.consecutive_5xx = replica.consecutive_gateway_failure = 0
        self.actions.append(Log(f"eject replica {replica.id} for {time // 1000} ms: {why}"))
        self._rebuild_pools()

    def _end_interval(self) -> None:
        """Updates success rates, multipliers, medians and rates, on the first event after each interval."""
        now = self.now
        passed = 1 + (now - self.interval_ends_at) // self.interval
        self.interval_ends_at += passed * self.interval
        rated = []
        fits = []
        for replica in self.replicas.values():
            if replica.ejected_until <= now and replica.multiplier:
                replica.multiplier = max(0, replica.multiplier - passed)
            replica.failure_share *= 0.7
            replica.volume_intervals += passed
            if replica.volume >= SUCCESS_RATE_REQUEST_VOLUME:
                failures = replica.volume - replica.successes
                rated.append((replica, replica.successes / replica.volume, failures))
            if replica.fitted_at >= 0 and now - replica.fitted_at < 4 * self.fit_lifetime:
                fits.append(replica)
        if len(rated) >= SUCCESS_RATE_MINIMUM_HOSTS:
            mean = sum(rate for _, rate, _ in rated) / len(rated)
            stdev = (sum((rate - mean) ** 2 for _, rate, _ in rated) / len(rated)) ** 0.5
            threshold = mean - SUCCESS_RATE_STDEV_FACTOR / 1000 * stdev
            volume = sum(replica.volume for replica, _, _ in rated)
            failed = sum(failures for _, _, failures in rated)
            for replica, rate, failures in rated:
                # Where all replicas fail alike, at low volumes some replica is always below the threshold.
                n = replica.volume
                share = (failed - failures) / max(1, volume - n)
                by_chance = share * n + SUCCESS_RATE_CHANCE_DEVIATIONS * (share * (1 - share) * n) ** 0.5
                failures_needed = max(SUCCESS_RATE_MINIMUM_FAILURES, by_chance)
                if rate < threshold and failures >= failures_needed:
                    self._eject(replica, "success_rate")
        for replica in self.replicas.values():
            if replica.volume >= SUCCESS_RATE_REQUEST_VOLUME or replica.volume_intervals >= VOLUME_INTERVALS:
                replica.successes = replica.volume = replica.volume_intervals = 0
        if fits:
            self.median_weights = _median_weights(fits)
            self.median_learned = self.median_learned or len(fits) >= KIND_MINIMUM_HOSTS
            # In a large fleet most replicas have no recent sample here, but those of one kind behave alike.
            kinds: dict[int, list[_Replica]] = {}
            for replica in fits:
                kinds.setdefault(replica.kind, []).append(replica)
            for kind, same_kind in kinds.items():
                if len(same_kind) >= KIND_MINIMUM_HOSTS:
                    self.kind_medians[kind] = _median_weights(same_kind)
        decay = PREFIX_REQUESTS_DECAY**passed
        self.prefix_requests_total *= decay
        self.zone_failure_share = [ZONE_FAILURE_DECAY**passed * share for share in self.zone_failure_share]
        for prefix in list(self.prefix_requests):
            self.prefix_requests[prefix] *= decay
            if self.prefix_requests[prefix] < 0.05:
                self.prefix_requests_total -= self.prefix_requests.pop(prefix)
        for state in self.states:
            state.recent_requests *= CLASS_REQUESTS_DECAY**passed
        rate = self.work_sent * 1e6 / (passed * self.interval * self._ready_capacity())
        self.work_rate = rate if not self.work_rate else self.work_rate + 0.3 * (rate - self.work_rate)
        # Warm replicas can serve what they served once. While load is shed, the rate is low and cold ones are needed
        # most.
        self.peak_work_rate = max(self.work_rate, self.peak_work_rate * PEAK_WORK_DECAY**passed)
        self.work_sent = 0.0

    def _rebuild_pools(self) -> None:
        """Rebuilds the pools of the pick, finds when the next ejection ends, and tries queued requests again."""
        now = self.now
        ready = [replica for replica in self.replicas.values() if replica.ready]
        not_ejected = [replica for replica in ready if replica.ejected_until <= now]
        self.ready = len(ready)
        self.max_ready = max(self.max_ready, self.ready)
        self.ejected = len(ready) - len(not_ejected)
        self.next_ejection_end = min((r.ejected_until for r in ready if r.ejected_until > now), default=1 << 62)
        pool = not_ejected or ready  # panic mode: with all replicas ejected, ejections say nothing
        self.near = [replica for replica in pool if replica.zone == self.settings.zone]
        warm_from = now - self.settings.cold_time
        self.cold = [replica for replica in pool if replica.started and replica.started > warm_from]
        self.capacity_updated_at = -self.interval
        self.far = [replica for replica in pool if replica.zone != self.settings.zone]
        for pending in list(self.queued.values()):
            self._dispatch(pending)

    # -- membership ----------------------------------------------------------------------------------------

    def _on_list(self, event: ReplicaList) -> None:
        if event.kind == ListKind.FAILED:
            if self.settings.subscribe:
                self._on_failed_call(event)
            return
        if event.kind != ListKind.CACHED:
            self.subscription.on_list()
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
                replica.limit_rounding = (_hash64(entry.id ^ self.salt) >> 32) / (1 << 32)
            elif entry.started != replica.started:
                replica.renew(entry)
            replica.zone = entry.zone if entry.zone < self.settings.zones else self.settings.zone
            replica.cell = entry.cell
            replica.ready = entry.state == State.READY
        self.ring = sorted((replica for replica in self.replicas.values() if replica.ready), key=_ring_hash)
        for place, replica in enumerate(self.ring):
            replica.ring_index = place
        self._rebuild_pools()

    def _on_failed_call(self, event: ReplicaList) -> None:
        verified_before = self.list_verified
        self.actions += self.subscription.on_failure(self.now, event.refused, event.silence)
        if self.list_verified and not verified_before:
            self._rebuild_pools()

    @property
    def list_verified(self) -> bool:
        """Whether the list comes from discovery, or is used as discovery could not be reached."""
        return self.subscription.list_verified
