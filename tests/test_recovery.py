"""Retries, server health, quotas, rollouts, membership and burn rates."""

from __future__ import annotations

import random

import pytest
from hypothesis import given, strategies as st

from ashpond.decisions.burn import Counts, coarsen_counts, compute_burn
from ashpond.decisions.health import ServerHealth, select_usable
from ashpond.decisions.membership import Fact, FactTable, choose_links, choose_watchers
from ashpond.decisions.quotas import TokenBucket, compute_limit_share
from ashpond.decisions.retries import GiveUp, RetryAfter, RetryBudget, decide_retry
from ashpond.decisions.rollout import EngineWeights, plan_rollout
from ashpond.outcomes import MaybeRun, NotRun


def retry(outcome, **changes):
    values = {
        "repeatable": True,
        "attempts": 1,
        "max_attempts": 3,
        "now": 0.0,
        "deadline": 10.0,
        "budget": RetryBudget(0.1),
        "rng": random.Random(1),
    }
    return decide_retry(outcome, **(values | changes))


def test_an_attempt_that_may_have_run_is_retried_only_if_repeatable():
    assert isinstance(retry(MaybeRun("x")), RetryAfter)
    assert isinstance(retry(MaybeRun("x"), repeatable=False), GiveUp)
    assert isinstance(retry(NotRun("x"), repeatable=False), RetryAfter)


def test_gives_up_after_the_last_attempt_and_at_the_deadline():
    assert isinstance(retry(NotRun("x"), attempts=3), GiveUp)
    assert isinstance(retry(NotRun("x"), now=10.0), GiveUp)


@given(first_attempts=st.integers(0, 500))
def test_retries_stay_within_a_share_of_first_attempts(first_attempts):
    budget = RetryBudget(0.1)
    retries = 0
    for _ in range(first_attempts):
        budget.note_first_attempt()
        retries += budget.take()
    assert retries <= 0.1 * first_attempts + 10


NAMES = ["a", "b", "c"]
failures = st.lists(st.tuples(st.sampled_from(NAMES), st.booleans()), max_size=30)


@given(events=failures, draining=st.sets(st.sampled_from(NAMES)))
def test_never_ejects_all_servers_but_always_excludes_draining_ones(events, draining):
    health = {name: ServerHealth(0.0) for name in NAMES}
    for name, refused in events:
        health[name].note_failure(1.0, refused=refused)
    for name in draining:
        health[name].draining = True
    usable = select_usable(NAMES, health, 1.0)
    assert not draining & set(usable)
    assert usable or len(draining) == len(NAMES)


def test_an_ejected_server_gets_one_probe_and_is_readmitted():
    state = ServerHealth(0.0)
    assert state.note_failure(0.0, refused=True)
    assert not state.is_usable(0.5)
    assert state.is_usable(1.5)
    state.note_sent()
    assert not state.is_usable(1.5)
    state.note_answer(1.6)
    assert state.is_usable(1.6)


def test_a_server_that_does_not_report_gets_no_requests():
    state = ServerHealth(0.0)
    assert state.is_usable(2.9)
    assert not state.is_usable(3.1)


def test_limits_are_shared_by_demand_and_fall_back_to_the_even_share():
    assert compute_limit_share(100, 30, [10, 0], 3) == pytest.approx(100 / 6 + 37.5)
    assert compute_limit_share(100, 30, [], 4) == 25
    shares = [
        compute_limit_share(100, d, [x for x in (5, 70, 25) if x != d], 3)
        for d in (5, 70, 25)
    ]
    assert sum(shares) == pytest.approx(100)


def test_a_token_bucket_returns_when_to_retry():
    bucket = TokenBucket(rate=2.0, burst_seconds=1.0, now=0.0)
    assert [bucket.take(0.0) for _ in range(3)] == [0.0, 0.0, 0.5]
    assert bucket.take(0.5) == 0.0


engines = st.lists(
    st.builds(
        EngineWeights,
        name=st.uuids().map(str),
        weights=st.sampled_from(["w1", "w2"]),
        loading=st.sampled_from(["", "", "w2"]),
        reachable=st.booleans(),
    ),
    min_size=1,
    max_size=12,
)


@given(fleet=engines)
def test_rollout_loads_two_at_once_and_keeps_the_floor(fleet):
    ordered = plan_rollout(fleet, "w2")
    loading = sum(bool(engine.loading) for engine in fleet)
    serving = sum(engine.reachable and not engine.loading for engine in fleet)
    assert len(ordered) + loading <= max(2, loading)
    assert all(e.weights != "w2" for e in fleet if e.name in ordered)
    if ordered and serving < len(fleet):
        assert serving - len(ordered) >= 0.6 * len(fleet)


@given(size=st.integers(1, 12))
def test_rollout_ends_with_the_declared_weights_everywhere(size):
    fleet = [EngineWeights(str(n), "w1", "", True) for n in range(size)]
    for _ in range(2 * size):
        ordered = plan_rollout(fleet, "w2")
        fleet = [
            e._replace(weights="w2", loading="")
            if e.loading
            else e._replace(loading="w2")
            if e.name in ordered
            else e
            for e in fleet
        ]
    assert all(engine.weights == "w2" for engine in fleet)


@given(size=st.integers(2, 60), rounds=st.just(14), seed=st.integers(0, 9))
def test_a_fact_reaches_all_members_over_three_links(size, rounds, seed):
    names = [f"10.0.0.{n}:7" for n in range(size)]
    tables = {name: FactTable(name) for name in names}
    tables[names[0]].put(Fact(names[0], 1, 1, {"x": 1}), 0.0)
    order = random.Random(seed)
    for _ in range(rounds):
        for name in order.sample(names, size):
            for link in choose_links(name, names, 3):
                for one, other in ((name, link), (link, name)):
                    updates = tables[one].collect_updates(other)
                    tables[other].mark_known(one, updates)
                    for fact in updates:
                        tables[other].put(fact, 0.0)
    assert all(tables[name].get(names[0]) is not None for name in names)


facts = st.builds(
    Fact, st.just("o"), st.integers(1, 3), st.integers(1, 3), st.just({"x": 1})
)


@given(received=st.lists(facts, min_size=1))
def test_the_newest_fact_wins_in_any_order(received):
    table = FactTable("me")
    for fact in received:
        table.put(fact, 0.0)
    newest = table.get("o")
    assert newest is not None
    assert newest.order == max(fact.order for fact in received)


def test_all_members_choose_the_same_watchers():
    members = [f"m{n}" for n in range(9)]
    assert choose_watchers("e", members, 2) == choose_watchers("e", members[::-1], 2)


def test_a_departed_member_leaves_no_state():
    table = FactTable("me")
    for number in range(50):
        origin = f"10.0.0.{number}:7"
        table.put(Fact(origin, 1, 1, {}), 0.0)
        table.collect_updates(origin)
    gone = table.expire(1000.0, keep=[])
    assert len(gone) == 50
    assert table.list_others(0.0) == []
    assert not any(table._sent.values())
    assert not table._sent


def test_three_days_of_counts_stay_few_and_complete():
    minutes = 3 * 24 * 60
    buckets = {("s", "t", n): Counts(1, 1, 0) for n in range(minutes)}
    coarse = coarsen_counts(buckets, minutes)
    assert len(coarse) < 500
    assert sum(counts.total for counts in coarse.values()) == minutes
    assert coarsen_counts(coarse, minutes) == coarse


def test_a_burn_rate_over_two_windows_pages():
    buckets = {("s", "t", 1000 - n): Counts(100, 80, 80) for n in range(60)}
    rows = compute_burn(buckets, {"s": {"answered": 0.99}}, 1000 * 60.0)
    assert rows[0].rates["5m"] == pytest.approx(20)
    assert rows[0].pages == "5m+1h"
    assert rows[0].budget_left < 0


def test_a_server_in_a_backoff_is_excluded_though_all_others_fail():
    health = {name: ServerHealth(0.0) for name in NAMES}
    health[NAMES[0]].note_backoff(1.0, 3.0)
    health[NAMES[0]].note_backoff(1.0, 1.0)
    for name in NAMES[1:]:
        health[name].note_failure(1.0, refused=True)
    assert NAMES[0] not in select_usable(NAMES, health, 3.9)
    for name in NAMES:
        health[name].note_backoff(5.0, 2.0)
    assert not select_usable(NAMES, health, 6.0)
    assert select_usable(NAMES, health, 7.0)


def test_declarations_in_quick_succession_reach_all_engines():
    """The first engines of the list got each version, and the last ones none."""
    weights = {f"e{number}": ("w0", 0.0) for number in range(10)}
    for step in range(1, 6):
        engines = [
            EngineWeights(name, version, "", True, since)
            for name, (version, since) in weights.items()
        ]
        for name in plan_rollout(engines, f"w{step}"):
            weights[name] = f"w{step}", float(step)
    assert all(version != "w0" for version, _ in weights.values())
