"""What the product asks of engines besides requests; an adapter provides it."""

from __future__ import annotations

__all__ = [
    "CacheEvent",
    "CacheEvents",
    "EnginePort",
    "EngineReport",
    "OrderAccepted",
    "OrderExecution",
    "OrderOutcome",
    "OrderRefused",
    "WeightsOrder",
]

from collections.abc import Awaitable, Callable
from enum import Enum, auto
from typing import NamedTuple

from ashpond.controllers.directory import BackendServer
from ashpond.outcomes import MaybeRun, NotRun


class OrderExecution(Enum):
    """Whether an engine carries an order out; MAYBE if it is busy with some order."""

    NO = auto()
    MAYBE = auto()
    YES = auto()


class WeightsOrder(NamedTuple):
    """Bring an engine to a version of a model's weights.

    ``fence`` is the lease's fencing number. ``expected_orders`` is the number of
    orders that the engine has accepted so far: one that arrives late, after
    another, finds a different number and has no effect. With ``cuts_runs`` the
    engine resets the streams that it has; else they end first.
    """

    model: str
    version: int
    holder: str
    fence: int
    expected_orders: int | None
    cuts_runs: bool = False


class OrderAccepted(NamedTuple):
    """The engine carries the order out, or is in that state already."""

    is_in_force: bool


class OrderRefused(NamedTuple):
    """The engine will not carry the order out."""

    status: int


OrderOutcome = OrderAccepted | OrderRefused | NotRun | MaybeRun


class EngineReport(NamedTuple):
    """The state of an engine as of some 100 ms ago.

    ``accepted_orders`` counts from the engine's start, which ``born`` tells (Unix
    time in ms, None where it does not tell).
    """

    weights: dict[str, int]
    is_loading: bool
    accepted_orders: int
    born: int | None = None


class CacheEvent(NamedTuple):
    """A prompt part was stored, or dropped, under a salt; ``number`` orders events."""

    number: int
    salt: str
    part: str
    is_stored: bool


class CacheEvents(NamedTuple):
    """Changes of a cache since ``since``; ``next`` continues after them.

    ``epoch`` changes when the cache starts anew, empty; ``is_gap`` tells that
    older events are no longer known.
    """

    epoch: int
    next: int
    is_gap: bool
    events: tuple[CacheEvent, ...]


class EnginePort(NamedTuple):
    """Calls to one engine, or to the cache store at an address."""

    order: Callable[[BackendServer, WeightsOrder], Awaitable[OrderOutcome]]
    report: Callable[[BackendServer], Awaitable[EngineReport | NotRun | MaybeRun]]
    read_cache_events: Callable[
        [str, int, float], Awaitable[CacheEvents | NotRun | MaybeRun]
    ]
