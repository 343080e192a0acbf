"""Fleets of instances that share a retry budget, in virtual time."""

from __future__ import annotations

import random
from bisect import bisect_left
from collections.abc import Callable, Iterable
from types import SimpleNamespace

import trio

from ashpond.controllers.budgets import RetryBudgets
from ashpond.gateway.settings import GatewayBounds

SERVICE = "s"
SHARE = 0.2
SLACK = 56
WINDOW = 10.0
EXCHANGE_SECONDS = 0.08
BOUNDS = GatewayBounds(retry_share=SHARE, retry_slack=SLACK, retry_window_s=WINDOW)


class BudgetInstance:
    """One incarnation of an instance with its budgets."""

    def __init__(self, fleet: BudgetFleet, name: str, incarnation: int):
        self.name = name
        self.incarnation = f"{name}#{incarnation}"
        self.is_frozen = False
        self.bounds = BOUNDS
        self.budgets = RetryBudgets(
            lambda: self.bounds,
            lambda: SimpleNamespace(get_max_lag=lambda: 0.0),  # type: ignore[arg-type,return-value]
            lambda: len(fleet.instances),
        )

    async def take(self) -> bool:
        budget = self.budgets.get(SERVICE)
        return budget.take(8, trio.current_time())

    def reload(self, bounds: GatewayBounds) -> None:
        self.bounds = bounds
        self.budgets.reset()


class BudgetFleet:
    """Instances that exchange their counts, with all first attempts and retries.

    ``groups`` maps the names of partitioned instances to the group that they reach.
    """

    def __init__(self, nursery: trio.Nursery, count: int = 8):
        self.nursery = nursery
        self.instances: dict[str, BudgetInstance] = {}
        self.groups: dict[str, int] = {}
        self.first: list[float] = []
        self.retries: list[float] = []
        self._starts = 0
        self._first_start = True
        for number in range(count):
            self.start(f"i{number}")
        self._first_start = False
        nursery.start_soon(self._exchange)

    def start(self, name: str) -> None:
        """Start an instance, or a new incarnation of it without any state."""
        self._starts += 1
        self.instances[name] = BudgetInstance(self, name, self._starts)

    def partition(self, groups: Iterable[Iterable[str]]) -> None:
        """Let each group of instances reach only each other."""
        self.groups = {
            name: number for number, names in enumerate(groups, 1) for name in names
        }

    def reaches(self, one: str, other: str) -> bool:
        frozen = self.instances[one].is_frozen or self.instances[other].is_frozen
        return not frozen and self.groups.get(one, 0) == self.groups.get(other, 0)

    async def _exchange(self) -> None:
        while True:
            for sender in self.instances.values():
                for receiver in self.instances.values():
                    if sender is receiver or not self.reaches(
                        sender.name, receiver.name
                    ):
                        continue
                    for service, counts in sender.budgets.list_own().items():
                        receiver.budgets.note_peer(service, sender.incarnation, counts)
            await trio.sleep(EXCHANGE_SECONDS)

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
        names = sorted(fleet.instances)
        name = rng.choice(names)
        choose: list[Callable[[], object]] = [
            lambda: fleet.partition([rng.sample(names, rng.randint(1, 4))]),
            lambda: fleet.partition([[name] for name in names]),
            lambda: fleet.partition([]),
            lambda: fleet.start(rng.choice(names)),
            lambda: [fleet.start(name) for name in names],
            lambda: fleet.start(f"i{len(names)}") if len(names) < 14 else None,
            lambda: fleet.nursery.start_soon(freeze, fleet, name, 1.5),
            lambda: fleet.instances[name].reload(
                BOUNDS._replace(grace_s=rng.uniform(4, 9))
            ),
            lambda: [fleet.nursery.start_soon(fleet.retry, name) for _ in range(300)],
        ]
        rng.choice(choose)()
