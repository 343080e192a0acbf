"""The connection of one instance to the keeper of some teams' allowances."""

from __future__ import annotations

__all__ = ["ANSWER_SECONDS", "Connect", "CoordinatorLink"]

from collections.abc import Awaitable, Callable, Sequence
from typing import TYPE_CHECKING

import trio

from ashpond.clients.keeper import (
    AllowanceRequest,
    AllowanceVerdict,
    ReturnedAllowance,
    decode_answer,
    encode_ask,
)
from ashpond.clients.peer import AllowanceAnswer, PeerStream
from ashpond.decisions.allowances import AccruedTime, TimeSpan, rank_coordinators
from ashpond.decisions.fleetlinks import Member
from ashpond.errors import FrameError
from ashpond.news.links import PEER_ERRORS

if TYPE_CHECKING:
    from ashpond.gateway.decisionlog import DecisionLog
    from ashpond.news.members import Members

# A request waits so long for a keeper's answer; an answer takes a few ms (seconds).
ANSWER_SECONDS = 0.5
# After so long without one, the next keeper is asked (seconds).
IDLE_TIMEOUT_SECONDS = 0.2
CONNECT_SECONDS = 0.3
# A keeper that was not reached is passed over for so long (seconds).
AVOID_SECONDS = 2.0
# A keeper that has just begun has nothing saved: requests wait until instances have
# handed it some time (seconds).
FILL_SECONDS = 0.15
# Before a better keeper is asked, it gets the time for so long, and saves it up, while
# the one before it still answers from what it has saved (seconds).
WARMUP_SECONDS = 1.0
# Earned time that no request carries is handed over so often (seconds).
HAND_OVER_SECONDS = 0.25

Connect = Callable[[Member], Awaitable[PeerStream]]
DecideLocally = Callable[
    [int, int, "CoordinatorLink", AllowanceRequest], AllowanceVerdict
]


class _Waiter:
    def __init__(self, request: AllowanceRequest):
        self.request = request
        self.is_sent = False
        self.verdict: AllowanceVerdict | None = None
        self.decided = trio.Event()


class _Connection:
    """A connection to a keeper, whose clock is ``ahead`` of this process's.

    What a keeper says of its clock was true when it said so, and is less than true when
    it arrives: what it is handed never looks younger than it is.
    """

    def __init__(self, stream: PeerStream, clock_offset: float):
        self.stream = stream
        self.clock_offset = clock_offset

    def update_clock_offset(self, coordinator_now: float) -> None:
        """Take what the keeper's clock showed when it answered."""
        self.clock_offset = max(
            self.clock_offset, coordinator_now - trio.current_time()
        )

    def to_coordinator_clock(self, span: TimeSpan) -> TimeSpan:
        """Return a span of this process's clock on the keeper's."""
        return TimeSpan(span.begin + self.clock_offset, span.end + self.clock_offset)


class CoordinatorLink:
    """Asks the keeper of one slot, whichever instance that is at present.

    Any instance may be asked without harm to the limits, so that each finds its keeper
    by itself: the first candidate that it reaches, and at last itself.

    :param decide_here: decides if this instance is its own keeper.
    :param connect: returns a connection to an instance.
    :param earns_since: from when on what is earned has not been handed over yet.
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
        # Whether the keeper has just begun to be asked, and has nothing saved.
        self._must_fill = True
        self._is_warming_up = False

    @property
    def is_own_coordinator(self) -> bool:
        """Whether this instance is its own keeper at present."""
        return self.coordinator == self._own_name

    def next_number(self) -> int:
        """Return a number for a request that no other on this link has."""
        self._number += 1
        return self._number

    async def ask(self, request: AllowanceRequest) -> AllowanceVerdict | None:
        """Return the keeper's verdict, None if there was none in time."""
        if self.is_own_coordinator:
            return self._decide_locally(self._hash_slots, self.hash_slot, self, request)
        waiter = self._waiters[request.number] = _Waiter(request)
        self._wake.set()
        try:
            with trio.move_on_after(min(ANSWER_SECONDS, request.patience)):
                await waiter.decided.wait()
        finally:
            del self._waiters[request.number]
        return waiter.verdict

    def queue_refund(self, returned: ReturnedAllowance) -> None:
        """Have the keeper told of what has not been used."""
        self._returned.append(returned)
        self._wake.set()

    async def run(self) -> None:
        """Stay connected to the best keeper there is, until cancelled."""
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
        """Return whom to try, the best first, without those just found away."""
        own = self._members.own
        members = {**self._members.by_name, own.name: own}
        now = trio.current_time()
        return [
            member
            for member in rank_coordinators(self.hash_slot, members)
            if self._avoided.get(member.name, 0.0) <= now
        ]

    async def _find_coordinator(self) -> tuple[str, _Connection | None]:
        """Return the best keeper that can be reached; itself without a connection."""
        for member in self._list_candidates():
            if member.name == self._own_name:
                break
            connection = await self._connect(member)
            if connection is not None:
                return member.name, connection
        return self._own_name, None

    async def _connect(self, member: Member) -> _Connection | None:
        """Connect to a keeper and learn its clock; None if it is away."""
        stream = None
        try:
            with trio.fail_after(CONNECT_SECONDS):
                stream = await self._connect_to(member)
                request = encode_ask(
                    self._incarnation,
                    self._hash_slots,
                    self.hash_slot,
                    None,
                    wants_time=True,
                )
                await stream.send(request)
                answer = await stream.receive()
                if not isinstance(answer, AllowanceAnswer):
                    raise FrameError("a keeper that does not answer")
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
        """Decide here what waited for a keeper."""
        for waiter in list(self._waiters.values()):
            if waiter.verdict is None:
                waiter.verdict = self._decide_locally(
                    self._hash_slots, self.hash_slot, self, waiter.request
                )
                waiter.decided.set()

    async def _run_connection(self, coordinator: str, connection: _Connection) -> None:
        """Ask a keeper until it is lost, or a better one is there."""
        for waiter in self._waiters.values():
            waiter.is_sent = False
        # What waited since the last conversation would come back too late.
        self._returned.clear()
        reason = "it is silent"
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
        """End a conversation once a candidate that goes before its keeper is back."""
        while True:
            await trio.sleep(AVOID_SECONDS)
            for member in self._list_candidates():
                if member.name == coordinator:
                    break
                if member.name == self._own_name or await self._warm_up(member):
                    scope.cancel()
                    return

    async def _warm_up(self, member: Member) -> bool:
        """Hand time to a better keeper; return whether it is there to be asked."""
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
        message = encode_ask(
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
        """Return what has been earned since, on a keeper's clock."""
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
        """Return when the keeper is taken for lost if it does not answer."""
        waiters = self._waiters.values()
        if any(waiter.is_sent and waiter.verdict is None for waiter in waiters):
            return trio.current_time() + IDLE_TIMEOUT_SECONDS
        return float("inf")
