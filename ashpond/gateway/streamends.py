"""Decide whether a backend server's stream has ended or has broken off."""

from __future__ import annotations

__all__ = ["StreamEnd"]

from typing import TYPE_CHECKING

from ashpond.clients.responseheads import Framing, find_header
from ashpond.decisions.eventstream import EventBoundary

if TYPE_CHECKING:
    from ashpond.wire import Headers

EVENT_STREAM = b"text/event-stream"


class StreamEnd:
    """Follows one response, to check its end.

    :param headers: those of the response, with names in lower case.
    """

    def __init__(self, framing: Framing, headers: Headers):
        self._framing = framing
        self._is_empty = True
        self._boundary = EventBoundary() if _has_events(headers) else None

    def feed(self, piece: bytes) -> None:
        """Record the next piece of the body."""
        self._is_empty = False
        if self._boundary is not None:
            self._boundary.feed(piece)

    @property
    def open_bytes(self) -> int:
        """The number of bytes since the last event ended, 0 if there are no events."""
        return 0 if self._boundary is None else self._boundary.open_bytes

    @property
    def is_unproven(self) -> bool:
        """Whether only the end of the connection will mark the end of the body.

        Events mark their own end, so that a stream of them is whole between two.
        """
        return self._framing is Framing.CLOSE and self._boundary is None

    def find_failure(self, *, is_doubt_shown: bool) -> str | None:
        """Return why the stream counts as broken off at its end, None if it does not.

        :param is_doubt_shown: whether the client's answer ends with its connection.
        """
        if self._boundary is not None and not self._boundary.is_between_events():
            return "the stream ended inside an event"
        if self._framing is not Framing.CLOSE:
            return None
        has_events = self._boundary is None or self._boundary.has_events
        if self._is_empty or not has_events:
            return "the connection ended before the first event"
        if self.is_unproven and not is_doubt_shown:
            return "the connection ended, which does not show that the answer is whole"
        return None


def _has_events(headers: Headers) -> bool:
    if find_header(headers, b"content-encoding") not in (None, b"identity"):
        return False
    content_type = find_header(headers, b"content-type")
    return content_type is None or content_type.lower().startswith(EVENT_STREAM)
