"""Reading and writing of HTTP/1.1 on a client's trio stream, with ``h11``."""

from __future__ import annotations

__all__ = ["Headers", "Wire"]

import socket
import struct
from contextlib import suppress
from typing import TYPE_CHECKING

import h11
import trio

from ashpond.clients.readlimits import ReadLimits

if TYPE_CHECKING:
    from collections.abc import Callable

Headers = list[tuple[bytes, bytes]]

# Values of SO_LINGER. The first makes a close a reset, also that by the kernel when the
# process ends: enabled, 0 seconds.
RESET_ON_CLOSE = struct.pack("ii", 1, 0)
END_ON_CLOSE = struct.pack("ii", 0, 0)
READ_BYTES = 65_536
WRITE_BYTES = 65_536
# A client that does not take a piece of ``WRITE_BYTES`` within this time (seconds) is
# assumed to be gone; one that reads 6.5 KB a second still gets its answer.
SEND_TIMEOUT_SECONDS = 10.0


class Wire:
    """The stream of one connection and the state of its HTTP parser.

    ``is_broken`` is true once receiving or sending has failed; then nothing more is
    written, and readers get the end of the stream. ``is_stalled`` is true if the client
    did not take the answer in time. ``failure`` describes the first error, for the log.

    :param read_bytes: size of one read, and limit of what is read ahead.
    """

    def __init__(
        self,
        stream: trio.SocketStream,
        max_header_bytes: int,
        read_bytes: int = READ_BYTES,
    ):
        self.is_broken = False
        self.is_stalled = False
        self.failure: str | None = None
        self._stream = stream
        self._read_bytes = read_bytes
        self._sending: trio.CancelScope | None = None
        self._send_deadline = float("inf")
        self._max_header_bytes = max_header_bytes
        self._conn = _make_parser(max_header_bytes)
        self._limits = ReadLimits(max_header_bytes)
        self._limits.expect_whole_body()
        self._write_lock = trio.Lock()

    def has_unread(self) -> bool:
        """Return whether bytes of the next request are in the parser's buffer."""
        return bool(self._conn.trailing_data[0])

    def is_readable(self) -> bool:
        """Return whether the socket has bytes, or the end of the stream, to receive."""
        # A socket that was reset cannot be polled any more.
        return self.is_broken or self._stream.socket.is_readable()

    async def wait_readable(self) -> None:
        """Wait until the socket is readable, without receiving anything."""
        await trio.lowlevel.wait_readable(self._stream.socket)

    async def receive(self) -> bytes:
        """Return the next bytes, empty once the client has closed the connection."""
        try:
            return bytes(await self._stream.receive_some(self._read_bytes))
        except (trio.BrokenResourceError, trio.ClosedResourceError) as error:
            self._mark_broken(f"receiving failed: {error.__cause__!r}")
            return b""

    async def read_event(self) -> h11.Event | h11.RemoteProtocolError | None:
        """Return the next event of the request, or the error if it is invalid.

        Return None if the parser is paused: the bytes received belong to the next
        request, and the current one has not been answered yet.
        """
        while True:
            try:
                event = self._conn.next_event()
            except h11.RemoteProtocolError as error:
                return error
            if isinstance(event, h11.Data):
                self._limits.add_body(len(event.data))
            if isinstance(event, h11.Event):
                return event
            if event is h11.PAUSED:
                return None
            excess = self._limits.find_excess()
            if excess is not None:
                return h11.RemoteProtocolError(excess)
            if self._awaits_continue():
                continue_response = h11.InformationalResponse(
                    status_code=100, headers=[]
                )
                await self._send_if(self._awaits_continue, continue_response)
            data = await self.receive()
            self._limits.add_received(len(data))
            self._conn.receive_data(data)

    def _awaits_continue(self) -> bool:
        return self._conn.they_are_waiting_for_100_continue

    def can_read_ahead(self) -> bool:
        """Return whether the buffer has room for bytes of the next request."""
        return len(self._conn.trailing_data[0]) < self._read_bytes

    async def read_ahead(self) -> bool:
        """Buffer bytes of the next request; return False at the end of the stream.

        Once the buffer holds the size of one read, wait until cancelled.
        """
        if not self.can_read_ahead():
            await trio.sleep_forever()
        data = await self.receive()
        self._conn.receive_data(data)
        return bool(data)

    async def send(self, *events: h11.Event) -> None:
        """Write events of an answer.

        :raises h11.LocalProtocolError: if the events are not valid at this point.
        """
        await self._send_if(lambda: True, *events)

    async def _send_if(self, is_due: Callable[[], bool], *events: h11.Event) -> None:
        """Write events if ``is_due`` still holds once the write lock is acquired.

        The lock is needed because one task may answer while another still reads the
        body and sends ``100 Continue``. The write is shielded from cancellation, so
        that an answer is delivered also if the call's deadline passes in the same step
        of the event loop.
        """
        if self.is_broken:
            # A handler that keeps writing must still notice its cancellation.
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
            self._mark_broken("sending timed out")

    def set_send_deadline(self, end: float) -> None:
        """Stop sending at ``end``, in trio's time."""
        self._send_deadline = end
        if self._sending is not None:
            self._sending.deadline = min(self._sending.deadline, end)

    def _mark_broken(self, failure: str) -> None:
        """Shut the socket down, so that readers get the end of the stream."""
        self.is_broken = True
        self.failure = self.failure or failure
        with suppress(OSError):
            self._stream.socket.shutdown(socket.SHUT_RDWR)

    def has_answer_begun(self) -> bool:
        """Return whether writing an answer to the current request has begun."""
        return self._conn.our_state not in (h11.IDLE, h11.SEND_RESPONSE)

    async def refuse(self, status: int) -> None:
        """Answer with an error status and an empty body, unless an answer has begun."""
        headers = [(b"content-length", b"0"), (b"connection", b"close")]
        response = h11.Response(status_code=status, headers=headers)
        end = h11.EndOfMessage()
        await self._send_if(lambda: not self.has_answer_begun(), response, end)

    def end_body_with_connection(self) -> None:
        """Send the answer without a length or chunks, and close after it."""
        # h11 frames a body so only for clients of HTTP/1.0.
        self._conn.their_http_version = b"1.0"

    def is_request_complete(self) -> bool:
        """Return whether the current request has been read completely."""
        return self._conn.their_state in (h11.DONE, h11.MUST_CLOSE, h11.CLOSED)

    def start_next_cycle(self) -> bool:
        """Prepare for the next request; return whether the connection can carry one."""
        if self._conn.our_state is not h11.DONE:
            return False
        if self._conn.their_state is not h11.DONE:
            return False
        self._conn.start_next_cycle()
        self._limits = ReadLimits(self._max_header_bytes)
        self._limits.expect_whole_body()
        self._limits.add_received(len(self._conn.trailing_data[0]))
        return True

    def set_max_header_bytes(self, max_header_bytes: int) -> None:
        """Set the limit for the next request head; bytes received already are kept."""
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
        """Close the sending side of the connection."""
        with suppress(trio.BrokenResourceError, trio.ClosedResourceError):
            await self._stream.send_eof()

    def close(self) -> None:
        """Close the socket, without waiting for the client."""
        self._stream.socket.close()

    def cut(self, failure: str) -> None:
        """Reset the connection at once, also while it is read or written.

        The kernel discards what its buffers hold.
        """
        self.is_broken = True
        self.failure = self.failure or failure
        self.reset()

    def reset(self) -> None:
        """Reset the connection, so that the client sees an error and not its end."""
        self.reset_on_close()
        self._stream.socket.close()

    def reset_on_close(self) -> None:
        """Have any close reset the connection, also that when the process is killed."""
        self._set_linger(RESET_ON_CLOSE)

    def end_on_close(self) -> None:
        """Have a close end the connection in order, once all is written."""
        self._set_linger(END_ON_CLOSE)

    def _set_linger(self, value: bytes) -> None:
        with suppress(OSError):
            self._stream.socket.setsockopt(socket.SOL_SOCKET, socket.SO_LINGER, value)


def _make_parser(max_header_bytes: int) -> h11.Connection:
    return h11.Connection(h11.SERVER, max_incomplete_event_size=max_header_bytes)
