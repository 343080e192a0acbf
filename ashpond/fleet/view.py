"""The load reported by peers, and the sums of it that are forwarded."""

from __future__ import annotations

__all__ = ["FleetView", "Scope", "PeerReport", "InstanceLoad"]

from collections.abc import Iterable, Mapping
from enum import StrEnum
from typing import NamedTuple

from ashpond.decisions.budget import AttemptCounts
from ashpond.decisions.loads import NO_LOAD, PEER_LOAD_SECONDS, Load

# A hub whose last report is older is no longer used (seconds). Hubs send at least
# every 0.6 s, and a busy machine may delay one report.
HUB_TIMEOUT_SECONDS = 1.3
# How long a hub uses a computed sum for all receivers: half of the update interval
# (seconds). With 12 members and 15 other hubs, each sum takes 1.0 ms of a core, and
# without this cache a hundred sums would be computed per second.
SUM_CACHE_SECONDS = 0.06


class Scope(StrEnum):
    """What a peer's report covers: the peer alone, its group, or the whole fleet.

    Both ``OWN`` and ``MEMBER`` cover the peer alone: the former is sent between all
    instances of a flat fleet, the latter by a member to the hub of its group.
    """

    OWN = "own"
    MEMBER = "member"
    GROUP = "group"
    FLEET = "fleet"


class InstanceLoad(NamedTuple):
    """Load in flight by backend server, and recent attempts by service."""

    loads: dict[str, Load]
    attempts: dict[str, AttemptCounts]


EMPTY_LOAD = InstanceLoad({}, {})


class PeerReport(NamedTuple):
    """The last report of one incarnation of a peer.

    ``peer`` is its name without the incarnation, ``received_at`` a time on the clock of
    this process.
    """

    peer: str
    scope: Scope
    received_at: float
    load: InstanceLoad


class FleetView:
    """The last reports of all peers; pure state, with the time as an argument.

    :param window: how long the attempts in a report count after its receipt (seconds).
    """

    def __init__(self, window: float):
        self.window = window
        self._reports: dict[str, PeerReport] = {}
        self._hubs: tuple[str, ...] = ()
        self._group = _CachedSum((Scope.MEMBER,), window)
        self._fleet = _CachedSum((Scope.MEMBER, Scope.GROUP, Scope.OWN), window)

    def set_hubs(self, names: Iterable[str]) -> None:
        """Set the possible hubs of this instance, the preferred one first."""
        self._hubs = tuple(names)

    def add(self, key: str, report: PeerReport) -> bool:
        """Store a report; return whether its loads are new.

        :param key: the sender's incarnation, or the covered group.
        """
        before = self._reports.get(key)
        self._reports[key] = report
        known = EMPTY_LOAD if before is None else before.load
        return known.loads != report.load.loads

    def has_loads(self) -> bool:
        """Return whether any report contains a load."""
        return any(report.load.loads for report in self._reports.values())

    def expire(self, now: float) -> None:
        """Drop the reports that are older than the window."""
        self._reports = {
            key: report
            for key, report in self._reports.items()
            if now - report.received_at <= self.window
        }

    def find_hub(self, now: float) -> str | None:
        """Return the incarnation of the hub whose reports this instance uses.

        None if it has none: in a flat fleet, or as the hub of its group.
        """
        for name in self._hubs:
            for incarnation, report in self._reports.items():
                is_fresh = now - report.received_at <= HUB_TIMEOUT_SECONDS
                if report.peer == name and report.scope is Scope.FLEET and is_fresh:
                    return incarnation
        return None

    def find_hub_timeout(self, now: float) -> float:
        """Return when the hub's last report becomes too old; ``now`` without a hub."""
        hub = self.find_hub(now)
        if hub is None:
            return now
        return self._reports[hub].received_at + HUB_TIMEOUT_SECONDS

    def list_counted(self, now: float) -> list[str]:
        """Return the keys of the reports that together cover all other instances.

        A hub's report covers the whole fleet, so it is counted alone.
        """
        hub = self.find_hub(now)
        if hub is not None:
            return [hub]
        return [
            key
            for key, report in self._reports.items()
            if report.scope is not Scope.FLEET
        ]

    def sum_group(self, own: InstanceLoad, now: float) -> InstanceLoad:
        """Return the load of this hub's group, for the other hubs."""
        return _add_loads(self._group.sum_up(self._reports, now), own)

    def sum_fleet(self, own: InstanceLoad, receiver: str, now: float) -> InstanceLoad:
        """Return the load of the whole fleet without that of one member.

        :param receiver: the incarnation of the member that is sent the sum.
        """
        total = self._fleet.sum_up(self._reports, now)
        return _add_loads(total, own, self._fleet.find_contribution(receiver))


class _CachedSum:
    """The sum of the reports of some scopes, cached for ``SUM_CACHE_SECONDS``.

    :param window: how long the attempts in a report count after its receipt (seconds).
    """

    def __init__(self, scopes: tuple[Scope, ...], window: float):
        self._scopes = scopes
        self._window = window
        self._summed_at = float("-inf")
        self._total = EMPTY_LOAD
        self._contributions: dict[str, InstanceLoad] = {}

    def sum_up(self, reports: Mapping[str, PeerReport], now: float) -> InstanceLoad:
        """Return the sum, which is up to ``SUM_CACHE_SECONDS`` old."""
        if not 0 <= now - self._summed_at < SUM_CACHE_SECONDS:
            self._summed_at = now
            self._contributions = {
                key: self._drop_outdated(report, now)
                for key, report in reports.items()
                if report.scope in self._scopes
            }
            self._total = _sum_loads(self._contributions.values())
        return self._total

    def find_contribution(self, key: str) -> InstanceLoad:
        """Return what one report contributed to the last sum."""
        return self._contributions.get(key, EMPTY_LOAD)

    def _drop_outdated(self, report: PeerReport, now: float) -> InstanceLoad:
        age = now - report.received_at
        return InstanceLoad(
            report.load.loads if age < PEER_LOAD_SECONDS else {},
            report.load.attempts if age <= self._window else {},
        )


def _sum_loads(instance_loads: Iterable[InstanceLoad]) -> InstanceLoad:
    # Plain lists: a new tuple for each of some thousand additions takes three times
    # as long, and a hub sums the servers of sixteen groups eight times per second.
    loads: dict[str, list[int]] = {}
    attempts: dict[str, AttemptCounts] = {}
    for instance_load in instance_loads:
        for server_id, load in instance_load.loads.items():
            total = loads.get(server_id)
            if total is None:
                loads[server_id] = list(load)
                continue
            total[0] += load[0]
            total[1] += load[1]
            total[2] += load[2]
            total[3] += load[3]
        for service, counts in instance_load.attempts.items():
            attempts[service] = attempts.get(service, AttemptCounts()).add(counts)
    return InstanceLoad({key: Load(*total) for key, total in loads.items()}, attempts)


def _add_loads(
    total: InstanceLoad, added: InstanceLoad, subtracted: InstanceLoad = EMPTY_LOAD
) -> InstanceLoad:
    """Return ``total`` plus ``added`` minus ``subtracted``, a part of ``total``."""
    loads = dict(total.loads)
    for server_id, load in subtracted.loads.items():
        remainder = loads.pop(server_id).subtract(load)
        if remainder != NO_LOAD:
            loads[server_id] = remainder
    for server_id, load in added.loads.items():
        loads[server_id] = loads.get(server_id, NO_LOAD).add(load)
    attempts = dict(total.attempts)
    for service, counts in subtracted.attempts.items():
        attempts[service] = attempts[service].subtract(counts)
    for service, counts in added.attempts.items():
        attempts[service] = attempts.get(service, AttemptCounts()).add(counts)
    return InstanceLoad(loads, attempts)
