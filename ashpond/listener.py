"""Accept connections, and shut them down without losing a request."""

from __future__ import annotations

__all__ = ["Listener"]

from collections.abc import Awaitable, Callable, Mapping
from typing import TYPE_CHECKING

import trio

from ashpond.addresses import parse_address
from ashpond.connections import ClosedConnection, Connection, ConnectionLimits
from ashpond.socketbuffers import bound_buffers
from ashpond.wire import READ_BYTES

if TYPE_CHECKING:
    from ashpond.exchanges import Exchange

Handle = Callable[["Exchange"], Awaitable[None]]

BACKLOG = 1024
# Pause after a failed accept (seconds); the usual cause is a lack of descriptors.
ACCEPT_PAUSE_SECONDS = 0.1


class Listener:
    """A server of connections on several addresses, each with its own handler.

    :param get_limits: returns the limits in force; call :meth:`apply_limits` after a
        change, so that idle connections follow it.
    :param is_leaving: returns whether an answer should be the last one of its
        connection.
    :param note_closed: called when a connection has been closed.
    :param note_error: called with the name of a log event and an error that is not
        raised to any caller.
    :param buffer_bytes: size of the buffers of each connection's socket, and of one
        read; 0 if the kernel may choose it, which grows them to several megabytes.
    """

    def __init__(
        self,
        handlers: Mapping[str, Handle],
        get_limits: Callable[[], ConnectionLimits],
        is_leaving: Callable[[], bool] = lambda: False,
        note_closed: Callable[[ClosedConnection], None] = lambda closed: None,
        note_error: Callable[[str, BaseException], None] = lambda event, error: None,
        buffer_bytes: int = 0,
    ):
        self._buffer_bytes = buffer_bytes
        self._handlers = dict(handlers)
        self._get_limits = get_limits
        self._is_leaving = is_leaving
        self._note_closed = note_closed
        self._note_error = note_error
        self._connections: set[Connection] = set()
        self._grace_ends_at: float | None = None

    async def run(
        self,
        shutdown: Callable[[], Awaitable[object]],
        grace_seconds: float,
        task_status: trio.TaskStatus[list[str]] = trio.TASK_STATUS_IGNORED,
    ) -> None:
        """Serve until ``shutdown`` returns, then finish the requests in flight.

        :param grace_seconds: time after which unfinished requests are cut off.
        """
        listeners = [
            (await _listen(address, self._buffer_bytes), handle)
            for address, handle in self._handlers.items()
        ]
        try:
            async with trio.open_nursery() as connections:
                async with trio.open_nursery() as accepting:
                    for listener, handle in listeners:
                        accepting.start_soon(
                            self._accept, listener, handle, connections
                        )
                    task_status.started(list(self._handlers))
                    await shutdown()
                    accepting.cancel_scope.cancel()
                grace_ends_at = trio.current_time() + grace_seconds
                connections.cancel_scope.deadline = grace_ends_at
                await self._shut_down(listeners, connections, grace_ends_at)
        finally:
            for listener, _ in listeners:
                listener.socket.close()

    async def _shut_down(
        self,
        listeners: list[tuple[trio.SocketListener, Handle]],
        nursery: trio.Nursery,
        grace_ends_at: float,
    ) -> None:
        self._grace_ends_at = grace_ends_at
        for listener, handle in listeners:
            await self._accept_pending(listener, handle, nursery)
            listener.socket.close()
        for connection in self._connections:
            connection.shut_down(grace_ends_at)

    def apply_limits(self) -> None:
        """Apply the current limits to idle connections."""
        for connection in self._connections:
            connection.apply_limits()

    async def _accept(
        self, listener: trio.SocketListener, handle: Handle, nursery: trio.Nursery
    ) -> None:
        while True:
            try:
                stream = await listener.accept()
            except OSError as error:
                self._note_error("accepting_paused", error)
                await trio.sleep(ACCEPT_PAUSE_SECONDS)
                continue
            nursery.start_soon(self._serve, stream, handle)

    async def _accept_pending(
        self, listener: trio.SocketListener, handle: Handle, nursery: trio.Nursery
    ) -> None:
        """Accept the connections that wait in the backlog.

        Closing the listening socket would reset them, and their requests would be lost.
        """
        while listener.socket.is_readable():
            # accept() would wait if the client has closed the connection meanwhile.
            with trio.move_on_after(ACCEPT_PAUSE_SECONDS):
                try:
                    stream = await listener.accept()
                except OSError as error:
                    self._note_error("connection_unaccepted", error)
                    return
                nursery.start_soon(self._serve, stream, handle)

    async def _serve(self, stream: trio.SocketStream, handle: Handle) -> None:
        connection = Connection(
            stream,
            handle,
            self._get_limits,
            self._is_leaving,
            self._note_closed,
            self._buffer_bytes or READ_BYTES,
        )
        self._connections.add(connection)
        if self._grace_ends_at is not None:
            connection.shut_down(self._grace_ends_at)
        try:
            await connection.run()
        except* Exception as group:
            # A handler that fails at the end of the grace period must not cancel the
            # other connections of the nursery.
            self._note_error("connection_failed", group)
        finally:
            self._connections.discard(connection)


async def _listen(address: str, buffer_bytes: int) -> trio.SocketListener:
    host, port = parse_address(address)
    (listener,) = await trio.open_tcp_listeners(port, host=host, backlog=BACKLOG)
    bound_buffers(listener.socket, buffer_bytes)
    return listener
