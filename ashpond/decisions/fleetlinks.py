"""Whom an instance tells its news: everyone, or the hub of its group.

Among few instances each tells all others. Among many they form groups of one failure
domain. The members of a group tell its hub, hubs tell each other, and a hub tells its
members the sum: three steps at most, and a number of links an instance that grows
with the square root of the fleet, at hubs only. The hub is the first of the group's
candidates that answers; the next one stands by.
"""

from __future__ import annotations

__all__ = ["Links", "Member", "list_names", "plan_links"]

import math
from collections.abc import Mapping
from typing import NamedTuple

import xxhash

from ashpond.decisions.placement import rank_by_rendezvous

# Up to this many instances a full mesh costs less than a hub's detour (instances).
MAX_MESH_MEMBERS = 12
# Candidates that each member of a group is linked to: the hub and its stand-by.
HUB_CANDIDATES = 2
# Groups whose hubs ask the store for all; the second saves the wait when one fails.
READER_GROUPS = 2
READERS_KEY = 2


class Member(NamedTuple):
    """An instance as its row in the members' table describes it.

    ``link_mbps`` is what its network link carries, 0 if that is not known.
    """

    name: str
    address: str
    failure_domain: str
    link_mbps: float = 0.0


class Links(NamedTuple):
    """The peers of one instance.

    :param equals: those that it tells its own work, in a flat fleet.
    :param hubs: the candidates for the hub of its group that go before it, the first
        choice first; none if it is the first choice itself.
    :param other_hubs: the candidates of the other groups, the first choice of each
        first; told while this instance acts as the hub of its own.
    :param group: the name of its group, empty in a flat fleet.
    :param is_candidate: whether it may be the hub of its group.
    :param is_reader: whether the hub of its group asks the store for the whole fleet.
    """

    mesh_peers: tuple[Member, ...] = ()
    preferred_hubs: tuple[Member, ...] = ()
    other_hubs: tuple[tuple[Member, ...], ...] = ()
    group: str = ""
    is_candidate: bool = False
    is_reader: bool = False


def list_names(members: tuple[Member, ...]) -> list[str]:
    """Return the names of members, in their order."""
    return [member.name for member in members]


def plan_links(
    members: Mapping[str, Member], name: str, mesh_limit: int = MAX_MESH_MEMBERS
) -> Links:
    """Return the links of the instance called ``name``.

    :param mesh_limit: up to so many members, each tells all others.
    """
    if len(members) <= mesh_limit or name not in members:
        return Links(mesh_peers=tuple(m for m in members.values() if m.name != name))
    groups = _assign_groups(members)
    links = Links()
    readers = rank_by_rendezvous(READERS_KEY, list(groups))[:READER_GROUPS]
    other_hubs: list[tuple[Member, ...]] = []
    for key, names in sorted(groups.items()):
        ranked = rank_by_rendezvous(xxhash.xxh3_64_intdigest(key.encode()), names)
        # A hub sends ten times as much as a member: the widest links go first.
        ranked.sort(key=lambda name: -members[name].link_mbps)
        first = [members[n] for n in ranked[:HUB_CANDIDATES]]
        if name in names:
            rank = ranked.index(name)
            is_candidate = rank < HUB_CANDIDATES
            links = Links(
                (), tuple(first[:rank]), (), key, is_candidate, key in readers
            )
        else:
            other_hubs.append(tuple(first))
    return links._replace(other_hubs=tuple(other_hubs))


def _assign_groups(members: Mapping[str, Member]) -> dict[str, list[str]]:
    """Split each failure domain into groups of about the fleet's square root.

    The instances with the widest links are dealt out evenly: a group without one has a
    hub whose link its news fill, so that its members hear of everything seconds late.
    """
    size = math.sqrt(len(members))
    domains: dict[str, list[Member]] = {}
    for member in members.values():
        domains.setdefault(member.failure_domain, []).append(member)
    groups: dict[str, list[str]] = {}
    for domain, found in domains.items():
        count = max(1, round(len(found) / size))
        high = _rank_high_bandwidth(domain, found)
        for member in found:
            if member.name in high:
                group = f"{domain}/{high.index(member.name) % count}"
            else:
                group = _find_group(domain, member.name, count)
            groups.setdefault(group, []).append(member.name)
    return groups


def _rank_high_bandwidth(domain: str, members: list[Member]) -> list[str]:
    """Return those with wider links than most of a failure domain, in a fixed order."""
    bandwidths = sorted(member.link_mbps for member in members)
    median = bandwidths[len(bandwidths) // 2]
    high = [member.name for member in members if member.link_mbps > median]
    return rank_by_rendezvous(xxhash.xxh3_64_intdigest(domain.encode()), high)


def _find_group(domain: str, name: str, count: int) -> str:
    """Return the group of an instance; few change theirs when ``count`` does."""
    labels = [f"{domain}/{number}" for number in range(count)]
    key = xxhash.xxh3_64_intdigest(name.encode())
    return rank_by_rendezvous(key, labels)[0]
