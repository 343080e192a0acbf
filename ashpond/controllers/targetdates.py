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
        # The versions that the rows of this era are known to date, by model.
        self._listed: dict[str, set[int]] = {}
        store.era.on_change(self._begin_era)

    def _begin_era(self) -> None:
        """Write all dates again, as those of a restored store prove nothing."""
        self._listed.clear()
        self._wake.set()

    def note_change(self) -> None:
        """Exchange dates soon if any is missing, as a target or a server is new."""
        if self._lacks_dates() or self._list_unwritten():
            self._wake.set()

    def _lacks_dates(self) -> bool:
        return bool(self._knowledge.list_undated()) and self._is_needed()

    def _list_unwritten(self) -> list[str]:
        """Return the models with dates that this instance has to write."""
        if not self._is_writer():
            return []
        return [
            model
            for model in self._knowledge.targets
            if self._knowledge.list_dates(model).keys() - self._listed.get(model, set())
        ]

    async def run(self) -> None:
        """Read missing dates and write known ones until cancelled."""
        while True:
            await self._wake.wait()
            self._wake = trio.Event()
            pause = RETRY_SECONDS
            while not await self._exchange():
                await trio.sleep(pause * self._rng.uniform(0.5, 1.5))
                pause = min(2 * pause, MAX_RETRY_SECONDS)

    async def _exchange(self) -> bool:
        """Read and write dates once; return whether that was all there is to do."""
        if not self._lacks_dates():
            await trio.sleep(self._rng.uniform(0, SPREAD_SECONDS))
        if not self._lacks_dates() and not self._list_unwritten():
            return True
        changes = self._store.era.changes
        outcome = await self._store.read(TARGETS_TABLE)
        if not isinstance(outcome, Done) or changes != self._store.era.changes:
            return False
        rows = {row.key: row for row in outcome.value.rows}
        self._clock.date(outcome.value)
        self._adopt(outcome.value)
        for model in self._list_unwritten():
            row = rows.get(model)
            if not await self._write(model, row.version if row else 0):
                return False
        return not self._lacks_dates()

    def _adopt(self, snapshot: Snapshot) -> None:
        for row in snapshot.rows:
            found = _decode(row)
            if isinstance(found, InvalidRow):
                self._invalid_rows.note(found)
                continue
            self._invalid_rows.clear(row.table, row.key)
            if found.era != self._store.era.current:
                continue
            self._listed[row.key] = {date.version for date in found.dates}
            for date in found.dates:
                accepted_after = self._clock.date_forwarded(date.accepted_after)
                if accepted_after is not None:
                    self._adopt_date(row.key, date.version, accepted_after)

    def _adopt_date(self, model: str, version: int, accepted_after: float) -> None:
        age = trio.current_time() - accepted_after
        if age < 0:
            self._log.note("target_date_ignored", model=model, version=version, age=age)
            return
        if self._knowledge.date_target(model, version, accepted_after):
            age = round(age, 3)
            self._log.note("target_dated", model=model, version=version, age=age)

    async def _write(self, model: str, replaced: int) -> bool:
        """Write the known dates of a model's targets; return whether this was done.

        :param replaced: the version of the row as read, 0 if there is none.
        """
        changes = self._store.era.changes
        dates = self._knowledge.list_dates(model)
        outcome = await self._store.write(
            [Condition(TARGETS_TABLE, model, replaced)], [self._make_row(model, dates)]
        )
        is_written = isinstance(outcome, Done) and changes == self._store.era.changes
        if is_written:
            self._listed[model] = set(dates)
        return is_written

    def _make_row(self, model: str, dates: dict[int, float]) -> Row:
        entries = [
            _Date(version, max(0.0, self._clock.estimate_store_time(accepted_after)))
            for version, accepted_after in dates.items()
        ]
        content = _Dates(entries, self._store.era.current)
        return Row(TARGETS_TABLE, model, msgspec.json.encode(content), 0)
