"""No part of an answer is a whole one if its request has not been sent."""

from __future__ import annotations

import errno
import socket
from typing import NamedTuple

import pytest
import trio

from ashpond.clients.channelpools import ChannelPool
from ashpond.clients.channels import Channel, ChannelError, OutgoingRequest
from ashpond.gateway.store import Row
from ashpond.outcomes import Unknown
from ashpond_platform.store import build_store
from tests.broken_answers import (
    BODY,
    EVENTS,
    ID,
    OK,
    PART,
    Ending,
    collect_unsound,
    end_connection,
    read_head,
    send_part,
)
from tests.servers import (
    make_answer,
    read_request,
    run_server,
    run_server_in_thread,
)
from tests.test_torn_answers import LONG_SECONDS, MAX_BYTES, WAYS, open_way
from tests.test_torn_routed_answers import KINDS

UPLOAD_BYTES = 3_000_000
# The smaller ones fit into the buffers on the way.
SIZES = (40_000, 200_000, UPLOAD_BYTES)
CHUNKED_BODY = b"%x\r\n%s\r\n0\r\n\r\n" % (len(BODY), BODY)
WHOLE_ANSWERS = {
    "length": make_answer(BODY),
    "chunks": OK + ID + b"Transfer-Encoding: chunked\r\n\r\n" + CHUNKED_BODY,
}


class Stop(NamedTuple):
    """A server's stop after a part of an answer to a request of ``size`` bytes."""

    size: int = UPLOAD_BYTES
    ending: Ending = Ending.RESET
    seconds: float = 0.0


STOPS = [
    *(Stop(size) for size in SIZES),
    *(Stop(size, Ending.CLOSE) for size in SIZES),
    *(Stop(seconds=seconds) for seconds in (0.02, 0.2)),
]


def make_upload(size: int) -> OutgoingRequest:
    headers = [(b"Host", b"x"), (b"Content-Length", b"%d" % size)]
    return OutgoingRequest("POST", b"/u", headers, b"x" * size, "id-1", b"x-request-id")


async def fetch(channel: Channel, size: int) -> bytes:
    try:
        with trio.fail_after(LONG_SECONDS):
            response = await channel.exchange(make_upload(size))
            return await response.read_all(MAX_BYTES)
    finally:
        channel.close()


class BrokenTransport:
    """A connection whose failure only the sender learns.

    :param answer: what the server has sent before.
    :param sent: how often sending succeeds; then it fails, or waits for ever.
    """

    def __init__(self, answer: bytes, sent: int, *, is_reset: bool):
        self._received = [answer, b""]
        self._sent = sent
        self._is_reset = is_reset
        self._has_stopped = trio.Event()

    async def send_all(self, data: bytes) -> None:
        await trio.lowlevel.checkpoint()
        if self._sent:
            self._sent -= 1
            return
        self._has_stopped.set()
        if self._is_reset:
            raise ConnectionResetError(errno.ECONNRESET, "reset")
        await trio.sleep_forever()

    async def receive(
        self, max_bytes: int, *, shield_ready_data: bool
    ) -> tuple[bytes, bool]:
        await self._has_stopped.wait()
        return self._received.pop(0), True

    def has_data(self) -> bool:
        return True

    def has_unacknowledged_data(self) -> bool:
        return False

    def close(self) -> None:
        return


@pytest.mark.parametrize("sent", [0, 1])
@pytest.mark.parametrize("is_reset", [True, False])
@pytest.mark.parametrize("part", [PART, EVENTS, b""])
async def test_an_end_after_which_only_sending_fails_completes_no_answer(
    part: bytes, is_reset: bool, sent: int
) -> None:
    transport = BrokenTransport(OK + ID + b"\r\n" + part, sent, is_reset=is_reset)
    with pytest.raises(ChannelError) as caught:
        await fetch(Channel(transport), UPLOAD_BYTES)
    assert caught.value.is_sent


@pytest.mark.parametrize("is_reset", [True, False])
@pytest.mark.parametrize("name", WHOLE_ANSWERS)
async def test_an_answer_with_an_end_of_its_own_survives_a_failure_to_send(
    name: str, is_reset: bool
) -> None:
    transport = BrokenTransport(WHOLE_ANSWERS[name], 1, is_reset=is_reset)
    assert await fetch(Channel(transport), UPLOAD_BYTES) == BODY


@pytest.mark.parametrize("size", [15_000, 40_000])
async def test_an_end_before_the_request_has_arrived_completes_no_answer(
    size: int,
) -> None:
    listener = socket.socket()
    # The kernel makes it as small as it can, so that no whole request fits.
    listener.setsockopt(socket.SOL_SOCKET, socket.SO_RCVBUF, 1)
    listener.bind(("127.0.0.1", 0))
    listener.listen()
    port = listener.getsockname()[1]
    channel = await ChannelPool().connect(f"127.0.0.1:{port}")
    server, _ = listener.accept()
    with listener, server:
        server.sendall(OK + ID + b"\r\n" + PART)
        server.shutdown(socket.SHUT_WR)
        with pytest.raises(ChannelError) as caught:
            await fetch(channel, size)
    assert caught.value.is_sent


@pytest.mark.parametrize("stop", STOPS)
@pytest.mark.parametrize("kind", KINDS)
async def test_no_client_gets_a_part_that_was_sent_during_an_upload(
    kind: str, stop: Stop
) -> None:
    names = [str(number) for number in range(2 if stop.seconds else 6)]
    send = send_part(stop.ending, stop.seconds)
    assert await collect_unsound(send, kind, names, b"x" * stop.size) == {}


@pytest.mark.parametrize("way", WAYS)
@pytest.mark.parametrize("stop", STOPS)
async def test_a_part_that_was_sent_during_an_upload_is_no_answer(
    stop: Stop, way: str
) -> None:
    send = send_part(stop.ending, stop.seconds)

    async def script(stream: trio.SocketStream, number: int) -> None:
        if way == "kept":
            await read_request(stream)
            await stream.send_all(make_answer(b"first"))
        if await read_head(stream):
            await send(stream, ID)

    async with (
        run_server_in_thread(script) as address,
        open_way(way, address) as acquire,
    ):
        for _ in range(3):
            with pytest.raises(ChannelError) as caught:
                await fetch(await acquire(), stop.size)
            assert caught.value.is_sent


@pytest.mark.parametrize("way", WAYS)
@pytest.mark.parametrize("ending", [None, *Ending])
@pytest.mark.parametrize("name", WHOLE_ANSWERS)
async def test_an_answer_with_an_end_of_its_own_may_precede_an_upload(
    name: str, ending: Ending | None, way: str
) -> None:
    async def script(stream: trio.SocketStream, number: int) -> None:
        if way == "kept":
            await read_request(stream)
            await stream.send_all(make_answer(b"first"))
        if await read_head(stream):
            await stream.send_all(WHOLE_ANSWERS[name])
            if ending is None:
                await trio.sleep_forever()
            end_connection(stream, ending)

    async with (
        run_server_in_thread(script) as address,
        open_way(way, address) as acquire,
    ):
        for _ in range(3):
            assert await fetch(await acquire(), UPLOAD_BYTES) == BODY


@pytest.mark.parametrize("way", WAYS)
@pytest.mark.parametrize("size", [0, *SIZES])
async def test_a_connection_ends_the_answer_to_a_request_that_was_sent(
    size: int, way: str
) -> None:
    async def script(stream: trio.SocketStream, number: int) -> None:
        if way == "kept":
            await read_request(stream)
            await stream.send_all(make_answer(b"first"))
        if await read_request(stream):
            await stream.send_all(OK + ID + b"\r\n" + BODY)
            await stream.send_eof()

    async with run_server(script) as address, open_way(way, address) as acquire:
        for _ in range(5):
            assert await fetch(await acquire(), size) == BODY


@pytest.mark.parametrize("ending", Ending)
@pytest.mark.parametrize("size", SIZES)
async def test_a_write_answered_while_it_is_sent_may_have_been_performed(
    size: int, ending: Ending
) -> None:
    async def script(stream: trio.SocketStream, number: int) -> None:
        if await read_head(stream):
            await stream.send_all(OK + b'\r\n{"ver": 5}')
            end_connection(stream, ending)

    async with run_server_in_thread(script) as address:
        store = build_store(lambda: address, ChannelPool())
        for _ in range(3):
            written = await store.write([], [Row("t", "k", b"v" * size, 0)])
            assert isinstance(written, Unknown)
