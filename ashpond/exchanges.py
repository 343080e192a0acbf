"""A single request on a client's connection, and its answer."""

from __future__ import annotations

__all__ = ["Exchange"]

from email.utils import formatdate
from typing import TYPE_CHECKING

import h11
import trio

if TYPE_CHECKING:
    from collections.abc import Callable

    from ashpond.connections import ConnectionLimits
    from ashpond.wire import Headers, Wire

REQUEST_TIMEOUT = 408
HTTP_1_0 = "1.0"
NO_BODY_STATUSES = (204, 304)


class Exchange:
    """A request whose head has been read, and its answer.

    ``idle_before`` is how long the connection had been idle before the request
    (seconds), None for its first request. ``is_started`` is true once writing the
    answer has begun, ``is_finished`` once all of it has been written. ``is_refused`` is
    true if the body was invalid or did not arrive in time, ``has_client_left`` once the
    client has closed the connection. ``is_cut`` is true if it was reset by :meth:`cut`.
    """

    def __init__(
        self,
        wire: Wire,
        request: h11.Request,
        idle_before: float | None,
        limits: ConnectionLimits,
        is_last: Callable[[], bool],
    ):
        self.method = request.method.decode("ascii")
        self.target: bytes = request.target
        self.headers: Headers = request.headers.raw_items()
        self.http_version = request.http_version.decode("ascii")
        self.idle_before = idle_before
        self.is_started = False
        self.is_finished = False
        self.is_refused = False
        self.has_client_left = False
        self.is_cut = False
        self._wire = wire
        self._limits = limits
        self._is_last = is_last
        self._has_body = True
        self._is_close_delimited = False
        # Whether a close would reset the connection.
        self._is_guarded = False
        self._head: list[h11.Event] = []

    def find_declared_length(self) -> int | None:
        """Return the length of the body (bytes); None if only its end will tell."""
        declared: int | None = 0
        for name, value in self.headers:
            if name.lower() == b"transfer-encoding":
                return None
            if name.lower() == b"content-length" and value.isdigit():
                declared = int(value)
        return declared

    async def read_piece(self) -> bytes | None:
        """Return the next piece of the body, empty at its end.

        Return None if the body cannot be completed: the client has left, has sent an
        invalid body, or has sent nothing for the idle limit of its connection.
        """
        with trio.move_on_after(self._limits.idle_timeout) as scope:
            event = await self._wire.read_event()
        if scope.cancelled_caught:
            await self._refuse(REQUEST_TIMEOUT, "timed out waiting for the body")
            return None
        if isinstance(event, h11.Data):
            return bytes(event.data)
        if isinstance(event, h11.EndOfMessage):
            return b""
        if isinstance(event, h11.RemoteProtocolError):
            await self._refuse(event.error_status_hint, str(event))
            return None
        self.has_client_left = True
        return None

    async def _refuse(self, status: int, failure: str) -> None:
        self.is_refused = True
        self._wire.failure = failure
        await self._wire.refuse(status)

    async def check_client_left(self) -> bool:
        """Return whether the client has left, without waiting.

        A client that has only closed its sending side looks the same as one that has
        left, and counts as such.
        """
        while not self.has_client_left and self._wire.is_readable():
            if not self._wire.can_read_ahead():
                break
            self.has_client_left = not await self._wire.read_ahead()
        return self.has_client_left

    async def wait_until_client_left(self) -> None:
        """Return once the client has closed the connection.

        Bytes of further requests are buffered up to the size of one read. After that
        nothing more is read, and the close is not seen until those requests are served.
        """
        while await self._wire.read_ahead():
            pass
        self.has_client_left = True

    async def start(
        self, status: int, headers: Headers, *, is_close_delimited: bool = False
    ) -> None:
        """Start the answer; its head is written with its first piece or its end.

        :param is_close_delimited: whether the body ends with the connection, without a
            length or a last chunk that would say that it is complete.
        """
        headers = list(headers)
        if not any(name.lower() == b"date" for name, _ in headers):
            headers.append((b"date", formatdate(usegmt=True).encode()))
        if self._is_last() or not self._wire.is_request_complete():
            headers.append((b"connection", b"close"))
        self._head = [h11.Response(status_code=status, headers=headers)]
        self._has_body = self.method != "HEAD" and status not in NO_BODY_STATUSES
        if is_close_delimited and self._has_body:
            self._is_close_delimited = True
            self._wire.end_body_with_connection()
        if self._ends_with_connection(headers):
            # Until all is written, an end of the process must not look like its end.
            self._is_guarded = True
            self._wire.reset_on_close()

    async def send(self, data: bytes) -> None:
        """Write a piece of the answer's body."""
        if data and self._has_body:
            await self._send(h11.Data(data=data))

    async def finish(self) -> None:
        """Complete the answer."""
        await self._send(h11.EndOfMessage())
        self.is_finished = not self._wire.is_broken
        if self.is_finished and self._is_guarded:
            self._wire.end_on_close()

    async def abort(self) -> None:
        """Do nothing: an unfinished answer is cut off when the handler returns."""

    def cut(self, reason: str) -> None:
        """Reset the connection at once; the client sees an incomplete answer."""
        self.is_cut = True
        self._wire.cut(reason)

    def _ends_with_connection(self, headers: Headers) -> bool:
        """Return whether only the end of the connection marks that of the body."""
        if not self._has_body or self._is_close_delimited:
            return self._has_body
        has_length = any(name.lower() == b"content-length" for name, _ in headers)
        return self.http_version == HTTP_1_0 and not has_length

    def would_close_look_complete(self) -> bool:
        """Return whether the client would take a close for the end of the answer.

        In HTTP/1.0 the end of an answer may be marked only by the connection's close.
        """
        is_cut = self.is_started and not self.is_finished
        return is_cut and (self._is_close_delimited or self.http_version == HTTP_1_0)

    async def _send(self, event: h11.Event) -> None:
        head, self._head = self._head, []
        self.is_started = True
        await self._wire.send(*head, event)
