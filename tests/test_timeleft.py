"""What the time that a caller has left allows."""

from __future__ import annotations

import inspect
import math

import pytest
from hypothesis import given, strategies as st

from ashpond.decisions import timeleft
from ashpond.decisions.timeleft import (
    MAX_RETRY_SHARE,
    MIN_RETRY_SECONDS,
    MIN_RUN_SECONDS,
    RESEND_PAUSE_SECONDS,
    choose_longest_gap,
    choose_resend_pause,
    choose_retry_after,
    choose_run_timeout,
    choose_silent_seconds,
)

SECONDS = st.floats(0.0, 60.0)


def test_no_rule_knows_the_latency_target() -> None:
    """Waits and refusals were shares of it."""
    for name in timeleft.__all__:
        rule = getattr(timeleft, name)
        if callable(rule):
            assert not {"objective", "target"} & set(inspect.signature(rule).parameters)


@given(left=SECONDS, runs_left=st.integers(0, 5), longest=SECONDS)
def test_a_run_is_ended_only_while_another_one_can_finish(
    left: float, runs_left: int, longest: float
) -> None:
    timeout = choose_run_timeout(left, runs_left, longest)
    if runs_left <= 1 or (longest and left < 2 * longest):
        assert timeout == math.inf
    elif longest:
        share = left / runs_left
        assert timeout == max(longest, min(MIN_RUN_SECONDS, share))
        assert longest <= left - timeout + 1e-9
    else:
        assert timeout == pytest.approx(max(0.02, left / runs_left))


@given(wait=SECONDS | st.just(math.inf), left=SECONDS, spread=st.floats(0.0, 1.0))
def test_a_told_time_is_not_too_early_and_one_that_the_client_accepts(
    wait: float, left: float, spread: float
) -> None:
    retry_after = choose_retry_after(wait, left, spread)
    if retry_after is None:
        assert left * MAX_RETRY_SHARE < max(
            0.0 if math.isinf(wait) else wait, MIN_RETRY_SECONDS
        )
        return
    assert retry_after <= left * MAX_RETRY_SHARE + 1e-9
    assert math.isinf(wait) or retry_after >= max(wait, MIN_RETRY_SECONDS)


def test_pauses_between_rejected_sends_double() -> None:
    pauses = [choose_resend_pause(rejections, 3) for rejections in range(6)]
    assert pauses == [0, 0, 0, *(RESEND_PAUSE_SECONDS * n for n in (1, 2, 4))]


def test_a_server_is_silent_by_learned_times() -> None:
    """A server of 2 s a request counted as silent by the target of its route."""
    assert choose_silent_seconds(12.0, 0.0) == 6.0
    assert choose_silent_seconds(12.0, 0.2) == 1.2
    assert choose_silent_seconds(12.0, 2.5) == 2.5
    assert choose_longest_gap(0.0) == 2.0
    assert choose_longest_gap(0.5) == 4.0
