"""Compute how fast each service consumes its error budget."""

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
    """A time window that the burn rate is measured over."""

    label: str
    seconds: int


WINDOWS = (
    BurnWindow("5m", 5 * MINUTE),
    BurnWindow("1h", HOUR),
    BurnWindow("6h", 6 * HOUR),
    BurnWindow("3d", 3 * DAY),
)
# A page requires the burn rate of both windows to reach the threshold: the long window
# shows that the burn is significant, the short one that it is still happening.
PAGE_RULES = (("5m", "1h", 14.4), ("1h", "6h", 6.0), ("6h", "3d", 1.0))


class Counts(NamedTuple):
    """Request counts of one service and team in one bucket of time."""

    total: int = 0
    answered: int = 0
    in_time: int = 0

    def plus(self, other: Counts) -> Counts:
        """Return the sum of both counts."""
        return Counts(
            self.total + other.total,
            self.answered + other.answered,
            self.in_time + other.in_time,
        )


class BurnRow(NamedTuple):
    """The burn of one objective; rates are multiples of the rate the budget allows."""

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
    """Return the buckets with those older than the third window merged by the hour.

    Only the longest window reaches further back, and hours are fine enough for it.
    Without this, an instance would send one bucket for each minute of three days.
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
    """Sum the buckets of several instances; each instance must appear only once."""
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
    """Return the burn of each service, team and objective, the worst first.

    :param targets: for each service and objective, the required share of good requests.
    :param now: wall clock time (seconds), as used for the bucket numbers.
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
