"""The retry budgets that all instances share, one per service."""

from __future__ import annotations

__all__ = ["RetryBudgets"]

from collections.abc import Callable, Container
from typing import TYPE_CHECKING

import trio

from ashpond.decisions.budget import AttemptCounts, FleetRetryBudget

if TYPE_CHECKING:
    from ashpond.fleet.exchange import PeerExchange
    from ashpond.gateway.settings import GatewayBounds


class RetryBudgets:
    """The attempts of this instance and of its peers, by their latest reports.

    :param get_bounds: returns the bounds in force.
    :param get_updates: returns the exchange with peers, which measures their delay.
    :param count_instances: returns how many instances share a budget.
    """

    def __init__(
        self,
        get_bounds: Callable[[], GatewayBounds],
        get_updates: Callable[[], PeerExchange],
        count_instances: Callable[[], int],
    ):
        self.by_service: dict[str, FleetRetryBudget] = {}
        self._started_at = trio.current_time()
        self._get_bounds = get_bounds
        self._get_updates = get_updates
        self._count_instances = count_instances

    def get(self, service: str) -> FleetRetryBudget:
        """Return the budget of a service, with the present delay of peers' reports."""
        budget = self.by_service.get(service)
        if budget is None:
            bounds = self._get_bounds()
            budget = self.by_service[service] = FleetRetryBudget(
                bounds.retry_share,
                bounds.retry_slack,
                bounds.retry_window_s,
                self._started_at,
            )
        budget.lag = self._get_updates().get_max_lag()
        return budget

    def reset(self) -> None:
        """Drop all counts, so that new budgets use the bounds now in force."""
        self.by_service.clear()

    def list_own(self) -> dict[str, AttemptCounts]:
        """Return this instance's attempts in the present window, by service."""
        now = trio.current_time()
        return {name: budget.count_own(now) for name, budget in self.by_service.items()}

    def note_peer(self, service: str, peer: str, counts: AttemptCounts) -> None:
        """Record the counts of one incarnation of a peer."""
        self.get(service).note_peer(peer, counts, trio.current_time())

    def keep_peers(self, peers: Container[str]) -> None:
        """Remove all counts but those of ``peers``, own or forwarded by other peers."""
        for budget in self.by_service.values():
            budget.keep_peers(peers)

    def measure_left(self, service: str) -> float:
        """Return how many streams a weight load may cut off, at one retry each."""
        now = trio.current_time()
        budget = self.get(service)
        if self._get_updates().links.group:
            return budget.measure_fleet_left(now)
        return budget.measure_left(self._count_instances(), now)
