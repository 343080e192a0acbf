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

from ashpond.decisions.loads import Load
from ashpond.decisions.placement import rank_by_rendezvous
from ashpond.decisions.prompts import Prompt

# An idle engine prefills 57 prompt tokens per ms, one with running requests 50: the
# first event of an answer comes 0.05 s and 20 us per token after the request is sent.
PREFILL_TOKENS_PER_SECOND = 50_000.0
# Each running request adds 0.1 ms to every output token; an answer has about 50.
RUNNING_COST_SECONDS = 0.006
# A request that a plain server queues waits for about the duration of one answer.
SLOT_COST_SECONDS = 0.06
# A request and its answer each cross the network between two failure domains once.
DOMAIN_COST_SECONDS = 0.004
# A prompt and its answer are 10 to 25 KB, and traffic between failure domains is
# charged: at 40 requests a second, this cost reduces it from 16 MB to 12 MB in 50 s. It
# also keeps instances of different domains from all choosing the same idle engine,
# which raises the earned share of the requests' worth by 0.00 to 0.04.
PROMPT_DOMAIN_COST_SECONDS = 0.04
# An answer from old weights loses a fifth of its worth, as much as a late answer.
STALE_COST_SECONDS = 0.25
# Used among many servers. At the full cost, the few servers that load the newest
# weights first would be overloaded, and requests that queue there delay those behind.
MANY_STALE_COST_SECONDS = 0.08
# A failed answer costs about as much as the full latency objective.
FAILURE_COST_SECONDS = 0.6
COLD_COST_SECONDS = 0.05
# Fetching cached tokens takes a few ms, a hundredth of the time to prefill the same.
FETCH_COST_SECONDS = 0.006
# A cached token takes 18 KB; stores have links of 25 Gbit/s, engines 20 times that.
STORE_SECONDS_PER_TOKEN = 6e-6
TIE_SECONDS = 0.002
# Share of an engine's memory for requests; the rest keeps shared parts cached.
MEMORY_SHARE = 0.8
# Plain servers queue some requests beyond their slots, which is better than a refusal.
QUEUE_SHARE = 1.5
# With at most this many servers, one server can be the home of a part that all
# prompts share without being overloaded.
FEW_SERVERS = 12
# Engines prefill prompts in chunks of 4,096 tokens, 72 ms each, between the decoding
# steps of running answers. Eight chunks in a row pause these answers for so long that
# they count as late. Among many servers, some are therefore reserved for prompts
# shorter than half a chunk (tokens).
SHORT_TOKENS = 2_048
SHORT_SHARE = 0.2
# A short prompt among long ones is delayed; a long one among short ones delays many.
SHORT_MISMATCH_SECONDS = 0.06
LONG_MISMATCH_SECONDS = 0.15
# The rendezvous key by which all instances agree on the servers for short prompts.
SHORT_KEY = 3
# Instances learn of each other's choices late, so one server looks best to all of them.
# Each request therefore considers this many servers of each kind, drawn at random.
SAMPLED_SERVERS = 2


class Demand(NamedTuple):
    """The properties of a request that the choice of a server depends on.

    ``cache_namespace`` separates the cached prompt parts of teams that share none.
    Servers in ``excluded`` are not chosen. ``is_suspected`` marks a request that may
    crash its server. ``longest_pause`` bounds the reading at an engine of known speed,
    ``objective`` the queue at a plain server of known speed; 0 sets no bound (seconds).
    """

    service: str
    model: str | None
    prompt: Prompt | None
    cache_namespace: str
    excluded: frozenset[str] = frozenset()
    is_resumable: bool = False
    is_suspected: bool = False
    longest_pause: float = 0.0
    objective: float = 0.0


class Candidate(NamedTuple):
    """A server that may take a request.

    ``cached_tokens`` is the number of leading prompt tokens that the server has cached,
    ``fetch_tokens`` the number that it can fetch from another engine or a cache store.
    ``home_rank`` is its rank as home of the prompt, see :func:`find_home_ranks`.
    ``memory_tokens`` is 0 for a plain server. ``matches_prompt_size`` is false for a
    server that is reserved for prompts of another length. ``stale_cost`` is the cost of
    weights that are not the newest (seconds).

    The other fields are those of a server whose speed is known: ``read_rate`` in prompt
    tokens a second, ``work_seconds`` the time that a plain server works on a request,
    ``reading_tokens`` the prompt tokens that it reads for all its unfinished requests.
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
    read_rate: float = PREFILL_TOKENS_PER_SECOND
    work_seconds: float = SLOT_COST_SECONDS
    reading_tokens: int = 0


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


def count_shared_tokens(prompt: Prompt) -> int:
    """Return the number of tokens in the parts that other prompts may share."""
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


def make_load(demand: Demand, reusable_tokens: int) -> Load:
    """Return the load that a request adds to a server.

    :param reusable_tokens: how many prompt tokens are cached or can be fetched.
    """
    bound = 0 if demand.is_resumable else 1
    prompt = demand.prompt
    if prompt is None:
        return Load(1, bound=bound)
    own_tokens = prompt.tokens - count_shared_tokens(prompt)
    unread = prompt.tokens - reusable_tokens
    # Shared parts take memory once, so a request claims that of its own part only.
    memory = max(0, own_tokens) + prompt.max_output_tokens
    return Load(1, max(0, unread), memory, bound)


def is_full(candidate: Candidate, demand: Demand, claim: int) -> bool:
    """Return whether a server has no room for one more request.

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
    """Return the cost of a candidate in seconds, the best having the least.

    It is the time until the answer begins, plus the costs of old weights, failures and
    traffic between failure domains.

    :param shared: the number of the prompt's shared tokens, counted here if None.
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
            # Another instance may be having the same parts prefilled at their home.
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
