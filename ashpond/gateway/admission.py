"""Decide whether a call may start, by route, team and age of the configuration."""

from __future__ import annotations

__all__ = ["AcceptedCall", "admit_call", "find_urgency"]

import math
from typing import NamedTuple

from ashpond.decisions.declared import Declaration, Route, Team, find_route
from ashpond.decisions.knowledge import Knowledge
from ashpond.decisions.timeleft import choose_retry_after, spread_by_id
from ashpond.gateway.calls import IncomingCall
from ashpond.outcomes import Refusal

# The wait after a refusal for lack of recent knowledge (seconds); then the client may
# reach an instance that has it.
UNINFORMED_WAIT_SECONDS = 0.3
# How long the client of a call without a timeout and a known route waits (seconds).
UNKNOWN_TIMEOUT_SECONDS = 1.0
# Keys are used up to this share of the revocation bound, not up to its end: a feed may
# have missed a second of changes while the store dropped its history.
MAX_AGE_SHARE = 0.75
# Beyond this share of the bound, an unknown key or route may have been added since.
UNCERTAIN_AGE_SHARE = 0.5
SHARED_NAMESPACE = "shared"


class AcceptedCall(NamedTuple):
    """A call that may start.

    ``deadline`` is on this process's clock; ``cache_namespace`` separates the cached
    prompt parts of isolated teams.
    """

    route: Route
    team: Team | None
    deadline: float
    urgency: int
    cache_namespace: str


def admit_call(
    call: IncomingCall, knowledge: Knowledge, revocation_seconds: float, now: float
) -> AcceptedCall | Refusal:
    """Return the accepted call or its refusal.

    A key is valid only while its removal cannot have taken effect unnoticed.
    """
    declaration = knowledge.declaration
    if declaration is None:
        return _refuse_uninformed(call, "no configuration is known yet")
    age = knowledge.measure_age(now)
    is_uncertain = age > revocation_seconds * UNCERTAIN_AGE_SHARE
    route = find_route(declaration, call.host, call.path)
    if route is None:
        if is_uncertain:
            return _refuse_uninformed(call, "no such route was known a while ago")
        return Refusal(404, "no_route", "no route has this host and path")
    team = None
    if declaration.needs_keys and not route.is_anonymous:
        if age > revocation_seconds * MAX_AGE_SHARE:
            return _refuse_uninformed(call, "keys may have been removed meanwhile")
        team = _find_team(declaration, call.envelope.key)
        if team is None:
            if is_uncertain:
                return _refuse_uninformed(call, "no such key was known a while ago")
            return Refusal(401, "unknown_key", "the API key is not known")
    return _accept(call, route, team)


def find_urgency(call: IncomingCall, knowledge: Knowledge) -> int | None:
    """Return the urgency that a call will have; None if it will not be accepted.

    Used for calls whose body is not complete yet, to decide which bodies to read.
    """
    accepted = admit_call(call, knowledge, math.inf, call.received_at)
    return None if isinstance(accepted, Refusal) else accepted.urgency


def _refuse_uninformed(call: IncomingCall, message: str) -> Refusal:
    """Return a refusal whose time to return differs between calls."""
    left = call.envelope.timeout
    if left is None:
        left = UNKNOWN_TIMEOUT_SECONDS
    spread = spread_by_id(call.envelope.request_id)
    retry_after = choose_retry_after(UNINFORMED_WAIT_SECONDS, left, spread)
    return Refusal(503, "uninformed", message, retry_after=retry_after)


def _find_team(declaration: Declaration, key: str | None) -> Team | None:
    return declaration.teams_by_key.get(key) if key else None


def _accept(call: IncomingCall, route: Route, team: Team | None) -> AcceptedCall:
    timeout = call.envelope.timeout
    allowed = route.timeout if timeout is None else min(route.timeout, timeout)
    urgency = route.priority
    if team is not None and team.priority is not None:
        urgency = team.priority
    is_isolated = team is not None and team.is_isolated
    cache_namespace = f"team/{team.name}" if team and is_isolated else SHARED_NAMESPACE
    return AcceptedCall(
        route, team, call.received_at + allowed, urgency, cache_namespace
    )
