"""What the product asks of engines besides requests; an adapter provides it."""

from __future__ import annotations

__all__ = [
    "EnginePort",
    "EngineReport",
    "OrderAccepted",
    "OrderOutcome",
    "OrderRefused",
    "WeightsOrder",
]

from collections.abc import Awaitable, Callable
from typing import NamedTuple

from ashpond.gateway.directory import BackendServer
from ashpond.outcomes import MaybeRun, NotRun


class WeightsOrder(NamedTuple):
    """Bring an engine to a version of a model's weights.

    ``fence`` is the lease's fencing number. ``expected_orders`` is the number of
    orders that the engine has accepted so far: one that arrives late, after
    another, finds a different number and has no effect.
    """

    model: str
    version: int
    holder: str
    fence: int
    expected_orders: int | None


class OrderAccepted(NamedTuple):
    """The engine carries the order out, or is in that state already."""

    is_in_force: bool


class OrderRefused(NamedTuple):
    """The engine will not carry the order out."""

    status: int


OrderOutcome = OrderAccepted | OrderRefused | NotRun | MaybeRun


class EngineReport(NamedTuple):
    """The state of an engine as of some 100 ms ago."""

    weights: dict[str, int]
    is_loading: bool
    accepted_orders: int


class EnginePort(NamedTuple):
    """Calls to one engine."""

    order: Callable[[BackendServer, WeightsOrder], Awaitable[OrderOutcome]]
    report: Callable[[BackendServer], Awaitable[EngineReport | NotRun | MaybeRun]]
