"""The interface of the external table store; an adapter implements it."""

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
    """A row; ``value`` is None for a removed row."""

    table: str
    key: str
    value: bytes | None
    version: int


class InvalidRow(NamedTuple):
    """A row whose value is invalid in its table, with the reason."""

    table: str
    key: str
    version: int
    reason: str


class Condition(NamedTuple):
    """A precondition of a write: the row is at ``version``, 0 if it must not exist."""

    table: str
    key: str
    version: int


class Snapshot(NamedTuple):
    """Rows as of one moment; ``version`` is the newest version of the whole store.

    ``store_time`` is the store's monotonic clock at that moment. ``sent_at`` and
    ``received_at`` are the times of the call on this process's clock, in seconds.
    """

    rows: tuple[Row, ...]
    version: int
    store_time: float
    sent_at: float
    received_at: float


class HistoryLost(NamedTuple):
    """The store no longer has the requested changes."""


class StoreEra:
    """The era of the store's data.

    A store that is restored from an older copy begins another era. It assigns versions
    again, so that versions can be compared within an era only, and acknowledged writes
    may be lost. Every component that keeps a version or a row registers a listener.
    """

    def __init__(self) -> None:
        self.current: int | None = None
        self.changes = 0
        self._changed_at = float("-inf")
        self._listeners: list[Callable[[], None]] = []

    def on_change(self, listener: Callable[[], None]) -> None:
        """Register ``listener``; it is called after ``current`` is set to a new era."""
        self._listeners.append(listener)

    def apply(self, era: int | None, sent_at: float, now: float) -> bool:
        """Apply the era of an answer; return whether the answer is of the current era.

        An answer without an era counts as current: stores that report no era keep all
        acknowledged writes. An answer with a lower era is outdated if its call was sent
        before the last change was seen. Otherwise the store has gone back to an older
        era, which is a change as well.

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
        """Return whether an era sent by another instance is before the current one."""
        return era is not None and self.current is not None and era < self.current


class Store(NamedTuple):
    """The operations of a table store, and the era of its data.

    ``read(table)`` returns ``Done(Snapshot)``. ``follow(table, after, wait)`` is a
    long poll: it returns ``Done(Snapshot)`` with the changes after version ``after`` as
    soon as there are any, at the latest after ``wait`` seconds. ``write(conditions,
    puts)`` returns ``Done(version)`` or ``Conflict``. A put without a value removes its
    row.
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
    """Converts the store's times to this process's clock.

    An answer with store time ``s`` to a call sent at ``t`` was made at ``t`` or later,
    so ``t - s`` is a lower bound of the offset between the clocks. The greatest such
    bound over all calls is used for every answer. Answers of long polls and delayed
    answers are therefore dated as well as others, and never later than they were made.
    ``called_at`` is the time of the last call for any table, on this process's clock.
    """

    def __init__(self) -> None:
        self.called_at = float("-inf")
        self._offset: float | None = None

    def date(self, snapshot: Snapshot) -> float:
        """Return the latest time, on this process's clock, known to precede the answer.

        Also updates the bound of the offset between the clocks.
        """
        offset = snapshot.sent_at - snapshot.store_time
        latest = snapshot.received_at - snapshot.store_time
        if self._offset is None or self._offset > latest:
            # This is the first answer, or the store's clock has restarted.
            self._offset = offset
        self._offset = max(self._offset, offset)
        return snapshot.store_time + self._offset

    def date_forwarded(self, store_time: float) -> float | None:
        """Return the time as :meth:`date` does, for an answer from another instance.

        The other instance received the answer and forwarded its store time. None is
        returned until this instance has received an answer itself.
        """
        return None if self._offset is None else store_time + self._offset

    def estimate_store_time(self, now: float) -> float:
        """Return an upper bound of the store's clock at ``now``."""
        return 0.0 if self._offset is None else now - self._offset
