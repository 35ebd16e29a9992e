"""Devices in a world: phones behind poor links at the routers' edges, held to account by a ledger.

They are the public client libraries of `edge/client.py` on the world's network. A device belongs to one router, for
an edge's sessions are known to its own process only. When it *moves* to another cell its link goes silent: nobody is
told, the old cell's connection hangs, and it comes back from another address.
"""

from __future__ import annotations

import asyncio
from collections import Counter
from dataclasses import dataclass, field
from typing import TYPE_CHECKING, Any

import msgspec

from pearstall.config.operators import LogConfig, Operators
from pearstall.edge.client import WIRES, DeviceAsk, DeviceClient, WireName
from pearstall.edge.keeping import Bounds
from pearstall.edge.limits import Limits
from pearstall.edge.records import Kind
from pearstall.edge.settings import EdgeConfig
from pearstall.edge.tokens import Key, Keyring, mint
from pearstall.lab.ledger import Ledger
from pearstall.lab.network import Path, be
from pearstall.lab.phones import AGAIN, Deeds, Habits, Phone
from pearstall.lab.servers import Books
from pearstall.net.config import OpenAIConfig

if TYPE_CHECKING:
    from pearstall.lab.world import Router, World

EDGE_PORT = 7080
LINKS = {
    "good": Path(0.005, 0.002),
    "mobile": Path(0.04, 0.02, 250_000, 0.01),
    "tunnel": Path(0.12, 0.08, 60_000, 0.05),
}
MAY_MEND = (*AGAIN, "leaving", "device_rate", "tenant_rate", "tenant_concurrency", "too_many_asks", "too_slow")
SECRET = bytes(range(32))  # of a world's only key: it protects nothing
HELD_DARK = 30.0  # seconds until a cell that a device left forgets it


class Devices(msgspec.Struct, frozen=True, forbid_unknown_fields=True):
    """A class of devices. `every`: seconds between two asks of one, on average; `moves`: seconds in one cell, on
    average, 0: it stays; `sleeps`: the share of asks whose device goes away as soon as it has asked, and comes
    back `every` seconds later for the answer."""

    name: str
    count: int = 10
    link: str = "mobile"
    every: float = 5.0
    moves: float = 0.0
    sleeps: float = 0.0
    wanted: int = 40
    prompt: int = 200  # characters
    leaves: float = 0.2
    stays: float = 1.0
    cancels: float = 0.02
    wires: tuple[WireName, ...] = WIRES


class EdgeSettings(msgspec.Struct, frozen=True, forbid_unknown_fields=True):
    """Of every router's edge: what `edge/limits.py` and `edge/keeping.py` say of them."""

    linger: float = 20.0
    keep: float = 300.0
    arrivals: float = 1000.0
    arrivals_burst: float = 500.0
    ask_part: float = 0.5
    longest_wait: float = 30.0
    spread: float = 0.25
    running: int = 10_000


@dataclass(slots=True)
class DeviceBooks(Deeds):
    """What came of the devices' asks. Seconds."""

    asked: int = 0
    kinds: Counter[str] = field(default_factory=Counter)
    forgotten: int = 0  # asks of a router that was killed: asked anew
    moves: int = 0
    waits: list[float] = field(default_factory=list)  # from asking to holding the final record


def operators_of(settings: EdgeSettings, host: str, klass: str) -> Operators:
    """The operators' file of one router's edge, typed as it would be read."""
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
    return Operators("", edge=edge, log=LogConfig(form="off"))


class DeviceLoad:
    """All devices of a world."""

    def __init__(self, world: World) -> None:
        self.world = world
        self.books = DeviceBooks()
        flight = 0.005 + 2 * max(world.scenario.latency, world.scenario.cross_latency) + world.scenario.jitter
        self.ledger = Ledger(Books(world.network.left), world.loop.time, flight)
        self.open = 0
        self.number = 0
        self.cells = 0

    def join(self, router: Router) -> None:
        """The router has an edge from now on, or a new one after a restart."""
        assert router.program is not None and router.program.edge is not None
        edge = router.program.edge.edge
        edge.note = edge.sessions.note = self._note

    def _note(self, event: str, **fields: Any) -> None:
        self.ledger.note(event, **fields)
        if event == "final":
            txn = f"{fields['device']}.{fields['ask']}"
            self.world.note("final", txn, str(fields["kind"]), fields["number"])
            self.world.executions.pop(txn, None)
            self.world.out.pop(txn, None)

    def start(self) -> None:
        for klass in self.world.scenario.devices:
            for _ in range(klass.count):
                self.world.loop.create_task(self._live(klass, self.number))
                self.number += 1

    async def _live(self, klass: Devices, number: int) -> None:
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
    """One phone, its cell and its asks."""

    def __init__(self, load: DeviceLoad, klass: Devices, number: int) -> None:
        self.load, self.klass, self.name = load, klass, f"dev{number}"
        self.world = world = load.world
        self.random = world.stream(self.name)
        self.router = world.routers[number % len(world.routers)]
        self.asks = 0
        self.cell = ""
        self._enter()
        token = mint(Key("lab", SECRET, "t0"), self.name, int(world.loop.wall()) + 10**8)
        client = DeviceClient(f"http://{self.router.host}:{EDGE_PORT}", token, world.loop.time, timeout=8.0)
        habits = Habits(klass.leaves, klass.stays, klass.cancels, 0.1, 0.1, 2.0, klass.wires)
        self.phone = Phone(client, self.random, habits, load.books, self.move, MAY_MEND)

    def _enter(self) -> None:
        self.load.cells += 1
        self.cell = f"{self.name}/{self.load.cells}"
        self.world.device_links[self.cell] = LINKS[self.klass.link]

    def move(self) -> None:
        """To another cell. The old link hangs: nothing passes, and nobody is told."""
        world, old = self.world, self.cell
        world.network.dark.add(old)
        self.load.books.moves += 1
        self._enter()
        be(self.cell)

        def forget() -> None:
            world.network.wake(old)
            world.device_links.pop(old, None)

        world.loop.call_later(HELD_DARK, forget)

    async def ask(self) -> None:
        world, klass, books, random = self.world, self.klass, self.load.books, self.random
        be(self.cell)
        lane = random.choice(world.scenario.classes)
        began, starts = world.loop.now, self.router.starts
        text = f"{self.name} {self.asks} " + "x" * random.randint(0, 2 * klass.prompt)
        wanted = max(1, int(random.expovariate(1 / klass.wanted)))
        body = {"model": "any", "max_tokens": wanted, "messages": [{"role": "user", "content": text}]}
        books.asked += 1
        limit = began + 120.0 + 10 * lane.give_up
        while True:
            self.asks += 1
            held = DeviceAsk(f"a{self.asks}", body, lane.name, lane.give_up)
            self.load.ledger.asked(self.name, held)
            if klass.sleeps and random.random() < klass.sleeps:
                await self._ask_and_sleep(held)
            async with asyncio.timeout_at(limit):
                told = await self._fetch(held)
            if told is None or held.final is not None:
                break
            if self.router.starts == starts or world.loop.now > limit:
                held.breaches.append(f"told {told}")
                return
            # The router was killed, and its sessions went with it: the same question, as a new ask.
            starts = self.router.starts
            books.forgotten += 1
            del self.load.ledger.entries[self.name, held.id]
        if self.router.starts != starts:
            self.load.ledger.entries.pop((self.name, held.id), None)  # two edges spoke of it
        books.kinds[str(held.final.kind if held.final else Kind.FAILED)] += 1
        books.waits.append(world.loop.now - began)
        world.note("held", self.name, held.id, len(held.events))

    async def _ask_and_sleep(self, held: DeviceAsk) -> None:
        """Asks, is gone at once, and comes back later from another cell."""
        task = asyncio.ensure_future(self.phone.client.attempt("ws-json", held))
        await asyncio.wait({task}, timeout=1.0)
        self.move()
        task.cancel()
        await asyncio.wait({task})
        await asyncio.sleep(self.random.uniform(0, 2 * self.klass.every))

    async def _fetch(self, held: DeviceAsk) -> str | None:
        """The code that nothing mends, or None. A device that moves does so in the midst of an attempt."""
        while True:
            be(self.cell)  # the phone may have moved by itself
            task = asyncio.ensure_future(self.phone.fetch(held))
            try:
                leave = self.random.expovariate(1 / self.klass.moves) if self.klass.moves else None
                done, _ = await asyncio.wait({task}, timeout=leave)
                if done:
                    told = task.result()
                    return told.code if told is not None else None
                self.move()
            finally:
                if not task.done():
                    task.cancel()
                    await asyncio.wait({task})
