"""The memory of the process: how much the system says it has resident, sampled and logged.

What connections hold is counted where it is held; this module compares those counts with the process as a whole.
"""

from __future__ import annotations

import os
from collections.abc import Callable
from dataclasses import dataclass
from pathlib import Path

from pearstall.eventlog import EventLog
from pearstall.net.deadlines import Deadlines

STATM = Path("/proc/self/statm")
PAGE_BYTES = os.sysconf("SC_PAGE_SIZE")
SAMPLE_SECONDS = 0.1
LOGGED_CHANGE_BYTES = 1 << 20  # a smaller change since the last line is not logged


def resident_bytes() -> int:
    """Bytes of this process that are resident, including mapped files; 0 if the system does not tell."""
    try:
        return int(STATM.read_bytes().split()[1]) * PAGE_BYTES
    except (OSError, IndexError, ValueError):
        return 0


@dataclass(slots=True, frozen=True)
class Usage:
    """What the process holds for others at one moment."""

    held_bytes: int  # for clients
    client_connections: int
    server_connections: int
    requests: int


class MemoryMonitor:
    """Samples the resident memory. `read_resident`: bytes, or 0 where it is not known."""

    def __init__(
        self, deadlines: Deadlines, log: EventLog, read_resident: Callable[[], int], usage: Callable[[], Usage]
    ) -> None:
        self.deadlines = deadlines
        self.log = log
        self.read_resident = read_resident
        self.usage = usage
        self.resident_bytes = 0
        self.peak_bytes = 0  # of all samples
        self.logged_bytes = 0

    def start(self) -> None:
        """Samples now and then periodically, where the resident memory is known."""
        self.sample()
        if self.resident_bytes:
            self.deadlines.after(SAMPLE_SECONDS, self.start)

    def sample(self) -> None:
        self.resident_bytes = self.read_resident()
        self.peak_bytes = max(self.peak_bytes, self.resident_bytes)
        if abs(self.resident_bytes - self.logged_bytes) >= LOGGED_CHANGE_BYTES:
            self._log()

    def _log(self) -> None:
        self.logged_bytes = self.resident_bytes
        usage = self.usage()
        self.log.event(
            "memory",
            resident_kb=self.resident_bytes >> 10,
            held_kb=usage.held_bytes >> 10,
            client_connections=usage.client_connections,
            server_connections=usage.server_connections,
            requests=usage.requests,
        )
