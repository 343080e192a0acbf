"""Bring all engines to their service's declared weights, under a lease per service."""

from __future__ import annotations

__all__ = ["RolloutController"]

from typing import TYPE_CHECKING

import trio
from logbook import Logger

from ashpond.clients.engine import Order, OrderOutcome, send_order
from ashpond.clients.http import make_client
from ashpond.clients.platform import Put
from ashpond.decisions.leases import Lease, LeaseRow
from ashpond.decisions.membership import choose_watchers
from ashpond.decisions.rollout import EngineWeights, plan_rollout
from ashpond.outcomes import Done

if TYPE_CHECKING:
    from collections.abc import Mapping

    from ashpond.clients.platform import PlatformClient, Row
    from ashpond.controllers.configuration import ConfigurationController
    from ashpond.controllers.engines import EnginesController, ServerState
    from ashpond.controllers.members import MembersController
    from ashpond.metrics import Metrics
    from ashpond.settings import Settings

logger = Logger("ashpond.rollout")

TICK_SECONDS = 1.0
MAX_CONTENDERS = 2
ORDER_SECONDS = 1.0


class RolloutController:
    """Contends for the leases of model services and orders weights while holding them.

    Only two instances contend for each lease, so that the number of reads from the
    platform does not grow with the number of instances. All instances choose the same
    two from the list of live members.
    """

    def __init__(
        self,
        settings: Settings,
        incarnation: str,
        platform: PlatformClient,
        configuration: ConfigurationController,
        members: MembersController,
        engines: EnginesController,
        metrics: Metrics,
    ):
        self._holder = f"{settings.peers_address}/{incarnation}"
        self._address = settings.peers_address
        self._platform = platform
        self._configuration = configuration
        self._members = members
        self._engines = engines
        self._metrics = metrics
        self._client = make_client(ORDER_SECONDS, ORDER_SECONDS, keep_alive=False)
        self.leases: dict[str, Lease] = {}
        # What engines last reported, by service and name.
        self._seen: dict[str, dict[str, EngineWeights]] = {}

    async def run(self) -> None:
        """Contend for the leases and send orders until cancelled."""
        while True:
            await trio.sleep(TICK_SECONDS)
            for name, service in self._configuration.current.services.items():
                if service.kind == "model" and service.weights:
                    await self._roll_out(name, service.weights)

    async def _roll_out(self, service: str, weights: str) -> None:
        lease = self.leases.setdefault(service, Lease(self._holder))
        live = [fact.origin for fact in self._members.list_live()]
        contenders = choose_watchers(service, [*live, self._address], MAX_CONTENDERS)
        if self._address not in contenders:
            return
        await self._renew_lease(service, lease)
        if lease.holds(trio.current_time()):
            await self._give_orders(service, weights, lease)

    async def _renew_lease(self, service: str, lease: Lease) -> None:
        key = f"lease/{service}"
        was_holder = lease.holds(trio.current_time())
        read = await self._platform.get_row(key)
        if not isinstance(read, Done):
            return
        row: Row | None = read.value
        stored = LeaseRow(**row.value) if row else None
        lease.on_read(stored, row.version if row else 0, trio.current_time())
        write = lease.plan_write(trio.current_time())
        if write is None:
            return
        sent_at = trio.current_time()
        put = Put(key, write.row._asdict(), write.version)
        outcome = await self._platform.transact([put])
        if isinstance(outcome, Done):
            outcome = Done(outcome.value[0])
        lease.on_write(write, outcome, sent_at)
        if not was_holder and lease.holds(trio.current_time()):
            extra = {"service": service, "fence": lease.fence}
            logger.notice("lease_taken", extra=extra)

    async def _give_orders(self, service: str, weights: str, lease: Lease) -> None:
        servers = {s.name: s for s in self._engines.list_of_service(service)}
        now = trio.current_time()
        seen = self._seen.get(service, {})
        observed = [_read_weights(s, seen, now) for s in servers.values()]
        self._seen[service] = {engine.name: engine for engine in observed}
        for name in plan_rollout(observed, weights):
            # Checked right before each order: the process may have been suspended and
            # the lease have expired meanwhile.
            if not lease.holds(trio.current_time()):
                return
            order = Order("weights", lease.fence, weights=weights)
            address = servers[name].config.address
            outcome = await send_order(self._client, address, order)
            self._metrics.orders.inc({"service": service, "outcome": outcome.value})
            if outcome is OrderOutcome.TAKEN:
                extra = {"server": name, "weights": weights, "fence": lease.fence}
                logger.notice("weights_ordered", extra=extra)


def _read_weights(
    state: ServerState, seen: Mapping[str, EngineWeights], now: float
) -> EngineWeights:
    """Return what an engine reports.

    :param seen: what the engines reported before.
    """
    report = state.report
    if report is None:
        return EngineWeights(state.name, "", "", False, now)
    before = seen.get(state.name)
    is_same = before is not None and before.weights == report.weights
    since = before.since if before is not None and is_same else now
    usable = state.health.is_usable(now)
    return EngineWeights(state.name, report.weights, report.loading, usable, since)
