"""Grants and refusals of requests that count against a team's allowance."""

from __future__ import annotations

__all__ = ["AllowanceGrant", "grant_unlimited", "refuse_exhausted", "refuse_unanswered"]

from typing import TYPE_CHECKING, NamedTuple

import trio

from ashpond.decisions.allowances import Allowance, AllowanceUnit
from ashpond.decisions.timeleft import choose_retry_after
from ashpond.outcomes import Refusal

if TYPE_CHECKING:
    import random

    from ashpond.clients.coordinator import AllowanceDecision
    from ashpond.decisions.declared import Team

TOO_MANY_REQUESTS_STATUS = 429
UNAVAILABLE_STATUS = 503
# The wait if no coordinator has answered: the next one may by then (seconds).
UNANSWERED_WAIT_SECONDS = 0.3


class AllowanceGrant(NamedTuple):
    """The cost that a request was granted, and when; 0 where there is no limit."""

    team: str
    unit: AllowanceUnit
    cost: int
    at: float


async def grant_unlimited(
    team: Team | None, tokens: int | None, urgency: int, deadline: float
) -> AllowanceGrant:
    """Return a grant of 0, for requests of teams without a limit."""
    return AllowanceGrant("", AllowanceUnit.REQUESTS, 0, trio.current_time())


def refuse_unanswered(message: str, deadline: float, rng: random.Random) -> Refusal:
    """Return the refusal of a request that no coordinator has decided on.

    Its time to return differs between requests.

    :param deadline: when the client stops waiting, on this process's clock.
    """
    left = deadline - trio.current_time()
    retry_after = choose_retry_after(UNANSWERED_WAIT_SECONDS, left, rng.random())
    return Refusal(
        UNAVAILABLE_STATUS, "allowance_unknown", message, retry_after=retry_after
    )


def refuse_exhausted(
    allowance: Allowance, cost: int, verdict: AllowanceDecision, coordinator: str
) -> Refusal:
    """Return the refusal of a request that exceeds its team's allowance.

    :param verdict: the coordinator's answer; without a time to retry, the cost is
        more than the account can ever hold.
    """
    if verdict.retry_after is None:
        message = (
            f"the request counts {cost} {allowance.unit}, more than its team can "
            "ever use at once"
        )
    else:
        message = (
            f"the team's allowance is used up: {cost} {allowance.unit} asked for, "
            f"{verdict.left:.0f} left at keeper {coordinator}, which gets "
            f"{verdict.share:.0%} of the fleet's time"
        )
    return Refusal(
        TOO_MANY_REQUESTS_STATUS,
        "team_allowance",
        message,
        retry_after=verdict.retry_after,
    )
