"""A ledger of a run: what devices hold, what the edge said and what the servers ran, joined ask by ask.

It mends nothing and knows no reasons. A breach names the ask and the rule; an empty list is what a run must show.
"""

from __future__ import annotations

import math
from collections import Counter
from collections.abc import Callable
from dataclasses import dataclass, field
from typing import Any

from pearstall.edge.client import DeviceAsk
from pearstall.edge.records import Kind
from pearstall.lab.servers import Books, Execution

MOST_EXECUTIONS = 3
PARTIAL = (Kind.CUT, Kind.CANCELLED)  # such a final record may follow a part of an answer


@dataclass(slots=True, frozen=True)
class Breach:
    device: str
    ask: str
    rule: str
    what: str

    def __str__(self) -> str:
        return f"{self.device}/{self.ask}: {self.rule}: {self.what}"


@dataclass(slots=True)
class Entry:
    device: str
    held: DeviceAsk
    said: list[dict[str, Any]] = field(default_factory=list)  # the edge's `final` notes
    executions: list[Execution] = field(default_factory=list)
    said_at: float = math.inf  # when the edge made its final record, on the ledger's clock


class Ledger:
    """`clock`: that of the books. `flight`: seconds that an answer may be under way; one that was whole so shortly
    before the edge gave the ask up had not come yet."""

    def __init__(self, books: Books, clock: Callable[[], float] = lambda: math.inf, flight: float = 0.0) -> None:
        self.books, self.clock, self.flight = books, clock, flight
        self.entries: dict[tuple[str, str], Entry] = {}
        self.events: Counter[str] = Counter()

    def asked(self, device: str, held: DeviceAsk) -> None:
        self.entries[device, held.id] = Entry(device, held)

    def note(self, event: str, **fields: Any) -> None:
        """The edge's log."""
        self.events[event] += 1
        if event == "final":
            entry = self.entries.get((fields["device"], fields["ask"]))
            if entry is not None:
                entry.said.append(fields)
                entry.said_at = self.clock() - self.flight

    def check(self) -> list[Breach]:
        out: list[Breach] = []
        for (device, id), entry in self.entries.items():
            entry.executions = self.books.by_txn.get(f"{device}.{id}", [])
            out += [Breach(device, id, rule, what) for rule, what in _breaches(entry)]
        for txn in self.books.doubles:
            device, _, id = txn.partition(".")
            out.append(Breach(device, id, "two out", "an execution began while another was out"))
        return out

    def kinds(self) -> Counter[str]:
        return Counter(str(one.held.final.kind) if one.held.final else "none" for one in self.entries.values())


def _breaches(entry: Entry) -> list[tuple[str, str]]:
    held, out = entry.held, [("order", breach) for breach in entry.held.breaches]
    if len(entry.said) != 1:
        out.append(("one final record", f"the edge made {len(entry.said)}"))
    if held.final is None:
        out.append(("one final record", "the device holds none"))
        return out
    said = entry.said[0] if entry.said else {}
    if said and (said["kind"], said["number"]) != (str(held.final.kind), held.final.number):
        out.append(("one final record", f"the device holds {held.final}, the edge made {said}"))
    if len(entry.executions) > MOST_EXECUTIONS:
        out.append(("executions", f"{len(entry.executions)}, and {MOST_EXECUTIONS} are allowed"))
    if said and len(entry.executions) > said["executions"]:
        out.append(("executions", f"servers saw {len(entry.executions)}, the core made {said['executions']}"))
    out += _content(entry, held)
    return out


def _content(entry: Entry, held: DeviceAsk) -> list[tuple[str, str]]:
    """Every event once, in order and byte for byte, of one execution."""
    assert held.final is not None
    if held.final.kind == Kind.SERVED:
        if not any(one.whole and one.events == held.events for one in entry.executions):
            return [("content", f"{len(held.events)} events that no execution made so")]
    elif held.events:
        if held.final.kind not in PARTIAL:
            return [("content", f"{held.final.kind} behind {len(held.events)} events")]
        if not any(one.events[: len(held.events)] == held.events for one in entry.executions):
            return [("content", f"{len(held.events)} events that no execution began with")]
    if held.final.kind not in (Kind.SERVED, *PARTIAL) and any(
        one.whole and one.ended <= entry.said_at for one in entry.executions
    ):
        return [("content", f"{held.final.kind}, though an execution was whole")]
    return []
