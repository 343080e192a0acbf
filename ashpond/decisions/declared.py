"""The configuration of routed calls: routes, services, teams and limits."""

from __future__ import annotations

__all__ = [
    "CacheStore",
    "Declaration",
    "EngineTraits",
    "IngressLimits",
    "Route",
    "RouteKind",
    "Service",
    "ServiceShare",
    "Team",
    "WeightTarget",
    "find_route",
    "index_routes",
    "pick_service",
]

import random
from collections.abc import Iterable, Mapping
from enum import StrEnum
from typing import NamedTuple

from ashpond.decisions.allowances import Allowance


class RouteKind(StrEnum):
    """Whether and how a request of a route may be retried."""

    IDEMPOTENT = "idempotent"
    NON_IDEMPOTENT = "non_idempotent"
    STREAM = "stream"


class ServiceShare(NamedTuple):
    """One service of a route, and its weight among the route's requests."""

    service: str
    weight: float


class Route(NamedTuple):
    """The handling of requests under one path prefix of one host.

    Times are in seconds. ``objective`` is the latency target: the time to the answer,
    or to the first event of a stream. ``priority`` 0 is the highest.
    ``is_anonymous`` routes need no API key. Streams of ``is_resumable`` routes may be
    continued by another backend server. ``longest_pause`` is the longest pause between
    two events of a stream that the operator aims at, 0 if none is set.
    """

    name: str
    host: str
    prefix: str
    kind: RouteKind
    shares: tuple[ServiceShare, ...]
    timeout: float
    objective: float
    max_attempts: int
    priority: int
    is_anonymous: bool = False
    is_resumable: bool = False
    longest_pause: float = 0.0

    @property
    def is_idempotent(self) -> bool:
        """Whether requests may run more than once."""
        return self.kind is RouteKind.IDEMPOTENT


class EngineTraits(NamedTuple):
    """The common properties of a service's engines; sizes are in tokens."""

    slots: int
    cache_tokens: int
    models: tuple[str, ...]


class CacheStore(NamedTuple):
    """A store of cached prompt parts that engines write to and read from."""

    address: str
    failure_domain: str


class Service(NamedTuple):
    """A group of interchangeable backend servers.

    ``engine`` is None if they run no model. A service with a ``cache_store`` gets no
    requests.
    """

    name: str
    max_connections: int
    engine: EngineTraits | None = None
    cache_store: CacheStore | None = None


class Team(NamedTuple):
    """A team; its ``priority``, if set, overrides that of the route.

    A team without an ``allowance`` has no limit. The cached prompt parts of an
    ``is_isolated`` team are not shared with other teams.
    """

    name: str
    priority: int | None = None
    is_isolated: bool = False
    allowance: Allowance | None = None


class IngressLimits(NamedTuple):
    """Limits on client requests: sizes in bytes, timeouts in seconds."""

    max_header_bytes: int = 16_384
    max_body_bytes: int = 4 << 20
    header_timeout: float = 3.0
    idle_timeout: float = 15.0


class Declaration(NamedTuple):
    """One accepted configuration."""

    version: int
    routes_by_host: Mapping[str, tuple[Route, ...]]
    services: Mapping[str, Service]
    teams_by_key: Mapping[str, Team]
    needs_keys: bool
    limits: IngressLimits

    @property
    def cache_stores(self) -> tuple[CacheStore, ...]:
        """The stores of cached prompt parts, ordered by the names of their services."""
        services = sorted(self.services.values(), key=lambda service: service.name)
        return tuple(s.cache_store for s in services if s.cache_store is not None)


class WeightTarget(NamedTuple):
    """The version of a model's weights that engines should serve."""

    model: str
    version: int


def index_routes(routes: Iterable[Route]) -> dict[str, tuple[Route, ...]]:
    """Group routes by host, the longest prefix first."""
    by_host: dict[str, list[Route]] = {}
    for route in routes:
        by_host.setdefault(route.host.lower(), []).append(route)
    return {
        host: tuple(sorted(group, key=lambda route: -len(route.prefix)))
        for host, group in by_host.items()
    }


def find_route(declaration: Declaration, host: str, path: str) -> Route | None:
    """Return the route of ``host`` with the longest prefix of ``path``, if any."""
    name = host.rpartition(":")[0] if ":" in host else host
    for route in declaration.routes_by_host.get(name.lower(), ()):
        if path.startswith(route.prefix):
            return route
    return None


def pick_service(route: Route, rng: random.Random) -> str:
    """Choose one of a route's services at random, by their weights."""
    if len(route.shares) == 1:
        return route.shares[0].service
    weights = [share.weight for share in route.shares]
    return rng.choices(route.shares, weights)[0].service
