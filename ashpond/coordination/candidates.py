"""Find the coordinator of a shard: the first candidate that this instance reaches."""

from __future__ import annotations

__all__ = ["AVOID_SECONDS", "Connect", "Connection", "CoordinatorSearch", "Found"]

import math
from collections.abc import Awaitable, Callable
from typing import TYPE_CHECKING, NamedTuple, Protocol

import trio

from ashpond.clients.peer import PeerMessage, PlacementAnswer, PlacementQuery
from ashpond.coordination.sessions import Coordinators
from ashpond.decisions.fleetlinks import Member
from ashpond.decisions.shards import rank_shard_coordinators
from ashpond.fleet.links import PEER_ERRORS

if TYPE_CHECKING:
    from ashpond.fleet.members import Members
    from ashpond.gateway.decisionlog import DecisionLog

CONNECT_SECONDS = 0.3
# How long a preferred candidate has to end the connection if it does not serve this
# instance (seconds); a handshake and an answer take a few ms.
PROBE_SECONDS = 0.05
# How long an unreachable candidate is not tried again (seconds).
AVOID_SECONDS = 2.0


class Connection(Protocol):
    """A connection to a coordinator, a peer's or this instance's own."""

    async def send(self, message: PlacementQuery) -> None:
        """Send a query."""

    async def receive(self) -> PeerMessage:
        """Return the next message of the coordinator."""

    async def aclose(self) -> None:
        """Close the connection, which ends its grants."""


Connect = Callable[[Member], Awaitable[Connection]]


class Found(NamedTuple):
    """A coordinator by its instance's name, and a new connection to it."""

    name: str
    connection: Connection


class _LocalConnection:
    """A session with the coordinator of this instance."""

    def __init__(
        self, coordinators: Coordinators, sender: str, service: str, shard: str
    ):
        self._answers, self._source = trio.open_memory_channel[PlacementAnswer](
            math.inf
        )
        self._is_closed = False
        self._session = coordinators.open_session(sender, service, shard, self._deliver)

    def _deliver(self, answer: PlacementAnswer) -> None:
        if not self._is_closed:
            self._answers.send_nowait(answer)

    async def send(self, message: PlacementQuery) -> None:
        self._session.submit(message)

    async def receive(self) -> PeerMessage:
        return await self._source.receive()

    async def aclose(self) -> None:
        self._is_closed = True
        self._session.close()


class CoordinatorSearch:
    """Connects to the candidates of one shard in order of preference.

    Each instance chooses by itself. In a network partition, two instances may
    coordinate a shard; servers reject what is too much for them.

    :param sender: the incarnation of this instance.
    :param coordinators: the coordinators at this instance, None if it has none.
    """

    def __init__(
        self,
        sender: str,
        service: str,
        shard: str,
        members: Members,
        log: DecisionLog,
        coordinators: Coordinators | None,
        connect: Connect,
    ):
        self.is_leaving = False
        self._sender = sender
        self._service = service
        self._shard = shard
        self._members = members
        self._log = log
        self._coordinators = coordinators
        self._connect_to = connect
        self._avoided: dict[str, float] = {}
        # The candidates whose loss is logged; one is tried again every 2 s.
        self._lost: set[str] = set()

    @property
    def own_name(self) -> str:
        """The name of this instance."""
        return self._members.own.name

    async def find(self, current: str = "", *, probes: bool = True) -> Found | None:
        """Return the first candidate that can be reached, or None.

        :param current: the present coordinator; only those before it are tried.
        :param probes: whether to make sure that it serves this instance.
        """
        for member in self._list_candidates():
            if member.name == current:
                return None
            connection = await self._connect(member)
            if connection is None:
                continue
            if not probes or await self._is_ready(member, connection):
                self._lost.discard(member.name)
                return Found(member.name, connection)
        return None

    async def _is_ready(self, member: Member, connection: Connection) -> bool:
        """Return whether a candidate serves this instance; close the connection if not.

        An instance that starts, or that runs an older build, ends the connection at the
        first query. All others would leave a working coordinator for it.
        """
        if member.name == self.own_name:
            return True
        probe = PlacementQuery(self._sender, self._service, self._shard, [], [], [])
        try:
            await connection.send(probe)
            with trio.move_on_after(PROBE_SECONDS):
                await connection.receive()
            return True
        except PEER_ERRORS as error:
            self.avoid(member.name, repr(error))
        except BaseException:
            with trio.CancelScope(shield=True):
                await connection.aclose()
            raise
        await connection.aclose()
        return False

    def _list_candidates(self) -> list[Member]:
        """Return the candidates in order of preference, without unreachable ones."""
        own = self._members.own
        members = {**self._members.by_name, own.name: own}
        can_coordinate = self._coordinators is not None and not self.is_leaving
        now = trio.current_time()
        return [
            member
            for member in rank_shard_coordinators(self._service, self._shard, members)
            if self._avoided.get(member.name, 0.0) <= now
            and (can_coordinate or member.name != own.name)
        ]

    async def _connect(self, member: Member) -> Connection | None:
        if member.name == self.own_name and self._coordinators is not None:
            return _LocalConnection(
                self._coordinators, self._sender, self._service, self._shard
            )
        try:
            with trio.fail_after(CONNECT_SECONDS):
                return await self._connect_to(member)
        except PEER_ERRORS as error:
            self.avoid(member.name, repr(error))
        return None

    def avoid(self, name: str, reason: str) -> None:
        """Do not connect to a candidate for some time; log the first time."""
        self._avoided[name] = trio.current_time() + AVOID_SECONDS
        if name in self._lost:
            return
        self._lost.add(name)
        self._log.note(
            "placement_lost",
            coordinator=name,
            service=self._service,
            shard=self._shard,
            reason=reason,
        )
