"""The wall clock is stepped by an hour while the router runs: the age of a server's start stays correct."""

from __future__ import annotations

import asyncio
import time
from pathlib import Path

import pytest

from pearstall.net.platform import number_of
from pearstall.net.serve import System
from pearstall.net.start_times import LIST_LAG_SECONDS, StartTimes
from tests.net_support import LOCAL, running, until
from tests.test_lists import GOOD, Discovery, message

HOUR = 3600.0
MAX_AGE_SECONDS = 1.0


@pytest.mark.parametrize("step", [HOUR, -HOUR])
def test_a_server_that_starts_after_a_step_of_every_clock_is_cold_and_no_older(
    step: float, tmp_path: Path, monkeypatch: pytest.MonkeyPatch
) -> None:
    stepped = [0.0]
    monkeypatch.setattr(System, "now", lambda self: time.time() + stepped[0])

    async def scene() -> None:
        started = GOOD | {"since_ms": int((time.time() + step) * 1000)}
        discovery = Discovery([message(GOOD), b"wait", message(started, index=5, snapshot=False)])
        listener = await asyncio.start_server(discovery.link, LOCAL, 0)
        port = listener.sockets[0].getsockname()[1]
        async with running(tmp_path, [], discovery=port) as (program, _):
            await until(lambda: program.cluster.index == 4)
            stepped[0] = step
            discovery.more.set()
            await until(lambda: program.cluster.index == 5)
            age = program.core.clock() - program.core.router.replicas[number_of("s1")].started / 1e6
            assert 0 <= age < MAX_AGE_SECONDS + 0.001
        listener.close()

    asyncio.run(scene())


@pytest.mark.parametrize("step", [HOUR, -HOUR, 0.0])
def test_a_step_of_this_machines_clock_alone_leaves_a_new_start_young(step: float) -> None:
    clock, wall = [100.0], [1e9]
    times = StartTimes(lambda: clock[0], lambda: wall[0])
    first = times.started(1, (wall[0] - 50.0) * 1000)
    assert first == 50_000_000
    times.confirm_list()
    clock[0], wall[0] = 105.0, 1e9 + 5.0 + step
    assert times.started(1, (1e9 - 50.0) * 1000) == first  # reported again
    started_at = times.started(1, (1e9 + 3.0) * 1000) / 1e6  # a new start, 2 s ago
    assert 100.0 - LIST_LAG_SECONDS <= started_at <= 105.0
