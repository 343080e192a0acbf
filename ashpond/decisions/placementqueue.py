"""Decide which request of all instances gets a server next, and which are refused.

The load is bursts of 2.5 times the capacity, teams at five times their usual load, and
less urgent work of twice the capacity, from 71 instances at once. A request waits only
while it can be served; a refused one learns when there is capacity for it.
"""

from __future__ import annotations

__all__ = ["PlacementQueue", "QueueTerms", "Ticket"]

import itertools
from typing import NamedTuple

from ashpond.decisions.promises import PromiseBook
from ashpond.decisions.ticketorder import (
    SHARE_DECAY,
    ClassQueue,
    Ticket,
    list_by_urgency,
)
from ashpond.decisions.urgentreserve import UrgentReserve
from ashpond.decisions.waitmodel import WaitModel

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
# A request counts as in time if its estimate takes this part of the objective. Without
# the rest, a queue that is always as long as it may be makes half of its requests late.
OBJECTIVE_SHARE = 0.85
# Late requests are held only while at least this part of their team's share is left
# for them by requests that can still be in time.
MIN_SPARE_SHARE = 0.05
# A returning client's request is started, queued or refused by then (seconds).
RETURN_SECONDS = 1.0


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
    is_promised: bool


class PlacementQueue:
    """The requests that wait for a server of one shard, from all instances.

    The owner tries to place the tickets of :meth:`list_in_order` and calls
    :meth:`note_started` for each that it places, also for those that never waited.
    """

    def __init__(self, terms: QueueTerms | None = None):
        self.terms = terms or QueueTerms()
        self._classes: dict[int, ClassQueue] = {}
        self._waiting: dict[tuple[int, int], _Waiting] = {}
        self._promises = PromiseBook()
        self._model = WaitModel(self._classes, self._promises, self.terms.min_share)
        # The first arrivals of clients that returned, until their tickets are added.
        self._returned: dict[float, float] = {}
        self._urgent = UrgentReserve()
        self._started = UrgentReserve()
        self._actual = self._estimated = RATIO_PRIOR_SECONDS

    @property
    def waiting(self) -> int:
        """The number of waiting requests."""
        return len(self._waiting)

    @property
    def promised(self) -> int:
        """The number of outstanding promises."""
        return len(self._promises)

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
        is_promised = self._is_promised(ticket)
        estimate = self._model.estimate(ticket.urgency, ticket.team, now)
        if estimate > self._model.estimate_waiting(ticket.urgency, ticket.team, now):
            # An error of this estimate may be that promises are not kept.
            estimate = 0.0
        self._note_arrival(ticket, now)
        self._returned.pop(ticket.arrived_at, None)
        self._get_class(ticket.urgency).push(ticket, is_promised=is_promised)
        self._model.note_change()
        self._waiting[key] = _Waiting(now, estimate, is_promised)
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

    def list_in_order(self, now: float, limit: int | None = None) -> list[Ticket]:
        """Return the waiting requests, the first to be served first.

        :param limit: how many are needed at most; fewer take less time.
        """
        ordered = list_by_urgency(self._classes, self.terms.min_share, now)
        return list(itertools.islice(ordered, limit))

    def note_started(self, ticket: Ticket, now: float) -> None:
        """Record that a request has got a server."""
        self._note_arrival(ticket, now)
        self._returned.pop(ticket.arrived_at, None)
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
        """Return the estimated wait of a new request (seconds)."""
        self._promises.expire(now)
        return self._model.estimate(urgency, team, now) * self.wait_ratio

    def can_serve(self, ticket: Ticket, now: float) -> bool:
        """Return whether a request that isn't waiting yet can be served.

        It can if it meets its objective by the forecast. A late one can if the requests
        that are still in time leave capacity for it before its deadline.
        """
        service_seconds = ticket.get_service_seconds()
        earliest = now + service_seconds
        if earliest > ticket.deadline:
            return False
        if self._is_promised(ticket):
            team = self._get_class(ticket.urgency).teams.get(ticket.team)
            share = self._model.find_share(ticket.urgency, ticket.team, now)
            ahead = team.promised_cost if team else 0.0
            return not share or earliest + ahead / share <= ticket.deadline
        wait = self.forecast(ticket.urgency, ticket.team, now)
        if earliest + wait > ticket.deadline:
            return False
        left = ticket.objective_at - now
        if wait + ticket.get_event_seconds() <= left * OBJECTIVE_SHARE:
            return True
        share = self._model.find_share(ticket.urgency, ticket.team, now)
        if not share:
            return True
        arriving = self._model.get_arrival_rate(ticket.urgency, ticket.team, now)
        spare = 1.0 - arriving / share
        if spare < MIN_SPARE_SHARE:
            return False
        return earliest + wait / spare <= ticket.deadline

    def list_hopeless(self, now: float) -> list[Ticket]:
        """Return the waiting requests that can't be served before their deadlines."""
        hopeless = []
        for urgency, entry in self._classes.items():
            before = self._model.estimate_more_urgent(urgency, now)
            for name, team in entry.teams.items():
                share = self._model.find_share(urgency, name, now) if team else 0.0
                ahead = 0.0
                for ticket in team.list_in_order(now):
                    wait = before + ahead / share if share else 0.0
                    earliest = now + ticket.get_service_seconds()
                    if earliest + wait * CERTAIN_SHARE > ticket.deadline:
                        hopeless.append(ticket)
                    else:
                        ahead += ticket.cost
        return hopeless

    def refuse(self, ticket: Ticket, now: float) -> float | None:
        """Refuse a request; return the time after which it can be served (seconds).

        The time is after those of the promises that the request's team has. None if it
        is later than the client should wait, so that no time would help it.
        """
        self._note_arrival(ticket, now)
        self._returned.pop(ticket.arrived_at, None)
        self.remove(ticket)
        self._promises.expire(now)
        latest = (ticket.deadline - now) * self.terms.max_retry_share
        known = self._promises.find(ticket.fingerprint, now)
        if known is not None:
            wait = max(known.at - now, self.terms.min_retry_seconds)
            return wait if wait <= latest else None
        wait = self._estimate_after_promises(ticket, now)
        if wait > latest:
            return None
        self._promises.add(
            now + wait,
            ticket.fingerprint,
            ticket.urgency,
            ticket.team,
            ticket.cost,
            ticket.arrived_at,
        )
        return wait

    def take_promise(
        self, fingerprint: str, urgency: int, team: str, now: float
    ) -> float | None:
        """Return when a returning client first arrived, None if it wasn't promised.

        The ticket with this ``arrived_at`` is placed before those of its team that have
        no promise; its objective and deadline are those of the present request.
        """
        self._promises.expire(now)
        promise = self._promises.take(fingerprint, urgency, team, now)
        if promise is None:
            return None
        # Requests that were cancelled meanwhile have been neither started nor refused.
        oldest = now - RETURN_SECONDS
        while self._returned and next(iter(self._returned.values())) < oldest:
            del self._returned[next(iter(self._returned))]
        self._returned[promise.arrived_at] = now
        return promise.arrived_at

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

    def _is_promised(self, ticket: Ticket) -> bool:
        return ticket.arrived_at in self._returned

    def _note_arrival(self, ticket: Ticket, now: float) -> None:
        """Count the work of a request, unless it has waited."""
        if (ticket.session, ticket.number) in self._waiting:
            return
        self._model.note_arrival(ticket.urgency, ticket.team, ticket.cost, now)

    def _note_wait(self, waiting: _Waiting, now: float) -> None:
        """Learn the error of an estimate.

        Late requests count too: those that overtake them wait for less than estimated.
        """
        if waiting.is_promised or waiting.estimate < MEASURED_WAIT_SECONDS:
            return
        self._actual = self._actual * RATIO_DECAY + now - waiting.added_at
        self._estimated = self._estimated * RATIO_DECAY + waiting.estimate

    def _estimate_after_promises(self, ticket: Ticket, now: float) -> float:
        """Return the wait for capacity that no promise takes (seconds)."""
        share = self._model.find_share(ticket.urgency, ticket.team, now)
        wait = self.forecast(ticket.urgency, ticket.team, now)
        promises = self._promises.list_team(ticket.urgency, ticket.team)
        if promises and share:
            interval = ticket.cost * self._promises.kept_share / share
            wait = max(wait, promises[-1].at - now + interval)
        return max(wait, self.terms.min_retry_seconds)
