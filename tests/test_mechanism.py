"""Tests of each part of the decisions. Every test fails when its part is removed."""

import pytest

from pearstall import choice as module
from pearstall.interface import ListKind, Result, Send, State, Timer
from tests.support import MS, Gateway, S, entry, of, settings

LONG = 100 * S


def end_attempts(gateway: Gateway, replica: int, result: Result, times: int = 1) -> None:
    """Sends attempts to one replica, bypassing the pick, and ends each of them with this result."""
    for _ in range(times):
        gateway.deliver(Timer(0))  # what is due by now takes effect before the pools are replaced
        gateway.router.near = [gateway.router.replicas[replica]]
        id, _ = gateway.request()
        gateway.router._rebuild_pools()
        assert gateway.sent(id) == replica
        gateway.outcome(id, result, done=True)


def ejected(gateway: Gateway, replica: int) -> bool:
    return gateway.router.replicas[replica].ejected_until > gateway.now


@pytest.mark.parametrize("result", [Result.ERROR, Result.TIMEOUT, Result.CONNECT_FAILED, Result.RESET])
def test_consecutive_failures_eject(result: Result) -> None:
    gateway = Gateway(settings(), 6)
    end_attempts(gateway, 2, result, module.CONSECUTIVE_5XX - 1)
    assert not ejected(gateway, 2)
    end_attempts(gateway, 2, result, 1)
    assert ejected(gateway, 2)
    sends = {gateway.serve() for _ in range(60)}
    assert 2 not in sends and len(sends) > 1


def test_errors_count_for_consecutive_5xx_only() -> None:
    gateway = Gateway(settings(), 6)
    end_attempts(gateway, 2, Result.TIMEOUT)
    end_attempts(gateway, 2, Result.ERROR, 1)
    replica = gateway.router.replicas[2]
    assert (replica.consecutive_5xx, replica.consecutive_gateway_failure) == (2, 0)
    end_attempts(gateway, 2, Result.RESET, 1)
    assert ejected(gateway, 2)
    assert "consecutive_5xx" in gateway.logs[-1]


def test_consecutive_gateway_failures_have_their_own_threshold(monkeypatch: pytest.MonkeyPatch) -> None:
    monkeypatch.setattr(module, "CONSECUTIVE_5XX", 100)
    gateway = Gateway(settings(), 6)
    end_attempts(gateway, 2, Result.RESET, module.CONSECUTIVE_GATEWAY_FAILURE)
    assert ejected(gateway, 2)
    assert "consecutive_gateway_failure" in gateway.logs[-1]


def test_an_answer_resets_the_consecutive_failures() -> None:
    gateway = Gateway(settings(), 6)
    for _ in range(4):
        end_attempts(gateway, 2, Result.RESET, module.CONSECUTIVE_5XX - 1)
        end_attempts(gateway, 2, Result.OK)
    assert not ejected(gateway, 2)


@pytest.mark.parametrize("result", [Result.FULL, Result.CANCELLED, Result.MOOT])
def test_full_cancelled_and_moot_results_are_not_counted(result: Result) -> None:
    gateway = Gateway(settings(), 6)
    for _ in range(30):
        id, _ = gateway.request()
        gateway.outcome(id, result, done=True)
        gateway.wait(S)
    for replica in gateway.router.replicas.values():
        assert (replica.consecutive_5xx, replica.volume, replica.multiplier) == (0, 0, 0)


def test_a_low_success_rate_ejects_at_the_interval_without_consecutive_failures() -> None:
    gateway = Gateway(settings(), 6)
    for _ in range(6):
        end_attempts(gateway, 2, Result.ERROR)
        for replica in gateway.router.replicas:
            end_attempts(gateway, replica, Result.OK)
    assert not ejected(gateway, 2)
    gateway.wait(2 * S)
    gateway.serve()
    assert ejected(gateway, 2)
    assert "success_rate" in gateway.logs[-1]


def test_failures_spread_over_all_replicas_eject_none_by_success_rate() -> None:
    """All replicas give malformed answers: at low volumes some replica is always below the threshold by chance."""
    gateway = Gateway(settings(), 6)
    for bad in ((1, 2), (3, 4), (0, 5), (1, 3), (2, 2)):
        for number in bad:
            end_attempts(gateway, number, Result.ERROR)
        for replica in gateway.router.replicas:
            end_attempts(gateway, replica, Result.OK)
    gateway.wait(2 * S)
    gateway.serve()
    assert not gateway.logs


def test_a_hung_attempt_is_given_up_while_another_fits_before_the_aim_and_a_queued_one_is_not() -> None:
    """Attempts at a silent server were given up only near the deadline: the next answer earned late worth at best."""
    calm = Gateway(settings({"late_worth": 0.5}, second_copies=False), 4)
    id, _ = calm.request()
    assert calm.attempts[id][-1].timeout > 2 * S  # nothing is known yet: all replicas may take this long
    calm.first_token(id)
    calm.outcome(id, Result.OK)
    for _ in range(20):
        calm.serve()
        calm.wait(200 * MS)
    id, _ = calm.request()
    assert calm.attempts[id][-1].timeout < 1 * S
    queueing = Gateway(settings({"late_worth": 0.5}, second_copies=False), 4)
    for _ in range(20):
        one, _ = queueing.request()
        queueing.first_token(one, 400 * MS)
        queueing.outcome(one, Result.OK, took=500 * MS)
        queueing.wait(200 * MS)
    id, _ = queueing.request()
    assert queueing.attempts[id][-1].timeout > 2 * S


def test_success_rates_need_enough_hosts_and_volume() -> None:
    gateway = Gateway(settings(), 2)
    for _ in range(20):
        end_attempts(gateway, 1, Result.ERROR, 1)
        end_attempts(gateway, 1, Result.OK)
    gateway.wait(2 * S)
    gateway.serve()
    assert not gateway.logs


def test_low_volumes_are_counted_over_several_intervals() -> None:
    gateway = Gateway(settings(), 6)
    outcomes = iter([Result.ERROR, Result.OK] * 3)
    for _ in range(3):  # two outcomes an interval: below the request volume
        for replica in gateway.router.replicas.values():
            for _ in range(2):
                gateway.router._count_result(replica, next(outcomes) if replica.id == 2 else Result.OK)
        assert not gateway.logs
        gateway.wait(gateway.router.interval)
        gateway.serve()
    assert any("success_rate" in line for line in gateway.logs)


def eject(gateway: Gateway, replica: int) -> int:
    """Ejects a replica; returns for how long, in microseconds."""
    end_attempts(gateway, replica, Result.RESET, module.CONSECUTIVE_5XX)
    return gateway.router.replicas[replica].ejected_until - gateway.now


def test_repeated_ejections_grow_up_to_the_cap() -> None:
    gateway = Gateway(settings(), 6)
    base = gateway.router.base_ejection_time
    times = []
    for _ in range(module.MAX_EJECTION_TIMES + 2):
        times.append(eject(gateway, 2))
        gateway.now = gateway.router.replicas[2].ejected_until
        gateway.router.interval_ends_at = gateway.now + LONG  # no healthy interval in between
    cap = module.MAX_EJECTION_TIMES
    assert times == [base * min(n + 1, cap) for n in range(cap + 2)]


def test_healthy_intervals_lower_the_multiplier() -> None:
    gateway = Gateway(settings(), 6)
    eject(gateway, 2)
    gateway.now = gateway.router.replicas[2].ejected_until
    gateway.router.interval_ends_at = gateway.now + LONG
    eject(gateway, 2)
    assert gateway.router.replicas[2].multiplier == 2
    gateway.now = gateway.router.replicas[2].ejected_until
    gateway.router.interval_ends_at = gateway.now + 1
    for left in (1, 0):
        gateway.wait(gateway.router.interval)
        gateway.serve()
        assert gateway.router.replicas[2].multiplier == left


def test_an_ejected_replica_comes_back_after_its_time() -> None:
    gateway = Gateway(settings(), 4)
    time = eject(gateway, 2)
    gateway.wait(time - 1)
    assert 2 not in {gateway.serve() for _ in range(40)}
    gateway.wait(1)
    gateway.wait(4 * S)  # its share of failures decays
    gateway.router.replicas[2].failure_share = 0.0
    assert 2 in {gateway.serve() for _ in range(40)}


def test_the_ejected_share_stays_within_the_maximum() -> None:
    gateway = Gateway(settings(), 10)
    for replica in range(10):
        for _ in range(module.CONSECUTIVE_5XX):
            gateway.router._count_result(gateway.router.replicas[replica], Result.RESET)
    assert gateway.router.ejected == 10 * module.MAX_EJECTION_PERCENT // 100


def test_with_every_replica_ejected_all_serve() -> None:
    gateway = Gateway(settings(), 5)
    eject(gateway, 2)
    gateway.deliver_list(ListKind.FULL, entry(2))
    assert gateway.serve() == 2


def test_the_fit_learns_speed_from_first_tokens() -> None:
    gateway = Gateway(settings(), 2)
    for _ in range(40):
        id, _ = gateway.request(prompt_tokens=2000.0)
        gateway.first_token(id, 600 * MS if gateway.sent(id) == 1 else 100 * MS)
        gateway.outcome(id, Result.OK)
        gateway.wait(100 * MS)
    sends = [gateway.serve(prompt_tokens=2000.0) for _ in range(10)]
    assert sends.count(0) == 10


def test_the_fit_learns_what_a_token_costs() -> None:
    gateway = Gateway(settings(), 1)
    for n in range(60):
        tokens = 500.0 + 400 * (n % 10)
        id, _ = gateway.request(prompt_tokens=tokens)
        gateway.first_token(id, int(20 * MS + 100 * tokens))
        gateway.outcome(id, Result.OK)
        gateway.wait(50 * MS)
    fit = gateway.router.replicas[0]
    assert 75 * MS < fit.w1 < 125 * MS


def test_own_streams_raise_the_prediction() -> None:
    gateway = Gateway(settings(), 2)
    ids = [gateway.request()[0] for _ in range(10)]
    sends = [gateway.sent(id) for id in ids]
    assert sends.count(0) == 5


def test_a_replica_without_samples_is_predicted_by_the_median() -> None:
    gateway = Gateway(settings(), 3)
    router = gateway.router
    for n, weight in enumerate((100.0, 300.0)):
        fit = router.replicas[n]
        fit.w0 = fit.w1 = fit.w2 = weight
        fit.fitted_at = gateway.now
    router.interval_ends_at = gateway.now
    gateway.request()
    assert router.median_weights == (300.0, 300.0, 300.0)


def test_the_pick_is_between_two_random_replicas() -> None:
    """The slowest replica is never taken, and the fastest not always: all gateways would overload it together."""
    gateway = Gateway(settings(), 5)
    for n, fit in gateway.router.replicas.items():
        fit.w0, fit.w1, fit.w2, fit.fitted_at = 100_000.0 * (n + 1), 1.0, 1.0, gateway.now
    sends = []
    for _ in range(200):
        id, actions = gateway.request()
        assert len(of(Send, actions)) == 1
        sends.append(gateway.sent(id))
        gateway.outcome(id, Result.MOOT, done=True)
    assert 4 not in sends
    assert 0.25 < sends.count(0) / 200 < 0.55 and {0, 1, 2, 3} <= set(sends)


def test_draining_replicas_get_nothing_new() -> None:
    gateway = Gateway(settings(), 3)
    gateway.deliver_list(ListKind.DELTA, entry(0, state=State.DRAINING), entry(1, state=State.GONE))
    assert {gateway.serve() for _ in range(20)} == {2}
