"""The bytes of one HTTP/1.1 connection of a client, by ``h11`` on a trio stream."""

from __future__ import annotations

__all__ = ["Headers", "Wire"]

import socket
import struct
from contextlib import suppress
from typing import TYPE_CHECKING

import h11
import trio

if TYPE_CHECKING:
    from collections.abc import Callable

Headers = list[tuple[bytes, bytes]]

# The socket option that makes a close a reset: on, 0 seconds.
RESET_ON_CLOSE = struct.pack("ii", 1, 0)
READ_BYTES = 65_536
WRITE_BYTES = 65_536
# A client that has not taken a piece of ``WRITE_BYTES`` after so long is taken for gone
# (seconds): at 6.5 KB a second it still gets its answer.
SEND_TIMEOUT_SECONDS = 10.0


class Wire:
    """Reads and writes one connection.

    Once the client is gone ``is_broken`` is set and nothing is written any more; who
    reads then finds the end. ``is_stalled`` tells that it took nothing. ``failure``
    says what went wrong, for the log.
    """

    def __init__(self, stream: trio.SocketStream, max_header_bytes: int):
        self.is_broken = False
        self.is_stalled = False
        self.failure: str | None = None
        self._stream = stream
        self._sending: trio.CancelScope | None = None
        self._send_deadline = float("inf")
        self._max_header_bytes = max_header_bytes
        self._conn = _make_parser(max_header_bytes)
        self._write_lock = trio.Lock()

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
            self._mark_broken(f"receiving failed: {error.__cause__!r}")
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
            if self._awaits_continue():
                continue_response = h11.InformationalResponse(
                    status_code=100, headers=[]
                )
                await self._send_if(self._awaits_continue, continue_response)
            self._conn.receive_data(await self.receive())

    def _awaits_continue(self) -> bool:
        return self._conn.they_are_waiting_for_100_continue

    def can_read_ahead(self) -> bool:
        """Return whether more of what follows the present request may be kept."""
        return len(self._conn.trailing_data[0]) < READ_BYTES

    async def read_ahead(self) -> bool:
        """Keep what comes for the next request; return False at the end.

        Bytes are taken up to the size of one read; then this waits for good.
        """
        if not self.can_read_ahead():
            await trio.sleep_forever()
        data = await self.receive()
        self._conn.receive_data(data)
        return bool(data)

    async def send(self, *events: h11.Event) -> None:
        """Write events of an answer.

        :raises h11.LocalProtocolError: if the events make no valid answer.
        """
        await self._send_if(lambda: True, *events)

    async def _send_if(self, is_due: Callable[[], bool], *events: h11.Event) -> None:
        """Write events, unless they are not due any more once it is their turn.

        Locked: one task may answer while another still reads and tells the client to
        go on with its body. Shielded: an answer that is ready is delivered, also if the
        call's deadline passes in the step in which it came.
        """
        if self.is_broken:
            # A handler that goes on writing must not miss its cancellation.
            await trio.lowlevel.checkpoint()
            return
        with trio.CancelScope(shield=True):
            async with self._write_lock:
                if not is_due():
                    return
                data = b"".join(self._conn.send(event) or b"" for event in events)
                for start in range(0, len(data), WRITE_BYTES):
                    await self._write(data[start : start + WRITE_BYTES])

    async def _write(self, piece: bytes) -> None:
        if self.is_broken:
            return
        end = min(trio.current_time() + SEND_TIMEOUT_SECONDS, self._send_deadline)
        with trio.CancelScope(deadline=end) as self._sending:
            try:
                await self._stream.send_all(piece)
            except (trio.BrokenResourceError, trio.ClosedResourceError) as error:
                self._mark_broken(f"sending failed: {error.__cause__!r}")
        if self._sending.cancelled_caught:
            self.is_stalled = True
            self._mark_broken("the client takes nothing")

    def set_send_deadline(self, end: float) -> None:
        """Send nothing after ``end``, on the runtime's clock."""
        self._send_deadline = end
        if self._sending is not None:
            self._sending.deadline = min(self._sending.deadline, end)

    def _mark_broken(self, failure: str) -> None:
        """Give the connection up; whoever reads it finds its end."""
        self.is_broken = True
        self.failure = self.failure or failure
        with suppress(OSError):
            self._stream.socket.shutdown(socket.SHUT_RDWR)

    def has_answer_begun(self) -> bool:
        """Return whether any of an answer to the present request has been written."""
        return self._conn.our_state not in (h11.IDLE, h11.SEND_RESPONSE)

    async def refuse(self, status: int) -> None:
        """Answer that a request is not valid, unless an answer has begun."""
        headers = [(b"content-length", b"0"), (b"connection", b"close")]
        response = h11.Response(status_code=status, headers=headers)
        end = h11.EndOfMessage()
        await self._send_if(lambda: not self.has_answer_begun(), response, end)

    def is_request_complete(self) -> bool:
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

    def set_max_header_bytes(self, max_header_bytes: int) -> None:
        """Read the next head with this limit; bytes that have come already are kept."""
        if max_header_bytes == self._max_header_bytes:
            return
        rest, is_ended = self._conn.trailing_data
        self._max_header_bytes = max_header_bytes
        self._conn = _make_parser(max_header_bytes)
        if rest:
            self._conn.receive_data(rest)
        if is_ended:
            self._conn.receive_data(b"")

    async def finish_sending(self) -> None:
        """Tell the client that nothing more comes."""
        with suppress(trio.BrokenResourceError, trio.ClosedResourceError):
            await self._stream.send_eof()

    def close(self) -> None:
        """Close at once."""
        self._stream.socket.close()

    def reset(self) -> None:
        """Close so that the client sees an error, not an end."""
        with suppress(OSError):
            self._stream.socket.setsockopt(
                socket.SOL_SOCKET, socket.SO_LINGER, RESET_ON_CLOSE
            )
        self._stream.socket.close()


def _make_parser(max_header_bytes: int) -> h11.Connection:
    return h11.Connection(h11.SERVER, max_incomplete_event_size=max_header_bytes)
