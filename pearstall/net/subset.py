"""Subsetting: which of many model servers one router uses. No I/O.

With many routers in front of many servers, each router sends too little to each server to learn about it: its
estimates expire, and every router must detect a faulty server by itself. A router that uses a subset knows those
servers. The subset is chosen by rendezvous hashing (Thaler and Ravishankar 1998) of the router's and the server's
names: routers need no coordination, each server gets about the same number of routers, and a change of the list
changes a subset only by the servers that joined or left.

A healthy server that leaves the subset is reported to the Router as draining, so that the requests there can finish.
"""

from __future__ import annotations

import heapq
from hashlib import blake2b

from msgspec.structs import replace

from pearstall.net.inventory import Host, HostList


class Subset:
    """The servers that one router uses. `size`: how many, divided among kinds and zones in proportion to the list."""

    def __init__(self, size: int, router_name: str) -> None:
        self.size, self.router_name = size, router_name
        self.known: dict[str, Host] = {}
        self.announced: dict[str, Host] = {}  # as reported to the Router
        self.scores: dict[str, int] = {}
        self.chosen_before: set[str] = set()

    def _score(self, name: str) -> int:
        score = self.scores.get(name)
        if score is None:
            digest = blake2b(f"{self.router_name}\0{name}".encode(), digest_size=8).digest()
            score = self.scores[name] = int.from_bytes(digest, "little")
        return score

    def chosen(self) -> set[str]:
        """Names of the servers in the subset. Only ready ones count, so that another replaces a draining one."""
        groups: dict[tuple[str, str], list[str]] = {}
        for host in self.known.values():
            if host.status == "ready":
                groups.setdefault((host.zone, host.type), []).append(host.name)
        ready = sum(map(len, groups.values()))
        selected: set[str] = set()
        for names in groups.values():
            count = max(1, -(-self.size * len(names) // ready))
            selected.update(heapq.nlargest(count, names, key=self._score))
        return selected

    def take(self, update: HostList, full: bool) -> HostList:
        """Reduces a list to this router's subset. `full`: `update` is a whole list, not only changes."""
        if full:
            self.known = {}
        for host in update.hosts:
            if host.status == "gone":
                self.known.pop(host.name, None)
            else:
                self.known[host.name] = host
        if len(self.scores) > 2 * len(self.known) + 1024:
            self.scores = {name: score for name, score in self.scores.items() if name in self.known}
        chosen = self.chosen()
        current: dict[str, Host] = {}
        for name in chosen:
            current[name] = self.known[name]
        for name in self.announced:
            if name not in chosen and name in self.known:
                current[name] = replace(self.known[name], status="draining")
        gone = [
            replace(host, status="gone", address="")
            for name, host in self.announced.items()
            if name not in self.known
        ]
        if full:
            hosts = list(current.values())
        else:
            hosts = gone + [host for name, host in current.items() if self.announced.get(name) != host]
        self.announced = {
            name: current[name] for name in (*(name for name in current if name not in chosen), *sorted(chosen))
        }
        return replace(update, hosts=sorted(hosts, key=lambda host: host.name))
