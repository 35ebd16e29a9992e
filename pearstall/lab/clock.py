"""Virtual time: an asyncio event loop whose clock jumps to the next scheduled callback.

Nothing sleeps and nothing reads the system clock: a simulated hour takes as long as its callbacks take to run.
Callbacks scheduled for the same time run in the order in which they were scheduled, so a seed determines the run down
to the last event. trio's MockClock and FoundationDB's simulation work the same way.
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
START = 1000.0  # seconds; not zero, so that an unset time is recognizable
EPOCH = 1_800_000_000.0  # Unix time at the loop's time zero, for code that needs calendar time


class Deadlock(Exception):
    """No callback is scheduled, but the awaited result has not arrived."""


class _Timer(asyncio.TimerHandle):
    """A timer that breaks ties by creation order. asyncio compares times only, so that ties run in heap order."""

    __slots__ = ("number",)
    number: int

    def __lt__(self, other: object) -> bool:  # the loop's most frequent call: it checks no type
        own_time, other_time = self._when, other._when  # type: ignore[attr-defined]
        return bool(own_time < other_time or (own_time == other_time and self.number < other.number))  # type: ignore[attr-defined]


class _Selector(selectors.BaseSelector):
    """Replaces the system selector: waiting advances the virtual clock."""

    def __init__(self, loop: VirtualLoop) -> None:
        self.loop = loop

    def select(self, timeout: float | None = None) -> list[Any]:
        if timeout is None:
            raise Deadlock("no callback is scheduled")
        if timeout > 0:
            self.loop.advance()
        return []

    def register(self, fileobj: Any, events: int, data: Any = None) -> Any:
        raise RuntimeError("a virtual loop supports no real sockets")

    def unregister(self, fileobj: Any) -> Any:
        raise RuntimeError("a virtual loop supports no real sockets")

    def get_map(self) -> Any:
        return {}

    def close(self) -> None:
        pass


class VirtualLoop(base_events.BaseEventLoop):
    """An event loop in virtual time. `network.Network` sets `network`, which replaces sockets."""

    def __init__(self) -> None:
        super().__init__()
        self.now = START
        self._clock_resolution = 1e-9
        self._selector = _Selector(self)
        self._scheduled: list[_Timer]
        self.number = 0
        self.turns = 0
        self.network: Any = None
        self.set_exception_handler(self._record_error)
        self.errors: list[dict[str, Any]] = []  # unhandled exceptions: a run with any has failed

    def _record_error(self, loop: asyncio.AbstractEventLoop, context: dict[str, Any]) -> None:
        self.errors.append(context)

    def time(self) -> float:
        return self.now

    def wall(self) -> float:
        """Returns the simulated Unix time."""
        return EPOCH + self.now

    def advance(self) -> None:
        """Moves the clock to the next timer; asyncio has already removed cancelled ones from the front."""
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

    async def create_connection(
        self, protocol_factory: Any, host: Any = None, port: Any = None, **options: Any
    ) -> Any:
        return await self.network.connect(protocol_factory, (host, port))

    async def create_server(self, protocol_factory: Any, host: Any = None, port: Any = None, **options: Any) -> Any:
        return self.network.listen(protocol_factory, (host, port))

    async def getaddrinfo(self, host: Any, port: Any, **options: Any) -> Any:
        """Resolves each host to itself, since names are the addresses of the network in memory."""
        if isinstance(host, bytes):  # some libraries pass the IDNA encoding (RFC 5890)
            host = host.decode("ascii")
        return [(socket.AF_INET, socket.SOCK_STREAM, socket.IPPROTO_TCP, "", (host, port))]

    def run_in_executor(self, executor: Any, func: Any, *args: Any) -> Any:  # type: ignore[override]
        raise RuntimeError("threads would make a run irreproducible")


def run(main: Coroutine[Any, Any, T], loop: VirtualLoop | None = None) -> T:
    """Runs a coroutine in virtual time, and raises if any callback or task had an unhandled exception."""
    loop = loop or VirtualLoop()
    try:
        asyncio.set_event_loop(loop)
        result = loop.run_until_complete(main)
        _cancel_remaining_tasks(loop)
        if loop.errors:
            error = loop.errors[0].get("exception")
            raise RuntimeError(f"{len(loop.errors)} unhandled errors: {loop.errors[0]}") from error
        return result
    finally:
        asyncio.set_event_loop(None)
        loop.close()


def _cancel_remaining_tasks(loop: VirtualLoop) -> None:
    remaining = asyncio.all_tasks(loop)
    for task in remaining:
        task.cancel()
    if remaining:
        loop.run_until_complete(asyncio.gather(*remaining, return_exceptions=True))
