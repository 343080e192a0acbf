"""Reserve backend servers for requests; those that wait are served in one order."""

from __future__ import annotations

__all__ = ["Reservation", "ReservationQueue"]

import math
from collections.abc import Hashable

import trio

from ashpond.controllers.directory import ServerTable
from ashpond.decisions.loads import Load
from ashpond.decisions.placementqueue import PlacementQueue
from ashpond.decisions.placementterms import (
    PlacementEvent,
    PlacementRefusal,
    PlacementTerms,
)
from ashpond.decisions.selection import Demand, make_load
from ashpond.decisions.servicetimes import ServiceTimes
from ashpond.decisions.shardloads import SeenCapacities
from ashpond.decisions.ticketorder import Ticket
from ashpond.decisions.unmetneeds import UnmetNeeds
from ashpond.gateway.emptyservices import EmptyServices
from ashpond.gateway.serverchoice import Reservation, ServerChooser
from ashpond.gateway.tickets import make_ticket

# Waiting requests are not woken when a peer's load changes or a pause ends, so the
# search is repeated this often (seconds).
RECHECK_SECONDS = 0.03
# More requests than can be served within any timeout; the others are refused (entries).
MAX_WAITING = 4_000
NO_PLACE = "no place in time at any backend server"

Outcome = Reservation | PlacementRefusal | None


class _Waiter:
    """A request that waits; ``wake`` is set to let it look at its state."""

    def __init__(self, demand: Demand, ticket: Ticket):
        self.demand = demand
        self.ticket = ticket
        self.memory_tokens = make_load(demand, 0).held_tokens
        self.constraints: Hashable = (demand.model, demand.excluded)
        self.is_decided = False
        self.outcome: Outcome = None
        self.wake = trio.Event()

    def decide(self, outcome: Outcome) -> None:
        """End the wait."""
        self.is_decided = True
        self.outcome = outcome
        self.wake.set()


class _ServiceQueue:
    """The requests that wait for the servers of one service."""

    def __init__(self) -> None:
        self.queue = PlacementQueue()
        self.needs = UnmetNeeds()

    def add(self, waiter: _Waiter, now: float) -> None:
        self.queue.add(waiter.ticket, now)
        self.needs.add(waiter.constraints, waiter.memory_tokens)

    def remove(self, waiter: _Waiter) -> None:
        self.queue.remove(waiter.ticket)
        self.needs.remove(waiter.constraints)


class ReservationQueue:
    """One instance's reservations, and the requests that wait for a server.

    They are ordered, forecast and refused as by a coordinator, but only among the
    requests of this instance.

    :param chooser: chooses the server for a request.
    :param times: how long requests take.
    """

    def __init__(
        self,
        table: ServerTable,
        chooser: ServerChooser,
        times: ServiceTimes | None = None,
    ):
        self.table = table
        self.chooser = chooser
        self._times = times or ServiceTimes()
        self._services: dict[str, _ServiceQueue] = {}
        self._waiters: dict[int, _Waiter] = {}
        # The waiter that repeats the search for all, so that only one wakes for it.
        self._searcher: _Waiter | None = None
        self._assigned_at = float("-inf")
        self._count = 0
        self._empty = EmptyServices()
        self._capacities = SeenCapacities()

    @property
    def waiting(self) -> int:
        """The number of requests that wait for a server."""
        return len(self._waiters)

    async def reserve(
        self,
        demand: Demand,
        urgency: int,
        until: float,
        terms: PlacementTerms | None = None,
    ) -> Outcome:
        """Reserve a server; return a refusal as soon as none can serve it in time.

        None if the time is over.

        :param until: the caller's deadline, or an earlier time to stop waiting.
        :param terms: whose request it is, None if that is unknown.
        """
        now = trio.current_time()
        self._count += 1
        ticket = make_ticket(
            self._count, demand, urgency, until, terms, self._times, now
        )
        own = self._services.setdefault(demand.service, _ServiceQueue())
        if not own.queue.waiting:
            reservation = self._try_reserve(demand, now)
            if reservation is not None:
                own.queue.note_started(ticket, now)
                return reservation
        if now >= ticket.find_latest_start():
            return None
        refusal = self._find_refusal(demand, ticket, now)
        if refusal is not None:
            return refusal
        if len(self._waiters) >= MAX_WAITING or not own.queue.can_serve(ticket, now):
            return PlacementRefusal(NO_PLACE, own.queue.refuse(ticket, now))
        return await self._wait(_Waiter(demand, ticket), own)

    def _find_refusal(
        self, demand: Demand, ticket: Ticket, now: float
    ) -> PlacementRefusal | None:
        """Return a refusal if no server takes the request in time."""
        retry_at = self.find_retry_time(demand, now)
        if retry_at <= max(now, ticket.find_latest_start()):
            return None
        wait = retry_at - now if retry_at < math.inf else None
        return PlacementRefusal(NO_PLACE, wait)

    async def _wait(self, waiter: _Waiter, own: _ServiceQueue) -> Outcome:
        """Wait for a decision, at most until the latest start."""
        own.add(waiter, trio.current_time())
        self._waiters[waiter.ticket.number] = waiter
        try:
            await self._search_until_decided(waiter)
        except trio.Cancelled:
            if isinstance(waiter.outcome, Reservation):
                self.release(waiter.outcome)
            raise
        finally:
            if self._waiters.pop(waiter.ticket.number, None) is not None:
                own.remove(waiter)
            self._pass_search_on(waiter)
        return waiter.outcome

    async def _search_until_decided(self, waiter: _Waiter) -> None:
        until = waiter.ticket.find_latest_start()
        while not waiter.is_decided:
            # Read the clock once: a second reading may lie after ``until``.
            now = trio.current_time()
            if now >= until:
                return
            if self._searcher is None:
                self._searcher = waiter
            is_searcher = self._searcher is waiter
            waiter.wake = trio.Event()
            wakes_at = min(until, now + RECHECK_SECONDS) if is_searcher else until
            with trio.move_on_at(wakes_at):
                await waiter.wake.wait()
            if is_searcher and not waiter.is_decided:
                self._recheck()

    def _pass_search_on(self, waiter: _Waiter) -> None:
        """Let another one repeat the search, unless one that waits does.

        The one that was woken for it may leave before it runs, and passes it on then.
        """
        if self._searcher is not None and self._searcher is not waiter:
            return
        self._searcher = None
        successor = next(iter(self._waiters.values()), None)
        if successor is not None:
            successor.wake.set()

    def find_retry_time(self, demand: Demand, now: float) -> float:
        """Return when the first server may take a request again, by its directives.

        Infinite if all are leaving or gone; ``now`` if none is known yet or one is not
        backing off.
        """
        states = self.table.list_service(demand.service)
        if self._empty.note(demand.service, now, is_empty=not states):
            return math.inf
        if not states:
            return now
        times = [
            state.find_retry_time(now)
            for state in states
            if state.is_eligible() and state.info.id not in demand.excluded
        ]
        return min(times, default=math.inf)

    def find_room_time(
        self, demand: Demand, urgency: int, team: str, now: float
    ) -> float:
        """Return when a server may have room for a new request, infinite if unknown.

        That is after all that wait here.
        """
        times = [
            max(state.find_retry_time(now), state.find_pause_end())
            for state in self.table.list_service(demand.service)
            if state.is_eligible()
        ]
        own = self._services.get(demand.service)
        wait = own.queue.forecast(urgency, team, now) if own else 0.0
        return min(times, default=math.inf) + wait

    def _recheck(self) -> None:
        """Search for all that wait, unless another request has just caused that."""
        now = trio.current_time()
        if now - self._assigned_at >= RECHECK_SECONDS / 2:
            self.assign()
        for own in self._services.values():
            for ticket in own.queue.list_hopeless(now):
                retry_after = own.queue.refuse(ticket, now)
                self._decide(ticket, PlacementRefusal(NO_PLACE, retry_after))
        for waiter in list(self._waiters.values()):
            refusal = self._find_refusal(waiter.demand, waiter.ticket, now)
            if refusal is not None:
                self._decide(waiter.ticket, refusal)

    def _decide(self, ticket: Ticket, outcome: Outcome) -> None:
        waiter = self._waiters.pop(ticket.number, None)
        if waiter is not None:
            self._services[ticket.service].remove(waiter)
            waiter.decide(outcome)

    def assign(self) -> None:
        """Reserve free servers for waiting requests, in the order of service.

        A request is skipped if one with the same constraints and no greater need of
        memory has found no server: with full engines, ten requests cost one search.
        """
        now = trio.current_time()
        self._assigned_at = now
        for own in self._services.values():
            if own.queue.waiting:
                self._assign_service(own, now)

    def _assign_service(self, own: _ServiceQueue, now: float) -> None:
        own.needs.clear()
        for ticket in own.queue.list_in_order():
            waiter = self._waiters.get(ticket.number)
            if waiter is None or own.needs.is_unmet(
                waiter.constraints, waiter.memory_tokens
            ):
                continue
            reservation = self._try_reserve(waiter.demand, now)
            if reservation is not None:
                own.queue.note_started(ticket, now)
                self._decide(ticket, reservation)
                continue
            own.needs.note_unmet(waiter.constraints, waiter.memory_tokens)
            if own.needs.are_all_unmet():
                return

    def release(
        self,
        reservation: Reservation,
        event: PlacementEvent = PlacementEvent.UNUSED,
    ) -> None:
        """Take the load of a reservation from its server.

        :param event: what has happened to the request.
        """
        state = reservation.state
        state.load = state.load.subtract(reservation.load)
        if event is PlacementEvent.REJECTED:
            now = trio.current_time()
            in_flight, slots = state.load.requests, state.info.slots
            self._capacities.note_rejected(state.info.start_id, in_flight, slots, now)
        if self._waiters:
            self.assign()

    def note_prompt_read(self, reservation: Reservation) -> Reservation:
        """Return the reservation without the unread tokens, once they are read."""
        read = Load(unread_tokens=reservation.load.unread_tokens)
        reservation.state.load = reservation.state.load.subtract(read)
        return reservation._replace(load=reservation.load.subtract(read))

    def _try_reserve(self, demand: Demand, now: float) -> Reservation | None:
        if self._capacities.is_any_known:
            excluded = demand.excluded | self._list_full(demand.service, now)
            demand = demand._replace(excluded=excluded)
        reservation = self.chooser.choose(demand, now)
        if reservation is not None:
            state = reservation.state
            state.load = state.load.add(reservation.load)
        return reservation

    def _list_full(self, service: str, now: float) -> frozenset[str]:
        """Return the servers that have as many requests of this instance as they took.

        Without a coordinator, those of other instances are known late.
        """
        return frozenset(
            state.info.id
            for state in self.table.list_service(service)
            if not self._capacities.may_take(
                state.info.start_id, state.load.requests, now
            )
        )
