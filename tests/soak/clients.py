"""Clients of the soak, and what they have seen."""

from __future__ import annotations

import random
from typing import NamedTuple

import h11
import trio

KINDS = {"once": ("POST", "/n/"), "again": ("GET", "/i/"), "stream": ("POST", "/s/")}
PATIENCE_SECONDS = 4.0


class Seen(NamedTuple):
    """The end of one request, as its client saw it; status 0 for none."""

    request_id: str
    kind: str
    key: str
    sent_at: float
    status: int
    body: bytes
    is_whole: bool


async def ask(address: str, kind: str, request_id: str, key: str) -> Seen:
    """Send one request on a connection of its own; return what came."""
    sent_at = trio.current_time()
    status, body, is_whole = 0, b"", False
    with trio.move_on_after(PATIENCE_SECONDS + 1.5):
        try:
            host, port = address.split(":")
            stream = await trio.open_tcp_stream(host, int(port))
            async with stream:
                conn = h11.Connection(h11.CLIENT)
                await stream.send_all(_make_request(conn, kind, request_id, key))
                while not is_whole:
                    event = conn.next_event()
                    if event is h11.NEED_DATA:
                        conn.receive_data(await stream.receive_some(65_536))
                    elif isinstance(event, h11.Response):
                        status = event.status_code
                    elif isinstance(event, h11.Data):
                        body += bytes(event.data)
                    elif isinstance(event, h11.EndOfMessage):
                        is_whole = True
                    else:
                        break
        except (OSError, trio.BrokenResourceError, h11.RemoteProtocolError):
            pass
    return Seen(request_id, kind, key, sent_at, status, body, is_whole)


def _make_request(conn: h11.Connection, kind: str, request_id: str, key: str) -> bytes:
    method, prefix = KINDS[kind]
    body = b"" if method == "GET" else b"x" * 300
    headers = [
        ("Host", "a.example"),
        ("X-Request-Id", request_id),
        ("X-Deadline-Ms", str(int(PATIENCE_SECONDS * 1000))),
        ("Authorization", f"Token {key}"),
        ("Content-Length", str(len(body))),
    ]
    data = conn.send(h11.Request(method=method, target=prefix + "1", headers=headers))
    data = (data or b"") + (conn.send(h11.Data(data=body)) or b"" if body else b"")
    return data + (conn.send(h11.EndOfMessage()) or b"")


def choose_kind(rng: random.Random) -> str:
    """Return the kind of the next request."""
    return rng.choice(list(KINDS))
