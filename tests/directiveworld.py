"""Instance processes with servers that send directives in their answers."""

from __future__ import annotations

import time
from collections import defaultdict
from collections.abc import Callable, Iterable
from pathlib import Path
from typing import NamedTuple

import trio

from tests.crashingservers import WORK_SECONDS, World
from tests.directives import (
    LEAVING_SECONDS,
    LIMIT_SETTLED_SECONDS,
    LIMIT_WINDOW_SECONDS,
    NO_DIRECTIVE,
    REACTION_SECONDS,
    Directive,
)
from tests.servers import make_answer
from tests.soak.servers import parse_headers


class ReceivedRequest(NamedTuple):
    """A request that reached a server from an instance."""

    at: float
    server: str
    instance: int


class SentDirective(NamedTuple):
    """A directive that a server has sent to an instance."""

    at: float
    server: str
    instance: int
    directive: Directive


class DirectiveWorld(World):
    """Servers whose answers carry the directive that ``choose_directive`` returns.

    Its arguments are the server's id and the seconds since the first request.
    """

    def __init__(
        self,
        folder: Path,
        instances: int,
        servers: int,
        choose_directive: Callable[[str, float], Directive],
    ):
        super().__init__(folder, instances, servers, lambda body: False)
        self._choose_directive = choose_directive
        self.started_at = float("inf")
        self.received: list[ReceivedRequest] = []
        self.directives: list[SentDirective] = []

    async def send_requests(
        self,
        per_second: float,
        seconds: float,
        *,
        side_task: Callable[[], object] | None,
    ) -> None:
        """Send requests to the instances in turn, while ``side_task`` runs."""
        self.started_at = time.monotonic()
        async with trio.open_nursery() as nursery:
            if side_task is not None:
                nursery.start_soon(side_task)  # type: ignore[arg-type]
            for number in range(round(per_second * seconds)):
                at = self.started_at + number / per_second
                await trio.sleep(max(0.0, at - time.monotonic()))
                target = number % len(self.instances)
                nursery.start_soon(self.ask_and_record, target, b"harmless")

    async def _answer(
        self,
        server_id: str,
        stream: trio.SocketStream,
        request: bytes,
        server_nursery: trio.Nursery,
    ) -> None:
        _, _, headers = parse_headers(request)
        request_id = headers.get("x-request-id", "")
        now = time.monotonic()
        directive = self._choose_directive(server_id, now - self.started_at)
        instance = self.instance_by_request.get(request_id, -1)
        if now >= self.started_at:
            self.received.append(ReceivedRequest(now, server_id, instance))
        if directive.status == 200:
            await trio.sleep(WORK_SECONDS)
        if directive != NO_DIRECTIVE:
            at = time.monotonic()
            self.directives.append(SentDirective(at, server_id, instance, directive))
        head = directive.format_headers()
        await stream.send_all(make_answer(b"done", request_id, directive.status, head))


def count_fullest_window(
    received: Iterable[ReceivedRequest],
    directives: Iterable[SentDirective],
    until: float,
) -> int:
    """Return the most requests that a limited server received in a window.

    Only requests of instances that received the limit at least half a second before
    count. The window ends between the time from which the limit binds and ``until``.
    """
    first_sent_at: dict[int, float] = {}
    for sent in sorted(directives):
        first_sent_at.setdefault(sent.instance, sent.at)
    bound_from = min(first_sent_at.values()) + LIMIT_SETTLED_SECONDS
    counted = sorted(
        r.at
        for r in received
        if r.at <= until
        and r.at >= first_sent_at.get(r.instance, r.at) + REACTION_SECONDS
    )
    return max(
        (
            sum(1 for at in counted if end - LIMIT_WINDOW_SECONDS <= at <= end)
            for end in counted
            if end >= bound_from
        ),
        default=0,
    )


def group_by_server(
    received: Iterable[ReceivedRequest],
) -> dict[str, list[ReceivedRequest]]:
    """Return the arrivals by the server that they reached."""
    groups: dict[str, list[ReceivedRequest]] = defaultdict(list)
    for one in received:
        groups[one.server].append(one)
    return groups


def list_after_leaving(
    received: Iterable[ReceivedRequest], directives: Iterable[SentDirective]
) -> list[ReceivedRequest]:
    """Return the requests that reached a server too long after its announcement."""
    first_sent_at: dict[tuple[str, int], float] = {}
    for sent in sorted(directives):
        if sent.directive.is_leaving:
            first_sent_at.setdefault((sent.server, sent.instance), sent.at)
    never = float("inf")
    return [
        one
        for one in received
        if one.at
        > first_sent_at.get((one.server, one.instance), never) + LEAVING_SECONDS
    ]


def count_during_backoffs(
    received: Iterable[ReceivedRequest], directives: Iterable[SentDirective]
) -> int:
    """Return the most requests that reached a server during one of its backoffs."""
    arrivals = group_by_server(received)
    return max(
        (
            sum(
                1
                for one in arrivals[sent.server]
                if one.instance == sent.instance
                and sent.at + REACTION_SECONDS
                <= one.at
                < sent.at + sent.directive.backoff
            )
            for sent in directives
            if sent.directive.backoff is not None
        ),
        default=0,
    )
