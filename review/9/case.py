"""Where lists are pushed, a restarted router sends to a draining server until its agent has answered."""

from __future__ import annotations

import asyncio
import signal
import sys
import time
from pathlib import Path

sys.path.insert(0, str(Path(__file__).resolve().parent.parent))
from rig_2 import TROUBLE, Answer, Discovery, ModelServer, Record, Router, ask, play, settings  # noqa: E402

ANSWER_SECONDS = 0.95  # how long the agent takes for the first answer to the new process
GRACE_SECONDS = 0.55  # drainGrace of the settings, and 50 ms on sockets
WATCHED_SECONDS = 3.0


async def case(record: Record, folder: Path) -> bool:
    servers = [ModelServer(record, f"s{number}") for number in range(3)]
    for server in servers:
        await server.open()
    agent = Discovery(record, servers, "agent")
    await agent.open()
    # `known`: the list as this router last had it when the platform wrote the file, before the drain.
    known = agent.message(list(agent.entries), True)
    router = Router(record, folder, settings(membershipMode="automatic"), agent.address, known=known)
    asking: list[asyncio.Task[Answer]] = []
    try:
        await router.start()
        await router.ready()

        async def traffic(seconds: float) -> None:
            end = time.monotonic() + seconds
            while time.monotonic() < end:
                asking.append(asyncio.create_task(ask(record, router.port, f"t{len(asking):04d}")))
                await asyncio.sleep(0.025)

        await traffic(2.0)
        draining = servers[0]
        agent.change(draining.entry(status="draining"))
        had_at = time.monotonic()
        await traffic(2.0)
        agent.answer_delay = ANSWER_SECONDS if TROUBLE else 0.0
        router.signal(signal.SIGKILL)
        assert router.process is not None
        await router.process.wait()
        started_at = time.monotonic()
        await router.start()
        # The front needs some seconds to notice that a router has died: clients go on connecting.
        await traffic(WATCHED_SECONDS)
        await asyncio.gather(*asking)
        late = [
            (at, txn)
            for at, txn in draining.requests
            if at > had_at + GRACE_SECONDS and not started_at <= at <= started_at + GRACE_SECONDS
        ]
        for at, txn in late:
            record.write(
                f"{draining.name} was sent {txn} {at - had_at:.3f} s after its agent had the drain, "
                f"{at - started_at:.3f} s after the process was started"
            )
        return not late
    finally:
        await router.end()


play(case, __file__)
