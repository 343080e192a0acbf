"""Measure the processor time of a coordinator's decisions, for the page on heavy load.

Each ask is decoded, placed and answered; its first event and its end follow. All runs
in one process without a network.
"""

from __future__ import annotations

import argparse
import time
from typing import NamedTuple

import trio

from ashpond.clients.placements import (
    EndedPlacement,
    PlacementAsk,
    encode_placement_query,
)
from ashpond.decisions.placementterms import PlacementEvent
from tests.gateway_builders import make_server, make_table
from tests.placement_builders import ENGINES, World, make_ask

SERVERS = (16, 90)
# Requests in flight, a third of the slots of the smallest shard.
IN_FLIGHT = 320
US = 1e6


class Cost(NamedTuple):
    """The mean processor time of one request's messages (microseconds)."""

    servers: int
    ask: float
    read: float
    end: float
    waiting_ask: float


def make_request(number: int) -> PlacementAsk:
    """Return an ask for a prompt with one of 20 shared parts."""
    shared = ("rules", 5000), (f"shop{number % 20}", 1300)
    parts = (*shared, (f"own{number}", 2890))
    return make_ask(number, parts=parts, is_resumable=True, objective=1.2)


def measure(servers: int, count: int) -> Cost:
    """Return the costs with a number of engines in a shard."""
    table = make_table(*(make_server(f"e{n}") for n in range(servers)))
    world = World(table)
    asker = world.connect("i1#a", ENGINES, "north")
    submit = asker.session.submit
    queries = [
        encode_placement_query(*asker.names, [make_request(number)])
        for number in range(count + IN_FLIGHT)
    ]
    for query in queries[:IN_FLIGHT]:
        submit(query)
    seconds = dict.fromkeys(("ask", "read", "end"), 0.0)
    for number in range(count):
        ended = EndedPlacement(number, PlacementEvent.READ)
        read = encode_placement_query(*asker.names, ended=[ended])
        answered = ended._replace(event=PlacementEvent.ANSWERED)
        end = encode_placement_query(*asker.names, ended=[answered])
        messages = {"ask": queries[number + IN_FLIGHT], "read": read, "end": end}
        for kind, message in messages.items():
            started_at = time.process_time()
            submit(message)
            seconds[kind] += time.process_time() - started_at
    mean = {kind: total / count * US for kind, total in seconds.items()}
    return Cost(servers, mean["ask"], mean["read"], mean["end"], measure_waiting(count))


def measure_waiting(count: int) -> float:
    """Return the cost of an ask while 200 others wait for full engines."""
    world = World(make_table(*(make_server(f"e{n}", slots=1) for n in range(16))))
    asker = world.connect("i1#a", ENGINES, "north")
    for number in range(216):
        asker.ask(make_request(number))
    queries = [
        encode_placement_query(*asker.names, [make_request(number)])
        for number in range(1000, 1000 + count)
    ]
    started_at = time.process_time()
    for query in queries:
        asker.session.submit(query)
    return (time.process_time() - started_at) / count * US


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
