"""Instances apply forwarded updates, and call the store only for missed changes."""

from __future__ import annotations

from typing import Any

import trio
import trio.testing

from ashpond.controllers.feeds import (
    RESYNC_SECONDS,
    TableUpdate,
)
from ashpond.gateway.store import Row, StoreClock
from ashpond.standins.tables import MemoryStore
from tests.followed import IDLE_TIMEOUT_SECONDS, FollowedTable, running


async def test_updates_from_a_reader_replace_store_calls(
    autojump_clock: object,
) -> None:
    store = MemoryStore()
    reader, other = FollowedTable(store), FollowedTable(store)
    other.is_reader = False
    reader.follower._publish = other.follower.apply_update  # type: ignore[assignment]
    async with running(reader, other):
        await trio.sleep(1.0)
        calls = len(store.calls)
        store.put("t", "a", b"1")
        await trio.sleep(0.1)
        assert other.rows == {"a": b"1"}
        await trio.sleep(RESYNC_SECONDS / 2)
        asked = len(store.calls) - calls
        assert asked <= RESYNC_SECONDS / 2 / 2.0 + 3
        assert trio.current_time() - other.as_of < 2.1


async def test_instance_asks_the_store_after_the_idle_timeout(
    autojump_clock: object,
) -> None:
    store = MemoryStore()
    other = FollowedTable(store)
    other.is_reader = False
    async with running(other):
        await trio.sleep(1.0)
        store.put("t", "a", b"1")
        await trio.sleep(IDLE_TIMEOUT_SECONDS)
        assert other.rows == {"a": b"1"}
        assert trio.current_time() - other.as_of < IDLE_TIMEOUT_SECONDS + 0.1


async def test_table_reread_by_a_reader_is_forwarded(
    autojump_clock: object,
) -> None:
    """Guards against a reader that does not forward a table it had to read again.

    A reader read the table of members again after lost history, found another instance
    that was to be its group's hub, and handed that task over. The instances of the
    group did not receive the table, kept the former hub and got no update for 14 s.
    """
    store = MemoryStore()
    store.put("t", "a", b"1")
    reader, other = FollowedTable(store), FollowedTable(store)
    other.is_reader = False
    reader.follower._publish = other.follower.apply_update  # type: ignore[assignment]
    async with running(reader, other):
        await trio.sleep(0.1)
        store.put("other", "x", b"1")
        store.drop_history()
        store.put("t", "b", b"2")
        await trio.sleep(0.1)
        assert reader.full_reads == 2
        assert other.rows == {"a": b"1", "b": b"2"}


async def test_changes_requested_by_a_hub_reach_its_group(
    autojump_clock: object,
) -> None:
    """Guards against a hub that requests a missed change and does not forward it.

    After lost history, the members of a group whose hub is no reader learned of a new
    instance after 17.6 s, those of other groups after 0.3 s.
    """
    store = MemoryStore()
    reader, hub, member = (
        FollowedTable(store),
        FollowedTable(store),
        FollowedTable(store),
    )
    hub.is_reader = member.is_reader = False
    forwarded: list[TableUpdate] = []
    reader.follower._publish = forwarded.append

    def forward(update: TableUpdate) -> None:
        member.follower.apply_update(update)

    hub.follower._publish = forward
    async with running(reader, hub, member):
        await trio.sleep(0.1)
        store.put("t", "a", b"1")
        await trio.sleep(0.1)
        store.put("t", "b", b"2")
        await trio.sleep(0.1)
        calls = len(store.calls)
        assert not hub.follower.apply_update(forwarded[-1])
        await trio.sleep(0.1)
        assert hub.rows == {"a": b"1", "b": b"2"}
        assert member.rows == hub.rows
        # The hub's call served the member too.
        assert len(store.calls) == calls + 1
        store.put("other", "x", b"1")
        store.drop_history()
        store.put("t", "c", b"3")
        await trio.sleep(0.1)
        calls = len(store.calls)
        # A table that a reader reads again is forwarded whole: the hub applies and
        # forwards it, and neither the hub nor the member calls the store.
        assert hub.follower.apply_update(forwarded[-1])
        forward(forwarded[-1])
        assert hub.rows == {"a": b"1", "b": b"2", "c": b"3"}
        assert member.rows == hub.rows
        await trio.sleep(0.1)
        assert len(store.calls) == calls


async def test_first_read_of_a_reader_is_not_forwarded(
    autojump_clock: object,
) -> None:
    """A first read shows no missed change, so others need not call the store."""
    store = MemoryStore()
    store.put("t", "a", b"1")
    reader = FollowedTable(store)
    async with running(reader):
        await trio.sleep(0.1)
        assert reader.full_reads == 1
        assert reader.published == []


async def test_missed_change_is_requested_at_once(autojump_clock: object) -> None:
    store = MemoryStore()
    other = FollowedTable(store)
    other.is_reader = False
    async with running(other):
        await trio.sleep(0.1)
        store.put("t", "a", b"1")
        store.put("t", "b", b"2")
        update = TableUpdate("t", 1, 2, 0.0, (Row("t", "b", b"2", 2),))
        assert not other.follower.apply_update(update)
        await trio.sleep(0.1)
        assert other.rows == {"a": b"1", "b": b"2"}


async def test_gap_found_during_a_call_is_requested(
    autojump_clock: object,
) -> None:
    """Guards against an answer that clears a gap found after the answer was made.

    The missed change was then applied 3.0 s later instead of at once.
    """
    store = MemoryStore()
    other = FollowedTable(store)
    other.is_reader = False
    answer_made, forwarded = trio.Event(), trio.Event()
    follow = store.follow

    async def follow_slowly(table: str, after: int, wait: float) -> Any:
        answer = await follow(table, after, wait)
        if not forwarded.is_set():
            answer_made.set()
            await forwarded.wait()
        return answer

    other.follower._store = store.build_port()._replace(follow=follow_slowly)
    async with running(other):
        await answer_made.wait()
        store.put("t", "a", b"1")
        store.put("t", "b", b"2")
        update = TableUpdate("t", 1, 2, 0.0, (Row("t", "b", b"2", 2),))
        assert not other.follower.apply_update(update)
        forwarded.set()
        await trio.sleep(0.1)
        assert other.rows == {"a": b"1", "b": b"2"}


async def test_old_update_is_ignored(autojump_clock: object) -> None:
    store = MemoryStore()
    other = FollowedTable(store)
    other.is_reader = False
    store.put("t", "a", b"1")
    store.put("t", "a", b"2")
    async with running(other):
        await trio.sleep(0.1)
        as_of = other.as_of
        update = TableUpdate("t", 0, 1, 0.0, (Row("t", "a", b"1", 1),))
        assert not other.follower.apply_update(update)
        assert other.rows == {"a": b"2"}
        assert other.as_of == as_of


async def test_update_from_the_future_is_rejected(
    autojump_clock: object,
) -> None:
    """The store's clock has restarted, or the sender's estimate of it is wrong."""
    store = MemoryStore()
    other = FollowedTable(store)
    other.is_reader = False
    async with running(other):
        await trio.sleep(0.1)
        as_of = other.as_of
        later = store.clock_offset + trio.current_time() + 5.0
        assert not other.follower.apply_update(TableUpdate("t", 0, 0, later, ()))
        assert other.as_of == as_of


async def test_clock_is_resynced_by_one_table_only(
    autojump_clock: object,
) -> None:
    """Guards against calls for each of the three tables to correct the same clock.

    That made 585 calls a minute for 195 instances, where 195 calls are enough.
    """
    store = MemoryStore()
    clock = StoreClock()
    followed = [FollowedTable(store) for _ in range(3)]
    reader = FollowedTable(store)
    for one in followed:
        one.is_reader = False
        one.follower._clock = clock
        one.follower._publish = lambda update: None

    def forward(update: TableUpdate) -> None:
        for one in followed:
            one.follower.apply_update(update)

    reader.follower._publish = forward
    asked: list[float] = []
    follow = followed[0].follower._store.follow

    async def count(*arguments: Any) -> Any:
        asked.append(trio.current_time())
        return await follow(*arguments)

    for one in followed:
        one.follower._store = one.follower._store._replace(follow=count)
    async with trio.open_nursery() as nursery:
        for one in (*followed, reader):
            nursery.start_soon(one.run)
        await trio.sleep(RESYNC_SECONDS * 3.5)
        nursery.cancel_scope.cancel()
    assert 3 <= len(asked) <= 4


async def test_a_version_shows_a_new_peer_that_it_has_missed_a_change(
    autojump_clock: object,
) -> None:
    """Instances that start together read the members' table before all have joined.

    Without the version that a peer knows, one of 84 instances knew only 30 for 20 s.
    """
    store = MemoryStore()
    reader, other = FollowedTable(store), FollowedTable(store)
    other.is_reader = False
    async with running(reader, other):
        await trio.sleep(0.1)
        store.put("t", "a", b"1")
        await trio.sleep(0.1)
        assert not other.rows
        version = reader.follower.describe_version()
        assert version is not None
        assert not version.rows
        other.follower.apply_update(version)
        await trio.sleep(0.1)
        assert other.rows == {"a": b"1"}
        calls = len(store.calls)
        other.follower.apply_update(version)
        await trio.sleep(0.1)
        assert len(store.calls) == calls
