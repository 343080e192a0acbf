"""A listener on loopback for tests of single connections."""

from __future__ import annotations

import functools
from collections.abc import AsyncIterator, Awaitable, Callable
from contextlib import asynccontextmanager

import trio

from ashpond.connections import ClosedConnection, ConnectionLimits
from ashpond.exchanges import Exchange
from ashpond.listener import Listener
from tests.ports import find_free_port

LIMITS = ConnectionLimits(max_header_bytes=2000, header_timeout=3.0, idle_timeout=15.0)
GRACE_SECONDS = 5.0
POST = b"POST /x HTTP/1.1\r\nHost: a\r\n"
REQUEST = POST + b"Content-Length: 2\r\n\r\nab"


async def echo(exchange: Exchange) -> None:
    """Answer with the body of the request."""
    body = b""
    while piece := await exchange.read_piece():
        body += piece
    if piece is not None:
        await answer(exchange, body)


async def answer(exchange: Exchange, body: bytes = b"ok") -> None:
    length = str(len(body)).encode()
    await exchange.start(200, [(b"content-length", length)])
    await exchange.send(body)
    await exchange.finish()


class RunningListener:
    def __init__(self) -> None:
        self.address = f"127.0.0.1:{find_free_port()}"
        self.stop = trio.Event()
        self.closed: list[ClosedConnection] = []
        self.is_leaving = False
        self.limits = LIMITS
        self.scope: trio.CancelScope | None = None

    async def connect(self) -> trio.SocketStream:
        host, port = self.address.split(":")
        return await trio.open_tcp_stream(host, int(port))

    async def send_and_read(self, data: bytes) -> bytes:
        """Send bytes on a new connection and return all that is received."""
        stream = await self.connect()
        async with stream:
            await stream.send_all(data)
            return await read_all(stream)


async def read_all(stream: trio.SocketStream) -> bytes:
    data = b""
    try:
        while piece := await stream.receive_some(65_536):
            data += piece
    except trio.BrokenResourceError:
        return data
    return data


async def read_until(stream: trio.SocketStream, end: bytes) -> bytes:
    data = b""
    while not data.endswith(end):
        piece = await stream.receive_some(65_536)
        assert piece, data
        data += piece
    return data


async def take_steps(count: int) -> None:
    """Yield ``count`` times to the event loop."""
    for _ in range(count):
        await trio.lowlevel.checkpoint()


@asynccontextmanager
async def run_listener(
    handle: Callable[[Exchange], Awaitable[None]] = echo,
) -> AsyncIterator[RunningListener]:
    running = RunningListener()
    listener = Listener(
        {running.address: handle},
        lambda: running.limits,
        lambda: running.is_leaving,
        running.closed.append,
    )
    async with trio.open_nursery() as nursery:
        run = functools.partial(listener.run, running.stop.wait, GRACE_SECONDS)
        await nursery.start(run)
        yield running
        nursery.cancel_scope.cancel()
