"""What a coordinator learns of its servers beyond its own grants.

Answers the loads of requests that were placed without the coordinator, and of servers
that take fewer requests than their rows say.
"""

from __future__ import annotations

__all__ = ["SAMPLE_SECONDS", "ExcessLoads", "RecentLoads", "SeenCapacities"]

import math
from collections import deque
from collections.abc import Container, Mapping
from typing import NamedTuple

from ashpond.decisions.loads import NO_LOAD, Load

# How often the loads that peers report are compared with the ledger (seconds). Peers
# report them every 0.12 to 0.6 s.
SAMPLE_SECONDS = 0.1
# The time constant of the smoothing (seconds). Reports are up to 1.2 s late, so that a
# single difference is mostly one of time.
SMOOTHING_SECONDS = 2.0
# The age of the loads that peers report, at most (seconds).
REPORT_LAG_SECONDS = 1.5
# After a longer pause the smoothing starts again (seconds). A new coordinator receives
# what is in flight from one instance after another, and would count all of it twice.
MAX_GAP_SECONDS = 2.0
# A server that rejected a request with free slots gets no other for this (seconds).
REJECTED_PAUSE_SECONDS = 0.15
# The time in which the limit of such a server doubles, and after which it is forgotten
# (seconds).
DOUBLING_SECONDS = 1.0
MAX_SEEN_SECONDS = 5.0
# How long a server that queues nothing gets no more than it has taken (seconds). After
# that, one request finds out whether it does now.
FULL_SECONDS = 10.0


class ExcessLoads:
    """The loads of servers by requests that are not in the ledger, smoothed."""

    def __init__(self) -> None:
        self._sampled_at = -math.inf
        self._smoothed: dict[str, list[float]] = {}
        self._loads: dict[str, Load] = {}

    def is_due(self, now: float) -> bool:
        """Return whether the loads should be compared again."""
        return now - self._sampled_at >= SAMPLE_SECONDS

    def sample(self, differences: Mapping[str, Load], now: float) -> None:
        """Add a comparison.

        :param differences: by start, the reported load less the load in the ledger.
        """
        passed = now - self._sampled_at
        self._sampled_at = now
        if passed > MAX_GAP_SECONDS:
            self._smoothed = {}
            self._loads = {}
            return
        weight = 1 - math.exp(-passed / SMOOTHING_SECONDS)
        smoothed = {}
        for start_id, difference in differences.items():
            values = self._smoothed.get(start_id, [0.0] * len(difference))
            smoothed[start_id] = [
                value + weight * (number - value)
                for value, number in zip(values, difference, strict=True)
            ]
        self._smoothed = smoothed
        loads = {
            start_id: Load(*(max(0, round(value)) for value in values))
            for start_id, values in smoothed.items()
        }
        self._loads = {key: load for key, load in loads.items() if load != NO_LOAD}

    def get(self, start_id: str) -> Load:
        """Return the load beyond the ledger at a start of a server."""
        return self._loads.get(start_id, NO_LOAD)


class RecentLoads:
    """The greatest loads that the ledger had of servers in the last seconds.

    What peers report is up to ``REPORT_LAG_SECONDS`` old. Compared with the present
    load, requests that have just ended would count as placed by others.
    """

    def __init__(self) -> None:
        self._samples: dict[str, deque[tuple[float, Load]]] = {}

    def note(self, start_id: str, load: Load, now: float) -> None:
        """Record the present load of a start of a server."""
        samples = self._samples.setdefault(start_id, deque())
        samples.append((now, load))
        while samples[0][0] < now - REPORT_LAG_SECONDS:
            samples.popleft()

    def get_greatest(self, start_id: str) -> Load:
        """Return the greatest of each number, over all recorded loads."""
        samples = self._samples.get(start_id)
        if not samples:
            return NO_LOAD
        return Load(*map(max, zip(*(load for _, load in samples), strict=True)))

    def retain(self, start_ids: Container[str]) -> None:
        """Forget all other starts."""
        self._samples = {s: v for s, v in self._samples.items() if s in start_ids}


class _Seen(NamedTuple):
    """A rejection at a time with a number of requests in flight."""

    at: float
    in_flight: int
    has_no_queue: bool


class SeenCapacities:
    """How many requests servers took at once when they rejected one more.

    A server that rejects with all slots taken queues no more than that, and gets no
    more for some time. One that rejects with free slots does so for another reason,
    such as weights that load: it is paused, and its limit grows fast.
    """

    def __init__(self) -> None:
        self._seen: dict[str, _Seen] = {}

    @property
    def is_any_known(self) -> bool:
        """Whether the capacity of any server was seen lately."""
        return bool(self._seen)

    def note_rejected(
        self, start_id: str, in_flight: int, slots: int, now: float
    ) -> None:
        """Record that a server rejected a request.

        :param in_flight: the number of its other requests when that one was placed.
        """
        self.expire(now)
        count = max(1, in_flight)
        limit = self.get_limit(start_id, now)
        if limit is not None:
            # Requests that were sent before it was full are rejected one by one.
            count = min(count, int(limit))
        self._seen[start_id] = _Seen(now, count, count >= slots)

    def get_limit(self, start_id: str, now: float) -> float | None:
        """Return how many requests a server takes at once, None if that is unknown."""
        seen = self._seen.get(start_id)
        if seen is None or self._is_old(seen, now):
            return None
        if seen.has_no_queue:
            return seen.in_flight
        return seen.in_flight * 2 ** ((now - seen.at) / DOUBLING_SECONDS)

    def may_take(self, start_id: str, in_flight: int, now: float) -> bool:
        """Return whether a server may get one more request."""
        seen = self._seen.get(start_id)
        if seen is None:
            return True
        if not seen.has_no_queue and now - seen.at < REJECTED_PAUSE_SECONDS:
            return False
        limit = self.get_limit(start_id, now)
        return limit is None or in_flight < limit

    def expire(self, now: float) -> None:
        """Forget old capacities."""
        self._seen = {
            key: seen for key, seen in self._seen.items() if not self._is_old(seen, now)
        }

    @staticmethod
    def _is_old(seen: _Seen, now: float) -> bool:
        kept = FULL_SECONDS if seen.has_no_queue else MAX_SEEN_SECONDS
        return now - seen.at > kept
