"""How many engines may load weights at once, as few of them work."""

from __future__ import annotations

__all__ = ["count_loading_slots"]

# Of the engines that work, this share may be loading; the rest carries the traffic.
# Loads take longer when more than that run at once (site sheets: 2 of 5, 18 of 45).
LOADING_SHARE = 0.4
# Of many engines fewer: what one holds is lost with its load and read again, and
# engines that read much slow down what they answer (measured, see the figures).
MANY_ENGINES = 12
MANY_LOADING_SHARE = 0.3
# While fewer than this share of the engines work, loads wait for them to return.
WORKING_SHARE = 0.75


def count_loading_slots(engines: int, working: int) -> int:
    """Return how many of ``engines`` may load while ``working`` of them work."""
    if working < engines * WORKING_SHARE:
        return 0
    share = MANY_LOADING_SHARE if engines > MANY_ENGINES else LOADING_SHARE
    return max(1, int(working * share))
