"""What an instance has asked a coordinator for, and what it holds in its shard."""

from __future__ import annotations

__all__ = ["Ask", "FallbackReason", "HeldReservations", "limit_seconds"]

from enum import StrEnum

import trio

from ashpond.clients.placements import (
    DecisionState,
    HeldPlacement,
    PlacementAsk,
    PlacementDecision,
)
from ashpond.decisions.loads import Load
from ashpond.decisions.placementterms import PlacementTerms
from ashpond.decisions.selection import Demand

# The coordinator of a queued ask repeats its answer more often than this; after a
# longer silence it counts as lost (seconds).
OVERDUE_SECONDS = 0.5
# Longer times from a coordinator are not used (seconds).
MAX_SECONDS = 3600.0


class FallbackReason(StrEnum):
    """Why this instance chose a server without a coordinator."""

    NO_ANSWER = "no_answer"
    UNREACHABLE = "unreachable"
    # The granted servers could not be used here.
    UNUSABLE = "unusable"
    # The instance knows no server of the service.
    NO_SERVERS = "no_servers"


class Ask:
    """A request that waits for a coordinator's decision.

    ``unanswered_since`` is None while it is queued. ``forecast`` is the wait that the
    coordinator first estimated (seconds). ``changed`` is replaced once it is set.
    """

    def __init__(self, number: int, demand: Demand, terms: PlacementTerms, now: float):
        self.number = number
        self.demand = demand
        self.terms = terms
        self.asked_at = now
        self.unanswered_since: float | None = now
        self.is_sent = False
        self.overdue_at = float("inf")
        self.forecast: float | None = None
        self.coordinator = ""
        self.decision: PlacementDecision | None = None
        self.failure: FallbackReason | None = None
        self.changed = trio.Event()

    @property
    def is_granted(self) -> bool:
        """Whether a coordinator has granted a server."""
        decision = self.decision
        return decision is not None and decision.state is DecisionState.GRANTED

    @property
    def is_decided(self) -> bool:
        """Whether the coordinator has decided, or none is reachable."""
        return self.decision is not None or self.failure is not None

    def apply(self, decision: PlacementDecision, coordinator: str, now: float) -> None:
        """Record an answer of the coordinator."""
        self.unanswered_since = None
        if decision.state is DecisionState.QUEUED:
            wait = limit_seconds(decision.seconds) or 0.0
            self.overdue_at = now + OVERDUE_SECONDS
            if self.forecast is None:
                self.forecast = wait
        else:
            self.decision = decision
            self.coordinator = coordinator
        self._notify()

    def note_lost(self, now: float) -> None:
        """Record that the connection is lost; another coordinator is asked."""
        self.is_sent = False
        if self.unanswered_since is None:
            self.unanswered_since = now
            self._notify()

    def fail(self, reason: FallbackReason) -> None:
        """Record that no coordinator can be asked."""
        self.failure = reason
        self._notify()

    def _notify(self) -> None:
        self.changed.set()
        self.changed = trio.Event()

    def build_message(self, now: float) -> PlacementAsk:
        """Return the ask as it is sent now."""
        demand, terms = self.demand, self.terms
        prompt = demand.prompt
        return PlacementAsk(
            self.number,
            demand.model,
            demand.cache_namespace,
            prompt.tokens if prompt else 0,
            prompt.max_output_tokens if prompt else 0,
            list(prompt.parts) if prompt else [],
            demand.is_resumable,
            demand.is_suspected,
            sorted(demand.excluded),
            terms.urgency,
            terms.team,
            max(0.0, now - terms.arrived_at),
            max(0.0, terms.deadline - now),
            terms.longest_pause,
        )


class _HeldReservation:
    """A request in flight at a server of the shard.

    ``is_reported`` is whether the coordinator of the present connection knows it.
    """

    def __init__(self, start_id: str, load: Load, deadline: float, is_reported: bool):
        self.start_id = start_id
        self.load = load
        self.read_tokens = load.unread_tokens
        self.is_read = False
        self.deadline = deadline
        self.is_reported = is_reported

    def note_read(self) -> None:
        self.is_read = True
        self.load = self.load.subtract(Load(unread_tokens=self.load.unread_tokens))

    def build_message(self, number: int, now: float) -> HeldPlacement:
        load = self.load
        return HeldPlacement(
            number,
            self.start_id,
            load.unread_tokens,
            load.held_tokens,
            self.read_tokens,
            load.bound,
            self.is_read,
            max(0.0, self.deadline - now),
        )


class HeldReservations:
    """The requests in flight at the servers of a shard, by their numbers."""

    def __init__(self) -> None:
        self._by_number: dict[int, _HeldReservation] = {}

    def __len__(self) -> int:
        return len(self._by_number)

    def __contains__(self, number: int) -> bool:
        return number in self._by_number

    def add(
        self, number: int, start_id: str, load: Load, deadline: float, *, granted: bool
    ) -> None:
        """Add a request.

        :param granted: whether the present coordinator has placed it.
        """
        self._by_number[number] = _HeldReservation(start_id, load, deadline, granted)

    def note_read(self, number: int) -> bool:
        """Record that a prompt is read; return whether the coordinator must know."""
        held = self._by_number.get(number)
        if held is None or held.is_read:
            return False
        held.note_read()
        return held.is_reported

    def remove(self, number: int) -> bool:
        """Remove a request that has ended; return whether the coordinator must know."""
        held = self._by_number.pop(number, None)
        return held is not None and held.is_reported

    def report(self, now: float) -> list[HeldPlacement]:
        """Return the descriptions that a new coordinator is sent."""
        for held in self._by_number.values():
            held.is_reported = True
        return [
            held.build_message(number, now) for number, held in self._by_number.items()
        ]


def limit_seconds(seconds: float) -> float | None:
    """Return a time from a coordinator, None if it means nothing or is not valid."""
    return seconds if 0.0 <= seconds <= MAX_SECONDS else None
