"""Run a request with an idempotency key at most once over all instances.

Before dispatch, an instance inserts a claim row on condition that there is none. Only
an instance that has *seen* its own attempt id in the row may dispatch, and each attempt
is dispatched at most once. A claim never passes to another instance by expiry: it is
taken over only after its owner has reported that its attempt was not sent and never
will be. If the owner cannot confirm that, the outcome is unknown.

:class:`ClaimProtocol` is the state machine of one attempt, without I/O: it returns
commands and receives their outcomes. :class:`AttemptRegistry` records an owner's
attempts, so that it can answer other instances.
"""

from __future__ import annotations

__all__ = [
    "AskOwner",
    "AttemptRegistry",
    "AttemptState",
    "ClaimProtocol",
    "ClaimRow",
    "Dispatch",
    "InsertClaim",
    "ReadClaim",
    "ReplaceClaim",
    "Replay",
    "make_attempt_id",
    "split_attempt_id",
]

from enum import StrEnum
from typing import NamedTuple

from ashpond.outcomes import (
    Done,
    Refusal,
    RunState,
    StoreOutcome,
    Unavailable,
    Unknown,
)

MAX_STEPS = 8
MAX_SENT_ATTEMPTS = 100_000
IN_PROGRESS_RETRY_SECONDS = 0.5
STORE_RETRY_SECONDS = 2.0
IN_DOUBT_STATUS = 409
STORE_DOWN_STATUS = 503


class AttemptState(StrEnum):
    """The state of an attempt, as reported by its owner."""

    NEVER = "never"
    SENT = "sent"
    UNKNOWN = "unknown"


class ClaimRow(NamedTuple):
    """The stored claim.

    ``answer`` is the complete answer, encoded, or empty. ``released`` is set by the
    owner once it is certain that its attempt has not run.
    """

    attempt: str
    request_digest: str
    finished: bool = False
    released: bool = False
    answer: bytes = b""


class VersionedClaim(NamedTuple):
    """A claim row as read, with the version that a replacement has to match."""

    row: ClaimRow
    version: int


class InsertClaim(NamedTuple):
    """Command: insert the row on condition that there is none."""

    row: ClaimRow


class ReadClaim(NamedTuple):
    """Command: read the current row."""


class ReplaceClaim(NamedTuple):
    """Command: replace the row on condition that it still has ``version``."""

    row: ClaimRow
    version: int


class AskOwner(NamedTuple):
    """Command: ask the owner of ``attempt`` whether it was or will be sent."""

    attempt: str


class Dispatch(NamedTuple):
    """Result: this attempt, and no other one, may be sent.

    ``version`` is that of the claim row, needed to finish or release the claim.
    """

    version: int


class Replay(NamedTuple):
    """Result: the request has run; the client gets the stored answer."""

    answer: bytes


Command = InsertClaim | ReadClaim | ReplaceClaim | AskOwner
ClaimResult = Dispatch | Replay | Refusal


def make_attempt_id(owner: str, incarnation: str, number: int) -> str:
    """Return the id of an attempt; ``owner`` is the peer address of its instance."""
    return f"{owner}/{incarnation}/{number}"


def split_attempt_id(attempt: str) -> tuple[str, str, int]:
    """Return the owner, the incarnation and the number in an attempt id."""
    owner, incarnation, number = attempt.rsplit("/", 2)
    return owner, incarnation, int(number)


class ClaimProtocol:
    """The state machine of one attempt: decides each step from the last outcome."""

    def __init__(self, attempt: str, request_digest: str):
        self.own = ClaimRow(attempt, request_digest)
        self._other_claim: VersionedClaim | None = None
        self._steps = 0

    def start(self) -> Command:
        """Return the first command."""
        return InsertClaim(self.own)

    def on_write(self, outcome: StoreOutcome) -> Command | ClaimResult:
        """Process the outcome of an insert or a replacement."""
        self._steps += 1
        if isinstance(outcome, Done):
            return Dispatch(outcome.value)
        if isinstance(outcome, Unavailable):
            return make_store_down_refusal()
        # If the answer was lost, only the row itself shows which attempt has the claim.
        return ReadClaim()

    def on_read(
        self, outcome: VersionedClaim | None | Unavailable | Unknown
    ) -> Command | ClaimResult:
        """Process the row that was read, ``None`` if there is none."""
        self._steps += 1
        if self._steps > MAX_STEPS or isinstance(outcome, Unavailable | Unknown):
            return make_store_down_refusal()
        if outcome is None:
            return InsertClaim(self.own)
        if outcome.row.attempt == self.own.attempt:
            return Dispatch(outcome.version)
        if outcome.row.request_digest != self.own.request_digest:
            text = "the idempotency key was used for another request"
            return Refusal(422, "key_reused", text)
        if outcome.row.finished:
            return Replay(outcome.row.answer)
        if outcome.row.released:
            return ReplaceClaim(self.own, outcome.version)
        self._other_claim = outcome
        return AskOwner(outcome.row.attempt)

    def on_owner_state(self, state: AttemptState) -> Command | ClaimResult:
        """Process the state of the other claim's attempt, reported by its owner."""
        self._steps += 1
        if state is AttemptState.NEVER and self._other_claim is not None:
            return ReplaceClaim(self.own, self._other_claim.version)
        if state is AttemptState.SENT:
            text = "an earlier request with this key is still running"
            wait = IN_PROGRESS_RETRY_SECONDS
            unknown = RunState.OUTCOME_UNKNOWN
            return Refusal(IN_DOUBT_STATUS, "in_progress", text, unknown, wait)
        text = "an earlier request with this key may have run"
        return Refusal(
            IN_DOUBT_STATUS, "outcome_unknown", text, RunState.OUTCOME_UNKNOWN
        )


def make_store_down_refusal() -> Refusal:
    """Return the refusal of a request whose claim could not be confirmed."""
    return Refusal(
        STORE_DOWN_STATUS,
        "store_unavailable",
        "the claim could not be recorded, so the request was not run",
        retry_after=STORE_RETRY_SECONDS,
    )


class AttemptRegistry:
    """The attempts of one incarnation of an instance.

    An attempt is *pending* until it is sent or given up. Reporting ``NEVER`` for a
    pending attempt revokes it: :meth:`mark_sent` then returns False.
    """

    def __init__(self, owner: str, incarnation: str):
        self.owner = owner
        self.incarnation = incarnation
        self._number = 0
        self._pending: set[str] = set()
        self._sent: dict[str, None] = {}
        self._removed_below = 0

    def open(self) -> str:
        """Return the id of a new pending attempt."""
        self._number += 1
        attempt = make_attempt_id(self.owner, self.incarnation, self._number)
        self._pending.add(attempt)
        return attempt

    def mark_sent(self, attempt: str) -> bool:
        """Record that the attempt is sent, before any byte of it is.

        :returns: False if the attempt was revoked and must not be sent.
        """
        if attempt not in self._pending:
            return False
        self._pending.remove(attempt)
        self._sent[attempt] = None
        while len(self._sent) > MAX_SENT_ATTEMPTS:
            oldest = next(iter(self._sent))
            del self._sent[oldest]
            self._removed_below = split_attempt_id(oldest)[2] + 1
        return True

    def give_up(self, attempt: str) -> None:
        """Record that a pending attempt will never be sent."""
        self._pending.discard(attempt)

    def remove(self, attempt: str) -> None:
        """Remove a sent attempt that did not run, or whose row records that it did."""
        self._sent.pop(attempt, None)

    def get_state_or_revoke(self, attempt: str) -> AttemptState:
        """Return an attempt's state; one that is not sent yet is revoked by this."""
        owner, incarnation, number = split_attempt_id(attempt)
        if (owner, incarnation) != (self.owner, self.incarnation):
            return AttemptState.UNKNOWN
        if attempt in self._sent:
            return AttemptState.SENT
        if number < self._removed_below:
            return AttemptState.UNKNOWN
        self._pending.discard(attempt)
        return AttemptState.NEVER
