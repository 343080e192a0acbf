"""Attempts, retries and answers of a call, for any behaviour of the servers."""

from __future__ import annotations

from typing import Any

import pytest
import trio
import trio.testing
from hypothesis import given, settings, strategies as st

from ashpond.clients.channels import ChannelError
from ashpond.controllers.directory import ServerTable
from ashpond.controllers.memory import MemoryController
from ashpond.decisions.declared import Route, RouteKind, WeightTarget
from ashpond.decisions.knowledge import Knowledge
from ashpond.gateway.replies import send_refusal
from ashpond.gateway.tickets import MIN_SERVICE_SECONDS
from ashpond.outcomes import Refusal
from tests.gateway_builders import (
    MODEL,
    make_prompt,
    make_route,
    make_server,
    make_table,
)
from tests.scripted import (
    BROKEN,
    NON_IDEMPOTENT,
    NOT_RUN,
    RESUMABLE,
    STREAM,
    UNREACHABLE,
    Answer,
    CallResult,
    RecordedReply,
    ScriptedPool,
    run_call,
)


async def test_the_answer_is_forwarded_unchanged(autojump_clock: object) -> None:
    result = await run_call(Answer(201, (b"a", b"b"), ((b"x-own", b"1"),)))
    assert result.reply.status == 201
    assert result.reply.body.getvalue() == b"ab"
    assert result.reply.get(b"x-engine-seal") == b"seal"
    assert result.reply.get(b"x-own") == b"1"
    assert result.reply.is_complete


async def test_the_request_is_forwarded_unchanged(autojump_clock: object) -> None:
    result = await run_call(
        Answer(),
        path="/bids/%2e%2e/x",
        method="PUT",
        body=b"\x00bytes",
        headers=[(b"X-Own", b"1"), (b"Host", b"desk.example")],
    )
    server, request = result.pool.requests[0]
    headers = dict(request.headers)
    assert (request.method, request.target) == ("PUT", b"/bids/%2e%2e/x")
    assert request.body == b"\x00bytes"
    assert headers[b"X-Own"] == b"1"
    assert headers[b"x-tenant"] == b"desk"
    assert headers[b"x-expect-instance"] == server.encode()
    assert int(headers[b"x-deadline-ms"]) <= 3000


@pytest.mark.parametrize("failure", [BROKEN, Answer(200, (b"half",), error=BROKEN)])
async def test_a_non_idempotent_request_that_may_have_run_is_not_retried(
    failure: Answer | ChannelError, autojump_clock: object
) -> None:
    result = await run_call(failure, route=NON_IDEMPOTENT)
    assert len(result.pool.requests) == 1
    assert result.reply.status == 502
    assert result.reply.get(b"retry-after") is None


@pytest.mark.parametrize("kind", [RouteKind.NON_IDEMPOTENT, RouteKind.STREAM])
@pytest.mark.parametrize("failure", [BROKEN, Answer(500)])
async def test_max_attempts_allow_no_retry_that_the_route_kind_forbids(
    kind: RouteKind, failure: Answer | ChannelError, autojump_clock: object
) -> None:
    route = make_route(kind=kind, max_attempts=3)
    result = await run_call(failure, Answer(), route=route)
    assert len(result.pool.requests) == 1
    assert result.reply.status in (500, 502)


@pytest.mark.parametrize("failure", [UNREACHABLE, Answer(503, headers=NOT_RUN)])
async def test_a_request_that_has_not_run_is_retried_on_another_server(
    failure: Answer | ChannelError, autojump_clock: object
) -> None:
    result = await run_call(failure, Answer(), route=NON_IDEMPOTENT)
    assert result.reply.status == 200


@pytest.mark.parametrize(
    ("seconds", "text"),
    [(0.35, b"0.35"), (0.28, b"0.28"), (0.054, b"0.06"), (0.001, b"0.01"), (0, b"0.00")]
    + [(6.0 - 5.65, b"0.35"), (12.3401, b"12.35")],
)
async def test_retry_after_is_never_rounded_down(seconds: float, text: bytes) -> None:
    """A client that returned at the rounded time came up to 5 ms too early."""
    reply = RecordedReply()
    await send_refusal(reply, Refusal(503, "busy", "full", retry_after=seconds))
    assert reply.get(b"retry-after") == text


async def test_an_answer_that_broke_off_holds_no_memory(autojump_clock: object) -> None:
    """The next server's answer had no room beside it and was dropped."""
    controller = MemoryController(60.0)
    memory = await controller.open("id-1")
    assert memory is not None
    held = memory.holding.size
    length = ((b"content-length", b"6000000"),)
    broken, answer = Answer(200, (b"half",), length, BROKEN), Answer(200, (), length)
    result = await run_call(broken, answer, memory=memory)
    assert result.reply.status == 200
    assert memory.holding.size == held + 6_000_000
    memory.close()
    assert controller.budget.used == 0


async def test_a_request_that_ran_nowhere_is_refused_with_retry_after(
    autojump_clock: object,
) -> None:
    full = [Answer(503, headers=NOT_RUN)] * 4
    started = trio.current_time()
    result = await run_call(*full, route=NON_IDEMPOTENT, slack=3.0)
    assert result.reply.status == 503
    left = 3.0 - (result.reply.finished_at - started)
    assert 0 < float(result.reply.get(b"retry-after")) <= left / 3
    assert result.reply.get(b"x-engine-seal") is None


async def test_a_request_waits_for_servers_that_were_full(
    autojump_clock: object,
) -> None:
    """It was refused after three rejections, which took 2 ms of its 3 s."""
    full = [Answer(503, headers=NOT_RUN)] * 5
    result = await run_call(*full, Answer(), route=NON_IDEMPOTENT)
    assert result.reply.status == 200
    # It has been sent to no more servers than before, with growing pauses.
    assert len({server for server, _ in result.pool.requests}) == 3
    assert result.reply.finished_at == pytest.approx(0.15 + 0.3 + 0.6, abs=0.1)


async def test_a_request_that_no_server_takes_is_not_sent_on_and_on(
    autojump_clock: object,
) -> None:
    full = [Answer(503, headers=NOT_RUN)] * 20
    result = await run_call(*full, route=NON_IDEMPOTENT)
    assert result.reply.status == 503
    assert len(result.pool.requests) <= 8
    # It is refused when the next pause would outlast it.
    assert result.reply.finished_at < 2.9


async def test_an_idempotent_call_is_retried_on_another_server(
    autojump_clock: object,
) -> None:
    result = await run_call(BROKEN, Answer())
    assert result.reply.status == 200
    assert len({server for server, _ in result.pool.requests}) == 2


async def test_max_attempts_limits_the_runs(autojump_clock: object) -> None:
    result = await run_call(Answer(500), Answer(500), Answer())
    assert len(result.pool.requests) == 2
    assert result.reply.status == 500
    assert result.reply.get(b"x-engine-seal") == b"seal"


async def test_without_retry_budget_nothing_is_retried(autojump_clock: object) -> None:
    result = await run_call(Answer(500), Answer(), slack=0.0)
    assert len(result.pool.requests) == 1
    assert result.reply.status == 500


@pytest.mark.parametrize("route", [make_route(), NON_IDEMPOTENT])
@pytest.mark.parametrize("count", [1, 5])
async def test_a_connection_that_fails_uses_no_retry_budget(
    count: int, route: Route, autojump_clock: object
) -> None:
    """Requests were refused beside sound servers, as refused connections used it up."""
    table = make_table(*(make_server(f"s{number}") for number in range(9)))
    script = [*[UNREACHABLE] * count, Answer()]
    result = await run_call(*script, table=table, route=route, slack=0.0)
    assert result.reply.status == 200
    assert len(result.pool.requests) == 1
    assert result.reply.finished_at < 0.1


async def test_a_connection_that_fails_keeps_the_right_to_arrive(
    autojump_clock: object,
) -> None:
    """There is one right, which the rejected request takes; each next one needs its."""
    table = make_table(*(make_server(f"s{number}") for number in range(9)))
    full = Answer(503, headers=NOT_RUN)
    script = [UNREACHABLE, full, UNREACHABLE, UNREACHABLE]
    result = await run_call(*script, Answer(), table=table, slack=2.0)
    assert result.reply.status == 200
    result = await run_call(*script, full, Answer(), table=table, slack=2.0)
    assert result.reply.status == 503
    assert len(result.pool.requests) == 2


async def test_a_call_does_not_try_all_of_many_unreachable_servers(
    autojump_clock: object,
) -> None:
    table = make_table(*(make_server(f"s{number}") for number in range(100)))
    result = await run_call(*[UNREACHABLE] * 100, table=table, slack=0.0)
    assert result.reply.status == 503
    assert len(result.pool.script) >= 85
    assert float(result.reply.get(b"retry-after")) > 0


async def test_an_idempotent_call_is_retried_after_an_answer_timeout(
    autojump_clock: object,
) -> None:
    result = await run_call(Answer(delay=60.0), Answer())
    assert result.reply.status == 200
    assert result.pool.closed == 1


async def test_a_non_idempotent_call_waits_until_its_deadline(
    autojump_clock: object,
) -> None:
    started = trio.current_time()
    result = await run_call(Answer(delay=60.0), route=NON_IDEMPOTENT)
    assert result.reply.status == 504
    assert result.reply.finished_at - started == pytest.approx(3.0, abs=0.01)
    assert result.pool.closed == 1


@pytest.mark.parametrize("target", [0.125, 0.6, 5.0])
async def test_a_call_waits_for_a_server_while_it_can_be_served(
    target: float, autojump_clock: object
) -> None:
    """It was refused after a quarter of the latency target, though it had 3 s."""
    started = trio.current_time()
    for pause, status in ((2.0, 200), (60.0, 503)):
        table = make_table(make_server("a", slots=1))
        table.by_id["a"].excluded_until = trio.current_time() + pause
        route = make_route(objective=target)
        started = trio.current_time()
        result = await run_call(Answer(), table=table, route=route)
        assert result.reply.status == status
        waited = min(pause, 3.0 - MIN_SERVICE_SECONDS)
        assert result.reply.finished_at - started == pytest.approx(waited, abs=0.05)


async def test_a_call_without_any_server_left_is_refused_at_once(
    autojump_clock: object,
) -> None:
    """Its last server leaves while it waits; it was held until the end."""
    table = make_table(make_server("a", slots=1))
    table.by_id["a"].excluded_until = 60.0

    async def leave() -> None:
        await trio.sleep(0.5)
        table.by_id["a"].is_leaving = True

    async with trio.open_nursery() as nursery:
        nursery.start_soon(leave)
        result = await run_call(table=table)
    assert result.reply.status == 503
    assert result.reply.finished_at < 0.6


@pytest.mark.parametrize("target", [0.125, 5.0])
async def test_a_run_is_cut_only_if_another_one_can_finish(
    target: float, autojump_clock: object
) -> None:
    """A run of 0.4 s was cut at 1.2 times a latency target of 125 ms, and run again."""
    route = make_route(objective=target)
    result = await run_call(Answer(delay=0.4), route=route)
    assert result.reply.status == 200
    assert len(result.pool.requests) == 1
    started = trio.current_time()
    result = await run_call(Answer(delay=60.0), Answer(), route=route)
    assert result.reply.status == 200
    assert result.reply.finished_at - started == pytest.approx(1.5, abs=0.01)


async def test_a_broken_stream_is_aborted(
    autojump_clock: object,
) -> None:
    result = await run_call(Answer(200, (b"id: 1\n\n",), error=BROKEN), route=STREAM)
    assert result.reply.is_aborted
    assert not result.reply.is_complete
    assert len(result.pool.requests) == 1


async def test_a_stream_broken_before_its_first_event_gets_an_error_answer(
    autojump_clock: object,
) -> None:
    result = await run_call(Answer(200, (), error=BROKEN), route=STREAM)
    assert result.reply.status == 502


async def test_a_resumable_stream_resumes_on_another_server(
    autojump_clock: object,
) -> None:
    first = Answer(200, (b"id: 1\nda", b"ta: a\n\nid: 2\nda"), error=BROKEN)
    second = Answer(200, (b"id: 2\ndata: b\n\n",), ((b"x-second", b"1"),))
    result = await run_call(first, second, route=RESUMABLE)
    assert result.reply.body.getvalue() == b"id: 1\ndata: a\n\nid: 2\ndata: b\n\n"
    assert result.reply.is_complete
    assert result.reply.get(b"x-second") is None
    assert dict(result.pool.requests[1][1].headers)[b"last-event-id"] == b"1"


async def test_a_failed_resume_aborts_the_stream(
    autojump_clock: object,
) -> None:
    first = Answer(200, (b"id: 1\n\n",), error=BROKEN)
    result = await run_call(first, Answer(500), route=RESUMABLE)
    assert result.reply.is_aborted
    assert result.reply.body.getvalue() == b"id: 1\n\n"


async def test_a_stream_that_does_not_start_before_its_deadline_gets_504(
    autojump_clock: object,
) -> None:
    slow = make_route(kind=RouteKind.STREAM, timeout=1.0)
    result = await run_call(Answer(delay=0.5), Answer(), route=slow, timeout=0.4)
    assert result.reply.status == 504


async def test_a_misdirected_server_gets_no_more_requests(
    autojump_clock: object,
) -> None:
    other = Answer(421, headers=((b"x-instance-id", b"else"),))
    result = await run_call(other, Answer(), route=NON_IDEMPOTENT)
    server = result.pool.requests[0][0]
    assert result.table.by_id[server].is_misdirected
    assert result.reply.status == 200


UNPROVEN = [
    Answer(421),
    Answer(421, headers=((b"x-instance-id", b"a"),)),
    Answer(421, headers=((b"x-weight-versions", b"1"),)),
]


@pytest.mark.parametrize("answer", UNPROVEN)
async def test_misdirected_request_that_may_have_run_is_not_sent_again(
    answer: Answer, autojump_clock: object
) -> None:
    table = make_table(make_server("a"))
    result = await run_call(
        answer, Answer(), route=STREAM, prompt=make_prompt(), table=table
    )
    assert len(result.pool.requests) == 1


@pytest.mark.parametrize("status", [408, 421, 429, 503])
async def test_unproven_refusal_of_a_request_that_may_run_again_is_retried(
    status: int, autojump_clock: object
) -> None:
    result = await run_call(Answer(status), Answer())
    assert len(result.pool.requests) == 2
    assert result.reply.status == 200


@pytest.mark.parametrize("status", [408, 421, 429, 503])
@pytest.mark.parametrize("route", [NON_IDEMPOTENT, STREAM])
async def test_unproven_refusal_is_not_passed_on_as_a_promise(
    route: Route, status: int, autojump_clock: object
) -> None:
    result = await run_call(Answer(status), Answer(), route=route)
    assert len(result.pool.requests) == 1
    assert result.reply.status == 502
    assert result.reply.get(b"x-engine-seal") is None


async def test_success_that_claims_not_to_have_run_is_not_sent_again(
    autojump_clock: object,
) -> None:
    result = await run_call(Answer(headers=NOT_RUN), Answer(), route=NON_IDEMPOTENT)
    assert len(result.pool.requests) == 1
    assert result.reply.status == 200


async def test_a_request_with_a_prompt_sends_salt_and_weights_version(
    autojump_clock: object,
) -> None:
    result = await run_call(Answer(), route=STREAM, prompt=make_prompt())
    headers = dict(result.pool.requests[0][1].headers)
    assert headers[b"x-expect-version"] == b"1"
    assert headers[b"x-cache-salt"] == b"shared/m1/1"


async def test_the_weights_version_of_an_answer_is_adopted(
    autojump_clock: object,
) -> None:
    newer = Answer(421, headers=((b"x-weight-versions", b"4"),))
    result = await run_call(newer, Answer(), route=STREAM, prompt=make_prompt())
    server = result.pool.requests[0][0]
    assert result.table.by_id[server].weights[MODEL] == 4


async def test_a_refusal_while_weights_load_excludes_the_server_for_longer(
    autojump_clock: object,
) -> None:
    def adopt_target(table: ServerTable, knowledge: Knowledge) -> None:
        knowledge.adopt_target(WeightTarget(MODEL, 2), trio.current_time())

    loading = Answer(503, headers=NOT_RUN)
    result = await run_call(
        loading, Answer(), route=STREAM, prompt=make_prompt(), prepare=adopt_target
    )
    state = result.table.by_id[result.pool.requests[0][0]]
    assert state.loading_until - trio.current_time() > 0.3
    assert not state.is_usable(trio.current_time() + 0.3)


async def test_a_client_that_disconnects_closes_the_server_connection(
    autojump_clock: object,
) -> None:
    pools: list[ScriptedPool] = []
    with trio.move_on_after(0.1) as scope:
        await run_call(Answer(delay=60.0), route=STREAM, pools=pools)
    assert scope.cancelled_caught
    assert pools[0].closed == 1


SCRIPTS = st.lists(
    st.sampled_from(
        [
            Answer(),
            Answer(500),
            Answer(408),
            Answer(421),
            Answer(429),
            Answer(503),
            Answer(503, headers=NOT_RUN),
            BROKEN,
            UNREACHABLE,
            Answer(200, (b"id: 1\n\n", b"id:"), error=BROKEN),
            Answer(421, headers=((b"x-instance-id", b"else"),)),
            Answer(delay=60.0),
        ]
    ),
    min_size=12,
    max_size=12,
)


@given(SCRIPTS, st.sampled_from([make_route(), NON_IDEMPOTENT, STREAM, RESUMABLE]))
@settings(max_examples=150)
def test_any_server_behaviour_gives_exactly_one_correct_answer(
    script: list[Answer | ChannelError], route: Route
) -> None:
    result = trio.run(
        _run_with_prompt,
        script,
        route,
        clock=trio.testing.MockClock(autojump_threshold=0),
    )
    reply = result.reply
    assert reply.is_complete != reply.is_aborted
    left = len(result.pool.script)
    used = script[: len(script) - left]
    ran = [step for step in used if _may_have_run(step)]
    if not (route.is_idempotent or route.is_resumable):
        assert len(ran) <= 1
    assert len(ran) <= max(1, route.max_attempts)
    if reply.status in (408, 421, 429, 503):
        assert not ran, "a refusal that promises not to have run"
    if reply.status == 200 and reply.is_complete:
        assert ran[-1] == Answer()


async def _run_with_prompt(script: list[Any], route: Route) -> CallResult:
    return await run_call(*script, route=route)


def _may_have_run(step: Answer | ChannelError) -> bool:
    if isinstance(step, ChannelError):
        return step.is_sent
    return not step.headers


async def test_a_refusal_without_a_version_while_weights_change_implies_the_target(
    autojump_clock: object,
) -> None:
    """Else each attempt asks for the old weights until a delayed update arrives."""

    def adopt_target(table: ServerTable, knowledge: Knowledge) -> None:
        knowledge.adopt_target(WeightTarget(MODEL, 2), trio.current_time())

    result = await run_call(
        Answer(421), Answer(), route=STREAM, prompt=make_prompt(), prepare=adopt_target
    )
    state = result.table.by_id[result.pool.requests[0][0]]
    assert state.weights[MODEL] == 2
    assert state.is_usable(trio.current_time())


async def test_a_wrong_assumption_of_the_weights_is_reverted(
    autojump_clock: object,
) -> None:
    def assume_target(table: ServerTable, knowledge: Knowledge) -> None:
        knowledge.adopt_target(WeightTarget(MODEL, 2), trio.current_time())
        for state in table.by_id.values():
            state.weights[MODEL] = 2

    result = await run_call(
        Answer(421), Answer(), route=STREAM, prompt=make_prompt(), prepare=assume_target
    )
    state = result.table.by_id[result.pool.requests[0][0]]
    assert state.weights[MODEL] == 1
    assert not state.is_usable(trio.current_time())


class SlowReply(RecordedReply):
    """A client that reads the body after any deadline.

    :param is_shielded: whether sending ignores cancellation by the deadline.
    """

    def __init__(self, *, is_shielded: bool) -> None:
        super().__init__()
        self._is_shielded = is_shielded

    async def send(self, data: bytes) -> None:
        with trio.CancelScope(shield=self._is_shielded):
            await trio.sleep(60.0)
        await super().send(data)


@pytest.mark.parametrize("is_shielded", [True, False])
@pytest.mark.parametrize("route", [NON_IDEMPOTENT, STREAM])
async def test_an_answer_cut_by_the_deadline_is_finished_or_aborted_once(
    route: Route, is_shielded: bool, autojump_clock: object
) -> None:
    """The deadline passes while a client reads an answer that came in time.

    The reply that the deadline cut was neither complete nor aborted.
    """
    reply = SlowReply(is_shielded=is_shielded)
    result = await run_call(Answer(), route=route, reply=reply)
    assert reply.status == 200
    assert reply.is_complete != reply.is_aborted
    if is_shielded and route is NON_IDEMPOTENT:
        assert reply.is_complete
    assert len(result.pool.requests) == 1
