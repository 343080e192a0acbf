"""Serve one Quart application on one address until shutdown."""

from __future__ import annotations

__all__ = ["make_app", "read_body", "run_app"]

import logging
from typing import TYPE_CHECKING, cast

import trio
from logbook import Logger
from quart import request
from quart_trio import QuartTrio

from ashpond.asgi import make_handler, run_lifespan
from ashpond.connections import ClosedConnection, CloseReason, ConnectionLimits
from ashpond.listener import Listener

if TYPE_CHECKING:
    from collections.abc import Awaitable, Callable

logger = Logger("ashpond.server")

MAX_BODY_BYTES = 64 << 20
GRACE_SECONDS = 2
# Clients keep connections open for minutes; a request head arrives in a few packets.
LIMITS = ConnectionLimits(max_header_bytes=16_384, header_timeout=15, idle_timeout=75)
# Closes for these reasons are logged only if they cut off a request.
ROUTINE_REASONS = (
    CloseReason.CLIENT,
    CloseReason.IDLE_LIMIT,
    CloseReason.SHUTDOWN,
    CloseReason.LAST_ANSWER,
)


def make_app(name: str, max_body_bytes: int = MAX_BODY_BYTES) -> QuartTrio:
    """Return an application without Quart's timeouts of bodies and answers."""
    app = QuartTrio(name)
    app.config["RESPONSE_TIMEOUT"] = None
    app.config["BODY_TIMEOUT"] = None
    app.config["MAX_CONTENT_LENGTH"] = max_body_bytes
    app.logger.setLevel(logging.ERROR)
    return app


async def read_body() -> bytes:
    """Return the whole body of the current request."""
    return cast("bytes", await request.get_data(cache=False))


async def run_app(
    app: QuartTrio,
    address: str,
    shutdown: Callable[[], Awaitable[object]],
    *,
    graceful_seconds: float = GRACE_SECONDS,
    task_status: trio.TaskStatus[list[str]] = trio.TASK_STATUS_IGNORED,
) -> None:
    """Serve ``app`` until ``shutdown`` returns, then finish the requests in flight.

    :param graceful_seconds: time after which unfinished requests are cut off.
    """
    listener = Listener(
        {address: make_handler(app)},
        lambda: LIMITS,
        note_closed=_note_closed,
        note_error=_note_error,
    )
    async with run_lifespan(app):
        await listener.run(shutdown, graceful_seconds, task_status)


def _note_closed(closed: ClosedConnection) -> None:
    if closed.by in ROUTINE_REASONS and not closed.has_call:
        return
    fields = {name: value for name, value in closed._asdict().items() if value}
    logger.notice("connection_cut", extra=fields)


def _note_error(event: str, error: BaseException) -> None:
    logger.error(event, extra={"error": repr(error)})
