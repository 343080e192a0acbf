"""Rights to retry are used once, by whoever holds them, or are lost."""

from __future__ import annotations

from ashpond.decisions.retryrights import (
    GRANT_SECONDS,
    Entitlement,
    InstancePeak,
    RetryRights,
)

SHARE = 0.2
WINDOW = 10.0
WHOLE = Entitlement(40.0, is_complete=True)
NOTHING = Entitlement(0.0, is_complete=True)
QUERY = ("i1#a", 1)


def make_rights() -> RetryRights:
    return RetryRights(SHARE, WINDOW, 0.0)


def use_all(rights: RetryRights, entitlement: Entitlement, now: float) -> int:
    count = 0
    while rights.take(entitlement, now):
        count += 1
    return count


def test_granted_rights_are_charged_until_the_peer_cannot_have_used_them() -> None:
    rights = make_rights()
    granted = rights.grant(QUERY, 1_000, WHOLE, 20.0)
    assert 0 < granted <= WHOLE.part
    assert not rights.take(WHOLE, 20.0)
    used_at = 20.0 + GRANT_SECONDS
    late = use_all(rights, WHOLE, used_at + WINDOW - 0.1)
    assert granted + late <= WHOLE.part


def test_rights_that_come_back_can_be_used_once_more() -> None:
    rights = make_rights()
    granted = rights.grant(QUERY, 1_000, WHOLE, 1.0)
    for _ in range(2):
        rights.take_back(QUERY, 5)
    rights.take_back(("i2#b", 1), 5)
    assert granted > 5
    assert use_all(rights, WHOLE, 1.0) == 5


def test_an_answer_that_comes_late_grants_nothing() -> None:
    rights = make_rights()
    rights.receive(QUERY, 5, 1.0, 1.0 + GRANT_SECONDS)
    assert not rights.take(NOTHING, 1.0 + GRANT_SECONDS)


def test_received_rights_that_have_expired_are_given_back_and_not_used() -> None:
    rights = make_rights()
    rights.receive(QUERY, 5, 1.0, 1.1)
    assert rights.take(NOTHING, 1.2)
    now = 1.0 + GRANT_SECONDS
    assert not rights.take(NOTHING, now)
    assert rights.drop_expired(now) == [(QUERY, 4)]
    assert not rights.has_received


def test_a_started_instance_has_no_rights_that_its_previous_incarnation_had() -> None:
    rights = make_rights()
    started = WHOLE._replace(is_complete=False)
    assert use_all(rights, started, 0.0) == 0
    assert 0 < use_all(rights, started, 5.0) <= WHOLE.part / 2


def test_a_change_of_the_window_keeps_what_has_been_used() -> None:
    rights = make_rights()
    used = use_all(rights, WHOLE, 5.0)
    rights.window = WINDOW / 2
    rights.window = WINDOW
    assert used
    assert not rights.take(WHOLE, 5.0)


def test_the_budget_window_slides() -> None:
    rights = make_rights()
    use_all(rights, WHOLE, 20.0)
    assert use_all(rights, WHOLE, 20.1 + WINDOW) > 1


def test_instances_that_have_left_count_until_their_rights_have_expired() -> None:
    peak = InstancePeak()
    assert peak.update(8, WINDOW, 0.0) == 8
    assert peak.update(3, WINDOW, 5.0) == 8
    assert peak.update(3, WINDOW, 14.9) == 8
    assert peak.update(3, WINDOW, 15.1) == 3
    assert peak.update(9, WINDOW, 15.2) == 9
