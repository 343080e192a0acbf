"""No window holds more than its bound, whoever keeps the accounts and whatever is lost.

A state machine over asks at keepers of any choice, messages that are late, lost or out
of order, cuts, deaths, new lives, joins and changes of a limit.
"""

from __future__ import annotations

from typing import NamedTuple

import pytest
from hypothesis import strategies as st
from hypothesis.stateful import RuleBasedStateMachine, rule

from ashpond.decisions import allowances
from ashpond.decisions.allowances import (
    Accrual,
    AccruedTime,
    Allowance,
    AllowanceBounds,
    AllowanceUnit,
    Granted,
    Ledger,
    TimeSpan,
    plan_accrual,
)
from ashpond.decisions.instancecount import JOINING_SECONDS, InstanceCount
from tests.mutants import Mutant, expect_caught

BOUNDS = AllowanceBounds(8.0, 0.1, 20_000.0)
RATE = 30_000.0
TEAM = "desk"
INSTANCES = 4
KNOWN_BEFORE_SECONDS = 100.0
numbers = st.integers(0, INSTANCES - 1)


class Message(NamedTuple):
    """A message on its way to a keeper: time that was earned, and a request."""

    sender: str
    coordinator: int
    span: TimeSpan | None
    cost: int


class AllowanceMachine(RuleBasedStateMachine):
    def __init__(self) -> None:
        super().__init__()
        self.now = 1000.0
        self.names = [f"i{number}" for number in range(INSTANCES)]
        self.joined = 0
        self.allowance = Allowance(RATE, RATE, AllowanceUnit.TOKENS)
        self.lowered_at = float("-inf")
        self.accrued_times = {name: AccruedTime(self.now) for name in self.names}
        self.ledgers = [Ledger() for _ in range(INSTANCES)]
        self.instance_counts = [self.make_instance_count() for _ in range(INSTANCES)]
        self.in_transit: list[Message] = []
        self.used: list[tuple[float, int]] = []

    def make_instance_count(self) -> InstanceCount:
        instance_count = InstanceCount(self.now - KNOWN_BEFORE_SECONDS)
        instance_count.update(self.names, self.now - KNOWN_BEFORE_SECONDS)
        return instance_count

    @property
    def accrual(self) -> Accrual:
        return plan_accrual(self.allowance, BOUNDS)

    @rule(seconds=st.sampled_from([0.01, 0.1, 0.4, 1.0, 3.0]))
    def wait(self, seconds: float) -> None:
        self.now += seconds

    @rule(coordinator=numbers, seconds=st.sampled_from([0.5, 2.0, 8.0]))
    def run_without_faults(self, coordinator: int, seconds: float) -> None:
        """All that are known hand over their time as it is earned."""
        for _ in range(round(seconds / 0.25)):
            self.now += 0.25
            for name in self.names:
                self.deliver_time(
                    name, coordinator, self.accrued_times[name].take(self.now)
                )

    @rule(first=numbers, other=numbers, split=numbers, steps=st.integers(1, 32))
    def use_all_with_two_coordinators(
        self, first: int, other: int, split: int, steps: int
    ) -> None:
        """Use all there is, while some instances take another one for the keeper."""
        for _ in range(steps):
            self.now += 0.25
            for number, name in enumerate(self.names):
                coordinator = other if number < split else first
                self.deliver_time(
                    name, coordinator, self.accrued_times[name].take(self.now)
                )
            self.use_up(first)
            self.use_up(other)

    @rule(coordinator=numbers)
    def use_up(self, coordinator: int) -> None:
        ledger = self.ledgers[coordinator]
        left = ledger.get_remaining(TEAM, self.allowance, self.accrual, self.now)
        if left >= 1:
            self.decide(coordinator, int(left))

    @rule(number=numbers, coordinator=numbers, cost=st.sampled_from([0, 9000]))
    def send(self, number: int, coordinator: int, cost: int) -> None:
        name = self.names[number]
        span = self.accrued_times[name].take(self.now)
        self.in_transit.append(Message(name, coordinator, span, cost))

    @rule(position=st.integers(0, 50), arrives=st.booleans())
    def deliver(self, position: int, arrives: bool) -> None:
        if not self.in_transit:
            return
        message = self.in_transit.pop(position % len(self.in_transit))
        if arrives:
            self.deliver_time(message.sender, message.coordinator, message.span)
            if message.cost:
                self.decide(message.coordinator, message.cost)

    @rule(coordinator=numbers, cost=st.sampled_from([900, 9000]))
    def use_and_refund(self, coordinator: int, cost: int) -> None:
        if self.decide(coordinator, cost):
            self.used.pop()
            self.now += 0.25
            self.ledgers[coordinator].refund(
                TEAM, self.allowance, self.accrual, cost, self.now
            )

    @rule(number=numbers)
    def restart(self, number: int) -> None:
        self.accrued_times[self.names[number]] = AccruedTime(self.now)
        self.ledgers[number] = Ledger()

    @rule(unaware=st.lists(numbers, max_size=INSTANCES - 1, unique=True))
    def join(self, unaware: list[int]) -> None:
        """Instances join, three quarters more; some do not hear of it."""
        if self.joined:
            return
        self.joined = INSTANCES * 3 // 4
        for number in range(self.joined):
            name = f"new{number}"
            self.names.append(name)
            self.accrued_times[name] = AccruedTime(self.now)
        for number, instance_count in enumerate(self.instance_counts):
            if number not in unaware:
                instance_count.update(self.names, self.now)

    @rule(rate=st.sampled_from([RATE, RATE / 4]))
    def change_limit(self, rate: float) -> None:
        if rate < self.allowance.rate:
            self.lowered_at = self.now
        self.allowance = self.allowance._replace(rate=rate, burst=rate)

    @rule(coordinator=numbers)
    def remove_full_accounts(self, coordinator: int) -> None:
        self.ledgers[coordinator].remove_full_accounts(self.now)

    def deliver_time(self, name: str, coordinator: int, span: TimeSpan | None) -> None:
        instance_count = self.instance_counts[coordinator]
        if span is not None and instance_count.is_counted(name, self.now):
            share = instance_count.compute_share(self.now)
            self.ledgers[coordinator].receive(span, share, self.now)

    def decide(self, coordinator: int, cost: int) -> bool:
        outcome = self.ledgers[coordinator].spend(
            TEAM, self.allowance, self.accrual, cost, 0, 4.0, 0.0, self.now
        )
        if not isinstance(outcome, Granted):
            return False
        self.used.append((self.now, cost))
        self.check()
        return True

    def check(self) -> None:
        limit = self.allowance.rate * BOUNDS.window + self.allowance.burst
        bound = limit * (1 + BOUNDS.overage) + BOUNDS.slack
        began = max(self.now - BOUNDS.window, self.lowered_at)
        if self.lowered_at > self.now - BOUNDS.window:
            return
        assert sum(cost for at, cost in self.used if at >= began) <= bound


TestAllowances = AllowanceMachine.TestCase


def retain_forever(self: Ledger, accrual: Accrual, now: float) -> float:
    return self.sum_received(600.0, now) * accrual.rate


def accrue_twice(self: AccruedTime, now: float) -> TimeSpan:
    return TimeSpan(now - 1.0, now)


def count_immediately(self: InstanceCount, name: str, now: float) -> bool:
    return name in self._seen_at


MUTANTS = [
    Mutant("nothing lapses", Ledger, "_compute_capacity", retain_forever),
    Mutant("time is handed over twice", AccruedTime, "take", accrue_twice),
    Mutant("too much is saved", allowances, "MARGIN_SECONDS", -3.0),
    Mutant("who joins earns at once", InstanceCount, "is_counted", count_immediately),
]


@pytest.mark.parametrize("mutant", MUTANTS, ids=lambda m: m.label)
def test_catches_mutant(mutant: Mutant, monkeypatch: pytest.MonkeyPatch) -> None:
    expect_caught(AllowanceMachine, mutant, monkeypatch)


def test_a_joining_instance_accrues_nothing_until_all_can_know_of_it() -> None:
    instance_count = InstanceCount(0.0)
    instance_count.update(["a", "b"], 1.0)
    instance_count.update(["a", "b", "c"], 100.0)
    assert instance_count.compute_share(101.0) == 0.5
    assert not instance_count.is_counted("c", 101.0)
    later = 100.0 + JOINING_SECONDS
    assert instance_count.is_counted("c", later)
    assert instance_count.compute_share(later) == pytest.approx(1 / 3)


def test_instances_found_at_startup_are_counted_at_once() -> None:
    instance_count = InstanceCount(50.0)
    instance_count.update(["a"], 51.0)
    instance_count.update(["a", "b"], 55.0)
    assert instance_count.compute_share(56.0) == 0.5


def test_instances_that_left_accrue_nothing() -> None:
    instance_count = InstanceCount(0.0)
    instance_count.update(["a", "b"], 1.0)
    instance_count.update(["a"], 100.0)
    assert instance_count.compute_share(101.0) == 1.0
    assert not instance_count.is_counted("b", 101.0)
