"""The retry budget that all instances share for a service."""

from __future__ import annotations

__all__ = ["AttemptCounts", "FleetRetryBudget"]

from collections import deque
from collections.abc import Container
from typing import NamedTuple

from ashpond.bounds import Number

# The share of the budget to use: retries since the peers' last reports are not known
# yet, and the windows of instances do not coincide.
SAFETY_FACTOR = 0.75
# The share of its part of the slack that an instance may use just after its start.
INITIAL_SHARE = 0.2


class AttemptCounts(NamedTuple):
    """The numbers of first attempts and of retries in one window."""

    first: Number = 0
    retries: Number = 0

    def add(self, other: AttemptCounts) -> AttemptCounts:
        """Return the sum."""
        return AttemptCounts(self.first + other.first, self.retries + other.retries)

    def subtract(self, other: AttemptCounts) -> AttemptCounts:
        """Return the difference."""
        return AttemptCounts(self.first - other.first, self.retries - other.retries)


class FleetRetryBudget:
    """Limits the retries of all instances at one service in a sliding window.

    Peers report their counts; those of a peer that has gone count for one more window.
    An instance that has just started does not know how many retries its previous
    incarnation sent, so its part of the slack grows over its first window.

    :param share: the allowed retries as a share of the first attempts.
    :param slack: the additional retries allowed to all instances together.
    :param window: the length of the window (seconds).
    :param started_at: when this instance started.

    ``lag`` is the greatest delay of the peers' reports (seconds): within it, each
    instance uses only an even part of the retries left.
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
        """Count the first attempt of a request."""
        self._first.append(now)

    def note_peer(self, peer: str, counts: AttemptCounts, now: float) -> None:
        """Record the counts of one incarnation of a peer."""
        self._peers[peer] = (now, counts)

    def keep_peers(self, peers: Container[str]) -> None:
        """Remove the counts of all senders but ``peers``.

        A peer's counts may include those that it forwards for other instances.
        """
        self._peers = {p: reported for p, reported in self._peers.items() if p in peers}

    def count_own(self, now: float) -> AttemptCounts:
        """Return this instance's counts."""
        for times in (self._first, self._retries):
            while times and now - times[0] > self.window:
                times.popleft()
        return AttemptCounts(len(self._first), len(self._retries))

    def take(self, instances: int, now: float) -> bool:
        """Use one retry of the budget; return whether one was left."""
        if self.measure_left(instances, now) < 1:
            return False
        self._retries.append(now)
        return True

    def measure_fleet_left(self, now: float) -> float:
        """Return how many retries all instances together may still send."""
        fleet = self._count_fleet(self.count_own(now), now)
        return self._allow(fleet.first, self.slack) - fleet.retries

    def measure_left(self, instances: int, now: float) -> float:
        """Return how many retries this instance may still send."""
        own = self.count_own(now)
        fleet_left = self.measure_fleet_left(now)
        if self.lag:
            # Until reports arrive, all instances may use the same remainder at once.
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
