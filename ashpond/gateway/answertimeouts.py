"""How long an attempt waits for an answer, and what is learned of that."""

from __future__ import annotations

__all__ = ["RunTimes"]

import math
from typing import TYPE_CHECKING

import trio

from ashpond.decisions.servicetimes import ServiceTimes, make_kind
from ashpond.decisions.timeleft import choose_run_timeout, choose_silent_seconds

if TYPE_CHECKING:
    from ashpond.gateway.callprogress import CallProgress


class RunTimes:
    """The times that the attempt of one call may take, and has taken.

    :param times: what this instance has learned of such requests.
    """

    def __init__(self, call: CallProgress, times: ServiceTimes):
        self._call = call
        self._times = times
        demand = call.demand
        urgency = call.accepted.urgency
        self._kind = make_kind(demand.service, urgency, demand.prompt)

    def choose_timeout(self, retries_left: int) -> float:
        """Return after what time the run is ended; infinite if no other can finish.

        :param retries_left: how many retries this instance may send now.
        """
        call = self._call
        may_retry = call.route.is_idempotent and not call.is_suspected
        if not may_retry or retries_left <= 0:
            return math.inf
        runs_left = call.route.max_attempts - call.runs
        longest = self._times.estimate_longest(self._kind)
        return choose_run_timeout(self._measure_left(), runs_left, longest)

    def estimate_longest(self) -> float:
        """Return the time within which nearly all are answered, 0 if unknown."""
        return self._times.estimate_longest(self._kind)

    def choose_silent_seconds(self) -> float:
        """Return after what time without any byte the server is silent."""
        longest = self._times.estimate_longest_silence(
            self._kind
        ) or self._times.estimate_longest(self._kind)
        return choose_silent_seconds(self._measure_left(), longest)

    def note_begun(self, sent_at: float) -> None:
        """Record the first piece of a stream."""
        self._times.note_first_event(self._kind, trio.current_time() - sent_at)

    def note_ended(self, sent_at: float) -> None:
        """Record a whole answer, or a run that has taken as long without one."""
        self._times.note_answered(self._kind, trio.current_time() - sent_at)

    def _measure_left(self) -> float:
        return self._call.deadline - trio.current_time()
