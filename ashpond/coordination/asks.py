"""The requests that instances send to a coordinator, as it handles them."""

from __future__ import annotations

__all__ = [
    "MAX_LEFT_SECONDS",
    "PlacedRequest",
    "WaitingRequest",
    "build_demand",
    "estimate_typical_cost",
]

from typing import NamedTuple

from ashpond.clients.placements import PlacementAsk
from ashpond.coordination.queueing import Speeds
from ashpond.decisions.placementledger import GrantKey
from ashpond.decisions.prompts import Prompt
from ashpond.decisions.selection import Demand, count_shared_tokens, make_load
from ashpond.decisions.servicetimes import RequestKind, estimate_cost
from ashpond.decisions.ticketorder import Ticket

# The longest time until a deadline that counts (seconds), far above any real timeout. A
# grant with a faulty deadline would never end.
MAX_LEFT_SECONDS = 3_600.0
# Stands for the start of an engine or server of unknown speed.
ANY_START = ""

# What limits the choice of a server, besides the memory that a request needs.
Constraints = tuple[str | None, frozenset[str], int, bool, float]


class WaitingRequest:
    """A request that waits for a server, or is about to get one.

    ``forecast`` is the first estimate that its instance was sent (seconds), or None.
    """

    def __init__(self, ticket: Ticket, demand: Demand, domain: str | None, now: float):
        self.ticket = ticket
        self.demand = demand
        self.domain = domain
        self.asked_at = now
        self.forecast: float | None = None
        self.memory_tokens = make_load(demand, 0).held_tokens
        self.constraints: Constraints = (
            demand.model,
            demand.excluded,
            ticket.urgency,
            demand.is_suspected,
            demand.longest_pause,
        )

    @property
    def key(self) -> GrantKey:
        """The session and number of the request."""
        return GrantKey(self.ticket.session, self.ticket.number)


class PlacedRequest(NamedTuple):
    """What a grant was based on. ``prompt`` and ``salt`` are None at a plain server.

    ``in_flight`` is the number of requests that the server had before, of its
    ``slots``.
    """

    prompt: Prompt | None
    salt: str | None
    in_flight: int
    slots: int
    kind: RequestKind


def build_demand(service: str, ask: PlacementAsk) -> Demand:
    """Return what the choice of a server for a request depends on."""
    prompt = None
    if ask.model is not None:
        prompt = Prompt(ask.model, ask.tokens, ask.max_output_tokens, tuple(ask.parts))
    return Demand(
        service,
        ask.model,
        prompt,
        ask.cache_namespace,
        frozenset(ask.excluded),
        ask.is_resumable,
        ask.is_suspected,
        ask.longest_pause,
        uses_speeds=True,
    )


def estimate_typical_cost(demand: Demand, speeds: Speeds, now: float) -> float:
    """Return how long a typical server works on a request (seconds).

    The shared parts of a prompt count as cached.
    """
    prompt, service = demand.prompt, demand.service
    return estimate_cost(
        prompt,
        count_shared_tokens(prompt) if prompt else 0,
        speeds.get_read_rate(service, ANY_START, now),
        speeds.get_work_seconds(service, ANY_START, now),
    )
