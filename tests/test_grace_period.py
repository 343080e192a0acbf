"""Requests that reach an instance late in its grace period."""

from __future__ import annotations

from pathlib import Path

import pytest
import trio

from ashpond.decisions.declared import Route
from ashpond.decisions.servicetimes import ServiceTimes, make_kind
from tests.gateway_builders import make_server, make_table
from tests.latebodies import LateBodyWorld
from tests.scripted import (
    NON_IDEMPOTENT,
    RESUMABLE,
    STREAM,
    Answer,
    RecordedReply,
    make_instance,
)

GRACE_SECONDS = 5.0
# Connections are cut this long before the end of the grace period.
MARGIN_SECONDS = 0.4
REQUESTS = 40


@pytest.mark.parametrize("work", [0.3, 1.2])
async def test_request_late_in_the_grace_period_is_not_cut_without_an_answer(
    work: float, tmp_path: Path
) -> None:
    world = LateBodyWorld(tmp_path, work, GRACE_SECONDS)
    await world.run(lambda: world.play(REQUESTS))
    assert not world.list_lost()
    for late in world.late:
        if late.status == 0:
            assert late.at > GRACE_SECONDS - MARGIN_SECONDS - 0.1
        if late.status != 200:
            assert late.request_id not in world.runs
            assert late.ended_at - late.at < 0.5


@pytest.mark.parametrize("route", [NON_IDEMPOTENT, STREAM, RESUMABLE])
async def test_request_at_work_at_the_end_of_the_grace_period_gets_an_answer(
    route: Route, autojump_clock: object
) -> None:
    instance = make_instance(Answer(delay=60.0), route=route)
    reply = RecordedReply()
    async with trio.open_nursery() as nursery:
        nursery.start_soon(instance.answer, reply)
        await trio.sleep(0.1)
        instance.context.grace.begin(trio.current_time() + 0.2)
    assert reply.status == 502
    assert trio.current_time() - reply.finished_at < 0.01


async def test_request_that_waits_is_refused_once_it_cannot_end_in_the_grace_period(
    autojump_clock: object,
) -> None:
    times = ServiceTimes()
    for _ in range(20):
        times.note_answered(make_kind("reader", NON_IDEMPOTENT.priority, None), 0.2)
    table = make_table(make_server("a"))
    table.by_id["a"].exclude_for(1.0, trio.current_time())
    instance = make_instance(Answer(), route=NON_IDEMPOTENT, table=table, times=times)
    reply = RecordedReply()
    async with trio.open_nursery() as nursery:
        nursery.start_soon(instance.answer, reply)
        await trio.sleep(0.1)
        begun = trio.current_time()
        instance.context.grace.begin(begun + 0.5)
    assert (reply.status, instance.pool.requests) == (503, [])
    assert reply.finished_at <= begun + 0.5 - 0.2
    assert float(reply.get(b"retry-after") or 0) > 0
