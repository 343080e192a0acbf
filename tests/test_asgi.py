"""ASGI applications served by the listener."""

from __future__ import annotations

from typing import Any

import pytest
import trio

from ashpond.api.callers import build_callers_app
from ashpond.asgi import CLOSE_DELIMITED, StartupError, make_handler, run_lifespan
from ashpond.call import Call, Reply
from tests.builders import make_settings
from tests.listeners import POST, REQUEST, read_until, run_listener


async def test_an_application_receives_the_request_and_its_answer_is_sent():
    scopes: list[dict[str, Any]] = []

    async def app(scope, receive, send):
        scopes.append(scope)
        event = {"more_body": True}
        body = b""
        while event["more_body"]:
            event = await receive()
            body += event["body"]
        headers = [(b"x-a", b"1"), (b"content-length", b"2")]
        start = {"type": "http.response.start", "status": 201, "headers": headers}
        await send(start)
        await send({"type": "http.response.body", "body": body, "more_body": True})
        await send({"type": "http.response.body"})

    async with run_listener(make_handler(app)) as running:
        stream = await running.connect()
        async with stream:
            target = REQUEST.replace(b"/x ", b"/a%20b/c?d=%2F ")
            await stream.send_all(target)
            seen = await read_until(stream, b"ab")
    assert seen.startswith(b"HTTP/1.1 201")
    assert b"x-a: 1" in seen
    (scope,) = scopes
    assert (scope["path"], scope["raw_path"]) == ("/a b/c", b"/a%20b/c")
    assert scope["query_string"] == b"d=%2F"
    assert (b"host", b"a") in scope["headers"]


async def test_an_application_can_leave_the_end_of_an_answer_unproven():
    async def app(scope, receive, send):
        scope["extensions"][CLOSE_DELIMITED]["is_set"] = True
        await receive()
        await send({"type": "http.response.start", "status": 200})
        await send({"type": "http.response.body", "body": b"part"})

    async with run_listener(make_handler(app)) as running:
        seen = await running.send_and_read(REQUEST)
    head, _, body = seen.partition(b"\r\n\r\n")
    assert body == b"part"
    assert b"connection: close" in head.lower()
    assert b"content-length" not in head.lower()
    assert b"transfer-encoding" not in head.lower()


async def test_an_application_receives_a_disconnect_when_its_client_leaves():
    disconnected = trio.Event()

    async def app(scope, receive, send):
        while (await receive())["type"] != "http.disconnect":
            pass
        disconnected.set()

    async with run_listener(make_handler(app)) as running:
        stream = await running.connect()
        await stream.send_all(POST + b"Content-Length: 0\r\n\r\n")
        await stream.aclose()
        with trio.fail_after(20):
            await disconnected.wait()


async def test_a_request_that_the_application_ignores_is_answered_500():
    async def app(scope, receive, send):
        await receive()

    async with run_listener(make_handler(app)) as running:
        seen = await running.send_and_read(POST + b"Content-Length: 0\r\n\r\n")
    assert seen.startswith(b"HTTP/1.1 500")


async def test_an_application_receives_startup_and_shutdown():
    events: list[str] = []

    async def app(scope, receive, send):
        for _ in range(2):
            event = (await receive())["type"]
            events.append(event)
            await send({"type": f"{event}.complete"})

    async with run_lifespan(app):
        assert events == ["lifespan.startup"]
    assert events == ["lifespan.startup", "lifespan.shutdown"]


async def test_a_failed_startup_raises_the_message_of_the_application():
    async def app(scope, receive, send):
        await receive()
        await send({"type": "lifespan.startup.failed", "message": "no table"})

    with pytest.raises(StartupError, match="no table"):
        async with run_lifespan(app):
            raise AssertionError("it has started")


async def test_an_early_answer_and_100_continue_are_not_written_at_once():
    """Both are written to one stream, by two tasks.

    Without a lock the second write failed, and with it 9 to 14 of 20 answers.
    """

    async def app(scope, receive, send):
        async with trio.open_nursery() as nursery:
            nursery.start_soon(receive)
            await trio.lowlevel.checkpoint()
            await send({"type": "http.response.start", "status": 401, "headers": []})
            await send({"type": "http.response.body", "body": b"no"})
            nursery.cancel_scope.cancel()

    head = POST + b"Expect: 100-continue\r\nContent-Length: 10\r\n\r\n"
    async with run_listener(make_handler(app)) as running:
        for _ in range(20):
            assert b" 401" in await running.send_and_read(head)


async def test_an_early_answer_in_pieces_is_not_cut_off_by_100_continue():
    """No ``100 Continue`` is sent once the answer has begun.

    It was sent after the start of the answer, and 20 of 40 answers were cut off.
    """

    async def app(scope, receive, send):
        async with trio.open_nursery() as nursery:
            nursery.start_soon(receive)
            await send({"type": "http.response.start", "status": 401, "headers": []})
            for _ in range(3):
                piece = {"type": "http.response.body", "body": b"no", "more_body": True}
                await send(piece)
            await send({"type": "http.response.body"})
            nursery.cancel_scope.cancel()

    head = POST + b"Expect: 100-continue\r\nContent-Length: 10\r\n\r\n"
    async with run_listener(make_handler(app)) as running:
        for _ in range(40):
            assert (await running.send_and_read(head)).endswith(b"0\r\n\r\n")


async def test_a_call_whose_answer_may_have_broken_off_gets_no_length():
    async def answer_partly(call: Call) -> Reply:
        return Reply(200, {"X-Own": "1"}, b"part", is_close_delimited=True)

    unused: Any = None
    app = build_callers_app(
        make_settings(), unused, answer_partly, unused, trio.Event()
    )
    async with run_listener(make_handler(app)) as running:
        request = REQUEST.replace(b"/x ", b"/services/s/x ")
        head, _, body = (await running.send_and_read(request)).partition(b"\r\n\r\n")
    assert body == b"part"
    assert b"content-length" not in head.lower()
    assert b"transfer-encoding" not in head.lower()


@pytest.mark.parametrize(
    ("method", "status"), [("HEAD", 200), ("HEAD", 404), ("POST", 204), ("POST", 304)]
)
async def test_an_answer_that_has_no_body_gets_no_length_of_zero(method, status):
    """Its server may have named the length that the body would have."""

    async def answer_without_body(call: Call) -> Reply:
        return Reply(status, {"X-Own": "1"}, b"")

    unused: Any = None
    app = build_callers_app(
        make_settings(), unused, answer_without_body, unused, trio.Event()
    )
    request = f"{method} /services/s/x HTTP/1.1\r\nHost: a\r\n".encode()
    request += b"Content-Length: 0\r\n\r\n"
    async with run_listener(make_handler(app)) as running:
        stream = await running.connect()
        async with stream:
            for _ in range(2):
                await stream.send_all(request)
                head = await read_until(stream, b"\r\n\r\n")
                assert head.startswith(b"HTTP/1.1 %d" % status)
                assert b"content-length" not in head.lower()
