"""Adapter between the simulator's binary protocol on standard input and output and `Router`.

It translates records to events and actions to records, and makes no decisions. The process runs one `Router` per
simulated gateway ("instance"); instances share nothing but the replica lists that the simulator sent to the process.
"""

from __future__ import annotations

import sys
from collections.abc import Callable
from struct import Struct
from typing import Any, BinaryIO

from pearstall.choice import Router
from pearstall.interface import (
    Action,
    Cancel,
    ClientGone,
    Event,
    Fail,
    FirstToken,
    Log,
    Outcome,
    PeerMessage,
    ProbeResult,
    Refuse,
    Replica,
    ReplicaList,
    Request,
    Send,
    SetTimer,
    Subscribe,
    Timer,
)
from pearstall.settings import settings_from_wire

# A frame is a header, records of a fixed size and a tail with data of variable length, which records refer to by
# offset and length. Each record begins with its code and, except for a replica list, the number of its instance.
BATCH_HEADER = Struct("<IQII")  # batch number, time, size of the whole frame, number of records
REPLY_HEADER = Struct("<III")  # batch number, size of the whole frame, number of records
EVENT_SIZE = 64  # bytes of an input record, padding included
LIST_ENTRY = Struct("<IBBHBfQ")  # in the tail: one replica of a list

# Input records, with their codes and their names in the protocol.
REQUEST = Struct("<BHQHfQQBfIIQf")  # 1 call
FIRST_TOKEN = Struct("<BHQHII")  # 0 flowing
OUTCOME = Struct("<BHQHBIIBIB4f")  # 3 settled
ID_ONLY = Struct("<BHQ")  # 6: client gone, 10: timer
START = Struct("<BHQII")  # 2 begin: starts an instance; its settings are in the tail
LIST_TABLE = Struct("<BIII")  # 7 pool: a numbered replica list for later LIST_CHANGE records
LIST_CHANGE = Struct("<BHIIB")  # 9 sync: one of these lists, for one instance
PROBE_RESULT = Struct("<BHIBIB4f")  # 5 checked
PEER_MESSAGE = Struct("<BHIII")  # 8 neighbour

# Output records, likewise.
SEND_OUT = Struct("<BHQII5x")  # 12 relay
TIMER_OUT = Struct("<BHIQ9x")  # 7 wake_at
REFUSE_OUT = Struct("<BHQI9x")  # 9 reject
FAIL_OUT = Struct("<BHQ13x")  # 5
CANCEL_OUT = Struct("<BHQH11x")  # 10 retract
SUBSCRIBE_OUT = Struct("<BHB20x")  # 11 track
TEXT_OUT = Struct("<BHII13x")  # 0: fatal error of the instance, 3: log line


class Malformed(Exception):
    """The input violates the protocol."""


def _pack_send(instance: int, action: Send, tail: bytearray) -> bytes:
    return SEND_OUT.pack(12, instance, action.request, action.timeout, action.replica)


def _pack_timer(instance: int, action: SetTimer, tail: bytearray) -> bytes:
    return TIMER_OUT.pack(7, instance, action.delay, action.tag)


def _pack_refuse(instance: int, action: Refuse, tail: bytearray) -> bytes:
    return REFUSE_OUT.pack(9, instance, action.request, action.retry_after)


def _pack_fail(instance: int, action: Fail, tail: bytearray) -> bytes:
    return FAIL_OUT.pack(5, instance, action.request)


def _pack_cancel(instance: int, action: Cancel, tail: bytearray) -> bytes:
    return CANCEL_OUT.pack(10, instance, action.request, action.attempt)


def _pack_subscribe(instance: int, action: Subscribe, tail: bytearray) -> bytes:
    return SUBSCRIBE_OUT.pack(11, instance, action.on)


def _pack_log(instance: int, action: Log, tail: bytearray) -> bytes:
    return _pack_text(3, instance, action.text, tail)


def _pack_text(code: int, instance: int, text: str, tail: bytearray) -> bytes:
    data = text.encode()
    record = TEXT_OUT.pack(code, instance, len(tail), len(data))
    tail += data
    return record


PACK: dict[type, Callable[[int, Any, bytearray], bytes]] = {
    Send: _pack_send,
    SetTimer: _pack_timer,
    Refuse: _pack_refuse,
    Fail: _pack_fail,
    Cancel: _pack_cancel,
    Subscribe: _pack_subscribe,
    Log: _pack_log,
}


class Adapter:
    """The instances of one process, and the numbered replica lists that it received."""

    def __init__(self) -> None:
        self.routers: dict[int, Router | None] = {}  # None: it raised an exception, and gets no more events
        self.lists: dict[int, list[Replica]] = {}

    def answer(self, header: bytes, body: bytes) -> bytes:
        """Passes the events of one frame to their instances; returns a frame with all resulting actions."""
        number, now, size, count = BATCH_HEADER.unpack(header)
        tail_start = count * EVENT_SIZE
        if tail_start > len(body):
            raise Malformed(f"{count} records do not fit into a frame of {size} bytes")
        records: list[bytes] = []
        tail = bytearray()
        routers = self.routers
        for at in range(0, tail_start, EVENT_SIZE):
            code = body[at]
            if code == 7:
                _, list_number, offset, entries = LIST_TABLE.unpack_from(body, at)
                data = _tail(body, tail_start, offset, entries * LIST_ENTRY.size)
                self.lists[list_number] = [
                    Replica(id, zone, cell, state, weight, started, kind)
                    for id, zone, kind, cell, state, weight, started in LIST_ENTRY.iter_unpack(data)
                ]
                continue
            instance = body[at + 1] | body[at + 2] << 8
            if code == 4:  # stops an instance
                routers.pop(instance, None)
                continue
            actions: list[Action]
            router: Router | None
            try:
                if code == 2:
                    _, _, seed, offset, length = START.unpack_from(body, at)
                    routers[instance] = None
                    settings = settings_from_wire(_tail(body, tail_start, offset, length))
                    routers[instance] = router = Router(settings, seed)
                    actions = router.start(now)
                else:
                    if instance not in routers:
                        raise Malformed(f"event for instance {instance}, which was not started")
                    router = routers[instance]
                    if router is None:
                        continue
                    actions = router.handle(now, self._event(code, body, at, tail_start))
            except Malformed:
                raise
            except Exception as error:
                routers[instance] = None
                text = f"{type(error).__name__}: {error}"
                records.append(_pack_text(0, instance, text, tail))
                continue
            for action in actions:
                records.append(PACK[type(action)](instance, action, tail))
        packed = b"".join(records)
        return REPLY_HEADER.pack(number, REPLY_HEADER.size + len(packed) + len(tail), len(records)) + packed + tail

    def _event(self, code: int, body: bytes, at: int, tail_start: int) -> Event:
        if code == 3:
            (_, _, id, attempt, done, cached, replica, result, took, n, *values) = OUTCOME.unpack_from(body, at)
            report = tuple(values[:n]) if n else ()
            return Outcome(id, attempt, replica, result, done != 0, took, cached, report)
        if code == 0:
            _, _, id, attempt, replica, took = FIRST_TOKEN.unpack_from(body, at)
            return FirstToken(id, attempt, replica, took)
        if code == 1:
            (_, _, id, flags, _, session, prefix, klass, prompt, hint, tenant, deadline, prefix_tokens) = (
                REQUEST.unpack_from(body, at)
            )
            hint = hint if flags & 1 else 0
            return Request(id, klass, deadline, prompt, session, prefix, prefix_tokens, tenant, hint, flags & 2 != 0)
        if code == 10:
            return Timer(ID_ONLY.unpack_from(body, at)[2])
        if code == 6:
            return ClientGone(ID_ONLY.unpack_from(body, at)[2])
        if code == 9:
            _, _, list_number, _, kind = LIST_CHANGE.unpack_from(body, at)
            if kind == 3:
                return ReplicaList(kind)
            if list_number not in self.lists or kind > 3:
                raise Malformed(f"unknown list number {list_number} or list kind {kind}")
            return ReplicaList(kind, self.lists[list_number])
        if code == 5:
            _, _, replica, result, took, n, *values = PROBE_RESULT.unpack_from(body, at)
            return ProbeResult(replica, result, took, tuple(values[:n]))
        if code == 8:
            _, _, sender, offset, length = PEER_MESSAGE.unpack_from(body, at)
            return PeerMessage(sender, _tail(body, tail_start, offset, length))
        raise Malformed(f"unknown event code {code}")


def _tail(body: bytes, start: int, offset: int, length: int) -> bytes:
    if start + offset + length > len(body):
        raise Malformed("an offset and length point past the end of the frame")
    return body[start + offset : start + offset + length]


def serve(source: BinaryIO, sink: BinaryIO) -> None:
    """Answers frames until the end of the input."""
    adapter = Adapter()
    while header := _read(source, BATCH_HEADER.size, "header"):
        size = BATCH_HEADER.unpack(header)[2]
        if size < BATCH_HEADER.size:
            raise Malformed(f"a frame of {size} bytes is shorter than its header")
        body = _read(source, size - BATCH_HEADER.size, "frame") if size > BATCH_HEADER.size else b""
        if len(body) < size - BATCH_HEADER.size:
            raise Malformed("the input ends inside a frame")
        sink.write(adapter.answer(header, body))
        sink.flush()


def _read(source: BinaryIO, size: int, what: str) -> bytes:
    data = source.read(size)
    if data and len(data) < size:
        raise Malformed(f"the input ends inside a {what}")
    return data


def main() -> int:
    try:
        serve(sys.stdin.buffer, sys.stdout.buffer)
    except Malformed as error:
        print(f"malformed frame: {error}", file=sys.stderr)
        return 2
    return 0


if __name__ == "__main__":
    sys.exit(main())
