"""The edge's parts that do no I/O: tokens, limits and the storm gate, keep-alive, messages."""

from __future__ import annotations

from random import Random

import msgspec
import pytest
from hypothesis import given
from hypothesis import strategies as st

from pearstall.edge.frames import CODECS, Ack, AskFor, Cancel, Events, Hello, Ping, Position, Resume
from pearstall.edge.keepalive import KeepAlive, KeepAliveMonitor
from pearstall.edge.limits import Admission, Gate, Limits, gcra
from pearstall.edge.records import Problem
from pearstall.edge.sessions import Ask
from pearstall.edge.tokens import Device, Key, Keyring, decode_secret, encode_secret, mint
from tests.edge_support import Scene
from tests.net_support import cut_settings

SECRET = bytes(range(32))
KEY = Key("k1", SECRET, "shop")
RING = Keyring({"k1": KEY, "old": Key("old", SECRET[::-1], "shop", not_after=500.0)}, {"stolen": 3})
NOW = 1000.0


def test_a_token_proves_its_device_until_it_expires() -> None:
    token = mint(KEY, "phone-1", 2000, epoch=4)
    assert RING.verify(token, NOW) == Device("phone-1", "shop", 4, 2000.0)
    assert RING.verify(token, 2000.0) is None
    assert RING.verify(mint(RING.keys["old"], "phone-1", 2000), NOW) is None  # the key has expired
    assert RING.verify(mint(KEY, "stolen", 2000, 2), NOW) is None
    assert RING.verify(mint(KEY, "stolen", 2000, 3), NOW) is not None
    with pytest.raises(ValueError, match="device"):
        mint(KEY, "two words", 2000)


@cut_settings
@given(st.integers(0, 200), st.characters(min_codepoint=33, max_codepoint=126), st.integers(0, 3))
def test_a_token_cut_or_altered_anywhere_is_denied(at: int, character: str, how: int) -> None:
    token = mint(KEY, "phone-1", 2000)
    at %= len(token)
    other = mint(Key("k1", SECRET[::-1], "shop"), "phone-1", 2000)
    altered = [
        token[:at], token[:at] + character + token[at + 1 :], token + character, token[: at + 1] + other[at + 1 :],
    ][how]  # fmt: skip
    assert altered == token or RING.verify(altered, NOW) is None


def test_another_devices_token_with_its_name_swapped_is_denied_and_secrets_are_not_shown() -> None:
    token = mint(KEY, "phone-1", 2000)
    assert RING.verify(token.replace("phone-1", "phone-2"), NOW) is None
    assert RING.verify(mint(Key("k2", SECRET, "shop"), "phone-1", 2000), NOW) is None
    assert decode_secret(encode_secret(SECRET)) == SECRET
    assert encode_secret(SECRET) not in repr(RING) and repr(SECRET) not in repr(RING) + repr(KEY)
    for bad in ("", "short", "!" * 43, "é" * 43):
        with pytest.raises(ValueError, match="expected"):
            decode_secret(bad)


@cut_settings
@given(st.floats(0.5, 50), st.integers(1, 20), st.lists(st.floats(0, 2), min_size=1, max_size=120))
def test_a_bucket_never_lets_more_pass_than_its_rate_and_burst(rate: float, burst: int, gaps: list[float]) -> None:
    now, tat, passed = 100.0, 0.0, []
    for gap in gaps:
        now += gap
        tat, wait = gcra(tat, now, rate, burst)
        if wait:
            later, none = gcra(tat, now + wait, rate, burst)  # the retry advice is right: it may pass then
            assert none == 0 and later > tat
        else:
            passed.append(now)
    for n, start in enumerate(passed):
        for m in range(n, len(passed)):
            assert m - n + 1 <= (passed[m] - start) * rate + burst + 1e-6


def storm(limits: Limits, devices: int, resuming: int, seed: int) -> tuple[list[float], list[float], int]:
    """When each device of a storm is let in, in virtual time, if it follows the retry advice."""
    gate, random = Gate(limits, Random(seed)), Random(seed + 1)
    coming = sorted((random.random(), n, n < resuming) for n in range(devices))
    done: tuple[list[float], list[float]] = ([], [])
    turns = 0
    while coming:
        now, n, resumes = coming.pop(0)
        wait = gate.arrive(now, resumes)
        if wait:
            turns += 1
            assert wait <= limits.longest_wait * (1 + limits.spread)
            coming.append((now + wait, n, resumes))
            coming.sort()
        else:
            done[0 if resumes else 1].append(now)
    return *done, turns


def test_a_storm_of_two_thousand_is_let_in_evenly_and_resumes_go_first() -> None:
    limits = Limits(arrivals=200, arrivals_burst=100, longest_wait=30)
    resumed, asked, turns = storm(limits, 2000, 1500, 3)
    assert (len(resumed), len(asked)) == (1500, 500)
    everyone = sorted(resumed + asked)
    for n, start in enumerate(everyone[:-250]):  # in no window above the rate and its burst
        assert everyone[n + 250] - start >= 250 / 200 - 100 / 200 - 0.02
    assert max(everyone) < 2000 / 200 * 2 and turns < 3 * 2000  # it ends soon, and few devices are turned away twice
    middle = sorted(resumed)[750]
    assert sum(at < middle for at in asked) < 0.1 * len(asked)


def test_limits_charge_nothing_to_an_ask_that_does_not_begin() -> None:
    scene = Scene(limits=Limits(device_rate=20, device_burst=2, device_running=2, tenant_running=3, arrivals=0))
    results = [scene.ask(id) for id in "abc"]
    assert [isinstance(one, Ask) for one in results] == [True, True, False]
    assert isinstance(results[2], Problem) and results[2].code == "device_concurrency"
    scene.events(1)
    scene.end()
    limited = scene.ask("c")
    assert isinstance(limited, Problem) and limited.code == "device_rate" and 0 < limited.retry_after <= 1
    scene.clock.move(limited.retry_after)
    assert isinstance(scene.ask("c"), Ask)
    assert isinstance(scene.ask("a", device="d2"), Ask)
    refused = scene.ask("a", device="d3")
    assert isinstance(refused, Problem) and refused.code == "tenant_concurrency"


def test_tenants_buckets_are_bounded(monkeypatch: pytest.MonkeyPatch) -> None:
    monkeypatch.setattr("pearstall.edge.limits.MAX_TENANT_BUCKETS", 4)
    scene = Scene()
    admission = Admission(Limits(tenant_rate=10, device_rate=0, arrivals=0), Random(1))
    for number in range(40):
        session = scene.sessions.open("d", f"t{number}")
        assert not isinstance(session, Problem)
        assert admission.ask(float(number), session, scene.sessions) is None
    assert len(admission.tenant_tat) <= 5


def test_keep_alive_follows_the_link_within_its_bounds() -> None:
    settings = KeepAlive(least=1, most=30, trips=60, patience=4)
    fast, slow = KeepAliveMonitor(settings, 0.0), KeepAliveMonitor(settings, 0.0)
    for now in range(20):
        for monitor, trip in ((fast, 0.005), (slow, 0.4)):
            monitor.ping(float(now))
            monitor.pong_received(now + trip)
    assert fast.interval == 1 and 20 < slow.interval <= 30 and slow.answer_timeout > fast.answer_timeout
    assert fast.next_action(20.5)[0] == "ping"
    fast.ping(20.5)
    assert fast.next_action(21.0)[0] == "wait" and fast.next_action(21.6)[0] == "dead"
    fast.received(21.55)  # any data received shows that the connection is alive
    assert fast.next_action(21.6)[0] == "wait"


@pytest.mark.parametrize("name", list(CODECS))
def test_both_codecs_carry_the_same_messages(name: str) -> None:
    codec = CODECS[name]
    raw = msgspec.Raw(msgspec.json.encode({"a": [1]}) if codec.text else msgspec.msgpack.encode({"a": [1]}))
    for message in (
        Hello("t", [Position("a", 3)]), Resume("a", 2), Ack("a", 9), Cancel("a"), Ping(1.5), AskFor("a", raw),
    ):  # fmt: skip
        again = codec.decode(codec.encode(message))
        if isinstance(again, AskFor):
            assert codec.body(again.body) == b'{"a":[1]}'
        else:
            assert again == message
    for bad in (
        b"",
        b"{}",
        b"\x80",
        b'{"type":"ack","ask":"a b","number":1}',
        b'{"type":"ack","ask":"a","number":-1}',
    ):
        with pytest.raises(msgspec.DecodeError):
            codec.decode(bad)
    for events in ([b"data: x\n\n", "data: é\n\n".encode()], [b"data: \xff\n\n"]):
        decoded = codec.read(codec.events("a", 4, events))
        assert isinstance(decoded, Events) and (decoded.first, decoded.events) == (4, events)
