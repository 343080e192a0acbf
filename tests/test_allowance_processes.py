"""A team that sends several times its limit, to all instances as processes."""

from __future__ import annotations

import signal
from pathlib import Path

import pytest
import trio

from tests.crashingservers import HARMLESS_BODY, World

RATE = 20
WINDOW_SECONDS = 8.0
# The most requests in any window: the rate, and a burst of one second of it.
BOUND = RATE * WINDOW_SECONDS + RATE
LOAD_SECONDS = 12.0
INTERVAL_SECONDS = 0.012
INSTANCES = 4


def find_fullest_window(times: list[float]) -> int:
    times = sorted(times)
    return max(
        sum(1 for other in times if at <= other <= at + WINDOW_SECONDS) for at in times
    )


@pytest.mark.parametrize("killed", [None, 0, 3])
async def test_a_team_stays_within_its_limit_at_all_instances(
    killed: int | None, tmp_path: Path
) -> None:
    """The limit also holds while an instance, possibly the coordinator, restarts."""
    limit: dict[str, object] = {"rate_per_s": RATE, "burst": RATE}
    world = World(tmp_path, INSTANCES, 3, lambda body: False, limit=limit)

    async def kill_and_restart(number: int) -> None:
        await trio.sleep(LOAD_SECONDS / 3)
        await world.instances[number].stop(signal.SIGKILL)
        world.instances[number].start()

    async def send_load() -> None:
        async with trio.open_nursery() as nursery:
            if killed is not None:
                nursery.start_soon(kill_and_restart, killed)
            for number in range(round(LOAD_SECONDS / INTERVAL_SECONDS)):
                nursery.start_soon(
                    world.ask_and_record, number % INSTANCES, HARMLESS_BODY
                )
                await trio.sleep(INTERVAL_SECONDS)

    await world.run(send_load)
    arrivals = [a.at for a in world.arrivals if a.body == HARMLESS_BODY]
    assert find_fullest_window(arrivals) <= BOUND
    if killed is None:
        assert len(arrivals) >= 0.8 * RATE * LOAD_SECONDS
        assert {result.status for result in world.results} == {200, 429}
        refused = [result for result in world.results if result.status == 429]
        assert all(float(result.retry_after or 0) > 0 for result in refused)
