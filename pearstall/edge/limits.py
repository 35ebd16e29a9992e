"""Rate limits, concurrency limits and reconnect storms at the edge. No I/O; callers pass in the time.

These limits protect the edge and divide its capacity between devices and tenants. They choose no server, start no
further attempts and shed no load on behalf of the fleet: that is the Router's task. Rate limits use the generic cell
rate algorithm (ITU-T I.371, in its virtual scheduling form), which stores one number per bucket: the theoretical
arrival time (TAT).
"""

from __future__ import annotations

from random import Random

import msgspec

from pearstall.edge.records import Problem
from pearstall.edge.sessions import Session, Sessions

MAX_TENANT_BUCKETS = 4096  # above this, full buckets are dropped: a new bucket would be the same


class Limits(msgspec.Struct, frozen=True, forbid_unknown_fields=True):
    """Rates are asks per second; 0: no limit. `arrivals`: resumes and new asks together, per second."""

    device_rate: float = 5.0
    device_burst: float = 10.0
    tenant_rate: float = 0.0
    tenant_burst: float = 200.0
    device_running: int = 4
    tenant_running: int = 0
    running: int = 10_000
    arrivals: float = 1000.0
    arrivals_burst: float = 500.0
    ask_part: float = 0.5  # fraction of the burst that new asks may use; the rest is reserved for resumes
    longest_wait: float = 30.0  # the longest wait that a device is told, before `spread`
    spread: float = 0.25  # random fraction added to the wait, so that devices don't all return at the same moment


def gcra(tat: float, now: float, rate: float, burst: float) -> tuple[float, float]:
    """One arrival at a bucket. Returns its new theoretical arrival time and the seconds to wait (0: it may pass)."""
    start = max(tat, now)
    wait = start - now - (burst - 1) / rate
    if wait > 1e-9:
        return tat, wait
    return start + 1 / rate, 0.0


class Gate:
    """Limits arrivals in a reconnect storm, and lets resumes in before new asks.

    There is one bucket of arrivals, and new asks may use only a part of its burst. An arrival that must wait is
    assigned a time slot in a virtual queue that is served at the bucket's rate: slots of resumes come first, those of
    new asks after them. Only the last slot of each queue is stored, so a storm of any size takes no memory."""

    def __init__(self, limits: Limits, random: Random) -> None:
        self.limits, self.random = limits, random
        self.tat = 0.0
        self.last_resume_slot = 0.0
        self.last_ask_slot = 0.0
        self.turned_off = 0

    def arrive(self, now: float, resumes: bool) -> float:
        """Seconds to wait before returning; 0: let in now."""
        limits = self.limits
        if not limits.arrivals:
            return 0.0
        burst = limits.arrivals_burst * (1.0 if resumes else limits.ask_part)
        tat, wait = gcra(self.tat, now, limits.arrivals, max(1.0, burst))
        if not wait:
            self.tat = tat
            return 0.0
        self.turned_off += 1
        interval = 1 / limits.arrivals
        if resumes:
            self.last_resume_slot = max(self.last_resume_slot, now + wait) + interval
            slot = self.last_resume_slot
        else:
            self.last_ask_slot = max(self.last_ask_slot, self.last_resume_slot, now + wait) + interval
            slot = self.last_ask_slot
        wait = min(slot - now, limits.longest_wait)
        return wait * (1 + limits.spread * self.random.random())


class Admission:
    """Decides whether a new ask may begin: by the concurrency limits, the rate limits and the storm gate."""

    def __init__(self, limits: Limits, random: Random) -> None:
        self.limits = limits
        self.gate = Gate(limits, random)
        self.tenant_tat: dict[str, float] = {}

    def set_limits(self, limits: Limits) -> None:
        self.limits = self.gate.limits = limits

    def arrive(self, now: float, resumes: bool) -> Problem | None:
        wait = self.gate.arrive(now, resumes)
        return _storm_problem(wait) if wait else None

    def ask(self, now: float, session: Session, sessions: Sessions) -> Problem | None:
        """No bucket is charged unless every check allows the ask."""
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
            return _storm_problem(wait)
        session.tat = device_tat
        if limits.tenant_rate:
            self.tenant_tat[session.tenant] = tenant_tat
            if len(self.tenant_tat) > MAX_TENANT_BUCKETS:
                self.tenant_tat = {name: tat for name, tat in self.tenant_tat.items() if tat > now}
        return None


def _storm_problem(wait: float) -> Problem:
    return Problem("storm", "many devices come back at once", 503, wait)
