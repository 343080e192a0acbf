"""One emulated instance: the real decisions, without sockets."""

from __future__ import annotations

__all__ = ["EmulatedInstance", "Surroundings", "build_instance"]

import random
from collections.abc import Callable
from typing import NamedTuple

import trio

from ashpond.clients.channels import Reach
from ashpond.controllers.allowancegrants import grant_unlimited
from ashpond.controllers.cachestores import CacheStores
from ashpond.controllers.crashdetection import CrashDetector, WatchedServer
from ashpond.controllers.directory import BackendServer, ServerState, ServerTable
from ashpond.controllers.invalidrows import InvalidRows
from ashpond.controllers.permits import Permits
from ashpond.controllers.quarantine import Quarantine
from ashpond.controllers.serverdirectives import ServerDirectives
from ashpond.decisions.budget import FleetRetryBudget
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
from ashpond.emulator.engines import EmulatedEngine
from ashpond.emulator.permits import EmulatedKeeper
from ashpond.emulator.scenarios import Scenario
from ashpond.emulator.wire import (
    EmulatedPool,
    build_codec,
    build_engine_port,
    make_address,
)
from ashpond.fleet.updates import ServerNotice
from ashpond.gateway.callprogress import DispatchContext
from ashpond.gateway.decisionlog import DecisionLog
from ashpond.gateway.dispatch import Dispatcher
from ashpond.gateway.metrics import GatewayMetrics
from ashpond.gateway.reservations import ReservationQueue
from ashpond.gateway.rollouts import RolloutController
from ashpond.gateway.store import StoreClock
from ashpond.standins.tables import MemoryStore

SERVICE = "engines"
MODEL = "m"
# Instances and engines are spread over so many failure domains.
DOMAINS = 4
MAX_CONNECTIONS = 400
# Each instance has a budget of its own: a share, and a slack in a window (seconds).
RETRY_SHARE = 0.2
RETRY_SLACK = 56.0
RETRY_WINDOW = 10.0
LEASE_SECONDS = 3.0
QUARANTINE_SECONDS = 600.0
# The share of the bound at which older weights are left, as the application has it.
REQUIRED_SHARE = 0.85


class Surroundings(NamedTuple):
    """What an instance meets; ``tell`` and ``announce`` reach the other instances."""

    scenario: Scenario
    engines: dict[str, EmulatedEngine]
    pool: EmulatedPool
    store: MemoryStore
    keeper: EmulatedKeeper
    tell: Callable[[list[CacheEntry]], None]
    announce: Callable[[ServerNotice], None]


class EmulatedInstance(NamedTuple):
    """The parts of one instance that the world looks into."""

    table: ServerTable
    holdings: CacheIndex
    places: ReservationQueue
    knowledge: Knowledge
    statements: ServerDirectives
    rollouts: RolloutController
    dispatcher: Dispatcher


def build_instance(number: int, around: Surroundings) -> EmulatedInstance:
    """Return an instance that knows all engines; its random numbers are its own."""
    table = _build_table(around)
    knowledge = Knowledge()
    knowledge.adopt(_build_declaration(around.scenario))
    holdings = CacheIndex()
    rng = random.Random(f"{around.scenario.seed}/{number}")
    log = DecisionLog(f"i{number}")
    budget = FleetRetryBudget(RETRY_SHARE, RETRY_SLACK, RETRY_WINDOW, -RETRY_WINDOW)

    def find_required(model: str, now: float) -> int:
        bound = around.scenario.bound_seconds * REQUIRED_SHARE
        return knowledge.find_possible_version(model, now - bound)

    def note_held(state: ServerState, salt: str, prompt: Prompt) -> None:
        now = trio.current_time()
        around.tell(holdings.note_read(state.info.id, salt, prompt, now))

    places = ReservationQueue(
        table,
        holdings,
        CacheStores(),
        make_domain(number),
        lambda: knowledge.declaration,
        knowledge.find_required_version,
        find_required,
        rng,
    )
    permits = Permits(around.keeper, lambda outcome: None, rng, places.assign)
    statements = ServerDirectives(
        table, log, lambda kind: None, around.announce, rng, permits.on_limit
    )
    context = DispatchContext(
        places,
        around.pool,  # type: ignore[arg-type]
        build_codec(around.pool.memo),
        b"id",
        knowledge,
        log,
        lambda service: budget,
        lambda: around.scenario.instances,
        note_held,
        lambda call, team: None,
        CrashDetector(_check_nothing, log.note, lambda lost: None),
        statements,
        _build_quarantine(around, log),
        lambda state, seconds: None,
        grant_unlimited,
        lambda taken: None,
        permits.take,
        lambda kind: None,
        rng,
    )
    rollouts = _build_rollouts(number, around, table, knowledge, places, budget)
    dispatcher = Dispatcher(context)
    return EmulatedInstance(
        table, holdings, places, knowledge, statements, rollouts, dispatcher
    )


def make_domain(number: int) -> str:
    """Return the failure domain of an instance or engine."""
    return f"d{number % DOMAINS}"


async def _check_nothing(server: WatchedServer) -> Reach:
    return Reach.UNKNOWN


def _build_quarantine(around: Surroundings, log: DecisionLog) -> Quarantine:
    """Return one that nothing is told to: no emulated request ends its engine."""
    return Quarantine(
        log.instance,
        CrashRecords(QUARANTINE_SECONDS),
        around.store.build_port(),
        StoreClock(),
        log,
        GatewayMetrics(),
        InvalidRows(log),
        lambda ends: None,
        lambda: True,
        lambda: [],
    )


def _build_table(around: Surroundings) -> ServerTable:
    table = ServerTable()
    servers = [
        BackendServer(
            id=name,
            service=SERVICE,
            address=make_address(name),
            failure_domain=make_domain(number),
            slots=around.scenario.shape.slots,
            is_draining=False,
            cold_seconds=0.0,
            weights={MODEL: 1},
        )
        for number, name in enumerate(around.engines)
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
    around: Surroundings,
    table: ServerTable,
    knowledge: Knowledge,
    places: ReservationQueue,
    budget: FleetRetryBudget,
) -> RolloutController:
    return RolloutController(
        f"i{number}",
        table,
        knowledge,
        around.store.build_port(),
        StoreClock(),
        build_engine_port(around.engines),
        DecisionLog(f"i{number}"),
        lambda: [f"i{n}" for n in range(around.scenario.instances)],
        around.announce,
        places.assign,
        lambda service: budget.measure_left(1, trio.current_time()),
        LEASE_SECONDS,
    )
