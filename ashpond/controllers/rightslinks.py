"""Connections to peers over which rights to retry are granted."""

from __future__ import annotations

__all__ = ["NeededRights", "RightsLinks"]

import math
import secrets
from collections.abc import Callable, Mapping, Sequence
from typing import TYPE_CHECKING, Any, NamedTuple

import msgspec
import trio

from ashpond.bounds import Count
from ashpond.clients.fields import convert_list
from ashpond.clients.peer import PeerStream, connect_peer
from ashpond.clients.peermessages import RetryRightsAnswer, RetryRightsQuery
from ashpond.decisions.retryrights import GrantId
from ashpond.errors import FrameError
from ashpond.fleet.links import PEER_ERRORS

if TYPE_CHECKING:
    import random

    from ashpond.controllers.coordinatorlink import Connect
    from ashpond.decisions.fleetlinks import Member
    from ashpond.fleet.members import Members
    from ashpond.gateway.decisionlog import DecisionLog

INCARNATION_BYTES = 4
MAX_FRAME_BYTES = 1 << 16
# The most peers that are asked in one round.
ASKED_PEERS = 8
# How long a round waits for a peer's answer, with its connection (seconds).
ANSWER_SECONDS = 0.25
# How long a peer is not asked after it has granted nothing, or has not answered
# (seconds).
POOR_SECONDS = 0.3
UNREACHED_SECONDS = 1.0
# How long a connection without queries stays open (seconds).
IDLE_SECONDS = 5.0

NeededRights = dict[str, int]
ReturnedRights = Sequence[tuple[str, GrantId, int]]
# Gets a service, the grant's id, the number of rights and when they were asked for.
Receive = Callable[[str, GrantId, int, float], None]
# Gets a service, the grant's id and the number wanted, and returns how many it grants.
GrantRights = Callable[[str, GrantId, int], int]
# Gets a service, the grant's id and the number of rights that come back.
TakeBack = Callable[[str, GrantId, int], None]


class _Returned(NamedTuple):
    service: str
    number: Count
    amount: Count


class _PeerLink:
    """The connection to one peer, and when it may be asked again."""

    def __init__(self) -> None:
        self.stream: PeerStream | None = None
        self.avoid_until = float("-inf")
        self.used_at = float("-inf")


class RightsLinks:
    """Asks peers for rights and answers those that ask.

    A query without an answer in time ends its connection: an answer that comes later
    would be for rights that have expired.

    :param connect: opens a connection to a peer, by default to its address.
    """

    def __init__(
        self,
        get_members: Callable[[], Members],
        log: DecisionLog,
        rng: random.Random,
        connect: Connect | None = None,
    ):
        self._get_members = get_members
        self._log = log
        self._rng = rng
        self._connect = connect or self._connect_by_address
        self._incarnation_key = secrets.token_hex(INCARNATION_BYTES)
        self._links: dict[str, _PeerLink] = {}
        self._number = 0

    def can_ask(self) -> bool:
        """Return whether any peer may be asked now."""
        now = trio.current_time()
        return any(self._may_ask(member, now) for member in self._list_peers())

    def _list_peers(self) -> list[Member]:
        members = self._get_members()
        own = members.own.name
        return [member for member in members.by_name.values() if member.name != own]

    def _may_ask(self, member: Member, now: float) -> bool:
        link = self._links.get(member.name)
        return link is None or link.avoid_until <= now

    async def ask(
        self, needed: NeededRights, returned: ReturnedRights, receive: Receive
    ) -> int:
        """Ask some peers for what is needed; return how many rights they granted.

        :param returned: received rights that have expired, given back to their peers.
        """
        now = trio.current_time()
        peers = {member.name: member for member in self._list_peers()}
        asked = [m for m in peers.values() if needed and self._may_ask(m, now)]
        self._rng.shuffle(asked)
        asked = asked[:ASKED_PEERS]
        wanted = {
            name: math.ceil(count / len(asked))
            for name, count in needed.items()
            if asked
        }
        returns = self._group_returns(returned)
        names = dict.fromkeys([m.name for m in asked] + list(returns))
        granted: list[int] = []

        async def ask_one(member: Member, is_asked: bool) -> None:
            query = self._make_query(
                wanted if is_asked else {}, returns.get(member.name, [])
            )
            granted.append(await self._query(member, query, receive))

        async with trio.open_nursery() as nursery:
            asked_names = {member.name for member in asked}
            for name in names:
                if name in peers:
                    nursery.start_soon(ask_one, peers[name], name in asked_names)
        await self._close_idle(peers)
        return sum(granted)

    def _group_returns(
        self, returned: ReturnedRights
    ) -> dict[str, list[tuple[str, int, int]]]:
        returns: dict[str, list[tuple[str, int, int]]] = {}
        for service, (peer, number), count in returned:
            returns.setdefault(peer, []).append((service, number, count))
        return returns

    def _make_query(
        self, wanted: NeededRights, returned: Sequence[tuple[str, int, int]]
    ) -> RetryRightsQuery:
        self._number += 1
        own = self._get_members().own.name
        return RetryRightsQuery(
            f"{own}#{self._incarnation_key}",
            self._number,
            wanted,
            [list(entry) for entry in returned],
        )

    async def _query(
        self, member: Member, query: RetryRightsQuery, receive: Receive
    ) -> int:
        """Send a query to a peer; return how many rights it has granted."""
        link = self._links.setdefault(member.name, _PeerLink())
        asked_at = link.used_at = trio.current_time()
        granted: Mapping[str, int] | None = None
        try:
            with trio.move_on_after(ANSWER_SECONDS):
                granted = await self._exchange(link, member, query)
        except PEER_ERRORS as error:
            self._log.note("retry_rights_lost", peer=member.name, reason=repr(error))
        now = trio.current_time()
        if granted is None:
            link.avoid_until = now + UNREACHED_SECONDS
            await _close(link)
            return 0
        for service, count in granted.items():
            receive(service, (member.name, query.number), count, asked_at)
        total = sum(granted.values())
        if query.wanted and not total:
            link.avoid_until = now + POOR_SECONDS
        return total

    async def _exchange(
        self, link: _PeerLink, member: Member, query: RetryRightsQuery
    ) -> Mapping[str, int]:
        if link.stream is None:
            link.stream = await self._connect(member)
        await link.stream.send(query)
        answer = await link.stream.receive()
        if not isinstance(answer, RetryRightsAnswer):
            raise FrameError("expected rights to retry")
        return _decode_counts(answer.granted)

    async def _close_idle(self, peers: Mapping[str, Member]) -> None:
        since = trio.current_time() - IDLE_SECONDS
        for name, link in list(self._links.items()):
            if name not in peers or link.used_at < since:
                del self._links[name]
                await _close(link)

    async def serve(
        self,
        first: RetryRightsQuery,
        stream: PeerStream,
        grant: GrantRights,
        take_back: TakeBack,
    ) -> None:
        """Answer a peer until its connection ends.

        :raises FrameError: if the peer sends an invalid message.
        """
        message: Any = first
        while True:
            if isinstance(message, RetryRightsQuery):
                await stream.send(self._answer(message, grant, take_back))
            message = await stream.receive()

    def _answer(
        self, query: RetryRightsQuery, grant: GrantRights, take_back: TakeBack
    ) -> RetryRightsAnswer:
        try:
            returned = convert_list(query.returned, _Returned)
        except ValueError as error:
            raise FrameError(f"invalid returned rights: {error!r}") from error
        for entry in returned:
            take_back(entry.service, (query.sender, entry.number), entry.amount)
        granted = {
            service: grant(service, (query.sender, query.number), count)
            for service, count in _decode_counts(query.wanted).items()
        }
        return RetryRightsAnswer(granted)

    async def _connect_by_address(self, member: Member) -> PeerStream:
        secret = self._get_members().secret
        return await connect_peer(member.address, secret, MAX_FRAME_BYTES)


def _decode_counts(values: dict[str, Any]) -> dict[str, int]:
    """Return the numbers of rights by service.

    :raises FrameError: if they are not valid.
    """
    try:
        return msgspec.convert(values, dict[str, Count])
    except ValueError as error:
        raise FrameError(f"invalid rights to retry: {error!r}") from error


async def _close(link: _PeerLink) -> None:
    """Close the connection of a link, if there is one."""
    stream, link.stream = link.stream, None
    if stream is not None:
        with trio.CancelScope(shield=True):
            await stream.aclose()
