"""When a gateway calls discovery, and whether it may use the list of replicas that it has.

Part of the decisions (`pearstall/choice.py`): no I/O, no clock. Each method is told the time and returns the actions
that carry out what it decided. Times are integer microseconds unless a name or a comment says otherwise.
"""

from __future__ import annotations

from collections.abc import Callable

from pearstall.interface import Action, SetTimer, Settings, Subscribe

# A gateway counts as notified of a change this long after discovery had it and could be reached, received or not.
LIST_CHANGE_DEADLINE_US = 6_000_000
# The spans below, over which calls are spread, are parts of that time. Each gateway has its own place in a span.
SUBSCRIBE_SPAN_PER_GATEWAY = 1 / 60  # the span grows by this for each gateway
SUBSCRIBE_AT_ONCE_GATEWAYS = 8  # up to this many gateways all call at once when they start
SUBSCRIBE_SPAN_START = 2 / 3  # longest span when gateways start
SUBSCRIBE_SPAN_LOST = 5 / 12  # longest span when watches end; noticing that a watch has fallen silent takes as long
# Two calls fit into this part: one of them may be refused by a discovery that can be reached again. The rest is for
# the answer.
SUBSCRIBE_TWO_CALLS = 11 / 12
SUBSCRIBE_SPAN_RETRY = SUBSCRIBE_TWO_CALLS / 2  # longest span while calls fail, for however long
# Longest span while one call after another waits before it fails: discovery may have more callers than it can serve,
# and recovers only if they call less often.
SUBSCRIBE_SPAN_CROWDED = 3 / 4
SUBSCRIBE_JITTER = 0.05  # largest random change of a delay, as a part of it
SUBSCRIBE_FAST_FAILURE_US = 500_000  # a call that fails sooner has not waited for its turn
SUBSCRIBE_FAST_RETRY_US = 250_000  # after a first call that failed so soon: it may have met a passing fault
UNREACHABLE_CALLS = 2  # consecutive calls without a connection that show an outage
AGENT_RETRY_US = 50_000  # a lost watch is reopened after this where each gateway has an agent of its own
AGENT_RETRY_MAX_US = 250_000  # doubled while that fails, up to this
# The list of a start is of unknown age. If no call has brought a list this long after the start, it is used all the
# same.
INITIAL_FETCH_TIMEOUT_US = 7_500_000
SUBSCRIBE_TAG = 1 << 60  # tag of the subscription timer; tags below it are request ids
INITIAL_FETCH_TAG = SUBSCRIBE_TAG + 1  # tag of the timer for INITIAL_FETCH_TIMEOUT_US


class Subscription:
    """A gateway's calls to discovery, from its start on. `random` gives numbers from 0 to 1."""

    def __init__(self, settings: Settings, random: Callable[[], float]) -> None:
        self.settings = settings
        self.random = random
        self.open = False  # a watch is open
        self.calls = 0  # since the last watch
        self.called_at = 0  # the last of them
        self.call_due_at = 0
        self.span = self._span(SUBSCRIBE_SPAN_LOST, 0)  # over which the gateways spread the last call
        self.last_call_waited = False  # before it failed
        # Since when changes may be unknown, if of the failed calls only the last one met a discovery that could be
        # reached: the time of the call before it or, after the first one, when the watch was last heard of.
        self.unknown_since = 0
        self.started_at = 0
        self.list_verified = not settings.subscribe  # by discovery, or as discovery could not be reached
        self.initial_fetch_failed = False  # a call was refused or waited too long, before the first list
        self.unreachable_calls = 0  # consecutive ones before the first list

    @property
    def small_group(self) -> bool:
        """Whether all gateways may call at the same time."""
        return self.settings.gateways <= SUBSCRIBE_AT_ONCE_GATEWAYS

    @property
    def awaits_list(self) -> bool:
        """Whether requests wait for the first list: the list cached at a start is of unknown age.

        A small number of gateways call at once when they start, and have the answer before the first request, unless
        that call fails. What an agent of the gateway's own has counts as received from the start on, however long its
        answer takes.
        """
        if self.list_verified:
            return False
        return self.initial_fetch_failed or self.settings.pushed or not self.small_group

    def start(self, now: int) -> list[Action]:
        self.started_at = now
        if not self.settings.subscribe:
            return []
        if self.small_group or self.settings.pushed:
            return self.call(now)
        return self._schedule_first_call(now, SUBSCRIBE_SPAN_START)

    def on_timer(self, now: int) -> list[Action]:
        """Handles the timer with SUBSCRIBE_TAG; one that was set before a later decision does nothing."""
        return self.call(now) if now >= self.call_due_at and not self.open else []

    def call_if_none_yet(self, now: int) -> list[Action]:
        """Calls discovery, unless a call was made since the start or since the last watch."""
        return [] if self.calls else self.call(now)

    def on_list(self) -> None:
        """A list or a change arrived from discovery."""
        self.open = self.settings.subscribe
        self.list_verified = True

    def on_initial_fetch_timeout(self) -> None:
        """Accepts the cached list, as discovery could not be reached."""
        self.list_verified = True

    def on_failure(self, now: int, refused: bool, silence: int) -> list[Action]:
        """A call failed, or the watch ended.

        `refused`: discovery answered with an error. `silence`: for how long nothing had come on the watch.
        """
        if self.open:
            self.calls = 0
            self.unknown_since = now - silence
        self.open = False
        fast = now - self.called_at < SUBSCRIBE_FAST_FAILURE_US
        if self.settings.pushed:  # no other gateway uses the agent, and its changes count as received at once
            actions = self._call_in(now, min(AGENT_RETRY_MAX_US, AGENT_RETRY_US << min(self.calls, 9)))
        elif self.calls == 0:
            actions = self._schedule_first_call(now, SUBSCRIBE_SPAN_LOST)
        elif self.calls == 1 and fast:
            actions = self._call_in(now, SUBSCRIBE_FAST_RETRY_US)
        else:
            actions = self._schedule_further_call(now, waited=not fast)
        if self.calls:
            self.last_call_waited = not fast
        if not self.list_verified:
            actions += self._on_failed_initial_fetch(now, unreachable=fast and not refused)
        return actions

    def _on_failed_initial_fetch(self, now: int, unreachable: bool) -> list[Action]:
        """A call that was refused or waited too long is no sign of an outage: discovery may have too many callers."""
        self.unreachable_calls = self.unreachable_calls + 1 if unreachable else 0
        if self.unreachable_calls >= UNREACHABLE_CALLS:
            self.list_verified = True
        elif not unreachable and not self.initial_fetch_failed:
            self.initial_fetch_failed = True
            left = self.started_at + INITIAL_FETCH_TIMEOUT_US - now
            return [SetTimer(max(1, left), INITIAL_FETCH_TAG)]
        return []

    def call(self, now: int) -> list[Action]:
        """Calls discovery, and sets the timer of a further call."""
        if self.calls:
            self.unknown_since = self.called_at
        self.calls += 1
        self.called_at = now
        return [Subscribe(), *self._call_in(now, self.settings.must_ask_in // 2)]  # in case no answer comes at all

    # Gateways that start or lose their watches together call one after the other, each in the order of its number.
    # A call that waits too long is served in vain, and where too many coincide by chance, that happens to all of them
    # and doesn't end.

    def _schedule_first_call(self, now: int, longest_span: float) -> list[Action]:
        """Schedules the call after a start or the end of a watch, soon: changes may be unknown from then on."""
        self.last_call_waited = False
        self.span = self._span(SUBSCRIBE_SPAN_LOST, 0)  # of the calls behind it
        place = self.random() if self._place is None else self._place * self._jitter()
        return self._call_in(now, max(1, int(place * self._span(longest_span, 0))))

    def _schedule_further_call(self, now: int, waited: bool) -> list[Action]:
        """Schedules the call after one that failed, within a span that is long enough for all gateways to be served.

        It is made in time for its list to come before the earliest change that may be unknown counts as received.
        Only where one call after another waits before it fails, calls are further apart.
        """
        crowded = waited and self.last_call_waited
        previous_span = self.span
        self.span = self._further_span(crowded)
        if self._place is None:
            delay = int(self.random() * self.span)
        else:
            gap = previous_span + self._place * (self.span - previous_span)
            delay = self.called_at + int(gap * self._jitter()) - now
        if self.list_verified and not crowded:
            delay = min(delay, self._call_deadline - now)
        return self._call_in(now, max(1, delay))

    def _further_span(self, crowded: bool) -> float:
        """The span of the next call. Where places are known, a second call goes behind the span of the first ones."""
        if self.calls == 1 and not self.list_verified:
            return self.span  # it is answered before the list of the start is used
        span = self._span(SUBSCRIBE_SPAN_CROWDED if crowded else SUBSCRIBE_SPAN_RETRY, self.calls)
        if self.calls > 1 or self._place is None:
            return span
        first_span_end = self.called_at + (1 - self._place) * self.span
        return max(0.0, min(span, self._call_deadline - first_span_end))

    @property
    def _call_deadline(self) -> int:
        """The latest time of a call whose list comes before an unknown change counts as received."""
        return self.unknown_since + int(SUBSCRIBE_TWO_CALLS * self._deadline)

    @property
    def _place(self) -> float | None:
        """This gateway's place in a span, from 0 to 1. None: its number is unknown."""
        number, gateways = self.settings.gateway, self.settings.gateways
        return (number % gateways + 0.5) / gateways if number >= 0 else None

    @property
    def _deadline(self) -> int:
        """Microseconds until a change counts as received."""
        return min(LIST_CHANGE_DEADLINE_US, self.settings.must_ask_in)

    def _jitter(self) -> float:
        return 1 + SUBSCRIBE_JITTER * (2 * self.random() - 1)

    def _span(self, longest: float, failed_calls: int) -> float:
        """Microseconds over which the gateways spread a call: short in a small group, and doubled at each failure."""
        by_gateways = SUBSCRIBE_SPAN_PER_GATEWAY * self.settings.gateways
        return self._deadline * min(longest, by_gateways * 2.0 ** min(failed_calls, 9))

    def _call_in(self, now: int, delay: int) -> list[Action]:
        """Sets the timer of the next call."""
        self.call_due_at = now + delay
        return [SetTimer(delay, SUBSCRIBE_TAG)]
