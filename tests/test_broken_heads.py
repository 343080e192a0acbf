"""No client gets an answer whose head is no head of HTTP/1.1."""

from __future__ import annotations

import pytest
import trio

from ashpond.clients.channelpools import ChannelPool
from ashpond.clients.channels import ChannelError
from ashpond.gateway.orders import WeightsOrder
from ashpond.gateway.store import Row
from ashpond.outcomes import MaybeRun, Unknown
from ashpond_platform.engines import build_engine_port
from ashpond_platform.store import build_store
from tests.broken_answers import BODY, ID, ask, collect_unsound
from tests.broken_heads import BROKEN_HEADS
from tests.gateway_builders import make_server
from tests.relays import make_request
from tests.servers import make_answer, read_request, run_server
from tests.soak.servers import parse_headers
from tests.test_gateway_ingress import run_gateway
from tests.test_torn_answers import LONG_SECONDS, MAX_BYTES, WAYS, open_way
from tests.test_torn_routed_answers import KINDS, ROUTES

# Those that clients of all kinds of route are shown.
ROUTED_HEADS = (
    *("status 000", "status 099", "status 101", "status 600", "status 999"),
    *("blank inside", "control byte inside", "blank behind", "empty name", "no colon"),
    *("blank in front", "tab in front, in hints", "length, blank in front"),
    *("chunks, tab in front", "length, blank behind", "chunks, control byte behind"),
)


@pytest.mark.parametrize("name", BROKEN_HEADS)
@pytest.mark.parametrize("way", WAYS)
async def test_an_answer_with_a_broken_head_is_an_error(way: str, name: str) -> None:
    async def script(stream: trio.SocketStream, number: int) -> None:
        if way == "kept":
            await read_request(stream)
            await stream.send_all(make_answer(b"first"))
        if await read_request(stream):
            await stream.send_all(BROKEN_HEADS[name])
            await stream.send_eof()

    async with run_server(script) as address, open_way(way, address) as acquire:
        channel = await acquire()
        with trio.fail_after(LONG_SECONDS), pytest.raises(ChannelError) as caught:
            response = await channel.exchange(make_request())
            await response.read_all(MAX_BYTES)
        assert caught.value.is_sent
        channel.close()


@pytest.mark.parametrize("way", WAYS)
async def test_a_broken_head_after_a_late_answer_is_an_error(way: str) -> None:
    late = make_answer(b"late", "id-0")

    async def script(stream: trio.SocketStream, number: int) -> None:
        if way == "kept":
            await read_request(stream)
            await stream.send_all(make_answer(b"first"))
        if await read_request(stream):
            await stream.send_all(late + BROKEN_HEADS["blank in front"])
            await stream.send_eof()

    async with run_server(script) as address, open_way(way, address) as acquire:
        channel = await acquire()
        with pytest.raises(ChannelError):
            await channel.exchange(make_request())
        channel.close()


@pytest.mark.parametrize("way", WAYS)
@pytest.mark.parametrize("hints", [b"", b"HTTP/1.1 103 X\r\nX-Hint: 1\r\n\r\n"])
async def test_lines_of_a_body_may_begin_with_blanks(hints: bytes, way: str) -> None:
    body = b" a\r\n b\r\n\tc\r\n\r\n d"
    late = make_answer(body, "id-0")

    async def script(stream: trio.SocketStream, number: int) -> None:
        if way == "kept":
            await read_request(stream)
            await stream.send_all(make_answer(b"first"))
        if await read_request(stream):
            await stream.send_all(late + hints + make_answer(body))

    async with run_server(script) as address, open_way(way, address) as acquire:
        channel = await acquire()
        response = await channel.exchange(make_request())
        assert await response.read_all(MAX_BYTES) == body
        channel.close()


@pytest.mark.parametrize("kind", KINDS)
async def test_no_client_gets_an_answer_with_a_broken_head(kind: str) -> None:
    names = iter(ROUTED_HEADS)

    async def send(stream: trio.SocketStream, fields: bytes) -> None:
        await stream.send_all(BROKEN_HEADS[next(names)].replace(ID, fields))
        await stream.send_eof()

    assert await collect_unsound(send, kind, ROUTED_HEADS) == {}


@pytest.mark.parametrize("status", [b"000", b"600", b"999"])
async def test_an_order_or_a_write_without_a_status_may_have_been_performed(
    status: bytes,
) -> None:
    async def script(stream: trio.SocketStream, number: int) -> None:
        while await read_request(stream):
            await stream.send_all(make_answer(b"{}").replace(b"200", status, 1))

    async with run_server(script) as address:
        port = build_engine_port(ChannelPool())
        order = WeightsOrder("m1", 2, "i0", 41, 3)
        ordered = await port.order(make_server(address=address), order)
        store = build_store(lambda: address, ChannelPool())
        written = await store.write([], [Row("t", "k", b"v", 0)])
    assert isinstance(ordered, MaybeRun)
    assert isinstance(written, Unknown)


async def test_fields_after_the_last_chunk_reach_no_client() -> None:
    """Neither do continued ones, which leave the body as it is."""
    trailers = b"X-Sum: 1\r\n 2\r\n"

    async def script(stream: trio.SocketStream, number: int) -> None:
        while request := await read_request(stream):
            _, _, headers = parse_headers(request)
            answer = make_answer(b"", headers["x-request-id"])
            answer = answer.replace(b"Content-Length: 0", b"Transfer-Encoding: chunked")
            await stream.send_all(answer + b"5\r\nwhole\r\n0\r\n" + trailers + b"\r\n")

    async with (
        run_server(script) as address,
        run_gateway(address, routes=ROUTES) as running,
    ):
        seen = await ask(running, "unrepeatable", "id-1")
    assert (seen.status, seen.content) == (200, BODY)
    assert b"x-sum" not in seen.data.lower()
