"""One emulated instance: the real gateway and controllers without sockets."""

from __future__ import annotations

__all__ = ["EmulatedInstance", "InstanceEnvironment", "build_instance"]

import random
from collections.abc import Callable
from typing import NamedTuple

import trio

from ashpond.clients.channelpools import ConnectResult
from ashpond.controllers.allowancegrants import grant_unlimited
from ashpond.controllers.budgets import ServiceBudget, make_lone_budget
from ashpond.controllers.cachestores import CacheStores
from ashpond.controllers.crashdetection import CrashDetector, WatchedServer
from ashpond.controllers.directory import BackendServer, ServerState, ServerTable
from ashpond.controllers.invalidrows import InvalidRows
from ashpond.controllers.permits import Permits
from ashpond.controllers.quarantine import Quarantine
from ashpond.controllers.serverdirectives import ServerDirectives
from ashpond.controllers.streamorigins import make_lone_origins
from ashpond.decisions.cacheindex import CacheEntry, CacheIndex
from ashpond.decisions.declared import (
    Declaration,
    EngineTraits,
    IngressLimits,
    Service,
)
from ashpond.decisions.knowledge import Knowledge
from ashpond.decisions.prompts import Prompt
from ashpond.decisions.quarantine import CrashRecords
from ashpond.decisions.servicetimes import ServiceTimes
from ashpond.decisions.weightsbound import choose_sending_seconds
from ashpond.emulator.connections import (
    EmulatedPool,
    build_codec,
    build_engine_port,
    make_address,
)
from ashpond.emulator.engines import EmulatedEngine
from ashpond.emulator.permits import EmulatedCoordinator
from ashpond.emulator.scenarios import Scenario
from ashpond.fleet.updates import ServerNotice
from ashpond.gateway.callprogress import DispatchContext
from ashpond.gateway.decisionlog import DecisionLog
from ashpond.gateway.dispatch import Dispatcher
from ashpond.gateway.metrics import GatewayMetrics
from ashpond.gateway.reservations import ReservationQueue
from ashpond.gateway.rollouts import RolloutController
from ashpond.gateway.serverchoice import ServerChooser
from ashpond.gateway.store import StoreClock
from ashpond.standins.tables import MemoryStore

SERVICE = "engines"
MODEL = "m"
# The number of failure domains that instances and engines are spread over.
FAILURE_DOMAINS = 4
MAX_CONNECTIONS = 400
# Each instance has its own retry budget: a share of the first attempts and a fixed
# slack, in a sliding window (seconds).
RETRY_SHARE = 0.2
RETRY_SLACK = 56.0
RETRY_WINDOW = 10.0
LEASE_SECONDS = 3.0
QUARANTINE_SECONDS = 600.0


class InstanceEnvironment(NamedTuple):
    """What an emulated instance uses and shares with the other instances.

    ``report_entries`` sends cache entries to the other instances with the next update,
    ``announce`` sends a notice at once.
    """

    scenario: Scenario
    engines: dict[str, EmulatedEngine]
    pool: EmulatedPool
    store: MemoryStore
    coordinator: EmulatedCoordinator
    report_entries: Callable[[list[CacheEntry]], None]
    announce: Callable[[ServerNotice], None]


class EmulatedInstance(NamedTuple):
    """The components of one instance that the simulation accesses."""

    table: ServerTable
    cache_index: CacheIndex
    reservations: ReservationQueue
    knowledge: Knowledge
    directives: ServerDirectives
    rollouts: RolloutController
    dispatcher: Dispatcher


def build_instance(number: int, environment: InstanceEnvironment) -> EmulatedInstance:
    """Return an instance that knows all engines.

    Its random numbers depend on the scenario's seed and on ``number`` only.
    """
    table = _build_table(environment)
    knowledge = Knowledge()
    knowledge.adopt(_build_declaration(environment.scenario))
    cache_index = CacheIndex()
    rng = random.Random(f"{environment.scenario.seed}/{number}")
    log = DecisionLog(f"i{number}")
    times = ServiceTimes()
    part = RETRY_SLACK / environment.scenario.instances
    budget = make_lone_budget(RETRY_SHARE, part, RETRY_WINDOW)

    def find_required_version(model: str, now: float) -> int:
        bound = environment.scenario.bound_seconds
        seconds = choose_sending_seconds(bound, times.estimate_longest_start())
        return knowledge.find_possible_version(model, now - seconds)

    def note_cached(state: ServerState, salt: str, prompt: Prompt) -> None:
        now = trio.current_time()
        environment.report_entries(
            cache_index.note_read(state.info.id, salt, prompt, now)
        )

    chooser = ServerChooser(
        table,
        cache_index,
        CacheStores(),
        make_failure_domain(number),
        lambda: knowledge.declaration,
        knowledge.find_required_version,
        find_required_version,
        rng,
    )
    reservations = ReservationQueue(table, chooser, times)
    permits = Permits(
        environment.coordinator,
        lambda outcome: None,
        rng,
        reservations.assign,
        lambda: environment.scenario.instances,
    )
    directives = ServerDirectives(
        table, log, lambda kind: None, environment.announce, rng, permits.on_limit
    )
    context = DispatchContext(
        reservations,
        environment.pool,
        build_codec(environment.pool.records),
        b"id",
        knowledge,
        log,
        lambda service: budget,
        note_cached,
        lambda call, team: None,
        CrashDetector(_check_nothing, log.note, lambda lost: None),
        directives,
        _build_quarantine(environment, log),
        lambda state, seconds: None,
        grant_unlimited,
        lambda taken: None,
        permits.take,
        lambda kind: None,
        rng,
        make_lone_origins(table.versions, log),
        times,
    )
    rollouts = _build_rollouts(
        number, environment, table, knowledge, reservations, budget
    )
    dispatcher = Dispatcher(context)
    return EmulatedInstance(
        table, cache_index, reservations, knowledge, directives, rollouts, dispatcher
    )


def make_failure_domain(number: int) -> str:
    """Return the failure domain of an instance or engine."""
    return f"d{number % FAILURE_DOMAINS}"


async def _check_nothing(server: WatchedServer) -> ConnectResult:
    return ConnectResult.UNKNOWN


def _build_quarantine(environment: InstanceEnvironment, log: DecisionLog) -> Quarantine:
    """Return a quarantine that stays empty: no emulated request crashes its engine."""
    return Quarantine(
        log.instance,
        CrashRecords(QUARANTINE_SECONDS),
        environment.store.build_port(),
        StoreClock(),
        log,
        GatewayMetrics(),
        InvalidRows(log),
        lambda ends: None,
        lambda: True,
        lambda: [],
    )


def _build_table(environment: InstanceEnvironment) -> ServerTable:
    table = ServerTable()
    servers = [
        BackendServer(
            id=name,
            service=SERVICE,
            address=make_address(name),
            failure_domain=make_failure_domain(number),
            slots=environment.scenario.shape.slots,
            is_draining=False,
            cold_seconds=0.0,
            weights={MODEL: 1},
        )
        for number, name in enumerate(environment.engines)
    ]
    table.replace_all(servers, 0.0, may_reappear=False)
    return table


def _build_declaration(scenario: Scenario) -> Declaration:
    shape = scenario.shape
    traits = EngineTraits(shape.slots, shape.memory_tokens, (MODEL,))
    services = {SERVICE: Service(SERVICE, MAX_CONNECTIONS, traits)}
    return Declaration(1, {}, services, {}, False, IngressLimits())


def _build_rollouts(
    number: int,
    environment: InstanceEnvironment,
    table: ServerTable,
    knowledge: Knowledge,
    reservations: ReservationQueue,
    budget: ServiceBudget,
) -> RolloutController:
    return RolloutController(
        f"i{number}",
        table,
        knowledge,
        environment.store.build_port(),
        StoreClock(),
        build_engine_port(environment.engines),
        DecisionLog(f"i{number}"),
        lambda: [f"i{n}" for n in range(environment.scenario.instances)],
        environment.announce,
        reservations.assign,
        lambda service: budget.measure_left(),
        LEASE_SECONDS,
    )
