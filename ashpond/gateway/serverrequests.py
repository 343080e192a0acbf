"""What a backend server is sent for a call, and how the log describes that."""

from __future__ import annotations

__all__ = ["build_server_request", "describe_sent"]

from typing import TYPE_CHECKING

import trio

from ashpond.clients.channels import OutgoingRequest
from ashpond.decisions.cacheindex import make_salt
from ashpond.decisions.selectionlog import describe_candidate, describe_demand
from ashpond.gateway.calls import Instructions

if TYPE_CHECKING:
    from ashpond.decisions.knowledge import Knowledge
    from ashpond.decisions.placementorigin import PlacementOrigin
    from ashpond.gateway.callprogress import CallProgress, DispatchContext
    from ashpond.gateway.reservations import Reservation


def build_server_request(
    progress: CallProgress, reservation: Reservation, context: DispatchContext
) -> OutgoingRequest:
    """Return the request that the server of a reservation is sent."""
    call, accepted = progress.request, progress.accepted
    salt, weights_version = _find_cache_terms(progress, reservation)
    instructions = Instructions(
        server_id=reservation.state.info.id,
        team=accepted.team.name if accepted.team else None,
        time_left=progress.deadline - trio.current_time(),
        salt=salt,
        weights_version=weights_version,
        urgency=accepted.urgency if progress.demand.model else None,
        resume_after=progress.splitter.last_id,
        fetch_from=reservation.fetch_from,
        save_to=reservation.save_to,
    )
    headers = context.codec.write_headers(call.envelope, instructions)
    if call.body or call.method in ("POST", "PUT", "PATCH"):
        headers.append((b"Content-Length", str(len(call.body)).encode()))
    return OutgoingRequest(
        call.method,
        call.target,
        headers,
        call.body,
        call.envelope.request_id,
        context.id_header,
    )


def _find_cache_terms(
    progress: CallProgress, reservation: Reservation
) -> tuple[str | None, int | None]:
    """Return the salt and the version of the weights for a request.

    A prompt that cannot be read is placed like a request without one. Its engine still
    caches its parts, which must not be shared beyond their namespace.
    """
    model = progress.request.envelope.model
    if reservation.salt is not None or model not in reservation.state.weights:
        return reservation.salt, reservation.weights_version
    version = reservation.state.weights[model]
    return make_salt(progress.accepted.cache_namespace, model, version), version


def describe_sent(
    progress: CallProgress, reservation: Reservation, knowledge: Knowledge
) -> dict[str, object]:
    """Return the log fields of a request that is sent to a server."""
    declaration = knowledge.declaration
    return {
        "fingerprint": progress.fingerprint,
        "parts": progress.fingerprints.parts if progress.fingerprints else (),
        "server": reservation.state.info.id,
        "software": reservation.state.info.software_version,
        "resume_after": progress.splitter.last_id,
        "weights": reservation.weights_version,
        **_describe_lag(progress, reservation, knowledge),
        "objective": progress.route.objective,
        "demand": describe_demand(progress.demand),
        # Empty after a coordinator's choice, which does not list them.
        "candidates": [describe_candidate(c) for c in reservation.candidates],
        "held": reservation.cached_tokens,
        "fetch": reservation.fetch_tokens if reservation.fetch_from else 0,
        "fetch_from": reservation.fetch_from,
        "saves": reservation.save_to is not None,
        **_describe_origin(reservation.origin),
        "limit": reservation.state.rate_limit.rate,
        "config": declaration.version if declaration else None,
        "knowledge_age": round(knowledge.measure_age(trio.current_time()), 3),
    }


def _describe_lag(
    progress: CallProgress, reservation: Reservation, knowledge: Knowledge
) -> dict[str, object]:
    """Return for how long the weights at the server have been replaced, if they are."""
    model, version = progress.demand.model, reservation.weights_version
    if model is None or version is None:
        return {}
    lag = knowledge.measure_lag(model, version, trio.current_time())
    if lag is None:
        return {}
    return {"weights_lag": round(lag.seconds, 3), "lag_is_dated": lag.is_dated}


def _describe_origin(origin: PlacementOrigin | None) -> dict[str, object]:
    """Return how a coordinator placed the request, if one did."""
    if origin is None:
        return {}
    waited = round(origin.waited, 4)
    if origin.fallback:
        return {"fallback": origin.fallback, "waited": waited}
    return {
        "coordinator": origin.coordinator,
        "shard": origin.shard,
        "waited": waited,
        "forecast": round(origin.forecast, 4),
    }
