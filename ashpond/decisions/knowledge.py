"""The configuration and weight targets known to an instance, and their age."""

from __future__ import annotations

__all__ = ["FindVersion", "Knowledge", "WeightsLag"]

from collections.abc import Callable
from typing import NamedTuple

from ashpond.decisions.declared import Declaration, WeightTarget

# A weight target is required this long after it was received (seconds): from 1.5 s
# after its acceptance, requests that run on older weights count for less.
STALE_AFTER_SECONDS = 1.2
# An instance receives a target at most this long after its acceptance, or after the end
# of an outage of the store, which does not count against the bound (seconds).
MAX_TARGET_DELAY_SECONDS = 3.0
# The targets of a model that are remembered: those that an engine may have.
MAX_RECORDS = 32
NEVER = float("-inf")


# Returns a version of a model, given the time (seconds).
FindVersion = Callable[[str, float], int]


class _TargetRecord(NamedTuple):
    """A target version, when it was received, and the earliest time of acceptance.

    ``is_proven`` is false if that time is unknown, or an assumption.
    """

    version: int
    received_at: float
    accepted_after: float
    is_proven: bool = True


class WeightsLag(NamedTuple):
    """For how long a version of a model's weights has been replaced.

    ``seconds`` is the longest time that is possible, infinite if it is not known when
    the newer version was accepted. ``is_dated`` is whether that time is proven.
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
        self.confirmed_at = NEVER
        self._target_records: dict[str, list[_TargetRecord]] = {}

    def adopt(self, declaration: Declaration) -> bool:
        """Adopt a configuration if it is newer; return whether it is."""
        current = self.declaration
        if current is not None and declaration.version <= current.version:
            return False
        self.declaration = declaration
        return True

    def adopt_target(
        self, target: WeightTarget, now: float, *, was_store_unreachable: bool = False
    ) -> bool:
        """Adopt a weight target if it is newer; return whether it is.

        The target did not exist when the store was last known to hold nothing newer.
        Before the first such time, it may have been accepted at any time, until
        :meth:`date_target` is called.

        :param was_store_unreachable: whether that was why nothing has been confirmed
            since. That time does not count against the bound.
        """
        if target.version <= self.targets.get(target.model, 0):
            return False
        self.targets[target.model] = target.version
        accepted_after = self.confirmed_at
        is_proven = accepted_after != NEVER
        assumed = now - MAX_TARGET_DELAY_SECONDS
        if was_store_unreachable and is_proven and accepted_after < assumed:
            accepted_after, is_proven = assumed, False
        record = _TargetRecord(target.version, now, accepted_after, is_proven)
        self._add_record(target.model, record)
        return True

    def date_target(self, model: str, version: int, accepted_after: float) -> bool:
        """Record when a target was accepted at the earliest; return whether it is new.

        It may be an earlier target than the one that is known here.
        """
        if version > self.targets.get(model, 0):
            return False
        records = self._target_records.get(model, ())
        known = next((r for r in records if r.version == version), None)
        if known is None:
            record = _TargetRecord(version, accepted_after, accepted_after)
        elif not known.is_proven or known.accepted_after < accepted_after:
            record = known._replace(accepted_after=accepted_after, is_proven=True)
        else:
            return False
        self._add_record(model, record)
        return True

    def _add_record(self, model: str, record: _TargetRecord) -> None:
        """Add the record of a version, or replace the one that there is."""
        others = [
            other
            for other in self._target_records.get(model, ())
            if other.version != record.version
        ]
        records = sorted([*others, record])
        self._target_records[model] = records[-MAX_RECORDS:]

    def list_undated(self) -> list[str]:
        """Return the models of whose target it is not proven when it was accepted."""
        return [
            model
            for model, records in self._target_records.items()
            if not records[-1].is_proven
        ]

    def list_dates(self, model: str) -> dict[int, float]:
        """Return when targets of a model were accepted at the earliest, as proven."""
        return {
            record.version: record.accepted_after
            for record in self._target_records.get(model, ())
            if record.is_proven
        }

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
                return WeightsLag(seconds, record.is_proven)
        return None

    def find_possible_version(self, model: str, until: float) -> int:
        """Return the newest version that may have been accepted by ``until``."""
        found = 0
        for record in self._target_records.get(model, ()):
            if record.accepted_after <= until:
                found = record.version
        return found
