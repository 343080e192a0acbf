"""The servers that a request was sent to, and those that it may be sent to."""

from __future__ import annotations

__all__ = ["TriedServers"]

from typing import TYPE_CHECKING

from ashpond.decisions.timeleft import choose_reconnect_pause, choose_resend_pause
from ashpond.gateway.callprogress import AttemptNotRun

if TYPE_CHECKING:
    from collections.abc import Iterable

    from ashpond.gateway.callprogress import AttemptOutcome

# The servers that each request may be sent to, including those that rejected it. A
# route's larger max_attempts raises this limit.
BASE_SERVER_LIMIT = 3


class TriedServers:
    """What the attempts of one request have shown of servers.

    :param max_attempts: that of the route.
    """

    def __init__(self, max_attempts: int):
        self._limit = max(BASE_SERVER_LIMIT, max_attempts)
        self._excluded: set[str] = set()
        self._sent_to: set[str] = set()
        self._rejections = 0
        self._unsent = 0

    def note(self, server_id: str, outcome: AttemptOutcome) -> None:
        """Record the outcome of an attempt.

        A server that rejected the request may have room after the pause that follows.
        All others get it no more.
        """
        is_unsent = isinstance(outcome, AttemptNotRun) and not outcome.is_rejected
        if is_unsent:
            self._unsent += 1
        else:
            self._sent_to.add(server_id)
        if isinstance(outcome, AttemptNotRun) and outcome.is_rejected:
            self._rejections += 1
        else:
            self._excluded.add(server_id)

    def choose_pause(self) -> float:
        """Return how long the request waits before its next attempt (seconds)."""
        return max(
            choose_resend_pause(self._rejections, self._limit),
            choose_reconnect_pause(self._unsent, self._limit),
        )

    def list_excluded(self, servers: Iterable[str]) -> frozenset[str]:
        """Return the servers of a service that the request must not be sent to."""
        if len(self._sent_to) < self._limit:
            return frozenset(self._excluded)
        return frozenset(servers) - (self._sent_to - self._excluded)
