"""What an instance knows of the declared state, and how old that knowledge is."""

from __future__ import annotations

__all__ = ["Knowledge"]

from typing import NamedTuple

from ashpond.decisions.declared import Declaration, WeightTarget

# Requests on older weights count for less from 1.5 s after a target's acceptance.
STALE_AFTER_SECONDS = 1.2
# An instance learns of a target up to so long after its acceptance; longer ones are
# times without the store, which do not count against the bound.
LATE_SECONDS = 3.0


class _Naming(NamedTuple):
    """A version, when this instance learned of it, and the earliest it was accepted."""

    version: int
    learned_at: float
    earliest: float


class Knowledge:
    """The configuration in force and the weight targets.

    ``confirmed_at`` is on this process's clock: the store held nothing newer then.
    """

    def __init__(self) -> None:
        self.declaration: Declaration | None = None
        self.targets: dict[str, int] = {}
        self.confirmed_at = float("-inf")
        self._target_times: dict[str, list[_Naming]] = {}

    def adopt(self, declaration: Declaration) -> bool:
        """Take over a configuration unless it is older; return whether it is new."""
        current = self.declaration
        if current is not None and declaration.version <= current.version:
            return False
        self.declaration = declaration
        return True

    def adopt_target(self, target: WeightTarget, now: float) -> bool:
        """Take over a weight target; return whether it is new."""
        if target.version <= self.targets.get(target.model, 0):
            return False
        self.targets[target.model] = target.version
        times = self._target_times.setdefault(target.model, [])
        # It was not there as of the last confirmation; at the start nothing is known.
        earliest = max(self.confirmed_at, now - LATE_SECONDS)
        if self.declaration is None:
            earliest = now
        times.append(_Naming(target.version, now, earliest))
        del times[:-8]
        return True

    def confirm(self, at: float) -> None:
        """Note that nothing newer was accepted before ``at``."""
        self.confirmed_at = max(self.confirmed_at, at)

    def measure_age(self, now: float) -> float:
        """Return the seconds for which something newer may have been accepted."""
        return now - self.confirmed_at

    def find_wanted_version(self, model: str, now: float) -> int:
        """Return the version on which requests count in full at ``now``."""
        found = 0
        for naming in self._target_times.get(model, ()):
            if naming.learned_at <= now - STALE_AFTER_SECONDS:
                found = naming.version
        return found

    def find_version_named(self, model: str, until: float) -> int:
        """Return the newest version that may have been named by ``until``."""
        found = 0
        for naming in self._target_times.get(model, ()):
            if naming.earliest <= until:
                found = naming.version
        return found
