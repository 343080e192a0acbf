"""Model engines in virtual time: continuous batching, prefix caches, links."""

from __future__ import annotations

__all__ = ["EmulatedEngine", "EngineShape", "Run"]

from collections import OrderedDict
from typing import TYPE_CHECKING, NamedTuple

import trio

from ashpond.decisions.prompts import Prompt

if TYPE_CHECKING:
    from ashpond.emulator.scenarios import EngineStatement


class EngineShape(NamedTuple):
    """The capacity and the speed of one engine, in tokens and seconds.

    Each step generates one token of every running answer and reads up to
    ``chunk_tokens`` of the prompts that have not been read yet (chunked prefill).
    An answer sends an event every ``event_tokens`` tokens.
    """

    slots: int = 64
    memory_tokens: int = 100_000
    step_seconds: float = 0.005
    step_seconds_per_run: float = 0.000016
    read_tokens_per_second: float = 40_000.0
    chunk_tokens: int = 2_048
    link_tokens_per_second: float = 140_000.0
    load_seconds: float = 0.6
    event_tokens: int = 4


class Run:
    """One request at an engine and its progress."""

    def __init__(self, prompt: Prompt, salt: str, output_tokens: int, urgency: int):
        self.prompt = prompt
        self.salt = salt
        self.urgency = urgency
        self.unread_tokens = 0
        self.fetch_ends_at = 0.0
        self.tokens_left = output_tokens
        self.has_begun = trio.Event()
        self.has_ended = trio.Event()
        self.has_failed = False
        self.is_cancelled = False
        self.first_event_at: float | None = None
        self.last_event_at: float | None = None
        self.longest_pause = 0.0

    @property
    def reserved_tokens(self) -> int:
        """The memory that the run itself needs, in tokens.

        Shared prompt parts are not counted: they are in the engine's cache.
        """
        return self.prompt.parts[-1].tokens + self.prompt.max_output_tokens


class EmulatedEngine:
    """An engine with continuous batching and a prefix cache.

    ``tokens_read`` counts all prompt tokens that were read, ``tokens_read_again``
    those of shared parts that some engine had already read under the same salt.

    :param ever_read: the salt and id of each shared part that has been read; one set
        is used by all engines of a service.
    """

    def __init__(self, name: str, shape: EngineShape, ever_read: set[tuple[str, str]]):
        self.name = name
        self.shape = shape
        self.is_down = False
        # The statement that its answers carry at present.
        self.statement: EngineStatement | None = None
        # When requests reached the engine (seconds).
        self.arrivals: list[float] = []
        self.version = 1
        self.accepted_orders = 0
        self.ordered_version: int | None = None
        self._loaded_at = 0.0
        self.tokens_read = 0
        self.tokens_read_again = 0
        self._ever_read = ever_read
        self._waiting: list[Run] = []
        self._running: list[Run] = []
        self._cache: OrderedDict[tuple[str, str], int] = OrderedDict()
        self._link_free_at = 0.0
        self._wakeup = trio.Event()

    @property
    def requests(self) -> int:
        """The number of requests that wait or run at this engine."""
        return len(self._waiting) + len(self._running)

    def submit(self, run: Run, source: EmulatedEngine | None) -> None:
        """Queue a request by urgency.

        :param source: the engine to copy cached prompt parts from, if any.
        """
        now = trio.current_time()
        run.fetch_ends_at = now
        if source is not None and not source.is_down:
            run.fetch_ends_at = self._fetch(run, source, now)
        self._waiting.append(run)
        self._waiting.sort(key=lambda waiting: waiting.urgency)
        self._wake()

    def crash(self) -> None:
        """Fail all requests, clear the cache and refuse connections."""
        self.is_down = True
        for run in [*self._waiting, *self._running]:
            self._fail_run(run)
        self._waiting.clear()
        self._running.clear()
        self._cache.clear()
        self.ordered_version = None

    def restart(self) -> None:
        """Accept connections again, with an empty cache."""
        self.is_down = False

    def order_weights(self, version: int, *, cuts_runs: bool) -> None:
        """Start loading a weights version as soon as no request waits or runs.

        :param cuts_runs: fail the waiting and running requests instead of letting
            them finish first.
        """
        self.accepted_orders += 1
        self.ordered_version = version
        if cuts_runs:
            for run in [*self._waiting, *self._running]:
                self._fail_run(run)
            self._waiting.clear()
            self._running.clear()
        self._wake()

    def has_cached(self, salt: str, part: str) -> bool:
        """Return whether a prompt part is cached under a salt."""
        return (salt, part) in self._cache

    async def run(self) -> None:
        """Process requests and weight orders step by step until cancelled."""
        while True:
            now = trio.current_time()
            self._admit(now)
            if self._running:
                await trio.sleep(self._read_prompts() + self._compute_step_seconds())
                self._generate_tokens(trio.current_time())
            elif self.ordered_version is not None and not self._waiting:
                await self._load(self.ordered_version)
            else:
                self._wakeup = trio.Event()
                with trio.move_on_after(self._compute_idle_seconds(now)):
                    await self._wakeup.wait()

    async def _load(self, version: int) -> None:
        await trio.sleep(self.shape.load_seconds)
        if self.ordered_version == version:
            self._cache.clear()
            self.version = version
            self.ordered_version = None

    def _compute_idle_seconds(self, now: float) -> float:
        fetch_seconds = [
            run.fetch_ends_at - now for run in self._waiting if run.fetch_ends_at > now
        ]
        return min(fetch_seconds, default=float("inf"))

    def _fetch(self, run: Run, source: EmulatedEngine, now: float) -> float:
        """Copy the leading prompt parts that the source has cached.

        :return: the time at which the copy is complete (seconds).
        """
        tokens = 0
        for part in run.prompt.parts[:-1]:
            key = (run.salt, part.id)
            if key in self._cache:
                continue
            if key not in source._cache:
                break
            tokens += part.tokens
            self._cache_part(key, part.tokens)
        begins = max(now, self._link_free_at, source._link_free_at)
        ends = begins + tokens / self.shape.link_tokens_per_second
        self._link_free_at = source._link_free_at = ends
        return ends if tokens else now

    def _admit(self, now: float) -> None:
        for run in list(self._waiting):
            if len(self._running) >= self.shape.slots:
                return
            used = sum(other.reserved_tokens for other in self._running)
            exceeds_memory = used + run.reserved_tokens > self.shape.memory_tokens
            if self._running and exceeds_memory:
                return
            if run.fetch_ends_at > now:
                continue
            self._waiting.remove(run)
            if run.is_cancelled:
                continue
            run.unread_tokens = self._count_unread(run)
            self._running.append(run)

    def _count_unread(self, run: Run) -> int:
        """Return how many prompt tokens must be read; cache the shared parts.

        A cached part after one that is not cached is read too, since a prefix cache
        only serves an unbroken prefix.
        """
        unread_tokens = run.prompt.parts[-1].tokens
        has_gap = False
        for part in run.prompt.parts[:-1]:
            key = (run.salt, part.id)
            has_gap = has_gap or key not in self._cache
            if has_gap:
                unread_tokens += part.tokens
                if key in self._ever_read:
                    self.tokens_read_again += part.tokens
                self._ever_read.add(key)
            self._cache_part(key, part.tokens)
        return unread_tokens

    def _cache_part(self, key: tuple[str, str], tokens: int) -> None:
        self._cache[key] = tokens
        self._cache.move_to_end(key)
        used = sum(run.reserved_tokens for run in self._running)
        while self._cache and used + sum(self._cache.values()) > (
            self.shape.memory_tokens
        ):
            self._cache.popitem(last=False)

    def _read_prompts(self) -> float:
        """Read up to one chunk of the prompts; return how long it takes (seconds)."""
        budget = self.shape.chunk_tokens
        for run in self._running:
            read_tokens = min(budget, run.unread_tokens)
            run.unread_tokens -= read_tokens
            budget -= read_tokens
        read = self.shape.chunk_tokens - budget
        self.tokens_read += read
        return read / self.shape.read_tokens_per_second

    def _compute_step_seconds(self) -> float:
        shape = self.shape
        return shape.step_seconds + shape.step_seconds_per_run * len(self._running)

    def _generate_tokens(self, now: float) -> None:
        for run in list(self._running):
            if run.is_cancelled:
                self._running.remove(run)
            elif not run.unread_tokens:
                self._generate_token(run, now)

    def _generate_token(self, run: Run, now: float) -> None:
        if run.first_event_at is None:
            run.first_event_at = run.last_event_at = now
            run.has_begun.set()
        run.tokens_left -= 1
        if run.tokens_left % self.shape.event_tokens == 0:
            assert run.last_event_at is not None
            run.longest_pause = max(run.longest_pause, now - run.last_event_at)
            run.last_event_at = now
        if run.tokens_left <= 0:
            self._running.remove(run)
            run.has_ended.set()

    def _fail_run(self, run: Run) -> None:
        run.has_failed = True
        run.has_begun.set()
        run.has_ended.set()

    def _wake(self) -> None:
        self._wakeup.set()
