"""Build fleets of instances that ask each other for allowances, in virtual time."""

from __future__ import annotations

import math
import random
from collections import deque
from typing import NamedTuple

import trio
import trio.testing

from ashpond.clients.peer import AllowanceAsk, PeerStream
from ashpond.controllers.allowancegrants import AllowanceGrant
from ashpond.controllers.allowances import Allowances
from ashpond.decisions.allowances import Allowance, AllowanceBounds, AllowanceUnit
from ashpond.decisions.declared import Declaration, Team
from ashpond.decisions.fleetlinks import Member
from ashpond.gateway.decisionlog import DecisionLog
from ashpond.news.links import await_end
from ashpond.outcomes import Refusal
from tests.gateway_builders import KEY, make_declaration, make_server, make_table

BOUNDS = AllowanceBounds(8.0, 0.1, 110_000.0)
LIMIT = Allowance(125_000.0, 125_000.0, AllowanceUnit.TOKENS, 200)
MAX_FRAME_BYTES = 1 << 20
# A server that all instances know.
LIMITED = "s1"
LAG_SECONDS = 0.002
DOMAINS = 4
# Requests and their shares: long prompts, short ones, and a few of the longest.
SIZES = ((9_200, 0.36), (860, 0.63), (50_000, 0.01))
MEAN_SIZE = sum(size * share for size, share in SIZES)


class Use(NamedTuple):
    """One request of a client, and what became of it."""

    at: float
    cost: int
    status: int
    waited: float
    instance: str


class Wire:
    """One direction of a connection, which holds what is sent while it is cut."""

    def __init__(self, fleet: Fleet, ends: tuple[str, str]):
        self._fleet = fleet
        self._ends = ends
        self._pieces: deque[tuple[float, bytes]] = deque()
        self._news = trio.Event()

    def put(self, data: bytes) -> None:
        self._pieces.append((trio.current_time() + LAG_SECONDS, data))
        self._news.set()

    async def carry(self, target: trio.abc.SendStream) -> None:
        while True:
            await self._news.wait()
            self._news = trio.Event()
            while self._pieces:
                at, data = self._pieces.popleft()
                await trio.sleep_until(at)
                await self._fleet.wait_for_path(*self._ends)
                await target.send_all(data)


class FleetStream(trio.abc.Stream):
    """One end of a connection."""

    def __init__(self, wire: Wire, source: trio.abc.ReceiveStream):
        self._wire = wire
        self._source = source
        self.closed = trio.Event()

    async def send_all(self, data: bytes | bytearray | memoryview) -> None:
        await trio.lowlevel.checkpoint()
        if self.closed.is_set():
            raise trio.BrokenResourceError
        self._wire.put(bytes(data))

    async def wait_send_all_might_not_block(self) -> None:
        await trio.lowlevel.checkpoint()

    async def receive_some(self, max_bytes: int | None = None) -> bytes:
        return bytes(await self._source.receive_some(max_bytes))

    async def aclose(self) -> None:
        self.closed.set()
        await self._source.aclose()


class FleetMembers:
    """The instances there are, as one of them knows."""

    def __init__(self, own: Member, by_name: dict[str, Member]):
        self.own = own
        self.by_name = by_name
        self.secret = "s" * 48

    def count(self) -> int:
        return max(1, len(self.by_name))


class FleetInstance:
    """One life of an instance: the real controllers, before scripted connections."""

    def __init__(self, fleet: Fleet, member: Member):
        self.name = member.name
        self.scope = trio.CancelScope()
        self.knows_at = trio.current_time() + fleet.start_seconds
        self.members = FleetMembers(member, fleet.members)
        self.table = make_table(make_server(LIMITED))
        self.allowances = Allowances(
            self.members,  # type: ignore[arg-type]
            DecisionLog(member.name),
            lambda: self.find_declaration(fleet),
            lambda: BOUNDS,
            lambda team, cost, is_granted: None,
            random.Random(member.name),
            lambda peer: fleet.connect(member.name, peer),
            self.table.find_rate_limit,
            self.table.has_limits,
        )

    def find_declaration(self, fleet: Fleet) -> Declaration | None:
        """Return the configuration, once this life has read it."""
        is_known = trio.current_time() >= self.knows_at
        return fleet.find_declaration(self.name) if is_known else None

    async def run(self) -> None:
        with self.scope:
            await self.allowances.run()


class Fleet:
    """Instances in failure domains, which may be cut off, end and begin anew."""

    def __init__(self, nursery: trio.Nursery, count: int, seed: int = 1):
        self.nursery = nursery
        self.rng = random.Random(seed)
        self.members: dict[str, Member] = {}
        self.instances: dict[str, FleetInstance] = {}
        self.cut: set[str] = set()
        self.limit = LIMIT
        # From the start of a life until it knows the configuration.
        self.start_seconds = 0.0
        self.version = 1
        self.unaware: dict[str, Allowance] = {}
        self._declarations: dict[tuple[bool, Allowance], Declaration] = {}
        self.uses: list[Use] = []
        self._healed = trio.Event()
        for _ in range(count):
            self.join()

    def join(self) -> None:
        number = len(self.members)
        name = f"i{number}"
        # A few machines have wide links.
        width = 200.0 if number % 11 < 1 else 10.0
        self.members[name] = Member(name, "127.0.0.1:1", f"d{number % DOMAINS}", width)
        self.start(name)

    def start(self, name: str) -> None:
        """Begin a life of an instance that knows nothing of what was before."""
        instance = self.instances[name] = FleetInstance(self, self.members[name])
        self.nursery.start_soon(instance.run)

    async def end(self, names: list[str], seconds: float) -> None:
        """End instances and start them anew."""
        for name in names:
            self.instances.pop(name).scope.cancel()
        await trio.sleep(seconds)
        for name in names:
            self.start(name)

    async def cut_off(self, names: list[str], seconds: float) -> None:
        """Cut instances off from all others, and from each other."""
        self.cut |= set(names)
        await trio.sleep(seconds)
        self.cut -= set(names)
        self._healed.set()
        self._healed = trio.Event()

    def find_declaration(self, name: str) -> Declaration:
        limit = self.unaware.get(name, self.limit)
        key = name in self.unaware, limit
        if key not in self._declarations:
            version = 1 if name in self.unaware else self.version
            teams = {KEY: Team("desk", allowance=limit)}
            declaration = make_declaration(version=version, teams_by_key=teams)
            self._declarations[key] = declaration
        return self._declarations[key]

    async def wait_for_path(self, sender: str, receiver: str) -> None:
        while sender in self.cut or receiver in self.cut:
            await self._healed.wait()

    async def connect(self, sender: str, peer: Member) -> PeerStream:
        await trio.sleep(LAG_SECONDS * 2)
        await self.wait_for_path(sender, peer.name)
        server = self.instances.get(peer.name)
        if server is None:
            raise OSError("refused")
        near, far = trio.testing.memory_stream_pair()
        there = Wire(self, (sender, peer.name))
        back = Wire(self, (peer.name, sender))
        here = FleetStream(there, near)
        remote = FleetStream(back, far)
        self.nursery.start_soon(self._serve, server, there, back, here, remote)
        return PeerStream(here, "", MAX_FRAME_BYTES)

    async def _serve(
        self,
        server: FleetInstance,
        there: Wire,
        back: Wire,
        here: FleetStream,
        remote: FleetStream,
    ) -> None:
        stream = PeerStream(remote, "", MAX_FRAME_BYTES)

        async def answer() -> None:
            first = await stream.receive()
            assert isinstance(first, AllowanceAsk)
            await server.allowances.serve(first, stream)

        async def end_with_its_server() -> None:
            while not server.scope.cancel_called:
                await trio.sleep(0.05)
            raise trio.BrokenResourceError

        # The other side learns of an end by its kernel's word.
        near_end = here._source
        await await_end(
            lambda: there.carry(near_end),  # type: ignore[arg-type]
            lambda: back.carry(remote._source),  # type: ignore[arg-type]
            answer,
            end_with_its_server,
        )
        await here.aclose()
        await remote.aclose()

    async def ask(self, name: str, cost: int, patience: float = 4.0) -> None:
        """Have an instance ask for one request, and keep what became of it."""
        at = trio.current_time()
        instance = self.instances[name]
        team = Team("desk", allowance=self.unaware.get(name, self.limit))
        taken = await instance.allowances.take(team, cost, 1, at + patience)
        status = 200 if isinstance(taken, AllowanceGrant) else taken.status
        waited = trio.current_time() - at
        self.uses.append(Use(trio.current_time(), cost, status, waited, name))
        assert not isinstance(taken, Refusal) or taken.status in (429, 503)

    async def press(self, share: float, seconds: float, only: str = "") -> None:
        """Send a share of the limit, at instances drawn at random or at one."""
        until = trio.current_time() + seconds
        gap = MEAN_SIZE / (LIMIT.rate * share)
        while trio.current_time() < until:
            await trio.sleep(self.rng.expovariate(1 / gap))
            sizes, shares = zip(*SIZES, strict=True)
            cost = self.rng.choices(sizes, shares)[0]
            name = only or self.rng.choice(list(self.members))
            if name in self.instances:
                self.nursery.start_soon(self.ask, name, cost)

    def measure_worst(self, since: float = -math.inf) -> float:
        """Return the fullest window, as a share of the bound."""
        limit = self.limit.rate * BOUNDS.window + self.limit.burst
        bound = limit * (1 + BOUNDS.overage) + BOUNDS.slack
        window: deque[Use] = deque()
        worst = total = 0.0
        served = [u for u in self.uses if u.status == 200 and u.at >= since]
        for use in sorted(served):
            window.append(use)
            total += use.cost
            while use.at - window[0].at > BOUNDS.window:
                total -= window.popleft().cost
            worst = max(worst, total)
        return worst / bound

    def measure_refused(self, since: float = -math.inf) -> float:
        """Return the share of tokens that were refused."""
        asked = sum(u.cost for u in self.uses if u.at >= since)
        refused = sum(u.cost for u in self.uses if u.status != 200 and u.at >= since)
        return refused / asked
