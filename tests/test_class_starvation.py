"""No class of requests is kept out by what others teach a gateway, or by its own bad luck.

Worlds of many gateways: what they serve of each class against what a random pick of a ready replica serves of it.
Then each cause by events.
"""

from __future__ import annotations

from dataclasses import replace
from typing import Any

import pytest

from pearstall.interface import Result
from tests.fleet_world import Fault, Traffic, compare
from tests.support import MS, Gateway, S, refused, settings

LEAST_SHARE = 0.5  # of what the simple policy serves of a class, over the run
LEAST_PART = 0.2  # and in each third of it

Class = tuple[dict[str, Any], Traffic]

# Its aim is shorter than an idle server takes to read its prompts; all of it has homes.
TIGHT: Class = (
    {"aim": 300 * MS, "give_up": 6 * S, "worth": 3.0, "late_worth": 0.5, "token_aim": 100 * MS},
    Traffic(share=0.5, prompt=4000, answer=300, prefix_tokens=2500),
)
# Its prompts begin like no other's, and no session brings it back to a server.
PLAIN: Class = (
    {"aim": 2 * S, "give_up": 6 * S, "worth": 3.0, "late_worth": 0.5, "token_aim": 100 * MS},
    Traffic(share=0.5, prompt=300, answer=400, prefixes=0, sessions=False, turns=1.0),
)
USUAL: Class = (
    {"aim": 2 * S, "give_up": 6 * S, "worth": 5.0, "late_worth": 0.5, "token_aim": 100 * MS},
    Traffic(share=0.6, prompt=1500, answer=100, prefix_tokens=800),
)
# Late answers are worth nothing, and an idle server is late already.
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
    """The classes that get less than they are due, in words."""
    seconds = world.get("seconds", 30)
    found = []
    for number, (ours, simple) in enumerate(compare(classes, faults, **world)):
        spans = [(0.0, 1e9, LEAST_SHARE)] + [(n * seconds / 3, (n + 1) * seconds / 3, LEAST_PART) for n in range(3)]
        for begin, end, least in spans:
            share, wanted = ours.share(begin, end), least * simple.share(begin, end)
            if share < wanted:
                found.append(f"class {number} from {begin} s: {share:.2f} of {wanted:.2f}, {ours.reasons}")
    return found


@pytest.mark.parametrize("routers", [1, 4, 30, 200])
def test_an_aim_that_is_never_met_keeps_no_other_class_out(routers: int) -> None:
    """On a calm fleet: 0.42 of the plain class was served by four gateways, 0.05 of it in the last seconds, 0.65 by
    200, and all by the simple policy. Each first token of the other class was late, which lowered the one limit on
    streams to its least, and the plain class has no server where it may go beyond that."""
    shares = [ours.share(10) for ours, _ in compare([TIGHT, PLAIN], routers=routers, rate=80.0, seconds=40, tries=1)]
    assert min(shares) > 0.8


@pytest.mark.parametrize("kind", ["hang", "resets", "slow_connects", "replace", "restart", "list_down"])
def test_nor_does_it_under_faults(kind: str) -> None:
    fault = Fault(kind, at=6, share=0.5 if kind in ("replace", "restart") else 0.15)
    assert not starved([TIGHT, PLAIN], (fault,), routers=200, rate=70.0, tries=1)


def test_one_class_alone_whose_aim_is_never_met_is_served() -> None:
    alone = (PLAIN[0] | {"aim": 60 * MS}, PLAIN[1])
    ((ours, _),) = compare([alone], routers=200, rate=80.0, seconds=40, tries=1)
    assert ours.share(10) > 0.9


@pytest.mark.parametrize("odd", [NO_LATE_WORTH, NO_AIM])
def test_a_class_without_late_worth_is_answered_where_its_aim_is_never_met(odd: Class) -> None:
    """At 200 gateways 0.07 of it was served, on a calm fleet that served 0.91 by the simple policy: each attempt was
    called off at the aim, and another refused as there was no time left to it."""
    usual, ours = compare([USUAL, odd], routers=200, rate=60.0, tries=1)
    assert usual[0].share() > 0.9
    assert ours[0].share() > LEAST_SHARE * ours[1].share()
    assert ours[0].share(20) > 0.6 * ours[1].share(20)


@pytest.mark.parametrize("kind", ["none", "hang", "errors", "resets", "broken", "refused", "replace", "cut", "burst"])
@pytest.mark.parametrize("pair", ["no late worth", "patient", "whole"])
def test_each_class_gets_its_part_under_each_fault(pair: str, kind: str) -> None:
    classes = {
        "no late worth": [USUAL, NO_LATE_WORTH, UNSAFE],
        "patient": [PATIENT, UNSAFE],
        "whole": [USUAL, WHOLE],
    }[pair]
    share = 0.6 if kind == "replace" else 0.2
    faults = () if kind == "none" else (Fault(kind, at=6, lasts=6, share=share, factor=2.0),)
    assert not starved(classes, faults, routers=200, rate=50.0, seconds=24, zones=2 if kind == "cut" else 1)


@pytest.mark.parametrize("faults", [("replace", "hang"), ("restart", "replace"), ("list_down", "replace")])
def test_each_class_gets_its_part_under_two_faults_at_once(faults: tuple[str, str]) -> None:
    both = tuple(Fault(kind, at=6, lasts=6, share=0.2 if kind == "hang" else 0.6) for kind in faults)
    assert not starved([PATIENT, UNSAFE], both, routers=200, rate=50.0, seconds=24)


# -- by events -------------------------------------------------------------------------------------------------

FLEET: dict[str, Any] = {"gateways": 200, "tick": 4 * MS, "max_attempts": 3}


def first_tokens(gateway: Gateway, took: int, count: int, **fields: Any) -> None:
    for number in range(count):
        id, actions = gateway.request(session=number + 1, deadline=gateway.now + 3 * S, **fields)
        if not refused(actions):
            gateway.first_token(id, took)
            gateway.outcome(id, Result.OK, took=2 * S)
        gateway.wait(100 * MS)


def test_a_first_token_as_late_as_an_idle_replica_makes_it_lowers_no_limit() -> None:
    gateway = Gateway(settings({"aim": 100 * MS, "late_worth": 0.5}, **FLEET), 20)
    before = gateway.router.concurrency_limit
    first_tokens(gateway, 90 * MS, 200)
    assert gateway.router.concurrency_limit >= before and not gateway.router.saturated


def test_a_first_token_far_later_than_that_does() -> None:
    gateway = Gateway(settings({"aim": 100 * MS, "late_worth": 0.5}, **FLEET), 20)
    first_tokens(gateway, 40 * MS, 60)
    before = gateway.router.concurrency_limit
    first_tokens(gateway, 900 * MS, 20)
    assert gateway.router.concurrency_limit < 0.5 * before and gateway.router.saturated


def test_a_class_with_nothing_out_is_not_refused_for_the_streams_of_another() -> None:
    """Whatever the limit: a stream of it at each gateway, or half of an equal part of what the gateway may have."""
    gateway = Gateway(settings({"late_worth": 0.5}, {"late_worth": 0.5}, **FLEET), 6)
    gateway.serve(class_index=1)  # not long ago
    gateway.router.concurrency_limit, gateway.router.saturated = 10.0 / 200, True
    others = [gateway.request(session=number + 1)[1] for number in range(6)]
    assert any(map(refused, others))
    _, actions = gateway.request(class_index=1)
    assert not refused(actions)
    assert refused(gateway.request(class_index=1)[1])  # one, and no more where the limit is so low


def time_out(gateway: Gateway, class_index: int) -> int:
    """One request whose attempts all time out at once; returns how many there were."""
    id, _ = gateway.request(class_index=class_index, deadline=gateway.now + 30 * S)
    while id in gateway.router.pending:
        gateway.outcome(id, Result.TIMEOUT, took=50 * MS)
    return len(gateway.attempts.get(id, []))


def test_time_outs_of_one_class_leave_the_others_their_retries() -> None:
    gateway = Gateway(settings({"late_worth": 0.5}, {"late_worth": 0.5}, **FLEET), 12)
    attempts = [time_out(gateway, 0) for _ in range(30)]
    while attempts[-2:] != [1, 2]:  # all that there was is used up
        attempts.append(time_out(gateway, 0))
    assert time_out(gateway, 1) == 3


def test_a_class_kept_out_is_tried_again_by_its_own_give_up_time() -> None:
    """By the longest aim of all it was one request in a minute beside a class that waits for twenty seconds."""
    classes = ({"aim": 20 * S, "give_up": 60 * S, "late_worth": 0.5}, {"give_up": 1 * S, "token_aim": 50 * MS})
    gateway = Gateway(settings(*classes, **FLEET), 8)
    gateway.serve(class_index=1)
    sent = 0
    for _ in range(50):  # over 10 s
        gateway.router.light_ttft = gateway.router.light_ttft_max  # longer than the time that it has
        id, _ = gateway.request(class_index=1, deadline=gateway.now + 390 * MS)
        if id in gateway.attempts:
            sent += 1
            gateway.outcome(id, Result.TIMEOUT, took=380 * MS)
        gateway.wait(200 * MS)
    assert 5 <= sent <= 15


def test_a_class_without_late_worth_ends_at_its_aim_while_that_is_met() -> None:
    gateway = Gateway(settings({"late_worth": 0.0, "aim": 1 * S, "give_up": 5 * S}, **FLEET), 8)
    for _ in range(10):
        gateway.serve()
    id, _ = gateway.request(deadline=gateway.now + 5 * S)
    assert gateway.attempts[id][0].timeout < 1 * S


def test_and_at_its_deadline_after_an_aim_that_was_missed() -> None:
    gateway = Gateway(settings({"late_worth": 0.0, "aim": 1 * S, "give_up": 5 * S}, **FLEET), 8)
    for _ in range(3):
        id, _ = gateway.request(deadline=gateway.now + 5 * S)
        gateway.wait(990 * MS)
        if id in gateway.router.pending:
            gateway.outcome(id, Result.TIMEOUT, took=990 * MS)
            gateway.wait(5 * S)
    id, _ = gateway.request(deadline=gateway.now + 5 * S)
    assert gateway.router.pending[id].useful_until == gateway.now + 5 * S


def test_nothing_is_shed_before_there_is_a_sample_whatever_the_token_aims() -> None:
    """The running median began at the longest token aim, far above what the shortest one tolerates."""
    classes = [{"late_worth": 0.5, "token_aim": aim * MS} for aim in (8, 12, 280)]
    for seed in range(20):
        gateway = Gateway(settings(*classes, **FLEET), 20, seed=seed)
        assert not any(refused(gateway.request(class_index=index)[1]) for index in (0, 1, 2, 0, 1))


def test_a_rare_class_without_late_worth_is_answered_where_its_aim_is_never_met() -> None:
    """Of which a gateway gets one request in a minute or two, and learns nothing in time."""
    rare = (NO_LATE_WORTH[0], replace(NO_LATE_WORTH[1], share=0.02))
    _, (ours, simple) = compare([USUAL, rare], routers=200, rate=60.0, seconds=60, tries=1)
    assert ours.share() > LEAST_SHARE * simple.share()
