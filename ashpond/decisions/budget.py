"""The fleet's budget of repeated sends to a service, as one instance sees it."""

from __future__ import annotations

__all__ = ["SendBudget", "SendCounts"]

from collections import deque
from collections.abc import Container
from typing import NamedTuple

from ashpond.bounds import Number

# What peers sent since they last told is not known yet, and windows slide apart.
SAFETY = 0.75
# Of its part of the slack, what an instance may use just after its start.
FIRST_SHARE = 0.2


class SendCounts(NamedTuple):
    """First and repeated sends within one window."""

    fresh: Number = 0
    repeats: Number = 0

    def add(self, other: SendCounts) -> SendCounts:
        """Return the sum."""
        return SendCounts(self.fresh + other.fresh, self.repeats + other.repeats)

    def subtract(self, other: SendCounts) -> SendCounts:
        """Return the difference."""
        return SendCounts(self.fresh - other.fresh, self.repeats - other.repeats)


class SendBudget:
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
        self._fresh: deque[float] = deque()
        self._repeats: deque[float] = deque()
        self._peers: dict[str, tuple[float, SendCounts]] = {}

    def note_fresh(self, now: float) -> None:
        """Count a request."""
        self._fresh.append(now)

    def note_peer(self, peer: str, counts: SendCounts, now: float) -> None:
        """Take the counts of one life of a peer."""
        self._peers[peer] = (now, counts)

    def keep_peers(self, peers: Container[str]) -> None:
        """Forget all counts but those of ``peers``, which include what others told."""
        self._peers = {p: told for p, told in self._peers.items() if p in peers}

    def count_own(self, now: float) -> SendCounts:
        """Return this instance's counts."""
        for times in (self._fresh, self._repeats):
            while times and now - times[0] > self.window:
                times.popleft()
        return SendCounts(len(self._fresh), len(self._repeats))

    def take(self, instances: int, now: float) -> bool:
        """Use up one repeat; return whether there was one left."""
        if self.measure_left(instances, now) < 1:
            return False
        self._repeats.append(now)
        return True

    def measure_fleet_left(self, now: float) -> float:
        """Return how many repeats all instances together may still send."""
        fleet = self._count_fleet(self.count_own(now), now)
        return self._allow(fleet.fresh, self.slack) - fleet.repeats

    def measure_left(self, instances: int, now: float) -> float:
        """Return how many repeats this instance may still send."""
        own = self.count_own(now)
        fleet_left = self.measure_fleet_left(now)
        if self.lag:
            # All may spend at once what each believes to be left.
            spent = sum(1 for at in self._repeats if now - at <= self.lag)
            fleet_left = min(fleet_left, (fleet_left + spent) / instances - spent)
        age = max(0.0, now - self._started_at)
        if age >= self.window and self._peers:
            return fleet_left
        grown = min(1.0, FIRST_SHARE + age / self.window)
        part = self.slack / max(1, instances) * grown
        return min(fleet_left, self._allow(own.fresh, part) - own.repeats)

    def _allow(self, fresh: int, slack: float) -> float:
        return (self.share * fresh + slack) * SAFETY

    def _count_fleet(self, own: SendCounts, now: float) -> SendCounts:
        total = own
        for peer, (told_at, counts) in list(self._peers.items()):
            if now - told_at > self.window:
                del self._peers[peer]
            else:
                total = total.add(counts)
        return total
