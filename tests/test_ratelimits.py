"""The right rate limit applies in whatever order a server's answers are read."""

from __future__ import annotations

from hypothesis import given, strategies as st

from ashpond.decisions.allowances import MARGIN_SECONDS, plan_accrual
from ashpond.decisions.ratelimits import (
    MAX_PAUSE_SECONDS,
    NO_LIMIT,
    SERVER_BOUNDS,
    RateLimit,
    limit_pause,
    make_allowance,
    plan_pause,
    update_limit,
    update_limit_from_peer,
)


def test_a_lower_limit_applies_at_once() -> None:
    known = RateLimit(5.0, 10.0)
    assert update_limit(known, 2.0, sent_at=1.0, now=11.0) == RateLimit(2.0, 11.0)


def test_an_older_answer_read_later_neither_raises_nor_lifts_a_limit() -> None:
    known = RateLimit(2.0, 10.0)
    for rate in (5.0, None):
        assert update_limit(known, rate, sent_at=9.9, now=11.0) == known


def test_a_later_answer_raises_or_lifts_a_limit() -> None:
    known = RateLimit(2.0, 10.0)
    for rate in (5.0, None):
        assert update_limit(known, rate, sent_at=10.0, now=11.0) == RateLimit(
            rate, 11.0
        )


@given(
    st.lists(
        st.tuples(
            st.floats(0, 9),
            st.sampled_from([None, 0.0, 1.0, 2.0]),
            st.floats(0, 5),
        ),
        max_size=12,
    )
)
def test_earlier_answers_never_raise_a_lowered_limit(
    answers: list[tuple[float, float | None, float]],
) -> None:
    """A server lowers its limit at 10 s; answers to earlier requests change nothing."""
    known = update_limit(NO_LIMIT, 1.0, sent_at=10.0, now=10.0)
    at = 10.0
    for sent_at, rate, gap in answers:
        at += gap
        known = update_limit(known, rate, sent_at, at)
        assert known.rate is not None
        assert known.rate <= 1.0


def test_a_peers_notice_older_than_an_answer_here_sets_no_limit() -> None:
    known = RateLimit(None, 10.0)
    assert update_limit_from_peer(known, 2.0, age=0.6, now=10.5) == known
    assert update_limit_from_peer(known, 2.0, age=0.4, now=10.5) == RateLimit(2.0, 10.5)


def test_a_peers_notice_lifts_a_limit_only_if_it_is_surely_later() -> None:
    known = RateLimit(2.0, 10.0)
    assert update_limit_from_peer(known, None, age=0.0, now=10.9) == known
    assert update_limit_from_peer(known, None, age=0.0, now=11.1) == RateLimit(
        None, 11.1
    )


@given(
    st.floats(0, 1e6),
    st.integers(1, 1000),
    st.floats(0, 1),
    st.floats(0, 1e6),
    st.integers(1, 1000),
)
def test_pauses_between_permit_requests_are_bounded(
    retry_after: float, refusals: int, draw: float, rate: float, instances: int
) -> None:
    longest = limit_pause(rate, instances)
    assert 0 < plan_pause(retry_after, refusals, draw, longest) <= longest
    assert longest <= MAX_PAUSE_SECONDS


@given(st.floats(0, 1e18))
def test_no_window_of_permits_exceeds_the_bound(rate: float) -> None:
    """The accrued and saved permits and the timer's margin stay below it together."""
    allowance = make_allowance(rate)
    pace = plan_accrual(allowance, SERVER_BOUNDS)
    seconds = SERVER_BOUNDS.window + pace.retention_seconds + MARGIN_SECONDS
    bound = 1.5 * allowance.rate * SERVER_BOUNDS.window + SERVER_BOUNDS.slack
    assert pace.rate * seconds <= bound * (1 + 1e-9)
    assert pace.retention_seconds > 0
