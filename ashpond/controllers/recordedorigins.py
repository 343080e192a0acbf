"""Find the origins of streams in the rows of the store that all recorders write."""

from __future__ import annotations

__all__ = ["RecordedOrigins"]

from typing import TYPE_CHECKING

import trio

from ashpond.controllers.originrows import ORIGINS_TABLE
from ashpond.decisions.originsegments import find_in_row
from ashpond.decisions.streamorigins import KnownOrigin, StreamOrigin
from ashpond.gateway.store import InvalidRow, Snapshot
from ashpond.outcomes import Done

if TYPE_CHECKING:
    from ashpond.controllers.invalidrows import InvalidRows
    from ashpond.gateway.decisionlog import DecisionLog
    from ashpond.gateway.store import Store

# How long a client waits for the rows (seconds).
READ_SECONDS = 0.5
# Rows that were read this lately are not read again (seconds).
REUSE_SECONDS = 0.5


class RecordedOrigins:
    """The rows with the origins of streams, read when one is looked for."""

    def __init__(self, store: Store, log: DecisionLog, invalid_rows: InvalidRows):
        self._store = store
        self._log = log
        self._invalid_rows = invalid_rows
        self._is_reading = False
        self._read_wanted = trio.Event()
        self._read_done = trio.Event()
        self._snapshot: Snapshot | None = None
        self._read_at = float("-inf")

    def expire(self) -> None:
        """Forget the rows that were read, once they would be read again."""
        is_old = trio.current_time() - self._read_at >= REUSE_SECONDS
        if is_old and not self._is_reading:
            self._snapshot = None

    async def find(self, key: bytes) -> KnownOrigin | None:
        """Return the origin of a stream in the rows, None if it is not known there.

        A read that takes longer than the client can wait is finished all the same, for
        those that come later.
        """
        if trio.current_time() - self._read_at >= REUSE_SECONDS:
            if not self._is_reading:
                self._is_reading = True
                self._read_done = trio.Event()
                self._read_wanted.set()
            with trio.move_on_after(READ_SECONDS):
                await self._read_done.wait()
        if self._snapshot is None:
            return None
        origins: set[StreamOrigin] = set()
        for row in self._snapshot.rows:
            try:
                store_time = self._snapshot.store_time
                origins |= find_in_row(row.value or b"", key, store_time)
            except ValueError as error:
                invalid = InvalidRow(row.table, row.key, row.version, str(error))
                self._invalid_rows.note(invalid)
        if not origins:
            return None
        age = trio.current_time() - self._read_at
        return KnownOrigin(origins.pop() if len(origins) == 1 else None, age)

    async def run(self) -> None:
        """Read the rows when they are wanted, until cancelled."""
        while True:
            await self._read_wanted.wait()
            self._read_wanted = trio.Event()
            await self._read()
            self._is_reading = False
            self._read_done.set()

    async def _read(self) -> None:
        outcome = await self._store.read(ORIGINS_TABLE)
        self._read_at = trio.current_time()
        if isinstance(outcome, Done):
            self._snapshot = outcome.value
        else:
            self._snapshot = None
            self._log.note("stream_origins_not_read", reason=str(outcome))
