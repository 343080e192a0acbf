"""Limit how many engines load weights at once."""

from __future__ import annotations

__all__ = [
    "choose_loading_slots",
    "count_loading_slots",
    "count_needed_slots",
    "count_overdue_slots",
]

import math
from collections.abc import Iterable

# The share of the working engines that may load at once; the others carry the traffic.
# Loads take longer if more run at once (more than 2 of 5 or 18 of 45 engines).
LOADING_SHARE = 0.4
# Among many engines the share is lower: a load clears the engine's prefix cache, the
# prompts are prefilled again elsewhere, and prefilling slows down running answers.
MANY_ENGINES = 12
MANY_LOADING_SHARE = 0.3
# The share that may load at once if the time left requires it: the rest must be able to
# carry most of the traffic.
MAX_LOADING_SHARE = 0.5
# While a smaller share of the engines works, no loads start for some time.
WORKING_SHARE = 0.75
# Loads wait until enough engines work, but at most this long (seconds).
SLOT_WAIT_SECONDS = 3.0


def count_loading_slots(engines: int, working: int) -> int:
    """Return how many of ``engines`` may load at once if ``working`` of them work."""
    if working < engines * WORKING_SHARE:
        return 0
    share = MANY_LOADING_SHARE if engines > MANY_ENGINES else LOADING_SHARE
    return max(1, int(working * share))


def count_needed_slots(
    lags: Iterable[float], update_seconds: float, goal_seconds: float
) -> int:
    """Return how many engines must load at once so that each is updated in time.

    Those that are furthest behind load first.

    :param lags: for how long the weights of each outdated engine have been replaced.
    :param update_seconds: how long the update of one engine takes.
    :param goal_seconds: the lag at which each engine should be updated.
    """
    needed = 0
    for count, lag in enumerate(sorted(lags, reverse=True), start=1):
        seconds_left = max(0.0, goal_seconds - lag)
        rounds = max(1.0, seconds_left / update_seconds)
        needed = max(needed, math.ceil(count / rounds))
    return needed


def count_overdue_slots(engines: int) -> int:
    """Return how many of ``engines`` may load at once if they get no requests."""
    return max(1, int(engines * MAX_LOADING_SHARE))


def choose_loading_slots(
    engines: int, working: int, needed: int, longest_lag: float
) -> int:
    """Return how many engines may load at once.

    :param needed: how many must, by :func:`count_needed_slots`.
    :param longest_lag: that of the engine furthest behind that can load (seconds).
    """
    slots = count_loading_slots(engines, working)
    if not slots and longest_lag <= SLOT_WAIT_SECONDS:
        return 0
    possible = int(working * MAX_LOADING_SHARE)
    return max(1, slots, min(needed, possible))
