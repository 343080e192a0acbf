"""The values that decisions and clients return in place of exceptions."""

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
    """A final answer that is not a result.

    ``retry_after`` is in seconds; ``None`` means that a repeat will not help.
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
    """A condition of the operation did not hold; it had no effect.

    ``current`` maps each conflicting key to the row that stands there.
    """

    current: dict[str, Any]


class Unavailable(NamedTuple):
    """The operation certainly had no effect."""

    reason: str


class Unknown(NamedTuple):
    """The answer was lost: the operation may have taken effect, now or later."""

    reason: str


StoreOutcome = Done | Conflict | Unavailable | Unknown


class Answered(NamedTuple):
    """A backend server answered an attempt with an HTTP response."""

    response: Any


class NotRun(NamedTuple):
    """An attempt had no effect: never sent, or refused by the server itself.

    ``unreached`` tells that no connection to the server could be made. ``backoff`` is
    for how long the server asked for no request, None if it did not (seconds).
    """

    reason: str
    unreached: bool = False
    backoff: float | None = None


class MaybeRun(NamedTuple):
    """Bytes of an attempt left this instance and its result is not known.

    ``backoff`` is as in :class:`NotRun`.
    """

    reason: str
    backoff: float | None = None
