"""The values that describe a request to a coordinator, and its decision."""

from __future__ import annotations

__all__ = ["PlacementEvent", "PlacementRefusal", "PlacementTerms"]

from enum import IntEnum
from typing import NamedTuple


class PlacementTerms(NamedTuple):
    """What the caller of a request needs, and who it is.

    ``arrived_at`` and ``deadline`` are on this process's clock. ``longest_pause`` is
    the pause after which the client closes its stream, 0 for other calls (seconds).
    ``team`` and ``fingerprint`` are empty if unknown; the latter is for the log.
    """

    urgency: int
    team: str
    fingerprint: str
    arrived_at: float
    deadline: float
    longest_pause: float = 0.0


class PlacementRefusal(NamedTuple):
    """A coordinator's decision that a request cannot be served.

    ``retry_after`` is when the client may return (seconds), None if no time that it
    can wait for would help.
    """

    reason: str
    retry_after: float | None


class PlacementEvent(IntEnum):
    """What has happened to a granted placement."""

    # The first event of the answer has arrived, so the prompt is read.
    READ = 0
    ANSWERED = 1
    FAILED = 2
    # The server rejected the request without running it.
    REJECTED = 3
    # The request was not sent.
    UNUSED = 4
