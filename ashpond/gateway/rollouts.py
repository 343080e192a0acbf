"""Bring engines to the declared weights: the holder of a lease sends orders."""

from __future__ import annotations

__all__ = ["RolloutController"]

from collections.abc import Callable

import trio

from ashpond.controllers.directory import ServerTable
from ashpond.controllers.erarecord import EraRecord
from ashpond.controllers.invalidrows import InvalidRows
from ashpond.controllers.orderlease import OrderLease
from ashpond.decisions.knowledge import Knowledge
from ashpond.decisions.leases import Lease, make_lease_terms
from ashpond.decisions.loadingslots import count_loading_slots
from ashpond.decisions.loads import Load
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
from ashpond.gateway.workingengines import count_working

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
        self._progress_logged_at = float("-inf")
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
            update for update in updates if self.updater.may_update(update.state, now)
        ]
        self._log_progress(updates, len(waiting), now)
        self._sort_by_urgency(waiting, now)
        slots_left = self._count_loading_slots(now) - len(self.updater.updating)
        if not self.updater.updating and self._measure_lag(now) > SLOT_WAIT_SECONDS:
            slots_left = max(slots_left, 1)
        for update in waiting[: max(0, slots_left)]:
            crashes = self.updater.crashes
            limit = crashes.limit_loads(update.model, update.version, now)
            if limit is not None and len(self.updater.updating) >= limit:
                continue
            self.updater.begin(nursery, update)

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
        found = count_working(self._table, self.updater.updating, now)
        self._log.note(
            "rollout_progress",
            outdated=describe_outdated(updates, self._knowledge),
            updating=len(self.updater.updating),
            waiting=waiting,
            slots=count_loading_slots(found.engines, found.working),
            **found._asdict(),
        )

    def _sort_by_urgency(self, updates: list[WeightsUpdate], now: float) -> None:
        """Sort updates, those of the weights that were replaced first at the front.

        Of engines with the same weights, the least loaded one is updated first. By load
        alone, targets in quick succession would leave the busiest engines behind.
        """
        lags = measure_lags(updates, self._knowledge)

        def rank(update: WeightsUpdate) -> tuple[float, Load]:
            server_id = update.state.info.id
            lag = lags.get(server_id)
            seconds = lag.seconds if lag else 0.0
            return -seconds, self._table.sum_load(server_id, now)

        updates.sort(key=rank)

    def _measure_lag(self, now: float) -> float:
        """Return for how long some engine has been outdated (seconds)."""
        return 0.0 if self._outdated_since is None else now - self._outdated_since

    def _count_loading_slots(self, now: float) -> int:
        """Return how many engines may load at once, given how many are usable."""
        found = count_working(self._table, self.updater.updating, now)
        return count_loading_slots(found.engines, found.working)
