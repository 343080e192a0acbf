"""Hold the right to give orders, by a row that only compare-and-swap changes.

No wall clock takes part. The holder counts its lease from *before* it sent the
write that renewed it, on its own monotonic clock, less a margin. A contender
takes over only after it has itself seen the row unchanged for the whole term
and a bound on the delivery of orders. Every change of holder raises the fencing
number. A server that ignores that number is safe as long as clocks' rates
differ by less than the margin and no order is delivered later than the bound.
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
# Of the time that orders of two holders must be apart: for how long a renewal lets
# its holder order, and how long a successor waits after that, with a margin for
# clocks that differ in rate. Short terms cost writes, long ones delay a takeover.
VALID_SHARE = 0.28
# A store that comes back from an older copy has forgotten which fencing numbers were
# given: those of its next era begin above. Far more than there are writes in one.
FENCES_PER_ERA = 1 << 32
SEPARATION_SHARE = 1.05


class LeaseTerms(NamedTuple):
    """Times of a lease, in seconds.

    ``valid`` is counted by the holder from before a renewal was sent; a contender
    takes over after it has seen no renewal for ``silence``.
    """

    valid_seconds: float
    takeover_wait: float
    renew_interval: float


def make_default_terms() -> LeaseTerms:
    """Return the terms of the callers' API."""
    return LeaseTerms(
        TERM_SECONDS - MARGIN_SECONDS,
        TERM_SECONDS + DELIVERY_BOUND_SECONDS,
        RENEW_SECONDS,
    )


def make_lease_terms(lease_seconds: float) -> LeaseTerms:
    """Return terms that keep orders of two holders ``lease_seconds`` apart."""
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
    """A write to try: ``version`` is that of the row it replaces, 0 for none."""

    row: LeaseRow
    version: int


class Lease:
    """One instance's side of one lease."""

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
        """Take note of the era of the store, which has not changed under the lease."""
        self._era = era

    def restart_in_era(self, era: int | None, now: float) -> None:
        """Take note that the store came back from an older copy.

        Its row of the lease is of the time before, and may be older than grants that
        were given since: it says nothing, and there is none yet. Who has renewed the
        lease last may take it again at once, as until its term and the silence are
        over nobody can have taken it over. All others wait for both from now on: the
        last holder may not know yet.
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
        """Return a fencing number above all that were given, in earlier eras too."""
        base = 0 if self._era is None else self._era * FENCES_PER_ERA
        return max(self.fence, self._highest_fence, base) + 1

    def _may_take_without_row(self, now: float) -> bool:
        """Return whether grants of before the store came back have run out."""
        if self._was_holder:
            return True
        return now - self._era_since >= self.terms.takeover_wait

    def holds(self, now: float) -> bool:
        """Return whether an order may be sent at this moment."""
        return now < self._valid_until

    @property
    def has_row(self) -> bool:
        """Whether anyone has ever held the lease, as far as is known."""
        return self._row is not None

    @property
    def last_known_holder(self) -> str | None:
        """Who held the lease when its row was last seen."""
        return self._row.holder if self._row else None

    @property
    def is_holder(self) -> bool:
        """Whether the row, when last seen, named this instance."""
        return self._row is not None and self._row.holder == self.holder

    @property
    def fence(self) -> int:
        """The fencing number that each order carries."""
        return self._row.fence if self._row else 0

    def on_read(
        self, row: LeaseRow | None, version: int, now: float, age: float = 0.0
    ) -> None:
        """Take note of the row as it stands.

        :param age: seconds since its last renewal, where the store can tell.
        """
        if version != self._version or self._row is None:
            self._unchanged_since = now
        self._unchanged_since = min(self._unchanged_since, now - age)
        if row is None or self._row is None or not _is_same_grant(row, self._row):
            self._valid_until = float("-inf")
        self._row = row
        self._version = version

    def plan_write(self, now: float) -> LeaseWrite | None:
        """Return the write that would take or renew the lease, if it is time."""
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
            # Awake after a pause, or a late write of ours: take it afresh.
            fence = self._choose_fence()
            return LeaseWrite(LeaseRow(self.holder, fence, 0), self._version)
        if now - self._renewed_at < self.terms.renew_interval:
            return None
        renewed = row._replace(beat=row.beat + 1)
        return LeaseWrite(renewed, self._version)

    def on_write(
        self, write: LeaseWrite, outcome: StoreOutcome, sent_at: float
    ) -> bool:
        """Take the outcome of a write; return whether a fresh read is needed."""
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
