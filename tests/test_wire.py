"""The adapter, as a process and in memory."""

from __future__ import annotations

import json
import struct
import subprocess
import sys
from pathlib import Path

import pytest

from pearstall.adapter import Link
from pearstall.interface import Effect, Scope
from pearstall.settings import settings_from_wire

ROOT = Path(__file__).parent.parent
SEED, ONE, ID = 5, 1_000_000, 77


def init(**changes: object) -> dict[str, object]:
    raw: dict[str, object] = {
        "lanes": [{"aim": ONE, "hardLimit": 5 * ONE, "effect": "token", "dedupScope": "zone", "window": ONE}],
        "dcs": ["here", "there"],
        "az": 1,
        "groupSize": 3,
        "tick": 5000,
        "membershipMode": "subscribe",
        "limits": {"maxAttempts": 6, "retryAfter": True, "maxRetryAfter": 9, "new": 1, "mayCancel": True},
        "obligations": {"cold": 19 * ONE, "coldShare": 0.13, "fall": 3 * ONE, "tipMultiple": 2.5},
        "familyInfo": {"aimUsPer1000PromptTokens": [60000.0], "tokenAim": [50000.0]},
        "accounts": [{"name": "a", "share": 0.4, "quotaRps": 3.0}],
        "charges": {"crossZone": 0.08},
    }
    return raw | changes


def frame(records: list[bytes], tail: bytes = b"", number: int = 1, now: int = 10 * ONE) -> bytes:
    body = b"".join(record.ljust(64, b"\0") for record in records) + tail
    return struct.pack("<IQII", number, now, 20 + len(body), len(records)) + body


def begin(instance: int, text: bytes, offset: int = 0) -> bytes:
    return struct.pack("<BHQII", 2, instance, SEED, offset, len(text))


def opening(instances: tuple[int, ...] = (3,), **changes: object) -> bytes:
    text = json.dumps(init(**changes)).encode()
    entry = struct.pack("<IBBHBfQ", 42, 1, 6, 0, 1, 1.0, 0)
    records = [struct.pack("<BIII", 7, 0, len(text), 1)]
    for instance in instances:
        records += [begin(instance, text), struct.pack("<BHIIB", 9, instance, 0, 1, 2)]
    return frame(records, text + entry)


def call(instance: int = 3, id: int = ID) -> bytes:
    fields = (0, 100.0, 0, 0, 0, 500.0, 0, 0, 13 * ONE, 0.0)
    return struct.pack("<BHQHfQQBfIIQf", 1, instance, id, *fields)


def records(reply: bytes) -> list[bytes]:
    size, count = struct.unpack_from("<II", reply, 4)
    assert size == len(reply)
    return [reply[12 + 24 * n : 36 + 24 * n] for n in range(count)]


def exchange(data: bytes) -> subprocess.CompletedProcess[bytes]:
    command = [sys.executable, "-m", "pearstall.adapter"]
    return subprocess.run(command, input=data, capture_output=True, cwd=ROOT, timeout=60, check=False)


def test_settings_come_from_the_wire_and_unknown_keys_are_skipped() -> None:
    settings = settings_from_wire(json.dumps(init(other={"x": 1})).encode())
    klass = settings.classes[0]
    assert (klass.effect, klass.scope, klass.token_aim) == (Effect.TOKEN, Scope.ZONE, 50000.0)
    assert (settings.zone, settings.zones, settings.gateways, settings.max_attempts) == (1, 2, 3, 6)
    assert (settings.subscribe, settings.max_retry_after, settings.may_cancel) == (True, 9, True)
    assert (settings.cold_time, settings.tenant_shares, settings.cross_zone_price) == (19 * ONE, (0.4,), 0.08)


def test_an_empty_batch_is_answered_and_the_end_of_input_is_a_clean_end() -> None:
    done = exchange(frame([], number=12))
    assert (done.returncode, done.stdout) == (0, struct.pack("<III", 12, 12, 0))


def test_a_request_is_sent_and_a_timer_set() -> None:
    link = Link()
    first = records(link.answer(*split(opening())))
    assert [record[0] for record in first] == [11, 7]  # track, wake_at
    sent = records(link.answer(*split(frame([call()]))))
    code, instance, id, timeout, replica = struct.unpack_from("<BHQII", sent[0])
    assert (code, instance, id, replica) == (12, 3, ID, 42)
    assert timeout == 0  # it may not be refused once it may have run, so it has until the client gives up


def split(data: bytes) -> tuple[bytes, bytes]:
    return data[:20], data[20:]


def test_a_stopped_instance_is_forgotten() -> None:
    link = Link()
    link.answer(*split(opening()))
    link.answer(*split(frame([struct.pack("<BH", 4, 3)])))
    assert not link.routers


def test_instances_act_the_same_alone_and_together() -> None:
    together, alone = Link(), Link()
    together.answer(*split(opening((3, 4))))
    alone.answer(*split(opening((4,))))
    both = records(together.answer(*split(frame([call(3), call(4, 9)]))))
    one = records(alone.answer(*split(frame([call(4, 9)]))))
    assert [record for record in both if record[1] == 4] == one


def test_bad_settings_are_fatal_with_the_key() -> None:
    done = exchange(opening(tick="soon"))
    record = records(done.stdout)[0]
    assert done.returncode == 0 and record[0] == 0
    assert b"tick" in done.stdout


@pytest.mark.parametrize(
    "data",
    [
        b"abc",
        frame([])[:-4] + struct.pack("<I", 3),
        struct.pack("<IQII", 1, 1, 12, 0),
        frame([call()])[:-9],
        frame([b"\x63"]),
        frame([call()]),
        opening() + frame([struct.pack("<BHIIB", 9, 3, 9, 1, 1)]),
        opening() + frame([struct.pack("<BHIII", 8, 3, 1, 50, 4)]),
    ],
    ids=["short", "count", "size", "cut", "code", "instance", "list", "tail"],
)
def test_a_malformed_frame_is_one_plain_line_and_a_bad_exit(data: bytes) -> None:
    done = exchange(data)
    assert done.returncode != 0
    lines = done.stderr.decode().splitlines()
    assert len(lines) == 1 and lines[0].startswith("malformed frame: ")


def test_a_list_entry_carries_zone_and_kind() -> None:
    link = Link()
    whole = opening()
    link.answer(whole[:20], whole[20:])
    (entry,) = link.lists[0]
    assert (entry.id, entry.zone, entry.kind, entry.weight) == (42, 1, 6, 1.0)
