"""Notice requests to backend servers of which no byte of an answer comes for long."""

from __future__ import annotations

__all__ = ["SilenceWatch"]

import heapq
import itertools
from collections.abc import Callable
from typing import TYPE_CHECKING, NamedTuple

import trio

if TYPE_CHECKING:
    from ashpond.clients.channels import Channel


class _Sent(NamedTuple):
    """A request in flight: its server, and when it was sent and counts as silent."""

    owner: str
    sent_at: float
    silent_at: float


class SilenceWatch:
    """The requests in flight on direct connections.

    A request whose client waits long, or that may not be repeated, is not ended by a
    timeout: without this, nothing would be learned from it until its deadline.

    :param on_silent: is called once with the owner key of the connection of each
        silent request and the time at which it was sent.
    """

    def __init__(self, on_silent: Callable[[str, float], None]):
        self._on_silent = on_silent
        self._in_flight: dict[Channel, _Sent] = {}
        self._reported: set[Channel] = set()
        self._due: list[tuple[float, int, Channel]] = []
        self._numbers = itertools.count()
        self._has_due = trio.Event()

    def add(self, channel: Channel, owner: str, now: float, seconds: float) -> None:
        """Watch a request that has been sent now.

        :param seconds: after what time without an answer it is silent.
        """
        silent_at = now + seconds
        self._in_flight[channel] = _Sent(owner, now, silent_at)
        heapq.heappush(self._due, (silent_at, next(self._numbers), channel))
        self._has_due.set()

    def remove(self, channel: Channel) -> bool:
        """Stop watching a request; return whether it was reported as silent."""
        self._in_flight.pop(channel, None)
        is_reported = channel in self._reported
        self._reported.discard(channel)
        return is_reported

    def measure_longest_wait(self, now: float) -> float:
        """Return for how long the oldest request in flight has waited (seconds)."""
        sent = (request.sent_at for request in self._in_flight.values())
        return now - min(sent, default=now)

    async def run(self) -> None:
        """Report silent requests until cancelled."""
        while True:
            if not self._due:
                self._has_due = trio.Event()
                await self._has_due.wait()
            await trio.sleep_until(self._due[0][0])
            self._report_due(trio.current_time())

    def _report_due(self, now: float) -> None:
        """Report the silent requests, and forget the answered ones before the next."""
        while self._due:
            silent_at, _, channel = self._due[0]
            request = self._in_flight.get(channel)
            is_waiting = request is not None and request.silent_at == silent_at
            if is_waiting and silent_at > now:
                return
            heapq.heappop(self._due)
            if is_waiting and request is not None:
                self._reported.add(channel)
                self._on_silent(request.owner, request.sent_at)
