"""Which reports of peers are counted, and which sums are sent to each peer."""

from __future__ import annotations

from hypothesis import given, strategies as st

from ashpond.decisions.budget import AttemptCounts
from ashpond.decisions.loads import PEER_LOAD_SECONDS, Load
from ashpond.fleet.view import (
    HUB_TIMEOUT_SECONDS,
    SUM_CACHE_SECONDS,
    FleetView,
    InstanceLoad,
    PeerReport,
    Scope,
)

WINDOW = 10.0


def make_load(requests: int) -> InstanceLoad:
    return InstanceLoad({"a": Load(requests)}, {"reader": AttemptCounts(requests, 1)})


def report(
    view: FleetView, incarnation: str, scope: Scope, requests: int, at: float
) -> None:
    peer = incarnation.partition("#")[0]
    view.add(incarnation, PeerReport(peer, scope, at, make_load(requests)))


def make_hub_view() -> FleetView:
    """A hub's view: two members of its own group, and another group."""
    view = FleetView(WINDOW)
    report(view, "m1#1", Scope.MEMBER, 1, 0.0)
    report(view, "m2#1", Scope.MEMBER, 2, 0.0)
    report(view, "group south", Scope.GROUP, 4, 0.0)
    return view


def test_hubs_get_the_load_of_the_group_and_members_all_but_their_own() -> None:
    view = make_hub_view()
    assert view.sum_group(make_load(8), 0.1).loads["a"].requests == 11
    assert view.sum_fleet(make_load(8), "m1#1", 0.1).loads["a"].requests == 14
    attempts = view.sum_fleet(make_load(8), "m1#1", 0.1).attempts
    assert attempts["reader"] == AttemptCounts(14, 3)


def test_loads_expire_sooner_than_attempts() -> None:
    view = make_hub_view()
    later = PEER_LOAD_SECONDS + 0.1
    load = view.sum_group(make_load(8), later)
    assert load.loads["a"].requests == 8
    assert load.attempts["reader"].first == 11
    assert view.sum_group(make_load(8), WINDOW + 1).attempts["reader"].first == 8


def test_only_a_hubs_report_is_counted_until_it_times_out() -> None:
    view = make_hub_view()
    view.set_hubs(["h1", "h2"])
    assert len(view.list_counted(0.1)) == 3
    report(view, "h2#1", Scope.FLEET, 9, 0.0)
    assert view.list_counted(0.1) == ["h2#1"]
    report(view, "h1#1", Scope.FLEET, 9, 0.0)
    assert view.list_counted(0.1) == ["h1#1"]
    silent = HUB_TIMEOUT_SECONDS + 0.1
    report(view, "h2#1", Scope.FLEET, 9, silent)
    assert view.list_counted(silent) == ["h2#1"]


def test_a_fleet_report_of_a_peer_that_is_no_hub_is_not_counted() -> None:
    view = make_hub_view()
    view.set_hubs(["h1"])
    report(view, "x#1", Scope.FLEET, 100, 0.0)
    assert "x#1" not in view.list_counted(0.1)
    assert view.sum_fleet(make_load(0), "m1#1", 0.1).loads["a"].requests == 6


def test_the_report_of_a_groups_next_hub_replaces_that_of_the_last() -> None:
    view = make_hub_view()
    report(view, "group south", Scope.GROUP, 5, 0.2)
    assert view.sum_fleet(make_load(0), "m1#1", 0.3).attempts["reader"].first == 7


def test_expired_reports_are_dropped() -> None:
    view = make_hub_view()
    view.expire(WINDOW + 0.1)
    assert view.list_counted(WINDOW + 0.1) == []


def test_a_cached_sum_subtracts_the_receivers_load_at_the_time_of_the_sum() -> None:
    view = make_hub_view()
    assert view.sum_fleet(make_load(8), "m1#1", 0.1).loads["a"].requests == 14
    # Its later report is not in the cached sum and must not be subtracted from it.
    report(view, "m1#1", Scope.MEMBER, 100, 0.1 + SUM_CACHE_SECONDS / 3)
    soon = 0.1 + SUM_CACHE_SECONDS / 2
    assert view.sum_fleet(make_load(8), "m1#1", soon).loads["a"].requests == 14
    assert view.sum_fleet(make_load(8), "m2#1", soon).loads["a"].requests == 13
    later = 0.1 + SUM_CACHE_SECONDS
    assert view.sum_fleet(make_load(8), "m2#1", later).loads["a"].requests == 112


servers = st.sampled_from(["a", "b", "c"])
instance_loads = st.builds(
    InstanceLoad,
    st.dictionaries(servers, st.builds(Load, st.integers(1, 9), st.integers(0, 9))),
    st.dictionaries(servers, st.builds(AttemptCounts, st.integers(0, 9))),
)


@given(st.lists(instance_loads, min_size=1, max_size=5), instance_loads)
def test_each_member_is_sent_the_load_of_all_others(
    reports: list[InstanceLoad], own: InstanceLoad
) -> None:
    view = FleetView(WINDOW)
    for number, load in enumerate(reports):
        view.add(f"m{number}", PeerReport(f"m{number}", Scope.MEMBER, 0.0, load))
    for receiver in range(len(reports)):
        others = [own, *(w for n, w in enumerate(reports) if n != receiver)]
        found = view.sum_fleet(own, f"m{receiver}", 0.1)
        for name in "abc":
            requests = sum(w.loads.get(name, Load()).requests for w in others)
            assert found.loads.get(name, Load()).requests == requests
            fresh = sum(w.attempts.get(name, AttemptCounts()).first for w in others)
            assert found.attempts.get(name, AttemptCounts()).first == fresh
