"""The bytes of one HTTP/1.1 connection of a client, by ``h11`` on a trio stream."""

from __future__ import annotations

__all__ = ["Headers", "Wire"]

import socket
from contextlib import suppress
from typing import TYPE_CHECKING

import h11
import trio

if TYPE_CHECKING:
    from collections.abc import Iterator

Headers = list[tuple[bytes, bytes]]

READ_BYTES = 65_536
WRITE_BYTES = 65_536
# A client that takes none of a piece of ``WRITE_BYTES`` for so long is gone (seconds):
# twice the longest pause after which callers are known to give up an answer.
SEND_SECONDS = 10.0


class Wire:
    """Reads and writes one connection.

    Once the client is gone ``is_broken`` is set and nothing is written any more; who
    reads then finds the end. ``failure`` says what went wrong, for the log.
    """

    def __init__(self, stream: trio.SocketStream, max_header_bytes: int):
        self.is_broken = False
        self.failure: str | None = None
        self._stream = stream
        self._sending: trio.CancelScope | None = None
        self._last_send_at = float("inf")
        self._conn = h11.Connection(
            h11.SERVER, max_incomplete_event_size=max_header_bytes
        )

    def has_unread(self) -> bool:
        """Return whether bytes of a next request have been received."""
        return bool(self._conn.trailing_data[0])

    def is_readable(self) -> bool:
        """Return whether bytes, or the end, are there to be received."""
        return self._stream.socket.is_readable()

    async def wait_readable(self) -> None:
        """Wait until there is something to receive; receive nothing."""
        await trio.lowlevel.wait_readable(self._stream.socket)

    async def receive(self) -> bytes:
        """Return the next bytes, empty once the client has ended the connection."""
        try:
            return bytes(await self._stream.receive_some(READ_BYTES))
        except (trio.BrokenResourceError, trio.ClosedResourceError) as error:
            self._break(f"receiving failed: {error.__cause__!r}")
            return b""

    async def read_event(self) -> h11.Event | h11.RemoteProtocolError | None:
        """Return the next event, or why the bytes are not valid; None if it waits.

        It waits while the present request has not been answered.
        """
        while True:
            try:
                event = self._conn.next_event()
            except h11.RemoteProtocolError as error:
                return error
            if isinstance(event, h11.Event):
                return event
            if event is h11.PAUSED:
                return None
            if self._conn.they_are_waiting_for_100_continue:
                await self._send_continue()
            self._conn.receive_data(await self.receive())

    async def read_ahead(self) -> bool:
        """Keep what comes for the next request; return False at the end.

        Bytes are taken up to the size of one read; then this waits for good.
        """
        if len(self._conn.trailing_data[0]) >= READ_BYTES:
            await trio.sleep_forever()
        data = await self.receive()
        self._conn.receive_data(data)
        return bool(data)

    async def _send_continue(self) -> None:
        event = h11.InformationalResponse(status_code=100, headers=[])
        await self.write(self.encode(event))

    def encode(self, event: h11.Event) -> bytes:
        """Return the bytes of an event of an answer."""
        return self._conn.send(event) or b""

    async def write(self, data: bytes) -> None:
        """Write bytes of an answer.

        Shielded: an answer that is ready is delivered, also if the call's deadline
        passes in the step in which it came.
        """
        for piece in _cut(data):
            if self.is_broken:
                await trio.lowlevel.checkpoint()
                return
            end = min(trio.current_time() + SEND_SECONDS, self._last_send_at)
            with trio.CancelScope(deadline=end, shield=True) as self._sending:
                try:
                    await self._stream.send_all(piece)
                except (trio.BrokenResourceError, trio.ClosedResourceError) as error:
                    self._break(f"sending failed: {error.__cause__!r}")
            if self._sending.cancelled_caught:
                self._break("the client takes nothing")

    def end_sending_at(self, end: float) -> None:
        """Send nothing after ``end``, on the runtime's clock."""
        self._last_send_at = end
        if self._sending is not None:
            self._sending.deadline = min(self._sending.deadline, end)

    def _break(self, failure: str) -> None:
        """Give the connection up; whoever reads it finds its end."""
        self.is_broken = True
        self.failure = self.failure or failure
        with suppress(OSError):
            self._stream.socket.shutdown(socket.SHUT_RDWR)

    async def refuse(self, status: int) -> None:
        """Answer that a request is not valid, unless an answer has begun."""
        if self._conn.our_state not in (h11.IDLE, h11.SEND_RESPONSE):
            return
        headers = [(b"content-length", b"0"), (b"connection", b"close")]
        data = self.encode(h11.Response(status_code=status, headers=headers))
        await self.write(data + self.encode(h11.EndOfMessage()))

    def is_request_whole(self) -> bool:
        """Return whether all of the present request has been read."""
        return self._conn.their_state in (h11.DONE, h11.MUST_CLOSE, h11.CLOSED)

    def start_next_cycle(self) -> bool:
        """Return whether another request may follow the one that was answered."""
        if self._conn.our_state is not h11.DONE:
            return False
        if self._conn.their_state is not h11.DONE:
            return False
        self._conn.start_next_cycle()
        return True

    async def finish_sending(self) -> None:
        """Tell the client that nothing more comes."""
        with suppress(trio.BrokenResourceError, trio.ClosedResourceError):
            await self._stream.send_eof()

    def close(self) -> None:
        """Close at once."""
        self._stream.socket.close()


def _cut(data: bytes) -> Iterator[bytes]:
    if len(data) <= WRITE_BYTES:
        if data:
            yield data
        return
    for start in range(0, len(data), WRITE_BYTES):
        yield data[start : start + WRITE_BYTES]
