"""Rates, concurrency and reconnect storms at the edge. No I/O; told the time.

These limits protect the edge and share it out between devices and tenants. They pick no server, allow no further
execution and shed nothing for the fleet: that is the Router's. Rates are the generic cell rate algorithm (ITU-T
I.371; the virtual scheduling form), which keeps one number a bucket: the theoretical arrival time.
"""

from __future__ import annotations

from random import Random

import msgspec

from pearstall.edge.records import Problem
from pearstall.edge.sessions import Session, Sessions

MOST_TENANTS = 4096  # buckets held; past it, full buckets are dropped, and they hold nothing worth keeping


class Limits(msgspec.Struct, frozen=True, forbid_unknown_fields=True):
    """Rates are asks a second; 0: no limit. `arrivals`: resumes and new asks in all, a second."""

    device_rate: float = 5.0
    device_burst: float = 10.0
    tenant_rate: float = 0.0
    tenant_burst: float = 200.0
    device_running: int = 4
    tenant_running: int = 0
    running: int = 10_000
    arrivals: float = 1000.0
    arrivals_burst: float = 500.0
    ask_part: float = 0.5  # of the burst that new asks may use up; the rest is for those who come back
    longest_wait: float = 30.0  # the latest a device is told to return
    spread: float = 0.25  # of its wait, added at random, so that those told alike don't come back as one


def gcra(tat: float, now: float, rate: float, burst: float) -> tuple[float, float]:
    """One arrival at a bucket: its new theoretical arrival time, and how long to wait (0: it may pass)."""
    start = max(tat, now)
    over = start - now - (burst - 1) / rate
    if over > 1e-9:
        return tat, over
    return start + 1 / rate, 0.0


class Gate:
    """Resumes before new asks, in a reconnect storm.

    One bucket of arrivals; new asks may only use a part of its burst. Who must wait is given a place in a line
    drawn out at the rate of the bucket: resumes' places come first, new asks' places behind them. A line is one
    number, so a storm of any size costs no memory."""

    def __init__(self, limits: Limits, random: Random) -> None:
        self.limits, self.random = limits, random
        self.tat = 0.0
        self.resume_line = 0.0
        self.ask_line = 0.0
        self.turned_off = 0

    def arrive(self, now: float, resumes: bool) -> float:
        """Seconds to wait before coming back; 0: pass."""
        limits = self.limits
        if not limits.arrivals:
            return 0.0
        burst = limits.arrivals_burst * (1.0 if resumes else limits.ask_part)
        tat, wait = gcra(self.tat, now, limits.arrivals, max(1.0, burst))
        if not wait:
            self.tat = tat
            return 0.0
        self.turned_off += 1
        step = 1 / limits.arrivals
        if resumes:
            self.resume_line = max(self.resume_line, now + wait) + step
            place = self.resume_line
        else:
            self.ask_line = max(self.ask_line, self.resume_line, now + wait) + step
            place = self.ask_line
        wait = min(place - now, limits.longest_wait)
        return wait * (1 + limits.spread * self.random.random())


class Admission:
    """Whether a new ask may begin: storm, rates, then how many run."""

    def __init__(self, limits: Limits, random: Random) -> None:
        self.limits = limits
        self.gate = Gate(limits, random)
        self.tenant_tat: dict[str, float] = {}

    def change(self, limits: Limits) -> None:
        self.limits = self.gate.limits = limits

    def arrive(self, now: float, resumes: bool) -> Problem | None:
        wait = self.gate.arrive(now, resumes)
        return _storm(wait) if wait else None

    def ask(self, now: float, session: Session, sessions: Sessions) -> Problem | None:
        """Nothing is charged unless all of it allows the ask."""
        limits = self.limits
        if limits.running and sessions.running >= limits.running:
            return Problem("busy", "the edge runs as many asks as it may", 503, 1.0)
        if limits.device_running and session.running >= limits.device_running:
            return Problem(
                "device_concurrency", f"{session.running} asks of this device are running already", 429, 1.0
            )
        if limits.tenant_running and sessions.tenant_running.get(session.tenant, 0) >= limits.tenant_running:
            return Problem("tenant_concurrency", "the tenant runs as many asks as it may", 429, 1.0)
        device_tat, tenant_tat = session.tat, self.tenant_tat.get(session.tenant, 0.0)
        if limits.device_rate:
            device_tat, wait = gcra(device_tat, now, limits.device_rate, limits.device_burst)
            if wait:
                return Problem("device_rate", "this device asks too often", 429, wait)
        if limits.tenant_rate:
            tenant_tat, wait = gcra(tenant_tat, now, limits.tenant_rate, limits.tenant_burst)
            if wait:
                return Problem("tenant_rate", "the tenant asks too often", 429, wait)
        wait = self.gate.arrive(now, False)
        if wait:
            return _storm(wait)
        session.tat = device_tat
        if limits.tenant_rate:
            self.tenant_tat[session.tenant] = tenant_tat
            if len(self.tenant_tat) > MOST_TENANTS:
                self.tenant_tat = {name: tat for name, tat in self.tenant_tat.items() if tat > now}
        return None


def _storm(wait: float) -> Problem:
    return Problem("storm", "many devices come back at once", 503, wait)
