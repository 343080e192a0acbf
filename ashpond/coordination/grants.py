"""The requests that a shard's servers have, and what is learned from each."""

from __future__ import annotations

__all__ = ["CoordinatorReports", "ShardGrants"]

from collections.abc import Callable
from typing import Any, NamedTuple

from ashpond.clients.placements import HeldPlacement
from ashpond.controllers.directory import ServerState
from ashpond.coordination.asks import MAX_LEFT_SECONDS, PlacedRequest
from ashpond.coordination.queueing import Speeds
from ashpond.coordination.shardservers import ShardServers
from ashpond.decisions.cacheindex import CacheIndex
from ashpond.decisions.loads import Load
from ashpond.decisions.partreading import PartsBeingRead, ReadingTime
from ashpond.decisions.placementledger import (
    EndedGrant,
    Grant,
    GrantKey,
    PlacementLedger,
)
from ashpond.decisions.placementterms import PlacementEvent
from ashpond.decisions.selection import Demand
from ashpond.decisions.servicetimes import ServiceTimes, make_kind
from ashpond.decisions.shardloads import SeenCapacities
from ashpond.decisions.ticketorder import Ticket
from ashpond.gateway.serverchoice import Reservation

# The share of unread tokens of other requests up to which the time of a reading counts.
# Some always seem to be there, as the reports of loads are late.
OTHERS_SHARE = 0.1


def ignore(*values: Any, **fields: Any) -> None:
    """Do nothing with a value that is not reported."""


class CoordinatorReports(NamedTuple):
    """Callbacks for metrics and log lines.

    ``count_placement`` gets the outcome of an ask, or the event of a grant that ended;
    ``observe_wait`` how long a request waited for its server, ``observe_error`` that
    wait less the estimate that its instance was sent (seconds); ``note`` an event for
    the log, and its fields.
    """

    note: Callable[..., None] = ignore
    count_placement: Callable[[str], None] = ignore
    observe_wait: Callable[[float], None] = ignore
    observe_error: Callable[[float], None] = ignore


class ShardGrants:
    """The grants of one shard.

    :param ledger: the grants of all shards that this instance coordinates.
    :param reading: the shared parts that the shard's engines are reading.
    :param is_local: returns whether a session is this instance's own, which records by
        itself what its requests have had read.
    """

    def __init__(
        self,
        service: str,
        servers: ShardServers,
        ledger: PlacementLedger,
        capacities: SeenCapacities,
        speeds: Speeds,
        reading: PartsBeingRead,
        cache_index: CacheIndex,
        is_local: Callable[[int], bool],
        reports: CoordinatorReports,
    ):
        self._service = service
        self._servers = servers
        self._ledger = ledger
        self._capacities = capacities
        self._speeds = speeds
        self._reading = reading
        self._reading_order = servers.reading_order
        self._cache_index = cache_index
        self._is_local = is_local
        self._reports = reports
        self._placed: dict[GrantKey, PlacedRequest] = {}
        self.times = ServiceTimes()

    def take_held(self, session: int, held: HeldPlacement, now: float) -> None:
        """Add a grant that another coordinator made, or the instance itself."""
        unread_tokens = 0 if held.is_read else held.unread_tokens
        load = Load(1, unread_tokens, held.held_tokens, held.bound)
        deadline = now + min(held.left, MAX_LEFT_SECONDS)
        grant = Grant(
            held.start_id, load, held.read_tokens, None, deadline, held.is_read
        )
        key = GrantKey(session, held.number)
        if self._ledger.add(*key, grant) and unread_tokens:
            self._reading_order.add(held.start_id, key, unread_tokens, None)

    def add(
        self,
        key: GrantKey,
        reservation: Reservation,
        demand: Demand,
        ticket: Ticket,
        now: float,
    ) -> None:
        """Add a grant of this coordinator."""
        info, load, salt = reservation.state.info, reservation.load, reservation.salt
        before = self._servers.sum_start_load(info.start_id).requests
        tokens = load.unread_tokens
        grant = Grant(info.start_id, load, tokens, now, ticket.deadline)
        self._ledger.add(*key, grant)
        kind = make_kind(self._service, ticket.urgency, demand.prompt)
        self._placed[key] = PlacedRequest(demand.prompt, salt, before, info.slots, kind)
        if demand.prompt is not None and salt is not None:
            self._reading.add(info.start_id, salt, demand.prompt)
            self._reading_order.add(info.start_id, key, tokens, now)

    def note_event(self, key: GrantKey, event: PlacementEvent, now: float) -> bool:
        """Apply what has happened to a grant; return whether anything changed."""
        if event is PlacementEvent.READ:
            return self._note_read(key, now)
        if event is PlacementEvent.ANSWERED:
            self._note_read(key, now, is_ended=True)
        grant = self._ledger.end(*key)
        if grant is None:
            return False
        if event is PlacementEvent.REJECTED:
            self._note_rejected(grant.start_id, self._placed.get(key), now)
        placed = self._placed.get(key)
        if event is PlacementEvent.ANSWERED and placed and grant.granted_at is not None:
            self.times.note_answered(placed.kind, now - grant.granted_at)
        was_sent = event is PlacementEvent.FAILED
        self._forget(EndedGrant(key, grant), was_sent=was_sent)
        self._reports.count_placement(event.name.lower())
        return True

    def end_session(self, session: int) -> None:
        """End the session's grants."""
        for ended in self._ledger.end_session(session):
            self._forget(ended, was_sent=True)

    def note_expired(self, ended: EndedGrant) -> None:
        """Drop what is kept of a grant that the ledger has ended."""
        self._forget(ended, was_sent=True)
        self._reports.count_placement("expired")

    def forget_start(self, start_id: str) -> None:
        """Drop what is kept of a start of a server that is gone."""
        self._reading_order.forget(start_id)
        self._servers.recent.forget(start_id)
        self._speeds.forget(start_id)

    def describe_servers(self, now: float) -> list[dict[str, Any]]:
        """Return the loads and speeds of the shard's servers for operators."""
        return [self._describe(state, now) for state in self._servers.list_own(now)]

    def _note_read(self, key: GrantKey, now: float, *, is_ended: bool = False) -> bool:
        grant = self._ledger.note_read(*key)
        if grant is None:
            return False
        time = self._reading_order.finish(grant.start_id, key, now)
        state = self._servers.find(grant.start_id)
        # A late report would else keep what is forgotten of a start that is gone.
        if state is not None:
            rate = self._speeds.get_read_rate(self._service, grant.start_id, now)
            tokens = grant.read_tokens
            self._servers.recent.note_read(grant.start_id, tokens, time, rate, now)
        placed = self._placed.get(key)
        if placed is None:
            return True
        if grant.granted_at is not None and not is_ended:
            self.times.note_first_event(placed.kind, now - grant.granted_at)
        if placed.prompt is None:
            if placed.in_flight < placed.slots and grant.granted_at is not None:
                seconds = now - grant.granted_at
                self._speeds.note_run(self._service, grant.start_id, seconds, now)
            return True
        if placed.salt is not None:
            self._reading.remove(grant.start_id, placed.salt, placed.prompt)
        if state is not None and placed.salt and not self._is_local(key.session):
            info = state.info
            self._cache_index.note_read(
                info.id, placed.salt, placed.prompt, now, info.started_ms
            )
        # The end of an answer without a first event is later than that of the reading.
        if time is not None and not is_ended and self._is_alone(grant.start_id, time):
            self._speeds.note_read(self._service, grant.start_id, *time, now)
        return True

    def _is_alone(self, start_id: str, time: ReadingTime) -> bool:
        """Return whether an engine has read little for requests placed by others."""
        others = self._servers.excess.get(start_id).unread_tokens
        return others <= time.tokens * OTHERS_SHARE

    def _note_rejected(
        self, start_id: str, placed: PlacedRequest | None, now: float
    ) -> None:
        if placed is not None:
            # By now some of the others may have ended.
            in_flight, slots = placed.in_flight, placed.slots
            self._capacities.note_rejected(start_id, in_flight, slots, now)
        self._reports.note(
            "placement_conflict",
            service=self._service,
            server=start_id,
            placed=self._ledger.sum_load(start_id).requests,
            others=self._servers.excess.get(start_id).requests,
        )

    def _forget(self, ended: EndedGrant, *, was_sent: bool) -> None:
        """Drop what is kept of a grant.

        :param was_sent: whether an engine may have read some of the prompt.
        """
        key, grant = ended
        placed = self._placed.pop(key, None)
        if grant.is_read:
            return
        self._reading_order.remove(grant.start_id, key, was_sent=was_sent)
        if placed is not None and placed.prompt is not None and placed.salt is not None:
            self._reading.remove(grant.start_id, placed.salt, placed.prompt)

    def _describe(self, state: ServerState, now: float) -> dict[str, Any]:
        start_id = state.info.start_id
        speeds, service = self._speeds, self._service
        limit = self._capacities.get_limit(start_id, now)
        return {
            "id": state.info.id,
            "placed": self._ledger.sum_load(start_id)._asdict(),
            "others": self._servers.excess.get(start_id)._asdict(),
            "read_rate": round(speeds.get_read_rate(service, start_id, now)),
            "work_seconds": round(speeds.get_work_seconds(service, start_id, now), 4),
            "seen_capacity": None if limit is None else round(limit, 1),
        }
