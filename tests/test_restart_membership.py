"""How a restarted router uses its earlier list of servers, with real processes and signals."""

from __future__ import annotations

import asyncio
from contextlib import AsyncExitStack
from pathlib import Path
from typing import Any

import pytest

from pearstall.choice import Router
from pearstall.discovery import INITIAL_FETCH_TAG, INITIAL_FETCH_TIMEOUT_US, SUBSCRIBE_TAG
from pearstall.interface import ListKind, Replica, ReplicaList, Request, Send, SetTimer, State, Subscribe, Timer
from pearstall.lab.processes import RouterProcess
from pearstall.lab.rig import free_ports
from pearstall.lab.servers import LOCAL, Behaviour, ExecutionLog, StandIn
from pearstall.lab.stations import Discovery, WatchConnection
from tests.net_support import Client, setup
from tests.support import MS, S, settings

ROUTERS = 200
CLIENTS = 4
LAST = ROUTERS - 1  # the last of the group to call discovery after a start
DRAIN_GRACE_SECONDS = 0.5
CALL_WAITS_SECONDS = 0.9  # at a discovery with many callers
CALL_WAITS_US = 900 * MS
OBLIGATIONS = {"mustAskIn": 10_000_000, "cold": 21_000_000, "coldShare": 0.12, "tipMultiple": 3.0}


def row(server: StandIn, status: str) -> dict[str, Any]:
    return {"name": f"s{server.number}", "address": f"{LOCAL}:{server.port}", "zone": "a", "type": "m1", "group": 0,
            "status": status, "weight": 1.0, "since_ms": 0}  # fmt: skip


async def two_servers(stack: AsyncExitStack, books: ExecutionLog) -> list[StandIn]:
    fast = Behaviour(first=(0.0, 0.005), events=(2, 3))
    servers = (StandIn(number, books, fast, 1, "platform") for number in range(2))
    return [await stack.enter_async_context(server.listening()) for server in servers]


async def list_servers(discovery: Discovery, servers: list[StandIn]) -> dict[str, Any]:
    """Starts discovery with these servers, and returns the list that a router gets with its configuration."""
    for server in servers:
        discovery.put(row(server, "ready"))
    await discovery.start()
    return {"index": discovery.index, "snapshot": True, "endpoints": [row(one, "ready") for one in servers]}


async def ask_until(client: Client, results: list[str], end: float) -> None:
    """Sends one request after another; the router may close the connection between them."""
    while asyncio.get_running_loop().time() < end:
        try:
            results.append((await client.ask(2.0))[0])
        except (AssertionError, OSError):
            results.append("lost")
            client.close()
        await asyncio.sleep(0.02)


async def ask_as_clients(port: int, end: float) -> list[str]:
    """What several clients get that each send one request after another until `end`, a time of the event loop."""
    results: list[str] = []
    clients = [Client("platform", port, f"c{number}-") for number in range(CLIENTS)]
    await asyncio.gather(*(ask_until(client, results, end) for client in clients))
    return results


@pytest.mark.parametrize("status", ["draining", "gone"])
def test_a_restarted_router_sends_nothing_to_servers_that_left_while_it_was_down(status: str, tmp_path: Path) -> None:
    async def scene() -> None:
        async with AsyncExitStack() as stack:
            books = ExecutionLog()
            servers = await two_servers(stack, books)
            discovery = Discovery((LOCAL, free_ports(1)[0]))
            known = await list_servers(discovery, servers)
            settings = setup(groupSize=ROUTERS, me=LAST, obligations=OBLIGATIONS)
            router = RouterProcess(
                tmp_path, {"discovery": f"{LOCAL}:{discovery.address[1]}", "known": known, "settings": settings}
            )
            stack.callback(router.kill)
            discovery.put(row(servers[0], status))  # while the router is down; its list is the earlier one
            router.start()
            await router.until_listening(20)
            listening_at = asyncio.get_running_loop().time()
            results = await ask_as_clients(router.port, listening_at + 6.0)
            executions = [one for made in books.by_txn.values() for one in made]
            late = [one for one in executions if one.server == 0 and one.began > listening_at + DRAIN_GRACE_SECONDS]
            assert not late, f"{len(late)} of {len(executions)}, the last {late[-1].began - listening_at:.2f} s late"
            assert "served" in results and "lost" not in results
            assert await router.health() == 200

    asyncio.run(scene())


def test_a_first_call_that_fails_at_once_is_made_again_before_the_old_list_is_used() -> None:
    replicas = [Replica(1, 0, 0, State.READY)]
    router = Router(settings(gateways=ROUTERS, gateway=0, subscribe=True, must_ask_in=10 * S), seed=1)
    router.start(0)
    router.handle(0, ReplicaList(ListKind.CACHED, replicas))
    called_at = 100 * MS
    assert Subscribe() in router.handle(called_at, Timer(SUBSCRIBE_TAG))
    (again,) = router.handle(called_at + MS, ReplicaList(ListKind.FAILED))
    assert isinstance(again, SetTimer) and again.delay < 500 * MS and not router.list_verified
    queued = router.handle(called_at + 2 * MS, Request(1, 0, called_at + 5 * S, 50.0))
    assert not any(isinstance(action, Send) for action in queued)
    called_again_at = called_at + MS + again.delay
    assert Subscribe() in router.handle(called_again_at, Timer(SUBSCRIBE_TAG))
    sent = router.handle(called_again_at + MS, ReplicaList(ListKind.FAILED))  # discovery can't be reached
    assert router.list_verified and any(isinstance(action, Send) for action in sent)


class CrowdedDiscovery(Discovery):
    """Refuses `refused_calls` calls after they have waited for a while; serves the others after `serve_after`."""

    def __init__(self, address: tuple[str, int], refused_calls: int, serve_after: float = CALL_WAITS_SECONDS) -> None:
        super().__init__(address)
        self.refused_calls = refused_calls
        self.serve_after = serve_after

    async def start(self) -> None:
        loop = asyncio.get_running_loop()
        self.listener = await loop.create_server(lambda: CrowdedWatch(self), *self.address)


class CrowdedWatch(WatchConnection):
    def __init__(self, owner: CrowdedDiscovery) -> None:
        super().__init__(owner)
        self.crowded = owner

    def data_received(self, data: bytes) -> None:
        serve, wait = super().data_received, self.crowded.serve_after
        if self.crowded.refused_calls:
            self.crowded.refused_calls -= 1
            serve, wait = self._refuse, CALL_WAITS_SECONDS
        asyncio.get_running_loop().call_later(wait, serve, data)

    def _refuse(self, data: bytes) -> None:
        assert self.transport is not None
        self.transport.write(b"HTTP/1.1 503 Service Unavailable\r\nContent-Length: 0\r\n\r\n")
        self.transport.close()


@pytest.mark.parametrize("refused_calls", [1, 2])
def test_a_refused_call_does_not_make_the_list_of_a_restart_current(refused_calls: int, tmp_path: Path) -> None:
    """A router was ready after its first refused call, and sent requests to servers that had begun to drain."""

    async def scene() -> None:
        async with AsyncExitStack() as stack:
            books = ExecutionLog()
            servers = await two_servers(stack, books)
            discovery = CrowdedDiscovery((LOCAL, free_ports(1)[0]), refused_calls)
            known = await list_servers(discovery, servers)
            router = RouterProcess(
                tmp_path,
                {
                    "discovery": f"{LOCAL}:{discovery.address[1]}",
                    "known": known,
                    "settings": setup(groupSize=4, me=0, obligations=OBLIGATIONS),
                },
            )
            stack.callback(router.kill)
            discovery.put(row(servers[0], "draining"))  # while the router is down
            router.start()
            await router.until_health(200, 20)
            results = await ask_as_clients(router.port, asyncio.get_running_loop().time() + 2.0)
            assert not [one for made in books.by_txn.values() for one in made if one.server == 0]
            assert "served" in results and "lost" not in results

    asyncio.run(scene())


def restarted(gateways: int, gateway: int = 0, pushed: bool = False) -> Router:
    made = settings(gateways=gateways, gateway=gateway, subscribe=True, pushed=pushed, must_ask_in=10 * S)
    router = Router(made, seed=1)
    router.start(0)
    router.handle(0, ReplicaList(ListKind.CACHED, [Replica(1, 0, 0, State.READY)]))
    return router


@pytest.mark.parametrize("call_us", [MS, S])  # refused at once, or after it has waited
def test_requests_wait_for_the_first_list_as_long_as_calls_are_refused(call_us: int) -> None:
    router = restarted(gateways=4)
    for called_at in (0, 3 * S, 6 * S):
        router.handle(called_at, Timer(SUBSCRIBE_TAG))
        router.handle(called_at + call_us, ReplicaList(ListKind.FAILED, refused=True))
        assert not router.list_verified
    actions = router.handle(7 * S, Request(1, 0, 12 * S, 50.0))
    assert not any(isinstance(action, Send) for action in actions)
    # Discovery has been out of reach for as long as a restart may take: the list of the start is the best there is.
    actions = router.handle(INITIAL_FETCH_TIMEOUT_US, Timer(INITIAL_FETCH_TAG))
    actions += router.handle(INITIAL_FETCH_TIMEOUT_US + MS, Timer(1))
    assert router.list_verified and any(isinstance(action, Send) for action in actions)


@pytest.mark.parametrize("gateways", [4, 30, 200])
def test_the_second_call_is_answered_before_the_list_of_the_start_is_used(gateways: int) -> None:
    router = Router(settings(gateways=gateways, gateway=gateways - 1, subscribe=True, must_ask_in=10 * S), seed=1)
    first = [action for action in router.start(0) if isinstance(action, SetTimer)]
    called_at = 0 if gateways == 4 else max(action.delay for action in first)
    router.handle(called_at, Timer(SUBSCRIBE_TAG))
    refused_at = called_at + CALL_WAITS_US
    actions = router.handle(refused_at, ReplicaList(ListKind.FAILED, refused=True))
    (again,) = (action for action in actions if isinstance(action, SetTimer) and action.tag == SUBSCRIBE_TAG)
    assert refused_at + again.delay + CALL_WAITS_US < INITIAL_FETCH_TIMEOUT_US


@pytest.mark.parametrize("gateways", [1, 4, 200])
def test_requests_wait_for_the_answer_of_a_gateways_own_agent(gateways: int) -> None:
    """What the agent has counts as received from the start on; small groups sent by the list cached at the start."""
    router = restarted(gateways, pushed=True)
    queued = router.handle(100 * MS, Request(1, 0, 5 * S, 50.0))
    assert not any(isinstance(action, Send) for action in queued)
    changes = [Replica(1, 0, 0, State.DRAINING), Replica(2, 0, 0, State.READY)]
    sent = router.handle(950 * MS, ReplicaList(ListKind.DELTA, changes))
    assert [action.replica for action in sent if isinstance(action, Send)] == [2]


@pytest.mark.parametrize("answer_after", [0.0, CALL_WAITS_SECONDS])
def test_a_restarted_router_sends_nothing_by_its_old_list_while_its_agent_answers(
    answer_after: float, tmp_path: Path
) -> None:
    """A router of four sent to a draining server until its agent had answered."""

    async def scene() -> None:
        async with AsyncExitStack() as stack:
            books = ExecutionLog()
            servers = await two_servers(stack, books)
            agent = CrowdedDiscovery((LOCAL, free_ports(1)[0]), refused_calls=0, serve_after=answer_after)
            known = await list_servers(agent, servers)
            made = setup(groupSize=4, me=0, obligations=OBLIGATIONS, membershipMode="automatic")
            address = f"{LOCAL}:{agent.address[1]}"
            router = RouterProcess(tmp_path, {"discovery": address, "known": known, "settings": made})
            stack.callback(router.kill)
            agent.put(row(servers[0], "draining"))  # while the router is down
            router.start()
            await router.until_listening(20)
            results = await ask_as_clients(router.port, asyncio.get_running_loop().time() + 2.0)
            assert not [one for made in books.by_txn.values() for one in made if one.server == 0]
            assert "served" in results and "lost" not in results

    asyncio.run(scene())
