"""The lease on giving orders to engines, as a row of the store."""

from __future__ import annotations

__all__ = ["LEASE_TABLE", "OrderLease", "make_lease_key"]

from collections.abc import Callable

import msgspec
import orjson
import trio

from ashpond.bounds import Amount, Count
from ashpond.controllers.erarecord import EraRecord
from ashpond.controllers.invalidrows import InvalidRows
from ashpond.decisions.eras import EraState
from ashpond.decisions.leases import Lease, LeaseRow
from ashpond.decisions.placement import rank_by_rendezvous
from ashpond.gateway.decisionlog import DecisionLog
from ashpond.gateway.store import Condition, InvalidRow, Row, Store, StoreClock
from ashpond.outcomes import Done

LEASE_TABLE = "ashpond-leases"
LEASE_KEY = "weights"
RENDEZVOUS_KEY = 1
# After this time without progress, other instances contend for the lease (seconds).
NO_PROGRESS_SECONDS = 1.8
# The additional wait of each further rank (seconds).
RANK_SECONDS = 0.6
# How often an instance that contends reads the row (seconds).
CONTEND_SECONDS = 0.5


class _StoredLease(msgspec.Struct):
    holder: str
    fence: Count
    beat: Count
    renewed_at: Amount


_LEASE_DECODER = msgspec.json.Decoder(_StoredLease)


def make_lease_key(era: int | None) -> str:
    """Return the key of the lease's row in an era of the store.

    A restore from an older copy begins a new era and may assign a version again. Each
    era has its own row, so that an instance that does not know of the restore cannot
    overwrite the new lease by a write conditional on the old version.
    """
    return LEASE_KEY if era is None else f"{LEASE_KEY}/{era}"


class OrderLease:
    """Acquires and renews the lease for one instance.

    Instances contend in an order on which all agree, one rank after the other. One that
    reaches no engine does not, and lets a lease that it holds expire.

    :param era_record: knows what a missing row means. Without one, the store is taken
        for one that has never been restored.
    """

    def __init__(
        self,
        lease: Lease,
        store: Store,
        clock: StoreClock,
        log: DecisionLog,
        get_members: Callable[[], list[str]],
        invalid_rows: InvalidRows,
        reaches_engines: Callable[[], bool] = lambda: True,
        era_record: EraRecord | None = None,
    ):
        self.lease = lease
        self._store = store
        self._clock = clock
        self._log = log
        self._get_members = get_members
        self._invalid_rows = invalid_rows
        self._reaches_engines = reaches_engines
        self._era_record = era_record
        self._progress_at = float("-inf")
        self._read_at = float("-inf")
        self._has_read = False
        self._ranked_members: list[str] = []
        self._rank = 0
        # The keys of earlier eras' rows, which the first write in this era removes.
        self._old_keys: set[str] = set()
        self._knows_restore = False
        store.era.on_change(self._begin_era)

    def _begin_era(self) -> None:
        self.lease.restart_in_era(self._store.era.current, trio.current_time())
        self._has_read = False
        self._knows_restore = True
        self._old_keys.clear()

    def note_progress(self) -> None:
        """Record that some instance is giving orders."""
        self._progress_at = trio.current_time()

    def find_own_rank(self) -> int:
        """Return this instance's rank in the order of contention, 0 for the first."""
        members = self._get_members() or [self.lease.holder]
        if members != self._ranked_members:
            self._ranked_members = members
            ranked = rank_by_rendezvous(RENDEZVOUS_KEY, members)
            is_listed = self.lease.holder in ranked
            self._rank = ranked.index(self.lease.holder) if is_listed else len(ranked)
        return self._rank

    async def hold(self, now: float, lag: float) -> None:
        """Acquire or renew the lease if it is this instance's turn.

        :param lag: how long some engine has been behind its target (seconds).
        """
        if not self._may_contend(now, lag):
            return
        if not self._has_read:
            await self._read_lease(now)
            return
        if not self.lease.is_holder and now - self._read_at >= CONTEND_SECONDS:
            await self._read_lease(now)
        write = self.lease.plan_write(trio.current_time())
        if write is None:
            return
        sent_at = trio.current_time()
        era_changes = self._store.era.changes
        value = orjson.dumps(
            {
                "holder": write.row.holder,
                "fence": write.row.fence,
                "beat": write.row.beat,
                "renewed_at": self._clock.estimate_store_time(sent_at),
            }
        )
        key = make_lease_key(self._store.era.current)
        rows = [Row(LEASE_TABLE, old, None, 0) for old in sorted(self._old_keys)]
        outcome = await self._store.write(
            [Condition(LEASE_TABLE, key, write.version)],
            [Row(LEASE_TABLE, key, value, 0), *rows],
        )
        if era_changes != self._store.era.changes:
            # The write belongs to the previous era.
            return
        self._old_keys.clear()
        needs_read = self.lease.on_write(write, outcome, sent_at)
        self._log.note(
            "lease_written",
            fence=write.row.fence,
            beat=write.row.beat,
            outcome=type(outcome).__name__,
            held=self.lease.holds(trio.current_time()),
        )
        if needs_read:
            await self._read_lease(trio.current_time())

    def _may_contend(self, now: float, lag: float) -> bool:
        if not self._reaches_engines():
            return False
        if self.lease.is_holder:
            return True
        idle_seconds = min(lag, now - self._progress_at)
        wait = RANK_SECONDS * self.find_own_rank()
        if self.lease.has_row:
            wait += NO_PROGRESS_SECONDS
        return idle_seconds >= wait

    async def _read_lease(self, now: float) -> None:
        self._read_at = now
        outcome = await self._store.read(LEASE_TABLE)
        if not isinstance(outcome, Done):
            return
        era = self._store.era.current
        self.lease.set_era(era)
        snapshot = outcome.value
        self._clock.date(snapshot)
        rows = [row for row in snapshot.rows if row.key == make_lease_key(era)]
        if not rows:
            self._old_keys = {row.key for row in snapshot.rows}
            if not self._note_missing_row(era, now):
                return
            self._has_read = True
            self.lease.on_read(None, 0, now)
            return
        self._has_read = True
        row, renewed_at = self._decode_lease(rows[0], snapshot.store_time)
        age = max(0.0, snapshot.store_time - renewed_at)
        self.lease.on_read(row, rows[0].version, trio.current_time(), age)
        self._log.note("lease_read", holder=row.holder, fence=row.fence, age=age)

    def _note_missing_row(self, era: int | None, now: float) -> bool:
        """Wait for an unknown holder if one may have lost its row with a restore.

        :returns: whether it is known what the missing row means.
        """
        record = self._era_record
        if record is not None and record.state is EraState.UNKNOWN:
            return False
        may_be_lost = record is not None and record.state is EraState.UNSETTLED
        if (may_be_lost or self._old_keys) and not self._knows_restore:
            # The store was restored before this instance started, and the previous
            # era's holder may not know it yet.
            self._knows_restore = True
            since = record.known_since if record is not None and may_be_lost else now
            self.lease.restart_in_era(era, since)
            self._log.note("lease_may_be_held", era=era, since=since)
        return True

    def _decode_lease(self, row: Row, store_time: float) -> tuple[LeaseRow, float]:
        """Return the stored lease and the store's time of its last renewal.

        An invalid row counts as renewed just now by an unknown holder. Its fencing
        number is unknown too; the row's version is used, which is at least as high, as
        each increase of that number was a write to the store.
        """
        try:
            table = _LEASE_DECODER.decode(row.value or b"")
        except (msgspec.MsgspecError, ValueError, RecursionError) as error:
            self._invalid_rows.note(
                InvalidRow(row.table, row.key, row.version, str(error))
            )
            return LeaseRow("", max(row.version, self.lease.fence), 0), store_time
        self._invalid_rows.clear(row.table, row.key)
        return LeaseRow(table.holder, table.fence, table.beat), table.renewed_at
