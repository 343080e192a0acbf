"""The link of an instance to the coordinator of one shard."""

from __future__ import annotations

__all__ = ["ShardLink"]

import math
from collections.abc import Sequence
from typing import TYPE_CHECKING

import trio

from ashpond.clients.peer import PlacementAnswer
from ashpond.clients.placements import (
    DecisionState,
    EndedPlacement,
    HeldPlacement,
    PlacementDecision,
    decode_placement_answer,
    encode_placement_query,
)
from ashpond.coordination.answertimer import IDLE_SECONDS, AnswerTimer
from ashpond.coordination.candidates import (
    AVOID_SECONDS,
    Connection,
    CoordinatorSearch,
    Found,
)
from ashpond.coordination.pendingasks import (
    OVERDUE_SECONDS,
    Ask,
    FallbackReason,
    HeldReservations,
)
from ashpond.decisions.loads import Load
from ashpond.decisions.placementterms import PlacementEvent, PlacementTerms
from ashpond.decisions.selection import Demand
from ashpond.fleet.links import PEER_ERRORS

if TYPE_CHECKING:
    from ashpond.gateway.decisionlog import DecisionLog

# How much longer an ask waits for a late answer (seconds). After a pause of the
# process, timers expire before the answers that have arrived are read.
LATE_ANSWER_SECONDS = 0.002
# How long a new coordinator is not asked after the loss of the previous one (seconds).
# The instance that becomes its own coordinator would else place requests some ms before
# the others have sent it what they hold.
FILL_SECONDS = 0.01
# How long ends wait for an ask to be sent with (seconds).
END_SECONDS = 0.005
# Reported waits are not used any longer after this time (seconds).
WAIT_SECONDS = 1.0
# A link that was not used for this time is closed (seconds).
UNUSED_SECONDS = 30.0
NO_ANSWER = "no answer in time"


class ShardLink:
    """Asks the coordinator of one shard, and reconnects when it is lost.

    A new coordinator is first sent what this instance has in flight.

    :param sender: the incarnation of this instance.
    """

    def __init__(
        self,
        sender: str,
        service: str,
        shard: str,
        search: CoordinatorSearch,
        log: DecisionLog,
    ):
        self.service = service
        self.shard = shard
        self.coordinator = ""
        self.is_closed = False
        self.held = HeldReservations()
        self._sender = sender
        self._search = search
        self._log = log
        self._scope = trio.CancelScope()
        self._connection_scope = trio.CancelScope()
        self._asks: dict[int, Ask] = {}
        self._unsent: dict[int, Ask] = {}
        self._ended: list[EndedPlacement] = []
        self._ended_at = 0.0
        self._number = 0
        self._used_at = trio.current_time()
        self._wake = trio.Event()
        self._members_changed = trio.Event()
        self._next: Found | None = None
        self._is_unreachable = False
        # Whether the previous coordinator was lost, so that all instances change.
        self._was_lost = False
        self._waits: dict[int, float] = {}
        self._waits_at = -math.inf
        self._unanswered = AnswerTimer()
        self._received_at = -math.inf
        self._idle_scope = trio.CancelScope()

    @property
    def waiting(self) -> int:
        """The number of requests that wait for a decision."""
        return len(self._asks)

    def get_wait(self, urgency: int, now: float) -> float:
        """Return the estimated wait of a new request, 0 if unknown (seconds)."""
        is_recent = now - self._waits_at <= WAIT_SECONDS
        return self._waits.get(urgency, 0.0) if is_recent else 0.0

    def describe(self, now: float) -> dict[str, object]:
        """Return the state of the link, for operators."""
        return {
            "service": self.service,
            "shard": self.shard,
            "coordinator": self.coordinator,
            "reachable": not self._is_unreachable,
            "asks": len(self._asks),
            "held": len(self.held),
            # The estimated wait of a new request by urgency (seconds).
            "waits": [
                [urgency, round(self.get_wait(urgency, now), 3)]
                for urgency in sorted(self._waits)
            ],
        }

    async def ask(self, demand: Demand, terms: PlacementTerms) -> Ask:
        """Return an ask that is decided or failed, or whose deadline has passed."""
        now = trio.current_time()
        self._used_at = now
        self._number += 1
        ask = Ask(self._number, demand, terms, now)
        if self._is_unreachable:
            ask.fail(FallbackReason.UNREACHABLE)
            return ask
        self._asks[ask.number] = self._unsent[ask.number] = ask
        self._wake.set()
        try:
            await self._wait_for_decision(ask)
        except trio.Cancelled:
            if ask.is_granted:
                self._queue_end(ask.number, PlacementEvent.UNUSED)
            raise
        finally:
            del self._asks[ask.number]
            self._unsent.pop(ask.number, None)
            if ask.is_sent and ask.decision is None:
                self._queue_end(ask.number, PlacementEvent.UNUSED)
        return ask

    async def _wait_for_decision(self, ask: Ask) -> None:
        while not ask.is_decided:
            until = ask.terms.deadline
            if ask.unanswered_since is not None:
                since = ask.unanswered_since
                until = self._unanswered.find_deadline(since, ask.terms.deadline)
            changed = ask.changed
            with trio.move_on_at(until):
                await changed.wait()
            if changed.is_set():
                continue
            with trio.move_on_after(LATE_ANSWER_SECONDS):
                await changed.wait()
            if not changed.is_set():
                if ask.unanswered_since is not None:
                    ask.failure = FallbackReason.NO_ANSWER
                return

    def hold_fallback(self, start_id: str, load: Load, deadline: float) -> int:
        """Record a request that was placed without a coordinator; return its number."""
        self._number += 1
        self.held.add(self._number, start_id, load, deadline, granted=False)
        return self._number

    def give_back(self, number: int) -> None:
        """Return a grant that cannot be used here."""
        self._queue_end(number, PlacementEvent.UNUSED)

    def note_read(self, number: int) -> None:
        """Record that the server of a request has read its prompt."""
        if self.held.note_read(number):
            self._queue_end(number, PlacementEvent.READ)

    def end(self, number: int, event: PlacementEvent) -> None:
        """Record that a request is no longer in flight."""
        if self.held.remove(number):
            self._queue_end(number, event)

    def _queue_end(self, number: int, event: PlacementEvent) -> None:
        if not self._ended:
            self._ended_at = trio.current_time()
            self._wake.set()
        self._ended.append(EndedPlacement(number, event))

    def leave(self) -> None:
        """Ask other instances from now on, as this one stops coordinating."""
        self._search.is_leaving = True
        if self.coordinator == self._search.own_name:
            self._connection_scope.cancel()

    async def run(self) -> None:
        """Stay connected to the preferred reachable candidate until unused."""
        with self._scope:
            while True:
                # After a loss, requests wait for the next coordinator; while none can
                # be asked, they do not, and must not begin to in vain.
                probes = self._is_unreachable
                found = self._next or await self._search.find(probes=probes)
                self._next = None
                if found is None:
                    self._set_coordinator("")
                    self._is_unreachable = True
                    for ask in list(self._asks.values()):
                        ask.fail(FallbackReason.UNREACHABLE)
                    await trio.sleep(AVOID_SECONDS)
                    self._close_if_unused()
                else:
                    self._is_unreachable = False
                    self._set_coordinator(found.name)
                    await self._run_connection(found.name, found.connection)
        if self._next is not None:
            with trio.CancelScope(shield=True):
                await self._next.connection.aclose()

    def _set_coordinator(self, name: str) -> None:
        if name != self.coordinator:
            self._log.note(
                "placement_coordinator",
                coordinator=name,
                service=self.service,
                shard=self.shard,
            )
        self.coordinator = name

    def _close_if_unused(self) -> None:
        is_unused = trio.current_time() - self._used_at > UNUSED_SECONDS
        if is_unused and not self._asks and not self.held:
            self.is_closed = True
            self._scope.cancel()

    async def _run_connection(self, coordinator: str, connection: Connection) -> None:
        """Ask a coordinator until it is lost or a preferred one is reachable."""
        self._unanswered.clear()
        # Placements that have ended meanwhile are not held any longer.
        self._ended.clear()
        reason = NO_ANSWER
        try:
            async with trio.open_nursery() as nursery:
                self._connection_scope = nursery.cancel_scope
                nursery.start_soon(self._watch_for_preferred, coordinator)
                nursery.start_soon(self._send_queries, connection)
                await self._receive_until_idle(coordinator, connection)
                raise trio.TooSlowError
            return
        except* PEER_ERRORS as errors:
            error = errors.exceptions[0]
            if not isinstance(error, trio.TooSlowError):
                reason = repr(error)
        finally:
            self._reset()
            with trio.CancelScope(shield=True):
                await connection.aclose()
        self._search.avoid(coordinator, reason)
        self._was_lost = True

    def _reset(self) -> None:
        """Prepare for another connection, on which all asks are sent again."""
        now = trio.current_time()
        for ask in self._asks.values():
            if not ask.is_decided:
                ask.note_lost(now)
                self._unsent[ask.number] = ask

    def note_members(self) -> None:
        """Look for a preferred candidate now, as the members have changed.

        All instances then change at about the same time. While some still ask the
        previous coordinator, neither knows all requests.
        """
        self._members_changed.set()

    async def _watch_for_preferred(self, coordinator: str) -> None:
        """End the connection once a candidate of higher preference is reachable."""
        while True:
            self._members_changed = trio.Event()
            with trio.move_on_after(AVOID_SECONDS):
                await self._members_changed.wait()
            self._close_if_unused()
            self._next = await self._search.find(coordinator)
            if self._next is not None:
                self._connection_scope.cancel()
                return

    async def _send_queries(self, connection: Connection) -> None:
        await self._send(connection, held=self.held.report(trio.current_time()))
        if self._was_lost:
            self._was_lost = False
            await trio.sleep(FILL_SECONDS)
        while True:
            await self._wait_until_due()
            now = trio.current_time()
            asks = list(self._unsent.values())
            self._unsent.clear()
            for ask in asks:
                ask.is_sent = True
                self._unanswered.note_sent(ask.number, now)
            ended, self._ended = self._ended, []
            self._idle_scope.deadline = self._find_idle_deadline()
            await self._send(connection, asks, ended=ended)

    async def _wait_until_due(self) -> None:
        """Wait for an ask, or until an end has waited long enough."""
        while not self._unsent:
            until = self._ended_at + END_SECONDS if self._ended else math.inf
            if trio.current_time() >= until:
                return
            self._wake = trio.Event()
            with trio.move_on_at(until):
                await self._wake.wait()

    async def _send(
        self,
        connection: Connection,
        asks: Sequence[Ask] = (),
        held: Sequence[HeldPlacement] = (),
        ended: Sequence[EndedPlacement] = (),
    ) -> None:
        now = trio.current_time()
        message = encode_placement_query(
            self._sender,
            self.service,
            self.shard,
            [ask.build_message(now) for ask in asks],
            held,
            ended,
        )
        with trio.fail_after(IDLE_SECONDS):
            await connection.send(message)

    async def _receive_until_idle(
        self, coordinator: str, connection: Connection
    ) -> None:
        """Apply answers until the coordinator has not answered in time."""
        while True:
            deadline = self._find_idle_deadline()
            with trio.CancelScope(deadline=deadline) as self._idle_scope:
                await self._receive_answers(coordinator, connection)
            # Since the timer was set, asks may have been withdrawn or answered.
            if trio.current_time() >= self._find_idle_deadline():
                return

    def _find_idle_deadline(self) -> float:
        """Return when the coordinator counts as lost unless an answer arrives."""
        times = [math.inf]
        sent_at = self._unanswered.find_oldest()
        if sent_at is not None:
            times.append(max(sent_at, self._received_at) + IDLE_SECONDS)
        times += [
            max(ask.overdue_at, self._received_at + OVERDUE_SECONDS)
            for ask in self._asks.values()
            if ask.is_sent and ask.unanswered_since is None
        ]
        return min(times)

    async def _receive_answers(self, coordinator: str, connection: Connection) -> None:
        while True:
            message = await connection.receive()
            if not isinstance(message, PlacementAnswer):
                continue
            decisions, waits = decode_placement_answer(message)
            now = self._received_at = trio.current_time()
            if waits:
                self._waits = {wait.urgency: wait.seconds for wait in waits}
                self._waits_at = now
            for decision in decisions:
                self._apply(decision, coordinator, now)
            self._idle_scope.deadline = self._find_idle_deadline()

    def _apply(self, decision: PlacementDecision, coordinator: str, now: float) -> None:
        self._unanswered.note_answered(decision.number, now)
        ask = self._asks.get(decision.number)
        if ask is not None:
            if not ask.is_decided:
                ask.apply(decision, coordinator, now)
        elif (
            decision.state is DecisionState.GRANTED and decision.number not in self.held
        ):
            # This instance has decided by itself, or the caller has gone.
            self._queue_end(decision.number, PlacementEvent.UNUSED)
