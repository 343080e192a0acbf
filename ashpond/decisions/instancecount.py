"""Among how many instances a fleet's time is shared out, while some join."""

from __future__ import annotations

__all__ = ["InstanceCount"]

from collections.abc import Iterable

# Those that join count only after this: an instance that is cut off does not know of
# them, and goes on earning as one of fewer (seconds).
JOINING_SECONDS = 30.0


class InstanceCount:
    """The instances that earn time, as one of them knows them.

    What it finds in its own first seconds was there before it. The more there are, the
    less each earns, so that one too many never gives more away.

    :param now: when this instance started.
    """

    def __init__(self, now: float):
        self._started_at = now
        self._seen_at: dict[str, float] = {}

    def update(self, names: Iterable[str], now: float) -> None:
        """Take the instances that there are."""
        self._seen_at = {name: self._seen_at.get(name, now) for name in names}

    def is_counted(self, name: str, now: float) -> bool:
        """Return whether an instance earns time."""
        seen_at = self._seen_at.get(name)
        if seen_at is None:
            return False
        was_present = seen_at - self._started_at < JOINING_SECONDS
        return was_present or now - seen_at >= JOINING_SECONDS

    def compute_share(self, now: float) -> float:
        """Return the part of the fleet's time that each of them earns."""
        count = sum(1 for name in self._seen_at if self.is_counted(name, now))
        return 1.0 / max(1, count)
