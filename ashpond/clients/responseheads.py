"""What the head of an HTTP/1.1 response says of its body and its connection."""

from __future__ import annotations

__all__ = [
    "FOLDED",
    "Framing",
    "HeadLines",
    "find_fault",
    "find_framing",
    "find_header",
    "find_idle_limit",
    "find_length",
    "read_lines",
]

import re
from enum import StrEnum
from typing import TYPE_CHECKING, NamedTuple

if TYPE_CHECKING:
    from ashpond.wire import Headers

BODYLESS_STATUSES = (204, 304)
# No other statuses exist (RFC 9110, section 15).
STATUSES = range(100, 600)
# The line ends are those that h11 accepts.
HEAD_END = re.compile(rb"\n\r?\n")
FOLDED_LINE = re.compile(rb"\n[ \t]")
INFORMATIONAL = re.compile(rb"HTTP/\d\.\d 1")
FOLDED = "a line of the head continues the one before it"


class Framing(StrEnum):
    """What marks the end of a body (RFC 9112, section 6.3).

    With ``CLOSE``, only the end of the connection does, which is also what a server
    that breaks off looks like.
    """

    NO_BODY = "no_body"
    LENGTH = "length"
    CHUNKS = "chunks"
    CLOSE = "close"


def find_fault(status: int, heads: bytes | bytearray) -> str | None:
    """Return why the head of a response is none of HTTP/1.1, None if it may be one.

    Judges what ``h11`` does not.

    :param heads: that head as received, after those of informational responses; bytes
        of the body may follow.
    """
    if status not in STATUSES:
        return f"{status} is no status"
    if read_lines(heads).is_folded:
        return FOLDED
    return None


class HeadLines(NamedTuple):
    """What the lines of heads show: whether the last one has ended, and is folded."""

    has_ended: bool
    is_folded: bool


def read_lines(heads: bytes | bytearray) -> HeadLines:
    """Return whether the heads of a response have ended, and a field has several lines.

    ``h11`` joins such lines (RFC 9112, section 5.2): the field is changed then, and a
    length or chunks are not seen.

    :param heads: as for :func:`find_fault`, perhaps not all of them.
    """
    start = 0
    while end := HEAD_END.search(heads, start):
        if FOLDED_LINE.search(heads, start, end.start()):
            return HeadLines(has_ended=True, is_folded=True)
        if not INFORMATIONAL.match(heads, start):
            return HeadLines(has_ended=True, is_folded=False)
        start = end.end()
    return HeadLines(has_ended=False, is_folded=False)


def find_framing(method: str, status: int, headers: Headers) -> Framing:
    """Return the framing of the response to a request.

    :param headers: those of the response, with names in lower case.
    """
    if method == "HEAD" or status in BODYLESS_STATUSES:
        return Framing.NO_BODY
    names = {name for name, _ in headers}
    if b"transfer-encoding" in names:
        return Framing.CHUNKS
    return Framing.LENGTH if b"content-length" in names else Framing.CLOSE


def find_header(headers: Headers, wanted: bytes) -> bytes | None:
    """Return the first value of a header, whose name is in lower case."""
    for name, value in headers:
        if name == wanted:
            return value
    return None


def find_length(headers: Headers) -> int | None:
    """Return the declared length of a body (bytes), None if there is none."""
    value = find_header(headers, b"content-length")
    return int(value) if value is not None and value.isdigit() else None


def find_idle_limit(headers: Headers) -> float | None:
    """Return the idle timeout that the ``Keep-Alive`` headers state (seconds)."""
    limit = None
    for name, value in headers:
        if name == b"keep-alive":
            seconds = _parse_idle_limit(value)
            limit = limit if seconds is None else seconds
    return limit


def _parse_idle_limit(value: bytes) -> float | None:
    for item in value.split(b","):
        name, _, seconds = item.strip().partition(b"=")
        if name.lower() == b"timeout" and seconds.strip().isdigit():
            return float(seconds)
    return None
