"""Choose the backend server that can answer a request soonest.

All terms of a score are seconds, so that they can be added.
"""

from __future__ import annotations

__all__ = [
    "MANY_STALE_COST_SECONDS",
    "STALE_COST_SECONDS",
    "Candidate",
    "Demand",
    "ScoredCandidate",
    "choose_scored",
    "choose_server",
    "count_shared_tokens",
    "estimate_seconds",
    "find_home_ranks",
    "make_load",
    "pick_candidate",
    "pick_least_loaded",
    "rank_homes",
    "sample_servers",
    "score_candidates",
    "select_by_prompt_size",
]

import random
from collections.abc import Iterable, Sequence
from typing import NamedTuple

import xxhash

from ashpond.decisions.placement import rank_by_rendezvous
from ashpond.decisions.prompts import Prompt
from ashpond.decisions.servercosts import (
    MANY_STALE_COST_SECONDS,
    SHORT_TOKENS,
    STALE_COST_SECONDS,
    Candidate,
    Demand,
    count_shared_tokens,
    estimate_seconds,
    is_full,
    make_load,
)

TIE_SECONDS = 0.002
# With at most this many servers, one server can be the home of a part that all
# prompts share without being overloaded.
FEW_SERVERS = 12
# Share of the servers that are reserved for prompts shorter than SHORT_TOKENS.
SHORT_SHARE = 0.2
# The rendezvous key by which all instances agree on the servers for short prompts.
SHORT_KEY = 3
# Instances learn of each other's choices late, so one server looks best to all of them.
# Each request therefore considers this many servers of each kind, drawn at random.
SAMPLED_SERVERS = 2


class ScoredCandidate(NamedTuple):
    """A candidate and its score by :func:`estimate_seconds`."""

    seconds: float
    candidate: Candidate


def find_part_offsets(prompt: Prompt) -> list[int]:
    """Return the offset in tokens of each part of a prompt."""
    offsets = [0]
    for part in prompt.parts[:-1]:
        offsets.append(offsets[-1] + part.tokens)
    return offsets[: len(prompt.parts)]


def find_home_ranks(
    prompt: Prompt,
    cache_namespace: str,
    names: Sequence[str],
    cached_tokens: int,
    *,
    are_few: bool = True,
) -> dict[str, int]:
    """Return each server's rank as home of a prompt.

    The home of a prompt part is the first server in its rendezvous order. Instances
    that know of no cached copy all send the part there, so that it is prefilled once.

    Among few servers, a prompt's home is that of its first uncached shared part. Among
    many, it is that of the last shared part: a single home for the part that all
    prompts begin with would be overloaded.

    :param cached_tokens: how many leading tokens of the prompt any server has cached.
    :param are_few: whether the service has few servers.
    """
    shared = prompt.parts[:-1]
    if are_few:
        offsets = find_part_offsets(prompt)
        shared = tuple(
            part
            for part, start in zip(shared, offsets, strict=False)
            if start >= cached_tokens
        )[:1]
    if not shared:
        return dict.fromkeys(names, 0)
    ranked = rank_homes(shared[-1].id, cache_namespace, names)
    return {name: rank for rank, name in enumerate(ranked)}


def sample_servers(kinds: Iterable[Sequence[str]], rng: random.Random) -> set[str]:
    """Return a random sample of servers of each kind for one request to choose among.

    Many instances learn of each other's choices half a second late. Without sampling,
    all of them would send to the server that looks idlest: of 45 engines, half were
    then idle while others had 70,000 prompt tokens queued.

    Servers with the newest weights, of which there are few at first, are drawn no more
    often than the others: if all requests went there, those that queue would be late.

    :param kinds: the servers, grouped by the prompt size they are reserved for.
    """
    return {
        name
        for names in kinds
        for name in rng.sample(names, min(SAMPLED_SERVERS, len(names)))
    }


def select_by_prompt_size(prompt: Prompt, names: Sequence[str]) -> list[str]:
    """Return the servers that are reserved for prompts of this prompt's length.

    The choice depends on the names only, so instances agree without communicating.
    """
    if len(names) <= FEW_SERVERS:
        return list(names)
    ranked = rank_by_rendezvous(SHORT_KEY, names)
    count = round(len(ranked) * SHORT_SHARE)
    is_short = prompt.tokens <= SHORT_TOKENS
    return ranked[:count] if is_short else ranked[count:]


def rank_homes(part: str, cache_namespace: str, names: Sequence[str]) -> list[str]:
    """Return the servers in the rendezvous order of a prompt part, its home first."""
    return rank_by_rendezvous(hash_part(cache_namespace, part), names)


def hash_part(cache_namespace: str, part: str) -> int:
    """Return the rendezvous key of a prompt part in a cache namespace."""
    return xxhash.xxh3_64_intdigest(f"{cache_namespace}/{part}".encode())


def score_candidates(
    candidates: Sequence[Candidate], demand: Demand
) -> list[ScoredCandidate]:
    """Return the candidates that are not full with their scores, the best first."""
    claim = make_load(demand, 0).held_tokens
    shared = count_shared_tokens(demand.prompt) if demand.prompt else 0
    scored = [
        ScoredCandidate(estimate_seconds(candidate, demand, shared), candidate)
        for candidate in candidates
        if not is_full(candidate, demand, claim)
    ]
    scored.sort(key=lambda entry: (entry.seconds, entry.candidate.home_rank))
    return scored


def pick_candidate(
    scored: Sequence[ScoredCandidate], rng: random.Random
) -> Candidate | None:
    """Return the best of scored candidates, None if there is none.

    Among those within ``TIE_SECONDS`` of the best, the lowest home rank wins, and ties
    of that are broken at random.
    """
    if not scored:
        return None
    limit = scored[0].seconds + TIE_SECONDS
    tied = [candidate for seconds, candidate in scored if seconds <= limit]
    best_rank = min(candidate.home_rank for candidate in tied)
    return rng.choice([c for c in tied if c.home_rank == best_rank])


def pick_least_loaded(scored: Sequence[ScoredCandidate]) -> Candidate | None:
    """Return the candidate with the fewest requests in flight, None if there is none.

    Used for a request that may crash its server: with 24 slots, up to 23 others could
    be lost with it on the server that answers soonest.
    """
    if not scored:
        return None
    best = min(scored, key=lambda e: (e.candidate.load.requests, e.seconds))
    return best.candidate


def choose_server(
    candidates: Sequence[Candidate], demand: Demand, rng: random.Random
) -> Candidate | None:
    """Return the best candidate that is not full, None if there is none."""
    return choose_scored(score_candidates(candidates, demand), demand, rng)


def choose_scored(
    scored: Sequence[ScoredCandidate], demand: Demand, rng: random.Random
) -> Candidate | None:
    """Return the scored candidate to send a request to, None if there is none."""
    return (
        pick_least_loaded(scored)
        if demand.is_suspected
        else pick_candidate(scored, rng)
    )
