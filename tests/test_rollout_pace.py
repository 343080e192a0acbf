"""How fast a rollout proceeds, and which streams it cuts."""

from __future__ import annotations

from typing import Any

import trio

from ashpond.controllers.orderlease import LEASE_TABLE
from ashpond.decisions.loadingslots import MANY_LOADING_SHARE
from ashpond.decisions.loads import Load
from ashpond.fleet.updates import ServerNotice
from ashpond.gateway.engineupdates import BOUND_WAIT_SECONDS
from ashpond.gateway.rollouts import HOLDER_CHECK_SECONDS, STANDBY_CHECK_SECONDS
from tests.fleet import Fleet, run_until_current


async def test_streams_are_cut_once_the_non_resumable_requests_have_ended(
    autojump_clock: object,
) -> None:
    """Else the order waits for the longest stream, 5 s, on an idle engine."""
    fleet = Fleet(1, engines=1)
    state = fleet.tables[0].by_id["s0"]
    state.load = Load(5, bound=1)
    async with trio.open_nursery() as nursery:
        await fleet.run(nursery)
        fleet.require_version(2)
        await trio.sleep(2 * BOUND_WAIT_SECONDS)
        assert not fleet.engines.orders
        state.load = Load(4, bound=0)
        await trio.sleep(0.2)
        assert [sent.order.cuts_runs for sent in fleet.engines.orders] == [True]
        nursery.cancel_scope.cancel()


async def test_an_engine_stays_excluded_during_a_long_load(
    autojump_clock: object,
) -> None:
    fleet = Fleet(1, engines=1)
    state = fleet.tables[0].by_id["s0"]
    notices: list[ServerNotice] = []
    fleet.controllers[0].updater._announce = notices.append
    fleet.engines.load_seconds = 5.0
    async with trio.open_nursery() as nursery:
        await fleet.run(nursery)
        fleet.require_version(2)
        with trio.fail_after(20.0):
            while not fleet.engines.orders:
                await trio.sleep(0.05)
        for _ in range(40):
            assert not state.is_usable(trio.current_time())
            await trio.sleep(0.1)
        exclusions = [notice for notice in notices if notice.excluded_seconds]
        assert len(exclusions) >= 2
        nursery.cancel_scope.cancel()


async def test_in_a_large_fleet_a_smaller_share_of_engines_loads_at_once(
    autojump_clock: object,
) -> None:
    fleet = Fleet(2, engines=45)
    async with trio.open_nursery() as nursery:
        await fleet.run(nursery)
        fleet.require_version(2)
        assert await run_until_current(fleet, 2, 10.0) < 8.0
        nursery.cancel_scope.cancel()
    assert fleet.engines.max_loading == int(45 * MANY_LOADING_SHARE)


async def test_instances_with_a_high_rank_do_not_read_the_lease(
    autojump_clock: object,
) -> None:
    fleet = Fleet(40)
    async with trio.open_nursery() as nursery:
        await fleet.run(nursery)
        fleet.require_version(2)
        await run_until_current(fleet, 2, 10.0)
        nursery.cancel_scope.cancel()
    assert fleet.store.calls.count(f"read {LEASE_TABLE}") <= 3


async def test_no_stream_is_cut_before_delayed_updates_have_arrived(
    autojump_clock: object,
) -> None:
    """Else requests sent moments before are cut: 735 answers in a large fleet."""
    fleet = Fleet(1, engines=1)
    fleet.controllers[0].updater._measure_update_lag = lambda: 1.2
    state = fleet.tables[0].by_id["s0"]
    state.load = Load(4, bound=0)
    async with trio.open_nursery() as nursery:
        await fleet.run(nursery)
        fleet.require_version(2)
        await trio.sleep(0.6)
        state.load = Load(5, bound=1)
        await trio.sleep(0.5)
        assert not fleet.engines.orders
        state.load = Load(4, bound=0)
        await trio.sleep(0.3)
        assert [sent.order.cuts_runs for sent in fleet.engines.orders] == [True]
        nursery.cancel_scope.cancel()


async def test_instances_without_the_lease_check_less_often(
    autojump_clock: object,
) -> None:
    """Each of 195 checked all servers, and ranked all members, ten times a second."""
    fleet = Fleet(8, engines=4)
    fleet.engines.load_seconds = 3.0
    checks = dict.fromkeys(range(8), 0)
    for number, controller in enumerate(fleet.controllers):

        def find(number: int = number, real: Any = controller._find_outdated) -> Any:
            checks[number] += 1
            return real()

        controller._find_outdated = find  # type: ignore[method-assign]
    async with trio.open_nursery() as nursery:
        await fleet.run(nursery)
        fleet.require_version(2)
        await trio.sleep(3.0)
        nursery.cancel_scope.cancel()
    holder = max(checks, key=lambda number: checks[number])
    assert fleet.list_holders() == [f"i{holder}"]
    assert checks.pop(holder) >= 3.0 / HOLDER_CHECK_SECONDS * 0.9
    assert max(checks.values()) <= 3.0 / STANDBY_CHECK_SECONDS + 2
