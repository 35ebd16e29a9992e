"""A relay on loopback that simulates a poor network between a device and the edge: delay, loss, cuts and silence.

A loss appears as TCP shows it: no bytes are missing, but the data stalls for a retransmission timeout, which doubles
while losses repeat (RFC 6298). All random draws come from the seed and the connection's number.
"""

from __future__ import annotations

import asyncio
import socket
import struct
from collections import deque
from collections.abc import AsyncIterator
from contextlib import asynccontextmanager
from dataclasses import dataclass
from random import Random

from pearstall.net.pending import end_sending

LOCAL = "127.0.0.1"
MAX_BUFFERED = 64 * 1024  # bytes buffered in one direction, above which reading pauses
SEGMENT = 1400  # bytes; the unit in which data is lost
MAX_RETRANSMISSION_TIMEOUT = 2.0  # seconds


@dataclass(slots=True, frozen=True)
class Profile:
    """The properties of a class of connections. Times are seconds; `bandwidth` is bytes per second, 0: unlimited.

    A connection ends in at most one of three ways, once `after` bytes have passed: `cut` (a reset), `close`
    (an orderly close), or `silent` (nothing passes, neither side is notified, and a reset follows after `silence`
    seconds)."""

    delay: tuple[float, float] = (0.0, 0.0)
    jitter: float = 0.0
    bandwidth: float = 0.0
    loss: float = 0.0
    timeout: float = 0.2  # of the first retransmission
    cut: float = 0.0  # probability of each kind of end
    close: float = 0.0
    silent: float = 0.0
    silence: float = 3.0
    vanish: float = 0.0  # probability that the edge isn't notified of a device's close, as when a phone changes cells
    after: tuple[int, int] = (0, 6000)  # bytes until that end, summed over both directions


GOOD = Profile()
MOBILE = Profile(
    delay=(0.005, 0.03), jitter=0.005, bandwidth=250_000, loss=0.01, cut=0.25, close=0.05, silent=0.1, vanish=0.5
)
TUNNEL = Profile(
    delay=(0.02, 0.08),
    jitter=0.02,
    bandwidth=60_000,
    loss=0.05,
    cut=0.4,
    close=0.1,
    silent=0.2,
    after=(0, 3000),
    vanish=0.7,
)
PROFILES = {"good": GOOD, "mobile": MOBILE, "tunnel": TUNNEL}


class Shaper:
    """Relays connections to the port `target`, each shaped by this profile."""

    def __init__(self, target: int, profile: Profile, seed: int) -> None:
        self.target, self.profile, self.seed = target, profile, seed
        self.port = 0
        self.count = 0
        self.ends: dict[str, int] = {}
        self.links: set[_Link] = set()

    @asynccontextmanager
    async def listening(self) -> AsyncIterator[Shaper]:
        server = await asyncio.get_running_loop().create_server(self._accepted, LOCAL, 0)
        self.port = server.sockets[0].getsockname()[1]
        try:
            yield self
        finally:
            server.close()
            for link in list(self.links):
                link.reset()

    def _accepted(self) -> asyncio.Protocol:
        self.count += 1
        return _Link(self, Random(f"{self.seed}/{self.count}")).near

    def cut_all(self) -> None:
        """Simulates a cell outage: resets every connection at once."""
        for link in list(self.links):
            link.end("cut")


class _Link:
    """One relayed connection, in both directions."""

    def __init__(self, owner: Shaper, random: Random) -> None:
        profile = owner.profile
        self.owner, self.random, self.profile = owner, random, profile
        self.delay = random.uniform(*profile.delay)
        self.planned_end = random.choices(
            ["", "cut", "close", "silent"],
            [max(0.0, 1 - profile.cut - profile.close - profile.silent), profile.cut, profile.close, profile.silent],
        )[0]
        self.bytes_left = random.randint(*profile.after)
        self.dead = False
        self.up = _Direction(self)
        self.down = _Direction(self)
        self.near = _Endpoint(self, self.up)
        self.far = _Endpoint(self, self.down)
        self.up.receiver, self.down.receiver = self.far, self.near
        owner.links.add(self)

    async def connect(self) -> None:
        try:
            await asyncio.get_running_loop().create_connection(lambda: self.far, LOCAL, self.owner.target)
        except OSError:
            self.reset()

    def deliverable(self, count: int) -> int:
        """How many of these `count` bytes still pass before the connection ends."""
        if self.dead or not self.planned_end:
            return 0 if self.dead else count
        if count < self.bytes_left:
            self.bytes_left -= count
            return count
        passed, self.bytes_left = self.bytes_left, 0
        asyncio.get_running_loop().call_soon(self.end, self.planned_end)
        return passed

    def end(self, how: str) -> None:
        if self.dead:
            return
        self.dead = True
        self.owner.ends[how] = self.owner.ends.get(how, 0) + 1
        if how == "silent":
            asyncio.get_running_loop().call_later(self.profile.silence, self.reset)
        elif how == "close":
            for end in (self.near, self.far):
                if end.transport is not None:
                    end.transport.close()
            self.owner.links.discard(self)
        else:
            self.reset()

    def reset(self) -> None:
        self.dead = True
        for end in (self.near, self.far):
            if end.transport is not None:
                _reset(end.transport)
        self.owner.links.discard(self)


def _reset(transport: asyncio.Transport) -> None:
    """Resets a connection. Without SO_LINGER the kernel would close it in an orderly way."""
    end = transport.get_extra_info("socket")
    if end is not None and end.fileno() >= 0:
        end.setsockopt(socket.SOL_SOCKET, socket.SO_LINGER, struct.pack("ii", 1, 0))
    transport.abort()


class _Direction:
    """One direction of a connection: a queue of segments with their delivery times."""

    def __init__(self, link: _Link) -> None:
        self.link = link
        self.receiver: _Endpoint
        self.queue: deque[tuple[float, bytes]] = deque()
        self.buffered = 0
        self.free_at = 0.0  # when the bandwidth is free again for the next segment
        self.last_delivery_at = 0.0
        self.timer: asyncio.TimerHandle | None = None
        self.timeout = link.profile.timeout
        self.ended = False  # the sender has half-closed the connection
        self.closed = False  # the sender has closed the connection

    def put(self, data: bytes) -> None:
        link, profile, random = self.link, self.link.profile, self.link.random
        data = data[: link.deliverable(len(data))]
        now = asyncio.get_running_loop().time()
        for at in range(0, len(data), SEGMENT):
            part = data[at : at + SEGMENT]
            if profile.bandwidth:
                self.free_at = max(self.free_at, now) + len(part) / profile.bandwidth
            delivery_at = max(now, self.free_at) + link.delay + random.uniform(0, profile.jitter)
            if profile.loss and random.random() < profile.loss:
                delivery_at += self.timeout
                self.timeout = min(MAX_RETRANSMISSION_TIMEOUT, self.timeout * 2)
            else:
                self.timeout = profile.timeout
            # Data behind a lost segment waits for its retransmission.
            self.last_delivery_at = max(self.last_delivery_at, delivery_at)
            self.queue.append((self.last_delivery_at, part))
            self.buffered += len(part)
        self._schedule()

    def end(self, closed: bool = False) -> None:
        self.ended, self.closed = True, self.closed or closed
        self._schedule()

    def _schedule(self) -> None:
        if self.timer is not None or self.link.dead:
            return
        if self.queue:
            self.timer = asyncio.get_running_loop().call_at(self.queue[0][0], self._deliver)
        elif self.ended and self.receiver.transport is not None and not self.receiver.transport.is_closing():
            if self.closed:
                self.receiver.transport.close()
            else:
                end_sending(self.receiver.transport)

    def _deliver(self) -> None:
        self.timer = None
        now = asyncio.get_running_loop().time()
        while self.queue and self.queue[0][0] <= now and not self.link.dead and self.receiver.transport is not None:
            _, part = self.queue.popleft()
            self.buffered -= len(part)
            self.receiver.transport.write(part)
        self._schedule()

    @property
    def full(self) -> bool:
        return self.buffered > MAX_BUFFERED


class _Endpoint(asyncio.Protocol):
    """One of the relay's two sockets. What it reads is sent on in the direction `outgoing`."""

    def __init__(self, link: _Link, outgoing: _Direction) -> None:
        self.link, self.outgoing = link, outgoing
        self.transport: asyncio.Transport | None = None
        self.connecting: asyncio.Task[None] | None = None

    def connection_made(self, transport: asyncio.BaseTransport) -> None:
        assert isinstance(transport, asyncio.Transport)
        self.transport = transport
        if self is self.link.near:
            self.connecting = asyncio.get_running_loop().create_task(self.link.connect())
        else:
            self.link.up._schedule()

    def data_received(self, data: bytes) -> None:
        if self.link.dead:
            return
        self.outgoing.put(data)
        if self.outgoing.full and self.transport is not None:
            self.transport.pause_reading()
            asyncio.get_running_loop().call_later(0.02, self._resume_reading)

    def _resume_reading(self) -> None:
        if self.transport is None or self.transport.is_closing():
            return
        if self.outgoing.full and not self.link.dead:
            asyncio.get_running_loop().call_later(0.02, self._resume_reading)
        else:
            self.transport.resume_reading()

    def eof_received(self) -> bool:
        if not self.link.dead and not self._lost_silently():
            self.outgoing.end()
        return True

    def _lost_silently(self) -> bool:
        link = self.link
        if self is link.near and link.random.random() < link.profile.vanish:
            link.end("silent")
        return link.dead

    def connection_lost(self, error: Exception | None) -> None:
        self.transport = None
        if not self.link.dead:
            if error is not None:
                self.link.reset()
            elif not self._lost_silently():
                self.outgoing.end(closed=True)
        other = self.link.far if self is self.link.near else self.link.near
        if other.transport is None:
            self.link.owner.links.discard(self.link)
