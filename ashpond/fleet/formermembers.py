"""The processes of instances that have left, as the store may show them again."""

from __future__ import annotations

__all__ = ["FormerMembers"]

# Instances, and processes of each, that are recorded (entries).
MAX_INSTANCES = 1_000
MAX_PROCESSES = 8


class FormerMembers:
    """The incarnations that have left, by the name of the instance.

    A row of one of them is from an older copy of the store, or from a registration that
    the store has performed after the removal. Earlier versions name no incarnation:
    their rows are believed, unless the store was restored.
    """

    def __init__(self) -> None:
        self._by_name: dict[str, list[str]] = {}

    def add(self, name: str, incarnation: str | None) -> None:
        """Record that a process has left, None if its incarnation is not known."""
        known = self._by_name.pop(name, [])
        if incarnation is None and not known:
            incarnation = ""
        if incarnation is not None and incarnation not in known:
            known = [*known, incarnation][-MAX_PROCESSES:]
        self._by_name[name] = known
        if len(self._by_name) > MAX_INSTANCES:
            del self._by_name[next(iter(self._by_name))]

    def discard(self, name: str, incarnation: str) -> None:
        """Record that a process has not left after all."""
        known = self._by_name.get(name, [])
        if incarnation in known:
            known.remove(incarnation)

    def includes(self, name: str, incarnation: str, *, is_restored: bool) -> bool:
        """Return whether a row is that of a process that has left.

        :param is_restored: whether the row may be from an older copy of the store.
        """
        known = self._by_name.get(name, [])
        if incarnation:
            return incarnation in known
        return is_restored and bool(known)
