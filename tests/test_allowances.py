"""Allowances: what any window may hold, when and to whom a team's limit is refused."""

from __future__ import annotations

import random

import pytest
from hypothesis import given, strategies as st

from ashpond.decisions.allowances import (
    MIN_RETENTION_SECONDS,
    AccruedTime,
    Allowance,
    AllowanceBounds,
    AllowanceUnit,
    Denied,
    Granted,
    Ledger,
    TimeSpan,
    find_hash_slot,
    measure_cost,
    plan_accrual,
    rank_coordinators,
)
from ashpond.decisions.fleetlinks import Member

BOUNDS = AllowanceBounds(8.0, 0.1, 110_000.0)
TOKENS = Allowance(29_000.0, 29_000.0, AllowanceUnit.TOKENS, 200)
ACCRUAL = plan_accrual(TOKENS, BOUNDS)


def fill(ledger: Ledger, begin: float, end: float) -> None:
    """Hand a ledger all of a fleet's time, a tenth of a second at once."""
    for step in range(round(begin * 10), round(end * 10)):
        ledger.receive(TimeSpan(step / 10, (step + 1) / 10), 1.0, (step + 1) / 10)


def ask(
    ledger: Ledger, cost: float, now: float, priority: int = 0, timeout: float = 9.0
) -> Granted | Denied:
    return ledger.spend("desk", TOKENS, ACCRUAL, cost, priority, timeout, 0.0, now)


@pytest.mark.parametrize(
    ("allowance", "tokens", "cost"),
    [
        (TOKENS, 1540, 1540),
        (TOKENS, 0, 0),
        (TOKENS, None, 200),
        (Allowance(5.0), 1540, 1),
        (Allowance(5.0), None, 1),
    ],
)
def test_a_request_counts_in_the_limits_unit(
    allowance: Allowance, tokens: int | None, cost: int
) -> None:
    assert measure_cost(allowance, tokens) == cost


@given(
    rate=st.floats(0.001, 1e9),
    burst=st.floats(0, 1e9),
    window=st.floats(0.5, 600),
    overage=st.floats(0, 1),
    slack=st.floats(0, 1e7),
)
def test_a_pace_stays_within_the_bound(
    rate: float, burst: float, window: float, overage: float, slack: float
) -> None:
    accrual = plan_accrual(
        Allowance(rate, burst), AllowanceBounds(window, overage, slack)
    )
    bound = (rate * window + burst) * (1 + overage) + slack
    assert 0 < accrual.rate <= (rate * window + burst) / window * 1.001
    assert accrual.retention_seconds >= MIN_RETENTION_SECONDS * 0.999
    assert accrual.rate * (window + accrual.retention_seconds) <= bound * 1.001


def test_a_team_may_save_up_a_burst_and_no_more() -> None:
    ledger = Ledger()
    fill(ledger, 0.0, 60.0)
    left = ledger.get_remaining("desk", TOKENS, ACCRUAL, 60.0)
    assert TOKENS.burst <= left <= ACCRUAL.rate * (ACCRUAL.retention_seconds + 0.25)


def test_a_keeper_that_gets_no_time_grants_nothing() -> None:
    assert isinstance(ask(Ledger(), 1, 60.0), Denied)


def test_what_was_handed_over_lapses() -> None:
    ledger = Ledger()
    fill(ledger, 0.0, 60.0)
    assert isinstance(ask(ledger, 1, 60.0 + ACCRUAL.retention_seconds + 0.3), Denied)


def test_time_that_comes_late_is_not_taken() -> None:
    ledger = Ledger()
    ledger.receive(TimeSpan(0.0, 1.0), 1.0, 2.5)
    assert ledger.sum_received(600.0, 2.5) == 0.0


def test_time_of_the_future_is_not_taken() -> None:
    ledger = Ledger()
    ledger.receive(TimeSpan(9.5, 20.0), 1.0, 10.0)
    assert ledger.sum_received(600.0, 10.0) == pytest.approx(0.5)


def test_an_instance_hands_its_time_over_once() -> None:
    earnings = AccruedTime(5.0)
    assert earnings.take(5.0) is None
    assert earnings.take(5.4) == TimeSpan(5.0, 5.4)
    assert earnings.take(5.5) == TimeSpan(5.4, 5.5)
    assert earnings.take(60.0) == TimeSpan(59.0, 60.0)


def test_who_is_refused_is_told_when_there_is_enough() -> None:
    ledger = Ledger()
    fill(ledger, 0.0, 60.0)
    while isinstance(ask(ledger, 9_000, 60.0), Granted):
        pass
    refused = ask(ledger, 9_000, 60.0)
    assert isinstance(refused, Denied)
    assert refused.retry_after is not None
    later = 60.0 + refused.retry_after
    fill(ledger, 60.0, later)
    assert isinstance(ask(ledger, 9_000, later + 0.1), Granted)


def test_those_refused_together_do_not_come_back_together() -> None:
    ledger = Ledger()
    fill(ledger, 0.0, 60.0)
    while isinstance(ask(ledger, 9_000, 60.0), Granted):
        pass
    told = [ask(ledger, 9_000, 60.0) for _ in range(5)]
    times = [short.retry_after or 0.0 for short in told if isinstance(short, Denied)]
    assert len(times) == 5
    gaps = [b - a for a, b in zip(times, times[1:], strict=False)]
    assert min(gaps) >= 9_000 / ACCRUAL.rate * 0.9


def test_who_will_not_wait_so_long_takes_no_turn() -> None:
    ledger = Ledger()
    fill(ledger, 0.0, 60.0)
    while isinstance(ask(ledger, 9_000, 60.0), Granted):
        pass
    for _ in range(100):
        ask(ledger, 57_000, 60.0, timeout=0.1)
    short = ask(ledger, 9_000, 60.0)
    assert isinstance(short, Denied)
    assert short.retry_after is not None
    assert short.retry_after < 1.0


def test_what_never_fits_is_not_told_to_come_back() -> None:
    ledger = Ledger()
    fill(ledger, 0.0, 60.0)
    short = ask(ledger, 10**9, 60.0)
    assert isinstance(short, Denied)
    assert short.retry_after is None


def test_the_most_urgent_get_what_is_left() -> None:
    ledger = Ledger()
    fill(ledger, 0.0, 60.0)
    some = 0.14 * ACCRUAL.rate * ACCRUAL.retention_seconds
    for _ in range(50):
        ask(ledger, 10**6, 60.0, timeout=0.0)
    ask(ledger, ledger.get_remaining("desk", TOKENS, ACCRUAL, 60.0) - some, 60.0)
    outcomes = [
        ledger.spend("desk", TOKENS, ACCRUAL, 10, priority, 9.0, 0.95, 60.0)
        for priority in (2, 1, 0)
    ]
    assert [type(outcome) for outcome in outcomes] == [Denied, Denied, Granted]


def test_long_requests_are_served_beside_short_ones() -> None:
    """Of three times the limit, long and short requests get about the same share."""
    ledger = Ledger()
    rng = random.Random(1)
    fill(ledger, 0.0, 60.0)
    served = {800: 0, 9_000: 0}
    asked = {800: 0, 9_000: 0}
    for step in range(600):
        now = 60.0 + step / 10
        fill(ledger, now, now + 0.1)
        for cost in [800] * 5 + [9_000] * (step % 2):
            asked[cost] += 1
            outcome = ledger.spend(
                "desk", TOKENS, ACCRUAL, cost, 1, 4.0, rng.random(), now + 0.1
            )
            served[cost] += isinstance(outcome, Granted)
    shares = {cost: served[cost] / asked[cost] for cost in asked}
    assert shares[9_000] > 0.5 * shares[800]


def test_what_is_given_back_can_be_used() -> None:
    ledger = Ledger()
    fill(ledger, 0.0, 60.0)
    left = ledger.get_remaining("desk", TOKENS, ACCRUAL, 60.0)
    ask(ledger, 9_000, 60.0)
    ledger.refund("desk", TOKENS, ACCRUAL, 9_000, 60.0)
    assert ledger.get_remaining("desk", TOKENS, ACCRUAL, 60.0) == pytest.approx(left)


def test_a_lowered_limit_binds_at_once_and_a_raised_one_too() -> None:
    ledger = Ledger()
    fill(ledger, 0.0, 60.0)
    lower = plan_accrual(TOKENS._replace(rate=1_000.0, burst=0.0), BOUNDS)
    before = ledger.get_remaining("desk", TOKENS, ACCRUAL, 60.0)
    assert ledger.get_remaining("desk", TOKENS, lower, 60.0) <= before
    while isinstance(
        ledger.spend("desk", TOKENS, lower, 5_000, 0, 9.0, 0.0, 60.0), Granted
    ):
        pass
    fill(ledger, 60.0, 61.0)
    assert isinstance(ask(ledger, 25_000, 61.0), Granted)


def test_full_accounts_are_forgotten_and_others_kept() -> None:
    ledger = Ledger()
    fill(ledger, 0.0, 60.0)
    ask(ledger, 9_000, 60.0)
    ledger.get_remaining("idle", TOKENS, ACCRUAL, 60.0)
    ledger.remove_full_accounts(60.0)
    assert ledger.account_count == 1
    fill(ledger, 60.0, 70.0)
    ledger.remove_full_accounts(70.0)
    assert ledger.account_count == 0


def test_keepers_are_the_widest_of_different_failure_domains() -> None:
    members = {
        f"i{n}": Member(f"i{n}", "127.0.0.1:1", f"d{n % 4}", 200.0 if n < 8 else 10.0)
        for n in range(90)
    }
    coordinators = rank_coordinators(0, members)
    assert len({coordinator.failure_domain for coordinator in coordinators}) == 4
    assert {coordinator.link_mbps for coordinator in coordinators} == {200.0}
    backwards = dict(reversed(members.items()))
    assert rank_coordinators(0, backwards) == coordinators


def test_teams_are_spread_over_the_slots() -> None:
    hash_slots = [find_hash_slot(f"team{n}", 4) for n in range(400)]
    assert min(hash_slots.count(hash_slot) for hash_slot in range(4)) > 50
