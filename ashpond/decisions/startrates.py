"""Measure how much work a pool of servers starts and how much arrives.

Both are in server seconds a second: the number of servers that the work keeps busy. The
load is bursts of 2.5 times the capacity, in which waits must be known at once.
"""

from __future__ import annotations

__all__ = ["ArrivalRate", "StartRate", "compute_fair_share"]

import math
from collections import deque
from collections.abc import Iterable

# The rate is that of the last 64 starts; engines start a dozen requests at once.
MAX_SAMPLES = 64
# Older starts count only if there are fewer than MIN_SAMPLES newer ones.
SAMPLE_SECONDS = 3.0
MIN_SAMPLES = 8
# The guess counts as a measurement of this length, less what has been measured since
# the beginning (seconds). When a pool is filled at once, nothing starts for the time
# of an answer: the rate was 1.3 instead of 6 servers then, and requests were refused.
GUESS_SECONDS = 0.5
# The time constant of arrival rates: a burst of 2.5 times the capacity exceeds it
# after 0.15 s.
ARRIVAL_SECONDS = 0.5
# The rate is at least this share of what the servers should work. Otherwise a short
# stop, as when engines load weights, leads to refusals, fewer starts and a lower rate
# in turn: seven engines that read nothing were taken for a quarter of one.
MIN_EXPECTED_SHARE = 0.5


class StartRate:
    """The capacity of a pool: the rate of starts while requests wait."""

    def __init__(self) -> None:
        # Of each start: when it was, the interval before it, and its cost.
        self._times: deque[float] = deque(maxlen=MAX_SAMPLES)
        self._intervals: deque[float] = deque(maxlen=MAX_SAMPLES)
        self._costs: deque[float] = deque(maxlen=MAX_SAMPLES)
        # The last start, or when requests began to wait, if that is later.
        self._since: float | None = None
        self._guess = 0.0
        self._cost = 0.0
        self._seconds = 0.0
        self._longest = 0.0
        self._expected = 0.0
        self._measured = 0.0

    def note_waiting(self, guess: float, now: float) -> None:
        """Record that requests wait.

        :param guess: the rate to assume until it is measured.
        """
        if self._since is None:
            self._since = now
            self._guess = guess

    def note_empty(self) -> None:
        """Record that no request waits, so that intervals show no capacity."""
        self._since = None

    def note_start(self, cost: float, now: float) -> None:
        """Record a start."""
        if self._since is None:
            return
        self._times.append(now)
        self._intervals.append(now - self._since)
        self._costs.append(cost)
        self._measured += now - self._since
        self._since = now
        oldest = now - SAMPLE_SECONDS
        while len(self._times) > MIN_SAMPLES and self._times[0] < oldest:
            for samples in (self._times, self._intervals, self._costs):
                samples.popleft()
        ordered = sorted(self._intervals)
        # A single long interval counts no more than the next one.
        self._longest = ordered[-2] if len(ordered) > 1 else ordered[-1]
        self._seconds = sum(ordered) - ordered[-1] + self._longest
        self._cost = sum(self._costs)

    def note_servers(self, expected: float) -> None:
        """Record the server seconds a second that the servers should work."""
        self._expected = expected

    def get_rate(self, now: float) -> float:
        """Return the server seconds that are started a second, 0 if unknown."""
        return max(self._measure(now), self._expected * MIN_EXPECTED_SHARE)

    def _measure(self, now: float) -> float:
        if len(self._times) < MIN_SAMPLES or not self._seconds:
            return self._guess
        seconds = self._seconds
        if self._since is not None:
            # If nothing starts any more, the rate falls.
            seconds += max(0.0, now - self._since - self._longest)
        guessed = max(0.0, GUESS_SECONDS - self._measured)
        return (self._cost + self._guess * guessed) / (seconds + guessed)


class ArrivalRate:
    """The work that arrives, as an exponentially weighted mean."""

    def __init__(self) -> None:
        self._cost = 0.0
        self._at = 0.0

    def note(self, cost: float, now: float) -> None:
        """Record an arrival."""
        self._cost = self._decay(now) + cost
        self._at = now

    def get_rate(self, now: float) -> float:
        """Return the server seconds that arrive a second."""
        return self._decay(now) / ARRIVAL_SECONDS

    def _decay(self, now: float) -> float:
        return self._cost * math.exp(-max(0.0, now - self._at) / ARRIVAL_SECONDS)


def compute_fair_share(
    capacity: float, weight: float, others: Iterable[tuple[float, float]]
) -> float:
    """Return the max-min fair share of one that could use all of the capacity.

    :param others: demand and weight of each of the others.
    """
    left, total_weight = capacity, weight
    demands = sorted(others, key=lambda other: other[0] / other[1])
    total_weight += sum(other[1] for other in demands)
    for demand, other_weight in demands:
        if demand * total_weight >= left * other_weight:
            break
        left -= demand
        total_weight -= other_weight
    return left * min(1.0, weight / total_weight)
