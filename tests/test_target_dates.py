"""Instances that start learn from the store since when weight targets are in force."""

from __future__ import annotations

import random

import orjson
import pytest
import trio

from ashpond.controllers.invalidrows import InvalidRows
from ashpond.controllers.targetdates import TARGETS_TABLE, TargetDates
from ashpond.decisions.declared import WeightTarget
from ashpond.decisions.knowledge import Knowledge
from ashpond.gateway.decisionlog import DecisionLog
from ashpond.gateway.store import StoreClock
from ashpond.standins.tables import MemoryStore
from tests.gateway_builders import MODEL

BOUND_SECONDS = 10.0
# Requests are no longer sent on weights replaced for longer than this (seconds).
REQUIRED_SECONDS = 8.5


class Instance:
    """What one instance knows of targets; it starts when it is created."""

    def __init__(
        self,
        store: MemoryStore,
        nursery: trio.Nursery,
        *,
        is_writer: bool = True,
        seed: int = 1,
    ):
        self.is_writer = is_writer
        self.is_needed = True
        self.knowledge = Knowledge()
        self.log = DecisionLog("i")
        self.invalid = InvalidRows(self.log)
        self.store = store.build_port()
        self.dates = TargetDates(
            self.store,
            self.knowledge,
            StoreClock(),
            self.log,
            self.invalid,
            random.Random(seed),
            lambda: self.is_writer,
            lambda: self.is_needed,
        )
        nursery.start_soon(self.dates.run)

    def name_target(self, version: int) -> None:
        target = WeightTarget(MODEL, version)
        self.knowledge.adopt_target(target, trio.current_time())
        self.dates.note_change()

    def find_required(self) -> int:
        until = trio.current_time() - REQUIRED_SECONDS
        return self.knowledge.find_possible_version(MODEL, until)


@pytest.mark.parametrize("started_after", [1.0, 5.0, 9.0])
async def test_an_instance_that_starts_requires_a_target_no_later_than_others(
    started_after: float, autojump_clock: object
) -> None:
    """It sent to old engines until 17.5 s after the target, for a bound of 10 s."""
    store = MemoryStore()
    async with trio.open_nursery() as nursery:
        other = Instance(store, nursery)
        other.knowledge.confirm(trio.current_time())
        other.name_target(2)
        named_at = trio.current_time()
        await trio.sleep(started_after)
        started = Instance(store, nursery, is_writer=False)
        started.name_target(2)
        assert started.find_required() == 2
        await trio.sleep(0.1)
        while trio.current_time() < named_at + BOUND_SECONDS:
            is_due = trio.current_time() >= named_at + REQUIRED_SECONDS + 0.1
            assert started.find_required() == (2 if is_due else other.find_required())
            await trio.sleep(0.1)
        nursery.cancel_scope.cancel()


async def test_an_instance_that_starts_learns_the_dates_of_earlier_targets(
    autojump_clock: object,
) -> None:
    """Else engines that are two targets behind would get requests for too long."""
    store = MemoryStore()
    async with trio.open_nursery() as nursery:
        other = Instance(store, nursery)
        for version in (2, 3):
            other.knowledge.confirm(trio.current_time())
            other.name_target(version)
            await trio.sleep(5.0)
        started = Instance(store, nursery)
        started.name_target(3)
        await trio.sleep(0.5)
        # Version 2 was named 10.5 s ago, version 3 5.5 s ago.
        assert started.find_required() == 2
        nursery.cancel_scope.cancel()


async def test_a_date_from_before_a_restore_of_the_store_is_not_used(
    autojump_clock: object,
) -> None:
    """The copy may name another target by the same version."""
    store = MemoryStore()
    async with trio.open_nursery() as nursery:
        other = Instance(store, nursery)
        other.knowledge.confirm(trio.current_time())
        other.name_target(2)
        await trio.sleep(1.0)
        store.restore_from(store.take_copy())
        started = Instance(store, nursery, is_writer=False)
        started.name_target(2)
        await trio.sleep(0.2)
        assert started.knowledge.list_undated() == [MODEL]
        # An instance that followed the store writes the date again.
        await other.store.read("op")
        await trio.sleep(2.0)
        assert started.knowledge.list_undated() == []
        nursery.cancel_scope.cancel()


ODD_ROWS = [
    b"",
    b"[" * 100_000,
    b'{"dates": [{"version": 2, "accepted_after": 1e999}]}',
    b'{"dates": [{"version": -1, "accepted_after": 0}]}',
    b'{"dates": 7}',
    b"\xff\xfe",
]


@pytest.mark.parametrize("value", ODD_ROWS)
async def test_an_odd_row_dates_no_target_and_is_replaced(
    value: bytes, autojump_clock: object
) -> None:
    store = MemoryStore()
    store.put(TARGETS_TABLE, MODEL, value)
    async with trio.open_nursery() as nursery:
        started = Instance(store, nursery)
        started.name_target(2)
        await trio.sleep(0.5)
        assert started.knowledge.list_undated() == [MODEL]
        assert len(started.invalid.list_all()) == 1
        other = Instance(store, nursery)
        other.knowledge.confirm(trio.current_time())
        other.name_target(2)
        await trio.sleep(5.0)
        assert started.knowledge.list_undated() == []
        nursery.cancel_scope.cancel()


async def test_an_assumed_date_is_neither_written_nor_kept(
    autojump_clock: object,
) -> None:
    """A stopped instance took its pause for an outage, and others used its guess."""
    store = MemoryStore()
    async with trio.open_nursery() as nursery:
        stopped, other = Instance(store, nursery), Instance(store, nursery, seed=2)
        for instance in (stopped, other):
            instance.knowledge.confirm(trio.current_time())
        named_at = trio.current_time()
        other.is_writer = False
        other.name_target(2)
        await trio.sleep(9.0)
        target = WeightTarget(MODEL, 2)
        now = trio.current_time()
        stopped.knowledge.adopt_target(target, now, was_store_unreachable=True)
        stopped.dates.note_change()
        await trio.sleep(3.0)
        assert store.rows == {}
        other.is_writer = True
        other.dates.note_change()
        await trio.sleep(8.0)
        dates = stopped.knowledge.list_dates(MODEL)
        assert dates == {2: pytest.approx(named_at, abs=0.05)}
        nursery.cancel_scope.cancel()


async def test_a_date_in_the_future_is_ignored(autojump_clock: object) -> None:
    store = MemoryStore()
    content = {"dates": [{"version": 2, "accepted_after": 1e9}], "era": 1}
    store.put(TARGETS_TABLE, MODEL, orjson.dumps(content))
    async with trio.open_nursery() as nursery:
        started = Instance(store, nursery, is_writer=False)
        started.name_target(2)
        await trio.sleep(0.5)
        assert started.find_required() == 2
        nursery.cancel_scope.cancel()


async def test_an_instance_that_becomes_a_writer_writes_all_dates_that_it_has(
    autojump_clock: object,
) -> None:
    """A row with the newest target alone counted as complete."""
    store = MemoryStore()
    content = {"dates": [{"version": 3, "accepted_after": 1000.0}], "era": 1}
    store.put(TARGETS_TABLE, MODEL, orjson.dumps(content))
    async with trio.open_nursery() as nursery:
        instance = Instance(store, nursery, is_writer=False)
        for version in (2, 3):
            await trio.sleep(1.0)
            instance.knowledge.confirm(trio.current_time())
            instance.name_target(version)
        instance.is_writer = True
        instance.dates.note_change()
        await trio.sleep(2.0)
        nursery.cancel_scope.cancel()
    row = store.rows[TARGETS_TABLE, MODEL]
    listed = orjson.loads(row.value or b"")["dates"]
    assert [date["version"] for date in listed] == [2, 3]


async def test_a_target_of_another_model_during_a_write_ends_nothing(
    autojump_clock: object,
) -> None:
    store = MemoryStore()
    store.answer_seconds = 1.0
    async with trio.open_nursery() as nursery:
        instance = Instance(store, nursery)
        instance.knowledge.confirm(trio.current_time())
        instance.name_target(2)
        for number in range(20):
            await trio.sleep(0.25)
            instance.knowledge.confirm(trio.current_time())
            target = WeightTarget(f"other{number}", 2)
            instance.knowledge.adopt_target(target, trio.current_time())
            instance.dates.note_change()
        await trio.sleep(60.0)
        nursery.cancel_scope.cancel()
    assert len(store.rows) == 21


async def test_a_date_is_read_once_an_engine_is_outdated(
    autojump_clock: object,
) -> None:
    """It was not needed at the start, and never read later."""
    store = MemoryStore()
    async with trio.open_nursery() as nursery:
        other = Instance(store, nursery)
        other.knowledge.confirm(trio.current_time())
        other.name_target(2)
        await trio.sleep(1.0)
        started = Instance(store, nursery, is_writer=False)
        started.is_needed = False
        started.name_target(2)
        await trio.sleep(1.0)
        assert started.knowledge.list_undated() == [MODEL]
        started.is_needed = True
        started.dates.note_change()
        await trio.sleep(0.5)
        assert started.knowledge.list_undated() == []
        nursery.cancel_scope.cancel()


async def test_few_writes_date_a_target_for_many_instances(
    autojump_clock: object,
) -> None:
    store = MemoryStore()
    async with trio.open_nursery() as nursery:
        instances = [Instance(store, nursery, seed=number) for number in range(8)]
        for instance in instances:
            instance.knowledge.confirm(trio.current_time())
            instance.name_target(2)
        await trio.sleep(5.0)
        nursery.cancel_scope.cancel()
    row = store.rows[TARGETS_TABLE, MODEL]
    assert [date["version"] for date in orjson.loads(row.value or b"")["dates"]] == [2]
    writes = [call for call in store.calls if call.startswith("write")]
    assert len(writes) <= 3
