"""After an outage of discovery, one refused call makes a router send to a draining server for seconds."""

from __future__ import annotations

import asyncio
import sys
import time
from pathlib import Path

sys.path.insert(0, str(Path(__file__).resolve().parent.parent))
from rig_2 import (  # noqa: E402
    TROUBLE,
    Answer,
    CannotRun,
    Discovery,
    ModelServer,
    Record,
    Router,
    ask,
    play,
    read_head,
    settings,
)

OUTAGE_SECONDS = 8.0  # at least; it ends behind the next call that fails
TOLD_SECONDS = 6.0  # after discovery had the change and could be reached
GRACE_SECONDS = 0.55  # drainGrace of the settings, and 50 ms on sockets
WATCHED_SECONDS = 12.0
REFUSED = b"HTTP/1.1 503 Service Unavailable\r\nContent-Length: 0\r\nConnection: close\r\n\r\n"


class FailingDiscovery(Discovery):
    """While it is down, calls end with 503. After that it refuses `refuse` calls, as one with too many callers."""

    def __init__(self, record: Record, servers: list[ModelServer]) -> None:
        super().__init__(record, servers)
        self.down = False
        self.refuse = 0
        self.failed_calls = 0

    async def serve(self, reader: asyncio.StreamReader, writer: asyncio.StreamWriter) -> None:
        if not self.down and not self.refuse:
            await super().serve(reader, writer)
        elif await read_head(reader) is not None:
            why = "it is down" if self.down else "too many callers"
            self.refuse -= not self.down
            self.failed_calls += 1
            self.record.write(f"discovery answers a call with 503: {why}")
            writer.write(REFUSED)
            await writer.drain()

    async def go_down(self) -> None:
        """Ends the watches, and returns once an outage has lasted long enough and a call has just failed."""
        self.record.write("discovery goes down")
        self.down, began = True, time.monotonic()
        for writer in list(self.writers):
            writer.transport.abort()
        await asyncio.sleep(OUTAGE_SECONDS)
        seen = self.failed_calls
        while self.failed_calls == seen:
            if time.monotonic() - began > OUTAGE_SECONDS + 10:
                raise CannotRun("the router calls discovery no more")
            await asyncio.sleep(0.02)
        await asyncio.sleep(0.2)
        self.down = False
        self.record.write(f"discovery is back after {time.monotonic() - began:.1f} s, and can be reached")


async def case(record: Record, folder: Path) -> bool:
    servers = [ModelServer(record, f"s{number}") for number in range(4)]
    for server in servers:
        await server.open()
    discovery = FailingDiscovery(record, servers)
    await discovery.open()
    router = Router(record, folder, settings(), discovery.address)
    asking: list[asyncio.Task[Answer]] = []
    try:
        await router.start()
        await router.ready()

        async def traffic() -> None:
            while True:
                asking.append(asyncio.create_task(ask(record, router.port, f"t{len(asking):04d}")))
                await asyncio.sleep(0.05)

        clients = asyncio.create_task(traffic())
        await asyncio.sleep(2.0)
        await discovery.go_down()
        discovery.refuse = 1 if TROUBLE else 0
        await asyncio.sleep(0.3)
        draining = servers[0]
        discovery.change(draining.entry(status="draining"))
        told = time.monotonic() + TOLD_SECONDS
        await asyncio.sleep(WATCHED_SECONDS)
        clients.cancel()
        await asyncio.gather(*asking)
        if all(at < told - TOLD_SECONDS for server in servers[1:] for at, _ in server.requests):
            raise CannotRun("no traffic")
        late = [(at - told, txn) for at, txn in draining.requests if at > told + GRACE_SECONDS]
        for after, txn in late:
            record.write(f"{draining.name} was sent {txn} {after:.3f} s after the drain counted as told")
        return not late
    finally:
        await router.end()


play(case, __file__)
