"""One structured line to standard output for each decision and change of belief.

Lines go through a bounded queue and a pipe that is never waited for. Lines that
find the queue full are counted by kind and told of when there is room.
"""

from __future__ import annotations

__all__ = ["DecisionLog"]

import os
import time
from collections import Counter, deque
from typing import Any

import orjson
import trio

MAX_QUEUED = 2000
# Lines wait for others for so long before they are written out (seconds).
FLUSH_SECONDS = 0.1
MAX_WRITE_BYTES = 60_000
# Of a line that JSON cannot hold, so many characters are kept.
MAX_FALLBACK_CHARACTERS = 2000


class DecisionLog:
    """Collects lines; :meth:`run` writes them."""

    def __init__(self, instance: str, descriptor: int = 1):
        self.instance = instance
        self.dropped: Counter[str] = Counter()
        self._descriptor = descriptor
        self._lines: deque[dict[str, Any]] = deque()
        self._unwritten = b""
        self._has_new_lines = trio.Event()

    def note(self, event: str, **fields: Any) -> None:
        """Queue one line; drop and count it if the queue is full."""
        if len(self._lines) >= MAX_QUEUED:
            self.dropped[event] += 1
            return
        line = {"t": round(time.time(), 3), "instance": self.instance, "event": event}
        self._lines.append(line | fields)
        self._has_new_lines.set()

    async def run(self) -> None:
        """Write lines until cancelled."""
        os.set_blocking(self._descriptor, False)
        while True:
            await self._has_new_lines.wait()
            await trio.sleep(FLUSH_SECONDS)
            self._has_new_lines = trio.Event()
            self.flush()
            if self._unwritten or self._lines:
                self._has_new_lines.set()

    def flush(self) -> None:
        """Write as much as the pipe takes now."""
        while self._unwritten or self._lines or self.dropped:
            if not self._unwritten:
                self._unwritten = self._encode_batch()
            try:
                written = os.write(self._descriptor, self._unwritten)
            except OSError:
                # A full or closed pipe: the lines stay, later ones are counted.
                return
            self._unwritten = self._unwritten[written:]

    def _encode_batch(self) -> bytes:
        if self.dropped and len(self._lines) < MAX_QUEUED:
            counts = dict(self.dropped)
            self.dropped.clear()
            self.note("log_lines_dropped", counts=counts)
        pieces = []
        size = 0
        while self._lines and size < MAX_WRITE_BYTES:
            piece = _encode_line(self._lines.popleft())
            size += len(piece)
            pieces.append(piece)
        return b"".join(pieces)


def _encode_line(line: dict[str, Any]) -> bytes:
    try:
        return orjson.dumps(line, default=str) + b"\n"
    except TypeError:
        # A number of more than 64 bits, or a text that is no Unicode: as text.
        text = ascii(line)[:MAX_FALLBACK_CHARACTERS]
        return orjson.dumps({"event": line["event"], "line": text}) + b"\n"
