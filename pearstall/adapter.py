"""The simulator's wire on standard input and output: it translates frames and decides nothing.

One `Router` an instance; instances share nothing but the process's tables of list entries.
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

BATCH = Struct("<IQII")
REPLY = Struct("<III")
EVENT_SIZE = 64
ENTRY = Struct("<IBBHBfQ")

CALL = Struct("<BHQHfQQBfIIQf")
FLOWING = Struct("<BHQHII")
SETTLED = Struct("<BHQHBIIBIB4f")
ONE_ID = Struct("<BHQ")
BEGIN = Struct("<BHQII")
POOL = Struct("<BIII")
SYNC = Struct("<BHIIB")
CHECKED = Struct("<BHIBIB4f")
NEIGHBOUR = Struct("<BHIII")

RELAY_OUT = Struct("<BHQII5x")
WAKE_OUT = Struct("<BHIQ9x")
REJECT_OUT = Struct("<BHQI9x")
ID_OUT = Struct("<BHQ13x")
RETRACT_OUT = Struct("<BHQH11x")
TRACK_OUT = Struct("<BHB20x")
TEXT_OUT = Struct("<BHII13x")

class Malformed(Exception):
    """What came in is not a frame of this wire."""


def _pack_send(instance: int, action: Send, tail: bytearray) -> bytes:
    return RELAY_OUT.pack(12, instance, action.request, action.timeout, action.replica)


def _pack_timer(instance: int, action: SetTimer, tail: bytearray) -> bytes:
    return WAKE_OUT.pack(7, instance, action.delay, action.tag)


def _pack_refuse(instance: int, action: Refuse, tail: bytearray) -> bytes:
    return REJECT_OUT.pack(9, instance, action.request, action.retry_after)


def _pack_fail(instance: int, action: Fail, tail: bytearray) -> bytes:
    return ID_OUT.pack(5, instance, action.request)


def _pack_cancel(instance: int, action: Cancel, tail: bytearray) -> bytes:
    return RETRACT_OUT.pack(10, instance, action.request, action.attempt)


def _pack_subscribe(instance: int, action: Subscribe, tail: bytearray) -> bytes:
    return TRACK_OUT.pack(11, instance, action.on)


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


class Link:
    """One process's end of the wire: its instances and the numbered lists it was sent."""

    def __init__(self) -> None:
        self.routers: dict[int, Router | None] = {}  # None: it failed, and hears nothing more
        self.lists: dict[int, list[Replica]] = {}

    def answer(self, header: bytes, body: bytes) -> bytes:
        number, now, size, count = BATCH.unpack(header)
        tail_start = count * EVENT_SIZE
        if tail_start > len(body):
            raise Malformed(f"{count} records do not fit into a frame of {size} bytes")
        records: list[bytes] = []
        tail = bytearray()
        routers = self.routers
        for at in range(0, tail_start, EVENT_SIZE):
            code = body[at]
            if code == 7:
                _, bank, offset, entries = POOL.unpack_from(body, at)
                data = _tail(body, tail_start, offset, entries * ENTRY.size)
                self.lists[bank] = [
                    Replica(id, zone, cell, state, weight, started, kind)
                    for id, zone, kind, cell, state, weight, started in ENTRY.iter_unpack(data)
                ]
                continue
            instance = body[at + 1] | body[at + 2] << 8
            if code == 4:
                routers.pop(instance, None)
                continue
            actions: list[Action]
            router: Router | None
            try:
                if code == 2:
                    _, _, seed, offset, length = BEGIN.unpack_from(body, at)
                    routers[instance] = None
                    settings = settings_from_wire(_tail(body, tail_start, offset, length))
                    routers[instance] = router = Router(settings, seed)
                    actions = router.start(now)
                else:
                    if instance not in routers:
                        raise Malformed(f"an event for instance {instance}, which has not begun")
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
        out = b"".join(records)
        return REPLY.pack(number, REPLY.size + len(out) + len(tail), len(records)) + out + tail

    def _event(self, code: int, body: bytes, at: int, tail_start: int) -> Event:
        if code == 3:
            (_, _, id, attempt, done, kept, replica, result, took, n, *values) = SETTLED.unpack_from(body, at)
            report = tuple(values[:n]) if n else ()
            return Outcome(id, attempt, replica, result, done != 0, took, kept, report)
        if code == 0:
            _, _, id, attempt, replica, took = FLOWING.unpack_from(body, at)
            return FirstToken(id, attempt, replica, took)
        if code == 1:
            (_, _, id, bits, _, session, prefix, klass, prompt, hint, tenant, deadline, shared) = (
                CALL.unpack_from(body, at)
            )
            hint = hint if bits & 1 else 0
            return Request(id, klass, deadline, prompt, session, prefix, shared, tenant, hint, bits & 2 != 0)
        if code == 10:
            return Timer(ONE_ID.unpack_from(body, at)[2])
        if code == 6:
            return ClientGone(ONE_ID.unpack_from(body, at)[2])
        if code == 9:
            _, _, bank, _, kind = SYNC.unpack_from(body, at)
            if kind == 3:
                return ReplicaList(kind)
            if bank not in self.lists or kind > 3:
                raise Malformed(f"list {bank} of kind {kind} is not known")
            return ReplicaList(kind, self.lists[bank])
        if code == 5:
            _, _, replica, result, took, n, *values = CHECKED.unpack_from(body, at)
            return ProbeResult(replica, result, took, tuple(values[:n]))
        if code == 8:
            _, _, sender, offset, length = NEIGHBOUR.unpack_from(body, at)
            return PeerMessage(sender, _tail(body, tail_start, offset, length))
        raise Malformed(f"no event has the code {code}")


def _tail(body: bytes, start: int, offset: int, length: int) -> bytes:
    if start + offset + length > len(body):
        raise Malformed("a part of the tail lies past the frame's end")
    return body[start + offset : start + offset + length]


def serve(source: BinaryIO, sink: BinaryIO) -> None:
    link = Link()
    while header := _read(source, BATCH.size, "header"):
        size = BATCH.unpack(header)[2]
        if size < BATCH.size:
            raise Malformed(f"a frame of {size} bytes is shorter than its header")
        body = _read(source, size - BATCH.size, "frame") if size > BATCH.size else b""
        if len(body) < size - BATCH.size:
            raise Malformed("the input ends inside a frame")
        sink.write(link.answer(header, body))
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
