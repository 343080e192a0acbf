"""The configuration and weight targets known to an instance, and their age."""

from __future__ import annotations

__all__ = ["FindVersion", "Knowledge", "WeightsLag"]

from collections.abc import Callable
from typing import NamedTuple

from ashpond.decisions.declared import Declaration, WeightTarget

# A weight target is required this long after it was received (seconds): from 1.5 s
# after its acceptance, requests that run on older weights count for less.
STALE_AFTER_SECONDS = 1.2
# An instance receives a target at most this long after its acceptance (seconds). Longer
# delays occur only while the store is unreachable, and do not count against the bound.
MAX_TARGET_DELAY_SECONDS = 3.0


# Returns a version of a model, given the time (seconds).
FindVersion = Callable[[str, float], int]


class _TargetRecord(NamedTuple):
    """A target version, when it was received, and the earliest time of acceptance.

    ``is_dated`` is false for one that was known before the first configuration.
    """

    version: int
    received_at: float
    accepted_after: float
    is_dated: bool


class WeightsLag(NamedTuple):
    """For how long a version of a model's weights has been replaced.

    ``seconds`` is the longest time that is possible. ``is_dated`` is whether the store
    was known to lack the newer version at some time before.
    """

    seconds: float
    is_dated: bool


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
        is_dated = self.declaration is not None
        if not is_dated:
            accepted_after = now
        records.append(_TargetRecord(target.version, now, accepted_after, is_dated))
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

    def measure_lag(self, model: str, version: int, now: float) -> WeightsLag | None:
        """Return for how long a version has been replaced, None if it is the newest."""
        for record in self._target_records.get(model, ()):
            if record.version > version:
                seconds = now - record.accepted_after
                return WeightsLag(seconds, record.is_dated)
        return None

    def find_possible_version(self, model: str, until: float) -> int:
        """Return the newest version that may have been accepted by ``until``."""
        found = 0
        for record in self._target_records.get(model, ()):
            if record.accepted_after <= until:
                found = record.version
        return found
