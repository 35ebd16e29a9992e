"""Terms of the operators' acceptance, counted over the traces of all routers; benchmarks/fleet.py prints them.

`clients that left`: requests whose client was found gone before their first attempt, and those sent on all the
same. `by prompt length`: the share answered in each tenth of a class's requests, shortest prompts first, and that of
the last tenth against the whole class. `sessions refused throughout`: their share against what chance gives, reckoned
from the class's share of refusals and the number of requests of each session. `turning all away`: routers that
refused all of `TURNED_AWAY_LEAST` requests or more over `TURNED_AWAY_SECONDS` with no attempt in between. `loop held
up`: by how much the loop's own timer came late at most, which is how long any event may have waited there.
"""

from __future__ import annotations

from collections import defaultdict
from typing import Any

import msgspec

SENT_ON_LATE = 300_000  # microseconds
TURNED_AWAY_LEAST = 15
TURNED_AWAY_SECONDS = 4
TENTHS = 10


class Asked(msgspec.Struct):
    """One request at one router."""

    class_index: int
    session: int
    prompt_tokens: float
    sent: bool = False
    answered: bool = False
    refused: bool = False
    left: int = 0  # when its client was found gone; 0: it was not


class Terms:
    """Told every row of every trace in the order of time."""

    def __init__(self) -> None:
        self.names: list[str] = []
        self.asked: dict[tuple[int, int, int], Asked] = {}
        self.starts: dict[int, int] = defaultdict(int)
        self.sent_on = 0
        self.turning: dict[int, tuple[int, int]] = {}  # by router: refusals since an attempt, and since when
        self.turned_away: set[int] = set()
        self.held_up = 0.0

    def tell(self, at: int, who: int, row: list[Any]) -> None:
        kind = row[0]
        if kind == "start":
            self.starts[who] += 1
            self.names = row[4] if len(row) > 4 else self.names
        elif kind == "cpu":
            self.held_up = max(self.held_up, row[3] if len(row) > 3 else 0.0)
        elif kind in ("Request", "FirstToken", "Outcome", "ClientGone", "Timer") and len(row) > 3:
            self._event(at, who, kind, row[2])
            for name, action in row[3]:
                self._action(at, who, name, action)

    def _find(self, who: int, request: int | None) -> Asked | None:
        return self.asked.get((who, self.starts[who], request)) if request is not None else None

    def _event(self, at: int, who: int, kind: str, event: dict[str, Any]) -> None:
        if kind == "Request":
            self.asked[who, self.starts[who], event["id"]] = Asked(
                event["class_index"], event.get("session", 0), event.get("prompt_tokens", 0.0)
            )
            return
        asked = self._find(who, event.get("request"))
        if asked is None:
            return
        if kind == "FirstToken":
            asked.answered = True
        elif kind == "ClientGone" and not asked.left:
            asked.left = at

    def _action(self, at: int, who: int, name: str, action: dict[str, Any]) -> None:
        asked = self._find(who, action.get("request"))
        if asked is None:
            return
        if name == "Send":
            self.turning.pop(who, None)
            asked.sent = True
            self.sent_on += bool(asked.left) and at - asked.left > SENT_ON_LATE
        elif name == "Refuse":
            asked.refused = True
            count, since = self.turning.get(who, (0, at))
            self.turning[who] = count + 1, since
            if count + 1 >= TURNED_AWAY_LEAST and at - since >= TURNED_AWAY_SECONDS * 1_000_000:
                self.turned_away.add(who)

    def found(self) -> dict[str, Any]:
        by_class: dict[int, list[Asked]] = defaultdict(list)
        for asked in self.asked.values():
            by_class[asked.class_index].append(asked)
        left = [asked for asked in self.asked.values() if asked.left and not asked.sent]
        return {
            "clients that left": {"before an attempt": len(left), "sent on all the same": self.sent_on},
            "by prompt length": {self._name(number): by_length(its) for number, its in sorted(by_class.items())},
            "sessions refused throughout": {
                self._name(number): refused_throughout(its) for number, its in sorted(by_class.items())
            },
            "turning all away": f"{len(self.turned_away)} of {len(self.starts)}",
            "loop held up, ms": round(1e3 * self.held_up, 1),
        }

    def _name(self, number: int) -> str:
        return self.names[number] if number < len(self.names) else str(number)


def share(values: list[bool]) -> float:
    return sum(values) / len(values) if values else 0.0


def by_length(its: list[Asked]) -> dict[str, Any]:
    ordered = sorted(its, key=lambda asked: asked.prompt_tokens)
    bounds = [len(ordered) * tenth // TENTHS for tenth in range(TENTHS + 1)]
    tenths = [
        share([asked.answered for asked in ordered[begin:end]])
        for begin, end in zip(bounds, bounds[1:], strict=False)
    ]
    whole = share([asked.answered for asked in its])
    return {
        "answered": [round(one, 2) for one in tenths],
        "the longest against all": round(tenths[-1] / whole, 2) if whole else 0.0,
    }


def refused_throughout(its: list[Asked]) -> dict[str, float]:
    sessions: dict[int, list[bool]] = defaultdict(list)
    for asked in its:
        if asked.session:
            sessions[asked.session].append(asked.refused)
    chance_of_one = share([refused for turns in sessions.values() for refused in turns])
    throughout = share([all(turns) for turns in sessions.values()])
    by_chance = sum(chance_of_one ** len(turns) for turns in sessions.values()) / max(1, len(sessions))
    return {"sessions": len(sessions), "share": round(throughout, 3), "by chance": round(by_chance, 3)}
