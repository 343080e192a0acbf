"""Split a stream of server-sent events into complete events, and find its torn end."""

from __future__ import annotations

__all__ = ["MAX_EVENT_BYTES", "EventBoundary", "EventSplitter"]

import re

# A stream with a larger event is given up, as the event may have no end.
MAX_EVENT_BYTES = 1 << 20

LF = b"\n"
CR = b"\r"
CRLF = b"\r\n"
LINE_ENDS = (LF, CR)
# A blank line: a line end that follows another one. A lone CR may end a line too.
BLANK_LINE = b"\n\n"
CR_BLANK_LINES = (b"\n\r", b"\r\r")
ID_FIELD = b"id:"
COMMENT = b":"
# A line that is neither empty nor a comment.
FIELD_AT_START = re.compile(rb"(?:\A|[\r\n])[^:\r\n]")
FIELD_AFTER_LINE = re.compile(rb"[\r\n][^:\r\n]")


def find_events_end(data: bytes) -> int:
    """Return the offset behind the last blank line, 0 if there is none."""
    at = data.rfind(BLANK_LINE)
    if CR in data:
        # Most streams have none, and searching for what is not there takes longest.
        at = max(at, *(data.rfind(blank) for blank in CR_BLANK_LINES))
    if at < 0:
        return 0
    end = at + 2
    is_crlf = data[end - 1 : end] == CR and data[end : end + 1] == LF
    return end + 1 if is_crlf else end


def _has_field(data: bytes, *, begins_line: bool) -> bool:
    """Return whether a line begins in the data that is neither empty nor a comment."""
    field = FIELD_AT_START if begins_line else FIELD_AFTER_LINE
    return field.search(data) is not None


class EventBoundary:
    """Follows a stream to know whether it ends between two events.

    ``has_events`` is whether a line other than a comment has been received,
    ``open_bytes`` about how many bytes have come since the last event ended.
    """

    def __init__(self) -> None:
        self.has_events = False
        self.open_bytes = 0
        self._uses_crlf = False
        self._last = LF
        self._is_inside = False

    def feed(self, data: bytes) -> None:
        """Record the next bytes of the stream."""
        self._follow(data)
        if self.is_between_events():
            self.open_bytes = 0
            return
        # Searching for a blank line takes much longer than for a line end.
        end = find_events_end(data) if LF in data or CR in data else 0
        self.open_bytes = len(data) - end + (0 if end else self.open_bytes)

    def _follow(self, data: bytes) -> None:
        if self._last == CR and data[:1] == LF:
            # The second half of a line end.
            self._uses_crlf = True
            self._last = LF
            data = data[1:]
        if not data:
            return
        if LF in data or CR in data:
            self._feed_lines(data)
        elif self._last in LINE_ENDS and data[:1] != COMMENT:
            self._is_inside = True
        self.has_events = self.has_events or self._is_inside
        self._last = data[-1:]

    def _feed_lines(self, data: bytes) -> None:
        """Record bytes that end at least one line."""
        if self.has_events and data.endswith(b"\n\n"):
            # Most pieces are complete events; nothing before their end matters.
            self._is_inside = False
            return
        if CR in data:
            self._uses_crlf = self._uses_crlf or CRLF in data
        begins_line = self._last in LINE_ENDS
        if not self.has_events:
            self.has_events = _has_field(data, begins_line=begins_line)
        # A blank line may have begun with the last byte of the previous piece.
        end = find_events_end(self._last + data) - len(self._last)
        if end > 0:
            self._is_inside = _has_field(data[end:], begins_line=True)
        elif not self._is_inside:
            self._is_inside = _has_field(data, begins_line=begins_line)

    def is_between_events(self) -> bool:
        """Return whether the stream may end here, with no event or line begun.

        Where lines end with CR LF, the CR alone is half of an end.
        """
        is_line_ended = self._last in LINE_ENDS
        is_half_ended = self._last == CR and self._uses_crlf
        return is_line_ended and not is_half_ended and not self._is_inside


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
        end = find_events_end(self._buffer)
        if self._buffer[:end].endswith(b"\n\r"):
            # The other half of this line end is on its way.
            end = find_events_end(self._buffer[: end - 1])
        complete, self._buffer = self._buffer[:end], self._buffer[end:]
        self._note_ids(complete)
        return complete

    @property
    def pending_bytes(self) -> int:
        """The number of bytes that wait for the end of their event."""
        return len(self._buffer)

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
