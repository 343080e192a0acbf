"""Callers that coordinators refuse with a time are served when they return at it."""

from __future__ import annotations

from typing import NamedTuple

import pytest
import trio

from ashpond.coordination.shard import MAX_WAITING
from ashpond.decisions.placementqueue import PlacementQueue
from ashpond.decisions.speeds import ServerSpeeds
from tests.gateway_builders import make_server, make_table
from tests.placement_builders import ENGINES, PLAIN, World
from tests.returning_callers import ReturningCallers, Work

SLOTS = 12
PROMPT_TOKENS, TOKENS_PER_SECOND = 2890, 43_000.0
PLAIN_WORK = Work(SLOTS, 0.06)
READING = Work(1, PROMPT_TOKENS / TOKENS_PER_SECOND, 0.26)
TIMEOUT_SECONDS = 30.0
# The queue is filled at once, and these find no room in it.
SURPLUS = 600
# What arrives afterwards, by the capacity.
USUAL, OVERLOAD = 0.7, 1.5
LASTING_SECONDS, STEP_SECONDS = 10.0, 0.02


class Load(NamedTuple):
    """A service, what its requests take, and what its servers work off a second."""

    service: str
    servers: int
    work: Work
    parts: tuple[tuple[str, int], ...] = ()

    def count_per_second(self) -> float:
        return self.servers * self.work.places / self.work.seconds


PLAIN_LOAD = Load(PLAIN, 8, PLAIN_WORK)
PROMPTS_LOAD = Load(ENGINES, 40, READING, (("own", PROMPT_TOKENS),))


def make_world(load: Load) -> World:
    servers = (
        make_server(f"s{n}", service=load.service, slots=SLOTS)
        for n in range(load.servers)
    )
    world = World(make_table(*servers))
    world.coordinator._make_queue = PlacementQueue
    world.coordinator._speeds = ServerSpeeds()
    return world


async def play(load: Load, lasting: float) -> ReturningCallers:
    """Fill the queue at once; then let ``lasting`` times the capacity arrive."""
    world = make_world(load)
    per_second = load.count_per_second()
    async with trio.open_nursery() as nursery:
        nursery.start_soon(world.coordinator.run)
        callers = ReturningCallers(
            world, nursery, load.service, load.work, list(load.parts)
        )

        async def send_for(seconds: float, factor: float) -> None:
            due = 0.0
            for _ in range(round(seconds / STEP_SECONDS)):
                due += factor * per_second * STEP_SECONDS
                while due >= 1.0:
                    callers.send(TIMEOUT_SECONDS)
                    due -= 1.0
                await trio.sleep(STEP_SECONDS)

        # The coordinator learns what requests take.
        await send_for(2.0, 0.6)
        for _ in range(MAX_WAITING + SURPLUS):
            callers.send(TIMEOUT_SECONDS)
        await send_for(LASTING_SECONDS, lasting)
        await trio.sleep(2 * TIMEOUT_SECONDS)
        nursery.cancel_scope.cancel()
    return callers


@pytest.mark.parametrize("load", [PLAIN_LOAD, PROMPTS_LOAD], ids=["plain", "prompts"])
async def test_of_the_callers_that_return_when_named_nine_in_ten_are_served(
    load: Load, autojump_clock: object
) -> None:
    """A full queue has no room; its length says when there will be some."""
    returns, kept = (await play(load, USUAL)).count_kept()
    assert returns >= 100
    assert kept >= 0.9 * returns


async def test_under_lasting_overload_no_time_is_named_that_is_not_kept(
    autojump_clock: object,
) -> None:
    """The queue is as full when the callers return, and refuses them again."""
    returns, kept = (await play(PROMPTS_LOAD, OVERLOAD)).count_kept()
    assert kept >= 0.9 * returns
