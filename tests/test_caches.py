"""Cached blocks match only the same incarnation, team and weights."""

from __future__ import annotations

import pytest
from hypothesis import given, strategies as st
from hypothesis.stateful import RuleBasedStateMachine, rule

from ashpond.decisions.caches import CacheView
from ashpond.identity import (
    BLOCK_CHARS,
    PrefixSeed,
    chain_blocks,
    hash_prompt,
    make_cache_salt,
)
from tests.mutants import Mutant, expect_caught

BLOCKS = (1, 2, 3, 4)


class CacheMachine(RuleBasedStateMachine):
    """An engine that crashes, cache events that arrive late, and a view of its cache.

    Each incarnation caches blocks with numbers of its own, so that a match with blocks
    of another incarnation is detected.
    """

    def __init__(self) -> None:
        super().__init__()
        self.view = CacheView()
        self.start = 0
        self.sequence = 0
        self.pending: list[tuple[str, int, list[int]]] = []

    def name(self) -> str:
        return f"i{self.start}"

    def blocks(self, start: int) -> list[int]:
        return [100 * start + block for block in BLOCKS]

    @rule(count=st.integers(1, 4))
    def answer(self, count: int) -> None:
        self.view.adopt_incarnation(self.name())
        self.view.note_used(self.name(), self.blocks(self.start)[:count])

    @rule(count=st.integers(1, 4))
    def emit(self, count: int) -> None:
        self.sequence += 1
        event = (self.name(), self.sequence, self.blocks(self.start)[:count])
        self.pending.append(event)

    @rule(which=st.integers(0, 9), lost=st.booleans())
    def receive(self, which: int, lost: bool) -> None:
        if self.pending:
            name, number, stored = self.pending.pop(which % len(self.pending))
            if not lost:
                self.view.note_events(name, number, number, stored, [])

    @rule()
    def crash(self) -> None:
        self.start += 1
        self.sequence = 0

    @rule()
    def report(self) -> None:
        self.view.adopt_incarnation(self.name())
        for old in range(self.start):
            assert self.view.match(self.blocks(old)) == 0


TestCaches = CacheMachine.TestCase


def adopt_without_clearing(self: CacheView, incarnation: str) -> bool:
    self.incarnation = incarnation
    return True


def apply_events_of_any_incarnation(self, incarnation, first, last, stored, removed):
    self._blocks.update(dict.fromkeys(stored))
    return False


MUTANTS = [
    Mutant("kept over a crash", CacheView, "adopt_incarnation", adopt_without_clearing),
    Mutant(
        "events of an old incarnation",
        CacheView,
        "note_events",
        apply_events_of_any_incarnation,
    ),
]


@pytest.mark.parametrize("mutant", MUTANTS, ids=lambda m: m.label)
def test_catches_mutant(mutant, monkeypatch):
    expect_caught(CacheMachine, mutant, monkeypatch)


names = st.text("ab\x1f", max_size=3)
seeds = st.builds(PrefixSeed, names, names, names, names)


@given(one=seeds, other=seeds)
def test_only_the_same_team_model_weights_and_adapter_match(one, other):
    text = "x" * BLOCK_CHARS
    same = chain_blocks(make_cache_salt(one), text) == chain_blocks(
        make_cache_salt(other), text
    )
    assert same == (one == other)


@given(
    text=st.text("ab", min_size=1, max_size=4 * BLOCK_CHARS),
    change=st.integers(0, 4 * BLOCK_CHARS),
)
def test_blocks_match_exactly_up_to_the_first_difference(text, change):
    change %= len(text)
    other = text[:change] + "c" + text[change + 1 :]
    mine = chain_blocks("salt", text)
    theirs = chain_blocks("salt", other)
    common = change // BLOCK_CHARS
    assert mine[:common] == theirs[:common]
    assert not set(mine[common:]) & set(theirs[common:])


def test_levels_end_at_whole_blocks():
    seed = PrefixSeed("t", "m", "w")
    chain = hash_prompt(seed, "x" * (3 * BLOCK_CHARS), [10, BLOCK_CHARS + 5])
    assert chain.levels == (1, 3)


def test_an_answer_with_fewer_cached_blocks_corrects_the_view():
    view = CacheView()
    view.adopt_incarnation("i")
    view.note_used("i", [1, 2, 3])
    view.note_cached("i", [1, 2, 3], 1)
    assert view.match([1, 2, 3]) == 1


def test_a_sampled_view_matches_up_to_the_deepest_recorded_block():
    view = CacheView(sample=4)
    view.adopt_incarnation("i")
    view.note_used("i", [3, 4, 5, 8, 9])
    assert len(view) == 2
    assert view.match([3, 4, 5, 8, 9]) == 4
    assert view.match([3, 4, 7]) == 2


def test_a_gap_in_the_events_is_noticed():
    view = CacheView()
    view.adopt_incarnation("i")
    assert not view.note_events("i", 1, 2, [1], [])
    assert view.note_events("i", 5, 5, [2], [])
