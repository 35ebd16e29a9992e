"""`pearstall ask`: a device on the command line."""

from __future__ import annotations

import json
import sys
import uuid
from typing import Any, cast

import msgspec

from pearstall.edge.client import AttemptFailure, DeviceAsk, DeviceClient, WireName
from pearstall.edge.records import Kind
from pearstall.net.events import payloads

MOST_WAIT = 8.0
FINAL_CODES = ("unauthorized", "bad_ask", "ask_id_reused", "events_gone", "unknown_ask", "bad_position", "too_large",
               "bad_handshake", "no_key")  # fmt: skip


class Dropped(Exception):
    """The command cuts its own link."""


class _Shown(DeviceAsk):
    """Prints what comes, as it comes."""

    def __init__(self, *given: Any, as_json: bool, drop_after: int | None) -> None:
        super().__init__(*given)
        self.as_json, self.drop_after = as_json, drop_after

    def take(self, first: int, events: list[bytes], now: float) -> None:
        super().take(first, events, now)
        for number, event in enumerate(events, first):
            if self.as_json:
                say({"type": "event", "number": number, "event": event.decode(errors="replace")})
            else:
                print(text_of(event), end="", flush=True)
        if self.drop_after is not None and len(self.events) >= self.drop_after:
            self.drop_after = None
            raise Dropped


def say(row: dict[str, Any]) -> None:
    print(json.dumps(row), flush=True)


def text_of(event: bytes) -> str:
    """The words that an event adds, where it is a chat completion's."""
    out = ""
    for payload in payloads(event):
        try:
            row = msgspec.json.decode(payload)
            out += "".join((part.get("delta") or {}).get("content") or "" for part in row.get("choices") or ())
        except (msgspec.DecodeError, AttributeError, TypeError):
            continue
    return out


async def run_ask(
    url: str, token: str, wire: str, body: dict[str, Any], lane: str, id: str, remaining: float | None,
    drop_after: int | None, as_json: bool,
) -> int:  # fmt: skip
    """The exit code: 0 served, 1 ended otherwise, 2 the edge won't have it."""
    import asyncio

    held = _Shown(id or uuid.uuid4().hex, body, lane, remaining, as_json=as_json, drop_after=drop_after)
    client = DeviceClient(url, token)
    wait = 0.1
    while True:
        try:
            told = await client.attempt(cast(WireName, wire), held)
        except Dropped:
            told = AttemptFailure("dropped", "cut by --drop-after")
            wait = 0.1
        if told is None:
            break
        if told.code in FINAL_CODES:
            if as_json:
                say({"type": "problem", "code": told.code, "detail": told.detail})
            else:
                print(f"\n{told.code}: {told.detail}", file=sys.stderr)
            return 2
        pause = told.retry_after or wait
        wait = min(MOST_WAIT, wait * 2)
        if as_json:
            say({"type": "reconnect", "code": told.code, "detail": told.detail, "after_s": pause, "held": held.last})
        else:
            print(f"\n[{told.code}: back in {pause:.1f} s, holding {held.last} events]", file=sys.stderr, flush=True)
        await asyncio.sleep(pause)
    final = held.final
    assert final is not None
    if as_json:
        say({"type": "final", "ask": held.id, **msgspec.to_builtins(final)})
    else:
        advice = f"; worth asking again in {final.retry_after_ms} ms" if final.retry_after_ms else ""
        ending = str(final.kind) + (f" ({final.reason})" if final.reason else "")
        print(f"\n[{ending}, {len(held.events)} events{advice}]", file=sys.stderr)
    return 0 if final.kind == Kind.SERVED else 1
