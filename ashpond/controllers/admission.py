"""The queues of requests that wait to start, one per service."""

from __future__ import annotations

__all__ = ["AdmissionController", "AdmissionSlot"]

import itertools
from typing import TYPE_CHECKING, NamedTuple

import trio

from ashpond.decisions.admission import (
    AdmissionQueue,
    Admitted,
    PriorityClass,
    Ticket,
    compute_capacity,
)
from ashpond.outcomes import Refusal

if TYPE_CHECKING:
    from ashpond.call import Call
    from ashpond.controllers.configuration import ConfigurationController
    from ashpond.controllers.engines import EnginesController
    from ashpond.controllers.members import MembersController
    from ashpond.metrics import Metrics

REFRESH_SECONDS = 0.25
BUSY_REFRESH_SECONDS = 0.05
DEADLINE_STATUS = 503


class AdmissionSlot(NamedTuple):
    """The right of a request to run; release it with :meth:`leave`."""

    service: str
    started_at: float


class _Waiter:
    """A queued request: it may start once ``decided`` is set without a refusal."""

    def __init__(self) -> None:
        self.decided = trio.Event()
        self.refusal: Refusal | None = None

    def decide(self, refusal: Refusal | None) -> None:
        self.refusal = refusal
        self.decided.set()


class AdmissionController:
    """Starts queued requests in order while the engines have free capacity."""

    def __init__(
        self,
        configuration: ConfigurationController,
        members: MembersController,
        engines: EnginesController,
        metrics: Metrics,
        max_queue: int,
    ):
        self._configuration = configuration
        self._members = members
        self._engines = engines
        self._metrics = metrics
        self._max_queue = max_queue
        self._queues: dict[str, AdmissionQueue] = {}
        self._waiters: dict[int, _Waiter] = {}
        self._numbers = itertools.count(1)
        configuration.subscribe(self._reconcile)

    async def run(self) -> None:
        """Adapt the queues to the engines' capacity, forever."""
        while True:
            self._refresh()
            waiting = any(queue.waiting for queue in self._queues.values())
            await trio.sleep(BUSY_REFRESH_SECONDS if waiting else REFRESH_SECONDS)

    async def enter(self, call: Call, cost: float) -> AdmissionSlot | Refusal:
        """Wait until the call may start, at most until its deadline."""
        assert call.team is not None
        queue = self._queues[call.service_name]
        ticket = Ticket(
            number=next(self._numbers),
            team=call.team_name,
            priority=call.priority,
            weight=call.team.weight,
            cost=cost,
            deadline=call.deadline,
        )
        outcome = queue.offer(ticket, trio.current_time())
        if isinstance(outcome, Refusal):
            return outcome
        if isinstance(outcome, Admitted):
            return AdmissionSlot(call.service_name, trio.current_time())
        for shed in outcome.shed:
            refusal = queue.refuse(shed, trio.current_time())
            self._waiters[shed.number].decide(refusal)
        return await self._wait(queue, ticket, call.service_name)

    async def _wait(
        self, queue: AdmissionQueue, ticket: Ticket, service: str
    ) -> AdmissionSlot | Refusal:
        waiter = _Waiter()
        self._waiters[ticket.number] = waiter
        try:
            with trio.move_on_at(ticket.deadline):
                await waiter.decided.wait()
        except trio.Cancelled:
            self._withdraw(queue, ticket, waiter)
            raise
        finally:
            del self._waiters[ticket.number]
        if not waiter.decided.is_set():
            queue.abandon(ticket)
            refusal = queue.refuse(ticket, trio.current_time())
            text = "the request could not start before its deadline"
            return refusal._replace(status=DEADLINE_STATUS, kind="late", message=text)
        if waiter.refusal is not None:
            return waiter.refusal
        return AdmissionSlot(service, trio.current_time())

    def _withdraw(self, queue: AdmissionQueue, ticket: Ticket, waiter: _Waiter) -> None:
        if waiter.decided.is_set() and waiter.refusal is None:
            queue.release(queue.run_seconds, trio.current_time())
            self._start_ready(queue)
        else:
            queue.abandon(ticket)

    def leave(self, slot: AdmissionSlot) -> None:
        """Release a slot and start the next requests."""
        queue = self._queues.get(slot.service)
        if queue is not None:
            now = trio.current_time()
            queue.release(now - slot.started_at, now)
            queue.expected_wait = self._engines.estimate_wait(slot.service)
            self._start_ready(queue)

    def _start_ready(self, queue: AdmissionQueue) -> None:
        for ticket in queue.start_ready():
            self._waiters[ticket.number].decide(None)

    def _reconcile(self) -> None:
        declared = self._configuration.current
        priorities = {
            name: PriorityClass(entry.rank, entry.min_share)
            for name, entry in declared.priorities.items()
        }
        for service in declared.services:
            if service in self._queues:
                self._queues[service].set_priorities(priorities)
            else:
                self._queues[service] = AdmissionQueue(priorities, self._max_queue)
        self._refresh()

    def _refresh(self) -> None:
        instances = self._members.count_instances()
        for name, queue in self._queues.items():
            service = self._configuration.current.services.get(name)
            if service is None:
                continue
            slot_counts = self._engines.list_slot_counts(
                name, service.concurrency_per_server
            )
            queue.capacity = compute_capacity(slot_counts, instances)
            queue.servers_per_instance = max(1, len(slot_counts)) / instances
            queue.expected_wait = self._engines.estimate_wait(name)
            self._start_ready(queue)
            self._metrics.running.set({"service": name}, queue.running)
            self._metrics.waiting.set({"service": name}, queue.waiting)
