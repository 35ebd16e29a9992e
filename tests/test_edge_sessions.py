"""Device sessions on the real core and Router, in virtual time: edge cases, and a stateful property test."""

from __future__ import annotations

import pytest
from hypothesis import settings as hypothesis_settings
from hypothesis import strategies as st
from hypothesis.stateful import RuleBasedStateMachine, invariant, rule

from pearstall.edge.keeping import Bounds, Usage, Victim, next_victim
from pearstall.edge.records import Final, Kind, Problem, split_events
from pearstall.edge.sessions import Ask, Tombstone
from pearstall.edge.states import ENDED, HELD, RUNNING, TABLE, Effect, Input, State
from pearstall.edge.tokens import Device
from pearstall.net.core import Blamed, End, Served
from tests.edge_support import BREAK, ERROR, Carrier, Reader, Scene, event

STAGES = ("before the first event", "in mid-stream", "between last event and final record", "during a retry")


def test_every_transition_obeys_the_rules() -> None:
    """Exactly the transitions out of running create a final record, and only tombstones are forgotten."""
    for (before, _), (after, effects) in TABLE.items():
        assert (Effect.RECORD in effects) == (before in RUNNING and after not in RUNNING)
        assert (Effect.FORGET in effects) == (after == State.FORGOTTEN)
        assert after != State.FORGOTTEN or before is State.BURIED
        assert before not in ENDED or after not in RUNNING
        if Effect.START_LINGER in effects:
            assert after == State.RUNNING_AWAY
    reached = {State.RUNNING_AWAY}
    while more := {after for (before, _), (after, _) in TABLE.items() if before in reached} - reached:
        reached |= more
    assert reached == set(State)
    for state in State:  # every state that a device can see has a transition for whatever it does
        assert state == State.FORGOTTEN or {(state, Input.ATTACH), (state, Input.CANCEL)} <= TABLE.keys()
        assert state not in HELD or (state, Input.DETACH) in TABLE


@pytest.mark.parametrize("stage", STAGES)
@pytest.mark.parametrize("half_open", [False, True])
def test_a_device_back_elsewhere_gets_the_whole_answer_once(stage: str, half_open: bool) -> None:
    """With an attempt in flight. Half open: the old connection was not closed, but takes no more records."""
    scene, old, new = Scene(), Reader(), Reader()
    ask = scene.ask(reader=old)
    assert isinstance(ask, Ask)
    if stage == "during a retry":
        scene.end(ERROR)
    elif stage != "before the first event":
        scene.events(1, 2, 3)
        if stage.startswith("between"):
            scene.events(4, 5)
    received = list(old.received)
    if half_open:
        old.slow = True
    else:
        ask.detach(old)
        scene.clock.move(0.1)
        if stage.startswith("between"):
            scene.end()
    assert scene.attach(new, len(received)) is ask
    assert old.was_superseded == half_open
    if not stage.startswith("between") or half_open:
        if not stage.startswith("between"):
            scene.events(*range(len(received) + 1, 6))
        scene.end()
    assert received + new.received == [event(n) for n in range(1, 6)]
    assert new.final == Final(6, Kind.SERVED) and old.final is None
    assert len(scene.finals()) == 1 and max(scene.max_in_flight.values()) == 1
    assert len(scene.executions) <= 3 and (stage != "during a retry" or len(scene.executions) >= 2)
    # The superseded connection can't acknowledge, the owner can, and a tombstone remains.
    device = Device("d", "shop")
    refused = scene.edge.acknowledge(device, "a", 6, old)
    assert isinstance(refused, Problem) and refused.code == "superseded"
    assert scene.edge.acknowledge(device, "a", 6, new) == new.final
    assert isinstance(scene.edge.find(device, "a"), Tombstone) and not scene.sessions.usage.bytes
    assert scene.edge.acknowledge(device, "a", 6, new) == new.final  # an acknowledgement sent twice
    again = scene.ask(reader=Reader())  # a duplicate of the ask that arrives much later
    assert isinstance(again, Problem) and again.final == new.final and scene.counters.queries == 1
    assert not len(scene.core.queries)


def test_one_id_is_one_query_however_often_it_is_sent_and_another_body_is_an_error() -> None:
    scene, first, second = Scene(), Reader(), Reader()
    ask = scene.ask(reader=first)
    assert scene.ask(reader=second) is ask and first.was_superseded
    other = scene.ask(text="another")
    assert isinstance(other, Problem) and other.code == "ask_id_reused" and scene.counters.queries == 1
    scene.events(1)
    scene.end()
    assert second.received == [event(1)] and not first.received


@pytest.mark.parametrize("last", [3, 99])
def test_unknown_positions_and_discarded_events_are_distinguished(last: int) -> None:
    scene, reader = Scene(), Reader()
    scene.ask(reader=reader)
    scene.events(1, 2)
    beyond = scene.attach(Reader(), last)
    assert isinstance(beyond, Problem) and beyond.code == "bad_position" and not reader.was_superseded
    scene.edge.acknowledge(Device("d", "shop"), "a", 2, reader)
    behind = scene.attach(Reader(), 1)
    assert isinstance(behind, Problem) and behind.code == "events_gone" and not reader.was_superseded
    assert isinstance(scene.attach(Reader(), 0, id="none"), Problem)


def test_an_ack_that_is_lost_leaves_the_final_record_for_the_next_connection() -> None:
    scene, old, new = Scene(), Reader(), Reader()
    ask = scene.ask(reader=old)
    assert isinstance(ask, Ask)
    scene.events(1)
    scene.end()
    ask.detach(old)
    assert scene.attach(new, 1) is ask and new.final == old.final and not new.received
    ask.detach(new)
    done = scene.attach(Reader(), 2)  # the device states that it already holds the final record
    assert isinstance(done, Problem) and (done.code, done.final) == ("acknowledged", new.final)
    assert not scene.sessions.unfinished() and len(scene.finals()) == 1


def test_a_device_that_returns_after_linger_gets_a_cut_record() -> None:
    scene, late = Scene(Bounds(linger=2.0)), Reader()
    ask = scene.ask(reader=(reader := Reader()))
    assert isinstance(ask, Ask)
    scene.events(1, 2)
    ask.detach(reader)
    scene.clock.move(1.9)
    assert scene.running()
    scene.clock.move(0.2)
    assert scene.counters.clients_gone == 1 and not scene.running()  # now the Router has been notified
    scene.clock.move(0.1)
    assert scene.attach(late, 2) is ask and late.final == Final(3, Kind.CUT, "away")


def test_a_full_log_pauses_its_server_link_and_only_linger_ends_it() -> None:
    scene, reader = Scene(Bounds(ask_events=3, linger=2.0)), Reader()
    ask = scene.ask(reader=reader)
    assert isinstance(ask, Ask)
    scene.events(1, 2, 3, 4)
    (execution,) = scene.running()
    carrier = execution.carrier
    assert isinstance(carrier, Carrier) and carrier.paused
    ask.detach(reader)  # away as well as full: the same timer keeps running
    scene.clock.move(1.0)
    assert scene.attach(reader, 4) is ask and not carrier.paused  # the position that it states releases events
    scene.clock.move(1.5)
    scene.events(5, 6, 7, 8)
    assert carrier.paused and ask.state == State.RUNNING_HELD
    scene.clock.move(2.1)
    assert reader.final == Final(9, Kind.CUT, "log_full") and carrier.given_up


def test_a_cancel_after_the_final_record_returns_that_record() -> None:
    scene, device = Scene(), Device("d", "shop")
    scene.ask("a", reader=(first := Reader()))
    scene.ask("b", reader=(second := Reader()))
    scene.events(1)
    assert scene.edge.cancel(device, "a") == Final(2, Kind.CANCELLED, "device") == first.final
    assert not scene.running() and scene.counters.clients_gone == 1
    scene.events(1, id="b")
    scene.end(id="b")
    assert scene.edge.cancel(device, "b") == second.final == Final(2, Kind.SERVED)
    scene.edge.acknowledge(device, "b", 2, second)
    assert scene.edge.cancel(device, "b") == second.final
    assert len(scene.finals()) == len(scene.finals("b")) == 1


def test_every_outcome_of_a_query_yields_its_final_record() -> None:
    scene = Scene()
    for id, end, kind in (("x", BREAK, "cut"), ("y", Blamed(404, b"{}", "t"), "blamed"), ("z", Served(), "served")):
        scene.ask(id)
        if kind != "blamed":
            scene.events(1, id=id)
        scene.end(end, id=id)
        assert [row["kind"] for row in scene.finals(id)] == [kind]
    scene.ask("late")
    scene.clock.move(5.2)  # no server answers: the Router or the core ends it at its deadline
    assert scene.finals("late")[0]["kind"] in ("failed", "refused")
    assert scene.edge.find(Device("d", "shop"), "late") is not None


def test_eviction_follows_the_documented_order() -> None:
    bounds = Bounds(all_bytes=100, tombstones=2)
    assert next_victim(Usage(), bounds) is None
    assert next_victim(Usage(101, 1, 3, 1, 1), bounds) == Victim.TOMBSTONE
    assert next_victim(Usage(101, 1, 2, 1, 1), bounds) == Victim.ENDED_AWAY
    assert next_victim(Usage(101, 1, 2, 0, 1), bounds) == Victim.RUNNING_AWAY
    assert next_victim(Usage(101, 1, 2, 0, 0), bounds) == Victim.NOTHING


def test_nothing_evicted_disappears_without_a_final_record() -> None:
    scene = Scene(Bounds(all_bytes=70))
    for id in ("ended", "running", "held"):
        scene.ask(id, reader=Reader() if id == "held" else None)
    scene.events(1, 2, id="ended")
    scene.end(id="ended")
    scene.events(1, 2, id="running")
    scene.events(*range(1, 6), id="held")
    device = Device("d", "shop")
    ended = scene.edge.find(device, "ended")
    assert isinstance(ended, Tombstone) and ended.final == Final(3, Kind.SERVED)
    assert scene.find_ask("running").state == State.RUNNING_AWAY
    scene.events(6, id="held")
    assert scene.find_ask("running").final == Final(3, Kind.CUT, "room") and not scene.running("running")
    assert scene.find_ask("held").state == State.RUNNING_HELD
    reader = Reader()
    lost = scene.attach(reader, 0, "running")
    assert isinstance(lost, Problem) and lost.code == "events_gone" and lost.final == Final(3, Kind.CUT, "room")


def test_everything_stored_expires() -> None:
    """An hour later, no session, ended ask or tombstone remains."""
    scene = Scene(Bounds(keep=60, remember=120, idle=600))
    for number in range(50):
        scene.ask("a", device=f"d{number}")
        scene.events(1, device=f"d{number}")
        if number % 2:
            scene.end(device=f"d{number}")
    scene.clock.move(30)
    assert len(scene.sessions.by_name) == 50 and not scene.sessions.running
    scene.clock.move(3600)
    assert not scene.sessions.by_name and not scene.sessions.tombstones_by_age and scene.sessions.usage == Usage()


def test_the_bound_on_sessions_evicts_idle_ones_and_refuses_more() -> None:
    scene = Scene(Bounds(sessions=3))
    for number in range(3):
        scene.ask("a", device=f"d{number}")
    full = scene.ask("a", device="d9")
    assert isinstance(full, Problem) and full.code == "full" and full.retry_after
    scene.events(1, device="d1")
    scene.end(device="d1")
    ask = scene.find_ask(device="d1")
    ask.attach(reader := Reader(), 0)
    scene.edge.acknowledge(Device("d1", "shop"), "a", 2, reader)
    assert isinstance(scene.ask("a", device="d9"), Ask)
    assert scene.sessions.find("d1", "shop") is None


def test_an_invalid_body_leaves_no_state() -> None:
    scene = Scene()
    for bad in (b"[]", b"{", b'{"model":"toy"}'):
        problem = scene.edge.ask(Device("d", "shop"), "a", "", bad, None)
        assert isinstance(problem, Problem) and problem.code == "bad_ask"
    assert not scene.sessions.unfinished() and not scene.sessions.running
    assert isinstance(scene.ask("a"), Ask)  # the id is still free


def test_after_sigterm_nothing_new_begins_and_records_wait_for_their_devices() -> None:
    scene, reader = Scene(), Reader()
    scene.ask("a")
    scene.events(1)
    scene.edge.leave()
    problem = scene.ask("b")
    assert isinstance(problem, Problem) and problem.code == "leaving"
    scene.end()
    assert not scene.edge.settled  # its device is away and still has time to return
    ask = scene.attach(reader, 0)
    assert isinstance(ask, Ask) and reader.final is not None
    scene.edge.acknowledge(Device("d", "shop"), "a", 2, reader)
    assert scene.edge.settled
    other = Scene()
    other.ask("a")
    other.events(1)
    other.end()
    other.edge.leave()
    other.clock.move(other.edge.config.drain)
    assert other.edge.settled
    other.edge.close()
    assert other.notes[-1][0] == "final_not_fetched"


@pytest.mark.parametrize("end", [b"\n\n", b"\r\n\r\n", b"\r\r"])
def test_events_are_split_without_changing_a_byte(end: bytes) -> None:
    events = [b"data: a" + end, b": c" + end, b"event: x\ndata: b" + end]
    assert split_events(b"".join(events)) == events
    odd = b"data: a\n\n\ndata: b\n\n"  # an extra empty line
    assert b"".join(split_events(odd)) == odd


class Devices(RuleBasedStateMachine):
    """Two devices with three asks each, under any sequence of actions of devices, servers and time."""

    def __init__(self) -> None:
        super().__init__()
        self.scene = Scene(Bounds(linger=1.0, keep=5.0, remember=10.0, ask_events=6, all_bytes=400, device_asks=2))
        self.received: dict[tuple[str, str], list[bytes]] = {}
        self.finals: dict[tuple[str, str], set[Final]] = {}
        self.readers: dict[tuple[str, str], Reader] = {}
        self.made: dict[str, int] = {}

    devices, ids = st.sampled_from(["d1", "d2"]), st.sampled_from(["a", "b", "c"])

    def _take(self, key: tuple[str, str], reader: Reader, last: int) -> None:
        received = self.received.setdefault(key, [])
        del received[last:]
        received += reader.received
        if reader.final is not None:
            self.finals.setdefault(key, set()).add(reader.final)

    @rule(device=devices, id=ids, slow=st.booleans(), resend=st.booleans())
    def connect(self, device: str, id: str, slow: bool, resend: bool) -> None:
        key, reader = (device, id), Reader(slow)
        self.settle(key)
        last = len(self.received.get(key, ()))
        known = isinstance(self.scene.edge.find(Device(device, "shop"), id), Ask)
        if resend or not known:
            got = self.scene.ask(id, device, reader, last if known else 0)
        else:
            got = self.scene.attach(reader, last, id, device)
        if isinstance(got, Ask):
            if not known:
                self.received[key], self.finals[key], last = [], set(), 0
            self.readers[key] = reader
            reader.start = last  # type: ignore[attr-defined]

    def settle(self, key: tuple[str, str]) -> None:
        reader = self.readers.pop(key, None)
        if reader is not None and reader.at is not None:
            self._take(key, reader, reader.start)  # type: ignore[attr-defined]

    @rule(device=devices, id=ids)
    def disconnect(self, device: str, id: str) -> None:
        reader = self.readers.get((device, id))
        found = self.scene.edge.find(Device(device, "shop"), id)
        if reader is not None and isinstance(found, Ask):
            found.detach(reader)
        self.settle((device, id))

    @rule(device=devices, id=ids)
    def acknowledge(self, device: str, id: str) -> None:
        reader = self.readers.get((device, id))
        if reader is not None and reader.at:
            self.scene.edge.acknowledge(Device(device, "shop"), id, reader.at, reader)

    @rule(device=devices, id=ids)
    def cancel(self, device: str, id: str) -> None:
        final = self.scene.edge.cancel(Device(device, "shop"), id)
        if isinstance(final, Final):
            self.finals.setdefault((device, id), set()).add(final)

    @rule(device=devices, id=ids, count=st.integers(1, 4))
    def serve(self, device: str, id: str, count: int) -> None:
        for one in self.scene.running(id, device):
            begun = self.made.get(one.query.txn, 0) if one.streaming else 0
            self.made[one.query.txn] = begun + count
            self.scene.core.received(one, b"".join(event(n) for n in range(begun + 1, begun + count + 1)))

    @rule(device=devices, id=ids, end=st.sampled_from([Served(), BREAK, ERROR]))
    def finish(self, device: str, id: str, end: End) -> None:
        for one in self.scene.running(id, device):
            self.scene.core.ended(one, end if one.streaming and end != ERROR else ERROR)

    @rule(seconds=st.sampled_from([0.05, 0.6, 2.0, 6.0]))
    def wait(self, seconds: float) -> None:
        self.scene.clock.move(seconds)

    @rule()
    def drain(self) -> None:
        for key, reader in self.readers.items():
            found = self.scene.edge.find(Device(key[0], "shop"), key[1])
            reader.slow = False
            if isinstance(found, Ask) and found.owner is reader:
                reader.ready(found)

    @invariant()
    def accounting_agrees(self) -> None:
        sessions, core = self.scene.sessions, self.scene.core
        asks = [ask for session in sessions for ask in (session.asks or {}).values()]
        assert sessions.usage.bytes == sum(sum(map(len, ask.events)) for ask in asks)
        assert sessions.usage.bytes == sum(ask.log_bytes for ask in asks)
        assert sessions.running == sum(ask.state in RUNNING for ask in asks) == sum(s.running for s in sessions)
        assert sessions.usage.running_away == len(sessions.running_away)
        assert sessions.usage.ended_away == len(sessions.ended_away)
        assert (
            sessions.usage.tombstones
            == len(sessions.tombstones_by_age)
            == sum(len(s.tombstones or ()) for s in sessions)
        )
        assert sum(1 for query in core.queries if not query.finished) == sessions.running
        for ask in asks:
            assert (ask.owner is not None) == (ask.state in HELD)
            assert (ask.query is not None) == (ask.state in RUNNING) == (ask.final is None)
            assert ask.timer is None or ask.state in RUNNING

    @invariant()
    def rules_hold(self) -> None:
        assert max(self.scene.max_in_flight.values(), default=0) <= 1
        counts: dict[int, int] = {}
        for one in self.scene.executions:
            counts[id(one.query)] = counts.get(id(one.query), 0) + 1
        assert max(counts.values(), default=0) <= 3
        assert self.scene.counters.exceptions == 0
        for key, finals in self.finals.items():
            assert len(finals) <= 1, (key, finals)

    @invariant()
    def devices_hold_events_in_order(self) -> None:
        for key, reader in self.readers.items():
            if reader.at is not None:
                start = reader.start  # type: ignore[attr-defined]
                assert reader.received == [event(n) for n in range(start + 1, start + len(reader.received) + 1)], key
        for received in self.received.values():
            assert received == [event(n) for n in range(1, len(received) + 1)]


TestDevices = Devices.TestCase
TestDevices.settings = hypothesis_settings(derandomize=True, deadline=None, max_examples=120, stateful_step_count=40)
