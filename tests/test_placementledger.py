"""A coordinator's ledger is exact, whatever is late, doubled or out of order.

A state machine compares it with plain sets of grants; mutants check the machine.
"""

from __future__ import annotations

from typing import Any

import pytest
from hypothesis import strategies as st
from hypothesis.stateful import RuleBasedStateMachine, invariant, rule

from ashpond.decisions import placementledger
from ashpond.decisions.loads import NO_LOAD, Load
from ashpond.decisions.placementledger import Grant, GrantKey, PlacementLedger
from tests.mutants import Mutant, expect_caught
from tests.placement_builders import make_grant

STARTS = ("a#1", "a#2", "b")
sessions = st.integers(0, 2)
numbers = st.integers(0, 4)


class LedgerMachine(RuleBasedStateMachine):
    """Messages of sessions that are lost and replaced, each delivered at any time."""

    def __init__(self) -> None:
        super().__init__()
        self.now = 0.0
        self.ledger = PlacementLedger()
        self.open = [0, 0, 0]
        self.grants: dict[GrantKey, Grant] = {}
        self.used: set[GrantKey] = set()
        for slot in range(3):
            self.ledger.open_session(self.get_session(slot))

    def get_session(self, slot: int) -> int:
        return slot + 3 * self.open[slot]

    @rule(seconds=st.sampled_from([0.01, 0.5, 1.0, 3.0]))
    def wait(self, seconds: float) -> None:
        self.now += seconds

    @rule(
        slot=sessions,
        number=numbers,
        start=st.sampled_from(STARTS),
        tokens=st.integers(0, 900),
        left=st.sampled_from([0.2, 2.0]),
        age=st.integers(0, 1),
    )
    def add(
        self, slot: int, number: int, start: str, tokens: int, left: float, age: int
    ) -> None:
        """A grant, perhaps of a session that has ended, or for the second time."""
        key = GrantKey(self.get_session(slot) - 3 * age, number)
        load = Load(1, tokens, tokens + 50, number % 2)
        grant = make_grant(
            start, load=load, read_tokens=tokens, deadline=self.now + left
        )
        is_new = age == 0 and key not in self.used
        assert self.ledger.is_new(*key) == is_new
        assert self.ledger.add(*key, grant) == is_new
        if is_new:
            self.used.add(key)
            self.grants[key] = grant

    @rule(slot=sessions, number=numbers, age=st.integers(0, 1))
    def note_read(self, slot: int, number: int, age: int) -> None:
        key = GrantKey(self.get_session(slot) - 3 * age, number)
        known = self.grants.get(key)
        found = self.ledger.note_read(*key)
        if known is None or known.is_read:
            assert found is None
            return
        assert found == known
        load = known.load._replace(unread_tokens=0)
        self.grants[key] = known._replace(load=load, is_read=True)

    @rule(slot=sessions, number=numbers, age=st.integers(0, 1))
    def end(self, slot: int, number: int, age: int) -> None:
        key = GrantKey(self.get_session(slot) - 3 * age, number)
        assert self.ledger.end(*key) == self.grants.pop(key, None)

    @rule(slot=sessions, number=numbers)
    def withdraw(self, slot: int, number: int) -> None:
        key = GrantKey(self.get_session(slot), number)
        self.ledger.note_withdrawn(*key)
        self.used.add(key)

    @rule(slot=sessions)
    def replace_session(self, slot: int) -> None:
        session = self.get_session(slot)
        expected = {k for k in self.grants if k.session == session}
        assert {e.key for e in self.ledger.end_session(session)} == expected
        self.grants = {k: g for k, g in self.grants.items() if k not in expected}
        self.open[slot] += 1
        self.ledger.open_session(self.get_session(slot))

    @rule()
    def expire(self) -> None:
        expected = {k for k, g in self.grants.items() if self.now > g.deadline + 1.0}
        assert {ended.key for ended in self.ledger.expire(self.now)} == expected
        self.grants = {k: g for k, g in self.grants.items() if k not in expected}

    @invariant()
    def sums_are_exact(self) -> None:
        for start in STARTS:
            grants = [g for g in self.grants.values() if g.start_id == start]
            load = NO_LOAD
            for grant in grants:
                load = load.add(grant.load)
            assert self.ledger.sum_load(start) == load
            tokens = sum(grant.read_tokens for grant in grants)
            assert self.ledger.sum_read_tokens(start) == tokens
        for slot in range(3):
            session = self.get_session(slot)
            count = sum(key.session == session for key in self.grants)
            assert self.ledger.count(session) == count


TestLedger = LedgerMachine.TestCase


def add_again(self: PlacementLedger, session: int, number: int) -> bool:
    grants = self._sessions.get(session)
    return grants is not None and number not in grants.by_number


def add_to_any_session(
    self: PlacementLedger, session: int, number: int, grant: Grant
) -> bool:
    self.open_session(session)
    is_new = self.is_new(session, number)
    if is_new:
        self._sessions[session].by_number[number] = grant
        self._change(grant.start_id, grant.load, grant.read_tokens)
    return is_new


def keep_grants(self: PlacementLedger, session: int) -> list[Any]:
    self._sessions.pop(session, None)
    return []


def read_twice(self: PlacementLedger, session: int, number: int) -> Grant | None:
    grant = self.get(session, number)
    if grant is not None:
        read = Load(unread_tokens=grant.load.unread_tokens or 7)
        self._change(grant.start_id, NO_LOAD.subtract(read), 0)
        self._sessions[session].by_number[number] = grant._replace(
            load=grant.load.subtract(read), is_read=True
        )
    return grant


MUTANTS = [
    Mutant("an ended number is used again", PlacementLedger, "is_new", add_again),
    Mutant("an ended session adds", PlacementLedger, "add", add_to_any_session),
    Mutant("a session's grants stay", PlacementLedger, "end_session", keep_grants),
    Mutant("a prompt is read twice", PlacementLedger, "note_read", read_twice),
    Mutant("grants end too early", placementledger, "EXPIRY_SECONDS", -0.1),
]


@pytest.mark.parametrize("mutant", MUTANTS, ids=lambda m: m.label)
def test_catches_mutant(mutant: Mutant, monkeypatch: pytest.MonkeyPatch) -> None:
    expect_caught(LedgerMachine, mutant, monkeypatch)


def test_the_numbers_of_ended_grants_are_bounded() -> None:
    """Else a session that lasts for days takes memory for each of its requests."""
    ledger = PlacementLedger()
    ledger.open_session(1)
    for number in range(1000):
        ledger.add(1, number, make_grant())
        ledger.end(1, number)
    assert len(ledger._sessions[1].ended) == placementledger.MAX_ENDED_NUMBERS
    assert not ledger._loads
    assert not ledger._read_tokens
