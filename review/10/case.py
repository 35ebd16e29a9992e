"""A list that comes as the protocol page prints it, an entry a line, is never taken."""

from __future__ import annotations

import asyncio
import json
import sys
import time
from pathlib import Path
from typing import Any

sys.path.insert(0, str(Path(__file__).resolve().parent.parent))
from rig_2 import TROUBLE, Answer, Discovery, ModelServer, Record, Router, ask, play, settings  # noqa: E402

GRACE_SECONDS = 0.55  # drainGrace of the settings, and 50 ms on sockets
WATCHED_SECONDS = 8.0


class PrintingDiscovery(Discovery):
    """Writes each object in the form that the protocol page shows: the entries on indented lines."""

    def encode(self, message: dict[str, Any]) -> bytes:
        if not TROUBLE:
            return super().encode(message)
        rows = ",\n  ".join(json.dumps(row, separators=(",", ":")) for row in message["endpoints"])
        snapshot = "true" if message["snapshot"] else "false"
        return f'{{"index":{message["index"]},"snapshot":{snapshot},"endpoints":[\n  {rows}]}}\n'.encode()


async def case(record: Record, folder: Path) -> bool:
    servers = [ModelServer(record, f"s{number}") for number in range(3)]
    for server in servers:
        await server.open()
    discovery = PrintingDiscovery(record, servers)
    await discovery.open()
    known = discovery.message(list(discovery.entries), True)
    router = Router(record, folder, settings(), discovery.address, known=known)
    asking: list[asyncio.Task[Answer]] = []
    try:
        await router.start()
        await router.ready(30.0)

        async def traffic(seconds: float) -> None:
            end = time.monotonic() + seconds
            while time.monotonic() < end:
                asking.append(asyncio.create_task(ask(record, router.port, f"t{len(asking):04d}")))
                await asyncio.sleep(0.05)

        await traffic(2.0)
        draining = servers[0]
        discovery.change(draining.entry(status="draining"))
        await traffic(WATCHED_SECONDS)
        await asyncio.gather(*asking)
        told = discovery.told[f"{draining.name} draining"]
        late = [(at - told, txn) for at, txn in draining.requests if at > told + GRACE_SECONDS]
        for after, txn in late:
            record.write(f"{draining.name} was sent {txn} {after:.3f} s after the drain was written to the router")
        return not late
    finally:
        await router.end()


play(case, __file__)
