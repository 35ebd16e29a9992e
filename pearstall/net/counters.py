"""What was taken in, sent and answered; printed on a signal and at exit."""

from __future__ import annotations

import json
from dataclasses import asdict, dataclass, field


@dataclass(slots=True)
class Counters:
    client_links: int = 0  # accepted
    accept_failures: int = 0
    queries: int = 0  # taken
    malformed: int = 0  # client input that was no request
    unknown_class: int = 0  # requests of a class that the settings don't name
    crowded_out: int = 0  # turned off for want of room
    executions: int = 0
    server_links: int = 0  # opened
    server_links_reused: int = 0
    outcomes: dict[str, int] = field(default_factory=dict)
    served: int = 0
    refused: int = 0
    failed: int = 0
    blamed: int = 0  # answered with what a server found wrong with the query
    broken: int = 0  # streams that ended without their end
    moved: int = 0  # streams ended before the program's own end, for their clients to go on elsewhere
    clients_gone: int = 0
    overdue: int = 0  # answered by the guard at the deadline, not by the Router
    exceptions: int = 0  # that stopped at a connection
    list_changes: int = 0
    list_failures: int = 0
    list_entries_skipped: int = 0
    reloads: int = 0  # of the configuration, and those that found it unreadable
    reload_failures: int = 0
    logs: int = 0
    log_lines_lost: int = 0  # standard error did not take them

    def outcome(self, name: str) -> None:
        self.outcomes[name] = self.outcomes.get(name, 0) + 1

    def line(self) -> str:
        return "counters " + json.dumps(asdict(self))
