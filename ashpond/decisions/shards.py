"""Split the servers of a service into shards, and choose the shard for a request.

One instance coordinates a shard. This bounds the load of a coordinator, and lets each
failure domain place requests while it is cut off from the others.
"""

from __future__ import annotations

__all__ = [
    "WHOLE_SERVICE",
    "choose_shard",
    "list_shards",
    "rank_shard_coordinators",
    "rank_shards",
]

import random
from collections.abc import Mapping, Sequence

import xxhash

from ashpond.decisions.fleetlinks import Member
from ashpond.decisions.placement import rank_by_rendezvous
from ashpond.decisions.prompts import Prompt
from ashpond.decisions.selection import FEW_SERVERS, count_shared_tokens, rank_homes

# The only shard of a service with few servers.
WHOLE_SERVICE = ""
# Reading as many tokens takes 0.04 s, as long as the use of another failure domain
# costs.
HOME_TOKENS = 2_000
DOMAIN_COST_SECONDS = 0.04
# A shard whose wait exceeds another's by this is left by half of its requests.
SPILL_SECONDS = 0.25
CANDIDATES = 4
# Candidates for a failure domain's shard that are in that domain, as far as possible.
LOCAL_CANDIDATES = 3


def list_shards(servers: Mapping[str, str]) -> list[str]:
    """Return the shards of a service, sorted.

    :param servers: the failure domain of each server by its id.
    """
    if len(servers) <= FEW_SERVERS:
        return [WHOLE_SERVICE] if servers else []
    return sorted(set(servers.values()))


def rank_shards(
    shards: Sequence[str],
    prompt: Prompt | None,
    cache_namespace: str,
    own_domain: str,
) -> list[str]:
    """Return the shards for a request, the preferred one first.

    Prompts with a long shared part go to the part's home, so that one shard reads it;
    others stay in this instance's failure domain.
    """
    if prompt is not None and count_shared_tokens(prompt) >= HOME_TOKENS:
        return rank_homes(prompt.parts[-2].id, cache_namespace, shards)
    return sorted(shards, key=lambda shard: shard != own_domain)


def rank_shard_coordinators(
    service: str, shard: str, members: Mapping[str, Member]
) -> list[Member]:
    """Return the candidates for coordinator of a shard, the first choice first.

    All instances agree on the order. The last candidate for a failure domain's shard is
    in another domain, so that the shard is coordinated if its own domain fails.
    """
    key = xxhash.xxh3_64_intdigest(f"{service}/{shard}".encode())
    ranked = [members[name] for name in rank_by_rendezvous(key, list(members))]
    ranked.sort(key=lambda member: -member.link_mbps)
    if shard != WHOLE_SERVICE:
        local = [m for m in ranked if m.failure_domain == shard][:LOCAL_CANDIDATES]
        others = [m for m in ranked if m.failure_domain != shard]
        return local + others[: CANDIDATES - len(local)]
    domains: set[str] = set()
    first: list[Member] = []
    rest: list[Member] = []
    for member in ranked:
        is_new = member.failure_domain not in domains
        (first if is_new else rest).append(member)
        domains.add(member.failure_domain)
    return (first + rest)[:CANDIDATES]


def choose_shard(
    ranked: Sequence[str], waits: Mapping[str, float], rng: random.Random
) -> str:
    """Return the first shard, or a later one whose wait is much shorter.

    The later one is chosen with a probability that grows with the difference, so that
    the load does not swing between shards.

    :param waits: the estimated wait of a new request by shard (seconds).
    """
    first = ranked[0]
    if len(ranked) == 1:
        return first
    best = min(ranked[1:], key=lambda shard: waits.get(shard, 0.0))
    excess = waits.get(first, 0.0) - waits.get(best, 0.0) - DOMAIN_COST_SECONDS
    if excess <= 0 or rng.random() >= excess / (excess + SPILL_SECONDS):
        return first
    return best
