"""A device's behaviour on a poor link: it abandons connections, changes wires, cancels, and resends asks.

The same phone runs on real sockets (`poor_links.py`) and in a world (`devices.py`); the owner's `abandon` callback
simulates the loss of a connection.
"""

from __future__ import annotations

import asyncio
from collections.abc import Callable, Sequence
from dataclasses import dataclass, field
from random import Random

from pearstall.edge.client import WIRES, AttemptFailure, DeviceAsk, DeviceClient, WireName
from pearstall.edge.records import Final

# Codes of failures after which an attempt is repeated.
RETRYABLE_CODES = ("superseded", "dropped", "abandoned", "storm", "busy", "device_concurrency")


@dataclass(slots=True)
class PhoneBehaviour:
    """`leaves`: the share of attempts that are abandoned, after `stays` seconds on average. `cancels`: the share of
    asks that are cancelled. `repeats`: the share of attempts before any event that send the ask as if it had never
    been accepted. `pause`: longest backoff before the second attempt in seconds, doubled up to `most_pause`."""

    leaves: float = 0.4
    stays: float = 0.3
    cancels: float = 0.04
    repeats: float = 0.2
    pause: float = 0.02
    most_pause: float = 0.5
    wires: Sequence[WireName] = WIRES


@dataclass(slots=True)
class PhoneStats:
    """Counters of what phones did. `told`: failures by code."""

    attempts: int = 0
    abandoned: int = 0
    wire_changes: int = 0
    by_wire: dict[str, int] = field(default_factory=dict)
    told: dict[str, int] = field(default_factory=dict)


class Phone:
    """One device. `abandon` is called before an attempt is abandoned, so that its end is not notified; `retryable`:
    the codes of failures after which an attempt is repeated."""

    def __init__(
        self, client: DeviceClient, random: Random, behaviour: PhoneBehaviour, stats: PhoneStats,
        abandon: Callable[[], object] = lambda: None, retryable: Sequence[str] = RETRYABLE_CODES,
    ) -> None:  # fmt: skip
        self.client, self.random, self.behaviour, self.stats = client, random, behaviour, stats
        self.abandon, self.retryable = abandon, retryable

    async def _attempt(self, wire: WireName, ask: DeviceAsk, abandon_after: float | None) -> AttemptFailure | None:
        task = asyncio.ensure_future(self.client.attempt(wire, ask))
        try:
            done, _ = await asyncio.wait({task}, timeout=abandon_after)
            if done:
                return task.result()
            self.stats.abandoned += 1
            self.abandon()
            return AttemptFailure("abandoned")
        finally:
            if not task.done():
                task.cancel()
                await asyncio.wait({task})

    async def fetch(self, ask: DeviceAsk) -> AttemptFailure | None:
        """Attempts until the final record has arrived. Returns None, or the failure if its code is not retryable."""
        random, behaviour, stats = self.random, self.behaviour, self.stats
        last_wire, pause = "", behaviour.pause
        cancels = random.random() < behaviour.cancels
        while True:
            wire = random.choice(behaviour.wires)
            stats.attempts += 1
            stats.by_wire[wire] = stats.by_wire.get(wire, 0) + 1
            stats.wire_changes += bool(last_wire) and wire != last_wire
            last_wire = wire
            if ask.accepted and not ask.events and random.random() < behaviour.repeats:
                ask.accepted = False  # as if the acceptance was lost: the same ask is sent again
            abandon_after = random.expovariate(1 / behaviour.stays) if random.random() < behaviour.leaves else None
            failure = await self._attempt(wire, ask, abandon_after)
            if failure is None:
                return None
            stats.told[failure.code] = stats.told.get(failure.code, 0) + 1
            if failure.code not in self.retryable:
                return failure
            if cancels and ask.accepted and ask.final is None and random.random() < 0.5:
                cancels = False
                await self._cancel(ask)
            await asyncio.sleep(failure.retry_after or random.uniform(0, pause))
            pause = min(behaviour.most_pause, pause * 2)

    async def _cancel(self, ask: DeviceAsk) -> None:
        """Cancels the ask; the final record returned must be the one that every wire delivers."""
        try:
            final = await self.client.cancel(ask)
        except (OSError, EOFError, TimeoutError):
            return
        except Exception as error:  # an error of the HTTP client library after a lost connection
            if type(error).__module__.split(".")[0] not in ("httpx", "httpcore"):
                raise
            return
        if isinstance(final, Final) and ask.final is not None and ask.final != final:
            ask.breaches.append(f"cancel returned {final}, but the device had received {ask.final}")
