"""The order of the entries that one start of a backend server writes to the store."""

from __future__ import annotations

__all__ = [
    "RemovedEntries",
    "is_earlier_entry",
    "merge_leaving",
    "shows_counted_writes",
]

from typing import NamedTuple

from ashpond.controllers.backendservers import BackendServer, StartOrder, compare_starts

# For how long (seconds) and how many removed entries are remembered. A write that the
# store performs late, or a restored copy of the store, may bring them back.
REMOVED_SECONDS = 60.0
MAX_REMOVED = 1_000


class _RemovedEntry(NamedTuple):
    server: BackendServer
    removed_at: float
    is_counting_writes: bool


def is_earlier_entry(known: BackendServer, received: BackendServer) -> bool:
    """Return whether a server wrote the received entry before the known one.

    Both are of the same start. The store may perform a write that got no answer after
    later writes, so the order in which entries arrive is not that of the server.
    """
    if known.entry_sequence is None or received.entry_sequence is None:
        return False
    return received.entry_sequence < known.entry_sequence


def shows_counted_writes(known: BackendServer, received: BackendServer) -> bool:
    """Return whether two entries of a start show that its sequence counts writes.

    In some deployments it counts weights orders, and stays while no weights change.
    """
    return is_earlier_entry(received, known) and known.weights == received.weights


def merge_leaving(
    known: BackendServer, received: BackendServer, *, is_restored: bool
) -> BackendServer:
    """Return the received entry, draining if that of the same start was draining.

    A start that is draining never becomes ready again. Without a start time, a later
    entry may be that of another start under the same id, and is returned as it is.

    :param is_restored: whether the received entry is from a restored copy of the store.
    """
    if not known.is_draining or known.entry_sequence is None:
        return received
    is_later = not is_restored and is_earlier_entry(received, known)
    if known.started_ms is None and is_later:
        return received
    return received._replace(is_draining=True)


class RemovedEntries:
    """The last entries of removed servers, by server id, the oldest removal first."""

    def __init__(self) -> None:
        self._by_id: dict[str, _RemovedEntry] = {}

    def note(
        self, server: BackendServer, now: float, *, is_counting_writes: bool = False
    ) -> None:
        """Record that a server's entry was removed.

        :param is_counting_writes: whether the sequence rises with each write.
        """
        self._by_id.pop(server.id, None)
        self._by_id[server.id] = _RemovedEntry(server, now, is_counting_writes)
        while self._by_id:
            oldest = next(iter(self._by_id))
            is_old = now - self._by_id[oldest].removed_at > REMOVED_SECONDS
            if not is_old and len(self._by_id) <= MAX_REMOVED:
                break
            del self._by_id[oldest]

    def find_later(
        self, received: BackendServer, now: float, *, is_restored: bool
    ) -> BackendServer | None:
        """Return the removed entry that makes a received one obsolete, if any.

        :param is_restored: whether the entry is from a restored copy of the store,
            which may be older than the removal whatever its sequence.
        """
        removed = self._by_id.get(received.id)
        if removed is None or now - removed.removed_at > REMOVED_SECONDS:
            return None
        known = removed.server
        order = compare_starts(known.started_ms, received.started_ms)
        if order is not StartOrder.SAME:
            return None
        is_same_write = (
            removed.is_counting_writes
            and received.entry_sequence == known.entry_sequence
        )
        if is_restored or is_same_write or is_earlier_entry(known, received):
            return known
        return None

    def pop(self, server_id: str) -> BackendServer | None:
        """Return the removed entry of a server and forget it."""
        removed = self._by_id.pop(server_id, None)
        return None if removed is None else removed.server
