"""What connections may hold, as the process's own memory and the limit allow."""

from __future__ import annotations

from dataclasses import dataclass

import pytest

from pearstall.eventlog import SILENT
from pearstall.net.deadlines import Deadlines
from pearstall.net.memory import (
    CONNECTION_BYTES,
    MIN_SPARE_BYTES,
    RELIEF_GROWTH_BYTES,
    RESERVE_BYTES,
    HeldMemory,
    MemoryMonitor,
    Usage,
)


class StillClock:
    now = 100.0

    def time(self) -> float:
        return self.now

    def call_at(self, when: float, callback: object, /) -> StillClock:
        return self

    def cancel(self) -> None: ...


@dataclass(slots=True)
class ScriptedProcess:
    resident: int
    free: int = 0  # of it, that a relief returns to the system
    reliefs: int = 0

    def resident_bytes(self) -> int:
        return self.resident

    def release_free(self) -> None:
        self.resident, self.free = self.resident - self.free, 0
        self.reliefs += 1


@pytest.fixture
def clock() -> StillClock:
    return StillClock()


def monitor_of(process: ScriptedProcess, clock: StillClock) -> MemoryMonitor:
    usage = Usage(client_connections=0, server_connections=0, requests=0)
    monitor = MemoryMonitor(Deadlines(clock), SILENT, HeldMemory(), process, lambda: usage)
    monitor.set_limit(32)
    return monitor


def test_what_is_not_counted_lowers_what_may_be_held(clock: StillClock) -> None:
    process = ScriptedProcess(24_000_000)
    monitor = monitor_of(process, clock)
    monitor.sample()
    assert monitor.held.spare_bytes == 32_000_000 - RESERVE_BYTES - 24_000_000
    process.resident += 3_000_000  # for what counts as less
    monitor.held.count_for_clients(2_000_000)
    assert not monitor.held.short
    process.resident += 2_000_000
    monitor.held.count_connections(200)
    assert monitor.held.total_bytes == 2_000_000 + 200 * CONNECTION_BYTES
    assert monitor.held.too_many_connections and monitor.held.short


def test_free_memory_is_returned_before_less_may_be_held(clock: StillClock) -> None:
    process = ScriptedProcess(30_000_000, free=8_000_000)
    monitor = monitor_of(process, clock)
    monitor.sample()
    assert process.reliefs == 1
    assert monitor.held.spare_bytes == 32_000_000 - RESERVE_BYTES - 22_000_000
    assert monitor.peak_bytes == 30_000_000


def test_a_relief_that_gains_nothing_is_not_repeated(clock: StillClock) -> None:
    process = ScriptedProcess(31_000_000)
    monitor = monitor_of(process, clock)
    for _ in range(20):
        clock.now += 1.0
        monitor.sample()
    assert process.reliefs == 1
    assert monitor.held.spare_bytes == MIN_SPARE_BYTES
    process.resident += RELIEF_GROWTH_BYTES
    monitor.sample()
    assert process.reliefs == 2


def test_memory_of_what_was_held_is_returned_once_it_is_free(clock: StillClock) -> None:
    process = ScriptedProcess(31_000_000)
    monitor = monitor_of(process, clock)
    monitor.held.client_bytes = 5_000_000
    monitor.sample()
    monitor.held.client_bytes, process.free = 0, 5_000_000
    clock.now += 1.0
    monitor.sample()
    assert process.reliefs == 2 and process.resident == 26_000_000


def test_growth_is_compared_with_the_process_at_once(clock: StillClock) -> None:
    process = ScriptedProcess(22_000_000)
    monitor = monitor_of(process, clock)
    monitor.sample()
    process.resident = 31_000_000
    monitor.held.count_for_servers(1_000_000)
    assert monitor.held.spare_bytes == MIN_SPARE_BYTES
