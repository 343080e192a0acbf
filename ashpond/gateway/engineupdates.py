"""Bring one engine to its target weights: exclude it, order, await the load."""

from __future__ import annotations

__all__ = ["EngineUpdater"]

from collections.abc import Callable
from typing import TYPE_CHECKING

import trio

from ashpond.controllers.directory import ServerState, ServerTable, StartOrder
from ashpond.decisions.learnedtimes import LearnedTime
from ashpond.fleet.updates import ServerNotice
from ashpond.gateway.loadcrashes import LoadCrashes
from ashpond.gateway.orders import (
    EnginePort,
    EngineReport,
    OrderAccepted,
    OrderExecution,
    OrderRefused,
    WeightsOrder,
)
from ashpond.outcomes import MaybeRun, NotRun

if TYPE_CHECKING:
    from ashpond.controllers.orderlease import OrderLease
    from ashpond.gateway.decisionlog import DecisionLog
    from ashpond.gateway.outdatedweights import WeightsUpdate

# How long the update of an engine takes, until one has been measured (seconds).
FIRST_UPDATE_SECONDS = 1.0
NOTICE_DELAY_SECONDS = 0.03  # Peers stop sending to the server before the order.
# How long the order waits for bound requests, which no other server can resume
# (seconds); most take 0.3 s. Resumable streams take up to 5 s and are cut.
BOUND_WAIT_SECONDS = 1.0
# Within this time after engines became outdated, the wait is longer: an order that
# finds bound requests cuts nothing, so it waits for the longest stream too (seconds).
EARLY_PHASE_SECONDS = 4.0
EARLY_WAIT_SECONDS = 2.5
STREAM_GRACE_SECONDS = 0.4
BOUND_CHECK_SECONDS = 0.04
# Share of the updates' lag after which requests sent before a notice are known here.
UPDATE_LAG_SHARE = 0.7
RESERVED_RETRIES = 30  # Retries that are reserved for server failures.
# Loading takes 0.8 s once all runs end; first check and check interval (seconds).
FIRST_LOAD_CHECK_SECONDS = 0.65
LOAD_CHECK_SECONDS = 0.1
LOAD_TIMEOUT_SECONDS = 6.0
# How long a notice excludes an engine; it is repeated after half of this (seconds).
# The exclusion must end if the holder crashes, and last throughout a long load.
EXCLUSION_SECONDS = 6.0
# Pause before the next order to an engine after a failed one (seconds).
FAILED_ORDER_PAUSE_SECONDS = 0.4
# The pause after an engine did not report doubles so often with each further failure.
MAX_DOUBLINGS = 3


class EngineUpdater:
    """Updates the weights of engines, each in a task of its own.

    :param order_lease: orders are sent only while this instance holds it.
    :param on_change: called when an engine may be used again.
    :param measure_lag: returns for how long some engine has been outdated (seconds).
    """

    def __init__(
        self,
        name: str,
        table: ServerTable,
        engines: EnginePort,
        log: DecisionLog,
        order_lease: OrderLease,
        announce: Callable[[ServerNotice], None],
        on_change: Callable[[], None],
        measure_retries_left: Callable[[str], float],
        measure_update_lag: Callable[[], float],
        measure_lag: Callable[[float], float],
    ):
        self.name = name
        self.updating: set[str] = set()
        self.crashes = LoadCrashes(table, log)
        self._table = table
        self._engines = engines
        self._log = log
        self._order_lease = order_lease
        self._announce = announce
        self._on_change = on_change
        self._measure_retries_left = measure_retries_left
        self._measure_update_lag = measure_update_lag
        self._measure_lag = measure_lag
        self._update_time = LearnedTime()
        self._ended = trio.Event()
        self._order_counts: dict[str, int] = {}
        # The lease under which they were counted: others may have sent some since.
        self._counted_fence = 0
        self._report_failures: dict[str, int] = {}
        self._paused_until: dict[str, float] = {}
        self._excluded_at: dict[str, float] = {}

    def reset_server(self, server_id: str) -> None:
        """Remove what was known of a server before its new start."""
        self.crashes.note_restart(server_id)
        self._order_counts.pop(server_id, None)
        self._paused_until.pop(server_id, None)
        self._report_failures.pop(server_id, None)

    def may_update(self, state: ServerState, now: float) -> bool:
        """Return whether an engine may be updated now."""
        server_id = state.info.id
        is_unreached = state.connect_failures and now < state.excluded_until
        return (
            server_id not in self.updating
            and now >= self._paused_until.get(server_id, 0.0)
            and not is_unreached
            and now >= state.backoff_until
        )

    def get_update_seconds(self) -> float:
        """Return how long the update of one engine takes (seconds)."""
        return self._update_time.seconds or FIRST_UPDATE_SECONDS

    def begin(self, nursery: trio.Nursery, update: WeightsUpdate) -> None:
        """Update an engine in a task of its own."""
        if self._order_lease.lease.fence != self._counted_fence:
            self._counted_fence = self._order_lease.lease.fence
            self._order_counts.clear()
        self.updating.add(update.state.info.id)
        nursery.start_soon(self._update_weights, update)

    async def wait_ended(self) -> None:
        """Wait until the update of an engine ends."""
        self._ended = trio.Event()
        await self._ended.wait()

    async def _update_weights(self, update: WeightsUpdate) -> None:
        try:
            if await self._fetch_order_count(update):
                await self._load_weights(update)
        finally:
            self.updating.discard(update.state.info.id)
            self._ended.set()

    async def _load_weights(self, update: WeightsUpdate) -> None:
        """Exclude an engine, order the load, and await its end."""
        server_id = update.state.info.id
        started = trio.current_time()
        self._exclude(update)
        try:
            await trio.sleep(NOTICE_DELAY_SECONDS)
            # No await between the last check of the load and the order: the decision
            # to cut would not hold for requests that arrive meanwhile.
            cuts_runs = await self._await_bound_requests(update, started)
            result = await self._send_order(update, cuts_runs)
            is_loaded = result is not OrderExecution.NO and await self._await_weights(
                update, trio.current_time()
            )
            if is_loaded:
                self._update_time.note(trio.current_time() - started)
                self.crashes.note_loaded(update)
            elif result is OrderExecution.YES and self._has_crashed(update.state):
                self.crashes.note_crash(update, self.updating)
            if not is_loaded and self._table.is_current(update.state):
                self._paused_until[server_id] = (
                    trio.current_time() + FAILED_ORDER_PAUSE_SECONDS
                )
        finally:
            self._excluded_at.pop(server_id, None)
            update.state.readmit()
            version = update.state.weights.get(update.model, 0)
            self._send_notice(update, version, 0.0)
            self._on_change()
        self._log.note(
            "weights_order_done",
            server=server_id,
            version=update.version,
            believed=version,
            seconds=round(trio.current_time() - started, 3),
        )

    def _has_crashed(self, state: ServerState) -> bool:
        """Return whether an engine has restarted or refuses connections."""
        return state.connect_failures > 0 or not self._table.is_current(state)

    def _exclude(self, update: WeightsUpdate) -> None:
        server_id = update.state.info.id
        now = trio.current_time()
        self._excluded_at[server_id] = now
        update.state.exclude_for(EXCLUSION_SECONDS, now)
        self._order_lease.note_progress()
        self._send_notice(update, 0, EXCLUSION_SECONDS)

    def _send_notice(self, update: WeightsUpdate, version: int, seconds: float) -> None:
        info = update.state.info
        self._announce(
            ServerNotice(
                info.id, update.model, version, seconds, started_ms=info.started_ms
            )
        )

    def _keep_excluded(self, update: WeightsUpdate) -> None:
        excluded_at = self._excluded_at.get(update.state.info.id, float("-inf"))
        if trio.current_time() - excluded_at > EXCLUSION_SECONDS / 2:
            self._exclude(update)

    async def _await_bound_requests(
        self, update: WeightsUpdate, started: float
    ) -> bool:
        """Wait for requests that cannot be resumed; return whether to cut the others.

        Most streams end by themselves during the first part of the wait. Each stream
        that is cut costs a retry of the fleet's budget.
        """
        while True:
            now = trio.current_time()
            load = self._table.sum_load(update.state.info.id, now)
            waited = now - started
            if not load.requests:
                return False
            if not load.bound and waited >= self._compute_settling_seconds():
                retries_left = self._measure_retries_left(update.state.info.service)
                return retries_left - load.requests >= RESERVED_RETRIES
            is_early = self._measure_lag(started) < EARLY_PHASE_SECONDS
            if waited >= (EARLY_WAIT_SECONDS if is_early else BOUND_WAIT_SECONDS):
                return False
            self._keep_excluded(update)
            await trio.sleep(BOUND_CHECK_SECONDS)

    def _compute_settling_seconds(self) -> float:
        """Return after how long all requests to an engine are known here (seconds)."""
        return max(STREAM_GRACE_SECONDS, UPDATE_LAG_SHARE * self._measure_update_lag())

    async def _fetch_order_count(self, update: WeightsUpdate) -> bool:
        """Fetch the number of orders that the engine has accepted, if unknown.

        Return whether it is known: an engine that does not report is not excluded, as
        it gets no order, and asked again after a pause that doubles.
        """
        server_id = update.state.info.id
        if server_id in self._order_counts:
            return True
        report = await self._fetch_report(update)
        if isinstance(report, EngineReport):
            self._order_counts[server_id] = report.accepted_orders
            self._report_failures.pop(server_id, None)
            update.state.update_weights(
                update.model, report.weights.get(update.model, 0)
            )
            return True
        failures = self._report_failures.get(server_id, 0)
        self._report_failures[server_id] = failures + 1
        pause = FAILED_ORDER_PAUSE_SECONDS * 2.0 ** min(failures, MAX_DOUBLINGS)
        self._paused_until[server_id] = trio.current_time() + pause
        self._log.note("engine_unreported", server=server_id, reason=report.reason)
        return False

    async def _fetch_report(
        self, update: WeightsUpdate
    ) -> EngineReport | NotRun | MaybeRun:
        """Fetch an engine's report; a report of another start counts as unknown."""
        report = await self._engines.report(update.state.info)
        if not isinstance(report, EngineReport):
            return report
        now = trio.current_time()
        server_id = update.state.info.id
        order = self._table.note_start(server_id, report.born, now, report.weights)
        if order is not StartOrder.SAME or not self._table.is_current(update.state):
            return MaybeRun("a report of another start")
        update.state.note_reached()
        return report

    async def _send_order(
        self, update: WeightsUpdate, cuts_runs: bool
    ) -> OrderExecution:
        """Send the order; return whether the engine carries it out."""
        info = update.state.info
        if not self._order_lease.lease.holds(trio.current_time()):
            return OrderExecution.NO
        if not self._table.is_current(update.state):
            return OrderExecution.NO
        expected_orders = self._order_counts.get(info.id)
        if expected_orders is None:
            # Without this precondition, an order that is carried out late would load
            # older weights after a newer order.
            self._log.note("weights_order_unsent", server=info.id)
            return OrderExecution.NO
        order = WeightsOrder(
            update.model,
            update.version,
            self.name,
            self._order_lease.lease.fence,
            expected_orders,
            cuts_runs,
            self._order_lease.lease.valid_until,
        )
        outcome = await self._engines.order(info, order)
        self._log.note(
            "weights_ordered",
            server=info.id,
            model=update.model,
            version=update.version,
            fence=order.fence,
            expected_orders=order.expected_orders,
            cuts_runs=cuts_runs,
            outcome=str(outcome),
        )
        if not self._table.is_current(update.state):
            # The old or the new start may have the order: ask the new for a report.
            return OrderExecution.NO
        if isinstance(outcome, OrderAccepted):
            if not outcome.is_in_force and info.id in self._order_counts:
                self._order_counts[info.id] += 1
            if outcome.is_in_force:
                update.state.update_weights(update.model, update.version)
            return OrderExecution.YES
        # The number of accepted orders is no longer certain.
        self._order_counts.pop(info.id, None)
        if isinstance(outcome, NotRun) and trio.current_time() < order.send_until:
            update.state.note_connect_failure(trio.current_time())
        if isinstance(outcome, OrderRefused) and outcome.status == 421:
            update.state.is_misdirected = True
        # 409 means that an order is in progress. An order without an answer may be
        # carried out much later; until then the engine serves requests as before.
        if isinstance(outcome, OrderRefused) and outcome.status == 409:
            return OrderExecution.MAYBE
        return OrderExecution.NO

    async def _await_weights(self, update: WeightsUpdate, started: float) -> bool:
        if update.state.weights.get(update.model, 0) >= update.version:
            return True
        await trio.sleep(FIRST_LOAD_CHECK_SECONDS)
        while trio.current_time() - started < LOAD_TIMEOUT_SECONDS:
            if update.state.weights.get(update.model, 0) >= update.version:
                return True
            report = await self._fetch_report(update)
            if not self._table.is_current(update.state):
                return False
            if isinstance(report, EngineReport):
                update.state.update_weights(
                    update.model, report.weights.get(update.model, 0)
                )
                if update.state.weights.get(update.model, 0) >= update.version:
                    return True
                if not report.is_loading:
                    # Not started: fetch the count to see whether the order arrived.
                    self._order_counts.pop(update.state.info.id, None)
                    return False
            elif isinstance(report, NotRun):
                update.state.note_connect_failure(trio.current_time())
                return False
            self._order_lease.note_progress()
            self._keep_excluded(update)
            await trio.sleep(LOAD_CHECK_SECONDS)
        return False
