"""Expected results of decisions and clients, returned instead of exceptions."""

from __future__ import annotations

__all__ = [
    "Answered",
    "Conflict",
    "Done",
    "MaybeRun",
    "NotRun",
    "Refusal",
    "RunState",
    "StoreOutcome",
    "Unavailable",
    "Unknown",
]

from enum import StrEnum
from typing import Any, NamedTuple


class RunState(StrEnum):
    """What is known about the effect of a request at a backend server."""

    NOT_RUN = "not_run"
    OUTCOME_UNKNOWN = "outcome_unknown"
    RUN = "run"


class Refusal(NamedTuple):
    """An error reply that ashpond itself gives to a request.

    ``kind`` is the error type that clients read. ``retry_after`` is in seconds;
    ``None`` means that a retry would be refused as well.
    """

    status: int
    kind: str
    message: str
    run: RunState = RunState.NOT_RUN
    retry_after: float | None = None


class Done(NamedTuple):
    """The platform carried out the operation; ``value`` is its result."""

    value: Any = None


class Conflict(NamedTuple):
    """A precondition of the operation failed, so it had no effect.

    ``current`` maps each conflicting key to the row that is stored under it.
    """

    current: dict[str, Any]


class Unavailable(NamedTuple):
    """The platform could not be used; the operation certainly had no effect."""

    reason: str


class Unknown(NamedTuple):
    """The answer was lost: the operation may have taken effect or still do so."""

    reason: str


StoreOutcome = Done | Conflict | Unavailable | Unknown


class Answered(NamedTuple):
    """A backend server answered an attempt with an HTTP response."""

    response: Any


class NotRun(NamedTuple):
    """An attempt had no effect: it was not sent, or the server refused it.

    ``unreached`` means that no connection to the server could be made. ``backoff`` is
    the time in seconds for which the server asked to get no requests, or None.
    """

    reason: str
    unreached: bool = False
    backoff: float | None = None


class MaybeRun(NamedTuple):
    """An attempt was sent, at least in part, and its result is not known.

    ``backoff`` is as in :class:`NotRun`.
    """

    reason: str
    backoff: float | None = None
