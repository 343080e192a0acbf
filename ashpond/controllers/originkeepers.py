"""Know which instances keep the origin of a stream, and which records it."""

from __future__ import annotations

__all__ = ["OriginKeepers"]

from collections.abc import Callable
from typing import TYPE_CHECKING

from ashpond.decisions.originsegments import choose_recorder, list_recorders
from ashpond.decisions.streamorigins import (
    QUERY_KEEPERS,
    RECORD_KEEPERS,
    choose_keepers,
    list_keepers,
)

if TYPE_CHECKING:
    from ashpond.decisions.fleetlinks import Member
    from ashpond.fleet.members import Members


class OriginKeepers:
    """The keepers and recorders of the present members, worked out when needed.

    There are none before the members are known.
    """

    def __init__(self, get_members: Callable[[], Members]):
        self._get_members = get_members
        self._keepers: dict[str, Member] | None = None
        self._recorders: list[str] = []

    def note_members(self) -> None:
        """Choose the keepers again, as the members have changed."""
        self._keepers = None

    def count_recorders(self) -> int:
        """Return how many instances write origins to the store, at least one."""
        self._update()
        return max(1, len(self._recorders))

    def are_known(self) -> bool:
        """Return whether the members are known, of which this instance may be all."""
        return bool(self._update())

    def list_asked(self, key: bytes) -> list[Member]:
        """Return the peers that are asked for a key's origin."""
        return self._choose(key, QUERY_KEEPERS)

    def list_receivers(self, key: bytes) -> list[Member]:
        """Return the peers that are sent a key's origin."""
        return self._choose(key, RECORD_KEEPERS)

    def is_recorder(self, key: bytes) -> bool:
        """Return whether this instance writes a key's origin to the store."""
        if not self._update():
            return False
        recorder = choose_recorder(key, self._recorders)
        return recorder == self._get_members().own.name

    def _choose(self, key: bytes, count: int) -> list[Member]:
        """Return the peers that keep a key's origin, its recorder first."""
        keepers = self._update()
        if not keepers:
            return []
        own_name = self._get_members().own.name
        recorder = keepers[choose_recorder(key, self._recorders)]
        others = choose_keepers(key, keepers, own_name, count)
        first = [] if recorder.name == own_name else [recorder]
        return (first + [member for member in others if member != recorder])[:count]

    def _update(self) -> dict[str, Member]:
        members = self._get_members()
        if not members.secret:
            return {}
        if self._keepers is None:
            self._keepers = list_keepers(members.by_name)
            self._recorders = list_recorders(list(self._keepers))
        return self._keepers
