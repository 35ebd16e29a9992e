"""Hundreds of half requests at once: the router goes over its memory limit and is killed, with what it had taken."""

from __future__ import annotations

import asyncio
import signal
import sys
from pathlib import Path

HERE = Path(__file__).resolve().parent
sys.path.insert(0, str(HERE.parent))

from rig import (  # noqa: E402
    BROKEN,
    COULD_NOT_RUN,
    HELD,
    Record,
    Router,
    disrupted,
    play,
    small_deployment,
    sound_clients,
    start_stand_in,
)

MEMORY_MB, SOCKETS = 192, 1024  # the most that the pages give a router on scored days
SOUND_CLIENTS, BAD_CLIENTS = 10, 330  # together no more than a third of the descriptors
SECONDS = 12.0


async def platform(router: Router, record: Record) -> float:
    """Kills the router over its memory limit, as the platform does. Returns the most that it had, in MB."""
    peak = 0.0
    while router.process is not None and router.process.poll() is None:
        used = router.memory_mb()
        peak = max(peak, used)
        if used > MEMORY_MB:
            record.line(f"platform: {router.name} has {used:.0f} MB, over the limit of {MEMORY_MB} MB: killed")
            router.signal(signal.SIGKILL)
            router.process.wait()
        await asyncio.sleep(0.01)
    record.line(f"platform: {router.name} has ended")
    return peak


async def case(folder: Path, record: Record) -> int:
    deployment = await small_deployment(folder, record, memory_mb=MEMORY_MB, sockets=SOCKETS)
    router = deployment.router
    watched = asyncio.create_task(platform(router, record))
    asking = asyncio.create_task(sound_clients(router, record, SOUND_CLIENTS, SECONDS))
    await asyncio.sleep(3.0)
    bad = None
    if disrupted():
        record.line(f"{BAD_CLIENTS} bad clients connect, and send half a request each")
        bad = start_stand_in(record, HERE.parent / "half_requests.py", router.port, BAD_CLIENTS, "distinct", 1)
    asked = await asking
    crashed = router.process is None or router.process.poll() is not None
    if not crashed:
        router.signal(signal.SIGKILL)  # the end of the case
    record.line(f"most memory: {await watched:.0f} MB; crashed: {crashed}")
    lost = [ask.txn for ask in asked if ask.sent_at and ask.kind in ("closed", "none", "cut")]
    record.line(f"{sum(bool(ask.sent_at) for ask in asked)} requests were taken, lost: {lost}")
    failed = bad is not None and bad.poll() not in (None, 0)
    return BROKEN if crashed else COULD_NOT_RUN if failed else HELD


play(case, HERE)
