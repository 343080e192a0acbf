"""The rights of one instance to retry requests of a service.

The retries of all instances at a service are limited in any window of time. Each
instance earns rights by its own first attempts and by its part of the slack, and uses
them or grants them to peers. A granted right is charged to the instance that granted it
for as long as the peer may have used it, so a lost message or a partition loses rights,
and never creates any.

Most rights are those of a whole window, which may all be used at once. An instance that
has just started does not know what its previous incarnation used of them, and has none
until a window has passed. The others are earned continuously and expire soon, so that
any incarnation can use those that it has earned.
"""

from __future__ import annotations

__all__ = [
    "GRANT_SECONDS",
    "Entitlement",
    "Grant",
    "GrantId",
    "InstancePeak",
    "RetryRights",
    "measure_joining_seconds",
]

import math
from collections import deque
from typing import NamedTuple

# The shares of the budget whose rights are those of a whole window, and of that whose
# rights are earned continuously. Some of the budget is left: a request may wait for a
# server between the decision to retry it and its arrival there.
WINDOW_SHARE = 0.6
FRESH_SHARE = 0.2
# How long the latter last (seconds).
FRESH_SECONDS = 5.0
# How long a peer may use what it has been granted, from the time at which it asked.
# Meanwhile the grant is lost to all others (seconds).
GRANT_SECONDS = 0.5
# An instance keeps back as many rights as it has used in this time (seconds).
RESERVE_SECONDS = 1.0
# An instance that joins waits until all others count it: they learn of it within this
# time (seconds).
NOTICE_SECONDS = 2.0

GrantId = tuple[str, int]


class Grant(NamedTuple):
    """Rights granted to a peer.

    ``amount`` are rights of the window, ``fresh`` are fresh rights. ``id`` is the
    peer's incarnation and the number of its query.
    """

    at: float
    amount: int
    fresh: int
    id: GrantId


class Entitlement(NamedTuple):
    """What an instance may claim of the budget besides what its requests earn.

    ``part`` is its part of the slack. ``is_complete`` is whether it knows all that it,
    or its previous incarnation, has used and granted in a window.
    """

    part: float
    is_complete: bool


class _Received(NamedTuple):
    """Rights received from a peer that have not been used yet."""

    expires_at: float
    amount: int
    id: GrantId


class InstancePeak:
    """The greatest recent number of instances that share the slack.

    The slack that an instance had may still be in use after it has left.
    """

    def __init__(self) -> None:
        self._counts: deque[tuple[float, int]] = deque()

    def update(self, count: int, seconds: float, now: float) -> int:
        """Record the present number; return the greatest of the last ``seconds``."""
        if not self._counts or self._counts[-1][1] != count:
            self._counts.append((now, count))
        # A count holds until the next one.
        while len(self._counts) > 1 and now - self._counts[1][0] > seconds:
            self._counts.popleft()
        return max(known for _, known in self._counts)


class RetryRights:
    """What one instance has earned, used, granted and received.

    :param share: the allowed retries as a share of the first attempts.
    :param window: the length of the window (seconds).
    :param started_at: when this instance started.
    """

    def __init__(self, share: float, window: float, started_at: float):
        self.share = share
        self.window = window
        self._first: deque[float] = deque()
        # All retries sent, and those charged to the rights of the window.
        self._sent: deque[float] = deque()
        self._used: deque[float] = deque()
        self._granted: deque[Grant] = deque()
        self._received: list[_Received] = []
        self._fresh = 0.0
        self._fresh_at = started_at
        # First attempts that have earned no fresh rights yet.
        self._unearned = 0

    @property
    def has_received(self) -> bool:
        """Whether there are received rights, expired ones included."""
        return bool(self._received)

    def note_first_attempt(self, now: float) -> None:
        """Count the first attempt of a request."""
        self._first.append(now)
        self._unearned += 1

    def count_first(self, now: float) -> int:
        """Return the number of first attempts in the window."""
        self._expire(now)
        return len(self._first)

    def count_sent(self, now: float) -> int:
        """Return the number of retries in the window, on whatever rights."""
        self._expire(now)
        return len(self._sent)

    def count_recent(self, seconds: float, now: float) -> int:
        """Return the number of retries of the last ``seconds``."""
        return _count_since(self._sent, now - seconds)

    def measure_left(self, entitlement: Entitlement, now: float) -> int:
        """Return how many retries this instance may send now."""
        self._update(entitlement, now)
        received = sum(r.amount for r in self._received if r.expires_at > now)
        of_window = self._count_window_rights(len(self._first), entitlement)
        return received + math.floor(self._fresh) + max(0, of_window)

    def take(self, entitlement: Entitlement, now: float) -> bool:
        """Use a right, first one that expires; return whether there was one."""
        self._update(entitlement, now)
        valid = [r for r in self._received if r.expires_at > now]
        if valid:
            first = min(valid)
            self._received.remove(first)
            if first.amount > 1:
                self._received.append(first._replace(amount=first.amount - 1))
        elif self._fresh >= 1:
            self._fresh -= 1
        elif self._count_window_rights(len(self._first), entitlement) >= 1:
            self._used.append(now)
        else:
            return False
        self._sent.append(now)
        return True

    def grant(
        self, grant_id: GrantId, wanted: int, entitlement: Entitlement, now: float
    ) -> int:
        """Grant a peer rights that are not needed here; return how many."""
        self._update(entitlement, now)
        fresh = min(wanted, math.floor(self._fresh))
        self._fresh -= fresh
        # What these first attempts earn is still earned when the grant expires.
        lasting = _count_since(self._first, now - self.window + GRANT_SECONDS)
        reserve = _count_since(self._sent, now - RESERVE_SECONDS)
        spare = self._count_window_rights(lasting, entitlement) - reserve
        of_window = max(0, min(wanted - fresh, spare))
        if fresh or of_window:
            self._granted.append(Grant(now, of_window, fresh, grant_id))
        return fresh + of_window

    def take_back(self, grant_id: GrantId, count: int) -> None:
        """Take back rights of a grant that the peer has not used."""
        for index, grant in enumerate(self._granted):
            if grant.id == grant_id:
                of_window = min(count, grant.amount)
                self._fresh += min(count - of_window, grant.fresh)
                # A second return of the same grant finds nothing.
                self._granted[index] = Grant(
                    grant.at, grant.amount - of_window, 0, ("", 0)
                )
                return

    def receive(
        self, grant_id: GrantId, count: int, asked_at: float, now: float
    ) -> None:
        """Add rights that a peer has granted, unless they have expired.

        :param asked_at: when the peer was asked, on this process's clock.
        """
        expires_at = asked_at + GRANT_SECONDS
        if count > 0 and now < expires_at:
            self._received.append(_Received(expires_at, count, grant_id))

    def drop_expired(self, now: float) -> list[tuple[GrantId, int]]:
        """Remove received rights that have expired; return them, to be given back."""
        expired = [r for r in self._received if r.expires_at <= now]
        self._received = [r for r in self._received if r.expires_at > now]
        return [(received.id, received.amount) for received in expired]

    def describe(self, now: float) -> dict[str, float]:
        """Return the counts of the window, for logs."""
        self._expire(now)
        return {
            "first": len(self._first),
            "sent": len(self._sent),
            "used": len(self._used),
            "granted": sum(grant.amount for grant in self._granted),
            "received": sum(received.amount for received in self._received),
            "fresh": round(self._fresh, 2),
        }

    def _count_window_rights(self, first: int, entitlement: Entitlement) -> int:
        """Return the rights of the window that are left; negative after a loss.

        :param first: the first attempts that earn them.
        """
        if not entitlement.is_complete:
            return 0
        allowed = (self.share * first + entitlement.part) * WINDOW_SHARE
        granted = sum(grant.amount for grant in self._granted)
        return math.floor(allowed - len(self._used) - granted)

    def _update(self, entitlement: Entitlement, now: float) -> None:
        self._expire(now)
        earned = self.share * self._unearned
        earned += entitlement.part * max(0.0, now - self._fresh_at) / self.window
        self._unearned = 0
        self._fresh_at = now
        recent = _count_since(self._first, now - FRESH_SECONDS)
        most = self.share * recent + entitlement.part * FRESH_SECONDS / self.window
        self._fresh = min(self._fresh + earned * FRESH_SHARE, most * FRESH_SHARE)

    def _expire(self, now: float) -> None:
        for times in (self._first, self._used, self._sent):
            while times and now - times[0] > self.window:
                times.popleft()
        lifetime = self.window + GRANT_SECONDS
        while self._granted and now - self._granted[0].at > lifetime:
            self._granted.popleft()


def measure_joining_seconds(window: float) -> float:
    """Return how long a started instance has no rights of the window (seconds).

    Its previous incarnation may have used or granted all just before it ended, and
    others may not count an instance that joins at once.
    """
    return window + GRANT_SECONDS + NOTICE_SECONDS


def _count_since(times: deque[float], since: float) -> int:
    """Return how many of ordered times are later than ``since``."""
    count = 0
    for at in reversed(times):
        if at <= since:
            break
        count += 1
    return count
