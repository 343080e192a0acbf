"""Bring engines to the declared weights: the holder of a lease sends orders."""

from __future__ import annotations

__all__ = ["RolloutController"]

from collections.abc import Callable

import trio

from ashpond.controllers.directory import ServerState, ServerTable, StartOrder
from ashpond.controllers.erarecord import EraRecord
from ashpond.controllers.invalidrows import InvalidRows
from ashpond.controllers.orderlease import OrderLease
from ashpond.decisions.knowledge import Knowledge
from ashpond.decisions.leases import Lease, make_lease_terms
from ashpond.decisions.loadingslots import count_loading_slots
from ashpond.decisions.ordercrashes import OrderCrashes
from ashpond.fleet.updates import ServerNotice
from ashpond.gateway.decisionlog import DecisionLog
from ashpond.gateway.orders import (
    EnginePort,
    EngineReport,
    OrderAccepted,
    OrderExecution,
    OrderRefused,
    WeightsOrder,
)
from ashpond.gateway.outdatedweights import (
    WeightsUpdate,
    describe_outdated,
    find_outdated,
    measure_lags,
)
from ashpond.gateway.store import Store, StoreClock
from ashpond.gateway.workingengines import count_working
from ashpond.outcomes import MaybeRun, NotRun

# Loads wait until enough engines are usable, but at most this long (seconds).
SLOT_WAIT_SECONDS = 3.0
HOLDER_CHECK_SECONDS = 0.1
# Other instances only check the holder's progress, at half the delay between ranks.
# Ranking 195 members and checking 123 servers every 0.1 s took 0.9 % of a core on each.
STANDBY_CHECK_SECONDS = 0.3
# While no engine is outdated, changes wake the controller. Other events, such as an
# engine that is reachable again, are noticed within this (seconds).
IDLE_CHECK_SECONDS = 0.5
# While engines are outdated, the lease's holder logs their state this often (seconds).
PROGRESS_LOG_SECONDS = 1.0
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


class RolloutController:
    """Keeps engines on the declared weights while this instance holds the lease."""

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
        measure_retries_left: Callable[[str], float],
        lease_seconds: float,
        measure_update_lag: Callable[[], float] = lambda: 0.0,
        invalid_rows: InvalidRows | None = None,
        has_service: Callable[[str], bool] = lambda service: True,
        reaches_engines: Callable[[], bool] = lambda: True,
        era_record: EraRecord | None = None,
    ):
        self.name = name
        self._table = table
        self._knowledge = knowledge
        self._engines = engines
        self._log = log
        self._announce = announce
        self._on_change = on_change
        self._measure_retries_left = measure_retries_left
        self._measure_update_lag = measure_update_lag
        self._order_lease = OrderLease(
            Lease(name, make_lease_terms(lease_seconds)),
            store,
            clock,
            log,
            get_members,
            invalid_rows or InvalidRows(log),
            reaches_engines,
            era_record,
        )
        self._has_service = has_service
        self._updating: set[str] = set()
        self._order_crashes = OrderCrashes()
        self._order_counts: dict[str, int] = {}
        self._paused_until: dict[str, float] = {}
        self._excluded_at: dict[str, float] = {}
        self._outdated_since: float | None = None
        self._progress_logged_at = float("-inf")
        self._changed = trio.Event()

    def reset_server(self, server_id: str) -> None:
        """Remove what was known of a server before its new start."""
        self._order_counts.pop(server_id, None)
        self._paused_until.pop(server_id, None)

    @property
    def lease(self) -> Lease:
        """The lease of the instance that sends orders, as known here."""
        return self._order_lease.lease

    def note_progress(self) -> None:
        """Record that some instance is updating engines."""
        self._order_lease.note_progress()

    async def run(self) -> None:
        """Order loads until cancelled."""
        async with trio.open_nursery() as nursery:
            while True:
                updates = self._find_outdated()
                if not updates:
                    self._outdated_since = None
                    await self._await_change()
                    continue
                now = trio.current_time()
                if self._outdated_since is None:
                    self._outdated_since = now
                await self._order_lease.hold(now, self._measure_lag(now))
                if self.lease.holds(trio.current_time()):
                    self._start_orders(nursery, updates)
                await trio.sleep(self._choose_check_interval())

    def _choose_check_interval(self) -> float:
        """Return the time to the next check: short if this instance may order soon."""
        may_order_soon = self.lease.is_holder or self._order_lease.find_own_rank() == 0
        return HOLDER_CHECK_SECONDS if may_order_soon else STANDBY_CHECK_SECONDS

    def note_change(self) -> None:
        """Wake the controller after a change of targets or servers."""
        self._changed.set()

    async def _await_change(self) -> None:
        with trio.move_on_after(IDLE_CHECK_SECONDS):
            await self._changed.wait()
        self._changed = trio.Event()

    def _find_outdated(self) -> list[WeightsUpdate]:
        return find_outdated(self._table, self._knowledge, self._has_service)

    def _start_orders(
        self, nursery: trio.Nursery, updates: list[WeightsUpdate]
    ) -> None:
        now = trio.current_time()
        waiting = [
            update
            for update in updates
            if update.state.info.id not in self._updating
            and now >= self._paused_until.get(update.state.info.id, 0.0)
            and not (
                update.state.connect_failures and now < update.state.excluded_until
            )
            and now >= update.state.backoff_until
        ]
        self._log_progress(updates, len(waiting), now)
        waiting.sort(key=lambda update: self._table.sum_load(update.state.info.id, now))
        slots_left = self._count_loading_slots(now) - len(self._updating)
        if not self._updating and self._measure_lag(now) > SLOT_WAIT_SECONDS:
            slots_left = max(slots_left, 1)
        for update in waiting[: max(0, slots_left)]:
            limit = self._order_crashes.limit_loads(update.model, update.version, now)
            if limit is not None and len(self._updating) >= limit:
                continue
            self._updating.add(update.state.info.id)
            nursery.start_soon(self._update_weights, update)

    def measure_lag(self) -> float:
        """Return for how long the oldest weights have been replaced (seconds)."""
        lags = measure_lags(self._find_outdated(), self._knowledge)
        return max((lag.seconds for lag in lags.values()), default=0.0)

    def _log_progress(
        self, updates: list[WeightsUpdate], waiting: int, now: float
    ) -> None:
        if now - self._progress_logged_at < PROGRESS_LOG_SECONDS:
            return
        self._progress_logged_at = now
        found = count_working(self._table, self._updating, now)
        self._log.note(
            "rollout_progress",
            outdated=describe_outdated(updates, self._knowledge),
            updating=len(self._updating),
            waiting=waiting,
            slots=count_loading_slots(found.engines, found.working),
            **found._asdict(),
        )

    def _measure_lag(self, now: float) -> float:
        """Return for how long some engine has been outdated (seconds)."""
        return 0.0 if self._outdated_since is None else now - self._outdated_since

    def _count_loading_slots(self, now: float) -> int:
        """Return how many engines may load at once, given how many are usable."""
        found = count_working(self._table, self._updating, now)
        return count_loading_slots(found.engines, found.working)

    async def _update_weights(self, update: WeightsUpdate) -> None:
        server_id = update.state.info.id
        started = trio.current_time()
        self._exclude(update)
        try:
            await trio.sleep(NOTICE_DELAY_SECONDS)
            await self._fetch_order_count(update)
            # No await between the last check of the load and the order: the decision
            # to cut would not hold for requests that arrive meanwhile.
            cuts_runs = await self._await_bound_requests(update, started)
            result = await self._send_order(update, cuts_runs)
            is_loaded = result is not OrderExecution.NO and await self._await_weights(
                update, trio.current_time()
            )
            if is_loaded:
                self._order_crashes.note_loaded(update.model, update.version)
            elif result is OrderExecution.YES and self._has_crashed(update.state):
                now = trio.current_time()
                self._order_crashes.note_crash(update.model, update.version, now)
            if not is_loaded and self._table.is_current(update.state):
                self._paused_until[server_id] = (
                    trio.current_time() + FAILED_ORDER_PAUSE_SECONDS
                )
        finally:
            self._updating.discard(server_id)
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
        self.note_progress()
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

    async def _fetch_order_count(self, update: WeightsUpdate) -> None:
        """Fetch the number of orders that the engine has accepted, if unknown."""
        info = update.state.info
        if info.id in self._order_counts:
            return
        report = await self._fetch_report(update)
        if isinstance(report, EngineReport):
            self._order_counts[info.id] = report.accepted_orders
            update.state.update_weights(
                update.model, report.weights.get(update.model, 0)
            )

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
        return report

    async def _send_order(
        self, update: WeightsUpdate, cuts_runs: bool
    ) -> OrderExecution:
        """Send the order; return whether the engine carries it out."""
        info = update.state.info
        if not self.lease.holds(trio.current_time()):
            return OrderExecution.NO
        if not self._table.is_current(update.state):
            return OrderExecution.NO
        order = WeightsOrder(
            update.model,
            update.version,
            self.name,
            self.lease.fence,
            self._order_counts.get(info.id),
            cuts_runs,
            self.lease.valid_until,
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
            self.note_progress()
            self._keep_excluded(update)
            await trio.sleep(LOAD_CHECK_SECONDS)
        return False
