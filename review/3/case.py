"""Lists laid out as the protocol page prints them: the router never learns that model servers drain."""

from __future__ import annotations

import asyncio
import json
import sys
from pathlib import Path
from typing import Any

HERE = Path(__file__).resolve().parent
sys.path.insert(0, str(HERE.parent))

from rig import (  # noqa: E402
    BROKEN,
    HELD,
    Attempt,
    Discovery,
    Message,
    ModelServer,
    Record,
    Router,
    disrupted,
    play,
    site_settings,
    sound_clients,
    stream_answer,
)

SERVERS, DRAINING = 8, 2  # a quarter of the model servers
TOLD_SECONDS = 6.0  # a change counts as told this long after discovery had it, whether it arrived or not
GRACE_SECONDS = 0.5 + 0.05  # every time limit is 50 ms longer on sockets
SECONDS = 28.0
DRAIN_AT = 6.0


def as_printed(message: dict[str, Any]) -> bytes:
    """The layout of the protocol page: each entry on a line of its own, indented, the end behind the last one."""
    entries = ",\n  ".join(json.dumps(entry, separators=(",", ":")) for entry in message["endpoints"])
    snapshot = json.dumps(message["snapshot"])
    return f'{{"index":{message["index"]},"snapshot":{snapshot},"endpoints":[\n  {entries}]}}'.encode()


async def serve(server: ModelServer, message: Message, attempt: Attempt, writer: asyncio.StreamWriter) -> bool:
    """A server that drains turns new requests away."""
    if not server.draining:
        return await stream_answer(server, message, attempt, writer)
    writer.write(b"HTTP/1.1 503 Service Unavailable\r\nX-Turned-Away: 1\r\nContent-Length: 0\r\n\r\n")
    attempt.end = "turned away"
    return True


async def case(folder: Path, record: Record) -> int:
    servers = [ModelServer(f"s-{n}", record, "gent" if n % 2 else "antwerpen") for n in range(SERVERS)]
    discovery = Discovery(record)
    discovery.form = as_printed
    await discovery.start()
    for server in servers:
        server.serve = serve
        await server.start()
    discovery.add(*servers)
    router = Router(folder, "n0", discovery.port, site_settings(), discovery.snapshot())
    router.start()
    if not await router.ready():
        raise RuntimeError("the router is not ready after 30 s")
    asking = asyncio.create_task(sound_clients(router, record, 10, SECONDS))
    await asyncio.sleep(DRAIN_AT)
    drained_at = 0.0
    leaving = servers[:DRAINING]
    if disrupted():
        drained_at = discovery.change(*(server.entry("draining") for server in leaving))
        for server in leaving:
            server.draining = True
    asked = [ask for ask in await asking if ask.sent_at]
    router.stop()
    late = [attempt.begun_at - drained_at for server in leaving for attempt in server.attempts
            if drained_at and attempt.begun_at > drained_at + TOLD_SECONDS + GRACE_SECONDS]  # fmt: skip
    record.line(f"{len(asked)} requests, {len(late)} attempts at draining servers after the grace: "
                f"{', '.join(f'{seconds:.2f}' for seconds in late)} s after the drain began")  # fmt: skip
    return BROKEN if late else HELD


play(case, HERE)
