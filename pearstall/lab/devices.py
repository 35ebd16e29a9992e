"""Simulated devices: phones on poor links that use the routers' edges, checked by a ledger.

They use the public client library of `edge/client.py` on the world's network. A device belongs to one router, since
an edge's sessions exist only in its own process. When a device *moves* to another cell, its old connection hangs
without any notification, and it reconnects from another address.
"""

from __future__ import annotations

import asyncio
from collections import Counter
from dataclasses import dataclass, field
from typing import TYPE_CHECKING, Any

import msgspec

from pearstall.config.operators import LogConfig, OperatorSettings
from pearstall.edge.client import WIRES, DeviceAsk, DeviceClient, WireName
from pearstall.edge.keeping import Bounds
from pearstall.edge.limits import Limits
from pearstall.edge.records import Kind
from pearstall.edge.settings import EdgeConfig
from pearstall.edge.tokens import Key, Keyring, mint
from pearstall.lab.ledger import Ledger
from pearstall.lab.network import Path, set_current_host
from pearstall.lab.phones import RETRYABLE_CODES, Phone, PhoneBehaviour, PhoneStats
from pearstall.lab.servers import ExecutionLog
from pearstall.net.config import OpenAIConfig

if TYPE_CHECKING:
    from pearstall.lab.world import Router, World

EDGE_PORT = 7080
LINKS = {
    "good": Path(0.005, 0.002),
    "mobile": Path(0.04, 0.02, 250_000, 0.01),
    "tunnel": Path(0.12, 0.08, 60_000, 0.05),
}
RETRYABLE = (
    *RETRYABLE_CODES,
    "leaving",
    "device_rate",
    "tenant_rate",
    "tenant_concurrency",
    "too_many_asks",
    "too_slow",
)
SECRET = bytes(range(32))  # of the only signing key of a simulated world; not confidential
STALE_CELL_TIMEOUT = 30.0  # seconds until a cell that a device has left resets its old connections


class Devices(msgspec.Struct, frozen=True, forbid_unknown_fields=True):
    """A class of devices. `every`: mean seconds between two asks of a device; `moves`: mean seconds in one cell,
    0: it never moves; `sleeps`: the share of asks whose device disconnects as soon as it has asked, and reconnects
    `every` seconds later on average for the answer; `leaves`, `stays`, `cancels`: see `PhoneBehaviour`."""

    name: str
    count: int = 10
    link: str = "mobile"
    every: float = 5.0
    moves: float = 0.0
    sleeps: float = 0.0
    wanted: int = 40  # tokens, on average
    prompt: int = 200  # characters
    leaves: float = 0.2
    stays: float = 1.0
    cancels: float = 0.02
    wires: tuple[WireName, ...] = WIRES


class EdgeSettings(msgspec.Struct, frozen=True, forbid_unknown_fields=True):
    """Settings of every router's edge, documented in `edge/limits.py` and `edge/keeping.py`."""

    linger: float = 20.0
    keep: float = 300.0
    arrivals: float = 1000.0
    arrivals_burst: float = 500.0
    ask_part: float = 0.5
    longest_wait: float = 30.0
    spread: float = 0.25
    running: int = 10_000


@dataclass(slots=True)
class DeviceStats(PhoneStats):
    """Results of the devices' asks. Times are seconds."""

    asked: int = 0
    kinds: Counter[str] = field(default_factory=Counter)
    forgotten: int = 0  # asks that were lost with a killed router and sent again as new asks
    moves: int = 0
    waits: list[float] = field(default_factory=list)  # from sending the ask until receiving its final record


def operators_of(settings: EdgeSettings, host: str, klass: str) -> OperatorSettings:
    """Returns the operators' configuration of a router's edge."""
    limits = Limits(
        device_rate=0.0, device_running=64, running=settings.running, arrivals=settings.arrivals,
        arrivals_burst=settings.arrivals_burst, ask_part=settings.ask_part, longest_wait=settings.longest_wait,
        spread=settings.spread,
    )  # fmt: skip
    edge = EdgeConfig(
        listen=(host, EDGE_PORT),
        keyring=Keyring({"lab": Key("lab", SECRET, "t0")}),
        asks=OpenAIConfig(listen="", default_class=klass),
        limits=limits,
        bounds=Bounds(linger=settings.linger, keep=settings.keep),
    )
    return OperatorSettings("", edge=edge, log=LogConfig(form="off"))


class DeviceLoad:
    """All devices of a world."""

    def __init__(self, world: World) -> None:
        self.world = world
        self.stats = DeviceStats()
        answer_latency = 0.005 + 2 * max(world.scenario.latency, world.scenario.cross_latency) + world.scenario.jitter
        self.ledger = Ledger(ExecutionLog(world.network.peer_closed), world.loop.time, answer_latency)
        self.open = 0
        self.number = 0
        self.cells = 0

    def join(self, router: Router) -> None:
        """Subscribes to the events of a router's edge, after each start of the router."""
        assert router.program is not None and router.program.edge is not None
        edge = router.program.edge.edge
        edge.note = edge.sessions.note = self._note

    def _note(self, event: str, **fields: Any) -> None:
        self.ledger.note(event, **fields)
        if event == "final":
            txn = f"{fields['device']}.{fields['ask']}"
            self.world.note("final", txn, str(fields["kind"]), fields["number"])
            self.world.executions.pop(txn, None)
            self.world.in_flight.pop(txn, None)

    def start(self) -> None:
        for klass in self.world.scenario.devices:
            for _ in range(klass.count):
                self.world.loop.create_task(self._run_device(klass, self.number))
                self.number += 1

    async def _run_device(self, klass: Devices, number: int) -> None:
        world = self.world
        end = world.begin + world.scenario.seconds
        device = Device(self, klass, number)
        await asyncio.sleep(device.random.random() * klass.every)
        while world.loop.now < end:
            self.open += 1
            try:
                await device.ask()
            except Exception as error:
                world.breach(f"{device.name}: ended with {type(error).__name__}: {error}")
            finally:
                self.open -= 1
            await asyncio.sleep(device.random.expovariate(1 / klass.every))

    def check(self) -> list[str]:
        return [str(one) for one in self.ledger.check()]


class Device:
    """A phone, its cell and its asks."""

    def __init__(self, load: DeviceLoad, klass: Devices, number: int) -> None:
        self.load, self.klass, self.name = load, klass, f"dev{number}"
        self.world = world = load.world
        self.random = world.stream(self.name)
        self.router = world.routers[number % len(world.routers)]
        self.asks = 0
        self.cell = ""
        self._enter_new_cell()
        token = mint(Key("lab", SECRET, "t0"), self.name, int(world.loop.wall()) + 10**8)
        client = DeviceClient(f"http://{self.router.host}:{EDGE_PORT}", token, world.loop.time, timeout=8.0)
        behaviour = PhoneBehaviour(klass.leaves, klass.stays, klass.cancels, 0.1, 0.1, 2.0, klass.wires)
        self.phone = Phone(client, self.random, behaviour, load.stats, self.move, RETRYABLE)

    def _enter_new_cell(self) -> None:
        self.load.cells += 1
        self.cell = f"{self.name}/{self.load.cells}"
        self.world.device_links[self.cell] = LINKS[self.klass.link]

    def move(self) -> None:
        """Moves to another cell. The old connection hangs without any notification."""
        world, old = self.world, self.cell
        world.network.unreachable.add(old)
        self.load.stats.moves += 1
        self._enter_new_cell()
        set_current_host(self.cell)

        def release_old_cell() -> None:
            world.network.restore_host(old)
            world.device_links.pop(old, None)

        world.loop.call_later(STALE_CELL_TIMEOUT, release_old_cell)

    async def ask(self) -> None:
        world, klass, stats, random = self.world, self.klass, self.load.stats, self.random
        set_current_host(self.cell)
        request_class = random.choice(world.scenario.classes)
        began, starts = world.loop.now, self.router.starts
        text = f"{self.name} {self.asks} " + "x" * random.randint(0, 2 * klass.prompt)
        wanted = max(1, int(random.expovariate(1 / klass.wanted)))
        body = {"model": "any", "max_tokens": wanted, "messages": [{"role": "user", "content": text}]}
        stats.asked += 1
        limit = began + 120.0 + 10 * request_class.give_up
        while True:
            self.asks += 1
            ask = DeviceAsk(f"a{self.asks}", body, request_class.name, request_class.give_up)
            self.load.ledger.record_ask(self.name, ask)
            if klass.sleeps and random.random() < klass.sleeps:
                await self._ask_and_sleep(ask)
            async with asyncio.timeout_at(limit):
                failure = await self._fetch(ask)
            if failure is None or ask.final is not None:
                break
            if self.router.starts == starts or world.loop.now > limit:
                ask.breaches.append(f"failed with {failure}")
                return
            # The router was killed and its sessions are lost: sends the same prompt as a new ask.
            starts = self.router.starts
            stats.forgotten += 1
            del self.load.ledger.entries[self.name, ask.id]
        if self.router.starts != starts:
            self.load.ledger.entries.pop((self.name, ask.id), None)  # two edge processes reported it
        stats.kinds[str(ask.final.kind if ask.final else Kind.FAILED)] += 1
        stats.waits.append(world.loop.now - began)
        world.note("held", self.name, ask.id, len(ask.events))

    async def _ask_and_sleep(self, ask: DeviceAsk) -> None:
        """Sends the ask, disconnects at once, and returns later from another cell."""
        task = asyncio.ensure_future(self.phone.client.attempt("ws-json", ask))
        await asyncio.wait({task}, timeout=1.0)
        self.move()
        task.cancel()
        await asyncio.wait({task})
        await asyncio.sleep(self.random.uniform(0, 2 * self.klass.every))

    async def _fetch(self, ask: DeviceAsk) -> str | None:
        """Returns the code of a failure that no retry resolves, or None. A device may move during an attempt."""
        while True:
            set_current_host(self.cell)  # the phone may have called `move`
            task = asyncio.ensure_future(self.phone.fetch(ask))
            try:
                move_after = self.random.expovariate(1 / self.klass.moves) if self.klass.moves else None
                done, _ = await asyncio.wait({task}, timeout=move_after)
                if done:
                    failure = task.result()
                    return failure.code if failure is not None else None
                self.move()
            finally:
                if not task.done():
                    task.cancel()
                    await asyncio.wait({task})
