"""Half requests with long heads: the router stands still, and answers other clients long after their time."""

from __future__ import annotations

import asyncio
import sys
from pathlib import Path

HERE = Path(__file__).resolve().parent
sys.path.insert(0, str(HERE.parent))

from rig import (  # noqa: E402
    BROKEN,
    COULD_NOT_RUN,
    HELD,
    Record,
    disrupted,
    play,
    small_deployment,
    sound_clients,
    start_stand_in,
)

LATE_SECONDS = 0.5 + 0.05  # later, or never, a request is lost; every time limit is 50 ms longer on sockets
SOUND_CLIENTS, BAD_CLIENTS = 20, 320  # together no more than a third of the descriptors
TIMES = 3
SECONDS = 30.0


async def case(folder: Path, record: Record) -> int:
    deployment = await small_deployment(folder, record)
    router = deployment.router
    asking = asyncio.create_task(sound_clients(router, record, SOUND_CLIENTS, SECONDS, pause=0.3, patience=12.0))
    await asyncio.sleep(3.0)
    bad = None
    if disrupted():
        record.line(f"{BAD_CLIENTS} bad clients connect, and send half a request each, {TIMES} times")
        bad = start_stand_in(record, HERE.parent / "half_requests.py", router.port, BAD_CLIENTS, "same", TIMES)
    asked = [ask for ask in await asking if ask.sent_at]
    lost = [ask for ask in asked if ask.late() > LATE_SECONDS]
    for ask in lost:
        record.line(f"lost {ask.txn}: {ask.kind}, {ask.late():.3f} s after its time of {ask.wait} s")
    most = max(ask.late() for ask in asked)
    record.line(f"{len(asked)} requests were taken, {len(lost)} lost, most late by {most:.3f} s")
    failed = bad is not None and bad.poll() not in (None, 0)
    return BROKEN if lost else COULD_NOT_RUN if failed else HELD


play(case, HERE)
