"""Many instances that hear late of what the others have sent where.

The real choices of 30 instances before 24 engines, in simulated time: each engine reads
prompts one after the other, and each instance hears of the others' work so much later.
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
    make_demand,
    make_reservations,
    make_server,
    make_table,
)

INSTANCES = 30
ENGINES = 24
READ_SECONDS_PER_TOKEN = 1 / 57_000
ANSWER_SECONDS = 0.8
NEWS_SECONDS = 0.12
PLAY_SECONDS = 8.0
WARM_SECONDS = 2.0
SUBJECTS = 200
# Engines read for 0.6 of the time, if their work is spread evenly.
ARRIVALS_A_SECOND = 150.0


class Step(NamedTuple):
    """What happens at a moment; ``number`` orders what happens together."""

    at: float
    number: int
    action: str
    instance: int = 0
    place: Reservation | None = None


class Play:
    """Instances and engines; ``lag`` is how late news are (seconds)."""

    def __init__(self, lag: float, *, samples: bool):
        self.lag = lag
        self.rng = random.Random(7)
        servers = [make_server(f"s{n}") for n in range(ENGINES)]
        self.tables: list[ServerTable] = []
        self.places: list[ReservationQueue] = []
        for number in range(INSTANCES):
            table = make_table(*servers)
            places = make_reservations(table)
            places._rng = random.Random(number)
            places._has_delayed_updates = lambda: samples
            self.tables.append(table)
            self.places.append(places)
        self.read_until = dict.fromkeys((s.id for s in servers), 0.0)
        self.waits: list[float] = []
        self._steps: list[Step] = []
        self._told: list[tuple[float, list[dict[str, Load]]]] = []
        self._number = 0

    def plan(
        self,
        at: float,
        action: str,
        instance: int = 0,
        place: Reservation | None = None,
    ) -> None:
        self._number += 1
        heapq.heappush(self._steps, Step(at, self._number, action, instance, place))

    def run(self) -> list[float]:
        """Return how long requests waited for their first event."""
        self.plan(0.0, "ask")
        self.plan(0.0, "tell")
        while self._steps and self._steps[0].at < PLAY_SECONDS:
            step = heapq.heappop(self._steps)
            getattr(self, f"_{step.action}")(step)
        return sorted(self.waits)

    def _ask(self, step: Step) -> None:
        self.plan(step.at + self.rng.expovariate(ARRIVALS_A_SECOND), "ask")
        subject = f"subject{self.rng.randrange(SUBJECTS)}"
        own = f"own{self._number}"
        sizes = ("rules", 2_600), (subject, 3_400), (own, 2_000)
        parts = tuple(PromptPart(*size) for size in sizes)
        demand = make_demand(Prompt(MODEL, 8_000, 20, parts))
        number = self.rng.randrange(INSTANCES)
        place = self.places[number]._try_reserve(demand, step.at)
        if place is None:
            return
        server = place.state.info.id
        begin = max(step.at, self.read_until[server])
        first = begin + place.load.unread_tokens * READ_SECONDS_PER_TOKEN
        self.read_until[server] = first
        if step.at > WARM_SECONDS:
            self.waits.append(first - step.at)
        self.plan(first, "read", number, place)

    def _read(self, step: Step) -> None:
        assert step.place is not None
        place = self.places[step.instance].note_prompt_read(step.place)
        self.plan(step.at + ANSWER_SECONDS, "end", step.instance, place)

    def _end(self, step: Step) -> None:
        assert step.place is not None
        self.places[step.instance].release(step.place)

    def _tell(self, step: Step) -> None:
        """Tell all instances what the others had in flight some time ago."""
        self.plan(step.at + NEWS_SECONDS, "tell")
        self._told.append((step.at, [table.list_own_loads() for table in self.tables]))
        heard = [own for at, own in self._told if at <= step.at - self.lag]
        if not heard:
            return
        total: dict[str, Load] = {}
        for loads in heard[-1]:
            for server, load in loads.items():
                total[server] = total.get(server, NO_LOAD).add(load)
        for table, own in zip(self.tables, heard[-1], strict=True):
            others = {s: t.subtract(own.get(s, NO_LOAD)) for s, t in total.items()}
            table.note_peer_loads("all", others, step.at)


def measure_median(lag: float, *, samples: bool) -> float:
    waits = Play(lag, samples=samples).run()
    return waits[len(waits) // 2]


@pytest.mark.parametrize("lag", [0.5, 1.0])
def test_engines_share_the_work_though_news_are_late(lag: float) -> None:
    """Median wait for the first event, drawn at random against the best of all."""
    drawn = measure_median(lag, samples=True)
    best = measure_median(lag, samples=False)
    assert drawn < 0.5 * best
