"""A restarted router whose first call to discovery is refused takes its old list for current."""

from __future__ import annotations

import asyncio
import sys
import time
from pathlib import Path

HERE = Path(__file__).resolve().parent
sys.path.insert(0, str(HERE.parent))

from rig import (  # noqa: E402
    BROKEN,
    HELD,
    Discovery,
    ModelServer,
    Record,
    Router,
    disrupted,
    play,
    read_message,
    site_settings,
    sound_clients,
)

SERVERS, DRAINING = 8, 2  # a quarter of the model servers
DOWN_SECONDS = 7.0
WAIT_SECONDS = 1.0  # a call that waits longer than this fails with 503 (the site file's `timeout_ms`)
SERVED_AFTER_SECONDS = 0.9  # the second call waits its turn, not too long
TOLD_SECONDS = 6.0  # a change counts as told this long after discovery had it and could be reached
GRACE_SECONDS = 0.5 + 0.05  # every time limit is 50 ms longer on sockets
ASKING_SECONDS = 6.0


class CrowdedDiscovery(Discovery):
    """Handles calls one after another. While it is crowded, the first call of the router waits too long."""

    crowded = False
    calls_in_crowd = 0

    async def _connection(self, reader: asyncio.StreamReader, writer: asyncio.StreamWriter) -> None:
        if self.crowded:
            self.calls_in_crowd += 1
            if self.calls_in_crowd == 1:
                await read_message(reader)
                await asyncio.sleep(WAIT_SECONDS)
                self.record.line("discovery refuses a call that has waited too long")
                writer.write(b"HTTP/1.1 503 Service Unavailable\r\nContent-Length: 0\r\n\r\n")
                writer.close()
                return
            await asyncio.sleep(SERVED_AFTER_SECONDS)
        await super()._connection(reader, writer)


async def case(folder: Path, record: Record) -> int:
    servers = [ModelServer(f"s-{n}", record, "gent" if n % 2 else "antwerpen") for n in range(SERVERS)]
    for server in servers:
        await server.start()
    discovery = CrowdedDiscovery(record)
    await discovery.start()
    discovery.add(*servers)
    router = Router(folder, "n0", discovery.port, site_settings(), discovery.snapshot())
    router.start()
    if not await router.ready():
        raise RuntimeError("the router is not ready after 30 s")
    await sound_clients(router, record, 10, 2.0)
    drained_at, leaving = 0.0, servers[:DRAINING]
    if disrupted():
        record.line("the router is killed")
        router.stop()
        await asyncio.sleep(0.2)
        drained_at = discovery.change(*(server.entry("draining") for server in leaving))
        await asyncio.sleep(DOWN_SECONDS)
        discovery.crowded = True
        record.line("the router is started again, with the list that it had last")
        router.start()
        if not await router.ready():
            raise RuntimeError("the router is not ready after 30 s")
        record.line("the router is ready: the front takes it in")
    started_asking = time.monotonic()
    asked = await sound_clients(router, record, 10, ASKING_SECONDS, pause=0.1)
    router.stop()
    late = [attempt.begun_at for server in leaving for attempt in server.attempts
            if drained_at and attempt.begun_at > drained_at + TOLD_SECONDS + GRACE_SECONDS]  # fmt: skip
    for at in sorted(late):
        after_ready = at - started_asking
        record.line(f"late: an attempt {at - drained_at:.2f} s after the drain, {after_ready:.2f} s after ready")
    record.line(f"{len(asked)} requests after the restart, {len(late)} attempts at draining servers after the grace")
    return BROKEN if late else HELD


play(case, HERE)
