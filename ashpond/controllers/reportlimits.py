"""Limits of the reports that an instance sends to its peers."""

from __future__ import annotations

__all__ = ["ReportLimit"]

# Reports are counted in intervals of this length (seconds).
INTERVAL_SECONDS = 1.0


class ReportLimit:
    """Limits the reports of one kind in each interval.

    :param most: the most reports in an interval.
    """

    def __init__(self, most: int):
        self._most = most
        self._count = 0
        self._since = float("-inf")

    def take(self, now: float) -> bool:
        """Count a report; return whether it is within the limit."""
        if now - self._since >= INTERVAL_SECONDS:
            self._since = now
            self._count = 0
        self._count += 1
        return self._count <= self._most
