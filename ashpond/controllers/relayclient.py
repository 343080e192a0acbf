"""Ask peers for tunnels to backend servers that this instance does not reach."""

from __future__ import annotations

__all__ = ["PEER_ERRORS", "RelayClient", "Relayed"]

from collections.abc import Awaitable, Callable
from typing import TYPE_CHECKING, NamedTuple

import trio

from ashpond.clients.channels import Channel
from ashpond.clients.peermessages import TunnelRequest
from ashpond.clients.tunnels import (
    Tunnel,
    TunnelRefusal,
    TunnelState,
    open_tunnel,
)
from ashpond.decisions.relays import RelayRecord, rank_relays
from ashpond.errors import FrameError

if TYPE_CHECKING:
    import random

    from ashpond.controllers.directory import ServerState
    from ashpond.decisions.fleetlinks import Member
    from ashpond.fleet.members import Members
    from ashpond.gateway.decisionlog import DecisionLog

# How long a peer has to open a tunnel, and how many peers are asked for one.
TUNNEL_SECONDS = 0.3
MAX_ASKED = 3
# As many peers that cannot connect either show that the server is gone.
CONFIRMING_PEERS = 2
# How long a peer is not asked that is cut off, lost or busy (seconds).
AVOID_SECONDS = 2.0
BUSY_SECONDS = 0.3
# A peer that leaves so many requests in a row unanswered is avoided.
MAX_UNANSWERED = 2
PEER_ERRORS = (OSError, FrameError, trio.BrokenResourceError, trio.ClosedResourceError)


OpenTunnel = Callable[
    [str, str, TunnelRequest, Callable[[], None]], Awaitable[Tunnel | TunnelRefusal]
]


class Relayed(NamedTuple):
    """The result of asking peers for a tunnel.

    ``is_confirmed`` is whether peers that reach servers could not connect either, or
    there are no peers.
    """

    channel: Channel | None
    is_confirmed: bool


class RelayClient:
    """The peers as relays, and what is known of each.

    :param get_members: returns the instances of the fleet.
    :param count: counts tunnels asked for, by outcome.
    :param open_tunnel: opens a tunnel as :func:`~ashpond.clients.tunnels.open_tunnel`.
    """

    def __init__(
        self,
        get_members: Callable[[], Members],
        log: DecisionLog,
        rng: random.Random,
        count: Callable[[str], None],
        open_tunnel: OpenTunnel = open_tunnel,
    ):
        self._get_members = get_members
        self._log = log
        self._rng = rng
        self._count = count
        self._open_tunnel = open_tunnel
        self._records: dict[str, RelayRecord] = {}

    @property
    def _members(self) -> Members:
        return self._get_members()

    def has_peers(self) -> bool:
        """Return whether there is any peer to ask."""
        return len(self._members.by_name) > 1 and bool(self._members.secret)

    def describe(self) -> dict[str, object]:
        """Return what is known of the peers as relays, for operators."""
        now = trio.current_time()
        return {
            name: {
                "tunnels": record.tunnels,
                "avoided_seconds": round(max(0.0, record.avoid_until - now), 3),
            }
            for name, record in sorted(self._records.items())
        }

    async def open(self, state: ServerState) -> Relayed:
        """Ask peers, one after the other, for a tunnel to a server."""
        unreached: list[RelayRecord] = []
        for member in self._rank()[:MAX_ASKED]:
            outcome = await self._ask(member, state)
            if isinstance(outcome, Channel):
                for record in unreached:
                    # The server is there, so these are cut off themselves.
                    record.avoid_until = trio.current_time() + AVOID_SECONDS
                return Relayed(outcome, is_confirmed=False)
            if outcome in (TunnelState.REFUSED, TunnelState.UNREACHED):
                unreached.append(self._get_record(member))
                if len(unreached) >= CONFIRMING_PEERS:
                    break
        needed = min(CONFIRMING_PEERS, len(self._members.by_name) - 1)
        return Relayed(None, is_confirmed=len(unreached) >= needed)

    async def _ask(self, member: Member, state: ServerState) -> Channel | TunnelState:
        """Ask one peer for a tunnel; a peer that does not answer counts as busy."""
        started_ms = state.info.started_ms
        request = TunnelRequest(
            self._members.own.name,
            state.info.id,
            -1 if started_ms is None else started_ms,
        )
        record = self._get_record(member)
        outcome: Tunnel | TunnelState = TunnelState.BUSY
        avoid_seconds = AVOID_SECONDS
        with trio.move_on_after(TUNNEL_SECONDS):
            try:
                answer = await self._open_tunnel(
                    member.address,
                    self._members.secret,
                    request,
                    lambda: self._note_lost(record),
                )
            except PEER_ERRORS as error:
                self._log.note("relay_unreached", peer=member.name, reason=repr(error))
            else:
                record.tunnels = answer.tunnels
                outcome = answer if isinstance(answer, Tunnel) else answer.state
                avoid_seconds = AVOID_BY_STATE.get(outcome, 0.0)
        now = trio.current_time()
        record.avoid_until = max(record.avoid_until, now + avoid_seconds)
        if not isinstance(outcome, Tunnel):
            self._count(outcome)
            return outcome
        self._count(TunnelState.OPEN)
        record.good_at = now
        return Channel(outcome, relay=member.name)

    def _rank(self) -> list[Member]:
        if not self.has_peers():
            return []
        known = self._members.by_name
        self._records = {n: r for n, r in self._records.items() if n in known}
        return rank_relays(
            known.values(),
            self._members.own,
            self._records,
            trio.current_time(),
            self._rng,
        )

    def _get_record(self, member: Member) -> RelayRecord:
        return self._records.setdefault(member.name, RelayRecord())

    def _note_lost(self, record: RelayRecord) -> None:
        record.avoid_until = trio.current_time() + AVOID_SECONDS

    def note_answered(self, relay: str) -> None:
        """Record that a server has answered through a peer."""
        record = self._records.get(relay)
        if record is not None:
            record.unanswered = 0
            record.good_at = trio.current_time()

    def note_unanswered(self, relay: str) -> bool:
        """Record that no answer came through a peer; return whether it is avoided."""
        record = self._records.get(relay)
        if record is None:
            return False
        record.unanswered += 1
        if record.unanswered < MAX_UNANSWERED:
            return False
        record.unanswered = 0
        self._note_lost(record)
        return True


AVOID_BY_STATE: dict[Tunnel | TunnelState, float] = {
    TunnelState.CUT_OFF: AVOID_SECONDS,
    TunnelState.BUSY: BUSY_SECONDS,
}
