"""`pearstall ask`: sends an ask from the command line, as a device does."""

from __future__ import annotations

import json
import sys
import uuid
from typing import Any, cast

import msgspec

from pearstall.edge.client import AttemptFailure, DeviceAsk, DeviceClient, WireName
from pearstall.edge.records import Kind
from pearstall.net.events import payloads

MAX_RECONNECT_DELAY = 8.0  # seconds
FINAL_CODES = ("unauthorized", "bad_ask", "ask_id_reused", "events_gone", "unknown_ask", "bad_position", "too_large",
               "bad_handshake", "no_key")  # fmt: skip


class Dropped(Exception):
    """Raised by the command to close its own connection."""


class _PrintedAsk(DeviceAsk):
    """Prints the events as they arrive."""

    def __init__(self, *args: Any, as_json: bool, drop_after: int | None) -> None:
        super().__init__(*args)
        self.as_json, self.drop_after = as_json, drop_after

    def take(self, first: int, events: list[bytes], now: float) -> None:
        super().take(first, events, now)
        for number, event in enumerate(events, first):
            if self.as_json:
                print_row({"type": "event", "number": number, "event": event.decode(errors="replace")})
            else:
                print(text_of(event), end="", flush=True)
        if self.drop_after is not None and len(self.events) >= self.drop_after:
            self.drop_after = None
            raise Dropped


def print_row(row: dict[str, Any]) -> None:
    print(json.dumps(row), flush=True)


def text_of(event: bytes) -> str:
    """The text that an event adds, if it is a chunk of a chat completion."""
    text = ""
    for payload in payloads(event):
        try:
            row = msgspec.json.decode(payload)
            text += "".join((part.get("delta") or {}).get("content") or "" for part in row.get("choices") or ())
        except (msgspec.DecodeError, AttributeError, TypeError):
            continue
    return text


async def run_ask(
    url: str, token: str, wire: str, body: dict[str, Any], lane: str, id: str, remaining: float | None,
    drop_after: int | None, as_json: bool,
) -> int:  # fmt: skip
    """Returns the exit code: 0 if the ask was served, 1 if it ended otherwise, 2 if the edge rejected it."""
    import asyncio

    device_ask = _PrintedAsk(id or uuid.uuid4().hex, body, lane, remaining, as_json=as_json, drop_after=drop_after)
    client = DeviceClient(url, token)
    delay = 0.1
    while True:
        try:
            failure = await client.attempt(cast(WireName, wire), device_ask)
        except Dropped:
            failure = AttemptFailure("dropped", "closed by --drop-after")
            delay = 0.1
        if failure is None:
            break
        if failure.code in FINAL_CODES:
            if as_json:
                print_row({"type": "problem", "code": failure.code, "detail": failure.detail})
            else:
                print(f"\n{failure.code}: {failure.detail}", file=sys.stderr)
            return 2
        pause = failure.retry_after or delay
        delay = min(MAX_RECONNECT_DELAY, delay * 2)
        if as_json:
            print_row(
                {
                    "type": "reconnect",
                    "code": failure.code,
                    "detail": failure.detail,
                    "after_s": pause,
                    "held": device_ask.last,
                }
            )
        else:
            print(
                f"\n[{failure.code}: reconnecting in {pause:.1f} s, {device_ask.last} events received]",
                file=sys.stderr,
                flush=True,
            )
        await asyncio.sleep(pause)
    final = device_ask.final
    assert final is not None
    if as_json:
        print_row({"type": "final", "ask": device_ask.id, **msgspec.to_builtins(final)})
    else:
        advice = f"; retry after {final.retry_after_ms} ms" if final.retry_after_ms else ""
        ending = str(final.kind) + (f" ({final.reason})" if final.reason else "")
        print(f"\n[{ending}, {len(device_ask.events)} events{advice}]", file=sys.stderr)
    return 0 if final.kind == Kind.SERVED else 1
