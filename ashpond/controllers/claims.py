"""Claims of requests that may run at most once, written by group commit."""

from __future__ import annotations

__all__ = ["Claim", "ClaimsController"]

import base64
import math
from typing import TYPE_CHECKING, Any, NamedTuple

import trio

from ashpond.clients.peer import AttemptAnswer, AttemptQuery, query_peer
from ashpond.clients.platform import Put, Row
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
from ashpond.outcomes import Conflict, Done, Refusal, StoreOutcome, Unavailable

if TYPE_CHECKING:
    from ashpond.clients.platform import PlatformClient
    from ashpond.metrics import Metrics
    from ashpond.settings import Settings

MAX_BATCH = 64
MAX_STORED_ANSWER_BYTES = 64 * 1024
FINISH_ATTEMPTS = 8
FINISH_PAUSE_SECONDS = 0.5


class Claim(NamedTuple):
    """A claim that this instance holds; ``version`` is the version of its row."""

    key: str
    attempt: str
    version: int
    digest: str
    ttl: float


class _Write:
    """A conditional write that waits for its batch."""

    def __init__(self, put: Put):
        self.put = put
        self.done = trio.Event()
        self.outcome: StoreOutcome = Unavailable("not sent")

    def complete(self, outcome: StoreOutcome) -> None:
        self.outcome = outcome
        self.done.set()


class ClaimsController:
    """Claims requests, finishes or releases the claims, and reports attempts to peers.

    Writes that arrive during a transaction are sent together in the next one, so no
    write waits for a batch to fill.
    """

    def __init__(
        self,
        settings: Settings,
        incarnation: str,
        platform: PlatformClient,
        metrics: Metrics,
        *,
        max_batch: int = MAX_BATCH,
    ):
        self._settings = settings
        self._platform = platform
        self._metrics = metrics
        self._max_batch = max_batch
        self.registry = AttemptRegistry(settings.peers_address, incarnation)
        self._send, self._receive = trio.open_memory_channel[_Write](math.inf)
        self._finishes, self._finish_queue = trio.open_memory_channel[
            tuple[Claim, ClaimRow]
        ](math.inf)

    async def run(self) -> None:
        """Write batches of claims, forever."""
        async with trio.open_nursery() as nursery:
            nursery.start_soon(self._run_writer)
            nursery.start_soon(self._run_finisher, nursery)

    def answer(self, attempt: str) -> AttemptState:
        """Return the state of an attempt, for a peer."""
        try:
            return self.registry.get_state_or_revoke(attempt)
        except ValueError:
            return AttemptState.UNKNOWN

    async def claim(
        self, key: str, digest: str, ttl: float
    ) -> Claim | Replay | Refusal:
        """Run the claim protocol for one request.

        :param ttl: how long the claim and its answer are stored (seconds).
        """
        attempt = self.registry.open()
        protocol = ClaimProtocol(attempt, digest)
        step: Any = protocol.start()
        try:
            while not isinstance(step, Dispatch | Replay | Refusal):
                step = await self._execute_step(protocol, step, key, ttl)
        finally:
            if not isinstance(step, Dispatch):
                self.registry.give_up(attempt)
        self._metrics.claims.inc({"verdict": type(step).__name__.lower()})
        if isinstance(step, Dispatch):
            return Claim(key, attempt, step.version, digest, ttl)
        return step

    async def _execute_step(
        self, protocol: ClaimProtocol, step: Any, key: str, ttl: float
    ) -> Any:
        if isinstance(step, InsertClaim):
            put = Put(key, pack_claim(step.row), 0, ttl)
            return protocol.on_write(await self._write(put))
        if isinstance(step, ReplaceClaim):
            put = Put(key, pack_claim(step.row), step.version, ttl)
            return protocol.on_write(await self._write(put))
        if isinstance(step, ReadClaim):
            outcome = await self._platform.get_row(key)
            if isinstance(outcome, Done):
                return protocol.on_read(unpack_claim(outcome.value))
            return protocol.on_read(outcome)
        assert isinstance(step, AskOwner)
        return protocol.on_owner_state(await self._ask_owner(step.attempt))

    async def _ask_owner(self, attempt: str) -> AttemptState:
        owner, _, _ = split_attempt_id(attempt)
        if owner == self.registry.owner:
            return self.registry.get_state_or_revoke(attempt)
        answer = await query_peer(
            owner,
            AttemptQuery(attempt),
            secret=self._settings.peer_secret,
            max_frame=self._settings.limits.max_frame_bytes,
            timeout=self._settings.timing.connect_timeout,
        )
        if not isinstance(answer, AttemptAnswer):
            return AttemptState.UNKNOWN
        try:
            return AttemptState(answer.state)
        except ValueError:
            return AttemptState.UNKNOWN

    def finish(self, claim: Claim, answer: bytes) -> None:
        """Store a complete answer for duplicates of the request, in the background.

        A larger answer than ``MAX_STORED_ANSWER_BYTES`` is stored as empty.
        """
        stored = answer if len(answer) <= MAX_STORED_ANSWER_BYTES else b""
        row = ClaimRow(claim.attempt, claim.digest, finished=True, answer=stored)
        self._finishes.send_nowait((claim, row))

    def release(self, claim: Claim) -> None:
        """Release the claim to other attempts: this one certainly did not run."""
        self.registry.give_up(claim.attempt)
        self.registry.remove(claim.attempt)
        row = ClaimRow(claim.attempt, claim.digest, released=True)
        self._finishes.send_nowait((claim, row))

    async def _write(self, put: Put) -> StoreOutcome:
        write = _Write(put)
        self._send.send_nowait(write)
        await write.done.wait()
        return write.outcome

    async def _run_finisher(self, nursery: trio.Nursery) -> None:
        async for claim, row in self._finish_queue:
            nursery.start_soon(self._finish, claim, row)

    async def _finish(self, claim: Claim, row: ClaimRow) -> None:
        put = Put(claim.key, pack_claim(row), claim.version, claim.ttl)
        for retry in range(FINISH_ATTEMPTS):
            outcome = await self._write(put)
            if isinstance(outcome, Done | Conflict):
                # From now on the row itself shows the outcome of the attempt.
                self.registry.remove(claim.attempt)
                return
            await trio.sleep(FINISH_PAUSE_SECONDS * 2**retry)

    async def _run_writer(self) -> None:
        pending: list[_Write] = []
        while True:
            if not pending:
                pending.append(await self._receive.receive())
            while len(pending) < self._max_batch:
                try:
                    pending.append(self._receive.receive_nowait())
                except trio.WouldBlock:
                    break
            batch, pending = split_batch(pending)
            pending = await self._write_batch(batch) + pending

    async def _write_batch(self, batch: list[_Write]) -> list[_Write]:
        """Write one transaction; return the writes without a conflict, to retry them.

        A conflict on one row rejects the whole transaction.
        """
        outcome = await self._platform.transact([write.put for write in batch])
        if isinstance(outcome, Done):
            for write, version in zip(batch, outcome.value, strict=True):
                write.complete(Done(version))
            return []
        if not isinstance(outcome, Conflict):
            for write in batch:
                write.complete(outcome)
            return []
        conflict_free = []
        for write in batch:
            if write.put.key in outcome.current:
                write.complete(outcome)
            else:
                conflict_free.append(write)
        return conflict_free


def split_batch(writes: list[_Write]) -> tuple[list[_Write], list[_Write]]:
    """Split writes into a batch of distinct keys and those that have to wait."""
    first: dict[str, _Write] = {}
    deferred = []
    for write in writes:
        if write.put.key in first:
            deferred.append(write)
        else:
            first[write.put.key] = write
    return list(first.values()), deferred


def pack_claim(row: ClaimRow) -> dict[str, Any]:
    """Return the table value of a claim row."""
    answer = base64.b64encode(row.answer).decode()
    return row._asdict() | {"answer": answer}


def unpack_claim(row: Row | None) -> VersionedClaim | None:
    """Return the claim row that a table row holds."""
    if row is None:
        return None
    answer = base64.b64decode(row.value["answer"])
    return VersionedClaim(ClaimRow(**(row.value | {"answer": answer})), row.version)
