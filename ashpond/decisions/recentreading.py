"""What each engine has read lately: how much of its time goes into reading prompts.

The load is prompts that keep an engine reading: each chunk of 4,096 tokens then makes
only one token of every running answer, and an answer of 52 tokens took 5.9 s.
"""

from __future__ import annotations

__all__ = ["RecentReading"]

from collections import deque
from typing import NamedTuple

# Longer pauses than this between the events of a stream count as this (seconds).
MAX_WINDOW_SECONDS = 2.0


class _Read(NamedTuple):
    at: float
    tokens: int


class RecentReading:
    """The prompt tokens that engines have read in the last seconds."""

    def __init__(self) -> None:
        self._reads: dict[str, deque[_Read]] = {}

    def note_read(self, start_id: str, tokens: int, now: float) -> None:
        """Record that a start of an engine has read prompt tokens until now."""
        if tokens:
            reads = self._reads.setdefault(start_id, deque())
            reads.append(_Read(now, tokens))
            _drop_old(reads, now)

    def sum_tokens(self, start_id: str, seconds: float, now: float) -> int:
        """Return the tokens that an engine has read in the last ``seconds``."""
        reads = self._reads.get(start_id)
        if not reads:
            return 0
        _drop_old(reads, now)
        since = now - seconds
        return sum(read.tokens for read in reads if read.at >= since)

    def forget(self, start_id: str) -> None:
        """Remove a start that is gone."""
        self._reads.pop(start_id, None)


def _drop_old(reads: deque[_Read], now: float) -> None:
    while reads and reads[0].at < now - MAX_WINDOW_SECONDS:
        reads.popleft()
