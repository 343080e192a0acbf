"""The server table, the retry budget, the cache index and cache stores' contents."""

from __future__ import annotations

import pytest

from ashpond.controllers.cachestores import SAVING_SECONDS, StoreContents
from ashpond.controllers.directory import MAX_LEAVING_STARTS, REAPPEAR_SECONDS
from ashpond.decisions.cacheindex import ENTRY_TTL_SECONDS, RESEND_SECONDS, CacheIndex
from ashpond.decisions.declared import CacheStore
from ashpond.decisions.loads import PEER_LOAD_SECONDS, Load
from ashpond.gateway.orders import CacheEvent
from tests.gateway_builders import MODEL, make_prompt, make_server, make_table


def test_draining_server_gets_no_new_requests() -> None:
    table = make_table(make_server("a"), make_server("b"))
    table.update(make_server("a", is_draining=True), 1.0)
    assert [state.info.id for state in table.list_usable("reader", 1.0)] == ["b"]


def test_removed_server_gets_no_new_requests() -> None:
    table = make_table(make_server("a"), make_server("b"))
    table.remove("a", 1.0, may_reappear=False)
    assert [state.info.id for state in table.list_usable("reader", 1.0)] == ["b"]


def test_servers_whose_entries_disappeared_are_used_until_entries_reappear() -> None:
    table = make_table(make_server("a"), make_server("b"))
    table.replace_all([], 1.0, may_reappear=True)
    assert len(table.list_usable("reader", 2.0)) == 2
    table.update(make_server("a"), 2.0)
    assert [state.info.id for state in table.list_usable("reader", 2.0)] == ["a"]
    gone = table.expire(1.0 + REAPPEAR_SECONDS + 0.1)
    assert [state.info.id for state in gone] == ["b"]


def test_draining_server_is_not_used_after_its_entry_disappears() -> None:
    table = make_table(make_server("a", is_draining=True))
    table.remove("a", 1.0, may_reappear=True)
    assert table.list_usable("reader", 1.0) == []


def test_versions_are_only_ever_raised() -> None:
    state = make_table(make_server("a", weights={MODEL: 3})).by_id["a"]
    assert not state.update_weights(MODEL, 2)
    assert state.update_weights(MODEL, 4)
    assert state.weights[MODEL] == 4


def test_pauses_after_connect_failures_grow_to_a_limit_and_reset() -> None:
    state = make_table(make_server("a")).by_id["a"]
    pauses = [state.note_connect_failure(0.0) for _ in range(6)]
    assert pauses == sorted(pauses)
    assert pauses[-1] == 4.0
    state.note_answer(5.0, failed=False)
    assert state.connect_failures == 0


def test_connect_failure_of_a_peer_is_ignored_if_the_server_answers_here() -> None:
    state = make_table(make_server("a")).by_id["a"]
    state.note_answer(10.0, failed=False)
    state.note_peer_connect_failure(1.0, 10.2)
    assert state.is_usable(10.2)
    state.note_peer_connect_failure(1.0, 12.0)
    assert not state.is_usable(12.0)


def test_loads_of_peers_without_updates_expire() -> None:
    table = make_table(make_server("a"))
    table.note_peer_loads("p", {"a": Load(4)}, 1.0)
    assert table.sum_load("a", 1.5).requests == 4
    assert table.sum_load("a", 1.0 + PEER_LOAD_SECONDS + 0.1).requests == 0


def test_cache_entries_count_in_prompt_order_until_they_expire() -> None:
    cache_index = CacheIndex()
    prompt = make_prompt("rules", "shop", "own")
    cache_index.note_read("a", "salt", prompt, 0.0)
    assert cache_index.count_tokens("a", "salt", prompt, 1.0) == 2000
    other = make_prompt("others", "shop", "own")
    assert cache_index.count_tokens("a", "salt", other, 1.0) == 0
    assert cache_index.count_tokens("a", "other salt", prompt, 1.0) == 0
    assert cache_index.count_tokens("a", "salt", prompt, ENTRY_TTL_SECONDS + 1) == 0
    cache_index.expire(ENTRY_TTL_SECONDS + 1)
    assert not cache_index._used_at


def test_cache_entry_is_reported_to_peers_once_per_interval() -> None:
    cache_index = CacheIndex()
    prompt = make_prompt("rules", "shop", "own")
    assert len(cache_index.note_read("a", "salt", prompt, 0.0)) == 2
    assert cache_index.note_read("a", "salt", prompt, 0.5) == []
    assert len(cache_index.note_read("a", "salt", prompt, RESEND_SECONDS + 0.1)) == 2


def make_stores(*parts: str) -> StoreContents:
    stores = StoreContents(CacheStore("127.0.0.1:9", "north"))
    stores.is_up = True
    events = tuple(
        CacheEvent(number, "salt", part, True) for number, part in enumerate(parts)
    )
    stores._apply(events)
    return stores


def test_cache_store_counts_parts_from_its_events() -> None:
    stores = make_stores("rules")
    prompt = make_prompt("rules", "shop", "own")
    assert stores.count_tokens("salt", prompt) == 1000
    stores._apply((CacheEvent(8, "salt", "rules", False),))
    assert stores.count_tokens("salt", prompt) == 0


def test_part_is_not_saved_again_while_a_save_is_in_progress() -> None:
    stores = make_stores("rules")
    prompt = make_prompt("rules", "shop", "own")
    assert stores.plan_save("salt", prompt, 0.0)
    assert not stores.plan_save("salt", prompt, 1.0)
    assert stores.plan_save("salt", prompt, SAVING_SECONDS + 0.1)


def test_unreachable_cache_store_is_not_used() -> None:
    stores = make_stores("rules")
    stores.is_up = False
    prompt = make_prompt("rules", "shop", "own")
    assert stores.count_tokens("salt", prompt) == 0
    assert not stores.plan_save("salt", prompt, 0.0)


@pytest.mark.parametrize("born", [None, 1000])
def test_leaving_server_is_not_readmitted_by_its_row(
    born: int | None,
) -> None:
    table = make_table(make_server("a", started_ms=born))
    table.note_leaving(table.by_id["a"])
    table.update(make_server("a", started_ms=born), 1.0)
    assert not table.list_usable("reader", 1.0)
    table.remove("a", 2.0, may_reappear=True)
    assert not table.list_usable("reader", 2.0)
    table.remove("a", 3.0, may_reappear=False)
    table.update(make_server("a", started_ms=born), 4.0)
    assert not table.list_usable("reader", 4.0)


def test_new_start_of_a_leaving_server_gets_requests() -> None:
    table = make_table(make_server("a", started_ms=1000))
    table.note_leaving(table.by_id["a"])
    table.update(make_server("a", started_ms=2000), 1.0)
    assert table.list_usable("reader", 1.0)


def test_number_of_remembered_leaving_starts_is_limited() -> None:
    table = make_table()
    for number in range(MAX_LEAVING_STARTS + 10):
        table.update(make_server(f"s{number}"), 0.0)
        table.note_leaving(table.by_id[f"s{number}"])
        table.remove(f"s{number}", 0.0, may_reappear=False)
    assert len(table._leaving) == MAX_LEAVING_STARTS
