"""Which engines load first, and how far engines fall behind their target."""

from __future__ import annotations

import pytest
import trio

from ashpond.decisions.loadingslots import MAX_LOADING_SHARE, count_needed_slots
from ashpond.decisions.loads import Load
from tests.fleet import Fleet, run_until_current, watch_lag

WEIGHTS_BOUND_SECONDS = 10.0
# The last engine should reach a target within this share of the bound.
GOAL_SHARE = 0.6
NAMING_SECONDS = 4.0


async def test_engines_with_much_load_are_not_left_behind_by_frequent_targets(
    autojump_clock: object,
) -> None:
    fleet = Fleet(2, engines=30)
    for table in fleet.tables:
        for number, state in enumerate(table.by_id.values()):
            state.load = Load(1 + number)
    longest = 0.0
    async with trio.open_nursery() as nursery:
        await fleet.run(nursery)
        for version in range(2, 8):
            fleet.require_version(version)
            longest = max(longest, await watch_lag(fleet, NAMING_SECONDS))
        nursery.cancel_scope.cancel()
    assert longest <= WEIGHTS_BOUND_SECONDS * GOAL_SHARE


async def test_full_engines_do_not_delay_the_loads_of_others(
    autojump_clock: object,
) -> None:
    """In a burst, most engines reject requests, and no load began for 3 s."""
    fleet = Fleet(1)
    async with trio.open_nursery() as nursery:
        await fleet.run(nursery)
        nursery.start_soon(_reject_for, fleet, 5.0)
        fleet.require_version(2)
        await trio.sleep(1.0)
        assert fleet.engines.orders
        nursery.cancel_scope.cancel()


@pytest.mark.parametrize("is_refused", [True, False])
async def test_engines_that_crash_beside_others_do_not_count_against_the_weights(
    is_refused: bool, autojump_clock: object
) -> None:
    """Half of the engines lost power: those that loaded limited the rollout for 5 s."""
    fleet = Fleet(1, engines=20)
    async with trio.open_nursery() as nursery:
        await fleet.run(nursery)
        fleet.require_version(2)
        while sum(map(bool, fleet.engines.loading.values())) < 4:
            await trio.sleep(0.01)
        await trio.sleep(0.5)
        loading = [name for name, version in fleet.engines.loading.items() if version]
        others = [name for name in fleet.engines.loading if name not in loading][:6]
        for server_id in (*loading, *others):
            nursery.start_soon(fleet.engines.crash, server_id)
        for server_id in others:
            fleet.note_unreached(server_id, is_refused=is_refused)
        seconds = await run_until_current(fleet, 2, 60.0)
        nursery.cancel_scope.cancel()
    assert seconds <= WEIGHTS_BOUND_SECONDS * GOAL_SHARE


async def _reject_for(fleet: Fleet, seconds: float) -> None:
    """Let all engines reject requests again and again."""
    ends_at = trio.current_time() + seconds
    while (now := trio.current_time()) < ends_at:
        for state in fleet.tables[0].by_id.values():
            state.note_full(now)
            state.note_loading(now)
        await trio.sleep(0.02)


def test_loads_at_once_follow_the_time_left() -> None:
    """Else a rollout that was delayed ends as much later as it began later."""
    early = count_needed_slots([0.0] * 30, 1.0, 6.0)
    late = count_needed_slots([4.0] * 30, 1.0, 6.0)
    assert (early, late) == (5, 15)
    # Those that are furthest behind come first, and the others have more time.
    assert count_needed_slots([5.0] * 4 + [0.0] * 8, 1.0, 6.0) == 4


async def test_a_rollout_that_began_late_ends_within_the_bound(
    autojump_clock: object,
) -> None:
    """The holder of the lease is lost, and its successor has half of the time."""
    fleet = Fleet(1, engines=30)
    fleet.age_targets(5.0)
    for state in fleet.tables[0].by_id.values():
        state.load = Load(1)
    async with trio.open_nursery() as nursery:
        await fleet.run(nursery)
        fleet.require_version(2)
        assert await run_until_current(fleet, 2, 10.0) < WEIGHTS_BOUND_SECONDS - 5.0
        nursery.cancel_scope.cancel()
    assert fleet.engines.max_loading <= 30 * MAX_LOADING_SHARE


async def test_an_engine_that_does_not_report_keeps_its_requests(
    autojump_clock: object,
) -> None:
    """It was excluded again and again for an order that it never got."""
    fleet = Fleet(1, engines=1)
    fleet.engines.is_report_lost = True
    state = fleet.tables[0].by_id["s0"]
    state.load = Load(3, bound=1)
    async with trio.open_nursery() as nursery:
        await fleet.run(nursery)
        fleet.require_version(2)
        for _ in range(200):
            await trio.sleep(0.1)
            assert state.is_usable(trio.current_time())
        fleet.engines.is_report_lost = False
        state.load = Load()
        assert await run_until_current(fleet, 2, 20.0) < 6.0
        nursery.cancel_scope.cancel()


async def test_a_lease_that_was_held_by_another_does_not_make_orders_fail(
    autojump_clock: object,
) -> None:
    """Each engine refused its first order, as the number of orders was an old one."""
    fleet = Fleet(1, engines=10)
    async with trio.open_nursery() as nursery:
        await fleet.run(nursery)
        fleet.require_version(2)
        await run_until_current(fleet, 2, 10.0)
        await trio.sleep(5.0)
        for server_id in fleet.engines.accepted:
            fleet.engines.accepted[server_id] += 1
        already_sent = len(fleet.engines.orders)
        fleet.require_version(3)
        await run_until_current(fleet, 3, 20.0)
        nursery.cancel_scope.cancel()
    assert len(fleet.engines.orders) - already_sent == 10


async def test_the_engines_of_one_service_do_not_load_all_at_once(
    autojump_clock: object,
) -> None:
    """The engines of another service counted as if they could take the traffic."""
    fleet = Fleet(1, engines=30)
    for number, state in enumerate(fleet.tables[0].by_id.values()):
        if number >= 5:
            state.info = state.info._replace(service="s2", weights={"m2": 1})
            state.weights = {"m2": 1}
    async with trio.open_nursery() as nursery:
        await fleet.run(nursery)
        fleet.require_version(2)
        await trio.sleep(10.0)
        nursery.cancel_scope.cancel()
    assert fleet.engines.max_loading == 2
    assert sum(version == 2 for version in fleet.engines.versions.values()) == 5
