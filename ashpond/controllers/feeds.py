"""Follow the store's tables: operators' rows, backend servers, other instances.

In a small fleet each instance calls the store itself. In a large fleet a few readers
do so and forward the changes as updates, which the hub of each group of instances
forwards to its group. The other instances call the store only if no update has arrived
for a while, if they have missed a change, or to correct their estimate of the store's
clock.
"""

from __future__ import annotations

__all__ = ["Feed", "Follower", "TableUpdate"]

from collections.abc import Callable
from typing import NamedTuple

import trio

from ashpond.gateway.decisionlog import DecisionLog
from ashpond.gateway.store import HistoryLost, Row, Snapshot, Store, StoreClock
from ashpond.outcomes import Done, Unavailable, Unknown

# The pause before a failed call is retried, doubled up to the limit (seconds).
RETRY_SECONDS = 0.1
RETRY_LIMIT_SECONDS = 0.6
# The limit for an instance that is no reader: an update wakes it earlier (seconds).
IDLE_RETRY_LIMIT_SECONDS = 2.0
# Clocks drift by up to 0.1 ms a second, so an instance that receives updates still
# calls the store at this interval (seconds). It does so for one of its tables only: any
# answer corrects the clock, and calls for the two other tables would be 390 a minute
# for 195 instances.
RESYNC_SECONDS = 60.0
# How long an instance other than a reader waits for an update after the store was
# restored from an older copy, before it calls the store itself (seconds). Without the
# wait, 195 instances would read all three tables at once.
RESTORE_TIMEOUT_SECONDS = 1.5
# A whole table is forwarded in one message up to this total size of its values (bytes).
MAX_WHOLE_BYTES = 400_000
# An update without new rows is forwarded only if it confirms the known rows as of a
# time at least this much later than before (seconds).
MIN_FORWARD_SECONDS = 0.2


class Feed(NamedTuple):
    """One table to follow.

    :param wait: how long the store may hold a call open for a change (seconds).
    :param pause: delay after an answer with rows, so that the next one returns several
        changes at once (seconds).
    :param idle_timeout: time without an update after which an instance that is no
        reader calls the store (seconds).
    :param on_rows: called with the snapshot, whether it is the whole table, and the
        time as of which it is valid, on this process's clock.
    :param on_failure: called after each failed call.
    """

    table: str
    wait: float
    pause: float
    idle_timeout: float
    on_rows: Callable[[Snapshot, bool, float], None]
    on_failure: Callable[[], None]


class TableUpdate(NamedTuple):
    """All changes of a table after version ``after`` up to ``version``.

    ``store_time`` is the store's monotonic clock when it answered, in seconds. ``era``
    is the era of the store's data, None if the store reports none. ``is_whole`` is set
    if the rows are the whole table.
    """

    table: str
    after: int
    version: int
    store_time: float
    rows: tuple[Row, ...]
    era: int | None = None
    is_whole: bool = False


class Follower:
    """Keeps one table's rows up to date, from the store or from readers' updates.

    :param is_reader: returns whether this instance calls the store for others as well.
    :param publish: sends an update to the instances that this instance forwards to.
    """

    def __init__(
        self,
        feed: Feed,
        store: Store,
        clock: StoreClock,
        log: DecisionLog,
        is_reader: Callable[[], bool],
        publish: Callable[[TableUpdate], None],
    ):
        self.feed = feed
        self._store = store
        self._clock = clock
        self._log = log
        self._is_reader = is_reader
        self._publish = publish
        self._version: int | None = None
        self._as_of = float("-inf")
        # The store's clock at the newest answer that is known here.
        self._store_time = 0.0
        self._has_gap = False
        self._is_store_down = False
        self._must_publish_table = False
        self._retry_seconds = RETRY_SECONDS
        self._update_event = trio.Event()
        self._era_changes = store.era.changes
        self._restored_at = float("-inf")
        self._call_scope = trio.CancelScope()
        store.era.on_change(self._begin_era)

    def _begin_era(self) -> None:
        """Discard the known version, which the restored store may assign again.

        A call that waits for changes after that version would miss some or all of
        them, and its empty answers would confirm outdated rows.
        """
        self._era_changes = self._store.era.changes
        self._version = None
        self._has_gap = False
        self._must_publish_table = True
        self._restored_at = trio.current_time()
        self._call_scope.cancel()
        self._wake()

    async def run(self) -> None:
        """Follow the table until cancelled."""
        while True:
            left = self._measure_until_poll(trio.current_time())
            if left > 0:
                await self._wait_for_update(left)
            else:
                await self._poll()

    def apply_update(self, update: TableUpdate) -> bool:
        """Apply an update that was forwarded; return whether to forward it further."""
        now = trio.current_time()
        era = self._store.era
        if era.is_older(update.era):
            return False
        era.apply(update.era, now, now)
        if update.is_whole and (self._version is None or update.after > self._version):
            return self._apply_full_table(update, now)
        if self._version is None or update.after > self._version:
            # A change in between was missed, or no version is known yet.
            self._has_gap = self._version is not None
            self._wake()
            return False
        as_of = self._clock.date_forwarded(update.store_time)
        if as_of is None or as_of > now:
            # The estimate of the store's clock is wrong: a call corrects it.
            self._has_gap = True
            self._wake()
            return False
        is_new = update.version > self._version
        should_forward = is_new or as_of - self._as_of >= MIN_FORWARD_SECONDS
        rows = tuple(row for row in update.rows if row.version > self._version)
        if rows:
            self._log.note(
                "told_by_reader",
                table=update.table,
                rows=len(rows),
                version=update.version,
                age=round(now - as_of, 3),
            )
        self._as_of = max(self._as_of, as_of)
        self._store_time = max(self._store_time, update.store_time)
        self._version = max(self._version, update.version)
        snapshot = Snapshot(rows, update.version, update.store_time, as_of, now)
        self.feed.on_rows(snapshot, False, as_of)
        self._wake()
        return should_forward

    def note_reader(self) -> None:
        """Call the store now, as this instance has become a reader."""
        self._wake()

    def describe_version(self) -> TableUpdate | None:
        """Return an update without rows that has the version known here, if any.

        It shows an instance with an older version that it has missed a change.
        """
        if self._version is None:
            return None
        return TableUpdate(
            self.feed.table,
            self._version,
            self._version,
            self._store_time,
            (),
            self._store.era.current,
        )

    def _apply_full_table(self, update: TableUpdate, now: float) -> bool:
        """Replace all known rows by an update's; return whether it was applied."""
        as_of = self._clock.date_forwarded(update.store_time)
        if as_of is None or as_of > now:
            self._has_gap = self._version is not None
            self._wake()
            return False
        self._as_of = max(self._as_of, as_of)
        self._store_time = update.store_time
        self._version = update.version
        self._log.note(
            "table_told_by_reader",
            table=update.table,
            rows=len(update.rows),
            version=update.version,
            era=update.era,
        )
        snapshot = Snapshot(update.rows, update.version, update.store_time, as_of, now)
        self.feed.on_rows(snapshot, True, as_of)
        self._wake()
        return True

    def _measure_until_poll(self, now: float) -> float:
        """Return in how many seconds this instance has to call the store."""
        if self._version is None and not self._is_reader():
            return self._restored_at + RESTORE_TIMEOUT_SECONDS - now
        if self._version is None or self._has_gap or self._is_reader():
            return 0.0
        return min(
            self._measure_until_stale(now), self._clock.called_at + RESYNC_SECONDS - now
        )

    def _measure_until_stale(self, now: float) -> float:
        return self._as_of + self.feed.idle_timeout - now

    async def _wait_for_update(self, seconds: float) -> None:
        with trio.move_on_after(seconds):
            await self._update_event.wait()

    def _wake(self) -> None:
        self._update_event.set()
        self._update_event = trio.Event()

    async def _poll(self) -> None:
        """Call the store once, and publish what it returned."""
        feed = self.feed
        after = self._version
        had_gap = self._has_gap
        self._clock.called_at = trio.current_time()
        # A gap that is found during the call may be newer than its answer.
        self._has_gap = False
        era_changes = self._era_changes
        outcome: Done | HistoryLost | Unavailable | Unknown
        outcome = Unknown("the store was restored from an older copy")
        with trio.CancelScope() as self._call_scope:
            if after is None:
                outcome = await self._store.read(feed.table)
            else:
                # Rows that are already stale must not grow older while a call waits
                # for changes. A store that was unreachable may have been restored from
                # an older copy, which only an answer shows.
                is_stale = self._measure_until_stale(trio.current_time()) <= 0
                wait = 0.0 if had_gap or is_stale or self._is_store_down else feed.wait
                outcome = await self._store.follow(feed.table, after, wait)
        if era_changes != self._era_changes and not (
            after is None and isinstance(outcome, Done)
        ):
            # The call asked for changes after a version of the earlier era.
            return
        if not isinstance(outcome, Done):
            self._has_gap |= had_gap
        if isinstance(outcome, HistoryLost):
            self._log.note("feed_restarted", table=feed.table, after=after)
            self._version = None
            self._must_publish_table = True
            return
        if not isinstance(outcome, Done):
            await self._handle_failure(outcome)
            return
        snapshot: Snapshot = outcome.value
        if self._is_store_down:
            self._log.note("store_regained", table=feed.table, version=snapshot.version)
        self._is_store_down = False
        self._retry_seconds = RETRY_SECONDS
        self._apply_snapshot(snapshot, after, had_gap)
        if snapshot.rows:
            await trio.sleep(feed.pause)

    def _apply_snapshot(
        self, snapshot: Snapshot, after: int | None, had_gap: bool
    ) -> None:
        as_of = self._clock.date(snapshot)
        self._as_of = max(self._as_of, as_of)
        # Updates may have brought later changes during the call.
        known = self._version if after is not None else None
        if known is not None and known > snapshot.version:
            return
        self._version = snapshot.version
        self._store_time = snapshot.store_time
        # Published first: by its rows, this instance may cease to be the one that the
        # others rely on. A change that a group's hub missed has not reached its group
        # either.
        if self._is_reader() or had_gap:
            self._publish_update(snapshot, after)
        self.feed.on_rows(snapshot, after is None, as_of)

    def _publish_update(self, snapshot: Snapshot, after: int | None) -> None:
        rows = snapshot.rows
        is_whole = False
        if after is None:
            if not self._must_publish_table:
                return
            after = snapshot.version
            is_whole = sum(len(r.value or b"") for r in rows) <= MAX_WHOLE_BYTES
            if not is_whole:
                # It is not known which rows were removed in between. An update without
                # rows shows an instance with an older version that it has missed a
                # change, and that instance calls the store.
                rows = ()
        self._must_publish_table = False
        self._publish(
            TableUpdate(
                self.feed.table,
                after,
                snapshot.version,
                snapshot.store_time,
                rows,
                self._store.era.current,
                is_whole,
            )
        )

    async def _handle_failure(self, outcome: Unavailable | Unknown) -> None:
        if not self._is_store_down:
            self._log.note("store_lost", table=self.feed.table, reason=outcome.reason)
        self._is_store_down = True
        self.feed.on_failure()
        await self._wait_for_update(self._retry_seconds)
        is_reader = self._is_reader()
        limit = RETRY_LIMIT_SECONDS if is_reader else IDLE_RETRY_LIMIT_SECONDS
        self._retry_seconds = min(limit, self._retry_seconds * 2)
