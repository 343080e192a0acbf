"""Record the origins of open streams in rows of the store.

They are needed only if all instances that know an origin end together. Few instances
write them; how they are read is in ``recordedorigins``.
"""

from __future__ import annotations

__all__ = ["ORIGINS_TABLE", "OriginRecorder"]

from collections.abc import Callable
from typing import TYPE_CHECKING, NamedTuple

import trio

from ashpond.decisions.originsegments import OriginSegments, is_row_expired
from ashpond.gateway.store import InvalidRow, Row, Snapshot
from ashpond.outcomes import Done, Unknown

if TYPE_CHECKING:
    import random

    from ashpond.controllers.invalidrows import InvalidRows
    from ashpond.decisions.streamorigins import StreamOrigin
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
# The most rows that one call writes, and removes.
MAX_ROWS = 50
# How often the rows of instances that are gone are searched for (seconds).
SWEEP_SECONDS = 60.0


class _WaitingStream(NamedTuple):
    """A stream that is not in a segment yet; ``until`` is on this process's clock."""

    key: bytes
    origin: StreamOrigin
    until: float


class OriginRecorder:
    """The writer of the origins that this instance records.

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
        """Forget the streams that have ended."""
        now = trio.current_time()
        self._added = {k: until for k, until in self._added.items() if until > now}

    def describe(self) -> dict[str, object]:
        """Return how many origins were written here, for operators."""
        return {"recorded_here": len(self._added), "not_recorded": self._dropped}

    async def run(self) -> None:
        """Write what is added, until cancelled."""
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
        """Write as much as one call takes; return whether the store has taken it."""
        now = trio.current_time()
        if not self._clock.estimate_store_time(now) and not await self._set_clock():
            return False
        store_time = self._clock.estimate_store_time(now)
        if len(self._segments.list_unwritten(store_time)) < MAX_ROWS:
            self._fill_segments(now, store_time)
        unwritten = self._segments.list_unwritten(store_time)[:MAX_ROWS]
        expired = self._segments.list_expired(store_time)[:MAX_ROWS]
        rows = [Row(ORIGINS_TABLE, s.name, s.encode(), 0) for s in unwritten]
        rows += [Row(ORIGINS_TABLE, s.name, None, 0) for s in expired]
        if not rows:
            return True
        # If this write fails, their rows are found by the search for those of others.
        self._segments.remove(expired)
        for segment in unwritten:
            segment.is_written = True
        outcome = await self._store.write([], rows)
        if isinstance(outcome, Done):
            if self._waiting or self._segments.list_unwritten(store_time):
                self._wake.set()
            return True
        for segment in unwritten:
            segment.is_written = False
            if isinstance(outcome, Unknown):
                # The write may be carried out after later ones.
                segment.is_open = False
        self._log.note("stream_origins_not_written", reason=str(outcome))
        return False

    def _fill_segments(self, now: float, store_time: float) -> None:
        waiting, self._waiting = self._waiting, []
        for stream in waiting:
            until = store_time + stream.until - now
            self._segments.add(stream.key, stream.origin, store_time, until)

    async def _set_clock(self) -> bool:
        """Learn the store's time, which instances that never call it do not know."""
        outcome = await self._store.read(ORIGINS_TABLE)
        if isinstance(outcome, Done):
            self._clock.date(outcome.value)
        return isinstance(outcome, Done)

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
                invalid = InvalidRow(row.table, row.key, row.version, str(error))
                self._invalid_rows.note(invalid)
                continue
            if is_expired:
                rows.append(Row(ORIGINS_TABLE, row.key, None, 0))
        if rows:
            await self._store.write([], rows[:MAX_ROWS])
