"""Instances agree on shards and coordinators without communicating."""

from __future__ import annotations

import random
from collections import Counter

from ashpond.decisions.prompts import Prompt, PromptPart
from ashpond.decisions.shards import (
    choose_shard,
    list_shards,
    rank_shard_coordinators,
    rank_shards,
)
from tests.gateway_builders import make_prompt
from tests.placement_builders import DOMAINS, make_members


def make_servers(count: int) -> dict[str, str]:
    return {f"s{n}": DOMAINS[n % len(DOMAINS)] for n in range(count)}


def test_a_service_with_few_servers_is_one_shard() -> None:
    assert list_shards({}) == [""]
    assert list_shards(make_servers(12)) == [""]
    assert list_shards(make_servers(13)) == sorted(DOMAINS)


def test_a_server_without_a_domain_is_in_some_shard() -> None:
    """Else it would get no request, as no shard has the empty domain alone."""
    assert list_shards(make_servers(20) | {"odd": ""}) == [""]


def test_a_long_shared_part_has_the_same_home_at_all_instances() -> None:
    """Else each domain reads it: 6,300 tokens took 0.11 s each time."""
    homes = set()
    for domain in DOMAINS:
        ranked = rank_shards(DOMAINS, make_prompt(tokens=1000), "shared", domain)
        assert sorted(ranked) == sorted(DOMAINS)
        homes.add(ranked[0])
    assert len(homes) == 1
    others = {
        rank_shards(DOMAINS, make_prompt("rules", f"p{n}", "own"), "shared", "n")[0]
        for n in range(40)
    }
    assert others == set(DOMAINS)


def test_a_short_shared_part_stays_in_the_domain_of_the_instance() -> None:
    parts = (PromptPart("rules", 1999), PromptPart("own", 9000))
    for prompt in (None, Prompt("m1", 10_999, 50, parts)):
        ranked = [rank_shards(DOMAINS, prompt, "shared", domain) for domain in DOMAINS]
        assert [shards[0] for shards in ranked] == list(DOMAINS)
        assert all(sorted(shards) == sorted(DOMAINS) for shards in ranked)
    assert rank_shards(["south"], None, "shared", "north") == ["south"]


def test_most_candidates_are_near_and_one_is_elsewhere() -> None:
    """Else the shard has no coordinator while its domain is cut off."""
    found = rank_shard_coordinators("reader", "north", make_members(5))
    assert [member.failure_domain == "north" for member in found] == [
        True,
        True,
        True,
        False,
    ]
    assert found == rank_shard_coordinators("reader", "north", make_members(5))


def test_candidates_of_a_whole_service_are_in_different_domains() -> None:
    found = rank_shard_coordinators("plain", "", make_members(3))
    assert {member.failure_domain for member in found} == set(DOMAINS)
    assert len(found) == 4


def test_candidates_have_the_highest_bandwidth() -> None:
    members = make_members(6, north4=100, south2=100)
    found = rank_shard_coordinators("reader", "north", members)
    assert found[0].name == "north4"
    assert found[3].name == "south2"


def test_a_domain_with_few_instances_has_candidates() -> None:
    few = {n: m for n, m in make_members(3).items() if n in ("north0", "south0")}
    assert len(rank_shard_coordinators("reader", "north", few)) == 2
    found = rank_shard_coordinators("reader", "east", make_members(2))
    domains = [member.failure_domain for member in found]
    assert domains[:2] == ["east", "east"]
    assert len(set(domains)) == 3
    assert len(rank_shard_coordinators("reader", "mars", make_members(2))) == 4
    assert rank_shard_coordinators("reader", "north", {}) == []


def test_shards_and_services_have_different_coordinators() -> None:
    """Else one instance places the requests of all services of its domain."""
    members = make_members(8)
    first = Counter(
        rank_shard_coordinators(f"service{n}", "north", members)[0].name
        for n in range(40)
    )
    assert len(first) > 4


def test_requests_move_gradually_to_a_shard_with_a_shorter_wait() -> None:
    """All of them at once would move the queue from shard to shard."""
    rng = random.Random(1)

    def count(first: float, second: float) -> int:
        waits = {"north": first, "south": second}
        ranked = ["north", "south", "west"]
        found = [choose_shard(ranked, waits | {"west": 9.0}, rng) for _ in range(1000)]
        assert "west" not in found
        return found.count("south")

    assert count(0.0, 0.0) == 0
    assert count(0.5, 0.46) == 0
    assert 400 < count(0.79, 0.5) < 600
    assert 850 < count(2.79, 0.5) < 950
    assert choose_shard(["north"], {"north": 5.0}, rng) == "north"
