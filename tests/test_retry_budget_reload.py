"""Settings that change in series do not reset the retry budget.

A change used to drop all counts: eight instances sent 2.60 times the budget.
"""

from __future__ import annotations

import random
import re
import signal
from bisect import bisect_left
from pathlib import Path

import trio

from tests.crashingservers import World
from tests.servers import make_answer
from tests.soak.servers import parse_headers

INSTANCES = 4
REQUEST_SECONDS = 0.015
PLAY_SECONDS = 16.0
FAILING_SHARE = 0.7
# The defaults of the settings.
SHARE = 0.2
SLACK = 50
WINDOW = 10.0


class FailingWorld(World):
    """A world whose servers fail most of their runs."""

    def __init__(self, folder: Path):
        super().__init__(folder, INSTANCES, 5, lambda body: False)
        self.first: dict[str, float] = {}
        self.repeated: list[float] = []
        self._rng = random.Random(1)

    async def _answer(  # type: ignore[override]
        self, server_id: str, stream: trio.SocketStream, request: bytes, *_: object
    ) -> None:
        request_id = parse_headers(request)[2]["x-request-id"]
        now = trio.current_time()
        if request_id in self.first:
            self.repeated.append(now)
        self.first.setdefault(request_id, now)
        failed = self._rng.random() < FAILING_SHARE and b"first" not in request
        status = 500 if failed else 200
        head = "X-Engine-Seal: s\r\n"
        await stream.send_all(make_answer(b"done", request_id, status, head))

    async def reload_in_series(self) -> None:
        """Change the settings of all instances each second."""
        for number in range(100):
            await trio.sleep(1.0)
            for instance in self.instances:
                text = instance.path.read_text()
                changed = re.sub("grace_s = .*", f"grace_s = {4 + number / 100}", text)
                instance.path.write_text(changed)
                instance.send(signal.SIGHUP)

    def measure_fullest_window(self) -> float:
        """Return the repeats of the fullest window as a share of what it allows."""
        first, repeated = sorted(self.first.values()), sorted(self.repeated)
        fullest = 0.0
        for until in repeated:
            since = until - WINDOW
            count = bisect_left(repeated, until + 1e-9) - bisect_left(repeated, since)
            served = bisect_left(first, until + 1e-9) - bisect_left(first, since)
            fullest = max(fullest, count / (SHARE * served + SLACK))
        return fullest


async def test_settings_that_change_in_series_keep_the_retry_budget(
    tmp_path: Path,
) -> None:
    world = FailingWorld(tmp_path)

    async def play() -> None:
        async with trio.open_nursery() as nursery:
            nursery.start_soon(world.reload_in_series)
            with trio.move_on_after(PLAY_SECONDS):
                number = 0
                while True:
                    nursery.start_soon(
                        world.ask_and_record, number % INSTANCES, b"%d" % number
                    )
                    number += 1
                    await trio.sleep(REQUEST_SECONDS)
            nursery.cancel_scope.cancel()

    await world.run(play)
    assert world.repeated
    assert world.measure_fullest_window() <= 1.0
