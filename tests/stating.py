"""Instances as processes before servers that say something of themselves in answers."""

from __future__ import annotations

import time
from collections import defaultdict
from collections.abc import Callable, Iterable
from pathlib import Path
from typing import NamedTuple

import trio

from tests.endings import WORK_SECONDS, World
from tests.servers import make_answer
from tests.soak.servers import parse_headers
from tests.statements import (
    LEAVING_SECONDS,
    LIMIT_SETTLED_SECONDS,
    LIMIT_WINDOW_SECONDS,
    SILENT,
    TOLD_SECONDS,
    Statement,
)


class Reached(NamedTuple):
    """A request that reached a server from an instance."""

    at: float
    server: str
    instance: int


class Stated(NamedTuple):
    """A statement that an instance was told."""

    at: float
    server: str
    instance: int
    statement: Statement


class StatingWorld(World):
    """Servers whose answers say what ``speak`` returns for a server and a time.

    The time is in seconds since the play began.
    """

    def __init__(
        self,
        folder: Path,
        instances: int,
        servers: int,
        speak: Callable[[str, float], Statement],
    ):
        super().__init__(folder, instances, servers, lambda body: False)
        self._speak = speak
        self.begun_at = float("inf")
        self.reached: list[Reached] = []
        self.stated: list[Stated] = []

    async def press(
        self, per_second: float, seconds: float, *, ends: Callable[[], object] | None
    ) -> None:
        """Send requests to the instances in turn, beside what ``ends`` does."""
        self.begun_at = time.monotonic()
        async with trio.open_nursery() as nursery:
            if ends is not None:
                nursery.start_soon(ends)  # type: ignore[arg-type]
            for number in range(round(per_second * seconds)):
                at = self.begun_at + number / per_second
                await trio.sleep(max(0.0, at - time.monotonic()))
                target = number % len(self.instances)
                nursery.start_soon(self.note, target, b"harmless")

    async def _answer(
        self,
        server_id: str,
        stream: trio.SocketStream,
        request: bytes,
        life: trio.Nursery,
    ) -> None:
        _, _, headers = parse_headers(request)
        request_id = headers.get("x-request-id", "")
        now = time.monotonic()
        statement = self._speak(server_id, now - self.begun_at)
        instance = self.asked.get(request_id, -1)
        if now >= self.begun_at:
            self.reached.append(Reached(now, server_id, instance))
        if statement.status == 200:
            await trio.sleep(WORK_SECONDS)
        if statement != SILENT:
            at = time.monotonic()
            self.stated.append(Stated(at, server_id, instance, statement))
        head = statement.format_headers()
        await stream.send_all(make_answer(b"done", request_id, statement.status, head))


def count_fullest_window(
    reached: Iterable[Reached], stated: Iterable[Stated], until: float
) -> int:
    """Return the most requests that a limited server got in a window.

    Counted are those of instances that it had told half a second before; the window
    ends between the time from which the limit binds and ``until``.
    """
    told: dict[int, float] = {}
    for word in sorted(stated):
        told.setdefault(word.instance, word.at)
    bound_from = min(told.values()) + LIMIT_SETTLED_SECONDS
    counted = sorted(
        r.at
        for r in reached
        if r.at <= until and r.at >= told.get(r.instance, r.at) + TOLD_SECONDS
    )
    return max(
        (
            sum(1 for at in counted if end - LIMIT_WINDOW_SECONDS <= at <= end)
            for end in counted
            if end >= bound_from
        ),
        default=0,
    )


def group_by_server(reached: Iterable[Reached]) -> dict[str, list[Reached]]:
    """Return the arrivals by the server that they reached."""
    groups: dict[str, list[Reached]] = defaultdict(list)
    for one in reached:
        groups[one.server].append(one)
    return groups


def list_late(reached: Iterable[Reached], stated: Iterable[Stated]) -> list[Reached]:
    """Return the requests that reached a server long after it had said it leaves."""
    told: dict[tuple[str, int], float] = {}
    for word in sorted(stated):
        if word.statement.is_leaving:
            told.setdefault((word.server, word.instance), word.at)
    never = float("inf")
    return [
        one
        for one in reached
        if one.at > told.get((one.server, one.instance), never) + LEAVING_SECONDS
    ]


def count_in_backoffs(reached: Iterable[Reached], stated: Iterable[Stated]) -> int:
    """Return the most requests that reached a server in a backoff it had asked for."""
    arrivals = group_by_server(reached)
    return max(
        (
            sum(
                1
                for one in arrivals[word.server]
                if one.instance == word.instance
                and word.at + TOLD_SECONDS <= one.at < word.at + word.statement.backoff
            )
            for word in stated
            if word.statement.backoff is not None
        ),
        default=0,
    )
