"""Settings of a simulation: engines, instances, clients and faults."""

from __future__ import annotations

__all__ = ["Crash", "EngineStatement", "RequestKind", "Scenario", "StatementKind"]

from enum import StrEnum
from typing import NamedTuple

from ashpond.emulator.engines import EngineShape


class Crash(NamedTuple):
    """A crash of an engine, which restarts later with an empty cache.

    ``at`` and ``seconds`` are the start and the length of the outage (seconds),
    ``engine`` is the index of the engine.
    """

    at: float
    engine: int
    seconds: float = 1.0


class StatementKind(StrEnum):
    """The kind of directive that an engine sends in its answers."""

    LIMIT = "limit"
    BACKOFF = "backoff"
    LEAVING = "leaving"


class EngineStatement(NamedTuple):
    """A directive that an engine sends with its answers for a period.

    ``at`` and ``seconds`` are the start and the length of the period (seconds).
    ``value`` is the rate limit in requests per second, or the backoff in seconds that
    the engine asks for. An engine that asks for a backoff rejects every request.
    """

    at: float
    engine: int
    seconds: float
    kind: StatementKind
    value: float = 0.0


class RequestKind(NamedTuple):
    """One kind of request; times in seconds, sizes in tokens.

    The first prompt part (``common_tokens``) is the same in all requests of the kind,
    the second (``subject_tokens``) in those with the same one of the ``subjects``, and
    the third is the request's own, with ``own_tokens`` on average. A late answer is
    worth ``late_share`` of ``worth``. Clients cancel a request that has no first event
    after ``patience``.
    """

    name: str
    per_second: float
    objective: float
    timeout: float
    worth: float = 1.0
    late_share: float = 0.1
    priority: int = 1
    common_tokens: int = 2_500
    subject_tokens: int = 3_800
    own_tokens: int = 2_900
    output_tokens: int = 50
    subjects: int = 80
    retries: int = 1
    patience: float = 2.4
    longest_pause: float = 0.3
    is_resumable: bool = False


class Scenario(NamedTuple):
    """The settings of one simulation; the same seed gives the same outcomes.

    New weights versions become the target at ``versions_at`` and must be in use
    ``bound_seconds`` later. Instances send each other updates every ``news_seconds``;
    ``delay`` is the network delay one way. All are in seconds.
    """

    kinds: tuple[RequestKind, ...]
    seed: int = 1
    seconds: float = 20.0
    engines: int = 5
    instances: int = 8
    shape: EngineShape = EngineShape()
    crashes: tuple[Crash, ...] = ()
    statements: tuple[EngineStatement, ...] = ()
    versions_at: tuple[float, ...] = ()
    news_seconds: float = 0.08
    bound_seconds: float = 8.0
    delay: float = 0.001
