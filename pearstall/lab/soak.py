"""Seeded soaks of a real router process on loopback: faults, signals and kills, and a check of its guarantees.

    python -m pearstall.lab.soak --seeds 1-50 --seconds 12

A run starts a router under `fault_shim`, with stand-in model servers and discovery. Clients send requests on
persistent connections; after SIGTERM they continue on those that the router leaves open, until SIGKILL. The seed
determines the kind of run, the servers' behaviour, the changes of the server list, the outages of discovery and the
series of signals.
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

from pearstall.lab.bad_clients import play_waves
from pearstall.lab.fault_shim import Faults
from pearstall.lab.processes import ROUTER, RouterProcess
from pearstall.lab.rig import free_ports, platform_settings
from pearstall.lab.servers import LOCAL, Behaviour, ExecutionLog, StandIn
from pearstall.lab.stations import Discovery
from pearstall.net.buffer import Buffer
from pearstall.net.http1 import Head, Malformed, body_of, read_head

SERVERS = 5
LEAVING_SERVER = 2  # drains or disappears once and doesn't come back; the servers before it stay
FIRST_CHANGING_SERVER = 3
CLIENTS = 12
IDLE_CONNECTIONS = 150  # connections held open at once, against 64 descriptors for all
MAX_ATTEMPTS = 3
LATE_SECONDS = 0.5  # after the deadline; an answer within them has no value, and a later one is a breach
DRAIN_SECONDS = 0.55  # from learning that a server drains or left until no more attempts are sent to it
NOTIFICATION_SECONDS = 6.0  # from a change until the router must know of it, whether or not a watch reported it
LONGEST_DEADLINE = 3.0
KILL_SECONDS = LONGEST_DEADLINE + 0.7  # after SIGTERM
MUST_ANSWER_SECONDS = 0.7  # after SIGTERM: a request sent by then is answered before the kill
READY_SECONDS = 10.0
LONGEST_OUTAGE = 4.0
SMALLEST_MEMORY_MB = 32  # that the operators name
KINDS = ("plain", "syscalls", "sockets", "clock", "log", "crowd", "flood")
FAULTS = {
    "plain": Faults(),
    "syscalls": Faults(accept=0.2, connect=0.1, make_socket=0.05, interrupt=0.1, short=0.02),
    "sockets": Faults(receive=0.01, send=0.01, short=0.1, interrupt=0.1),
    "clock": Faults(clock_steps=[(1.0, 3600.0), (4.0, -7200.0), (7.0, 3600.0)]),
    "log": Faults(log=0.3),
    "crowd": Faults(),
    "flood": Faults(),
}


@dataclass(slots=True)
class SentRequest:
    """One request sent on one connection. Times are seconds of the event loop's clock."""

    txn: str
    sent: float
    deadline: float
    ended: float = 0.0
    kind: str = "none"  # served, refused, failed, malformed, cut, reset: connection lost, none: no answer in time


@dataclass(slots=True)
class Report:
    """The results of one run."""

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
    """Sends one request after another on a connection that stays open until the router closes it."""

    def __init__(self, soak: Soak, number: int) -> None:
        self.soak, self.number, self.count = soak, number, 0
        self.random = Random(f"{soak.seed}/client/{number}")
        self.reader: asyncio.StreamReader | None = None
        self.writer: asyncio.StreamWriter | None = None
        self.buffer = Buffer()

    async def run(self) -> None:
        while self.soak.running:
            if await self._ensure_connected():
                await self._ask()
            await asyncio.sleep(self.random.uniform(0.0, 0.15))
        self.close()

    async def _ensure_connected(self) -> bool:
        if self.writer is not None:
            return True
        if self.soak.no_new_connections:
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
        record = SentRequest(txn, now, now + wait)
        self.soak.requests.append(record)
        self.writer.write(request(txn, wait, self.number))
        try:
            async with asyncio.timeout(wait + 4.0):
                record.kind = await self._answer()
        except (OSError, TimeoutError) as error:
            record.kind = "none" if isinstance(error, TimeoutError) else "reset"
        record.ended = asyncio.get_running_loop().time()
        if record.kind in ("none", "reset", "cut"):
            self.close()

    async def _read_more(self) -> bool:
        assert self.reader is not None
        data = await self.reader.read(65536)
        self.buffer.add(data)
        return bool(data)

    async def _answer(self) -> str:
        while (head := read_head(self.buffer, response=True)) is None:
            if not await self._read_more():
                return "reset"
        body = body_of(head) if isinstance(head, Head) else head
        if isinstance(body, Malformed) or not isinstance(head, Head):
            return "malformed"
        while not body.done:
            if isinstance(body.feed(self.buffer), Malformed):
                return "malformed"
            if not body.done and not await self._read_more():
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
    """One run: the router, its environment, and the checks after the run."""

    def __init__(self, seed: int, seconds: float, folder: Path) -> None:
        self.seed, self.seconds, self.folder = seed, seconds, folder
        self.random = Random(seed)
        self.kind = KINDS[seed % len(KINDS)]
        self.report = Report(seed, self.kind)
        self.execution_log = ExecutionLog()
        self.servers: list[StandIn] = []
        self.discovery = Discovery((LOCAL, free_ports(1)[0]))
        self.router: RouterProcess
        self.requests: list[SentRequest] = []
        self.running = True
        self.no_new_connections = False
        # By server: when it began to drain or left, and when it returned.
        self.absences: dict[int, list[tuple[float, float]]] = {}
        self.discovery_restored_at: list[float] = []  # when discovery was reachable again after an outage
        # For each router process: when its stop was requested, and when it was dead.
        self.stops: list[tuple[float, float]] = []

    async def play(self) -> Report:
        async with AsyncExitStack() as stack:
            for number in range(SERVERS):
                behaviour = Behaviour(outcome_weights=self._outcome_weights(number), first=(0.005, 0.06), stall=6.0)
                server = StandIn(number, self.execution_log, behaviour, self.seed, "platform")
                self.servers.append(await stack.enter_async_context(server.listening()))
                self.discovery.put(self._row(number, "ready"))
            await self.discovery.start()
            self.router = RouterProcess(self.folder, self._config(), self._launcher())
            stack.callback(self.router.kill)
            self.router.start()
            if not await self._wait_until_ready():
                return self.report
            clients = [asyncio.create_task(SoakClient(self, number).run()) for number in range(CLIENTS)]
            if self.kind == "crowd":
                stack.callback(asyncio.create_task(self._open_idle_connections()).cancel)
            if self.kind == "flood":
                stack.callback(asyncio.create_task(play_waves(self.router.port, Random(self.seed))).cancel)
            changes = asyncio.create_task(self._change_server_list())
            await self._send_signals()
            self.running = False
            changes.cancel()
            await asyncio.gather(*clients)
            self._check()
        return self.report

    def _outcome_weights(self, number: int) -> dict[str, float]:
        bad = self.random.choice(("error", "reset", "silent", "break", "away"))
        return {"serve": 1.0} if number < LEAVING_SERVER else {"serve": 0.8, bad: 0.2}

    def _row(self, number: int, status: str) -> dict[str, Any]:
        address = f"{LOCAL}:{self.servers[number].port}"
        return {"name": f"s{number}", "address": address, "zone": "a", "type": "toy", "group": 0, "status": status,
                "weight": 1.0, "since_ms": 0}  # fmt: skip

    def _config(self) -> dict[str, Any]:
        routers = self.random.choice((1, 4, 200))
        settings = platform_settings(groupSize=routers, me=self.random.randrange(routers))
        known = {"index": self.discovery.index, "snapshot": True, "endpoints": list(self.discovery.rows.values())}
        limits = {"sockets": 128 if self.kind == "crowd" else 1024}
        if self.kind == "flood":
            limits["memory_mb"] = SMALLEST_MEMORY_MB
        return {"discovery": f"{LOCAL}:{self.discovery.address[1]}", "known": known, "settings": settings,
                "limits": limits, "name": "n0"}  # fmt: skip

    def _launcher(self) -> list[str]:
        if self.kind == "flood":
            return list(ROUTER)  # the injector's own libraries would count against the memory limit
        faults = FAULTS[self.kind]
        faults = msgspec.structs.replace(faults, seed=self.seed)
        return ["-m", "pearstall.lab.fault_shim", msgspec.json.encode(faults).decode(), "--"]

    async def _wait_until_ready(self) -> bool:
        try:
            await self.router.until_health(200, READY_SECONDS)
        except TimeoutError:
            self._breach(f"not ready within {READY_SECONDS:.0f} s, exit code {self.router.exit_code}")
            return False
        return True

    def _breach(self, what: str) -> None:
        self.report.breaches.append(what)

    async def _open_idle_connections(self) -> None:
        """Opens idle connections until the router has no descriptor left for more."""
        idle: list[asyncio.StreamWriter] = []
        try:
            while True:
                try:
                    idle.append((await asyncio.open_connection(LOCAL, self.router.port))[1])
                except OSError:
                    await asyncio.sleep(0.1)
                if len(idle) > IDLE_CONNECTIONS:
                    idle.pop(0).close()
                await asyncio.sleep(0.005)
        finally:
            for writer in idle:
                writer.close()

    async def _change_server_list(self) -> None:
        loop = asyncio.get_running_loop()
        leaves_at = loop.time() + self.random.uniform(0.5, 4.0)
        while True:
            await asyncio.sleep(self.random.uniform(0.3, 1.5))
            number = self.random.randrange(FIRST_CHANGING_SERVER, SERVERS)
            if LEAVING_SERVER not in self.absences and loop.time() > leaves_at:
                number = LEAVING_SERVER
            state = self.discovery.rows.get(f"s{number}", {"status": "gone"})["status"]
            status = self.random.choice(("draining", "gone")) if state == "ready" else "ready"
            self.discovery.put(self._row(number, status))
            self.report.lists += 1
            periods = self.absences.setdefault(number, [])
            if status == "ready":
                periods[-1] = (periods[-1][0], loop.time())
            elif state == "ready":
                periods.append((loop.time(), float("inf")))
            await self._disturb_discovery()

    async def _disturb_discovery(self) -> None:
        draw = self.random.random()
        if draw < 0.15:
            self.discovery.restart()  # resets every watch
        elif draw < 0.3:
            self.discovery.mute()
        elif draw < 0.4:
            self.discovery.up = False
            self.discovery.restart()
            await asyncio.sleep(self.random.uniform(0.5, LONGEST_OUTAGE))
            self.discovery.up = True
            self.discovery_restored_at.append(asyncio.get_running_loop().time())

    async def _send_signals(self) -> None:
        """Sends series of reload signals, and restarts the router: with SIGTERM, sometimes followed by another one or
        a reload, and SIGKILL as early as the shutdown's time limit allows; or with SIGKILL at once."""
        loop = asyncio.get_running_loop()
        end = loop.time() + self.seconds
        while loop.time() < end:
            await asyncio.sleep(self.random.uniform(1.0, 3.0))
            for _ in range(self.random.randrange(4)):
                self.router.write_config(said=self.random.random())
                self.router.send_signal(self.random.choice((signal.SIGHUP, signal.SIGUSR1)))
                await asyncio.sleep(self.random.uniform(0.0, 0.05))
            if self.random.random() < 0.6:
                await self._restart(graceful=self.random.random() < 0.7)

    async def _restart(self, graceful: bool) -> None:
        loop = asyncio.get_running_loop()
        if self.router.exit_code is not None:
            return
        requested_at = loop.time()
        if graceful:
            self.router.send_signal(signal.SIGTERM)
            if self.random.random() < 0.3:
                self.router.send_signal(self.random.choice((signal.SIGTERM, signal.SIGHUP)))
            await asyncio.sleep(0.4)
            self.no_new_connections = True
            while self.router.exit_code is None and loop.time() < requested_at + KILL_SECONDS:
                await asyncio.sleep(0.02)
            if self.router.exit_code not in (None, 0):
                self._breach(f"exit code {self.router.exit_code} after SIGTERM")
        killed_at = loop.time()
        self._check_memory()
        self.router.kill()
        self.stops.append((requested_at if graceful else killed_at - MUST_ANSWER_SECONDS - 60.0, killed_at))
        await asyncio.sleep(self.random.uniform(0.0, 1.0))
        self.no_new_connections = False
        self.router.config["known"] = {
            "index": self.discovery.index, "snapshot": True, "endpoints": list(self.discovery.rows.values())
        }  # fmt: skip
        await asyncio.sleep(self.random.choice((0.2, 1.0, 4.0)))  # meanwhile the list changes without the router
        self.router.start()
        self.report.restarts += 1
        await self._wait_until_ready()

    def _check_memory(self) -> None:
        peak = self.router.peak_bytes()
        if self.kind == "flood" and peak > SMALLEST_MEMORY_MB * 1_000_000:
            self._breach(f"the process had {peak / 1e6:.1f} MB, of {SMALLEST_MEMORY_MB} allowed")

    def _check(self) -> None:
        self._check_memory()
        if self.router.exit_code is not None:
            self._breach(f"the router exited by itself with code {self.router.exit_code}: {self.router.log()[-300:]}")
        for record in self.requests:
            self.report.ends[record.kind] += 1
            self._check_request(record)
        sent_txns = {record.txn for record in self.requests}
        for txn, executions in self.execution_log.by_txn.items():
            if txn not in sent_txns:
                self._breach(f"{txn!r} was sent to a server, but no client sent it")
            if len(executions) > MAX_ATTEMPTS:
                self._breach(f"{txn} was sent to servers {len(executions)} times")
            for execution in executions:
                self._check_absence(execution.txn, execution.server, execution.began)
        self.report.breaches += [f"{txn} had two attempts running at once" for txn in self.execution_log.overlapping]
        for line in self.router.log().splitlines():
            if '"event":"exception"' in line or line.startswith("Traceback"):
                self._breach(line[:300])

    def _check_request(self, record: SentRequest) -> None:
        if record.kind == "malformed":
            self._breach(f"{record.txn} got a malformed answer")
        if record.kind not in ("none", "reset"):
            if record.kind in ("refused", "failed") and record.ended > record.deadline + LATE_SECONDS:
                self._breach(f"{record.txn} was answered {record.ended - record.deadline:.2f} s past its deadline")
            return
        if self.kind == "sockets":
            return  # the connection was lost to an injected fault of the router's socket
        for requested_at, dead_at in self.stops:
            if record.sent <= dead_at <= record.ended + 0.1:  # the router was killed during this request
                if record.sent <= requested_at + MUST_ANSWER_SECONDS and requested_at > dead_at - KILL_SECONDS - 1.0:
                    self._breach(
                        f"{record.txn}, sent {record.sent - requested_at:+.2f} s after SIGTERM, got no answer"
                    )
                return
        if record.txn in self.execution_log.by_txn:
            self._breach(f"{record.txn} was sent to a server, but its connection ended without an answer")
        elif record.kind == "none":
            self._breach(f"{record.txn} got no answer in {record.ended - record.sent:.2f} s")

    def _check_absence(self, txn: str, server: int, began: float) -> None:
        for left_at, returned_at in self.absences.get(server, []):
            announced_at = max(
                [left_at]
                + [at for at in self.discovery_restored_at if at < left_at + NOTIFICATION_SECONDS + LONGEST_OUTAGE]
            )
            if announced_at + NOTIFICATION_SECONDS + DRAIN_SECONDS < began < returned_at:
                self._breach(
                    f"{txn} was sent to s{server} {began - announced_at:.2f} s after its drain was announced"
                )


def seeds(text: str) -> list[int]:
    first, _, last = text.partition("-")
    return list(range(int(first), int(last or first) + 1))


async def play(seed: int, seconds: float) -> Report:
    with tempfile.TemporaryDirectory() as folder:
        return await Soak(seed, seconds, Path(folder)).play()


async def play_all(chosen: list[int], seconds: float, at_once: int) -> list[Report]:
    slots = asyncio.Semaphore(at_once)

    async def play_one(seed: int) -> Report:
        async with slots:
            report = await play(seed, seconds)
            print(report.line(), flush=True)
            return report

    return list(await asyncio.gather(*(play_one(seed) for seed in chosen)))


def main() -> int:
    parser = argparse.ArgumentParser(prog="python -m pearstall.lab.soak", description=__doc__.splitlines()[0])
    parser.add_argument("--seeds", default="1-6", help="one seed, or a range FIRST-LAST")
    parser.add_argument("--seconds", type=float, default=12.0, help="length of each run")
    parser.add_argument("--at-once", type=int, default=1, help="runs in parallel")
    arguments = parser.parse_args()
    reports = asyncio.run(play_all(seeds(arguments.seeds), arguments.seconds, arguments.at_once))
    broken = [report for report in reports if report.breaches]
    print(f"{len(reports)} runs, {len(broken)} with breaches, {sum(map(len, (r.breaches for r in reports)))} in all")
    return 1 if broken else 0


if __name__ == "__main__":
    sys.exit(main())
