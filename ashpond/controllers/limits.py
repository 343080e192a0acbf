"""The teams' request rates, divided among the instances by demand."""

from __future__ import annotations

__all__ = ["LimitsController"]

from typing import TYPE_CHECKING, Any

import trio

from ashpond.decisions.quotas import TokenBucket, compute_limit_share

if TYPE_CHECKING:
    from ashpond.configuration import TeamConfig
    from ashpond.controllers.configuration import ConfigurationController
    from ashpond.controllers.members import MembersController

DEMAND_PART = "demand"
REDISTRIBUTION_SECONDS = 1.0
DEMAND_SMOOTHING = 0.5


class LimitsController:
    """Holds one token bucket for each team with a limit."""

    def __init__(
        self, configuration: ConfigurationController, members: MembersController
    ):
        self._configuration = configuration
        self._members = members
        self._buckets: dict[str, TokenBucket] = {}
        self._demand: dict[str, float] = {}
        members.add_fact_part(DEMAND_PART, self._list_demand)

    def take(self, name: str, team: TeamConfig) -> float:
        """Take one request of a team; return 0, or the seconds to wait."""
        if not team.requests_per_second:
            return 0.0
        now = trio.current_time()
        bucket = self._buckets.get(name)
        if bucket is None:
            rate = team.requests_per_second / self._members.count_instances()
            bucket = TokenBucket(rate, team.burst_seconds, now)
            self._buckets[name] = bucket
        return bucket.take(now)

    async def run(self) -> None:
        """Divide the limits among the instances again periodically, forever."""
        while True:
            await trio.sleep(REDISTRIBUTION_SECONDS)
            self._redistribute()

    def _redistribute(self) -> None:
        teams = self._configuration.current.teams
        others = self._members.read_parts(DEMAND_PART)
        instances = self._members.count_instances()
        for name in list(self._buckets):
            team = teams.get(name)
            if team is None or not team.requests_per_second:
                del self._buckets[name]
                self._demand.pop(name, None)
                continue
            bucket = self._buckets[name]
            rate = bucket.take_demand() / REDISTRIBUTION_SECONDS
            smoothed = self._demand.get(name, rate)
            smoothed += DEMAND_SMOOTHING * (rate - smoothed)
            self._demand[name] = smoothed
            reported = [_read_demand(part, name) for part in others.values()]
            limit = compute_limit_share(
                team.requests_per_second, smoothed, reported, instances
            )
            bucket.set_rate(limit, trio.current_time())

    def _list_demand(self) -> dict[str, float]:
        # Only teams with demand, so that facts stay small with many declared teams.
        return {name: round(d, 1) for name, d in self._demand.items() if d >= 0.1}


def _read_demand(part: Any, name: str) -> float:
    value = part.get(name, 0.0) if isinstance(part, dict) else 0.0
    return float(value) if isinstance(value, int | float) else 0.0
