"""One instance at a time brings engines to the declared weights."""

from __future__ import annotations

from typing import NamedTuple

import pytest
import trio
import trio.testing

from ashpond.gateway.decisionlog import DecisionLog
from ashpond.gateway.declared import WeightTarget
from ashpond.gateway.directory import BackendServer, Load, ServerTable
from ashpond.gateway.knowledge import Knowledge
from ashpond.gateway.newsitems import ServerNotice
from ashpond.gateway.orders import (
    CacheEvents,
    EnginePort,
    EngineReport,
    OrderAccepted,
    OrderOutcome,
    OrderRefused,
    WeightsOrder,
)
from ashpond.gateway.rollouts import (
    RolloutController,
)
from ashpond.gateway.store import StoreClock
from ashpond.outcomes import MaybeRun, NotRun
from ashpond.standins.tables import MemoryStore
from tests.gateway_builders import MODEL, make_server, make_table

LOAD_SECONDS = 0.8
LEASE_SECONDS = 3.0


class SentOrder(NamedTuple):
    at: float
    server_id: str
    order: WeightsOrder


class Engines:
    """Engines that load, and that may lose orders or carry them out late."""

    def __init__(self, servers: list[BackendServer]):
        self.versions = {server.id: 1 for server in servers}
        self.accepted = dict.fromkeys(self.versions, 0)
        self.loading = dict.fromkeys(self.versions, 0)
        self.load_seconds = LOAD_SECONDS
        self.most_loading = 0
        self.orders: list[SentOrder] = []
        self.lost = 0
        self.down: set[str] = set()
        self.nursery: trio.Nursery | None = None

    def build_port(self) -> EnginePort:
        return EnginePort(self.order, self.report, self.read_cache_events)

    async def order(self, server: BackendServer, order: WeightsOrder) -> OrderOutcome:
        self.orders.append(SentOrder(trio.current_time(), server.id, order))
        if server.id in self.down:
            return NotRun("refused")
        if self.lost:
            self.lost -= 1
            await trio.sleep(0.3)
            assert self.nursery is not None
            self.nursery.start_soon(self._carry_out_late, server.id, order)
            return MaybeRun("no answer")
        return self._carry_out(server.id, order)

    async def _carry_out_late(self, server_id: str, order: WeightsOrder) -> None:
        await trio.sleep(6.0)
        self._carry_out(server_id, order)

    def _carry_out(self, server_id: str, order: WeightsOrder) -> OrderOutcome:
        if order.expected_orders not in (None, self.accepted[server_id]):
            return OrderRefused(409)
        if self.loading[server_id]:
            return OrderRefused(409)
        if self.versions[server_id] == order.version:
            return OrderAccepted(is_in_force=True)
        self.accepted[server_id] += 1
        self.loading[server_id] = order.version
        self.most_loading = max(
            self.most_loading, sum(map(bool, self.loading.values()))
        )
        assert self.nursery is not None
        self.nursery.start_soon(self._load, server_id)
        return OrderAccepted(is_in_force=False)

    async def _load(self, server_id: str) -> None:
        await trio.sleep(self.load_seconds)
        self.versions[server_id] = self.loading[server_id]
        self.loading[server_id] = 0

    async def report(self, server: BackendServer) -> EngineReport | NotRun:
        if server.id in self.down:
            return NotRun("refused")
        return EngineReport(
            {MODEL: self.versions[server.id]},
            bool(self.loading[server.id]),
            self.accepted[server.id],
        )

    async def read_cache_events(
        self, address: str, since: int, wait: float
    ) -> CacheEvents | NotRun:
        return NotRun("none here")


class Fleet:
    """Instances that share a store, engines and news."""

    def __init__(self, instances: int, engines: int = 5):
        servers = [make_server(f"s{n}") for n in range(engines)]
        self.engines = Engines(servers)
        self.store = MemoryStore()
        self.repeats_left = 100.0
        self.tables: list[ServerTable] = []
        self.controllers: list[RolloutController] = []
        self.knowledge: list[Knowledge] = []
        names = [f"i{n}" for n in range(instances)]
        for name in names:
            table = make_table(*servers)
            knowledge = Knowledge()
            self.tables.append(table)
            self.knowledge.append(knowledge)
            self.controllers.append(
                RolloutController(
                    name,
                    table,
                    knowledge,
                    self.store.build_port(),
                    StoreClock(),
                    self.engines.build_port(),
                    DecisionLog(name),
                    lambda: names,
                    self.announce,
                    lambda: None,
                    lambda service: self.repeats_left,
                    LEASE_SECONDS,
                )
            )
        self.scopes: list[trio.CancelScope] = []

    def announce(self, notice: ServerNotice) -> None:
        for table, controller in zip(self.tables, self.controllers, strict=True):
            controller.note_progress()
            state = table.by_id.get(notice.server_id)
            if state is not None:
                state.learn_weights(notice.model, notice.version)

    def name_version(self, version: int) -> None:
        for knowledge in self.knowledge:
            knowledge.adopt_target(WeightTarget(MODEL, version), trio.current_time())

    async def run(self, nursery: trio.Nursery) -> None:
        self.engines.nursery = nursery
        for controller in self.controllers:
            scope = trio.CancelScope()
            self.scopes.append(scope)
            nursery.start_soon(self._run_one, controller, scope)

    async def _run_one(
        self, controller: RolloutController, scope: trio.CancelScope
    ) -> None:
        with scope:
            await controller.run()

    def list_holders(self) -> list[str]:
        return list(dict.fromkeys(sent.order.holder for sent in self.engines.orders))

    def assert_holders_apart(self) -> None:
        orders = self.engines.orders
        for earlier, later in zip(orders, orders[1:], strict=False):
            if earlier.order.holder != later.order.holder:
                assert later.at - earlier.at >= LEASE_SECONDS
            assert later.order.fence >= earlier.order.fence


async def run_until_current(fleet: Fleet, version: int, limit: float) -> float:
    started = trio.current_time()
    with trio.fail_after(limit):
        while set(fleet.engines.versions.values()) != {version}:
            await trio.sleep(0.05)
    return trio.current_time() - started


async def test_one_of_many_instances_orders(autojump_clock: object) -> None:
    fleet = Fleet(8)
    async with trio.open_nursery() as nursery:
        await fleet.run(nursery)
        fleet.name_version(2)
        assert await run_until_current(fleet, 2, 10.0) < 4.0
        nursery.cancel_scope.cancel()
    assert len(fleet.list_holders()) == 1
    assert len(fleet.engines.orders) == 5
    assert fleet.engines.most_loading == 2


async def test_no_order_is_sent_when_none_is_needed(autojump_clock: object) -> None:
    fleet = Fleet(3)
    async with trio.open_nursery() as nursery:
        await fleet.run(nursery)
        fleet.name_version(1)
        await trio.sleep(5.0)
        nursery.cancel_scope.cancel()
    assert fleet.engines.orders == []
    assert fleet.store.calls == []


async def test_another_takes_over_from_a_holder_that_is_gone(
    autojump_clock: object,
) -> None:
    fleet = Fleet(4)
    async with trio.open_nursery() as nursery:
        await fleet.run(nursery)
        fleet.name_version(2)
        while not fleet.engines.orders:
            await trio.sleep(0.01)
        holder = int(fleet.engines.orders[0].order.holder[1:])
        fleet.scopes[holder].cancel()
        await run_until_current(fleet, 2, 10.0)
        nursery.cancel_scope.cancel()
    assert len(fleet.list_holders()) == 2
    fleet.assert_holders_apart()


async def test_an_old_holder_is_succeeded_at_once(autojump_clock: object) -> None:
    """The store's clock tells how long ago the lease was last renewed."""
    fleet = Fleet(4)
    async with trio.open_nursery() as nursery:
        await fleet.run(nursery)
        fleet.name_version(2)
        await run_until_current(fleet, 2, 10.0)
        await trio.sleep(6.0)
        fleet.scopes[int(fleet.list_holders()[0][1:])].cancel()
        fleet.name_version(3)
        assert await run_until_current(fleet, 3, 10.0) < 7.0
        nursery.cancel_scope.cancel()
    fleet.assert_holders_apart()


async def test_late_orders_never_take_an_engine_back(autojump_clock: object) -> None:
    fleet = Fleet(3)
    fleet.engines.lost = 3
    async with trio.open_nursery() as nursery:
        await fleet.run(nursery)
        fleet.name_version(2)
        await run_until_current(fleet, 2, 10.0)
        fleet.name_version(3)
        await run_until_current(fleet, 3, 10.0)
        await trio.sleep(15.0)
        assert set(fleet.engines.versions.values()) == {3}
        nursery.cancel_scope.cancel()


async def test_a_version_named_meanwhile_replaces_the_one_before(
    autojump_clock: object,
) -> None:
    fleet = Fleet(3)
    async with trio.open_nursery() as nursery:
        await fleet.run(nursery)
        fleet.name_version(2)
        await trio.sleep(0.5)
        fleet.name_version(3)
        await run_until_current(fleet, 3, 10.0)
        nursery.cancel_scope.cancel()
    # Engines that had not begun with version 2 never load it.
    assert sum(sent.order.version == 2 for sent in fleet.engines.orders) == 2


async def test_loads_wait_while_engines_are_away_but_not_for_ever(
    autojump_clock: object,
) -> None:
    fleet = Fleet(1)
    async with trio.open_nursery() as nursery:
        await fleet.run(nursery)
        now = trio.current_time()
        for server_id in ("s3", "s4"):
            fleet.engines.down.add(server_id)
            fleet.tables[0].by_id[server_id].note_unreached(now)
            fleet.tables[0].by_id[server_id].closed_until = now + 60
        fleet.name_version(2)
        await trio.sleep(2.5)
        assert fleet.engines.orders == []
        await trio.sleep(6.0)
        assert fleet.engines.most_loading == 1
        assert [fleet.engines.versions[f"s{n}"] for n in range(3)] == [2, 2, 2]
        nursery.cancel_scope.cancel()


@pytest.mark.parametrize("lost", [False, True])
async def test_without_the_store_no_new_holder_orders(
    lost: bool, autojump_clock: object
) -> None:
    fleet = Fleet(2)
    fleet.store.is_down = not lost
    fleet.store.lose_answers = lost
    async with trio.open_nursery() as nursery:
        await fleet.run(nursery)
        fleet.name_version(2)
        await trio.sleep(3.0)
        if not lost:
            assert fleet.engines.orders == []
        fleet.store.is_down = fleet.store.lose_answers = False
        await run_until_current(fleet, 2, 12.0)
        nursery.cancel_scope.cancel()
    fleet.assert_holders_apart()


async def test_requests_that_cannot_move_end_before_streams_are_cut(
    autojump_clock: object,
) -> None:
    fleet = Fleet(1, engines=1)
    state = fleet.tables[0].by_id["s0"]
    state.load = Load(3, 0, 0, bound=1)
    async with trio.open_nursery() as nursery:
        await fleet.run(nursery)
        fleet.name_version(2)
        await trio.sleep(0.5)
        assert fleet.engines.orders == []
        assert not state.is_open(trio.current_time())
        state.load = Load(2, 0, 0, bound=0)
        await run_until_current(fleet, 2, 5.0)
        nursery.cancel_scope.cancel()
    assert [sent.order.cuts_runs for sent in fleet.engines.orders] == [True]


async def test_streams_are_not_cut_if_the_budget_is_needed_otherwise(
    autojump_clock: object,
) -> None:
    fleet = Fleet(1, engines=1)
    fleet.repeats_left = 20.0
    fleet.tables[0].by_id["s0"].load = Load(3, 0, 0, bound=0)
    async with trio.open_nursery() as nursery:
        await fleet.run(nursery)
        fleet.name_version(2)
        await run_until_current(fleet, 2, 5.0)
        nursery.cancel_scope.cancel()
    assert [sent.order.cuts_runs for sent in fleet.engines.orders] == [False]


async def test_streams_are_not_cut_beside_requests_that_cannot_move(
    autojump_clock: object,
) -> None:
    fleet = Fleet(1, engines=1)
    fleet.tables[0].by_id["s0"].load = Load(3, 0, 0, bound=1)
    async with trio.open_nursery() as nursery:
        await fleet.run(nursery)
        fleet.name_version(2)
        await run_until_current(fleet, 2, 5.0)
        nursery.cancel_scope.cancel()
    assert [sent.order.cuts_runs for sent in fleet.engines.orders] == [False]


async def test_streams_are_not_cut_beside_a_request_that_came_during_a_report(
    autojump_clock: object,
) -> None:
    """The engine's report takes a while, and so may news of others' requests.

    Evidence: looked for after an incident in which a close was decided before, and
    carried out after, another task had taken up work; the order cut the request.
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
    fleet.controllers[0]._engines = port
    async with trio.open_nursery() as nursery:
        await fleet.run(nursery)
        fleet.name_version(2)
        await reported.wait()
        await trio.sleep(0.5)
        assert fleet.engines.orders == []
        state.load = Load(3, 0, 0, bound=0)
        await run_until_current(fleet, 2, 5.0)
        nursery.cancel_scope.cancel()
    assert [sent.order.cuts_runs for sent in fleet.engines.orders] == [True]
