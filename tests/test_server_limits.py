"""Servers that name a rate limit for the requests of all instances together."""

from __future__ import annotations

import signal
from pathlib import Path

import pytest
import trio

from tests.directives import (
    LIMIT_SHARE,
    LIMIT_SLACK,
    LIMIT_WINDOW_SECONDS,
    NO_DIRECTIVE,
    Directive,
)
from tests.directiveworld import DirectiveWorld, count_fullest_window, group_by_server

RATE = 1.5
BOUND = LIMIT_SHARE * RATE * LIMIT_WINDOW_SECONDS + LIMIT_SLACK
INSTANCES = 6
SERVERS = 4
PER_SECOND = 60.0
NAMED_FROM = 2.0
LIFTED_AT = 14.0
PLAY_SECONDS = 18.0
LIMITED = "s0-0"


def name_limit(server_id: str, at: float) -> Directive:
    is_limited = server_id == LIMITED and NAMED_FROM <= at < LIFTED_AT
    return Directive(limit=RATE) if is_limited else NO_DIRECTIVE


@pytest.mark.parametrize("restarted", [None, 0, 5])
async def test_all_instances_together_keep_to_a_servers_rate_limit(
    restarted: int | None, tmp_path: Path
) -> None:
    """The limit holds while an instance restarts, and no call fails because of it."""
    world = DirectiveWorld(tmp_path, INSTANCES, SERVERS, name_limit)

    async def restart() -> None:
        assert restarted is not None
        await trio.sleep(PLAY_SECONDS / 2)
        await world.instances[restarted].stop(signal.SIGKILL)
        world.instances[restarted].start()

    async def play() -> None:
        await world.send_requests(
            PER_SECOND, PLAY_SECONDS, side_task=None if restarted is None else restart
        )

    await world.run(play)
    limited = group_by_server(world.received)[LIMITED]
    until = world.started_at + LIFTED_AT
    if restarted is not None:
        limited = [request for request in limited if request.instance != restarted]
    assert count_fullest_window(limited, world.directives, until) <= BOUND
    if restarted is None:
        assert {result.status for result in world.results} == {200}
    # Once the limit is lifted, the server gets its share of the requests again.
    assert sum(1 for request in limited if request.at > until + 1.0) > 4 * RATE * 3
