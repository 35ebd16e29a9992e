"""What a fleet of routers asks of discovery when all watches end at once, in virtual time and without sockets.

    .venv/bin/python -m benchmarks.discovery [--routers 200] [--refused 0.0]

Discovery answers calls one after another. A call that waits longer than its time-out fails, and still takes up its
turn. Printed for each case: the calls a second that reach discovery (the mean while it is down, and the most in one
second once it can be reached), the age of the oldest and of the 99th percentile list when it is replaced, counted
from when discovery could be reached, and the routers whose list was older than 6.0 s and than 6.5 s by then.
"""

from __future__ import annotations

import argparse
import heapq
from collections import Counter
from dataclasses import dataclass
from random import Random
from typing import Any

from pearstall.choice import Router
from pearstall.interface import ListKind, ReplicaList, SetTimer, Settings, Subscribe, Timer

SECOND = 1_000_000
LOST_AT = 20 * SECOND  # all watches end, or fall silent
HORIZON = 60 * SECOND  # after discovery is back, nothing is simulated beyond this
SILENCE_NOTICED = 2.5  # seconds
HEARTBEAT = 2.0  # seconds between the lines of a watch: how long one that is reset may have been quiet
GRACE_AGES = (6.0, 6.5)  # seconds: when a change counts as told, and when a drain has to be kept


@dataclass(frozen=True)
class Case:
    """`per_router`: calls that discovery serves a second, for each router of the fleet. Times in seconds."""

    down: float  # how long discovery is down from the loss of the watches on; 0: not at all
    silent: bool  # the watches fall silent in place of a reset
    per_router: float
    timeout: float
    failure: float = 0.0  # how long a call takes to fail while discovery is down


CASES = [
    Case(down, silent, per_router, timeout, failure)
    for down, silent, failure in (
        (0.0, False, 0.0),
        (0.0, True, 0.0),
        (8.0, False, 0.0),
        (8.0, False, 2.0),
        (30.0, False, 0.0),
        (30.0, False, 2.0),
    )
    for per_router, timeout in ((0.5, 1.0), (0.25, 1.0), (0.25, 2.0), (0.2, 2.0))
]


@dataclass
class Report:
    """What one case showed."""

    calls_while_down: float  # a second
    most_calls: int  # in one second, once discovery can be reached
    ages: list[float]  # of each router's list when it was replaced, in seconds

    def row(self) -> list[str]:
        ages = sorted(self.ages)
        late = [sum(age > limit for age in ages) for limit in GRACE_AGES]
        figures = (ages[-1], ages[int(0.99 * (len(ages) - 1))])
        return [f"{self.calls_while_down:.0f}", str(self.most_calls), *(f"{age:.2f}" for age in figures),
                *(str(count) for count in late)]  # fmt: skip


class Fleet:
    """Routers with open watches before one discovery service."""

    def __init__(self, case: Case, routers: int, refused: float, seed: int) -> None:
        self.case = case
        self.refused = refused  # the part of the routers whose first call is refused once discovery can be reached
        self.random = Random(seed)
        self.routers = [
            Router(
                Settings.from_mapping(
                    {"classes": [{"aim": SECOND, "give_up": 3 * SECOND}], "gateways": routers, "gateway": number,
                     "subscribe": True, "must_ask_in": 10 * SECOND}
                ),
                seed * 10_000 + number,
            )
            for number in range(routers)
        ]  # fmt: skip
        self.refuse_next = {number for number in range(routers) if self.random.random() < refused}
        self.reachable_at = LOST_AT + int(case.down * SECOND)
        self.free_at = 0
        self.calls: list[int] = []
        self.list_at: dict[int, int] = {}
        self.queue: list[tuple[int, int, int, Any]] = []
        self.sequence = 0

    def push(self, at: int, number: int, event: Any) -> None:
        self.sequence += 1
        heapq.heappush(self.queue, (at, self.sequence, number, event))

    def run(self) -> Report:
        for number, router in enumerate(self.routers):
            router.start(0)
            router.handle(SECOND, ReplicaList(ListKind.FULL))
            noticed_after = int(SILENCE_NOTICED * SECOND) if self.case.silent else 0
            silence = noticed_after or int(self.random.uniform(0.0, HEARTBEAT) * SECOND)
            self.push(LOST_AT + noticed_after, number, ReplicaList(ListKind.FAILED, silence=silence))
        while self.queue and len(self.list_at) < len(self.routers):
            now, _, number, event = heapq.heappop(self.queue)
            if now > self.reachable_at + HORIZON:
                break
            if isinstance(event, ReplicaList) and event.kind == ListKind.DELTA:
                self.list_at[number] = now
            self.carry_out(now, number, self.routers[number].handle(now, event))
        return self.report()

    def carry_out(self, now: int, number: int, actions: list[Any]) -> None:
        for action in actions:
            if isinstance(action, SetTimer):
                self.push(now + action.delay, number, Timer(action.tag))
            elif isinstance(action, Subscribe):
                self.calls.append(now)
                self.serve(now, number)

    def serve(self, now: int, number: int) -> None:
        failed = ReplicaList(ListKind.FAILED, refused=True)
        timeout = int(self.case.timeout * SECOND)
        if now < self.reachable_at:
            self.push(now + int(self.case.failure * SECOND), number, failed)
        elif number in self.refuse_next:
            self.refuse_next.discard(number)
            self.push(now + (timeout if self.case.silent else 0), number, failed)
        else:
            step = int(SECOND / (self.case.per_router * len(self.routers)))
            self.free_at = max(self.free_at, now) + step
            late = self.free_at - now > timeout
            if late:
                self.push(now + timeout, number, failed)
            else:
                self.push(self.free_at, number, ReplicaList(ListKind.DELTA))

    def report(self) -> Report:
        down = [at for at in self.calls if at < self.reachable_at]
        by_second = Counter((at - self.reachable_at) // SECOND for at in self.calls if at >= self.reachable_at)
        never = self.reachable_at + HORIZON
        ages = [(self.list_at.get(number, never) - self.reachable_at) / SECOND for number in range(len(self.routers))]
        return Report(len(down) / self.case.down if self.case.down else 0.0, max(by_second.values()), ages)


def main() -> None:
    parser = argparse.ArgumentParser(description=__doc__.splitlines()[0] if __doc__ else "")
    parser.add_argument("--routers", type=int, default=200)
    parser.add_argument("--refused", type=float, default=0.0, help="part of the routers with one refused call")
    parser.add_argument("--seeds", type=int, default=3)
    arguments = parser.parse_args()
    print("down silent served/router/s time-out failure | calls/s down  most/s  oldest  99th  over 6.0 s  over 6.5 s")
    for case in CASES:
        for seed in range(1, arguments.seeds + 1):
            row = Fleet(case, arguments.routers, arguments.refused, seed).run().row()
            given = (
                f"{case.down:4.0f} {case.silent!s:6} {case.per_router:16.2f} {case.timeout:8.1f} {case.failure:7.1f}"
            )
            print(f"{given} | {row[0]:>12} {row[1]:>7} {row[2]:>7} {row[3]:>5} {row[4]:>11} {row[5]:>11}")


if __name__ == "__main__":
    main()
