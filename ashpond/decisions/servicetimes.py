"""Estimate what a request takes of a server, and how long it takes there.

The load is streams whose first event comes after 0.03 s and whose last after 3.5 s,
beside long prompts whose answers are short: a request is in time by its first event,
but occupies its server until the last.
"""

from __future__ import annotations

__all__ = ["RequestKind", "ServiceTimes", "estimate_cost", "make_kind"]

from typing import NamedTuple

from ashpond.decisions.prompts import Prompt
from ashpond.decisions.servercosts import SHORT_TOKENS

# The weight of one answer in the mean of its kind: it follows a change within some
# twenty answers, and one that takes 2.5 times as long changes it by 8%.
SMOOTHING = 0.05
# The mean counts each of the first answers as much as the others.
FIRST_ANSWERS = 20


class RequestKind(NamedTuple):
    """Requests that take about the same time."""

    service: str
    urgency: int
    has_long_prompt: bool


class _Mean:
    """A mean that follows changes (seconds)."""

    def __init__(self) -> None:
        self.seconds = 0.0
        self._count = 0

    def note(self, seconds: float) -> None:
        self._count = min(FIRST_ANSWERS, self._count + 1)
        weight = max(SMOOTHING, 1.0 / self._count)
        self.seconds += weight * (seconds - self.seconds)


class ServiceTimes:
    """The mean times from the start of a request to its first event and its answer."""

    def __init__(self) -> None:
        self._events: dict[RequestKind, _Mean] = {}
        self._answers: dict[RequestKind, _Mean] = {}

    def note_first_event(self, kind: RequestKind, seconds: float) -> None:
        """Record when the answer to a request began."""
        self._events.setdefault(kind, _Mean()).note(seconds)

    def note_answered(self, kind: RequestKind, seconds: float) -> None:
        """Record when a request was answered."""
        self._answers.setdefault(kind, _Mean()).note(seconds)

    def get_event_seconds(self, kind: RequestKind) -> float:
        """Return the time to the first event, 0 if it isn't known."""
        mean = self._events.get(kind)
        return mean.seconds if mean else 0.0

    def get_service_seconds(self, kind: RequestKind) -> float:
        """Return the time to the answer, 0 if it isn't known."""
        mean = self._answers.get(kind)
        return mean.seconds if mean else 0.0


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
