"""The row that shows an instance that starts if the store was restored lately."""

from __future__ import annotations

__all__ = [
    "ERA_TABLE",
    "EraRecord",
    "decode_era_row",
    "find_settle_seconds",
]

from collections.abc import Callable
from typing import TYPE_CHECKING, NamedTuple

import msgspec
import trio

from ashpond.bounds import Count
from ashpond.controllers.storeview import RESTORE_SECONDS
from ashpond.decisions.eras import EraState
from ashpond.decisions.leases import make_lease_terms
from ashpond.gateway.store import Condition, InvalidRow, Row
from ashpond.outcomes import Conflict, Done, Unavailable, Unknown

if TYPE_CHECKING:
    import random

    from ashpond.controllers.invalidrows import InvalidRows
    from ashpond.gateway.decisionlog import DecisionLog
    from ashpond.gateway.store import Snapshot, Store

ERA_TABLE = "ashpond-era"
ERA_KEY = "settled"
# The era of a store that was never restored. In a later one, the rows of a first start
# may have been lost.
FIRST_ERA = 1
RETRY_SECONDS = 0.3
# The instances that may write the row do so at random times within this span (seconds).
SPREAD_SECONDS = 2.0
# All instances of a new deployment start within this time (seconds).
FIRST_START_SECONDS = 2.0


class _EraRow(msgspec.Struct, omit_defaults=True):
    # The era that has settled, 0 if the store reports none.
    era: Count
    # When the first instance of the deployment wrote the row, on the store's clock in
    # seconds. Missing once a later era has settled.
    first_started_at: float | None = None


_DECODER = msgspec.json.Decoder(_EraRow)


def _decode(row: Row) -> _EraRow | InvalidRow:
    try:
        return _DECODER.decode(row.value or b"")
    except (msgspec.MsgspecError, ValueError, RecursionError) as error:
        return InvalidRow(row.table, row.key, row.version, str(error))


def decode_era_row(row: Row) -> int | InvalidRow:
    """Return the era in a row, or the row as invalid."""
    found = _decode(row)
    return found if isinstance(found, InvalidRow) else found.era


class _Record(NamedTuple):
    """The row as read: None and 0 if it is missing, no content if it is invalid."""

    content: _EraRow | None
    version: int
    store_time: float

    def names_era(self, era: int | None) -> bool:
        """Return whether the record says that an era has settled."""
        return self.content is not None and self.content.era == (era or 0)


def find_settle_seconds(lease_seconds: float) -> float:
    """Return after which time in an era a missing row means that there is none.

    Operators' rows have been written again, and a lease whose row was lost is over.

    :param lease_seconds: time between the orders of two holders of a lease.
    """
    return max(RESTORE_SECONDS, make_lease_terms(lease_seconds).takeover_wait)


class EraRecord:
    """The era in which lost writes are known to have been written again.

    The row is written at the first start of a deployment, and some time after each
    change of the era. An instance that starts and finds an earlier era, or none, takes
    the store for restored lately: it may still lack a configuration that was
    acknowledged before, and any row of other instances. Whoever concludes something
    from a missing row asks :attr:`state` first.

    The settings say that no instance has served before, and may still say so when an
    instance starts again. They count only while the row is missing, or younger than
    the first starts of other instances, and in a store that was never restored.

    :param settle_seconds: after this time in an era, lost writes have been repeated,
        and whoever held a lease without a row no longer does.
    :param is_writer: returns whether this instance writes the row, as few others do.
    """

    def __init__(
        self,
        store: Store,
        log: DecisionLog,
        invalid_rows: InvalidRows,
        rng: random.Random,
        settle_seconds: float,
        is_writer: Callable[[], bool],
    ):
        self.state = EraState.UNKNOWN
        # Since when the store has answered in the present era (seconds).
        self.known_since = float("-inf")
        self._store = store
        self._log = log
        self._invalid_rows = invalid_rows
        self._rng = rng
        self._settle_seconds = settle_seconds
        self._is_writer = is_writer
        self._changed = trio.Event()
        self._known = trio.Event()
        store.era.on_change(self._on_change)

    def _on_change(self) -> None:
        if self.state is not EraState.UNKNOWN:
            self._set_state(EraState.UNSETTLED)
        self._changed.set()

    def _set_state(self, state: EraState) -> None:
        if state is not EraState.SETTLED or self.state is not EraState.UNSETTLED:
            self.known_since = trio.current_time()
        self.state = state
        self._log.note("store_era", era=self._store.era.current, state=state.value)

    async def wait_known(self) -> EraState:
        """Return the state once it is known."""
        await self._known.wait()
        return self.state

    async def run(
        self, begin: Callable[[EraState], None], *, is_first_start: bool
    ) -> None:
        """Read the row, and write it after each change of the era, until cancelled.

        :param begin: is called once with the state in the first era.
        :param is_first_start: whether the settings say that no instance has served
            before.
        """
        is_recorded = await self._find_state(is_first_start)
        begin(self.state)
        self._known.set()
        if not is_recorded:
            self._changed.set()
        while True:
            await self._changed.wait()
            self._changed = trio.Event()
            await self._settle()

    async def _find_state(self, is_first_start: bool) -> bool:
        """Find what missing rows mean; return whether the present era is recorded."""
        record = await self._read()
        while is_first_start and record.version == 0 and self._is_first_era():
            if await self._write_first(record):
                self._set_state(EraState.FIRST_START)
                return True
            record = await self._read()
        era = self._store.era.current
        is_recorded = record.names_era(era)
        if is_first_start and is_recorded and _is_first(record):
            self._set_state(EraState.FIRST_START)
            return True
        is_settled = is_recorded or era is None
        self._set_state(EraState.SETTLED if is_settled else EraState.UNSETTLED)
        return is_settled

    def _is_first_era(self) -> bool:
        era = self._store.era.current
        return era is None or era <= FIRST_ERA

    async def _write_first(self, record: _Record) -> bool:
        """Record the first start of the deployment; return whether this was done."""
        era = self._store.era.current
        changes = self._store.era.changes
        outcome = await self._put(_EraRow(era or 0, record.store_time), record)
        if isinstance(outcome, Done):
            return changes == self._store.era.changes
        if not isinstance(outcome, Conflict):
            await trio.sleep(RETRY_SECONDS)
        return False

    async def _settle(self) -> None:
        """Wait until lost writes have been repeated, and record that."""
        era = self._store.era.current
        with trio.move_on_after(self._settle_seconds):
            await self._changed.wait()
        if self._changed.is_set():
            return
        if self.state is EraState.UNSETTLED:
            self._set_state(EraState.SETTLED)
        with trio.move_on_after(self._rng.uniform(0, SPREAD_SECONDS)):
            await self._changed.wait()
        if self._is_writer() and not self._changed.is_set():
            await self._write(era)

    async def _read(self) -> _Record:
        while True:
            outcome = await self._store.read(ERA_TABLE)
            if isinstance(outcome, Done):
                return self._find_row(outcome.value)
            await trio.sleep(RETRY_SECONDS)

    def _find_row(self, snapshot: Snapshot) -> _Record:
        for row in snapshot.rows:
            if row.key != ERA_KEY:
                continue
            found = _decode(row)
            if isinstance(found, InvalidRow):
                self._invalid_rows.note(found)
                return _Record(None, row.version, snapshot.store_time)
            return _Record(found, row.version, snapshot.store_time)
        return _Record(None, 0, snapshot.store_time)

    async def _put(
        self, content: _EraRow, replaced: _Record
    ) -> Done | Conflict | Unavailable | Unknown:
        condition = Condition(ERA_TABLE, ERA_KEY, replaced.version)
        row = Row(ERA_TABLE, ERA_KEY, msgspec.json.encode(content), 0)
        return await self._store.write([condition], [row])

    async def _write(self, era: int | None) -> None:
        """Record an era that has settled, unless another instance has.

        Nothing is recorded if the era changes meanwhile.
        """
        while era is not None:
            record = await self._read()
            if self._changed.is_set() or record.names_era(era):
                return
            outcome = await self._put(_EraRow(era), record)
            if isinstance(outcome, Done | Conflict):
                return
            await trio.sleep(RETRY_SECONDS)


def _is_first(record: _Record) -> bool:
    """Return whether the deployment has started so lately that this start is a part."""
    content = record.content
    if content is None or content.first_started_at is None:
        return False
    return record.store_time - content.first_started_at < FIRST_START_SECONDS
