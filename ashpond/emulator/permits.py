"""The coordinator of the emulated instances' permits, reachable at all times."""

from __future__ import annotations

__all__ = ["EmulatedCoordinator"]

import random

import trio

from ashpond.clients.coordinator import AllowanceDecision
from ashpond.decisions.allowances import (
    Allowance,
    Granted,
    Ledger,
    TimeSpan,
    plan_accrual,
)
from ashpond.decisions.ratelimits import SERVER_BOUNDS

# How often instances hand over their accrued time (seconds).
HAND_OVER_SECONDS = 0.25


class EmulatedCoordinator:
    """Grants permits like the coordinator of a fleet whose instances all report to it.

    :param delay: the network delay between instances, one way (seconds).
    """

    def __init__(self, delay: float, rng: random.Random):
        self._delay = delay
        self._rng = rng
        self._ledger = Ledger()

    async def run(self) -> None:
        """Receive the accrued time of all instances until cancelled."""
        begin = trio.current_time()
        while True:
            await trio.sleep(HAND_OVER_SECONDS)
            now = trio.current_time()
            self._ledger.receive(TimeSpan(begin, now), 1.0, now)
            begin = now

    def open_links(self) -> None:
        """Do nothing: instances are always connected to the coordinator."""

    async def request_permit(
        self, start: str, allowance: Allowance, urgency: int, patience: float
    ) -> AllowanceDecision:
        """Return whether a request may be sent to a server that has a rate limit."""
        await trio.sleep(2 * self._delay)
        now = trio.current_time()
        accrual = plan_accrual(allowance, SERVER_BOUNDS)
        draw = self._rng.random()
        outcome = self._ledger.spend(
            start, allowance, accrual, 1, urgency, patience, draw, now
        )
        if isinstance(outcome, Granted):
            return AllowanceDecision(0, True, None, 0.0, 0.0)
        return AllowanceDecision(
            0, False, outcome.retry_after, outcome.remaining, outcome.share
        )
