"""Callers of the callers' API, and the store, get no broken answer through httpx."""

from __future__ import annotations

import httpx
import pytest
import trio

from ashpond.clients.engine import EngineRequest, read_body, send_request
from ashpond.clients.http import make_client
from ashpond.clients.platform import PlatformClient
from ashpond.clients.service import PlainRequest, send_plain
from ashpond.outcomes import Answered, Done, MaybeRun, Unknown
from tests.broken_answers import BODY, OK, Ending, end_connection, read_head
from tests.broken_heads import BROKEN_HEADS
from tests.servers import Script, read_request, run_server, run_server_in_thread

ID = b"X-Attempt-Id: a1\r\n"
COMPLETION = b'{"id": "c1"}'
LONG_SECONDS = 30.0
# The smaller one fits into the buffers on the way.
SIZES = (40_000, 20_000_000)


def answer_head(answer: bytes, ending: Ending) -> Script:
    """Return a server that answers the head of a request, and ends the connection."""

    async def script(stream: trio.SocketStream, number: int) -> None:
        if await read_head(stream):
            await stream.send_all(answer)
            end_connection(stream, ending)

    return script


async def send_upload(address: str, size: int) -> Answered | MaybeRun:
    request = PlainRequest("POST", "/x", "", {}, b"x" * size, "a1", LONG_SECONDS)
    async with make_client(5.0, LONG_SECONDS) as client:
        outcome = await send_plain(client, address, request)
    assert isinstance(outcome, Answered | MaybeRun)
    return outcome


@pytest.mark.parametrize("ending", Ending)
@pytest.mark.parametrize("size", SIZES)
async def test_a_part_sent_during_an_upload_is_no_answer(
    size: int, ending: Ending
) -> None:
    script = answer_head(OK + ID + b"\r\n" + BODY, ending)
    async with run_server_in_thread(script) as address:
        for _ in range(3):
            assert isinstance(await send_upload(address, size), MaybeRun)


@pytest.mark.parametrize("ending", Ending)
@pytest.mark.parametrize("size", SIZES)
async def test_a_completion_sent_during_an_upload_is_no_answer(
    size: int, ending: Ending
) -> None:
    script = answer_head(OK + ID + b"\r\n" + COMPLETION, ending)
    body = b"x" * size
    request = EngineRequest("/x", body, "a1", "salt", "w1", 0, LONG_SECONDS)
    async with (
        run_server_in_thread(script) as address,
        make_client(5.0, LONG_SECONDS) as client,
    ):
        for _ in range(3):
            outcome = await send_request(client, address, request)
            if isinstance(outcome, Answered):
                with pytest.raises(httpx.HTTPError):
                    await read_body(outcome.response)


@pytest.mark.parametrize("ending", Ending)
async def test_an_object_answered_while_it_is_sent_may_not_be_stored(
    ending: Ending,
) -> None:
    script = answer_head(OK + b"\r\n" + BODY, ending)
    async with run_server_in_thread(script) as address:
        store = PlatformClient(address, LONG_SECONDS)
        for size in SIZES:
            outcome = await store.put_object("key", b"x" * size)
            assert isinstance(outcome, Unknown)
        await store.aclose()


@pytest.mark.parametrize("ending", Ending)
async def test_an_answer_with_a_length_may_precede_an_upload(ending: Ending) -> None:
    fields = ID + b"Content-Length: %d\r\n" % len(BODY)
    script = answer_head(OK + fields + b"\r\n" + BODY, ending)
    async with run_server_in_thread(script) as address:
        outcome = await send_upload(address, SIZES[-1])
    assert isinstance(outcome, Answered)
    assert outcome.response.body == BODY


@pytest.mark.parametrize("size", [0, *SIZES])
async def test_a_connection_ends_the_answer_to_a_request_that_was_sent(
    size: int,
) -> None:
    async def script(stream: trio.SocketStream, number: int) -> None:
        if await read_request(stream):
            await stream.send_all(OK + ID + b"\r\n" + BODY)
            await stream.send_eof()

    async with run_server(script) as address:
        outcome = await send_upload(address, size)
        store = PlatformClient(address, LONG_SECONDS)
        assert await store.put_object("key", b"x" * size) == Done()
        await store.aclose()
    assert isinstance(outcome, Answered)
    assert outcome.response.body == BODY


@pytest.mark.parametrize("is_kept", [False, True])
@pytest.mark.parametrize("name", BROKEN_HEADS)
async def test_an_answer_with_a_broken_head_is_none(name: str, is_kept: bool) -> None:
    answer = BROKEN_HEADS[name].replace(b"X-Request-Id: id-1\r\n", ID)
    whole = OK + ID + b"Content-Length: %d\r\n\r\n" % len(BODY) + BODY

    async def script(stream: trio.SocketStream, number: int) -> None:
        if is_kept:
            await read_request(stream)
            await stream.send_all(whole)
        if await read_request(stream):
            await stream.send_all(answer)
            await stream.send_eof()

    request = PlainRequest("POST", "/x", "", {}, b"", "a1", LONG_SECONDS)
    async with (
        run_server(script) as address,
        make_client(5.0, LONG_SECONDS) as client,
    ):
        if is_kept:
            assert isinstance(await send_plain(client, address, request), Answered)
        assert isinstance(await send_plain(client, address, request), MaybeRun)
