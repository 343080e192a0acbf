"""Find the engines whose weights are older than the declared ones."""

from __future__ import annotations

__all__ = ["WeightsUpdate", "describe_outdated", "find_outdated", "measure_lags"]

from collections import Counter
from typing import TYPE_CHECKING, NamedTuple

import trio

if TYPE_CHECKING:
    from collections.abc import Callable, Iterable

    from ashpond.controllers.directory import ServerState, ServerTable
    from ashpond.decisions.knowledge import Knowledge, WeightsLag


class WeightsUpdate(NamedTuple):
    """An engine, a model that it serves, and the version that it should have."""

    state: ServerState
    model: str
    version: int


def find_outdated(
    table: ServerTable, knowledge: Knowledge, has_service: Callable[[str], bool]
) -> list[WeightsUpdate]:
    """Return the updates that engines need.

    :param has_service: returns whether a service is declared. A row may name another,
        whose engine gets no orders.
    """
    found = []
    for state in table.by_id.values():
        if not state.is_present() or not has_service(state.info.service):
            continue
        for model in state.info.weights:
            target = knowledge.targets.get(model, 0)
            if state.weights.get(model, 0) < target:
                found.append(WeightsUpdate(state, model, target))
    return found


def measure_lags(
    updates: Iterable[WeightsUpdate], knowledge: Knowledge
) -> dict[str, WeightsLag]:
    """Return for how long the weights of engines have been replaced, by server id."""
    now = trio.current_time()
    lags: dict[str, WeightsLag] = {}
    for update in updates:
        version = update.state.weights.get(update.model, 0)
        lag = knowledge.measure_lag(update.model, version, now)
        server_id = update.state.info.id
        known = lags.get(server_id)
        if lag is not None and (known is None or lag.seconds > known.seconds):
            lags[server_id] = lag
    return lags


def describe_outdated(
    updates: Iterable[WeightsUpdate], knowledge: Knowledge
) -> list[list[object]]:
    """Return the outdated versions for a log line: version, engines, lag (seconds)."""
    now = trio.current_time()
    counts = Counter((u.model, u.state.weights.get(u.model, 0)) for u in updates)
    described: list[list[object]] = []
    for (model, version), count in sorted(counts.items()):
        lag = knowledge.measure_lag(model, version, now)
        described.append([version, count, round(lag.seconds, 2) if lag else None])
    return described
