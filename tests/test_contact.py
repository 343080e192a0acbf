"""Whether an instance takes itself for cut off, and its choice of relays."""

from __future__ import annotations

import math
import random

import pytest
from hypothesis import given, strategies as st

from ashpond.decisions.contact import (
    LONGEST_SECONDS,
    MAX_TRIAL_SECONDS,
    ContactMonitor,
    PeerContact,
    do_peers_reach_servers,
)
from ashpond.decisions.fleetlinks import Member
from ashpond.decisions.relays import (
    MAX_TUNNELS,
    RelayRecord,
    find_tunnel_limit,
    rank_relays,
)


def make_monitor() -> ContactMonitor:
    return ContactMonitor(random.Random(1))


def fail(monitor: ContactMonitor, server: str, at: float) -> bool:
    return monitor.note_failure(server, at - 0.01, at)


def test_two_servers_without_an_answer_in_between_show_a_partition() -> None:
    monitor = make_monitor()
    assert not fail(monitor, "s1", 1.0)
    assert fail(monitor, "s2", 1.1)
    assert monitor.is_cut_off
    assert not fail(monitor, "s3", 1.2)


def test_one_server_that_fails_again_and_again_shows_none() -> None:
    monitor = make_monitor()
    assert not any(fail(monitor, "s1", 1.0 + n / 10) for n in range(50))


def test_a_server_that_hangs_while_others_answer_shows_none() -> None:
    monitor = make_monitor()
    for n in range(20):
        sent_at = float(n)
        monitor.note_answer(sent_at + 0.3)
        assert not monitor.note_failure(f"s{n % 4}", sent_at, sent_at + 0.6)


def fail_at_gone(monitor: ContactMonitor, server: str, at: float) -> bool:
    return monitor.note_failure(server, at - 0.01, at, may_be_gone=True)


def test_servers_that_may_be_gone_show_no_partition_by_themselves() -> None:
    """Two entries that nobody can connect to showed one after each answer."""
    monitor = make_monitor()
    monitor.note_answer(0.5)
    assert not any(fail_at_gone(monitor, f"gone{n}", 1.0 + n / 10) for n in range(9))
    assert fail(monitor, "s1", 2.0)
    # Nor do they put off the next trial.
    monitor.note_probe(is_reachable=True)
    for n in range(9):
        fail_at_gone(monitor, f"gone{n}", 2.1 + n / 10)
    assert monitor.begin_trial(3.1, is_repeatable=True)


def test_a_late_answer_beside_servers_that_may_be_gone_needs_peers() -> None:
    monitor = make_monitor()
    monitor.note_answer(0.5)
    fail_at_gone(monitor, "gone", 1.0)
    assert not monitor.note_failure("s1", 0.9, 1.1, is_late=True)
    assert monitor.is_doubtful


def test_servers_that_may_be_gone_show_a_partition_before_the_first_answer() -> None:
    monitor = make_monitor()
    fail_at_gone(monitor, "s1", 1.0)
    assert fail_at_gone(monitor, "s2", 1.1)


def test_failures_long_ago_are_no_evidence() -> None:
    monitor = make_monitor()
    fail(monitor, "s1", 1.0)
    assert not fail(monitor, "s2", 5.0)


@given(st.lists(st.sampled_from(["answer", "s1", "s2", "s3"]), max_size=40))
def test_an_instance_is_cut_off_only_while_no_server_answers(steps: list[str]) -> None:
    monitor = make_monitor()
    failed: set[str] = set()
    for number, step in enumerate(steps):
        now = 1.0 + number / 100
        if step == "answer":
            monitor.note_answer(now)
            failed.clear()
        else:
            fail(monitor, step, now + 0.005)
            failed.add(step)
        assert monitor.is_cut_off == (len(failed) >= 2)


def cut_off(at: float = 1.0) -> ContactMonitor:
    monitor = make_monitor()
    fail(monitor, "s1", at)
    fail(monitor, "s2", at)
    return monitor


def test_one_request_at_a_time_tries_to_go_straight() -> None:
    monitor = cut_off()
    monitor.note_probe(is_reachable=True)
    assert not monitor.begin_trial(1.1, is_repeatable=True)
    assert monitor.begin_trial(2.0, is_repeatable=True)
    assert not monitor.begin_trial(2.0, is_repeatable=True)
    monitor.end_trial()
    assert monitor.begin_trial(2.0, is_repeatable=True)


def test_a_request_that_may_not_be_repeated_tries_only_if_no_other_came() -> None:
    monitor = cut_off()
    monitor.note_probe(is_reachable=True)
    assert not monitor.begin_trial(3.0, is_repeatable=False)
    assert monitor.begin_trial(4.0, is_repeatable=False)


def test_nothing_is_tried_while_no_connection_stays_open() -> None:
    monitor = cut_off()
    assert not monitor.begin_trial(100.0, is_repeatable=True)


def test_trials_get_rarer_and_the_first_answer_ends_them() -> None:
    monitor = cut_off()
    now, waits = 1.0, []
    for _ in range(5):
        monitor.note_probe(is_reachable=True)
        begun = now
        while not monitor.begin_trial(now, is_repeatable=True):
            now += 0.05
        waits.append(now - begun)
        fail(monitor, "s1", now)
    assert waits[0] < waits[-1] <= MAX_TRIAL_SECONDS * 1.4
    assert monitor.note_answer(now)
    assert not monitor.is_cut_off


def test_a_partition_that_comes_back_at_once_is_left_more_slowly() -> None:
    waits = []
    for returned_at in (2.0, 100.0):
        monitor = cut_off()
        monitor.note_answer(returned_at - 0.5)
        fail(monitor, "s1", max(returned_at, 2.0))
        fail(monitor, "s2", max(returned_at, 2.0))
        monitor.note_probe(is_reachable=True)
        now = max(returned_at, 2.0)
        begun = now
        while not monitor.begin_trial(now, is_repeatable=True):
            now += 0.01
        waits.append(now - begun)
    assert min(waits) > 0.3
    assert waits[0] > 0.6


OWN = Member("i0", "a:1", "north", 100.0)


def make_members(count: int) -> list[Member]:
    return [
        OWN._replace(name=f"i{n}", failure_domain="south" if n % 2 else "north")
        for n in range(count)
    ]


def test_relays_of_the_own_failure_domain_come_first() -> None:
    ranked = rank_relays(make_members(9), OWN, {}, 0.0, random.Random(1))
    domains = [member.failure_domain for member in ranked]
    assert domains == ["north"] * 4 + ["south"] * 4
    assert OWN not in ranked


def test_relays_that_are_avoided_are_not_asked() -> None:
    record = RelayRecord()
    record.avoid_until = 5.0
    rng = random.Random(1)
    members = make_members(3)
    names = [m.name for m in rank_relays(members, OWN, {"i2": record}, 4.0, rng)]
    assert names == ["i1"]
    assert len(rank_relays(members, OWN, {"i2": record}, 6.0, rng)) == 2


def test_relays_with_many_tunnels_for_their_link_come_later() -> None:
    slow = OWN._replace(name="i1", link_mbps=5.0)
    fast = OWN._replace(name="i2", link_mbps=100.0)
    records = {name: RelayRecord() for name in ("i1", "i2")}
    for record in records.values():
        record.tunnels = 4
        record.good_at = 0.0
    ranked = rank_relays([slow, fast], OWN, records, 0.0, random.Random(1))
    assert [member.name for member in ranked] == ["i2", "i1"]
    assert find_tunnel_limit(5.0) < find_tunnel_limit(50.0) < find_tunnel_limit(0.0)
    assert find_tunnel_limit(1000.0) == MAX_TUNNELS


def test_late_answers_raise_a_doubt_that_peers_resolve() -> None:
    monitor = make_monitor()
    for n in range(2):
        assert not monitor.note_failure(f"s{n}", 1.0, 2.0, is_late=True)
    assert monitor.is_doubtful
    assert not monitor.is_cut_off
    assert not monitor.resolve_doubt(2.1, do_peers_reach=False)
    assert not monitor.is_doubtful
    # The evidence starts from zero again.
    assert not monitor.note_failure("s0", 2.2, 3.0, is_late=True)
    assert not monitor.is_doubtful
    monitor.note_failure("s1", 2.2, 3.0, is_late=True)
    assert monitor.resolve_doubt(3.1, do_peers_reach=True)
    assert monitor.is_cut_off


def test_an_answer_ends_the_doubt() -> None:
    monitor = make_monitor()
    for n in range(2):
        monitor.note_failure(f"s{n}", 1.0, 2.0, is_late=True)
    monitor.note_answer(2.05)
    assert not monitor.resolve_doubt(2.1, do_peers_reach=True)
    assert not monitor.is_cut_off


def test_a_broken_connection_beside_a_late_answer_needs_no_peer() -> None:
    monitor = make_monitor()
    monitor.note_failure("s0", 1.0, 2.0, is_late=True)
    assert monitor.note_failure("s1", 2.0, 2.0)


def test_an_instance_without_requests_differs_from_one_that_is_cut_off() -> None:
    assert make_monitor().describe(1.0, 0.0) == PeerContact(LONGEST_SECONDS, 0.0)
    assert cut_off().describe(3.0, 0.0) == PeerContact(math.inf)


@pytest.mark.parametrize(
    ("contacts", "expected"),
    [
        ([], True),
        ([PeerContact(0.2, 1.0), PeerContact(5.0, 1.0)], True),
        ([PeerContact(0.5, 0.5)], False),
        ([PeerContact(LONGEST_SECONDS, 0.0)], True),
        ([PeerContact(LONGEST_SECONDS, 0.0), PeerContact(math.inf)], True),
        ([PeerContact(math.inf, 0.0), PeerContact(1.0, 0.9)], False),
        ([PeerContact(math.inf)] * 3, False),
        ([PeerContact(1.0, 0.1)], True),
    ],
)
def test_peers_that_wait_too_show_that_servers_are_slow(
    contacts: list[PeerContact], expected: bool
) -> None:
    assert do_peers_reach_servers(contacts) is expected


def test_an_instance_that_is_cut_off_is_no_evidence_for_others() -> None:
    monitor = make_monitor()
    monitor.note_answer(1.0)
    assert monitor.describe(1.5, 0.25) == PeerContact(0.5, 0.25)
    for n in range(2):
        monitor.note_failure(f"s{n}", 2.0, 2.0)
    assert monitor.describe(2.5, 0.4) == PeerContact(math.inf, 0.0)
