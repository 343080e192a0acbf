"""What clients of routes see of servers that stop in the middle of an answer."""

from __future__ import annotations

from collections import Counter
from collections.abc import AsyncIterator
from contextlib import asynccontextmanager

import pytest
import trio

from tests import torn_answers
from tests.servers import make_answer, read_request, run_server
from tests.test_gateway_ingress import (
    LONG_ROUTE,
    RunningGateway,
    make_request,
    run_gateway,
)
from tests.test_unframed_answers import SeenAnswer, read_to_end
from tests.torn_answers import BODY, EVENTS, Ending, Shape, list_shapes, send_part

# An instance that seems cut off asks an engine for its state; these servers refuse.
READ_OF_STATE = b"GET /api/report "

LINES = b"X-Request-Id: i00000\r\nX-Engine-Seal: s\r\n"
SEAL = b"x-engine-seal"
KINDS = {
    "idempotent": {"kind": "idempotent"},
    "unrepeatable": {"kind": "non_idempotent"},
    "resumable": {"kind": "stream", "resumable": True},
    "unresumable": {"kind": "stream", "resumable": False},
}
REPEATABLE = ("idempotent", "resumable")
ROUTES = [
    {
        **LONG_ROUTE,
        "name": name,
        "prefix": f"/{name}/",
        "max_attempts": 2,
        "resumable": False,
        **fields,
    }
    for name, fields in KINDS.items()
]
SHAPES = {
    kind: list_shapes(LINES, BODY if kind in ("idempotent", "unrepeatable") else EVENTS)
    for kind in KINDS
}
# Those of which parts are followed by nothing until the deadline.
SILENT_SHAPES = ("length", "chunks", "103 first", "neither", "HEAD")
# More bytes than any answer has.
WHOLE = 1 << 20
SHORT_MS, LONG_MS = 400, 120_000
LONG_SECONDS = 120.0
MAX_AT_ONCE = 10
NOT_RUN = 503
OWN_STATUSES = (502, NOT_RUN, 504)


class Outcome(SeenAnswer):
    """What a client saw."""

    @property
    def status(self) -> int:
        return int(self.data.split(b" ")[1]) if self.data else 0


class TornServers:
    """Servers that stop in the middle of their first answer to each request.

    ``runs`` counts the requests by id.
    """

    def __init__(self) -> None:
        self.parts: dict[str, tuple[Shape, int, Ending]] = {}
        self.runs: Counter[str] = Counter()

    def add(self, shape: Shape, cut: int, ending: Ending) -> str:
        """Return the id of a request whose first answer stops after ``cut`` bytes."""
        request_id = f"i{len(self.parts):05}"
        self.parts[request_id] = (shape, cut, ending)
        return request_id

    async def serve(self, stream: trio.SocketStream, number: int) -> None:
        while request := await read_request(stream):
            headers = _read_headers(request)
            if request.startswith(READ_OF_STATE):
                await stream.send_all(make_answer(b"", status=404))
                continue
            request_id = headers["x-request-id"]
            shape, cut, ending = self.parts[request_id]
            self.runs[request_id] += 1
            data = shape.data.replace(b"i00000", request_id.encode())
            if self.runs[request_id] == 1 and cut <= len(data):
                await send_part(stream, data[:cut], ending)
                return
            last_event = headers.get("last-event-id")
            if last_event is not None:
                data = make_rest(request_id, last_event)
            await stream.send_all(data)
            if last_event is None and shape.is_close_delimited:
                await stream.send_eof()
                return


def _read_headers(request: bytes) -> dict[str, str]:
    lines = request.partition(b"\r\n\r\n")[0].decode().split("\r\n")[1:]
    return {
        name.lower(): value.strip()
        for name, _, value in (line.partition(":") for line in lines)
    }


def make_rest(request_id: str, last_event: str) -> bytes:
    """Return an answer with the events after one of them."""
    begin = EVENTS.index(f"id: {last_event}\n".encode())
    rest = EVENTS[EVENTS.index(b"\n\n", begin) + 2 :]
    return make_answer(rest, request_id, extra="X-Engine-Seal: s\r\n")


@asynccontextmanager
async def run_torn_servers() -> AsyncIterator[tuple[TornServers, RunningGateway]]:
    servers = TornServers()
    async with (
        run_server(servers.serve) as first,
        run_server(servers.serve) as second,
        run_gateway(first, second, routes=ROUTES) as running,
    ):
        yield servers, running


async def ask(
    running: RunningGateway, kind: str, method: str, request_id: str, deadline_ms: int
) -> Outcome:
    request = make_request(f"/{kind}/1", method=method)
    request = request.replace(b"id-1", request_id.encode())
    request = request.replace(b"%d" % LONG_MS, b"%d" % deadline_ms)
    request = request.replace(b"\r\n\r\n", b"\r\nConnection: close\r\n\r\n")
    async with await running.connect() as stream:
        await stream.send_all(request)
        return Outcome(*await read_to_end(stream))


def is_sound(seen: Outcome, kind: str, shape: Shape, runs: int) -> bool:
    """Return whether a client may see this after servers ran its request so often."""
    if runs > (2 if kind in REPEATABLE else 1):
        return False
    if seen.status in OWN_STATUSES:
        # 503 promises that the request has not run.
        is_honest = runs == 0 if seen.status == NOT_RUN else runs > 0
        is_whole = seen.body == b"" if shape.method == "HEAD" else seen.has_own_end()
        return is_honest and is_whole and SEAL not in seen.head and not seen.is_reset
    if seen.status != shape.status:
        return False
    if not shape.body:
        return runs == 2 and not seen.body
    if seen.looks_complete():
        return seen.content == shape.body
    return shape.body.startswith(seen.content)


async def collect_unsound(
    servers: TornServers,
    running: RunningGateway,
    kind: str,
    parts: list[tuple[Shape, int, Ending]],
    deadline_ms: int = LONG_MS,
) -> tuple[list[object], Counter[int]]:
    """Return what no client may see, and how often servers ran a request.

    A whole answer precedes each part, so that most of them come on used connections.
    """
    unsound: list[object] = []
    runs: Counter[int] = Counter()
    limiter = trio.CapacityLimiter(MAX_AT_ONCE)

    async def ask_one(shape: Shape, cut: int, ending: Ending) -> None:
        async with limiter:
            whole_id = servers.add(shape, WHOLE, ending)
            part_id = servers.add(shape, cut, ending)
            await ask(running, kind, shape.method, whole_id, LONG_MS)
            seen = await ask(running, kind, shape.method, part_id, deadline_ms)
        count = servers.runs[part_id]
        runs[count] += 1
        if not is_sound(seen, kind, shape, count):
            unsound.append((shape.data[:cut], seen, count))

    with trio.fail_after(LONG_SECONDS):
        async with trio.open_nursery() as nursery:
            for part in parts:
                nursery.start_soon(ask_one, *part)
    return unsound, runs


@pytest.mark.parametrize("ending", Ending)
@pytest.mark.parametrize("kind", KINDS)
async def test_no_client_takes_a_part_of_an_answer_for_a_whole_one(
    kind: str, ending: Ending
) -> None:
    parts = [
        (shape, cut, ending)
        for shape in SHAPES[kind].values()
        for cut in shape.list_edges(ending)
    ]
    async with run_torn_servers() as (servers, running):
        unsound, runs = await collect_unsound(servers, running, kind, parts)
    assert unsound == []
    # Otherwise the parts would not have been sent at all.
    assert runs[0] <= 0.1 * len(parts)


@pytest.mark.parametrize("kind", KINDS)
async def test_a_part_that_nothing_follows_is_no_answer_at_the_deadline(
    kind: str, monkeypatch: pytest.MonkeyPatch
) -> None:
    monkeypatch.setattr(torn_answers, "SILENT_SECONDS", LONG_SECONDS)
    ending = Ending.SILENCE
    parts = [
        (shape, cut, ending)
        for shape in (SHAPES[kind][name] for name in SILENT_SHAPES)
        for cut in shape.list_edges(ending)
    ]
    async with run_torn_servers() as (servers, running):
        unsound, runs = await collect_unsound(servers, running, kind, parts, SHORT_MS)
    assert unsound == []
    assert runs[0] <= 0.1 * len(parts)


async def test_a_failed_head_request_keeps_its_clients_connection() -> None:
    """A body in its answer would be read as the next answer."""
    shape = SHAPES["unrepeatable"]["HEAD"]
    async with run_torn_servers() as (servers, running):
        ids = [servers.add(shape, cut, Ending.END) for cut in (40, WHOLE)]
        async with await running.connect() as stream:
            heads = []
            for request_id in ids:
                request = make_request("/unrepeatable/1", method="HEAD")
                await stream.send_all(request.replace(b"id-1", request_id.encode()))
                heads.append(await read_request(stream, with_body=False))
    assert [head.split(b" ")[1] for head in heads] == [b"502", b"200"]
    assert all(head.endswith(b"\r\n\r\n") for head in heads)
