"""Which limit holds, in whatever order a server's answers are read."""

from __future__ import annotations

from hypothesis import given, strategies as st

from ashpond.decisions.ratelimits import NO_LIMIT, RateLimit, weigh_limit


def test_a_lower_limit_holds_at_once() -> None:
    known = RateLimit(5.0, 10.0)
    assert weigh_limit(known, 2.0, sent_at=1.0, now=11.0) == RateLimit(2.0, 11.0)


def test_an_older_answer_that_is_read_last_raises_and_lifts_no_limit() -> None:
    known = RateLimit(2.0, 10.0)
    for rate in (5.0, None):
        assert weigh_limit(known, rate, sent_at=9.9, now=11.0) == known


def test_a_later_answer_raises_or_lifts_a_limit() -> None:
    known = RateLimit(2.0, 10.0)
    for rate in (5.0, None):
        assert weigh_limit(known, rate, sent_at=10.0, now=11.0) == RateLimit(rate, 11.0)


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
def test_no_limit_above_a_current_one_is_ever_believed(
    answers: list[tuple[float, float | None, float]],
) -> None:
    """A server lowers its limit at 10 s: whatever was sent before changes nothing."""
    known = weigh_limit(NO_LIMIT, 1.0, sent_at=10.0, now=10.0)
    at = 10.0
    for sent_at, rate, gap in answers:
        at += gap
        known = weigh_limit(known, rate, sent_at, at)
        assert known.rate is not None
        assert known.rate <= 1.0
