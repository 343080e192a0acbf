"""Recorded traces are replayed through the decisions and meet stated outcomes.

No time passes and no engine runs. One of six instances chooses the engine of each
request. The cache views of all instances are updated with it only some requests later.
The cache of an engine follows from the requests that it was sent.
"""

from __future__ import annotations

import random
import tomllib
from collections import Counter
from typing import NamedTuple

import pytest

from ashpond.decisions.caches import CacheView
from ashpond.decisions.placement import (
    BLOCK_TOKENS,
    choose_engine,
    rank_by_rendezvous,
)
from ashpond.identity import PrefixChain
from tests.builders import make_candidate
from tools.accounts import compute_max_hit_rate, hash_event_blocks, make_prefix_chain
from tools.traces import TRACES, Event, load_trace

ENGINES = [f"engine-{number}" for number in range(5)]
INSTANCES = 6
DELAY_REQUESTS = 8
OUTCOMES = tomllib.loads((TRACES / "outcomes.toml").read_text())


class Outcome(NamedTuple):
    hit_rate: float
    wasted: int
    busiest_share: float


def make_view() -> CacheView:
    view = CacheView(512)
    view.adopt_incarnation("i")
    return view


class Replay:
    """Six instances in front of five engines, with the cache view of each instance."""

    def __init__(self, policy: str):
        self.policy = policy
        self.engine_caches = {name: make_view() for name in ENGINES}
        self.views = [{n: make_view() for n in ENGINES} for _ in range(INSTANCES)]
        self.delayed: list[tuple[str, PrefixChain]] = []
        self.rng = random.Random(5)

    def choose(self, instance: int, chain: PrefixChain, tokens: int) -> str:
        if self.policy == "random":
            return self.rng.choice(ENGINES)
        if self.policy == "hashing":
            level = chain.levels[max(0, len(chain.levels) - 2)]
            return rank_by_rendezvous(chain.blocks[level - 1], ENGINES)[0]
        views = self.views[instance]
        candidates = [
            make_candidate(name, cached_blocks=views[name].match(chain.blocks))
            for name in ENGINES
        ]
        placed = choose_engine(candidates, chain, tokens, "north", 0.0, self.rng)
        assert placed is not None
        return placed.name

    def run(self, events: list[Event]) -> Outcome:
        total = hits = wasted = 0
        load: Counter[str] = Counter()
        requests = [event for event in events if event.parts]
        for number, event in enumerate(requests):
            chain = make_prefix_chain(event)
            tokens = len(chain.blocks) * BLOCK_TOKENS
            name = self.choose(number % INSTANCES, chain, tokens)
            cached = self.engine_caches[name].match(chain.blocks)
            best = max(view.match(chain.blocks) for view in self.engine_caches.values())
            total += tokens
            hits += cached * BLOCK_TOKENS
            wasted += (best - cached) * BLOCK_TOKENS
            load[name] += tokens - cached * BLOCK_TOKENS
            self.record(number % INSTANCES, name, chain)
        return Outcome(hits / total, wasted, max(load.values()) / sum(load.values()))

    def record(self, instance: int, name: str, chain: PrefixChain) -> None:
        self.engine_caches[name].note_used("i", chain.blocks)
        self.views[instance][name].note_used("i", chain.blocks)
        self.delayed.append((name, chain))
        if len(self.delayed) > DELAY_REQUESTS:
            engine, updated_chain = self.delayed.pop(0)
            for views in self.views:
                views[engine].note_used("i", updated_chain.blocks)


@pytest.mark.parametrize("trace", sorted(OUTCOMES))
def test_a_trace_meets_its_stated_outcome(trace):
    stated = OUTCOMES[trace]
    events = load_trace(TRACES / f"{trace}.jsonl")
    outcome = Replay("ashpond").run(events)
    assert outcome.hit_rate >= stated["least_share_of_bound"] * compute_max_hit_rate(
        events
    )
    assert outcome.wasted <= stated["most_wasted_tokens"]
    assert outcome.busiest_share <= stated["most_work_on_one_engine"]


@pytest.mark.parametrize("trace", sorted(OUTCOMES))
def test_choices_by_cache_views_beat_random_choices(trace):
    events = load_trace(TRACES / f"{trace}.jsonl")
    outcome, random_outcome = (
        Replay("ashpond").run(events),
        Replay("random").run(events),
    )
    assert outcome.hit_rate > random_outcome.hit_rate
    assert outcome.wasted <= 0.25 * random_outcome.wasted


def test_an_event_has_the_block_hashes_that_engines_cache():
    event = next(e for e in load_trace(TRACES / "demo.jsonl") if e.parts)
    assert make_prefix_chain(event).blocks == hash_event_blocks(event)
