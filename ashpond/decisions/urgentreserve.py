"""Size the capacity that is kept free for urgent requests.

The load is less urgent work of twice the capacity, which would occupy every slot when
an urgent request comes.
"""

from __future__ import annotations

__all__ = ["UrgentReserve"]

import heapq
import math
from collections import deque

WINDOW_SECONDS = 2.0
# The work in flight is recorded at most this often.
SAMPLE_SECONDS = 0.02
# At most this share of the capacity is kept free, beyond what is in use.
MAX_SHARE = 0.2
DEVIATIONS = 2.0


class UrgentReserve:
    """The urgent work in flight in the last seconds.

    ``in_flight`` is the number of servers that it keeps busy by its estimated cost.
    """

    def __init__(self) -> None:
        self._ends: list[tuple[float, float]] = []
        self.in_flight = 0.0
        self._samples: deque[tuple[float, float]] = deque()
        self._needed = 0.0

    def note_started(self, cost: float, service_seconds: float, now: float) -> None:
        """Record the start of an urgent request."""
        if service_seconds <= 0.0:
            return
        self._expire(now)
        used = cost / service_seconds
        heapq.heappush(self._ends, (now + service_seconds, used))
        self.in_flight += used
        self._sample(now)

    def compute_share(self, capacity: float, now: float) -> float:
        """Return the share of the capacity to keep free, beyond what is in use.

        :param capacity: the servers of the pool.
        """
        self._expire(now)
        if not self._samples or capacity <= 0.0:
            return 0.0
        self._sample(now)
        free = self._needed - self.in_flight
        return min(MAX_SHARE, max(0.0, free) / capacity)

    def _sample(self, now: float) -> None:
        """Record the work in flight, and compute what is needed from all records."""
        if self._samples and now - self._samples[-1][0] < SAMPLE_SECONDS:
            return
        self._samples.append((now, self.in_flight))
        values = [value for _, value in self._samples]
        mean = sum(values) / len(values)
        variance = sum([value * value for value in values]) / len(values) - mean**2
        self._needed = mean + DEVIATIONS * math.sqrt(max(0.0, variance))

    def _expire(self, now: float) -> None:
        while self._ends and self._ends[0][0] <= now:
            self.in_flight -= heapq.heappop(self._ends)[1]
        if not self._ends:
            self.in_flight = 0.0
        while self._samples and self._samples[0][0] < now - WINDOW_SECONDS:
            self._samples.popleft()
