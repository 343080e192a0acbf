"""Decisions on the bytes that an instance holds for its calls."""

from __future__ import annotations

import pytest
from hypothesis import given, strategies as st

from ashpond.decisions.memorybudget import (
    CALL_BYTES,
    MIN_BUDGET_BYTES,
    MIN_UNREAD_SECONDS,
    SMALL_BYTES,
    Holding,
    MemoryBudget,
    Purpose,
    compute_byte_budget,
)

LIMIT = 10_000_000
LARGE = 400_000


def fill(budget: MemoryBudget, purpose: Purpose, size: int = LARGE) -> list[Holding]:
    """Open holdings, one each millisecond, until there is no room for another."""
    holdings = []
    while True:
        now = len(holdings) / 1000
        holding = budget.open(now)
        holding.purpose = purpose
        if not budget.reserve(holding, size, now).is_granted:
            budget.close(holding)
            return holdings
        holdings.append(holding)


def test_no_limit_and_limits_near_the_size_of_the_process() -> None:
    assert compute_byte_budget(0) == 0
    assert compute_byte_budget(88) == 24 << 20
    assert compute_byte_budget(30) == MIN_BUDGET_BYTES


def test_small_requests_have_room_when_large_answers_use_their_share() -> None:
    """Many large bodies, each held in part, must not use up the room of small ones."""
    budget = MemoryBudget(LIMIT)
    fill(budget, Purpose.ANSWER)
    small = budget.open(1.0)
    small.declared = LARGE
    assert not budget.reserve(small, CALL_BYTES, 1.0).is_granted
    small.declared = 0
    assert budget.reserve(small, CALL_BYTES, 1.0).is_granted
    assert budget.reserve(small, SMALL_BYTES - CALL_BYTES, 1.0).is_granted


def test_bodies_of_the_least_urgent_requests_are_paused_first() -> None:
    budget = MemoryBudget(LIMIT)
    paused_at = []
    for urgency in (2, 1, 0):
        while True:
            holding = budget.open(0.0)
            holding.urgency = urgency
            if not budget.reserve(holding, LARGE, 0.0).is_granted:
                break
        paused_at.append(budget.used)
    assert paused_at == sorted(set(paused_at))
    answer = budget.open(0.0)
    answer.purpose = Purpose.CALL
    assert budget.reserve(answer, LARGE, 0.0).is_granted


def test_the_oldest_unread_bytes_are_cut_and_no_more_than_needed() -> None:
    budget = MemoryBudget(LIMIT)
    held = fill(budget, Purpose.ANSWER)
    now = 1.0 + MIN_UNREAD_SECONDS
    needs_room = budget.open(now)
    needs_room.purpose = Purpose.CALL
    # Bytes that have just arrived are not cut.
    assert budget.reserve(needs_room, LARGE, 0.1).cut == ()
    assert 0 < budget.find_retry_seconds(0.1) <= MIN_UNREAD_SECONDS
    verdict = budget.reserve(needs_room, LARGE, now)
    assert not verdict.is_granted
    assert verdict.cut == (held[0],)
    # The first is still held, but counts as being released.
    assert budget.reserve(needs_room, LARGE, now).cut == ()
    budget.close(held[0])
    assert budget.reserve(needs_room, LARGE, now).is_granted


@pytest.mark.parametrize("purpose", list(Purpose))
def test_only_clients_that_are_waited_for_are_cut(purpose: Purpose) -> None:
    """A call that runs, or whose body this instance does not read, is not cut."""
    budget = MemoryBudget(LIMIT)
    held = fill(budget, purpose)
    held[0].is_waiting = True
    verdict = budget.reserve(budget.open(9.0), LARGE, 9.0)
    if purpose is Purpose.CALL:
        assert verdict.cut == ()
    else:
        assert (held[0] in verdict.cut) == (purpose is Purpose.ANSWER)


def test_what_never_fits_is_not_waited_for() -> None:
    budget = MemoryBudget(LIMIT)
    holding = budget.open(0.0)
    assert budget.reserve(holding, LIMIT, 0.0).is_impossible
    holding.purpose = Purpose.ANSWER
    assert not budget.reserve(holding, LIMIT, 0.0).is_impossible


def test_requests_at_one_server_are_bounded_but_an_idle_server_accepts_one() -> None:
    budget = MemoryBudget(LIMIT)
    assert budget.hold_at_server("s1", LIMIT)
    assert not budget.hold_at_server("s1", LARGE)
    while budget.hold_at_server("s2", LARGE):
        pass
    assert budget.hold_at_server("s2", SMALL_BYTES)
    budget.release_at_server("s1", LIMIT)
    assert budget.hold_at_server("s1", LARGE)


STEPS = st.lists(
    st.tuples(st.integers(0, 7), st.sampled_from("rrrbcp"), st.integers(0, 4_000_000)),
    max_size=60,
)


@given(STEPS)
def test_the_sum_is_exact_and_within_the_limit_in_any_order(
    steps: list[tuple[int, str, int]],
) -> None:
    budget = MemoryBudget(LIMIT)
    holdings = [budget.open(0.0) for _ in range(8)]
    for now, (number, step, size) in enumerate(steps):
        holding = holdings[number]
        if step == "r":
            budget.reserve(holding, size, now)
        elif step == "b":
            budget.release(holding, size)
        elif step == "c":
            budget.close(holding)
            holdings[number] = budget.open(now)
        else:
            holding.purpose = list(Purpose)[size % 3]
        assert budget.used == sum(h.size for h in budget.holdings) <= LIMIT
        cut = sum(h.size for h in budget.holdings if h.is_cut)
        assert budget._freeing == cut
