"""Servers that say in their answers that they leave."""

from __future__ import annotations

from pathlib import Path

import pytest

from tests.statements import SILENT, Statement
from tests.stating import StatingWorld, list_late

INSTANCES = 4
PER_SECOND = 40.0
LEAVES_AT = 2.0
PLAY_SECONDS = 9.0
LEAVING = "s0-0"


@pytest.mark.parametrize("status", [200, 503])
async def test_a_server_that_said_it_leaves_gets_no_more_whatever_its_row_says(
    status: int, tmp_path: Path
) -> None:
    """Its row goes on to say that it is ready, as with a store that is away."""

    def leave(server_id: str, at: float) -> Statement:
        leaves = server_id == LEAVING and at >= LEAVES_AT
        return Statement(status=status, is_leaving=True) if leaves else SILENT

    world = StatingWorld(tmp_path, INSTANCES, 3, leave)
    await world.run(lambda: world.press(PER_SECOND, PLAY_SECONDS, ends=None))
    assert {word.instance for word in world.stated}
    assert not list_late(world.reached, world.stated)
    assert {seen.status for seen in world.seen} == {200}
