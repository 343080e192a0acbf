"""No part of an answer is taken for a whole one, wherever its server stops."""

from __future__ import annotations

from collections import Counter
from collections.abc import AsyncIterator, Awaitable, Callable
from contextlib import asynccontextmanager

import httpx
import pytest
import trio

from ashpond.clients.channelpools import ChannelPool
from ashpond.clients.channels import Channel, ChannelError, OutgoingRequest
from ashpond.clients.engine import (
    EngineAnswer,
    EngineRequest,
    read_body,
    read_event_batches,
    send_request,
)
from ashpond.clients.http import make_client
from ashpond.clients.service import PlainAnswer, PlainRequest, send_plain
from ashpond.outcomes import Answered, MaybeRun
from tests.relays import Sender, run_relays
from tests.servers import make_answer, run_server
from tests.torn_answers import BODY, Ending, Shape, list_shapes, script_cuts

SHAPES = list_shapes(b"X-Request-Id: id-1\r\nX-Engine-Seal: s\r\n", BODY)
# Those that the callers' API gets from its servers.
SERVICE_SHAPES = list_shapes(b"X-Attempt-Id: a1\r\nX-Own: 1\r\n", BODY)
ENGINE_EVENTS = b"id: 1\ndata: a\n\nid: 2\ndata: [DONE]\n\n"
ENGINE_SHAPES = {
    name: shape
    for name, shape in list_shapes(b"X-Attempt-Id: a1\r\n", ENGINE_EVENTS).items()
    if shape.body
}
COMPLETION = b'{"id": "c1"}'
COMPLETION_SHAPES = {
    name: shape
    for name, shape in list_shapes(b"X-Attempt-Id: a1\r\n", COMPLETION).items()
    if shape.body
}
FIRST = make_answer(b"first")
FIRST_OF_SERVICE = FIRST.replace(b"X-Request-Id: id-1", b"X-Attempt-Id: a1")
WAYS = ["direct", "kept", "relayed"]
LONG_SECONDS = 60.0
# At most so many connections are open at once.
MAX_AT_ONCE = 20
MAX_BYTES = 1 << 20
Acquire = Callable[[], Awaitable[Channel]]
# What a reader got of an answer: its whole content, None if that was incomplete.
Content = bytes | None


def make_request(target: bytes, method: str = "POST") -> OutgoingRequest:
    headers = [(b"Host", b"x")]
    return OutgoingRequest(method, target, headers, b"", "id-1", b"x-request-id")


async def acquire_kept(address: str) -> Channel:
    """Return a connection on which one request has been answered."""
    channel = await ChannelPool().connect(address)
    response = await channel.exchange(make_request(b"/first"))
    assert await response.read_all(MAX_BYTES) == b"first"
    assert channel.prepare_reuse()
    return channel


async def acquire_relayed(sender: Sender) -> Channel:
    """Return a connection through a peer, which may be slow to open one."""
    while True:
        try:
            channel = await sender.acquire()
        except ChannelError as error:
            assert not error.is_sent
            await trio.sleep(0.1)
            continue
        assert channel.relay
        return channel


@asynccontextmanager
async def open_way(way: str, address: str) -> AsyncIterator[Acquire]:
    """Yield the function that returns another connection to a server."""
    if way == "relayed":
        async with run_relays({"s1": address}) as (sender, _):
            yield lambda: acquire_relayed(sender)
    elif way == "kept":
        yield lambda: acquire_kept(address)
    else:
        yield lambda: ChannelPool().connect(address)


async def fetch(acquire: Acquire, cut: int, shape: Shape) -> Content:
    channel = await acquire()
    try:
        response = await channel.exchange(make_request(b"/%d" % cut, shape.method))
        return await response.read_all(MAX_BYTES)
    except ChannelError as error:
        assert error.is_sent
        return None
    finally:
        channel.close()


async def read_all_cuts(
    read: Callable[[int], Awaitable[Content]], cuts: range
) -> dict[int, Content]:
    """Return what is read of each part of an answer."""
    contents: dict[int, Content] = {}
    limiter = trio.CapacityLimiter(MAX_AT_ONCE)

    async def read_one(cut: int) -> None:
        async with limiter:
            contents[cut] = await read(cut)

    with trio.fail_after(LONG_SECONDS):
        async with trio.open_nursery() as nursery:
            for cut in cuts:
                nursery.start_soon(read_one, cut)
    return contents


@pytest.mark.parametrize("way", WAYS)
@pytest.mark.parametrize("ending", Ending)
@pytest.mark.parametrize("name", SHAPES)
async def test_no_part_of_an_answer_is_read_as_a_whole_one(
    name: str, ending: Ending, way: str
) -> None:
    shape = SHAPES[name]
    runs: Counter[int] = Counter()
    first = FIRST if way == "kept" else b""
    async with (
        run_server(script_cuts(shape, ending, runs, first)) as address,
        open_way(way, address) as acquire,
    ):
        cuts = shape.list_cuts(ending)
        contents = await read_all_cuts(lambda cut: fetch(acquire, cut, shape), cuts)
        assert runs == Counter(cuts)
        whole = await fetch(acquire, len(shape.data), shape)
    assert contents == dict.fromkeys(cuts)
    assert whole == shape.find_content(ending)


@pytest.mark.parametrize("ending", [Ending.END, Ending.RESET])
@pytest.mark.parametrize("name", ["length", "chunks", "trailers", "neither"])
@pytest.mark.parametrize("rest", [b"\r\n", b"0\r\n\r\n", b"more", FIRST[:25]])
async def test_late_bytes_of_the_first_answer_complete_no_part_of_the_second(
    rest: bytes, name: str, ending: Ending
) -> None:
    shape = SHAPES[name]
    shape = shape._replace(data=rest + shape.data)
    runs: Counter[int] = Counter()
    async with run_server(script_cuts(shape, ending, runs, FIRST)) as address:
        cuts = shape.list_cuts(ending)
        contents = await read_all_cuts(
            lambda cut: fetch(lambda: acquire_kept(address), cut, shape), cuts
        )
        assert runs == Counter(cuts)
        whole = await fetch(lambda: acquire_kept(address), len(shape.data), shape)
    assert contents == dict.fromkeys(cuts)
    assert whole in (None, shape.body)


async def fetch_plain(
    client: httpx.AsyncClient, address: str, cut: int, shape: Shape
) -> Content:
    request = PlainRequest(shape.method, f"/{cut}", "", {}, b"", "a1", LONG_SECONDS)
    outcome = await send_plain(client, address, request)
    if not isinstance(outcome, Answered):
        assert isinstance(outcome, MaybeRun)
        return None
    answer: PlainAnswer = outcome.response
    assert answer.is_close_delimited == shape.is_close_delimited
    return answer.body


async def open_engine_answer(
    client: httpx.AsyncClient, address: str, cut: int
) -> EngineAnswer | None:
    request = EngineRequest(f"/{cut}", b"{}", "a1", "salt", "w1", 0, LONG_SECONDS)
    outcome = await send_request(client, address, request)
    assert isinstance(outcome, Answered | MaybeRun)
    return outcome.response if isinstance(outcome, Answered) else None


async def fetch_completion(
    client: httpx.AsyncClient, address: str, cut: int, shape: Shape
) -> Content:
    answer = await open_engine_answer(client, address, cut)
    try:
        return None if answer is None else await read_body(answer)
    except httpx.HTTPError:
        return None


async def fetch_events(
    client: httpx.AsyncClient, address: str, cut: int, shape: Shape
) -> Content:
    """Return the events of a stream up to its end event, None if that is missing."""
    answer = await open_engine_answer(client, address, cut)
    if answer is None:
        return None
    content = b""
    try:
        async for batch in read_event_batches(answer.response):
            for event in batch:
                content += event.data
                if event.is_end:
                    return content
    except httpx.HTTPError:
        return None
    finally:
        await answer.response.aclose()
    return None


KINDS = {
    "plain": (SERVICE_SHAPES, fetch_plain),
    "completion": (COMPLETION_SHAPES, fetch_completion),
    "stream": (ENGINE_SHAPES, fetch_events),
}
END_EVENT = b"[DONE]\n\n"
CASES = [(kind, name) for kind, (shapes, _) in KINDS.items() for name in shapes]


def find_proof(kind: str, shape: Shape) -> int:
    """Return how many bytes of an answer suffice to show that it is whole."""
    if kind == "stream":
        return shape.data.index(END_EVENT) + len(END_EVENT)
    return len(shape.data) + 1


@pytest.mark.parametrize("is_kept", [False, True])
@pytest.mark.parametrize("ending", Ending)
@pytest.mark.parametrize(("kind", "name"), CASES)
async def test_no_part_of_an_answer_is_one_for_a_caller(
    kind: str, name: str, ending: Ending, is_kept: bool
) -> None:
    shapes, fetch_part = KINDS[kind]
    shape = shapes[name]
    runs: Counter[int] = Counter()
    first = FIRST_OF_SERVICE if is_kept else b""

    async def read_part(cut: int) -> Content:
        async with make_client(5.0, LONG_SECONDS) as client:
            if is_kept:
                kept = PlainRequest("GET", "/first", "", {}, b"", "a1", LONG_SECONDS)
                assert isinstance(await send_plain(client, address, kept), Answered)
            return await fetch_part(client, address, cut, shape)

    async with run_server(script_cuts(shape, ending, runs, first)) as address:
        cuts = shape.list_cuts(ending)
        contents = await read_all_cuts(read_part, cuts)
        assert runs == Counter(cuts)
        whole = await read_part(len(shape.data))
    # The end event of a stream is proof that it is whole.
    unproven = range(min(cuts.stop, find_proof(kind, shape)))
    assert contents == {cut: None if cut in unproven else shape.body for cut in cuts}
    is_proven = kind == "stream"
    assert whole == (shape.body if is_proven else shape.find_content(ending))
