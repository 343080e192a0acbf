"""Servers that reject requests and ask for a backoff."""

from __future__ import annotations

from pathlib import Path

import pytest

from tests.statements import BACKOFF_SLACK, SILENT, Statement
from tests.stating import StatingWorld, count_in_backoffs

INSTANCES = 4
PER_SECOND = 60.0
BEGINS_AT = 1.5
ENDS_AT = 8.0
PLAY_SECONDS = 12.0
BACKOFF_SECONDS = 3.0
OVERLOADED = ("s0-0", "s1-0")


def ask_for_backoff(server_id: str, at: float) -> Statement:
    is_overloaded = server_id in OVERLOADED and BEGINS_AT <= at < ENDS_AT
    return Statement(503, backoff=BACKOFF_SECONDS) if is_overloaded else SILENT


async def test_a_server_that_asked_for_a_backoff_is_left_alone(tmp_path: Path) -> None:
    """Two of four reject all; the requests of callers go to the others at once."""
    world = StatingWorld(tmp_path, INSTANCES, 4, ask_for_backoff)
    await world.run(lambda: world.press(PER_SECOND, PLAY_SECONDS, ends=None))
    assert world.stated
    assert count_in_backoffs(world.reached, world.stated) <= BACKOFF_SLACK
    assert {seen.status for seen in world.seen} == {200}
    later = {r.server for r in world.reached if r.at > world.begun_at + ENDS_AT + 3.5}
    assert later >= set(OVERLOADED)


@pytest.mark.parametrize("backoff", [3.0])
async def test_callers_learn_when_to_come_back_if_all_servers_ask_for_a_backoff(
    backoff: float, tmp_path: Path
) -> None:
    def reject(server_id: str, at: float) -> Statement:
        return Statement(503, backoff=backoff) if BEGINS_AT <= at < 4.0 else SILENT

    world = StatingWorld(tmp_path, 2, 2, reject)
    await world.run(lambda: world.press(40.0, 4.0, ends=None))
    assert count_in_backoffs(world.reached, world.stated) <= BACKOFF_SLACK
    refused = [
        seen
        for seen in world.seen
        if seen.status == 503 and seen.sent_at > world.begun_at + BEGINS_AT + 0.5
    ]
    assert refused
    for seen in refused:
        ends_at = BEGINS_AT + world.begun_at + backoff
        assert seen.sent_at + float(seen.retry_after or 0) >= ends_at - 0.5
