"""What the queue of an instance has to know of a request."""

from __future__ import annotations

__all__ = ["make_ticket"]

from typing import TYPE_CHECKING

from ashpond.decisions.servercosts import (
    PREFILL_TOKENS_PER_SECOND,
    SLOT_COST_SECONDS,
    count_shared_tokens,
)
from ashpond.decisions.servicetimes import ServiceTimes, estimate_cost, make_kind
from ashpond.decisions.ticketorder import Ticket

if TYPE_CHECKING:
    from ashpond.decisions.placementterms import PlacementTerms
    from ashpond.decisions.selection import Demand

# The queue is that of one instance.
OWN_SESSION = 0
# A request is not started with less time than this left (seconds).
MIN_SERVICE_SECONDS = 0.02


def make_ticket(
    number: int,
    demand: Demand,
    urgency: int,
    until: float,
    terms: PlacementTerms | None,
    times: ServiceTimes,
    now: float,
) -> Ticket:
    """Return the ticket of a request.

    A time of work that isn't known yet leaves the request until its deadline.

    :param until: the caller's deadline, or an earlier time to stop waiting.
    :param terms: of whom the request is, None if that is unknown.
    """
    kind = make_kind(demand.service, urgency, demand.prompt)
    work_seconds = times.get_service_seconds(kind) or SLOT_COST_SECONDS
    prompt = demand.prompt
    shared = count_shared_tokens(prompt) if prompt else 0
    return Ticket(
        number=number,
        session=OWN_SESSION,
        service=demand.service,
        urgency=urgency,
        team=terms.team if terms else "",
        weight=1.0,
        cost=estimate_cost(prompt, shared, PREFILL_TOKENS_PER_SECOND, work_seconds),
        arrived_at=terms.arrived_at if terms else now,
        deadline=until,
        service_seconds=max(
            MIN_SERVICE_SECONDS, times.estimate_needed(kind, demand.prompt)
        ),
    )
