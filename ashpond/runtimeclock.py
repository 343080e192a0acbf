"""A clock for the runtime that also counts while the machine is suspended."""

from __future__ import annotations

__all__ = ["SuspendedClock", "SuspensionWatch", "choose_clock", "measure_suspended"]

import time
from collections.abc import Callable
from typing import TYPE_CHECKING

import trio

if TYPE_CHECKING:
    from ashpond.gateway.decisionlog import DecisionLog

# The two clocks are read one after the other, so that a difference below this (seconds)
# is no suspension.
MIN_SUSPENSION_SECONDS = 0.05
# Interval of the checks for a suspension, and the longest wait of the event loop
# (seconds). After a suspension, expired timers therefore run within this time.
CHECK_SECONDS = 0.25


class SuspendedClock(trio.abc.Clock):
    """Counts the time during which the machine was suspended, as ``CLOCK_BOOTTIME``.

    The default clock, ``CLOCK_MONOTONIC``, stops during a suspension. After it, API
    keys, leases and the updates of peers would seem as fresh as before, and requests
    would still have their whole time.
    """

    def start_clock(self) -> None:
        """Do nothing: the clock of the system needs no start."""

    def current_time(self) -> float:
        """Return the seconds since the machine booted."""
        return time.clock_gettime(time.CLOCK_BOOTTIME)

    def deadline_to_sleep_time(self, deadline: float) -> float:
        """Return for how many seconds the event loop may wait for ``deadline``.

        The kernel measures waits with the monotonic clock, so a wait that spans a
        suspension ends too late by the suspension's length. Short waits bound that
        delay.
        """
        return min(CHECK_SECONDS, max(0.0, deadline - self.current_time()))


def choose_clock(note: Callable[..., None]) -> trio.abc.Clock | None:
    """Return the clock for the runtime, None for the default one.

    :param note: logs an event if the system has no clock that counts suspensions.
    """
    try:
        time.clock_gettime(time.CLOCK_BOOTTIME)
    except (AttributeError, OSError) as error:
        note("clock_stands_still_in_suspension", reason=repr(error))
        return None
    return SuspendedClock()


def measure_suspended() -> float:
    """Return for how many seconds the machine has been suspended since it booted."""
    return time.clock_gettime(time.CLOCK_BOOTTIME) - time.monotonic()


class SuspensionWatch:
    """Logs each suspension of the machine with its length.

    :param observe: is called with the length of each suspension (seconds).
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
        """Check until cancelled."""
        known = self._measure()
        while True:
            await trio.sleep(CHECK_SECONDS)
            suspended = self._measure()
            if suspended - known >= MIN_SUSPENSION_SECONDS:
                seconds = round(suspended - known, 3)
                self._log.note("machine_suspended", seconds=seconds)
                self._observe(seconds)
            known = suspended
