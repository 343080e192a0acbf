"""Waiting for a place at a backend server."""

from __future__ import annotations

import trio

from ashpond.decisions.loads import Load
from ashpond.decisions.ratelimits import RateLimit
from ashpond.decisions.selection import Demand
from ashpond.gateway.reservations import Reservation
from tests.gateway_builders import (
    make_demand,
    make_prompt,
    make_reservations,
    make_server,
    make_table,
)

UNTIL_SECONDS = 0.0105


class StrideClock(trio.abc.Clock):
    """A clock that goes on a little with each look at it."""

    def __init__(self) -> None:
        self.now = 0.0

    def start_clock(self) -> None:
        pass

    def current_time(self) -> float:
        self.now += 0.001
        return self.now

    def deadline_to_sleep_time(self, deadline: float) -> float:
        return 0.0


def test_a_wait_whose_end_passes_between_two_looks_at_the_clock_ends():
    """A call once failed with 500: it computed a wait of less than no time.

    The log of a busy instance held "`seconds` must be non-negative" for it, and
    nothing had been sent.
    """

    async def wait() -> None:
        places = make_reservations(make_table())
        for stride in range(100):
            until = trio.current_time() + UNTIL_SECONDS + stride * 0.0005
            assert await places.reserve(make_demand(), 1, until) is None

    trio.run(wait, clock=StrideClock())


async def test_many_that_wait_for_full_engines_cost_one_look_at_a_time(
    autojump_clock: object,
) -> None:
    """Each of ten looked for all ten, 33 times a second: 3,300 looks at 117 engines."""
    places = make_reservations(make_table(make_server("a", slots=1)))
    looks = 0
    find = places._try_reserve

    def count_looks(demand: Demand, now: float) -> Reservation | None:
        nonlocal looks
        looks += 1
        return find(demand, now)

    places._try_reserve = count_looks  # type: ignore[method-assign]
    held = await places.reserve(make_demand(make_prompt()), 1, 0.0)
    assert held is not None
    taken: list[Reservation] = []

    async def take(number: int) -> None:
        await trio.sleep(number * 0.002)
        place = await places.reserve(make_demand(make_prompt()), 1, 10.0)
        assert place is not None
        taken.append(place)

    async with trio.open_nursery() as nursery:
        for number in range(10):
            nursery.start_soon(take, number)
        await trio.sleep(1.0)
        assert looks < 100
        # All get one as soon as places are free, in turn.
        places.release(held)
        await trio.sleep(0.05)
        for _ in range(9):
            places.release(taken[-1])
            await trio.sleep(0.05)
    assert len(taken) == 10


async def test_a_smaller_claim_is_looked_for_behind_a_greater_one(
    autojump_clock: object,
) -> None:
    places = make_reservations(make_table(make_server("a", slots=4)))
    first = await places.reserve(make_demand(make_prompt(tokens=60_000)), 1, 0.0)
    assert first is not None
    places.table.by_id["a"].load = Load(1, 0, 70_000)
    found: list[int] = []

    async def take(tokens: int) -> None:
        if await places.reserve(make_demand(make_prompt(tokens=tokens)), 1, 0.2):
            found.append(tokens)

    async with trio.open_nursery() as nursery:
        nursery.start_soon(take, 50_000)
        await trio.sleep(0.001)
        nursery.start_soon(take, 1000)
    assert found == [1000]


async def test_a_request_that_no_server_takes_in_time_is_refused_at_once(
    autojump_clock: object,
) -> None:
    """It would be held until its wait is over, and be refused then."""
    places = make_reservations(make_table(make_server("a"), make_server("b")))
    states = places.table.by_id
    states["a"].backoff_until, states["b"].backoff_until = 5.0, 3.0
    demand = make_demand(make_prompt())
    assert await places.reserve(demand, 1, 2.0) is None
    assert trio.current_time() == 0.0
    assert places.find_retry_time(demand, 0.0) == 3.0
    # One of them returns before the wait is over.
    assert await places.reserve(demand, 1, 4.0) is not None
    assert 3.0 <= trio.current_time() < 3.1


async def test_a_request_whose_servers_all_leave_is_refused_at_once(
    autojump_clock: object,
) -> None:
    places = make_reservations(make_table(make_server("a", is_draining=True)))
    assert await places.reserve(make_demand(make_prompt()), 1, 2.0) is None
    assert trio.current_time() == 0.0


async def test_a_server_with_a_rate_limit_is_home_to_no_prompt_part(
    autojump_clock: object,
) -> None:
    """All requests that share the part would be read where few of them may go."""
    names = ("a", "b", "c", "d")
    places = make_reservations(make_table(*(make_server(name) for name in names)))
    demand = make_demand(make_prompt())
    first = await places.reserve(demand, 1, 0.0)
    assert first is not None
    places.release(first)
    first.state.rate_limit = RateLimit(1.1, 0.0)
    second = await places.reserve(demand, 1, 0.0)
    assert second is not None
    assert second.state is not first.state


async def test_who_finds_no_permit_is_not_sent_away_for_long(
    autojump_clock: object,
) -> None:
    """This instance asks again after a long pause; another may have one before."""
    places = make_reservations(make_table(make_server("a")))
    places.table.by_id["a"].permit_pause_until = 15.0
    demand = make_demand(make_prompt())
    assert await places.reserve(demand, 1, 1.0) is None
    assert trio.current_time() == 0.0
    assert places.find_retry_time(demand, 0.0) == 2.0
