"""Plan which engines load new weights now."""

from __future__ import annotations

__all__ = ["EngineWeights", "plan_rollout"]

import math
from collections.abc import Sequence
from typing import NamedTuple

MAX_LOADS_AT_ONCE = 2
CAPACITY_FLOOR = 0.6


class EngineWeights(NamedTuple):
    """The observed weights of an engine; ``loading`` is a version or empty.

    ``since`` is when it was first seen with these weights, in seconds.
    """

    name: str
    weights: str
    loading: str
    reachable: bool
    since: float = 0.0


def plan_rollout(engines: Sequence[EngineWeights], declared: str) -> list[str]:
    """Return the engines that should load the version ``declared`` now.

    Those that have had their weights for longest come first: otherwise declarations in
    quick succession would reach the same engines each time.

    At most :data:`MAX_LOADS_AT_ONCE` engines load at once, and the share of serving
    engines does not fall below :data:`CAPACITY_FLOOR`, unless there are so few engines
    that none could ever load.
    """
    loading = [engine for engine in engines if engine.loading]
    serving = [e for e in engines if e.reachable and not e.loading]
    behind = [engine for engine in serving if engine.weights != declared]
    floor = math.ceil(len(engines) * CAPACITY_FLOOR)
    spare = max(len(serving) - floor, 0)
    if not spare and not loading and len(serving) == len(engines):
        spare = 1
    room = min(MAX_LOADS_AT_ONCE - len(loading), spare)
    behind.sort(key=lambda engine: engine.since)
    return [engine.name for engine in behind[: max(room, 0)]]
