"""TCP options with which the kernel detects peers that no longer respond."""

from __future__ import annotations

__all__ = [
    "PATIENT_UNACKNOWLEDGED_MS",
    "UNACKNOWLEDGED_MS",
    "enable_dead_peer_detection",
]

import socket
from typing import TYPE_CHECKING

if TYPE_CHECKING:
    import trio

# A connection is closed when sent data stays unacknowledged for so long.
UNACKNOWLEDGED_MS = 1500
# The same for peers that may be silent for over a second and go on. It also decides
# how many lost probes end a connection: with less than two intervals, one does.
PATIENT_UNACKNOWLEDGED_MS = 2500
# The shortest interval that the kernel supports.
KEEPALIVE_SECONDS = 1


def enable_dead_peer_detection(
    sock: trio.socket.SocketType | socket.socket,
    unacknowledged_ms: int = UNACKNOWLEDGED_MS,
) -> None:
    """Have the kernel close a connection whose peer stops acknowledging, also if idle.

    A network partition, a power failure and a path that drops only this connection's
    packets cause no reset: without these options both sides would wait forever.
    """
    for option, value in (
        (socket.TCP_USER_TIMEOUT, unacknowledged_ms),
        (socket.TCP_KEEPIDLE, KEEPALIVE_SECONDS),
        (socket.TCP_KEEPINTVL, KEEPALIVE_SECONDS),
    ):
        sock.setsockopt(socket.IPPROTO_TCP, option, value)
    sock.setsockopt(socket.SOL_SOCKET, socket.SO_KEEPALIVE, 1)
