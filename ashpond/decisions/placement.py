"""Choose the engine that can start answering a prompt soonest.

All terms of an engine's score are in seconds: the expected wait behind queued
prompts, the prefill of uncached tokens, and the network latency.
"""

from __future__ import annotations

__all__ = [
    "PRESUMED_HOME_SHARE",
    "SAMPLED_PRESUMED_HOME_SHARE",
    "Candidate",
    "ChosenEngine",
    "LoadReport",
    "choose_engine",
    "choose_least_loaded",
    "estimate_prefill_wait",
    "rank_by_rendezvous",
]

import random
from collections.abc import Sequence
from typing import NamedTuple

import xxhash

from ashpond.identity import BLOCK_CHARS, CHARS_PER_TOKEN, PrefixChain

BLOCK_TOKENS = BLOCK_CHARS // CHARS_PER_TOKEN
CROSS_DOMAIN_COST_SECONDS = 0.002
MAX_DELAYED_REQUESTS = 8.0
EVICTION_COST = 1.0
PRESUMED_HOME_SHARE = 0.5
SAMPLED_PRESUMED_HOME_SHARE = 0.95
TIE_SECONDS = 0.004
DEFAULT_PREFILL_RATE = 8000.0
DEFAULT_REQUEST_SECONDS = 0.5


class LoadReport(NamedTuple):
    """An engine's report of its own load.

    ``observed_at`` is the estimated time of the report on the runtime's clock;
    ``prefill_rate`` is in tokens per second. ``software`` is the version of the
    engine's software, empty if it names none; versions have no order.
    """

    incarnation: str
    running: int
    waiting: int
    waiting_tokens: int
    max_running: int
    prefill_rate: float
    weights: str
    draining: bool
    cache_blocks: int
    observed_at: float
    fence: int = 0
    loading: str = ""
    software: str = ""


class Candidate(NamedTuple):
    """An engine that may take a prompt.

    ``own_tokens`` and ``own_requests`` count what this instance has sent since the
    report was made; ``cached_blocks`` is the number of leading blocks of the prompt
    that the engine is assumed to have cached.
    """

    name: str
    failure_domain: str
    report: LoadReport | None
    own_tokens: int = 0
    own_requests: int = 0
    cached_blocks: int = 0


class ChosenEngine(NamedTuple):
    """The chosen engine, its score, and the number of blocks assumed cached there."""

    name: str
    expected_seconds: float
    expected_cached_blocks: int


def rank_by_rendezvous(key: int, names: Sequence[str]) -> list[str]:
    """Return ``names`` in the rendezvous-hashing order of ``key``, its home first."""
    return sorted(names, key=lambda name: weigh_home(key, name), reverse=True)


def weigh_home(key: int, name: str) -> int:
    """Return the rendezvous weight of one name for one key."""
    return xxhash.xxh3_64_intdigest(name.encode(), seed=key)


def find_homes(chain: PrefixChain, names: Sequence[str]) -> dict[str, int]:
    """Return the number of blocks that each home of a prompt's levels may have cached.

    The home of a level is its rendezvous-hash home. The last level is the whole prompt,
    which is rarely repeated, and is skipped if there are others.
    """
    homes: dict[str, int] = {}
    for level in chain.levels[:-1] or chain.levels:
        key = chain.blocks[level - 1]
        home = max(names, key=lambda name: weigh_home(key, name))
        homes[home] = max(homes.get(home, 0), level)
    return homes


def estimate_prefill_wait(candidate: Candidate, now: float) -> float:
    """Return the seconds until the engine would begin to prefill a new prompt."""
    report = candidate.report
    if report is None:
        tokens = candidate.own_tokens
        return tokens / DEFAULT_PREFILL_RATE
    age = max(0.0, now - report.observed_at)
    prefilled = age * report.prefill_rate
    queued = max(0.0, report.waiting_tokens - prefilled) + candidate.own_tokens
    wait = queued / report.prefill_rate
    occupied = report.running + report.waiting + candidate.own_requests
    excess = occupied + 1 - report.max_running
    if excess > 0:
        wait += excess * DEFAULT_REQUEST_SECONDS / report.max_running
    return wait


def choose_engine(
    candidates: Sequence[Candidate],
    chain: PrefixChain,
    prompt_tokens: int,
    failure_domain: str,
    now: float,
    rng: random.Random,
    presumed_home_share: float = PRESUMED_HOME_SHARE,
) -> ChosenEngine | None:
    """Return the engine with the least expected time to the first token.

    Where no cached copy is known, the homes of the prompt's levels are presumed to
    have them cached, so that instances without information choose alike.

    :param presumed_home_share: the share of a level that its home is presumed to have
        cached. It is higher where only a sample of the cache events is received, as a
        missing event then means little.
    """
    if not candidates:
        return None
    best_known = max(candidate.cached_blocks for candidate in candidates)
    homes = find_homes(chain, [candidate.name for candidate in candidates])
    delayed_requests = estimate_delayed_requests(candidates)
    scored = []
    for candidate in candidates:
        presumed = homes.get(candidate.name, 0)
        cached = float(candidate.cached_blocks)
        if presumed > best_known:
            cached = max(cached, presumed * presumed_home_share)
        wasted = max(0.0, best_known - cached)
        score = _score(
            candidate,
            cached,
            wasted,
            prompt_tokens,
            failure_domain,
            delayed_requests,
            now,
        )
        scored.append((score, candidate, presumed, int(cached)))
    least = min(score for score, *_ in scored)
    tied = [entry for entry in scored if entry[0] <= least + TIE_SECONDS]
    score, winner, _, cached_blocks = _break_tie(tied, rng)
    return ChosenEngine(winner.name, score, cached_blocks)


def estimate_delayed_requests(candidates: Sequence[Candidate]) -> float:
    """Return the average number of requests that wait at an engine.

    Prefilling uncached tokens delays these requests too, so under load a cached prefix
    saves more than the request's own time to the first token.
    """
    waiting = [
        (candidate.report.waiting if candidate.report else 0) + candidate.own_requests
        for candidate in candidates
    ]
    return min(MAX_DELAYED_REQUESTS, sum(waiting) / len(waiting))


def _score(
    candidate: Candidate,
    cached_blocks: float,
    wasted_blocks: float,
    prompt_tokens: int,
    failure_domain: str,
    delayed_requests: float,
    now: float,
) -> float:
    rate = DEFAULT_PREFILL_RATE
    if candidate.report is not None:
        rate = candidate.report.prefill_rate
    uncached = max(0.0, prompt_tokens - cached_blocks * BLOCK_TOKENS)
    prefill = uncached / rate
    seconds = estimate_prefill_wait(candidate, now) + prefill * (1 + delayed_requests)
    # A second copy evicts as many other blocks, which later prompts will miss.
    seconds += EVICTION_COST * wasted_blocks * BLOCK_TOKENS / rate
    if candidate.failure_domain != failure_domain:
        seconds += CROSS_DOMAIN_COST_SECONDS
    return seconds


def _break_tie(
    tied: list[tuple[float, Candidate, int, int]], rng: random.Random
) -> tuple[float, Candidate, int, int]:
    deepest = max(presumed for _, _, presumed, _ in tied)
    if deepest:
        return next(entry for entry in tied if entry[2] == deepest)
    if len(tied) == 1:
        return tied[0]
    # Instances that see the same idle engine at once must not all choose it.
    first, second = rng.sample(tied, 2)
    return first if first[1].own_requests <= second[1].own_requests else second


def choose_least_loaded(
    candidates: Sequence[Candidate], now: float, rng: random.Random
) -> Candidate | None:
    """Return the candidate with the shortest wait; ties are broken at random."""
    if not candidates:
        return None
    shuffled = rng.sample(list(candidates), len(candidates))
    return min(shuffled, key=lambda candidate: _measure_load(candidate, now))


def _measure_load(candidate: Candidate, now: float) -> tuple[float, int]:
    report = candidate.report
    reported = report.running + report.waiting if report else 0
    return estimate_prefill_wait(candidate, now), reported + candidate.own_requests
