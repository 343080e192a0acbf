"""Placement is the same without information, follows the caches and spreads load."""

from __future__ import annotations

import random

from hypothesis import given, strategies as st

from ashpond.decisions.placement import choose_engine, choose_least_loaded
from ashpond.identity import PrefixChain
from tests.builders import make_candidate, make_report

NAMES = [f"engine-{number}" for number in range(5)]
CHAIN = PrefixChain(tuple(range(1000, 1040)), (20, 30, 40))


def place(candidates, chain=CHAIN, tokens=5120, seed=1):
    rng = random.Random(seed)
    placed = choose_engine(candidates, chain, tokens, "north", 0.0, rng)
    assert placed is not None
    return placed


@given(order=st.permutations(NAMES), seed=st.integers(0, 99), level=st.integers(1, 9))
def test_instances_that_know_nothing_agree(order, seed, level):
    chain = PrefixChain((level, *CHAIN.blocks[1:]), CHAIN.levels)
    mine = place([make_candidate(name) for name in order], chain, seed=seed)
    theirs = place([make_candidate(name) for name in NAMES], chain)
    assert mine.name == theirs.name


def test_prefixes_spread_over_all_engines():
    candidates = [make_candidate(name) for name in NAMES]
    chosen = {
        place(candidates, PrefixChain((first, 2), (1, 2)), 256).name
        for first in range(100)
    }
    assert chosen == set(NAMES)


def test_goes_where_the_prefix_is_cached():
    candidates = [make_candidate(name) for name in NAMES]
    candidates[3] = candidates[3]._replace(cached_blocks=40)
    assert place(candidates).name == "engine-3"


def test_leaves_a_cached_prefix_once_its_engine_is_far_too_busy():
    candidates = [make_candidate(name) for name in NAMES]
    busy = make_report(waiting_tokens=80_000)
    candidates[3] = candidates[3]._replace(cached_blocks=40, report=busy)
    assert place(candidates).name != "engine-3"


def test_under_load_a_cached_prefix_is_worth_a_longer_wait():
    idle = [make_candidate(name) for name in NAMES]
    cached = make_candidate(
        "engine-3", cached_blocks=40, report=make_report(waiting_tokens=12_000)
    )
    assert place([*idle[:3], cached]).name != "engine-3"
    loaded = [c._replace(report=make_report(waiting=4)) for c in idle[:3]]
    assert place([*loaded, cached]).name == "engine-3"


def test_instances_that_see_the_same_idle_engines_spread_over_them():
    busy = make_report(running=8, waiting=4)
    candidates = [make_candidate(name, report=busy) for name in NAMES[:4]]
    candidates += [make_candidate("idle-1"), make_candidate("idle-2")]
    chosen = set()
    for seed in range(20):
        least = choose_least_loaded(candidates, 0.0, random.Random(seed))
        assert least is not None
        chosen.add(least.name)
    assert chosen == {"idle-1", "idle-2"}


def test_own_requests_count_on_top_of_a_late_report():
    candidates = [make_candidate(name) for name in ("a", "b")]
    candidates[0] = candidates[0]._replace(own_tokens=50_000, own_requests=9)
    least = choose_least_loaded(candidates, 0.0, random.Random(1))
    assert least is not None
    assert least.name == "b"


def test_no_engine_is_chosen_without_candidates():
    assert choose_engine([], CHAIN, 1, "north", 0.0, random.Random(1)) is None
