"""Answers of servers with neither a length nor chunks, as their clients see them."""

from __future__ import annotations

from typing import NamedTuple

import pytest
import trio

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


@pytest.mark.parametrize("target", [PLAIN, STREAM])
async def test_no_length_is_counted_for_an_answer_that_came_without(
    target: str,
) -> None:
    """Its server may have broken off anywhere, even between two events."""
    seen = await ask(HEAD + b"\r\n" + EVENTS, target)
    assert seen.body == EVENTS
    assert not seen.has_own_end()
    assert not seen.is_reset
