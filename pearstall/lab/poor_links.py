"""The operators' acceptance run: devices on poor connections that reconnect and change wire at random.

Each device connects through the shaper of its network profile. It abandons connections as a phone that changes cells
does (the edge isn't notified: the relay keeps its side open), reconnects on a randomly drawn wire, sometimes cancels,
and sometimes sends an ask again as if it had never been accepted. Afterwards a ledger checks the results of devices,
edge and servers against each other.
"""

from __future__ import annotations

import asyncio
import time
from collections.abc import Callable
from contextlib import AsyncExitStack
from dataclasses import dataclass, field
from random import Random
from typing import Any

from pearstall.edge.client import DeviceAsk, DeviceClient
from pearstall.lab.ledger import Breach, Ledger
from pearstall.lab.phones import Phone, PhoneBehaviour, PhoneStats
from pearstall.lab.rig import Rig, installation
from pearstall.lab.servers import Behaviour
from pearstall.lab.shaper import PROFILES, Shaper

FAULTS = {"serve": 0.8, "error": 0.04, "away": 0.04, "reset": 0.04, "silent": 0.02, "break": 0.04, "stall": 0.02}
EDGE = """
linger "{linger}s"
drain "2s"
keep ended="120s" tombstones="300s"
limits { device rate=200 burst=200 running=8; arrivals rate=5000 burst=2000; }
keep-alive least="500ms" most="2s"
poll longest="5s"
"""


@dataclass(slots=True)
class Report(PhoneStats):
    seed: int = 0
    devices: int = 0
    asks: int = 0
    breaches: list[Breach] = field(default_factory=list)
    kinds: dict[str, int] = field(default_factory=dict)
    superseded: int = 0
    link_ends: dict[str, int] = field(default_factory=dict)
    executions: int = 0
    events: int = 0
    waits: list[float] = field(default_factory=list)  # seconds from sending an ask to receiving its final record
    repeated: int = 0  # final records that were received again
    seconds: float = 0.0
    exceptions: int = 0
    overdue: int = 0
    left: dict[str, int] = field(default_factory=dict)  # what the edge still holds after everything was acknowledged

    def as_dict(self) -> dict[str, Any]:
        out = {name: getattr(self, name) for name in self.__dataclass_fields__ if name != "waits"}
        out["breaches"] = [str(one) for one in self.breaches]
        waits = sorted(self.waits)
        if waits:
            out["wait_s"] = {
                f"p{part}": round(waits[min(len(waits) - 1, len(waits) * part // 100)], 3) for part in (50, 90, 99)
            }
        return out


class _Phone(Phone):
    """One device of the run, whose asks are recorded in the ledger."""

    def __init__(self, name: str, client: DeviceClient, random: Random, ledger: Ledger, report: Report) -> None:
        super().__init__(client, random, PhoneBehaviour(), report)
        self.name, self.ledger, self.report = name, ledger, report

    async def ask(self, id: str, timeout: float) -> None:
        random = self.random
        content = f"{self.name} {id} " + "x" * random.randint(0, 200)
        body = {"model": "toy", "messages": [{"role": "user", "content": content}]}
        ask = DeviceAsk(id, body, random.choice(("", "", "agent")), 5.0)
        self.ledger.record_ask(self.name, ask)
        began = time.monotonic()
        async with asyncio.timeout(timeout):
            failure = await self.fetch(ask)
        if failure is not None:
            ask.breaches.append(f"failed with {failure.code}: {failure.detail}")
        self.report.waits.append(time.monotonic() - began)


async def run(
    devices: int = 60, asks: int = 1000, seed: int = 1, at_once: int = 2, linger: float = 20.0,
    progress: Callable[[int], object] = lambda done: None, timeout: float = 120.0,
) -> tuple[Report, Ledger]:  # fmt: skip
    report = Report(seed=seed, devices=devices, asks=asks)
    began = time.monotonic()
    async with AsyncExitStack() as stack:
        behaviours = [Behaviour(outcome_weights=FAULTS, stall=5.0) for _ in range(4)]
        rig: Rig = await stack.enter_async_context(
            installation(behaviours, seed, EDGE.replace("{linger}", f"{linger:g}"))
        )
        ledger = Ledger(rig.execution_log)
        rig.edge.note = rig.edge.sessions.note = ledger.note
        shapers = {}
        for name, profile in PROFILES.items():
            shaper = Shaper(rig.ports["edge"], profile, seed)
            shapers[name] = await stack.enter_async_context(shaper.listening())
        done = 0

        async def device(number: int) -> None:
            nonlocal done
            random = Random(f"{seed}/device/{number}")
            name = f"d{number}"
            port = random.choices(list(shapers.values()), (1, 3, 1))[0].port
            phone = _Phone(name, rig.device(name, port, timeout=2.0), random, ledger, report)
            slots = asyncio.Semaphore(at_once)

            async def ask(id: str) -> None:
                nonlocal done
                async with slots:
                    await phone.ask(id, timeout)
                done += 1
                progress(done)

            ids = [f"a{index}" for index in range(number, asks, devices)]
            for result in await asyncio.gather(*map(ask, ids), return_exceptions=True):
                if isinstance(result, BaseException):
                    report.breaches.append(Breach(name, "?", "run", f"{type(result).__name__}: {result}"))

        await asyncio.gather(*(device(number) for number in range(devices)))
        report.breaches += ledger.check()
        report.superseded = ledger.events["superseded"]
        report.kinds = dict(ledger.kinds())
        report.executions = sum(len(entry.executions) for entry in ledger.entries.values())
        report.events = sum(len(entry.device_ask.events) for entry in ledger.entries.values())
        report.repeated = sum(
            entry.device_ask.finals - 1 for entry in ledger.entries.values() if entry.device_ask.finals
        )
        report.link_ends = {
            how: sum(shaper.ends.get(how, 0) for shaper in shapers.values()) for how in ("cut", "close", "silent")
        }
        counters = rig.program.counters
        report.exceptions, report.overdue = counters.exceptions, counters.overdue
        await asyncio.sleep(0.1)
        usage = rig.edge.sessions.usage
        report.left = {
            "running": rig.edge.sessions.running, "bytes": usage.bytes, "queries": len(rig.program.core.queries),
            "running_away": usage.running_away,
        }  # fmt: skip
    report.seconds = round(time.monotonic() - began, 2)
    return report, ledger
