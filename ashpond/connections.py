"""One HTTP/1.1 connection of a client, read, answered and closed by one task.

The task that reads the connection also enforces its idle limit. Before it closes an
idle connection it checks the socket once more, with no await in between. A separate
timer task could close a connection whose request the reader has just accepted, because
both tasks may become ready in the same step of the event loop.
"""

from __future__ import annotations

__all__ = ["ClosedConnection", "CloseReason", "Connection", "ConnectionLimits"]

from enum import StrEnum
from typing import TYPE_CHECKING, NamedTuple

import h11
import trio

from ashpond.exchanges import Exchange
from ashpond.wire import READ_BYTES, Wire

if TYPE_CHECKING:
    from collections.abc import Awaitable, Callable

REQUEST_TIMEOUT = 408
HEADERS_TOO_LARGE = 431
INTERNAL_ERROR = 500
NOT_IMPLEMENTED = 501
# This method would turn the connection into a tunnel, which is not supported.
TUNNEL_METHOD = b"CONNECT"
# After the last answer the connection is read until the client closes it or has sent
# nothing for this long (seconds). Closing a socket with unread bytes resets the
# connection, and the client could lose the answer.
LINGER_SECONDS = 1.0
# Upper limit of that reading, however much the client sends (seconds).
MAX_LINGER_SECONDS = 10.0


class ConnectionLimits(NamedTuple):
    """Limits of a request head (bytes) and of the waiting for a client (seconds)."""

    max_header_bytes: int
    header_timeout: float
    idle_timeout: float


class CloseReason(StrEnum):
    """Why a connection was closed, and by which side."""

    CLIENT = "client"
    IDLE_LIMIT = "idle_limit"
    SHUTDOWN = "shutdown"
    LAST_ANSWER = "last_answer"
    BAD_REQUEST = "bad_request"
    HEADER_TIMEOUT = "header_timeout"
    BROKEN_ANSWER = "broken_answer"
    ANSWER_NOT_TAKEN = "answer_not_taken"
    MEMORY_LIMIT = "memory_limit"
    FAILURE = "failure"
    GRACE_PERIOD = "grace_period"


class ClosedConnection(NamedTuple):
    """How a connection ended, for the log.

    ``idle`` is the time since the last answer, or since the connection was accepted,
    and ``idle_limit`` the limit in force (seconds). ``has_call`` is true if a request
    had been read but not completely answered.
    """

    by: CloseReason
    requests: int
    idle: float
    idle_limit: float
    has_call: bool
    failure: str | None


class Connection:
    """An accepted connection, served until it is closed.

    :param handle: serves one request; an exception that it raises is answered with
        500, if possible, and closes the connection.
    :param is_leaving: returns whether this instance is leaving; an answer then is the
        last one of its connection.
    :param note_closed: called once, when the connection has been closed.
    :param read_bytes: size of one read.
    """

    def __init__(
        self,
        stream: trio.SocketStream,
        handle: Callable[[Exchange], Awaitable[None]],
        get_limits: Callable[[], ConnectionLimits],
        is_leaving: Callable[[], bool],
        note_closed: Callable[[ClosedConnection], None],
        read_bytes: int = READ_BYTES,
    ):
        self._stream = stream
        self._wire = Wire(stream, get_limits().max_header_bytes, read_bytes)
        self._handle = handle
        self._get_limits = get_limits
        self._is_leaving = is_leaving
        self._note_closed = note_closed
        self._is_shutting_down = False
        self._requests = 0
        self._idle_since = trio.current_time()
        self._idle_scope: trio.CancelScope | None = None
        self._exchange: Exchange | None = None
        self._closed_by = CloseReason.CLIENT

    async def run(self) -> None:
        """Serve requests, one after the other, until the connection is closed."""
        try:
            while await self._wait_for_request():
                if not await self._serve_request():
                    break
        except BaseException:
            # Exceptions of the handler are handled in _serve_request, so this is a
            # cancellation at the end of the grace period.
            if self._has_open_request():
                self._closed_by = CloseReason.GRACE_PERIOD
            raise
        finally:
            self._close()

    def shut_down(self, grace_ends_at: float) -> None:
        """Close once no request is being served; stop sending at ``grace_ends_at``.

        :param grace_ends_at: end of the grace period, in trio's time.
        """
        self._is_shutting_down = True
        self._wire.set_send_deadline(grace_ends_at)
        self.apply_limits()

    def apply_limits(self) -> None:
        """Apply the current idle limit to a connection that is idle already.

        Clients reuse a connection by the newest limit that they know, also if it
        became idle under an older one.
        """
        if self._idle_scope is not None:
            self._idle_scope.deadline = self._compute_idle_deadline()

    def _compute_idle_deadline(self) -> float:
        if self._is_shutting_down:
            return -float("inf")
        return self._idle_since + self._get_limits().idle_timeout

    async def _wait_for_request(self) -> bool:
        """Return whether there is something to read; otherwise the caller closes.

        The idle deadline only wakes this task. The socket decides, because the
        deadline may pass in the same step of the event loop in which a request arrives.
        """
        self._idle_since = trio.current_time()
        if self._wire.has_unread():
            return True
        while True:
            with trio.CancelScope(deadline=self._compute_idle_deadline()) as scope:
                self._idle_scope = scope
                await self._wire.wait_readable()
            self._idle_scope = None
            if not scope.cancelled_caught or self._wire.is_readable():
                return True
            # The limit may have been raised after this deadline was set.
            if trio.current_time() >= self._compute_idle_deadline():
                break
        self._closed_by = (
            CloseReason.SHUTDOWN if self._is_shutting_down else CloseReason.IDLE_LIMIT
        )
        return False

    async def _serve_request(self) -> bool:
        """Serve one request; return whether the connection stays open for another."""
        idle = trio.current_time() - self._idle_since
        request = await self._read_head()
        if request is None:
            return False
        idle_before = idle if self._requests else None
        self._requests += 1
        self._exchange = Exchange(
            self._wire, request, idle_before, self._get_limits(), self._is_last_answer
        )
        try:
            await self._handle(self._exchange)
        except Exception as error:
            await self._handle_failure(self._exchange, error)
            return False
        if not self._exchange.is_finished:
            await self._handle_unfinished(self._exchange)
            return False
        self._exchange = None
        return await self._prepare_next()

    def _is_last_answer(self) -> bool:
        return self._is_shutting_down or self._is_leaving()

    async def _read_head(self) -> h11.Request | None:
        """Return the next request; None if there is none or it has been refused."""
        limits = self._get_limits()
        self._wire.set_max_header_bytes(limits.max_header_bytes)
        with trio.move_on_after(limits.header_timeout) as scope:
            event = await self._wire.read_event()
        if scope.cancelled_caught:
            await self._refuse(REQUEST_TIMEOUT, CloseReason.HEADER_TIMEOUT)
            return None
        if isinstance(event, h11.RemoteProtocolError):
            self._wire.failure = str(event)
            await self._refuse(event.error_status_hint, CloseReason.BAD_REQUEST)
            return None
        if not isinstance(event, h11.Request):
            return None
        if _measure_head(event) > limits.max_header_bytes:
            await self._refuse(HEADERS_TOO_LARGE, CloseReason.BAD_REQUEST)
            return None
        if event.method == TUNNEL_METHOD:
            await self._refuse(NOT_IMPLEMENTED, CloseReason.BAD_REQUEST)
            return None
        return event

    async def _refuse(self, status: int, by: CloseReason) -> None:
        self._closed_by = by
        await self._wire.refuse(status)
        await self._linger()

    async def _handle_failure(self, exchange: Exchange, error: Exception) -> None:
        self._wire.failure = repr(error)
        self._closed_by = CloseReason.FAILURE
        if exchange.is_finished:
            await self._linger()
        elif not self._wire.has_answer_begun():
            await self._refuse(INTERNAL_ERROR, CloseReason.FAILURE)

    async def _handle_unfinished(self, exchange: Exchange) -> None:
        if exchange.is_cut:
            self._closed_by = CloseReason.MEMORY_LIMIT
        elif self._wire.is_stalled:
            self._closed_by = CloseReason.ANSWER_NOT_TAKEN
        elif exchange.is_refused:
            self._closed_by = CloseReason.BAD_REQUEST
            await self._linger()
        elif not exchange.has_client_left and not self._wire.is_broken:
            self._closed_by = CloseReason.BROKEN_ANSWER
            if not self._wire.has_answer_begun():
                await self._refuse(INTERNAL_ERROR, CloseReason.BROKEN_ANSWER)

    async def _prepare_next(self) -> bool:
        if self._wire.start_next_cycle():
            return True
        self._closed_by = CloseReason.LAST_ANSWER
        await self._linger()
        return False

    async def _linger(self) -> None:
        with trio.move_on_after(MAX_LINGER_SECONDS):
            await self._wire.finish_sending()
            is_ended = False
            while not is_ended:
                with trio.move_on_after(LINGER_SECONDS) as scope:
                    is_ended = not await self._wire.receive()
                is_ended = is_ended or scope.cancelled_caught

    def _has_open_request(self) -> bool:
        return self._exchange is not None and not self._exchange.is_finished

    def _close(self) -> None:
        exchange = self._exchange
        if exchange is not None and exchange.would_close_look_complete():
            self._wire.reset()
        else:
            self._wire.close()
        closed = ClosedConnection(
            self._closed_by,
            self._requests,
            trio.current_time() - self._idle_since,
            self._get_limits().idle_timeout,
            self._has_open_request(),
            self._wire.failure,
        )
        self._note_closed(closed)


def _measure_head(request: h11.Request) -> int:
    """Return the size of a request's head in bytes, without its separators."""
    fields = sum(len(name) + len(value) for name, value in request.headers)
    return len(request.method) + len(request.target) + fields
