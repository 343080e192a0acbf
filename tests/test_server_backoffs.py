"""Instance processes and servers that reject requests and ask for a backoff."""

from __future__ import annotations

from pathlib import Path

import pytest

from tests.directives import BACKOFF_SLACK, NO_DIRECTIVE, Directive
from tests.directiveworld import DirectiveWorld, count_during_backoffs

INSTANCES = 4
PER_SECOND = 60.0
BEGINS_AT = 1.5
ENDS_AT = 8.0
PLAY_SECONDS = 12.0
BACKOFF_SECONDS = 3.0
OVERLOADED = ("s0-0", "s1-0")


def ask_for_backoff(server_id: str, at: float) -> Directive:
    is_overloaded = server_id in OVERLOADED and BEGINS_AT <= at < ENDS_AT
    return Directive(503, backoff=BACKOFF_SECONDS) if is_overloaded else NO_DIRECTIVE


async def test_server_gets_no_requests_during_its_backoff(tmp_path: Path) -> None:
    """Two of four servers reject all requests, which the other two then answer."""
    world = DirectiveWorld(tmp_path, INSTANCES, 4, ask_for_backoff)
    await world.run(
        lambda: world.send_requests(PER_SECOND, PLAY_SECONDS, side_task=None)
    )
    assert world.directives
    assert count_during_backoffs(world.received, world.directives) <= BACKOFF_SLACK
    assert {result.status for result in world.results} == {200}
    later = {
        r.server for r in world.received if r.at > world.started_at + ENDS_AT + 3.5
    }
    assert later >= set(OVERLOADED)


@pytest.mark.parametrize("backoff", [3.0])
async def test_retry_after_covers_the_backoff_if_all_servers_ask_for_one(
    backoff: float, tmp_path: Path
) -> None:
    def reject(server_id: str, at: float) -> Directive:
        return (
            Directive(503, backoff=backoff) if BEGINS_AT <= at < 4.0 else NO_DIRECTIVE
        )

    world = DirectiveWorld(tmp_path, 2, 2, reject)
    await world.run(lambda: world.send_requests(40.0, 4.0, side_task=None))
    assert count_during_backoffs(world.received, world.directives) <= BACKOFF_SLACK
    refused = [
        result
        for result in world.results
        if result.status == 503 and result.sent_at > world.started_at + BEGINS_AT + 0.5
    ]
    assert refused
    for result in refused:
        ends_at = BEGINS_AT + world.started_at + backoff
        assert result.sent_at + float(result.retry_after or 0) >= ends_at - 0.5
