"""Requests are served by servers that can be reached, beside others that cannot."""

from __future__ import annotations

from pathlib import Path

import pytest
import trio

from tests.ports import find_free_port
from tests.unreachableworld import (
    UNREACHABLE,
    UnreachableWorld,
    listen_without_accepting,
)

RATE, SECONDS = 40.0, 8.0
COORDINATED = [pytest.param(0, id="alone"), pytest.param(2, id="coordinated")]


async def play(world: UnreachableWorld, ports: list[int]) -> None:
    async def send() -> None:
        # The members know each other, and the coordinators are connected.
        await trio.sleep(1.5)
        for number, port in enumerate(ports):
            world.add_entry(f"gone{number}", port)
        await world.send(RATE, SECONDS)

    await world.run(send)


@pytest.mark.parametrize("coordinated_from", COORDINATED)
@pytest.mark.parametrize("kind", ["idempotent", "non_idempotent"])
async def test_servers_that_refuse_connections_cost_no_request(
    kind: str, coordinated_from: int, tmp_path: Path
) -> None:
    """Refused connections used the retry budget up, and requests got 503."""
    world = UnreachableWorld(tmp_path, coordinated_from, kind)
    await play(world, [find_free_port() for _ in range(UNREACHABLE)])
    assert world.count_statuses() == {200: RATE * SECONDS}
    assert max(world.runs.values()) <= (1 if kind == "non_idempotent" else 2)


@pytest.mark.parametrize("coordinated_from", COORDINATED)
async def test_servers_at_which_connecting_hangs_cost_no_request(
    coordinated_from: int, tmp_path: Path
) -> None:
    world = UnreachableWorld(tmp_path, coordinated_from)
    with listen_without_accepting() as port:
        await play(world, [port] * UNREACHABLE)
    assert world.count_statuses() == {200: RATE * SECONDS}
