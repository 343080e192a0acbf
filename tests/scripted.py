"""Run one call against servers that follow a script."""

from __future__ import annotations

import io
import random
from collections.abc import Callable
from typing import Any, NamedTuple

import trio
import trio.testing

from ashpond.clients.channelpools import ConnectResult
from ashpond.clients.channels import ChannelError, Correlation, OutgoingRequest
from ashpond.clients.responseheads import Framing
from ashpond.controllers.allowancegrants import grant_unlimited
from ashpond.controllers.budgets import ServiceBudget, make_lone_budget
from ashpond.controllers.crashdetection import CrashDetector, WatchedServer
from ashpond.controllers.directory import ServerState, ServerTable
from ashpond.controllers.permits import grant_without_limit
from ashpond.controllers.quarantine import Quarantine
from ashpond.controllers.serverdirectives import ServerDirectives
from ashpond.controllers.streamorigins import make_lone_origins
from ashpond.decisions.declared import Declaration, Route, RouteKind
from ashpond.decisions.fingerprints import Fingerprints
from ashpond.decisions.knowledge import FindVersion, Knowledge
from ashpond.decisions.loads import Load
from ashpond.decisions.servicetimes import ServiceTimes
from ashpond.gateway.admission import admit_call
from ashpond.gateway.callprogress import (
    CallConnections,
    DispatchContext,
    Reservations,
)
from ashpond.gateway.calls import Headers
from ashpond.gateway.decisionlog import DecisionLog
from ashpond.gateway.dispatch import Dispatcher
from ashpond.gateway.graceperiod import GracePeriod
from ashpond.loopdelay import LoopWatch
from ashpond_platform.headers import CODEC, REQUEST_ID
from tests.gateway_builders import (
    FINGERPRINT,
    make_call,
    make_declaration,
    make_quarantine,
    make_reservations,
    make_route,
    make_server,
    make_table,
)

BROKEN = ChannelError("reset", is_sent=True)
UNREACHABLE = ChannelError("refused", is_sent=False)


class Answer(NamedTuple):
    """A server's answer to one request: pieces of the body, then perhaps an error."""

    status: int = 200
    pieces: tuple[bytes, ...] = (b"ok",)
    headers: tuple[tuple[bytes, bytes], ...] = ()
    error: ChannelError | None = None
    delay: float = 0.0
    framing: Framing = Framing.LENGTH
    body_seconds: float = 0.0


class ScriptedResponse:
    def __init__(self, answer: Answer):
        self.status = answer.status
        self.headers = [(b"x-engine-seal", b"seal"), *answer.headers]
        self.framing = answer.framing
        self.correlation = Correlation()
        self._pieces = list(answer.pieces)
        self._error = answer.error
        self._body_seconds = answer.body_seconds

    async def read(self) -> bytes:
        await trio.sleep(self._body_seconds)
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


class ScriptedPool(CallConnections):
    """Channels that answer by a script, whichever server is called."""

    def __init__(
        self, script: list[Answer | ChannelError], connect_seconds: float = 0.0
    ):
        self.script = list(script)
        self._connect_seconds = connect_seconds
        self.requests: list[tuple[str, OutgoingRequest]] = []
        self.closed = 0

    async def acquire(  # type: ignore[override]
        self,
        owner: str,
        address: str,
        *,
        is_repeatable: bool = False,
        request_id: str | None = None,
    ) -> ScriptedChannel:
        if self.script and self.script[0] is UNREACHABLE:
            self.script.pop(0)
            raise UNREACHABLE
        await trio.sleep(self._connect_seconds)
        # The owner is the id of a server and its start.
        return ScriptedChannel(self, owner.partition(" ")[0])

    def release(self, owner: str, channel: ScriptedChannel) -> None:
        pass

    def close_idle(self, owner: str) -> None:
        pass


def is_row_certain(state: ServerState) -> bool:
    return state.is_version_certain


class ScriptedChannel:
    relay = ""
    opened_at = 0.0

    def __init__(self, pool: ScriptedPool, owner: str):
        self._pool = pool
        self._owner = owner

    async def exchange(self, request: OutgoingRequest) -> ScriptedResponse:
        self._pool.requests.append((self._owner, request))
        answer = self._pool.script.pop(0)
        if isinstance(answer, ChannelError):
            raise answer
        await trio.sleep(answer.delay)
        return ScriptedResponse(answer)

    def close(self) -> None:
        self._pool.closed += 1


async def check_nothing(server: WatchedServer) -> ConnectResult:
    return ConnectResult.UNKNOWN


class RecordedReply:
    """Records the answer that a client would receive."""

    def __init__(self) -> None:
        self.status: int | None = None
        self.headers: Headers = []
        self.body = io.BytesIO()
        self.is_close_delimited = False
        self.is_complete = False
        self.is_aborted = False
        self.finished_at = 0.0

    async def start(
        self, status: int, headers: Headers, *, is_close_delimited: bool = False
    ) -> None:
        assert self.status is None, "a second head"
        self.is_close_delimited = is_close_delimited
        self.status = status
        self.headers = headers

    async def send(self, data: bytes) -> None:
        assert self.status is not None and not self.is_complete
        self.body.write(data)

    async def finish(self) -> None:
        self.is_complete = True
        self.finished_at = trio.current_time()

    async def abort(self) -> None:
        self.is_aborted = True
        self.finished_at = trio.current_time()

    def get(self, name: bytes) -> bytes | None:
        return dict(self.headers).get(name)


class CallResult(NamedTuple):
    pool: ScriptedPool
    reply: RecordedReply
    table: ServerTable
    log: DecisionLog


class ScriptedInstance(NamedTuple):
    """An instance whose servers follow a script."""

    context: DispatchContext
    pool: ScriptedPool
    table: ServerTable
    log: DecisionLog

    async def answer(self, reply: RecordedReply, **call_changes: Any) -> None:
        """Answer one call."""
        now, knowledge = trio.current_time(), self.context.knowledge
        call = make_call(received_at=now, **call_changes)
        accepted = admit_call(call, knowledge, 5.0, now)
        await Dispatcher(self.context).dispatch(call, accepted, reply)


def make_instance(
    *script: Answer | ChannelError,
    route: Route | None = None,
    table: ServerTable | None = None,
    prepare: Callable[[ServerTable, Knowledge], None] | None = None,
    slack: float = 100.0,
    quarantine: Quarantine | None = None,
    reservations: Reservations | None = None,
    is_version_certain: Callable[[ServerState], bool] = is_row_certain,
    find_required_version: FindVersion = lambda model, now: 0,
    connect_seconds: float = 0.0,
    times: ServiceTimes | None = None,
    watch: LoopWatch | None = None,
    budget: ServiceBudget | None = None,
) -> ScriptedInstance:
    """Return an instance with one route and three servers, or those of ``table``."""
    declaration: Declaration = make_declaration(route or make_route())
    if table is None:
        table = make_table(make_server("a"), make_server("b"), make_server("c"))
    knowledge = Knowledge()
    knowledge.adopt(declaration)
    now = trio.current_time()
    knowledge.confirm(now)
    if prepare:
        prepare(table, knowledge)
    pool = ScriptedPool(list(script), connect_seconds)
    log = DecisionLog("test")
    own_budget = budget or make_lone_budget(0.0, slack, 10.0)
    context = DispatchContext(
        reservations or make_reservations(table),
        pool,  # type: ignore[arg-type]
        CODEC,
        REQUEST_ID,
        knowledge,
        log,
        lambda service: own_budget,
        lambda server, salt, prompt: None,
        lambda call, accepted: Fingerprints(FINGERPRINT) if quarantine else None,
        CrashDetector(check_nothing, log.note, lambda lost: None),
        ServerDirectives(
            table, log, lambda kind: None, lambda notice: None, random.Random(1)
        ),
        quarantine or make_quarantine(log),
        lambda server, seconds: None,
        grant_unlimited,
        lambda taken: None,
        grant_without_limit,
        lambda kind: None,
        random.Random(1),
        make_lone_origins(table.versions, log),
        times or ServiceTimes(),
        is_version_certain=is_version_certain,
        find_required_version=find_required_version,
        grace=GracePeriod(),
        move_on_after=watch.move_on_after if watch else trio.move_on_after,
    )
    return ScriptedInstance(context, pool, table, log)


async def run_call(
    *script: Answer | ChannelError,
    route: Route | None = None,
    table: ServerTable | None = None,
    prepare: Callable[[ServerTable, Knowledge], None] | None = None,
    slack: float = 100.0,
    pools: list[ScriptedPool] | None = None,
    reply: RecordedReply | None = None,
    quarantine: Quarantine | None = None,
    reservations: Reservations | None = None,
    is_version_certain: Callable[[ServerState], bool] = is_row_certain,
    find_required_version: FindVersion = lambda model, now: 0,
    connect_seconds: float = 0.0,
    times: ServiceTimes | None = None,
    watch: LoopWatch | None = None,
    budget: ServiceBudget | None = None,
    **call_changes: Any,
) -> CallResult:
    """Run one call at an instance of its own."""
    instance = make_instance(
        *script,
        route=route,
        table=table,
        prepare=prepare,
        slack=slack,
        quarantine=quarantine,
        reservations=reservations,
        is_version_certain=is_version_certain,
        find_required_version=find_required_version,
        connect_seconds=connect_seconds,
        times=times,
        watch=watch,
        budget=budget,
    )
    if pools is not None:
        pools.append(instance.pool)
    reply = reply or RecordedReply()
    await instance.answer(reply, **call_changes)
    states = instance.table.by_id.values()
    assert all(state.load == Load() for state in states)
    return CallResult(instance.pool, reply, instance.table, instance.log)


NON_IDEMPOTENT = make_route(kind=RouteKind.NON_IDEMPOTENT, max_attempts=1)
STREAM = make_route(kind=RouteKind.STREAM, max_attempts=1)
RESUMABLE = make_route(kind=RouteKind.STREAM, is_resumable=True, max_attempts=2)
NOT_RUN = ((b"x-not-executed", b"1"),)
