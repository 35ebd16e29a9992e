"""Which of many model servers one router uses. No I/O.

With many routers before many servers, each router meets each server too seldom to learn anything of it: its fits
fade, and a sick server is found out again by each router. A router that uses a part of the servers knows that part.
The part is chosen by rendezvous hashing (Thaler and Ravishankar 1998) of the router's name and the server's: routers
share nothing, each server gets a like number of routers, and a change of the list changes a part by just what came or
went.

A server that leaves a router's part while it is well is told to the Router as draining: what runs there ends in
peace. At most as many as the part is large are kept so; the longest so are then told as gone.
"""

from __future__ import annotations

import heapq
from hashlib import blake2b

from msgspec.structs import replace

from pearstall.net.inventory import Host, HostList


class Subset:
    """`size`: servers that the router `me` uses, of each kind and zone as many as its share of the list."""

    def __init__(self, size: int, me: str) -> None:
        self.size, self.me = size, me
        self.known: dict[str, Host] = {}
        self.told: dict[str, Host] = {}  # as the Router has them
        self.scores: dict[str, int] = {}
        self.chosen_before: set[str] = set()

    def _score(self, name: str) -> int:
        score = self.scores.get(name)
        if score is None:
            digest = blake2b(f"{self.me}\0{name}".encode(), digest_size=8).digest()
            score = self.scores[name] = int.from_bytes(digest, "little")
        return score

    def chosen(self) -> set[str]:
        """The names of this router's part: only servers that are ready count, so a draining one is made up for."""
        groups: dict[tuple[str, str], list[str]] = {}
        for host in self.known.values():
            if host.status == "ready":
                groups.setdefault((host.zone, host.type), []).append(host.name)
        ready = sum(map(len, groups.values()))
        out: set[str] = set()
        for names in groups.values():
            count = max(1, -(-self.size * len(names) // ready))
            out.update(heapq.nlargest(count, names, key=self._score))
        return out

    def take(self, news: HostList, whole: bool) -> HostList:
        """What is to be told of this news: the same kind of list, of this router's part."""
        if whole:
            self.known = {}
        for host in news.hosts:
            if host.status == "gone":
                self.known.pop(host.name, None)
            else:
                self.known[host.name] = host
        if len(self.scores) > 2 * len(self.known) + 1024:
            self.scores = {name: score for name, score in self.scores.items() if name in self.known}
        chosen = self.chosen()
        now: dict[str, Host] = {}
        for name in chosen:
            now[name] = self.known[name]
        for name in self.told:
            if name not in chosen and name in self.known:
                now[name] = replace(self.known[name], status="draining")
        gone = [
            replace(host, status="gone", address="") for name, host in self.told.items() if name not in self.known
        ]
        if whole:
            hosts = list(now.values())
        else:
            hosts = gone + [host for name, host in now.items() if self.told.get(name) != host]
        self.told = {name: now[name] for name in (*(name for name in now if name not in chosen), *sorted(chosen))}
        return replace(news, hosts=sorted(hosts, key=lambda host: host.name))
