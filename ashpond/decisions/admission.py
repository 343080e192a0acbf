"""Decide which waiting request starts next, and which requests are refused at once.

Each instance has one queue per service. Higher priority classes go first, but each
class keeps its declared minimum share. Within a class, teams share by weight
(start-time fair queueing over estimated engine seconds). A request that cannot start
before its deadline is refused on arrival, with a Retry-After time.
"""

from __future__ import annotations

__all__ = ["AdmissionQueue", "Admitted", "PriorityClass", "Queued", "Ticket"]

import math
from collections import deque
from collections.abc import Iterable
from typing import NamedTuple

from ashpond.outcomes import Refusal

DEFAULT_RUN_SECONDS = 0.3
SMOOTHING = 0.05
# A request is started while the expected wait at the best server is at most this
# (seconds), so that the server has work until the next one comes. Otherwise it waits in
# the queue, where it can still be refused or be overtaken by more urgent requests.
MAX_WAIT_SECONDS = 0.3
# Nothing in the queue may go before a request of the highest priority: it is started
# behind this many times as much work.
URGENT_WORK_RATIO = 2.0
# Factor by which each start decays the served cost that minimum shares are based on.
SHARE_DECAY = 0.98
# Share of the capacity that is reserved for the highest priority.
URGENT_RESERVE = 0.2
MAX_RETRY_SECONDS = 30.0
MIN_RETRY_SECONDS = 0.1
OVERLOADED_STATUS = 503


class PriorityClass(NamedTuple):
    """The rank of a priority, 0 first, and the minimum share it is served."""

    rank: int
    min_share: float


class Ticket(NamedTuple):
    """A request to be started; ``cost`` is in estimated engine seconds."""

    number: int
    team: str
    priority: str
    weight: float
    cost: float
    deadline: float


class Admitted(NamedTuple):
    """Outcome: the request may start now."""


class Queued(NamedTuple):
    """Outcome: the request waits; ``shed`` were removed to make room for it."""

    shed: tuple[Ticket, ...] = ()


class _ClassQueue:
    """The waiting requests of one priority class."""

    def __init__(self, settings: PriorityClass):
        self.settings = settings
        self.teams: dict[str, deque[tuple[float, Ticket]]] = {}
        self.finish_times: dict[str, float] = {}
        self.virtual_time = 0.0
        self.waiting = 0
        self.served = 0.0
        self.next_retry_at = 0.0

    def push(self, ticket: Ticket) -> None:
        start = max(self.virtual_time, self.finish_times.get(ticket.team, 0.0))
        self.finish_times[ticket.team] = start + ticket.cost / ticket.weight
        self.teams.setdefault(ticket.team, deque()).append((start, ticket))
        self.waiting += 1

    def pop(self) -> Ticket:
        team = min(self.teams, key=lambda name: self.teams[name][0][0])
        start, ticket = self.teams[team].popleft()
        self.virtual_time = max(self.virtual_time, start)
        self._remove_if_idle(team)
        self.waiting -= 1
        return ticket

    def remove(self, ticket: Ticket) -> bool:
        queue = self.teams.get(ticket.team, deque())
        for entry in queue:
            if entry[1] is ticket:
                queue.remove(entry)
                self._remove_if_idle(ticket.team)
                self.waiting -= 1
                return True
        return False

    def pop_newest(self) -> Ticket:
        team = max(self.teams, key=lambda name: self.teams[name][-1][0])
        start, ticket = self.teams[team].pop()
        self.finish_times[team] = start
        self._remove_if_idle(team)
        self.waiting -= 1
        return ticket

    def _remove_if_idle(self, team: str) -> None:
        if not self.teams[team]:
            del self.teams[team]
        if not self.teams:
            self.finish_times.clear()
            self.virtual_time = 0.0


class AdmissionQueue:
    """The queue of one service on one instance.

    ``expected_wait`` is the wait at the best server, in seconds, and
    ``servers_per_instance`` the number of servers divided by that of instances.
    """

    def __init__(self, priorities: dict[str, PriorityClass], max_waiting: int):
        self.capacity = 1
        self.running = 0
        self.run_seconds = DEFAULT_RUN_SECONDS
        self.release_interval = 0.0
        self.expected_wait = 0.0
        self.servers_per_instance = 1.0
        self._last_release = 0.0
        self.max_waiting = max_waiting
        self._classes: dict[str, _ClassQueue] = {}
        self.set_priorities(priorities)

    def set_priorities(self, priorities: dict[str, PriorityClass]) -> None:
        """Adopt a set of priorities; waiting requests stay in their class."""
        for name, settings in priorities.items():
            known = self._classes.setdefault(name, _ClassQueue(settings))
            known.settings = settings
        by_rank = sorted(self._classes.values(), key=lambda c: c.settings.rank)
        self._ordered = by_rank

    @property
    def waiting(self) -> int:
        """The number of waiting requests."""
        return sum(entry.waiting for entry in self._ordered)

    def offer(self, ticket: Ticket, now: float) -> Admitted | Queued | Refusal:
        """Admit, queue or refuse a request."""
        own = self._classes[ticket.priority]
        if not self._count_ahead(own) and self._may_start(own):
            self._start(own, ticket)
            return Admitted()
        wait = self._predict_wait(own)
        if now + wait > ticket.deadline:
            return self.refuse(ticket, now)
        shed: tuple[Ticket, ...] = ()
        if self.waiting >= self.max_waiting:
            lowest = next(c for c in reversed(self._ordered) if c.waiting)
            if lowest.settings.rank <= own.settings.rank:
                return self.refuse(ticket, now)
            shed = (lowest.pop_newest(),)
        if not self.waiting:
            # Measure the release interval while requests wait, not over idle time.
            self._last_release = now
        own.push(ticket)
        return Queued(shed)

    def refuse(self, ticket: Ticket, now: float) -> Refusal:
        """Return the refusal of a request, with the time after which to retry."""
        own = self._classes[ticket.priority]
        interval = self._estimate_interval()
        soonest = now + max(MIN_RETRY_SECONDS, self._predict_wait(own))
        # Each refused client gets a later time, so that they do not retry together.
        own.next_retry_at = max(own.next_retry_at, soonest) + interval
        wait = min(own.next_retry_at - now, MAX_RETRY_SECONDS)
        own.next_retry_at = now + wait
        text = "the service is overloaded"
        return Refusal(OVERLOADED_STATUS, "overloaded", text, retry_after=wait)

    def release(self, run_seconds: float, now: float) -> None:
        """Free the slot of a request that finished after ``run_seconds``."""
        self.running -= 1
        self.run_seconds += SMOOTHING * (run_seconds - self.run_seconds)
        interval = now - self._last_release
        self._last_release = now
        if self.waiting:
            self.release_interval += SMOOTHING * (interval - self.release_interval)
        else:
            self.release_interval = 0.0

    def start_ready(self) -> list[Ticket]:
        """Start as many waiting requests as there are free slots."""
        started = []
        while (chosen := self._choose_class()) is not None:
            ticket = chosen.pop()
            self._start(chosen, ticket)
            started.append(ticket)
        return started

    def abandon(self, ticket: Ticket) -> bool:
        """Remove a waiting request; return whether it was still waiting."""
        return self._classes[ticket.priority].remove(ticket)

    def _start(self, own: _ClassQueue, ticket: Ticket) -> None:
        self.running += 1
        for entry in self._ordered:
            entry.served *= SHARE_DECAY
        own.served += ticket.cost
        self.expected_wait += ticket.cost / self.servers_per_instance

    def _may_start(self, own: _ClassQueue) -> bool:
        if own is self._ordered[0]:
            return self._may_start_urgent()
        reserve = math.floor(self.capacity * URGENT_RESERVE)
        has_slot = self.running < self.capacity - reserve
        return has_slot and self.expected_wait <= MAX_WAIT_SECONDS

    def _may_start_urgent(self) -> bool:
        is_free = self.running < self.capacity
        most = MAX_WAIT_SECONDS * URGENT_WORK_RATIO
        return is_free and self.expected_wait <= most

    def _choose_class(self) -> _ClassQueue | None:
        if not self._may_start_urgent():
            return None
        total = sum(entry.served for entry in self._ordered)
        for entry in self._ordered[1:]:
            # A class below its minimum share may use the urgent reserve.
            if entry.waiting and entry.served < entry.settings.min_share * total:
                return entry
        ready = [c for c in self._ordered if c.waiting and self._may_start(c)]
        return ready[0] if ready else None

    def _count_ahead(self, own: _ClassQueue) -> int:
        return sum(
            entry.waiting
            for entry in self._ordered
            if entry.settings.rank <= own.settings.rank
        )

    def _predict_wait(self, own: _ClassQueue) -> float:
        interval = self._estimate_interval()
        free_at = 0.0 if self._may_start(own) else interval
        return free_at + self._count_ahead(own) * interval

    def _estimate_interval(self) -> float:
        """Return the expected seconds between two starts while requests wait."""
        return max(self.release_interval, self.run_seconds / self.capacity)


def compute_capacity(limits: Iterable[int], instances: int) -> int:
    """Return one instance's part of the slots of all servers."""
    return max(1, math.ceil(sum(limits) / max(1, instances)))
