"""Servers that name the rate that they take from all instances together."""

from __future__ import annotations

import signal
from pathlib import Path

import pytest
import trio

from tests.statements import (
    LIMIT_SHARE,
    LIMIT_SLACK,
    LIMIT_WINDOW_SECONDS,
    SILENT,
    Statement,
)
from tests.stating import StatingWorld, count_fullest_window, group_by_server

RATE = 1.5
BOUND = LIMIT_SHARE * RATE * LIMIT_WINDOW_SECONDS + LIMIT_SLACK
INSTANCES = 6
SERVERS = 4
PER_SECOND = 60.0
NAMED_FROM = 2.0
LIFTED_AT = 14.0
PLAY_SECONDS = 18.0
LIMITED = "s0-0"


def name_limit(server_id: str, at: float) -> Statement:
    is_limited = server_id == LIMITED and NAMED_FROM <= at < LIFTED_AT
    return Statement(limit=RATE) if is_limited else SILENT


@pytest.mark.parametrize("ends", [None, 0, 5])
async def test_all_instances_together_keep_the_limit_that_a_server_names(
    ends: int | None, tmp_path: Path
) -> None:
    """Also while one of them ends and begins anew; no caller pays for it."""
    world = StatingWorld(tmp_path, INSTANCES, SERVERS, name_limit)

    async def end() -> None:
        assert ends is not None
        await trio.sleep(PLAY_SECONDS / 2)
        await world.instances[ends].stop(signal.SIGKILL)
        world.instances[ends].start()

    async def play() -> None:
        await world.press(PER_SECOND, PLAY_SECONDS, ends=None if ends is None else end)

    await world.run(play)
    limited = group_by_server(world.reached)[LIMITED]
    until = world.begun_at + LIFTED_AT
    if ends is not None:
        limited = [one for one in limited if one.instance != ends]
    assert count_fullest_window(limited, world.stated, until) <= BOUND
    if ends is None:
        assert {seen.status for seen in world.seen} == {200}
    # Once it names no limit any more, it gets its part of the requests again.
    assert sum(1 for one in limited if one.at > until + 1.0) > 4 * RATE * 3
