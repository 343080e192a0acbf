"""Refuse calls that crash the servers that run them."""

from __future__ import annotations

__all__ = ["make_quarantine"]

from typing import TYPE_CHECKING

from ashpond.call import Call, Filter, Handler, Reply
from ashpond.decisions.quarantine import QuarantineState
from ashpond.outcomes import Refusal, RunState
from ashpond.replies import make_refusal_reply

if TYPE_CHECKING:
    from ashpond.controllers.callquarantine import CallQuarantine
    from ashpond.metrics import Metrics

BAD_REQUEST = 400
SERVICE_UNAVAILABLE = 503
SERVER_ERROR = 500
QUARANTINED = Refusal(
    BAD_REQUEST, "quarantined", "the backend servers that ran this call ended"
)
# Suspicions are settled within 1.5 s; most attempts in progress end earlier (seconds).
SUSPECTED = Refusal(
    SERVICE_UNAVAILABLE,
    "suspected",
    "another attempt of this call may end the server that runs it",
    retry_after=1.5,
)


def make_quarantine(call_quarantine: CallQuarantine, metrics: Metrics) -> Filter:
    """Return the filter that refuses quarantined calls and suspected ones in progress.

    One attempt of a suspected call runs at a time; it shows whether the call crashes
    its server.
    """

    def refuse(refusal: Refusal) -> Reply:
        metrics.refusals.inc({"kind": refusal.kind})
        return make_refusal_reply(refusal)

    async def check_quarantine(call: Call, following: Handler) -> Reply:
        fingerprint = call_quarantine.compute_fingerprint(call)
        state = call_quarantine.classify(fingerprint)
        if state is QuarantineState.QUARANTINED:
            return refuse(QUARANTINED)
        is_suspected = state is not QuarantineState.FREE
        if state is QuarantineState.HELD or (
            is_suspected and call_quarantine.is_in_progress(fingerprint)
        ):
            return refuse(SUSPECTED)
        call_quarantine.note_started(fingerprint)
        replies: list[Reply] = []
        call.exits.callback(
            lambda: call_quarantine.note_finished(
                fingerprint, is_answered=is_fully_answered(call, replies)
            )
        )
        replies.append(await following(call._replace(is_suspected=is_suspected)))
        return replies[0]

    return check_quarantine


def is_fully_answered(call: Call, replies: list[Reply]) -> bool:
    """Return whether a server has answered a call completely and without an error."""
    if not replies or replies[0].status >= SERVER_ERROR:
        return False
    if call.progress.run is not RunState.RUN:
        return False
    return isinstance(replies[0].body, bytes) or call.progress.is_whole
