"""What an instance knows of the declared state, and how old that knowledge is."""

from __future__ import annotations

__all__ = ["Knowledge"]

from typing import NamedTuple

from ashpond.decisions.declared import Declaration, WeightTarget

# Requests on older weights count for less from 1.5 s after a target's acceptance.
STALE_AFTER_SECONDS = 1.2
# An instance learns of a target up to so long after its acceptance; longer ones are
# times without the store, which do not count against the bound.
MAX_TARGET_DELAY_SECONDS = 3.0


class _TargetRecord(NamedTuple):
    """A version, when this instance learned of it, and the earliest it was accepted."""

    version: int
    received_at: float
    accepted_after: float


class Knowledge:
    """The configuration in force and the weight targets.

    ``confirmed_at`` is on this process's clock: the store held nothing newer then.
    """

    def __init__(self) -> None:
        self.declaration: Declaration | None = None
        self.targets: dict[str, int] = {}
        self.confirmed_at = float("-inf")
        self._target_records: dict[str, list[_TargetRecord]] = {}

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
        records = self._target_records.setdefault(target.model, [])
        # It was not there as of the last confirmation; at the start nothing is known.
        accepted_after = max(self.confirmed_at, now - MAX_TARGET_DELAY_SECONDS)
        if self.declaration is None:
            accepted_after = now
        records.append(_TargetRecord(target.version, now, accepted_after))
        del records[:-8]
        return True

    def confirm(self, at: float) -> None:
        """Note that nothing newer was accepted before ``at``."""
        self.confirmed_at = max(self.confirmed_at, at)

    def measure_age(self, now: float) -> float:
        """Return the seconds for which something newer may have been accepted."""
        return now - self.confirmed_at

    def find_required_version(self, model: str, now: float) -> int:
        """Return the version on which requests count in full at ``now``."""
        found = 0
        for record in self._target_records.get(model, ()):
            if record.received_at <= now - STALE_AFTER_SECONDS:
                found = record.version
        return found

    def find_possible_version(self, model: str, until: float) -> int:
        """Return the newest version that may have been named by ``until``."""
        found = 0
        for record in self._target_records.get(model, ()):
            if record.accepted_after <= until:
                found = record.version
        return found
