"""Answers of servers that stop at any byte, in each form that HTTP/1.1 allows."""

from __future__ import annotations

from collections import Counter
from enum import StrEnum
from typing import NamedTuple

import trio

from tests.servers import Script, read_request
from tests.soak.resets import reset

OK = b"HTTP/1.1 200 X\r\n"
CHUNKED = b"Transfer-Encoding: chunked\r\n"
CONTINUE = b"HTTP/1.1 100 Continue\r\n\r\n"
HINTS = b"HTTP/1.1 103 Early Hints\r\nLink: </a>\r\nX-Hint: 1\r\n\r\n"
# So long that Content-Length has two digits, of which the first is a length too.
BODY = b"a whole body"
EVENTS = b"id: 1\ndata: a\n\nid: 2\ndata: b\n\n"
SILENT_SECONDS = 0.05
EDGE_BYTES = frozenset(b"\r\n:;0123456789")


class Ending(StrEnum):
    """How a server ends the connection on which it has stopped."""

    END = "end"
    RESET = "reset"
    # Nothing more comes; the connection stays open for SILENT_SECONDS.
    SILENCE = "silence"


class Shape(NamedTuple):
    """The bytes of a whole answer to a request with ``method``."""

    data: bytes
    body: bytes
    status: int = 200
    method: str = "POST"
    # Only the end of the connection marks that of the body.
    is_close_delimited: bool = False

    def list_cuts(self, ending: Ending) -> range:
        """Return the numbers of bytes after which the answer is visibly incomplete.

        A body without a length may end anywhere, unless its connection is reset.
        """
        if self.is_close_delimited and ending is not Ending.RESET:
            return range(len(self.data) - len(self.body))
        return range(len(self.data) + self.is_close_delimited)

    def list_edges(self, ending: Ending) -> list[int]:
        """Return the cuts beside ends of lines, and those within numbers."""
        return [
            cut
            for cut in self.list_cuts(ending)
            if not cut or set(self.data[cut - 1 : cut + 1]) & EDGE_BYTES
        ]

    def find_content(self, ending: Ending) -> bytes | None:
        """Return what is known of the body once all bytes have come, None if nothing.

        A reset leaves open whether there would have been more.
        """
        is_unknown = self.is_close_delimited and ending is Ending.RESET
        return None if is_unknown else self.body


def _make_chunks(body: bytes, extension: bytes = b"") -> bytes:
    half = len(body) // 2
    pieces = (body[:half], body[half:])
    return b"".join(b"%x%s\r\n%s\r\n" % (len(p), extension, p) for p in pieces)


def list_shapes(lines: bytes, body: bytes) -> dict[str, Shape]:
    """Return whole answers with certain header lines, by name."""
    length = b"Content-Length: %d\r\n" % len(body)
    with_length = OK + lines + length + b"\r\n" + body
    chunked = OK + lines + CHUNKED + b"\r\n"
    trailers = b"0\r\nX-Sum: 1\r\nX-More: 2\r\n\r\n"
    # A body with line ends of its own stays as it is.
    bare = (OK + length + lines + b"\r\n").replace(b"\r\n", b"\n")
    bare_chunked = chunked.replace(b"\r\n", b"\n")
    return {
        "length": Shape(with_length, body),
        "length first": Shape(OK + length + lines + b"\r\n" + body, body),
        "chunks": Shape(chunked + _make_chunks(body) + b"0\r\n\r\n", body),
        "chunk extensions": Shape(
            chunked + _make_chunks(body, b"; a=b") + b"0;c\r\n\r\n", body
        ),
        "trailers": Shape(chunked + _make_chunks(body) + trailers, body),
        "bare line feeds": Shape(bare + body, body),
        "bare line feeds and chunks": Shape(
            bare_chunked + _make_chunks(body) + b"0\r\n\r\n", body
        ),
        "100 first": Shape(CONTINUE + with_length, body),
        "103 first": Shape(HINTS + with_length, body),
        "100 and 103 before chunks": Shape(
            CONTINUE + HINTS + chunked + _make_chunks(body) + trailers, body
        ),
        "neither": Shape(OK + lines + b"\r\n" + body, body, is_close_delimited=True),
        "HTTP/1.0": Shape(
            OK.replace(b"1.1", b"1.0") + lines + b"\r\n" + body,
            body,
            is_close_delimited=True,
        ),
        "HEAD": Shape(OK + lines + length + b"\r\n", b"", method="HEAD"),
        "HEAD without length": Shape(OK + lines + b"\r\n", b"", method="HEAD"),
        "204": Shape(OK.replace(b"200", b"204") + lines + b"\r\n", b"", 204),
        "304": Shape(OK.replace(b"200", b"304") + lines + length + b"\r\n", b"", 304),
    }


async def send_part(stream: trio.SocketStream, part: bytes, ending: Ending) -> None:
    """Send a part of an answer, then stop."""
    if part:
        await stream.send_all(part)
    if ending is Ending.RESET:
        reset(stream)
        return
    if ending is Ending.SILENCE:
        await trio.sleep(SILENT_SECONDS)
    await stream.send_eof()


def script_cuts(
    shape: Shape, ending: Ending, runs: Counter[int], first: bytes = b""
) -> Script:
    """Return a server that answers a request for ``/N`` with ``N`` bytes.

    :param runs: counts these requests.
    :param first: a whole answer that precedes it, to an earlier request on the same
        connection.
    """

    async def serve(stream: trio.SocketStream, number: int) -> None:
        if first:
            await read_request(stream)
            await stream.send_all(first)
        request = await read_request(stream)
        if not request:
            return
        cut = int(request.split(b" ")[1].strip(b"/?"))
        runs[cut] += 1
        await send_part(stream, shape.data[:cut], ending)

    return serve
