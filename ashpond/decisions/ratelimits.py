"""Which rate limit of a backend server holds, as its answers name it."""

from __future__ import annotations

__all__ = [
    "NO_LIMIT",
    "PERMIT_SECONDS",
    "SERVER_BOUNDS",
    "RateLimit",
    "make_allowance",
    "plan_pause",
    "update_limit",
    "update_limit_from_peer",
]

import math
from typing import NamedTuple

from ashpond.decisions.allowances import (
    RETURN_SECONDS,
    Allowance,
    AllowanceBounds,
    AllowanceUnit,
)

# In any 4 s a server may get one and a half times what its limit allows and 5 requests
# besides; one is kept back for what reaches it late.
SERVER_BOUNDS = AllowanceBounds(window=4.0, overage=0.5, slack=4.0)
# A server whose limit is lower still gets so much (requests a second): only an answer
# tells that the limit has ended.
MIN_RATE = 0.1
# A permit that has not been used lapses (seconds).
PERMIT_SECONDS = RETURN_SECONDS
# News from peers may be so old when they arrive (seconds).
MAX_UPDATE_AGE_SECONDS = 1.0
# After a refusal the next permit is asked for when there should be one, and after each
# further refusal in a row half as late again, up to this (seconds).
MIN_PAUSE_SECONDS = 0.1
MAX_PAUSE_SECONDS = 15.0
PAUSE_FACTOR = 1.5
MAX_PAUSE_STEPS = 12


class RateLimit(NamedTuple):
    """The limit that a server is believed to have.

    :param rate: requests a second from all instances together, None if it has none.
    :param seen_at: when an answer last said so, on this process's clock (seconds).
    """

    rate: float | None = None
    seen_at: float = -math.inf


NO_LIMIT = RateLimit()


def update_limit(
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


def update_limit_from_peer(
    known: RateLimit, rate: float | None, age: float, now: float
) -> RateLimit:
    """Return the limit that holds after a notice of a peer.

    A limit is not believed where an answer that names none has been read here since: if
    it holds, the next answer names it as well.

    :param age: how long before the notice the request was sent whose answer it
        tells of (seconds).
    """
    sent_at = now - age
    if known.rate is None and sent_at < known.seen_at:
        return known
    return update_limit(known, rate, sent_at - MAX_UPDATE_AGE_SECONDS, now)


def make_allowance(rate: float) -> Allowance:
    """Return what all instances together may send to a server."""
    return Allowance(max(rate, MIN_RATE), unit=AllowanceUnit.SERVER_REQUESTS)


def plan_pause(retry_after: float | None, refusals: int, draw: float) -> float:
    """Return for how long to ask for no permit (seconds).

    Among hundreds of instances each gets one only now and then; to ask at each request
    would cost the keeper more than the requests.

    :param retry_after: when the keeper expects to have one (seconds).
    :param refusals: how many there have been in a row.
    :param draw: a random number from 0 to 1, so that not all ask at once.
    """
    pause = max(MIN_PAUSE_SECONDS, retry_after or 0.0)
    pause *= PAUSE_FACTOR ** min(refusals - 1, MAX_PAUSE_STEPS)
    return min(pause, MAX_PAUSE_SECONDS) * (1 + draw) / 2
