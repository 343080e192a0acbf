"""Decide whether a failed attempt is retried, and after which pause."""

from __future__ import annotations

__all__ = ["GiveUp", "RetryAfter", "RetryBudget", "decide_retry"]

import random
from typing import NamedTuple

from ashpond.outcomes import MaybeRun, NotRun

BACKOFF_BASE_SECONDS = 0.02
BACKOFF_LIMIT_SECONDS = 1.0
BUDGET_BURST = 10.0


class RetryAfter(NamedTuple):
    """Retry after ``pause`` seconds, at another server if there is one."""

    pause: float


class GiveUp(NamedTuple):
    """Stop retrying and answer the client."""

    reason: str


class RetryBudget:
    """Allows retries up to a share of the first attempts, plus a small burst."""

    def __init__(self, share: float):
        self.share = share
        self._tokens = BUDGET_BURST

    def note_first_attempt(self) -> None:
        """Count the first attempt of a request."""
        self._tokens = min(BUDGET_BURST, self._tokens + self.share)

    def take(self) -> bool:
        """Use one retry of the budget; return whether one was left."""
        if self._tokens < 1:
            return False
        self._tokens -= 1
        return True


def decide_retry(
    outcome: NotRun | MaybeRun,
    *,
    repeatable: bool,
    attempts: int,
    max_attempts: int,
    now: float,
    deadline: float,
    budget: RetryBudget,
    rng: random.Random,
) -> RetryAfter | GiveUp:
    """Decide whether to retry an attempt that ended without an answer.

    An attempt that may have run is retried only if the request is ``repeatable``.
    """
    if isinstance(outcome, MaybeRun) and not repeatable:
        return GiveUp("the request may have run and may not be repeated")
    if attempts >= max_attempts:
        return GiveUp("all attempts failed")
    ceiling = min(BACKOFF_LIMIT_SECONDS, BACKOFF_BASE_SECONDS * 2**attempts)
    pause = rng.uniform(0, ceiling)
    if now + pause >= deadline:
        return GiveUp("the deadline has passed")
    if not budget.take():
        return GiveUp("too many retries for the traffic of this service")
    return RetryAfter(pause)
