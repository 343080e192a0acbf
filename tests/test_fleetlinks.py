"""The peers that each instance of a fleet sends its updates to."""

from __future__ import annotations

from hypothesis import given, strategies as st

from ashpond.decisions.fleetlinks import (
    HUB_CANDIDATES,
    MAX_MESH_MEMBERS,
    Member,
    plan_links,
)


def make_members(count: int, domains: int = 4) -> dict[str, Member]:
    return {
        f"i{n}": Member(f"i{n}", f"10.0.0.{n}:1", f"d{n % domains}")
        for n in range(count)
    }


def test_a_small_fleet_forms_a_full_mesh() -> None:
    members = make_members(MAX_MESH_MEMBERS)
    for name in members:
        links = plan_links(members, name)
        assert {m.name for m in links.mesh_peers} == members.keys() - {name}
        assert not links.preferred_hubs
        assert not links.other_hubs


def test_an_instance_that_is_not_listed_yet_sends_to_all() -> None:
    members = make_members(30)
    assert len(plan_links(members, "new").mesh_peers) == 30


@given(count=st.integers(MAX_MESH_MEMBERS + 1, 200), domains=st.integers(1, 11))
def test_each_group_has_one_first_choice_known_to_all_others(
    count: int, domains: int
) -> None:
    members = make_members(count, domains)
    links = {name: plan_links(members, name) for name in members}
    groups = {link.group for link in links.values()}
    for group in groups:
        own = [name for name in members if links[name].group == group]
        assert len({members[name].failure_domain for name in own}) == 1
        first = [name for name in own if not links[name].preferred_hubs]
        assert len(first) == 1
        for name in own:
            if name != first[0]:
                assert links[name].preferred_hubs[0].name == first[0]
        candidates = [name for name in own if links[name].is_candidate]
        assert len(candidates) == min(HUB_CANDIDATES, len(own))
        for name in members:
            if links[name].group != group:
                known = [[m.name for m in g] for g in links[name].other_hubs]
                assert first + [c for c in candidates if c != first[0]] in known


def test_links_grow_slower_than_the_fleet() -> None:
    def count_most(size: int) -> int:
        members = make_members(size, domains=5)
        links = [plan_links(members, name) for name in members]
        return max(
            len(link.preferred_hubs) + sum(map(len, link.other_hubs)) for link in links
        )

    assert count_most(390) < 3 * count_most(78)
    assert count_most(390) < 60


def test_few_instances_change_their_group_when_one_joins() -> None:
    before = make_members(78)
    after = make_members(79)
    moved = [
        name
        for name in before
        if plan_links(before, name).group != plan_links(after, name).group
    ]
    assert len(moved) <= 78 / 4


def test_hubs_have_high_bandwidth() -> None:
    """Guards against hubs on links of 5 Mbit/s, which their own updates saturated."""
    members = make_members(78)
    high = [f"i{n}" for n in range(0, 78, 10)]
    members |= {n: members[n]._replace(link_mbps=200.0) for n in high}
    links = {name: plan_links(members, name) for name in members}
    for name in members:
        group = [n for n in members if links[n].group == links[name].group]
        if any(n in high for n in group):
            hub = next(n for n in group if not links[n].preferred_hubs)
            assert hub in high


def test_each_group_has_a_member_with_high_bandwidth() -> None:
    """Guards against a group without a link of high bandwidth.

    If both such instances of a domain are in one group, members of the other group
    receive updates 2 s late.
    """
    members = {}
    for domain in ("north", "south", "east", "west"):
        for number in range(22):
            name = f"front-{domain}-{number + 1}"
            bandwidth = 100.0 if number < 2 else 5.0
            members[name] = Member(name, "10.0.0.1:1", domain, bandwidth)
    links = {name: plan_links(members, name) for name in members}
    groups = {link.group for link in links.values()}
    assert len(groups) == 8
    hubs = [name for name in members if not links[name].preferred_hubs]
    assert {members[hub].link_mbps for hub in hubs} == {100.0}
