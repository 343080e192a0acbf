"""Most new connections come to one instance, up to the limit of its descriptors.

What it has read it serves; what it has not, another instance reads.
"""

from __future__ import annotations

import resource
from collections.abc import Sequence
from pathlib import Path
from typing import NamedTuple

import trio

from tests.crashingservers import World
from tests.servers import make_answer
from tests.soak.servers import parse_headers

INSTANCES = 3
WORK_SECONDS = 0.4
DESCRIPTORS = 128
# Requests a second before, and with most of them at the first instance.
CALM_PER_SECOND = 30.0
CROWDED_PER_SECOND = 240.0
CROWDED_SHARE = 0.9
CONTACT_SECONDS = 3.0
PLAY_SECONDS = 8.0
# The share of its requests read that the instance serves, against the time before.
LEAST_SERVED = 0.75


class Attempt(NamedTuple):
    """The result of a request at the first instance; status 0 if it was not read."""

    sent_at: float
    status: int
    later_status: int


class SlowWorld(World):
    """A world whose servers take long to answer."""

    def __init__(self, folder: Path):
        super().__init__(folder, INSTANCES, 4, lambda body: False)
        self.attempts: list[Attempt] = []

    async def _answer(  # type: ignore[override]
        self, server_id: str, stream: trio.SocketStream, request: bytes, *_: object
    ) -> None:
        request_id = parse_headers(request)[2]["x-request-id"]
        await trio.sleep(WORK_SECONDS)
        head = "X-Engine-Seal: s\r\n"
        await stream.send_all(make_answer(b"done", request_id, 200, head))

    async def attempt(self, body: bytes) -> None:
        """Send a request to the first instance, and to another if it is not read."""
        sent_at = trio.current_time()
        first = await self.ask(0, body)
        later = 0 if first.status else (await self.ask(1, body)).status
        self.attempts.append(Attempt(sent_at, first.status, later))

    async def send(self, per_second: float, shares: Sequence[float]) -> None:
        """Send requests to the first instance and to the others."""
        async with trio.open_nursery() as nursery:
            number = 0
            while True:
                number += 1
                body = b"%d" % number
                if number % 10 < shares[0] * 10:
                    nursery.start_soon(self.attempt, body)
                else:
                    nursery.start_soon(self.ask_and_record, 1 + number % 2, body)
                await trio.sleep(1 / per_second)


def measure_served(attempts: Sequence[Attempt]) -> float:
    """Return the share of the requests that were read, or never, that were served."""
    counted = [a for a in attempts if a.status or not a.later_status]
    assert counted
    return sum(attempt.status == 200 for attempt in counted) / len(counted)


async def test_requests_that_were_read_are_served_at_the_limit_of_descriptors(
    tmp_path: Path,
) -> None:
    world = SlowWorld(tmp_path)

    async def play() -> None:
        process = world.instances[0].process
        assert process is not None
        limits = (DESCRIPTORS, DESCRIPTORS)
        resource.prlimit(process.pid, resource.RLIMIT_NOFILE, limits)
        with trio.move_on_after(CONTACT_SECONDS):
            await world.send(CALM_PER_SECOND, [1 / INSTANCES])
        crowded_at.append(trio.current_time())
        with trio.move_on_after(PLAY_SECONDS):
            await world.send(CROWDED_PER_SECOND, [CROWDED_SHARE])

    crowded_at: list[float] = []
    await world.run(play)
    calm = [a for a in world.attempts if a.sent_at < crowded_at[0] - 1]
    since = crowded_at[0] + CONTACT_SECONDS
    crowded = [a for a in world.attempts if a.sent_at > since]
    assert measure_served(crowded) >= LEAST_SERVED * measure_served(calm)
    # Each is read here or elsewhere.
    assert all(attempt.status or attempt.later_status for attempt in crowded)
