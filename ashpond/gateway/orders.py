"""The calls to engines besides requests; an adapter implements them."""

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
    "watch_answers",
]

import math
from collections.abc import Awaitable, Callable
from enum import Enum, auto
from typing import NamedTuple

from ashpond.controllers.directory import BackendServer
from ashpond.outcomes import MaybeRun, NotRun


class OrderExecution(Enum):
    """Whether an engine carries out an order; MAYBE if busy with this or another."""

    NO = auto()
    MAYBE = auto()
    YES = auto()


class WeightsOrder(NamedTuple):
    """An order to load a version of a model's weights.

    ``fence`` is the lease's fencing number. ``expected_orders`` is the number of
    orders that the engine has accepted so far: an order that arrives after another
    one finds a different number and has no effect. With ``cuts_runs`` the engine
    resets its open streams; otherwise it waits for them to end. The order is written
    before ``send_until``, on this process's clock in seconds, or not at all: after
    that, another instance may hold the lease.
    """

    model: str
    version: int
    holder: str
    fence: int
    expected_orders: int
    cuts_runs: bool = False
    send_until: float = math.inf


class OrderAccepted(NamedTuple):
    """The engine carries the order out, or has the weights already."""

    is_in_force: bool


class OrderRefused(NamedTuple):
    """The engine rejected the order."""

    status: int


OrderOutcome = OrderAccepted | OrderRefused | NotRun | MaybeRun


class EngineReport(NamedTuple):
    """The state of an engine, up to about 100 ms old.

    ``accepted_orders`` counts since the engine's start. ``born`` is the time of that
    start (Unix time in ms), None if the engine does not report it.
    """

    weights: dict[str, int]
    is_loading: bool
    accepted_orders: int
    born: int | None = None


class CacheEvent(NamedTuple):
    """A prompt part was cached or evicted under a salt; ``number`` orders events."""

    number: int
    salt: str
    part: str
    is_stored: bool


class CacheEvents(NamedTuple):
    """Changes of a cache since ``since``; ``next`` continues after them.

    ``epoch`` changes when the cache restarts empty. ``is_gap`` means that events after
    ``since`` have been dropped.
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


def watch_answers(engines: EnginePort, note_answer: Callable[[], None]) -> EnginePort:
    """Return the same calls, which record that an engine has answered.

    :param note_answer: called after each answer to an order or for a report.
    """

    async def order(server: BackendServer, order: WeightsOrder) -> OrderOutcome:
        outcome = await engines.order(server, order)
        if isinstance(outcome, OrderAccepted | OrderRefused):
            note_answer()
        return outcome

    async def report(server: BackendServer) -> EngineReport | NotRun | MaybeRun:
        outcome = await engines.report(server)
        if isinstance(outcome, EngineReport):
            note_answer()
        return outcome

    return engines._replace(order=order, report=report)
