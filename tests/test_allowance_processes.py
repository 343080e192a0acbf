"""A team that sends several times its limit at all instances, as processes."""

from __future__ import annotations

import signal
from pathlib import Path

import pytest
import trio

from tests.endings import HARMLESS_BODY, World

RATE = 20
WINDOW_SECONDS = 8.0
# In any window: the rate and a burst of a second, nothing besides.
BOUND = RATE * WINDOW_SECONDS + RATE
PLAY_SECONDS = 12.0
GAP_SECONDS = 0.012
INSTANCES = 4


def find_fullest_window(times: list[float]) -> int:
    times = sorted(times)
    return max(
        sum(1 for other in times if at <= other <= at + WINDOW_SECONDS) for at in times
    )


@pytest.mark.parametrize("ends", [None, 0, 3])
async def test_a_team_stays_within_its_limit_at_all_instances(
    ends: int | None, tmp_path: Path
) -> None:
    """Also while one of them, which may be the keeper, ends and begins anew."""
    limit: dict[str, object] = {"rate_per_s": RATE, "burst": RATE}
    world = World(tmp_path, INSTANCES, 3, lambda body: False, limit=limit)

    async def end(number: int) -> None:
        await trio.sleep(PLAY_SECONDS / 3)
        await world.instances[number].stop(signal.SIGKILL)
        world.instances[number].start()

    async def play() -> None:
        async with trio.open_nursery() as nursery:
            if ends is not None:
                nursery.start_soon(end, ends)
            for number in range(round(PLAY_SECONDS / GAP_SECONDS)):
                nursery.start_soon(world.note, number % INSTANCES, HARMLESS_BODY)
                await trio.sleep(GAP_SECONDS)

    await world.run(play)
    arrivals = [a.at for a in world.arrivals if a.body == HARMLESS_BODY]
    assert find_fullest_window(arrivals) <= BOUND
    if ends is None:
        assert len(arrivals) >= 0.8 * RATE * PLAY_SECONDS
        assert {seen.status for seen in world.seen} == {200, 429}
        refused = [seen for seen in world.seen if seen.status == 429]
        assert all(float(seen.retry_after or 0) > 0 for seen in refused)
