"""Have the kernel notice a connection whose other side has fallen silent."""

from __future__ import annotations

__all__ = ["enable_dead_peer_detection"]

import socket
from typing import TYPE_CHECKING

if TYPE_CHECKING:
    import trio

# Unacknowledged data for so long means that the other side is gone (ms).
UNACKNOWLEDGED_MS = 1500
# The least that the kernel knows (seconds).
KEEPALIVE_SECONDS = 1


def enable_dead_peer_detection(sock: trio.socket.SocketType) -> None:
    """Break a connection that brings no acknowledgement, also while nothing is sent.

    A partition, a machine without power and a path that has gone silent for this
    connection alone send no reset; without this, both sides would wait on.
    """
    for option, value in (
        (socket.TCP_USER_TIMEOUT, UNACKNOWLEDGED_MS),
        (socket.TCP_KEEPIDLE, KEEPALIVE_SECONDS),
        (socket.TCP_KEEPINTVL, KEEPALIVE_SECONDS),
    ):
        sock.setsockopt(socket.IPPROTO_TCP, option, value)
    sock.setsockopt(socket.SOL_SOCKET, socket.SO_KEEPALIVE, 1)
