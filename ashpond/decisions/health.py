"""Decide which backend servers get new requests."""

from __future__ import annotations

__all__ = ["ServerHealth", "select_usable"]

from collections.abc import Mapping, Sequence

FAILURES_TO_EJECT = 3
MIN_EJECT_SECONDS = 1.0
MAX_EJECT_SECONDS = 15.0
REPORT_TIMEOUT_SECONDS = 3.0
# Longer backoffs are cut to this (seconds).
MAX_BACKOFF_SECONDS = 3600.0


class ServerHealth:
    """The health of one backend server, as seen by this instance."""

    def __init__(self, now: float):
        self.failures = 0
        self.ejections = 0
        self.ejected_until = 0.0
        self.probing = False
        self.draining = False
        # The server has asked this instance to send nothing until then.
        self.backoff_until = 0.0
        self.last_seen = now

    def note_answer(self, now: float) -> None:
        """Record an answer to a request, which proves that the server works."""
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

        A refused connection ejects the server at once, as no process listens there.
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
        """Record that the server asks for no requests; the longest backoff applies."""
        until = now + min(seconds, MAX_BACKOFF_SECONDS)
        self.backoff_until = max(self.backoff_until, until)

    def declines_requests(self, now: float) -> bool:
        """Return whether the server is draining or has asked for a backoff."""
        return self.draining or now < self.backoff_until

    def is_usable(self, now: float) -> bool:
        """Return whether the server may get a request, possibly as a probe."""
        if self.declines_requests(now):
            return False
        if now < self.ejected_until or self.probing:
            return False
        return self.is_reporting(now)

    def is_reporting(self, now: float) -> bool:
        """Return whether the server has reported or answered recently."""
        return now - self.last_seen < REPORT_TIMEOUT_SECONDS

    def abandon_probe(self) -> None:
        """Record that a probe ended early, which says nothing about the server."""
        self.probing = False

    def note_sent(self) -> None:
        """Record that a request was sent; after an ejection it is the probe."""
        if self.ejections:
            self.probing = True


def select_usable(
    names: Sequence[str], health: Mapping[str, ServerHealth], now: float
) -> list[str]:
    """Return the servers that may get new requests.

    Servers that drain or have asked for a backoff are always excluded. If none of the
    others is usable, the failures are more likely a fault of the observation than of
    all servers at once: then all that still report are returned, or else all.
    """
    accepting = [name for name in names if not health[name].declines_requests(now)]
    usable = [name for name in accepting if health[name].is_usable(now)]
    reporting = [name for name in accepting if health[name].is_reporting(now)]
    return usable or reporting or accepting
