"""An estimate of the retries that all instances may still send to a service.

The estimate is as good as the reports of the peers. What may really be sent is decided
by :mod:`ashpond.decisions.retryrights`.
"""

from __future__ import annotations

__all__ = ["AttemptCounts", "BudgetEstimate"]

from collections.abc import Container
from typing import NamedTuple

from ashpond.bounds import Number

# The share of the budget that the estimate counts on: retries since the peers' last
# reports are not known yet.
COUNTED_SHARE = 0.75


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


class BudgetEstimate:
    """The counts that peers have reported, and what they leave of the budget.

    Peers report their counts; those of a peer that has gone count for one more window.
    """

    def __init__(self) -> None:
        self._peers: dict[str, tuple[float, AttemptCounts]] = {}

    def note_peer(self, peer: str, counts: AttemptCounts, now: float) -> None:
        """Record the counts of one incarnation of a peer."""
        self._peers[peer] = (now, counts)

    def keep_peers(self, peers: Container[str]) -> None:
        """Remove the counts of all senders but ``peers``.

        A peer's counts may include those that it forwards for other instances.
        """
        self._peers = {p: reported for p, reported in self._peers.items() if p in peers}

    def has_reports(self, window: float, now: float) -> bool:
        """Return whether any peer has reported in the window."""
        return any(now - at <= window for at, _ in self._peers.values())

    def measure_left(
        self, own: AttemptCounts, share: float, slack: float, window: float, now: float
    ) -> float:
        """Return how many retries all instances together may still send.

        :param own: the counts of this instance.
        :param share: the allowed retries as a share of the first attempts.
        :param slack: the additional retries allowed to all instances together.
        :param window: the length of the window (seconds).
        """
        fleet = own
        for peer, (reported_at, counts) in list(self._peers.items()):
            if now - reported_at > window:
                del self._peers[peer]
            else:
                fleet = fleet.add(counts)
        return (share * fleet.first + slack) * COUNTED_SHARE - fleet.retries
