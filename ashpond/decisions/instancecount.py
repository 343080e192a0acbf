"""Count the instances that a fleet's time is divided among while instances join."""

from __future__ import annotations

__all__ = ["InstanceCount"]

from collections.abc import Callable, Iterable

# An instance that joins is counted only after this time. Until then an instance that
# is cut off may not know of it, and accrues a larger share of the time (seconds).
JOINING_SECONDS = 30.0


class InstanceCount:
    """The instances that accrue time, as known to one of them.

    An instance that is seen within :data:`JOINING_SECONDS` of this one's start is
    taken to have been there before. The share of each falls with their number, so
    counting one too many never exceeds a limit.

    :param now: when this instance started.
    :param may_lack_members: returns whether there may be more instances than the known
        ones. Meanwhile no time is accrued, as each coordinator would grant too much.
    """

    def __init__(
        self, now: float, may_lack_members: Callable[[], bool] = lambda: False
    ):
        self._started_at = now
        self._may_lack_members = may_lack_members
        self._seen_at: dict[str, float] = {}
        # How many are counted, until one more is.
        self._count = 0
        self._counted_until = float("-inf")

    def update(self, names: Iterable[str], now: float) -> None:
        """Replace the set of present instances."""
        self._seen_at = {name: self._seen_at.get(name, now) for name in names}
        self._counted_until = float("-inf")

    def is_counted(self, name: str, now: float) -> bool:
        """Return whether an instance accrues time."""
        seen_at = self._seen_at.get(name)
        if seen_at is None:
            return False
        was_present = seen_at - self._started_at < JOINING_SECONDS
        return was_present or now - seen_at >= JOINING_SECONDS

    def compute_share(self, now: float) -> float:
        """Return the share of the fleet's time that each instance accrues."""
        if self._may_lack_members():
            return 0.0
        if now >= self._counted_until:
            self._count_instances(now)
        return 1.0 / max(1, self._count)

    def _count_instances(self, now: float) -> None:
        joining = [
            seen_at
            for name, seen_at in self._seen_at.items()
            if not self.is_counted(name, now)
        ]
        self._count = len(self._seen_at) - len(joining)
        self._counted_until = min(joining, default=float("inf")) + JOINING_SECONDS
