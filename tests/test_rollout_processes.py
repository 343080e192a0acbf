"""Real instances that are restarted while weights are replaced again and again."""

from __future__ import annotations

from functools import partial
from pathlib import Path

import pytest
import trio

from tests.rolloutworld import RolloutWorld

WEIGHTS_BOUND_SECONDS = 5.0
NAMING_SECONDS = 2.0
TARGETS = 7


@pytest.mark.alone
async def test_restarted_instances_send_nothing_to_engines_that_are_far_behind(
    tmp_path: Path,
) -> None:
    """An instance that had just started took the newest target for a new one."""
    world = RolloutWorld(tmp_path, 3, 6, WEIGHTS_BOUND_SECONDS, stuck=2)

    async def play() -> None:
        async with trio.open_nursery() as nursery:
            nursery.start_soon(world.send_requests)
            nursery.start_soon(world.restart_instances)
            await trio.sleep(1.0)
            await world.name_targets(TARGETS, NAMING_SECONDS)
            nursery.cancel_scope.cancel()

    await world.run(partial(play))
    assert world.list_late_runs(WEIGHTS_BOUND_SECONDS) == []
    # The engines that load take over the work of those that don't.
    assert max(engine.version for engine in world.engines) >= TARGETS
    refused = sum(status >= 500 for status in world.statuses)
    assert world.statuses.count(200) > refused
