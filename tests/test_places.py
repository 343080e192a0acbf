"""Waiting for a place at a backend server."""

from __future__ import annotations

import trio

from tests.gateway_builders import make_demand, make_places, make_table

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
        places = make_places(make_table())
        for stride in range(100):
            until = trio.current_time() + UNTIL_SECONDS + stride * 0.0005
            assert await places.take(make_demand(), 1, until) is None

    trio.run(wait, clock=StrideClock())
