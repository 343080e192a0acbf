"""What the product asks of a table store outside; an adapter provides it."""

from __future__ import annotations

__all__ = [
    "Condition",
    "HistoryLost",
    "InvalidRow",
    "Row",
    "Snapshot",
    "Store",
    "StoreClock",
    "StoreEra",
]

from collections.abc import Awaitable, Callable
from typing import NamedTuple

from ashpond.outcomes import Conflict, Done, Unavailable, Unknown


class Row(NamedTuple):
    """One row; ``value`` is None for one that was removed."""

    table: str
    key: str
    value: bytes | None
    version: int


class InvalidRow(NamedTuple):
    """A row whose value is not what its table holds, and why."""

    table: str
    key: str
    version: int
    reason: str


class Condition(NamedTuple):
    """A row must stand at ``version``; 0 for a row that does not exist."""

    table: str
    key: str
    version: int


class Snapshot(NamedTuple):
    """Rows as of one moment, ``version`` being the newest of the whole store.

    ``store_time`` is the store's steady clock at that moment, ``sent_at`` and
    ``received_at`` this process's; all in seconds.
    """

    rows: tuple[Row, ...]
    version: int
    store_time: float
    sent_at: float
    received_at: float


class HistoryLost(NamedTuple):
    """The store no longer has the changes that were asked for."""


class StoreEra:
    """Which of its lives the store's data are in.

    A store that comes back from an older copy begins another era: versions are given
    out again, so that they compare within an era only, and what was acknowledged may be
    gone. Everybody who keeps a version or a row listens for the change.
    """

    def __init__(self) -> None:
        self.current: int | None = None
        self.changes = 0
        self._changed_at = float("-inf")
        self._listeners: list[Callable[[], None]] = []

    def on_change(self, listener: Callable[[], None]) -> None:
        """Call ``listener`` with each change, once ``current`` is the new era."""
        self._listeners.append(listener)

    def apply(self, era: int | None, sent_at: float, now: float) -> bool:
        """Take the era of an answer; return whether the answer is of the present one.

        An answer that names none is believed to be: stores that tell no era keep what
        they acknowledge. A lower one is of the time before if its call was sent before
        the change was seen; else the store has gone back, which is a change as well.

        :param sent_at: when the call was sent, on this process's clock.
        """
        if era is None or era == self.current:
            return True
        if self.current is None:
            self.current = era
            return True
        if era < self.current and sent_at < self._changed_at:
            return False
        self.current = era
        self.changes += 1
        self._changed_at = now
        for listener in self._listeners:
            listener()
        return True

    def is_older(self, era: int | None) -> bool:
        """Return whether another instance's word is of an era before the present."""
        return era is not None and self.current is not None and era < self.current


class Store(NamedTuple):
    """The operations of a table store, and the era that its answers tell of.

    ``read(table)`` answers ``Done(Snapshot)``; ``follow(table, after, wait)``
    the same as soon as there is a change, at the latest after ``wait`` seconds;
    ``write(conditions, puts)`` answers ``Done(version)`` or ``Conflict``. A put
    without a value removes its row.
    """

    read: Callable[[str], Awaitable[Done | Unavailable | Unknown]]
    follow: Callable[
        [str, int, float], Awaitable[Done | HistoryLost | Unavailable | Unknown]
    ]
    write: Callable[
        [list[Condition], list[Row]],
        Awaitable[Done | Conflict | Unavailable | Unknown],
    ]
    era: StoreEra


class StoreClock:
    """Tells when, on this process's clock, an answer was made at the store.

    An answer made at store time ``s`` to a call sent at ``t`` was made at ``t`` or
    later. So was, ``d`` later, one made at ``s + d``: the greatest such bound over
    all calls dates each answer, also one that was waited for or held up, without
    ever taking it for newer than it is. ``asked_at`` is when any table was last asked
    for, on this process's clock.
    """

    def __init__(self) -> None:
        self.called_at = float("-inf")
        self._offset: float | None = None

    def date(self, snapshot: Snapshot) -> float:
        """Return the latest time by which the answer was surely not yet made."""
        offset = snapshot.sent_at - snapshot.store_time
        latest = snapshot.received_at - snapshot.store_time
        if self._offset is None or self._offset > latest:
            # The first answer, or the store's clock has started anew.
            self._offset = offset
        self._offset = max(self._offset, offset)
        return snapshot.store_time + self._offset

    def date_forwarded(self, store_time: float) -> float | None:
        """Return the same for an answer to another instance, if it can be told."""
        return None if self._offset is None else store_time + self._offset

    def estimate_store_time(self, now: float) -> float:
        """Return the latest that the store's clock can show at ``now``."""
        return 0.0 if self._offset is None else now - self._offset
