"""Let a call wait for an admission slot, or refuse it at once."""

from __future__ import annotations

__all__ = ["make_admission"]

from typing import TYPE_CHECKING

from ashpond.call import Call, Filter, Handler, Reply
from ashpond.decisions.placement import DEFAULT_PREFILL_RATE
from ashpond.outcomes import Refusal
from ashpond.replies import make_refusal_reply

if TYPE_CHECKING:
    from ashpond.controllers.admission import AdmissionController
    from ashpond.metrics import Metrics

SECONDS_PER_OUTPUT_TOKEN = 0.001
PLAIN_COST_SECONDS = 0.01


def estimate_cost(call: Call) -> float:
    """Return the cost that a call adds to its team's share, in engine seconds.

    The prompt counts as uncached: admission comes before the choice of a server.
    """
    if call.payload is None:
        return PLAIN_COST_SECONDS
    prefill = call.prompt_tokens / DEFAULT_PREFILL_RATE
    return prefill + call.max_tokens * SECONDS_PER_OUTPUT_TOKEN


def make_admission(admission: AdmissionController, metrics: Metrics) -> Filter:
    """Return the filter that holds an admission slot until the call exits."""

    async def admit(call: Call, following: Handler) -> Reply:
        slot = await admission.enter(call, estimate_cost(call))
        if isinstance(slot, Refusal):
            metrics.refusals.inc({"kind": slot.kind})
            return make_refusal_reply(slot)
        call.exits.callback(admission.leave, slot)
        return await following(call)

    return admit
