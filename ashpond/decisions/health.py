"""Decide which backend servers get new work."""

from __future__ import annotations

__all__ = ["ServerHealth", "select_usable"]

from collections.abc import Mapping, Sequence

FAILURES_TO_EJECT = 3
MIN_EJECT_SECONDS = 1.0
MAX_EJECT_SECONDS = 15.0
REPORT_TIMEOUT_SECONDS = 3.0
# A longer backoff is kept for so long.
MAX_BACKOFF_SECONDS = 3600.0


class ServerHealth:
    """What this instance has seen of one backend server."""

    def __init__(self, now: float):
        self.failures = 0
        self.ejections = 0
        self.ejected_until = 0.0
        self.probing = False
        self.draining = False
        # Until when the server wants no request from this instance.
        self.backoff_until = 0.0
        self.last_seen = now

    def note_answer(self, now: float) -> None:
        """Record an answer to a request: the server works."""
        self.failures = 0
        self.ejections = 0
        self.ejected_until = 0.0
        self.probing = False
        self.last_seen = now

    def note_report(self, now: float) -> None:
        """Record a load report, which does not prove that requests work."""
        self.last_seen = now

    def note_failure(self, now: float, *, refused: bool) -> bool:
        """Record a failed attempt; return whether the server is now ejected.

        A refused connection counts at once: nobody listens there.
        """
        self.failures += 1
        self.probing = False
        if not refused and self.failures < FAILURES_TO_EJECT and not self.ejections:
            return False
        self.ejections += 1
        pause = MIN_EJECT_SECONDS * 2 ** (self.ejections - 1)
        self.ejected_until = now + min(pause, MAX_EJECT_SECONDS)
        return True

    def note_backoff(self, now: float, seconds: float) -> None:
        """Record for how long the server wants no request; the longest word counts."""
        until = now + min(seconds, MAX_BACKOFF_SECONDS)
        self.backoff_until = max(self.backoff_until, until)

    def declines_requests(self, now: float) -> bool:
        """Return whether the server itself has said that it takes no new work now."""
        return self.draining or now < self.backoff_until

    def is_usable(self, now: float) -> bool:
        """Return whether the server may get a request, or one as a probe."""
        if self.declines_requests(now):
            return False
        if now < self.ejected_until or self.probing:
            return False
        return self.is_reporting(now)

    def is_reporting(self, now: float) -> bool:
        """Return whether the server has reported or answered lately."""
        return now - self.last_seen < REPORT_TIMEOUT_SECONDS

    def abandon_probe(self) -> None:
        """Record that a request ended early and proved nothing."""
        self.probing = False

    def note_sent(self) -> None:
        """Record that a request went out; after an ejection it is the probe."""
        if self.ejections:
            self.probing = True


def select_usable(
    names: Sequence[str], health: Mapping[str, ServerHealth], now: float
) -> list[str]:
    """Return the servers that get new work, never leaving out all.

    A server that leaves, or has asked for a backoff, is always left out. If all others
    look bad at once, the sign is more likely wrong than the servers are: then
    those that still report are used, or else every one.
    """
    accepting = [name for name in names if not health[name].declines_requests(now)]
    usable = [name for name in accepting if health[name].is_usable(now)]
    reporting = [name for name in accepting if health[name].is_reporting(now)]
    return usable or reporting or accepting
