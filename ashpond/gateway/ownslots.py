"""The slots of servers that an instance may use without asking a coordinator."""

from __future__ import annotations

__all__ = ["OwnSlots"]

from typing import TYPE_CHECKING

from ashpond.decisions.brittleness import count_own_slots

if TYPE_CHECKING:
    from collections.abc import Callable


class OwnSlots:
    """How many slots of each server are an instance's own, until its members change.

    :param list_members: returns the names of all instances.
    """

    def __init__(self, own_name: str, list_members: Callable[[], list[str]]):
        self._own_name = own_name
        self._list_members = list_members
        self._by_server: dict[tuple[str, int], int] = {}

    def note_members(self) -> None:
        """Count the slots again, as the members have changed."""
        self._by_server.clear()

    def count(self, server_id: str, slots: int) -> int:
        """Return how many of a server's slots are this instance's."""
        key = server_id, slots
        if key not in self._by_server:
            names = sorted(self._list_members())
            self._by_server[key] = count_own_slots(
                server_id, slots, self._own_name, names
            )
        return self._by_server[key]
