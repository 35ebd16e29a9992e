"""A device's habits on a poor link: it abandons connections, changes wire, cancels, and sends asks again.

The same phone runs on real sockets (`poor_links.py`) and in a world (`devices.py`); what a lost link is there, the
`abandon` of its owner says.
"""

from __future__ import annotations

import asyncio
from collections.abc import Callable, Sequence
from dataclasses import dataclass, field
from random import Random

from pearstall.edge.client import WIRES, AttemptFailure, DeviceAsk, DeviceClient, WireName
from pearstall.edge.records import Final

AGAIN = ("superseded", "dropped", "abandoned", "storm", "busy", "device_concurrency")  # what another attempt may mend


@dataclass(slots=True)
class Habits:
    """`leaves`: the share of attempts that are abandoned, after `stays` seconds on average. `cancels`: of asks.
    `repeats`: of attempts before any event, sent as if the ask had never been taken. `pause`: seconds before the
    second attempt at most, doubled up to `most_pause`."""

    leaves: float = 0.4
    stays: float = 0.3
    cancels: float = 0.04
    repeats: float = 0.2
    pause: float = 0.02
    most_pause: float = 0.5
    wires: Sequence[WireName] = WIRES


@dataclass(slots=True)
class Deeds:
    """What phones did."""

    attempts: int = 0
    abandoned: int = 0
    wire_changes: int = 0
    by_wire: dict[str, int] = field(default_factory=dict)
    told: dict[str, int] = field(default_factory=dict)


class Phone:
    """One device. `abandon` is called before an attempt is left, so that nobody hears of its end; `again` says
    which codes another attempt may mend."""

    def __init__(
        self, client: DeviceClient, random: Random, habits: Habits, deeds: Deeds,
        abandon: Callable[[], object] = lambda: None, again: Sequence[str] = AGAIN,
    ) -> None:  # fmt: skip
        self.client, self.random, self.habits, self.deeds = client, random, habits, deeds
        self.abandon, self.again = abandon, again

    async def _attempt(self, wire: WireName, held: DeviceAsk, leave: float | None) -> AttemptFailure | None:
        task = asyncio.ensure_future(self.client.attempt(wire, held))
        try:
            done, _ = await asyncio.wait({task}, timeout=leave)
            if done:
                return task.result()
            self.deeds.abandoned += 1
            self.abandon()
            return AttemptFailure("abandoned")
        finally:
            if not task.done():
                task.cancel()
                await asyncio.wait({task})

    async def fetch(self, held: DeviceAsk) -> AttemptFailure | None:
        """Attempts until the final record is held (None), or a code comes that no other attempt can mend."""
        random, habits, deeds = self.random, self.habits, self.deeds
        before, pause = "", habits.pause
        cancels = random.random() < habits.cancels
        while True:
            wire = random.choice(habits.wires)
            deeds.attempts += 1
            deeds.by_wire[wire] = deeds.by_wire.get(wire, 0) + 1
            deeds.wire_changes += bool(before) and wire != before
            before = wire
            if held.accepted and not held.events and random.random() < habits.repeats:
                held.accepted = False  # its acceptance was lost: the ask goes out again, the same
            leave = random.expovariate(1 / habits.stays) if random.random() < habits.leaves else None
            told = await self._attempt(wire, held, leave)
            if told is None:
                return None
            deeds.told[told.code] = deeds.told.get(told.code, 0) + 1
            if told.code not in self.again:
                return told
            if cancels and held.accepted and held.final is None and random.random() < 0.5:
                cancels = False
                await self._cancel(held)
            await asyncio.sleep(told.retry_after or random.uniform(0, pause))
            pause = min(habits.most_pause, pause * 2)

    async def _cancel(self, held: DeviceAsk) -> None:
        """The record that stands is told: the same that comes by every wire afterwards."""
        try:
            final = await self.client.cancel(held)
        except (OSError, EOFError, TimeoutError):
            return
        except Exception as error:  # the client library's own, of a link that was cut
            if type(error).__module__.split(".")[0] not in ("httpx", "httpcore"):
                raise
            return
        if isinstance(final, Final) and held.final is not None and held.final != final:
            held.breaches.append(f"cancel told {final}, and {held.final} was held")
