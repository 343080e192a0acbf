"""Follow the store's tables: operators' rows, backend servers, other instances.

Among few instances each asks the store itself. Among many a few readers do, and pass
on what they learn; the others ask only when they have received nothing for a while,
when they have missed a change, or to set their idea of the store's clock right.
"""

from __future__ import annotations

__all__ = ["Feed", "Follower", "TableUpdate"]

from collections.abc import Callable
from typing import NamedTuple

import trio

from ashpond.gateway.decisionlog import DecisionLog
from ashpond.gateway.store import HistoryLost, Row, Snapshot, Store, StoreClock
from ashpond.outcomes import Done, Unavailable, Unknown

# A call that failed is tried again after this, doubled up to the limit (seconds).
RETRY_SECONDS = 0.1
RETRY_LIMIT_SECONDS = 0.6
# The limit for an instance that readers will wake (seconds).
IDLE_RETRY_LIMIT_SECONDS = 2.0
# Clocks drift by up to 0.1 ms a second: an instance that is told all the same asks
# the store itself so often (seconds), for one of its tables: any answer sets the clock
# right, and 195 instances would spend 390 calls a minute on the two others.
RESYNC_SECONDS = 60.0
# After the store came back from an older copy, who is told by readers waits so long
# before it asks itself: 195 instances would read all three tables at once (seconds).
RESTORE_TIMEOUT_SECONDS = 1.5
# A whole table is told in one message up to this size of its values (bytes).
MAX_WHOLE_BYTES = 400_000
# News that make an instance's knowledge younger by less are not forwarded (seconds).
MIN_FORWARD_SECONDS = 0.2


class Feed(NamedTuple):
    """One table to follow.

    :param wait: how long one call may wait for a change (seconds).
    :param pause: how long changes are left to gather after an answer (seconds).
    :param patience: after so long without news from a reader, ask the store (seconds).
    :param on_rows: takes the snapshot, whether it is the whole table, and as of when
        on this process's clock.
    :param on_failure: is told of each call that brought nothing.
    """

    table: str
    wait: float
    pause: float
    idle_timeout: float
    on_rows: Callable[[Snapshot, bool, float], None]
    on_failure: Callable[[], None]


class TableUpdate(NamedTuple):
    """What a reader learned: all changes of a table from ``after`` to ``version``.

    ``store_time`` is the store's steady clock when it answered, in seconds. ``era`` is
    that of the store's data, None if it tells none. ``is_whole`` tells that the rows
    are all there are.
    """

    table: str
    after: int
    version: int
    store_time: float
    rows: tuple[Row, ...]
    era: int | None = None
    is_whole: bool = False


class Follower:
    """Keeps what one feed is for up to date.

    :param is_reader: whether this instance asks the store for others as well.
    :param publish: tells those that rely on this instance what a call has brought.
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
        """Forget the version that is known: it may have been given out again.

        A call that waits for what comes after it would hear nothing, or not all, and
        its empty answers would make old knowledge seem confirmed.
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
        """Take what a reader has forwarded; return whether to forward it."""
        now = trio.current_time()
        era = self._store.era
        if era.is_older(update.era):
            return False
        era.note(update.era, now, now)
        if update.is_whole and (self._version is None or update.after > self._version):
            return self._apply_full_table(update, now)
        if self._version is None or update.after > self._version:
            # A change in between was missed, or nothing is known yet.
            self._has_gap = self._version is not None
            self._wake()
            return False
        as_of = self._clock.date_relayed(update.store_time)
        if as_of is None or as_of > now:
            # The store's clock is not what it was: ask for it.
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
        self._version = max(self._version, update.version)
        snapshot = Snapshot(rows, update.version, update.store_time, as_of, now)
        self.feed.on_rows(snapshot, False, as_of)
        self._wake()
        return should_forward

    def _apply_full_table(self, update: TableUpdate, now: float) -> bool:
        """Take a whole table in place of what is known."""
        as_of = self._clock.date_relayed(update.store_time)
        if as_of is None or as_of > now:
            self._has_gap = self._version is not None
            self._wake()
            return False
        self._as_of = max(self._as_of, as_of)
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
        """Return for how long this instance need not ask the store (seconds)."""
        if self._version is None and not self._is_reader():
            return self._restored_at + RESTORE_TIMEOUT_SECONDS - now
        if self._version is None or self._has_gap or self._is_reader():
            return 0.0
        return min(
            self._measure_until_stale(now), self._clock.asked_at + RESYNC_SECONDS - now
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
        """Ask the store once, and tell the others."""
        feed = self.feed
        after = self._version
        had_gap = self._has_gap
        self._clock.asked_at = trio.current_time()
        # One that shows while the call is out may be newer than its answer.
        self._has_gap = False
        era_changes = self._era_changes
        outcome: Done | HistoryLost | Unavailable | Unknown
        outcome = Unknown("the store came back from an older copy")
        with trio.CancelScope() as self._call_scope:
            if after is None:
                outcome = await self._store.read(feed.table)
            else:
                # What is old already must not grow older while a call waits; and a
                # store that was lost may have come back from an older copy, which only
                # an answer tells.
                is_stale = self._measure_until_stale(trio.current_time()) <= 0
                wait = 0.0 if had_gap or is_stale or self._is_store_down else feed.wait
                outcome = await self._store.follow(feed.table, after, wait)
        if era_changes != self._era_changes and not (
            after is None and isinstance(outcome, Done)
        ):
            # What it brought counts from a version of the time before, if anything.
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
        # While the call was out, readers may have told of later changes.
        known = self._version if after is not None else None
        if known is not None and known > snapshot.version:
            return
        self._version = snapshot.version
        self.feed.on_rows(snapshot, after is None, as_of)
        # What a hub missed has not reached its group either.
        if self._is_reader() or had_gap:
            self._publish_update(snapshot, after)

    def _publish_update(self, snapshot: Snapshot, after: int | None) -> None:
        rows = snapshot.rows
        is_whole = False
        if after is None:
            if not self._must_publish_table:
                return
            after = snapshot.version
            is_whole = sum(len(r.value or b"") for r in rows) <= MAX_WHOLE_BYTES
            if not is_whole:
                # Which rows were removed meanwhile is not known: who knows less sees
                # from this that it has missed a change, and asks.
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
