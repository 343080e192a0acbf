"""The connection of one instance to the coordinator of a hash slot."""

from __future__ import annotations

__all__ = ["ANSWER_SECONDS", "Connect", "CoordinatorLink"]

from collections.abc import Awaitable, Callable, Sequence
from typing import TYPE_CHECKING

import trio

from ashpond.clients.coordinator import (
    AllowanceDecision,
    AllowanceRequest,
    ReturnedAllowance,
    decode_answer,
    encode_query,
)
from ashpond.clients.peer import AllowanceAnswer, PeerStream
from ashpond.decisions.allowances import AccruedTime, TimeSpan, rank_coordinators
from ashpond.decisions.fleetlinks import Member
from ashpond.errors import FrameError
from ashpond.fleet.links import PEER_ERRORS

if TYPE_CHECKING:
    from ashpond.fleet.members import Members
    from ashpond.gateway.decisionlog import DecisionLog

# How long a request waits for an answer, which usually takes a few ms (seconds).
ANSWER_SECONDS = 0.5
# After this time without an answer, the next coordinator is asked (seconds).
IDLE_TIMEOUT_SECONDS = 0.2
CONNECT_SECONDS = 0.3
# How long an unreachable coordinator is not tried again (seconds).
AVOID_SECONDS = 2.0
# How long requests to a new coordinator wait: it can grant nothing until it has
# received accrued time from the instances (seconds).
FILL_SECONDS = 0.15
# How long a preferred coordinator receives accrued time before it is asked; meanwhile
# the present one still answers from what it has saved (seconds).
WARMUP_SECONDS = 1.0
# How often accrued time is sent when no request carries it (seconds).
HAND_OVER_SECONDS = 0.25

Connect = Callable[[Member], Awaitable[PeerStream]]
DecideLocally = Callable[
    [int, int, "CoordinatorLink", AllowanceRequest], AllowanceDecision
]


class _Waiter:
    def __init__(self, request: AllowanceRequest):
        self.request = request
        self.is_sent = False
        self.verdict: AllowanceDecision | None = None
        self.decided = trio.Event()


class _Connection:
    """A connection to a coordinator, and the offset of its clock from this process's.

    As an answer takes time to arrive, the offset is never estimated too large, and
    accrued time never looks more recent than it is.
    """

    def __init__(self, stream: PeerStream, clock_offset: float):
        self.stream = stream
        self.clock_offset = clock_offset

    def update_clock_offset(self, coordinator_now: float) -> None:
        """Update the offset by the time at which the coordinator answered."""
        self.clock_offset = max(
            self.clock_offset, coordinator_now - trio.current_time()
        )

    def to_coordinator_clock(self, span: TimeSpan) -> TimeSpan:
        """Convert a span of time from this process's clock to the coordinator's."""
        return TimeSpan(span.begin + self.clock_offset, span.end + self.clock_offset)


class CoordinatorLink:
    """Asks the coordinator of one hash slot, and reconnects when it is lost.

    Limits hold whichever instance is asked, as accrued time is sent only once. So each
    instance chooses by itself: the first candidate that it reaches, or itself if none.

    :param decide_locally: decides while this instance is its own coordinator.
    :param connect: opens a connection to an instance.
    :param accrues_since: start of accrual; earlier time was accrued elsewhere or sent.
    """

    def __init__(
        self,
        incarnation: str,
        hash_slots: int,
        hash_slot: int,
        members: Members,
        log: DecisionLog,
        decide_locally: DecideLocally,
        connect: Connect,
        accrues_since: float,
    ):
        self.scope = trio.CancelScope()
        self.accrued_time = AccruedTime(accrues_since)
        self.coordinator = ""
        self._incarnation = incarnation
        self._hash_slots = hash_slots
        self.hash_slot = hash_slot
        self._members = members
        self._log = log
        self._decide_locally = decide_locally
        self._connect_to = connect
        self._own_name = members.own.name
        self._waiters: dict[int, _Waiter] = {}
        self._returned: list[ReturnedAllowance] = []
        self._avoided: dict[str, float] = {}
        self._number = 0
        self._wake = trio.Event()
        self._idle_scope = trio.CancelScope()
        # Whether the coordinator is new and may not have received any time yet.
        self._must_fill = True
        self._is_warming_up = False

    @property
    def is_own_coordinator(self) -> bool:
        """Whether this instance is its own coordinator at present."""
        return self.coordinator == self._own_name

    def next_number(self) -> int:
        """Return a new number for a request on this link."""
        self._number += 1
        return self._number

    async def ask(self, request: AllowanceRequest) -> AllowanceDecision | None:
        """Return the coordinator's verdict, None if there was none in time."""
        if self.is_own_coordinator:
            return self._decide_locally(self._hash_slots, self.hash_slot, self, request)
        waiter = self._waiters[request.number] = _Waiter(request)
        self._wake.set()
        try:
            with trio.move_on_after(min(ANSWER_SECONDS, request.timeout)):
                await waiter.decided.wait()
        finally:
            del self._waiters[request.number]
        return waiter.verdict

    def queue_refund(self, returned: ReturnedAllowance) -> None:
        """Send an unused grant back to the coordinator."""
        self._returned.append(returned)
        self._wake.set()

    async def run(self) -> None:
        """Stay connected to the preferred reachable coordinator until cancelled."""
        with self.scope:
            while True:
                coordinator, connection = await self._find_coordinator()
                self._set_coordinator(coordinator)
                if connection is None:
                    self._decide_pending()
                    await trio.sleep(AVOID_SECONDS)
                else:
                    await self._run_connection(coordinator, connection)

    def _set_coordinator(self, coordinator: str) -> None:
        if coordinator != self.coordinator:
            self._log.note("allowance_keeper", keeper=coordinator, slot=self.hash_slot)
        self.coordinator = coordinator

    def _list_candidates(self) -> list[Member]:
        """Return the candidates in order of preference, without unreachable ones."""
        own = self._members.own
        members = {**self._members.by_name, own.name: own}
        now = trio.current_time()
        return [
            member
            for member in rank_coordinators(self.hash_slot, members)
            if self._avoided.get(member.name, 0.0) <= now
        ]

    async def _find_coordinator(self) -> tuple[str, _Connection | None]:
        """Connect to the first reachable candidate.

        Return its name and the connection; this instance's own name and None if it is
        its own coordinator.
        """
        for member in self._list_candidates():
            if member.name == self._own_name:
                break
            connection = await self._connect(member)
            if connection is not None:
                return member.name, connection
        return self._own_name, None

    async def _connect(self, member: Member) -> _Connection | None:
        """Connect to a coordinator and read its clock; return None if that fails."""
        stream = None
        try:
            with trio.fail_after(CONNECT_SECONDS):
                stream = await self._connect_to(member)
                request = encode_query(
                    self._incarnation,
                    self._hash_slots,
                    self.hash_slot,
                    None,
                    wants_time=True,
                )
                await stream.send(request)
                answer = await stream.receive()
                if not isinstance(answer, AllowanceAnswer):
                    raise FrameError("expected an allowance answer")
                decode_answer(answer)
                return _Connection(stream, answer.now - trio.current_time())
        except PEER_ERRORS as error:
            self._avoid(member.name, repr(error))
        except BaseException:
            if stream is not None:
                await stream.aclose()
            raise
        if stream is not None:
            await stream.aclose()
        return None

    def _avoid(self, name: str, reason: str) -> None:
        self._avoided[name] = trio.current_time() + AVOID_SECONDS
        self._log.note("allowance_keeper_lost", keeper=name, reason=reason)

    def _decide_pending(self) -> None:
        """Decide locally on the requests that wait for a coordinator."""
        for waiter in list(self._waiters.values()):
            if waiter.verdict is None:
                waiter.verdict = self._decide_locally(
                    self._hash_slots, self.hash_slot, self, waiter.request
                )
                waiter.decided.set()

    async def _run_connection(self, coordinator: str, connection: _Connection) -> None:
        """Ask a coordinator until it is lost or a preferred one is reachable."""
        for waiter in self._waiters.values():
            waiter.is_sent = False
        # Refunds queued for the previous connection have expired.
        self._returned.clear()
        reason = "no answer in time"
        try:
            async with trio.open_nursery() as nursery:
                nursery.start_soon(
                    self._watch_for_preferred, coordinator, nursery.cancel_scope
                )
                nursery.start_soon(self._send_requests, connection)
                with trio.CancelScope() as self._idle_scope:
                    await self._receive_answers(connection)
                if self._idle_scope.cancelled_caught:
                    raise trio.TooSlowError
            return
        except* PEER_ERRORS as errors:
            reason = repr(errors.exceptions[0])
        finally:
            with trio.CancelScope(shield=True):
                await connection.stream.aclose()
        self._avoid(coordinator, reason)
        self._must_fill = True

    async def _watch_for_preferred(
        self, coordinator: str, scope: trio.CancelScope
    ) -> None:
        """Cancel ``scope`` once a candidate of higher preference is reachable."""
        while True:
            await trio.sleep(AVOID_SECONDS)
            for member in self._list_candidates():
                if member.name == coordinator:
                    break
                if member.name == self._own_name or await self._warm_up(member):
                    scope.cancel()
                    return

    async def _warm_up(self, member: Member) -> bool:
        """Send accrued time to a candidate; return whether it can be asked now."""
        connection = await self._connect(member)
        if connection is None:
            return False
        self._is_warming_up = True
        until = trio.current_time() + WARMUP_SECONDS
        try:
            while trio.current_time() < until:
                await self._send(connection, self._take_accrued(connection))
                await trio.sleep(HAND_OVER_SECONDS)
            return True
        except PEER_ERRORS as error:
            self._avoid(member.name, repr(error))
            return False
        finally:
            self._is_warming_up = False
            with trio.CancelScope(shield=True):
                await connection.stream.aclose()

    async def _send_requests(self, connection: _Connection) -> None:
        if self._must_fill:
            self._must_fill = False
            await self._send(connection, self._take_accrued(connection))
            await trio.sleep(FILL_SECONDS)
        while True:
            unsent = [w.request for w in self._waiters.values() if not w.is_sent]
            for waiter in self._waiters.values():
                waiter.is_sent = True
            returned, self._returned = self._returned, []
            accrued = None if self._is_warming_up else self._take_accrued(connection)
            if unsent and self._idle_scope.deadline == float("inf"):
                self._idle_scope.deadline = trio.current_time() + IDLE_TIMEOUT_SECONDS
            if unsent or returned or accrued is not None:
                await self._send(connection, accrued, unsent, returned)
            with trio.move_on_after(HAND_OVER_SECONDS):
                await self._wake.wait()
            self._wake = trio.Event()

    async def _send(
        self,
        connection: _Connection,
        accrued: TimeSpan | None,
        requests: Sequence[AllowanceRequest] = (),
        returned: Sequence[ReturnedAllowance] = (),
    ) -> None:
        message = encode_query(
            self._incarnation,
            self._hash_slots,
            self.hash_slot,
            accrued,
            requests,
            returned,
        )
        with trio.fail_after(IDLE_TIMEOUT_SECONDS):
            await connection.stream.send(message)

    def _take_accrued(self, connection: _Connection) -> TimeSpan | None:
        """Return the time accrued since the last call, on the coordinator's clock."""
        accrued = self.accrued_time.take(trio.current_time())
        return None if accrued is None else connection.to_coordinator_clock(accrued)

    async def _receive_answers(self, connection: _Connection) -> None:
        while True:
            message = await connection.stream.receive()
            if not isinstance(message, AllowanceAnswer):
                continue
            verdicts = decode_answer(message)
            connection.update_clock_offset(message.now)
            for verdict in verdicts:
                waiter = self._waiters.get(verdict.number)
                if waiter is not None:
                    waiter.verdict = verdict
                    waiter.decided.set()
            self._idle_scope.deadline = self._find_idle_deadline()

    def _find_idle_deadline(self) -> float:
        """Return when the connection counts as lost unless an answer arrives."""
        waiters = self._waiters.values()
        if any(waiter.is_sent and waiter.verdict is None for waiter in waiters):
            return trio.current_time() + IDLE_TIMEOUT_SECONDS
        return float("inf")
