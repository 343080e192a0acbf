"""Only one holder sends orders, despite pauses, clock drift and lost answers."""

from __future__ import annotations

from typing import NamedTuple

import pytest
from hypothesis import strategies as st
from hypothesis.stateful import RuleBasedStateMachine, precondition, rule

from ashpond.decisions import leases
from ashpond.decisions.leases import Lease, LeaseRow, LeaseWrite
from ashpond.outcomes import Conflict, Done, Unknown
from tests.mutants import Mutant, expect_caught

# Rates of the holders' clocks; the margin allows for all of them.
CLOCK_RATES = (0.95, 1.0, 1.05)
DELIVERY_SECONDS = 1.0
STEP_SECONDS = st.sampled_from([0.2, 0.5, 1.0, 2.0])
pick = st.integers(0, 5)


class Order(NamedTuple):
    fence: int
    sent_at: float
    holder: int


class PendingWrite(NamedTuple):
    """A write in transit; ``sent_at`` is on the holder's own clock."""

    holder: int
    write: LeaseWrite
    sent_at: float


class LeaseMachine(RuleBasedStateMachine):
    """Three instances contend for a lease; the engine ignores fencing numbers."""

    def __init__(self) -> None:
        super().__init__()
        self.now = 1000.0
        self.row: LeaseRow | None = None
        self.version = 0
        self.holders = [Lease(f"holder-{number}") for number in range(len(CLOCK_RATES))]
        self.waiting: list[PendingWrite] = []
        self.late: list[LeaseWrite] = []
        self.orders: list[Order] = []
        self.highest = 0

    def clock(self, holder: int) -> float:
        return self.now * CLOCK_RATES[holder] + 77 * holder

    @rule(seconds=STEP_SECONDS)
    def pass_time(self, seconds: float) -> None:
        self.now += seconds
        # No order takes longer than the delivery bound of the lease.
        oldest = self.now - DELIVERY_SECONDS
        while self.orders and self.orders[0].sent_at <= oldest:
            self.deliver()

    @rule(holder=st.sampled_from([0, 1, 2]))
    def renew_or_contend(self, holder: int) -> None:
        """Read the row, and send the write that is due, if any."""
        if any(entry.holder == holder for entry in self.waiting):
            return
        lease = self.holders[holder]
        lease.on_read(self.row, self.version, self.clock(holder))
        write = lease.plan_write(self.clock(holder))
        if write is not None:
            self.waiting.append(PendingWrite(holder, write, self.clock(holder)))

    @rule(holder=st.sampled_from([0, 1, 2]))
    def renew_or_contend_at_once(self, holder: int) -> None:
        """Read, write and receive the answer at once, the usual case."""
        self.renew_or_contend(holder)
        if self.waiting and self.waiting[-1].holder == holder:
            self.complete_write(len(self.waiting) - 1, "done")

    @rule(holder=st.sampled_from([0, 1, 2]), seconds=STEP_SECONDS)
    def order_after_a_while(self, holder: int, seconds: float) -> None:
        self.pass_time(seconds)
        self.give_order(holder)

    @precondition(lambda self: self.waiting)
    @rule(number=pick, outcome_kind=st.sampled_from(["done", "done", "lost", "late"]))
    def complete_write(self, number: int, outcome_kind: str) -> None:
        entry = self.waiting.pop(number % len(self.waiting))
        outcome: Done | Conflict | Unknown = Unknown("lost")
        if outcome_kind == "late":
            self.late.append(entry.write)
        else:
            landed = self.apply_write(entry.write)
            outcome = landed if outcome_kind == "done" else outcome
        self.holders[entry.holder].on_write(entry.write, outcome, entry.sent_at)

    @precondition(lambda self: self.late)
    @rule(number=pick)
    def apply_late_write(self, number: int) -> None:
        self.apply_write(self.late.pop(number % len(self.late)))

    def apply_write(self, write: LeaseWrite) -> Done | Conflict:
        if write.version != self.version:
            return Conflict({})
        self.row = write.row
        self.version += 1
        return Done(self.version)

    @rule(holder=st.sampled_from([0, 1, 2]))
    def give_order(self, holder: int) -> None:
        lease = self.holders[holder]
        if lease.holds(self.clock(holder)):
            self.orders.append(Order(lease.fence, self.now, holder))

    @precondition(lambda self: self.orders)
    @rule()
    def deliver(self) -> None:
        order = self.orders.pop(0)
        assert order.fence >= self.highest, "an old holder's order came late"
        self.highest = order.fence

    @rule()
    def check_one_holder(self) -> None:
        valid_holders = [
            number
            for number, lease in enumerate(self.holders)
            if lease.holds(self.clock(number))
        ]
        assert len(valid_holders) <= 1


TestLeases = LeaseMachine.TestCase


def plan_without_waiting(self: Lease, now: float) -> LeaseWrite | None:
    row = self._row
    fence = row.fence + 1 if row else 1
    return LeaseWrite(LeaseRow(self.holder, fence, 0), self._version)


def hold_beyond_the_term(self, write, outcome, sent_at):
    if isinstance(outcome, Done):
        self._row, self._version = write.row, outcome.value
        self._valid_until = sent_at + 3 * leases.TERM_SECONDS
    return True


def hold_forever(self: Lease, now: float) -> bool:
    return self._valid_until > 0


MUTANTS = [
    Mutant("no wait for the term", Lease, "plan_write", plan_without_waiting),
    Mutant("held beyond the term", Lease, "on_write", hold_beyond_the_term),
    Mutant("not checked before sending", Lease, "holds", hold_forever),
    Mutant("takeover 3 s too early", leases, "DELIVERY_BOUND_SECONDS", -2.0),
    Mutant("held 4.5 s too long", leases, "MARGIN_SECONDS", -4.0),
]


@pytest.mark.parametrize("mutant", MUTANTS, ids=lambda m: m.label)
def test_catches_mutant(mutant, monkeypatch):
    expect_caught(LeaseMachine, mutant, monkeypatch)


def test_a_holder_that_was_paused_no_longer_holds():
    lease = Lease("me")
    lease.on_read(None, 0, 10.0)
    write = lease.plan_write(10.0)
    assert write is not None
    lease.on_write(write, Done(1), 10.0)
    assert lease.holds(12.0)
    assert not lease.holds(10.0 + leases.TERM_SECONDS)


def test_the_fence_grows_with_each_change_of_holder():
    lease = Lease("me")
    lease.on_read(LeaseRow("you", 4, 2), 9, 10.0)
    assert lease.plan_write(10.1) is None
    later = 10.0 + leases.TERM_SECONDS + leases.DELIVERY_BOUND_SECONDS
    assert lease.plan_write(later) == LeaseWrite(LeaseRow("me", 5, 0), 9)
