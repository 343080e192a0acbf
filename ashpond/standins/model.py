"""Simulation of an engine: request queue, prefix cache, prefill and decoding."""

from __future__ import annotations

__all__ = ["EngineFaults", "EngineModel", "EngineOptions", "Generation"]

import heapq
import random
import time
import uuid
from collections import OrderedDict
from typing import Any, NamedTuple

import trio

from ashpond.identity import BLOCK_CHARS, CHARS_PER_TOKEN

BLOCK_TOKENS = BLOCK_CHARS // CHARS_PER_TOKEN
MAX_EVENTS = 20_000


class EngineOptions(NamedTuple):
    """Size and speed of the stand-in engine.

    ``prefill_rate`` is in tokens per second, ``token_seconds`` is the time to decode
    one token. ``report_lag`` and ``event_lag`` are the ages in seconds at which load
    reports and cache events become visible. Orders with an old fencing token are
    refused if ``checks_fencing`` is set. ``platform`` is the address from which
    weights are loaded; if it is empty, nothing is downloaded. ``software`` is the
    version of the engine's software.
    """

    model: str = "m1"
    weights: str = "w1"
    prefill_rate: float = 8000.0
    token_seconds: float = 0.01
    max_running: int = 8
    cache_blocks: int = 512
    report_lag: float = 0.2
    event_lag: float = 0.2
    checks_fencing: bool = True
    platform: str = ""
    software: str = ""


class EngineFaults:
    """Faults that tests and benchmarks inject.

    ``slow`` multiplies all durations, and ``lose_events`` is the probability that a
    cache event is lost. ``drop_answers`` is the number of answers that are never
    sent, ``cross_answers`` the number of answers sent with the ID of another
    attempt, and ``cut_after`` the number of events after which a stream is cut once.
    """

    def __init__(self) -> None:
        self.slow = 1.0
        self.frozen = False
        self.draining = False
        self.lose_events = 0.0
        self.report_lag: float | None = None
        self.drop_answers = 0
        self.cross_answers = 0
        self.cut_after = 0
        # If this isn't empty, a prompt that contains it makes the process exit.
        self.deadly_text = ""


class Generation:
    """A request in the engine and the number of tokens generated for it so far.

    ``count`` is the number of tokens to generate. Requests with a lower ``rank``
    are prefilled first.
    """

    def __init__(self, prompt: tuple[int, ...], tokens: int, count: int, rank: int):
        self.prompt = prompt
        self.prompt_tokens = tokens
        self.count = count
        self.rank = rank
        self.first_token = 1
        self.cached_blocks = 0
        self.generated = 0
        self.cancelled = False
        self.changed = trio.Event()

    def notify(self) -> None:
        """Wake all tasks that wait for the next token or for the cancellation."""
        self.changed.set()
        self.changed = trio.Event()

    @property
    def finished(self) -> bool:
        """Whether all tokens have been generated."""
        return self.generated >= self.count


class EngineModel:
    """An engine with serial prefill by priority, parallel decoding and an LRU cache."""

    def __init__(self, options: EngineOptions):
        self.options = options
        self.faults = EngineFaults()
        self.incarnation = uuid.uuid4().hex[:12]
        self.weights = options.weights
        self.loading = ""
        self.role = "serve"
        self.fence = 0
        self.running = 0
        self.cache: OrderedDict[int, None] = OrderedDict()
        self.events: list[dict[str, Any]] = []
        self.sequence = 0
        self.reports: list[tuple[float, dict[str, Any]]] = []
        self.prefilled_tokens = 0
        self._queue: list[tuple[int, int, Generation]] = []
        self._arrivals = 0
        self._wake = trio.Event()
        self._rng = random.Random(7)

    def submit(self, generation: Generation) -> None:
        """Add a request to the queue."""
        self._arrivals += 1
        heapq.heappush(self._queue, (generation.rank, self._arrivals, generation))
        self._wake.set()

    async def run(self, nursery: trio.Nursery) -> None:
        """Process requests from the queue until cancelled."""
        while True:
            while not self._queue or self.running >= self.options.max_running:
                self._wake = trio.Event()
                await self._wake.wait()
            _, _, generation = heapq.heappop(self._queue)
            if generation.cancelled:
                continue
            self.running += 1
            await self._prefill(generation)
            nursery.start_soon(self._decode, generation)

    async def _prefill(self, generation: Generation) -> None:
        generation.cached_blocks = self._count_cached_blocks(generation.prompt)
        uncached = self._count_uncached(generation)
        self.prefilled_tokens += uncached
        await self._wait_for_compute(uncached / self.options.prefill_rate)
        self._add_to_cache(generation.prompt)

    async def _decode(self, generation: Generation) -> None:
        try:
            while not generation.finished and not generation.cancelled:
                await self._wait_for_compute(self.options.token_seconds)
                generation.generated += 1
                generation.notify()
        finally:
            self.running -= 1
            self._wake.set()

    async def _wait_for_compute(self, seconds: float) -> None:
        await trio.sleep(seconds * self.faults.slow)
        while self.faults.frozen:
            await trio.sleep(0.01)

    def _count_uncached(self, generation: Generation) -> int:
        cached = self._count_cached_blocks(generation.prompt) * BLOCK_TOKENS
        return max(1, generation.prompt_tokens - cached)

    def _count_cached_blocks(self, blocks: tuple[int, ...]) -> int:
        count = 0
        for block in blocks:
            if block not in self.cache:
                break
            count += 1
        return count

    def _add_to_cache(self, blocks: tuple[int, ...]) -> None:
        stored = [block for block in blocks if block not in self.cache]
        for block in reversed(blocks):
            self.cache[block] = None
            self.cache.move_to_end(block)
        removed = []
        while len(self.cache) > self.options.cache_blocks:
            removed.append(self.cache.popitem(last=False)[0])
        if stored or removed:
            self._log_event(stored, removed)

    def import_blocks(self, blocks: list[int]) -> None:
        """Add blocks that another engine exported to the cache."""
        self._add_to_cache(tuple(blocks))

    def drop_cache(self) -> None:
        """Empty the cache and log the removal, as loading new weights requires."""
        removed = list(self.cache)
        self.cache.clear()
        self._log_event([], removed)

    def _log_event(self, stored: list[int], removed: list[int]) -> None:
        self.sequence += 1
        if self._rng.random() < self.faults.lose_events:
            return
        event: dict[str, Any] = {"seq": self.sequence, "at": trio.current_time()}
        event |= {"wall": time.time(), "incarnation": self.incarnation}
        event |= {"stored": stored, "removed": removed}
        self.events.append(event)
        del self.events[:-MAX_EVENTS]

    def report(self) -> dict[str, Any]:
        """Return the load as it was ``report_lag`` seconds ago.

        Only ``draining`` and ``incarnation`` are always current.
        """
        now = trio.current_time()
        waiting = [
            generation for _, _, generation in self._queue if not generation.cancelled
        ]
        fresh = {
            "incarnation": self.incarnation,
            "running": self.running,
            "waiting": len(waiting),
            "waiting_tokens": sum(
                self._count_uncached(generation) for generation in waiting
            ),
            "max_running": self.options.max_running,
            "prefill_rate": self.options.prefill_rate / self.faults.slow,
            "model": self.options.model,
            "weights": self.weights,
            "loading": self.loading,
            "software": self.options.software,
            "role": self.role,
            "fence": self.fence,
            "draining": self.faults.draining,
            "cache_blocks": self.options.cache_blocks,
            "prefilled_tokens": self.prefilled_tokens,
        }
        self.reports.append((now, fresh))
        lag = self.faults.report_lag
        lag = self.options.report_lag if lag is None else lag
        while len(self.reports) > 1 and self.reports[1][0] <= now - lag:
            self.reports.pop(0)
        at, shown = self.reports[0]
        urgent = {"draining": self.faults.draining, "incarnation": self.incarnation}
        return shown | urgent | {"age": now - at}

    def list_events(self, after: int) -> list[dict[str, Any]]:
        """Return events after number ``after`` that are at least ``event_lag`` old."""
        latest = trio.current_time() - self.options.event_lag
        return [e for e in self.events if e["seq"] > after and e["at"] <= latest]
