"""Fleets of instances that share a retry budget, in virtual time."""

from __future__ import annotations

import math
import random
from bisect import bisect_left
from collections.abc import Iterable

import trio
import trio.testing

from ashpond.clients.peer import PeerStream
from ashpond.clients.peermessages import RetryRightsQuery
from ashpond.controllers.budgets import RetryBudgets
from ashpond.decisions.fleetlinks import Member
from ashpond.fleet.links import run_until_end
from ashpond.gateway.decisionlog import DecisionLog
from ashpond.gateway.settings import GatewayBounds
from tests.allowance_fleet import FleetMembers, FleetStream, Wire

SERVICE = "s"
SHARE = 0.2
SLACK = 56
WINDOW = 10.0
LATENCY_SECONDS = 0.002
MAX_FRAME_BYTES = 1 << 20
BOUNDS = GatewayBounds(retry_share=SHARE, retry_slack=SLACK, retry_window_s=WINDOW)


class BudgetInstance:
    """One incarnation of an instance with its budgets."""

    def __init__(self, fleet: BudgetFleet, name: str, *, is_first_start: bool):
        self.name = name
        self.scope = trio.CancelScope()
        self.is_frozen = False
        self.bounds = BOUNDS
        self.members = FleetMembers(fleet.members[name], fleet.members)
        self.budgets = RetryBudgets(
            lambda: self.bounds,
            lambda: self.members,  # type: ignore[arg-type,return-value]
            DecisionLog(name),
            random.Random(name),
            is_first_start=is_first_start,
            connect=lambda peer: fleet.connect(self, peer),
        )

    async def run(self) -> None:
        with self.scope:
            await self.budgets.run()

    async def take(self) -> bool:
        return await self.budgets.get(SERVICE).take(math.inf)

    def reload(self, bounds: GatewayBounds) -> None:
        self.bounds = bounds
        self.budgets.adopt_bounds()


class BudgetFleet:
    """Instances that grant each other rights, with all first attempts and retries.

    ``groups`` maps the names of partitioned instances to the group that they reach.
    Messages between groups are held back until the partition ends.
    """

    def __init__(self, nursery: trio.Nursery, count: int = 8):
        self.nursery = nursery
        self.members: dict[str, Member] = {}
        self.instances: dict[str, BudgetInstance] = {}
        self.groups: dict[str, int] = {}
        self.first: list[float] = []
        self.retries: list[float] = []
        for number in range(count):
            self.start(f"i{number}", is_first_start=True)

    def start(self, name: str, *, is_first_start: bool = False) -> None:
        """Start an instance, or a new incarnation of it without any state."""
        self.members.setdefault(name, Member(name, "127.0.0.1:1", "d"))
        previous = self.instances.get(name)
        if previous is not None:
            previous.scope.cancel()
        instance = BudgetInstance(self, name, is_first_start=is_first_start)
        self.instances[name] = instance
        self.nursery.start_soon(instance.run)

    def partition(self, groups: Iterable[Iterable[str]]) -> None:
        """Let each group of instances reach only each other."""
        self.groups = {
            name: number for number, names in enumerate(groups, 1) for name in names
        }

    async def wait_for_path(self, sender: str, receiver: str) -> None:
        """Wait until messages from one instance reach another."""
        while not self._reaches(sender, receiver):
            await trio.sleep(0.05)

    def _reaches(self, one: str, other: str) -> bool:
        frozen = self.instances[one].is_frozen or self.instances[other].is_frozen
        return not frozen and self.groups.get(one, 0) == self.groups.get(other, 0)

    async def connect(self, sender: BudgetInstance, peer: Member) -> PeerStream:
        await trio.sleep(LATENCY_SECONDS * 2)
        await self.wait_for_path(sender.name, peer.name)
        server = self.instances[peer.name]
        near, far = trio.testing.memory_stream_pair()
        request_wire = Wire(self, (sender.name, peer.name))
        reply_wire = Wire(self, (peer.name, sender.name))
        client_end = FleetStream(request_wire, near)
        server_end = FleetStream(reply_wire, far)

        async def serve() -> None:
            stream = PeerStream(server_end, "", MAX_FRAME_BYTES)
            first = await stream.receive()
            assert isinstance(first, RetryRightsQuery)
            await server.budgets.serve(first, stream)

        async def wait_for_end() -> None:
            while not (server.scope.cancel_called or sender.scope.cancel_called):
                await trio.sleep(0.05)

        async def run() -> None:
            await run_until_end(
                lambda: request_wire.deliver(near),
                lambda: reply_wire.deliver(far),
                serve,
                wait_for_end,
            )
            await client_end.aclose()
            await server_end.aclose()

        self.nursery.start_soon(run)
        return PeerStream(client_end, "", MAX_FRAME_BYTES)

    async def serve_requests(self, rate: float, seconds: float) -> None:
        """Spread first attempts over all instances."""
        until = trio.current_time() + seconds
        number = 0
        while trio.current_time() < until:
            names = sorted(self.instances)
            instance = self.instances[names[number % len(names)]]
            if not instance.is_frozen:
                instance.budgets.get(SERVICE).note_first_attempt(trio.current_time())
                self.first.append(trio.current_time())
            number += 1
            await trio.sleep(1 / rate)

    async def retry(self, name: str) -> None:
        """Let an instance retry a request if its budget allows it."""
        instance = self.instances[name]
        if await instance.take():
            self.retries.append(trio.current_time())

    async def want_retries(
        self, rate: float, seconds: float, names: Iterable[str] = ()
    ) -> None:
        """Let instances, in turn, want retries at a rate."""
        until = trio.current_time() + seconds
        number = 0
        while trio.current_time() < until:
            chosen = list(names) or sorted(self.instances)
            name = chosen[number % len(chosen)]
            if name in self.instances and not self.instances[name].is_frozen:
                self.nursery.start_soon(self.retry, name)
            number += 1
            await trio.sleep(1 / rate)

    def measure_fullest_window(self) -> float:
        """Return the retries of the fullest window as a share of what it allows."""
        fullest = 0.0
        first, retries = sorted(self.first), sorted(self.retries)
        for until in retries:
            since = until - WINDOW
            count = bisect_left(retries, until + 1e-9) - bisect_left(retries, since)
            served = bisect_left(first, until + 1e-9) - bisect_left(first, since)
            fullest = max(fullest, count / (SHARE * served + SLACK))
        return fullest


async def freeze(fleet: BudgetFleet, name: str, seconds: float) -> None:
    """Suspend an instance for some seconds."""
    instance = fleet.instances[name]
    instance.is_frozen = True
    await trio.sleep(seconds)
    instance.is_frozen = False


async def play_faults(fleet: BudgetFleet, rng: random.Random, seconds: float) -> None:
    """Play partitions, restarts, joins, freezes and reloads that overlap."""
    until = trio.current_time() + seconds
    while trio.current_time() < until:
        await trio.sleep(rng.uniform(0.1, 1.5))
        play_fault(fleet, rng)


def play_fault(fleet: BudgetFleet, rng: random.Random) -> None:
    """Play one fault drawn at random."""
    names = sorted(fleet.instances)
    name = rng.choice(names)
    match rng.randrange(9):
        case 0:
            fleet.partition([rng.sample(names, rng.randint(1, 4))])
        case 1:
            fleet.partition([[name] for name in names])
        case 2:
            fleet.partition([])
        case 3:
            fleet.start(name)
        case 4:
            for name in names:
                fleet.start(name)
        case 5:
            if len(names) < 14:
                fleet.start(f"i{len(names)}")
        case 6:
            fleet.nursery.start_soon(freeze, fleet, name, 1.5)
        case 7:
            changed = BOUNDS._replace(grace_s=rng.uniform(4, 9))
            fleet.instances[name].reload(changed)
        case 8:
            for _ in range(300):
                fleet.nursery.start_soon(fleet.retry, name)
