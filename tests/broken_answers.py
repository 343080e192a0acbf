"""Servers whose first answer to each request is broken, and their clients."""

from __future__ import annotations

from collections import Counter
from collections.abc import Awaitable, Callable, Sequence
from enum import StrEnum

import trio

from tests.servers import make_answer, run_server_in_thread
from tests.soak.resets import reset
from tests.soak.servers import parse_headers
from tests.test_gateway_ingress import RunningGateway, make_request, run_gateway
from tests.test_torn_routed_answers import (
    LONG_SECONDS,
    READ_OF_STATE,
    REPEATABLE,
    ROUTES,
    Outcome,
)
from tests.test_unframed_answers import read_to_end

OK = b"HTTP/1.1 200 X\r\n"
ID = b"X-Request-Id: id-1\r\n"
BODY = b"whole"
EVENTS = b"".join(b"id: %d\ndata: %d\n\n" % (n, n) for n in range(1, 6))
# Two whole events of five.
PART = EVENTS[: len(EVENTS) * 2 // 5]
# Requests before each with a broken answer, which earn the right to a retry.
SOUND_REQUESTS = 20
SEND_SECONDS = 5.0
HEAD_PIECE_BYTES = 256
Send = Callable[[trio.SocketStream, bytes], Awaitable[None]]


class Ending(StrEnum):
    """How a server that has answered an upload in part ends the connection."""

    RESET = "reset"
    # Unread bytes of the request make the kernel send a reset as well.
    CLOSE = "close"


def send_part(ending: Ending, seconds: float) -> Send:
    """Return the function that answers without a length, in part.

    :param seconds: how long the connection stays open after it.
    """

    async def send(stream: trio.SocketStream, fields: bytes) -> None:
        await stream.send_all(OK + fields + b"\r\n" + PART)
        if seconds:
            await trio.sleep(seconds)
        end_connection(stream, ending)

    return send


def end_connection(stream: trio.SocketStream, ending: Ending) -> None:
    if ending is Ending.RESET:
        reset(stream)
    else:
        stream.socket.close()


async def read_head(stream: trio.SocketStream) -> bytes:
    """Return the head of a request, and little more than that."""
    data = b""
    while b"\r\n\r\n" not in data:
        piece = await stream.receive_some(HEAD_PIECE_BYTES)
        if not piece:
            return b""
        data += piece
    return data


async def read_rest(stream: trio.SocketStream, request: bytes) -> None:
    """Read what is left of the body of a request."""
    head, _, body = request.partition(b"\r\n\r\n")
    lines = head.lower().split(b"\r\n")
    lengths = [line[15:] for line in lines if line.startswith(b"content-length:")]
    left = int(lengths[0]) - len(body) if lengths else 0
    while left > 0 and (piece := await stream.receive_some(min(left, 65_536))):
        left -= len(piece)


class BrokenServers:
    """Servers whose first answer to each request is broken, and whose others are whole.

    ``runs`` counts the requests by id.

    :param send: sends a broken answer.
    """

    def __init__(self, send: Send):
        self._send = send
        self.runs: Counter[str] = Counter()

    async def serve(self, stream: trio.SocketStream, number: int) -> None:
        while request := await read_head(stream):
            if request.startswith(READ_OF_STATE):
                await stream.send_all(make_answer(b"", status=404))
                continue
            _, _, headers = parse_headers(request)
            request_id = headers["x-request-id"]
            self.runs[request_id] += 1
            if self.runs[request_id] == 1:
                with trio.move_on_after(SEND_SECONDS):
                    await self._send(stream, ID.replace(b"id-1", request_id.encode()))
                return
            await read_rest(stream, request)
            body = EVENTS
            if "last-event-id" in headers:
                begin = body.index(b"id: %s\n" % headers["last-event-id"].encode())
                body = body[body.index(b"\n\n", begin) + 2 :]
            await stream.send_all(make_answer(body, request_id))


async def ask(
    running: RunningGateway, kind: str, request_id: str, body: bytes = b""
) -> Outcome:
    request = make_request(f"/{kind}/1", body).replace(b"id-1", request_id.encode(), 1)
    request = request.replace(b"\r\n\r\n", b"\r\nConnection: close\r\n\r\n", 1)
    async with await running.connect() as stream:
        await stream.send_all(request)
        return Outcome(*await read_to_end(stream))


def is_sound(seen: Outcome, kind: str, runs: int) -> bool:
    """Return whether a client may see this if the first answer was broken."""
    if kind in REPEATABLE:
        is_whole = seen.looks_complete() and seen.content == EVENTS
        return seen.status == 200 and is_whole and runs == 2
    if runs != 1:
        return False
    if seen.status == 502:
        return seen.has_own_end()
    return not seen.looks_complete() and EVENTS.startswith(seen.content)


async def collect_unsound(
    send: Send, kind: str, names: Sequence[str], body: bytes = b""
) -> dict[str, object]:
    """Return what no client may see, of a request with ``body`` for each name."""
    servers = BrokenServers(send)
    unsound: dict[str, object] = {}
    async with (
        run_server_in_thread(servers.serve) as first,
        run_server_in_thread(servers.serve) as second,
        run_gateway(first, second, routes=ROUTES) as running,
    ):
        for number, name in enumerate(names):
            with trio.fail_after(LONG_SECONDS):
                for sound_number in range(SOUND_REQUESTS):
                    sound_id = f"sound-{number}-{sound_number}"
                    servers.runs[sound_id] = 1
                    assert (await ask(running, kind, sound_id)).content == EVENTS
                seen = await ask(running, kind, f"broken-{number}", body)
            runs = servers.runs[f"broken-{number}"]
            if not is_sound(seen, kind, runs):
                unsound[name] = (seen, runs)
    return unsound
