"""The queue of one shard: its requests are placed, wait, or are refused."""

from __future__ import annotations

__all__ = ["RECHECK_SECONDS", "Answer", "PlacementShard"]

import math
from collections import Counter
from collections.abc import Callable
from typing import Any

from ashpond.clients.placements import (
    DecisionState,
    EndedPlacement,
    HeldPlacement,
    PlacementAsk,
    PlacementDecision,
    ReportedWait,
)
from ashpond.coordination.asks import (
    MAX_LEFT_SECONDS,
    WaitingRequest,
    build_demand,
    estimate_typical_cost,
)
from ashpond.coordination.grants import CoordinatorReports, ShardGrants
from ashpond.coordination.queueing import Queue, Speeds
from ashpond.coordination.shardservers import ShardServers
from ashpond.decisions.placementledger import GrantKey, PlacementLedger
from ashpond.decisions.placementterms import PlacementEvent
from ashpond.decisions.servicetimes import make_kind
from ashpond.decisions.ticketorder import Ticket
from ashpond.decisions.unmetneeds import UnmetNeeds
from ashpond.gateway.serverchoice import Reservation, ServerChooser

# Waiting requests are not woken when a peer's load changes or a pause ends, so the
# search is repeated this often (seconds).
RECHECK_SECONDS = 0.05
# Waits are reported for the urgencies that were asked for lately (seconds, entries).
URGENCY_SECONDS = 10.0
MAX_URGENCIES = 8
# More requests than can be served within any timeout; the others are refused (entries).
MAX_WAITING = 4_000
# The ``seconds`` of a refusal without a time to return.
NO_TIME = -1.0

# Takes the decision on an ask of a session.
Answer = Callable[[int, PlacementDecision], None]


class PlacementShard:
    """The requests of one shard.

    Its methods change the state only; decisions go to ``answer`` at once.

    :param ledger: the grants of all shards that this instance coordinates.
    :param answer: takes a decision, with the session that it is for.
    """

    def __init__(
        self,
        service: str,
        servers: ShardServers,
        chooser: ServerChooser,
        grants: ShardGrants,
        ledger: PlacementLedger,
        queue: Queue,
        speeds: Speeds,
        answer: Answer,
        reports: CoordinatorReports,
    ):
        self.servers = servers
        self.grants = grants
        self.waiting: dict[GrantKey, WaitingRequest] = {}
        self._service = service
        self._chooser = chooser
        self._ledger = ledger
        self._queue = queue
        self._speeds = speeds
        self._answer = answer
        self._reports = reports
        self._starts: set[str] = set()
        self._asked_at: dict[int, float] = {}
        self._needs = UnmetNeeds()
        # When what is unmet was forgotten last.
        self._unmet_at = -math.inf

    def take_held(self, session: int, held: HeldPlacement, now: float) -> None:
        """Add a grant that another coordinator made, or the instance itself."""
        if GrantKey(session, held.number) not in self.waiting:
            self.grants.take_held(session, held, now)

    def note_event(self, session: int, ended: EndedPlacement, now: float) -> bool:
        """Apply what has happened to a request; return whether anything changed."""
        key = GrantKey(session, ended.number)
        if key not in self.waiting:
            return self.grants.note_event(key, ended.event, now)
        if ended.event is PlacementEvent.READ:
            return False
        self._withdraw(self.waiting[key])
        return True

    def end_session(self, session: int) -> None:
        """Remove a session's waiting requests, and end its grants."""
        for request in list(self.waiting.values()):
            if request.ticket.session == session:
                self._withdraw(request)
        self.grants.end_session(session)

    def note_servers_changed(self, now: float) -> None:
        """Read the list of servers again, and drop what is kept of those gone."""
        # A new shard has chosen among servers before their first change.
        known = self._starts | self.servers.id_by_start.keys()
        self.servers.forget_lists()
        starts = {state.info.start_id for state in self.servers.list_own(now)}
        for start_id in known - starts:
            self.grants.forget_start(start_id)
        self._starts = starts

    def _withdraw(self, request: WaitingRequest) -> None:
        """Remove a request that gets no server."""
        self._stop_waiting(request)
        self._queue.remove(request.ticket)
        self._ledger.note_withdrawn(*request.key)

    def _stop_waiting(self, request: WaitingRequest) -> bool:
        """Return whether a request was waiting; it is not any more."""
        if self.waiting.pop(request.key, None) is None:
            return False
        self._needs.remove(request.constraints)
        return True

    def take_ask(
        self, session: int, ask: PlacementAsk, domain: str | None, now: float
    ) -> None:
        """Place a request, queue it or refuse it.

        :param domain: the failure domain of the instance that has it, None if unknown.
        """
        key = GrantKey(session, ask.number)
        if key in self.waiting or not self._ledger.is_new(*key):
            return
        request = self._build_request(session, ask, domain, now)
        ticket = request.ticket
        self._asked_at[ticket.urgency] = now
        if now - self._unmet_at >= RECHECK_SECONDS:
            self._forget_unmet(now)
        if not self._is_unmet(request) and self._try_grant(request, now):
            return
        retry_at = self.servers.find_retry_time(request.demand, now)
        if retry_at > max(now, ticket.find_latest_start()):
            self._refuse(request, retry_at - now, now)
            return
        can_wait = len(self.waiting) < MAX_WAITING
        if not can_wait or not self._queue.can_serve(ticket, now):
            self._refuse(request, None, now)
            return
        request.forecast = self._queue.forecast_wait(ticket, now)
        self._queue.add(ticket, now)
        self.waiting[key] = request
        self._needs.add(request.constraints, request.memory_tokens)
        self._reports.count_placement("queued")
        self._answer(session, self.describe_queued(request, now))

    def describe_queued(self, request: WaitingRequest, now: float) -> PlacementDecision:
        """Return the answer to an instance whose request waits."""
        ticket = request.ticket
        seconds = self._queue.forecast(ticket.urgency, ticket.team, now)
        return PlacementDecision(ticket.number, DecisionState.QUEUED, seconds=seconds)

    def _build_request(
        self, session: int, ask: PlacementAsk, domain: str | None, now: float
    ) -> WaitingRequest:
        demand = build_demand(self._service, ask)
        left = min(ask.left, MAX_LEFT_SECONDS)
        cost = estimate_typical_cost(demand, self._speeds, now)
        kind = make_kind(self._service, ask.urgency, demand.prompt)
        times = self.grants.times
        ticket = Ticket(
            number=ask.number,
            session=session,
            service=self._service,
            urgency=ask.urgency,
            team=ask.team,
            weight=1.0,
            # A client may claim any number of tokens, but no request occupies a server
            # beyond its deadline.
            cost=min(cost, left),
            arrived_at=now - ask.waited,
            deadline=now + left,
            # The others of its kind may have much shorter prompts.
            service_seconds=max(cost, times.estimate_needed(kind, demand.prompt)),
        )
        return WaitingRequest(ticket, demand, domain, now)

    def assign(self, now: float) -> None:
        """Place the waiting requests that there is a server for, the next one first.

        A request is skipped if one with the same constraints and no greater need of
        memory has found no server: with full engines, many requests cost one search.
        """
        self._forget_unmet(now)
        if not self.waiting:
            return
        for ticket in self._queue.list_in_order():
            request = self.waiting.get(GrantKey(ticket.session, ticket.number))
            if request is None or self._is_unmet(request):
                continue
            if now > ticket.find_latest_start():
                self._refuse(request, None, now)
            elif not self._try_grant(request, now) and self._needs.are_all_unmet():
                break

    def refuse_hopeless(self, now: float) -> None:
        """Refuse waiting requests that by the present estimate can't be served.

        Such are also those whose servers have all left, or ask for a longer backoff.
        """
        for ticket in self._queue.list_hopeless(now):
            request = self.waiting.get(GrantKey(ticket.session, ticket.number))
            if request is not None:
                self._refuse(request, None, now)
        retry_times: dict[frozenset[str], float] = {}
        for request in list(self.waiting.values()):
            excluded = request.demand.excluded
            if excluded not in retry_times:
                found = self.servers.find_retry_time(request.demand, now)
                retry_times[excluded] = found
            retry_at = retry_times[excluded]
            if retry_at > max(now, request.ticket.find_latest_start()):
                self._refuse(request, retry_at - now, now)

    def _forget_unmet(self, now: float) -> None:
        self._needs.clear()
        self._unmet_at = now
        self._queue.note_servers(self.servers.estimate_capacity(now))

    def _is_unmet(self, request: WaitingRequest) -> bool:
        return self._needs.is_unmet(request.constraints, request.memory_tokens)

    def _try_grant(self, request: WaitingRequest, now: float) -> bool:
        reserved = self._queue.compute_reserved_share(request.ticket.urgency, now)
        demand = request.demand._replace(reserved_share=reserved)
        reservation = self._chooser.choose(demand, now, request.domain)
        if reservation is None:
            self._needs.note_unmet(request.constraints, request.memory_tokens)
            return False
        self._grant(request, reservation, now)
        return True

    def _grant(
        self, request: WaitingRequest, reservation: Reservation, now: float
    ) -> None:
        ticket = request.ticket
        self.grants.add(request.key, reservation, request.demand, ticket, now)
        self._stop_waiting(request)
        self._queue.note_started(ticket, now)
        waited = now - request.asked_at
        self._reports.count_placement("granted")
        self._reports.observe_wait(waited)
        if request.forecast is not None:
            self._reports.observe_error(waited - request.forecast)
        self._answer(ticket.session, describe_grant(ticket.number, reservation))

    def _refuse(
        self, request: WaitingRequest, seconds: float | None, now: float
    ) -> None:
        """Refuse a request; ``seconds`` is None for the time that the queue gives."""
        if seconds is None:
            seconds = self._queue.refuse(request.ticket, now)
        self._withdraw(request)
        if seconds is None or not 0 <= seconds < MAX_LEFT_SECONDS:
            seconds = NO_TIME
        self._reports.count_placement("refused")
        decision = PlacementDecision(
            request.ticket.number, DecisionState.REFUSED, seconds=seconds
        )
        self._answer(request.ticket.session, decision)

    def list_waits(self, now: float) -> list[ReportedWait]:
        """Return the estimated wait of a new request by urgency."""
        for urgency in list(self._asked_at):
            if now - self._asked_at[urgency] > URGENCY_SECONDS:
                del self._asked_at[urgency]
        urgencies = sorted(self._asked_at)[:MAX_URGENCIES]
        if not self.waiting:
            return [ReportedWait(urgency, 0.0) for urgency in urgencies]
        return [
            ReportedWait(urgency, max(0.0, self._queue.forecast(urgency, "", now)))
            for urgency in urgencies
        ]

    def describe(self, now: float) -> dict[str, Any]:
        """Return the queue and the servers for operators."""
        by_urgency: Counter[str] = Counter()
        by_team: Counter[str] = Counter()
        for request in self.waiting.values():
            by_urgency[str(request.ticket.urgency)] += 1
            by_team[request.ticket.team] += 1
        return {
            "waiting_by_urgency": dict(by_urgency),
            "waiting_by_team": dict(by_team),
            "forecast_seconds": {
                str(wait.urgency): round(wait.seconds, 3)
                for wait in self.list_waits(now)
            },
            "servers": self.grants.describe_servers(now),
        }


def describe_grant(number: int, reservation: Reservation) -> PlacementDecision:
    """Return the answer that grants an instance its reservation."""
    return PlacementDecision(
        number,
        DecisionState.GRANTED,
        reservation.state.info.start_id,
        reservation.weights_version,
        reservation.salt,
        reservation.fetch_from,
        reservation.cached_tokens,
        reservation.fetch_tokens,
        reservation.save_to,
    )
