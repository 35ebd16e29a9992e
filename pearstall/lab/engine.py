"""A model server's engine, without I/O: continuous batching, paged memory and prefix reuse, told the time.

After the public descriptions of Orca (iteration-level scheduling, OSDI 2022), vLLM (paged attention and preemption by
recomputation, SOSP 2023) and chunked prefill (Sarathi-Serve, OSDI 2024). One *step* reads a bounded chunk of prompts
and makes one token for each sequence that is past its prompt; its time grows with both and with the context.
Memory is counted in blocks; whole blocks of a prompt are kept by content and reused while nobody needs their room.
"""

from __future__ import annotations

from collections import OrderedDict, deque
from collections.abc import Callable, Sequence
from dataclasses import dataclass
from enum import IntEnum
from typing import Any, Protocol

import msgspec


class Clock(Protocol):
    def time(self) -> float: ...

    def call_at(self, when: float, callback: Callable[..., Any], /) -> Any: ...


class EngineSettings(msgspec.Struct, frozen=True, forbid_unknown_fields=True):
    """Times are seconds, sizes tokens."""

    slots: int = 16  # sequences in the batch
    queue: int = 32  # waiting beyond them; past it, turned away
    chunk: int = 2048  # prompt tokens read in a step
    step: float = 0.008  # of a step with nothing in it
    per_prompt: float = 0.00008  # more, for each prompt token read in it
    per_sequence: float = 0.0004  # more, for each token made
    per_context: float = 4e-8  # more, for each token attended to
    block: int = 16
    blocks: int = 8192
    reuse: bool = True  # blocks of prompts are kept by content
    cancel_stops: bool = False  # else running work goes on for nobody
    cold_time: float = 20.0
    cold_share: float = 0.15  # of its speed, at the start
    emit: int = 4  # tokens an event


class Verdict(IntEnum):
    TAKEN = 0
    FULL = 1
    DRAINING = 2
    TOO_LONG = 3


@dataclass(slots=True)
class Counters:
    taken: int = 0
    turned_away: int = 0
    finished: int = 0
    cancelled: int = 0
    steps: int = 0
    prompt_tokens: int = 0  # read
    reused_tokens: int = 0  # found kept
    made: int = 0
    wasted: int = 0  # made, or read, for nobody
    preempted: int = 0
    busy: float = 0.0  # seconds in steps


class Sequence_:
    """One request in the engine. `told(count, done)` hears of tokens; None once nobody listens."""

    __slots__ = ("prompt", "keys", "wanted", "told", "read", "made", "reused", "held", "owned", "done", "since",
                 "unsaid")  # fmt: skip

    def __init__(
        self, prompt: int, keys: Sequence[object], wanted: int, told: Callable[[int, bool], None] | None, now: float
    ) -> None:
        self.prompt, self.keys, self.wanted, self.told = prompt, keys, wanted, told
        self.read = 0  # prompt tokens read, or found kept
        self.made = 0
        self.reused = 0
        self.held = 0  # blocks of its own
        self.owned: list[object] = []  # keys of shared blocks that it uses
        self.done = False
        self.since = now
        self.unsaid = 0


class Engine:
    """`speed`: a factor on every step, for slow machines; may be changed at any time."""

    def __init__(self, settings: EngineSettings, clock: Clock, started: float = -1e9) -> None:
        self.settings, self.clock, self.started = settings, clock, started
        self.speed = 1.0
        self.hung = False
        self.draining = False
        self.waiting: deque[Sequence_] = deque()
        self.running: list[Sequence_] = []
        self.free = settings.blocks
        self.shared: dict[object, int] = {}  # block key -> sequences that use it
        self.kept: OrderedDict[object, None] = OrderedDict()  # unused, the longest unused first
        self.counters = Counters()
        self.stepping = False
        self.tail: Callable[[], float] | None = None  # a factor on each step's time: stragglers

    @property
    def load(self) -> int:
        return len(self.waiting) + len(self.running)

    # -- requests ------------------------------------------------------------------------------------------

    def submit(
        self, prompt: int, keys: Sequence[object], wanted: int, told: Callable[[int, bool], None]
    ) -> Sequence_ | Verdict:
        """`keys`: one a whole block of the prompt, the same for the same beginning. The sequence, or why not."""
        settings = self.settings
        if self.draining:
            verdict = Verdict.DRAINING
        elif len(self.waiting) >= settings.queue:
            verdict = Verdict.FULL
        elif (prompt + wanted) // settings.block + 2 > settings.blocks:
            verdict = Verdict.TOO_LONG
        else:
            made = Sequence_(prompt, keys if settings.reuse else (), wanted, told, self.clock.time())
            self.waiting.append(made)
            self.counters.taken += 1
            self._go()
            return made
        self.counters.turned_away += 1
        return verdict

    def cancel(self, one: Sequence_) -> None:
        """Nobody listens any more. What waits goes; what runs goes on, unless a cancel stops it."""
        if one.done:
            return
        one.told = None
        self.counters.cancelled += 1
        if one in self.waiting:
            self.waiting.remove(one)
            one.done = True
        elif self.settings.cancel_stops and one in self.running:
            self.running.remove(one)
            self._release(one)
            one.done = True

    def resume(self) -> None:
        """After a hang."""
        self.hung = False
        self._go()

    # -- memory --------------------------------------------------------------------------------------------

    def _reuse(self, one: Sequence_) -> int:
        """How many of its first blocks are here already; they are its own as well from now on."""
        count = 0
        for key in one.keys:
            if key in self.shared:
                self.shared[key] += 1
            elif key in self.kept:
                del self.kept[key]
                self.shared[key] = 1
            else:
                break
            one.owned.append(key)
            count += 1
        return count

    def _take(self, count: int) -> bool:
        while self.free < count and self.kept:
            self.kept.popitem(last=False)
            self.free += 1
        if self.free < count:
            return False
        self.free -= count
        return True

    def _let_go(self, one: Sequence_) -> None:
        """Its shared blocks: those that nobody uses any more are kept while there is room."""
        for key in one.owned:
            left = self.shared[key] - 1
            if left:
                self.shared[key] = left
            else:
                del self.shared[key]
                self.kept[key] = None
        one.owned = []

    def _release(self, one: Sequence_) -> None:
        """Blocks of the prompt that were read whole stay by their content, until their room is needed."""
        mine = len(one.owned)
        whole = min(len(one.keys), one.read // self.settings.block)
        self._let_go(one)
        for key in one.keys[mine:whole]:
            if one.held and key not in self.shared and key not in self.kept:
                self.kept[key] = None
                one.held -= 1
        self.free += one.held
        one.held = 0

    # -- steps ---------------------------------------------------------------------------------------------

    def _go(self) -> None:
        if not self.stepping and not self.hung and (self.waiting or self.running):
            self.stepping = True
            self._begin()

    def _admit(self) -> None:
        settings = self.settings
        while self.waiting and len(self.running) < settings.slots:
            one = self.waiting[0]
            found = self._reuse(one)
            need = -(-(one.prompt + one.made + 1) // settings.block) - found
            if not self._take(need):
                self._let_go(one)
                return
            self.waiting.popleft()
            one.held = need
            one.read = one.reused = min(found * settings.block, one.prompt - 1)
            self.counters.reused_tokens += one.read
            self.running.append(one)

    def _begin(self) -> None:
        """One step: what it reads and makes is settled now, and told at its end."""
        settings = self.settings
        self._admit()
        room = settings.chunk
        makes = 0
        context = 0
        nobody = 0
        for one in self.running:
            left = one.prompt + one.made - one.read
            if left > 0 and one.read < one.prompt:
                part = min(left, room)
                room -= part
                one.read += part
                if one.told is None:
                    nobody += part
            context += one.read + one.made
        read = settings.chunk - room
        makes = len(self.running)
        took = (
            settings.step
            + read * settings.per_prompt
            + makes * settings.per_sequence
            + context * settings.per_context
        ) / self.speed
        now = self.clock.time()
        age = now - self.started
        if age < settings.cold_time:
            share = settings.cold_share + (1 - settings.cold_share) * max(0.0, age) / settings.cold_time
            took /= share
        if self.tail is not None:
            took *= self.tail()
        counters = self.counters
        counters.steps += 1
        counters.prompt_tokens += read
        counters.wasted += nobody
        counters.busy += took
        self.clock.call_at(now + took, self._end)

    def _end(self) -> None:
        settings, counters = self.settings, self.counters
        if self.hung:
            self.stepping = False
            return
        finished = False
        for one in self.running:
            if one.read < one.prompt:
                continue
            one.made += 1
            one.unsaid += 1
            counters.made += 1
            if one.told is None:
                counters.wasted += 1
            if one.made >= one.wanted:
                one.done = finished = True
            elif (one.prompt + one.made) % settings.block == 0:
                if self._take(1):
                    one.held += 1
                else:
                    one.since = -1.0  # to be preempted below
        if finished:
            ended = [one for one in self.running if one.done]
            self.running = [one for one in self.running if not one.done]
            for one in ended:
                counters.finished += 1
                self._release(one)
        if any(one.since < 0 for one in self.running):
            self._preempt()
        for one in [*self.running, *(ended if finished else ())]:
            if one.unsaid and (one.done or one.made == 1 or one.unsaid >= settings.emit):
                count, one.unsaid = one.unsaid, 0
                if one.told is not None:
                    one.told(count, one.done)
        if self.waiting or self.running:
            self._begin()
        else:
            self.stepping = False

    def _preempt(self) -> None:
        """Memory has run out: the youngest give theirs back, and are read anew later (by recomputation)."""
        needy = [one for one in self.running if one.since < 0]
        for one in needy:
            one.since = self.clock.time()
            if one not in self.running:
                continue
            victim = self.running[-1]
            self.running.remove(victim)
            self.counters.preempted += 1
            self._release(victim)
            victim.read = 0
            self.waiting.appendleft(victim)
            if victim is not one and self._take(1):
                one.held += 1
