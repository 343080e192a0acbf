"""Builders of a follower that records what it reports about one table."""

from __future__ import annotations

from collections.abc import AsyncIterator
from contextlib import asynccontextmanager

import trio
import trio.testing

from ashpond.controllers.feeds import (
    Feed,
    Follower,
    TableUpdate,
)
from ashpond.gateway.decisionlog import DecisionLog
from ashpond.gateway.store import Snapshot, StoreClock
from ashpond.standins.tables import MemoryStore

IDLE_TIMEOUT_SECONDS = 3.0


class FollowedTable:
    """One table's follower, and the rows, failures and updates it has reported."""

    def __init__(self, store: MemoryStore, pause: float = 0.0):
        self.rows: dict[str, bytes | None] = {}
        self.full_reads = 0
        self.failures = 0
        self.log = DecisionLog("test")
        self.is_reader = True
        self.published: list[TableUpdate] = []
        self.as_of = float("-inf")
        self.max_age = 0.0
        self.store = store
        self.follower = Follower(
            Feed("t", 2.0, pause, IDLE_TIMEOUT_SECONDS, self.on_rows, self.on_failure),
            store.build_port(),
            StoreClock(),
            self.log,
            lambda: self.is_reader,
            self.published.append,
        )

    def on_rows(self, snapshot: Snapshot, is_whole: bool, as_of: float) -> None:
        if self.full_reads:
            age = trio.current_time() - self.as_of
            self.max_age = max(self.max_age, age)
        self.as_of = max(self.as_of, as_of)
        if is_whole:
            self.rows = {}
            self.full_reads += 1
        self.rows |= {row.key: row.value for row in snapshot.rows}

    def on_failure(self) -> None:
        self.failures += 1

    async def run(self) -> None:
        await self.follower.run()

    def list_events(self) -> list[str]:
        return [line["event"] for line in self.log._lines]


@asynccontextmanager
async def running(*followed: FollowedTable) -> AsyncIterator[None]:
    """Run the followers for the duration of the block."""
    async with trio.open_nursery() as nursery:
        for one in followed:
            nursery.start_soon(one.run)
        yield
        nursery.cancel_scope.cancel()
