"""A simulated inference engine without I/O: continuous batching, paged memory and prefix caching.

It follows the public descriptions of Orca (iteration-level scheduling, OSDI 2022), vLLM (paged attention and
preemption by recomputation, SOSP 2023) and chunked prefill (Sarathi-Serve, OSDI 2024). One *step* processes a bounded
chunk of prompt tokens and generates one token for each sequence whose prompt is complete; its duration grows with
both and with the context. Memory is counted in blocks; complete blocks of a prompt are cached by content and reused
until their memory is needed.
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
    queue: int = 32  # longest queue behind them; beyond it, requests are rejected
    chunk: int = 2048  # most prompt tokens processed in a step
    step: float = 0.008  # fixed time of a step
    per_prompt: float = 0.00008  # added for each prompt token processed
    per_sequence: float = 0.0004  # added for each token generated
    per_context: float = 4e-8  # added for each token of context
    block: int = 16  # tokens in a block of memory
    blocks: int = 8192
    reuse: bool = True  # prefix caching: prompt blocks are cached by content
    cancel_stops: bool = False  # whether a cancel stops a running sequence; else it runs to its end
    cold_time: float = 20.0
    cold_share: float = 0.15  # share of full speed at the start of the warm-up, which lasts cold_time
    emit: int = 4  # tokens per event


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
    prompt_tokens: int = 0  # processed
    reused_tokens: int = 0  # found in the cache
    made: int = 0  # tokens generated
    wasted: int = 0  # generated or processed for cancelled requests
    preempted: int = 0
    busy: float = 0.0  # seconds in steps


class Sequence_:
    """One request in the engine. `on_tokens(count, done)` receives its tokens; None after a cancel."""

    __slots__ = ("prompt", "keys", "wanted", "on_tokens", "read", "made", "reused", "private_blocks",
                 "shared_keys", "done", "since", "unreported_tokens")  # fmt: skip

    def __init__(
        self,
        prompt: int,
        keys: Sequence[object],
        wanted: int,
        on_tokens: Callable[[int, bool], None] | None,
        now: float,
    ) -> None:
        self.prompt, self.keys, self.wanted, self.on_tokens = prompt, keys, wanted, on_tokens
        self.read = 0  # prompt tokens processed or found in the cache
        self.made = 0
        self.reused = 0
        self.private_blocks = 0  # memory blocks used by this sequence only
        self.shared_keys: list[object] = []  # keys of the shared blocks that it references
        self.done = False
        self.since = now
        self.unreported_tokens = 0


class Engine:
    """`speed` divides the duration of every step and may change at any time."""

    def __init__(self, settings: EngineSettings, clock: Clock, started: float = -1e9) -> None:
        self.settings, self.clock, self.started = settings, clock, started
        self.speed = 1.0
        self.hung = False
        self.draining = False
        self.waiting: deque[Sequence_] = deque()
        self.running: list[Sequence_] = []
        self.free = settings.blocks
        self.shared: dict[object, int] = {}  # block key -> reference count
        self.cached: OrderedDict[object, None] = OrderedDict()  # unreferenced blocks, least recently used first
        self.counters = Counters()
        self.stepping = False
        self.tail: Callable[[], float] | None = None  # draws a factor on each step's duration: stragglers

    @property
    def load(self) -> int:
        return len(self.waiting) + len(self.running)

    # -- requests ------------------------------------------------------------------------------------------

    def submit(
        self, prompt: int, keys: Sequence[object], wanted: int, on_tokens: Callable[[int, bool], None]
    ) -> Sequence_ | Verdict:
        """Returns the queued sequence, or why it was rejected. `keys`: one per complete block of the prompt; prompts
        with a common prefix share keys."""
        settings = self.settings
        if self.draining:
            verdict = Verdict.DRAINING
        elif len(self.waiting) >= settings.queue:
            verdict = Verdict.FULL
        elif (prompt + wanted) // settings.block + 2 > settings.blocks:
            verdict = Verdict.TOO_LONG
        else:
            sequence = Sequence_(prompt, keys if settings.reuse else (), wanted, on_tokens, self.clock.time())
            self.waiting.append(sequence)
            self.counters.taken += 1
            self._start()
            return sequence
        self.counters.turned_away += 1
        return verdict

    def cancel(self, sequence: Sequence_) -> None:
        """Cancels a request: it leaves the queue, but runs on if it is running, unless `cancel_stops` is set."""
        if sequence.done:
            return
        sequence.on_tokens = None
        self.counters.cancelled += 1
        if sequence in self.waiting:
            self.waiting.remove(sequence)
            sequence.done = True
        elif self.settings.cancel_stops and sequence in self.running:
            self.running.remove(sequence)
            self._release(sequence)
            sequence.done = True

    def resume(self) -> None:
        """Ends a hang."""
        self.hung = False
        self._start()

    # -- memory --------------------------------------------------------------------------------------------

    def _reuse(self, sequence: Sequence_) -> int:
        """References the cached leading blocks of its prompt, and returns their number."""
        count = 0
        for key in sequence.keys:
            if key in self.shared:
                self.shared[key] += 1
            elif key in self.cached:
                del self.cached[key]
                self.shared[key] = 1
            else:
                break
            sequence.shared_keys.append(key)
            count += 1
        return count

    def _allocate(self, count: int) -> bool:
        while self.free < count and self.cached:
            self.cached.popitem(last=False)
            self.free += 1
        if self.free < count:
            return False
        self.free -= count
        return True

    def _release_shared(self, sequence: Sequence_) -> None:
        """Drops its references to shared blocks; unreferenced ones stay cached until their memory is needed."""
        for key in sequence.shared_keys:
            left = self.shared[key] - 1
            if left:
                self.shared[key] = left
            else:
                del self.shared[key]
                self.cached[key] = None
        sequence.shared_keys = []

    def _release(self, sequence: Sequence_) -> None:
        """Frees its memory; prompt blocks that were processed completely stay cached until it is needed."""
        shared_count = len(sequence.shared_keys)
        complete_blocks = min(len(sequence.keys), sequence.read // self.settings.block)
        self._release_shared(sequence)
        for key in sequence.keys[shared_count:complete_blocks]:
            if sequence.private_blocks and key not in self.shared and key not in self.cached:
                self.cached[key] = None
                sequence.private_blocks -= 1
        self.free += sequence.private_blocks
        sequence.private_blocks = 0

    # -- steps ---------------------------------------------------------------------------------------------

    def _start(self) -> None:
        if not self.stepping and not self.hung and (self.waiting or self.running):
            self.stepping = True
            self._begin_step()

    def _admit(self) -> None:
        settings = self.settings
        while self.waiting and len(self.running) < settings.slots:
            sequence = self.waiting[0]
            reused_blocks = self._reuse(sequence)
            needed_blocks = -(-(sequence.prompt + sequence.made + 1) // settings.block) - reused_blocks
            if not self._allocate(needed_blocks):
                self._release_shared(sequence)
                return
            self.waiting.popleft()
            sequence.private_blocks = needed_blocks
            sequence.read = sequence.reused = min(reused_blocks * settings.block, sequence.prompt - 1)
            self.counters.reused_tokens += sequence.read
            self.running.append(sequence)

    def _begin_step(self) -> None:
        """Starts a step: its work is determined now, and reported at its end."""
        settings = self.settings
        self._admit()
        budget = settings.chunk
        generating = 0
        context = 0
        wasted = 0
        for sequence in self.running:
            left = sequence.prompt + sequence.made - sequence.read
            if left > 0 and sequence.read < sequence.prompt:
                part = min(left, budget)
                budget -= part
                sequence.read += part
                if sequence.on_tokens is None:
                    wasted += part
            context += sequence.read + sequence.made
        read = settings.chunk - budget
        generating = len(self.running)
        duration = (
            settings.step
            + read * settings.per_prompt
            + generating * settings.per_sequence
            + context * settings.per_context
        ) / self.speed
        now = self.clock.time()
        age = now - self.started
        if age < settings.cold_time:
            share = settings.cold_share + (1 - settings.cold_share) * max(0.0, age) / settings.cold_time
            duration /= share
        if self.tail is not None:
            duration *= self.tail()
        counters = self.counters
        counters.steps += 1
        counters.prompt_tokens += read
        counters.wasted += wasted
        counters.busy += duration
        self.clock.call_at(now + duration, self._end_step)

    def _end_step(self) -> None:
        settings, counters = self.settings, self.counters
        if self.hung:
            self.stepping = False
            return
        finished = False
        for sequence in self.running:
            if sequence.read < sequence.prompt:
                continue
            sequence.made += 1
            sequence.unreported_tokens += 1
            counters.made += 1
            if sequence.on_tokens is None:
                counters.wasted += 1
            if sequence.made >= sequence.wanted:
                sequence.done = finished = True
            elif (sequence.prompt + sequence.made) % settings.block == 0:
                if self._allocate(1):
                    sequence.private_blocks += 1
                else:
                    sequence.since = -1.0  # to be preempted below
        if finished:
            ended = [sequence for sequence in self.running if sequence.done]
            self.running = [sequence for sequence in self.running if not sequence.done]
            for sequence in ended:
                counters.finished += 1
                self._release(sequence)
        if any(sequence.since < 0 for sequence in self.running):
            self._preempt()
        for sequence in [*self.running, *(ended if finished else ())]:
            if sequence.unreported_tokens and (
                sequence.done or sequence.made == 1 or sequence.unreported_tokens >= settings.emit
            ):
                count, sequence.unreported_tokens = sequence.unreported_tokens, 0
                if sequence.on_tokens is not None:
                    sequence.on_tokens(count, sequence.done)
        if self.waiting or self.running:
            self._begin_step()
        else:
            self.stepping = False

    def _preempt(self) -> None:
        """Out of memory: the youngest sequences free theirs and are recomputed later."""
        starved = [sequence for sequence in self.running if sequence.since < 0]
        for sequence in starved:
            sequence.since = self.clock.time()
            if sequence not in self.running:
                continue
            victim = self.running[-1]
            self.running.remove(victim)
            self.counters.preempted += 1
            self._release(victim)
            victim.read = 0
            self.waiting.appendleft(victim)
            if victim is not sequence and self._allocate(1):
                sequence.private_blocks += 1
