"""Placement in a fleet whose instances receive the loads of the others late.

30 instances choose among 24 engines with the real code, in simulated time. Each engine
reads prompts one after the other, and each instance gets the loads after a set delay.
"""

from __future__ import annotations

import heapq
import random
from typing import NamedTuple

import pytest

from ashpond.controllers.directory import ServerTable
from ashpond.decisions.loads import NO_LOAD, Load
from ashpond.decisions.prompts import Prompt, PromptPart
from ashpond.gateway.reservations import Reservation, ReservationQueue
from tests.gateway_builders import (
    MODEL,
    make_chooser,
    make_demand,
    make_server,
    make_table,
)

INSTANCES = 30
ENGINES = 24
READ_SECONDS_PER_TOKEN = 1 / 57_000
ANSWER_SECONDS = 0.8
UPDATE_SECONDS = 0.12
SIMULATED_SECONDS = 8.0
WARM_SECONDS = 2.0
SUBJECTS = 200
# Engines read prompts 60% of the time if the load is spread evenly.
ARRIVALS_A_SECOND = 150.0


class Step(NamedTuple):
    """A scheduled action; ``number`` orders actions of the same time."""

    at: float
    number: int
    action: str
    instance: int = 0
    reservation: Reservation | None = None


class Simulation:
    """Instances and engines; ``lag`` is the delay of updates (seconds)."""

    def __init__(self, lag: float, *, samples: bool):
        self.lag = lag
        self.rng = random.Random(7)
        servers = [make_server(f"s{n}") for n in range(ENGINES)]
        self.tables: list[ServerTable] = []
        self.queues: list[ReservationQueue] = []
        for number in range(INSTANCES):
            table = make_table(*servers)
            chooser = make_chooser(
                table, rng=random.Random(number), has_delayed_updates=samples
            )
            queue = ReservationQueue(table, chooser)
            self.tables.append(table)
            self.queues.append(queue)
        self.read_until = dict.fromkeys((s.id for s in servers), 0.0)
        self.waits: list[float] = []
        self._steps: list[Step] = []
        self._sent_loads: list[tuple[float, list[dict[str, Load]]]] = []
        self._number = 0

    def schedule(
        self,
        at: float,
        action: str,
        instance: int = 0,
        reservation: Reservation | None = None,
    ) -> None:
        self._number += 1
        heapq.heappush(
            self._steps, Step(at, self._number, action, instance, reservation)
        )

    def run(self) -> list[float]:
        """Return the sorted waits of requests for their first event (seconds)."""
        self.schedule(0.0, "ask")
        self.schedule(0.0, "report_loads")
        while self._steps and self._steps[0].at < SIMULATED_SECONDS:
            step = heapq.heappop(self._steps)
            getattr(self, f"_{step.action}")(step)
        return sorted(self.waits)

    def _ask(self, step: Step) -> None:
        self.schedule(step.at + self.rng.expovariate(ARRIVALS_A_SECOND), "ask")
        subject = f"subject{self.rng.randrange(SUBJECTS)}"
        own = f"own{self._number}"
        sizes = ("rules", 2_600), (subject, 3_400), (own, 2_000)
        parts = tuple(PromptPart(*size) for size in sizes)
        demand = make_demand(Prompt(MODEL, 8_000, 20, parts))
        number = self.rng.randrange(INSTANCES)
        reservation = self.queues[number]._try_reserve(demand, step.at)
        if reservation is None:
            return
        server = reservation.state.info.id
        begin = max(step.at, self.read_until[server])
        first = begin + reservation.load.unread_tokens * READ_SECONDS_PER_TOKEN
        self.read_until[server] = first
        if step.at > WARM_SECONDS:
            self.waits.append(first - step.at)
        self.schedule(first, "read", number, reservation)

    def _read(self, step: Step) -> None:
        assert step.reservation is not None
        reservation = self.queues[step.instance].note_prompt_read(step.reservation)
        self.schedule(step.at + ANSWER_SECONDS, "end", step.instance, reservation)

    def _end(self, step: Step) -> None:
        assert step.reservation is not None
        self.queues[step.instance].release(step.reservation)

    def _report_loads(self, step: Step) -> None:
        """Report to all instances the loads of the others as of ``lag`` ago."""
        self.schedule(step.at + UPDATE_SECONDS, "report_loads")
        self._sent_loads.append(
            (step.at, [table.list_own_loads() for table in self.tables])
        )
        received = [own for at, own in self._sent_loads if at <= step.at - self.lag]
        if not received:
            return
        total: dict[str, Load] = {}
        for loads in received[-1]:
            for server, load in loads.items():
                total[server] = total.get(server, NO_LOAD).add(load)
        for table, own in zip(self.tables, received[-1], strict=True):
            others = {s: t.subtract(own.get(s, NO_LOAD)) for s, t in total.items()}
            table.note_peer_loads("all", others, step.at)


def measure_median(lag: float, *, samples: bool) -> float:
    waits = Simulation(lag, samples=samples).run()
    return waits[len(waits) // 2]


@pytest.mark.parametrize("lag", [0.5, 1.0])
def test_sampled_servers_share_the_load_though_updates_are_late(lag: float) -> None:
    """The median wait for the first event is less than half of that without sampling.

    With late updates, instances that all choose the best server overload it.
    """
    drawn = measure_median(lag, samples=True)
    best = measure_median(lag, samples=False)
    assert drawn < 0.5 * best
