"""A table store in memory, for tests: answers, changes, outages, lost answers."""

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

STALE_ANSWER = Unknown("an answer from before the store came back")


class StoreCopy(NamedTuple):
    """What a store may come back from."""

    rows: dict[tuple[str, str], Row]
    removed: list[Row]
    version: int
    oldest: int


class MemoryStore:
    """Rows of all tables.

    ``era`` rises with each return from a copy. ``is_down`` refuses every call;
    ``lose_answers`` carries writes out and then answers nothing; ``answer_seconds``
    passes before each answer.
    """

    def __init__(self) -> None:
        self.rows: dict[tuple[str, str], Row] = {}
        self.removed: list[Row] = []
        self.version = 0
        self.era = 1
        self.oldest = 0
        self.is_down = False
        self.lose_answers = False
        self.answer_seconds = 0.004
        self.clock_offset = 1000.0
        self.calls: list[str] = []
        self._changed = trio.Event()

    def build_port(self) -> Store:
        """Return the operations as one instance calls them."""
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
        """Return a copy of all rows as they are now."""
        return StoreCopy(dict(self.rows), list(self.removed), self.version, self.oldest)

    def restore_from(self, copy: StoreCopy) -> None:
        """Lose what has been written since a copy; versions are given out again.

        Calls that wait for a change get no answer, as their connections end.
        """
        self.rows = dict(copy.rows)
        self.removed = list(copy.removed)
        self.version = copy.version
        self.oldest = copy.oldest
        self.era += 1
        self._changed.set()
        self._changed = trio.Event()

    def put(self, table: str, key: str, value: bytes | None) -> None:
        """Write or remove a row, as someone else would."""
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
        """Drop the changes so far; those who follow have to read anew."""
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
        """Return the changes of a table as soon as there are any."""
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
        """Carry out a transaction."""
        self.calls.append("write")
        await trio.sleep(self.answer_seconds)
        if self.is_down:
            return Unavailable("down")
        for condition in conditions:
            row = self.rows.get((condition.table, condition.key))
            if (row.version if row else 0) != condition.version:
                return Conflict({row.key: row} if row else {})
        for row in puts:
            self.put(row.table, row.key, row.value)
        return Unknown("lost") if self.lose_answers else Done(self.version)

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
