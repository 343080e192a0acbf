"""Serve an ASGI application through :class:`ashpond.listener.Listener`."""

from __future__ import annotations

__all__ = ["CLOSE_DELIMITED", "make_handler", "run_lifespan"]

from contextlib import asynccontextmanager
from typing import TYPE_CHECKING, Any
from urllib.parse import unquote

import trio

from ashpond.errors import AshpondError

if TYPE_CHECKING:
    from collections.abc import AsyncIterator, Awaitable, Callable

    from ashpond.exchanges import Exchange

Event = dict[str, Any]

# The scope's extension in which an application sets "is_set" before a response whose
# end only the end of the connection is to mark.
CLOSE_DELIMITED = "ashpond.close_delimited"
ASGI_VERSIONS = {"version": "3.0", "spec_version": "2.3"}


class StartupError(AshpondError):
    """The application has reported that its startup failed."""


def make_handler(app: Any) -> Callable[[Exchange], Awaitable[None]]:
    """Return a handler that passes each exchange to ``app`` as an ASGI HTTP scope."""

    async def handle(exchange: Exchange) -> None:
        scope = _build_scope(exchange)
        await app(scope, _make_receive(exchange), _make_send(exchange, scope))

    return handle


def _build_scope(exchange: Exchange) -> Event:
    path, _, query = exchange.target.partition(b"?")
    return {
        "type": "http",
        "asgi": ASGI_VERSIONS,
        "http_version": exchange.http_version,
        "method": exchange.method,
        "scheme": "http",
        "path": unquote(path.decode("ascii")),
        "raw_path": path,
        "query_string": query,
        "root_path": "",
        "headers": [(name.lower(), value) for name, value in exchange.headers],
        "client": None,
        "server": None,
        "extensions": {CLOSE_DELIMITED: {"is_set": False}},
    }


def _make_receive(exchange: Exchange) -> Callable[[], Awaitable[Event]]:
    is_body_complete = False

    async def receive() -> Event:
        nonlocal is_body_complete
        if is_body_complete:
            await exchange.wait_until_client_left()
            return {"type": "http.disconnect"}
        piece = await exchange.read_piece()
        if piece is None:
            return {"type": "http.disconnect"}
        is_body_complete = not piece
        return {
            "type": "http.request",
            "body": piece,
            "more_body": not is_body_complete,
        }

    return receive


def _make_send(exchange: Exchange, scope: Event) -> Callable[[Event], Awaitable[None]]:
    async def send(event: Event) -> None:
        if event["type"] == "http.response.start":
            await exchange.start(
                event["status"],
                list(event.get("headers", [])),
                is_close_delimited=scope["extensions"][CLOSE_DELIMITED]["is_set"],
            )
            return
        await exchange.send(bytes(event.get("body", b"")))
        if not event.get("more_body", False):
            await exchange.finish()

    return send


@asynccontextmanager
async def run_lifespan(app: Any) -> AsyncIterator[None]:
    """Send ``app`` the lifespan startup event, and the shutdown event on exit.

    :raises StartupError: if the application reports that its startup failed.
    """
    to_app, from_server = trio.open_memory_channel[Event](1)
    to_server, from_app = trio.open_memory_channel[Event](1)
    scope = {"type": "lifespan", "asgi": ASGI_VERSIONS, "state": {}}
    async with trio.open_nursery() as nursery:
        nursery.start_soon(app, scope, from_server.receive, to_server.send)
        await to_app.send({"type": "lifespan.startup"})
        started = await from_app.receive()
        is_started = started["type"] == "lifespan.startup.complete"
        if is_started:
            yield
            await to_app.send({"type": "lifespan.shutdown"})
            await from_app.receive()
        nursery.cancel_scope.cancel()
    if not is_started:
        raise StartupError(str(started.get("message", "")))
