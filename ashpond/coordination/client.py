"""Reserve servers through the coordinators of their shards.

An instance asks a coordinator once for each request. Without an answer in time, it
chooses a server by itself, as an instance of a small fleet does.
"""

from __future__ import annotations

__all__ = ["CoordinatedReservations"]

import random
import secrets
from collections import Counter
from collections.abc import Callable
from typing import TYPE_CHECKING, Any

import trio

from ashpond.clients.peer import connect_peer
from ashpond.clients.placements import DecisionState
from ashpond.controllers.directory import ServerState, ServerTable
from ashpond.coordination.candidates import Connect, Connection, CoordinatorSearch
from ashpond.coordination.grantedservers import build_reservation, exclude_granted
from ashpond.coordination.link import ShardLink
from ashpond.coordination.pendingasks import Ask, FallbackReason, limit_seconds
from ashpond.coordination.sessions import Coordinators
from ashpond.decisions.fleetlinks import Member
from ashpond.decisions.placementorigin import PlacementOrigin
from ashpond.decisions.placementterms import (
    PlacementEvent,
    PlacementRefusal,
    PlacementTerms,
)
from ashpond.decisions.selection import Demand
from ashpond.decisions.shards import (
    WHOLE_SERVICE,
    choose_shard,
    list_shards,
    rank_shards,
)
from ashpond.fleet.reconnection import MAX_FRAME_BYTES
from ashpond.gateway.serverchoice import Reservation

if TYPE_CHECKING:
    from ashpond.fleet.members import Members
    from ashpond.gateway.decisionlog import DecisionLog
    from ashpond.gateway.metrics import GatewayMetrics
    from ashpond.gateway.reservations import ReservationQueue

INCARNATION_BYTES = 4
# A placement is asked for once more if the granted server cannot be used here.
MAX_ASKS = 2
# The shards of a service are listed again after this time (seconds). Servers join or
# leave rarely, and listing 123 of them takes longer than the rest of an ask.
SHARDS_SECONDS = 0.2
REFUSED = "no place in time at any backend server"


class CoordinatedReservations:
    """Reservations of servers that coordinators choose.

    ``queue`` chooses without a coordinator, and holds the load of all reservations of
    this instance.

    :param get_minimum: returns the number of instances from which on coordinators are
        asked, 0 for never.
    :param find_required_version: returns the version of a model without which a server
        gets no requests.
    :param coordinators: the coordinators at this instance, None if it has none.
    """

    def __init__(
        self,
        queue: ReservationQueue,
        members: Members,
        log: DecisionLog,
        metrics: GatewayMetrics,
        get_minimum: Callable[[], int],
        find_required_version: Callable[[str, float], int],
        rng: random.Random,
        coordinators: Coordinators | None = None,
        connect: Connect | None = None,
    ):
        self.queue = queue
        self.fallbacks: Counter[str] = Counter()
        self._members = members
        self._log = log
        self._metrics = metrics
        self._get_minimum = get_minimum
        self._find_required_version = find_required_version
        self._rng = rng
        self._coordinators = coordinators
        self._connect = connect or self._connect_by_address
        own = members.own
        self._incarnation = f"{own.name}#{secrets.token_hex(INCARNATION_BYTES)}"
        self._links: dict[tuple[str, str], ShardLink] = {}
        self._shards: dict[str, tuple[float, list[str]]] = {}
        self._is_leaving = False
        self._nursery: trio.Nursery | None = None

    @property
    def table(self) -> ServerTable:
        """The known servers."""
        return self.queue.table

    @property
    def waiting(self) -> int:
        """The number of requests that wait for a server."""
        links = self._links.values()
        return self.queue.waiting + sum(link.waiting for link in links)

    async def run(self) -> None:
        """Run the links to coordinators, which are opened when they are needed."""
        async with trio.open_nursery() as nursery:
            self._nursery = nursery
            await trio.sleep_forever()

    def note_members(self) -> None:
        """Choose the coordinators again, as the members have changed."""
        for link in self._links.values():
            link.note_members()

    def leave(self) -> None:
        """Stop to use the coordinators of this instance, as it is leaving."""
        self._is_leaving = True
        for link in self._links.values():
            link.leave()

    def is_coordinated(self, service: str) -> bool:
        """Return whether coordinators choose the servers of a service.

        They do in a fleet of the declared size, and for servers that bear few
        rejections, as only a coordinator knows what all instances send them.
        """
        minimum, count = self._get_minimum(), self._members.count()
        now = trio.current_time()
        is_brittle = self.table.brittle.find_limit(service, now) is not None
        return (
            (0 < minimum <= count or (is_brittle and count > 1))
            and self._nursery is not None
            # Peers cannot be reached before the instances share a secret.
            and bool(self._members.secret)
        )

    async def reserve(
        self,
        demand: Demand,
        urgency: int,
        until: float,
        terms: PlacementTerms | None = None,
    ) -> Reservation | PlacementRefusal | None:
        """Reserve a server, by a coordinator's decision if there is one in time.

        A queued request waits until its deadline, as a coordinator refuses at once what
        it cannot serve.

        :param until: the caller's deadline, or an earlier time to stop waiting.
        """
        if terms is None or not self.is_coordinated(demand.service):
            return await self.queue.reserve(demand, urgency, until, terms)
        started_at = trio.current_time()
        reason = FallbackReason.UNUSABLE
        asked = demand
        for _ in range(MAX_ASKS):
            link = self._choose_link(asked, urgency)
            if link is None:
                reason = FallbackReason.NO_SERVERS
                break
            ask = await link.ask(asked, terms)
            if ask.failure is not None:
                reason = ask.failure
                break
            if ask.decision is None:
                return None
            self._observe(ask)
            if ask.decision.state is DecisionState.REFUSED:
                seconds = limit_seconds(ask.decision.seconds)
                return PlacementRefusal(REFUSED, seconds)
            now = trio.current_time()
            reservation = build_reservation(
                self.table, ask, ask.decision, now, self._find_required_version
            )
            if reservation is not None:
                return self._hold(reservation, link, ask, now - started_at)
            link.give_back(ask.number)
            self._metrics.count_placement("returned")
            asked = exclude_granted(asked, ask.decision)
        return await self._reserve_alone(
            demand, urgency, until, terms, reason, started_at
        )

    def _hold(
        self, reservation: Reservation, link: ShardLink, ask: Ask, waited: float
    ) -> Reservation:
        """Add the load of a granted reservation; return it with its origin."""
        state, load = reservation.state, reservation.load
        state.load = state.load.add(load)
        deadline = ask.terms.deadline
        link.held.add(ask.number, state.info.start_id, load, deadline, granted=True)
        origin = PlacementOrigin(
            link.service,
            link.shard,
            ask.number,
            ask.coordinator,
            waited,
            ask.forecast or 0.0,
        )
        return reservation._replace(origin=origin)

    def _observe(self, ask: Ask) -> None:
        waited = trio.current_time() - ask.asked_at
        outcome = "granted" if ask.is_granted else "refused"
        if ask.forecast is not None:
            self._metrics.count_placement("queued")
        self._metrics.count_placement(outcome)
        self._metrics.observe_placement(outcome, waited, ask.forecast)

    async def _reserve_alone(
        self,
        demand: Demand,
        urgency: int,
        until: float,
        terms: PlacementTerms,
        reason: FallbackReason,
        started_at: float,
    ) -> Reservation | PlacementRefusal | None:
        """Reserve a server without a coordinator."""
        now = trio.current_time()
        self.fallbacks[reason] += 1
        self._metrics.count_placement("fallback", reason)
        self._log.note(
            "placement_fallback",
            fingerprint=terms.fingerprint or None,
            service=demand.service,
            reason=reason,
            waited=round(now - started_at, 4),
        )
        reservation = await self.queue.reserve(demand, urgency, until, terms)
        if not isinstance(reservation, Reservation):
            return reservation
        info = reservation.state.info
        shard = self._find_shard(reservation.state)
        link = self._links.get((info.service, shard))
        number = 0
        # A link that closes is replaced by one that starts with its own numbers.
        if link is not None and not link.is_closed:
            load = reservation.load
            number = link.hold_fallback(info.start_id, load, terms.deadline)
        waited = trio.current_time() - started_at
        origin = PlacementOrigin(
            info.service, shard, number, waited=waited, fallback=reason
        )
        return reservation._replace(origin=origin)

    def _choose_link(self, demand: Demand, urgency: int) -> ShardLink | None:
        """Return the link to the shard that a request should be placed in."""
        now = trio.current_time()
        shards = self._list_shards(demand.service, now)
        if not shards:
            return None
        if demand.excluded:
            shards = self._list_open_shards(demand, shards, now)
        ranked = rank_shards(
            shards,
            demand.prompt,
            demand.cache_namespace,
            self._members.own.failure_domain,
        )
        waits = {
            shard: link.get_wait(urgency, now)
            for shard in ranked
            if (link := self._links.get((demand.service, shard))) is not None
        }
        return self._get_link(demand.service, choose_shard(ranked, waits, self._rng))

    def _list_open_shards(
        self, demand: Demand, shards: list[str], now: float
    ) -> list[str]:
        """Return the shards with usable servers that a demand does not exclude."""
        domains = {
            state.info.failure_domain
            for state in self.table.list_service(demand.service)
            if state.info.id not in demand.excluded and state.is_usable(now)
        }
        return [s for s in shards if s == WHOLE_SERVICE or s in domains] or shards

    def _list_shards(self, service: str, now: float) -> list[str]:
        """Return the shards of a service with usable servers, all if there are none."""
        listed_at, shards = self._shards.get(service, (float("-inf"), []))
        if now - listed_at < SHARDS_SECONDS:
            return shards
        states = self.table.list_service(service)
        shards = list_shards({s.info.id: s.info.failure_domain for s in states})
        # The coordinator of a shard whose servers all leave or back off refuses at once
        # what another shard can serve.
        usable = {s.info.failure_domain for s in states if s.is_usable(now)}
        shards = [s for s in shards if s == WHOLE_SERVICE or s in usable] or shards
        self._shards[service] = now, shards
        return shards

    def _find_shard(self, state: ServerState) -> str:
        shards = self._list_shards(state.info.service, trio.current_time())
        return WHOLE_SERVICE if WHOLE_SERVICE in shards else state.info.failure_domain

    def _get_link(self, service: str, shard: str) -> ShardLink | None:
        link = self._links.get((service, shard))
        if self._nursery is None or (link is not None and not link.is_closed):
            return link
        search = CoordinatorSearch(
            self._incarnation,
            service,
            shard,
            self._members,
            self._log,
            self._coordinators,
            self._connect,
        )
        search.is_leaving = self._is_leaving
        link = ShardLink(self._incarnation, service, shard, search, self._log)
        self._links[service, shard] = link
        self._nursery.start_soon(self._run_link, link)
        return link

    async def _run_link(self, link: ShardLink) -> None:
        await link.run()
        key = link.service, link.shard
        if self._links.get(key) is link:
            del self._links[key]

    async def _connect_by_address(self, member: Member) -> Connection:
        return await connect_peer(member.address, self._members.secret, MAX_FRAME_BYTES)

    def release(
        self,
        reservation: Reservation,
        event: PlacementEvent = PlacementEvent.UNUSED,
    ) -> None:
        """Take the load of a reservation from its server, and tell the coordinator."""
        origin = reservation.origin
        link = self._find_holder(origin)
        if origin is not None and link is not None:
            link.end(origin.number, event)
        if event is PlacementEvent.REJECTED and origin and origin.coordinator:
            # Others place requests at the server too, such as a second coordinator.
            self._metrics.count_placement("rejected")
        self.queue.release(reservation, event)

    def note_prompt_read(self, reservation: Reservation) -> Reservation:
        """Return the reservation without the unread tokens, once they are read."""
        origin = reservation.origin
        link = self._find_holder(origin)
        if origin is not None and link is not None:
            link.note_read(origin.number)
        return self.queue.note_prompt_read(reservation)

    def _find_holder(self, origin: PlacementOrigin | None) -> ShardLink | None:
        if origin is None or not origin.number:
            return None
        return self._links.get((origin.service, origin.shard))

    def find_room_time(
        self, demand: Demand, urgency: int, team: str, now: float
    ) -> float:
        """Return when a server may have room for a new request, infinite if unknown."""
        waits = [
            link.get_wait(urgency, now)
            for (service, _), link in self._links.items()
            if service == demand.service
        ]
        known = now + min(waits, default=0.0)
        return max(known, self.queue.find_room_time(demand, urgency, team, now))

    def assign(self) -> None:
        """Reserve free servers for the requests that wait here."""
        self.queue.assign()

    def describe(self) -> dict[str, Any]:
        """Return the coordinator of each shard in use, and the fallbacks."""
        now = trio.current_time()
        return {
            "active": 0 < self._get_minimum() <= self._members.count(),
            "brittle_services": self.table.brittle.describe(now),
            "shards": [link.describe(now) for link in self._links.values()],
            "fallbacks": {str(reason): n for reason, n in self.fallbacks.items()},
        }
