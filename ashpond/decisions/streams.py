"""Keep a stream complete and in order over cuts and repeats."""

from __future__ import annotations

__all__ = ["Continue", "EventAction", "EventSequence", "Fail", "plan_continuation"]

from enum import Enum
from typing import NamedTuple

MAX_RESUMES = 5


class EventAction(Enum):
    """What to do with an event of an upstream answer."""

    FORWARD = "forward"
    DUPLICATE = "duplicate"
    GAP = "gap"


class EventSequence:
    """The number of the last event that was passed on, starting from 0."""

    def __init__(self, after: int = 0):
        self.last = after

    def check(self, number: int) -> EventAction:
        """Judge an event by its number; a forwarded one becomes the last."""
        if number <= self.last:
            return EventAction.DUPLICATE
        if number > self.last + 1:
            return EventAction.GAP
        self.last = number
        return EventAction.FORWARD


class Continue(NamedTuple):
    """Go on after event ``after``, on the same engine or on another one."""

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
    """Decide how a stream that was cut goes on.

    :param engine_lost: the engine cannot be reached, or no longer has it.
    """
    if resumes >= MAX_RESUMES:
        return Fail("the stream was cut too often")
    if not engine_lost:
        return Continue(same_engine=True, after=last)
    if repeatable and (exact_resume or last == 0):
        return Continue(same_engine=False, after=last)
    return Fail("the engine was lost and no other one can continue exactly")
