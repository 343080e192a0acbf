"""An accepted generation is in force and never reverts, despite races and losses."""

from __future__ import annotations

import sys
from typing import Any, NamedTuple

import pytest
from hypothesis import strategies as st
from hypothesis.stateful import RuleBasedStateMachine, precondition, rule

from ashpond.decisions import generations
from ashpond.decisions.generations import (
    Accepted,
    ApplyRequest,
    Head,
    Rejected,
    check_read_back,
    plan_head,
)
from tests.mutants import Mutant, expect_caught

INSTANCES = 3
number = st.integers(0, 5)


class PendingWrite(NamedTuple):
    request: ApplyRequest
    planned: Head
    version: int


class GenerationMachine(RuleBasedStateMachine):
    """Operators race; instances adopt from the store and from each other."""

    def __init__(self) -> None:
        super().__init__()
        self.head = Head()
        self.version = 0
        self.history = {0: Head()}
        self.pending: list[PendingWrite] = []
        self.late: list[PendingWrite] = []
        self.retries: list[ApplyRequest] = []
        self.accepted: dict[str, int] = {}
        self.running: list[Head | None] = [None] * INSTANCES
        self.count = 0

    @rule(stale=st.booleans(), named=st.booleans())
    def apply(self, stale: bool, named: bool) -> None:
        self.count += 1
        base = self.head.generation - stale if named else None
        files = {"teams.toml": f"digest-{self.count}"}
        self.plan(ApplyRequest(f"apply-{self.count}", base, files))

    @precondition(lambda self: self.retries)
    @rule(which=number)
    def retry(self, which: int) -> None:
        self.plan(self.retries[which % len(self.retries)])

    def plan(self, request: ApplyRequest) -> None:
        planned = generations.plan_head(self.head, request)
        if isinstance(planned, Head):
            self.pending.append(PendingWrite(request, planned, self.version))
        elif isinstance(planned, Accepted):
            self.accept(request, planned.generation)
        else:
            assert isinstance(planned, Rejected)
            assert planned.base != planned.current

    @precondition(lambda self: self.pending)
    @rule(which=number, outcome_kind=st.sampled_from(["done", "done", "lost", "late"]))
    def write(self, which: int, outcome_kind: str) -> None:
        entry = self.pending.pop(which % len(self.pending))
        if outcome_kind == "late":
            self.late.append(entry)
        landed = outcome_kind != "late" and self.apply_write(entry)
        if outcome_kind == "done" and landed:
            self.accept(entry.request, entry.planned.generation)
        if outcome_kind in ("lost", "late"):
            self.retries.append(entry.request)
            found = check_read_back(self.head, entry.request)
            if found is not None:
                self.accept(entry.request, found.generation)

    @precondition(lambda self: self.late)
    @rule(which=number)
    def apply_late_write(self, which: int) -> None:
        self.apply_write(self.late.pop(which % len(self.late)))

    def apply_write(self, entry: PendingWrite) -> bool:
        if entry.version != self.version and checks_version():
            return False
        self.head = entry.planned
        self.version += 1
        known = self.history.setdefault(entry.planned.generation, entry.planned)
        assert known == entry.planned, "one generation with two contents"
        return True

    def accept(self, request: ApplyRequest, generation: int) -> None:
        known = self.accepted.setdefault(request.apply_id, generation)
        assert known == generation, "one apply took effect twice"
        if request.base is not None:
            assert generation == request.base + 1, "a racing apply was not refused"
        for name, digest in request.digests.items():
            assert self.history[generation].files.get(name) == digest

    @rule(which=st.integers(0, INSTANCES - 1))
    def adopt_from_store(self, which: int) -> None:
        self.adopt_if_newer(which, self.head)

    @rule(which=st.integers(0, INSTANCES - 1), peer=st.integers(0, INSTANCES - 1))
    def adopt_from_peer(self, which: int, peer: int) -> None:
        received = self.running[peer]
        if received is not None:
            self.adopt_if_newer(which, received)

    def adopt_if_newer(self, which: int, received: Head) -> None:
        running = self.running[which]
        if generations.is_newer(running, received):
            if running is not None:
                assert received.generation > running.generation, "went back"
            self.running[which] = received

    @rule(which=st.integers(0, INSTANCES - 1))
    def restart(self, which: int) -> None:
        self.running[which] = None


def checks_version() -> bool:
    return True


TestGenerations = GenerationMachine.TestCase


def plan_without_base(current: Head, request: ApplyRequest) -> Any:
    return plan_head(current, request._replace(base=None))


def plan_without_ids(current: Head, request: ApplyRequest) -> Any:
    return plan_head(current._replace(applies={}), request)


MUTANTS = [
    Mutant("no generation compare", generations, "is_newer", lambda a, b: True),
    Mutant("no base compare", generations, "plan_head", plan_without_base),
    Mutant("no apply ids", generations, "plan_head", plan_without_ids),
    Mutant(
        "no compare-and-swap", sys.modules[__name__], "checks_version", lambda: False
    ),
]


@pytest.mark.parametrize("mutant", MUTANTS, ids=lambda m: m.label)
def test_catches_mutant(mutant, monkeypatch):
    expect_caught(GenerationMachine, mutant, monkeypatch)


def test_a_file_set_to_none_is_removed():
    head = Head(3, {"a.toml": "1", "b.toml": "2"})
    planned = plan_head(head, ApplyRequest("x", 3, {"a.toml": None}))
    assert isinstance(planned, Head)
    assert planned.files == {"b.toml": "2"}
