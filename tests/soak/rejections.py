"""Answers of the soak's servers that reject requests, or only seem to."""

from __future__ import annotations

import random

import trio

from tests.servers import make_answer

STATED = "X-Not-Executed: 1\r\n"
PROMISES = (408, 421, 429, 503)


class Rejections:
    """Which requests a server rejects, and the copies of rejections that are due.

    ``share`` is the share of requests that are rejected, and that of requests which run
    and get a status that promises that they have not.
    """

    def __init__(self, seed: str):
        self.share = 0.0
        self._rng = random.Random(f"rejections {seed}")
        self._due: dict[trio.SocketStream, bytes] = {}

    async def send_due(self, stream: trio.SocketStream) -> None:
        """Send the copy of a rejection where the next answer is expected."""
        due = self._due.pop(stream, None)
        if due is not None:
            await stream.send_all(due)

    async def reject(self, stream: trio.SocketStream, request_id: str) -> bool:
        """Return whether a request has been rejected."""
        if self._rng.random() >= self.share:
            return False
        rejection = make_answer(b"full", request_id, 503, STATED)
        self._due[stream] = rejection
        await stream.send_all(rejection)
        return True

    def choose_status(self) -> int:
        """Return the status of a request that has run."""
        return self._rng.choice(PROMISES) if self._rng.random() < self.share else 200

    def forget(self, stream: trio.SocketStream) -> None:
        """Forget a connection that has ended."""
        self._due.pop(stream, None)
