"""Requests with a prompt part that crashes servers, and the check that they stop."""

from __future__ import annotations

import random
from typing import TYPE_CHECKING

import orjson
import trio

from ashpond_platform.rows import SERVERS_TABLE
from tests.soak.clients import ConnectionUse, send_request

if TYPE_CHECKING:
    from tests.soak.servers import Arrival
    from tests.soak.world import World

DEADLY_PART = "dd"
SHARED_PART = "aa"
MODEL = "m1"
# Between two requests with the deadly part, and between two sound ones that share all
# else (seconds).
DEADLY_SECONDS = 0.3
SOUND_SECONDS = 0.05
AWAY_SECONDS = (0.5, 1.5)
# The crashes after which requests with the part have to stop, the time until all
# instances know of them, and the requests that may still reach servers.
CRASHES = 5
CONTACT_SECONDS = 3.0
MAX_LATE = 3


class PartPlayer:
    """Sends requests of which no two are alike, some with the deadly part.

    The part is the first or the second of the prompt; requests are answered whole or as
    streams.
    """

    def __init__(self, world: World, rng: random.Random):
        self._world = world
        self._rng = rng

    async def run(self) -> None:
        """Send requests until cancelled."""
        async with trio.open_nursery() as nursery:
            nursery.start_soon(self._send, [SHARED_PART], SOUND_SECONDS)
            nursery.start_soon(self._send, [SHARED_PART, DEADLY_PART], DEADLY_SECONDS)
            await self._send([DEADLY_PART, SHARED_PART], DEADLY_SECONDS)

    async def _send(self, parts: list[str], gap: float) -> None:
        async with trio.open_nursery() as nursery:
            while True:
                nursery.start_soon(self._send_one, parts)
                await trio.sleep(gap)

    async def _send_one(self, parts: list[str]) -> None:
        world = self._world
        instance = self._rng.choice(world.instances)
        connection = ConnectionUse(instance.name, instance.started_at)
        request_id = world.make_id()
        own = f"{self._rng.getrandbits(40):x}"
        kind = self._rng.choice(["again", "stream"])
        is_deadly = DEADLY_PART in parts
        if is_deadly:
            world.ledger.deadly[request_id] = instance.name
        outcome = await send_request(
            instance.address, kind, request_id, "k1", connection, [*parts, own]
        )
        if not is_deadly:
            world.note(outcome, instance)


async def crash_server(world: World, server_id: str, rng: random.Random) -> None:
    """Stop a server with all that it runs; it starts again at its address later."""
    if server_id in world.crashed:
        return
    world.crashed.add(server_id)
    world.ledger.crashes.append(trio.current_time())
    await world.server_proxies[server_id].refuse(rng.uniform(*AWAY_SECONDS))
    world.crashed.discard(server_id)
    entry = world.find_entry(server_id)
    if entry is not None:
        entry["born"] += 1000
        world.memory.put(SERVERS_TABLE, server_id, orjson.dumps(entry))


def find_part_violations(world: World) -> list[str]:
    """Return a line if requests with the part went on reaching servers."""
    crashes = sorted(world.ledger.crashes)
    if len(crashes) < CRASHES:
        return []
    known_at = crashes[CRASHES - 1] + CONTACT_SECONDS
    late = [
        arrival
        for arrival in world.ledger.arrivals
        if arrival.request_id in world.ledger.deadly
        and arrival.at > known_at
        and not _is_excused(world, arrival)
    ]
    if len(late) <= MAX_LATE:
        return []
    return [f"{len(late)} requests with a deadly part, {len(crashes)} crashes"]


def _is_excused(world: World, arrival: Arrival) -> bool:
    """Return whether the instance that sent a request was disturbed lately."""
    name = world.ledger.deadly[arrival.request_id]
    instance = world.find_instance(name)
    assert instance is not None
    since = arrival.at - CONTACT_SECONDS
    last = instance.find_last_signal(arrival.at)
    was_signalled = last is not None and last.at >= since
    was_started = instance.started_at >= since
    return (
        was_signalled
        or was_started
        or world.partitions.was_cut(name, since, arrival.at)
        or any(
            begin <= arrival.at and end >= since for begin, end in world.store_outages
        )
    )
