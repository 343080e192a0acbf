"""Choose until when requests are sent to engines with replaced weights."""

from __future__ import annotations

__all__ = ["MAX_START_SHARE", "choose_sending_seconds"]

# The share of the weights' bound that is always left for a request to begin, and the
# share that is left at most, however long requests have waited lately.
MIN_START_SHARE = 0.15
MAX_START_SHARE = 0.25


def choose_sending_seconds(bound: float, longest_start: float) -> float:
    """Return for how long after a target requests are sent to older weights (seconds).

    A request that is sent begins later, when its engine has time for it.

    :param bound: time after which no request may begin on older weights (seconds).
    :param longest_start: time within which nearly all requests begin (seconds).
    """
    least, most = bound * MIN_START_SHARE, bound * MAX_START_SHARE
    return bound - min(most, max(least, longest_start))
