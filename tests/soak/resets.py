"""Resets of connections."""

from __future__ import annotations

import socket
import struct

import trio


def reset(stream: trio.SocketStream) -> None:
    """Close a connection so that the peer receives a reset."""
    try:
        linger = struct.pack("ii", 1, 0)
        stream.socket.setsockopt(socket.SOL_SOCKET, socket.SO_LINGER, linger)
    except OSError:
        pass
    stream.socket.close()
