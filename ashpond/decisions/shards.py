"""Divide the servers of a service into shards, and choose who coordinates each.

Answers the load of many instances that each know the servers' loads up to a second
late: one instance places all requests of a shard.
"""

from __future__ import annotations

__all__ = [
    "WHOLE_SERVICE",
    "choose_shard",
    "is_in_shard",
    "list_shards",
    "rank_shard_coordinators",
    "rank_shards",
]

import random
from collections.abc import Mapping, Sequence

import xxhash

from ashpond.decisions.fleetlinks import Member, spread_domains
from ashpond.decisions.placement import rank_by_rendezvous
from ashpond.decisions.prompts import Prompt
from ashpond.decisions.selection import FEW_SERVERS, rank_homes
from ashpond.decisions.servercosts import (
    PROMPT_DOMAIN_COST_SECONDS,
    count_shared_tokens,
)

# The name of the only shard of a service with few servers.
WHOLE_SERVICE = ""
# Reading as many shared tokens again takes as long as the use of another failure domain
# costs: 0.04 s at 50,000 tokens a second.
HOME_SHARED_TOKENS = 2_000
# The candidates for coordinator of a shard, and how many of them are from its domain:
# one stays reachable when that domain is cut off.
COORDINATOR_CANDIDATES = 4
DOMAIN_CANDIDATES = 3
# The excess of a shard's wait at which half of its requests go elsewhere (seconds). All
# of them at once would move the queue from shard to shard.
HALF_SHIFT_SECONDS = 0.25


def list_shards(servers: Mapping[str, str]) -> list[str]:
    """Return the shards of a service.

    A service with few servers, or with a server whose failure domain is unknown, is one
    shard.

    :param servers: the failure domains of its servers, by id.
    """
    domains = set(servers.values())
    if len(servers) <= FEW_SERVERS or WHOLE_SERVICE in domains:
        return [WHOLE_SERVICE]
    return sorted(domains)


def is_in_shard(shard: str, failure_domain: str) -> bool:
    """Return whether a shard contains the servers of a failure domain."""
    return shard in (WHOLE_SERVICE, failure_domain)


def rank_shards(
    shards: Sequence[str], prompt: Prompt | None, cache_namespace: str, own_domain: str
) -> list[str]:
    """Return the shards in the order in which a request prefers them.

    Prompts with long shared parts go to the home of the last one, so that it is read in
    one shard only. Others stay in the failure domain of their instance; the order of
    the other domains differs from domain to domain.
    """
    if prompt is not None and count_shared_tokens(prompt) >= HOME_SHARED_TOKENS:
        return rank_homes(prompt.parts[-2].id, cache_namespace, shards)
    ranked = rank_by_rendezvous(_hash(own_domain), shards)
    ranked.sort(key=lambda shard: shard != own_domain)
    return ranked


def rank_shard_coordinators(
    service: str, shard: str, members: Mapping[str, Member]
) -> list[Member]:
    """Return the candidates for coordinator of a shard, the first choice first.

    The order is the same at all instances: the highest bandwidth first, equal ones in
    the rendezvous order of the shard.

    :param members: all instances by name.
    """
    names = rank_by_rendezvous(_hash(f"{service}/{shard}"), sorted(members))
    ranked = [members[name] for name in names]
    ranked.sort(key=lambda member: -member.link_mbps)
    if shard == WHOLE_SERVICE:
        return spread_domains(ranked)[:COORDINATOR_CANDIDATES]
    near = [member for member in ranked if member.failure_domain == shard]
    far = spread_domains(
        [member for member in ranked if member.failure_domain != shard]
    )
    first = near[:DOMAIN_CANDIDATES]
    others = far or near[DOMAIN_CANDIDATES:]
    return first + others[: COORDINATOR_CANDIDATES - len(first)]


def choose_shard(
    ranked: Sequence[str], waits: Mapping[str, float], rng: random.Random
) -> str:
    """Return the shard to send a request to: mostly the first one.

    If another one's wait is shorter by more than a change of failure domain costs, some
    of the requests go there, the more the longer the excess.

    :param ranked: the shards by :func:`rank_shards`, at least one.
    :param waits: the waits reported of shards (seconds); those without one have none.
    """
    first, *others = ranked
    if not others:
        return first
    shortest = min(others, key=lambda shard: waits.get(shard, 0.0))
    excess = waits.get(first, 0.0) - waits.get(shortest, 0.0)
    excess -= PROMPT_DOMAIN_COST_SECONDS
    if excess <= 0 or rng.random() >= excess / (excess + HALF_SHIFT_SECONDS):
        return first
    return shortest


def _hash(text: str) -> int:
    return xxhash.xxh3_64_intdigest(text.encode())
