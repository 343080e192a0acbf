"""Detection of event loop stalls, a cause of late or lost answers."""

from __future__ import annotations

__all__ = ["LoopDelay", "LoopWatch"]

from contextlib import contextmanager
from typing import TYPE_CHECKING, NamedTuple

import trio

if TYPE_CHECKING:
    from collections.abc import Callable, Iterator

# A step of the event loop takes a few ms. A stall of this length (seconds) delays all
# callers of the instance noticeably.
MIN_STALL_SECONDS = 0.025


class LoopDelay(NamedTuple):
    """A stall: its end on the runtime's clock and its length, both in seconds."""

    ended_at: float
    seconds: float


class LoopWatch(trio.abc.Instrument):
    """Measures the length of each event loop step and how late each wait ends.

    A long step and a process that gets no CPU time have the same effect: all requests
    and timers that became ready meanwhile are handled together in the next step.

    :param note: is called with each stall of at least :data:`MIN_STALL_SECONDS`.
    """

    def __init__(
        self,
        note: Callable[[LoopDelay], None] = lambda delay: None,
        clock: Callable[[], float] = trio.current_time,
    ):
        self.last: LoopDelay | None = None
        self.note = note
        self._clock = clock
        self._timeouts: set[trio.CancelScope] = set()
        self._step_began_at: float | None = None
        self._wait_ends_at: float | None = None

    def start(self) -> None:
        """Watch the event loop of the current task until the loop ends."""
        trio.lowlevel.add_instrument(self)

    @contextmanager
    def move_on_after(self, seconds: float) -> Iterator[trio.CancelScope]:
        """Limit a wait for others to a time in which this event loop runs.

        What arrives during a stall is read after it, so that a wait ends only once the
        loop has had the time to read it.
        """
        with trio.move_on_after(seconds) as timeout:
            self._timeouts.add(timeout)
            try:
                yield timeout
            finally:
                self._timeouts.discard(timeout)

    def describe(self) -> list[float] | None:
        """Return length and age of the last stall, in seconds, for a log line."""
        if self.last is None:
            return None
        age = self._clock() - self.last.ended_at
        return [round(self.last.seconds, 3), round(age, 3)]

    def before_io_wait(self, timeout: float) -> None:
        """Record the end of a step and the time at which the wait has to end."""
        now = self._clock()
        self._wait_ends_at = now + timeout
        if self._step_began_at is not None:
            self._record_stall(now, now - self._step_began_at)

    def after_io_wait(self, timeout: float) -> None:
        """Record the end of a wait, which is the start of a step."""
        now = self._clock()
        self._step_began_at = now
        if self._wait_ends_at is not None:
            self._record_stall(now, now - self._wait_ends_at)

    def _record_stall(self, now: float, seconds: float) -> None:
        if seconds >= MIN_STALL_SECONDS:
            self.last = LoopDelay(now, seconds)
            for timeout in self._timeouts:
                timeout.deadline += seconds
            self.note(self.last)
