"""Work out how fast each service uses up its error budget."""

from __future__ import annotations

__all__ = [
    "BUCKET_SECONDS",
    "PAGE_RULES",
    "WINDOWS",
    "BurnRow",
    "BurnWindow",
    "Counts",
    "coarsen_counts",
    "compute_burn",
    "count_outcome",
    "merge_counts",
]

from collections.abc import Iterable, Mapping
from typing import NamedTuple

BUCKET_SECONDS = 60
MINUTE = 60
HOUR = 3600
BUCKETS_PER_HOUR = HOUR // BUCKET_SECONDS
DAY = 86_400


class BurnWindow(NamedTuple):
    """A span of time that burn is measured over."""

    label: str
    seconds: int


WINDOWS = (
    BurnWindow("5m", 5 * MINUTE),
    BurnWindow("1h", HOUR),
    BurnWindow("6h", 6 * HOUR),
    BurnWindow("3d", 3 * DAY),
)
# A page needs both windows of a pair over the threshold: the long one shows
# that it matters, the short one that it still goes on.
PAGE_RULES = (("5m", "1h", 14.4), ("1h", "6h", 6.0), ("6h", "3d", 1.0))


class Counts(NamedTuple):
    """Requests of one service and team in one bucket of time."""

    total: int = 0
    answered: int = 0
    in_time: int = 0

    def plus(self, other: Counts) -> Counts:
        """Return the sum."""
        return Counts(
            self.total + other.total,
            self.answered + other.answered,
            self.in_time + other.in_time,
        )


class BurnRow(NamedTuple):
    """The burn of one objective; rates are multiples of what the budget allows."""

    service: str
    team: str
    objective: str
    target: float
    rates: dict[str, float]
    total: int
    budget_left: float
    pages: str


BucketKey = tuple[str, str, int]


def count_outcome(*, answered: bool, in_time: bool) -> Counts:
    """Return the counts of one request."""
    return Counts(1, int(answered), int(answered and in_time))


def coarsen_counts(
    buckets: Mapping[BucketKey, Counts], newest: int
) -> dict[BucketKey, Counts]:
    """Return the buckets with those beyond the third window added up by hours.

    Only the longest window reaches so far back, and an hour is fine enough for
    it; without this an instance would write out every minute of three days.
    """
    fine_from = newest - WINDOWS[-2].seconds // BUCKET_SECONDS - BUCKETS_PER_HOUR
    coarse: dict[BucketKey, Counts] = {}
    for (service, team, bucket), counts in buckets.items():
        if bucket < fine_from:
            bucket -= bucket % BUCKETS_PER_HOUR
        key = (service, team, bucket)
        coarse[key] = coarse.get(key, Counts()).plus(counts)
    return coarse


def merge_counts(
    parts: Iterable[Mapping[BucketKey, Counts]],
) -> dict[BucketKey, Counts]:
    """Add up the buckets of several instances, each told once."""
    merged: dict[BucketKey, Counts] = {}
    for part in parts:
        for key, counts in part.items():
            merged[key] = merged.get(key, Counts()).plus(counts)
    return merged


def compute_burn(
    buckets: Mapping[BucketKey, Counts],
    targets: Mapping[str, Mapping[str, float]],
    now: float,
) -> list[BurnRow]:
    """Return the burn of each service, team and objective, worst first.

    :param targets: for each service, each objective's share that must be good.
    :param now: wall clock, in seconds, that the buckets' numbers count from.
    """
    rows = []
    pairs = sorted({(service, team) for service, team, _ in buckets})
    for service, team in pairs:
        sums = {
            window.label: _sum_window(buckets, service, team, window, now)
            for window in WINDOWS
        }
        for objective, target in targets.get(service, {}).items():
            rows.append(_make_row(service, team, objective, target, sums))
    return sorted(rows, key=lambda row: row.budget_left)


def _sum_window(
    buckets: Mapping[BucketKey, Counts],
    service: str,
    team: str,
    window: BurnWindow,
    now: float,
) -> Counts:
    total = Counts()
    oldest = (now - window.seconds) / BUCKET_SECONDS
    for (row_service, row_team, bucket), counts in buckets.items():
        if row_service == service and row_team == team and bucket >= oldest:
            total = total.plus(counts)
    return total


def _make_row(
    service: str, team: str, objective: str, target: float, sums: dict[str, Counts]
) -> BurnRow:
    rates = {
        label: _compute_rate(counts, objective, target)
        for label, counts in sums.items()
    }
    longest = WINDOWS[-1].label
    pages = ""
    for short, long, threshold in PAGE_RULES:
        if min(rates[short], rates[long]) >= threshold:
            pages = f"{short}+{long}"
            break
    left = 1.0 - rates[longest]
    total = sums[longest].total
    return BurnRow(service, team, objective, target, rates, total, left, pages)


def _compute_rate(counts: Counts, objective: str, target: float) -> float:
    if not counts.total:
        return 0.0
    good = counts.answered if objective == "answered" else counts.in_time
    bad_share = 1 - good / counts.total
    return bad_share / (1 - target)
