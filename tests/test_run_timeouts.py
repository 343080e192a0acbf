"""When the run of a call at a server is ended, so that another one may answer it."""

from __future__ import annotations

import pytest
import trio
import trio.testing

from ashpond.controllers.budgets import make_lone_budget
from ashpond.decisions.servicetimes import ServiceTimes
from ashpond.loopdelay import LoopWatch
from tests.gateway_builders import make_route
from tests.scripted import Answer, ScriptedPool, run_call

WORK_SECONDS = 0.03
LEARNED_RUNS = 30


async def learn_times() -> ServiceTimes:
    """Return what an instance has learned of equal runs of 30 ms."""
    times = ServiceTimes()
    for _ in range(LEARNED_RUNS):
        await run_call(Answer(delay=WORK_SECONDS), times=times)
    return times


async def test_a_run_of_30_ms_is_not_cut_for_a_pause_of_300_ms(
    autojump_clock: object,
) -> None:
    """Four learned deviations ended it after 60 ms, and it was run once more."""
    times = await learn_times()
    result = await run_call(Answer(delay=WORK_SECONDS + 0.3), Answer(), times=times)
    assert result.reply.status == 200
    assert len(result.pool.requests) == 1


async def test_a_pause_of_all_servers_uses_up_no_retry_budget(
    autojump_clock: object,
) -> None:
    """Ten runs were cut, two had a right to retry, and eight calls got 502."""
    times = await learn_times()
    budget = make_lone_budget(0.0, 2.0, 10.0)
    statuses: list[int | None] = []

    async def send() -> None:
        answers = Answer(delay=WORK_SECONDS + 0.3), Answer()
        result = await run_call(*answers, times=times, budget=budget)
        statuses.append(result.reply.status)

    async with trio.open_nursery() as nursery:
        for _ in range(10):
            nursery.start_soon(send)
    assert statuses == [200] * 10


async def test_the_run_at_a_server_that_stopped_is_still_ended(
    autojump_clock: object,
) -> None:
    times = await learn_times()
    started = trio.current_time()
    result = await run_call(Answer(delay=60.0), Answer(), times=times)
    assert result.reply.status == 200
    assert result.reply.finished_at - started == pytest.approx(1.0, abs=0.01)


@pytest.mark.parametrize(("timeout", "stall"), [(0.4, 0.3), (1.0, 0.9)])
async def test_a_stall_of_the_own_event_loop_cuts_no_run(
    timeout: float, stall: float, mock_clock: trio.testing.MockClock
) -> None:
    """The answer has come meanwhile; it was unread when the run was ended."""
    watch = LoopWatch()
    watch.start()
    pools: list[ScriptedPool] = []
    statuses: list[int | None] = []

    async def send() -> None:
        answers = Answer(delay=WORK_SECONDS), Answer()
        route = make_route(timeout=timeout)
        result = await run_call(*answers, route=route, pools=pools, watch=watch)
        statuses.append(result.reply.status)

    async with trio.open_nursery() as nursery:
        nursery.start_soon(send)
        await trio.testing.wait_all_tasks_blocked()
        assert len(pools[0].requests) == 1
        mock_clock.jump(stall)
    trio.lowlevel.remove_instrument(watch)
    assert statuses == [200]
    assert len(pools[0].requests) == 1
