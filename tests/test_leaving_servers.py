"""Servers that announce in their answers that they leave."""

from __future__ import annotations

from pathlib import Path

import pytest

from tests.directives import NO_DIRECTIVE, Directive
from tests.directiveworld import DirectiveWorld, list_after_leaving

INSTANCES = 4
PER_SECOND = 40.0
LEAVES_AT = 2.0
PLAY_SECONDS = 9.0
LEAVING = "s0-0"


@pytest.mark.parametrize("status", [200, 503])
async def test_leaving_server_gets_no_requests_though_its_row_says_ready(
    status: int, tmp_path: Path
) -> None:
    """The row still says ready, as during an outage of the store."""

    def leave(server_id: str, at: float) -> Directive:
        leaves = server_id == LEAVING and at >= LEAVES_AT
        return Directive(status=status, is_leaving=True) if leaves else NO_DIRECTIVE

    world = DirectiveWorld(tmp_path, INSTANCES, 3, leave)
    await world.run(
        lambda: world.send_requests(PER_SECOND, PLAY_SECONDS, side_task=None)
    )
    assert {sent.instance for sent in world.directives}
    assert not list_after_leaving(world.received, world.directives)
    assert {result.status for result in world.results} == {200}
