"""The rows of the store with the crashes of quarantined requests.

They are needed only if all instances crash together. Otherwise an instance that starts
receives the crashes from its peers.
"""

from __future__ import annotations

__all__ = ["QUARANTINE_TABLE", "QuarantineRows", "decode_row", "encode_row"]

from collections.abc import Callable, Sequence
from typing import TYPE_CHECKING

import msgspec
import trio

from ashpond.decisions.quarantine import ServerCrash
from ashpond.gateway.store import InvalidRow, Row, Snapshot
from ashpond.outcomes import Done

if TYPE_CHECKING:
    from ashpond.controllers.invalidrows import InvalidRows
    from ashpond.gateway.decisionlog import DecisionLog
    from ashpond.gateway.store import Store

QUARANTINE_TABLE = "ashpond-quarantine"
# The most rows that wait to be written, one for each quarantined request.
MAX_QUEUED_WRITES = 32
RETRY_SECONDS = 0.5
MAX_WRITE_ATTEMPTS = 10
# An instance that starts receives the crashes from its peers within a second. The rows
# are read after that, by the instances that read the store for others (seconds).
LOAD_DELAY_SECONDS = 1.0
MAX_LOAD_ATTEMPTS = 60


class _RowEnd(msgspec.Struct):
    server: str
    born: int | None
    # On the store's monotonic clock (seconds).
    sent_at: float
    ended_at: float


class _Row(msgspec.Struct):
    ends: list[_RowEnd]


_ROW_DECODER = msgspec.json.Decoder(_Row)


def encode_row(fingerprint: str, crashes: Sequence[ServerCrash]) -> Row:
    """Return the row with the crashes of a quarantined request."""
    table = _Row(
        [_RowEnd(e.server_id, e.started_ms, e.sent_at, e.crashed_at) for e in crashes]
    )
    return Row(QUARANTINE_TABLE, fingerprint, msgspec.json.encode(table), 0)


def decode_row(row: Row) -> list[ServerCrash] | InvalidRow:
    """Return the crashes in a row, or the row as invalid."""
    try:
        table = _ROW_DECODER.decode(row.value or b"")
        return [
            msgspec.convert(
                (
                    row.key,
                    crash.server,
                    crash.born,
                    crash.sent_at,
                    crash.ended_at,
                    False,
                ),
                ServerCrash,
            )
            for crash in table.ends
        ]
    except (msgspec.MsgspecError, ValueError, RecursionError) as error:
        return InvalidRow(row.table, row.key, row.version, str(error))


class QuarantineRows:
    """The writer of the rows, which also reads them once after the start.

    :param is_reader: returns whether this instance reads the store for others as well.
    """

    def __init__(
        self,
        store: Store,
        log: DecisionLog,
        invalid_rows: InvalidRows,
        is_reader: Callable[[], bool],
    ):
        self._store = store
        self._log = log
        self._invalid_rows = invalid_rows
        self._is_reader = is_reader
        self._writes, self._to_write = trio.open_memory_channel[Row](MAX_QUEUED_WRITES)

    async def run(
        self,
        get_keep_seconds: Callable[[], float],
        merge: Callable[[list[ServerCrash]], None],
    ) -> None:
        """Read the rows once, and write the queued ones, until cancelled.

        :param get_keep_seconds: returns how long a crash counts (seconds).
        :param merge: is called with the crashes of each row that has not expired.
        """
        async with trio.open_nursery() as nursery:
            nursery.start_soon(self._load, get_keep_seconds, merge)
            async for row in self._to_write:
                await self._write(row)

    def persist(self, fingerprint: str, crashes: Sequence[ServerCrash]) -> None:
        """Queue the row of a quarantined request for writing."""
        self._enqueue(encode_row(fingerprint, crashes))

    def remove(self, fingerprint: str) -> None:
        """Queue the removal of a request's row."""
        self._enqueue(Row(QUARANTINE_TABLE, fingerprint, None, 0))

    def _enqueue(self, row: Row) -> None:
        try:
            self._writes.send_nowait(row)
        except trio.WouldBlock:
            self._log.note("quarantine_not_kept", fingerprint=row.key, reason="busy")

    async def _write(self, row: Row) -> None:
        reason = ""
        for _ in range(MAX_WRITE_ATTEMPTS):
            outcome = await self._store.write([], [row])
            if isinstance(outcome, Done):
                return
            reason = str(outcome)
            await trio.sleep(RETRY_SECONDS)
        self._log.note("quarantine_not_kept", fingerprint=row.key, reason=reason)

    async def _load(
        self,
        get_keep_seconds: Callable[[], float],
        merge: Callable[[list[ServerCrash]], None],
    ) -> None:
        """Read the rows, with retries, if this instance reads the store for others."""
        await trio.sleep(LOAD_DELAY_SECONDS)
        if not self._is_reader():
            return
        reason = ""
        for _ in range(MAX_LOAD_ATTEMPTS):
            outcome = await self._store.read(QUARANTINE_TABLE)
            if isinstance(outcome, Done):
                self._merge_rows(outcome.value, get_keep_seconds(), merge)
                return
            reason = str(outcome)
            await trio.sleep(RETRY_SECONDS)
        self._log.note("quarantine_not_read", reason=reason)

    def _merge_rows(
        self,
        snapshot: Snapshot,
        keep_seconds: float,
        merge: Callable[[list[ServerCrash]], None],
    ) -> None:
        since = snapshot.store_time - keep_seconds
        for row in snapshot.rows:
            crashes = decode_row(row)
            if isinstance(crashes, InvalidRow):
                self._invalid_rows.note(crashes)
            elif all(crash.crashed_at <= since for crash in crashes):
                self.remove(row.key)
            else:
                merge(crashes)
