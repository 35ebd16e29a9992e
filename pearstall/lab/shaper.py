"""A poor link on loopback, between a device and the edge: a relay that delays, holds up, cuts and goes silent.

Loss shows as TCP shows it: not as missing bytes but as a stall of a retransmission time-out, which doubles while
losses repeat (RFC 6298). Every draw comes from the seed and the connection's number.
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
HELD = 64 * 1024  # bytes under way in one direction, before nothing more is read
SEGMENT = 1400  # bytes; each may be lost
MOST_TIMEOUT = 2.0


@dataclass(slots=True, frozen=True)
class Profile:
    """A class of link. Times are seconds, `bandwidth` is bytes a second; 0: without end.

    A connection meets one end at most: `cut` (a reset) and `close` (an orderly end) after so many bytes, `silent`
    (nothing passes any more, and nobody is told) for `silence` seconds before it is reset."""

    delay: tuple[float, float] = (0.0, 0.0)
    jitter: float = 0.0
    bandwidth: float = 0.0
    loss: float = 0.0
    timeout: float = 0.2  # the first retransmission's
    cut: float = 0.0  # chance of each end
    close: float = 0.0
    silent: float = 0.0
    silence: float = 3.0
    vanish: float = 0.0  # chance that a device's own end of a connection is never told, as between two towers
    after: tuple[int, int] = (0, 6000)  # bytes, both directions counted, until that end


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
    """Relays to `target` over links of this profile."""

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
        """A cell outage: every link is reset at once."""
        for link in list(self.links):
            link.end("cut")


class _Link:
    """Both directions of one connection."""

    def __init__(self, owner: Shaper, random: Random) -> None:
        profile = owner.profile
        self.owner, self.random, self.profile = owner, random, profile
        self.delay = random.uniform(*profile.delay)
        self.fate = random.choices(
            ["", "cut", "close", "silent"],
            [max(0.0, 1 - profile.cut - profile.close - profile.silent), profile.cut, profile.close, profile.silent],
        )[0]
        self.left = random.randint(*profile.after)
        self.dead = False
        self.up = _Way(self)
        self.down = _Way(self)
        self.near = _End(self, self.up)
        self.far = _End(self, self.down)
        self.up.to, self.down.to = self.far, self.near
        owner.links.add(self)

    async def connect(self) -> None:
        try:
            await asyncio.get_running_loop().create_connection(lambda: self.far, LOCAL, self.owner.target)
        except OSError:
            self.reset()

    def passes(self, count: int) -> int:
        """How many of these bytes get through before the link's end."""
        if self.dead or not self.fate:
            return 0 if self.dead else count
        if count < self.left:
            self.left -= count
            return count
        passed, self.left = self.left, 0
        asyncio.get_running_loop().call_soon(self.end, self.fate)
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
    """Without this option the kernel would end the connection in order."""
    end = transport.get_extra_info("socket")
    if end is not None and end.fileno() >= 0:
        end.setsockopt(socket.SOL_SOCKET, socket.SO_LINGER, struct.pack("ii", 1, 0))
    transport.abort()


class _Way:
    """One direction: chunks with the moments at which they are due, in order."""

    def __init__(self, link: _Link) -> None:
        self.link = link
        self.to: _End
        self.queue: deque[tuple[float, bytes]] = deque()
        self.held = 0
        self.free = 0.0  # when the link has sent all that is on it
        self.latest = 0.0
        self.timer: asyncio.TimerHandle | None = None
        self.timeout = link.profile.timeout
        self.ended = False  # its sender has half closed
        self.closed = False  # its sender has gone

    def put(self, data: bytes) -> None:
        link, profile, random = self.link, self.link.profile, self.link.random
        data = data[: link.passes(len(data))]
        now = asyncio.get_running_loop().time()
        for at in range(0, len(data), SEGMENT):
            part = data[at : at + SEGMENT]
            if profile.bandwidth:
                self.free = max(self.free, now) + len(part) / profile.bandwidth
            due = max(now, self.free) + link.delay + random.uniform(0, profile.jitter)
            if profile.loss and random.random() < profile.loss:
                due += self.timeout
                self.timeout = min(MOST_TIMEOUT, self.timeout * 2)
            else:
                self.timeout = profile.timeout
            self.latest = max(self.latest, due)  # what comes behind a lost segment waits for it
            self.queue.append((self.latest, part))
            self.held += len(part)
        self._arm()

    def end(self, closed: bool = False) -> None:
        self.ended, self.closed = True, self.closed or closed
        self._arm()

    def _arm(self) -> None:
        if self.timer is not None or self.link.dead:
            return
        if self.queue:
            self.timer = asyncio.get_running_loop().call_at(self.queue[0][0], self._due)
        elif self.ended and self.to.transport is not None and not self.to.transport.is_closing():
            if self.closed:
                self.to.transport.close()
            else:
                end_sending(self.to.transport)

    def _due(self) -> None:
        self.timer = None
        now = asyncio.get_running_loop().time()
        while self.queue and self.queue[0][0] <= now and not self.link.dead and self.to.transport is not None:
            _, part = self.queue.popleft()
            self.held -= len(part)
            self.to.transport.write(part)
        self._arm()

    @property
    def full(self) -> bool:
        return self.held > HELD


class _End(asyncio.Protocol):
    """One socket of the relay. What it reads goes `way`."""

    def __init__(self, link: _Link, way: _Way) -> None:
        self.link, self.way = link, way
        self.transport: asyncio.Transport | None = None
        self.connecting: asyncio.Task[None] | None = None

    def connection_made(self, transport: asyncio.BaseTransport) -> None:
        assert isinstance(transport, asyncio.Transport)
        self.transport = transport
        if self is self.link.near:
            self.connecting = asyncio.get_running_loop().create_task(self.link.connect())
        else:
            self.link.up._arm()

    def data_received(self, data: bytes) -> None:
        if self.link.dead:
            return
        self.way.put(data)
        if self.way.full and self.transport is not None:
            self.transport.pause_reading()
            asyncio.get_running_loop().call_later(0.02, self._go_on)

    def _go_on(self) -> None:
        if self.transport is None or self.transport.is_closing():
            return
        if self.way.full and not self.link.dead:
            asyncio.get_running_loop().call_later(0.02, self._go_on)
        else:
            self.transport.resume_reading()

    def eof_received(self) -> bool:
        if not self.link.dead and not self._vanished():
            self.way.end()
        return True

    def _vanished(self) -> bool:
        link = self.link
        if self is link.near and link.random.random() < link.profile.vanish:
            link.end("silent")
        return link.dead

    def connection_lost(self, error: Exception | None) -> None:
        self.transport = None
        if not self.link.dead:
            if error is not None:
                self.link.reset()
            elif not self._vanished():
                self.way.end(closed=True)
        other = self.link.far if self is self.link.near else self.link.near
        if other.transport is None:
            self.link.owner.links.discard(self.link)
