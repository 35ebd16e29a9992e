"""Counts over all routers of a fleet, from their traces (`python -m pearstall --trace`), one log file per router.

    python benchmarks/fleet.py FOLDER [--json] [--plots FOLDER]
    python benchmarks/fleet.py FOLDER --follow TXN

The first table has one row per second: requests received, sent (also to cold servers), retried and refused, first
tokens, failures and connects, routers that hold a watch, and calls to discovery. The second has the first tokens by
the number of streams that all routers together had in flight at the server when the attempt was sent. Counts over the
whole run follow: connects to one server, ejections by the failure before them, waits for lists, starts, CPU. `turns`:
which servers the turns of sessions went to, and the share of their prompts that was cached there.

`by class`: outcomes of each class's requests, one row per phase: before any server or router is replaced, from the
first sign of a replacement (a server that drains, is gone or has just started, a router that restarts) to the last,
and after it. A request ends once: with a first token, refused (and why), failed, or its client gone; `never sent`: no
server received it. The counts of `benchmarks/terms.py` come last.

`--follow` prints every line that any router has of one request, by its `X-Txn`, and of its client's retries, which
send the same prompt of the same session under other ids.
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

COLD = 21_000_000  # microseconds for which a server counts as cold after its start
STREAMS = 5  # the width of a bin, for counts by streams in flight
COLUMNS = ("asked", "sent", "cold", "again", "refused", "refused again", "first", "TIMEOUT", "FULL", "ERROR",
           "RESET", "CONNECT_FAILED", "connect", "made", "read", "call")  # fmt: skip


def rows(path: Path) -> Iterator[list[Any]]:
    for line in path.read_text(errors="replace").splitlines():
        at = line.find("trace [")
        if at >= 0:
            try:
                yield json.loads(line[at + 6 :])
            except ValueError:  # truncated when the router was killed
                continue


def quantile(values: list[float], fraction: float) -> float:
    return sorted(values)[min(len(values) - 1, int(fraction * len(values)))] if values else 0.0


PHASES = ("before", "while", "after")
ENDS = ("asked", "first", "refused", "failed", "gone", "never sent", "TIMEOUT", "RESET", "CONNECT_FAILED", "FULL")


def phases(events: list[tuple[int, int, list[Any]]]) -> tuple[int, int]:
    """Returns the times of the first and the last replacement of a server or router; both are after the end of the
    run if there was none."""
    begin, names, changes = events[0][0], Counter[int](), []
    for at, router, row in events:
        if row[0] == "start":
            names[router] += 1
            if names[router] > 1:
                changes.append(at)
        elif row[0] == "ReplicaList" and any(
            state != State.READY or since > begin for _, _, _, state, since in row[3]
        ):  # fmt: skip
            changes.append(at)
    return (min(changes), max(changes)) if changes else (events[-1][0] + 1, events[-1][0] + 1)


class Classes:
    """Counts the outcomes of each class's requests, by the phase in which they were received."""

    def __init__(self, first: int, last: int) -> None:
        self.first, self.last = first, last
        self.names: list[str] = []
        self.counts: dict[tuple[str, int], Counter[str]] = defaultdict(Counter)
        self.unfinished: dict[tuple[int, int], Counter[str]] = {}
        self.unsent: set[tuple[int, int]] = set()

    def record(self, at: int, router: int, row: list[Any]) -> None:
        kind = row[0]
        if kind == "start":
            self.names = row[4] if len(row) > 4 else self.names
        if kind not in ("Request", "FirstToken", "Outcome", "ClientGone", "Timer", "ReplicaList") or len(row) < 4:
            return
        event, actions = row[2], row[3]
        if kind == "ReplicaList":
            return
        request_id = event.get("request", event.get("id", event.get("tag")))
        if kind == "Request":
            phase = PHASES[(at >= self.first) + (at > self.last)]
            self.unfinished[router, request_id] = self.counts[phase, event["class_index"]]
            self.unsent.add((router, request_id))
            self._count(router, request_id, "asked")
        elif kind == "FirstToken":
            self._end(router, request_id, "first")
        elif kind == "Outcome" and event["result"] not in (Result.OK, Result.CANCELLED):
            self._count(router, request_id, Result(event["result"]).name)
        elif kind == "ClientGone":
            self._end(router, request_id, "gone")
        for name, action in actions:
            if name == "Send":
                self.unsent.discard((router, action["request"]))
            elif name == "Refuse":
                self._end(router, action["request"], "refused", action.get("why", "") or "?")
            elif name == "Fail":
                self._end(router, action["request"], "failed", action.get("why", "") or "?")

    def _count(self, router: int, request_id: int, *what: str) -> None:
        if (router, request_id) in self.unfinished:
            self.unfinished[router, request_id].update(what)

    def _end(self, router: int, request_id: int, what: str, why: str = "") -> None:
        unsent = ("never sent",) if (router, request_id) in self.unsent else ()
        self._count(router, request_id, what, *unsent, *((f"{what}: {why}",) if why else ()))
        self.unfinished.pop((router, request_id), None)
        self.unsent.discard((router, request_id))

    def table(self) -> list[dict[str, Any]]:
        reasons = sorted({key for one in self.counts.values() for key in one if ": " in key})
        asked: Counter[str] = Counter()
        for (phase, _), counts in self.counts.items():
            asked[phase] += counts["asked"]
        return [
            {"phase": phase, "class": self.names[number] if number < len(self.names) else str(number),
             "share": round(counts["asked"] / asked[phase], 3), **{name: counts[name] for name in (*ENDS, *reasons)}}
            for (phase, number), counts in sorted(self.counts.items(), key=lambda one: PHASES.index(one[0][0]))
        ]  # fmt: skip


class Fleet:
    """Counts over all routers, from the rows of their traces in order of time."""

    def __init__(self) -> None:
        self.seconds: dict[int, Counter[str]] = defaultdict(Counter)
        self.first_waits: dict[int, list[float]] = defaultdict(list)
        self.cached_shares: dict[int, list[float]] = defaultdict(list)
        self.watches: dict[int, int] = {}  # routers whose server list is kept up to date by a watch
        self.most_streams: dict[int, int] = {}  # streams in flight at the server that has the most
        self.first_by_streams: dict[int, list[float]] = defaultdict(list)  # seconds to first tokens
        self.timeouts_by_streams: Counter[int] = Counter()  # timeouts, by streams in flight
        self.connects: Counter[tuple[int, int]] = Counter()
        self.in_flight: Counter[int] = Counter()
        self.requests: dict[tuple[int, int], dict[str, Any]] = {}
        # The server of each attempt, and the streams in flight there when the attempt was sent.
        self.attempts: dict[tuple[int, int, int], tuple[int, int]] = {}
        self.started_at: dict[int, int] = {}
        self.last_failure: dict[tuple[int, int], str] = {}
        self.ejections: Counter[str] = Counter()
        self.routers_watching: set[int] = set()
        self.list_requested_at: dict[int, int] = {}
        self.list_waits: list[float] = []
        self.start_cpu: list[float] = []
        self.cpu: dict[tuple[int, int], float] = {}
        self.zones: dict[int, int] = {}
        self.last_server: dict[int, int] = {}  # by session: the server that answered its last turn
        # Cached shares of turns, by where the server of the session's previous turn was.
        self.cached_by_move: dict[str, list[float]] = defaultdict(list)

    def record(self, second: int, router: int, row: list[Any]) -> None:
        counts, (kind, at, *rest) = self.seconds[second], row
        if kind == "start":
            self.start_cpu.append(rest[1])
            self.routers_watching.discard(router)
            for key in [key for key in self.attempts if key[0] == router]:
                self.in_flight[self.attempts.pop(key)[0]] -= 1
        elif kind == "cpu":
            self.cpu[router, len(self.start_cpu)] = rest[0]
        elif kind == "link":
            counts[rest[0].split()[0]] += 1
            self.connects[rest[1], second] += rest[0] == "connect"
        elif kind == "ReplicaList":
            self._on_list(at, router, *rest)
        elif kind != "query":
            self._on_event(second, at, router, kind, *rest)
        self.watches[second] = len(self.routers_watching)
        self.most_streams[second] = max(self.in_flight.values(), default=0)

    def _on_list(self, at: int, router: int, kind: int, entries: list[list[int]]) -> None:
        if kind == ListKind.FAILED:
            self.routers_watching.discard(router)
        elif kind != ListKind.CACHED:
            self.routers_watching.add(router)
        if kind != ListKind.CACHED and router in self.list_requested_at:
            self.list_waits.append((at - self.list_requested_at.pop(router)) / 1e6)
        self.zones |= {id: zone for id, zone, _, _, _ in entries}
        self.started_at |= {id: since for id, _, _, state, since in entries if state == State.READY}

    def _on_event(
        self, second: int, at: int, router: int, kind: str, event: dict[str, Any], actions: list[Any]
    ) -> None:
        counts = self.seconds[second]
        if kind == "Request":
            self.requests[router, event["id"]] = event | {"sent": 0}
            counts["asked"] += 1
        elif kind == "FirstToken":
            counts["first"] += 1
            self.first_waits[second].append(event["took"] / 1e6)
            _, streams = self.attempts.get((router, event["request"], event["attempt"]), (0, 0))
            self.first_by_streams[streams // STREAMS].append(event["took"] / 1e6)
        elif kind == "Outcome":
            replica, streams = self.attempts.pop((router, event["request"], event["attempt"]), (0, 0))
            self.in_flight[replica] -= 1
            name = Result(event["result"]).name
            counts[name] += 1
            if name == "OK":
                request = self.requests.get((router, event["request"]))  # None if a killed router lost the line
                if request is not None and request["prompt_tokens"]:
                    self.cached_shares[second].append(event["kept_tokens"] / request["prompt_tokens"])
                    counts["read"] += int(request["prompt_tokens"] - event["kept_tokens"])
                    self._count_turn(request["session"], replica, self.cached_shares[second][-1])
            else:
                self.last_failure[router, replica] = name
                self.timeouts_by_streams[streams // STREAMS] += name == "TIMEOUT"
        for name, action in actions:
            request = (
                self.requests.get((router, action["request"]), {"sent": 0}) if "request" in action else {"sent": 0}
            )
            if name == "Send":
                replica = action["replica"]
                self.attempts[router, action["request"], request["sent"]] = replica, self.in_flight[replica]
                self.in_flight[replica] += 1
                counts["again" if request["sent"] else "sent"] += 1
                counts["cold"] += at - self.started_at.get(replica, 0) < COLD
                request["sent"] += 1
            elif name == "Refuse":
                counts["refused again" if request["sent"] else "refused"] += 1
            elif name == "Subscribe":
                counts["call"] += 1
                self.list_requested_at[router] = at
            elif name == "Log" and action["text"].startswith("eject replica "):
                self.ejections[self.last_failure.get((router, int(action["text"].split()[2])), "?")] += 1

    def _count_turn(self, session: int, replica: int, cached_share: float) -> None:
        before = self.last_server.get(session, replica)
        same_zone = self.zones.get(before) == self.zones.get(replica)
        where = "the same" if before == replica else "in its zone" if same_zone else "in another zone"
        self.cached_by_move[where if session in self.last_server else "the first turn"].append(cached_share)
        if session:
            self.last_server[session] = replica


def follow(folder: Path, txn: str) -> Iterator[str]:
    """Yields the path of a request: the events and actions of each router, including the client's retries."""
    by_router = {path.stem: list(rows(path)) for path in folder.glob("*.log")}
    txns = {
        (name, row[2]): row[3] for name, router_rows in by_router.items() for row in router_rows if row[0] == "query"
    }
    requests = {
        (name, row[2]["id"]): row[2]
        for name, router_rows in by_router.items()
        for row in router_rows
        if row[0] == "Request"
    }
    matching = [requests[key] for key, request_txn in txns.items() if request_txn == txn and key in requests]
    prompts = {(one["session"], one["prompt_tokens"]) for one in matching if one["session"]}
    selected = {key for key, request_txn in txns.items() if request_txn == txn}
    selected |= {key for key, one in requests.items() if (one["session"], one["prompt_tokens"]) in prompts}
    lines = []
    for name, router_rows in by_router.items():
        for row in router_rows:
            event = row[2] if len(row) > 2 else None
            request_id = event if row[0] == "query" else event.get("request", event.get("id", event.get("tag"))) if (
                isinstance(event, dict)) else None  # fmt: skip
            if (name, request_id) in selected:
                lines.append((row[1], name, txns.get((name, request_id), "?"), row))
    lines.sort(key=lambda one: one[:2])
    for at, name, row_txn, row in lines:
        yield f"{(at - lines[0][0]) / 1e6:9.6f} {name} {row_txn} {row[0]} {json.dumps(row[2:])}"


def measure(arguments: argparse.Namespace) -> dict[str, Any]:
    if arguments.follow:
        return {"path": list(follow(arguments.folder, arguments.follow))}
    events = [
        (row[1], router, row) for router, path in enumerate(arguments.folder.glob("*.log")) for row in rows(path)
    ]
    events.sort(key=lambda one: one[0])
    if not events:
        raise SystemExit(f"{arguments.folder}: no traces found")
    fleet, classes, terms = Fleet(), Classes(*phases(events)), Terms()
    for at, router, row in events:
        fleet.record((at - events[0][0]) // 1_000_000, router, row)
        classes.record(at, router, row)
        terms.record(at, router, row)
    table = [
        {"s": s} | {name: counts[name] for name in COLUMNS} | {
            "p50": round(median(fleet.first_waits[s] or [0]), 2),
            "p90": round(quantile(fleet.first_waits[s], 0.9), 2),
            "kept": round(mean(fleet.cached_shares[s] or [0]), 2), "most": fleet.most_streams[s],
            "watches": fleet.watches[s],
        }
        for s, counts in sorted(fleet.seconds.items())
    ]  # fmt: skip
    by_streams = {
        f"{n * STREAMS} to {n * STREAMS + STREAMS - 1}": {
            "first": len(fleet.first_by_streams[n]), "timeouts": fleet.timeouts_by_streams[n],
            "p50": round(median(fleet.first_by_streams[n] or [0]), 2),
            "p90": round(quantile(fleet.first_by_streams[n], 0.9), 2),
        }
        for n in sorted(set(fleet.first_by_streams) | set(fleet.timeouts_by_streams))
    }  # fmt: skip
    asked = sum(counts["asked"] for counts in fleet.seconds.values())
    return {
        "table": table, "by class": classes.table(), "by streams out": by_streams,
        "turns": {
            where: [len(shares), round(mean(shares), 2)] for where, shares in sorted(fleet.cached_by_move.items())
        },
        "connects to one server in a second, at most": max(fleet.connects.values(), default=0),
        "calls to discovery": sum(counts["call"] for counts in fleet.seconds.values()),
        "wait for a list, median and longest": [
            round(quantile(fleet.list_waits, 0.5), 3), round(quantile(fleet.list_waits, 1), 3)
        ],
        "ejections by the failure before": dict(fleet.ejections),
        "start, CPU seconds": round(mean(fleet.start_cpu), 3),
        "CPU a request with its answer, ms": round(1e3 * (sum(fleet.cpu.values()) - sum(fleet.start_cpu)) / asked, 2),
        **terms.results(),
    }  # fmt: skip


def show(result: dict[str, Any]) -> None:
    if "path" in result:
        print(*(result["path"] or ["no router has a line of this request"]), sep="\n")
        return
    for name, key in (("per second", "table"), ("by class", "by class"), ("by streams in flight", "by streams out")):
        table = result.pop(key)
        lines = table if isinstance(table, list) else [{"streams": key} | row for key, row in table.items()]
        print(name)
        print(" ".join(f"{key:>{max(7, len(key))}}" for key in lines[0]))
        for row in lines:
            print(" ".join(f"{value:>{max(7, len(key))}}" for key, value in row.items()))
    for key, value in result.items():
        print(f"{key}: {value}")


def plot(result: dict[str, Any], folder: Path) -> None:
    from pearstall.lab.plots import figure, save

    drawing, (left, right) = figure(columns=2)
    for name in ("asked", "sent", "first", "TIMEOUT", "refused"):
        left.plot([row["s"] for row in result["table"]], [row[name] for row in result["table"]], label=name.lower())
    left.set_xlabel("seconds")
    left.legend(fontsize=6)
    by_streams = result["by streams out"]
    right.plot(range(len(by_streams)), [row["p50"] for row in by_streams.values()], marker=".")
    right.set_xlabel(f"streams in flight, in steps of {STREAMS}")
    right.set_ylabel("first token, s")
    save(drawing, folder / "fleet.svg")


def options(parser: argparse.ArgumentParser) -> None:
    parser.add_argument("folder", type=Path)
    parser.add_argument(
        "--follow", metavar="TXN", help="print the path of the request with this X-Txn instead of the counts"
    )


if __name__ == "__main__":
    main(str(__doc__), measure, show, plot, options)
