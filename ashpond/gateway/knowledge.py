"""What an instance knows of the declared state, and how old that knowledge is."""

from __future__ import annotations

__all__ = ["Knowledge"]

from ashpond.gateway.declared import Declaration, WeightTarget

# Requests on older weights count for less from 1.5 s after a target's acceptance.
STALE_AFTER_SECONDS = 1.2


class Knowledge:
    """The configuration in force and the weight targets.

    ``confirmed_at`` is on this process's clock: the store held nothing newer then.
    """

    def __init__(self) -> None:
        self.declaration: Declaration | None = None
        self.targets: dict[str, int] = {}
        self.confirmed_at = float("-inf")
        self._target_times: dict[str, list[tuple[float, int]]] = {}

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
        times.append((now, target.version))
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
        return self.find_version_named(model, now - STALE_AFTER_SECONDS)

    def find_version_named(self, model: str, until: float) -> int:
        """Return the newest version that was named by ``until``."""
        found = 0
        for named_at, version in self._target_times.get(model, ()):
            if named_at <= until:
                found = version
        return found
