"""The reservations of granted servers, checked against what this instance knows."""

from __future__ import annotations

__all__ = ["build_reservation", "exclude_granted"]

from ashpond.clients.placements import PlacementDecision
from ashpond.controllers.directory import ServerState, ServerTable
from ashpond.coordination.pendingasks import Ask
from ashpond.decisions.cacheindex import make_salt
from ashpond.decisions.knowledge import FindVersion
from ashpond.decisions.selection import Demand, make_load
from ashpond.gateway.serverchoice import Reservation


def build_reservation(
    table: ServerTable,
    ask: Ask,
    decision: PlacementDecision,
    now: float,
    find_required_version: FindVersion,
) -> Reservation | None:
    """Return the reservation of a grant, None if it cannot be used here.

    The caller adds its load to the server's.
    """
    demand = ask.demand
    state = _find_state(table, decision.start_id)
    if state is None or not _may_use(state, demand, now):
        return None
    known_version = state.weights.get(demand.model or "", 0)
    version = max(known_version, decision.weights_version or 0)
    if demand.model is None:
        return Reservation(state, make_load(demand, 0), None, ())
    if version < find_required_version(demand.model, now):
        return None
    if version != decision.weights_version:
        # The server has loaded newer weights, under which it has nothing cached.
        salt = make_salt(demand.cache_namespace, demand.model, version)
        return Reservation(state, make_load(demand, 0), version, (), salt)
    return Reservation(
        state,
        make_load(demand, max(decision.cached_tokens, decision.fetch_tokens)),
        version,
        (),
        decision.salt,
        decision.fetch_from,
        decision.cached_tokens,
        decision.fetch_tokens,
        decision.save_to,
    )


def exclude_granted(demand: Demand, decision: PlacementDecision) -> Demand:
    """Return the demand without the granted server."""
    start_id = decision.start_id or ""
    names = {start_id, start_id.rpartition("#")[0]} - {""}
    return demand._replace(excluded=demand.excluded | names)


def _find_state(table: ServerTable, start_id: str | None) -> ServerState | None:
    """Return the server of a start, None unless that is its present start."""
    if start_id is None:
        return None
    state = table.by_id.get(start_id) or table.by_id.get(start_id.rpartition("#")[0])
    return state if state is not None and state.info.start_id == start_id else None


def _may_use(state: ServerState, demand: Demand, now: float) -> bool:
    """Return whether this instance may send a request to a granted server.

    A server whose row has disappeared may be used: the coordinator chooses one only if
    there is no other. So may one that was full: the coordinator knows its load.
    """
    return (
        state.info.service == demand.service
        and state.info.id not in demand.excluded
        and state.is_eligible()
        and now >= max(state.excluded_until, state.loading_until)
        and not state.is_backing_off(now)
    )
