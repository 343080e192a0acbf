"""Choose the peers that an instance sends its updates to: all, or its group's hub.

In a small fleet each instance sends to all others. In a large one, instances form
groups within a failure domain. Members send to the hub of their group, hubs to each
other, and a hub sends the totals to its members. An update takes at most three hops,
and only hubs have many links: about the square root of the number of instances. The
hub is the first candidate of the group that is reachable; the next one is on standby.
"""

from __future__ import annotations

__all__ = ["Links", "Member", "list_names", "plan_links", "spread_domains"]

import math
from collections.abc import Mapping, Sequence
from typing import NamedTuple

import xxhash

from ashpond.decisions.placement import rank_by_rendezvous

# Up to this many instances, a full mesh costs less than the extra hops through hubs.
MAX_MESH_MEMBERS = 12
# Hub candidates that each member of a group is linked to: the hub and its standby.
HUB_CANDIDATES = 2
# Groups whose hubs read the store for the whole fleet. With two of them, a failure of
# one causes no wait.
READER_GROUPS = 2
READERS_KEY = 2


class Member(NamedTuple):
    """An instance as described by its row in the members table.

    ``link_mbps`` is the bandwidth of its network link, 0 if unknown.
    """

    name: str
    address: str
    failure_domain: str
    link_mbps: float = 0.0


class Links(NamedTuple):
    """The peers of one instance.

    :param mesh_peers: all other instances in a full mesh, which receive its own load.
    :param preferred_hubs: the hub candidates of its group that rank before it, the
        first choice first; none if it is the first choice itself.
    :param other_hubs: the hub candidates of each other group, the first choice first;
        updates are sent to them while this instance is the hub of its own group.
    :param group: the name of its group, empty in a full mesh.
    :param is_candidate: whether it may become the hub of its group.
    :param is_reader: whether the hub of its group reads the store for the whole fleet.
    """

    mesh_peers: tuple[Member, ...] = ()
    preferred_hubs: tuple[Member, ...] = ()
    other_hubs: tuple[tuple[Member, ...], ...] = ()
    group: str = ""
    is_candidate: bool = False
    is_reader: bool = False


def list_names(members: tuple[Member, ...]) -> list[str]:
    """Return the names of members, in the same order."""
    return [member.name for member in members]


def plan_links(
    members: Mapping[str, Member], name: str, mesh_limit: int = MAX_MESH_MEMBERS
) -> Links:
    """Return the links of the instance called ``name``.

    :param mesh_limit: the number of members up to which they form a full mesh.
    """
    if len(members) <= mesh_limit or name not in members:
        return Links(mesh_peers=tuple(m for m in members.values() if m.name != name))
    groups = _assign_groups(members)
    links = Links()
    readers = rank_by_rendezvous(READERS_KEY, list(groups))[:READER_GROUPS]
    other_hubs: list[tuple[Member, ...]] = []
    for key, names in sorted(groups.items()):
        ranked = rank_by_rendezvous(xxhash.xxh3_64_intdigest(key.encode()), names)
        # A hub sends ten times as much as a member: prefer links with high bandwidth.
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
    """Split each failure domain into groups of about the square root of the fleet.

    Instances with high bandwidth are distributed evenly. In a group without one, the
    updates saturate the hub's link, and members receive them seconds late.
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
    """Return the members with more than the median bandwidth, in a fixed order."""
    bandwidths = sorted(member.link_mbps for member in members)
    median = bandwidths[len(bandwidths) // 2]
    high = [member.name for member in members if member.link_mbps > median]
    return rank_by_rendezvous(xxhash.xxh3_64_intdigest(domain.encode()), high)


def _find_group(domain: str, name: str, count: int) -> str:
    """Return the group of an instance; few instances move if ``count`` changes."""
    labels = [f"{domain}/{number}" for number in range(count)]
    key = xxhash.xxh3_64_intdigest(name.encode())
    return rank_by_rendezvous(key, labels)[0]


def spread_domains(ranked: Sequence[Member]) -> list[Member]:
    """Return members with the first one of each failure domain before all others."""
    domains: set[str] = set()
    first: list[Member] = []
    rest: list[Member] = []
    for member in ranked:
        (rest if member.failure_domain in domains else first).append(member)
        domains.add(member.failure_domain)
    return first + rest
