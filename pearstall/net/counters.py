"""Counts of what a router accepted, sent and answered; printed on SIGUSR1 and at exit."""

from __future__ import annotations

import json
from dataclasses import asdict, dataclass, field


@dataclass(slots=True)
class Counters:
    client_links: int = 0  # accepted
    accept_failures: int = 0
    queries: int = 0  # accepted by the core
    malformed: int = 0  # client input that is not a valid request
    unknown_class: int = 0  # requests of a class that is not in the settings
    crowded_out: int = 0  # connections closed and queries refused because a limit was reached
    executions: int = 0
    server_links: int = 0  # opened
    server_links_reused: int = 0
    outcomes: dict[str, int] = field(default_factory=dict)
    served: int = 0
    refused: int = 0
    failed: int = 0
    blamed: int = 0  # answered with a server's error about the query itself
    broken: int = 0  # streams that broke off after they had begun
    moved: int = 0  # streams cut during shutdown, for their clients to resume at another router
    clients_gone: int = 0
    overdue: int = 0  # answered by the core's guard after the deadline, not by the Router
    exceptions: int = 0  # unexpected ones, caught at a connection or by the event loop
    list_changes: int = 0
    list_failures: int = 0
    list_entries_skipped: int = 0
    reloads: int = 0  # of the configuration
    reload_failures: int = 0  # reloads refused because it was unreadable or invalid
    logs: int = 0  # decisions that the Router logged
    log_lines_lost: int = 0  # that could not be written to standard error
    resident_bytes: int = 0  # memory of the process when the counters were printed; 0: not known
    peak_resident_bytes: int = 0  # of the samples so far
    held_bytes: int = 0  # for connections, when the counters were printed

    def outcome(self, name: str) -> None:
        self.outcomes[name] = self.outcomes.get(name, 0) + 1

    def line(self) -> str:
        return "counters " + json.dumps(asdict(self))
