"""The configuration and weight targets known to an instance, and their age."""

from __future__ import annotations

__all__ = ["Knowledge"]

from typing import NamedTuple

from ashpond.decisions.declared import Declaration, WeightTarget

# A weight target is required this long after it was received (seconds): from 1.5 s
# after its acceptance, requests that run on older weights count for less.
STALE_AFTER_SECONDS = 1.2
# An instance receives a target at most this long after its acceptance (seconds). Longer
# delays occur only while the store is unreachable, and do not count against the bound.
MAX_TARGET_DELAY_SECONDS = 3.0


class _TargetRecord(NamedTuple):
    """A target version, when it was received, and the earliest time of acceptance."""

    version: int
    received_at: float
    accepted_after: float


class Knowledge:
    """The configuration in force and the weight targets, as known to an instance.

    ``confirmed_at`` is the last time, on this process's clock, at which the store is
    known to have held nothing newer.
    """

    def __init__(self) -> None:
        self.declaration: Declaration | None = None
        self.targets: dict[str, int] = {}
        self.confirmed_at = float("-inf")
        self._target_records: dict[str, list[_TargetRecord]] = {}

    def adopt(self, declaration: Declaration) -> bool:
        """Adopt a configuration if it is newer; return whether it is."""
        current = self.declaration
        if current is not None and declaration.version <= current.version:
            return False
        self.declaration = declaration
        return True

    def adopt_target(self, target: WeightTarget, now: float) -> bool:
        """Adopt a weight target if it is newer; return whether it is."""
        if target.version <= self.targets.get(target.model, 0):
            return False
        self.targets[target.model] = target.version
        records = self._target_records.setdefault(target.model, [])
        # The target did not exist at the last confirmation. Before the first
        # configuration there is no confirmation to rely on.
        accepted_after = max(self.confirmed_at, now - MAX_TARGET_DELAY_SECONDS)
        if self.declaration is None:
            accepted_after = now
        records.append(_TargetRecord(target.version, now, accepted_after))
        del records[:-8]
        return True

    def confirm(self, at: float) -> None:
        """Record that nothing newer was accepted before ``at``."""
        self.confirmed_at = max(self.confirmed_at, at)

    def measure_age(self, now: float) -> float:
        """Return for how many seconds a newer version may have been accepted."""
        return now - self.confirmed_at

    def find_required_version(self, model: str, now: float) -> int:
        """Return the version that requests must run on to count in full at ``now``."""
        found = 0
        for record in self._target_records.get(model, ()):
            if record.received_at <= now - STALE_AFTER_SECONDS:
                found = record.version
        return found

    def find_possible_version(self, model: str, until: float) -> int:
        """Return the newest version that may have been accepted by ``until``."""
        found = 0
        for record in self._target_records.get(model, ()):
            if record.accepted_after <= until:
                found = record.version
        return found
