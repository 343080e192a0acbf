"""Connections to backend servers that lead through another instance."""

from __future__ import annotations

__all__ = ["Tunnel", "TunnelRefusal", "TunnelState", "open_tunnel"]

from enum import StrEnum
from typing import TYPE_CHECKING, NamedTuple

import trio

from ashpond.clients.peer import PeerStream, connect_peer
from ashpond.clients.peermessages import (
    TunnelAnswer,
    TunnelBackoff,
    TunnelData,
    TunnelEnd,
    TunnelRequest,
)
from ashpond.errors import FrameError

if TYPE_CHECKING:
    from collections.abc import Callable

# The largest frame of a tunnel, and the bytes of one message (far below it).
MAX_FRAME_BYTES = 1 << 20
PIECE_BYTES = 65_536


class TunnelState(StrEnum):
    """A peer's answer to the request for a tunnel.

    ``REFUSED`` and ``UNREACHED`` say that the peer could not connect either,
    ``CUT_OFF`` that it reaches no servers itself, ``UNUSABLE`` that the server takes no
    requests from it now.
    """

    OPEN = "open"
    REFUSED = "refused"
    UNREACHED = "unreached"
    CUT_OFF = "cut_off"
    UNUSABLE = "unusable"
    BUSY = "busy"


class TunnelRefusal(NamedTuple):
    """A peer has opened no tunnel; ``tunnels`` is how many it has open."""

    state: TunnelState
    tunnels: int


class Tunnel:
    """A byte stream to a server through a peer.

    The end of the connection to the peer is an error: only the peer's message shows
    that the server has ended its connection.

    :param on_lost: is called when the connection to the peer is lost.
    """

    def __init__(self, stream: PeerStream, tunnels: int, on_lost: Callable[[], None]):
        self.tunnels = tunnels
        self._stream = stream
        self._on_lost = on_lost

    async def send_all(self, data: bytes) -> None:
        """Send all bytes."""
        view = memoryview(data)
        for start in range(0, len(data), PIECE_BYTES):
            piece = bytes(view[start : start + PIECE_BYTES])
            try:
                await self._stream.send(TunnelData(piece))
            except (OSError, trio.BrokenResourceError):
                self._on_lost()
                raise

    async def send_backoff(self, seconds: float) -> None:
        """Pass on the time for which the server wants no requests."""
        await self._stream.send(TunnelBackoff(seconds))

    async def receive(
        self, max_bytes: int, *, shield_ready_data: bool
    ) -> tuple[bytes, bool]:
        """Return the next bytes, empty if the server has ended its connection.

        They count as ready, as nobody knows how long they have been on their way.

        :raises trio.BrokenResourceError: if the server has reset its connection, or the
            peer is lost.
        """
        while True:
            try:
                message = await self._stream.receive()
            except (FrameError, OSError, trio.BrokenResourceError) as error:
                self._on_lost()
                text = f"the relay is lost: {error!r}"
                raise trio.BrokenResourceError(text) from error
            if isinstance(message, TunnelData):
                return message.data, True
            if isinstance(message, TunnelEnd):
                if message.is_reset:
                    raise trio.BrokenResourceError("the server reset its connection")
                return b"", True

    def has_data(self) -> bool:
        """Return whether there are bytes, an error or the end to receive."""
        return self._stream.has_data()

    def has_unacknowledged_data(self) -> bool:
        """Return False: a relay reports an end only if the server has all bytes."""
        return False

    def close(self) -> None:
        """Close the tunnel, and thereby the peer's connection to the server."""
        self._stream.close()


async def open_tunnel(
    address: str, secret: str, request: TunnelRequest, on_lost: Callable[[], None]
) -> Tunnel | TunnelRefusal:
    """Ask the peer at ``address`` for a tunnel.

    :raises OSError: if the peer cannot be reached.
    :raises FrameError: if it gives no valid answer.
    """
    stream = await connect_peer(address, secret, MAX_FRAME_BYTES)
    tunnel: Tunnel | None = None
    try:
        await stream.send(request)
        answer = await stream.receive()
        if not isinstance(answer, TunnelAnswer):
            raise FrameError("the peer does not answer the request for a tunnel")
        try:
            state = TunnelState(answer.state)
        except ValueError as error:
            raise FrameError(f"unknown state of a tunnel: {answer.state}") from error
        if state is not TunnelState.OPEN:
            return TunnelRefusal(state, answer.tunnels)
        tunnel = Tunnel(stream, answer.tunnels, on_lost)
        return tunnel
    finally:
        if tunnel is None:
            await stream.aclose()
