"""A backend server that answers with scripted bytes, on loopback."""

from __future__ import annotations

from collections.abc import AsyncIterator, Awaitable, Callable
from contextlib import asynccontextmanager

import trio

Script = Callable[[trio.SocketStream, int], Awaitable[None]]


async def read_request(stream: trio.SocketStream, *, with_body: bool = True) -> bytes:
    """Return the bytes of one request."""
    data = b""
    while b"\r\n\r\n" not in data:
        piece = await stream.receive_some(65_536)
        if not piece:
            return data
        data += piece
    head, _, body = data.partition(b"\r\n\r\n")
    length = 0
    for line in head.lower().split(b"\r\n"):
        if line.startswith(b"content-length:"):
            length = int(line.partition(b":")[2])
    while with_body and len(body) < length:
        body += await stream.receive_some(65_536)
    return head + b"\r\n\r\n" + body


def make_answer(
    body: bytes = b"ok", request_id: str = "id-1", status: int = 200, extra: str = ""
) -> bytes:
    """Return the bytes of a complete answer."""
    head = (
        f"HTTP/1.1 {status} X\r\nX-Request-Id: {request_id}\r\n{extra}"
        f"Content-Length: {len(body)}\r\n\r\n"
    )
    return head.encode() + body


@asynccontextmanager
async def run_server(script: Script) -> AsyncIterator[str]:
    """Serve each connection with ``script(stream, number)``; yield the address."""
    listeners = await trio.open_tcp_listeners(0, host="127.0.0.1")
    port = listeners[0].socket.getsockname()[1]
    count = 0

    async def handle(stream: trio.SocketStream) -> None:
        nonlocal count
        count += 1
        try:
            await script(stream, count)
        except (trio.BrokenResourceError, trio.ClosedResourceError):
            return

    async with trio.open_nursery() as nursery:
        nursery.start_soon(trio.serve_listeners, handle, listeners)
        yield f"127.0.0.1:{port}"
        nursery.cancel_scope.cancel()


@asynccontextmanager
async def run_server_in_thread(script: Script) -> AsyncIterator[str]:
    """Like :func:`run_server`, but independent of the event loop of its clients."""
    own_token = trio.lowlevel.current_trio_token()
    is_started, is_stopped = trio.Event(), trio.Event()
    address = ""
    token: trio.lowlevel.TrioToken | None = None

    async def serve() -> None:
        nonlocal address, token
        async with run_server(script) as address:
            token = trio.lowlevel.current_trio_token()
            own_token.run_sync_soon(is_started.set)
            await is_stopped.wait()

    async with trio.open_nursery() as nursery:
        nursery.start_soon(trio.to_thread.run_sync, trio.run, serve)
        await is_started.wait()
        assert token is not None
        try:
            yield address
        finally:
            token.run_sync_soon(is_stopped.set)
