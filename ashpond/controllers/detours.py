"""Connections to backend servers, through a peer if this instance is cut off."""

from __future__ import annotations

__all__ = ["Detours"]

from typing import TYPE_CHECKING

import trio

from ashpond.clients.channelpools import ChannelPool, ConnectResult
from ashpond.clients.channels import Channel, ChannelError
from ashpond.clients.liveness import PATIENT_UNACKNOWLEDGED_MS
from ashpond.clients.tunnels import Tunnel
from ashpond.controllers.contactdoubts import DoubtResolver
from ashpond.controllers.directconnection import DirectConnection, probe_servers
from ashpond.controllers.relayclient import PEER_ERRORS, RelayClient, Relayed
from ashpond.controllers.silencewatch import SilenceWatch
from ashpond.decisions.contact import ContactMonitor, PeerContact

if TYPE_CHECKING:
    import random

    from ashpond.controllers.directory import ServerState, ServerTable
    from ashpond.gateway.decisionlog import DecisionLog

# A peer is asked when a direct connection takes this long; it mostly takes a few ms.
HEDGE_SECONDS = 0.1
# How long a repeatable request of an instance that is cut off waits for a direct
# connection if no peer relays (seconds).
STRAIGHT_SECONDS = 0.1
# How long a server that only a peer could reach gets no direct connections (seconds).
DETOUR_SECONDS = 1.0
# How often connections are tried while this instance is cut off (seconds).
PROBE_SECONDS = 0.5
# The most tunnels that an instance keeps while no request uses them.
MAX_IDLE_TUNNELS = 6
# Without any byte for so long, an answer is late, not broken off (seconds).
LATE_SECONDS = 0.05
# What follows the owner of a server's direct connections in that of its tunnels.
TUNNEL_OWNER = " by relay"


class Detours:
    """The connections for calls to backend servers.

    Has the methods of a :class:`~ashpond.clients.channelpools.ChannelPool` that calls
    need. Orders to engines and reads of their state never take a detour: they concern
    the instance that sends them.

    :param doubts: decides whether late answers show a partition; without it they are
        evidence like any other failure.
    """

    def __init__(
        self,
        pool: ChannelPool,
        table: ServerTable,
        relays: RelayClient,
        log: DecisionLog,
        rng: random.Random,
        doubts: DoubtResolver | None = None,
    ):
        self.contact = ContactMonitor(rng)
        self.watch = SilenceWatch(self._note_silence)
        self._doubts = doubts
        if doubts is not None:
            doubts.contact = self.contact
        self._pool = pool
        self._table = table
        self._relays = relays
        self._log = log
        self._rng = rng
        self._detoured_until: dict[str, float] = {}
        # The owners of idle tunnels, in the order of their last use.
        self._idle_tunnels: list[str] = []
        # Whether the last connection that failed was refused, and did not hang.
        self._fails_fast = False
        self._probes_needed = trio.Event()
        self._nursery: trio.Nursery | None = None

    @property
    def is_cut_off(self) -> bool:
        """Whether this instance seems to reach no backend server."""
        return self.contact.is_cut_off

    def describe(self) -> dict[str, object]:
        """Return the state for operators."""
        now = trio.current_time()
        return {
            "cut_off": self.is_cut_off,
            "failed_servers": self.contact.list_failed(),
            "detoured": sorted(
                _get_server_id(owner)
                for owner, until in self._detoured_until.items()
                if now < until
            ),
            "relays": self._relays.describe(),
        }

    async def run(self) -> None:
        """Probe the servers while this instance is cut off, until cancelled."""
        async with trio.open_nursery() as nursery:
            self._nursery = nursery
            nursery.start_soon(self.watch.run)
            while True:
                await self._probes_needed.wait()
                self._probes_needed = trio.Event()
                while self.is_cut_off:
                    states = list(self._table.by_id.values())
                    is_open = await probe_servers(self._pool, states, self._rng)
                    self.contact.note_probe(is_reachable=is_open)
                    await trio.sleep(PROBE_SECONDS * self._rng.uniform(0.7, 1.3))

    async def acquire(
        self,
        owner: str,
        address: str,
        *,
        is_repeatable: bool,
        request_id: str | None = None,
    ) -> Channel:
        """Return an idle or a new connection to a server, if need be through a peer.

        :param is_repeatable: whether the call may run again if this attempt fails.
        :param request_id: as for :meth:`ChannelPool.take_idle`.
        :raises ChannelError: if there is none; nothing was sent.
        """
        now = trio.current_time()
        if self.is_cut_off:
            if self.contact.begin_trial(now, is_repeatable=is_repeatable):
                return await self._try_directly(owner, address)
            return await self._acquire_while_cut_off(
                owner, address, request_id, is_repeatable=is_repeatable
            )
        channel = self._pool.take_idle(owner, request_id)
        if channel is None and now < self._detoured_until.get(owner, 0.0):
            channel = await self._acquire_tunnel(owner, request_id)
        return channel or await self._connect(owner, address)

    async def _try_directly(self, owner: str, address: str) -> Channel:
        channel: Channel | None = None
        try:
            channel = await self._connect(owner, address)
            return channel
        finally:
            if channel is None:
                self.contact.end_trial()

    async def _acquire_while_cut_off(
        self, owner: str, address: str, request_id: str | None, *, is_repeatable: bool
    ) -> Channel:
        channel = await self._acquire_tunnel(owner, request_id)
        if channel is not None:
            return channel
        if self._fails_fast or not self._relays.has_peers():
            return await self._connect_directly(owner, address)
        if is_repeatable:
            # If all servers of one service have crashed, those of others answer.
            with trio.move_on_after(STRAIGHT_SECONDS):
                return await self._connect_directly(owner, address)
        # The request would wait in vain, or its outcome would be unknown.
        reason = "this instance is cut off, and no peer relays"
        raise ChannelError(reason, is_sent=False, is_own_fault=True)

    async def _acquire_tunnel(
        self, owner: str, request_id: str | None
    ) -> Channel | None:
        key = owner + TUNNEL_OWNER
        idle = self._pool.take_idle(key, request_id)
        is_kept = idle is None and self._pool.count_idle(key) > 0
        if key in self._idle_tunnels and not is_kept:
            self._idle_tunnels.remove(key)
        return idle or (await self._open_tunnel(owner)).channel

    async def _open_tunnel(self, owner: str) -> Relayed:
        state = self._find_state(owner)
        if state is None:
            return Relayed(None, is_confirmed=True)
        return await self._relays.open(state)

    async def _connect(self, owner: str, address: str) -> Channel:
        """Connect directly, and through a peer if that fails or takes long.

        :raises ChannelError: if neither succeeds.
        """
        if not self._relays.has_peers():
            return await self._connect_directly(owner, address)
        direct = DirectConnection()
        relayed = Relayed(None, is_confirmed=True)
        async with trio.open_nursery() as nursery:
            nursery.start_soon(direct.open, lambda: self._connect_once(owner, address))
            with trio.move_on_after(HEDGE_SECONDS):
                await direct.done.wait()
            if direct.channel is None:
                relayed = await self._open_tunnel(owner)
            if relayed.channel is None:
                await direct.done.wait()
            nursery.cancel_scope.cancel()
        if direct.channel is not None:
            if relayed.channel is not None:
                relayed.channel.close()
            return direct.channel
        if relayed.channel is not None:
            self._begin_detour(owner, direct.error)
            return relayed.channel
        assert direct.error is not None
        raise self._judge_failure(owner, direct.error, relayed.is_confirmed)

    async def _connect_directly(self, owner: str, address: str) -> Channel:
        try:
            return await self._connect_once(owner, address)
        except ChannelError as error:
            raise self._judge_failure(owner, error, is_confirmed=True) from error

    async def _connect_once(self, owner: str, address: str) -> Channel:
        channel = await self._pool.connect(address, PATIENT_UNACKNOWLEDGED_MS)
        state = self._find_state(owner)
        if state is not None:
            state.was_reached = True
        return channel

    def _judge_failure(
        self, owner: str, error: ChannelError, is_confirmed: bool
    ) -> ChannelError:
        """Return the error of a failed connection, with whose fault it seems to be."""
        now = trio.current_time()
        self._fails_fast = error.is_refused
        self._note_failure(owner, now, now, is_unreached=True)
        if not self._relays.has_peers():
            return error
        if is_confirmed and not self.is_cut_off:
            return error
        return ChannelError(str(error), is_sent=False, is_own_fault=True)

    def _begin_detour(self, owner: str, error: ChannelError | None) -> None:
        """Record that a peer reaches a server that this instance does not reach."""
        now = trio.current_time()
        self._fails_fast = error is not None and error.is_refused
        if not self._fails_fast:
            # Packets are lost, so the open connections are probably dead as well.
            self._pool.close_idle(owner)
        if now >= self._detoured_until.get(owner, 0.0):
            self._log.note(
                "server_detoured",
                server=_get_server_id(owner),
                reason="slow" if error is None else str(error),
            )
        current = {o: u for o, u in self._detoured_until.items() if u > now}
        current[owner] = now + DETOUR_SECONDS * self._rng.uniform(0.7, 1.3)
        self._detoured_until = current
        self._note_failure(owner, now, now)

    def _find_state(self, owner: str) -> ServerState | None:
        state = self._table.by_id.get(_get_server_id(owner))
        return state if state is not None and state.owner == owner else None

    def note_answered(self, channel: Channel, backoff: float | None) -> None:
        """Record that the head of an answer has arrived.

        :param backoff: the time for which the server wants no requests (seconds).
        """
        if not channel.relay:
            self.watch.remove(channel)
            self.note_reached()
            return
        self._relays.note_answered(channel.relay)
        if backoff is not None and self._nursery is not None:
            self._nursery.start_soon(self._pass_on_backoff, channel, backoff)

    def note_reached(self) -> None:
        """Record that a server has answered this instance straight."""
        if self.contact.note_answer(trio.current_time()):
            self._detoured_until.clear()
            self._log.note("servers_regained")

    async def _pass_on_backoff(self, channel: Channel, seconds: float) -> None:
        """Tell the relay: the server counts the request as that instance's."""
        assert isinstance(channel.transport, Tunnel)
        try:
            await channel.transport.send_backoff(seconds)
        except PEER_ERRORS as error:
            reason = repr(error)
            self._log.note("relay_unreached", peer=channel.relay, reason=reason)

    def note_unanswered(self, owner: str, channel: Channel, sent_at: float) -> None:
        """Record that an answer did not come, or broke off.

        :param sent_at: since when nothing has come from the server.
        """
        if not channel.relay:
            is_known = self.watch.remove(channel)
            now = trio.current_time()
            is_late = now - sent_at >= LATE_SECONDS
            if not (is_known and is_late):
                self._note_failure(owner, sent_at, now, is_late=is_late)
        elif self._relays.note_unanswered(channel.relay):
            self._pool.close_relayed(channel.relay)

    def note_unreached(self, state: ServerState) -> None:
        """Record that this instance could not connect to a server for a peer."""
        now = trio.current_time()
        self._note_failure(state.owner, now, now, is_unreached=True)

    def note_unused(self, channel: Channel) -> None:
        """Record that a connection has shown nothing, as its attempt has ended."""
        if not channel.relay:
            self.watch.remove(channel)
            self.contact.end_trial()

    def note_sent(self, owner: str, channel: Channel, silent_seconds: float) -> None:
        """Record that a request has been sent.

        :param silent_seconds: after what time without an answer it counts as silent.
        """
        if not channel.relay and self._relays.has_peers():
            self.watch.add(channel, owner, trio.current_time(), silent_seconds)

    def describe_contact(self) -> PeerContact:
        """Return what this instance reports to peers of its contact to the servers."""
        now = trio.current_time()
        return self.contact.describe(now, self.watch.measure_longest_wait(now))

    def _note_silence(self, owner: str, sent_at: float) -> None:
        self._note_failure(owner, sent_at, trio.current_time(), is_late=True)

    def _note_failure(
        self,
        owner: str,
        sent_at: float,
        now: float,
        *,
        is_late: bool = False,
        is_unreached: bool = False,
    ) -> None:
        """Record a failure as evidence of a partition.

        :param is_unreached: whether no peer that was asked has connected to the server.
        """
        is_doubtful = is_late and self._doubts is not None
        state = self._find_state(owner)
        if self.contact.note_failure(
            _get_server_id(owner),
            sent_at,
            now,
            is_late=is_doubtful,
            may_be_gone=is_unreached and state is not None and not state.was_reached,
        ):
            self._begin_cut_off()
        elif self.contact.is_doubtful and self._nursery is not None:
            self._nursery.start_soon(self._resolve_doubt)

    async def _resolve_doubt(self) -> None:
        assert self._doubts is not None
        if await self._doubts.resolve():
            self._begin_cut_off()

    def _begin_cut_off(self) -> None:
        self._log.note("servers_cut_off", servers=self.contact.list_failed())
        self._probes_needed.set()
        if self._nursery is not None and self._doubts is not None:
            self._nursery.start_soon(self._doubts.check_contact, self.note_reached)

    async def check(self, owner: str, address: str) -> ConnectResult:
        """Check whether a server is up; it is not gone while a peer reaches it."""
        result = await self._pool.check(owner, address)
        if result is not ConnectResult.REFUSED or not self._relays.has_peers():
            return result
        relayed = await self._open_tunnel(owner)
        if relayed.channel is not None:
            self._pool.keep(owner + TUNNEL_OWNER, relayed.channel)
            return ConnectResult.CONNECTED
        is_gone = relayed.is_confirmed and not self.is_cut_off
        return ConnectResult.REFUSED if is_gone else ConnectResult.REFUSED_HERE

    def release(self, owner: str, channel: Channel) -> None:
        """Return a connection after a complete exchange.

        Few tunnels are kept, as each takes the room of a relay also while it is idle.
        """
        if not channel.relay:
            self._pool.release(owner, channel)
            return
        key = owner + TUNNEL_OWNER
        self._pool.release(key, channel)
        self._idle_tunnels.append(key)
        if len(self._idle_tunnels) > MAX_IDLE_TUNNELS:
            self._pool.close_idle(self._idle_tunnels.pop(0))

    def close_idle(self, owner: str) -> None:
        """Close the idle connections to a server, direct ones and tunnels."""
        self._pool.close_idle(owner)
        self._pool.close_idle(owner + TUNNEL_OWNER)


def _get_server_id(owner: str) -> str:
    """Return the id of the server that an owner key begins with."""
    return owner.partition(" ")[0]
