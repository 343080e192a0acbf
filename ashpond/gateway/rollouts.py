"""Bring engines to the declared weights: one instance orders, under a lease."""

from __future__ import annotations

__all__ = ["RolloutController"]

from collections.abc import Callable
from typing import NamedTuple

import trio

from ashpond.controllers.directory import ServerState, ServerTable, StartOrder
from ashpond.controllers.invalidrows import InvalidRows
from ashpond.controllers.orderlease import OrderLease
from ashpond.decisions.knowledge import Knowledge
from ashpond.decisions.leases import Lease, make_lease_terms
from ashpond.decisions.loadingslots import count_loading_slots
from ashpond.decisions.ordercrashes import OrderCrashes
from ashpond.gateway.decisionlog import DecisionLog
from ashpond.gateway.orders import (
    EnginePort,
    EngineReport,
    OrderAccepted,
    OrderExecution,
    OrderRefused,
    WeightsOrder,
)
from ashpond.gateway.store import Store, StoreClock
from ashpond.news.items import ServerNotice
from ashpond.outcomes import MaybeRun, NotRun

# While few engines work, loads wait for them to return, but no longer than this after a
# target was named (seconds).
SPARE_SECONDS = 3.0
TICK_SECONDS = 0.1
# The others only watch for the holder's progress: half of what lies between two ranks.
# Ranking 195 members and looking at 123 servers ten times a second took each of them
# 0.9 % of a core while weights were loaded.
WATCH_SECONDS = 0.3
# While no engine lags, changes wake the controller; what brings none, as an engine that
# is back, is seen within this (seconds).
IDLE_SECONDS = 0.5
# Peers stop sending to the server before the order arrives (seconds).
NOTICE_SECONDS = 0.03
# How long requests that cannot go on elsewhere are given to end before the order;
# most take 0.3 s. Streams that can go on elsewhere take up to 5 s and are cut.
BOUND_SECONDS = 1.0
# While the target was named less long ago than this, they are given more: the order
# would wait for them anyway, and for the longest stream besides (seconds).
EARLY_SECONDS = 4.0
EARLY_BOUND_SECONDS = 2.5
STREAMS_SECONDS = 0.4
BOUND_LOOK_SECONDS = 0.04
# What is sent just before the notice arrives is told by this share of the longest
# time that news take.
SETTLE_SHARE = 0.7
# Repeats that have to be left for servers that fail.
SPARE_REPEATS = 30
# A load takes 0.8 s after the runs have ended; looks at its progress (seconds).
FIRST_LOOK_SECONDS = 0.65
LOOK_SECONDS = 0.1
LOAD_LIMIT_SECONDS = 6.0
# The notice that an engine gets nothing is given for so long, and anew after half of
# it: the holder may be gone, but a long load must not be met by requests (seconds).
CLOSED_SECONDS = 6.0
# After an order that failed, the engine is left alone for this long (seconds).
FAILED_PAUSE_SECONDS = 0.4


class _Lag(NamedTuple):
    state: ServerState
    model: str
    version: int


class RolloutController:
    """One instance's part in keeping engines on the declared weights."""

    def __init__(
        self,
        name: str,
        table: ServerTable,
        knowledge: Knowledge,
        store: Store,
        clock: StoreClock,
        engines: EnginePort,
        log: DecisionLog,
        get_members: Callable[[], list[str]],
        announce: Callable[[ServerNotice], None],
        on_change: Callable[[], None],
        measure_repeats_left: Callable[[str], float],
        lease_seconds: float,
        measure_lag: Callable[[], float] = lambda: 0.0,
        invalid_rows: InvalidRows | None = None,
        has_service: Callable[[str], bool] = lambda service: True,
    ):
        self.name = name
        self._table = table
        self._knowledge = knowledge
        self._engines = engines
        self._log = log
        self._announce = announce
        self._on_change = on_change
        self._measure_repeats_left = measure_repeats_left
        self._measure_news_lag = measure_lag
        self._order_lease = OrderLease(
            Lease(name, make_lease_terms(lease_seconds)),
            store,
            clock,
            log,
            get_members,
            invalid_rows or InvalidRows(log),
        )
        self._has_service = has_service
        self._ordering: set[str] = set()
        self._order_ends = OrderCrashes()
        self._accepted: dict[str, int] = {}
        self._paused_until: dict[str, float] = {}
        self._closed_at: dict[str, float] = {}
        self._lagging_since: float | None = None
        self._changed = trio.Event()

    def forget_start(self, server_id: str) -> None:
        """Forget what was known of a server before its new start."""
        self._accepted.pop(server_id, None)
        self._paused_until.pop(server_id, None)

    @property
    def lease(self) -> Lease:
        """The lease of whoever gives orders, as this instance sees it."""
        return self._order_lease.lease

    def note_progress(self) -> None:
        """Note that some instance is bringing engines up to date."""
        self._order_lease.note_progress()

    async def run(self) -> None:
        """Work until cancelled."""
        async with trio.open_nursery() as nursery:
            while True:
                lagging = self._find_lagging()
                if not lagging:
                    self._lagging_since = None
                    await self._await_change()
                    continue
                now = trio.current_time()
                if self._lagging_since is None:
                    self._lagging_since = now
                await self._order_lease.hold(now, self._measure_lag(now))
                if self.lease.holds(trio.current_time()):
                    self._start_orders(nursery, lagging)
                await trio.sleep(self._choose_tick())

    def _choose_tick(self) -> float:
        """Return when to look again: those whose turn may come seldom look seldom."""
        is_near = self.lease.is_holder or self._order_lease.find_own_rank() == 0
        return TICK_SECONDS if is_near else WATCH_SECONDS

    def note_change(self) -> None:
        """Note that targets or servers have changed."""
        self._changed.set()

    async def _await_change(self) -> None:
        with trio.move_on_after(IDLE_SECONDS):
            await self._changed.wait()
        self._changed = trio.Event()

    def _find_lagging(self) -> list[_Lag]:
        found = []
        for state in self._table.by_id.values():
            # An entry may name a service that is not declared: nothing is asked of it.
            if not state.is_present() or not self._has_service(state.info.service):
                continue
            for model in state.info.weights:
                target = self._knowledge.targets.get(model, 0)
                if state.weights.get(model, 0) < target:
                    found.append(_Lag(state, model, target))
        return found

    def _start_orders(self, nursery: trio.Nursery, lagging: list[_Lag]) -> None:
        now = trio.current_time()
        waiting = [
            lag
            for lag in lagging
            if lag.state.info.id not in self._ordering
            and now >= self._paused_until.get(lag.state.info.id, 0.0)
            and not (lag.state.connect_failures and now < lag.state.excluded_until)
            and now >= lag.state.backoff_until
        ]
        waiting.sort(key=lambda lag: self._table.sum_load(lag.state.info.id, now))
        room = self._count_loading_places(now) - len(self._ordering)
        if not self._ordering and self._measure_lag(now) > SPARE_SECONDS:
            room = max(room, 1)
        for lag in waiting[: max(0, room)]:
            most = self._order_ends.limit_loads(lag.model, lag.version, now)
            if most is not None and len(self._ordering) >= most:
                continue
            self._ordering.add(lag.state.info.id)
            nursery.start_soon(self._bring_up, lag)

    def _measure_lag(self, now: float) -> float:
        """Return for how long some engine has been behind its target (seconds)."""
        return 0.0 if self._lagging_since is None else now - self._lagging_since

    def _count_loading_places(self, now: float) -> int:
        """Return how many engines may load at once, as few of them work."""
        engines = [s for s in self._table.by_id.values() if s.info.weights]
        working = [
            state
            for state in engines
            if state.is_present()
            and not state.connect_failures
            and not state.is_limited
            and (state.is_usable(now) or state.info.id in self._ordering)
        ]
        return count_loading_slots(len(engines), len(working))

    async def _bring_up(self, lag: _Lag) -> None:
        server_id = lag.state.info.id
        started = trio.current_time()
        self._close(lag)
        try:
            await trio.sleep(NOTICE_SECONDS)
            await self._count_orders(lag)
            # Nothing is waited for between its last look and the order: what is decided
            # there would not hold for requests that come meanwhile.
            cuts_runs = await self._await_bound_requests(lag, started)
            taken = await self._order(lag, cuts_runs)
            is_up = taken is not OrderExecution.NO and await self._await_weights(
                lag, trio.current_time()
            )
            if is_up:
                self._order_ends.note_loaded(lag.model, lag.version)
            elif taken is OrderExecution.YES and self._has_ended(lag.state):
                now = trio.current_time()
                self._order_ends.note_crash(lag.model, lag.version, now)
            if not is_up and self._table.is_current(lag.state):
                self._paused_until[server_id] = (
                    trio.current_time() + FAILED_PAUSE_SECONDS
                )
        finally:
            self._ordering.discard(server_id)
            self._closed_at.pop(server_id, None)
            lag.state.readmit()
            version = lag.state.weights.get(lag.model, 0)
            self._tell(lag, version, 0.0)
            self._on_change()
        self._log.note(
            "weights_order_done",
            server=server_id,
            version=lag.version,
            believed=version,
            seconds=round(trio.current_time() - started, 3),
        )

    def _has_ended(self, state: ServerState) -> bool:
        """Return whether an engine has started anew, or takes no connections."""
        return state.connect_failures > 0 or not self._table.is_current(state)

    def _close(self, lag: _Lag) -> None:
        server_id = lag.state.info.id
        now = trio.current_time()
        self._closed_at[server_id] = now
        lag.state.exclude_for(CLOSED_SECONDS, now)
        self.note_progress()
        self._tell(lag, 0, CLOSED_SECONDS)

    def _tell(self, lag: _Lag, version: int, closed_seconds: float) -> None:
        info = lag.state.info
        self._announce(
            ServerNotice(
                info.id, lag.model, version, closed_seconds, born=info.started_ms
            )
        )

    def _keep_closed(self, lag: _Lag) -> None:
        closed_at = self._closed_at.get(lag.state.info.id, float("-inf"))
        if trio.current_time() - closed_at > CLOSED_SECONDS / 2:
            self._close(lag)

    async def _await_bound_requests(self, lag: _Lag, started: float) -> bool:
        """Wait for requests that cannot be moved; return whether to cut the others.

        Most streams end by themselves within the first part of the wait. Each one
        that is cut is sent once more, which the fleet's budget has to bear.
        """
        while True:
            now = trio.current_time()
            load = self._table.sum_load(lag.state.info.id, now)
            waited = now - started
            if not load.requests:
                return False
            if not load.bound and waited >= self._settle_seconds():
                left = self._measure_repeats_left(lag.state.info.service)
                return left - load.requests >= SPARE_REPEATS
            is_early = self._measure_lag(started) < EARLY_SECONDS
            if waited >= (EARLY_BOUND_SECONDS if is_early else BOUND_SECONDS):
                return False
            self._keep_closed(lag)
            await trio.sleep(BOUND_LOOK_SECONDS)

    def _settle_seconds(self) -> float:
        """Return when all requests that were on their way are known of."""
        return max(STREAMS_SECONDS, SETTLE_SHARE * self._measure_news_lag())

    async def _count_orders(self, lag: _Lag) -> None:
        """Ask the engine how many orders it has accepted, unless that is known."""
        info = lag.state.info
        if info.id in self._accepted:
            return
        report = await self._ask_report(lag)
        if isinstance(report, EngineReport):
            self._accepted[info.id] = report.accepted_orders
            lag.state.update_weights(lag.model, report.weights.get(lag.model, 0))

    async def _ask_report(self, lag: _Lag) -> EngineReport | NotRun | MaybeRun:
        """Ask an engine for its state; one of another start tells nothing here."""
        report = await self._engines.report(lag.state.info)
        if not isinstance(report, EngineReport):
            return report
        now = trio.current_time()
        server_id = lag.state.info.id
        order = self._table.note_start(server_id, report.born, now, report.weights)
        if order is not StartOrder.SAME or not self._table.is_current(lag.state):
            return MaybeRun("a report of another start")
        return report

    async def _order(self, lag: _Lag, cuts_runs: bool) -> OrderExecution:
        """Send the order; return whether the engine is carrying it out."""
        info = lag.state.info
        if not self.lease.holds(trio.current_time()):
            return OrderExecution.NO
        if not self._table.is_current(lag.state):
            return OrderExecution.NO
        order = WeightsOrder(
            lag.model,
            lag.version,
            self.name,
            self.lease.fence,
            self._accepted.get(info.id),
            cuts_runs,
        )
        outcome = await self._engines.order(info, order)
        self._log.note(
            "weights_ordered",
            server=info.id,
            model=lag.model,
            version=lag.version,
            fence=order.fence,
            expected_orders=order.expected_orders,
            cuts_runs=cuts_runs,
            outcome=str(outcome),
        )
        if not self._table.is_current(lag.state):
            # Which start has taken it is not known: the new one is asked.
            return OrderExecution.NO
        if isinstance(outcome, OrderAccepted):
            if not outcome.is_in_force and info.id in self._accepted:
                self._accepted[info.id] += 1
            if outcome.is_in_force:
                lag.state.update_weights(lag.model, lag.version)
            return OrderExecution.YES
        # The count of accepted orders is not known for certain any more.
        self._accepted.pop(info.id, None)
        if isinstance(outcome, NotRun):
            lag.state.note_connect_failure(trio.current_time())
        if isinstance(outcome, OrderRefused) and outcome.status == 421:
            lag.state.is_misdirected = True
        # After 409 another order is in progress. One without an answer may be
        # carried out much later: until then the engine serves as before.
        if isinstance(outcome, OrderRefused) and outcome.status == 409:
            return OrderExecution.MAYBE
        return OrderExecution.NO

    async def _await_weights(self, lag: _Lag, started: float) -> bool:
        if lag.state.weights.get(lag.model, 0) >= lag.version:
            return True
        await trio.sleep(FIRST_LOOK_SECONDS)
        while trio.current_time() - started < LOAD_LIMIT_SECONDS:
            if lag.state.weights.get(lag.model, 0) >= lag.version:
                return True
            report = await self._ask_report(lag)
            if not self._table.is_current(lag.state):
                return False
            if isinstance(report, EngineReport):
                lag.state.update_weights(lag.model, report.weights.get(lag.model, 0))
                if lag.state.weights.get(lag.model, 0) >= lag.version:
                    return True
                if not report.is_loading:
                    # Not begun, or carried out late: look whether it came at all.
                    self._accepted.pop(lag.state.info.id, None)
                    return False
            elif isinstance(report, NotRun):
                lag.state.note_connect_failure(trio.current_time())
                return False
            self.note_progress()
            self._keep_closed(lag)
            await trio.sleep(LOOK_SECONDS)
        return False
