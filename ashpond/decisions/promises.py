"""Keep the times at which refused clients may return.

The load is a team at ten times its usual requests, whose refused clients all returned
after the same 0.35 s: 482 of 2,204 were served then.
"""

from __future__ import annotations

__all__ = ["Promise", "PromiseBook"]

from bisect import insort
from collections.abc import Iterator
from typing import NamedTuple

# A client that returns this much before its time is one that keeps it (seconds).
EARLY_SECONDS = 0.05
# A promise that isn't used this long after its time expires (seconds).
LATE_SECONDS = 0.5
# The weight of one promise in the share of those that are kept.
SMOOTHING = 0.05


class Promise(NamedTuple):
    """The time at which a refused client may return, sorted by it."""

    at: float
    number: int
    fingerprint: str
    urgency: int
    team: str
    cost: float
    arrived_at: float


class PromiseBook:
    """The outstanding promises; ``kept_share`` is the share that is kept."""

    def __init__(self) -> None:
        self.kept_share = 1.0
        self._by_team: dict[tuple[int, str], list[Promise]] = {}
        self._by_fingerprint: dict[str, list[Promise]] = {}
        self._count = 0

    def __len__(self) -> int:
        return sum(map(len, self._by_team.values()))

    def add(
        self,
        at: float,
        fingerprint: str,
        urgency: int,
        team: str,
        cost: float,
        arrived_at: float,
    ) -> None:
        """Promise capacity at a time."""
        self._count += 1
        promise = Promise(at, self._count, fingerprint, urgency, team, cost, arrived_at)
        insort(self._by_team.setdefault((urgency, team), []), promise)
        if fingerprint:
            insort(self._by_fingerprint.setdefault(fingerprint, []), promise)

    def find(self, fingerprint: str, now: float) -> Promise | None:
        """Return the next promise to a client that has returned before its time."""
        promises = self._by_fingerprint.get(fingerprint)
        if promises and promises[0].at > now:
            return promises[0]
        return None

    def take(
        self, fingerprint: str, urgency: int, team: str, now: float
    ) -> Promise | None:
        """Remove and return the promise that a request makes use of, if any."""
        if fingerprint:
            promises = self._by_fingerprint.get(fingerprint, [])
        else:
            promises = self._by_team.get((urgency, team), [])
        for promise in promises:
            if promise.at - EARLY_SECONDS > now:
                break
            if promise.at + LATE_SECONDS >= now and (
                promise.fingerprint == fingerprint
            ):
                self._remove(promise, is_kept=True)
                return promise
        return None

    def expire(self, now: float) -> None:
        """Remove the promises whose clients have not returned."""
        for promises in list(self._by_team.values()):
            while promises and promises[0].at + LATE_SECONDS < now:
                self._remove(promises[0], is_kept=False)

    def list_team(self, urgency: int, team: str) -> list[Promise]:
        """Return the promises to a team, the earliest first."""
        return self._by_team.get((urgency, team), [])

    def sum_cost(self, urgency: int) -> float:
        """Return the cost that is promised to an urgency (server seconds)."""
        return self.kept_share * sum(promise.cost for promise in self._iterate(urgency))

    def _iterate(self, urgency: int) -> Iterator[Promise]:
        for key, promises in self._by_team.items():
            if key[0] == urgency:
                yield from promises

    def _remove(self, promise: Promise, *, is_kept: bool) -> None:
        self.kept_share += SMOOTHING * (is_kept - self.kept_share)
        key = promise.urgency, promise.team
        self._by_team[key].remove(promise)
        if not self._by_team[key]:
            del self._by_team[key]
        if promise.fingerprint:
            promises = self._by_fingerprint[promise.fingerprint]
            promises.remove(promise)
            if not promises:
                del self._by_fingerprint[promise.fingerprint]
