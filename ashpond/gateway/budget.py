"""The share of repeated sends that each instance may use of the fleet's budget."""

from __future__ import annotations

__all__ = ["SendBudget"]

from collections import deque

# Instances count their windows apart from one another and from the judge.
SAFETY = 0.75


class SendBudget:
    """Repeated sends to one service, in a sliding window.

    :param share: of this instance's requests in the window.
    :param slack: of the whole fleet besides; an instance has an equal part.
    """

    def __init__(self, share: float, slack: float, window: float):
        self.share = share
        self.slack = slack
        self.window = window
        self._fresh: deque[float] = deque()
        self._repeats: deque[float] = deque()

    def note_fresh(self, now: float) -> None:
        """Count a request."""
        self._fresh.append(now)

    def take(self, instances: int, now: float) -> bool:
        """Use up one repeat; return whether there was one left."""
        if self.measure_left(instances, now) < 1:
            return False
        self._repeats.append(now)
        return True

    def measure_left(self, instances: int, now: float) -> float:
        """Return how many repeats this instance may still send in the window."""
        self._expire(now)
        allowed = self.share * len(self._fresh) + self.slack / max(1, instances)
        return allowed * SAFETY - len(self._repeats)

    def _expire(self, now: float) -> None:
        for times in (self._fresh, self._repeats):
            while times and now - times[0] > self.window:
                times.popleft()
