"""What the time that a caller has left allows.

The arguments are times of the caller, of the work and of what clients accept; how soon
the operator hopes for an answer is not among them.
"""

from __future__ import annotations

__all__ = [
    "MIN_ATTEMPT_SECONDS",
    "MIN_RUN_SECONDS",
    "MIN_SILENT_SECONDS",
    "choose_longest_gap",
    "choose_reconnect_pause",
    "choose_resend_pause",
    "choose_retry_after",
    "choose_run_timeout",
    "choose_silent_seconds",
    "spread_by_id",
]

import math
import zlib

# No attempt is made with less time than this before the deadline (seconds).
MIN_ATTEMPT_SECONDS = 0.02
# A run isn't ended sooner than after this, or its share of the time left if that is
# shorter (seconds): a server or a network may pause for so long without being lost, and
# a run that is ended for that uses a retry that all requests share (RFC 6298, 2.4).
MIN_RUN_SECONDS = 1.0
# Clients wait for a Retry-After of at most this share of the time that they have left.
MAX_RETRY_SHARE = 1 / 3
# The least Retry-After (seconds).
MIN_RETRY_SECONDS = 0.05
# Of a request that waits on, nothing must have come for so long (seconds): prompts in
# the queue of an engine take less.
MIN_SILENT_SECONDS = 1.2
# The pause before a request that servers have rejected is sent once more, beyond the
# servers that it may try in turn (seconds). It doubles with each further rejection.
RESEND_PAUSE_SECONDS = 0.15
# The pause before a request that could not be sent to several servers is tried at the
# next one (seconds). It doubles with each further one, so that an instance that reaches
# none does not try them all for each request.
RECONNECT_PAUSE_SECONDS = 0.01
# Clients close a stream after a pause of this length, or of so many of the longest
# pauses that the route allows, whichever is longer (seconds, a number).
CLOSING_GAP_SECONDS = 2.0
CLOSING_GAP_PAUSES = 8


def choose_run_timeout(left: float, runs_left: int, longest: float) -> float:
    """Return after what time a run is ended, so that another one can still finish.

    Infinite if no other could: the run may yet answer before the deadline.

    :param left: the time before the caller's deadline (seconds).
    :param runs_left: how many runs are allowed, this one included.
    :param longest: the time within which nearly all such runs are answered, 0 if that
        is unknown (seconds).
    """
    if runs_left <= 1:
        return math.inf
    share = left / runs_left
    if not longest:
        return max(MIN_ATTEMPT_SECONDS, share)
    if left < 2 * longest:
        return math.inf
    return max(longest, min(MIN_RUN_SECONDS, share))


def choose_silent_seconds(left: float, longest: float) -> float:
    """Return after what time without any byte the server of a run is silent.

    :param left: the time before the caller's deadline (seconds).
    :param longest: the time within which nearly all answers begin, 0 if that is
        unknown (seconds).
    """
    return max(MIN_SILENT_SECONDS, longest or left / 2)


def choose_retry_after(wait: float, left: float, spread: float) -> float | None:
    """Return when a refused client may return (seconds), None if no time helps.

    :param wait: when a server may have room, infinite if that is unknown (seconds).
    :param left: the time before the caller's deadline (seconds).
    :param spread: from 0 to 1, at random, so that clients don't return together.
    """
    latest = left * MAX_RETRY_SHARE
    if math.isinf(wait):
        wait = latest / 2
    soonest = max(wait, MIN_RETRY_SECONDS)
    if soonest > latest:
        return None
    return soonest + spread * (min(latest, 2 * soonest) - soonest)


def choose_resend_pause(rejections: int, server_limit: int) -> float:
    """Return how long a request waits after its latest rejection (seconds).

    Each rejected sending uses the retry budget that all requests share.

    :param server_limit: how many servers may be tried in turn.
    """
    surplus = rejections - server_limit
    return RESEND_PAUSE_SECONDS * 2**surplus if surplus >= 0 else 0.0


def choose_reconnect_pause(failures: int, server_limit: int) -> float:
    """Return how long a request waits after it could not be sent (seconds).

    :param failures: how many servers it could not be sent to.
    :param server_limit: how many servers may be tried in turn.
    """
    surplus = failures - server_limit
    return RECONNECT_PAUSE_SECONDS * 2**surplus if surplus >= 0 else 0.0


def spread_by_id(request_id: str) -> float:
    """Return a number from 0 to 1 that differs between requests."""
    return zlib.crc32(request_id.encode(errors="replace")) / 2**32


def choose_longest_gap(longest_pause: float) -> float:
    """Return the pause after which clients close a stream (seconds).

    :param longest_pause: the longest one that the route allows, 0 if it sets none.
    """
    return max(CLOSING_GAP_SECONDS, CLOSING_GAP_PAUSES * longest_pause)
