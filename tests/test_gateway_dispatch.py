"""What becomes of a call, whatever its sends bring."""

from __future__ import annotations

import io
import random
from collections.abc import Callable
from typing import Any, NamedTuple

import pytest
import trio
import trio.testing
from hypothesis import given, settings, strategies as st

from ashpond.clients.channels import ChannelError, Outgoing
from ashpond.gateway.admission import admit_call
from ashpond.gateway.budget import SendBudget
from ashpond.gateway.calls import Headers
from ashpond.gateway.decisionlog import DecisionLog
from ashpond.gateway.declared import Declaration, Route, RouteKind, WeightTarget
from ashpond.gateway.directory import Load, ServerTable
from ashpond.gateway.dispatch import Dispatcher
from ashpond.gateway.knowledge import Knowledge
from ashpond.gateway.sends import Tools
from ashpond_platform.headers import CODEC, REQUEST_ID
from tests.gateway_builders import (
    MODEL,
    make_call,
    make_declaration,
    make_places,
    make_prompt,
    make_route,
    make_server,
    make_table,
)

BROKEN = ChannelError("reset", is_sent=True)
UNREACHED = ChannelError("refused", is_sent=False)


class Answer(NamedTuple):
    """What a server does with one request: pieces, then perhaps an error."""

    status: int = 200
    pieces: tuple[bytes, ...] = (b"ok",)
    headers: tuple[tuple[bytes, bytes], ...] = ()
    error: ChannelError | None = None
    delay: float = 0.0


class ScriptedResponse:
    def __init__(self, answer: Answer):
        self.status = answer.status
        self.headers = [(b"x-engine-seal", b"seal"), *answer.headers]
        self._pieces = list(answer.pieces)
        self._error = answer.error

    async def read(self) -> bytes:
        await trio.lowlevel.checkpoint()
        if self._pieces:
            return self._pieces.pop(0)
        if self._error is not None:
            raise self._error
        return b""

    async def read_all(self, limit: int) -> bytes:
        pieces = []
        while piece := await self.read():
            pieces.append(piece)
        return b"".join(pieces)


class ScriptedPool:
    """Gives out channels that follow a script, whichever server is asked."""

    def __init__(self, script: list[Answer | ChannelError]):
        self.script = list(script)
        self.requests: list[tuple[str, Outgoing]] = []
        self.closed = 0

    async def acquire(self, owner: str, address: str) -> ScriptedChannel:
        if self.script and self.script[0] is UNREACHED:
            self.script.pop(0)
            raise UNREACHED
        return ScriptedChannel(self, owner)

    def release(self, owner: str, channel: ScriptedChannel) -> None:
        pass

    def forget(self, owner: str) -> None:
        pass


class ScriptedChannel:
    def __init__(self, pool: ScriptedPool, owner: str):
        self._pool = pool
        self._owner = owner

    async def exchange(self, request: Outgoing) -> ScriptedResponse:
        self._pool.requests.append((self._owner, request))
        answer = self._pool.script.pop(0)
        if isinstance(answer, ChannelError):
            raise answer
        await trio.sleep(answer.delay)
        return ScriptedResponse(answer)

    def close(self) -> None:
        self._pool.closed += 1


class RecordedReply:
    """Keeps what a client would see."""

    def __init__(self) -> None:
        self.status: int | None = None
        self.headers: Headers = []
        self.body = io.BytesIO()
        self.is_whole = False
        self.is_aborted = False
        self.ended_at = 0.0

    async def start(self, status: int, headers: Headers) -> None:
        assert self.status is None, "a second head"
        self.status = status
        self.headers = headers

    async def send(self, data: bytes) -> None:
        assert self.status is not None and not self.is_whole
        self.body.write(data)

    async def finish(self) -> None:
        self.is_whole = True
        self.ended_at = trio.current_time()

    async def abort(self) -> None:
        self.is_aborted = True
        self.ended_at = trio.current_time()

    def get(self, name: bytes) -> bytes | None:
        return dict(self.headers).get(name)


class Bench(NamedTuple):
    pool: ScriptedPool
    reply: RecordedReply
    table: ServerTable
    log: DecisionLog


async def run_call(
    *script: Answer | ChannelError,
    route: Route | None = None,
    table: ServerTable | None = None,
    prepare: Callable[[ServerTable, Knowledge], None] | None = None,
    slack: float = 100.0,
    pools: list[ScriptedPool] | None = None,
    **call_changes: Any,
) -> Bench:
    declaration: Declaration = make_declaration(route or make_route())
    if table is None:
        table = make_table(make_server("a"), make_server("b"), make_server("c"))
    knowledge = Knowledge()
    knowledge.adopt(declaration)
    now = trio.current_time()
    knowledge.confirm(now)
    if prepare:
        prepare(table, knowledge)
    pool = ScriptedPool(list(script))
    if pools is not None:
        pools.append(pool)
    log = DecisionLog("test")
    budget = SendBudget(0.0, slack, 10.0, started_at=now - 60)
    tools = Tools(
        make_places(table),
        pool,  # type: ignore[arg-type]
        CODEC,
        REQUEST_ID,
        knowledge,
        log,
        lambda service: budget,
        lambda: 1,
        lambda server, salt, prompt: None,
        lambda server, seconds: None,
        random.Random(1),
    )
    call = make_call(received_at=now, **call_changes)
    accepted = admit_call(call, knowledge, 5.0, now)
    reply = RecordedReply()
    await Dispatcher(tools).dispatch(call, accepted, reply)
    assert all(state.load == Load() for state in table.by_id.values())
    return Bench(pool, reply, table, log)


NON_IDEMPOTENT = make_route(kind=RouteKind.NON_IDEMPOTENT, max_attempts=1)
STREAM = make_route(kind=RouteKind.STREAM, max_attempts=1)
RESUMABLE = make_route(kind=RouteKind.STREAM, is_resumable=True, max_attempts=2)
NOT_RUN = ((b"x-not-executed", b"1"),)


async def test_the_answer_is_passed_on_unchanged(autojump_clock: object) -> None:
    bench = await run_call(Answer(201, (b"a", b"b"), ((b"x-own", b"1"),)))
    assert bench.reply.status == 201
    assert bench.reply.body.getvalue() == b"ab"
    assert bench.reply.get(b"x-engine-seal") == b"seal"
    assert bench.reply.get(b"x-own") == b"1"
    assert bench.reply.is_whole


async def test_the_request_goes_on_as_it_came(autojump_clock: object) -> None:
    bench = await run_call(
        Answer(),
        path="/bids/%2e%2e/x",
        method="PUT",
        body=b"\x00bytes",
        headers=[(b"X-Own", b"1"), (b"Host", b"desk.example")],
    )
    server, request = bench.pool.requests[0]
    headers = dict(request.headers)
    assert (request.method, request.target) == ("PUT", b"/bids/%2e%2e/x")
    assert request.body == b"\x00bytes"
    assert headers[b"X-Own"] == b"1"
    assert headers[b"x-tenant"] == b"desk"
    assert headers[b"x-expect-instance"] == server.encode()
    assert int(headers[b"x-deadline-ms"]) <= 3000


@pytest.mark.parametrize("failure", [BROKEN, Answer(200, (b"half",), error=BROKEN)])
async def test_what_may_have_run_is_not_sent_again(
    failure: Answer | ChannelError, autojump_clock: object
) -> None:
    bench = await run_call(failure, route=NON_IDEMPOTENT)
    assert len(bench.pool.requests) == 1
    assert bench.reply.status == 502
    assert bench.reply.get(b"retry-after") is None


@pytest.mark.parametrize("failure", [UNREACHED, Answer(503, headers=NOT_RUN)])
async def test_what_has_not_run_is_sent_elsewhere(
    failure: Answer | ChannelError, autojump_clock: object
) -> None:
    bench = await run_call(failure, Answer(), route=NON_IDEMPOTENT)
    assert bench.reply.status == 200


async def test_what_ran_nowhere_is_refused_with_a_time(autojump_clock: object) -> None:
    full = Answer(503, headers=NOT_RUN)
    bench = await run_call(full, full, full, full, route=NON_IDEMPOTENT)
    assert bench.reply.status == 503
    assert float(bench.reply.get(b"retry-after")) > 0
    assert bench.reply.get(b"x-engine-seal") is None


async def test_an_idempotent_call_goes_elsewhere_after_a_failure(
    autojump_clock: object,
) -> None:
    bench = await run_call(BROKEN, Answer())
    assert bench.reply.status == 200
    assert len({server for server, _ in bench.pool.requests}) == 2


async def test_attempts_bound_the_runs(autojump_clock: object) -> None:
    bench = await run_call(Answer(500), Answer(500), Answer())
    assert len(bench.pool.requests) == 2
    assert bench.reply.status == 500
    assert bench.reply.get(b"x-engine-seal") == b"seal"


async def test_without_budget_nothing_is_sent_again(autojump_clock: object) -> None:
    bench = await run_call(Answer(500), Answer(), slack=0.0)
    assert len(bench.pool.requests) == 1
    assert bench.reply.status == 500


async def test_a_silent_server_is_left_if_the_call_is_idempotent(
    autojump_clock: object,
) -> None:
    bench = await run_call(Answer(delay=60.0), Answer())
    assert bench.reply.status == 200
    assert bench.pool.closed == 1


async def test_a_silent_server_is_waited_for_otherwise(autojump_clock: object) -> None:
    started = trio.current_time()
    bench = await run_call(Answer(delay=60.0), route=NON_IDEMPOTENT)
    assert bench.reply.status == 504
    assert bench.reply.ended_at - started == pytest.approx(3.0, abs=0.01)
    assert bench.pool.closed == 1


async def test_with_no_place_a_call_is_refused_early(autojump_clock: object) -> None:
    started = trio.current_time()
    table = make_table(make_server("a", slots=1))
    table.by_id["a"].closed_until = started + 60
    bench = await run_call(table=table)
    assert bench.reply.status == 503
    assert bench.reply.ended_at - started < 0.25 * 0.6
    assert bench.pool.requests == []


async def test_a_stream_that_breaks_is_seen_to_be_broken(
    autojump_clock: object,
) -> None:
    bench = await run_call(Answer(200, (b"id: 1\n\n",), error=BROKEN), route=STREAM)
    assert bench.reply.is_aborted
    assert not bench.reply.is_whole
    assert len(bench.pool.requests) == 1


async def test_a_stream_that_breaks_before_its_first_event_gets_an_answer(
    autojump_clock: object,
) -> None:
    bench = await run_call(Answer(200, (), error=BROKEN), route=STREAM)
    assert bench.reply.status == 502


async def test_a_resumable_stream_goes_on_elsewhere(autojump_clock: object) -> None:
    first = Answer(200, (b"id: 1\nda", b"ta: a\n\nid: 2\nda"), error=BROKEN)
    second = Answer(200, (b"id: 2\ndata: b\n\n",), ((b"x-second", b"1"),))
    bench = await run_call(first, second, route=RESUMABLE)
    assert bench.reply.body.getvalue() == b"id: 1\ndata: a\n\nid: 2\ndata: b\n\n"
    assert bench.reply.is_whole
    assert bench.reply.get(b"x-second") is None
    assert dict(bench.pool.requests[1][1].headers)[b"last-event-id"] == b"1"


async def test_a_failure_in_place_of_going_on_breaks_the_stream_off(
    autojump_clock: object,
) -> None:
    first = Answer(200, (b"id: 1\n\n",), error=BROKEN)
    bench = await run_call(first, Answer(500), route=RESUMABLE)
    assert bench.reply.is_aborted
    assert bench.reply.body.getvalue() == b"id: 1\n\n"


async def test_a_stream_past_its_deadline_is_broken_off(
    autojump_clock: object,
) -> None:
    slow = make_route(kind=RouteKind.STREAM, timeout=1.0)
    bench = await run_call(Answer(delay=0.5), Answer(), route=slow, patience=0.4)
    assert bench.reply.status == 504


async def test_a_server_of_another_life_gets_nothing_more(
    autojump_clock: object,
) -> None:
    other = Answer(421, headers=((b"x-instance-id", b"else"),))
    bench = await run_call(other, Answer(), route=NON_IDEMPOTENT)
    server = bench.pool.requests[0][0]
    assert bench.table.by_id[server].misdirected
    assert bench.reply.status == 200


async def test_a_prompt_names_salt_and_weights(autojump_clock: object) -> None:
    bench = await run_call(Answer(), route=STREAM, prompt=make_prompt())
    headers = dict(bench.pool.requests[0][1].headers)
    assert headers[b"x-expect-version"] == b"1"
    assert headers[b"x-cache-salt"] == b"shared/m1/1"


async def test_weights_seen_in_an_answer_are_believed(autojump_clock: object) -> None:
    newer = Answer(421, headers=((b"x-weight-versions", b"4"),))
    bench = await run_call(newer, Answer(), route=STREAM, prompt=make_prompt())
    server = bench.pool.requests[0][0]
    assert bench.table.by_id[server].weights[MODEL] == 4


async def test_a_refusal_while_weights_load_closes_the_server_for_longer(
    autojump_clock: object,
) -> None:
    def name_target(table: ServerTable, knowledge: Knowledge) -> None:
        knowledge.adopt_target(WeightTarget(MODEL, 2), trio.current_time())

    loading = Answer(503, headers=NOT_RUN)
    bench = await run_call(
        loading, Answer(), route=STREAM, prompt=make_prompt(), prepare=name_target
    )
    state = bench.table.by_id[bench.pool.requests[0][0]]
    assert state.closed_until - trio.current_time() > 0.3


async def test_a_caller_that_leaves_closes_the_connection(
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
            Answer(503, headers=NOT_RUN),
            BROKEN,
            UNREACHED,
            Answer(200, (b"id: 1\n\n", b"id:"), error=BROKEN),
            Answer(421, headers=((b"x-instance-id", b"else"),)),
            Answer(delay=60.0),
        ]
    ),
    min_size=4,
    max_size=4,
)


@given(SCRIPTS, st.sampled_from([make_route(), NON_IDEMPOTENT, STREAM, RESUMABLE]))
@settings(max_examples=150)
def test_whatever_servers_do_one_true_answer_comes(
    script: list[Answer | ChannelError], route: Route
) -> None:
    bench = trio.run(
        _run_with_prompt,
        script,
        route,
        clock=trio.testing.MockClock(autojump_threshold=0),
    )
    reply = bench.reply
    assert reply.is_whole != reply.is_aborted
    left = len(bench.pool.script)
    used = script[: len(script) - left]
    ran = [step for step in used if _may_have_run(step)]
    if not (route.is_repeatable or route.is_resumable):
        assert len(ran) <= 1
    assert len(ran) <= max(1, route.max_attempts)
    if reply.status == 503:
        assert not ran, "a refusal that promises not to have run"
    if reply.status == 200 and reply.is_whole:
        assert ran[-1] == Answer()


async def _run_with_prompt(script: list[Any], route: Route) -> Bench:
    return await run_call(*script, route=route)


def _may_have_run(step: Answer | ChannelError) -> bool:
    if isinstance(step, ChannelError):
        return step.is_sent
    return step.status != 421 and not step.headers
