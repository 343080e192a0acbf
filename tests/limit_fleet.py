"""Fleets in front of one server with a rate limit, in virtual time."""

from __future__ import annotations

import random
from collections import deque
from typing import NamedTuple

import trio

from ashpond.controllers.permits import Permits
from ashpond.controllers.serverdirectives import ServerDirectives
from ashpond.decisions.ratelimits import PERMIT_SECONDS
from ashpond.fleet.updates import ServerNotice
from ashpond.gateway.calls import AnswerHeaders
from ashpond.gateway.decisionlog import DecisionLog
from tests.allowance_fleet import LATENCY_SECONDS, LIMITED_SERVER, Fleet, FleetInstance
from tests.directives import (
    LIMIT_SETTLED_SECONDS,
    LIMIT_SHARE,
    LIMIT_SLACK,
    LIMIT_WINDOW_SECONDS,
    REACTION_SECONDS,
)

# How long answers take; one in ten takes the second time (seconds).
ANSWER_SECONDS = (0.05, 2.5)
NOTICE_DELAY_SECONDS = (0.002, 0.6)


class Arrival(NamedTuple):
    """A request that reached the server.

    ``informed_at`` is when its instance first received the present limit.
    """

    at: float
    instance: str
    informed_at: float


class LimitedInstance:
    """The state of the server at one incarnation of an instance."""

    def __init__(self, fleet: LimitFleet, instance: FleetInstance):
        self.informed_at = float("inf")
        log = DecisionLog(instance.name)
        self.state = instance.table.by_id[LIMITED_SERVER]
        self.permits = Permits(
            instance.allowances,
            lambda outcome: None,
            random.Random(instance.name),
            lambda: None,
            lambda: len(fleet.members),
        )
        self.directives = ServerDirectives(
            instance.table,
            log,
            lambda kind: None,
            lambda notice: fleet.broadcast(instance.name, notice),
            random.Random(instance.name),
            self.permits.on_limit,
        )

    def apply_notice(self, notice: ServerNotice) -> None:
        self.directives.apply_notice(self.state, notice)


class LimitFleet(Fleet):
    """Instances that send to one server, whose answers name ``rate`` as its limit."""

    def __init__(self, nursery: trio.Nursery, count: int, seed: int = 1):
        self.rate: float | None = None
        self.limit_set_at = float("inf")
        self.arrivals: list[Arrival] = []
        self.waits: list[float] = []
        self.incarnations: dict[str, LimitedInstance] = {}
        super().__init__(nursery, count, seed)
        # No team has a limit: coordinators are needed for the server alone.
        self.limit = None  # type: ignore[assignment]

    def start(self, name: str) -> None:
        super().start(name)
        self.incarnations[name] = LimitedInstance(self, self.instances[name])

    def set_server_limit(self, rate: float | None) -> None:
        """Let the server's answers name this limit from now on, None for no limit."""
        if rate is not None:
            self.limit_set_at = trio.current_time()
            for incarnation in self.incarnations.values():
                incarnation.informed_at = float("inf")
        self.rate = rate

    def broadcast(self, sender: str, notice: ServerNotice) -> None:
        for name in self.incarnations:
            if name != sender:
                self.nursery.start_soon(self._deliver_notice, sender, name, notice)

    async def _deliver_notice(
        self, sender: str, name: str, notice: ServerNotice
    ) -> None:
        incarnation = self.incarnations[name]
        await trio.sleep(self.rng.uniform(*NOTICE_DELAY_SECONDS))
        if (
            self.partitioned.isdisjoint((sender, name))
            and self.incarnations.get(name) is incarnation
        ):
            incarnation.apply_notice(notice)

    async def send_to_server(self, name: str) -> None:
        """Let an instance send a request to the server if it gets a permit."""
        incarnation = self.incarnations[name]
        state = incarnation.state
        now = trio.current_time()
        if not state.is_usable(now):
            return
        if state.is_limited:
            is_granted = await incarnation.permits.take(state, 1)
            self.waits.append(trio.current_time() - now)
            if not is_granted:
                return
        granted_at = trio.current_time()
        was_limited = state.is_limited
        await trio.sleep(self.rng.uniform(0, PERMIT_SECONDS))
        if state.is_limited and not was_limited:
            return
        if trio.current_time() - granted_at > PERMIT_SECONDS:
            return
        await self._exchange(name, incarnation)

    async def _exchange(self, name: str, incarnation: LimitedInstance) -> None:
        sent_at = trio.current_time()
        await trio.sleep(LATENCY_SECONDS)
        if name not in self.instances or self.incarnations.get(name) is not incarnation:
            return
        self.arrivals.append(
            Arrival(trio.current_time(), name, incarnation.informed_at)
        )
        is_long = self.rng.random() < 0.1
        rate = self.rate
        await trio.sleep(ANSWER_SECONDS[is_long])
        if self.incarnations.get(name) is not incarnation:
            return
        if rate is not None and rate == self.rate:
            incarnation.informed_at = min(incarnation.informed_at, trio.current_time())
        marks = AnswerHeaders(None, False, None, None, rate)
        incarnation.directives.apply_answer(incarnation.state, 200, marks, sent_at)

    async def send_requests_to_server(
        self, per_second: float, seconds: float, only: str = ""
    ) -> None:
        """Send requests to instances drawn at random, or only to one."""
        until = trio.current_time() + seconds
        while trio.current_time() < until:
            await trio.sleep(self.rng.expovariate(per_second))
            name = only or self.rng.choice(list(self.members))
            if name in self.instances:
                self.nursery.start_soon(self.send_to_server, name)

    def measure_fullest_server_window(
        self, rate: float, until: float = float("inf")
    ) -> float:
        """Return the requests in the fullest window as a share of its bound.

        Only requests of instances that already know the present limit count.
        """
        bound = LIMIT_SHARE * rate * LIMIT_WINDOW_SECONDS + LIMIT_SLACK
        window: deque[float] = deque()
        fullest = 0
        for arrival in self.arrivals:
            is_bound = (
                self.limit_set_at
                <= arrival.informed_at
                <= arrival.at - REACTION_SECONDS
            )
            if arrival.at > until or not is_bound:
                continue
            window.append(arrival.at)
            while arrival.at - window[0] > LIMIT_WINDOW_SECONDS:
                window.popleft()
            if arrival.at >= self.limit_set_at + LIMIT_SETTLED_SECONDS:
                fullest = max(fullest, len(window))
        return fullest / bound

    def count_arrivals(self, since: float, until: float) -> int:
        return sum(1 for arrival in self.arrivals if since <= arrival.at < until)
