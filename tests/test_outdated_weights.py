"""No request begins on weights that have been replaced for longer than the bound."""

from __future__ import annotations

import trio

from ashpond.controllers.directory import ServerTable
from ashpond.decisions.knowledge import Knowledge
from ashpond.decisions.loads import Load
from ashpond.decisions.servicetimes import RequestKind, ServiceTimes
from ashpond.decisions.weightsbound import choose_sending_seconds
from tests.gateway_builders import MODEL, make_prompt, make_server, make_table
from tests.scripted import STREAM, Answer, run_call

KIND = RequestKind("s1", 1, has_long_prompt=True)


async def test_weights_that_became_overdue_during_the_connect_get_no_request(
    autojump_clock: object,
) -> None:
    """The bound was checked only when the server was chosen."""
    table = make_table(make_server("a"), make_server("b", weights={MODEL: 2}))
    overdue_at = trio.current_time() + 0.3

    def prefer_old_weights(table: ServerTable, knowledge: Knowledge) -> None:
        table.by_id["b"].load = Load(60)

    def find_required_version(model: str, now: float) -> int:
        return 2 if now >= overdue_at else 1

    async with trio.open_nursery() as nursery:
        nursery.start_soon(_remove_load, table)
        result = await run_call(
            Answer(),
            route=STREAM,
            prompt=make_prompt(),
            table=table,
            prepare=prefer_old_weights,
            find_required_version=find_required_version,
            connect_seconds=0.5,
        )
    assert [server for server, _ in result.pool.requests] == ["b"]
    assert result.reply.status == 200


async def _remove_load(table: ServerTable) -> None:
    await trio.sleep(0.1)
    table.by_id["b"].load = Load()


def test_old_weights_get_no_requests_that_would_begin_after_the_bound() -> None:
    """A fixed share of the bound was left, however long requests waited at engines."""
    times = ServiceTimes()
    assert choose_sending_seconds(10.0, times.estimate_longest_start()) == 8.5
    for _ in range(100):
        times.note_first_event(KIND, 1.2)
    longest = times.estimate_longest_start()
    assert choose_sending_seconds(10.0, longest) + longest <= 10.0
    # A single slow answer changes nothing, and an outage not much.
    times.note_first_event(RequestKind("s2", 1, has_long_prompt=False), 60.0)
    assert times.estimate_longest_start() == longest
    assert choose_sending_seconds(10.0, 60.0) == 7.5
