"""Servers that fall over if they have to reject too many requests.

They say so in their answers. What they can take at once is then never exceeded: a
coordinator places their requests, or, without one, each instance uses only those slots
of a server that are its own. So no instance relies on a queue that may shrink, and two
instances never use the same slot.
"""

from __future__ import annotations

__all__ = ["BrittleServices", "count_own_slots", "limit_slots"]

import math
from collections.abc import Sequence

import xxhash

from ashpond.decisions.placement import rank_by_rendezvous

# A service counts as brittle for so long after an answer that said so (seconds).
KEPT_SECONDS = 5.0
# Peers are notified this often while answers say so (seconds).
NOTICE_SECONDS = 2.0
# A server that has just appeared gets its first request at once, and all of its slots
# only after this (seconds): its callers all come back together.
RAMP_SECONDS = 2.0


class BrittleServices:
    """The services whose servers say how many rejections a second they bear."""

    def __init__(self) -> None:
        self._until: dict[str, float] = {}
        self._limits: dict[str, float] = {}
        self._notified_at: dict[str, float] = {}

    def note_answer(self, service: str, limit: float, now: float) -> bool:
        """Record an answer of a server; return whether the peers should be notified.

        :param limit: the rejections a second above which a server falls over.
        """
        self._record(service, limit, now)
        if now - self._notified_at.get(service, -math.inf) < NOTICE_SECONDS:
            return False
        self._notified_at[service] = now
        return True

    def note_peer(self, service: str, limit: float, now: float) -> None:
        """Record a peer's notice, which this instance need not repeat."""
        self._record(service, limit, now)
        self._notified_at[service] = now

    def _record(self, service: str, limit: float, now: float) -> None:
        self._limits[service] = limit
        self._until[service] = now + KEPT_SECONDS

    def find_limit(self, service: str, now: float) -> float | None:
        """Return the rejections a second that servers bear, None if not brittle."""
        if now >= self._until.get(service, -math.inf):
            return None
        return self._limits[service]

    def describe(self, now: float) -> dict[str, float]:
        """Return the limits of all brittle services, for operators."""
        return {s: self._limits[s] for s, until in self._until.items() if now < until}


def limit_slots(slots: int, known_seconds: float) -> int:
    """Return how many requests a brittle server may have at once.

    :param known_seconds: how long this start of the server has been known.
    """
    share = min(1.0, known_seconds / RAMP_SECONDS)
    return max(1, math.ceil(slots * share))


def count_own_slots(
    server_id: str, slots: int, own_name: str, names: Sequence[str]
) -> int:
    """Return how many slots of a server only this instance may use.

    All instances agree on the owner of each slot without a message, by rendezvous.

    :param names: the names of all instances.
    """
    if not names:
        return slots
    count = 0
    for slot in range(slots):
        key = xxhash.xxh3_64_intdigest(f"{server_id}/{slot}".encode())
        count += rank_by_rendezvous(key, list(names))[0] == own_name
    return count
