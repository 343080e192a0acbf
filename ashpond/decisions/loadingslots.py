"""Limit how many engines load weights at once."""

from __future__ import annotations

__all__ = ["count_loading_slots"]

# The share of the working engines that may load at once; the others carry the traffic.
# Loads take longer if more run at once (more than 2 of 5 or 18 of 45 engines).
LOADING_SHARE = 0.4
# Among many engines the share is lower: a load clears the engine's prefix cache, the
# prompts are prefilled again elsewhere, and prefilling slows down running answers.
MANY_ENGINES = 12
MANY_LOADING_SHARE = 0.3
# While a smaller share of the engines works, no loads start.
WORKING_SHARE = 0.75


def count_loading_slots(engines: int, working: int) -> int:
    """Return how many of ``engines`` may load at once if ``working`` of them work."""
    if working < engines * WORKING_SHARE:
        return 0
    share = MANY_LOADING_SHARE if engines > MANY_ENGINES else LOADING_SHARE
    return max(1, int(working * share))
