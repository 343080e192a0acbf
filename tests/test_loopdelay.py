"""Stalls of the event loop are measured and recorded."""

from __future__ import annotations

import trio

from ashpond.loopdelay import MIN_STALL_SECONDS, LoopDelay, LoopWatch


def make_watch() -> tuple[LoopWatch, list[LoopDelay], list[float]]:
    delays: list[LoopDelay] = []
    times = [100.0]
    return LoopWatch(delays.append, lambda: times[0]), delays, times


def test_a_long_step_is_recorded_with_its_length():
    watch, delays, times = make_watch()
    watch.after_io_wait(0.0)
    times[0] += 0.067
    watch.before_io_wait(5.0)
    assert [round(delay.seconds, 3) for delay in delays] == [0.067]
    times[0] += 2.0
    assert watch.describe() == [0.067, 2.0]


def test_a_wait_that_ends_too_late_is_recorded():
    watch, delays, times = make_watch()
    watch.before_io_wait(0.1)
    times[0] += 0.1 + 2 * MIN_STALL_SECONDS
    watch.after_io_wait(0.1)
    assert [round(delay.seconds, 3) for delay in delays] == [2 * MIN_STALL_SECONDS]


def test_short_steps_and_punctual_waits_are_not_recorded():
    watch, delays, times = make_watch()
    for _ in range(5):
        watch.before_io_wait(1.0)
        times[0] += 1.0
        watch.after_io_wait(1.0)
        times[0] += MIN_STALL_SECONDS / 2
    watch.before_io_wait(1.0)
    assert delays == []
    assert watch.describe() is None


async def test_steps_of_a_running_event_loop_are_measured(mock_clock):
    delays: list[LoopDelay] = []
    watch = LoopWatch(delays.append)
    watch.start()
    await trio.lowlevel.checkpoint()
    mock_clock.jump(0.067)
    await trio.lowlevel.checkpoint()
    trio.lowlevel.remove_instrument(watch)
    assert [round(delay.seconds, 3) for delay in delays] == [0.067]
