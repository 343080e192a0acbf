"""Divide a team's request rate among the instances by their demand."""

from __future__ import annotations

__all__ = ["TokenBucket", "compute_limit_share"]

EVEN_SHARE = 0.5


def compute_limit_share(
    limit: float, own_demand: float, other_demands: list[float], instances: int
) -> float:
    """Return the part of a fleet-wide ``limit`` that this instance may use.

    Half of the limit is divided evenly, so that an instance whose demand the others do
    not know yet can serve; the rest is divided by demand. If the demand of any other
    instance is unknown, the result is an even part of the whole limit.
    """
    even = limit / max(1, instances)
    if len(other_demands) < instances - 1:
        return even
    total = own_demand + sum(other_demands)
    if total <= 0:
        return even
    by_demand = limit * own_demand / total
    return EVEN_SHARE * even + (1 - EVEN_SHARE) * by_demand


class TokenBucket:
    """A token bucket of ``rate`` requests per second and ``burst_seconds`` of them."""

    def __init__(self, rate: float, burst_seconds: float, now: float):
        self.rate = rate
        self.burst_seconds = burst_seconds
        self.demand = 0.0
        self._tokens = self._size()
        self._updated = now

    def set_rate(self, rate: float, now: float) -> None:
        """Change the rate; tokens above the new bucket size are dropped."""
        self._refill(now)
        self.rate = rate
        self._tokens = min(self._tokens, self._size())

    def take(self, now: float) -> float:
        """Take one token and return 0, or return the seconds until one is available."""
        self._refill(now)
        self.demand += 1
        if self._tokens >= 1:
            self._tokens -= 1
            return 0.0
        return (1 - self._tokens) / self.rate

    def take_demand(self) -> float:
        """Return the number of requests since the last call, and reset it."""
        demand, self.demand = self.demand, 0.0
        return demand

    def _size(self) -> float:
        return max(1.0, self.rate * self.burst_seconds)

    def _refill(self, now: float) -> None:
        refilled = (now - self._updated) * self.rate
        self._tokens = min(self._size(), self._tokens + refilled)
        self._updated = now
