"""Tests that no class of requests is starved by what a gateway learns from other classes, or by chance.

The first part simulates many gateways, and compares the fraction of each class that they serve with the fraction
served by picking a random ready replica. The second part tests each cause by itself, with single events.
"""

from __future__ import annotations

from dataclasses import replace
from typing import Any

import pytest

from pearstall.interface import Result
from tests.fleet_world import Fault, Traffic, compare_policies
from tests.support import MS, Gateway, S, refused, settings

MIN_SHARE = 0.5  # of the fraction of a class that the simple policy serves, over the whole run
MIN_SHARE_OF_THIRD = 0.2  # the same for each third of the run

Class = tuple[dict[str, Any], Traffic]

# The aim is shorter than an idle server needs to process the prompts. All requests have a prefix and a session.
TIGHT: Class = (
    {"aim": 300 * MS, "give_up": 6 * S, "worth": 3.0, "late_worth": 0.5, "token_aim": 100 * MS},
    Traffic(share=0.5, prompt=4000, answer=300, prefix_tokens=2500),
)
# The prompts share no prefix, and there are no sessions.
PLAIN: Class = (
    {"aim": 2 * S, "give_up": 6 * S, "worth": 3.0, "late_worth": 0.5, "token_aim": 100 * MS},
    Traffic(share=0.5, prompt=300, answer=400, prefixes=0, sessions=False, turns=1.0),
)
USUAL: Class = (
    {"aim": 2 * S, "give_up": 6 * S, "worth": 5.0, "late_worth": 0.5, "token_aim": 100 * MS},
    Traffic(share=0.6, prompt=1500, answer=100, prefix_tokens=800),
)
# Late answers are worth nothing, and even an idle server is late.
NO_LATE_WORTH: Class = (
    {"aim": 75 * MS, "give_up": 600 * MS, "worth": 1.0, "late_worth": 0.0, "token_aim": 50 * MS},
    Traffic(share=0.4, prompt=1400, answer=120, prefixes=0, turns=1.0),
)
NO_AIM: Class = (
    {"aim": 0, "give_up": 3 * S, "worth": 1.0, "late_worth": 0.0, "token_aim": 50 * MS},
    Traffic(share=0.4, prompt=1400, answer=120, prefixes=0, turns=1.0),
)
UNSAFE: Class = (
    {"aim": 450 * MS, "give_up": 1200 * MS, "worth": 8.0, "late_worth": 0.3, "effect": "side_effect"},
    Traffic(share=0.1, prompt=500, answer=60, prefixes=0, turns=1.0),
)
PATIENT: Class = (
    {"aim": 8 * S, "give_up": 24 * S, "worth": 1.0, "late_worth": 0.3, "token_aim": 200 * MS},
    Traffic(share=0.9, prompt=3000, answer=110, prefix_tokens=2000, turns=2.0),
)
WHOLE: Class = (
    {"aim": 3 * S, "give_up": 9 * S, "worth": 2.0, "late_worth": 0.5, "streamed": False},
    Traffic(share=0.4, prompt=600, answer=150, prefixes=0, sessions=False, streamed=False),
)


def starved(classes: list[Class], faults: tuple[Fault, ...] = (), **world: Any) -> list[str]:
    """Describes each class and part of the run in which less was served than required."""
    seconds = world.get("seconds", 30)
    failures = []
    for index, (router, simple) in enumerate(compare_policies(classes, faults, **world)):
        spans = [(0.0, 1e9, MIN_SHARE)] + [
            (n * seconds / 3, (n + 1) * seconds / 3, MIN_SHARE_OF_THIRD) for n in range(3)
        ]
        for begin, end, minimum in spans:
            share, required = router.share(begin, end), minimum * simple.share(begin, end)
            if share < required:
                failures.append(f"class {index} from {begin} s: {share:.2f} of {required:.2f}, {router.reasons}")
    return failures


@pytest.mark.parametrize("routers", [1, 4, 30, 200])
def test_an_aim_that_is_never_met_does_not_starve_another_class(routers: int) -> None:
    """Without faults, 0.42 of the plain class was served by four gateways (0.05 in the last seconds) and 0.65 by 200,
    while the simple policy served all of it. Every first token of the other class was late, which lowered the common
    limit on streams to its minimum, and the plain class has no preferred replica where it may exceed that limit."""
    shares = [
        router.share(10)
        for router, _ in compare_policies([TIGHT, PLAIN], routers=routers, rate=80.0, seconds=40, tries=1)
    ]
    assert min(shares) > 0.8


@pytest.mark.parametrize("kind", ["hang", "resets", "slow_connects", "replace", "restart", "list_down"])
def test_an_aim_that_is_never_met_does_not_starve_another_class_under_faults(kind: str) -> None:
    fault = Fault(kind, at=6, share=0.5 if kind in ("replace", "restart") else 0.15)
    assert not starved([TIGHT, PLAIN], (fault,), routers=200, rate=70.0, tries=1)


def test_a_single_class_whose_aim_is_never_met_is_served() -> None:
    alone = (PLAIN[0] | {"aim": 60 * MS}, PLAIN[1])
    ((router, _),) = compare_policies([alone], routers=200, rate=80.0, seconds=40, tries=1)
    assert router.share(10) > 0.9


@pytest.mark.parametrize("unmet", [NO_LATE_WORTH, NO_AIM])
def test_a_class_without_late_worth_is_served_although_its_aim_is_never_met(unmet: Class) -> None:
    """At 200 gateways without faults, 0.07 of it was served, and 0.91 by the simple policy: each attempt was
    cancelled when the aim passed, and then there was no time for another one."""
    usual, tallies = compare_policies([USUAL, unmet], routers=200, rate=60.0, tries=1)
    assert usual[0].share() > 0.9
    assert tallies[0].share() > MIN_SHARE * tallies[1].share()
    assert tallies[0].share(20) > 0.6 * tallies[1].share(20)


@pytest.mark.parametrize("kind", ["none", "hang", "errors", "resets", "broken", "refused", "replace", "cut", "burst"])
@pytest.mark.parametrize("pair", ["no late worth", "patient", "whole"])
def test_no_class_is_starved_under_any_fault(pair: str, kind: str) -> None:
    classes = {
        "no late worth": [USUAL, NO_LATE_WORTH, UNSAFE],
        "patient": [PATIENT, UNSAFE],
        "whole": [USUAL, WHOLE],
    }[pair]
    share = 0.6 if kind == "replace" else 0.2
    faults = () if kind == "none" else (Fault(kind, at=6, lasts=6, share=share, factor=2.0),)
    assert not starved(classes, faults, routers=200, rate=50.0, seconds=24, zones=2 if kind == "cut" else 1)


@pytest.mark.parametrize("faults", [("replace", "hang"), ("restart", "replace"), ("list_down", "replace")])
def test_no_class_is_starved_under_two_faults_at_once(faults: tuple[str, str]) -> None:
    both = tuple(Fault(kind, at=6, lasts=6, share=0.2 if kind == "hang" else 0.6) for kind in faults)
    assert not starved([PATIENT, UNSAFE], both, routers=200, rate=50.0, seconds=24)


# -- single events ---------------------------------------------------------------------------------------------

FLEET: dict[str, Any] = {"gateways": 200, "tick": 4 * MS, "max_attempts": 3}


def serve_with_first_token_after(gateway: Gateway, took: int, count: int, **fields: Any) -> None:
    for number in range(count):
        id, actions = gateway.request(session=number + 1, deadline=gateway.now + 3 * S, **fields)
        if not refused(actions):
            gateway.first_token(id, took)
            gateway.outcome(id, Result.OK, took=2 * S)
        gateway.wait(100 * MS)


def test_a_first_token_no_later_than_from_an_idle_replica_does_not_lower_the_limit() -> None:
    gateway = Gateway(settings({"aim": 100 * MS, "late_worth": 0.5}, **FLEET), 20)
    before = gateway.router.concurrency_limit
    serve_with_first_token_after(gateway, 90 * MS, 200)
    assert gateway.router.concurrency_limit >= before and not gateway.router.saturated


def test_a_first_token_much_later_than_from_an_idle_replica_lowers_the_limit() -> None:
    gateway = Gateway(settings({"aim": 100 * MS, "late_worth": 0.5}, **FLEET), 20)
    serve_with_first_token_after(gateway, 40 * MS, 60)
    before = gateway.router.concurrency_limit
    serve_with_first_token_after(gateway, 900 * MS, 20)
    assert gateway.router.concurrency_limit < 0.5 * before and gateway.router.saturated


def test_a_class_with_nothing_in_flight_is_not_refused_because_of_the_streams_of_another() -> None:
    """Whatever the limit, a class may have one stream at each gateway, or half of an equal share of the limit."""
    gateway = Gateway(settings({"late_worth": 0.5}, {"late_worth": 0.5}, **FLEET), 6)
    gateway.serve(class_index=1)  # recently
    gateway.router.concurrency_limit, gateway.router.saturated = 10.0 / 200, True
    others = [gateway.request(session=number + 1)[1] for number in range(6)]
    assert any(map(refused, others))
    _, actions = gateway.request(class_index=1)
    assert not refused(actions)
    assert refused(gateway.request(class_index=1)[1])  # one, and no more where the limit is so low


def time_out(gateway: Gateway, class_index: int) -> int:
    """Makes one request whose attempts all time out immediately; returns the number of attempts."""
    id, _ = gateway.request(class_index=class_index, deadline=gateway.now + 30 * S)
    while id in gateway.router.pending:
        gateway.outcome(id, Result.TIMEOUT, took=50 * MS)
    return len(gateway.attempts.get(id, []))


def test_time_outs_of_one_class_do_not_use_up_the_retry_budget_of_others() -> None:
    gateway = Gateway(settings({"late_worth": 0.5}, {"late_worth": 0.5}, **FLEET), 12)
    attempts = [time_out(gateway, 0) for _ in range(30)]
    while attempts[-2:] != [1, 2]:  # until the budget of this class is used up
        attempts.append(time_out(gateway, 0))
    assert time_out(gateway, 1) == 3


def test_a_refused_class_is_probed_at_intervals_of_its_own_give_up_time() -> None:
    """When the interval followed from the longest aim of all classes, it was one request per minute beside a class
    with an aim of twenty seconds."""
    classes = ({"aim": 20 * S, "give_up": 60 * S, "late_worth": 0.5}, {"give_up": 1 * S, "token_aim": 50 * MS})
    gateway = Gateway(settings(*classes, **FLEET), 8)
    gateway.serve(class_index=1)
    sent = 0
    for _ in range(50):  # over 10 s
        gateway.router.light_ttft = gateway.router.light_ttft_max  # longer than the time left to the request
        id, _ = gateway.request(class_index=1, deadline=gateway.now + 390 * MS)
        if id in gateway.attempts:
            sent += 1
            gateway.outcome(id, Result.TIMEOUT, took=380 * MS)
        gateway.wait(200 * MS)
    assert 5 <= sent <= 15


def test_attempts_of_a_class_without_late_worth_end_at_the_aim_while_it_is_met() -> None:
    gateway = Gateway(settings({"late_worth": 0.0, "aim": 1 * S, "give_up": 5 * S}, **FLEET), 8)
    for _ in range(10):
        gateway.serve()
    id, _ = gateway.request(deadline=gateway.now + 5 * S)
    assert gateway.attempts[id][0].timeout < 1 * S


def test_attempts_of_a_class_without_late_worth_may_use_the_deadline_after_missed_aims() -> None:
    gateway = Gateway(settings({"late_worth": 0.0, "aim": 1 * S, "give_up": 5 * S}, **FLEET), 8)
    for _ in range(3):
        id, _ = gateway.request(deadline=gateway.now + 5 * S)
        gateway.wait(990 * MS)
        if id in gateway.router.pending:
            gateway.outcome(id, Result.TIMEOUT, took=990 * MS)
            gateway.wait(5 * S)
    id, _ = gateway.request(deadline=gateway.now + 5 * S)
    assert gateway.router.pending[id].useful_until == gateway.now + 5 * S


def test_nothing_is_shed_before_the_first_sample_whatever_the_token_aims() -> None:
    """The running median used to start at the longest token aim, far above what the shortest one tolerates."""
    classes = [{"late_worth": 0.5, "token_aim": aim * MS} for aim in (8, 12, 280)]
    for seed in range(20):
        gateway = Gateway(settings(*classes, **FLEET), 20, seed=seed)
        assert not any(refused(gateway.request(class_index=index)[1]) for index in (0, 1, 2, 0, 1))


def test_a_rare_class_without_late_worth_is_served_although_its_aim_is_never_met() -> None:
    """A gateway gets one such request in a minute or two, too few to learn from in time."""
    rare = (NO_LATE_WORTH[0], replace(NO_LATE_WORTH[1], share=0.02))
    _, (router, simple) = compare_policies([USUAL, rare], routers=200, rate=60.0, seconds=60, tries=1)
    assert router.share() > MIN_SHARE * simple.share()
