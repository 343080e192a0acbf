"""Connections to backend servers: what may be used again, and what broke off."""

from __future__ import annotations

import socket
import struct

import pytest
import trio

from ashpond.clients.channels import Channel, ChannelError, ChannelPool, Outgoing
from tests.servers import make_answer, read_request, run_server


def make_request(body: bytes = b"", request_id: str = "id-1") -> Outgoing:
    headers = [(b"Host", b"x"), (b"Content-Length", str(len(body)).encode())]
    return Outgoing("POST", b"/a/b?q=%2F", headers, body, request_id, b"x-request-id")


async def ask(pool: ChannelPool, address: str, request: Outgoing) -> bytes:
    channel = await pool.acquire("s1", address)
    response = await channel.exchange(request)
    body = await response.read_all(1 << 20)
    pool.release("s1", channel)
    return body


async def test_a_connection_is_used_again_after_a_whole_answer() -> None:
    async def script(stream: trio.SocketStream, number: int) -> None:
        while await read_request(stream):
            await stream.send_all(make_answer(str(number).encode()))

    async with run_server(script) as address:
        pool = ChannelPool()
        assert await ask(pool, address, make_request()) == b"1"
        assert await ask(pool, address, make_request()) == b"1"
        assert pool.opened == 1


async def test_bytes_after_an_answer_end_the_connection() -> None:
    async def script(stream: trio.SocketStream, number: int) -> None:
        await read_request(stream)
        await stream.send_all(make_answer(b"mine") + make_answer(b"stray", "id-9"))
        await read_request(stream)

    async with run_server(script) as address:
        pool = ChannelPool()
        assert await ask(pool, address, make_request()) == b"mine"
        assert pool.count_idle("s1") == 0


async def test_a_late_answer_to_another_request_is_read_past() -> None:
    async def script(stream: trio.SocketStream, number: int) -> None:
        await read_request(stream)
        await stream.send_all(make_answer(b"stray", "id-0"))
        await stream.send_all(make_answer(b"mine", "id-1"))
        await read_request(stream)

    async with run_server(script) as address:
        pool = ChannelPool()
        assert await ask(pool, address, make_request(b"body")) == b"mine"


async def test_an_answer_may_come_before_the_body_is_taken() -> None:
    async def script(stream: trio.SocketStream, number: int) -> None:
        await read_request(stream, with_body=False)
        await stream.send_all(make_answer(b"too long", status=503))
        await trio.sleep_forever()

    async with run_server(script) as address:
        pool = ChannelPool()
        request = make_request(b"x" * (8 << 20))
        assert await ask(pool, address, request) == b"too long"
        # The rest of the body is still due there: no other request may follow.
        assert pool.count_idle("s1") == 0


async def test_an_answer_without_length_ends_with_its_connection() -> None:
    async def script(stream: trio.SocketStream, number: int) -> None:
        await read_request(stream)
        await stream.send_all(b"HTTP/1.1 200 X\r\nX-Request-Id: id-1\r\n\r\nall")
        await stream.aclose()

    async with run_server(script) as address:
        pool = ChannelPool()
        assert await ask(pool, address, make_request()) == b"all"
        assert pool.count_idle("s1") == 0


async def test_an_answer_without_length_that_is_reset_is_not_whole() -> None:
    async def script(stream: trio.SocketStream, number: int) -> None:
        await read_request(stream)
        await stream.send_all(b"HTTP/1.1 200 X\r\nX-Request-Id: id-1\r\n\r\nhalf")
        hard = struct.pack("ii", 1, 0)
        stream.socket.setsockopt(socket.SOL_SOCKET, socket.SO_LINGER, hard)
        stream.socket.close()

    async with run_server(script) as address:
        with pytest.raises(ChannelError) as caught:
            await ask(ChannelPool(), address, make_request())
        assert caught.value.is_sent


async def test_a_short_answer_is_not_whole() -> None:
    async def script(stream: trio.SocketStream, number: int) -> None:
        await read_request(stream)
        await stream.send_all(make_answer(b"whole")[:-2])
        await stream.aclose()

    async with run_server(script) as address:
        with pytest.raises(ChannelError):
            await ask(ChannelPool(), address, make_request())


async def test_bytes_that_are_no_answer_are_a_failure() -> None:
    async def script(stream: trio.SocketStream, number: int) -> None:
        await read_request(stream)
        await stream.send_all(b"\x00\x01 garbage\r\n\r\n")
        await stream.aclose()

    async with run_server(script) as address:
        with pytest.raises(ChannelError):
            await ask(ChannelPool(), address, make_request())


async def test_an_idle_connection_that_was_closed_is_not_used() -> None:
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
        await trio.lowlevel.wait_readable(channel._stream.socket)
        assert await ask(pool, address, make_request()) == b"2"


async def test_nothing_was_sent_where_nobody_listens() -> None:
    listeners = await trio.open_tcp_listeners(0, host="127.0.0.1")
    port = listeners[0].socket.getsockname()[1]
    await listeners[0].aclose()
    with pytest.raises(ChannelError) as caught:
        await ChannelPool().acquire("s1", f"127.0.0.1:{port}")
    assert not caught.value.is_sent


def make_idle_channel(idle_seconds: float) -> Channel:
    class _Socket:
        def is_readable(self) -> bool:
            return False

    class _Stream:
        socket = _Socket()

    channel = Channel(_Stream())  # type: ignore[arg-type]
    channel._note_idle_limit([(b"keep-alive", f"timeout={idle_seconds:.0f}".encode())])
    return channel


def test_the_servers_idle_limit_is_kept_with_a_margin() -> None:
    channel = make_idle_channel(10)
    assert channel.is_usable(6.9)
    assert not channel.is_usable(7.1)
