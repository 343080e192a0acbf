"""Decide which request of all instances gets a server next, and which are refused.

The load is bursts of 2.5 times the capacity, teams at five times their usual load, and
less urgent work of twice the capacity, from 71 instances at once. A request waits only
while it can be served; a refused one learns when there is capacity for it.
"""

from __future__ import annotations

__all__ = ["PlacementQueue", "QueueTerms", "Ticket"]

from typing import TYPE_CHECKING, NamedTuple

from ashpond.decisions.ticketorder import (
    SHARE_DECAY,
    ClassQueue,
    Ticket,
    list_by_urgency,
)
from ashpond.decisions.urgentreserve import UrgentReserve
from ashpond.decisions.waitmodel import WaitModel

if TYPE_CHECKING:
    from collections.abc import Iterator

# Bounds and smoothing of the learned ratio of actual to estimated waits. The prior
# weighs as much as some ten waits of 0.1 s.
MIN_RATIO, MAX_RATIO = 0.5, 2.0
RATIO_DECAY = 0.98
RATIO_PRIOR_SECONDS = 1.0
# Shorter estimates don't show an error.
MEASURED_WAIT_SECONDS = 0.02
# A waiting request is refused if it misses its deadline even with this part of its
# estimated wait: estimates of long waits are less exact.
CERTAIN_SHARE = 0.8


class QueueTerms(NamedTuple):
    """The terms of a queue; times are in seconds.

    ``min_share`` is the part of the starts, by cost, that each less urgent class gets
    while it has requests waiting. A Retry-After is at least ``min_retry_seconds`` and
    at most ``max_retry_share`` of the time left.
    """

    min_share: float = 0.1
    min_retry_seconds: float = 0.05
    max_retry_share: float = 1 / 3


class _Waiting(NamedTuple):
    """When a ticket was added, and the wait that was estimated then (seconds)."""

    added_at: float
    estimate: float


class PlacementQueue:
    """The requests that wait for a server of one shard, from all instances.

    The owner tries to place the tickets of :meth:`list_in_order` and calls
    :meth:`note_started` for each that it places, also for those that never waited.
    """

    def __init__(self, terms: QueueTerms | None = None):
        self.terms = terms or QueueTerms()
        self._classes: dict[int, ClassQueue] = {}
        self._waiting: dict[tuple[int, int], _Waiting] = {}
        self._model = WaitModel(self._classes, self.terms.min_share)
        self._urgent = UrgentReserve()
        self._started = UrgentReserve()
        self._actual = self._estimated = RATIO_PRIOR_SECONDS

    @property
    def waiting(self) -> int:
        """The number of waiting requests."""
        return len(self._waiting)

    @property
    def wait_ratio(self) -> float:
        """The learned ratio of actual to estimated waits."""
        return min(MAX_RATIO, max(MIN_RATIO, self._actual / self._estimated))

    def count_waiting(self) -> dict[tuple[int, str], int]:
        """Return the number of waiting requests by urgency and team."""
        return {
            (urgency, name): len(team)
            for urgency, entry in self._classes.items()
            for name, team in entry.teams.items()
            if team
        }

    def note_servers(self, expected: float) -> None:
        """Record the server seconds a second that the usable servers should work."""
        self._model.rate.note_servers(expected)

    def get_rate(self, now: float) -> float:
        """Return the capacity in server seconds a second, 0 if it isn't known."""
        return self._model.rate.get_rate(now)

    def add(self, ticket: Ticket, now: float | None = None) -> None:
        """Let a request wait.

        :param now: the present time, None if the request has just arrived.
        """
        if now is None:
            now = ticket.arrived_at
        key = ticket.session, ticket.number
        if key in self._waiting:
            return
        estimate = self._model.estimate_wait(ticket, now)
        self._note_arrival(ticket, now)
        own = self._get_class(ticket.urgency)
        if not own.waiting:
            # Nothing is owed to it for the time in which it had no requests.
            served = sum(entry.served for entry in self._classes.values())
            own.served = max(own.served, self.terms.min_share * served + ticket.cost)
        own.push(ticket)
        self._model.note_change()
        self._waiting[key] = _Waiting(now, estimate)
        self._model.rate.note_waiting(self._started.in_flight, now)

    def remove(self, ticket: Ticket) -> bool:
        """Remove a request; return whether it was waiting."""
        key = ticket.session, ticket.number
        if self._waiting.pop(key, None) is None:
            return False
        self._get_class(ticket.urgency).remove(ticket)
        self._model.note_change()
        if not self._waiting:
            self._model.rate.note_empty()
        return True

    def list_in_order(self) -> Iterator[Ticket]:
        """Yield the waiting requests, the first to be served first.

        Requests may be started or removed meanwhile.
        """
        return list_by_urgency(self._classes, self.terms.min_share)

    def note_started(self, ticket: Ticket, now: float) -> None:
        """Record that a request has got a server."""
        self._note_arrival(ticket, now)
        waiting = self._waiting.get((ticket.session, ticket.number))
        if waiting is not None:
            self._note_wait(waiting, now)
        # Urgent requests that never wait use the capacity as well.
        self._model.rate.note_start(ticket.cost, now)
        own = self._get_class(ticket.urgency)
        own.note_started(ticket)
        own.served += ticket.cost
        for entry in self._classes.values():
            entry.served *= SHARE_DECAY
        service_seconds = ticket.get_service_seconds()
        self._started.note_started(ticket.cost, service_seconds, now)
        if ticket.urgency == 0:
            self._urgent.note_started(ticket.cost, service_seconds, now)
        self.remove(ticket)

    def forecast(self, urgency: int, team: str, now: float) -> float:
        """Return the estimated wait behind all that wait at present (seconds)."""
        return self._model.estimate(urgency, team, now) * self.wait_ratio

    def forecast_wait(self, ticket: Ticket, now: float) -> float:
        """Return the estimated wait of a request that isn't waiting yet (seconds)."""
        return self._model.estimate_wait(ticket, now) * self.wait_ratio

    def can_serve(self, ticket: Ticket, now: float) -> bool:
        """Return whether a request that isn't waiting yet can be served.

        It can if by the forecast it is answered before its deadline.
        """
        return now + self.forecast_wait(ticket, now) <= ticket.find_latest_start()

    def list_hopeless(self, now: float) -> list[Ticket]:
        """Return the waiting requests that can't be served before their deadlines."""
        hopeless = []
        for urgency, entry in self._classes.items():
            if not entry.waiting:
                continue
            before = self._model.estimate_more_urgent(urgency, now)
            for name, team in entry.teams.items():
                share = self._model.find_share(urgency, name, now) if team else 0.0
                begin = now + before * CERTAIN_SHARE
                seconds_per_cost = CERTAIN_SHARE / share if share else 0.0
                hopeless += team.list_hopeless(begin, seconds_per_cost)
        return hopeless

    def refuse(self, ticket: Ticket, now: float) -> float | None:
        """Refuse a request; return the time after which it can be served (seconds).

        None if it can't be served before its deadline, or only later than the client
        should wait, so that no time would help it.
        """
        self._note_arrival(ticket, now)
        self.remove(ticket)
        wait = max(self.forecast_wait(ticket, now), self.terms.min_retry_seconds)
        latest = (ticket.deadline - now) * self.terms.max_retry_share
        if wait > latest or now + wait > ticket.find_latest_start():
            return None
        return wait

    def compute_reserved_share(self, urgency: int, now: float) -> float:
        """Return the share of each server that a request leaves to urgent ones.

        A class that waits and has got less than its minimum share leaves none.
        """
        if urgency == 0:
            return 0.0
        own = self._classes.get(urgency)
        if own and own.waiting:
            served = sum(entry.served for entry in self._classes.values())
            if own.served < self.terms.min_share * served:
                return 0.0
        return self._urgent.compute_share(self._model.rate.get_rate(now), now)

    def _get_class(self, urgency: int) -> ClassQueue:
        own = self._classes.get(urgency)
        if own is None:
            own = self._classes[urgency] = ClassQueue()
        return own

    def _note_arrival(self, ticket: Ticket, now: float) -> None:
        """Count the work of a request, unless it has waited."""
        if (ticket.session, ticket.number) in self._waiting:
            return
        self._model.note_arrival(ticket.urgency, ticket.team, ticket.cost, now)

    def _note_wait(self, waiting: _Waiting, now: float) -> None:
        """Learn the error of an estimate."""
        if waiting.estimate < MEASURED_WAIT_SECONDS:
            return
        self._actual = self._actual * RATIO_DECAY + now - waiting.added_at
        self._estimated = self._estimated * RATIO_DECAY + waiting.estimate
