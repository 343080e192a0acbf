"""Follow the store's tables: operators' rows, backend servers, other instances."""

from __future__ import annotations

__all__ = ["Feed", "follow_feed"]

from collections.abc import Callable
from typing import NamedTuple

import trio

from ashpond.gateway.decisionlog import DecisionLog
from ashpond.gateway.store import HistoryLost, Row, Snapshot, Store
from ashpond.outcomes import Done, Unavailable, Unknown

# A call that failed is tried again after this, doubled up to the limit (seconds).
RETRY_SECONDS = 0.1
RETRY_LIMIT_SECONDS = 0.6


class Feed(NamedTuple):
    """One table to follow.

    :param wait: how long one call may wait for a change (seconds).
    :param pause: how long changes are left to gather after an answer (seconds).
    :param on_rows: takes the snapshot and whether it is the whole table.
    :param on_failure: is told of each call that brought nothing.
    """

    table: str
    wait: float
    pause: float
    on_rows: Callable[[Snapshot, bool], None]
    on_failure: Callable[[], None]


async def follow_feed(feed: Feed, store: Store, log: DecisionLog) -> None:
    """Keep what ``feed`` is for up to date, until cancelled."""
    version: int | None = None
    retry = RETRY_SECONDS
    is_lost = False
    while True:
        outcome: Done | HistoryLost | Unavailable | Unknown
        if version is None:
            outcome = await store.read(feed.table)
        else:
            outcome = await store.follow(feed.table, version, feed.wait)
        if isinstance(outcome, HistoryLost):
            log.note("feed_restarted", table=feed.table, after=version)
            version = None
            continue
        if not isinstance(outcome, Done):
            if not is_lost:
                log.note("store_lost", table=feed.table, reason=outcome.reason)
            is_lost = True
            feed.on_failure()
            await trio.sleep(retry)
            retry = min(RETRY_LIMIT_SECONDS, retry * 2)
            continue
        if is_lost:
            log.note("store_regained", table=feed.table, version=outcome.value.version)
        is_lost = False
        retry = RETRY_SECONDS
        feed.on_rows(outcome.value, version is None)
        version = outcome.value.version
        if outcome.value.rows:
            await trio.sleep(feed.pause)


def find_last(rows: tuple[Row, ...], key: str) -> Row | None:
    """Return the newest of the rows with ``key``."""
    found = [row for row in rows if row.key == key]
    return found[-1] if found else None
