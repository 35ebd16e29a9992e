"""The memory of the process: what it holds for connections, what the system says it takes, and the limit on both.

Connections count what they hold. A monitor compares the counts with the resident memory, so that what is not counted
(the allocator's free memory, the decisions' tables) lowers what connections may hold instead of breaking the limit.
"""

from __future__ import annotations

import gc
import os
from collections.abc import Callable
from contextlib import suppress
from dataclasses import dataclass
from pathlib import Path
from typing import Protocol

from pearstall.eventlog import EventLog
from pearstall.net.deadlines import Deadlines

STATM = Path("/proc/self/statm")
PAGE_BYTES = os.sysconf("SC_PAGE_SIZE")
MEGABYTE_BYTES = 1_000_000
HELD_FRACTION = 0.2  # of the memory limit, for all that is held for connections
RESERVE_BYTES = 3_500_000  # of the memory limit, for what grows between two samples and is not counted
MIN_SPARE_BYTES = 2_000_000  # held for connections in any case: a process that is too large still has to serve
CONNECTION_BYTES = 7 * 1024  # that a connection takes before it holds any data: objects of Python and asyncio
SAMPLE_SECONDS = 0.1
COMPARED_GROWTH_BYTES = 512 * 1024  # of what is held; after it the next sample is taken at once
RELIEF_GROWTH_BYTES = 256 * 1024  # of what is not counted since the last relief; before, another one gains nothing
RELIEF_SECONDS = 0.5  # between two reliefs while the limit is not reached
MIN_RELIEF_SECONDS = 0.02  # between two reliefs in any case
LOGGED_CHANGE_BYTES = 1 << 20  # a smaller change since the last line is not logged
UNLIMITED_BYTES = 1 << 62
M_MMAP_THRESHOLD = -3  # a parameter of glibc's mallopt(3)
SEPARATELY_MAPPED_BYTES = 16 * 1024  # a block of this size or more goes back to the system as soon as it is freed


class HeldMemory:
    """Bytes that are held for connections to clients and to model servers, and how many they may be."""

    __slots__ = ("max_bytes", "spare_bytes", "client_bytes", "server_bytes", "connections", "compared_bytes",
                 "compare")  # fmt: skip

    def __init__(self, max_bytes: int = 16 << 20) -> None:
        self.max_bytes = max_bytes  # of data
        self.spare_bytes = UNLIMITED_BYTES  # of data and connections, beside what the process takes by itself
        self.client_bytes = 0
        self.server_bytes = 0
        self.connections = 0
        self.compared_bytes = 0  # held when it was last compared with the process's memory
        self.compare: Callable[[], None] = lambda: None

    def count_for_clients(self, change_bytes: int) -> None:
        self.client_bytes += change_bytes
        self._compare_after_growth()

    def count_for_servers(self, change_bytes: int) -> None:
        self.server_bytes += change_bytes
        self._compare_after_growth()

    def count_connections(self, change: int) -> None:
        self.connections += change
        self._compare_after_growth()

    def _compare_after_growth(self) -> None:
        if self.total_bytes - self.compared_bytes >= COMPARED_GROWTH_BYTES:
            self.compared_bytes = self.total_bytes
            self.compare()

    @property
    def data_bytes(self) -> int:
        return self.client_bytes + self.server_bytes

    @property
    def total_bytes(self) -> int:
        return self.data_bytes + self.connections * CONNECTION_BYTES

    @property
    def short(self) -> bool:
        """Whether more is held than there is memory for."""
        return self.data_bytes > self.max_bytes or self.too_many_connections

    @property
    def too_many_connections(self) -> bool:
        """Whether there is no memory for all connections beside the data that they hold."""
        return self.total_bytes > self.spare_bytes


class ProcessMemory(Protocol):
    """The memory of the process, as the operating system and the allocator see it."""

    def resident_bytes(self) -> int:
        """Bytes that are resident, including mapped files; 0: not known."""

    def release_free(self) -> None:
        """Returns memory that the process does not use to the system."""


class UnknownMemory:
    """Of a process that other programs share: what it takes says nothing about one of them."""

    def resident_bytes(self) -> int:
        return 0

    def release_free(self) -> None:
        pass


class LinuxMemory:
    """Of a process that runs one router alone, on Linux. glibc returns large blocks as soon as they are freed."""

    def __init__(self) -> None:
        self.trim: Callable[[int], int] | None = None
        with suppress(ImportError, AttributeError, OSError):  # an interpreter without ctypes, or another C library
            import ctypes

            library = ctypes.CDLL(None)
            library.mallopt(M_MMAP_THRESHOLD, SEPARATELY_MAPPED_BYTES)
            self.trim = library.malloc_trim

    def resident_bytes(self) -> int:
        try:
            return int(STATM.read_bytes().split()[1]) * PAGE_BYTES
        except (OSError, IndexError, ValueError):
            return 0

    def release_free(self) -> None:
        gc.collect()
        if self.trim is not None:
            self.trim(0)


@dataclass(slots=True, frozen=True)
class Usage:
    """For whom a process holds memory at one moment."""

    client_connections: int
    server_connections: int
    requests: int


class MemoryMonitor:
    """Samples the resident memory and sets how much may be held. `limit_bytes`: of the whole process."""

    def __init__(
        self,
        deadlines: Deadlines,
        log: EventLog,
        held: HeldMemory,
        process: ProcessMemory,
        usage: Callable[[], Usage],
    ) -> None:
        self.deadlines = deadlines
        self.log = log
        self.held = held
        held.compare = self.sample
        self.process = process
        self.usage = usage
        self.limit_bytes = UNLIMITED_BYTES
        self.resident_bytes = 0
        self.peak_bytes = 0  # of all samples
        self.logged_bytes = 0
        self.relieved_at = 0.0
        self.uncounted_bytes = 0  # resident beyond what is held, after the last relief
        self.short = False  # as last logged

    def set_limit(self, memory_mb: float) -> None:
        self.limit_bytes = int(memory_mb * MEGABYTE_BYTES)
        self.held.max_bytes = int(self.limit_bytes * HELD_FRACTION)

    def start(self) -> None:
        """Samples now and then periodically, where the resident memory is known."""
        self.sample()
        if self.resident_bytes:
            self.deadlines.after(SAMPLE_SECONDS, self.start)

    def sample(self) -> None:
        if not self._read_resident():
            return
        if self._headroom_bytes < self.held.max_bytes - self.held.data_bytes:
            self._relieve()
        self.held.spare_bytes = max(MIN_SPARE_BYTES, self.held.total_bytes + self._headroom_bytes)
        self.held.compared_bytes = self.held.total_bytes
        changed = abs(self.resident_bytes - self.logged_bytes) >= LOGGED_CHANGE_BYTES
        if changed or self.short != self.held.short:
            self._log()

    @property
    def _headroom_bytes(self) -> int:
        return self.limit_bytes - RESERVE_BYTES - self.resident_bytes

    def _read_resident(self) -> int:
        self.resident_bytes = self.process.resident_bytes()
        self.peak_bytes = max(self.peak_bytes, self.resident_bytes)
        return self.resident_bytes

    def _relieve(self) -> None:
        """Returns free memory to the system before what may be held is lowered on account of it."""
        now = self.deadlines.clock.time()
        pause = RELIEF_SECONDS if self._headroom_bytes >= 0 else MIN_RELIEF_SECONDS
        uncounted = self.resident_bytes - self.held.total_bytes
        if uncounted - self.uncounted_bytes >= RELIEF_GROWTH_BYTES and now - self.relieved_at >= pause:
            self.relieved_at = now
            self.process.release_free()
            self.uncounted_bytes = self._read_resident() - self.held.total_bytes

    def _log(self) -> None:
        self.logged_bytes = self.resident_bytes
        self.short = self.held.short
        usage = self.usage()
        self.log.event(
            "memory",
            resident_kb=self.resident_bytes >> 10,
            client_kb=self.held.client_bytes >> 10,
            server_kb=self.held.server_bytes >> 10,
            short=self.short,
            client_connections=usage.client_connections,
            server_connections=usage.server_connections,
            requests=usage.requests,
        )
