"""The current rate limit of a backend server, as stated in its answers."""

from __future__ import annotations

__all__ = [
    "NO_LIMIT",
    "PERMIT_SECONDS",
    "SERVER_BOUNDS",
    "RateLimit",
    "limit_pause",
    "make_allowance",
    "plan_pause",
    "update_limit",
    "update_limit_from_peer",
]

import math
from typing import NamedTuple

from ashpond.decisions.allowances import (
    REFUND_SECONDS,
    Allowance,
    AllowanceBounds,
    AllowanceUnit,
)

# In any 4 s, a server may get one and a half times the requests that its limit allows,
# plus 5. One of the 5 is reserved for requests that reach the server late.
SERVER_BOUNDS = AllowanceBounds(window=4.0, overage=0.5, slack=4.0)
# A server with a lower limit still gets this rate (requests per second), as only an
# answer shows that the limit has been lifted.
MIN_RATE = 0.1
# An unused permit expires after this (seconds).
PERMIT_SECONDS = REFUND_SECONDS
# The greatest age that a peer's notice may have when it arrives (seconds).
MAX_NOTICE_AGE_SECONDS = 1.0
# After a refusal, the next permit is requested when one is expected to be available.
# Each further refusal in a row multiplies the pause by 1.5, within these limits
# (seconds).
MIN_PAUSE_SECONDS = 0.1
MAX_PAUSE_SECONDS = 15.0
PAUSE_FACTOR = 1.5
MAX_PAUSE_STEPS = 12
# How many permits all instances together request for each one that there is, at least.
REQUESTS_PER_PERMIT = 6


class RateLimit(NamedTuple):
    """The rate limit of a server, as far as this instance knows.

    :param rate: requests per second from all instances together, None if unlimited.
    :param seen_at: when an answer last confirmed it, on this process's clock (seconds).
    """

    rate: float | None = None
    seen_at: float = -math.inf


NO_LIMIT = RateLimit()


def update_limit(
    known: RateLimit, rate: float | None, sent_at: float, now: float
) -> RateLimit:
    """Return the limit that applies after an answer.

    Answers on several connections may be read in another order than the server wrote
    them. A lower limit applies at once; a higher one, or none, applies only if the
    request was sent after the known limit was last seen.

    :param rate: the limit in the answer, None if there is none.
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
    """Return the limit that applies after a peer's notice.

    The notice is ignored if this instance has since read an answer without a limit: if
    the limit still applies, the next answer contains it as well.

    :param age: the time since the peer sent the request whose answer contained the
        limit (seconds).
    """
    sent_at = now - age
    if known.rate is None and sent_at < known.seen_at:
        return known
    return update_limit(known, rate, sent_at - MAX_NOTICE_AGE_SECONDS, now)


def make_allowance(rate: float) -> Allowance:
    """Return the allowance of requests that all instances share for a server."""
    return Allowance(max(rate, MIN_RATE), unit=AllowanceUnit.SERVER_REQUESTS)


def limit_pause(rate: float, instances: int) -> float:
    """Return the longest pause between two requests for a permit (seconds).

    Few instances that have all been refused would otherwise pause together while
    permits expire, and only an answer shows that a limit was lifted: six instances sent
    a server with 1.5 requests per second nothing for 2.8 s. Within these pauses, the
    instances together request several times as many permits as there are.

    :param rate: the server's limit (requests per second).
    :param instances: the number of instances that share the limit.
    """
    pause = instances / (max(rate, MIN_RATE) * REQUESTS_PER_PERMIT)
    return min(MAX_PAUSE_SECONDS, max(MIN_PAUSE_SECONDS, pause))


def plan_pause(
    retry_after: float | None, refusals: int, draw: float, longest: float
) -> float:
    """Return the pause before the next request for a permit (seconds).

    Among hundreds of instances, each rarely gets a permit. Asking for one with every
    request would cost the coordinator more work than the requests themselves.

    :param retry_after: when the coordinator expects to have a permit (seconds).
    :param refusals: the number of refusals in a row.
    :param draw: a random number from 0 to 1, so that instances do not ask all at once.
    :param longest: the longest pause, see :func:`limit_pause` (seconds).
    """
    pause = max(MIN_PAUSE_SECONDS, retry_after or 0.0)
    pause *= PAUSE_FACTOR ** min(refusals - 1, MAX_PAUSE_STEPS)
    return min(pause, longest) * (1 + draw) / 2
