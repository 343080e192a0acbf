"""A prompt part that crashes every server which begins to answer a request with it.

No two of the requests are alike, and sound ones share their key, path and first part.
"""

from __future__ import annotations

from collections.abc import Callable
from pathlib import Path

import pytest
import trio

from tests.crashingservers import World, make_configuration

CONTACT_SECONDS = 3.0
MAX_LATE = 3
CRASHES = 5
DEADLY_GAP_SECONDS = 0.2
SOUND_GAP_SECONDS = 0.025
PLAY_SECONDS = 16.0
LEAST_SERVED = 0.99
RULES, DEADLY = "aa", "dd"


class PromptWorld(World):
    """A world whose servers have a model."""

    def __init__(self, folder: Path, instances: int):
        super().__init__(folder, instances, 8, lambda body: False)
        self.deadly_parts = {DEADLY}
        self.has_model = True

    def make_configuration(self) -> dict[str, object]:
        engine = {
            "slots": 64,
            "kv_capacity_tokens": 100_000,
            "models": [{"name": "m1"}],
        }
        services = [{"name": "s1", "engine": engine}]
        return {**make_configuration(), "services": services}

    async def send(self, gap: float, make_parts: Callable[[int], list[str]]) -> None:
        """Send requests with different bodies to each instance in turn."""
        async with trio.open_nursery() as nursery:
            number = 0
            while True:
                parts = [*make_parts(number), f"f{number:x}"]
                body = ",".join(parts).encode()
                index = number % len(self.instances)
                nursery.start_soon(self.ask_and_record, index, body, "/x/1", parts)
                number += 1
                await trio.sleep(gap)


def is_deadly(body: bytes) -> bool:
    return DEADLY in body.decode().split(",")


@pytest.mark.parametrize("place", [0, 1])
async def test_a_part_that_crashes_servers_reaches_no_more_of_them(
    place: int, tmp_path: Path
) -> None:
    world = PromptWorld(tmp_path, 6)

    def make_deadly_parts(number: int) -> list[str]:
        parts = [RULES, f"e{number:x}"]
        parts.insert(place, DEADLY)
        return parts

    async def play() -> None:
        async with trio.open_nursery() as nursery:
            nursery.start_soon(
                world.send,
                SOUND_GAP_SECONDS,
                lambda number: [RULES, f"b{number % 40:x}"],
            )
            await trio.sleep(2.0)
            nursery.start_soon(world.send, DEADLY_GAP_SECONDS, make_deadly_parts)
            await trio.sleep(PLAY_SECONDS)
            nursery.cancel_scope.cancel()

    await world.run(play)
    crashed_at = sorted(crash.at for crash in world.crashes)
    assert crashed_at
    fifth_at = crashed_at[min(len(crashed_at), CRASHES) - 1]
    late = [
        arrival
        for arrival in world.arrivals
        if is_deadly(arrival.body) and arrival.at > fifth_at + CONTACT_SECONDS
    ]
    assert len(crashed_at) < CRASHES or len(late) <= MAX_LATE
    since = fifth_at + 2 * CONTACT_SECONDS
    sound = [r for r in world.results if r.sent_at > since and not is_deadly(r.body)]
    served = sum(result.status == 200 for result in sound)
    assert sound
    assert served >= LEAST_SERVED * len(sound)
