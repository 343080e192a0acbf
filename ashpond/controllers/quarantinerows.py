"""The rows in which the store keeps quarantined requests.

They are for the case that all instances end together: else who starts hears of
quarantined requests from the others.
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
# Rows that wait to be written; one for each request that is quarantined.
MAX_QUEUED_WRITES = 32
RETRY_SECONDS = 0.5
MAX_WRITE_ATTEMPTS = 10
# An instance that starts hears from the others within a second; only if all were ended
# together does nobody know, and then those that read for the others ask (seconds).
LOAD_DELAY_SECONDS = 1.0
MAX_LOAD_ATTEMPTS = 60


class _RowEnd(msgspec.Struct):
    server: str
    born: int | None
    # On the store's steady clock, in seconds.
    sent_at: float
    ended_at: float


class _Row(msgspec.Struct):
    ends: list[_RowEnd]


_ROW_DECODER = msgspec.json.Decoder(_Row)


def encode_row(fingerprint: str, crashes: Sequence[ServerCrash]) -> Row:
    """Return the row that keeps the ends of a quarantined request."""
    table = _Row(
        [_RowEnd(e.server_id, e.started_ms, e.sent_at, e.crashed_at) for e in crashes]
    )
    return Row(QUARANTINE_TABLE, fingerprint, msgspec.json.encode(table), 0)


def decode_row(row: Row) -> list[ServerCrash] | InvalidRow:
    """Return the ends that a row tells of."""
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
    """Writes the rows, and reads them once after the start.

    :param is_reader: whether this instance asks the store for others as well.
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
        """Read what the store keeps, and write to it, until cancelled.

        :param get_keep_seconds: returns for how long an end counts.
        :param take: is called with the ends of each row that counts.
        """
        async with trio.open_nursery() as nursery:
            nursery.start_soon(self._load, get_keep_seconds, merge)
            async for row in self._to_write:
                await self._write(row)

    def persist(self, fingerprint: str, crashes: Sequence[ServerCrash]) -> None:
        """Have the store keep a request."""
        self._enqueue(encode_row(fingerprint, crashes))

    def remove(self, fingerprint: str) -> None:
        """Have the store forget a request."""
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
        """Learn what the store keeps."""
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
