"""Requests go to servers by free slots, cached parts, weights and failures."""

from __future__ import annotations

import random

import pytest
import trio
import trio.testing
from hypothesis import given, strategies as st

from ashpond.controllers.cachestores import StoreContents
from ashpond.decisions.cacheindex import CacheIndex, make_salt
from ashpond.decisions.declared import CacheStore
from ashpond.decisions.loads import Load
from ashpond.decisions.prompts import Prompt
from ashpond.decisions.selection import (
    FEW_SERVERS,
    SHORT_SHARE,
    choose_server,
    find_home_ranks,
    make_load,
    rank_homes,
    select_by_prompt_size,
)
from ashpond.gateway.reservations import Reservation
from tests.gateway_builders import (
    MODEL,
    make_candidate,
    make_demand,
    make_prompt,
    make_reservations,
    make_server,
    make_table,
)


def choose(*candidates: object, prompt: object = None) -> str | None:
    chosen = choose_server(candidates, make_demand(prompt), random.Random(1))
    return chosen.id if chosen else None


def test_a_full_plain_server_gets_nothing() -> None:
    full = make_candidate("a", slots=6, load=Load(9))
    assert choose(full) is None
    assert choose(full, make_candidate("b", slots=6, load=Load(8))) == "b"


def test_an_engine_without_memory_gets_nothing() -> None:
    full = make_candidate("a", load=Load(3, 0, 79_000))
    assert choose(full, prompt=make_prompt()) is None
    # An idle server takes any request, however large.
    idle = make_candidate("b", memory_tokens=1000)
    assert choose(idle, prompt=make_prompt()) == "b"


def test_the_engine_that_has_cached_the_shared_parts_is_chosen() -> None:
    prompt = make_prompt()
    cached = make_candidate("a", cached_tokens=2000, load=Load(2))
    assert choose(cached, make_candidate("b"), prompt=prompt) == "a"


def test_a_fetch_avoids_a_busy_engine_that_has_the_prompt_cached() -> None:
    prompt = make_prompt()
    cached = make_candidate("a", cached_tokens=2000, load=Load(8, 20_000, 9000))
    other = make_candidate("b", fetch_tokens=2000)
    assert choose(cached, other, prompt=prompt) == "b"


def test_old_weights_and_failures_count_against_a_server() -> None:
    prompt = make_prompt()
    old = make_candidate("a", has_newest=False)
    assert choose(old, make_candidate("b", load=Load(5)), prompt=prompt) == "b"
    failing = make_candidate("a", failure_share=0.4, slots=6)
    assert choose(failing, make_candidate("b", slots=6, load=Load(3))) == "b"


def test_a_prompt_leaves_its_failure_domain_for_a_clearly_sooner_answer() -> None:
    """0.04 s is the prefill of 2,000 prompt tokens; a plain request leaves for less."""
    prompt = make_prompt()
    other = make_candidate("b", is_local=False)
    lightly_loaded = make_candidate("a", load=Load(1, 1_500))
    heavily_loaded = make_candidate("a", load=Load(1, 2_200))
    assert choose(lightly_loaded, other, prompt=prompt) == "a"
    assert choose(heavily_loaded, other, prompt=prompt) == "b"
    busy = make_candidate("a", slots=6, load=Load(1))
    assert choose(busy, make_candidate("b", slots=6, is_local=False)) == "b"


@given(st.lists(st.integers(0, 64), min_size=1, max_size=8))
def test_a_request_is_refused_only_if_all_are_full(loads: list[int]) -> None:
    candidates = [
        make_candidate(str(n), load=Load(load)) for n, load in enumerate(loads)
    ]
    chosen = choose_server(candidates, make_demand(make_prompt()), random.Random(1))
    assert (chosen is None) == all(load >= 64 for load in loads)


def test_instances_that_know_nothing_agree_on_a_home() -> None:
    names = [f"s{n}" for n in range(5)]
    prompt = make_prompt("rules", "shop", "own-1")
    other = make_prompt("rules", "shop", "own-2")
    assert find_home_ranks(prompt, "w", names, 0) == find_home_ranks(
        other, "w", names[::-1], 0
    )


def test_among_few_servers_the_home_is_that_of_the_first_uncached_part() -> None:
    names = [f"s{n}" for n in range(FEW_SERVERS)]
    ranks = [
        find_home_ranks(make_prompt("rules", shop, "own"), "w", names, 1000)
        for shop in ("a", "b", "c", "d")
    ]
    assert len({min(r, key=r.get) for r in ranks}) > 1
    first = [
        find_home_ranks(make_prompt("rules", shop, "own"), "w", names, 0)
        for shop in ("a", "b", "c", "d")
    ]
    assert len({min(r, key=r.get) for r in first}) == 1


def test_among_many_servers_prompts_with_a_common_start_have_different_homes() -> None:
    names = [f"s{n}" for n in range(FEW_SERVERS + 1)]
    for cached_tokens in (0, 1000):
        ranks = [
            find_home_ranks(
                make_prompt("rules", f"shop{n}", "own"),
                "w",
                names,
                cached_tokens,
                are_few=False,
            )
            for n in range(20)
        ]
        assert len({min(r, key=r.get) for r in ranks}) > FEW_SERVERS / 2


async def test_among_many_servers_uncached_parts_are_fetched_from_their_home() -> None:
    servers = [
        make_server(f"s{n}", address=f"127.0.0.1:{n + 1}")
        for n in range(FEW_SERVERS + 4)
    ]
    prompt = make_prompt()
    names = select_by_prompt_size(prompt, [server.id for server in servers])
    by_id = {server.id: server for server in servers}
    home = rank_homes("shop", "shared", names)[0]
    first = rank_homes("rules", "shared", names)[0]
    assert home != first
    table = make_table(*servers)
    now = trio.current_time()
    place = await make_reservations(table).reserve(make_demand(prompt), 1, now)
    assert place is not None
    assert (place.state.info.id, place.fetch_tokens) == (home, 0)
    assert place.fetch_from == by_id[first].address
    table.by_id[home].load = Load(60, 200_000, 9000)
    place = await make_reservations(table).reserve(make_demand(prompt), 1, now)
    assert place is not None
    assert place.state.info.id != home
    assert place.fetch_from == by_id[home].address
    # Nothing is fetched from a server with other weights or an unreachable one.
    table.by_id[home].weights[MODEL] = 2
    table.by_id[first].connect_failures = 1
    place = await make_reservations(table).reserve(make_demand(prompt), 1, now)
    assert place is not None
    assert place.fetch_from not in (by_id[home].address, by_id[first].address)


def make_short() -> Prompt:
    return make_prompt("rules", "shop", "own", tokens=200)


def test_many_servers_are_divided_by_prompt_length() -> None:
    names = [f"s{n}" for n in range(20)]
    short, long = (
        set(select_by_prompt_size(prompt, names))
        for prompt in (make_short(), make_prompt())
    )
    assert len(short) == round(20 * SHORT_SHARE)
    assert short | long == set(names)
    assert not short & long
    assert select_by_prompt_size(make_short(), names[::-1]) == select_by_prompt_size(
        make_short(), names
    )
    assert (
        select_by_prompt_size(make_prompt(), names[:FEW_SERVERS]) == names[:FEW_SERVERS]
    )


async def test_long_prompts_avoid_servers_reserved_for_short_ones() -> None:
    """Prefilling a long prompt in chunks pauses the answers that run beside it."""
    servers = [make_server(f"s{n}") for n in range(20)]
    table = make_table(*servers)
    places = make_reservations(table)
    short = set(select_by_prompt_size(make_short(), [server.id for server in servers]))
    now = trio.current_time()
    for number in range(40):
        prompts = (make_short(), make_prompt("rules", f"shop{number}", "own"))
        for prompt in prompts:
            place = await places.reserve(make_demand(prompt), 1, now)
            assert place is not None
            assert (place.state.info.id in short) == (prompt.tokens == 600)
    # If the servers for long prompts are busy, the others help, and vice versa.
    for server_id, state in table.by_id.items():
        state.load = Load() if server_id in short else Load(30, 60_000, 9000)
    place = await places.reserve(make_demand(make_prompt()), 1, now)
    assert place is not None
    assert place.state.info.id in short
    for server_id, state in table.by_id.items():
        state.load = Load(30, 100, 9000) if server_id in short else Load()
    place = await places.reserve(make_demand(make_short()), 1, now)
    assert place is not None
    assert place.state.info.id not in short


def test_cached_tokens_add_no_prefill_load() -> None:
    assert make_load(make_demand(make_prompt()), 2000) == Load(1, 1000, 1050, 1)
    resumable = make_demand(make_prompt())._replace(is_resumable=True)
    assert make_load(resumable, 0) == Load(1, 3000, 1050, 0)


async def test_a_reservation_names_a_fetch_source_with_the_same_salt() -> None:
    prompt = make_prompt()
    table = make_table(make_server("a", address="127.0.0.1:1"), make_server("b"))
    cache_index = CacheIndex()
    now = trio.current_time()
    cache_index.note_read("a", make_salt("shared", MODEL, 1), prompt, now)
    table.by_id["a"].load = Load(9, 30_000, 9000)
    place = await make_reservations(table, cache_index).reserve(
        make_demand(prompt), 1, now
    )
    assert (place.state.info.id, place.fetch_from) == ("b", "127.0.0.1:1")
    assert place.salt == make_salt("shared", MODEL, 1)


@pytest.mark.parametrize("is_complete", [False, True])
async def test_after_a_start_uncached_parts_are_fetched_from_the_store(
    is_complete: bool,
) -> None:
    """An instance that has just started knows no copy of any part.

    After a restart of all instances, 1.8 million shared tokens had no source in 3 s.
    """
    prompt = make_prompt()
    table = make_table(make_server("a"), make_server("b"))
    places = make_reservations(table)
    store = StoreContents(CacheStore("10.0.0.9:80", "north"))
    store.is_up = True
    store.is_complete = is_complete
    places.chooser.stores.by_address[store.store.address] = store
    now = trio.current_time()
    place = await places.reserve(make_demand(prompt), 1, now)
    assert place is not None
    assert place.fetch_from == (None if is_complete else store.store.address)


async def test_nothing_is_fetched_across_weights() -> None:
    prompt = make_prompt()
    new = make_server("b", weights={MODEL: 2})
    table = make_table(make_server("a"), new)
    cache_index = CacheIndex()
    now = trio.current_time()
    cache_index.note_read("a", make_salt("shared", MODEL, 1), prompt, now)
    table.by_id["a"].exclude_for(5.0, now)
    place = await make_reservations(table, cache_index).reserve(
        make_demand(prompt), 1, now
    )
    assert (place.state.info.id, place.fetch_from) == ("b", None)
    assert place.weights_version == 2


async def test_the_most_urgent_waiter_gets_the_slot(autojump_clock: object) -> None:
    table = make_table(make_server("a", service="plain", slots=2, weights={}))
    places = make_reservations(table)
    demand = make_demand(service="plain")
    until = trio.current_time() + 5.0
    taken = [await places.reserve(demand, 1, until) for _ in range(3)]
    order: list[int] = []

    async def wait(urgency: int) -> None:
        assert await places.reserve(demand, urgency, until) is not None
        order.append(urgency)

    async with trio.open_nursery() as nursery:
        for urgency in (5, 0, 3):
            nursery.start_soon(wait, urgency)
        await trio.testing.wait_all_tasks_blocked()
        for place in taken:
            places.release(place)
            await trio.testing.wait_all_tasks_blocked()
    assert order == [0, 3, 5]


async def test_a_wait_for_a_slot_ends_at_its_deadline(autojump_clock: object) -> None:
    places = make_reservations(make_table())
    started = trio.current_time()
    assert await places.reserve(make_demand(), 1, started + 0.15) is None
    assert trio.current_time() - started < 0.2


async def test_a_cancelled_waiter_leaves_no_slot_taken(
    autojump_clock: object,
) -> None:
    table = make_table(make_server("a", service="plain", slots=2, weights={}))
    places = make_reservations(table)
    demand = make_demand(service="plain")
    taken = [await places.reserve(demand, 1, trio.current_time()) for _ in range(3)]
    with trio.move_on_after(0.1):
        await places.reserve(demand, 1, trio.current_time() + 9)
    assert places.waiting == 0
    for place in taken:
        places.release(place)
    assert table.by_id["a"].load == Load()


async def test_weights_past_their_bound_get_nothing() -> None:
    table = make_table(make_server("a"), make_server("b", weights={MODEL: 2}))
    table.by_id["b"].load = Load(60)
    places = make_reservations(table, required=2)
    now = trio.current_time()
    place = await places.reserve(make_demand(make_prompt()), 1, now)
    assert place.state.info.id == "b"
    table.by_id["b"].exclude_for(5.0, now)
    assert await places.reserve(make_demand(make_prompt()), 1, now) is None


@pytest.mark.parametrize("is_given_first", [False, True])
async def test_a_slot_granted_while_its_waiter_is_cancelled_is_not_lost(
    is_given_first: bool,
) -> None:
    """The slot is granted in the scheduler step in which the client disconnects."""
    table = make_table(make_server("a", slots=1))
    places = make_reservations(table)
    now = trio.current_time()
    granted = []
    while place := await places.reserve(make_demand(), 1, now):
        granted.append(place)
    taken: list[Reservation | None] = []
    caller = trio.CancelScope()

    async def wait() -> None:
        with caller:
            taken.append(await places.reserve(make_demand(), 1, now + 60.0))

    async with trio.open_nursery() as nursery:
        nursery.start_soon(wait)
        while not places.waiting:
            await trio.lowlevel.checkpoint()
        if not is_given_first:
            caller.cancel()
        places.release(granted[0])
        assert not places.waiting
        caller.cancel()
    # The slot was either handed over or freed again.
    assert len(taken) == is_given_first
    assert table.by_id["a"].load.requests == len(granted) - 1 + len(taken)
