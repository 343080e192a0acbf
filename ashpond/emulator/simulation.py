"""The simulation of a scenario: clients, emulated instances and engines."""

from __future__ import annotations

__all__ = ["Outcome", "simulate", "run_scenario"]

import random
from typing import NamedTuple

import trio
import trio.testing

from ashpond.decisions.cacheindex import CacheEntry
from ashpond.decisions.declared import Route, RouteKind, ServiceShare, WeightTarget
from ashpond.decisions.prompts import Prompt, PromptPart
from ashpond.emulator.connections import EmulatedPool, RequestRecords
from ashpond.emulator.engines import EmulatedEngine, Run
from ashpond.emulator.instances import (
    MODEL,
    SERVICE,
    EmulatedInstance,
    InstanceEnvironment,
    build_instance,
)
from ashpond.emulator.permits import EmulatedCoordinator
from ashpond.emulator.scenarios import Crash, EngineStatement, RequestKind, Scenario
from ashpond.fleet.updates import ServerNotice
from ashpond.gateway.admission import AcceptedCall
from ashpond.gateway.calls import Envelope, Headers, IncomingCall
from ashpond.standins.tables import MemoryStore

CACHE_NAMESPACE = "shared"
# The delay until instances apply a notice: the network, one way, and one iteration of
# their event loops (seconds).
NOTICE_DELAY = 0.004
# An answer is stale if it begins on older weights later than this after a newer version
# was announced (seconds); it then loses this share of the request's worth.
STALE_AFTER = 1.5
STALE_SHARE = 0.2


class Outcome(NamedTuple):
    """The result of one request, over all tries of its client (seconds).

    ``first_event_seconds`` is the time from the first try to the first event of the
    answer, None if the request was not served. ``refused_seconds`` is the total
    duration of the tries that brought no whole answer. ``is_stale`` answers began on
    weights that had been replaced.
    """

    kind: RequestKind
    first_sent_at: float
    first_event_seconds: float | None
    tries: int
    refused_seconds: float
    has_long_pause: bool
    is_stale: bool

    @property
    def is_in_time(self) -> bool:
        """Whether the answer came within its objective, without long pauses."""
        if self.first_event_seconds is None or self.has_long_pause:
            return False
        return self.first_event_seconds <= self.kind.objective

    @property
    def earned_worth(self) -> float:
        """The worth of the answer, at most ``kind.worth``."""
        if self.first_event_seconds is None:
            return 0.0
        share = 1.0 if self.is_in_time else self.kind.late_share
        return self.kind.worth * (share - STALE_SHARE * self.is_stale)


class _Reply:
    """The answer to one try, without its body."""

    def __init__(self) -> None:
        self.status = 0
        self.retry_after: float | None = None
        self.first_at: float | None = None
        self.is_whole = False

    async def start(
        self, status: int, headers: Headers, *, is_close_delimited: bool = False
    ) -> None:
        self.status = status
        value = dict(headers).get(b"retry-after")
        self.retry_after = float(value) if value else None
        self.first_at = trio.current_time()

    async def send(self, data: bytes) -> None:
        pass

    async def finish(self) -> None:
        self.is_whole = True

    async def abort(self) -> None:
        pass


class _Simulation:
    """A running scenario.

    It is simpler than a real fleet: all updates arrive together every
    ``news_seconds``, and each instance has its own retry budget.
    """

    def __init__(self, scenario: Scenario):
        self.scenario = scenario
        self.rng = random.Random(scenario.seed)
        self.outcomes: list[Outcome] = []
        self.pending_entries: list[CacheEntry] = []
        ever_read: set[tuple[str, str]] = set()
        names = [f"e{n}" for n in range(scenario.engines)]
        self.engines = {n: EmulatedEngine(n, scenario.shape, ever_read) for n in names}
        self.records = RequestRecords()
        self.store = MemoryStore()
        self.coordinator = EmulatedCoordinator(
            scenario.delay, random.Random(scenario.seed)
        )
        self.announced_versions: list[tuple[float, int]] = []
        self.pool = EmulatedPool(self.engines, self.records, scenario.delay)
        self.notice_sender, self.notice_receiver = trio.open_memory_channel[
            ServerNotice
        ](1_000)
        environment = InstanceEnvironment(
            scenario,
            self.engines,
            self.pool,
            self.store,
            self.coordinator,
            lambda entries: self.pending_entries.extend(entries),
            self.notice_sender.send_nowait,
        )
        self.instances = [
            build_instance(n, environment) for n in range(scenario.instances)
        ]
        self._request_count = 0

    async def run(self) -> list[Outcome]:
        """Run to the end; return the outcomes in the order in which requests ended."""
        async with trio.open_nursery() as background:
            for engine in self.engines.values():
                background.start_soon(engine.run)
            background.start_soon(self.coordinator.run)
            background.start_soon(self._spread_updates)
            background.start_soon(self._apply_notices)
            for instance in self.instances:
                background.start_soon(instance.rollouts.run)
                background.start_soon(self._announce_versions, instance)
            async with trio.open_nursery() as nursery:
                for crash in self.scenario.crashes:
                    nursery.start_soon(self._crash_engine, crash)
                for statement in self.scenario.statements:
                    nursery.start_soon(self._apply_statement, statement)
                for kind in self.scenario.kinds:
                    nursery.start_soon(self._send_requests, kind, nursery)
            background.cancel_scope.cancel()
        return self.outcomes

    async def _send_requests(self, kind: RequestKind, nursery: trio.Nursery) -> None:
        while True:
            await trio.sleep(self.rng.expovariate(kind.per_second))
            if trio.current_time() > self.scenario.seconds:
                return
            nursery.start_soon(self._run_client, kind, self._build_prompt(kind))

    def _build_prompt(self, kind: RequestKind) -> Prompt:
        self._request_count += 1
        subject = self.rng.randrange(kind.subjects)
        own = max(1, round(self.rng.expovariate(1 / kind.own_tokens)))
        parts = (
            PromptPart(f"{kind.name}", kind.common_tokens),
            PromptPart(f"{kind.name}/{subject}", kind.subject_tokens),
            PromptPart(f"own/{self._request_count}", own),
        )
        tokens = sum(part.tokens for part in parts)
        return Prompt(MODEL, tokens, kind.output_tokens, parts)

    async def _run_client(self, kind: RequestKind, prompt: Prompt) -> None:
        first_sent_at = trio.current_time()
        refused_seconds = 0.0
        tries = 0
        first_event_at: float | None = None
        while tries <= kind.retries:
            tries += 1
            request_id = f"{prompt.parts[-1].id}/{tries}"
            self.records.outputs[request_id] = kind.output_tokens
            began = trio.current_time()
            reply = await self._send_request(kind, prompt, request_id, began)
            if reply.is_whole and reply.status == 200:
                first_event_at = reply.first_at
                break
            refused_seconds += trio.current_time() - began
            if reply.retry_after is None:
                break
            await trio.sleep(reply.retry_after)
        first_event_seconds = (
            None if first_event_at is None else first_event_at - first_sent_at
        )
        runs = self.records.runs.get(request_id, [])
        outcome = Outcome(
            kind,
            first_sent_at,
            first_event_seconds,
            tries,
            refused_seconds,
            _find_longest_pause(runs) > kind.longest_pause,
            self._is_stale(request_id, runs),
        )
        self.outcomes.append(outcome)

    def _is_stale(self, request_id: str, runs: list[Run]) -> bool:
        if not runs or runs[0].first_event_at is None:
            return False
        version = self.records.sent[request_id][1].weights_version or 0
        due_versions = [
            v
            for at, v in self.announced_versions
            if at + STALE_AFTER < runs[0].first_event_at
        ]
        return version < max(due_versions, default=0)

    async def _send_request(
        self, kind: RequestKind, prompt: Prompt, request_id: str, now: float
    ) -> _Reply:
        instance = self.rng.choice(self.instances)
        envelope = Envelope(request_id, kind.timeout, None, prompt, None, [])
        call = IncomingCall("POST", "h", "/", b"/", envelope, b"", now)
        route = Route(
            kind.name, "h", "/", RouteKind.STREAM, (ServiceShare(SERVICE, 1.0),),
            kind.timeout, kind.objective, 2 if kind.is_resumable else 1,
            kind.priority, is_resumable=kind.is_resumable,
        )  # fmt: skip
        accepted = AcceptedCall(
            route, None, now + kind.timeout, kind.priority, CACHE_NAMESPACE
        )
        reply = _Reply()
        async with trio.open_nursery() as nursery:
            nursery.start_soon(self._cancel_late, kind, reply, nursery.cancel_scope)
            await instance.dispatcher.dispatch(call, accepted, reply)
            nursery.cancel_scope.cancel()
        return reply

    async def _cancel_late(
        self, kind: RequestKind, reply: _Reply, scope: trio.CancelScope
    ) -> None:
        """Cancel a request whose first event takes longer than the client waits."""
        await trio.sleep(kind.patience)
        if reply.first_at is None:
            scope.cancel()

    async def _spread_updates(self) -> None:
        """Send the loads and cache entries of each instance to all others.

        The loads are one update interval old, as if they had been sent then.
        """
        reported_loads = [
            instance.table.list_own_loads() for instance in self.instances
        ]
        while True:
            await trio.sleep(self.scenario.news_seconds)
            now = trio.current_time()
            for number, loads in enumerate(reported_loads):
                for other, instance in enumerate(self.instances):
                    if other != number:
                        instance.table.note_peer_loads(f"i{number}", loads, now)
            entries, self.pending_entries = self.pending_entries, []
            for instance in self.instances:
                for entry in entries:
                    instance.cache_index.note_reported(entry, now)
            reported_loads = [
                instance.table.list_own_loads() for instance in self.instances
            ]

    async def _crash_engine(self, crash: Crash) -> None:
        await trio.sleep(crash.at)
        engine = list(self.engines.values())[crash.engine]
        engine.crash()
        await trio.sleep(crash.seconds)
        engine.restart()

    async def _apply_statement(self, statement: EngineStatement) -> None:
        """Set an engine's statement for the statement's period."""
        await trio.sleep(statement.at)
        engine = list(self.engines.values())[statement.engine]
        engine.statement = statement
        await trio.sleep(statement.seconds)
        engine.statement = None

    async def _announce_versions(self, instance: EmulatedInstance) -> None:
        for number, at in enumerate(self.scenario.versions_at):
            await trio.sleep_until(at)
            if instance is self.instances[0]:
                self.announced_versions.append((at, number + 2))
            target = WeightTarget(MODEL, number + 2)
            instance.knowledge.confirm(trio.current_time())
            instance.knowledge.adopt_target(target, trio.current_time())

    async def _apply_notices(self) -> None:
        async for notice in self.notice_receiver:
            await trio.sleep(NOTICE_DELAY)
            now = trio.current_time()
            for instance in self.instances:
                state = instance.table.by_id[notice.server_id]
                if notice.limit is not None or notice.is_leaving:
                    instance.directives.apply_notice(state, notice)
                    continue
                instance.rollouts.note_progress()
                state.update_weights(notice.model, notice.version)
                if notice.excluded_seconds:
                    state.exclude_for(notice.excluded_seconds, now)
                else:
                    state.readmit()
                    instance.reservations.assign()


def _find_longest_pause(runs: list[Run]) -> float:
    """Return the longest pause between events of an answer, over all its runs.

    The time from the last event of a run to the first of the next is a pause, too.
    """
    longest = max((run.longest_pause for run in runs), default=0.0)
    for before, after in zip(runs, runs[1:], strict=False):
        if before.last_event_at is not None and after.first_event_at is not None:
            longest = max(longest, after.first_event_at - before.last_event_at)
    return longest


async def simulate(scenario: Scenario) -> list[Outcome]:
    """Run a scenario on the clock of the running event loop."""
    return await _Simulation(scenario).run()


def run_scenario(scenario: Scenario) -> list[Outcome]:
    """Run a scenario in virtual time; the same seed gives the same outcomes."""
    # By default trio runs the tasks that are ready in random order. Its scheduler is
    # seeded here, so that runs are reproducible.
    trio_run = trio._core._run
    trio_run._ALLOW_DETERMINISTIC_SCHEDULING = True  # type: ignore[misc]
    trio_run._r.seed(scenario.seed)
    clock = trio.testing.MockClock(autojump_threshold=0)
    return trio.run(simulate, scenario, clock=clock)
