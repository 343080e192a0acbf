"""One request of a client's connection and its answer."""

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

    ``is_started`` tells that any of the answer has been written or is being written.
    ``idle_before`` is how long its connection had been idle (seconds), None for the
    first request. ``is_finished`` tells that the whole answer has been written.
    ``is_refused`` tells that the body was not valid or did not come in time.
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
        self._wire = wire
        self._limits = limits
        self._is_last = is_last
        self._has_body = True
        self._head: list[h11.Event] = []

    async def read_piece(self) -> bytes | None:
        """Return the next piece of the body, empty at its end.

        None if there will be no end: the client has left, sends what is no body or
        takes longer than its connection may idle.
        """
        with trio.move_on_after(self._limits.idle_timeout) as scope:
            event = await self._wire.read_event()
        if scope.cancelled_caught:
            await self._refuse(REQUEST_TIMEOUT, "the body does not come")
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
        """Return whether the client has left by now; wait for nothing.

        A client that sends nothing more but still reads cannot be told from one that
        has left, and is taken for it.
        """
        while not self.has_client_left and self._wire.is_readable():
            if not self._wire.can_read_ahead():
                break
            self.has_client_left = not await self._wire.read_ahead()
        return self.has_client_left

    async def wait_until_client_left(self) -> None:
        """Return once the client has ended the connection.

        One that has sent a whole read of further requests is read no more, and its end
        is not seen before they are.
        """
        while await self._wire.read_ahead():
            pass
        self.has_client_left = True

    async def start(self, status: int, headers: Headers) -> None:
        """Begin the answer; its head is written with its first piece or its end."""
        headers = list(headers)
        if not any(name.lower() == b"date" for name, _ in headers):
            headers.append((b"date", formatdate(usegmt=True).encode()))
        if self._is_last() or not self._wire.is_request_complete():
            headers.append((b"connection", b"close"))
        self._head = [h11.Response(status_code=status, headers=headers)]
        self._has_body = self.method != "HEAD" and status not in NO_BODY_STATUSES

    async def send(self, data: bytes) -> None:
        """Write a piece of the body."""
        if data and self._has_body:
            await self._send(h11.Data(data=data))

    async def finish(self) -> None:
        """End the body as complete."""
        await self._send(h11.EndOfMessage())
        self.is_finished = not self._wire.is_broken

    async def abort(self) -> None:
        """Do nothing: once its handler returns, a connection is closed as it is."""

    def would_close_look_complete(self) -> bool:
        """Return whether an end of the connection would pass for the answer's end.

        Towards old clients an answer may have no other end than its connection's.
        """
        is_cut = self.is_started and not self.is_finished
        return is_cut and self.http_version == HTTP_1_0

    async def _send(self, event: h11.Event) -> None:
        head, self._head = self._head, []
        self.is_started = True
        await self._wire.send(*head, event)
