"""Thousands of calls that wait at one instance: what is sent, and what they hold."""

from __future__ import annotations

import gc
import tracemalloc

import trio
import trio.testing

from ashpond.controllers.memory import CallMemory, MemoryController
from ashpond.decisions.loads import Load
from ashpond.decisions.memorybudget import MEGABYTE, PROCESS_MB
from tests.gateway_builders import (
    make_demand,
    make_prompt,
    make_reservations,
    make_route,
    make_server,
    make_table,
)
from tests.scripted import Answer, RecordedReply, ScriptedInstance, make_instance

WAITING = 1_200
TIMEOUT_SECONDS = 60.0
WORK_SECONDS = 0.01
MEMORY_MB = 200
BODY_BYTES = 10_000


def make_busy_instance() -> ScriptedInstance:
    """Return an instance whose only server takes one request at a time."""
    length = ((b"content-length", b"2"),)
    answers = [Answer(headers=length, delay=WORK_SECONDS)] * (2 * WAITING)
    table = make_table(make_server("a", slots=1))
    table.by_id["a"].excluded_until = 5.0
    route = make_route(timeout=TIMEOUT_SECONDS, max_attempts=1)
    return make_instance(*answers, route=route, table=table)


async def test_nothing_is_sent_for_callers_that_have_left_a_long_queue(
    autojump_clock: object,
) -> None:
    """Nine in ten close their connections while all wait."""
    instance = make_busy_instance()
    replies: dict[int, RecordedReply] = {}
    scopes: dict[int, trio.CancelScope] = {}

    async def send(number: int) -> None:
        replies[number] = RecordedReply()
        with trio.CancelScope() as scopes[number]:
            await instance.answer(
                replies[number], body=b"%d" % number, timeout=TIMEOUT_SECONDS
            )

    async with trio.open_nursery() as nursery:
        for number in range(WAITING):
            nursery.start_soon(send, number)
        await trio.sleep(1.0)
        assert instance.context.reservations.waiting == WAITING
        assert not instance.pool.requests
        stayed = {number for number in replies if number % 10 == 0}
        for number in replies.keys() - stayed:
            scopes[number].cancel()
        await trio.testing.wait_all_tasks_blocked()
        assert instance.context.reservations.waiting == len(stayed)
    sent = [int(request.body) for _, request in instance.pool.requests]
    assert sorted(sent) == sorted(stayed)
    assert {replies[number].status for number in stayed} == {200}
    assert instance.table.by_id["a"].load == Load()


async def test_a_full_queue_stays_within_the_memory_of_the_instance(
    autojump_clock: object,
) -> None:
    """What calls take beside their bodies fits into the share that is not counted."""
    controller = MemoryController(MEMORY_MB)
    instance = make_busy_instance()
    statuses: list[int | None] = []
    memories: list[CallMemory] = []

    async def send(memory: CallMemory) -> None:
        reply = RecordedReply()
        body = bytes(BODY_BYTES)
        await instance.answer(reply, body=body, timeout=TIMEOUT_SECONDS, memory=memory)
        memory.close()
        statuses.append(reply.status)

    gc.collect()
    tracemalloc.start()
    try:
        async with trio.open_nursery() as nursery:
            while memory := await controller.open(f"id-{len(memories)}"):
                if not await memory.grow(BODY_BYTES, 0.1):
                    memory.close()
                    break
                memories.append(memory)
                nursery.start_soon(send, memory)
            await trio.sleep(0.1)
            assert instance.context.reservations.waiting == len(memories) >= 1_000
            taken, _ = tracemalloc.get_traced_memory()
            uncounted = taken - len(memories) * BODY_BYTES
            assert controller.budget.used <= controller.budget.limit
            limit = (MEMORY_MB - PROCESS_MB) * MEGABYTE
            assert uncounted <= limit - controller.budget.limit
            tracemalloc.stop()
    finally:
        tracemalloc.stop()
    assert statuses == [200] * len(memories)
    assert controller.budget.used == 0


async def test_callers_that_leave_together_leave_the_search_for_servers_to_others(
    autojump_clock: object,
) -> None:
    """One that stayed found the free server only when the next request came."""
    waits = []
    for _ in range(30):
        table = make_table(make_server("a", slots=1))
        began = trio.current_time()
        table.by_id["a"].excluded_until = began + 1.0
        reservations = make_reservations(table)
        demand = make_demand(make_prompt())
        async with trio.open_nursery() as nursery, trio.open_nursery() as leaving:
            for _ in range(2):
                leaving.start_soon(reservations.reserve, demand, 1, began + 9.0)
                await trio.sleep(0.01)
            nursery.start_soon(reservations.reserve, demand, 1, began + 9.0)
            await trio.sleep(0.1)
            assert reservations.waiting == 3
            leaving.cancel_scope.cancel()
        waits.append(trio.current_time() - began)
    assert max(waits) < 1.1
