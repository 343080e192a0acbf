"""Whether an instance has room for the calls of its peers."""

from __future__ import annotations

__all__ = ["is_instance_busy"]

from typing import TYPE_CHECKING

if TYPE_CHECKING:
    from ashpond.controllers.memory import MemoryController
    from ashpond.loopdelay import LoopWatch

# An instance opens no tunnels for peers for so long after a stall of its event loop of
# this length (seconds), or while more than this share of its memory is held.
BUSY_SECONDS = 1.0
BUSY_DELAY_SECONDS = 0.1
BUSY_SHARE = 0.8


def is_instance_busy(
    loop_watch: LoopWatch, memory: MemoryController, now: float
) -> bool:
    """Return whether the event loop is late, or most of the memory is held."""
    delay = loop_watch.last
    is_late = (
        delay is not None
        and delay.seconds >= BUSY_DELAY_SECONDS
        and now - delay.ended_at < BUSY_SECONDS
    )
    budget = memory.budget
    is_full = memory.is_limited and budget.used > budget.limit * BUSY_SHARE
    return is_late or is_full
