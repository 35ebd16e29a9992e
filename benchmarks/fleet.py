"""Counts over all routers of a fleet, from their traces: `python -m pearstall --trace`, one log a router.

    python benchmarks/fleet.py FOLDER [--json] [--plots FOLDER]
    python benchmarks/fleet.py FOLDER --follow TXN

A row a second: what came, was sent (also to cold servers), tried again, refused, began and failed; connects; routers
that hold a watch, calls to discovery. Then first tokens by the streams that their server had out, from all routers
together, when they were sent; and over the whole run connects to one server, ejections by the failure before them,
waits for lists, starts, CPU. `turns`: where the turns of sessions went, and how much of their prompts was kept there.
`by class`: what became of each class's tries, a row for each phase: before anything is replaced, from the first news
of it (a server that drains, goes or has just started, a router that starts again) to the last, and after it. A try
ends once: with a first token, refused (and why), failed, or its client gone; `never sent`: no server saw it.
What `benchmarks/terms.py` counts comes last.

`--follow` prints every line that any router has of one request by its `X-Txn`, and of its client's other tries: they
ask for the same prompt of the same session under ids of their own.
"""

from __future__ import annotations

import argparse
import json
import sys
from collections import Counter, defaultdict
from collections.abc import Iterator
from pathlib import Path
from statistics import mean, median
from typing import Any

ROOT = Path(__file__).parent.parent
sys.path.insert(0, str(ROOT))

from benchmarks.common import main  # noqa: E402
from benchmarks.terms import Terms  # noqa: E402
from pearstall.interface import ListKind, Result, State  # noqa: E402

COLD = 21_000_000  # microseconds for which a server counts as cold
STREAMS = 5  # the width of a class of streams out
COLUMNS = ("asked", "sent", "cold", "again", "refused", "refused again", "first", "TIMEOUT", "FULL", "ERROR",
           "RESET", "CONNECT_FAILED", "connect", "made", "read", "call")  # fmt: skip


def rows(path: Path) -> Iterator[list[Any]]:
    for line in path.read_text(errors="replace").splitlines():
        at = line.find("trace [")
        if at >= 0:
            try:
                yield json.loads(line[at + 6 :])
            except ValueError:  # cut by a kill
                continue


def part(values: list[float], share: float) -> float:
    return sorted(values)[min(len(values) - 1, int(share * len(values)))] if values else 0.0


PHASES = ("before", "while", "after")
ENDS = ("asked", "first", "refused", "failed", "gone", "never sent", "TIMEOUT", "RESET", "CONNECT_FAILED", "FULL")


def phases(events: list[tuple[int, int, list[Any]]]) -> tuple[int, int]:
    """When servers and routers began and ended to be replaced: the whole of it lies before, where none were."""
    begin, names, changes = events[0][0], Counter[int](), []
    for at, who, row in events:
        if row[0] == "start":
            names[who] += 1
            if names[who] > 1:
                changes.append(at)
        elif row[0] == "ReplicaList" and any(
            state != State.READY or since > begin for _, _, _, state, since in row[3]
        ):  # fmt: skip
            changes.append(at)
    return (min(changes), max(changes)) if changes else (events[-1][0] + 1, events[-1][0] + 1)


class Classes:
    """What became of the tries of each class, by the phase in which they came."""

    def __init__(self, first: int, last: int) -> None:
        self.first, self.last = first, last
        self.names: list[str] = []
        self.counts: dict[tuple[str, int], Counter[str]] = defaultdict(Counter)
        self.open: dict[tuple[int, int], Counter[str]] = {}
        self.unsent: set[tuple[int, int]] = set()

    def tell(self, at: int, who: int, row: list[Any]) -> None:
        kind = row[0]
        if kind == "start":
            self.names = row[4] if len(row) > 4 else self.names
        if kind not in ("Request", "FirstToken", "Outcome", "ClientGone", "Timer", "ReplicaList") or len(row) < 4:
            return
        event, actions = row[2], row[3]
        if kind == "ReplicaList":
            return
        about = event.get("request", event.get("id", event.get("tag")))
        if kind == "Request":
            phase = PHASES[(at >= self.first) + (at > self.last)]
            self.open[who, about] = self.counts[phase, event["class_index"]]
            self.unsent.add((who, about))
            self._count(who, about, "asked")
        elif kind == "FirstToken":
            self._end(who, about, "first")
        elif kind == "Outcome" and event["result"] not in (Result.OK, Result.CANCELLED):
            self._count(who, about, Result(event["result"]).name)
        elif kind == "ClientGone":
            self._end(who, about, "gone")
        for name, action in actions:
            if name == "Send":
                self.unsent.discard((who, action["request"]))
            elif name == "Refuse":
                self._end(who, action["request"], "refused", action.get("why", "") or "?")
            elif name == "Fail":
                self._end(who, action["request"], "failed", action.get("why", "") or "?")

    def _count(self, who: int, about: int, *what: str) -> None:
        if (who, about) in self.open:
            self.open[who, about].update(what)

    def _end(self, who: int, about: int, what: str, why: str = "") -> None:
        never = ("never sent",) if (who, about) in self.unsent else ()
        self._count(who, about, what, *never, *((f"{what}: {why}",) if why else ()))
        self.open.pop((who, about), None)
        self.unsent.discard((who, about))

    def table(self) -> list[dict[str, Any]]:
        whys = sorted({key for one in self.counts.values() for key in one if ": " in key})
        asked: Counter[str] = Counter()
        for (phase, _), counts in self.counts.items():
            asked[phase] += counts["asked"]
        return [
            {"phase": phase, "class": self.names[number] if number < len(self.names) else str(number),
             "share": round(counts["asked"] / asked[phase], 3), **{name: counts[name] for name in (*ENDS, *whys)}}
            for (phase, number), counts in sorted(self.counts.items(), key=lambda one: PHASES.index(one[0][0]))
        ]  # fmt: skip


class Fleet:
    """What all routers together did, told in the order of time."""

    def __init__(self) -> None:
        self.seconds: dict[int, Counter[str]] = defaultdict(Counter)
        self.first: dict[int, list[float]] = defaultdict(list)
        self.kept: dict[int, list[float]] = defaultdict(list)
        self.watches: dict[int, int] = {}  # routers with a list that is kept up to date
        self.most: dict[int, int] = {}  # streams out at the server that has most
        self.crowds: dict[int, list[float]] = defaultdict(list)  # seconds to first tokens, by streams out
        self.late: Counter[int] = Counter()  # time-outs, likewise
        self.connects: Counter[tuple[int, int]] = Counter()
        self.out: Counter[int] = Counter()
        self.calls: dict[tuple[int, int], dict[str, Any]] = {}
        self.attempts: dict[tuple[int, int, int], tuple[int, int]] = {}  # its server, and the streams out there
        self.started: dict[int, int] = {}
        self.failed: dict[tuple[int, int], str] = {}
        self.ejections: Counter[str] = Counter()
        self.watching: set[int] = set()
        self.asked: dict[int, int] = {}
        self.waits: list[float] = []
        self.starts: list[float] = []
        self.cpu: dict[tuple[int, int], float] = {}
        self.zones: dict[int, int] = {}
        self.turns: dict[int, int] = {}  # the server that answered a session's last turn
        self.moved: dict[str, list[float]] = defaultdict(list)  # shares kept, by where the turn before went

    def tell(self, second: int, who: int, row: list[Any]) -> None:
        now, (kind, at, *rest) = self.seconds[second], row
        if kind == "start":
            self.starts.append(rest[1])
            self.watching.discard(who)
            for key in [key for key in self.attempts if key[0] == who]:
                self.out[self.attempts.pop(key)[0]] -= 1
        elif kind == "cpu":
            self.cpu[who, len(self.starts)] = rest[0]
        elif kind == "link":
            now[rest[0].split()[0]] += 1
            self.connects[rest[1], second] += rest[0] == "connect"
        elif kind == "ReplicaList":
            self._listed(at, who, *rest)
        elif kind != "query":
            self._event(second, at, who, kind, *rest)
        self.watches[second] = len(self.watching)
        self.most[second] = max(self.out.values(), default=0)

    def _listed(self, at: int, who: int, kind: int, entries: list[list[int]]) -> None:
        if kind == ListKind.FAILED:
            self.watching.discard(who)
        elif kind != ListKind.CACHED:
            self.watching.add(who)
        if kind != ListKind.CACHED and who in self.asked:
            self.waits.append((at - self.asked.pop(who)) / 1e6)
        self.zones |= {id: zone for id, zone, _, _, _ in entries}
        self.started |= {id: since for id, _, _, state, since in entries if state == State.READY}

    def _event(self, second: int, at: int, who: int, kind: str, event: dict[str, Any], actions: list[Any]) -> None:
        now = self.seconds[second]
        if kind == "Request":
            self.calls[who, event["id"]] = event | {"sent": 0}
            now["asked"] += 1
        elif kind == "FirstToken":
            now["first"] += 1
            self.first[second].append(event["took"] / 1e6)
            _, crowd = self.attempts.get((who, event["request"], event["attempt"]), (0, 0))
            self.crowds[crowd // STREAMS].append(event["took"] / 1e6)
        elif kind == "Outcome":
            replica, crowd = self.attempts.pop((who, event["request"], event["attempt"]), (0, 0))
            self.out[replica] -= 1
            name = Result(event["result"]).name
            now[name] += 1
            if name == "OK":
                call = self.calls.get((who, event["request"]))  # what a killed router wrote last is lost
                if call is not None and call["prompt_tokens"]:
                    self.kept[second].append(event["kept_tokens"] / call["prompt_tokens"])
                    now["read"] += int(call["prompt_tokens"] - event["kept_tokens"])
                    self._turned(call["session"], replica, self.kept[second][-1])
            else:
                self.failed[who, replica] = name
                self.late[crowd // STREAMS] += name == "TIMEOUT"
        for name, action in actions:
            call = self.calls.get((who, action["request"]), {"sent": 0}) if "request" in action else {"sent": 0}
            if name == "Send":
                replica = action["replica"]
                self.attempts[who, action["request"], call["sent"]] = replica, self.out[replica]
                self.out[replica] += 1
                now["again" if call["sent"] else "sent"] += 1
                now["cold"] += at - self.started.get(replica, 0) < COLD
                call["sent"] += 1
            elif name == "Refuse":
                now["refused again" if call["sent"] else "refused"] += 1
            elif name == "Subscribe":
                now["call"] += 1
                self.asked[who] = at
            elif name == "Log" and action["text"].startswith("eject replica "):
                self.ejections[self.failed.get((who, int(action["text"].split()[2])), "?")] += 1

    def _turned(self, session: int, replica: int, kept: float) -> None:
        before = self.turns.get(session, replica)
        same_zone = self.zones.get(before) == self.zones.get(replica)
        where = "the same" if before == replica else "in its zone" if same_zone else "in another zone"
        self.moved[where if session in self.turns else "the first turn"].append(kept)
        if session:
            self.turns[session] = replica


def follow(folder: Path, txn: str) -> Iterator[str]:
    """A request's path: what each router was told and did, its client's other tries included."""
    told = {path.stem: list(rows(path)) for path in folder.glob("*.log")}
    named = {(name, row[2]): row[3] for name, lines in told.items() for row in lines if row[0] == "query"}
    asked = {(name, row[2]["id"]): row[2] for name, lines in told.items() for row in lines if row[0] == "Request"}
    wanted = [asked[key] for key, its in named.items() if its == txn and key in asked]
    prompts = {(one["session"], one["prompt_tokens"]) for one in wanted if one["session"]}
    ours = {key for key, its in named.items() if its == txn}
    ours |= {key for key, one in asked.items() if (one["session"], one["prompt_tokens"]) in prompts}
    found = []
    for name, lines in told.items():
        for row in lines:
            event = row[2] if len(row) > 2 else None
            about = event if row[0] == "query" else event.get("request", event.get("id", event.get("tag"))) if (
                isinstance(event, dict)) else None  # fmt: skip
            if (name, about) in ours:
                found.append((row[1], name, named.get((name, about), "?"), row))
    found.sort(key=lambda one: one[:2])
    for at, name, its, row in found:
        yield f"{(at - found[0][0]) / 1e6:9.6f} {name} {its} {row[0]} {json.dumps(row[2:])}"


def measure(given: argparse.Namespace) -> dict[str, Any]:
    if given.follow:
        return {"path": list(follow(given.folder, given.follow))}
    events = [(row[1], who, row) for who, path in enumerate(given.folder.glob("*.log")) for row in rows(path)]
    events.sort(key=lambda one: one[0])
    if not events:
        raise SystemExit(f"{given.folder}: no traces")
    fleet, classes, terms = Fleet(), Classes(*phases(events)), Terms()
    for at, who, row in events:
        fleet.tell((at - events[0][0]) // 1_000_000, who, row)
        classes.tell(at, who, row)
        terms.tell(at, who, row)
    table = [
        {"s": s} | {name: now[name] for name in COLUMNS} | {
            "p50": round(median(fleet.first[s] or [0]), 2), "p90": round(part(fleet.first[s], 0.9), 2),
            "kept": round(mean(fleet.kept[s] or [0]), 2), "most": fleet.most[s], "watches": fleet.watches[s],
        }
        for s, now in sorted(fleet.seconds.items())
    ]  # fmt: skip
    crowds = {
        f"{n * STREAMS} to {n * STREAMS + STREAMS - 1}": {
            "first": len(fleet.crowds[n]), "timeouts": fleet.late[n],
            "p50": round(median(fleet.crowds[n] or [0]), 2), "p90": round(part(fleet.crowds[n], 0.9), 2),
        }
        for n in sorted(set(fleet.crowds) | set(fleet.late))
    }  # fmt: skip
    asked = sum(now["asked"] for now in fleet.seconds.values())
    return {
        "table": table, "by class": classes.table(), "by streams out": crowds,
        "turns": {where: [len(kept), round(mean(kept), 2)] for where, kept in sorted(fleet.moved.items())},
        "connects to one server in a second, at most": max(fleet.connects.values(), default=0),
        "calls to discovery": sum(now["call"] for now in fleet.seconds.values()),
        "wait for a list, median and longest": [round(part(fleet.waits, 0.5), 3), round(part(fleet.waits, 1), 3)],
        "ejections by the failure before": dict(fleet.ejections),
        "start, CPU seconds": round(mean(fleet.starts), 3),
        "CPU a request with its answer, ms": round(1e3 * (sum(fleet.cpu.values()) - sum(fleet.starts)) / asked, 2),
        **terms.found(),
    }  # fmt: skip


def show(found: dict[str, Any]) -> None:
    if "path" in found:
        print(*(found["path"] or ["no router has a line of it"]), sep="\n")
        return
    for name, key in (("a second", "table"), ("by class", "by class"), ("by streams out", "by streams out")):
        table = found.pop(key)
        lines = table if isinstance(table, list) else [{"streams": key} | row for key, row in table.items()]
        print(name)
        print(" ".join(f"{key:>{max(7, len(key))}}" for key in lines[0]))
        for row in lines:
            print(" ".join(f"{value:>{max(7, len(key))}}" for key, value in row.items()))
    for key, value in found.items():
        print(f"{key}: {value}")


def plot(found: dict[str, Any], folder: Path) -> None:
    from pearstall.lab.plots import figure, save

    drawn, (left, right) = figure(columns=2)
    for name in ("asked", "sent", "first", "TIMEOUT", "refused"):
        left.plot([row["s"] for row in found["table"]], [row[name] for row in found["table"]], label=name.lower())
    left.set_xlabel("seconds")
    left.legend(fontsize=6)
    crowds = found["by streams out"]
    right.plot(range(len(crowds)), [row["p50"] for row in crowds.values()], marker=".")
    right.set_xlabel(f"streams out, in steps of {STREAMS}")
    right.set_ylabel("first token, s")
    save(drawn, folder / "fleet.svg")


def options(parser: argparse.ArgumentParser) -> None:
    parser.add_argument("folder", type=Path)
    parser.add_argument("--follow", metavar="TXN", help="one request's path, by its id, in place of the counts")


if __name__ == "__main__":
    main(str(__doc__), measure, show, plot, options)
