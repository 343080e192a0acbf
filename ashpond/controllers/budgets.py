"""The fleet's budgets of repeated sends, one a service."""

from __future__ import annotations

__all__ = ["RetryBudgets"]

from collections.abc import Callable, Container
from typing import TYPE_CHECKING

import trio

from ashpond.decisions.budget import AttemptCounts, FleetRetryBudget

if TYPE_CHECKING:
    from ashpond.gateway.settings import GatewayBounds
    from ashpond.news.room import Newsroom


class RetryBudgets:
    """What this instance and, as far as it hears, all others have sent again.

    :param get_bounds: returns the bounds in force.
    :param get_news: returns what tells how late others' counts may come.
    :param count_instances: returns how many share a budget.
    """

    def __init__(
        self,
        get_bounds: Callable[[], GatewayBounds],
        get_updates: Callable[[], Newsroom],
        count_instances: Callable[[], int],
    ):
        self.by_service: dict[str, FleetRetryBudget] = {}
        self._started_at = trio.current_time()
        self._get_bounds = get_bounds
        self._get_updates = get_updates
        self._count_instances = count_instances

    def get(self, service: str) -> FleetRetryBudget:
        """Return the budget of a service, as late as news of it may be now."""
        budget = self.by_service.get(service)
        if budget is None:
            bounds = self._get_bounds()
            budget = self.by_service[service] = FleetRetryBudget(
                bounds.retry_share,
                bounds.retry_slack,
                bounds.retry_window_s,
                self._started_at,
            )
        budget.lag = self._get_updates().measure_lag()
        return budget

    def reset(self) -> None:
        """Go by the bounds now in force."""
        self.by_service.clear()

    def list_own(self) -> dict[str, AttemptCounts]:
        """Return what this instance has sent of late, by service."""
        now = trio.current_time()
        return {name: budget.count_own(now) for name, budget in self.by_service.items()}

    def note_peer(self, service: str, peer: str, counts: AttemptCounts) -> None:
        """Take the counts of one life of a peer."""
        self.get(service).note_peer(peer, counts, trio.current_time())

    def keep_peers(self, peers: Container[str]) -> None:
        """Forget all counts but those of ``peers``, which include what others told."""
        for budget in self.by_service.values():
            budget.keep_peers(peers)

    def measure_left(self, service: str) -> float:
        """Return how many streams a load may cut, which then are sent once more."""
        now = trio.current_time()
        budget = self.get(service)
        if self._get_updates().links.group:
            return budget.measure_fleet_left(now)
        return budget.measure_left(self._count_instances(), now)
