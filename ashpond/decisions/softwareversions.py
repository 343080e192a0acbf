"""Know which versions of their software the servers of a service have had.

Answers whether a stream of unknown beginning can only have begun at one version: the
only one that any server of its service has had for longer than a stream lives.
"""

from __future__ import annotations

__all__ = ["LONGEST_STREAM_SECONDS", "VersionClaim", "VersionHistory"]

from collections import Counter
from typing import NamedTuple

# How often a client tries to get one stream, and how long it waits each time (seconds).
CLIENT_TRIES = 4
LONGEST_TRY_SECONDS = 20.0
# How long after a version has left a client may still take up a stream that began there
# (seconds). All tries but the first may hang.
LONGEST_STREAM_SECONDS = CLIENT_TRIES * LONGEST_TRY_SECONDS


class VersionClaim(NamedTuple):
    """The software versions at which a stream may have begun that has not ended.

    ``is_complete`` is whether there were certainly no others.
    """

    versions: list[str]
    is_complete: bool


class VersionHistory:
    """The versions of each service's servers, and when the last server of each left.

    The history of a service is complete from the time at which the servers were first
    known. A peer that has known them for longer may prove more.
    """

    def __init__(self) -> None:
        self._servers: dict[str, Counter[str]] = {}
        self._left_at: dict[str, dict[str, float]] = {}
        self._complete_since = float("inf")
        self._is_first_start = False
        self._has_restarted = False
        # The versions that were proven to be the only ones, by service.
        self._proven: dict[str, str] = {}

    def begin(self, now: float, *, is_first_start: bool = False) -> None:
        """Record that all servers are known from now on.

        :param is_first_start: whether no instance has served before.
        """
        is_complete = is_first_start or self._is_first_start
        self._complete_since = float("-inf") if is_complete else now

    def note_first_start(self) -> None:
        """Record that no instance has served before this one started.

        The servers may be known already. If some came and went unnoticed since, that
        changes nothing.
        """
        self._is_first_start = True
        if self._complete_since < float("inf") and not self._has_restarted:
            self._complete_since = float("-inf")

    def restart(self, now: float) -> None:
        """Record that servers may have come and gone unnoticed until ``now``."""
        self._complete_since = now
        self._has_restarted = True
        self._proven.clear()

    def add(self, service: str, version: str) -> None:
        """Record a server that has become known."""
        self._servers.setdefault(service, Counter())[version] += 1
        if self._proven.get(service, version) != version:
            del self._proven[service]

    def remove(self, service: str, version: str, now: float) -> None:
        """Record that a known server has left."""
        servers = self._servers[service]
        servers[version] -= 1
        if not servers[version]:
            del servers[version]
            self._left_at.setdefault(service, {})[version] = now

    def prove(self, service: str, version: str, now: float) -> None:
        """Record a peer's proof that a service has had no other version for long.

        It says nothing if this instance has seen another one.
        """
        if self._list_recent(service, now) <= {version}:
            self._proven[service] = version

    def list_services(self) -> list[str]:
        """Return the services whose servers are, or were, known."""
        return sorted(self._servers.keys() | self._left_at.keys())

    def list_present(self, service: str) -> dict[str, int]:
        """Return the number of known servers of a service by version."""
        return dict(self._servers.get(service, {}))

    def list_left(self, service: str, now: float) -> list[tuple[str, float]]:
        """Return the versions that have left, and how long ago (seconds)."""
        recent = self._list_recent(service, now)
        left = self._left_at.get(service, {})
        return [(version, now - left[version]) for version in recent & left.keys()]

    def claim(self, service: str, now: float) -> VersionClaim:
        """Return at which versions a stream may have begun that has not ended."""
        recent = sorted(self._list_recent(service, now))
        is_complete = now - self._complete_since >= LONGEST_STREAM_SECONDS
        is_proven = recent == [self._proven.get(service)]
        return VersionClaim(recent, is_complete or is_proven)

    def _list_recent(self, service: str, now: float) -> set[str]:
        left = self._left_at.get(service, {})
        for version, at in list(left.items()):
            if now - at > LONGEST_STREAM_SECONDS:
                del left[version]
        return {*self._servers.get(service, {}), *left}
