"""A time that is learned from measurements, and how far they differ from it."""

from __future__ import annotations

__all__ = ["LearnedTime"]

# The weight of one measurement in the mean: it follows a change within some twenty of
# them, and one that takes 2.5 times as long changes it by 8%.
SMOOTHING = 0.05
# The mean counts each of the first measurements as much as the others.
FIRST_MEASUREMENTS = 20
# The deviation counts as at least this share of the mean: equal times so far don't show
# that none will differ.
MIN_DEVIATION_SHARE = 0.25


class LearnedTime:
    """A mean that follows changes, and the mean deviation from it (seconds).

    The estimates are those of TCP's retransmission timeout (RFC 6298).
    """

    def __init__(self) -> None:
        self.seconds = 0.0
        self._deviation = 0.0
        self._count = 0

    def note(self, seconds: float) -> None:
        """Add a measurement."""
        self._count = min(FIRST_MEASUREMENTS, self._count + 1)
        weight = max(SMOOTHING, 1.0 / self._count)
        difference = seconds - self.seconds
        if self._count == 1:
            # One time alone says little of the others.
            self._deviation = seconds / 2
        else:
            self._deviation += weight * (abs(difference) - self._deviation)
        self.seconds += weight * difference

    @property
    def is_settled(self) -> bool:
        """Whether there are so many measurements that one changes little."""
        return self._count >= FIRST_MEASUREMENTS

    def find_bound(self, deviations: float) -> float:
        """Return the mean and a number of deviations."""
        deviation = max(self._deviation, self.seconds * MIN_DEVIATION_SHARE)
        return self.seconds + deviations * deviation
