"""How much of its time each engine has spent lately on reading prompts.

The load is prompts that keep an engine reading: each chunk of 4,096 tokens then makes
only one token of every running answer, and an answer of 52 tokens took 5.9 s.
"""

from __future__ import annotations

__all__ = ["RecentReading"]

from collections import deque
from typing import NamedTuple

from ashpond.decisions.partreading import ReadingTime
from ashpond.decisions.speeds import SHORT_TOKENS

# Longer pauses than this between the events of a stream count as this (seconds).
MAX_WINDOW_SECONDS = 2.0


class _Read(NamedTuple):
    """A prompt that was read: when its first event came, and how long it took."""

    at: float
    seconds: float


class RecentReading:
    """The time that engines have read prompts for in the last seconds.

    It is as measured. With the tokens read and the learned speed instead, engines that
    had been slow for a moment stood idle while a fifth of the requests were refused.
    """

    def __init__(self) -> None:
        self._reads: dict[str, deque[_Read]] = {}

    def note_read(
        self,
        start_id: str,
        tokens: int,
        time: ReadingTime | None,
        rate: float,
        now: float,
    ) -> None:
        """Record that a start of an engine has read a prompt.

        :param time: how long that took, None if unknown.
        :param rate: the speed that the time of short prompts, whose first events mostly
            wait for something else, is estimated by (tokens per second).
        """
        if not tokens:
            return
        is_measured = time is not None and tokens >= SHORT_TOKENS
        seconds = time.seconds if time and is_measured else tokens / rate
        reads = self._reads.setdefault(start_id, deque())
        reads.append(_Read(now, seconds))
        _drop_old(reads, now)

    def sum_seconds(self, start_id: str, window: float, now: float) -> float:
        """Return how much of the last ``window`` an engine read for (seconds)."""
        reads = self._reads.get(start_id)
        if not reads:
            return 0.0
        _drop_old(reads, now)
        since = now - window
        return sum(min(r.seconds, r.at - since) for r in reads if r.at > since)

    def forget(self, start_id: str) -> None:
        """Remove a start that is gone."""
        self._reads.pop(start_id, None)


def _drop_old(reads: deque[_Read], now: float) -> None:
    while reads and reads[0].at < now - MAX_WINDOW_SECONDS:
        reads.popleft()
