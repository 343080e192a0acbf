"""Sending and receiving on plain non-blocking sockets in the event loop.

trio's streams wrap each call in several others and give way to other tasks after each,
which takes more processor time than the calls of the kernel.
"""

from __future__ import annotations

__all__ = [
    "close_socket",
    "has_data",
    "has_unacknowledged_data",
    "open_socket",
    "receive",
    "send_all",
]

import errno
import fcntl
import functools
import os
import socket
import struct
import termios

import trio

from ashpond.addresses import parse_address
from ashpond.clients.liveness import UNACKNOWLEDGED_MS, enable_dead_peer_detection
from ashpond.socketbuffers import bound_buffers

# Bytes that the kernel accepts beyond those it can send at once, as trio's streams set
# it. More of them would only wait longer in the kernel.
MAX_UNSENT_BYTES = 16_384
# The kernel's answer to a question for a number of bytes.
COUNT = struct.Struct("i")
OPTIONS = (
    (socket.IPPROTO_TCP, socket.TCP_NODELAY, 1),
    (socket.IPPROTO_TCP, socket.TCP_NOTSENT_LOWAT, MAX_UNSENT_BYTES),
)
# More addresses than any fleet has servers and stores.
MAX_KNOWN_ADDRESSES = 1000


async def open_socket(
    address: str,
    timeout: float,
    buffer_bytes: int = 0,
    unacknowledged_ms: int = UNACKNOWLEDGED_MS,
) -> socket.socket:
    """Return a non-blocking socket that is connected to an address.

    :param timeout: how long connecting may take (seconds).
    :param buffer_bytes: size of its buffers, 0 if the kernel may choose it.
    :param unacknowledged_ms: how long the peer may acknowledge nothing.
    :raises OSError: if the address cannot be reached.
    :raises trio.TooSlowError: if connecting takes longer.
    """
    target = _split_address(address)
    family = socket.AF_INET6 if ":" in target[0] else socket.AF_INET
    sock = socket.socket(family, socket.SOCK_STREAM)
    try:
        sock.setblocking(False)
        bound_buffers(sock, buffer_bytes)
        for level, option, value in OPTIONS:
            sock.setsockopt(level, option, value)
        enable_dead_peer_detection(sock, unacknowledged_ms)
        await _connect(sock, target, timeout)
    except BaseException:
        sock.close()
        raise
    return sock


# Addresses are those of known servers, and checking one takes longer than a call of the
# kernel.
@functools.lru_cache(maxsize=MAX_KNOWN_ADDRESSES)
def _split_address(address: str) -> tuple[str, int]:
    target = parse_address(address)
    return target.host, target.port


async def _connect(
    sock: socket.socket, target: tuple[str, int], timeout: float
) -> None:
    await trio.lowlevel.checkpoint_if_cancelled()
    code = sock.connect_ex(target)
    if code == errno.EINPROGRESS:
        with trio.fail_after(timeout):
            await trio.lowlevel.wait_writable(sock)
        code = sock.getsockopt(socket.SOL_SOCKET, socket.SO_ERROR)
    if code:
        raise OSError(code, os.strerror(code))


async def send_all(sock: socket.socket, data: bytes) -> None:
    """Send all bytes; wait only while the kernel accepts no more.

    :raises OSError: if the connection is broken.
    """
    await trio.lowlevel.checkpoint_if_cancelled()
    rest = memoryview(data)
    while rest:
        try:
            rest = rest[sock.send(rest) :]
        except BlockingIOError:
            await trio.lowlevel.wait_writable(sock)


async def receive(
    sock: socket.socket, max_bytes: int, *, shield_ready_data: bool
) -> tuple[bytes, bool]:
    """Return the next bytes, empty at the end of the stream.

    Return also whether they had arrived before the call.

    :param shield_ready_data: return data that has already arrived even if the deadline
        has passed. After a delay of the event loop both may be due in the same step.
    :raises OSError: if the connection is broken.
    """
    if not shield_ready_data:
        await trio.lowlevel.checkpoint_if_cancelled()
    try:
        data = sock.recv(max_bytes)
    except BlockingIOError:
        return await _receive_later(sock, max_bytes), False
    # A sender that is faster than this process must not hold up the other tasks.
    await trio.lowlevel.cancel_shielded_checkpoint()
    return data, True


async def _receive_later(sock: socket.socket, max_bytes: int) -> bytes:
    while True:
        await trio.lowlevel.wait_readable(sock)
        try:
            return sock.recv(max_bytes)
        except BlockingIOError:
            continue


def has_data(sock: socket.socket) -> bool:
    """Return whether there are bytes, an error or the end of the stream to receive."""
    try:
        sock.recv(1, socket.MSG_PEEK)
    except BlockingIOError:
        return False
    except OSError:
        return True
    return True


def has_unacknowledged_data(sock: socket.socket) -> bool:
    """Return whether the peer's kernel may not have received all bytes that were sent.

    The end of the peer's stream acknowledges all that had arrived before it. Nothing is
    known of a closed socket.
    """
    if sock.fileno() < 0:
        return True
    # Linux defines SIOCOUTQ, which asks that of a socket, as TIOCOUTQ.
    answer = fcntl.ioctl(sock, termios.TIOCOUTQ, bytes(COUNT.size))
    return COUNT.unpack(answer)[0] > 0


def close_socket(sock: socket.socket) -> None:
    """Close a socket without waiting for pending data; wake tasks that wait for it."""
    if sock.fileno() >= 0:
        trio.lowlevel.notify_closing(sock)
    sock.close()
