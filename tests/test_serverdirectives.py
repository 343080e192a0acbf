"""How directives in answers affect the server and the following calls."""

from __future__ import annotations

import pytest
import trio

from ashpond.decisions.declared import Route
from tests.gateway_builders import make_server, make_table
from tests.scripted import BROKEN, NON_IDEMPOTENT, NOT_RUN, STREAM, Answer, run_call

LEAVING = ((b"server-leaving", b"1"),)


@pytest.mark.parametrize(
    ("answer", "route"),
    [
        (Answer(200, headers=LEAVING), None),
        (Answer(500, headers=LEAVING), NON_IDEMPOTENT),
        (Answer(421, headers=LEAVING), None),
        (Answer(503, headers=(*LEAVING, *NOT_RUN)), None),
        (Answer(200, headers=LEAVING), STREAM),
        (Answer(200, (b"half",), LEAVING, BROKEN), STREAM),
        (Answer(200, (b"half",), LEAVING, BROKEN), None),
    ],
)
async def test_server_leaves_whichever_answer_carries_the_header(
    answer: Answer, route: Route | None, autojump_clock: object
) -> None:
    bench = await run_call(answer, Answer(), route=route)
    first = bench.pool.requests[0][0]
    leaving = [state.info.id for state in bench.table.list_all() if state.is_leaving]
    assert leaving == [first]


async def test_headers_of_another_server_at_the_address_are_ignored(
    autojump_clock: object,
) -> None:
    other = (*LEAVING, (b"server-limit", b"1"), (b"x-instance-id", b"other"))
    bench = await run_call(Answer(421, headers=other), Answer())
    for state in bench.table.list_all():
        assert not state.is_leaving
        assert not state.is_limited


BACKOFF = ((b"retry-after", b"3"),)


async def test_only_server_is_not_tried_during_its_backoff(
    autojump_clock: object,
) -> None:
    """The request is refused at once; Retry-After covers the backoff."""
    table = make_table(make_server("a"))
    await run_call(Answer(503, headers=(*BACKOFF, *NOT_RUN)), table=table)
    bench = await run_call(table=table)
    assert not bench.pool.requests
    assert bench.reply.status == 503
    assert bench.reply.finished_at == trio.current_time()
    wait = float(bench.reply.get(b"retry-after") or 0)
    assert 2.9 <= wait <= 3.5


@pytest.mark.parametrize("status", [200, 404, 500])
async def test_retry_after_for_the_client_excludes_no_server(
    status: int, autojump_clock: object
) -> None:
    bench = await run_call(Answer(status, headers=BACKOFF), route=NON_IDEMPOTENT)
    assert not any(state.backoff_until for state in bench.table.list_all())
    assert bench.reply.get(b"retry-after") == b"3"


async def test_longest_of_several_backoffs_counts(autojump_clock: object) -> None:
    table = make_table(make_server("a"))
    state = table.by_id["a"]
    for seconds in (b"5", b"1"):
        await run_call(
            Answer(503, headers=((b"retry-after", seconds), *NOT_RUN)), table=table
        )
        state.excluded_until = 0.0
    assert 5.0 <= state.backoff_until - trio.current_time() <= 5.5
