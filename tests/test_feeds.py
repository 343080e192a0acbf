"""Followers keep up with a table through outages and lost history."""

from __future__ import annotations

import pytest
import trio
import trio.testing

from ashpond.controllers.feeds import (
    RETRY_LIMIT_SECONDS,
)
from ashpond.controllers.storeview import (
    OPERATOR_WAIT_SHARE,
    READERS_IDLE_TIMEOUT_SHARE,
)
from ashpond.gateway.admission import MAX_AGE_SHARE
from ashpond.standins.tables import MemoryStore
from tests.followed import IDLE_TIMEOUT_SECONDS, FollowedTable, running


async def test_changes_arrive_at_once(autojump_clock: object) -> None:
    store = MemoryStore()
    store.put("t", "a", b"1")
    followed = FollowedTable(store)
    async with trio.open_nursery() as nursery:
        nursery.start_soon(followed.run)
        await trio.sleep(0.1)
        assert followed.rows == {"a": b"1"}
        store.put("t", "a", b"2")
        store.put("other", "x", b"3")
        await trio.sleep(0.02)
        assert followed.rows == {"a": b"2"}
        store.put("t", "a", None)
        await trio.sleep(0.02)
        assert followed.rows == {"a": None}
        nursery.cancel_scope.cancel()
    assert followed.full_reads == 1


async def test_table_is_read_again_after_lost_history(autojump_clock: object) -> None:
    store = MemoryStore()
    store.put("t", "a", b"1")
    followed = FollowedTable(store, pause=1.0)
    async with trio.open_nursery() as nursery:
        nursery.start_soon(followed.run)
        await trio.sleep(0.5)
        store.put("t", "a", None)
        store.put("t", "b", b"2")
        store.drop_history()
        await trio.sleep(1.0)
        assert followed.rows == {"b": b"2"}
        nursery.cancel_scope.cancel()
    assert followed.full_reads == 2


async def test_outage_is_logged_once_and_recovered_from(autojump_clock: object) -> None:
    store = MemoryStore()
    followed = FollowedTable(store)
    async with trio.open_nursery() as nursery:
        nursery.start_soon(followed.run)
        await trio.sleep(0.1)
        store.is_down = True
        store.put("t", "a", b"1")
        await trio.sleep(4.0)
        assert followed.rows == {}
        assert followed.failures > 3
        store.is_down = False
        await trio.sleep(0.7)
        assert followed.rows == {"a": b"1"}
        nursery.cancel_scope.cancel()
    events = followed.list_events()
    assert events.count("store_lost") == 1
    assert events.count("store_regained") == 1


# Revocation bounds, and the times that the store takes to answer (seconds).
@pytest.mark.parametrize(
    ("bound", "answer_seconds"),
    [(2.0, 0.004), (3.0, 0.004), (5.0, 0.004), (5.0, 0.6), (30.0, 0.004)],
)
async def test_knowledge_stays_fresh_without_readers(
    bound: float, answer_seconds: float, autojump_clock: object
) -> None:
    """Guards against an instance without updates that calls the store too late.

    After its idle timeout, the instance made a call that waits for changes. Its
    knowledge repeatedly reached an age of 4.0 s of the bound's 5 s. From 3.75 s on, it
    refused every request with a key, although the store answered all the time. An
    instance that takes a standby for its group's hub receives no updates.
    """
    store = MemoryStore()
    store.answer_seconds = answer_seconds
    other = FollowedTable(store)
    other.is_reader = False
    other.follower.feed = other.follower.feed._replace(
        wait=bound * OPERATOR_WAIT_SHARE,
        idle_timeout=bound * (OPERATOR_WAIT_SHARE + READERS_IDLE_TIMEOUT_SHARE),
    )
    async with trio.open_nursery() as nursery:
        nursery.start_soon(other.run)
        await trio.sleep(bound * 10)
        nursery.cancel_scope.cancel()
    assert 0.0 < other.max_age < bound * MAX_AGE_SHARE


async def test_first_call_after_an_outage_does_not_wait(
    autojump_clock: object,
) -> None:
    """Guards against stale knowledge that ages further while a call waits.

    The first call after an outage waited for changes, so a reader learned only 2.3 s
    after the outage's end that nothing had changed.
    """
    store = MemoryStore()
    followed = FollowedTable(store)
    async with running(followed):
        await trio.sleep(0.1)
        store.is_down = True
        store.put("other", "x", b"1")
        await trio.sleep(IDLE_TIMEOUT_SECONDS + 1.0)
        store.is_down = False
        back_at = trio.current_time()
        await trio.sleep(RETRY_LIMIT_SECONDS + 0.1)
        assert followed.as_of >= back_at
