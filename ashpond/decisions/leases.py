"""Leases for the right to send orders, in a row that only compare-and-swap changes.

No wall clock is involved. The holder counts its lease from *before* it sent the write
that renewed it, on its own monotonic clock, less a margin. A contender takes over only
after it has itself seen the row unchanged for the whole term plus a bound on the
delivery of orders. Every change of holder raises the fencing number. A server that
ignores the fencing number is safe as long as the rates of the clocks differ by less
than the margin and no order is delivered later than the bound.
"""

from __future__ import annotations

__all__ = [
    "TERM_SECONDS",
    "Lease",
    "LeaseRow",
    "LeaseTerms",
    "LeaseWrite",
    "make_lease_terms",
]

from typing import NamedTuple

from ashpond.outcomes import Conflict, Done, StoreOutcome

TERM_SECONDS = 3.0
MARGIN_SECONDS = 0.5
DELIVERY_BOUND_SECONDS = 1.0
RENEW_SECONDS = 1.0
# Shares of the time by which orders of two holders must be apart. VALID_SHARE: how long
# a renewal allows its holder to send orders. SEPARATION_SHARE: how much longer a
# successor waits, with a margin for clocks that differ in rate. Short terms cost
# writes, long ones delay a takeover.
VALID_SHARE = 0.28
# A store that was restored from an older copy does not know which fencing numbers were
# issued, so those of its next era begin above all earlier ones. This is far larger than
# the number of writes in one era.
FENCES_PER_ERA = 1 << 32
SEPARATION_SHARE = 1.05


class LeaseTerms(NamedTuple):
    """The times of a lease, in seconds.

    The holder counts ``valid_seconds`` from before it sent a renewal. A contender takes
    over after it has seen no renewal for ``takeover_wait``.
    """

    valid_seconds: float
    takeover_wait: float
    renew_interval: float


def make_default_terms() -> LeaseTerms:
    """Return the terms of the lease that is used by the callers' API."""
    return LeaseTerms(
        TERM_SECONDS - MARGIN_SECONDS,
        TERM_SECONDS + DELIVERY_BOUND_SECONDS,
        RENEW_SECONDS,
    )


def make_lease_terms(lease_seconds: float) -> LeaseTerms:
    """Return terms that keep the orders of two holders ``lease_seconds`` apart."""
    valid_seconds = lease_seconds * VALID_SHARE
    return LeaseTerms(
        valid_seconds,
        valid_seconds + lease_seconds * SEPARATION_SHARE,
        valid_seconds / 2,
    )


class LeaseRow(NamedTuple):
    """The stored lease; ``beat`` grows with each renewal."""

    holder: str
    fence: int
    beat: int


class LeaseWrite(NamedTuple):
    """A conditional write: ``version`` is that of the row it replaces, 0 for none."""

    row: LeaseRow
    version: int


class Lease:
    """One instance's view of a lease that it holds or contends for."""

    def __init__(self, holder: str, terms: LeaseTerms | None = None):
        self.holder = holder
        self.terms = terms or make_default_terms()
        self._row: LeaseRow | None = None
        self._version = 0
        self._unchanged_since = 0.0
        self._valid_until = float("-inf")
        self._renewed_at = float("-inf")
        self._highest_fence = 0
        self._era: int | None = None
        self._era_since = float("-inf")
        self._was_holder = False

    def set_era(self, era: int | None) -> None:
        """Set the era of the store; the lease row is known to be of this era."""
        self._era = era

    def restart_in_era(self, era: int | None, now: float) -> None:
        """Drop the lease row after the store was restored from an older copy.

        The restored row may be older than leases granted since the copy, so it is
        treated as missing. The last holder may take the lease again at once: until its
        takeover wait is over, no other instance can have taken it. All others wait for
        that time from now, because the last holder may not know of the restore yet.
        """
        self._was_holder = (
            self.is_holder and now - self._renewed_at < self.terms.takeover_wait
        )
        self._highest_fence = max(self._highest_fence, self.fence)
        self._era = era
        self._era_since = now
        self._valid_until = float("-inf")
        self._row = None
        self._version = 0

    def _choose_fence(self) -> int:
        """Return a fencing number above all issued before, in earlier eras too."""
        base = 0 if self._era is None else self._era * FENCES_PER_ERA
        return max(self.fence, self._highest_fence, base) + 1

    def _may_take_without_row(self, now: float) -> bool:
        """Return whether leases granted before the store was restored have expired."""
        if self._was_holder:
            return True
        return now - self._era_since >= self.terms.takeover_wait

    def holds(self, now: float) -> bool:
        """Return whether this instance holds the lease and may send an order now."""
        return now < self._valid_until

    @property
    def valid_until(self) -> float:
        """Until when this instance may send orders, on its own clock (seconds)."""
        return self._valid_until

    @property
    def has_row(self) -> bool:
        """Whether any holder of the lease is known."""
        return self._row is not None

    @property
    def last_known_holder(self) -> str | None:
        """The holder named by the row when it was last read, None if unknown."""
        return self._row.holder if self._row else None

    @property
    def is_holder(self) -> bool:
        """Whether the row named this instance when it was last read."""
        return self._row is not None and self._row.holder == self.holder

    @property
    def fence(self) -> int:
        """The fencing number to send with each order."""
        return self._row.fence if self._row else 0

    def on_read(
        self, row: LeaseRow | None, version: int, now: float, age: float = 0.0
    ) -> None:
        """Process the row as read, None if there is none.

        :param age: seconds since its last renewal, if the store reports that.
        """
        if version != self._version or self._row is None:
            self._unchanged_since = now
        self._unchanged_since = min(self._unchanged_since, now - age)
        if row is None or self._row is None or not _is_same_grant(row, self._row):
            self._valid_until = float("-inf")
        self._row = row
        self._version = version

    def plan_write(self, now: float) -> LeaseWrite | None:
        """Return the write that takes or renews the lease, None if none is due."""
        row = self._row
        if row is None:
            if not self._may_take_without_row(now):
                return None
            fence = self._choose_fence()
            return LeaseWrite(LeaseRow(self.holder, fence, 0), self._version)
        if row.holder == self.holder:
            return self._plan_renewal(row, now)
        if now - self._unchanged_since < self.terms.takeover_wait:
            return None
        fence = self._choose_fence()
        return LeaseWrite(LeaseRow(self.holder, fence, 0), self._version)

    def _plan_renewal(self, row: LeaseRow, now: float) -> LeaseWrite | None:
        if not self.holds(now):
            # The lease expired during a pause, or the row is a late write of this
            # instance: take the lease again, with a new fencing number.
            fence = self._choose_fence()
            return LeaseWrite(LeaseRow(self.holder, fence, 0), self._version)
        if now - self._renewed_at < self.terms.renew_interval:
            return None
        renewed = row._replace(beat=row.beat + 1)
        return LeaseWrite(renewed, self._version)

    def on_write(
        self, write: LeaseWrite, outcome: StoreOutcome, sent_at: float
    ) -> bool:
        """Process the outcome of a write; return whether the row must be read again."""
        if isinstance(outcome, Done):
            self._row = write.row
            self._version = outcome.value
            self._unchanged_since = sent_at
            self._renewed_at = sent_at
            self._highest_fence = max(self._highest_fence, write.row.fence)
            self._was_holder = False
            self._valid_until = sent_at + self.terms.valid_seconds
            return False
        if isinstance(outcome, Conflict):
            self._valid_until = float("-inf")
        return True


def _is_same_grant(row: LeaseRow, other: LeaseRow) -> bool:
    return (row.holder, row.fence) == (other.holder, other.fence)
