"""One seeded soak of a real router process on loopback: faults, signals and kills, and a check of the rules.

    python -m pearstall.lab.soak --seeds 1-50 --seconds 12

A run starts a router under `fault_shim`, with stand-in model servers and discovery. Clients ask on connections that
they keep and, after SIGTERM, on every one that stays open until SIGKILL. Drawn from the seed are the kind of run,
the servers' behaviour, changes of the list, outages of discovery and the series of signals.
"""

from __future__ import annotations

import argparse
import asyncio
import json
import signal
import sys
import tempfile
from collections import Counter
from contextlib import AsyncExitStack
from dataclasses import dataclass, field
from pathlib import Path
from random import Random
from typing import Any

import msgspec

from pearstall.lab.fault_shim import Faults
from pearstall.lab.processes import RouterProcess
from pearstall.lab.rig import free_ports, platform_settings
from pearstall.lab.servers import LOCAL, Behaviour, Books, StandIn
from pearstall.lab.stations import Discovery
from pearstall.net.buffer import Buffer
from pearstall.net.http1 import Head, Malformed, body_of, read_head

SERVERS = 5
LEAVING = 2  # it drains or goes once, and does not come back; the ones before it stay
FIRST_OF_CHANGING = 3
CLIENTS = 12
CROWD = 150  # idle clients, against 64 descriptors for all
MOST_ATTEMPTS = 3
LATE_SECONDS = 0.5  # past its deadline an answer only earns nothing; later it is lost
DRAIN_SECONDS = 0.55  # after a change was told
TOLD_SECONDS = 6.0  # after it was made, heard of or not
LONGEST_DEADLINE = 3.0
KILL_SECONDS = LONGEST_DEADLINE + 0.7  # after SIGTERM
OWED_SECONDS = 0.7  # after SIGTERM: what came by then is answered before the kill
READY_SECONDS = 10.0
LONGEST_OUTAGE = 4.0
KINDS = ("plain", "syscalls", "sockets", "clock", "log", "crowd")
FAULTS = {
    "plain": Faults(),
    "syscalls": Faults(accept=0.2, connect=0.1, make_socket=0.05, interrupt=0.1, short=0.02),
    "sockets": Faults(receive=0.01, send=0.01, short=0.1, interrupt=0.1),
    "clock": Faults(clock_steps=[(1.0, 3600.0), (4.0, -7200.0), (7.0, 3600.0)]),
    "log": Faults(log=0.3),
    "crowd": Faults(),
}


@dataclass(slots=True)
class Try:
    """One request on one connection. Times are the loop's seconds."""

    txn: str
    sent: float
    deadline: float
    ended: float = 0.0
    kind: str = "none"  # served, refused, failed, cut, reset: no answer and no connection any more


@dataclass(slots=True)
class Report:
    seed: int
    kind: str
    breaches: list[str] = field(default_factory=list)
    ends: Counter[str] = field(default_factory=Counter)
    lists: int = 0
    restarts: int = 0

    def line(self) -> str:
        return json.dumps(
            {"seed": self.seed, "kind": self.kind, "ends": dict(self.ends), "lists": self.lists,
             "restarts": self.restarts, "breaches": self.breaches}
        )  # fmt: skip


class SoakClient:
    """Asks one request after another on a connection that it keeps for as long as the router does."""

    def __init__(self, soak: Soak, number: int) -> None:
        self.soak, self.number, self.count = soak, number, 0
        self.random = Random(f"{soak.seed}/client/{number}")
        self.reader: asyncio.StreamReader | None = None
        self.writer: asyncio.StreamWriter | None = None
        self.buffer = Buffer()

    async def run(self) -> None:
        while self.soak.running:
            if await self._connected():
                await self._ask()
            await asyncio.sleep(self.random.uniform(0.0, 0.15))
        self.close()

    async def _connected(self) -> bool:
        if self.writer is not None:
            return True
        if self.soak.closed_to_new:
            return False
        try:
            self.reader, self.writer = await asyncio.open_connection(LOCAL, self.soak.router.port)
        except OSError:
            return False
        self.buffer = Buffer()
        return True

    async def _ask(self) -> None:
        assert self.writer is not None
        self.count += 1
        txn = f"{self.soak.seed:x}-{self.number}-{self.count}"
        wait = self.random.choice((0.3, 1.0, 2.0, LONGEST_DEADLINE))
        now = asyncio.get_running_loop().time()
        made = Try(txn, now, now + wait)
        self.soak.tries.append(made)
        self.writer.write(request(txn, wait, self.number))
        try:
            async with asyncio.timeout(wait + 4.0):
                made.kind = await self._answer()
        except (OSError, TimeoutError) as error:
            made.kind = "none" if isinstance(error, TimeoutError) else "reset"
        made.ended = asyncio.get_running_loop().time()
        if made.kind in ("none", "reset", "cut"):
            self.close()

    async def _more(self) -> bool:
        assert self.reader is not None
        data = await self.reader.read(65536)
        self.buffer.add(data)
        return bool(data)

    async def _answer(self) -> str:
        while (head := read_head(self.buffer, response=True)) is None:
            if not await self._more():
                return "reset"
        body = body_of(head) if isinstance(head, Head) else head
        if isinstance(body, Malformed) or not isinstance(head, Head):
            return "malformed"
        while not body.done:
            if isinstance(body.feed(self.buffer), Malformed):
                return "malformed"
            if not body.done and not await self._more():
                return "cut"
        if not head.keep_alive:
            self.close()
        return {200: "served", 429: "refused", 503: "refused"}.get(head.status, "failed")

    def close(self) -> None:
        if self.writer is not None:
            self.writer.close()
            self.reader = self.writer = None


def request(txn: str, wait: float, session: int) -> bytes:
    body = json.dumps({"model": "chat", "stream": True, "messages": [{"role": "user", "content": txn}]}).encode()
    head = (
        f"POST /v1/chat/completions HTTP/1.1\r\nHost: router\r\nX-Txn: {txn}\r\nX-Lane: chat\r\nX-Org: shop\r\n"
        f"X-Entity: e{session}\r\nX-Remaining: {wait}\r\nX-Labels: prompt_len=50\r\n"
        f"Content-Length: {len(body)}\r\n\r\n"
    )
    return head.encode() + body


class Soak:
    def __init__(self, seed: int, seconds: float, folder: Path) -> None:
        self.seed, self.seconds, self.folder = seed, seconds, folder
        self.random = Random(seed)
        self.kind = KINDS[seed % len(KINDS)]
        self.report = Report(seed, self.kind)
        self.books = Books()
        self.servers: list[StandIn] = []
        self.discovery = Discovery((LOCAL, free_ports(1)[0]))
        self.router: RouterProcess
        self.tries: list[Try] = []
        self.running = True
        self.closed_to_new = False
        self.left: dict[int, list[tuple[float, float]]] = {}  # by server: when it was told to drain, and when back
        self.back_at: list[float] = []  # when discovery could be reached again
        self.stops: list[tuple[float, float]] = []  # of a router: asked to end (or killed), and dead

    async def play(self) -> Report:
        async with AsyncExitStack() as stack:
            for number in range(SERVERS):
                behaviour = Behaviour(ways=self._ways(number), first=(0.005, 0.06), stall=6.0)
                server = StandIn(number, self.books, behaviour, self.seed, "platform")
                self.servers.append(await stack.enter_async_context(server.listening()))
                self.discovery.put(self._row(number, "ready"))
            await self.discovery.start()
            self.router = RouterProcess(self.folder, self._config(), self._launcher())
            stack.callback(self.router.kill)
            self.router.start()
            if not await self._ready():
                return self.report
            clients = [asyncio.create_task(SoakClient(self, number).run()) for number in range(CLIENTS)]
            if self.kind == "crowd":
                stack.callback(asyncio.create_task(self._crowd()).cancel)
            changes = asyncio.create_task(self._change_lists())
            await self._signals()
            self.running = False
            changes.cancel()
            await asyncio.gather(*clients)
            self._check()
        return self.report

    def _ways(self, number: int) -> dict[str, float]:
        bad = self.random.choice(("error", "reset", "silent", "break", "away"))
        return {"serve": 1.0} if number < LEAVING else {"serve": 0.8, bad: 0.2}

    def _row(self, number: int, status: str) -> dict[str, Any]:
        address = f"{LOCAL}:{self.servers[number].port}"
        return {"name": f"s{number}", "address": address, "zone": "a", "type": "toy", "group": 0, "status": status,
                "weight": 1.0, "since_ms": 0}  # fmt: skip

    def _config(self) -> dict[str, Any]:
        routers = self.random.choice((1, 4, 200))
        settings = platform_settings(groupSize=routers, me=self.random.randrange(routers))
        known = {"index": self.discovery.index, "snapshot": True, "endpoints": list(self.discovery.rows.values())}
        limits = {"sockets": 128 if self.kind == "crowd" else 1024}
        return {"discovery": f"{LOCAL}:{self.discovery.address[1]}", "known": known, "settings": settings,
                "limits": limits, "name": "n0"}  # fmt: skip

    def _launcher(self) -> list[str]:
        faults = FAULTS[self.kind]
        faults = msgspec.structs.replace(faults, seed=self.seed)
        return ["-m", "pearstall.lab.fault_shim", msgspec.json.encode(faults).decode(), "--"]

    async def _ready(self) -> bool:
        try:
            await self.router.until_health(200, READY_SECONDS)
        except TimeoutError:
            self._breach(f"not ready within {READY_SECONDS:.0f} s, exit code {self.router.exit_code}")
            return False
        return True

    def _breach(self, what: str) -> None:
        self.report.breaches.append(what)

    async def _crowd(self) -> None:
        """Idle clients take every descriptor that the router grants."""
        held: list[asyncio.StreamWriter] = []
        try:
            while True:
                try:
                    held.append((await asyncio.open_connection(LOCAL, self.router.port))[1])
                except OSError:
                    await asyncio.sleep(0.1)
                if len(held) > CROWD:
                    held.pop(0).close()
                await asyncio.sleep(0.005)
        finally:
            for writer in held:
                writer.close()

    async def _change_lists(self) -> None:
        loop = asyncio.get_running_loop()
        leaves_at = loop.time() + self.random.uniform(0.5, 4.0)
        while True:
            await asyncio.sleep(self.random.uniform(0.3, 1.5))
            number = self.random.randrange(FIRST_OF_CHANGING, SERVERS)
            if LEAVING not in self.left and loop.time() > leaves_at:
                number = LEAVING
            state = self.discovery.rows.get(f"s{number}", {"status": "gone"})["status"]
            status = self.random.choice(("draining", "gone")) if state == "ready" else "ready"
            self.discovery.put(self._row(number, status))
            self.report.lists += 1
            spans = self.left.setdefault(number, [])
            if status == "ready":
                spans[-1] = (spans[-1][0], loop.time())
            elif state == "ready":
                spans.append((loop.time(), float("inf")))
            await self._trouble_discovery()

    async def _trouble_discovery(self) -> None:
        trouble = self.random.random()
        if trouble < 0.15:
            self.discovery.restart()  # every watch is reset
        elif trouble < 0.3:
            self.discovery.mute()
        elif trouble < 0.4:
            self.discovery.up = False
            self.discovery.restart()
            await asyncio.sleep(self.random.uniform(0.5, LONGEST_OUTAGE))
            self.discovery.up = True
            self.back_at.append(asyncio.get_running_loop().time())

    async def _signals(self) -> None:
        """Reloads in a row; SIGTERM, sometimes twice or with a reload, and SIGKILL as early as it may come."""
        loop = asyncio.get_running_loop()
        end = loop.time() + self.seconds
        while loop.time() < end:
            await asyncio.sleep(self.random.uniform(1.0, 3.0))
            for _ in range(self.random.randrange(4)):
                self.router.write_config(said=self.random.random())
                self.router.send_signal(self.random.choice((signal.SIGHUP, signal.SIGUSR1)))
                await asyncio.sleep(self.random.uniform(0.0, 0.05))
            if self.random.random() < 0.6:
                await self._restart(gently=self.random.random() < 0.7)

    async def _restart(self, gently: bool) -> None:
        loop = asyncio.get_running_loop()
        if self.router.exit_code is not None:
            return
        asked = loop.time()
        if gently:
            self.router.send_signal(signal.SIGTERM)
            if self.random.random() < 0.3:
                self.router.send_signal(self.random.choice((signal.SIGTERM, signal.SIGHUP)))
            await asyncio.sleep(0.4)
            self.closed_to_new = True
            while self.router.exit_code is None and loop.time() < asked + KILL_SECONDS:
                await asyncio.sleep(0.02)
            if self.router.exit_code not in (None, 0):
                self._breach(f"exit code {self.router.exit_code} after SIGTERM")
        killed = loop.time()
        self.router.kill()
        self.stops.append((asked if gently else killed - OWED_SECONDS - 60.0, killed))
        await asyncio.sleep(self.random.uniform(0.0, 1.0))
        self.closed_to_new = False
        self.router.config["known"] = {
            "index": self.discovery.index, "snapshot": True, "endpoints": list(self.discovery.rows.values())
        }  # fmt: skip
        await asyncio.sleep(self.random.choice((0.2, 1.0, 4.0)))  # the list changes while the router is down
        self.router.start()
        self.report.restarts += 1
        await self._ready()

    def _check(self) -> None:
        if self.router.exit_code is not None:
            self._breach(f"the router ended by itself with {self.router.exit_code}: {self.router.log()[-300:]}")
        for made in self.tries:
            self.report.ends[made.kind] += 1
            self._check_try(made)
        asked = {made.txn for made in self.tries}
        for txn, executions in self.books.by_txn.items():
            if txn not in asked:
                self._breach(f"{txn!r} was sent on, and no client sent it")
            if len(executions) > MOST_ATTEMPTS:
                self._breach(f"{txn} was sent on {len(executions)} times")
            for execution in executions:
                self._check_drain(execution.txn, execution.server, execution.began)
        self.report.breaches += [f"{txn} was out twice at once" for txn in self.books.doubles]
        for line in self.router.log().splitlines():
            if '"event":"exception"' in line or line.startswith("Traceback"):
                self._breach(line[:300])

    def _check_try(self, made: Try) -> None:
        if made.kind == "malformed":
            self._breach(f"{made.txn} got what is no answer")
        if made.kind not in ("none", "reset"):
            if made.kind in ("refused", "failed") and made.ended > made.deadline + LATE_SECONDS:
                self._breach(f"{made.txn} was answered {made.ended - made.deadline:.2f} s past its deadline")
            return
        if self.kind == "sockets":
            return  # its connection was lost by a fault of the router's own socket
        for asked, dead in self.stops:
            if made.sent <= dead <= made.ended + 0.1:  # it met a kill
                if made.sent <= asked + OWED_SECONDS and asked > dead - KILL_SECONDS - 1.0:
                    self._breach(f"{made.txn}, sent {made.sent - asked:+.2f} s after SIGTERM, has no answer")
                return
        if made.txn in self.books.by_txn:
            self._breach(f"{made.txn} was read and sent on, and its connection ended without an answer")
        elif made.kind == "none":
            self._breach(f"{made.txn} got no answer in {made.ended - made.sent:.2f} s")

    def _check_drain(self, txn: str, server: int, began: float) -> None:
        for made, back in self.left.get(server, []):
            told = max([made] + [at for at in self.back_at if at < made + TOLD_SECONDS + LONGEST_OUTAGE])
            if told + TOLD_SECONDS + DRAIN_SECONDS < began < back:
                self._breach(f"{txn} went to s{server} {began - told:.2f} s after its drain was made known")


def seeds(text: str) -> list[int]:
    first, _, last = text.partition("-")
    return list(range(int(first), int(last or first) + 1))


async def play(seed: int, seconds: float) -> Report:
    with tempfile.TemporaryDirectory() as folder:
        return await Soak(seed, seconds, Path(folder)).play()


async def play_all(wanted: list[int], seconds: float, at_once: int) -> list[Report]:
    slots = asyncio.Semaphore(at_once)

    async def one(seed: int) -> Report:
        async with slots:
            report = await play(seed, seconds)
            print(report.line(), flush=True)
            return report

    return list(await asyncio.gather(*(one(seed) for seed in wanted)))


def main() -> int:
    parser = argparse.ArgumentParser(prog="python -m pearstall.lab.soak", description=__doc__.splitlines()[0])
    parser.add_argument("--seeds", default="1-6", help="one seed, or the first and the last")
    parser.add_argument("--seconds", type=float, default=12.0, help="of each run")
    parser.add_argument("--at-once", type=int, default=1, help="runs beside each other")
    given = parser.parse_args()
    reports = asyncio.run(play_all(seeds(given.seeds), given.seconds, given.at_once))
    broken = [report for report in reports if report.breaches]
    print(f"{len(reports)} runs, {len(broken)} with breaches, {sum(map(len, (r.breaches for r in reports)))} in all")
    return 1 if broken else 0


if __name__ == "__main__":
    sys.exit(main())
