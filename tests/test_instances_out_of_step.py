"""Streams that are taken up at an instance that misses a new software version."""

from __future__ import annotations

from pathlib import Path

import pytest
import trio

from ashpond.controllers.erarecord import FIRST_START_SECONDS
from tests.outofstepworld import Fault, OutOfStepWorld
from tests.streamclients import summarize

pytestmark = pytest.mark.alone
# At least so many streams began at the new version and were taken up.
MIN_NEW = 4
MIN_RESUMED = 12
GOING_ON_SHARE = 0.95


@pytest.mark.parametrize("has_leaving", [False, True])
@pytest.mark.parametrize("fault", list(Fault))
async def test_an_instance_out_of_step_joins_no_streams_of_two_versions(
    fault: Fault, has_leaving: bool, tmp_path: Path
) -> None:
    """Guards against a view of one version that lacks one that has just come."""
    world = OutOfStepWorld(tmp_path)
    await world.run(lambda: world.play(fault, has_leaving=has_leaving))
    outcome = summarize(world.streams)
    print(outcome)
    new = [s for s in world.streams if s.events and s.events[0].version == "v1.1"]
    assert sum(bool(s.list_resumptions()) for s in new) >= MIN_NEW
    assert outcome.mixed == 0
    assert outcome.out_of_order == 0


async def test_streams_of_the_only_version_go_on_where_no_peer_answers(
    tmp_path: Path,
) -> None:
    """Guards against refusals where the store shows that there is no other version."""
    world = OutOfStepWorld(tmp_path)

    async def play() -> None:
        await trio.sleep(FIRST_START_SECONDS + 1.0)
        await world.take_up_streams(Fault.CUT_OFF)

    await world.run(play)
    outcome = summarize(world.streams)
    print(outcome)
    assert outcome.resumed >= MIN_RESUMED
    assert outcome.went_on_share >= GOING_ON_SHARE
