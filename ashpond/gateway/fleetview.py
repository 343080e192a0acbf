"""What peers have told of their work, and what of it is passed on to whom."""

from __future__ import annotations

__all__ = ["FleetView", "Scope", "Source", "Work"]

from collections.abc import Iterable
from enum import StrEnum
from typing import NamedTuple

from ashpond.decisions.budget import SendCounts
from ashpond.gateway.directory import PEER_LOAD_SECONDS, Load

# A hub that has been silent for longer is no longer relied on (seconds); it sends at
# least every 0.6 s, and a busy machine may be late once.
HUB_SILENCE_SECONDS = 1.3


class Scope(StrEnum):
    """Whose work a peer tells: its own, its group's, or that of the whole fleet.

    ``MEMBER`` is its own, told to the hub of its group, ``OWN`` the same among
    equals.
    """

    OWN = "own"
    MEMBER = "member"
    GROUP = "group"
    FLEET = "fleet"


class Work(NamedTuple):
    """Work in flight by backend server, and sends of late by service."""

    loads: dict[str, Load]
    sends: dict[str, SendCounts]


class Source(NamedTuple):
    """The last that one life of a peer told.

    ``peer`` is its name without its life, ``heard_at`` on this process's clock.
    """

    peer: str
    scope: Scope
    heard_at: float
    work: Work


class FleetView:
    """The news of all peers; pure state, the time is an argument.

    :param window: for how long sends of a peer that has gone still count (seconds).
    """

    def __init__(self, window: float):
        self.window = window
        self._sources: dict[str, Source] = {}
        self._hubs: tuple[str, ...] = ()

    def set_hubs(self, names: Iterable[str]) -> None:
        """Take over who may be this instance's hub, the first choice first."""
        self._hubs = tuple(names)

    def note(self, key: str, source: Source) -> None:
        """Take a peer's report; ``key`` is its life, or the group it reports for."""
        self._sources[key] = source

    def expire(self, now: float) -> None:
        """Drop what no longer counts in any way."""
        self._sources = {
            life: source
            for life, source in self._sources.items()
            if now - source.heard_at <= self.window
        }

    def find_hub(self, now: float) -> str | None:
        """Return the life of the hub that this instance relies on.

        None if it has none: in a flat fleet, or as the hub of its group.
        """
        for name in self._hubs:
            for life, source in self._sources.items():
                is_fresh = now - source.heard_at <= HUB_SILENCE_SECONDS
                if source.peer == name and source.scope is Scope.FLEET and is_fresh:
                    return life
        return None

    def list_counted(self, now: float) -> list[str]:
        """Return the lives whose work adds up to that of all other instances.

        A hub's report covers everyone's, so that nothing else counts beside it.
        """
        hub = self.find_hub(now)
        if hub is not None:
            return [hub]
        return [life for life, s in self._sources.items() if s.scope is not Scope.FLEET]

    def sum_group(self, own: Work, now: float) -> Work:
        """Return the work of this hub's group, for the other hubs."""
        return self._sum(own, (Scope.MEMBER,), None, now)

    def sum_fleet(self, own: Work, asker: str, now: float) -> Work:
        """Return the work of all others than ``asker``, a life of a member."""
        return self._sum(own, (Scope.MEMBER, Scope.GROUP, Scope.OWN), asker, now)

    def _sum(
        self, own: Work, scopes: tuple[Scope, ...], without: str | None, now: float
    ) -> Work:
        loads = dict(own.loads)
        sends = dict(own.sends)
        for life, source in self._sources.items():
            if source.scope not in scopes or life == without:
                continue
            age = now - source.heard_at
            if age < PEER_LOAD_SECONDS:
                for server_id, load in source.work.loads.items():
                    loads[server_id] = loads.get(server_id, Load()).add(load)
            if age <= self.window:
                for service, counts in source.work.sends.items():
                    sends[service] = sends.get(service, SendCounts()).add(counts)
        return Work(loads, sends)
