"""Instances that share engines and notices, and roll out weights to the engines."""

from __future__ import annotations

import random
from functools import partial
from typing import NamedTuple

import trio

from ashpond.controllers.directory import BackendServer, ServerTable
from ashpond.decisions.contact import ContactMonitor
from ashpond.decisions.declared import WeightTarget
from ashpond.decisions.knowledge import Knowledge
from ashpond.fleet.updates import ServerNotice
from ashpond.gateway.decisionlog import DecisionLog
from ashpond.gateway.orders import (
    CacheEvents,
    EnginePort,
    EngineReport,
    OrderAccepted,
    OrderOutcome,
    OrderRefused,
    WeightsOrder,
    watch_answers,
)
from ashpond.gateway.rollouts import (
    RolloutController,
)
from ashpond.gateway.store import StoreClock
from ashpond.outcomes import MaybeRun, NotRun
from ashpond.standins.tables import MemoryStore
from tests.gateway_builders import MODEL, make_server, make_table

LOAD_SECONDS = 0.8
AWAY_SECONDS = 1.5
LEASE_SECONDS = 3.0


class SentOrder(NamedTuple):
    at: float
    server_id: str
    order: WeightsOrder


class Engines:
    """Engines that load weights, and may lose orders or carry them out late."""

    def __init__(self, servers: list[BackendServer]):
        self.versions = {server.id: 1 for server in servers}
        self.accepted = dict.fromkeys(self.versions, 0)
        self.started_ms = dict.fromkeys(self.versions, 1000)
        self.loading = dict.fromkeys(self.versions, 0)
        self.load_seconds = LOAD_SECONDS
        self.max_loading = 0
        self.orders: list[SentOrder] = []
        self.orders_to_lose = 0
        self.is_report_lost = False
        self.down: set[str] = set()
        # The instances whose orders reach no engine.
        self.cut_off: set[str] = set()
        # An engine that loads this version crashes and is down for ``AWAY_SECONDS``.
        self.crashing_version: int | None = None
        self.crashes = 0
        self.nursery: trio.Nursery | None = None

    def build_port(self) -> EnginePort:
        return EnginePort(self.order, self.report, self.read_cache_events)

    async def order(self, server: BackendServer, order: WeightsOrder) -> OrderOutcome:
        if order.holder in self.cut_off:
            return NotRun("refused")
        self.orders.append(SentOrder(trio.current_time(), server.id, order))
        if server.id in self.down:
            return NotRun("refused")
        if self.orders_to_lose:
            self.orders_to_lose -= 1
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
        self.max_loading = max(self.max_loading, sum(map(bool, self.loading.values())))
        assert self.nursery is not None
        self.nursery.start_soon(self._load, server_id)
        return OrderAccepted(is_in_force=False)

    def restart(self, server_id: str) -> None:
        """Restart an engine with the weights that it had."""
        self.started_ms[server_id] += 1
        self.accepted[server_id] = 0
        self.loading[server_id] = 0

    async def crash(self, server_id: str) -> None:
        """Restart an engine after ``AWAY_SECONDS``."""
        self.crashes += 1
        self.restart(server_id)
        self.down.add(server_id)
        await trio.sleep(AWAY_SECONDS)
        self.down.discard(server_id)

    async def _load(self, server_id: str) -> None:
        started_ms = self.started_ms[server_id]
        await trio.sleep(self.load_seconds)
        if self.started_ms[server_id] != started_ms:
            return
        if self.loading[server_id] == self.crashing_version:
            await self.crash(server_id)
            return
        self.versions[server_id] = self.loading[server_id]
        self.loading[server_id] = 0

    async def report(self, server: BackendServer) -> EngineReport | NotRun | MaybeRun:
        if server.id in self.down:
            return NotRun("refused")
        if self.is_report_lost:
            return MaybeRun("no answer in time")
        return EngineReport(
            {MODEL: self.versions[server.id]},
            bool(self.loading[server.id]),
            self.accepted[server.id],
            self.started_ms[server.id],
        )

    async def read_cache_events(
        self, address: str, since: int, wait: float
    ) -> CacheEvents | NotRun:
        return NotRun("none here")


class Fleet:
    """Instances that share a store, engines and notices."""

    def __init__(self, instances: int, engines: int = 5):
        servers = [make_server(f"s{n}") for n in range(engines)]
        self.engines = Engines(servers)
        self.store = MemoryStore()
        self.retries_left = 100.0
        self.cut_off: set[str] = set()
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
                    lambda service: self.retries_left,
                    LEASE_SECONDS,
                    reaches_engines=partial(self.reaches_engines, name),
                )
            )
        self.scopes: list[trio.CancelScope] = []
        # When each version was named, by the simulated clock.
        self.named_at: dict[int, float] = {}
        self._target_age = 0.0

    def announce(self, notice: ServerNotice) -> None:
        for table, controller in zip(self.tables, self.controllers, strict=True):
            controller.note_progress()
            state = table.by_id.get(notice.server_id)
            if state is not None:
                state.update_weights(notice.model, notice.version)

    def note_unreached(self, server_id: str, *, is_refused: bool) -> None:
        """Let all instances fail to connect to an engine."""
        for table in self.tables:
            state = table.by_id[server_id]
            state.note_connect_failure(trio.current_time())
            if is_refused:
                state.note_ended(trio.current_time())

    def reaches_engines(self, name: str) -> bool:
        return name not in self.cut_off

    def cut(self, name: str) -> None:
        """Cut an instance off from all engines."""
        self.cut_off.add(name)
        self.engines.cut_off.add(name)

    def watch_contact(self) -> list[ContactMonitor]:
        """Let instances judge their contact to the engines as gateways do."""
        monitors = []
        for controller in self.controllers:
            monitor = ContactMonitor(random.Random(1))
            monitors.append(monitor)
            controller.updater._engines = watch_answers(
                self.engines.build_port(), partial(_note_answer, monitor)
            )
            controller._order_lease._reaches_engines = partial(_has_contact, monitor)
        return monitors

    def age_targets(self, seconds: float) -> None:
        """Let targets reach the instances this long after they were named."""
        self._target_age = seconds

    def require_version(self, version: int) -> None:
        named_at = trio.current_time() - self._target_age
        self.named_at[version] = named_at
        for knowledge in self.knowledge:
            knowledge.confirm(named_at)
            knowledge.adopt_target(WeightTarget(MODEL, version), trio.current_time())
        for controller in self.controllers:
            controller.note_change()

    async def run(self, nursery: trio.Nursery) -> None:
        self.engines.nursery = nursery
        for controller in self.controllers:
            scope = trio.CancelScope()
            self.scopes.append(scope)
            nursery.start_soon(self._run_controller, controller, scope)

    async def _run_controller(
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

    def measure_longest_lag(self) -> float:
        """Return for how long the oldest weights of any engine have been replaced."""
        now = trio.current_time()
        return max(
            now - self.named_at.get(version + 1, now)
            for version in self.engines.versions.values()
        )


def _note_answer(monitor: ContactMonitor) -> None:
    monitor.note_answer(trio.current_time())


def _has_contact(monitor: ContactMonitor) -> bool:
    return not monitor.is_cut_off


async def watch_lag(fleet: Fleet, seconds: float) -> float:
    """Return the longest lag of any engine during a time."""
    longest = 0.0
    ends_at = trio.current_time() + seconds
    while trio.current_time() < ends_at:
        longest = max(longest, fleet.measure_longest_lag())
        await trio.sleep(0.05)
    return longest


async def run_until_current(fleet: Fleet, version: int, limit: float) -> float:
    started = trio.current_time()
    with trio.fail_after(limit):
        while set(fleet.engines.versions.values()) != {version}:
            await trio.sleep(0.05)
    return trio.current_time() - started
