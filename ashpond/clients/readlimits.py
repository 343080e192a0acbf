"""Bounds of what one exchange reads, whatever the other side sends."""

from __future__ import annotations

__all__ = ["MAX_OVERDUE_READS", "ReadLimits"]

# Bytes that belong to no body: heads, informational responses, framing and trailers.
MAX_OVERHEAD_BYTES = 131_072
# The framing of a body may take these shares of its bytes besides. The events of a
# stream are mostly sent in a chunk each.
MAX_STREAM_OVERHEAD_SHARE = 1.0
MAX_WHOLE_OVERHEAD_SHARE = 0.25
# Bodies of responses to earlier requests (bytes).
MAX_STALE_BYTES = 1 << 20
# Reads of data that has already arrived, after the deadline has passed.
MAX_OVERDUE_READS = 64


class ReadLimits:
    """Counts the bytes that are read for one request, or for its answer.

    A peer that sends bytes without end never lets a reader wait, and each byte costs
    processor time. Every count is therefore limited without regard to time.

    :param head_bytes: the size of a head that is allowed besides.
    """

    def __init__(self, head_bytes: int = 0) -> None:
        self._max_overhead = MAX_OVERHEAD_BYTES + head_bytes
        self._received = 0
        self._body_bytes = 0
        self._stale_bytes = 0
        self._overdue_reads = 0
        self._overhead_share = MAX_STREAM_OVERHEAD_SHARE

    def expect_whole_body(self) -> None:
        """Apply the limit for a body that is read as a whole."""
        self._overhead_share = MAX_WHOLE_OVERHEAD_SHARE

    def add_received(self, size: int) -> None:
        """Count bytes of the connection."""
        self._received += size

    def add_body(self, size: int) -> None:
        """Count bytes of a body."""
        self._body_bytes += size

    def add_stale(self, size: int) -> None:
        """Count bytes of the body of a response to an earlier request."""
        self._stale_bytes += size

    def may_read_overdue(self) -> bool:
        """Count a read after the deadline; return whether it is allowed."""
        self._overdue_reads += 1
        return self._overdue_reads <= MAX_OVERDUE_READS

    def find_excess(self) -> str | None:
        """Return which limit is exceeded, None if none is."""
        overhead = self._received - self._body_bytes
        limit = self._max_overhead + self._body_bytes * self._overhead_share
        if overhead > limit:
            return "too many bytes besides the body"
        if self._stale_bytes > MAX_STALE_BYTES:
            return "an answer to another request is too large"
        return None
