"""Fleets of hundreds of instances, most of which lose all servers, in virtual time."""

from __future__ import annotations

import random
from collections.abc import Callable
from types import SimpleNamespace
from typing import Any, NamedTuple

import trio

from ashpond.clients.channels import Channel, ChannelError
from ashpond.clients.peermessages import TunnelRequest
from ashpond.clients.tunnels import Tunnel, TunnelRefusal, TunnelState
from ashpond.controllers.detours import Detours
from ashpond.controllers.relayclient import RelayClient
from ashpond.decisions.fleetlinks import Member
from ashpond.decisions.relays import find_tunnel_limit
from ashpond.fleet.relaying import RelayServer
from tests.gateway_builders import make_server, make_table

DOMAINS = 4
SERVERS = 40
LINKS_MBPS = (5.0, 25.0, 100.0)
HOP_SECONDS = 0.002
WORK_SECONDS = 0.05
ANSWER_BITS = 32_000
OBJECTIVE_SECONDS = 0.6
HANG_SECONDS = 0.45


class Result(NamedTuple):
    """A request at an instance; ``seconds`` until it was answered or refused."""

    instance: int
    sent_at: float
    seconds: float
    is_served: bool
    has_run: bool


class FleetTunnel(Tunnel):
    """A tunnel without bytes, which its relay counts."""

    def __init__(self, relay: FleetInstance):
        self.relay = relay
        self.is_open = True
        self.tunnels = relay.tunnels = relay.tunnels + 1

    def has_data(self) -> bool:
        return not self.is_open

    def close(self) -> None:
        self.relay.tunnels -= self.is_open
        self.is_open = False


class DirectTransport:
    def has_data(self) -> bool:
        return False

    def close(self) -> None:
        pass


class FleetPool:
    """The direct connections of one instance, which fail while it is cut off."""

    def __init__(self, instance: FleetInstance):
        self._instance = instance
        self._idle: dict[str, list[Channel]] = {}

    async def connect(self, address: str, unacknowledged_ms: int = 0) -> Channel:
        await trio.sleep(HOP_SECONDS)
        if self._instance.is_cut:
            if self._instance.fleet.is_hanging:
                await trio.sleep(HANG_SECONDS)
            is_refused = not self._instance.fleet.is_hanging
            raise ChannelError("cut", is_sent=False, is_refused=is_refused)
        transport: Any = DirectTransport()
        return Channel(transport)

    def take_idle(self, owner: str, request_id: str | None = None) -> Channel | None:
        idle = self._idle.get(owner, [])
        while idle:
            channel = idle.pop()
            if channel.is_open() and (channel.relay or not self._instance.is_cut):
                return channel
        return None

    def release(self, owner: str, channel: Channel) -> None:
        self._idle.setdefault(owner, []).append(channel)

    def count_idle(self, owner: str) -> int:
        return len(self._idle.get(owner, ()))

    def close_idle(self, owner: str) -> None:
        for channel in self._idle.pop(owner, []):
            channel.close()

    def close_relayed(self, relay: str) -> None:
        for owner in list(self._idle):
            kept = [c for c in self._idle[owner] if c.relay != relay]
            for channel in self._idle[owner]:
                if channel.relay == relay:
                    channel.close()
            self._idle[owner] = kept


class FleetInstance:
    """One instance with the product's choice of detours and of relays."""

    def __init__(self, fleet: DetourFleet, number: int):
        self.fleet = fleet
        self.number = number
        link = LINKS_MBPS[number % len(LINKS_MBPS)]
        domain = f"d{number * DOMAINS // fleet.count}"
        self.member = Member(f"i{number}", f"10.0.0.1:{number + 1}", domain, link)
        self.is_cut = False
        self.is_down = False
        self.tunnels = 0
        self.most_tunnels = 0
        self.events: list[tuple[float, str]] = []
        self.table = make_table(*(make_server(f"s{n}") for n in range(SERVERS)))
        self._link_free_at = 0.0
        log: Any = SimpleNamespace(note=self._note)
        members: Any = SimpleNamespace(
            own=self.member, by_name=fleet.members, secret="s"
        )
        rng = random.Random(number)
        client = RelayClient(
            lambda: members, log, rng, lambda outcome: None, fleet.open_tunnel
        )
        pool: Any = FleetPool(self)
        self.detours = Detours(pool, self.table, client, log, rng)
        self.server = RelayServer(
            self.table,
            log,
            lambda: self.detours.is_cut_off,
            lambda: False,
            self.detours.note_unreached,
            lambda outcome: None,
            find_tunnel_limit(link),
        )

    def _note(self, event: str, **fields: object) -> None:
        self.events.append((trio.current_time(), event))

    def find_refusal(self, request: TunnelRequest) -> TunnelState | None:
        """Return why this instance relays nothing now."""
        if self.tunnels >= find_tunnel_limit(self.member.link_mbps):
            return TunnelState.BUSY
        state = self.table.by_id[request.server_id]
        refusal = self.server.find_refusal(state, request.started_ms)
        if refusal is None and self.is_cut:
            self.detours.note_unreached(state)
            return TunnelState.REFUSED
        return refusal

    async def transfer(self, bits: int) -> None:
        """Wait until this instance's link has carried so many bits."""
        now = trio.current_time()
        seconds = bits / (self.member.link_mbps * 1e6)
        self._link_free_at = max(now, self._link_free_at) + seconds
        await trio.sleep(self._link_free_at - now)

    async def ask(self, server_id: str) -> Result:
        """Serve one request; return its result."""
        sent_at = trio.current_time()
        is_served, has_run = False, False
        for _ in range(3):
            state = self.table.by_id[server_id]
            try:
                channel = await self.detours.acquire(
                    state.owner, state.info.address, is_repeatable=True
                )
            except ChannelError:
                server_id = self.fleet.rng.choice(list(self.table.by_id))
                continue
            has_run = True
            await trio.sleep(WORK_SECONDS)
            if channel.relay:
                await self.fleet.by_name[channel.relay].transfer(2 * ANSWER_BITS)
            await self.transfer(ANSWER_BITS)
            self.detours.note_answered(channel, None)
            self.detours.release(state.owner, channel)
            is_served = True
            break
        seconds = trio.current_time() - sent_at
        return Result(self.number, sent_at, seconds, is_served, has_run)


class DetourFleet:
    def __init__(self, count: int, *, is_hanging: bool = False):
        self.count = count
        self.is_hanging = is_hanging
        self.rng = random.Random(count)
        self.members: dict[str, Member] = {}
        self.instances = [FleetInstance(self, number) for number in range(count)]
        self.by_name = {i.member.name: i for i in self.instances}
        self.by_address = {i.member.address: i for i in self.instances}
        self.members.update({i.member.name: i.member for i in self.instances})
        self.results: list[Result] = []

    async def open_tunnel(
        self,
        address: str,
        secret: str,
        request: TunnelRequest,
        on_lost: Callable[[], None],
    ) -> Tunnel | TunnelRefusal:
        relay = self.by_address[address]
        await trio.sleep(4 * HOP_SECONDS)
        if relay.is_down:
            raise OSError("refused")
        refusal = relay.find_refusal(request)
        if refusal is not None:
            return TunnelRefusal(refusal, relay.tunnels)
        tunnel = FleetTunnel(relay)
        relay.most_tunnels = max(relay.most_tunnels, relay.tunnels)
        return tunnel

    async def run(
        self, seconds: float, per_second: float, play: Callable[[], Any]
    ) -> None:
        """Send requests to all instances, ``per_second`` each, while ``play`` runs."""
        async with trio.open_nursery() as nursery:
            for instance in self.instances:
                nursery.start_soon(instance.detours.run)
            async with trio.open_nursery() as clients:
                clients.start_soon(play)
                for instance in self.instances:
                    clients.start_soon(self._send, instance, seconds, per_second)
            nursery.cancel_scope.cancel()

    async def _send(
        self, instance: FleetInstance, seconds: float, per_second: float
    ) -> None:
        async with trio.open_nursery() as nursery:
            until = trio.current_time() + seconds
            while trio.current_time() < until:
                await trio.sleep(self.rng.expovariate(per_second))
                nursery.start_soon(self._ask, instance)

    async def _ask(self, instance: FleetInstance) -> None:
        server_id = f"s{self.rng.randrange(SERVERS)}"
        self.results.append(await instance.ask(server_id))
