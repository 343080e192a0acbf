"""Tests of the outcome of an attempt for each way in which it can fail."""

from __future__ import annotations

from collections.abc import Awaitable, Callable
from types import SimpleNamespace
from typing import Any

import httpx
import pytest
import trio
import trio.testing

from ashpond.call import Call
from ashpond.clients.engine import (
    EngineAnswer,
    EngineRequest,
    read_body,
    send_request,
)
from ashpond.clients.http import make_client
from ashpond.clients.platform import PlatformClient
from ashpond.clients.service import PlainRequest, send_plain
from ashpond.filters import resumption
from ashpond.filters.dispatch import Dispatcher, _Attempt
from ashpond.outcomes import Answered, MaybeRun, NotRun, Unavailable, Unknown
from ashpond.tokens import StreamToken
from tests.builders import make_call, make_settings

Server = Callable[[trio.SocketStream], Awaitable[None]]
HEAD = b"HTTP/1.1 200 OK\r\nContent-Length: 5\r\n"


async def read_request(stream: trio.SocketStream) -> None:
    data = b""
    while not data.endswith(b"body"):
        data += await stream.receive_some(1000)


async def reset_immediately(stream: trio.SocketStream) -> None:
    await trio.aclose_forcefully(stream)


async def reset_after_reading(stream: trio.SocketStream) -> None:
    await read_request(stream)
    await trio.aclose_forcefully(stream)


async def never_answer(stream: trio.SocketStream) -> None:
    await trio.sleep_forever()


async def reset_within_the_answer(stream: trio.SocketStream) -> None:
    await read_request(stream)
    await stream.send_all(HEAD + b"X-Attempt-Id: a1\r\n\r\nab")
    await trio.aclose_forcefully(stream)


async def answer(stream: trio.SocketStream) -> None:
    await read_request(stream)
    await stream.send_all(HEAD + b"X-Attempt-Id: a1\r\n\r\nwhole")
    await trio.sleep_forever()


async def answer_with_another_attempt_id(stream: trio.SocketStream) -> None:
    await read_request(stream)
    await stream.send_all(HEAD + b"X-Attempt-Id: b2\r\n\r\nwhole")
    await trio.sleep_forever()


async def answer_500(stream: trio.SocketStream) -> None:
    await read_request(stream)
    await stream.send_all(b"HTTP/1.1 500 No\r\nContent-Length: 0\r\n\r\n")


REFUSAL = b"HTTP/1.1 503 No\r\nX-Not-Run: true\r\nContent-Length: 0\r\n"


async def refuse_without_running(stream: trio.SocketStream) -> None:
    await read_request(stream)
    await stream.send_all(REFUSAL + b"X-Attempt-Id: a1\r\n\r\n")


async def refuse_another_attempt(stream: trio.SocketStream) -> None:
    await read_request(stream)
    await stream.send_all(REFUSAL + b"X-Attempt-Id: b2\r\n\r\n")


async def refuse_without_an_id(stream: trio.SocketStream) -> None:
    await read_request(stream)
    await stream.send_all(REFUSAL + b"\r\n")


CASES = [
    (reset_immediately, MaybeRun),
    (reset_after_reading, MaybeRun),
    (never_answer, MaybeRun),
    (reset_within_the_answer, MaybeRun),
    (answer_with_another_attempt_id, MaybeRun),
    (answer_500, MaybeRun),
    (refuse_without_running, NotRun),
    (refuse_another_attempt, MaybeRun),
    (refuse_without_an_id, MaybeRun),
    (answer, Answered),
]


async def send_to(
    address: str, kind: str, client: httpx.AsyncClient | None = None
) -> object:
    client = client or make_client(0.5, 0.5, keep_alive=False)
    if kind == "plain":
        plain = PlainRequest("POST", "/x", "", {}, b"body", "a1", 0.5)
        return await send_plain(client, address, plain)
    request = EngineRequest("/x", b"body", "a1", "salt", "w1", 0, 0.5)
    outcome = await send_request(client, address, request)
    if not isinstance(outcome, Answered):
        return outcome
    try:
        await outcome.response.response.aread()
    except Exception as error:
        return MaybeRun(repr(error))
    return outcome


@pytest.mark.parametrize("kind", ["plain", "engine"])
@pytest.mark.parametrize(
    ("server", "expected"), CASES, ids=lambda c: getattr(c, "__name__", "")
)
async def test_attempt_counts_as_not_run_only_if_the_server_says_so(
    server, expected, kind
):
    async with trio.open_nursery() as nursery:
        listeners = await nursery.start(trio.serve_tcp, server, 0)
        port = listeners[0].socket.getsockname()[1]
        assert isinstance(await send_to(f"127.0.0.1:{port}", kind), expected)
        nursery.cancel_scope.cancel()


@pytest.mark.parametrize("kind", ["plain", "engine"])
async def test_refused_connection_counts_as_not_run(kind):
    listener = (await trio.open_tcp_listeners(0, host="127.0.0.1"))[0]
    port = listener.socket.getsockname()[1]
    await listener.aclose()
    outcome = await send_to(f"127.0.0.1:{port}", kind)
    assert outcome == NotRun(outcome.reason, unreached=True)


@pytest.mark.parametrize("kind", ["plain", "engine"])
async def test_request_is_not_sent_again_when_a_kept_connection_closes(
    kind: str,
) -> None:
    """A server may close a kept connection after it has read the next request."""
    requests = 0

    async def answer_once(stream: trio.SocketStream) -> None:
        nonlocal requests
        await read_request(stream)
        requests += 1
        await stream.send_all(HEAD + b"X-Attempt-Id: a1\r\n\r\nwhole")
        await read_request(stream)
        requests += 1
        await trio.aclose_forcefully(stream)

    client = make_client(0.5, 0.5)
    async with trio.open_nursery() as nursery:
        listeners = await nursery.start(trio.serve_tcp, answer_once, 0)
        address = f"127.0.0.1:{listeners[0].socket.getsockname()[1]}"
        outcomes = [await send_to(address, kind, client) for _ in range(2)]
        nursery.cancel_scope.cancel()
    assert [type(outcome) for outcome in outcomes] == [Answered, MaybeRun]
    assert requests == 2


@pytest.mark.parametrize("kind", ["plain", "engine"])
async def test_closed_kept_connection_is_not_used(kind: str) -> None:
    ended = trio.Event()

    async def answer_and_end(stream: trio.SocketStream) -> None:
        await read_request(stream)
        await stream.send_all(HEAD + b"X-Attempt-Id: a1\r\n\r\nwhole")
        await stream.aclose()
        ended.set()

    client = make_client(0.5, 0.5)
    async with trio.open_nursery() as nursery:
        listeners = await nursery.start(trio.serve_tcp, answer_and_end, 0)
        address = f"127.0.0.1:{listeners[0].socket.getsockname()[1]}"
        for _ in range(2):
            assert isinstance(await send_to(address, kind, client), Answered)
            await ended.wait()
            await trio.testing.wait_all_tasks_blocked()
        nursery.cancel_scope.cancel()


async def ask_and_close(
    kind: str, body: bytes, *, has_length: bool = False
) -> Answered:
    """Return the answer of a server that closes the connection after ``body``."""

    async def answer_and_close(stream: trio.SocketStream) -> None:
        await read_request(stream)
        length = b"Content-Length: %d\r\n" % len(body) if has_length else b""
        head = b"HTTP/1.1 200 OK\r\nX-Attempt-Id: a1\r\n" + length
        await stream.send_all(head + b"\r\n" + body)
        await stream.send_eof()

    async with trio.open_nursery() as nursery:
        listeners = await nursery.start(trio.serve_tcp, answer_and_close, 0)
        address = f"127.0.0.1:{listeners[0].socket.getsockname()[1]}"
        outcome = await send_to(address, kind)
        nursery.cancel_scope.cancel()
    assert isinstance(outcome, Answered)
    return outcome


@pytest.mark.parametrize("has_length", [False, True])
async def test_a_plain_answer_without_a_length_is_not_taken_for_complete(
    has_length: bool,
) -> None:
    outcome = await ask_and_close("plain", b"part", has_length=has_length)
    assert outcome.response.is_close_delimited == (not has_length)


async def test_a_completion_that_ends_with_its_connection_must_be_whole_json() -> None:
    whole = await ask_and_close("engine", b'{"id": "c1"}')
    assert await read_body(whole.response) == b'{"id": "c1"}'
    torn = await ask_and_close("engine", b'{"id": "c1')
    with pytest.raises(httpx.HTTPError):
        await read_body(torn.response)


async def test_an_object_that_ends_with_its_connection_is_not_taken_for_whole() -> None:
    """A configuration file or a burn bucket that broke off would have been used."""

    async def send_part(stream: trio.SocketStream) -> None:
        await stream.receive_some(1000)
        await stream.send_all(b"HTTP/1.1 200 OK\r\n\r\npart")
        await stream.send_eof()

    async with trio.open_nursery() as nursery:
        listeners = await nursery.start(trio.serve_tcp, send_part, 0)
        address = f"127.0.0.1:{listeners[0].socket.getsockname()[1]}"
        platform = PlatformClient(address, 1.0)
        assert isinstance(await platform.get_object("k"), Unavailable)
        assert isinstance(await platform.transact([]), Unknown)
        nursery.cancel_scope.cancel()


class FakeResponse:
    """An engine's response of which only the head has been received."""

    def __init__(self) -> None:
        self.is_closed = False

    async def aclose(self) -> None:
        self.is_closed = True


async def test_answer_that_arrives_as_the_caller_leaves_is_closed() -> None:
    """The head of an engine's answer and the caller's cancellation come in one step.

    The response then had no owner, and nothing closed it.
    """
    unused: Any = None
    response: Any = FakeResponse()
    caller = trio.CancelScope()

    class CancellingDispatcher(Dispatcher):
        async def _open(self, call: Call, attempt: _Attempt, after: int) -> Answered:
            await trio.testing.wait_all_tasks_blocked()
            caller.cancel()
            return Answered(EngineAnswer("x", 200, "i1", "s1", "w1", None, response))

        async def _cancel_if_unresponsive(
            self, attempt: _Attempt, nursery: trio.Nursery
        ) -> None:
            await trio.sleep_forever()

    dispatcher = CancellingDispatcher(
        make_settings(),
        unused,
        unused,
        unused,
        unused,
        unused,
        unused,
        make_client(0.5, 0.5),
        unused,
    )
    call = make_call()
    with caller:
        await dispatcher._open_before_timeout(call, unused)
    await call.exits.aclose()
    assert response.is_closed


async def test_resumed_stream_that_is_never_read_is_closed(
    monkeypatch: pytest.MonkeyPatch,
) -> None:
    """A caller resumes its stream and leaves before the first event is read.

    The cleanup code of a generator that has not started does not run, so nothing closed
    the engine's response.
    """
    response: Any = FakeResponse()

    async def resume_at_once(*args: object) -> EngineAnswer:
        return EngineAnswer("x", 200, "i1", "s1", "w1", None, response)

    class FakeEngines:
        servers = {"e1": SimpleNamespace(config=SimpleNamespace(address="x"))}

    monkeypatch.setattr(resumption, "_resume", resume_at_once)
    unused: Any = None
    engines: Any = FakeEngines()
    resume = resumption.make_resumption(unused, engines, unused)
    call = make_call()
    reply: Any = await resume(call, StreamToken("e1", "i1", "s1", "desk"), 0)
    await reply.body.aclose()
    await call.exits.aclose()
    assert response.is_closed


@pytest.mark.parametrize(
    ("head", "backoff"),
    [
        (b"503 No\r\nX-Not-Run: true\r\nRetry-After: 2.5", 2.5),
        (b"429 No\r\nX-Not-Run: true\r\nRetry-After: 1\r\nRetry-After: 4", 4.0),
        (b"503 No\r\nRetry-After: 3", 3.0),
        (b"503 No\r\nX-Not-Run: true\r\nRetry-After: soon", None),
        (b"500 No\r\nRetry-After: 3", None),
    ],
)
@pytest.mark.parametrize("is_plain", [True, False])
async def test_backoff_requested_by_a_server_is_parsed(
    head: bytes, backoff: float | None, is_plain: bool
) -> None:
    async def reject(stream: trio.SocketStream) -> None:
        await read_request(stream)
        end = b"\r\nX-Attempt-Id: a1\r\nContent-Length: 0\r\n\r\n"
        await stream.send_all(b"HTTP/1.1 " + head + end)

    async with trio.open_nursery() as nursery, make_client(1, 1) as client:
        listeners = await trio.open_tcp_listeners(0, host="127.0.0.1")
        nursery.start_soon(trio.serve_listeners, reject, listeners)
        address = f"127.0.0.1:{listeners[0].socket.getsockname()[1]}"
        outcome: Answered | NotRun | MaybeRun
        if is_plain:
            plain = PlainRequest("POST", "/x", "", {}, b"body", "a1", 1.0)
            outcome = await send_plain(client, address, plain)
        else:
            request = EngineRequest("/x", b"body", "a1", "s", "", 1, 1.0)
            outcome = await send_request(client, address, request)
        nursery.cancel_scope.cancel()
    assert not isinstance(outcome, Answered)
    assert outcome.backoff == backoff
