"""Sockets that fall silent: the kernel drops what arrives, as after a cut link."""

from __future__ import annotations

import ctypes
import socket
import struct
from collections.abc import Iterator
from contextlib import contextmanager

SO_ATTACH_FILTER = 26
SO_DETACH_FILTER = 27
# The one instruction of a socket filter that accepts nothing: return 0.
DROP_ALL = struct.pack("HBBI", 0x06, 0, 0, 0)


@contextmanager
def silence(sock: socket.socket) -> Iterator[None]:
    """Drop all packets to a socket, acknowledgements among them."""
    program = ctypes.create_string_buffer(DROP_ALL)
    value = struct.pack("HL", 1, ctypes.addressof(program))
    sock.setsockopt(socket.SOL_SOCKET, SO_ATTACH_FILTER, value)
    try:
        yield
    finally:
        sock.setsockopt(socket.SOL_SOCKET, SO_DETACH_FILTER, struct.pack("i", 0))
