"""The rows of the store with the origins of open streams.

They are needed only if all instances that know an origin end together. Few instances
write them, and one that finds no origin at its peers reads them.
"""

from __future__ import annotations

__all__ = ["ORIGINS_TABLE", "OriginRows"]

from collections.abc import Callable
from typing import TYPE_CHECKING, NamedTuple

import trio

from ashpond.decisions.originsegments import (
    OriginSegments,
    find_in_row,
    is_row_expired,
)
from ashpond.decisions.streamorigins import KnownOrigin, StreamOrigin
from ashpond.gateway.store import InvalidRow, Row, Snapshot
from ashpond.outcomes import Done

if TYPE_CHECKING:
    import random

    from ashpond.controllers.invalidrows import InvalidRows
    from ashpond.gateway.decisionlog import DecisionLog
    from ashpond.gateway.store import Store, StoreClock

ORIGINS_TABLE = "ashpond-stream-origins"
# The most writes of all instances together (per second), and the shortest time between
# two writes of one (seconds).
MAX_WRITE_RATE = 40.0
MIN_PAUSE_SECONDS = 0.1
RETRY_SECONDS = 0.5
# The most streams that wait to be written.
MAX_WAITING = 4_096
# The most rows that one write removes.
MAX_REMOVED_ROWS = 50
# How long a client waits for the rows (seconds).
READ_SECONDS = 0.5
# Rows that were read this lately are not read again (seconds).
REUSE_SECONDS = 0.5
# How often the rows of instances that are gone are searched for (seconds).
SWEEP_SECONDS = 60.0


class _WaitingStream(NamedTuple):
    """A stream that is not in a segment yet; ``until`` is on this process's clock."""

    key: bytes
    origin: StreamOrigin
    until: float


class OriginRows:
    """The writer of the origins that this instance records, and a reader of all.

    :param name: the name of this instance.
    :param count_recorders: returns how many instances write origins.
    """

    def __init__(
        self,
        name: str,
        store: Store,
        clock: StoreClock,
        log: DecisionLog,
        invalid_rows: InvalidRows,
        rng: random.Random,
        count_recorders: Callable[[], int],
    ):
        self._dropped = 0
        self._store = store
        self._clock = clock
        self._log = log
        self._invalid_rows = invalid_rows
        self._rng = rng
        self._count_recorders = count_recorders
        self._segments = OriginSegments(f"{name}.{rng.getrandbits(32):08x}")
        self._waiting: list[_WaitingStream] = []
        # Until when the streams are known that were added, on this process's clock.
        self._added: dict[bytes, float] = {}
        self._wake = trio.Event()
        self._swept_at = 0.0
        self._is_reading = False
        self._read_wanted = trio.Event()
        self._read_done = trio.Event()
        self._snapshot: Snapshot | None = None
        self._read_at = float("-inf")
        store.era.on_change(self._on_restored_store)

    def _on_restored_store(self) -> None:
        self._segments.note_lost()
        self._wake.set()

    def add(self, key: bytes, origin: StreamOrigin, until: float) -> None:
        """Write a stream's origin soon, unless it has been written.

        :param until: when its client gives up, on this process's clock.
        """
        if self._added.get(key, 0.0) >= until - 1.0:
            return
        if len(self._waiting) >= MAX_WAITING:
            self._dropped += 1
            return
        self._added[key] = until
        self._waiting.append(_WaitingStream(key, origin, until))
        self._wake.set()

    def expire(self) -> None:
        """Forget the streams that have ended, and the rows that were read."""
        now = trio.current_time()
        self._added = {k: until for k, until in self._added.items() if until > now}
        if now - self._read_at >= REUSE_SECONDS and not self._is_reading:
            self._snapshot = None

    def describe(self) -> dict[str, object]:
        """Return how many origins were written here, for operators."""
        return {"recorded_here": len(self._added), "not_recorded": self._dropped}

    async def run(self) -> None:
        """Write what is added, and read what is looked for, until cancelled."""
        async with trio.open_nursery() as nursery:
            nursery.start_soon(self._run_reads)
            nursery.start_soon(self._run_writes)

    async def _run_writes(self) -> None:
        self._swept_at = trio.current_time()
        while True:
            await self._wake.wait()
            self._wake = trio.Event()
            if not await self._write():
                self._wake.set()
                await trio.sleep(RETRY_SECONDS)
            rate = MAX_WRITE_RATE / self._count_recorders()
            await trio.sleep(max(MIN_PAUSE_SECONDS, 1 / rate))
            if trio.current_time() - self._swept_at >= SWEEP_SECONDS:
                self._swept_at = trio.current_time()
                await self._sweep()

    async def _write(self) -> bool:
        """Write the streams that wait; return whether nothing is left to be written."""
        if not self._clock.estimate_store_time(trio.current_time()):
            await self._read()
        now = trio.current_time()
        store_time = self._clock.estimate_store_time(now)
        if not store_time:
            return False
        waiting, self._waiting = self._waiting, []
        for stream in waiting:
            until = store_time + stream.until - now
            self._segments.add(stream.key, stream.origin, store_time, until)
        unwritten = self._segments.list_unwritten()
        expired = self._segments.list_expired(store_time)[:MAX_REMOVED_ROWS]
        rows = [Row(ORIGINS_TABLE, s.name, s.encode(), 0) for s in unwritten]
        rows += [Row(ORIGINS_TABLE, s.name, None, 0) for s in expired]
        if not rows:
            return True
        for segment in unwritten:
            segment.is_written = True
        outcome = await self._store.write([], rows)
        if isinstance(outcome, Done):
            self._segments.remove(expired)
            return True
        # The write may still be carried out after later ones, so that its segments
        # must not change any more.
        for segment in unwritten:
            segment.is_written = segment.is_open = False
        self._log.note("stream_origins_not_written", reason=str(outcome))
        return False

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
                self._note_invalid(row, error)
        if not origins:
            return None
        age = trio.current_time() - self._read_at
        return KnownOrigin(origins.pop() if len(origins) == 1 else None, age)

    async def _run_reads(self) -> None:
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
            snapshot: Snapshot = outcome.value
            self._snapshot = snapshot
            self._clock.date(snapshot)
        else:
            self._snapshot = None
            self._log.note("stream_origins_not_read", reason=str(outcome))

    async def _sweep(self) -> None:
        """Remove rows of instances that are gone; one of all instances does, mostly."""
        if self._rng.random() * self._count_recorders() >= 1.0:
            return
        outcome = await self._store.read(ORIGINS_TABLE)
        if not isinstance(outcome, Done):
            return
        snapshot: Snapshot = outcome.value
        rows = []
        for row in snapshot.rows:
            try:
                is_expired = is_row_expired(row.value or b"", snapshot.store_time)
            except ValueError as error:
                self._note_invalid(row, error)
                continue
            if is_expired and not self._segments.has_name(row.key):
                rows.append(Row(ORIGINS_TABLE, row.key, None, 0))
        if rows:
            await self._store.write([], rows[:MAX_REMOVED_ROWS])

    def _note_invalid(self, row: Row, error: ValueError) -> None:
        invalid = InvalidRow(row.table, row.key, row.version, str(error))
        self._invalid_rows.note(invalid)
