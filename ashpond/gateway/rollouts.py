"""Bring engines to the declared weights: the holder of a lease sends orders."""

from __future__ import annotations

__all__ = ["RolloutController"]

from collections.abc import Callable
from typing import NamedTuple

import trio

from ashpond.controllers.directory import ServerTable
from ashpond.controllers.erarecord import EraRecord
from ashpond.controllers.invalidrows import InvalidRows
from ashpond.controllers.orderlease import OrderLease
from ashpond.decisions.knowledge import FindVersion, Knowledge, WeightsLag
from ashpond.decisions.leases import Lease, make_lease_terms
from ashpond.decisions.loadingslots import (
    choose_loading_slots,
    count_needed_slots,
    count_overdue_slots,
)
from ashpond.decisions.loads import Load
from ashpond.decisions.weightsbound import MAX_START_SHARE
from ashpond.fleet.updates import ServerNotice
from ashpond.gateway.decisionlog import DecisionLog
from ashpond.gateway.engineupdates import EngineUpdater
from ashpond.gateway.orders import EnginePort
from ashpond.gateway.outdatedweights import (
    WeightsUpdate,
    describe_outdated,
    find_outdated,
    measure_lags,
)
from ashpond.gateway.store import Store, StoreClock
from ashpond.gateway.workingengines import WorkingEngines, count_working

# The share of the weights' bound within which all engines should be updated: after it,
# requests that wait at engines may keep outdated ones from getting any.
GOAL_SHARE = 1.0 - MAX_START_SHARE
HOLDER_CHECK_SECONDS = 0.1
# Other instances only check the holder's progress, at half the delay between ranks.
# Ranking 195 members and checking 123 servers every 0.1 s took 0.9 % of a core on each.
STANDBY_CHECK_SECONDS = 0.3
# While no engine is outdated, changes wake the controller. Other events, such as an
# engine that is reachable again, are noticed within this (seconds).
IDLE_CHECK_SECONDS = 0.5
# While engines are outdated, the lease's holder logs their state this often (seconds).
PROGRESS_LOG_SECONDS = 1.0


class _LoadingSlots(NamedTuple):
    """How many engines may load at once before another load begins.

    ``overdue`` counts for an engine that gets no requests, so that its load takes
    nothing from the traffic. ``needed`` is how many loads the time left requires.
    """

    usual: int
    overdue: int
    needed: int
    found: WorkingEngines


class RolloutController:
    """Keeps engines on the declared weights while this instance holds the lease.

    :param weights_bound: time after which no request may begin on replaced weights
        (seconds).
    :param find_required_version: returns the version of a model without which an engine
        gets no requests.
    """

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
        weights_bound: float = 10.0,
        find_required_version: FindVersion = lambda model, now: 0,
    ):
        self._goal_seconds = weights_bound * GOAL_SHARE
        self._find_required_version = find_required_version
        self._table = table
        self._knowledge = knowledge
        self._log = log
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
        self.updater = EngineUpdater(
            name,
            table,
            engines,
            log,
            self._order_lease,
            announce,
            on_change,
            measure_retries_left,
            measure_update_lag,
            self._measure_lag,
        )
        self._has_service = has_service
        self._outdated_since: float | None = None
        # When the state of each service was last logged.
        self._progress_logged_at: dict[str, float] = {}
        self._changed = trio.Event()

    def reset_server(self, server_id: str) -> None:
        """Remove what was known of a server before its new start."""
        self.updater.reset_server(server_id)

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
                await self._await_check()

    async def _await_check(self) -> None:
        """Wait for the next check; the end of an update makes room for another."""
        with trio.move_on_after(self._choose_check_interval()):
            await self.updater.wait_ended()

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
        services = sorted({update.state.info.service for update in updates})
        for service in services:
            own = [u for u in updates if u.state.info.service == service]
            self._start_service_orders(nursery, service, own)

    def _start_service_orders(
        self, nursery: trio.Nursery, service: str, updates: list[WeightsUpdate]
    ) -> None:
        now = trio.current_time()
        updating = {update.state.info.id for update in updates} & self.updater.updating
        lags = measure_lags(updates, self._knowledge)
        waiting = [
            update for update in updates if self.updater.may_update(update.state, now)
        ]
        self._sort_by_urgency(waiting, lags, now)
        possible = updating.union(update.state.info.id for update in waiting)
        slots = self._choose_slots(
            service, [lag.seconds for name, lag in lags.items() if name in possible]
        )
        self._log_progress(service, updates, slots, now)
        crashes = self.updater.crashes
        for update in waiting:
            server_id = update.state.info.id
            is_overdue = self._is_overdue(update, now)
            if len(updating) >= (slots.overdue if is_overdue else slots.usual):
                continue
            limit = crashes.limit_loads(update, now)
            if server_id in updating or (limit is not None and len(updating) >= limit):
                continue
            updating.add(server_id)
            self.updater.begin(nursery, update)

    def _is_overdue(self, update: WeightsUpdate, now: float) -> bool:
        """Return whether an engine gets no requests any more until it is updated."""
        version = update.state.weights.get(update.model, 0)
        return version < self._find_required_version(update.model, now)

    def _choose_slots(self, service: str, lags: list[float]) -> _LoadingSlots:
        """Return how many engines of a service may load at once.

        :param lags: those of the engines that load or can be updated now (seconds).
        """
        now = trio.current_time()
        found = count_working(self._table, service, self.updater.updating, now)
        needed = count_needed_slots(
            lags, self.updater.get_update_seconds(), self._goal_seconds
        )
        longest = max(lags, default=0.0)
        usual = choose_loading_slots(found.engines, found.working, needed, longest)
        overdue = max(usual, count_overdue_slots(found.engines))
        return _LoadingSlots(usual, overdue, needed, found)

    def _log_progress(
        self,
        service: str,
        updates: list[WeightsUpdate],
        slots: _LoadingSlots,
        now: float,
    ) -> None:
        logged_at = self._progress_logged_at.get(service, float("-inf"))
        if now - logged_at < PROGRESS_LOG_SECONDS:
            return
        self._progress_logged_at[service] = now
        self._log.note(
            "rollout_progress",
            service=service,
            outdated=describe_outdated(updates, self._knowledge),
            updating=len(self.updater.updating),
            needed=slots.needed,
            slots=slots.usual,
            **slots.found._asdict(),
        )

    def has_outdated(self) -> bool:
        """Return whether an engine has other weights than its target."""
        return bool(self._find_outdated())

    def measure_lag(self) -> float:
        """Return for how long the oldest weights have been replaced (seconds)."""
        lags = measure_lags(self._find_outdated(), self._knowledge)
        return max((lag.seconds for lag in lags.values()), default=0.0)

    def _sort_by_urgency(
        self, updates: list[WeightsUpdate], lags: dict[str, WeightsLag], now: float
    ) -> None:
        """Sort updates, those of the weights that were replaced first at the front.

        Of engines with the same weights, the least loaded one is updated first. By load
        alone, targets in quick succession would leave the busiest engines behind.
        """

        def rank(update: WeightsUpdate) -> tuple[float, Load]:
            server_id = update.state.info.id
            lag = lags.get(server_id)
            seconds = lag.seconds if lag else 0.0
            return -seconds, self._table.sum_load(server_id, now)

        updates.sort(key=rank)

    def _measure_lag(self, now: float) -> float:
        """Return for how long some engine has been outdated (seconds)."""
        return 0.0 if self._outdated_since is None else now - self._outdated_since
