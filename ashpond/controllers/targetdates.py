"""The rows of the store that say since when weight targets have been in force.

An instance that starts finds a target, but not when it was accepted. Without that, it
would send requests to outdated engines for longer than the weights' bound allows.
"""

from __future__ import annotations

__all__ = ["TARGETS_TABLE", "TargetDates", "decode_dates"]

from collections.abc import Callable
from typing import TYPE_CHECKING

import msgspec
import trio

from ashpond.bounds import Amount, Count
from ashpond.gateway.store import Condition, InvalidRow, Row, Snapshot
from ashpond.outcomes import Done

if TYPE_CHECKING:
    import random

    from ashpond.controllers.invalidrows import InvalidRows
    from ashpond.decisions.knowledge import Knowledge
    from ashpond.gateway.decisionlog import DecisionLog
    from ashpond.gateway.store import Store, StoreClock

TARGETS_TABLE = "ashpond-targets"
# The instances that may write a row do so at random times within this span, so that
# most find it written (seconds).
SPREAD_SECONDS = 0.3
# The pause before another try, doubled up to the limit (seconds).
RETRY_SECONDS = 0.3
MAX_RETRY_SECONDS = 4.0


class _Date(msgspec.Struct):
    version: Count
    # The earliest time of the acceptance, on the store's monotonic clock in seconds.
    accepted_after: Amount


class _Dates(msgspec.Struct):
    dates: list[_Date]
    # The era of the store in which the row was written. In a later one, the versions
    # and the clock may be those of a copy.
    era: int | None = None


_DECODER = msgspec.json.Decoder(_Dates)


def decode_dates(row: Row) -> dict[int, float] | InvalidRow:
    """Return the store's times in a row by version, or the row as invalid."""
    found = _decode(row)
    if isinstance(found, InvalidRow):
        return found
    return {date.version: date.accepted_after for date in found.dates}


def _decode(row: Row) -> _Dates | InvalidRow:
    try:
        return _DECODER.decode(row.value or b"")
    except (msgspec.MsgspecError, ValueError, RecursionError) as error:
        return InvalidRow(row.table, row.key, row.version, str(error))


class TargetDates:
    """Exchanges the dates of weight targets with other instances, over the store.

    An instance that followed the store when a target was accepted knows its date. One
    that has started since reads it.

    :param is_writer: returns whether this instance writes dates, as few others do.
    :param is_needed: returns whether a missing date matters, as an engine is outdated.
    """

    def __init__(
        self,
        store: Store,
        knowledge: Knowledge,
        clock: StoreClock,
        log: DecisionLog,
        invalid_rows: InvalidRows,
        rng: random.Random,
        is_writer: Callable[[], bool],
        is_needed: Callable[[], bool],
    ):
        self._store = store
        self._knowledge = knowledge
        self._clock = clock
        self._log = log
        self._invalid_rows = invalid_rows
        self._rng = rng
        self._is_writer = is_writer
        self._is_needed = is_needed
        self._wake = trio.Event()
        store.era.on_change(self.note_target)

    def note_target(self) -> None:
        """Exchange dates soon, as there is a new target or a new era of the store."""
        self._wake.set()

    async def run(self) -> None:
        """Read missing dates and write known ones until cancelled."""
        while True:
            await self._wake.wait()
            self._wake = trio.Event()
            pause = RETRY_SECONDS
            while not await self._exchange():
                with trio.move_on_after(pause):
                    await self._wake.wait()
                pause = min(2 * pause, MAX_RETRY_SECONDS)

    async def _exchange(self) -> bool:
        """Read and write dates once; return whether that was all there is to do."""
        is_dated = not self._knowledge.list_undated()
        if is_dated and not self._is_writer():
            return True
        if is_dated:
            await trio.sleep(self._rng.uniform(0, SPREAD_SECONDS))
        outcome = await self._store.read(TARGETS_TABLE)
        if not isinstance(outcome, Done):
            return False
        rows = {row.key: row for row in outcome.value.rows}
        self._clock.date(outcome.value)
        self._adopt(outcome.value)
        is_written = not self._is_writer() or await self._write(rows)
        is_known = not self._knowledge.list_undated() or not self._is_needed()
        return is_written and is_known

    def _adopt(self, snapshot: Snapshot) -> None:
        for row in snapshot.rows:
            found = _decode(row)
            if isinstance(found, InvalidRow):
                self._invalid_rows.note(found)
                continue
            self._invalid_rows.clear(row.table, row.key)
            if found.era != self._store.era.current:
                continue
            for date in found.dates:
                accepted_after = self._clock.date_forwarded(date.accepted_after)
                if accepted_after is not None:
                    self._adopt_date(row.key, date.version, accepted_after)

    def _adopt_date(self, model: str, version: int, accepted_after: float) -> None:
        if self._knowledge.date_target(model, version, accepted_after):
            age = round(trio.current_time() - accepted_after, 3)
            self._log.note("target_dated", model=model, version=version, age=age)

    async def _write(self, rows: dict[str, Row]) -> bool:
        """Write the dates that the rows lack; return whether all were written."""
        is_written = True
        for model in self._knowledge.targets:
            row = rows.get(model)
            if self._lists_target(model, row):
                continue
            version = row.version if row else 0
            outcome = await self._store.write(
                [Condition(TARGETS_TABLE, model, version)], [self._make_row(model)]
            )
            is_written = is_written and isinstance(outcome, Done)
        return is_written

    def _lists_target(self, model: str, row: Row | None) -> bool:
        """Return whether a row has the newest date that is known here."""
        dates = self._knowledge.list_dates(model)
        if not dates:
            return True
        found = _decode(row) if row else None
        if not isinstance(found, _Dates) or found.era != self._store.era.current:
            return False
        newest = max(dates)
        return any(date.version >= newest for date in found.dates)

    def _make_row(self, model: str) -> Row:
        dates = [
            _Date(version, max(0.0, self._clock.estimate_store_time(accepted_after)))
            for version, accepted_after in self._knowledge.list_dates(model).items()
        ]
        content = _Dates(dates, self._store.era.current)
        return Row(TARGETS_TABLE, model, msgspec.json.encode(content), 0)
