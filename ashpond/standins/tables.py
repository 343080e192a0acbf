"""In-memory table store for tests, with outages, lost answers and restores."""

from __future__ import annotations

__all__ = ["MemoryStore"]

from typing import NamedTuple

import trio

from ashpond.gateway.store import (
    Condition,
    HistoryLost,
    Row,
    Snapshot,
    Store,
    StoreEra,
)
from ashpond.outcomes import Conflict, Done, Unavailable, Unknown

STALE_ANSWER = Unknown("the answer is from before the store was restored")


class StoreCopy(NamedTuple):
    """Copy of a store's rows and versions, from which the store can be restored."""

    rows: dict[tuple[str, str], Row]
    removed: list[Row]
    version: int
    oldest: int


class MemoryStore:
    """Rows of all tables, with switches for faults.

    ``era`` increases with each restore from a copy. If ``is_down`` is set, every call
    fails as unavailable. If ``lose_answers`` is set, writes are applied, but their
    outcome is reported as unknown. If ``hold_writes`` is set, their outcome is unknown
    too, and they are performed by :meth:`perform_held`. Each answer takes
    ``answer_seconds``.
    """

    def __init__(self) -> None:
        self.rows: dict[tuple[str, str], Row] = {}
        self.removed: list[Row] = []
        self.version = 0
        self.era = 1
        self.oldest = 0
        self.is_down = False
        self.lose_answers = False
        self.hold_writes = False
        self._held: list[tuple[list[Condition], list[Row]]] = []
        self.answer_seconds = 0.004
        self.clock_offset = 1000.0
        self.calls: list[str] = []
        self._changed = trio.Event()

    def build_port(self) -> Store:
        """Return the store's operations for one instance.

        An answer is replaced by ``STALE_ANSWER`` if its era is lower than the latest
        one seen and its call was sent before that era was seen.
        """
        era = StoreEra()

        def check_era(sent_at: float) -> bool:
            return era.apply(self.era, sent_at, trio.current_time())

        async def read(table: str) -> Done | Unavailable | Unknown:
            sent_at = trio.current_time()
            outcome = await self.read(table)
            return outcome if check_era(sent_at) else STALE_ANSWER

        async def follow(
            table: str, after: int, wait: float
        ) -> Done | HistoryLost | Unavailable | Unknown:
            sent_at = trio.current_time()
            outcome = await self.follow(table, after, wait)
            if isinstance(outcome, Unknown):
                return outcome
            return outcome if check_era(sent_at) else STALE_ANSWER

        async def write(
            conditions: list[Condition], puts: list[Row]
        ) -> Done | Conflict | Unavailable | Unknown:
            sent_at = trio.current_time()
            outcome = await self.write(conditions, puts)
            return outcome if check_era(sent_at) else STALE_ANSWER

        return Store(read, follow, write, era)

    def take_copy(self) -> StoreCopy:
        """Return a copy of the current rows, removals and versions."""
        return StoreCopy(dict(self.rows), list(self.removed), self.version, self.oldest)

    def restore_from(self, copy: StoreCopy) -> None:
        """Restore the rows of a copy and drop all later writes.

        The versions of the dropped writes are assigned again. Calls that wait for a
        change end with an unknown outcome, as if their connections were closed.
        """
        self.rows = dict(copy.rows)
        self.removed = list(copy.removed)
        self.version = copy.version
        self.oldest = copy.oldest
        self.era += 1
        self._changed.set()
        self._changed = trio.Event()

    def put(self, table: str, key: str, value: bytes | None) -> None:
        """Write a row, or remove it if ``value`` is ``None``, without conditions."""
        self.version += 1
        row = Row(table, key, value, self.version)
        if value is None:
            self.rows.pop((table, key), None)
            self.removed.append(row)
        else:
            self.rows[table, key] = row
        self._changed.set()
        self._changed = trio.Event()

    def drop_history(self) -> None:
        """Drop the change history, so that followers have to read the table again."""
        self.oldest = self.version
        self.removed.clear()

    async def read(self, table: str) -> Done | Unavailable | Unknown:
        """Return all rows of a table."""
        sent_at = trio.current_time()
        self.calls.append(f"read {table}")
        await trio.sleep(self.answer_seconds)
        if self.is_down:
            return Unavailable("down")
        rows = [row for (name, _), row in sorted(self.rows.items()) if name == table]
        return Done(self._take_snapshot(rows, sent_at))

    async def follow(
        self, table: str, after: int, wait: float
    ) -> Done | HistoryLost | Unavailable | Unknown:
        """Return the changes of a table after version ``after``.

        If there are none, wait for one for up to ``wait`` seconds.
        """
        sent_at = trio.current_time()
        self.calls.append(f"follow {table}")
        await trio.sleep(self.answer_seconds)
        era = self.era
        with trio.move_on_after(wait):
            while not self._has_changes(table, after, era):
                await self._changed.wait()
        if self.era != era:
            return Unknown("the connection ended")
        if self.is_down:
            return Unavailable("down")
        if after < self.oldest or after > self.version:
            return HistoryLost()
        return Done(self._take_snapshot(self._list_changes(table, after), sent_at))

    async def write(
        self, conditions: list[Condition], puts: list[Row]
    ) -> Done | Conflict | Unavailable | Unknown:
        """Write all rows if every condition holds, else report a conflict."""
        self.calls.append("write")
        await trio.sleep(self.answer_seconds)
        if self.is_down:
            return Unavailable("down")
        if self.hold_writes:
            self._held.append((conditions, puts))
            return Unknown("no answer")
        outcome = self._perform(conditions, puts)
        is_lost = self.lose_answers and isinstance(outcome, Done)
        return Unknown("lost") if is_lost else outcome

    def perform_held(self) -> None:
        """Perform the held writes whose conditions hold now."""
        held, self._held = self._held, []
        for conditions, puts in held:
            self._perform(conditions, puts)

    def _perform(self, conditions: list[Condition], puts: list[Row]) -> Done | Conflict:
        for condition in conditions:
            row = self.rows.get((condition.table, condition.key))
            if (row.version if row else 0) != condition.version:
                return Conflict({row.key: row} if row else {})
        for row in puts:
            self.put(row.table, row.key, row.value)
        return Done(self.version)

    def _has_changes(self, table: str, after: int, era: int) -> bool:
        if self.is_down or self.era != era:
            return True
        return bool(self._list_changes(table, after))

    def _list_changes(self, table: str, after: int) -> list[Row]:
        rows = [*self.rows.values(), *self.removed]
        changed = [row for row in rows if row.table == table and row.version > after]
        return sorted(changed, key=lambda row: row.version)

    def _take_snapshot(self, rows: list[Row], sent_at: float) -> Snapshot:
        now = trio.current_time()
        return Snapshot(
            tuple(rows), self.version, now + self.clock_offset, sent_at, now
        )
