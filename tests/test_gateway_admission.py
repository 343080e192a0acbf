"""Admission by route and key, and how old the knowledge of them may be."""

from __future__ import annotations

import pytest
from hypothesis import given, strategies as st

from ashpond.decisions.declared import Team, WeightTarget, find_route
from ashpond.decisions.knowledge import MAX_TARGET_DELAY_SECONDS, Knowledge
from ashpond.gateway.admission import (
    UNINFORMED_WAIT_SECONDS,
    AcceptedCall,
    admit_call,
)
from ashpond.gateway.store import Snapshot, StoreClock
from ashpond.outcomes import Refusal
from tests.gateway_builders import (
    HOST,
    KEY,
    make_call,
    make_declaration,
    make_route,
)

REVOCATION = 5.0


def make_knowledge(confirmed_at: float = 0.0, **changes: object) -> Knowledge:
    knowledge = Knowledge()
    knowledge.adopt(make_declaration(**changes))
    knowledge.confirm(confirmed_at)
    return knowledge


def test_the_longest_matching_prefix_wins() -> None:
    short = make_route(name="short", prefix="/a/")
    long = make_route(name="long", prefix="/a/b/")
    declaration = make_declaration(short, long)
    assert find_route(declaration, HOST, "/a/b/c").name == "long"
    assert find_route(declaration, f"{HOST.upper()}:80", "/a/c").name == "short"
    assert find_route(declaration, HOST, "/a") is None
    assert find_route(declaration, "other.example", "/a/b/c") is None


def test_a_known_key_gives_its_team_and_the_shorter_timeout() -> None:
    accepted = admit_call(make_call(), make_knowledge(), REVOCATION, 0.5)
    assert isinstance(accepted, AcceptedCall)
    assert accepted.team == Team("desk")
    assert accepted.deadline == 3.0


def test_the_routes_timeout_bounds_the_deadline() -> None:
    call = make_call(timeout=60.0)
    accepted = admit_call(call, make_knowledge(), REVOCATION, 0.0)
    assert accepted.deadline == 4.0


def test_an_unknown_key_is_refused_without_retry_after() -> None:
    refusal = admit_call(make_call(key="x"), make_knowledge(), REVOCATION, 0.0)
    assert isinstance(refusal, Refusal)
    assert (refusal.status, refusal.retry_after) == (401, None)


def test_an_anonymous_route_needs_no_key() -> None:
    knowledge = Knowledge()
    knowledge.adopt(make_declaration(make_route(is_anonymous=True)))
    knowledge.confirm(0.0)
    accepted = admit_call(make_call(key=None), knowledge, REVOCATION, 100.0)
    assert accepted.team is None


def test_a_key_is_not_used_once_its_removal_may_have_been_missed() -> None:
    knowledge = make_knowledge(confirmed_at=10.0)
    assert isinstance(
        admit_call(make_call(), knowledge, REVOCATION, 13.5), AcceptedCall
    )
    refusal = admit_call(make_call(), knowledge, REVOCATION, 13.9)
    assert (refusal.status, refusal.retry_after is not None) == (503, True)


def test_without_fresh_knowledge_unknown_routes_and_keys_get_503() -> None:
    knowledge = make_knowledge(confirmed_at=10.0)
    no_route = admit_call(make_call(path="/new/"), knowledge, REVOCATION, 13.0)
    no_key = admit_call(make_call(key="new"), knowledge, REVOCATION, 13.0)
    assert (no_route.status, no_key.status) == (503, 503)


def test_without_a_configuration_calls_get_503() -> None:
    assert admit_call(make_call(), Knowledge(), REVOCATION, 0.0).status == 503


def test_isolated_teams_have_their_own_cache_namespace() -> None:
    teams = {KEY: Team("a", is_isolated=True), "k2": Team("b")}
    knowledge = make_knowledge(teams_by_key=teams)
    namespaces = {
        admit_call(make_call(key=key), knowledge, REVOCATION, 0.0).cache_namespace
        for key in (KEY, "k2")
    }
    assert len(namespaces) == 2


def test_a_teams_priority_overrides_the_routes() -> None:
    knowledge = make_knowledge(teams_by_key={KEY: Team("a", priority=7)})
    assert admit_call(make_call(), knowledge, REVOCATION, 0.0).urgency == 7


def test_an_older_configuration_is_never_adopted() -> None:
    knowledge = make_knowledge(version=5)
    assert not knowledge.adopt(make_declaration(version=4))
    assert not knowledge.adopt(make_declaration(version=5))
    assert knowledge.declaration.version == 5


CALLS = st.lists(
    st.tuples(st.floats(0, 3), st.floats(0, 3), st.floats(0, 5)), min_size=1
)


@given(CALLS, st.floats(-1e4, 1e4))
def test_an_answer_is_never_dated_later_than_it_was_made(
    calls: list[tuple[float, float, float]], offset: float
) -> None:
    """``calls`` are the delays of request and answer, and the time between calls."""
    clock = StoreClock()
    now = 0.0
    for there, back, between in calls:
        made_at = now + there
        snapshot = Snapshot((), 1, made_at + offset, now, made_at + back)
        assert clock.date(snapshot) <= made_at + 1e-6
        assert clock.date(snapshot) >= now - 1e-6
        now = made_at + back + between


def test_a_long_poll_is_dated_by_its_answer() -> None:
    clock = StoreClock()
    clock.date(Snapshot((), 1, 1000.0, 0.0, 0.01))
    # Sent at 1 s, answered by the store 2 s later.
    assert abs(clock.date(Snapshot((), 1, 1003.0, 1.0, 3.01)) - 3.0) < 0.02


def test_a_weight_target_is_required_only_after_a_delay() -> None:
    from ashpond.decisions.declared import WeightTarget

    knowledge = Knowledge()
    knowledge.adopt_target(WeightTarget("m", 2), 10.0)
    assert knowledge.find_required_version("m", 10.5) == 0
    assert knowledge.find_required_version("m", 11.5) == 2
    assert not knowledge.adopt_target(WeightTarget("m", 1), 12.0)


def test_a_target_received_late_is_required_no_later() -> None:
    """Else old weights are served 15.3 s after the target's acceptance."""
    knowledge = Knowledge()
    knowledge.adopt(make_declaration())
    knowledge.confirm(5.0)
    knowledge.adopt_target(WeightTarget("m", 2), 7.5)
    assert knowledge.find_possible_version("m", 4.9) == 0
    assert knowledge.find_possible_version("m", 5.0) == 2
    # The full requirement counts from the time of receipt.
    assert knowledge.find_required_version("m", 8.0) == 0
    # After a long time without the store, the assumed delay has a limit.
    target = WeightTarget("m", 3)
    knowledge.adopt_target(target, 30.0, was_store_unreachable=True)
    assert (
        knowledge.find_possible_version("m", 30.0 - MAX_TARGET_DELAY_SECONDS - 0.1) == 2
    )
    assert knowledge.find_possible_version("m", 30.0 - MAX_TARGET_DELAY_SECONDS) == 3


def test_an_instance_that_was_stopped_dates_a_target_before_its_stop() -> None:
    """The store served others meanwhile, so the time counts against the bound."""
    knowledge = Knowledge()
    knowledge.adopt(make_declaration())
    knowledge.confirm(5.0)
    knowledge.adopt_target(WeightTarget("m", 2), 12.0)
    assert knowledge.find_possible_version("m", 5.0) == 2


def test_an_instance_that_has_just_started_requires_a_target_of_unknown_age() -> None:
    """It took the target for new, and sent to old engines for 8.5 s too long."""
    knowledge = Knowledge()
    knowledge.adopt_target(WeightTarget("m", 3), 7.5)
    assert knowledge.find_possible_version("m", 7.5 - 8.5) == 3
    assert knowledge.date_target("m", 3, 6.0)
    assert knowledge.date_target("m", 2, 1.0)
    found = [knowledge.find_possible_version("m", until) for until in (0.5, 5.9, 6.0)]
    assert found == [0, 2, 3]


@pytest.mark.parametrize("timeout", [0.3, 1.2, 12.0])
def test_clients_of_an_uninformed_instance_return_one_by_one(timeout: float) -> None:
    """All were sent away for 0.3 s, so that they came back together."""
    times = set()
    for number in range(20):
        call = make_call(timeout=timeout, request_id=f"id-{number}")
        refusal = admit_call(call, Knowledge(), REVOCATION, 0.0)
        times.add(refusal.retry_after)
    if timeout / 3 < UNINFORMED_WAIT_SECONDS:
        # No time that the client accepts would help it.
        assert times == {None}
    else:
        assert len(times) > 10
        assert all(UNINFORMED_WAIT_SECONDS <= t <= timeout / 3 for t in times)
