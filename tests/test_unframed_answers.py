"""Answers of servers with neither a length nor chunks, as their clients see them."""

from __future__ import annotations

from typing import NamedTuple

import h11
import pytest
import trio

from ashpond.clients.responseheads import Framing
from tests.gateway_builders import make_route, make_server, make_table
from tests.scripted import BROKEN, RESUMABLE, STREAM as STREAM_ROUTE, Answer, run_call
from tests.servers import read_request, run_server
from tests.test_gateway_ingress import make_request, run_gateway

HEAD = b"HTTP/1.1 200 X\r\nX-Request-Id: id-1\r\nX-Engine-Seal: s\r\n"
CHUNKED = b"Transfer-Encoding: chunked\r\n"
EVENTS = b"id: 1\ndata: a\n\nid: 2\ndata: b\n\n"
PLAIN, STREAM = "/x/1", "/s/1"


class SeenAnswer(NamedTuple):
    """What a client received until its connection ended or was reset."""

    data: bytes
    is_reset: bool

    @property
    def head(self) -> bytes:
        return self.data.partition(b"\r\n\r\n")[0].lower()

    @property
    def body(self) -> bytes:
        return self.data.partition(b"\r\n\r\n")[2]

    @property
    def content(self) -> bytes:
        """The body without chunk sizes, as far as it arrived."""
        conn = h11.Connection(h11.CLIENT)
        conn.send(h11.Request(method="GET", target="/", headers=[("Host", "a")]))
        conn.send(h11.EndOfMessage())
        conn.receive_data(self.data)
        content = b""
        while True:
            event = conn.next_event()
            if isinstance(event, h11.Data):
                content += bytes(event.data)
            elif not isinstance(event, h11.Response):
                return content

    def has_own_end(self) -> bool:
        """Return whether a length or a last chunk says that the body is complete."""
        if b"transfer-encoding: chunked" in self.head:
            return self.body.endswith(b"0\r\n\r\n")
        return b"content-length: %d" % len(self.body) in self.head

    def looks_complete(self) -> bool:
        """Return whether a client takes the answer for a complete one."""
        has_length = b"content-length" in self.head or b"chunked" in self.head
        return self.has_own_end() or not (has_length or self.is_reset)


async def read_to_end(stream: trio.SocketStream) -> SeenAnswer:
    data = b""
    try:
        while piece := await stream.receive_some(65_536):
            data += piece
    except trio.BrokenResourceError:
        return SeenAnswer(data, is_reset=True)
    return SeenAnswer(data, is_reset=False)


async def ask(answer: bytes, target: str, *, version: bytes = b"1.1") -> SeenAnswer:
    """Return what a client sees if each server sends ``answer`` and then closes."""

    async def send_answer(stream: trio.SocketStream, number: int) -> None:
        await read_request(stream)
        await stream.send_all(answer)
        await stream.send_eof()

    request = make_request(target).replace(b"HTTP/1.1", b"HTTP/" + version)
    request = request.replace(b"\r\n\r\n", b"\r\nConnection: close\r\n\r\n")
    async with (
        run_server(send_answer) as address,
        run_gateway(address) as running,
        await running.connect() as stream,
    ):
        await stream.send_all(request)
        with trio.fail_after(10):
            return await read_to_end(stream)


@pytest.mark.parametrize("rest", [b"id: 3\nda", b"id: 3\ndata: c\n", b"i", b"\n: c"])
async def test_a_stream_torn_inside_an_event_does_not_look_complete(
    rest: bytes,
) -> None:
    seen = await ask(HEAD + b"\r\n" + EVENTS + rest, STREAM)
    assert not seen.looks_complete()


async def test_no_length_is_counted_for_an_answer_that_came_without() -> None:
    """Its server may have broken off anywhere."""
    seen = await ask(HEAD + b"\r\n" + EVENTS, PLAIN)
    assert seen.body == EVENTS
    assert not seen.has_own_end()
    assert not seen.is_reset


async def test_a_stream_that_ends_between_events_has_an_end_of_its_own() -> None:
    """Without one, the death of the instance itself would look like its end."""
    seen = await ask(HEAD + b"\r\n" + EVENTS, STREAM)
    assert seen.content == EVENTS
    assert seen.has_own_end()


@pytest.mark.parametrize("body", [b"", b": waiting\n\n", b"\n"])
async def test_a_stream_without_any_event_is_no_answer(body: bytes) -> None:
    seen = await ask(HEAD + b"\r\n" + body, STREAM)
    assert seen.data.startswith(b"HTTP/1.1 502") or not seen.looks_complete()
    assert body or seen.data.startswith(b"HTTP/1.1 502")


@pytest.mark.parametrize("line_end", [b"\n", b"\r\n", b"\r"])
async def test_half_a_line_end_is_no_end_of_a_stream(line_end: bytes) -> None:
    events = EVENTS.replace(b"\n", line_end)
    for torn in (events[:-1], events[: -len(line_end)]):
        assert not (await ask(HEAD + b"\r\n" + torn, STREAM)).looks_complete()
    seen = await ask(HEAD + b"\r\n" + events, STREAM)
    assert (seen.content, seen.looks_complete()) == (events, True)


async def test_a_last_chunk_after_a_torn_event_is_not_passed_on() -> None:
    torn = EVENTS[:-1]
    chunks = b"%x\r\n%s\r\n0\r\n\r\n" % (len(torn), torn)
    seen = await ask(HEAD + CHUNKED + b"\r\n" + chunks, STREAM)
    assert not seen.looks_complete()


@pytest.mark.parametrize("target", [PLAIN, STREAM])
@pytest.mark.parametrize(
    "answer",
    [
        HEAD + b"Content-Length: 900\r\n\r\n" + EVENTS,
        HEAD + CHUNKED + b"\r\n%x\r\n%s\r\n" % (len(EVENTS), EVENTS),
    ],
)
async def test_an_end_before_the_declared_one_does_not_look_complete(
    answer: bytes, target: str
) -> None:
    seen = await ask(answer, target)
    assert seen.data.startswith(b"HTTP/1.1 502") or not seen.looks_complete()


async def test_an_answer_of_http_1_0_has_no_length_of_the_routers_own() -> None:
    head = HEAD.replace(b"1.1", b"1.0") + b"\r\n"
    seen = await ask(head + EVENTS, PLAIN)
    assert (seen.body, seen.has_own_end(), seen.is_reset) == (EVENTS, False, False)
    seen = await ask(head + EVENTS, STREAM)
    assert (seen.content, seen.has_own_end()) == (EVENTS, True)
    assert not (await ask(head + EVENTS[:-1], STREAM)).looks_complete()


async def test_a_client_of_http_1_0_sees_a_torn_stream_as_reset() -> None:
    torn = await ask(HEAD + b"\r\n" + EVENTS[:-1], STREAM, version=b"1.0")
    whole = await ask(HEAD + b"\r\n" + EVENTS, STREAM, version=b"1.0")
    assert torn.is_reset
    assert (whole.body, whole.is_reset) == (EVENTS, False)


async def test_a_length_with_a_closed_connection_proves_an_answer_whole() -> None:
    length = b"Content-Length: %d\r\nConnection: close\r\n\r\n" % len(EVENTS)
    for target in (PLAIN, STREAM):
        seen = await ask(HEAD + length + EVENTS, target)
        assert seen.has_own_end()


async def test_a_stream_torn_at_its_end_goes_on_elsewhere(
    autojump_clock: object,
) -> None:
    torn = Answer(200, (EVENTS, b"id: 3\nda"), framing=Framing.CLOSE)
    rest = Answer(200, (b"id: 3\ndata: c\n\n",), framing=Framing.CHUNKS)
    result = await run_call(torn, rest, route=RESUMABLE)
    assert result.reply.body.getvalue() == EVENTS + b"id: 3\ndata: c\n\n"
    assert result.reply.is_complete
    (_, (_, second)) = result.pool.requests
    assert dict(second.headers)[b"last-event-id"] == b"2"


@pytest.mark.parametrize("rest", [b"id: 3\ndata: c\n\n", b"id: 3\ndata: c\n"])
async def test_a_resumed_stream_ends_between_events_or_has_broken_off(
    rest: bytes, autojump_clock: object
) -> None:
    torn = Answer(200, (EVENTS,), error=BROKEN, framing=Framing.CHUNKS)
    second = Answer(200, (rest,), framing=Framing.CLOSE)
    result = await run_call(torn, second, route=RESUMABLE)
    assert result.reply.is_complete == rest.endswith(b"\n\n")
    assert result.reply.is_aborted != result.reply.is_complete


async def test_other_content_of_a_stream_route_is_ended_by_its_connection(
    autojump_clock: object,
) -> None:
    """Nothing in it shows where it ends."""
    headers = ((b"content-type", b"application/json"),)
    answer = Answer(200, (b"{}",), headers, framing=Framing.CLOSE)
    result = await run_call(answer, route=STREAM_ROUTE)
    assert result.reply.is_complete
    assert result.reply.is_close_delimited


async def test_a_torn_stream_counts_against_its_server(autojump_clock: object) -> None:
    table = make_table(make_server("a"))
    torn = Answer(200, (EVENTS[:-1],), framing=Framing.CLOSE)
    result = await run_call(torn, route=STREAM_ROUTE, table=table)
    assert result.reply.is_aborted
    assert table.by_id["a"].failure_share > 0


async def test_a_whole_answer_without_a_length_counts_as_a_success(
    autojump_clock: object,
) -> None:
    table = make_table(make_server("a"))
    for route in (STREAM_ROUTE, make_route()):
        whole = Answer(200, (EVENTS,), framing=Framing.CLOSE)
        result = await run_call(whole, route=route, table=table)
        assert result.reply.is_complete
        assert result.reply.is_close_delimited == (route is not STREAM_ROUTE)
        assert result.reply.get(b"content-length") is None
    assert table.by_id["a"].failure_share == 0


async def test_a_torn_request_that_may_not_be_repeated_runs_once(
    autojump_clock: object,
) -> None:
    empty = Answer(200, (), framing=Framing.CLOSE)
    result = await run_call(empty, Answer(), route=STREAM_ROUTE)
    assert len(result.pool.requests) == 1
    assert result.reply.status == 502
    assert result.reply.get(b"retry-after") is None


@pytest.mark.parametrize(("method", "status"), [("HEAD", 200), ("POST", 204)])
async def test_an_answer_without_a_body_keeps_its_connection(
    method: str, status: int
) -> None:
    async def answer_without_length(stream: trio.SocketStream, number: int) -> None:
        while await read_request(stream):
            await stream.send_all(HEAD.replace(b"200", b"%d" % status) + b"\r\n")

    async with (
        run_server(answer_without_length) as address,
        run_gateway(address) as running,
        await running.connect() as stream,
    ):
        for _ in range(2):
            await stream.send_all(make_request(method=method))
            answer = await read_request(stream, with_body=False)
            assert answer.startswith(b"HTTP/1.1 %d" % status)
            assert b"connection: close" not in answer.lower()
