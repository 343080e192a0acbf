"""Build test data for routed calls."""

from __future__ import annotations

import random
import zlib
from collections.abc import Callable, Sequence
from typing import Any

import trio

from ashpond.controllers.cachestores import CacheStores
from ashpond.controllers.directory import BackendServer, ServerTable
from ashpond.controllers.invalidrows import InvalidRows
from ashpond.controllers.memory import NO_LIMIT
from ashpond.controllers.quarantine import Quarantine
from ashpond.decisions.cacheindex import CacheIndex
from ashpond.decisions.declared import (
    Declaration,
    EngineTraits,
    IngressLimits,
    Route,
    RouteKind,
    Service,
    ServiceShare,
    Team,
    index_routes,
)
from ashpond.decisions.loads import Load
from ashpond.decisions.prompts import Prompt, PromptPart
from ashpond.decisions.quarantine import CrashRecords, ServerCrash
from ashpond.decisions.selection import Candidate, Demand
from ashpond.gateway.calls import Envelope, IncomingCall
from ashpond.gateway.decisionlog import DecisionLog
from ashpond.gateway.metrics import GatewayMetrics
from ashpond.gateway.reservations import ReservationQueue
from ashpond.gateway.serverchoice import ServerChooser
from ashpond.gateway.settings import GatewaySettings
from ashpond.gateway.store import Snapshot, StoreClock
from ashpond.standins.tables import MemoryStore
from tests.ports import find_free_port

HOST = "desk.example"
KEY = "key-of-desk"
MODEL = "m1"
QUARANTINE_SECONDS = 600.0
FINGERPRINT = "f" * 24


def make_route(**changes: object) -> Route:
    values: dict = {
        "name": "r1",
        "host": HOST,
        "prefix": "/bids/",
        "kind": RouteKind.IDEMPOTENT,
        "shares": (ServiceShare("reader", 1.0),),
        "timeout": 4.0,
        "objective": 0.6,
        "max_attempts": 2,
        "priority": 1,
    }
    return Route(**(values | changes))


def make_declaration(*routes: Route, **changes: object) -> Declaration:
    values: dict = {
        "version": 1,
        "routes_by_host": index_routes(routes or (make_route(),)),
        "services": {
            "reader": Service("reader", 100, EngineTraits(64, 100_000, (MODEL,))),
            "plain": Service("plain", 100),
        },
        "teams_by_key": {KEY: Team("desk")},
        "needs_keys": True,
        "limits": IngressLimits(),
    }
    return Declaration(**(values | changes))


def make_address(server_id: str) -> str:
    """Return an address that only this server has; nothing listens there."""
    number = zlib.crc32(server_id.encode())
    return f"127.{number >> 16 & 255}.{number >> 8 & 255}.{number & 255}:9"


def make_server(server_id: str = "s1", **changes: object) -> BackendServer:
    values: dict = {
        "id": server_id,
        "service": "reader",
        "address": make_address(server_id),
        "failure_domain": "north",
        "slots": 64,
        "is_draining": False,
        "cold_seconds": 0.0,
        "weights": {MODEL: 1},
    }
    return BackendServer(**(values | changes))


def make_prompt(*ids: str, tokens: int = 1000) -> Prompt:
    parts = tuple(PromptPart(part, tokens) for part in ids or ("rules", "shop", "own"))
    return Prompt(MODEL, tokens * len(parts), 50, parts)


def make_call(path: str = "/bids/1", **changes: object) -> IncomingCall:
    envelope: dict = {
        "request_id": "id-1",
        "timeout": 3.0,
        "key": KEY,
        "prompt": None,
        "resume_after": None,
        "headers": [],
        "resumes": None,
    }
    envelope |= {k: v for k, v in changes.items() if k in envelope}
    values: dict = {
        "method": "POST",
        "host": HOST,
        "path": path,
        "target": path.encode(),
        "envelope": Envelope(**envelope),
        "body": b"x",
        "received_at": 0.0,
        "memory": NO_LIMIT,
    }
    return IncomingCall(**(values | {k: v for k, v in changes.items() if k in values}))


def make_candidate(server_id: str = "s1", **changes: object) -> Candidate:
    values: dict = {
        "id": server_id,
        "is_local": True,
        "load": Load(),
        "slots": 64,
        "memory_tokens": 100_000,
        "has_newest": True,
        "home_rank": 0,
        "failure_share": 0.0,
        "is_cold": False,
    }
    return Candidate(**(values | changes))


def make_demand(prompt: Prompt | None = None, service: str = "reader") -> Demand:
    return Demand(service, prompt.model if prompt else None, prompt, "shared")


def make_chooser(
    table: ServerTable,
    cache_index: CacheIndex | None = None,
    required: int = 0,
    *,
    rng: random.Random | None = None,
    has_delayed_updates: bool = False,
) -> ServerChooser:
    declaration = make_declaration()
    return ServerChooser(
        table,
        cache_index or CacheIndex(),
        CacheStores(),
        "north",
        lambda: declaration,
        lambda model, now: 0,
        lambda model, now: required,
        rng or random.Random(1),
        lambda: has_delayed_updates,
    )


def make_reservations(
    table: ServerTable, cache_index: CacheIndex | None = None, required: int = 0
) -> ReservationQueue:
    return ReservationQueue(table, make_chooser(table, cache_index, required))


def make_crash(
    server_id: str = "s1", at: float = 1000.0, **changes: object
) -> ServerCrash:
    """Return a crash, by the store's clock, under a request sent 50 ms before."""
    values: dict = {
        "fingerprint": FINGERPRINT,
        "server_id": server_id,
        "started_ms": 1000,
        "sent_at": at - 0.05,
        "crashed_at": at,
    }
    return ServerCrash(**(values | changes))


def make_store_clock() -> StoreClock:
    """Return a clock that is synchronised with a store in memory."""
    now = trio.current_time()
    clock = StoreClock()
    clock.date(Snapshot((), 0, now + MemoryStore().clock_offset, now, now))
    return clock


def make_quarantine(
    log: DecisionLog | None = None,
    store: MemoryStore | None = None,
    send_crashes: Callable[[Sequence[ServerCrash]], None] = lambda crashes: None,
    list_instances: Callable[[], Sequence[str]] = lambda: (),
    measure_hazard: Callable[[], float] = lambda: 0.0,
) -> Quarantine:
    log = log or DecisionLog("i")
    return Quarantine(
        log.instance,
        CrashRecords(QUARANTINE_SECONDS, measure_hazard),
        (store or MemoryStore()).build_port(),
        make_store_clock(),
        log,
        GatewayMetrics(),
        InvalidRows(log),
        send_crashes,
        lambda: True,
        list_instances,
    )


def make_table(*servers: BackendServer) -> ServerTable:
    table = ServerTable()
    table.replace_all(list(servers), 0.0, may_reappear=False)
    return table


def make_settings() -> GatewaySettings:
    """Return settings whose addresses are free at present."""
    addresses: dict[str, Any] = {
        name: f"127.0.0.1:{find_free_port()}"
        for name in (
            "callers_address",
            "readiness_address",
            "peers_address",
            "metrics_address",
            "store_address",
        )
    }
    return GatewaySettings(name="i0", failure_domain="north", **addresses)
