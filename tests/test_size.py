"""1,024 routers in the settings, 1,024 model servers on the list, half of them replaced: all is taken and used."""

from __future__ import annotations

import asyncio
from collections import Counter
from contextlib import AsyncExitStack
from pathlib import Path
from typing import Any

import pytest

from pearstall.choice import Router
from pearstall.interface import ListKind, Result, SetTimer, State
from tests.net_support import LOCAL, Client, ModelServer, running, setup, until
from tests.support import MS, START, Gateway, S, entry, of, refused, settings
from tests.test_lists import Discovery, message

MANY = 1024
FLEET: dict[str, Any] = {"gateways": MANY, "subscribe": True, "must_ask_in": 10 * S, "quota_rate": 3.0 * MANY}


def endpoint(number: int, port: int, **changes: Any) -> dict[str, Any]:
    zone = "ab"[number % 2]
    return {"name": f"s-{number:08x}", "address": f"{LOCAL}:{port}", "zone": zone, "type": "m1"} | changes


@pytest.mark.parametrize("polled", [False, True])
def test_a_list_of_so_many_is_taken_whole_and_half_of_it_replaced(polled: bool, tmp_path: Path) -> None:
    """Its line is longer than a read buffer and comes in pieces; what changes comes by the watch, or by the whole
    list of the next one after the first was cut off."""

    async def scene() -> None:
        async with AsyncExitStack() as stack:
            server = await stack.enter_async_context(ModelServer("platform").listening())
            old = [endpoint(n, server.port) for n in range(MANY)]
            new = [endpoint(n + MANY, server.port, since_ms=5000) for n in range(MANY // 2)]
            gone = [one | {"status": "gone"} for one in old[: MANY // 2]]
            if polled:
                scripts = [[message(*old), b"wait", b"end"], [message(*old[MANY // 2 :], *new, index=9)]]
            else:
                scripts = [[message(*old), b"wait", message(*gone, *new, index=9, snapshot=False)]]
            discovery = Discovery(*scripts)
            listener = await asyncio.start_server(discovery.link, LOCAL, 0)
            port = listener.sockets[0].getsockname()[1]
            made = setup(groupSize=MANY)
            program, ports = await stack.enter_async_context(running(tmp_path, [], discovery=port, settings=made))
            await until(lambda: len(program.cluster.addresses) == MANY)
            discovery.more.set()
            await until(lambda: program.cluster.index == 9)
            names = {one.id for one in program.core.router.replicas.values() if one.ready}
            assert len(names) == len(program.cluster.addresses) == MANY
            assert sum(one.started > 0 for one in program.core.router.replicas.values()) == MANY // 2
            client = Client("platform", ports["platform"])
            assert (await client.ask())[0] == "served"
            client.close()
            listener.close()

    asyncio.run(scene())


def test_picks_reach_all_of_so_many() -> None:
    gateway = Gateway(settings(**FLEET | {"subscribe": False}), [entry(n) for n in range(MANY)], seed=1)
    met: Counter[int] = Counter()
    for number in range(8 * MANY):
        met[gateway.serve(session=number + 1)] += 1
        gateway.wait(5 * MS)
    assert len(met) > 0.99 * MANY and max(met.values()) < 60


def test_a_drain_of_half_of_them_acts_at_once_and_new_ones_are_met() -> None:
    gateway = Gateway(settings(**FLEET | {"subscribe": False}), [entry(n) for n in range(MANY)], seed=1)
    gateway.deliver_list(ListKind.DELTA, *[entry(n, state=State.DRAINING) for n in range(MANY // 2)])
    fresh = [entry(MANY + n, started=START - S) for n in range(MANY // 2)]
    gateway.deliver_list(ListKind.DELTA, *fresh)
    met: Counter[int] = Counter()
    for number in range(2 * MANY):
        id, actions = gateway.request(session=number + 1, prompt_tokens=200.0)
        if not refused(actions):
            met[gateway.sent(id)] += 1
            gateway.first_token(id)
            gateway.outcome(id, Result.OK)
        gateway.wait(20 * MS)
    assert not any(one < MANY // 2 for one in met)
    assert sum(one >= MANY for one in met) > 100


def test_so_many_routers_ask_before_what_the_list_holds_counts_as_told() -> None:
    """Spread by their number alone the last of 230 first asked after 11 s, of 1,024 after 51 s, and later after 9 s.
    Drains count as told after 6 s, and each send to such a server breaks the rule."""
    for gateways in (40, 230, MANY):
        made = settings(gateways=gateways, subscribe=True, must_ask_in=10 * S)
        delays = [timer.delay for seed in range(200) for timer in of(SetTimer, Router(made, seed).start(0))]
        assert max(delays) < 4.5 * S and max(delays) > 1.4 * S
