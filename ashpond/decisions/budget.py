"""The fleet's budget of repeated sends to a service, as one instance sees it."""

from __future__ import annotations

__all__ = ["AttemptCounts", "FleetRetryBudget"]

from collections import deque
from collections.abc import Container
from typing import NamedTuple

from ashpond.bounds import Number

# What peers sent since they last told is not known yet, and windows slide apart.
SAFETY_FACTOR = 0.75
# Of its part of the slack, what an instance may use just after its start.
INITIAL_SHARE = 0.2


class AttemptCounts(NamedTuple):
    """First and repeated sends within one window."""

    first: Number = 0
    retries: Number = 0

    def add(self, other: AttemptCounts) -> AttemptCounts:
        """Return the sum."""
        return AttemptCounts(self.first + other.first, self.retries + other.retries)

    def subtract(self, other: AttemptCounts) -> AttemptCounts:
        """Return the difference."""
        return AttemptCounts(self.first - other.first, self.retries - other.retries)


class FleetRetryBudget:
    """Repeated sends to one service by all instances, in a sliding window.

    Peers tell their counts; those of one that has gone count for a window more. An
    instance that has just started does not know what its earlier life sent, so its
    own part of the slack grows over its first window.

    :param share: repeats that are allowed, as a share of the requests.
    :param slack: repeats of the whole fleet besides.
    :param window: in seconds.
    :param started_at: when this instance started.

    ``lag`` is how long news of the peers' sends may be on the way (seconds): within
    it, each instance keeps to an even part of what is left.
    """

    def __init__(
        self, share: float, slack: float, window: float, started_at: float = 0.0
    ):
        self.share = share
        self.slack = slack
        self.window = window
        self.lag = 0.0
        self._started_at = started_at
        self._first: deque[float] = deque()
        self._retries: deque[float] = deque()
        self._peers: dict[str, tuple[float, AttemptCounts]] = {}

    def note_first_attempt(self, now: float) -> None:
        """Count a request."""
        self._first.append(now)

    def note_peer(self, peer: str, counts: AttemptCounts, now: float) -> None:
        """Take the counts of one life of a peer."""
        self._peers[peer] = (now, counts)

    def keep_peers(self, peers: Container[str]) -> None:
        """Forget all counts but those of ``peers``, which include what others told."""
        self._peers = {p: reported for p, reported in self._peers.items() if p in peers}

    def count_own(self, now: float) -> AttemptCounts:
        """Return this instance's counts."""
        for times in (self._first, self._retries):
            while times and now - times[0] > self.window:
                times.popleft()
        return AttemptCounts(len(self._first), len(self._retries))

    def take(self, instances: int, now: float) -> bool:
        """Use up one repeat; return whether there was one left."""
        if self.measure_left(instances, now) < 1:
            return False
        self._retries.append(now)
        return True

    def measure_fleet_left(self, now: float) -> float:
        """Return how many repeats all instances together may still send."""
        fleet = self._count_fleet(self.count_own(now), now)
        return self._allow(fleet.first, self.slack) - fleet.retries

    def measure_left(self, instances: int, now: float) -> float:
        """Return how many repeats this instance may still send."""
        own = self.count_own(now)
        fleet_left = self.measure_fleet_left(now)
        if self.lag:
            # All may spend at once what each believes to be left.
            recent = sum(1 for at in self._retries if now - at <= self.lag)
            fleet_left = min(fleet_left, (fleet_left + recent) / instances - recent)
        age = max(0.0, now - self._started_at)
        if age >= self.window and self._peers:
            return fleet_left
        grown = min(1.0, INITIAL_SHARE + age / self.window)
        part = self.slack / max(1, instances) * grown
        return min(fleet_left, self._allow(own.first, part) - own.retries)

    def _allow(self, first: int, slack: float) -> float:
        return (self.share * first + slack) * SAFETY_FACTOR

    def _count_fleet(self, own: AttemptCounts, now: float) -> AttemptCounts:
        total = own
        for peer, (reported_at, counts) in list(self._peers.items()):
            if now - reported_at > self.window:
                del self._peers[peer]
            else:
                total = total.add(counts)
        return total
