"""A new model server at the address of one that has gone, before a real router process.

The process that has gone still holds its open connections: it ends what it has, or its machine was cut off.
"""

from __future__ import annotations

import asyncio
from collections.abc import AsyncIterator
from contextlib import AsyncExitStack, asynccontextmanager
from dataclasses import dataclass
from pathlib import Path
from typing import Any

import pytest

from pearstall.lab.processes import RouterProcess
from pearstall.lab.rig import free_ports
from pearstall.lab.servers import LOCAL, Behaviour, ExecutionLog, StandIn
from pearstall.lab.stations import Discovery
from tests.net_support import Client, setup

OLD, NEW = 0, 1  # numbers of the two processes
TOLD_SECONDS = 0.3  # from a change until the router has certainly read it
REQUESTS = 4


def entry(name: str, port: int, since_ms: int, status: str = "ready") -> dict[str, Any]:
    return {"name": name, "address": f"{LOCAL}:{port}", "zone": "a", "type": "m1", "group": 0, "status": status,
            "weight": 1.0, "since_ms": since_ms}  # fmt: skip


class LingeringServer(StandIn):
    """It can stop listening and keep the connections that are open."""

    async def listen(self, port: int) -> asyncio.AbstractServer:
        server = await asyncio.start_server(self._serve_connection, LOCAL, port, start_serving=True)
        self.port = server.sockets[0].getsockname()[1]
        return server


@dataclass(slots=True)
class Scene:
    client: Client
    router: RouterProcess
    discovery: Discovery
    execution_log: ExecutionLog
    port: int

    async def replace(self, *changes: dict[str, Any]) -> list[int]:
        """Which of the two processes the requests after the change went to."""
        for change in changes:
            self.discovery.put(change)
        await asyncio.sleep(TOLD_SECONDS)
        before = self.execution_log.count
        for _ in range(REQUESTS):
            assert (await self.client.ask())[0] == "served"
        executions = [one for several in self.execution_log.by_txn.values() for one in several]
        return [one.server for one in executions[before:]]


@asynccontextmanager
async def replaced_server(folder: Path) -> AsyncIterator[Scene]:
    """A router that has served requests by the old process, whose address the new one has taken."""
    async with AsyncExitStack() as stack:
        execution_log = ExecutionLog()
        old, new = (LingeringServer(number, execution_log, Behaviour(), 1, "platform") for number in (OLD, NEW))
        listener = await old.listen(0)
        discovery = Discovery((LOCAL, free_ports(1)[0]))
        discovery.put(entry("s-old", old.port, 1))
        await discovery.start()
        router = RouterProcess(folder, {"discovery": f"{LOCAL}:{discovery.address[1]}", "settings": setup()})
        stack.callback(router.kill)
        router.start()
        await router.until_health(200, 20)
        client = Client("platform", router.port)
        for _ in range(REQUESTS):
            assert (await client.ask())[0] == "served"
        listener.close()
        stack.callback((await new.listen(old.port)).close)
        yield Scene(client, router, discovery, execution_log, old.port)
        client.close()
        for server in (old, new):
            for writer in list(server.open):
                writer.transport.abort()


@pytest.mark.parametrize("name", ["s-new", "s-old"], ids=["another-name", "the-same-name"])
def test_nothing_is_sent_over_a_connection_to_the_process_that_has_gone(name: str, tmp_path: Path) -> None:
    async def scene() -> None:
        async with replaced_server(tmp_path) as one:
            gone = [entry("s-old", one.port, 1, "gone")] if name != "s-old" else []
            assert await one.replace(*gone, entry(name, one.port, 2)) == [NEW] * REQUESTS

    asyncio.run(scene())
