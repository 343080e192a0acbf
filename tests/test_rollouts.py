"""One instance at a time, holding a lease, updates the weights of engines."""

from __future__ import annotations

import pytest
import trio
import trio.testing

from ashpond.controllers.directory import BackendServer
from ashpond.decisions.loads import Load
from ashpond.gateway.orders import EngineReport
from ashpond.outcomes import NotRun
from tests.fleet import Fleet, run_until_current


async def test_only_one_instance_sends_orders(autojump_clock: object) -> None:
    fleet = Fleet(8)
    async with trio.open_nursery() as nursery:
        await fleet.run(nursery)
        fleet.require_version(2)
        assert await run_until_current(fleet, 2, 10.0) < 4.0
        nursery.cancel_scope.cancel()
    assert len(fleet.list_holders()) == 1
    assert len(fleet.engines.orders) == 5
    assert fleet.engines.max_loading == 2


async def test_no_order_is_sent_when_none_is_needed(autojump_clock: object) -> None:
    fleet = Fleet(3)
    async with trio.open_nursery() as nursery:
        await fleet.run(nursery)
        fleet.require_version(1)
        await trio.sleep(5.0)
        nursery.cancel_scope.cancel()
    assert fleet.engines.orders == []
    assert fleet.store.calls == []


async def test_another_instance_takes_over_from_a_crashed_lease_holder(
    autojump_clock: object,
) -> None:
    fleet = Fleet(4)
    async with trio.open_nursery() as nursery:
        await fleet.run(nursery)
        fleet.require_version(2)
        while not fleet.engines.orders:
            await trio.sleep(0.01)
        holder = int(fleet.engines.orders[0].order.holder[1:])
        fleet.scopes[holder].cancel()
        await run_until_current(fleet, 2, 10.0)
        nursery.cancel_scope.cancel()
    assert len(fleet.list_holders()) == 2
    fleet.assert_holders_apart()


async def test_a_lease_holder_that_reaches_no_engine_lets_another_take_over(
    autojump_clock: object,
) -> None:
    """Its lease was renewed while it was cut off, and no engine got an order."""
    fleet = Fleet(4)
    async with trio.open_nursery() as nursery:
        await fleet.run(nursery)
        fleet.require_version(2)
        while not fleet.engines.orders:
            await trio.sleep(0.01)
        fleet.cut(fleet.engines.orders[0].order.holder)
        await run_until_current(fleet, 2, 10.0)
        nursery.cancel_scope.cancel()
    assert len(fleet.list_holders()) == 2
    fleet.assert_holders_apart()


async def test_a_lease_holder_whose_orders_are_answered_is_not_cut_off(
    autojump_clock: object,
) -> None:
    """Two engines crashed, and it let its lease expire while others took its orders."""
    fleet = Fleet(1, engines=20)
    (monitor,) = fleet.watch_contact()
    async with trio.open_nursery() as nursery:
        await fleet.run(nursery)
        fleet.require_version(2)
        while not fleet.engines.orders:
            await trio.sleep(0.01)
        now = trio.current_time()
        for server_id in ("s18", "s19"):
            monitor.note_failure(server_id, now, now)
        assert monitor.is_cut_off
        await run_until_current(fleet, 2, 60.0)
        nursery.cancel_scope.cancel()
    times = [sent.at for sent in fleet.engines.orders]
    assert max(b - a for a, b in zip(times, times[1:], strict=False)) < 1.5
    assert len({sent.order.fence for sent in fleet.engines.orders}) == 1


async def test_a_lease_that_expired_long_ago_is_taken_over_at_once(
    autojump_clock: object,
) -> None:
    """By the store's clock the lease was last renewed long ago."""
    fleet = Fleet(4)
    async with trio.open_nursery() as nursery:
        await fleet.run(nursery)
        fleet.require_version(2)
        await run_until_current(fleet, 2, 10.0)
        await trio.sleep(6.0)
        fleet.scopes[int(fleet.list_holders()[0][1:])].cancel()
        fleet.require_version(3)
        assert await run_until_current(fleet, 3, 10.0) < 7.0
        nursery.cancel_scope.cancel()
    fleet.assert_holders_apart()


async def test_late_orders_never_load_an_older_version(autojump_clock: object) -> None:
    fleet = Fleet(3)
    fleet.engines.orders_to_lose = 3
    async with trio.open_nursery() as nursery:
        await fleet.run(nursery)
        fleet.require_version(2)
        await run_until_current(fleet, 2, 10.0)
        fleet.require_version(3)
        await run_until_current(fleet, 3, 10.0)
        await trio.sleep(15.0)
        assert set(fleet.engines.versions.values()) == {3}
        nursery.cancel_scope.cancel()


async def test_late_orders_load_no_older_version_at_an_engine_without_reports(
    autojump_clock: object,
) -> None:
    """An order was sent without the expected number if an engine did not report it."""
    fleet = Fleet(3)
    fleet.engines.orders_to_lose = 3
    fleet.engines.is_report_lost = True
    async with trio.open_nursery() as nursery:
        await fleet.run(nursery)
        fleet.require_version(2)
        await trio.sleep(2.0)
        fleet.engines.is_report_lost = False
        fleet.require_version(3)
        await run_until_current(fleet, 3, 15.0)
        await trio.sleep(15.0)
        assert set(fleet.engines.versions.values()) == {3}
        nursery.cancel_scope.cancel()
    assert all(sent.order.expected_orders is not None for sent in fleet.engines.orders)


async def test_a_newer_target_replaces_an_unfinished_rollout(
    autojump_clock: object,
) -> None:
    fleet = Fleet(3)
    async with trio.open_nursery() as nursery:
        await fleet.run(nursery)
        fleet.require_version(2)
        await trio.sleep(0.5)
        fleet.require_version(3)
        await run_until_current(fleet, 3, 10.0)
        nursery.cancel_scope.cancel()
    # Engines that had not started to load version 2 never load it.
    assert sum(sent.order.version == 2 for sent in fleet.engines.orders) == 2


async def test_loads_wait_for_unreachable_engines_for_a_limited_time(
    autojump_clock: object,
) -> None:
    fleet = Fleet(1)
    async with trio.open_nursery() as nursery:
        await fleet.run(nursery)
        now = trio.current_time()
        for server_id in ("s3", "s4"):
            fleet.engines.down.add(server_id)
            fleet.tables[0].by_id[server_id].note_connect_failure(now)
            fleet.tables[0].by_id[server_id].excluded_until = now + 60
        fleet.require_version(2)
        await trio.sleep(2.5)
        assert fleet.engines.orders == []
        await trio.sleep(6.0)
        assert fleet.engines.max_loading == 1
        assert [fleet.engines.versions[f"s{n}"] for n in range(3)] == [2, 2, 2]
        nursery.cancel_scope.cancel()


@pytest.mark.parametrize("has_lost_answers", [False, True])
async def test_no_instance_takes_the_lease_without_the_store(
    has_lost_answers: bool, autojump_clock: object
) -> None:
    fleet = Fleet(2)
    fleet.store.is_down = not has_lost_answers
    fleet.store.lose_answers = has_lost_answers
    async with trio.open_nursery() as nursery:
        await fleet.run(nursery)
        fleet.require_version(2)
        await trio.sleep(3.0)
        if not has_lost_answers:
            assert fleet.engines.orders == []
        fleet.store.is_down = fleet.store.lose_answers = False
        await run_until_current(fleet, 2, 12.0)
        nursery.cancel_scope.cancel()
    fleet.assert_holders_apart()


async def test_non_resumable_requests_end_before_streams_are_cut(
    autojump_clock: object,
) -> None:
    fleet = Fleet(1, engines=1)
    state = fleet.tables[0].by_id["s0"]
    state.load = Load(3, 0, 0, bound=1)
    async with trio.open_nursery() as nursery:
        await fleet.run(nursery)
        fleet.require_version(2)
        await trio.sleep(0.5)
        assert fleet.engines.orders == []
        assert not state.is_usable(trio.current_time())
        state.load = Load(2, 0, 0, bound=0)
        await run_until_current(fleet, 2, 5.0)
        nursery.cancel_scope.cancel()
    assert [sent.order.cuts_runs for sent in fleet.engines.orders] == [True]


async def test_streams_are_not_cut_if_the_retry_budget_is_low(
    autojump_clock: object,
) -> None:
    fleet = Fleet(1, engines=1)
    fleet.retries_left = 20.0
    fleet.tables[0].by_id["s0"].load = Load(3, 0, 0, bound=0)
    async with trio.open_nursery() as nursery:
        await fleet.run(nursery)
        fleet.require_version(2)
        await run_until_current(fleet, 2, 5.0)
        nursery.cancel_scope.cancel()
    assert [sent.order.cuts_runs for sent in fleet.engines.orders] == [False]


async def test_streams_are_not_cut_beside_non_resumable_requests(
    autojump_clock: object,
) -> None:
    fleet = Fleet(1, engines=1)
    fleet.tables[0].by_id["s0"].load = Load(3, 0, 0, bound=1)
    async with trio.open_nursery() as nursery:
        await fleet.run(nursery)
        fleet.require_version(2)
        await run_until_current(fleet, 2, 5.0)
        nursery.cancel_scope.cancel()
    assert [sent.order.cuts_runs for sent in fleet.engines.orders] == [False]


async def test_streams_are_not_cut_beside_a_request_that_arrived_during_a_report(
    autojump_clock: object,
) -> None:
    """A request, or an update on one, arrives between the decision and the order.

    Streams were to be cut by a decision made before the engine's report was awaited, so
    that the order cut the new request too.
    """
    fleet = Fleet(1, engines=1)
    state = fleet.tables[0].by_id["s0"]
    state.load = Load(3, 0, 0, bound=0)
    reported = trio.Event()

    async def report_slowly(server: BackendServer) -> EngineReport | NotRun:
        report = await fleet.engines.report(server)
        if not reported.is_set():
            await trio.sleep(0.2)
            state.load = Load(4, 0, 0, bound=1)
            reported.set()
        return report

    port = fleet.engines.build_port()._replace(report=report_slowly)
    fleet.controllers[0].updater._engines = port
    async with trio.open_nursery() as nursery:
        await fleet.run(nursery)
        fleet.require_version(2)
        await reported.wait()
        await trio.sleep(0.5)
        assert fleet.engines.orders == []
        state.load = Load(3, 0, 0, bound=0)
        await run_until_current(fleet, 2, 5.0)
        nursery.cancel_scope.cancel()
    assert [sent.order.cuts_runs for sent in fleet.engines.orders] == [True]


async def test_weights_that_crash_engines_are_not_ordered_again_and_again(
    autojump_clock: object,
) -> None:
    """Each engine that loads a version crashes and restarts with the previous one.

    Without a count of crashes by order, 48 engines crash within a minute; with it, 6.
    """
    fleet = Fleet(3)
    fleet.engines.crashing_version = 2
    async with trio.open_nursery() as nursery:
        await fleet.run(nursery)
        fleet.require_version(2)
        await trio.sleep(60.0)
        assert fleet.engines.crashes <= 10
        # Crashes count for one version only.
        fleet.require_version(3)
        assert await run_until_current(fleet, 3, 20.0) < 10.0
        nursery.cancel_scope.cancel()


async def test_an_order_is_retried_after_unrelated_engine_crashes(
    autojump_clock: object,
) -> None:
    fleet = Fleet(3)
    fleet.engines.crashing_version = 2
    async with trio.open_nursery() as nursery:
        await fleet.run(nursery)
        fleet.require_version(2)
        while fleet.engines.crashes < 3:
            await trio.sleep(0.01)
        fleet.engines.crashing_version = None
        assert await run_until_current(fleet, 2, 30.0) < 15.0
        nursery.cancel_scope.cancel()
