"""Find the engines that carry the traffic while others load weights."""

from __future__ import annotations

__all__ = ["WorkingEngines", "count_working"]

from collections import Counter
from typing import TYPE_CHECKING, NamedTuple

if TYPE_CHECKING:
    from collections.abc import Container

    from ashpond.controllers.directory import ServerState, ServerTable


class WorkingEngines(NamedTuple):
    """How many engines there are, how many work, and why the others do not."""

    engines: int
    working: int
    obstacles: dict[str, int]


def count_working(
    table: ServerTable, service: str, updating: Container[str], now: float
) -> WorkingEngines:
    """Count a service's engines that work: one that rejects some as it is full does.

    :param updating: the ids of the engines that load, which count as working.
    """
    engines = [state for state in table.list_service(service) if state.info.weights]
    obstacles: Counter[str] = Counter()
    for state in engines:
        obstacle = _find_obstacle(state, updating, now)
        if obstacle is not None:
            obstacles[obstacle] += 1
    working = len(engines) - obstacles.total()
    return WorkingEngines(len(engines), working, dict(obstacles))


def _find_obstacle(
    state: ServerState, updating: Container[str], now: float
) -> str | None:
    """Return why an engine does not carry traffic, None if it does."""
    if not state.is_present():
        return "leaving or gone"
    if state.connect_failures and now < state.excluded_until:
        return "unreached"
    if state.is_limited:
        return "rate limit"
    if state.info.id in updating:
        return None
    if now < state.excluded_until:
        return "excluded"
    return "backoff" if state.is_backing_off(now) else None
