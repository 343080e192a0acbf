"""The protocol between instances: authenticated msgpack frames over TCP.

A frame is a 4-byte length and a msgpack list ``[kind, fields]``. Each side first sends
a hello with the protocol version and a nonce, then an HMAC over both nonces that proves
that it knows the shared secret. Nothing else is read before that proof.
"""

from __future__ import annotations

__all__ = [
    "AllowanceAnswer",
    "AllowanceQuery",
    "AttemptQuery",
    "AttemptAnswer",
    "CacheAnswer",
    "CacheRequest",
    "ConfigAnswer",
    "ConfigRequest",
    "Facts",
    "PeerUpdate",
    "Notices",
    "PeerMessage",
    "PeerStream",
    "PlacementAnswer",
    "PlacementQuery",
    "CrashReport",
    "TableChanges",
    "query_peer",
    "connect_peer",
    "parse_message",
    "unpack_value",
]

import hashlib
import hmac
import secrets
import struct
from typing import Any

import msgpack
import trio

from ashpond.addresses import parse_address
from ashpond.clients.liveness import enable_dead_peer_detection
from ashpond.clients.peermessages import (
    FIELD_TYPES,
    KIND_NAMES,
    KINDS,
    AllowanceAnswer,
    AllowanceQuery,
    AttemptAnswer,
    AttemptQuery,
    CacheAnswer,
    CacheRequest,
    ConfigAnswer,
    ConfigRequest,
    CrashReport,
    Facts,
    Notices,
    PeerMessage,
    PeerUpdate,
    PlacementAnswer,
    PlacementQuery,
    TableChanges,
)
from ashpond.errors import FrameError
from ashpond.outcomes import Unavailable

PROTOCOL_VERSION = 4
LENGTH = struct.Struct(">I")
NONCE_BYTES = 16
HELLO_LIMIT = 256
HANDSHAKE_SECONDS = 2.0
READ_BYTES = 65_536
SERVER_ROLE = b"server"
CLIENT_ROLE = b"client"


class PeerStream:
    """A connection to a peer; use :meth:`authenticate` before anything else."""

    def __init__(self, stream: trio.abc.Stream, secret: str, max_frame: int):
        self._stream = stream
        self._secret = secret.encode()
        self._max_frame = max_frame
        self._buffer = bytearray()
        self.sent_bytes = 0

    async def aclose(self) -> None:
        """Close the connection."""
        await trio.aclose_forcefully(self._stream)

    def close(self) -> None:
        """Close the connection at once, without waiting."""
        assert isinstance(self._stream, trio.SocketStream)
        self._stream.socket.close()

    def has_data(self) -> bool:
        """Return whether there are bytes, an error or the end to receive."""
        assert isinstance(self._stream, trio.SocketStream)
        return bool(self._buffer) or self._stream.socket.is_readable()

    async def authenticate(self, *, is_server: bool) -> None:
        """Authenticate both sides by the shared secret.

        :raises FrameError: if the peer does not know it, does not finish in time or
            uses another protocol version.
        """
        with trio.move_on_after(HANDSHAKE_SECONDS) as scope:
            await self._perform_handshake(is_server)
        if scope.cancelled_caught:
            raise FrameError("the peer did not finish the handshake in time")

    async def _perform_handshake(self, is_server: bool) -> None:
        nonce = secrets.token_bytes(NONCE_BYTES)
        await self._send_value([PROTOCOL_VERSION, nonce])
        hello = await self._receive_value(HELLO_LIMIT)
        if not _is_hello(hello):
            raise FrameError("the peer's hello is not valid")
        if hello[0] != PROTOCOL_VERSION:
            raise FrameError(f"the peer speaks version {hello[0]}")
        both = (nonce, hello[1]) if is_server else (hello[1], nonce)
        own, other = SERVER_ROLE, CLIENT_ROLE
        if not is_server:
            own, other = other, own
        await self._send_value(self._make_proof(own, *both))
        proof = await self._receive_value(HELLO_LIMIT)
        expected = self._make_proof(other, *both)
        if not isinstance(proof, bytes) or not hmac.compare_digest(proof, expected):
            raise FrameError("the peer does not know the shared secret")

    def _make_proof(
        self, role: bytes, server_nonce: bytes, client_nonce: bytes
    ) -> bytes:
        material = role + server_nonce + client_nonce
        return hmac.new(self._secret, material, hashlib.sha256).digest()

    async def send(self, message: PeerMessage) -> None:
        """Send one message.

        :raises FrameError: if it is too large for a frame.
        :raises trio.BrokenResourceError: if the connection is gone.
        """
        await self._send_value([KIND_NAMES[type(message)], list(message)])

    async def receive(self) -> PeerMessage:
        """Return the next message.

        :raises FrameError: if it is not valid, or the connection has ended.
        """
        return parse_message(await self._receive_value(self._max_frame))

    async def _send_value(self, value: Any) -> None:
        packed = msgpack.packb(value)
        if len(packed) > self._max_frame:
            raise FrameError(f"a frame of {len(packed)} bytes is too large")
        self.sent_bytes += LENGTH.size + len(packed)
        await self._stream.send_all(LENGTH.pack(len(packed)) + packed)

    async def _receive_value(self, limit: int) -> Any:
        while (packed := self._take_frame(limit)) is None:
            data = await self._stream.receive_some(READ_BYTES)
            if not data:
                raise FrameError("the connection has ended")
            self._buffer += data
        return unpack_value(packed)

    def _take_frame(self, limit: int) -> bytes | None:
        """Return the content of the next complete frame, ``None`` if it is incomplete.

        :raises FrameError: if it is too large.
        """
        if len(self._buffer) < LENGTH.size:
            return None
        (length,) = LENGTH.unpack_from(self._buffer)
        if length > limit:
            raise FrameError(f"a frame of {length} bytes is too large")
        end = LENGTH.size + length
        if len(self._buffer) < end:
            return None
        taken = bytes(self._buffer[LENGTH.size : end])
        del self._buffer[:end]
        return taken


def unpack_value(packed: bytes) -> Any:
    """Return the value of a frame.

    :raises FrameError: if it is not valid msgpack.
    """
    try:
        return msgpack.unpackb(packed, strict_map_key=False)
    except (ValueError, msgpack.UnpackException, RecursionError) as error:
        raise FrameError("a frame is not valid msgpack") from error


def parse_message(value: Any) -> PeerMessage:
    """Return the typed message of an unpacked frame.

    :raises FrameError: if its kind, length or types are not as declared.
    """
    if not isinstance(value, list) or len(value) != 2:
        raise FrameError("a frame is not a message")
    name, fields = value
    kind = KINDS.get(name) if isinstance(name, str) else None
    if kind is None or not isinstance(fields, list) or len(fields) != len(kind._fields):
        raise FrameError("a message of unknown kind or length")
    for field, given in zip(kind._fields, fields, strict=True):
        if not isinstance(given, FIELD_TYPES[kind][field]):
            raise FrameError(f"{name}.{field} has the wrong type")
    return kind(*fields)


def _is_hello(value: Any) -> bool:
    if not isinstance(value, list) or len(value) != 2:
        return False
    version, nonce = value
    if not isinstance(version, int) or not isinstance(nonce, bytes):
        return False
    return len(nonce) == NONCE_BYTES


async def connect_peer(address: str, secret: str, max_frame: int) -> PeerStream:
    """Return an authenticated connection to the peer at ``address``.

    :raises OSError: if it cannot be reached.
    :raises FrameError: if it does not know the secret.
    """
    target = parse_address(address)
    raw = await trio.open_tcp_stream(target.host, target.port)
    enable_dead_peer_detection(raw.socket)
    stream = PeerStream(raw, secret, max_frame)
    try:
        await stream.authenticate(is_server=False)
    except BaseException:
        await stream.aclose()
        raise
    return stream


async def query_peer(
    address: str, message: PeerMessage, *, secret: str, max_frame: int, timeout: float
) -> PeerMessage | Unavailable:
    """Send one message over a new connection and return the answer."""
    with trio.move_on_after(timeout):
        try:
            stream = await connect_peer(address, secret, max_frame)
            try:
                await stream.send(message)
                return await stream.receive()
            finally:
                await stream.aclose()
        except (OSError, FrameError, trio.BrokenResourceError, ValueError) as error:
            return Unavailable(repr(error))
    return Unavailable("no answer in time")
