"""The admission queue respects its capacity, its order and its shares."""

from __future__ import annotations

from hypothesis import strategies as st
from hypothesis.stateful import RuleBasedStateMachine, invariant, precondition, rule

from ashpond.decisions.admission import (
    AdmissionQueue,
    Admitted,
    PriorityClass,
    Queued,
    Ticket,
)
from ashpond.outcomes import Refusal, RunState

PRIORITIES = {"urgent": PriorityClass(0, 0.0), "low": PriorityClass(1, 0.1)}


def make_ticket(number: int, **changes: object) -> Ticket:
    values: dict = {
        "number": number,
        "team": "desk",
        "priority": "urgent",
        "weight": 1.0,
        "cost": 1.0,
        "deadline": 1e9,
    }
    return Ticket(**(values | changes))


class AdmissionMachine(RuleBasedStateMachine):
    """Offers, releases, withdrawals and changes of capacity in any order."""

    def __init__(self) -> None:
        super().__init__()
        self.queue = AdmissionQueue(PRIORITIES, max_waiting=6)
        self.queue.capacity = 4
        self.count = 0
        self.waiting: list[Ticket] = []
        self.running = 0

    @rule(
        team=st.sampled_from("ab"),
        priority=st.sampled_from(["urgent", "low"]),
        deadline=st.sampled_from([0.01, 1.0, 1e6]),
    )
    def offer(self, team: str, priority: str, deadline: float) -> None:
        self.count += 1
        ticket = make_ticket(
            self.count, team=team, priority=priority, deadline=deadline
        )
        low_waits = any(t.priority == "low" for t in self.waiting)
        full = len(self.waiting) >= 6
        self.queue.expected_wait = 0.0
        outcome = self.queue.offer(ticket, 0.0)
        if isinstance(outcome, Admitted):
            self.running += 1
        elif isinstance(outcome, Queued):
            self.waiting.append(ticket)
            for shed in outcome.shed:
                assert shed.priority == "low"
                self.waiting.remove(shed)
        else:
            assert isinstance(outcome, Refusal)
            assert outcome.run is RunState.NOT_RUN
            assert outcome.retry_after > 0
            if priority == "urgent" and deadline == 1e6:
                assert full and not low_waits

    @precondition(lambda self: self.running)
    @rule(seconds=st.sampled_from([0.1, 1.0]))
    def end(self, seconds: float) -> None:
        self.queue.release(seconds, 0.0)
        self.running -= 1
        self.start()

    @precondition(lambda self: self.waiting)
    @rule(which=st.integers(0, 5))
    def withdraw(self, which: int) -> None:
        ticket = self.waiting.pop(which % len(self.waiting))
        assert self.queue.abandon(ticket)
        assert not self.queue.abandon(ticket)

    @rule(capacity=st.integers(1, 6))
    def resize(self, capacity: int) -> None:
        self.queue.capacity = capacity
        self.start()

    def start(self) -> None:
        self.queue.expected_wait = 0.0
        for ticket in self.queue.start_ready():
            self.waiting.remove(ticket)
            self.running += 1
            assert self.running <= self.queue.capacity

    @invariant()
    def counts_agree(self) -> None:
        assert self.queue.running == self.running
        assert self.queue.waiting == len(self.waiting)

    @invariant()
    def urgent_never_waits_beside_a_free_slot(self) -> None:
        if any(t.priority == "urgent" for t in self.waiting):
            assert self.running >= self.queue.capacity or self.start_pending()

    def start_pending(self) -> bool:
        # A withdrawal frees no slot; only a resize can leave a free slot unused.
        before = self.queue.running
        self.start()
        return self.queue.running > before


TestAdmission = AdmissionMachine.TestCase


def fill(queue: AdmissionQueue, count: int) -> None:
    for number in range(count):
        assert isinstance(queue.offer(make_ticket(-number - 1), 0.0), Admitted)
        queue.expected_wait = 0.0


def run_through(queue: AdmissionQueue, count: int) -> list[Ticket]:
    started: list[Ticket] = []
    for _ in range(count):
        queue.release(1.0, 0.0)
        queue.expected_wait = 0.0
        started.extend(queue.start_ready())
    return started


def test_low_priority_keeps_its_share_and_no_more():
    queue = AdmissionQueue(PRIORITIES, max_waiting=1000)
    queue.capacity = 5
    fill(queue, 5)
    for number in range(200):
        queue.offer(make_ticket(number), 0.0)
        queue.offer(make_ticket(1000 + number, priority="low"), 0.0)
    started = run_through(queue, 100)
    low = sum(ticket.priority == "low" for ticket in started)
    assert 8 <= low <= 14


def test_teams_share_by_weight_at_any_demand():
    queue = AdmissionQueue(PRIORITIES, max_waiting=1000)
    fill(queue, 1)
    for number in range(200):
        queue.offer(make_ticket(number, team="loud"), 0.0)
    for number in range(20):
        queue.offer(make_ticket(500 + number, team="quiet"), 0.0)
    started = run_through(queue, 40)
    assert sum(ticket.team == "quiet" for ticket in started) == 20


def test_a_request_that_cannot_start_in_time_is_refused_at_once():
    queue = AdmissionQueue(PRIORITIES, max_waiting=1000)
    fill(queue, 1)
    for number in range(10):
        queue.offer(make_ticket(number), 0.0)
    outcome = queue.offer(make_ticket(11, deadline=1.0), 0.0)
    assert isinstance(outcome, Refusal)


def test_requests_wait_while_servers_are_busy_and_urgent_ones_start_first():
    priorities = PRIORITIES | {"low": PriorityClass(1, 0.0)}
    queue = AdmissionQueue(priorities, max_waiting=10)
    queue.capacity = 5
    queue.expected_wait = 0.4
    assert isinstance(queue.offer(make_ticket(1, priority="low"), 0.0), Queued)
    assert isinstance(queue.offer(make_ticket(2), 0.0), Admitted)
    queue.expected_wait = 1.0
    assert isinstance(queue.offer(make_ticket(3), 0.0), Queued)
    queue.expected_wait = 0.0
    assert [ticket.number for ticket in queue.start_ready()] == [3]


def test_idle_time_does_not_count_in_the_release_interval():
    """Guards against counting the gap between two bursts as one slow release."""
    queue = AdmissionQueue(PRIORITIES, max_waiting=1000)
    fill(queue, 1)
    for number in range(3):
        assert isinstance(queue.offer(make_ticket(number), 100.0), Queued)
    queue.release(0.1, 100.1)
    assert queue.release_interval < 0.1


def test_refused_clients_get_distinct_retry_times():
    queue = AdmissionQueue(PRIORITIES, max_waiting=1)
    fill(queue, 1)
    queue.offer(make_ticket(1), 0.0)
    waits = [queue.offer(make_ticket(n), 0.0).retry_after for n in range(2, 8)]
    assert waits == sorted(set(waits))
