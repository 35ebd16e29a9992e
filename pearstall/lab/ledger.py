"""A ledger of a run: joins per ask what devices received, what the edge logged and what the servers executed.

It only reports. A breach names the ask and the violated rule; a correct run has none.
"""

from __future__ import annotations

import math
from collections import Counter
from collections.abc import Callable
from dataclasses import dataclass, field
from typing import Any

from pearstall.edge.client import DeviceAsk
from pearstall.edge.records import Kind
from pearstall.lab.servers import Execution, ExecutionLog

MAX_EXECUTIONS = 3
PARTIAL = (Kind.CUT, Kind.CANCELLED)  # final records that may follow a partial answer


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
    device_ask: DeviceAsk
    edge_finals: list[dict[str, Any]] = field(default_factory=list)  # the edge's `final` notes
    executions: list[Execution] = field(default_factory=list)
    final_at: float = math.inf  # when the edge made its final record, on the ledger's clock


class Ledger:
    """`clock`: the clock of `execution_log`. `flight`: longest transit of an answer in seconds; an answer completed
    less than that before the edge's final record may not have reached the edge."""

    def __init__(
        self, execution_log: ExecutionLog, clock: Callable[[], float] = lambda: math.inf, flight: float = 0.0
    ) -> None:
        self.execution_log, self.clock, self.flight = execution_log, clock, flight
        self.entries: dict[tuple[str, str], Entry] = {}
        self.events: Counter[str] = Counter()

    def record_ask(self, device: str, ask: DeviceAsk) -> None:
        self.entries[device, ask.id] = Entry(device, ask)

    def note(self, event: str, **fields: Any) -> None:
        """Receives the events that the edge logs."""
        self.events[event] += 1
        if event == "final":
            entry = self.entries.get((fields["device"], fields["ask"]))
            if entry is not None:
                entry.edge_finals.append(fields)
                entry.final_at = self.clock() - self.flight

    def check(self) -> list[Breach]:
        breaches: list[Breach] = []
        for (device, id), entry in self.entries.items():
            entry.executions = self.execution_log.by_txn.get(f"{device}.{id}", [])
            breaches += [Breach(device, id, rule, what) for rule, what in _breaches(entry)]
        for txn in self.execution_log.overlapping:
            device, _, id = txn.partition(".")
            breaches.append(Breach(device, id, "two out", "an execution began while another was running"))
        return breaches

    def kinds(self) -> Counter[str]:
        return Counter(
            str(entry.device_ask.final.kind) if entry.device_ask.final else "none" for entry in self.entries.values()
        )


def _breaches(entry: Entry) -> list[tuple[str, str]]:
    ask, breaches = entry.device_ask, [("order", breach) for breach in entry.device_ask.breaches]
    if len(entry.edge_finals) != 1:
        breaches.append(("one final record", f"the edge made {len(entry.edge_finals)}"))
    if ask.final is None:
        breaches.append(("one final record", "the device received none"))
        return breaches
    edge_final = entry.edge_finals[0] if entry.edge_finals else {}
    if edge_final and (edge_final["kind"], edge_final["number"]) != (str(ask.final.kind), ask.final.number):
        breaches.append(("one final record", f"the device received {ask.final}, the edge made {edge_final}"))
    if len(entry.executions) > MAX_EXECUTIONS:
        breaches.append(("executions", f"{len(entry.executions)}, but at most {MAX_EXECUTIONS} are allowed"))
    if edge_final and len(entry.executions) > edge_final["executions"]:
        breaches.append(
            ("executions", f"servers saw {len(entry.executions)}, the core made {edge_final['executions']}")
        )
    breaches += _content(entry, ask)
    return breaches


def _content(entry: Entry, ask: DeviceAsk) -> list[tuple[str, str]]:
    """Checks that the device has each event of one execution once, in order and byte for byte."""
    assert ask.final is not None
    if ask.final.kind == Kind.SERVED:
        if not any(execution.whole and execution.events == ask.events for execution in entry.executions):
            return [("content", f"{len(ask.events)} events that no execution produced")]
    elif ask.events:
        if ask.final.kind not in PARTIAL:
            return [("content", f"{ask.final.kind} after {len(ask.events)} events")]
        if not any(execution.events[: len(ask.events)] == ask.events for execution in entry.executions):
            return [("content", f"{len(ask.events)} events that no execution started with")]
    if ask.final.kind not in (Kind.SERVED, *PARTIAL) and any(
        execution.whole and execution.ended <= entry.final_at for execution in entry.executions
    ):
        return [("content", f"{ask.final.kind}, although an execution was complete")]
    return []
