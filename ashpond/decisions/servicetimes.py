"""Estimate what a request takes of a server, and how long it takes there.

The load is streams whose first event comes after 0.03 s and whose last after 3.5 s,
beside long prompts whose answers are short: a request occupies its server until the
last event.
"""

from __future__ import annotations

__all__ = ["RequestKind", "ServiceTimes", "estimate_cost", "make_kind"]

from typing import NamedTuple

from ashpond.decisions.learnedtimes import LearnedTime
from ashpond.decisions.prompts import Prompt
from ashpond.decisions.servercosts import SHORT_TOKENS

# Most answers come within the mean and this many mean deviations; nearly all within the
# latter number, as in the retransmission timeout of TCP (RFC 6298).
MOST_DEVIATIONS = 2.0
ALL_DEVIATIONS = 4.0


class RequestKind(NamedTuple):
    """Requests that take about the same time."""

    service: str
    urgency: int
    has_long_prompt: bool


class ServiceTimes:
    """The times from the start of a request to its first event and its answer."""

    def __init__(self) -> None:
        self._events: dict[RequestKind, LearnedTime] = {}
        self._answers: dict[RequestKind, LearnedTime] = {}

    def note_first_event(self, kind: RequestKind, seconds: float) -> None:
        """Record when the answer to a request began."""
        self._events.setdefault(kind, LearnedTime()).note(seconds)

    def note_answered(self, kind: RequestKind, seconds: float) -> None:
        """Record when a request was answered."""
        self._answers.setdefault(kind, LearnedTime()).note(seconds)

    def get_service_seconds(self, kind: RequestKind) -> float:
        """Return the mean time to the answer, 0 if it isn't known."""
        time = self._answers.get(kind)
        return time.seconds if time else 0.0

    def estimate_most(self, kind: RequestKind) -> float:
        """Return the time within which most are answered, 0 if it isn't known."""
        time = self._answers.get(kind)
        return time.find_bound(MOST_DEVIATIONS) if time else 0.0

    def estimate_needed(self, kind: RequestKind, prompt: Prompt | None) -> float:
        """Return the time without which a request is not started, 0 if unknown.

        A plain answer that comes after the deadline is of no use to its caller, so that
        most must be answered by then. A stream that is cut off at its deadline has
        brought most of its events, and their number differs: the mean must be left.
        """
        if prompt is None:
            return self.estimate_most(kind)
        return self.get_service_seconds(kind)

    def estimate_longest(self, kind: RequestKind) -> float:
        """Return the time within which nearly all are answered, 0 if it isn't known."""
        time = self._answers.get(kind)
        return time.find_bound(ALL_DEVIATIONS) if time else 0.0

    def estimate_longest_silence(self, kind: RequestKind) -> float:
        """Return the time within which nearly all answers begin, 0 if unknown."""
        time = self._events.get(kind)
        return time.find_bound(ALL_DEVIATIONS) if time else 0.0

    def estimate_longest_start(self) -> float:
        """Return the time within which nearly all answers begin, of the slowest kind.

        Kinds with few answers don't count; 0 if there is no other.
        """
        settled = [time for time in self._events.values() if time.is_settled]
        return max((time.find_bound(ALL_DEVIATIONS) for time in settled), default=0.0)


def make_kind(service: str, urgency: int, prompt: Prompt | None) -> RequestKind:
    """Return the kind of a request."""
    is_long = prompt is not None and prompt.tokens > SHORT_TOKENS
    return RequestKind(service, urgency, is_long)


def estimate_cost(
    prompt: Prompt | None, reusable_tokens: int, read_rate: float, work_seconds: float
) -> float:
    """Return the server seconds that a request takes.

    They are the time that an engine reads for it, or that one slot of a plain server
    works on it.

    :param reusable_tokens: how many prompt tokens are cached or can be fetched.
    :param read_rate: prompt tokens a second of a usual engine of the service.
    :param work_seconds: the work time of a usual plain server of the service.
    """
    if prompt is None:
        return work_seconds
    return max(0, prompt.tokens - reusable_tokens) / read_rate
