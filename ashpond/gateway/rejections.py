"""Answers in which a backend server says that it has not run a request."""

from __future__ import annotations

__all__ = ["PROMISES", "RejectionProof", "find_proof", "read_rejection", "skip_body"]

from enum import StrEnum
from typing import TYPE_CHECKING

import trio

from ashpond.clients.channels import ChannelError
from ashpond.controllers.crashdetection import CrashEvidence
from ashpond.controllers.directory import LOADING_PAUSE_SECONDS
from ashpond.gateway.callprogress import AttemptNotRun

if TYPE_CHECKING:
    from ashpond.clients.channels import Response
    from ashpond.gateway.callprogress import CallProgress, DispatchContext
    from ashpond.gateway.calls import AnswerHeaders
    from ashpond.gateway.reservations import Reservation

CLIENT_ERROR = 400
MISDIRECTED = 421
# The statuses that promise a client that its request has not run and never will.
PROMISES = frozenset({408, MISDIRECTED, 429, 503})
# The body of a rejection is read up to these limits (bytes, seconds).
MAX_REJECTION_BYTES = 1 << 16
REJECTION_BODY_SECONDS = 0.1


class RejectionProof(StrEnum):
    """What shows that a server has not run a request that it answered.

    ``STATED`` is the header that says so. The others are a status of 421 from another
    server than the expected one, or from one with other weights than those asked for.
    """

    STATED = "stated"
    OTHER_SERVER = "other_server"
    OTHER_WEIGHTS = "other_weights"


def find_proof(
    status: int, answer_headers: AnswerHeaders, reservation: Reservation
) -> RejectionProof | None:
    """Return what shows that the server of a reservation has not run a request."""
    if answer_headers.is_not_run and status >= CLIENT_ERROR:
        return RejectionProof.STATED
    if status != MISDIRECTED:
        return None
    if answer_headers.server_id not in (None, reservation.state.info.id):
        return RejectionProof.OTHER_SERVER
    version, asked = answer_headers.weights_version, reservation.weights_version
    if None not in (version, asked) and version != asked:
        return RejectionProof.OTHER_WEIGHTS
    return None


def read_rejection(
    context: DispatchContext,
    call: CallProgress,
    reservation: Reservation,
    response: Response,
    answer_headers: AnswerHeaders,
) -> AttemptNotRun | None:
    """Return the outcome if an answer shows that the request has not run.

    The server gets no new requests for a short time, according to the reason.
    """
    proof = find_proof(response.status, answer_headers, reservation)
    if proof or response.status in PROMISES:
        context.count_rejection(proof or "none")
    if response.status == MISDIRECTED:
        _handle_misdirected(context, call, reservation, answer_headers)
    if proof is None:
        return None
    if response.status != MISDIRECTED:
        _exclude_briefly(context, call, reservation)
    call.note(
        "not_run_there",
        server=reservation.state.info.id,
        status=response.status,
        weights=answer_headers.weights_version,
        asked=reservation.weights_version,
        proof=proof,
        **response.correlation._asdict(),
    )
    return AttemptNotRun(
        f"the server answered {response.status} without running it",
        is_rejected=True,
    )


def _exclude_briefly(
    context: DispatchContext, call: CallProgress, reservation: Reservation
) -> None:
    """Record that a server is loading weights, or is full."""
    state = reservation.state
    model = call.demand.model or ""
    now = trio.current_time()
    if state.weights.get(model, 0) < context.knowledge.targets.get(model, 0):
        state.note_loading(now)
    else:
        state.note_full(now)


def _handle_misdirected(
    context: DispatchContext,
    call: CallProgress,
    reservation: Reservation,
    answer_headers: AnswerHeaders,
) -> None:
    """Record that the address has another server, or the server other weights.

    An answer that names neither mostly means that the server has loaded the target
    version and the update that reports it has not arrived yet.
    """
    state = reservation.state
    model = call.demand.model or ""
    target = context.knowledge.targets.get(model, 0)
    asked_version = reservation.weights_version or 0
    if answer_headers.server_id not in (None, state.info.id):
        state.is_misdirected = True
        context.crash_detector.note_crash(state.watched, CrashEvidence.OTHER_SERVER)
    elif answer_headers.weights_version is not None:
        state.weights[model] = answer_headers.weights_version
    elif asked_version and state.weights.get(model, 0) == asked_version < target:
        state.weights[model] = target
    else:
        # The target is wrong too: go back to the entry's version, after a pause.
        state.weights[model] = state.info.weights.get(model, 0)
        state.exclude_for(LOADING_PAUSE_SECONDS, trio.current_time())


async def skip_body(call: CallProgress, server_id: str, response: Response) -> None:
    """Read the body of a rejection, after which its connection can be reused.

    The rejection holds whatever its body is. A connection on which the body has not
    ended is not reused.
    """
    reason = "the body has not ended"
    with trio.move_on_after(REJECTION_BODY_SECONDS):
        try:
            await response.read_all(MAX_REJECTION_BYTES)
            return
        except ChannelError as error:
            reason = str(error)
    call.note("rejection_body_skipped", server=server_id, reason=reason)
