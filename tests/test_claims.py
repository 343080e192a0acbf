"""At most one run per idempotency key, under any order of steps, losses and crashes."""

from __future__ import annotations

import sys
from typing import Any

import pytest
from hypothesis import strategies as st
from hypothesis.stateful import RuleBasedStateMachine, invariant, precondition, rule

from ashpond.decisions import claims
from ashpond.decisions.claims import (
    AskOwner,
    AttemptRegistry,
    AttemptState,
    ClaimProtocol,
    ClaimRow,
    Dispatch,
    InsertClaim,
    ReadClaim,
    ReplaceClaim,
    Replay,
    VersionedClaim,
    split_attempt_id,
)
from ashpond.outcomes import Conflict, Done, Refusal, Unavailable, Unknown
from tests.mutants import Mutant, expect_caught

INSTANCES = ("10.0.0.1:7", "10.0.0.2:7", "10.0.0.3:7")
WRITE_OUTCOMES = ("done", "lost", "late", "down")
pick = st.integers(0, 7)


class Store:
    """One row with a version; writes are conditional and may take effect late."""

    def __init__(self) -> None:
        self.row: ClaimRow | None = None
        self.version = 0
        self.late: list[tuple[ClaimRow, int]] = []

    def write(self, row: ClaimRow, version: int) -> Done | Conflict:
        if version != self.version:
            return Conflict({})
        self.row = row
        self.version += 1
        return Done(self.version)

    def read(self) -> VersionedClaim | None:
        return VersionedClaim(self.row, self.version) if self.row else None


class ClaimAttempt:
    """One attempt on one instance, and its next step."""

    def __init__(self, owner: str, incarnation: int, registry: AttemptRegistry):
        self.owner = owner
        self.incarnation = incarnation
        self.name = registry.open()
        self.protocol = ClaimProtocol(self.name, "digest")
        self.step: Any = self.protocol.start()
        self.sent = False
        self.ran = False


class ClaimMachine(RuleBasedStateMachine):
    """Interleaves clients' retries, instances, the store and the server."""

    def __init__(self) -> None:
        super().__init__()
        self.store = Store()
        self.incarnations = dict.fromkeys(INSTANCES, 0)
        self.registries = {name: self.make_registry(name) for name in INSTANCES}
        self.attempts: list[ClaimAttempt] = []
        self.runs = 0

    def make_registry(self, name: str) -> AttemptRegistry:
        return AttemptRegistry(name, f"i{self.incarnations[name]}")

    @rule(owner=st.sampled_from(INSTANCES))
    def start(self, owner: str) -> None:
        registry = self.registries[owner]
        self.attempts.append(ClaimAttempt(owner, self.incarnations[owner], registry))

    @precondition(lambda self: self.attempts)
    @rule(number=pick, outcome_kind=st.sampled_from(WRITE_OUTCOMES))
    def advance(self, number: int, outcome_kind: str) -> None:
        """Let one attempt take its next step."""
        current = self.attempts[number % len(self.attempts)]
        if isinstance(current.step, InsertClaim | ReplaceClaim):
            self.write(current, outcome_kind)
        elif isinstance(current.step, ReadClaim):
            outcome = (
                Unavailable("down") if outcome_kind == "down" else self.store.read()
            )
            self.proceed(current, current.protocol.on_read(outcome))
        elif isinstance(current.step, AskOwner):
            self.ask(current, reachable=outcome_kind != "down")
        elif current.sent:
            self.finish_or_release(current, outcome_kind)
        else:
            self.send(current, runs=outcome_kind != "down")

    @precondition(lambda self: self.attempts)
    @rule(number=pick)
    def advance_without_fault(self, number: int) -> None:
        self.advance(number, "done")

    def write(self, current: ClaimAttempt, outcome_kind: str) -> None:
        version = getattr(current.step, "version", 0)
        outcome: Any = Unknown("lost")
        if outcome_kind == "late":
            self.store.late.append((current.step.row, version))
        elif outcome_kind == "down":
            outcome = Unavailable("down")
        else:
            landed = self.store.write(current.step.row, version)
            outcome = landed if outcome_kind == "done" else outcome
        self.proceed(current, current.protocol.on_write(outcome))

    @precondition(lambda self: self.store.late)
    @rule(number=pick)
    def apply_late_write(self, number: int) -> None:
        row, version = self.store.late.pop(number % len(self.store.late))
        self.store.write(row, version)

    def ask(self, current: ClaimAttempt, *, reachable: bool) -> None:
        owner, _, _ = split_attempt_id(current.step.attempt)
        state = AttemptState.UNKNOWN
        if reachable:
            state = self.registries[owner].get_state_or_revoke(current.step.attempt)
        self.proceed(current, current.protocol.on_owner_state(state))

    def proceed(self, current: ClaimAttempt, step: Any) -> None:
        current.step = step
        if isinstance(step, Refusal | Replay):
            self.registries[current.owner].give_up(current.name)
            self.attempts.remove(current)

    def send(self, current: ClaimAttempt, *, runs: bool) -> None:
        """Send an attempt; the server may report that it did not run."""
        if not self.registries[current.owner].mark_sent(current.name):
            self.attempts.remove(current)
            return
        current.sent = True
        current.ran = runs
        self.runs += runs

    def finish_or_release(self, current: ClaimAttempt, outcome_kind: str) -> None:
        """Finish or release the claim of a sent attempt, as the controller does."""
        registry = self.registries[current.owner]
        row = current.protocol.own._replace(
            finished=current.ran, released=not current.ran
        )
        if not current.ran:
            registry.remove(current.name)
        version = current.step.version
        if outcome_kind == "late":
            self.store.late.append((row, version))
        elif outcome_kind in ("done", "lost"):
            self.store.write(row, version)
        if outcome_kind == "done" or removes_early():
            registry.remove(current.name)
            self.attempts.remove(current)

    @rule(owner=st.sampled_from(INSTANCES))
    def kill(self, owner: str) -> None:
        self.incarnations[owner] += 1
        self.registries[owner] = self.make_registry(owner)
        self.attempts = [t for t in self.attempts if t.owner != owner]

    @invariant()
    def runs_at_most_once(self) -> None:
        assert self.runs <= 1


def removes_early() -> bool:
    """Return whether an attempt is removed before its row records that it ran."""
    return False


TestClaims = ClaimMachine.TestCase


def dispatch_without_read_back(self: ClaimProtocol, outcome: Any) -> Any:
    return claims.Dispatch(0) if isinstance(outcome, Done | Unknown) else ReadClaim()


def take_any_row(self: ClaimProtocol, outcome: Any) -> Any:
    if outcome is None or isinstance(outcome, Unavailable):
        return InsertClaim(self.own)
    return Dispatch(outcome.version)


def take_over_unknown(self: ClaimProtocol, state: AttemptState) -> Any:
    assert self._other_claim is not None
    return ReplaceClaim(self.own, self._other_claim.version)


def answer_without_revoking(self: AttemptRegistry, attempt: str) -> AttemptState:
    return AttemptState.SENT if attempt in self._sent else AttemptState.NEVER


def answer_for_other_incarnations(self: AttemptRegistry, attempt: str) -> AttemptState:
    if attempt in self._sent:
        return AttemptState.SENT
    self._pending.discard(attempt)
    return AttemptState.NEVER


def send_though_revoked(self: AttemptRegistry, attempt: str) -> bool:
    self._sent[attempt] = None
    return True


def write_unconditionally(self: Store, row: ClaimRow, version: int) -> Done:
    self.row = row
    self.version += 1
    return Done(self.version)


MUTANTS = [
    Mutant("no read-back", ClaimProtocol, "on_write", dispatch_without_read_back),
    Mutant("no attempt id compare", ClaimProtocol, "on_read", take_any_row),
    Mutant("takeover of unknown", ClaimProtocol, "on_owner_state", take_over_unknown),
    Mutant(
        "no revoking", AttemptRegistry, "get_state_or_revoke", answer_without_revoking
    ),
    Mutant(
        "no incarnation",
        AttemptRegistry,
        "get_state_or_revoke",
        answer_for_other_incarnations,
    ),
    Mutant("revoked is sent", AttemptRegistry, "mark_sent", send_though_revoked),
    Mutant("no condition", Store, "write", write_unconditionally),
]


@pytest.mark.parametrize("mutant", MUTANTS, ids=lambda m: m.label)
def test_catches_mutant(mutant, monkeypatch):
    expect_caught(ClaimMachine, mutant, monkeypatch)


def test_catches_an_attempt_removed_before_its_row_is_written(monkeypatch):
    early = Mutant("early", sys.modules[__name__], "removes_early", lambda: True)
    expect_caught(ClaimMachine, early, monkeypatch)


def test_a_duplicate_gets_the_finished_answer():
    protocol = ClaimProtocol("me/i/1", "digest")
    row = ClaimRow("you/i/1", "digest", finished=True, answer=b"whole")
    assert protocol.on_read(VersionedClaim(row, 3)) == Replay(b"whole")


def test_the_same_key_with_another_request_is_refused():
    protocol = ClaimProtocol("me/i/1", "digest")
    row = ClaimRow("you/i/1", "other", finished=True, answer=b"whole")
    refusal = protocol.on_read(VersionedClaim(row, 3))
    assert isinstance(refusal, Refusal)
    assert refusal.kind == "key_reused"
