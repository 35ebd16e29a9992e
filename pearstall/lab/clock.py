"""Virtual time: an asyncio event loop whose clock jumps to the next due callback.

Nothing sleeps, and nothing reads the system's clock: a simulated hour takes as long as its callbacks do. Callbacks
that are due at the same moment run in the order in which they were asked for, so one seed gives one run, to the
last event. The idea is that of trio's MockClock and FoundationDB's simulation.
"""

from __future__ import annotations

import asyncio
import heapq
import selectors
import socket
from asyncio import base_events
from collections.abc import Callable, Coroutine
from typing import Any, TypeVar

T = TypeVar("T")
START = 1000.0  # seconds; not zero, so that a time that was never set shows
EPOCH = 1_800_000_000.0  # Unix time at the loop's zero, for what reads a calendar


class Stuck(Exception):
    """Nothing is due any more, and what was waited for has not come: a deadlock, told at once."""


class _Timer(asyncio.TimerHandle):
    """asyncio orders its timers by time alone; those of one moment then come in the order of a heap."""

    __slots__ = ("number",)
    number: int

    def __lt__(self, other: object) -> bool:  # the loop's most frequent call: no type is asked for
        mine, its = self._when, other._when  # type: ignore[attr-defined]
        return bool(mine < its or (mine == its and self.number < other.number))  # type: ignore[attr-defined]


class _Selector(selectors.BaseSelector):
    """In place of the system's: to wait is to move the clock."""

    def __init__(self, loop: VirtualLoop) -> None:
        self.loop = loop

    def select(self, timeout: float | None = None) -> list[Any]:
        if timeout is None:
            raise Stuck("nothing is due any more")
        if timeout > 0:
            self.loop.advance()
        return []

    def register(self, fileobj: Any, events: int, data: Any = None) -> Any:
        raise RuntimeError("no real socket belongs on a virtual loop")

    def unregister(self, fileobj: Any) -> Any:
        raise RuntimeError("no real socket belongs on a virtual loop")

    def get_map(self) -> Any:
        return {}

    def close(self) -> None:
        pass


class VirtualLoop(base_events.BaseEventLoop):
    """`network` is set by `network.Network`: it stands in for sockets."""

    def __init__(self) -> None:
        super().__init__()
        self.now = START
        self._clock_resolution = 1e-9
        self._selector = _Selector(self)
        self._scheduled: list[_Timer]
        self.number = 0
        self.turns = 0
        self.network: Any = None
        self.set_exception_handler(self._noted)
        self.errors: list[dict[str, Any]] = []  # what no one caught: a run with any has failed

    def _noted(self, loop: asyncio.AbstractEventLoop, context: dict[str, Any]) -> None:
        self.errors.append(context)

    def time(self) -> float:
        return self.now

    def wall(self) -> float:
        """Unix time, as far as this world has one."""
        return EPOCH + self.now

    def advance(self) -> None:
        """To the moment of the next timer; asyncio has taken those off that were cancelled."""
        if self._scheduled:
            self.now = max(self.now, self._scheduled[0].when())
            self.turns += 1

    def call_at(self, when: float, callback: Callable[..., Any], *args: Any, context: Any = None) -> _Timer:  # type: ignore[override]
        self.number += 1
        timer = _Timer(when, callback, args, self, context)
        timer.number = self.number
        heapq.heappush(self._scheduled, timer)
        timer._scheduled = True  # type: ignore[attr-defined]
        return timer

    def call_later(self, delay: float, callback: Callable[..., Any], *args: Any, context: Any = None) -> _Timer:  # type: ignore[override]
        return self.call_at(self.now + delay, callback, *args, context=context)

    def _process_events(self, event_list: Any) -> None:
        pass

    def _write_to_self(self) -> None:
        pass

    async def create_connection(self, protocol_factory: Any, host: Any = None, port: Any = None, **more: Any) -> Any:
        return await self.network.connect(protocol_factory, (host, port))

    async def create_server(self, protocol_factory: Any, host: Any = None, port: Any = None, **more: Any) -> Any:
        return self.network.listen(protocol_factory, (host, port))

    async def getaddrinfo(self, host: Any, port: Any, **more: Any) -> Any:
        """A host of the network is its own address."""
        if isinstance(host, bytes):  # a library that has put it into the form of RFC 5890
            host = host.decode("ascii")
        return [(socket.AF_INET, socket.SOCK_STREAM, socket.IPPROTO_TCP, "", (host, port))]

    def run_in_executor(self, executor: Any, func: Any, *args: Any) -> Any:  # type: ignore[override]
        raise RuntimeError("threads have no place in a run that must come out the same")


def run(main: Coroutine[Any, Any, T], loop: VirtualLoop | None = None) -> T:
    """Runs it in virtual time, and raises what nobody caught on the way."""
    loop = loop or VirtualLoop()
    try:
        asyncio.set_event_loop(loop)
        result = loop.run_until_complete(main)
        _end(loop)
        if loop.errors:
            error = loop.errors[0].get("exception")
            raise RuntimeError(f"{len(loop.errors)} errors nobody caught: {loop.errors[0]}") from error
        return result
    finally:
        asyncio.set_event_loop(None)
        loop.close()


def _end(loop: VirtualLoop) -> None:
    left = asyncio.all_tasks(loop)
    for task in left:
        task.cancel()
    if left:
        loop.run_until_complete(asyncio.gather(*left, return_exceptions=True))
