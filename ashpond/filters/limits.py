"""Enforce each team's request rate."""

from __future__ import annotations

__all__ = ["make_limits"]

from typing import TYPE_CHECKING

from ashpond.call import Call, Filter, Handler, Reply
from ashpond.outcomes import Refusal
from ashpond.replies import make_refusal_reply

if TYPE_CHECKING:
    from ashpond.controllers.limits import LimitsController
    from ashpond.metrics import Metrics

TOO_MANY_REQUESTS = 429


def make_limits(limits: LimitsController, metrics: Metrics) -> Filter:
    """Return the filter that refuses calls above the rate, with a Retry-After."""

    async def limit(call: Call, following: Handler) -> Reply:
        assert call.team is not None
        wait = limits.take(call.team_name, call.team)
        if not wait:
            return await following(call)
        metrics.refusals.inc({"kind": "team_limit"})
        text = "the team's request rate is used up"
        refusal = Refusal(TOO_MANY_REQUESTS, "team_limit", text, retry_after=wait)
        return make_refusal_reply(refusal)

    return limit
