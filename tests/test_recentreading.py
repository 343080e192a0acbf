"""Tests of the time that engines have read for lately."""

from __future__ import annotations

import pytest

from ashpond.decisions.partreading import ReadingTime
from ashpond.decisions.recentreading import RecentReading

RATE = 10_000.0


def test_times_count_as_measured() -> None:
    """An engine that was slow for a moment was held to its learned speed for 1.5 s."""
    recent = RecentReading()
    time = ReadingTime(2_000, 0.3, was_queued=True)
    recent.note_read("a", 2_000, time, RATE, 5.0)
    assert recent.sum_seconds("a", 0.8, 5.0) == pytest.approx(0.3)
    assert recent.sum_seconds("b", 0.8, 5.0) == 0.0


def test_unknown_times_and_those_of_short_prompts_are_estimated() -> None:
    """The first event of a short prompt mostly waits for something else."""
    recent = RecentReading()
    recent.note_read("a", 2_000, None, RATE, 5.0)
    time = ReadingTime(500, 0.3, was_queued=False)
    recent.note_read("a", 500, time, RATE, 5.0)
    assert recent.sum_seconds("a", 0.8, 5.0) == pytest.approx(0.25)


def test_an_engine_is_usable_soon_after_a_long_stall() -> None:
    """Of a reading that took 5 s, only the part within the window counts."""
    recent = RecentReading()
    time = ReadingTime(2_000, 5.0, was_queued=True)
    recent.note_read("a", 2_000, time, RATE, 5.0)
    assert recent.sum_seconds("a", 0.8, 5.0) == pytest.approx(0.8)
    assert recent.sum_seconds("a", 0.8, 5.3) == pytest.approx(0.5)
    assert recent.sum_seconds("a", 0.8, 5.8) == 0.0


def test_reads_of_an_engine_that_is_never_chosen_are_dropped() -> None:
    """They were dropped only when a server was chosen, and grew without a bound."""
    recent = RecentReading()
    for number in range(1000):
        recent.note_read("a", 100, None, RATE, number * 0.1)
    assert len(recent._reads["a"]) <= 21
    assert recent.sum_seconds("a", 1.0, 99.9) == pytest.approx(0.1)
    recent.forget("a")
    assert not recent._reads
