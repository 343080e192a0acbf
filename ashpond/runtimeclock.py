"""The runtime's clock, which goes on while the machine is suspended."""

from __future__ import annotations

__all__ = ["SuspendedClock", "SuspensionWatch", "choose_clock", "measure_suspended"]

import time
from collections.abc import Callable
from typing import TYPE_CHECKING

import trio

if TYPE_CHECKING:
    from ashpond.gateway.decisionlog import DecisionLog

# A difference of the two clocks below this is how they are read (seconds).
MIN_SUSPENSION_SECONDS = 0.05
# How often it is looked at. On waking, timers that have run out meanwhile run first;
# an event loop that waits for one looks again within this (seconds).
CHECK_SECONDS = 0.25


class SuspendedClock(trio.abc.Clock):
    """Counts the time during which the machine was suspended, as ``CLOCK_BOOTTIME``.

    The steady clock of the runtime stands still then: on waking, keys, leases and
    peers' words would seem as fresh as before, and requests would have all their time.
    """

    def start_clock(self) -> None:
        """Begin; there is nothing to prepare."""

    def current_time(self) -> float:
        """Return the seconds since the machine was started."""
        return time.clock_gettime(time.CLOCK_BOOTTIME)

    def deadline_to_sleep_time(self, deadline: float) -> float:
        """Return for how long the event loop may wait for a deadline.

        The kernel counts its waits by the steady clock, so that one that has begun
        before a suspension would end that much too late.
        """
        return min(CHECK_SECONDS, max(0.0, deadline - self.current_time()))


def choose_clock(note: Callable[..., None]) -> trio.abc.Clock | None:
    """Return the clock for the runtime; None for its own, if there is no better one."""
    try:
        time.clock_gettime(time.CLOCK_BOOTTIME)
    except (AttributeError, OSError) as error:
        note("clock_stands_still_in_suspension", reason=repr(error))
        return None
    return SuspendedClock()


def measure_suspended() -> float:
    """Return for how long the machine has been suspended since it was started."""
    return time.clock_gettime(time.CLOCK_BOOTTIME) - time.monotonic()


class SuspensionWatch:
    """Notices that the machine was suspended, and for how long.

    :param observe: takes the length of each suspension (seconds).
    """

    def __init__(
        self,
        log: DecisionLog,
        observe: Callable[[float], None],
        measure: Callable[[], float] = measure_suspended,
    ):
        self._log = log
        self._observe = observe
        self._measure = measure

    async def run(self) -> None:
        """Look until cancelled."""
        known = self._measure()
        while True:
            await trio.sleep(CHECK_SECONDS)
            suspended = self._measure()
            if suspended - known >= MIN_SUSPENSION_SECONDS:
                seconds = round(suspended - known, 3)
                self._log.note("machine_suspended", seconds=seconds)
                self._observe(seconds)
            known = suspended
