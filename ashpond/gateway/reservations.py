"""Reserve backend servers for requests; the most urgent ones are served first."""

from __future__ import annotations

__all__ = ["Reservation", "ReservationQueue"]

import math

import trio

from ashpond.controllers.directory import ServerTable
from ashpond.decisions.loads import Load
from ashpond.decisions.placementterms import PlacementEvent, PlacementTerms
from ashpond.decisions.selection import Demand, make_load
from ashpond.gateway.serverchoice import Reservation, ServerChooser

# Waiting requests are not woken when a peer's load changes or a pause ends, so the
# search is repeated this often (seconds).
RECHECK_SECONDS = 0.03


class _Waiter:
    def __init__(self, demand: Demand, urgency: int, number: int):
        self.demand = demand
        self.order = (urgency, number)
        self.memory_tokens = make_load(demand, 0).held_tokens
        self.reservation: Reservation | None = None
        self.event = trio.Event()

    def get_constraints(self) -> tuple[str, str | None, frozenset[str]]:
        """Return what limits the choice of a server, besides the memory it needs."""
        return self.demand.service, self.demand.model, self.demand.excluded


class ReservationQueue:
    """One instance's reservations, and the requests that wait for a server.

    :param chooser: chooses the server for a request.
    """

    def __init__(self, table: ServerTable, chooser: ServerChooser):
        self.table = table
        self.chooser = chooser
        self._waiters: list[_Waiter] = []
        self._assigned_at = float("-inf")
        self._count = 0

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
    ) -> Reservation | None:
        """Reserve a server; return None if none is free by the time ``until``.

        :param terms: not used; coordinators need them.
        """
        now = trio.current_time()
        if not any(w.demand.service == demand.service for w in self._waiters):
            reservation = self._try_reserve(demand, now)
            if reservation is not None or now >= until:
                return reservation
        if self.find_retry_time(demand, now) > until:
            return None
        self._count += 1
        waiter = _Waiter(demand, urgency, self._count)
        self._waiters.append(waiter)
        try:
            while waiter.reservation is None:
                # Read the clock once: a second reading may lie after ``until``.
                now = trio.current_time()
                if now >= until:
                    break
                with trio.move_on_at(min(now + RECHECK_SECONDS, until)):
                    await waiter.event.wait()
                if waiter.reservation is None:
                    self._recheck()
            return waiter.reservation
        except trio.Cancelled:
            if waiter.reservation is not None:
                self.release(waiter.reservation)
            raise
        finally:
            if waiter in self._waiters:
                self._waiters.remove(waiter)

    def find_retry_time(self, demand: Demand, now: float) -> float:
        """Return when the first server may take a request again, by its directives.

        Infinite if all are leaving; ``now`` if none is known or one is not backing off.
        """
        states = self.table.list_service(demand.service)
        if not states:
            return now
        times = [
            state.find_retry_time(now)
            for state in states
            if state.is_eligible() and state.info.id not in demand.excluded
        ]
        return min(times, default=math.inf)

    def _recheck(self) -> None:
        """Search for all that wait, unless another request has just caused that."""
        if trio.current_time() - self._assigned_at >= RECHECK_SECONDS / 2:
            self.assign()

    def assign(self) -> None:
        """Reserve free servers for waiting requests, the most urgent first.

        A request is skipped if one with the same constraints and no greater need of
        memory has found no server: with full engines, ten requests cost one search.
        """
        now = trio.current_time()
        self._assigned_at = now
        unmet: dict[tuple[str, str | None, frozenset[str]], int] = {}
        for waiter in sorted(self._waiters, key=lambda waiter: waiter.order):
            constraints = waiter.get_constraints()
            if constraints in unmet and waiter.memory_tokens >= unmet[constraints]:
                continue
            reservation = self._try_reserve(waiter.demand, now)
            if reservation is None:
                unmet[constraints] = waiter.memory_tokens
                continue
            waiter.reservation = reservation
            self._waiters.remove(waiter)
            waiter.event.set()

    def release(
        self,
        reservation: Reservation,
        event: PlacementEvent = PlacementEvent.UNUSED,
    ) -> None:
        """Take the load of a reservation from its server.

        :param event: what has happened to the request, for its coordinator.
        """
        reservation.state.load = reservation.state.load.subtract(reservation.load)
        if self._waiters:
            self.assign()

    def note_prompt_read(self, reservation: Reservation) -> Reservation:
        """Return the reservation without the unread tokens, once they are read."""
        read = Load(unread_tokens=reservation.load.unread_tokens)
        reservation.state.load = reservation.state.load.subtract(read)
        return reservation._replace(load=reservation.load.subtract(read))

    def _try_reserve(self, demand: Demand, now: float) -> Reservation | None:
        reservation = self.chooser.choose(demand, now)
        if reservation is not None:
            state = reservation.state
            state.load = state.load.add(reservation.load)
        return reservation
