"""Bounds on what the kernel buffers for a connection."""

from __future__ import annotations

__all__ = ["bound_buffers"]

import socket
from typing import TYPE_CHECKING

if TYPE_CHECKING:
    import trio

# Segments per buffer. On loopback a segment may have 64 KB; a receiver whose buffer is
# smaller than a segment announces room late, and each large body took 0.2 s longer.
SEGMENTS = 4


def bound_buffers(sock: socket.socket | trio.socket.SocketType, size: int) -> None:
    """Bound both buffers of a socket to ``size`` bytes; 0 leaves them to the kernel.

    To be called before the socket connects or accepts; accepted ones inherit it. The
    kernel doubles the size to include its own overhead. Without a bound it lets the
    buffers grow to several megabytes for a peer that reads slowly.
    """
    if not size:
        return
    for option in (socket.SO_RCVBUF, socket.SO_SNDBUF):
        sock.setsockopt(socket.SOL_SOCKET, option, size)
    sock.setsockopt(socket.IPPROTO_TCP, socket.TCP_MAXSEG, size // SEGMENTS)
