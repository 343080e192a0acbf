"""Split a stream of server-sent events into complete events and track their ids."""

from __future__ import annotations

__all__ = ["EventSplitter"]

SEPARATORS = (b"\n\n", b"\r\n\r\n")
ID_FIELD = b"id:"


class EventSplitter:
    """Buffers received data and returns complete events.

    ``last_id`` is the id of the last complete event, or the one to resume after.
    """

    def __init__(self, last_id: str | None = None):
        self.last_id = last_id
        self._buffer = b""

    def feed(self, data: bytes) -> bytes:
        """Return all events that ``data`` completes, unchanged."""
        self._buffer += data
        end = max(
            self._buffer.rfind(separator) + len(separator)
            if separator in self._buffer
            else 0
            for separator in SEPARATORS
        )
        complete, self._buffer = self._buffer[:end], self._buffer[end:]
        self._note_ids(complete)
        return complete

    def take_remainder(self) -> bytes:
        """Return the data after the last complete event, once the stream has ended."""
        remainder, self._buffer = self._buffer, b""
        return remainder

    def drop_remainder(self) -> None:
        """Discard an incomplete event; the resumed stream contains it in full."""
        self._buffer = b""

    def _note_ids(self, events: bytes) -> None:
        for line in events.splitlines():
            if line.startswith(ID_FIELD):
                self.last_id = line[len(ID_FIELD) :].strip().decode("latin-1")
