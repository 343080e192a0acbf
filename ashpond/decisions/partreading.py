"""What engines are reading: shared prompt parts, and the time that each prompt takes.

Answers the load of many requests for the same parts within the time that it takes to
read them once, and of engines of different and changing speeds.
"""

from __future__ import annotations

__all__ = ["PartsBeingRead", "ReadingOrder", "ReadingTime"]

import math
from collections import deque
from typing import NamedTuple

from ashpond.decisions.placementledger import GrantKey
from ashpond.decisions.prompts import Prompt

# A prompt that came to its engine this long before the previous first event there was
# queued (seconds): the way to an engine takes less.
QUEUED_SECONDS = 0.03
# Engines read prompts in chunks of up to this many tokens; all prompts that end in one
# have their first events at its end.
CHUNK_TOKENS = 4_096
# The time from a grant to the first event besides the reading, at most (seconds).
START_SECONDS = 0.1


class PartsBeingRead:
    """The shared parts that engines read for requests without a first event."""

    def __init__(self) -> None:
        self._readers: dict[tuple[str, str], dict[str, int]] = {}

    def add(self, start_id: str, salt: str, prompt: Prompt) -> None:
        """Record that a start of an engine begins to read a prompt."""
        for part in prompt.parts[:-1]:
            readers = self._readers.setdefault((salt, part.id), {})
            readers[start_id] = readers.get(start_id, 0) + 1

    def remove(self, start_id: str, salt: str, prompt: Prompt) -> None:
        """Record that a request is over, or that its prompt is read."""
        for part in prompt.parts[:-1]:
            readers = self._readers.get((salt, part.id), {})
            count = readers.pop(start_id, 0)
            if count > 1:
                readers[start_id] = count - 1
            if not readers:
                self._readers.pop((salt, part.id), None)

    def count_tokens(self, salt: str, prompt: Prompt) -> dict[str, int]:
        """Return how many leading tokens of a prompt each start of an engine reads."""
        tokens_by_start: dict[str, int] = {}
        tokens = 0
        for part in prompt.parts[:-1]:
            readers = self._readers.get((salt, part.id), {})
            continuing = [s for s in readers if tokens_by_start.get(s, 0) == tokens]
            if not continuing:
                break
            tokens += part.tokens
            tokens_by_start.update(dict.fromkeys(continuing, tokens))
        return tokens_by_start


class ReadingTime(NamedTuple):
    """The prompt tokens that an engine has read, and how long that took (seconds).

    ``was_queued`` means that the prompt waited for the reading of another one. If not,
    the way to the engine and the start of the answer are part of the time.
    """

    tokens: int
    seconds: float
    was_queued: bool


class _Reading(NamedTuple):
    key: GrantKey
    tokens: int
    began_at: float | None


class ReadingOrder:
    """The prompts that engines have still to read, the next one first.

    An engine reads prompts in the order in which it gets them. From the later of a
    grant and the previous first event to its own first event, it reads that prompt
    only.
    """

    def __init__(self) -> None:
        self._unread: dict[str, deque[_Reading]] = {}
        self._read_at: dict[str, float] = {}

    def add(
        self, start_id: str, key: GrantKey, tokens: int, began_at: float | None
    ) -> None:
        """Append a prompt; ``began_at`` is None if the time of its grant is unknown."""
        reading = _Reading(key, tokens, began_at)
        self._unread.setdefault(start_id, deque()).append(reading)

    def finish(self, start_id: str, key: GrantKey, now: float) -> ReadingTime | None:
        """Remove a prompt at its first event; return the time it took, if known.

        After a first event out of order, the time of the prompts before is unknown.
        """
        queue = self._unread.get(start_id, ())
        position = next((n for n, r in enumerate(queue) if r.key == key), None)
        previous = self._read_at.get(start_id, float("-inf"))
        if position is None:
            return None
        reading = self._take(start_id, position)
        self._read_at[start_id] = now
        if position:
            self._forget_times(start_id, position)
            return None
        if reading.began_at is None or not reading.tokens:
            return None
        was_queued = previous >= reading.began_at + QUEUED_SECONDS
        seconds = now - max(reading.began_at, previous)
        if seconds <= 0:
            return None
        return ReadingTime(reading.tokens, seconds, was_queued)

    def limit_rate(self, start_id: str, now: float) -> float:
        """Return how many tokens a second an engine reads at most, by what it has done.

        Infinite unless the first event that is due next is late.
        """
        queue = self._unread.get(start_id)
        if not queue or queue[0].began_at is None:
            return math.inf
        reading = queue[0]
        since = max(queue[0].began_at, self._read_at.get(start_id, -math.inf))
        late_seconds = now - since - START_SECONDS
        if late_seconds <= 0:
            return math.inf
        return max(reading.tokens, CHUNK_TOKENS) / late_seconds

    def remove(self, start_id: str, key: GrantKey, *, was_sent: bool) -> None:
        """Remove a prompt without a first event.

        :param was_sent: whether the engine may have read some of it.
        """
        queue = self._unread.get(start_id, ())
        position = next((n for n, r in enumerate(queue) if r.key == key), None)
        if position is None:
            return
        self._take(start_id, position)
        if was_sent:
            self._forget_times(start_id, len(queue))

    def forget(self, start_id: str) -> None:
        """Remove all of a start that is gone."""
        self._unread.pop(start_id, None)
        self._read_at.pop(start_id, None)

    def _take(self, start_id: str, position: int) -> _Reading:
        queue = self._unread[start_id]
        reading = queue[position]
        del queue[position]
        if not queue:
            del self._unread[start_id]
        return reading

    def _forget_times(self, start_id: str, count: int) -> None:
        queue = self._unread.get(start_id, deque())
        for number in range(min(count, len(queue))):
            queue[number] = queue[number]._replace(began_at=None)
