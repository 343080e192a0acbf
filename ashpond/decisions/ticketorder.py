"""Order the requests that wait for a server: by urgency, by team, by latest start.

The load is one team that sends five times its usual requests, and less urgent work of
twice the capacity: the first may delay only itself, the second no urgent request.
"""

from __future__ import annotations

__all__ = ["ClassQueue", "TeamQueue", "Ticket", "list_by_urgency"]

import heapq
from bisect import bisect_left, insort
from collections.abc import Iterator, Mapping
from typing import NamedTuple

# Factor by which each start decays the served cost that minimum shares are based on.
SHARE_DECAY = 0.98
# A request whose prompt is cached costs next to nothing; its team must still advance.
MIN_COST, MIN_WEIGHT = 1e-4, 1e-3
# Teams without waiting requests are forgotten beyond this number.
MAX_IDLE_TEAMS = 64


class Ticket(NamedTuple):
    """A request that needs a server; times are on the caller's clock (seconds).

    ``number`` identifies it in its ``session``. ``cost`` is in estimated server
    seconds: what the request takes of one server's capacity. ``service_seconds`` is the
    time that the request needs from its start to its answer, 0 if that is the cost.
    ``deadline`` is when the caller leaves.
    """

    number: int
    session: int
    service: str
    urgency: int
    team: str
    weight: float
    cost: float
    arrived_at: float
    deadline: float
    service_seconds: float = 0.0

    def get_service_seconds(self) -> float:
        """Return the estimated time from the start to the answer."""
        return self.service_seconds or self.cost

    def find_latest_start(self) -> float:
        """Return the time by which it must start to be answered by its deadline."""
        return self.deadline - self.get_service_seconds()


def get_charge(ticket: Ticket) -> float:
    """Return by how much the start of a request advances its team's tag."""
    return max(MIN_COST, ticket.cost) / max(MIN_WEIGHT, ticket.weight)


class _Entry(NamedTuple):
    """A waiting ticket, in the order of service."""

    latest_start: float
    arrived_at: float
    number: int
    ticket: Ticket


class TeamQueue:
    """The waiting requests of one team in one urgency.

    The one with the least time left goes first, the first to arrive among equal ones.
    ``tag`` is the virtual time at which its next request starts.
    """

    def __init__(self, tag: float):
        self.tag = tag
        self.weight = 1.0
        self.cost = 0.0
        self._entries: list[_Entry] = []
        self._count = 0

    def __len__(self) -> int:
        return len(self._entries)

    def push(self, ticket: Ticket) -> None:
        """Add a request."""
        self._count += 1
        key = ticket.find_latest_start(), ticket.arrived_at
        insort(self._entries, _Entry(*key, self._count, ticket))
        self.weight = ticket.weight
        self.cost += ticket.cost

    def remove(self, ticket: Ticket) -> bool:
        """Remove a request; return whether it was waiting."""
        latest_start = ticket.find_latest_start()
        begin = bisect_left(self._entries, (latest_start,))
        for index in range(begin, len(self._entries)):
            if self._entries[index].latest_start > latest_start:
                break
            if self._entries[index].ticket == ticket:
                del self._entries[index]
                self.cost -= ticket.cost
                if not self._entries:
                    self.cost = 0.0
                return True
        return False

    def sum_cost_before(self, ticket: Ticket) -> float:
        """Return the cost of the requests that go before one that arrives now."""
        key = ticket.find_latest_start(), ticket.arrived_at, self._count + 1
        place = bisect_left(self._entries, key)
        if place <= len(self._entries) // 2:
            return sum(entry.ticket.cost for entry in self._entries[:place])
        return self.cost - sum(entry.ticket.cost for entry in self._entries[place:])

    def list_in_order(self) -> Iterator[Ticket]:
        """Yield the requests in the order of service."""
        for entry in list(self._entries):
            yield entry.ticket

    def list_hopeless(self, begin: float, seconds_per_cost: float) -> list[Ticket]:
        """Return the requests whose turn comes only after their latest start.

        :param begin: when the first one has its turn.
        :param seconds_per_cost: how long the work of a request delays those after it.
        """
        hopeless = []
        turn = begin
        for entry in self._entries:
            if turn > entry.latest_start:
                hopeless.append(entry.ticket)
            else:
                turn += entry.ticket.cost * seconds_per_cost
        return hopeless


class ClassQueue:
    """The waiting requests of one urgency: start-time fair queueing between teams.

    A team's next request starts at its tag in virtual time. Each start advances the tag
    by the cost of the request, so that all teams that wait get equal server seconds.
    """

    def __init__(self) -> None:
        self.teams: dict[str, TeamQueue] = {}
        self.waiting = 0
        self.served = 0.0
        self._virtual_time = 0.0

    @property
    def cost(self) -> float:
        """The cost of the waiting requests (server seconds)."""
        return sum(team.cost for team in self.teams.values())

    def push(self, ticket: Ticket) -> None:
        """Add a request."""
        self._activate(ticket.team).push(ticket)
        self.waiting += 1

    def remove(self, ticket: Ticket) -> bool:
        """Remove a request; return whether it was waiting."""
        team = self.teams.get(ticket.team)
        if team is None or not team.remove(ticket):
            return False
        self.waiting -= 1
        return True

    def note_started(self, ticket: Ticket) -> bool:
        """Charge a request to its team; return whether it was waiting."""
        team = self._activate(ticket.team)
        was_waiting = self.remove(ticket)
        self._virtual_time = max(self._virtual_time, team.tag)
        team.tag += get_charge(ticket)
        if len(self.teams) > MAX_IDLE_TEAMS:
            self.teams = {n: t for n, t in self.teams.items() if t or t is team}
        return was_waiting

    def list_in_order(self) -> Iterator[Ticket]:
        """Yield the requests in the order of service, as if each were started."""
        iterators = {
            name: team.list_in_order() for name, team in self.teams.items() if team
        }
        tags = [(self.teams[name].tag, name) for name in iterators]
        heapq.heapify(tags)
        while tags:
            tag, name = tags[0]
            ticket = next(iterators[name], None)
            if ticket is None:
                heapq.heappop(tags)
                continue
            heapq.heapreplace(tags, (tag + get_charge(ticket), name))
            yield ticket

    def _activate(self, name: str) -> TeamQueue:
        """Return the queue of a team, a new one if it had no requests."""
        team = self.teams.get(name)
        if team is None:
            team = self.teams[name] = TeamQueue(self._virtual_time)
        elif not team:
            team.tag = max(team.tag, self._virtual_time)
        return team


def list_by_urgency(
    classes: Mapping[int, ClassQueue], min_share: float
) -> Iterator[Ticket]:
    """Yield all waiting requests in the order of service.

    The most urgent come first. A less urgent class that has got less than its minimum
    share of the recent starts, by cost, goes before them.
    """
    urgencies = sorted(classes)
    served = {urgency: classes[urgency].served for urgency in urgencies}
    total = sum(served.values())
    iterators = {urgency: classes[urgency].list_in_order() for urgency in urgencies}
    heads = {}
    for urgency in urgencies:
        head = next(iterators[urgency], None)
        if head is not None:
            heads[urgency] = head
    while heads:
        chosen = next(
            (u for u in list(heads)[1:] if served[u] < min_share * total),
            next(iter(heads)),
        )
        ticket = heads[chosen]
        yield ticket
        served[chosen] += ticket.cost
        total += ticket.cost
        head = next(iterators[chosen], None)
        if head is None:
            del heads[chosen]
        else:
            heads[chosen] = head
