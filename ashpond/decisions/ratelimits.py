"""Which rate limit of a backend server holds, as its answers name it."""

from __future__ import annotations

__all__ = ["NO_LIMIT", "RateLimit", "weigh_limit"]

import math
from typing import NamedTuple


class RateLimit(NamedTuple):
    """The limit that a server is believed to have.

    :param rate: requests a second from all instances together, None if it has none.
    :param seen_at: when an answer last said so, on this process's clock (seconds).
    """

    rate: float | None = None
    seen_at: float = -math.inf


NO_LIMIT = RateLimit()


def weigh_limit(
    known: RateLimit, rate: float | None, sent_at: float, now: float
) -> RateLimit:
    """Return the limit that holds after an answer.

    Answers on several connections may be read in another order than the server wrote
    them. A lower limit holds at once; a higher one, or none, only if its request was
    sent after the present limit was last seen.

    :param rate: the limit that the answer names, None if it names none.
    :param sent_at: when the request of the answer was sent.
    """
    if rate == known.rate:
        return RateLimit(rate, now)
    is_lower = rate is not None and (known.rate is None or rate < known.rate)
    if is_lower or sent_at >= known.seen_at:
        return RateLimit(rate, now)
    return known
