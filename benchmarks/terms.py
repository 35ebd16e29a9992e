"""Counts for the operators' terms of acceptance, over the traces of all routers; benchmarks/fleet.py prints them.

`clients that left`: requests whose client disconnected before their first attempt, and those that were sent to a
server regardless. `by prompt length`: the share answered in each tenth of a class's requests, shortest prompts
first, and the last tenth's share relative to the whole class. `sessions refused throughout`: the share of sessions
whose every request was refused, and the share expected by chance from the class's refusals and the number of
requests of each session. `turning all away`: routers that refused `TURNED_AWAY_LEAST` or more requests in a row
over at least `TURNED_AWAY_SECONDS`, with no attempt in between. `loop held up`: the longest delay of the event
loop's own timer, which is how long any event may have waited.
"""

from __future__ import annotations

from collections import defaultdict
from typing import Any

import msgspec

LATE_ATTEMPT = 300_000  # microseconds after the client's disconnect, after which an attempt counts
TURNED_AWAY_LEAST = 15
TURNED_AWAY_SECONDS = 4
TENTHS = 10


class ReceivedRequest(msgspec.Struct):
    """One request as one router received it."""

    class_index: int
    session: int
    prompt_tokens: float
    sent: bool = False
    answered: bool = False
    refused: bool = False
    left_at: int = 0  # when the client disconnected; 0: it didn't


class Terms:
    """Counts from every row of all traces, recorded in order of time."""

    def __init__(self) -> None:
        self.names: list[str] = []
        self.asked: dict[tuple[int, int, int], ReceivedRequest] = {}
        self.starts: dict[int, int] = defaultdict(int)
        self.sent_after_disconnect = 0
        self.refusals_in_a_row: dict[int, tuple[int, int]] = {}  # by router: count, time of the first
        self.turned_away: set[int] = set()
        self.longest_delay = 0.0

    def record(self, at: int, router: int, row: list[Any]) -> None:
        kind = row[0]
        if kind == "start":
            self.starts[router] += 1
            self.names = row[4] if len(row) > 4 else self.names
        elif kind == "cpu":
            self.longest_delay = max(self.longest_delay, row[3] if len(row) > 3 else 0.0)
        elif kind in ("Request", "FirstToken", "Outcome", "ClientGone", "Timer") and len(row) > 3:
            self._on_event(at, router, kind, row[2])
            for name, action in row[3]:
                self._on_action(at, router, name, action)

    def _find(self, router: int, request: int | None) -> ReceivedRequest | None:
        return self.asked.get((router, self.starts[router], request)) if request is not None else None

    def _on_event(self, at: int, router: int, kind: str, event: dict[str, Any]) -> None:
        if kind == "Request":
            self.asked[router, self.starts[router], event["id"]] = ReceivedRequest(
                event["class_index"], event.get("session", 0), event.get("prompt_tokens", 0.0)
            )
            return
        asked = self._find(router, event.get("request"))
        if asked is None:
            return
        if kind == "FirstToken":
            asked.answered = True
        elif kind == "ClientGone" and not asked.left_at:
            asked.left_at = at

    def _on_action(self, at: int, router: int, name: str, action: dict[str, Any]) -> None:
        asked = self._find(router, action.get("request"))
        if asked is None:
            return
        if name == "Send":
            self.refusals_in_a_row.pop(router, None)
            asked.sent = True
            self.sent_after_disconnect += bool(asked.left_at) and at - asked.left_at > LATE_ATTEMPT
        elif name == "Refuse":
            asked.refused = True
            count, since = self.refusals_in_a_row.get(router, (0, at))
            self.refusals_in_a_row[router] = count + 1, since
            if count + 1 >= TURNED_AWAY_LEAST and at - since >= TURNED_AWAY_SECONDS * 1_000_000:
                self.turned_away.add(router)

    def results(self) -> dict[str, Any]:
        by_class: dict[int, list[ReceivedRequest]] = defaultdict(list)
        for asked in self.asked.values():
            by_class[asked.class_index].append(asked)
        left = [asked for asked in self.asked.values() if asked.left_at and not asked.sent]
        return {
            "clients that left": {"before an attempt": len(left), "sent on all the same": self.sent_after_disconnect},
            "by prompt length": {
                self._name(number): by_length(requests) for number, requests in sorted(by_class.items())
            },
            "sessions refused throughout": {
                self._name(number): refused_throughout(one) for number, one in sorted(by_class.items())
            },
            "turning all away": f"{len(self.turned_away)} of {len(self.starts)}",
            "loop held up, ms": round(1e3 * self.longest_delay, 1),
        }

    def _name(self, number: int) -> str:
        return self.names[number] if number < len(self.names) else str(number)


def share(values: list[bool]) -> float:
    return sum(values) / len(values) if values else 0.0


def by_length(requests: list[ReceivedRequest]) -> dict[str, Any]:
    ordered = sorted(requests, key=lambda asked: asked.prompt_tokens)
    bounds = [len(ordered) * tenth // TENTHS for tenth in range(TENTHS + 1)]
    tenths = [
        share([asked.answered for asked in ordered[begin:end]])
        for begin, end in zip(bounds, bounds[1:], strict=False)
    ]
    whole = share([asked.answered for asked in requests])
    return {
        "answered": [round(one, 2) for one in tenths],
        "the longest against all": round(tenths[-1] / whole, 2) if whole else 0.0,
    }


def refused_throughout(requests: list[ReceivedRequest]) -> dict[str, float]:
    sessions: dict[int, list[bool]] = defaultdict(list)
    for asked in requests:
        if asked.session:
            sessions[asked.session].append(asked.refused)
    chance_of_one = share([refused for turns in sessions.values() for refused in turns])
    throughout = share([all(turns) for turns in sessions.values()])
    by_chance = sum(chance_of_one ** len(turns) for turns in sessions.values()) / max(1, len(sessions))
    return {"sessions": len(sessions), "share": round(throughout, 3), "by chance": round(by_chance, 3)}
