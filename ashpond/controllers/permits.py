"""Permits for requests to backend servers that name a rate limit."""

from __future__ import annotations

__all__ = ["PermitSource", "Permits", "grant_without_limit"]

import random
from collections.abc import Callable
from typing import TYPE_CHECKING, Protocol

import trio

from ashpond.decisions.ratelimits import make_allowance, plan_pause

if TYPE_CHECKING:
    from ashpond.clients.keeper import AllowanceVerdict
    from ashpond.controllers.directory import ServerState
    from ashpond.decisions.allowances import Allowance

# A keeper that answers later is not waited for: other servers are there (seconds).
ANSWER_TIMEOUT_SECONDS = 0.15
# When a permit that no keeper answered for is asked for again (seconds).
UNANSWERED_PAUSE_SECONDS = 0.3
# Keepers need so long to get the first of all instances' time (seconds).
FIRST_PERMIT_SECONDS = 0.3
# Requests that find no permit are not promised one that comes later (seconds).
MAX_PERMIT_WAIT_SECONDS = 2.0


class PermitSource(Protocol):
    """Whom permits are asked from."""

    def open_links(self) -> None:
        """Connect to whoever decides."""

    async def request_permit(
        self, start_id: str, allowance: Allowance, urgency: int, timeout: float
    ) -> AllowanceVerdict | None:
        """Return a verdict, None if there is none in time."""


class Permits:
    """Asks the keepers of allowances before requests go to limited servers.

    :param count: counts an outcome of asking.
    :param wake: looks for places for calls that wait.
    """

    def __init__(
        self,
        permit_source: PermitSource,
        count: Callable[[str], None],
        rng: random.Random,
        wake: Callable[[], None],
    ):
        self._permit_source = permit_source
        self._count = count
        self._rng = rng
        self._wake = wake

    def on_limit(self, state: ServerState, before: float | None) -> None:
        """Take a server's new limit.

        :param before: the limit before it, None if there was none.
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

        If not, the server gets none from here for a while.
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
            self._pace(state, UNANSWERED_PAUSE_SECONDS)
            return False
        if verdict.is_granted:
            self._count("granted")
            state.permit_refusals = 0
            return True
        self._count("refused")
        state.permit_refusals += 1
        jitter = self._rng.random()
        pause = plan_pause(verdict.retry_after, state.permit_refusals, jitter)
        self._pace(state, pause)
        return False

    def _pace(self, state: ServerState, seconds: float) -> None:
        if state.is_limited:
            state.permit_pause_until = trio.current_time() + seconds


async def grant_without_limit(state: ServerState, urgency: int) -> bool:
    """Grant a permit without asking, where no server names a limit."""
    return True
