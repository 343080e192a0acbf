"""Estimate how long requests wait, by the work ahead of them.

The load is bursts and single loud teams: the wait of a request depends on the part of
the capacity that its team gets, not on the length of the whole queue. The model is
fluid: work flows at the measured rate and is shared as the order of tickets shares it.
"""

from __future__ import annotations

__all__ = ["WaitModel"]

from collections.abc import Mapping

from ashpond.decisions.startrates import ArrivalRate, StartRate, compute_fair_share
from ashpond.decisions.ticketorder import ClassQueue, TeamQueue, Ticket

# A team with requests waiting counts as if they had to start within this (seconds).
BACKLOG_SECONDS = 0.5
# The rates of teams whose requests have ended are forgotten beyond this number.
MAX_ARRIVALS, NO_ARRIVALS = 64, 1e-6


class WaitModel:
    """The measured capacity and arrivals, and the waits that follow from them.

    ``rate`` is the measured capacity.

    :param classes: the waiting requests by urgency.
    :param min_share: the part of the capacity that each less urgent class gets.
    """

    def __init__(self, classes: Mapping[int, ClassQueue], min_share: float):
        self.rate = StartRate()
        self._classes = classes
        self._min_share = min_share
        self._arrivals: dict[tuple[int, str], ArrivalRate] = {}
        # The shares of teams that have been computed for the present time and state.
        self._shares: dict[tuple[int, str], float] = {}
        self._shares_at = float("-inf")

    def note_change(self) -> None:
        """Record that requests have been added or removed."""
        self._shares.clear()

    def note_arrival(self, urgency: int, team: str, cost: float, now: float) -> None:
        """Record work that arrives."""
        own = urgency, team
        if own not in self._arrivals:
            self._arrivals[own] = ArrivalRate()
        self._arrivals[own].note(cost, now)
        self._shares.clear()
        if len(self._arrivals) > MAX_ARRIVALS:
            self._arrivals = {
                key: rate
                for key, rate in self._arrivals.items()
                if rate.get_rate(now) > NO_ARRIVALS
            }

    def get_arrival_rate(self, urgency: int, team: str, now: float) -> float:
        """Return the work that arrives from a team (server seconds a second)."""
        arrivals = self._arrivals.get((urgency, team))
        return arrivals.get_rate(now) if arrivals else 0.0

    def find_share(self, urgency: int, team: str, now: float) -> float:
        """Return the part of the capacity that a team gets, 0 if it isn't known.

        More urgent work leaves what doesn't arrive of it, but at least the minimum
        share; less urgent work that waits gets its minimum share. The teams of an
        urgency share the rest equally, as far as they need it.
        """
        if self._shares_at != now:
            self._shares.clear()
            self._shares_at = now
        known = self._shares.get((urgency, team))
        if known is None:
            known = self._shares[urgency, team] = self._compute_share(
                urgency, team, now
            )
        return known

    def _compute_share(self, urgency: int, team: str, now: float) -> float:
        left = rate = self.rate.get_rate(now)
        if not rate:
            return 0.0
        least = rate * self._min_share
        others = []
        for (other_urgency, name), arrivals in self._arrivals.items():
            if other_urgency < urgency:
                left -= arrivals.get_rate(now)
            elif other_urgency == urgency and name != team:
                waiting = self._get_teams(urgency).get(name)
                backlog = waiting.cost if waiting else 0.0
                demand = arrivals.get_rate(now) + backlog / BACKLOG_SECONDS
                others.append((demand, waiting.weight if waiting else 1.0))
        left -= least * sum(
            1
            for other, entry in self._classes.items()
            if other > urgency and entry.waiting
        )
        own = self._get_teams(urgency).get(team)
        weight = own.weight if own else 1.0
        return compute_fair_share(max(least, left), weight, others)

    def estimate_more_urgent(self, urgency: int, now: float) -> float:
        """Return how long the more urgent requests that wait occupy the servers."""
        rate = self.rate.get_rate(now)
        if not rate:
            return 0.0
        cost = sum(e.cost for other, e in self._classes.items() if other < urgency)
        return cost / rate

    def estimate(self, urgency: int, team: str, now: float) -> float:
        """Return how long all requests that wait delay a new one (seconds)."""
        own = self._get_teams(urgency).get(team)
        return self._estimate_after(own.cost if own else 0.0, urgency, team, now)

    def estimate_wait(self, ticket: Ticket, now: float) -> float:
        """Return how long those that go before a request delay it (seconds)."""
        urgency, team = ticket.urgency, ticket.team
        own = self._get_teams(urgency).get(team)
        ahead = own.sum_cost_before(ticket) if own else 0.0
        return self._estimate_after(ahead, urgency, team, now)

    def _estimate_after(
        self, ahead: float, urgency: int, team: str, now: float
    ) -> float:
        """Return the wait behind more urgent work and ``ahead`` of the same team."""
        share = self.find_share(urgency, team, now)
        own = ahead / share if share else 0.0
        return own + self.estimate_more_urgent(urgency, now)

    def _get_teams(self, urgency: int) -> Mapping[str, TeamQueue]:
        own = self._classes.get(urgency)
        return own.teams if own else {}
