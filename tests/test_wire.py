"""Tests of the simulator's binary protocol, with the adapter as a process and in memory."""

from __future__ import annotations

import json
import struct
import subprocess
import sys
from pathlib import Path

import pytest

from pearstall.adapter import Adapter
from pearstall.interface import Effect, Scope
from pearstall.settings import settings_from_wire

ROOT = Path(__file__).parent.parent
SEED, SECOND, REQUEST_ID = 5, 1_000_000, 77


def settings_document(**changes: object) -> dict[str, object]:
    raw: dict[str, object] = {
        "lanes": [
            {"aim": SECOND, "hardLimit": 5 * SECOND, "effect": "token", "dedupScope": "zone", "window": SECOND}
        ],
        "dcs": ["here", "there"],
        "az": 1,
        "groupSize": 3,
        "tick": 5000,
        "membershipMode": "subscribe",
        "limits": {"maxAttempts": 6, "retryAfter": True, "maxRetryAfter": 9, "new": 1, "mayCancel": True},
        "obligations": {"cold": 19 * SECOND, "coldShare": 0.13, "fall": 3 * SECOND, "tipMultiple": 2.5},
        "familyInfo": {"aimUsPer1000PromptTokens": [60000.0], "tokenAim": [50000.0]},
        "accounts": [{"name": "a", "share": 0.4, "quotaRps": 3.0}],
        "charges": {"crossZone": 0.08},
    }
    return raw | changes


def frame(records: list[bytes], tail: bytes = b"", number: int = 1, now: int = 10 * SECOND) -> bytes:
    body = b"".join(record.ljust(64, b"\0") for record in records) + tail
    return struct.pack("<IQII", number, now, 20 + len(body), len(records)) + body


def start_record(instance: int, text: bytes, offset: int = 0) -> bytes:
    return struct.pack("<BHQII", 2, instance, SEED, offset, len(text))


def start_frame(instances: tuple[int, ...] = (3,), **changes: object) -> bytes:
    """A frame that starts instances and gives them a list of one replica."""
    text = json.dumps(settings_document(**changes)).encode()
    entry = struct.pack("<IBBHBfQ", 42, 1, 6, 0, 1, 1.0, 0)
    records = [struct.pack("<BIII", 7, 0, len(text), 1)]
    for instance in instances:
        records += [start_record(instance, text), struct.pack("<BHIIB", 9, instance, 0, 1, 2)]
    return frame(records, text + entry)


def request_record(instance: int = 3, id: int = REQUEST_ID) -> bytes:
    fields = (0, 100.0, 0, 0, 0, 500.0, 0, 0, 13 * SECOND, 0.0)
    return struct.pack("<BHQHfQQBfIIQf", 1, instance, id, *fields)


def records(reply: bytes) -> list[bytes]:
    size, count = struct.unpack_from("<II", reply, 4)
    assert size == len(reply)
    return [reply[12 + 24 * n : 36 + 24 * n] for n in range(count)]


def run_adapter(data: bytes) -> subprocess.CompletedProcess[bytes]:
    command = [sys.executable, "-m", "pearstall.adapter"]
    return subprocess.run(command, input=data, capture_output=True, cwd=ROOT, timeout=60, check=False)


def test_settings_are_read_from_the_document_and_unknown_keys_are_ignored() -> None:
    settings = settings_from_wire(json.dumps(settings_document(other={"x": 1})).encode())
    klass = settings.classes[0]
    assert (klass.effect, klass.scope, klass.token_aim) == (Effect.TOKEN, Scope.ZONE, 50000.0)
    assert (settings.zone, settings.zones, settings.gateways, settings.max_attempts) == (1, 2, 3, 6)
    assert (settings.subscribe, settings.max_retry_after, settings.may_cancel) == (True, 9, True)
    assert (settings.cold_time, settings.tenant_shares, settings.cross_zone_price) == (19 * SECOND, (0.4,), 0.08)


def test_an_empty_batch_is_answered_and_the_process_exits_cleanly_at_the_end_of_input() -> None:
    process = run_adapter(frame([], number=12))
    assert (process.returncode, process.stdout) == (0, struct.pack("<III", 12, 12, 0))


def test_a_request_is_sent_and_a_timer_set() -> None:
    adapter = Adapter()
    first = records(adapter.answer(*split(start_frame())))
    assert [record[0] for record in first] == [11, 7]  # Subscribe, SetTimer
    sent = records(adapter.answer(*split(frame([request_record()]))))
    code, instance, id, timeout, replica = struct.unpack_from("<BHQII", sent[0])
    assert (code, instance, id, replica) == (12, 3, REQUEST_ID, 42)
    # Once it may have run the request can't be refused, so the attempt may take until the client gives up.
    assert timeout == 0


def split(data: bytes) -> tuple[bytes, bytes]:
    return data[:20], data[20:]


def test_a_stopped_instance_is_removed() -> None:
    adapter = Adapter()
    adapter.answer(*split(start_frame()))
    adapter.answer(*split(frame([struct.pack("<BH", 4, 3)])))
    assert not adapter.routers


def test_an_instance_decides_the_same_alone_and_beside_others() -> None:
    together, alone = Adapter(), Adapter()
    together.answer(*split(start_frame((3, 4))))
    alone.answer(*split(start_frame((4,))))
    both = records(together.answer(*split(frame([request_record(3), request_record(4, 9)]))))
    one = records(alone.answer(*split(frame([request_record(4, 9)]))))
    assert [record for record in both if record[1] == 4] == one


def test_invalid_settings_are_reported_with_their_key_as_a_fatal_error_of_the_instance() -> None:
    process = run_adapter(start_frame(tick="soon"))
    record = records(process.stdout)[0]
    assert process.returncode == 0 and record[0] == 0
    assert b"tick" in process.stdout


@pytest.mark.parametrize(
    "data",
    [
        b"abc",
        frame([])[:-4] + struct.pack("<I", 3),
        struct.pack("<IQII", 1, 1, 12, 0),
        frame([request_record()])[:-9],
        frame([b"\x63"]),
        frame([request_record()]),
        start_frame() + frame([struct.pack("<BHIIB", 9, 3, 9, 1, 1)]),
        start_frame() + frame([struct.pack("<BHIII", 8, 3, 1, 50, 4)]),
    ],
    ids=["short", "count", "size", "cut", "code", "instance", "list", "tail"],
)
def test_a_malformed_frame_ends_the_process_with_one_line_and_a_nonzero_status(data: bytes) -> None:
    process = run_adapter(data)
    assert process.returncode != 0
    lines = process.stderr.decode().splitlines()
    assert len(lines) == 1 and lines[0].startswith("malformed frame: ")


def test_a_list_entry_carries_zone_and_kind() -> None:
    adapter = Adapter()
    data = start_frame()
    adapter.answer(data[:20], data[20:])
    (entry,) = adapter.lists[0]
    assert (entry.id, entry.zone, entry.kind, entry.weight) == (42, 1, 6, 1.0)
