"""After a watch has fallen silent, one call that waits too long keeps a drain from a router."""

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

ROUTERS = 40
NUMBER = 35  # of this router, from 0
WAIT_SECONDS = 1.0  # how long a call waits for its turn until it fails
TOLD_SECONDS = 6.0  # after the watch has fallen silent
GRACE_SECONDS = 0.55  # drainGrace of the settings, and 50 ms on sockets
WATCHED_SECONDS = 12.0
REFUSED = b"HTTP/1.1 503 Service Unavailable\r\nContent-Length: 0\r\nConnection: close\r\n\r\n"


class SilentDiscovery(Discovery):
    """Its open watches fall silent once; after that, `refuse` calls wait too long and fail."""

    def __init__(self, record: Record, servers: list[ModelServer]) -> None:
        super().__init__(record, servers)
        self.silent: set[asyncio.StreamWriter] = set()
        self.refuse = 0

    def fall_silent(self) -> None:
        """From now on nothing is written to the open watches, and their connections stay open."""
        self.record.write("the open watches fall silent")
        self.silent |= self.writers
        self.watches.clear()

    async def serve(self, reader: asyncio.StreamReader, writer: asyncio.StreamWriter) -> None:
        if not self.refuse:
            await super().serve(reader, writer)
        elif await read_head(reader) is not None:
            self.refuse -= 1
            self.record.write("discovery lets a call wait")
            await asyncio.sleep(WAIT_SECONDS)
            self.record.write("discovery answers that call with 503")
            writer.write(REFUSED)
            await writer.drain()

    async def write_line(self, writer: asyncio.StreamWriter, line: bytes) -> None:
        if writer in self.silent:
            await asyncio.sleep(60)
        await super().write_line(writer, line)


async def case(record: Record, folder: Path) -> bool:
    servers = [ModelServer(record, f"s{number}") for number in range(4)]
    for server in servers:
        await server.open()
    discovery = SilentDiscovery(record, servers)
    await discovery.open()
    router = Router(record, folder, settings(groupSize=ROUTERS, me=NUMBER), discovery.address)
    asking: list[asyncio.Task[Answer]] = []
    try:
        await router.start()
        await router.ready(20.0)

        async def traffic() -> None:
            while True:
                asking.append(asyncio.create_task(ask(record, router.port, f"t{len(asking):04d}")))
                await asyncio.sleep(0.05)

        clients = asyncio.create_task(traffic())
        await asyncio.sleep(3.0)
        discovery.fall_silent()
        silent_at = time.monotonic()
        discovery.refuse = 1 if TROUBLE else 0
        draining = servers[0]
        discovery.change(draining.entry(status="draining"))
        await asyncio.sleep(WATCHED_SECONDS)
        clients.cancel()
        await asyncio.gather(*asking)
        if all(at < silent_at for server in servers[1:] for at, _ in server.requests):
            raise CannotRun("no traffic")
        told = silent_at + TOLD_SECONDS
        late = [(at - told, txn) for at, txn in draining.requests if at > told + GRACE_SECONDS]
        for after, txn in late:
            record.write(f"{draining.name} was sent {txn} {after:.3f} s after the drain counted as told")
        return not late
    finally:
        await router.end()


play(case, __file__)
