"""Permits for requests to backend servers with a rate limit."""

from __future__ import annotations

__all__ = ["PermitSource", "Permits", "grant_without_limit"]

import random
from collections.abc import Callable
from typing import TYPE_CHECKING, Protocol

import trio

from ashpond.decisions.ratelimits import limit_pause, make_allowance, plan_pause

if TYPE_CHECKING:
    from ashpond.clients.coordinator import AllowanceDecision
    from ashpond.controllers.directory import ServerState
    from ashpond.decisions.allowances import Allowance

# How long to wait for a coordinator's answer: rather than wait longer, the request
# goes to another server (seconds).
ANSWER_TIMEOUT_SECONDS = 0.15
# How long no permit is requested for a server after no answer has come (seconds).
UNANSWERED_PAUSE_SECONDS = 0.3
# How long no permit is requested for a newly limited server, until its coordinator
# has received the first accrued time of all instances (seconds).
FIRST_PERMIT_SECONDS = 0.3
# A coordinator promises a refused request a permit only within this time (seconds).
MAX_PERMIT_WAIT_SECONDS = 2.0


class PermitSource(Protocol):
    """Decides on permits."""

    def open_links(self) -> None:
        """Connect to the coordinators."""

    async def request_permit(
        self, start_id: str, allowance: Allowance, urgency: int, timeout: float
    ) -> AllowanceDecision | None:
        """Return the verdict, None if there is no answer in time."""


class Permits:
    """Requests a permit before each request to a server with a rate limit.

    :param count: counts the outcome of a request for a permit.
    :param wake: wakes calls that wait for a server.
    :param count_instances: returns the number of instances in the fleet.
    """

    def __init__(
        self,
        permit_source: PermitSource,
        count: Callable[[str], None],
        rng: random.Random,
        wake: Callable[[], None],
        count_instances: Callable[[], int],
    ):
        self._permit_source = permit_source
        self._count = count
        self._rng = rng
        self._wake = wake
        self._count_instances = count_instances

    def on_limit(self, state: ServerState, before: float | None) -> None:
        """Adapt to a change of a server's rate limit.

        :param before: the previous limit (requests per second), None if there was none.
        """
        state.permit_refusals = 0
        rate = state.rate_limit.rate
        if rate is not None and before is None:
            self._permit_source.open_links()
            state.permit_pause_until = trio.current_time() + FIRST_PERMIT_SECONDS
        elif rate is None or (before is not None and rate > before):
            state.permit_pause_until = 0.0
            self._wake()

    async def take(self, state: ServerState, urgency: int) -> bool:
        """Return whether a request may be sent to a server now.

        If not, this instance sends it none until a pause has passed.
        """
        rate = state.rate_limit.rate
        if rate is None:
            return True
        verdict = None
        with trio.move_on_after(ANSWER_TIMEOUT_SECONDS):
            verdict = await self._permit_source.request_permit(
                state.info.start_id,
                make_allowance(rate),
                urgency,
                MAX_PERMIT_WAIT_SECONDS,
            )
        if verdict is None:
            self._count("unanswered")
            self._pause(state, UNANSWERED_PAUSE_SECONDS)
            return False
        if verdict.is_granted:
            self._count("granted")
            state.permit_refusals = 0
            return True
        self._count("refused")
        state.permit_refusals += 1
        jitter = self._rng.random()
        longest = limit_pause(rate, self._count_instances())
        pause = plan_pause(verdict.retry_after, state.permit_refusals, jitter, longest)
        self._pause(state, pause)
        return False

    def _pause(self, state: ServerState, seconds: float) -> None:
        if state.is_limited:
            state.permit_pause_until = trio.current_time() + seconds


async def grant_without_limit(state: ServerState, urgency: int) -> bool:
    """Grant a permit where no server has a rate limit."""
    return True
