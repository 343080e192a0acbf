"""Find the engines whose weights are older than the declared ones."""

from __future__ import annotations

__all__ = ["WeightsUpdate", "find_outdated"]

from typing import TYPE_CHECKING, NamedTuple

if TYPE_CHECKING:
    from collections.abc import Callable

    from ashpond.controllers.directory import ServerState, ServerTable
    from ashpond.decisions.knowledge import Knowledge


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
