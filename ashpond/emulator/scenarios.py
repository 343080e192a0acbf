"""What an experiment plays: engines, instances, clients, faults."""

from __future__ import annotations

__all__ = ["Crash", "EngineStatement", "RequestKind", "Scenario", "StatementKind"]

from enum import StrEnum
from typing import NamedTuple

from ashpond.emulator.engines import EngineShape


class Crash(NamedTuple):
    """An engine is gone for a while, and back with nothing cached (seconds)."""

    at: float
    engine: int
    seconds: float = 1.0


class StatementKind(StrEnum):
    """What an engine says of itself in its answers."""

    LIMIT = "limit"
    BACKOFF = "backoff"
    LEAVING = "leaving"


class EngineStatement(NamedTuple):
    """An engine says something of itself for a while (seconds).

    ``value`` is a rate limit in requests a second, or the backoff in seconds that it
    asks for with each rejection; such an engine rejects all.
    """

    at: float
    engine: int
    seconds: float
    kind: StatementKind
    value: float = 0.0


class RequestKind(NamedTuple):
    """One kind of request; times in seconds, sizes in tokens.

    ``subjects`` share the first part of the prompt and have a second of their own.
    ``late_share`` is what a late answer is worth; clients leave after ``patience``
    without a first event.
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
    """One experiment; the same seed gives the same outcome.

    New weights are named at ``versions_at``, and have to be in use ``bound_seconds``
    later. ``news_seconds`` is how late instances hear of one another's work.
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
