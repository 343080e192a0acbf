"""Tests of the reuse of connections to backend servers, and of failed exchanges."""

from __future__ import annotations

import select
import socket
import struct

import pytest
import trio
import trio.testing

from ashpond.clients import channels
from ashpond.clients.channelpools import ChannelPool
from ashpond.clients.channels import Channel, ChannelError, OutgoingRequest
from ashpond.clients.transports import SocketTransport
from tests.servers import make_answer, read_request, run_server


def make_request(body: bytes = b"", request_id: str = "id-1") -> OutgoingRequest:
    headers = [(b"Host", b"x"), (b"Content-Length", str(len(body)).encode())]
    return OutgoingRequest(
        "POST", b"/a/b?q=%2F", headers, body, request_id, b"x-request-id"
    )


async def fetch(pool: ChannelPool, address: str, request: OutgoingRequest) -> bytes:
    channel = await pool.acquire("s1", address)
    response = await channel.exchange(request)
    body = await response.read_all(1 << 20)
    pool.release("s1", channel)
    return body


async def test_a_connection_is_reused_after_a_complete_answer() -> None:
    async def script(stream: trio.SocketStream, number: int) -> None:
        while await read_request(stream):
            await stream.send_all(make_answer(str(number).encode()))

    async with run_server(script) as address:
        pool = ChannelPool()
        assert await fetch(pool, address, make_request()) == b"1"
        assert await fetch(pool, address, make_request()) == b"1"
        assert pool.opened == 1


async def test_a_connection_with_bytes_after_an_answer_is_not_reused() -> None:
    async def script(stream: trio.SocketStream, number: int) -> None:
        await read_request(stream)
        await stream.send_all(make_answer(b"mine") + make_answer(b"stray", "id-9"))
        await read_request(stream)

    async with run_server(script) as address:
        pool = ChannelPool()
        assert await fetch(pool, address, make_request()) == b"mine"
        assert pool.count_idle("s1") == 0


async def test_a_late_answer_to_another_request_is_discarded() -> None:
    async def script(stream: trio.SocketStream, number: int) -> None:
        await read_request(stream)
        await stream.send_all(make_answer(b"stray", "id-0"))
        await stream.send_all(make_answer(b"mine", "id-1"))
        await read_request(stream)

    async with run_server(script) as address:
        pool = ChannelPool()
        assert await fetch(pool, address, make_request(b"body")) == b"mine"


async def test_an_answer_may_come_before_the_body_is_taken() -> None:
    async def script(stream: trio.SocketStream, number: int) -> None:
        await read_request(stream, with_body=False)
        await stream.send_all(make_answer(b"too long", status=503))
        await trio.sleep_forever()

    async with run_server(script) as address:
        pool = ChannelPool()
        request = make_request(b"x" * (8 << 20))
        assert await fetch(pool, address, request) == b"too long"
        # The server still expects the rest of the body: no other request may follow.
        assert pool.count_idle("s1") == 0


async def test_an_answer_without_length_ends_with_its_connection() -> None:
    async def script(stream: trio.SocketStream, number: int) -> None:
        await read_request(stream)
        await stream.send_all(b"HTTP/1.1 200 X\r\nX-Request-Id: id-1\r\n\r\nall")
        await stream.aclose()

    async with run_server(script) as address:
        pool = ChannelPool()
        assert await fetch(pool, address, make_request()) == b"all"
        assert pool.count_idle("s1") == 0


async def test_an_answer_without_length_that_is_reset_is_an_error() -> None:
    async def script(stream: trio.SocketStream, number: int) -> None:
        await read_request(stream)
        await stream.send_all(b"HTTP/1.1 200 X\r\nX-Request-Id: id-1\r\n\r\nhalf")
        hard = struct.pack("ii", 1, 0)
        stream.socket.setsockopt(socket.SOL_SOCKET, socket.SO_LINGER, hard)
        stream.socket.close()

    async with run_server(script) as address:
        with pytest.raises(ChannelError) as caught:
            await fetch(ChannelPool(), address, make_request())
        assert caught.value.is_sent


async def test_a_truncated_answer_is_an_error() -> None:
    async def script(stream: trio.SocketStream, number: int) -> None:
        await read_request(stream)
        await stream.send_all(make_answer(b"whole")[:-2])
        await stream.aclose()

    async with run_server(script) as address:
        with pytest.raises(ChannelError):
            await fetch(ChannelPool(), address, make_request())


async def test_bytes_that_are_not_http_are_an_error() -> None:
    async def script(stream: trio.SocketStream, number: int) -> None:
        await read_request(stream)
        await stream.send_all(b"\x00\x01 garbage\r\n\r\n")
        await stream.aclose()

    async with run_server(script) as address:
        with pytest.raises(ChannelError):
            await fetch(ChannelPool(), address, make_request())


async def test_an_idle_connection_that_was_closed_is_not_reused() -> None:
    closed = trio.Event()

    async def script(stream: trio.SocketStream, number: int) -> None:
        await read_request(stream)
        await stream.send_all(make_answer(str(number).encode()))
        await stream.aclose()
        closed.set()

    async with run_server(script) as address:
        pool = ChannelPool()
        channel = await pool.acquire("s1", address)
        response = await channel.exchange(make_request())
        await response.read_all(100)
        pool.release("s1", channel)
        await closed.wait()
        await trio.lowlevel.wait_readable(channel.transport.socket)
        assert await fetch(pool, address, make_request()) == b"2"


async def test_late_answer_that_comes_while_a_body_is_sent_is_discarded() -> None:
    body = b"x" * (channels.INLINE_BODY_BYTES * 40)
    received: list[int] = []

    async def script(stream: trio.SocketStream, number: int) -> None:
        await read_request(stream)
        await stream.send_all(make_answer(b"first", "id-0"))
        await stream.receive_some(10_000)
        await stream.send_all(make_answer(b"stale", "id-0"))
        await trio.sleep(0.05)
        received.append(await receive_rest(stream))
        await stream.send_all(make_answer(b"own"))

    async with run_server(script) as address:
        pool = ChannelPool()
        await fetch(pool, address, make_request(request_id="id-0"))
        assert await fetch(pool, address, make_request(body)) == b"own"
    assert received[0] >= len(body)


async def receive_rest(stream: trio.SocketStream) -> int:
    """Return how many bytes come until the client has sent nothing for a while."""
    size = 10_000
    while True:
        with trio.move_on_after(0.2) as scope:
            size += len(await stream.receive_some(65_536))
        if scope.cancelled_caught:
            return size


async def test_rejected_request_is_not_sent_again_on_its_connection() -> None:
    async def script(stream: trio.SocketStream, number: int) -> None:
        while await read_request(stream):
            await stream.send_all(make_answer(str(number).encode(), status=503))

    async with run_server(script) as address:
        pool = ChannelPool()
        first = await pool.acquire("s1", address, "id-1")
        await (await first.exchange(make_request())).read_all(100)
        pool.release("s1", first)
        second = await pool.acquire("s1", address, "id-1")
        assert second is not first
        assert await pool.acquire("s1", address, "id-2") is first
        first.close()
        second.close()


async def test_connection_with_many_rejections_is_not_kept() -> None:
    sent = 0

    async def script(stream: trio.SocketStream, number: int) -> None:
        while await read_request(stream):
            await stream.send_all(make_answer(b"", f"id-{sent}", 503))

    async with run_server(script) as address:
        pool = ChannelPool()
        while pool.opened < 2:
            sent += 1
            await fetch(pool, address, make_request(request_id=f"id-{sent}"))
    assert sent == channels.MAX_UNSERVED_IDS + 2


class PooledConnection:
    """A connection of a pool; the test holds the server's end as a plain socket."""

    def __init__(self) -> None:
        self._listener = socket.create_server(("127.0.0.1", 0))
        self.address = f"127.0.0.1:{self._listener.getsockname()[1]}"
        self.pool = ChannelPool()

    async def connect(self) -> Channel:
        self.channel = await self.pool.acquire("s1", self.address)
        self.server, _ = self._listener.accept()
        return self.channel

    def deliver(self, data: bytes) -> None:
        """Have bytes, or the end of the stream if empty, arrive without a loop step."""
        if data:
            self.server.sendall(data)
        else:
            self.server.close()
        select.select([self.channel.transport.socket], [], [])

    def close(self) -> None:
        self.channel.close()
        self.server.close()
        self._listener.close()


@pytest.mark.parametrize("read_bytes", [65_536, 16])
@pytest.mark.parametrize("body", [b"", b"x" * (channels.INLINE_BODY_BYTES + 1)])
async def test_an_answer_that_has_arrived_is_not_lost_to_a_deadline(
    read_bytes: int,
    body: bytes,
    monkeypatch: pytest.MonkeyPatch,
    mock_clock: trio.testing.MockClock,
) -> None:
    """A delayed event loop finds a deadline and the response due in the same step.

    A response that took more than one read was then discarded.
    """
    connection = PooledConnection()
    channel = await connection.connect()
    monkeypatch.setattr(channels, "READ_BYTES", read_bytes)
    bodies: list[bytes] = []

    async def exchange() -> None:
        with trio.move_on_after(1.0):
            response = await channel.exchange(make_request(body))
            bodies.append(await response.read_all(1 << 20))

    async with trio.open_nursery() as nursery:
        nursery.start_soon(exchange)
        await trio.testing.wait_all_tasks_blocked()
        connection.deliver(make_answer(b"whole" * 20))
        mock_clock.jump(1.5)
    assert bodies == [b"whole" * 20]
    connection.close()


@pytest.mark.parametrize("arrived", [b"", make_answer(b"whole" * 20)[:-1]])
async def test_a_deadline_cancels_an_incomplete_answer(
    arrived: bytes,
    monkeypatch: pytest.MonkeyPatch,
    mock_clock: trio.testing.MockClock,
) -> None:
    connection = PooledConnection()
    channel = await connection.connect()
    monkeypatch.setattr(channels, "READ_BYTES", 16)
    bodies: list[bytes] = []

    async def exchange() -> None:
        with trio.move_on_after(1.0) as scope:
            response = await channel.exchange(make_request())
            bodies.append(await response.read_all(1 << 20))
        assert scope.cancelled_caught

    async with trio.open_nursery() as nursery:
        nursery.start_soon(exchange)
        await trio.testing.wait_all_tasks_blocked()
        if arrived:
            connection.deliver(arrived)
        mock_clock.jump(1.5)
    assert not bodies
    connection.close()


@pytest.mark.parametrize("body", [b"", b"x" * (channels.INLINE_BODY_BYTES + 1)])
async def test_a_request_on_a_connection_that_ends_may_have_run(body: bytes) -> None:
    """The close and the request may cross, so the request must not be retried."""
    connection = PooledConnection()
    channel = await connection.connect()
    connection.deliver(make_answer())
    response = await channel.exchange(make_request())
    assert await response.read_all(100) == b"ok"
    connection.pool.release("s1", channel)
    assert await connection.pool.acquire("s1", connection.address) is channel
    connection.deliver(b"")
    assert not channel.is_usable(trio.current_time())
    with pytest.raises(ChannelError) as caught:
        await channel.exchange(make_request(body))
    assert caught.value.is_sent
    connection.close()


async def test_a_refused_connection_counts_as_not_sent() -> None:
    listeners = await trio.open_tcp_listeners(0, host="127.0.0.1")
    port = listeners[0].socket.getsockname()[1]
    await listeners[0].aclose()
    with pytest.raises(ChannelError) as caught:
        await ChannelPool().acquire("s1", f"127.0.0.1:{port}")
    assert not caught.value.is_sent


async def test_idle_time_counts_from_when_the_answer_may_have_ended(
    mock_clock: trio.testing.MockClock,
) -> None:
    """A slow client may delay reading after the server has ended the response.

    A connection that was idle for 5 s at a server that allows 1 s was reused, and the
    request was lost.
    """
    connection = PooledConnection()
    channel = await connection.connect()
    answer = make_answer(b"stream", extra="Keep-Alive: timeout=1\r\n")
    connection.deliver(answer[:-3])
    response = await channel.exchange(make_request())
    assert await response.read() == b"str"
    connection.deliver(answer[-3:])
    mock_clock.jump(5.0)
    assert await response.read() == b"eam"
    assert not await response.read()
    assert channel.prepare_reuse()
    assert not channel.is_usable(trio.current_time())
    connection.close()


async def test_idle_time_does_not_count_the_wait_for_an_answer(
    mock_clock: trio.testing.MockClock,
) -> None:
    connection = PooledConnection()
    channel = await connection.connect()

    async def exchange() -> None:
        response = await channel.exchange(make_request())
        assert await response.read_all(100) == b"ok"

    async with trio.open_nursery() as nursery:
        nursery.start_soon(exchange)
        await trio.testing.wait_all_tasks_blocked()
        mock_clock.jump(5.0)
        connection.deliver(make_answer(extra="Keep-Alive: timeout=1\r\n"))
    assert channel.prepare_reuse()
    mock_clock.jump(0.6)
    assert channel.is_usable(trio.current_time())
    mock_clock.jump(0.2)
    assert not channel.is_usable(trio.current_time())
    connection.close()


def make_idle_channel(idle_seconds: float) -> Channel:
    own, server = socket.socketpair()
    own.setblocking(False)
    # The times that the tests ask for count from 0.
    channel = Channel(SocketTransport(own), lambda: 0.0)
    # Keeps the server's end open while the channel is used.
    channel.server = server  # type: ignore[attr-defined]
    channel._read_idle_limit([(b"keep-alive", f"timeout={idle_seconds:.0f}".encode())])
    return channel


def test_a_connection_expires_before_the_servers_idle_limit() -> None:
    channel = make_idle_channel(10)
    assert channel.is_usable(6.9)
    assert not channel.is_usable(7.1)
