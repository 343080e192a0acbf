"""Keep a stream complete and in order across interruptions and retries."""

from __future__ import annotations

__all__ = ["Continue", "EventAction", "EventSequence", "Fail", "plan_continuation"]

from enum import Enum
from typing import NamedTuple

MAX_RESUMES = 5


class EventAction(Enum):
    """The action to take on an event of an engine's answer."""

    FORWARD = "forward"
    DUPLICATE = "duplicate"
    GAP = "gap"


class EventSequence:
    """Checks event numbers; ``last`` is that of the last event forwarded, 0 if none."""

    def __init__(self, after: int = 0):
        self.last = after

    def check(self, number: int) -> EventAction:
        """Return the action for an event; one to be forwarded becomes the last."""
        if number <= self.last:
            return EventAction.DUPLICATE
        if number > self.last + 1:
            return EventAction.GAP
        self.last = number
        return EventAction.FORWARD


class Continue(NamedTuple):
    """Resume after event ``after`` at the same engine or at another one."""

    same_engine: bool
    after: int


class Fail(NamedTuple):
    """End the stream with an error event."""

    reason: str


def plan_continuation(
    *,
    last: int,
    resumes: int,
    engine_lost: bool,
    repeatable: bool,
    exact_resume: bool,
) -> Continue | Fail:
    """Decide how an interrupted stream continues.

    :param last: the number of the last event forwarded.
    :param resumes: how often the stream has been resumed already.
    :param engine_lost: whether the engine is unreachable or no longer has the stream.
    :param repeatable: whether the request may run again.
    :param exact_resume: whether another engine continues with exactly the same events.
    """
    if resumes >= MAX_RESUMES:
        return Fail("the stream was cut too often")
    if not engine_lost:
        return Continue(same_engine=True, after=last)
    if repeatable and (exact_resume or last == 0):
        return Continue(same_engine=False, after=last)
    return Fail("the engine was lost and no other one can continue exactly")
