"""What peers have told of their work, and what of it is passed on to whom."""

from __future__ import annotations

__all__ = ["FleetView", "Scope", "PeerReport", "InstanceLoad"]

from collections.abc import Iterable, Mapping
from enum import StrEnum
from typing import NamedTuple

from ashpond.decisions.budget import AttemptCounts
from ashpond.decisions.loads import NO_LOAD, PEER_LOAD_SECONDS, Load

# A hub that has been silent for longer is no longer relied on (seconds); it sends at
# least every 0.6 s, and a busy machine may be late once.
HUB_TIMEOUT_SECONDS = 1.3
# A hub adds up what it has heard once for all that it tells within this (seconds): half
# of a turn. With 12 members and 15 other hubs, each sum took 1.0 ms of a core, a
# hundred times a second.
SUM_CACHE_SECONDS = 0.06


class Scope(StrEnum):
    """Whose work a peer tells: its own, its group's, or that of the whole fleet.

    ``MEMBER`` is its own, told to the hub of its group, ``OWN`` the same among
    equals.
    """

    OWN = "own"
    MEMBER = "member"
    GROUP = "group"
    FLEET = "fleet"


class InstanceLoad(NamedTuple):
    """Work in flight by backend server, and sends of late by service."""

    loads: dict[str, Load]
    attempts: dict[str, AttemptCounts]


EMPTY_LOAD = InstanceLoad({}, {})


class PeerReport(NamedTuple):
    """The last that one life of a peer told.

    ``peer`` is its name without its life, ``heard_at`` on this process's clock.
    """

    peer: str
    scope: Scope
    received_at: float
    work: InstanceLoad


class FleetView:
    """The news of all peers; pure state, the time is an argument.

    :param window: for how long sends of a peer that has gone still count (seconds).
    """

    def __init__(self, window: float):
        self.window = window
        self._sources: dict[str, PeerReport] = {}
        self._hubs: tuple[str, ...] = ()
        self._group = _CachedSum((Scope.MEMBER,), window)
        self._fleet = _CachedSum((Scope.MEMBER, Scope.GROUP, Scope.OWN), window)

    def set_hubs(self, names: Iterable[str]) -> None:
        """Take over who may be this instance's hub, the first choice first."""
        self._hubs = tuple(names)

    def note(self, key: str, source: PeerReport) -> None:
        """Take a peer's report; ``key`` is its life, or the group it reports for."""
        self._sources[key] = source

    def expire(self, now: float) -> None:
        """Drop what no longer counts in any way."""
        self._sources = {
            incarnation: source
            for incarnation, source in self._sources.items()
            if now - source.received_at <= self.window
        }

    def find_hub(self, now: float) -> str | None:
        """Return the life of the hub that this instance relies on.

        None if it has none: in a flat fleet, or as the hub of its group.
        """
        for name in self._hubs:
            for incarnation, source in self._sources.items():
                is_fresh = now - source.received_at <= HUB_TIMEOUT_SECONDS
                if source.peer == name and source.scope is Scope.FLEET and is_fresh:
                    return incarnation
        return None

    def list_counted(self, now: float) -> list[str]:
        """Return the lives whose work adds up to that of all other instances.

        A hub's report covers everyone's, so that nothing else counts beside it.
        """
        hub = self.find_hub(now)
        if hub is not None:
            return [hub]
        return [
            incarnation
            for incarnation, s in self._sources.items()
            if s.scope is not Scope.FLEET
        ]

    def sum_group(self, own: InstanceLoad, now: float) -> InstanceLoad:
        """Return the work of this hub's group, for the other hubs."""
        return _add_loads(self._group.sum_up(self._sources, now), own)

    def sum_fleet(self, own: InstanceLoad, receiver: str, now: float) -> InstanceLoad:
        """Return the work of all others than ``asker``, a life of a member."""
        total = self._fleet.sum_up(self._sources, now)
        return _add_loads(total, own, self._fleet.find_part(receiver))


class _CachedSum:
    """The sum of what sources of some scopes told, used again for a moment.

    :param window: for how long the sends that a source told count (seconds).
    """

    def __init__(self, scopes: tuple[Scope, ...], window: float):
        self._scopes = scopes
        self._window = window
        self._summed_at = float("-inf")
        self._total = EMPTY_LOAD
        self._parts: dict[str, InstanceLoad] = {}

    def sum_up(self, sources: Mapping[str, PeerReport], now: float) -> InstanceLoad:
        """Return the sum as of a moment ago."""
        if not 0 <= now - self._summed_at < SUM_CACHE_SECONDS:
            self._summed_at = now
            self._parts = {
                key: self._drop_outdated(source, now)
                for key, source in sources.items()
                if source.scope in self._scopes
            }
            self._total = _sum_loads(self._parts.values())
        return self._total

    def find_part(self, key: str) -> InstanceLoad:
        """Return what of the last sum is from one source."""
        return self._parts.get(key, EMPTY_LOAD)

    def _drop_outdated(self, source: PeerReport, now: float) -> InstanceLoad:
        age = now - source.received_at
        return InstanceLoad(
            source.work.loads if age < PEER_LOAD_SECONDS else {},
            source.work.attempts if age <= self._window else {},
        )


def _sum_loads(works: Iterable[InstanceLoad]) -> InstanceLoad:
    # Plain lists: a new tuple for each of some thousand additions takes three times
    # as long, and a hub adds up the servers of sixteen groups eight times a second.
    loads: dict[str, list[int]] = {}
    attempts: dict[str, AttemptCounts] = {}
    for work in works:
        for server_id, load in work.loads.items():
            total = loads.get(server_id)
            if total is None:
                loads[server_id] = list(load)
                continue
            total[0] += load[0]
            total[1] += load[1]
            total[2] += load[2]
            total[3] += load[3]
        for service, counts in work.attempts.items():
            attempts[service] = attempts.get(service, AttemptCounts()).add(counts)
    return InstanceLoad({key: Load(*total) for key, total in loads.items()}, attempts)


def _add_loads(
    total: InstanceLoad, more: InstanceLoad, less: InstanceLoad = EMPTY_LOAD
) -> InstanceLoad:
    """Return a sum with a part added and another, which it contains, taken out."""
    loads = dict(total.loads)
    for server_id, load in less.loads.items():
        left = loads.pop(server_id).subtract(load)
        if left != NO_LOAD:
            loads[server_id] = left
    for server_id, load in more.loads.items():
        loads[server_id] = loads.get(server_id, NO_LOAD).add(load)
    attempts = dict(total.attempts)
    for service, counts in less.attempts.items():
        attempts[service] = attempts[service].subtract(counts)
    for service, counts in more.attempts.items():
        attempts[service] = attempts.get(service, AttemptCounts()).add(counts)
    return InstanceLoad(loads, attempts)
