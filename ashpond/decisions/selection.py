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
    "describe_candidate",
    "describe_demand",
    "find_home_ranks",
    "make_load",
    "parse_candidate",
    "parse_demand",
    "pick_candidate",
    "pick_least_loaded",
    "rank_homes",
    "sample_servers",
    "score_candidates",
    "select_by_prompt_size",
]

import random
from collections.abc import Iterable, Sequence
from typing import Any, NamedTuple

import xxhash

from ashpond.decisions.loads import Load
from ashpond.decisions.placement import rank_by_rendezvous
from ashpond.decisions.prompts import Prompt, PromptPart

# Engines read 57 prompt tokens a ms (site sheets), 50 beside running requests
# (measured: 0.05 s and 20 us a token from sending to the first event).
PREFILL_TOKENS_PER_SECOND = 50_000.0
# Each running request slows every token by 0.1 ms; some 50 tokens an answer.
RUNNING_COST_SECONDS = 0.006
# A plain server at its slots queues the next request for about one answer.
SLOT_COST_SECONDS = 0.06
# Two ways over to another failure domain.
DOMAIN_COST_SECONDS = 0.004
# A prompt and its answer are some 10 to 25 KB, which are paid for between failure
# domains: at 40 requests a second, 12 MB in 50 s in place of 16 (single runs). And
# instances that see the same idle engine do not all send there at once. Share of worth
# in the laboratory, ten seeds in pairs: between 0.00 and 0.04 more.
PROMPT_DOMAIN_COST_SECONDS = 0.04
# Old weights cost a fifth of the worth of an answer: as much as it being late.
STALE_COST_SECONDS = 0.25
# Among many servers the few that have the newest weights first would be overrun by
# all: a request that waits there makes those behind it late as well.
MANY_STALE_COST_SECONDS = 0.08
# A failed answer costs about a whole objective.
FAILURE_COST_SECONDS = 0.6
COLD_COST_SECONDS = 0.05
# A fetch takes some ms, and is priced a hundredth of reading the same tokens.
FETCH_COST_SECONDS = 0.006
# A token has 18 KB; a store's link carries 25 Gbit/s, an engine's 20 times that.
STORE_SECONDS_PER_TOKEN = 6e-6
TIE_SECONDS = 0.002
# Memory that requests may claim; the rest keeps shared parts.
MEMORY_SHARE = 0.8
# A plain server takes a few more than its slots; a short queue is not a refusal.
QUEUE_SHARE = 1.5
# Up to so many servers, one home for a part that all prompts share can bear them.
FEW_SERVERS = 12
# Prompts are read in pieces of 4,096 tokens, 72 ms each, between the tokens of the
# answers that run: eight in a row make a pause that counts as late. Among many
# servers, some are kept for prompts that take less than half a piece (tokens).
SHORT_TOKENS = 2_048
SHORT_SHARE = 0.2
# A short prompt elsewhere is slowed down; a long one elsewhere slows many down.
SHORT_MISMATCH_SECONDS = 0.06
LONG_MISMATCH_SECONDS = 0.15
SHORT_KEY = 3
# Where others' choices are heard of late, one server looks best to all at once: each
# request looks at so many servers of each kind, drawn at random.
SAMPLED_SERVERS = 2


class Demand(NamedTuple):
    """What a request needs of a server.

    ``cache_namespace`` separates the cached parts of teams that share nothing.
    ``is_suspected`` tells that the request may end its server, with all that runs
    there.
    """

    service: str
    model: str | None
    prompt: Prompt | None
    cache_namespace: str
    excluded: frozenset[str] = frozenset()
    is_resumable: bool = False
    is_suspected: bool = False


class Candidate(NamedTuple):
    """A server that may take a request.

    ``cached_tokens`` is how much of the prompt it has read already, and
    ``fetch_tokens`` how much another engine or a store has that it can fetch from.
    ``home_rank`` is its place in the order in which servers are home to the
    first part that none has read; ``memory_tokens`` is 0 for a plain server.
    ``matches_prompt_size`` tells whether it is kept for prompts of such a length;
    ``stale_cost`` is what weights count that are not the newest (seconds).
    """

    id: str
    is_local: bool
    load: Load
    slots: int
    memory_tokens: int
    has_newest: bool
    home_rank: int
    failure_share: float
    is_cold: bool
    cached_tokens: int = 0
    fetch_tokens: int = 0
    fetches_from_store: bool = False
    matches_prompt_size: bool = True
    stale_cost: float = STALE_COST_SECONDS


class ScoredCandidate(NamedTuple):
    """A candidate and what :func:`estimate_seconds` says of it."""

    seconds: float
    candidate: Candidate


def find_part_offsets(prompt: Prompt) -> list[int]:
    """Return the token at which each part of a prompt begins."""
    offsets = [0]
    for part in prompt.parts[:-1]:
        offsets.append(offsets[-1] + part.tokens)
    return offsets[: len(prompt.parts)]


def count_shared_tokens(prompt: Prompt) -> int:
    """Return how many tokens of a prompt other prompts may begin with."""
    return sum(part.tokens for part in prompt.parts[:-1])


def find_home_ranks(
    prompt: Prompt,
    cache_namespace: str,
    names: Sequence[str],
    cached_tokens: int,
    *,
    are_few: bool = True,
) -> dict[str, int]:
    """Return each server's rank as home of a prompt.

    Among few servers its home is that of the first shared part not yet read, so that
    a part is read once. Among many it is that of the last shared part: one home for
    what all prompts begin with would be overrun.

    :param cached_tokens: how much of the prompt some server has read.
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
    """Return some servers of each kind, for one request to choose among.

    It answers many instances that hear of each other's choices half a second late.
    Whatever looked idlest got the requests of all of them meanwhile: of 45 engines half
    had nothing to do while others had 70,000 prompt tokens before them.

    Those that have the newest weights, at first a few, are drawn as often as others:
    all requests together would make whoever waits there late as well.

    :param kinds: the servers, by whether they are kept for requests of such a size.
    """
    return {
        name
        for names in kinds
        for name in rng.sample(names, min(SAMPLED_SERVERS, len(names)))
    }


def select_by_prompt_size(prompt: Prompt, names: Sequence[str]) -> list[str]:
    """Return the servers that are kept for prompts of such a length.

    All instances agree on them without a message.
    """
    if len(names) <= FEW_SERVERS:
        return list(names)
    ranked = rank_by_rendezvous(SHORT_KEY, names)
    count = round(len(ranked) * SHORT_SHARE)
    is_short = prompt.tokens <= SHORT_TOKENS
    return ranked[:count] if is_short else ranked[count:]


def rank_homes(part: str, cache_namespace: str, names: Sequence[str]) -> list[str]:
    """Return the servers in the order in which they are home to a prompt part."""
    return rank_by_rendezvous(hash_part(cache_namespace, part), names)


def hash_part(cache_namespace: str, part: str) -> int:
    """Return the rendezvous key of a prompt part behind a wall."""
    return xxhash.xxh3_64_intdigest(f"{cache_namespace}/{part}".encode())


def make_load(demand: Demand, reusable_tokens: int) -> Load:
    """Return the work that a request adds to a server.

    :param reusable_tokens: how much of the prompt need not be read.
    """
    bound = 0 if demand.is_resumable else 1
    prompt = demand.prompt
    if prompt is None:
        return Load(1, bound=bound)
    own_tokens = prompt.tokens - count_shared_tokens(prompt)
    unread = prompt.tokens - reusable_tokens
    # Shared parts count once for all, so a request claims its own part only.
    memory = max(0, own_tokens) + prompt.max_output_tokens
    return Load(1, max(0, unread), memory, bound)


def is_full(candidate: Candidate, demand: Demand, claim: int) -> bool:
    """Return whether one more request would find no place.

    :param claim: the memory that the request would claim (tokens).
    """
    if demand.prompt is None:
        return candidate.load.requests >= candidate.slots * QUEUE_SHARE
    if candidate.load.requests >= candidate.slots:
        return True
    if not candidate.load.requests or not candidate.memory_tokens:
        return False
    claimed = candidate.load.held_tokens + claim
    return claimed > candidate.memory_tokens * MEMORY_SHARE


def estimate_seconds(
    candidate: Candidate, demand: Demand, shared: int | None = None
) -> float:
    """Return the seconds until the answer, and what else counts against it.

    :param shared: the prompt's shared tokens, where the caller has counted them.
    """
    load = candidate.load
    if demand.prompt is None:
        seconds = SLOT_COST_SECONDS * (load.requests + 1) / candidate.slots
    else:
        reusable = max(candidate.cached_tokens, candidate.fetch_tokens)
        unread = load.unread_tokens + demand.prompt.tokens - reusable
        seconds = unread / PREFILL_TOKENS_PER_SECOND
        seconds += load.requests * RUNNING_COST_SECONDS
        if candidate.fetch_tokens > candidate.cached_tokens:
            seconds += FETCH_COST_SECONDS
            if candidate.fetches_from_store:
                missing = candidate.fetch_tokens - candidate.cached_tokens
                seconds += missing * STORE_SECONDS_PER_TOKEN
        if candidate.home_rank:
            # Another instance may be having the same parts read at their home.
            if shared is None:
                shared = count_shared_tokens(demand.prompt)
            seconds += max(0, shared - reusable) / PREFILL_TOKENS_PER_SECOND
    if not candidate.is_local:
        is_plain = demand.prompt is None
        seconds += DOMAIN_COST_SECONDS if is_plain else PROMPT_DOMAIN_COST_SECONDS
    if not candidate.has_newest:
        seconds += candidate.stale_cost
    if not candidate.matches_prompt_size and demand.prompt is not None:
        is_short = demand.prompt.tokens <= SHORT_TOKENS
        seconds += SHORT_MISMATCH_SECONDS if is_short else LONG_MISMATCH_SECONDS
    if candidate.is_cold:
        seconds += COLD_COST_SECONDS
    return seconds + candidate.failure_share * FAILURE_COST_SECONDS


def score_candidates(
    candidates: Sequence[Candidate], demand: Demand
) -> list[ScoredCandidate]:
    """Return the candidates with a free place, the best first."""
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

    Among those that are as good as the best, homes go first, then chance decides.
    """
    if not scored:
        return None
    limit = scored[0].seconds + TIE_SECONDS
    near = [candidate for seconds, candidate in scored if seconds <= limit]
    best_rank = min(candidate.home_rank for candidate in near)
    return rng.choice([c for c in near if c.home_rank == best_rank])


def pick_least_loaded(scored: Sequence[ScoredCandidate]) -> Candidate | None:
    """Return the candidate with the least work in flight, None if there is none.

    For a request that may end its server: with 24 slots, up to 23 others would be lost
    with it at the server that answers soonest.
    """
    if not scored:
        return None
    best = min(scored, key=lambda e: (e.candidate.load.requests, e.seconds))
    return best.candidate


def choose_server(
    candidates: Sequence[Candidate], demand: Demand, rng: random.Random
) -> Candidate | None:
    """Return the best candidate with a free place, None if there is none."""
    return choose_scored(score_candidates(candidates, demand), demand, rng)


def choose_scored(
    scored: Sequence[ScoredCandidate], demand: Demand, rng: random.Random
) -> Candidate | None:
    """Return the candidate for a request, None if there is none."""
    return (
        pick_least_loaded(scored)
        if demand.is_suspected
        else pick_candidate(scored, rng)
    )


def describe_candidate(candidate: Candidate) -> list[Any]:
    """Return a candidate as a log line holds it; :func:`read_candidate` undoes it."""
    load = list(candidate.load)
    share = round(candidate.failure_share, 3)
    return list(candidate._replace(load=load, failure_share=share))  # type: ignore


def parse_candidate(fields: list[Any]) -> Candidate:
    """Return the candidate that a log line holds."""
    candidate = Candidate(*fields)
    return candidate._replace(load=Load(*candidate.load))


def describe_demand(demand: Demand) -> list[Any]:
    """Return what the choice of a server reads of a request, for a log line."""
    prompt = demand.prompt
    sizes = [part.tokens for part in prompt.parts] if prompt else []
    tokens = [prompt.tokens, prompt.max_output_tokens, sizes] if prompt else None
    described = [demand.service, demand.model, demand.is_resumable, tokens]
    return [*described, True] if demand.is_suspected else described


def parse_demand(fields: list[Any]) -> Demand:
    """Return the demand that a log line holds; its parts have sizes only."""
    service, model, is_resumable, tokens, *rest = fields
    prompt = None
    if tokens is not None:
        parts = tuple(PromptPart("", size) for size in tokens[2])
        prompt = Prompt(model or "", tokens[0], tokens[1], parts)
    return Demand(
        service,
        model,
        prompt,
        "",
        is_resumable=is_resumable,
        is_suspected=bool(rest),
    )
