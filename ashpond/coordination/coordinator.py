"""The shards that this instance coordinates, for itself and for its peers."""

from __future__ import annotations

__all__ = ["Coordinator"]

import itertools
from collections.abc import Callable
from typing import Any

import trio

from ashpond.clients.peer import PeerStream, PlacementQuery
from ashpond.clients.placements import (
    PlacementDecision,
    decode_placement_query,
    encode_placement_answer,
)
from ashpond.controllers.directory import ServerTable
from ashpond.coordination.grants import CoordinatorReports, ShardGrants
from ashpond.coordination.outgoing import OutgoingAnswers
from ashpond.coordination.queueing import Queue, Speeds
from ashpond.coordination.sessions import Deliver
from ashpond.coordination.shard import RECHECK_SECONDS, PlacementShard
from ashpond.coordination.shardchoice import ChoiceSources, ShardChooser
from ashpond.coordination.shardservers import ShardServers
from ashpond.decisions.partreading import PartsBeingRead
from ashpond.decisions.placementledger import PlacementLedger
from ashpond.decisions.placementqueue import PlacementQueue
from ashpond.decisions.shardloads import SeenCapacities
from ashpond.decisions.speeds import ServerSpeeds
from ashpond.errors import FrameError
from ashpond.fleet.links import get_peer_name, run_until_end

# Grants are looked at for expiry this often (seconds).
EXPIRY_CHECK_SECONDS = 0.5
# An instance whose requests wait gets an answer at least this often (seconds).
REPEAT_SECONDS = 0.15
# A shard without sessions is kept this long (seconds), with its queue's estimates.
IDLE_SHARD_SECONDS = 10.0
# The latest incarnations that are remembered, and those that a later one has replaced,
# which must not return (entries of each).
MAX_INCARNATIONS = 1_000


class PlacementSession:
    """One incarnation's connection to one shard; see ``sessions.Session``."""

    def __init__(
        self,
        coordinator: Coordinator,
        number: int,
        sender: str,
        shard: PlacementShard,
        names: tuple[str, str],
        deliver: Deliver,
        *,
        is_local: bool,
    ):
        self.number = number
        self.sender = sender
        self.shard = shard
        self.names = names
        self.is_local = is_local
        self.is_closed = False
        self.deliver = deliver
        self.delivered_at = float("-inf")
        # Cancelled at the end of the session, if a connection belongs to it.
        self.scope = trio.CancelScope()
        self._coordinator = coordinator

    def submit(self, query: PlacementQuery) -> None:
        """Handle a query; the answers are delivered, some of them before this returns.

        Does nothing after the end of the session.

        :raises FrameError: if the query is not valid or of another session.
        """
        self._coordinator.handle(self, query)

    def close(self) -> None:
        """End the session and its grants."""
        self._coordinator.close(self)


class Coordinator:
    """The single owner of the state of all shards that this instance coordinates.

    It implements ``sessions.Coordinators``. No method but :meth:`serve` and :meth:`run`
    waits for anything, so that a decision is made on one state.

    :param table: all servers, with the loads that the peers report.
    :param find_domain: returns the failure domain of an instance, None if unknown.
    :param make_queue: returns the queue of a new shard.
    """

    def __init__(
        self,
        table: ServerTable,
        sources: ChoiceSources,
        find_domain: Callable[[str], str | None],
        reports: CoordinatorReports | None = None,
        make_queue: Callable[[], Queue] = PlacementQueue,
        speeds: Speeds | None = None,
    ):
        self._table = table
        self._sources = sources
        self._find_domain = find_domain
        self._reports = reports or CoordinatorReports()
        self._make_queue = make_queue
        self._speeds = speeds or ServerSpeeds()
        self._ledger = PlacementLedger()
        self._capacities = SeenCapacities()
        self._shards: dict[tuple[str, str], PlacementShard] = {}
        self._used_at: dict[tuple[str, str], float] = {}
        self._sessions: dict[int, PlacementSession] = {}
        self._numbers = itertools.count(1)
        self._latest: dict[str, str] = {}
        self._replaced: dict[str, str] = {}
        self._outbox: dict[int, list[PlacementDecision]] = {}
        self._is_leaving = False
        self._wake = trio.Event()

    def open_session(
        self, sender: str, service: str, shard: str, deliver: Deliver
    ) -> PlacementSession:
        """Begin to coordinate a shard for this instance itself.

        A session that can't be opened, as this instance leaves, is closed already.
        """
        return self._open(sender, service, shard, deliver, is_local=True)

    def _open(
        self,
        sender: str,
        service: str,
        shard: str,
        deliver: Deliver,
        *,
        is_local: bool,
    ) -> PlacementSession:
        names = (service, shard)
        session = PlacementSession(
            self,
            next(self._numbers),
            sender,
            self._get_shard(*names),
            names,
            deliver,
            is_local=is_local,
        )
        if self._is_leaving or sender in self._replaced:
            session.is_closed = True
            return session
        self._replace_earlier(sender, names)
        self._sessions[session.number] = session
        self._ledger.open_session(session.number)
        self._wake.set()
        return session

    def _replace_earlier(self, sender: str, names: tuple[str, str]) -> None:
        """Close the sessions that a new one replaces.

        These are the same incarnation's session for the shard, whose connection is
        lost, and all sessions of the instance's earlier incarnations.
        """
        instance = get_peer_name(sender)
        latest = self._latest.pop(instance, sender)
        self._latest[instance] = sender
        if latest != sender:
            self._replaced[latest] = sender
        for session in list(self._sessions.values()):
            is_earlier = session.sender in self._replaced
            if is_earlier or (session.sender, session.names) == (sender, names):
                self.close(session)
        for known in (self._latest, self._replaced):
            while len(known) > MAX_INCARNATIONS:
                known.pop(next(iter(known)))

    def _get_shard(self, service: str, name: str) -> PlacementShard:
        key = (service, name)
        self._used_at[key] = trio.current_time()
        if key in self._shards:
            return self._shards[key]
        servers = ShardServers(
            service, name, self._table, self._ledger, self._capacities, self._speeds
        )
        reading = PartsBeingRead()
        shard = PlacementShard(
            service,
            servers,
            ShardChooser(servers, self._sources, reading),
            ShardGrants(
                service,
                servers,
                self._ledger,
                self._capacities,
                self._speeds,
                reading,
                self._sources.cache_index,
                lambda number: self._sessions[number].is_local,
                self._reports,
            ),
            self._ledger,
            self._make_queue(),
            self._speeds,
            self._answer,
            self._reports,
        )
        self._shards[key] = shard
        return shard

    def _answer(self, session: int, decision: PlacementDecision) -> None:
        self._outbox.setdefault(session, []).append(decision)

    def handle(self, session: PlacementSession, query: PlacementQuery) -> None:
        """Handle a query of a session.

        :raises FrameError: if it is not valid, or of another session.
        """
        if session.is_closed:
            return
        names = (query.service, query.shard)
        if query.sender != session.sender or names != session.names:
            raise FrameError("a placement query of another session")
        asks, held, ended = decode_placement_query(query)
        now = trio.current_time()
        shard, number = session.shard, session.number
        for held_placement in held:
            shard.take_held(number, held_placement, now)
        changed = [shard.note_event(number, entry, now) for entry in ended]
        if any(changed):
            shard.assign(now)
        domain = self._find_domain(get_peer_name(session.sender))
        for ask in asks:
            shard.take_ask(number, ask, domain, now)
        if shard.waiting:
            self._wake.set()
        self._deliver_answers(now)

    def close(self, session: PlacementSession) -> None:
        """End a session, its waiting requests and its grants."""
        if session.is_closed:
            return
        session.is_closed = True
        now = trio.current_time()
        self._used_at[session.names] = now
        session.shard.end_session(session.number)
        del self._sessions[session.number]
        self._outbox.pop(session.number, None)
        session.scope.cancel()
        if not self._is_leaving:
            session.shard.assign(now)
            self._deliver_answers(now)

    def close_all(self) -> None:
        """End all sessions for good, as this instance leaves."""
        self._is_leaving = True
        for session in list(self._sessions.values()):
            self.close(session)

    def assign(self) -> None:
        """Look at all waiting requests again after a change of the servers."""
        now = trio.current_time()
        for shard in self._shards.values():
            shard.note_servers_changed(now)
            shard.assign(now)
        self._deliver_answers(now)

    def _deliver_answers(self, now: float) -> None:
        """Deliver the decisions that were made.

        A receiver may submit a query at once, which makes further ones.
        """
        while self._outbox:
            number, decisions = self._outbox.popitem()
            session = self._sessions.get(number)
            if session is not None:
                session.delivered_at = now
                waits = session.shard.list_waits(now)
                session.deliver(encode_placement_answer(decisions, waits))

    async def serve(self, first: PlacementQuery, stream: PeerStream) -> None:
        """Serve a peer that has connected, beginning with its first query.

        :raises FrameError: if the peer sends an invalid message, or is not served.
        """
        if not get_peer_name(first.sender):
            raise FrameError("a placement query without an incarnation")
        outgoing = OutgoingAnswers()
        session = self._open(
            first.sender, first.service, first.shard, outgoing.put, is_local=False
        )
        reason = "closed here"
        try:
            if session.is_closed:
                raise FrameError("this instance coordinates nothing for the peer")
            if not session.shard.servers.list_own(trio.current_time()):
                raise FrameError("no server of the shard is known here")
            with session.scope:
                reason = await run_until_end(
                    lambda: self._receive(session, first, stream),
                    lambda: outgoing.send_all(stream),
                )
        finally:
            session.close()
        raise FrameError(f"placement session ended: {reason}")

    async def _receive(
        self, session: PlacementSession, first: PlacementQuery, stream: PeerStream
    ) -> None:
        self._reports.note(
            "placement_session",
            peer=session.sender,
            service=first.service,
            shard=first.shard,
            held=len(first.held),
        )
        session.submit(first)
        while True:
            message = await stream.receive()
            if isinstance(message, PlacementQuery):
                session.submit(message)

    async def run(self) -> None:
        """Look at waiting requests and at grants at intervals, until cancelled."""
        expired_at = trio.current_time()
        while True:
            if not self._sessions and not self._shards:
                await self._wait(float("inf"))
            elif any(shard.waiting for shard in self._shards.values()):
                await trio.sleep(RECHECK_SECONDS)
            else:
                await self._wait(EXPIRY_CHECK_SECONDS)
            now = trio.current_time()
            if now - expired_at >= EXPIRY_CHECK_SECONDS:
                expired_at = now
                self._expire(now)
            self._recheck(now)

    async def _wait(self, seconds: float) -> None:
        """Wait for a time, or until something may be waiting."""
        self._wake = trio.Event()
        with trio.move_on_after(seconds):
            await self._wake.wait()

    def _expire(self, now: float) -> None:
        """End old grants, and remove shards that nobody asks for."""
        for ended in self._ledger.expire(now):
            self._sessions[ended.key.session].shard.grants.note_expired(ended)
        self._capacities.expire(now)
        used = {session.names for session in self._sessions.values()}
        for key in self._shards.keys() - used:
            if now - self._used_at[key] > IDLE_SHARD_SECONDS:
                del self._shards[key], self._used_at[key]

    def _recheck(self, now: float) -> None:
        for shard in self._shards.values():
            if shard.waiting:
                shard.assign(now)
                shard.refuse_hopeless(now)
                self._repeat_answers(shard, now)
        self._deliver_answers(now)

    def _repeat_answers(self, shard: PlacementShard, now: float) -> None:
        """Show instances whose requests wait that this coordinator is at work."""
        for key, request in shard.waiting.items():
            session = self._sessions[key.session]
            if now - session.delivered_at >= REPEAT_SECONDS:
                session.delivered_at = now
                self._answer(key.session, shard.describe_queued(request, now))

    def describe(self) -> list[dict[str, Any]]:
        """Return the shards coordinated here, for operators."""
        now = trio.current_time()
        return [
            {
                "service": service,
                "shard": name,
                **self._describe_sessions((service, name)),
                **shard.describe(now),
            }
            for (service, name), shard in sorted(self._shards.items())
        ]

    def _describe_sessions(self, names: tuple[str, str]) -> dict[str, Any]:
        sessions = [s for s in self._sessions.values() if s.names == names]
        return {
            "sessions": sorted(session.sender for session in sessions),
            "grants": sum(self._ledger.count(session.number) for session in sessions),
        }
