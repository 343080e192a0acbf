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
NO_BODY_STATUSES = (204, 304)


class Exchange:
    """A request whose head has been read.

    ``idle_before`` is how long its connection had been idle (seconds), None for the
    first request. The head of the answer is written together with what follows it.
    """

    def __init__(
        self,
        wire: Wire,
        request: h11.Request,
        idle_before: float | None,
        limits: ConnectionLimits,
        is_last: Callable[[], bool],
    ):
        self.method = request.method.decode("ascii").upper()
        self.target: bytes = request.target
        self.headers: Headers = request.headers.raw_items()
        self.http_version = request.http_version.decode("ascii")
        self.idle_before = idle_before
        self.is_started = False
        self.is_finished = False
        self.is_client_gone = False
        self._wire = wire
        self._limits = limits
        self._is_last = is_last
        self._has_body = True
        self._head = b""

    async def read_piece(self) -> bytes | None:
        """Return the next piece of the body, empty at its end.

        None if there will be no end: the client has left, sends what is no body or
        takes longer than its connection may idle.
        """
        with trio.move_on_after(self._limits.idle_timeout) as scope:
            event = await self._wire.read_event()
        if scope.cancelled_caught:
            self.is_client_gone = True
            await self._wire.refuse(REQUEST_TIMEOUT)
            return None
        if isinstance(event, h11.Data):
            return bytes(event.data)
        if isinstance(event, h11.EndOfMessage):
            return b""
        self.is_client_gone = True
        if isinstance(event, h11.RemoteProtocolError):
            await self._wire.refuse(event.error_status_hint)
        return None

    async def wait_until_gone(self) -> None:
        """Return once the client has ended the connection."""
        while await self._wire.read_ahead():
            pass
        self.is_client_gone = True

    async def start(self, status: int, headers: Headers) -> None:
        """Begin the answer; its head is written with its first piece or its end."""
        self.is_started = True
        self._has_body = self.method != "HEAD" and status not in NO_BODY_STATUSES
        headers = list(headers)
        if not any(name.lower() == b"date" for name, _ in headers):
            headers.append((b"date", formatdate(usegmt=True).encode()))
        if self._is_last() or not self._wire.is_request_whole():
            headers.append((b"connection", b"close"))
        response = h11.Response(status_code=status, headers=headers)
        self._head = self._wire.encode(response)

    async def send(self, data: bytes) -> None:
        """Write a piece of the body."""
        if data and self._has_body:
            await self._write(self._wire.encode(h11.Data(data=data)))

    async def finish(self) -> None:
        """End the body as complete."""
        self.is_finished = True
        await self._write(self._wire.encode(h11.EndOfMessage()))

    async def abort(self) -> None:
        """Do nothing: a connection whose answer has no end is closed without one."""

    async def _write(self, data: bytes) -> None:
        head, self._head = self._head, b""
        await self._wire.write(head + data)
