"""Clients of the soak and the outcomes of their requests."""

from __future__ import annotations

import random
from collections.abc import Sequence
from enum import StrEnum
from typing import NamedTuple

import h11
import trio

KINDS = {"once": ("POST", "/n/"), "again": ("GET", "/i/"), "stream": ("POST", "/s/")}
REQUEST_TIMEOUT_SECONDS = 4.0
# Clients wait this much longer than the timeout, to receive the timeout response.
EXTRA_WAIT_SECONDS = 1.5


class Ending(StrEnum):
    """How a request ended for its client."""

    ANSWERED = "answered"
    CLOSED = "closed"
    RESET = "reset"
    NOT_CONNECTED = "not connected"
    GIVEN_UP = "given up"


class Answer(NamedTuple):
    """The response to a request as far as it arrived; status 0 for none.

    ``is_proven`` is false if only the end of the connection marked its end.
    """

    status: int = 0
    body: bytes = b""
    ending: Ending = Ending.GIVEN_UP
    is_proven: bool = True


class ConnectionUse(NamedTuple):
    """The connection of a request and its earlier use (times in seconds).

    ``process_started_at`` is when the process that the client connected to started,
    ``idle_limit`` the idle timeout configured at sending, ``uses`` the number of
    earlier requests on the connection.
    """

    instance: str = ""
    process_started_at: float = 0.0
    idle_before: float = 0.0
    idle_limit: float = 0.0
    uses: int = 0


class Outcome(NamedTuple):
    """The result of one request at its client; status 0 for no response."""

    request_id: str
    kind: str
    key: str
    sent_at: float
    status: int
    body: bytes
    is_whole: bool
    ending: Ending
    ended_at: float
    connection: ConnectionUse
    is_proven: bool = True


async def send_request(
    address: str,
    kind: str,
    request_id: str,
    key: str,
    connection: ConnectionUse | None = None,
    parts: Sequence[str] = (),
) -> Outcome:
    """Send one request on a new connection and return its outcome.

    :param parts: the ids of its prompt's parts; none for a request without a prompt.
    """
    sent_at = trio.current_time()
    answer = Answer()
    with trio.move_on_after(REQUEST_TIMEOUT_SECONDS + EXTRA_WAIT_SECONDS):
        host, port = address.split(":")
        try:
            stream = await trio.open_tcp_stream(host, int(port))
        except OSError:
            answer = Answer(ending=Ending.NOT_CONNECTED)
        else:
            async with stream:
                conn = h11.Connection(h11.CLIENT)
                answer = await exchange(stream, conn, kind, request_id, key, parts)
    return make_outcome(
        request_id, kind, key, sent_at, answer, connection or ConnectionUse()
    )


def make_outcome(
    request_id: str,
    kind: str,
    key: str,
    sent_at: float,
    answer: Answer,
    connection: ConnectionUse,
) -> Outcome:
    """Return the outcome of a request that ends now."""
    is_whole = answer.ending is Ending.ANSWERED
    now = trio.current_time()
    end = (answer.status, answer.body, is_whole, answer.ending, now, connection)
    return Outcome(request_id, kind, key, sent_at, *end, answer.is_proven)


async def exchange(
    stream: trio.SocketStream,
    conn: h11.Connection,
    kind: str,
    request_id: str,
    key: str,
    parts: Sequence[str] = (),
) -> Answer:
    """Send one request on a connection; return what arrives before the timeout."""
    status, body, is_proven = 0, b"", True
    with trio.move_on_after(REQUEST_TIMEOUT_SECONDS + EXTRA_WAIT_SECONDS):
        try:
            await stream.send_all(_make_request(conn, kind, request_id, key, parts))
            while True:
                event = conn.next_event()
                if event is h11.NEED_DATA:
                    conn.receive_data(await stream.receive_some(65_536))
                elif isinstance(event, h11.Response):
                    status = event.status_code
                    names = {name for name, _ in event.headers}
                    is_proven = bool(names & {b"content-length", b"transfer-encoding"})
                elif isinstance(event, h11.Data):
                    body += bytes(event.data)
                elif isinstance(event, h11.EndOfMessage):
                    return Answer(status, body, Ending.ANSWERED, is_proven)
                else:
                    return Answer(status, body, Ending.CLOSED)
        except (OSError, trio.BrokenResourceError):
            return Answer(status, body, Ending.RESET)
        except h11.RemoteProtocolError:
            return Answer(status, body, Ending.CLOSED)
    return Answer(status, body)


def _make_request(
    conn: h11.Connection, kind: str, request_id: str, key: str, parts: Sequence[str]
) -> bytes:
    method, prefix = KINDS[kind]
    body = b"" if method == "GET" else b"x" * 300
    headers = [
        ("Host", "a.example"),
        ("X-Request-Id", request_id),
        ("X-Deadline-Ms", str(int(REQUEST_TIMEOUT_SECONDS * 1000))),
        ("Authorization", f"Token {key}"),
        ("Content-Length", str(len(body))),
    ]
    if parts:
        headers += [
            ("X-Model", "m1"),
            ("X-Token-Counts", f"{100 * len(parts)},20"),
            ("X-Prompt-Prefix", ",".join(f"{part}:100" for part in parts)),
        ]
    data = conn.send(h11.Request(method=method, target=prefix + "1", headers=headers))
    data = (data or b"") + (conn.send(h11.Data(data=body)) or b"" if body else b"")
    return data + (conn.send(h11.EndOfMessage()) or b"")


def choose_kind(rng: random.Random) -> str:
    """Return the kind of the next request."""
    return rng.choice(list(KINDS))
