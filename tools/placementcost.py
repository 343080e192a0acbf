"""Measure the processor time of a coordinator's decisions, for the page on heavy load.

Each ask is decoded, placed and answered; its first event and its end follow. All runs
in one process without a network.
"""

from __future__ import annotations

import argparse
import time
from statistics import median
from typing import NamedTuple

import trio

from ashpond.clients.peer import PlacementQuery
from ashpond.clients.placements import (
    EndedPlacement,
    PlacementAsk,
    encode_placement_query,
)
from ashpond.decisions.placementterms import PlacementEvent
from tests.gateway_builders import make_server, make_table
from tests.placement_builders import ENGINES, World, make_ask

SERVERS = (16, 90)
# Requests in flight, a third of the slots of the smallest shard, and those whose
# prompts are not read yet.
IN_FLIGHT = 320
UNREAD = 32
# Nanoseconds in a microsecond.
NS = 1e3


class Cost(NamedTuple):
    """The median processor time of one request's messages (microseconds)."""

    servers: int
    ask: float
    read: float
    end: float
    waiting_ask: float


def make_request(number: int) -> PlacementAsk:
    """Return an ask for a prompt with one of 20 shared parts."""
    shared = ("rules", 5000), (f"shop{number % 20}", 1300)
    parts = (*shared, (f"own{number}", 2890))
    return make_ask(number, parts=parts, is_resumable=True)


def measure(servers: int, count: int) -> Cost:
    """Return the costs with a number of engines in a shard."""
    table = make_table(*(make_server(f"e{n}") for n in range(servers)))
    asker = World(table).connect("i1#a", ENGINES, "north")
    times: dict[str, list[int]] = {"ask": [], "read": [], "end": []}

    def submit(kind: str, query: PlacementQuery) -> None:
        started_at = time.thread_time_ns()
        asker.session.submit(query)
        times[kind].append(time.thread_time_ns() - started_at)

    for number in range(count + IN_FLIGHT):
        submit("ask", encode_placement_query(*asker.names, [make_request(number)]))
        for kind, event, age in (
            ("read", PlacementEvent.READ, UNREAD),
            ("end", PlacementEvent.ANSWERED, IN_FLIGHT),
        ):
            ended = EndedPlacement(number - age, event)
            if ended.number >= 0:
                submit(kind, encode_placement_query(*asker.names, ended=[ended]))
    medians = {kind: median(values[-count:]) / NS for kind, values in times.items()}
    return Cost(
        servers, medians["ask"], medians["read"], medians["end"], measure_waiting(count)
    )


def measure_waiting(count: int) -> float:
    """Return the cost of an ask while 200 others wait for full engines."""
    world = World(make_table(*(make_server(f"e{n}", slots=1) for n in range(16))))
    asker = world.connect("i1#a", ENGINES, "north")
    for number in range(216):
        asker.ask(make_request(number))
    times = []
    for number in range(1000, 1000 + count):
        query = encode_placement_query(*asker.names, [make_request(number)])
        started_at = time.thread_time_ns()
        asker.session.submit(query)
        times.append(time.thread_time_ns() - started_at)
    return median(times) / NS


async def measure_all(count: int) -> list[Cost]:
    """Return the costs for all numbers of servers."""
    return [measure(servers, count) for servers in SERVERS]


def main() -> None:
    """Print one line for each number of servers."""
    parser = argparse.ArgumentParser(description=__doc__)
    parser.add_argument("--count", type=int, default=2000)
    arguments = parser.parse_args()
    for cost in trio.run(measure_all, arguments.count):
        print(
            f"{cost.servers} servers: ask {cost.ask:.0f} us, read {cost.read:.0f} us, "
            f"end {cost.end:.0f} us; ask behind 200 waiting {cost.waiting_ask:.0f} us"
        )


if __name__ == "__main__":
    main()
