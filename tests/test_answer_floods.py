"""Servers of one service that write without end, beside another service."""

from __future__ import annotations

from pathlib import Path

import pytest

from ashpond.decisions.memorybudget import WRITER_SHARES, MemoryBudget
from tests.floodworld import FLOOD_PATH, SOUND_PATH, FloodWorld

WRITERS = ("server a", "service s")


async def test_answers_without_end_leave_memory_for_another_service(
    tmp_path: Path,
) -> None:
    world = FloodWorld(tmp_path, 80)
    await world.run(lambda: world.play(30.0, 6.0))
    assert set(world.statuses[SOUND_PATH]) == {200}
    assert 200 not in world.statuses[FLOOD_PATH]


@pytest.mark.parametrize(("other", "share"), [(0, 0), (1, 1)])
def test_answers_of_unknown_length_are_limited_by_server_and_service(
    other: int, share: int
) -> None:
    budget = MemoryBudget(1000)
    writers = [WRITERS, ("server b", WRITERS[1]), ("server c", WRITERS[1])]
    taken = 0
    for number in range(100):
        if budget.hold_for_writers(writers[number % (2 * other + 1)], 0, 10):
            taken += 10
    assert taken == 1000 * WRITER_SHARES[share]


def test_only_answer_of_a_server_may_be_of_any_size() -> None:
    budget = MemoryBudget(1000)
    held = 0
    while held < 900:
        assert budget.hold_for_writers(WRITERS, held, 100)
        held += 100
    assert not budget.hold_for_writers(WRITERS, 0, 100)
    budget.release_for_writers(WRITERS, held)
    assert budget.hold_for_writers(WRITERS, 0, 100)
