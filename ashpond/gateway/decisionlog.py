"""One structured line on standard output for each decision and change of state.

Lines pass through a bounded queue to a pipe; writing never blocks. Lines that find
the queue full are dropped, counted by event and reported in a later line.
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
# How long lines are collected before they are written (seconds).
FLUSH_SECONDS = 0.1
MAX_WRITE_BYTES = 60_000
# Characters that are kept of a line that cannot be encoded as JSON.
MAX_FALLBACK_CHARACTERS = 2000


class DecisionLog:
    """A queue of log lines; :meth:`run` writes them."""

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
        """Write as much as the pipe accepts without blocking."""
        while self._unwritten or self._lines or self.dropped:
            if not self._unwritten:
                self._unwritten = self._encode_batch()
            try:
                written = os.write(self._descriptor, self._unwritten)
            except OSError:
                # The pipe is full or closed: keep the lines; later ones are dropped.
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
        # Integers of more than 64 bits and lone surrogates cannot be encoded.
        text = ascii(line)[:MAX_FALLBACK_CHARACTERS]
        return orjson.dumps({"event": line["event"], "line": text}) + b"\n"
