"""The byte streams on which channels exchange HTTP messages."""

from __future__ import annotations

__all__ = ["SocketTransport", "Transport"]

from typing import TYPE_CHECKING, Protocol

from ashpond.clients.sockets import (
    close_socket,
    has_data,
    has_unacknowledged_data,
    receive,
    send_all,
)

if TYPE_CHECKING:
    import socket


class Transport(Protocol):
    """A byte stream in both directions.

    Sending and receiving raise ``OSError`` or a trio resource error once it is broken.
    """

    async def send_all(self, data: bytes) -> None:
        """Send all bytes."""

    async def receive(
        self, max_bytes: int, *, shield_ready_data: bool
    ) -> tuple[bytes, bool]:
        """Return the next bytes, empty at the end, and whether they were ready.

        :param shield_ready_data: return data that has already arrived even if the
            deadline has passed.
        """

    def has_data(self) -> bool:
        """Return whether there are bytes, an error or the end to receive."""

    def has_unacknowledged_data(self) -> bool:
        """Return whether bytes that were sent are not known to have arrived.

        Asked once the end has been received.
        """

    def close(self) -> None:
        """Close it without waiting for pending data."""


class SocketTransport:
    """A connected socket in non-blocking mode."""

    def __init__(self, sock: socket.socket):
        self.socket = sock

    async def send_all(self, data: bytes) -> None:
        """Send all bytes."""
        await send_all(self.socket, data)

    async def receive(
        self, max_bytes: int, *, shield_ready_data: bool
    ) -> tuple[bytes, bool]:
        """Return the next bytes, as :meth:`Transport.receive` does."""
        return await receive(
            self.socket, max_bytes, shield_ready_data=shield_ready_data
        )

    def has_data(self) -> bool:
        """Return whether there are bytes, an error or the end to receive."""
        return has_data(self.socket)

    def has_unacknowledged_data(self) -> bool:
        """Return whether the peer's kernel has not received all bytes."""
        return has_unacknowledged_data(self.socket)

    def close(self) -> None:
        """Close the socket; wake tasks that wait for it."""
        close_socket(self.socket)
