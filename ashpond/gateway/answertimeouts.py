"""How long an attempt waits for an answer, and when its server counts as silent."""

from __future__ import annotations

__all__ = ["choose_answer_timeout", "choose_silent_seconds"]

import math
from typing import TYPE_CHECKING

if TYPE_CHECKING:
    from ashpond.gateway.callprogress import CallProgress

# An idempotent request is retried after this multiple of its objective, if unanswered.
ANSWER_TIMEOUT_OBJECTIVES = 1.2
MIN_ANSWER_TIMEOUT_SECONDS = 0.1
# Of a request that waits on, nothing must have come for so long (seconds): prompts in
# the queue of an engine take less.
MIN_SILENT_SECONDS = 1.2


def choose_answer_timeout(call: CallProgress) -> float:
    """Return after what time the next attempt is ended; infinite for the last one."""
    is_last = call.runs + 1 >= call.route.max_attempts
    if not call.route.is_idempotent or is_last:
        return math.inf
    timeout = call.route.objective * ANSWER_TIMEOUT_OBJECTIVES
    return max(MIN_ANSWER_TIMEOUT_SECONDS, timeout)


def choose_silent_seconds(call: CallProgress) -> float:
    """Return after what time without any byte the server of an attempt is silent."""
    return max(MIN_SILENT_SECONDS, call.route.objective * ANSWER_TIMEOUT_OBJECTIVES)
