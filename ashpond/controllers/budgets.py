"""The retry budgets that all instances share, one per service.

An instance retries on rights that it holds (:mod:`ashpond.decisions.retryrights`).
Where failures use them up, it asks peers for some of theirs, ahead of need if it can.
"""

from __future__ import annotations

__all__ = ["RetryBudgets", "ServiceBudget", "make_lone_budget"]

import math
from collections.abc import Callable, Container
from typing import TYPE_CHECKING

import trio

from ashpond.controllers.rightslinks import NeededRights, RightsLinks
from ashpond.decisions.budget import AttemptCounts, BudgetEstimate
from ashpond.decisions.retryrights import (
    GRANT_SECONDS,
    Entitlement,
    GrantId,
    InstancePeak,
    RetryRights,
    measure_joining_seconds,
)
from ashpond.gateway.settings import GatewayBounds

if TYPE_CHECKING:
    import random

    from ashpond.clients.peer import PeerStream
    from ashpond.clients.peermessages import RetryRightsQuery
    from ashpond.controllers.coordinatorlink import Connect
    from ashpond.fleet.members import Members
    from ashpond.gateway.decisionlog import DecisionLog

# How long a retry waits for rights from peers, which usually takes a few ms (seconds).
WAIT_SECONDS = 0.1
# The pause between two rounds of queries: the least, and the longest after rounds that
# brought nothing (seconds).
MIN_PAUSE_SECONDS = 0.08
MAX_PAUSE_SECONDS = 1.0
# Instances of a new fleet have found each other by then (seconds).
FIRST_START_SECONDS = 2.0


class ServiceBudget:
    """The budget of one service at this instance.

    :param get_bounds: returns the bounds in force.
    :param get_entitlement: returns what this instance may claim now.
    :param ask: asks peers for rights soon; returns whether any could be asked.
    :param started_at: when this instance started.
    """

    def __init__(
        self,
        get_bounds: Callable[[], GatewayBounds],
        get_entitlement: Callable[[], Entitlement],
        ask: Callable[[], bool],
        started_at: float,
    ):
        bounds = get_bounds()
        self.rights = RetryRights(bounds.retry_share, bounds.retry_window_s, started_at)
        self.estimate = BudgetEstimate()
        self._get_bounds = get_bounds
        self._get_entitlement = get_entitlement
        self._ask = ask
        self._waiting = 0
        self._asked = trio.Event()

    def note_first_attempt(self, now: float) -> None:
        """Count the first attempt of a request."""
        self.rights.note_first_attempt(now)

    async def take(self, until: float) -> bool:
        """Use the right to one retry; return whether there was one.

        :param until: when to stop waiting for rights of peers at the latest.
        """
        if self._take_now():
            if self.count_needed() > 0:
                self._ask()
            return True
        self._waiting += 1
        try:
            with trio.move_on_at(min(until, trio.current_time() + WAIT_SECONDS)):
                while self._ask():
                    await self._asked.wait()
                    if self._take_now():
                        return True
        finally:
            self._waiting -= 1
        return False

    def _take_now(self) -> bool:
        return self.rights.take(self._get_entitlement(), trio.current_time())

    def note_asked(self) -> None:
        """Wake the retries that wait, after a round of queries."""
        self._asked.set()
        self._asked = trio.Event()

    def count_needed(self) -> int:
        """Return how many rights are missing for the retries expected soon."""
        now = trio.current_time()
        recent = self.rights.count_recent(GRANT_SECONDS, now)
        return self._waiting + recent - self.measure_left()

    def measure_left(self) -> int:
        """Return how many retries this instance may send now."""
        return self.rights.measure_left(self._get_entitlement(), trio.current_time())

    def count_own(self) -> AttemptCounts:
        """Return this instance's attempts in the window."""
        now = trio.current_time()
        return AttemptCounts(self.rights.count_first(now), self.rights.count_sent(now))

    def estimate_fleet_left(self) -> float:
        """Return how many retries all instances may still send, by their reports."""
        bounds = self._get_bounds()
        now = trio.current_time()
        return self.estimate.measure_left(
            self.count_own(),
            bounds.retry_share,
            bounds.retry_slack,
            bounds.retry_window_s,
            now,
        )

    def has_reports(self) -> bool:
        """Return whether any peer has reported its attempts in the window."""
        window = self._get_bounds().retry_window_s
        return self.estimate.has_reports(window, trio.current_time())


class RetryBudgets:
    """The rights of this instance, and the exchange of rights with peers.

    :param get_bounds: returns the bounds in force.
    :param get_members: returns the instances that share the budgets.
    :param is_first_start: whether no instance has served before.
    :param connect: opens a connection to a peer, by default to its address.
    """

    def __init__(
        self,
        get_bounds: Callable[[], GatewayBounds],
        get_members: Callable[[], Members],
        log: DecisionLog,
        rng: random.Random,
        *,
        is_first_start: bool = False,
        connect: Connect | None = None,
    ):
        self.by_service: dict[str, ServiceBudget] = {}
        self._get_bounds = get_bounds
        self._get_members = get_members
        self._window = get_bounds().retry_window_s
        self._started_at = now = trio.current_time()
        # From when on this instance has a part of the slack, and from when on what it
        # knows covers a whole window.
        self._has_part_from = now
        self._complete_from = now
        self._complete_from += measure_joining_seconds(self._window)
        if is_first_start:
            self.note_first_start()
        self._peak = InstancePeak()
        self._links = RightsLinks(get_members, log, rng, connect)
        self._is_running = False
        self._next_round_at = float("-inf")
        self._needed = trio.Event()

    def note_first_start(self) -> None:
        """Record that no instance has served before, so that no right has been used."""
        self._has_part_from = self._started_at + FIRST_START_SECONDS
        self._complete_from = self._started_at

    def get(self, service: str) -> ServiceBudget:
        """Return the budget of a service."""
        budget = self.by_service.get(service)
        if budget is None:
            budget = self.by_service[service] = ServiceBudget(
                self._get_bounds,
                self.find_entitlement,
                self._ask_soon,
                self._started_at,
            )
        return budget

    def adopt_bounds(self) -> None:
        """Apply the bounds now in force; what was used before still counts."""
        bounds = self._get_bounds()
        if bounds.retry_window_s > self._window:
            # Nothing is known of the time that only the longer window covers.
            joining = measure_joining_seconds(bounds.retry_window_s)
            complete_from = trio.current_time() + joining
            self._complete_from = max(self._complete_from, complete_from)
        self._window = bounds.retry_window_s
        for budget in self.by_service.values():
            budget.rights.share = bounds.retry_share
            budget.rights.window = bounds.retry_window_s

    def find_entitlement(self) -> Entitlement:
        """Return what this instance may claim of each budget now."""
        now = trio.current_time()
        members = self._get_members()
        seconds = measure_joining_seconds(self._window)
        count = self._peak.update(members.count(), seconds, now)
        is_member = members.own.name in members.by_name
        part = self._get_bounds().retry_slack / count
        return Entitlement(
            part if is_member and now >= self._has_part_from else 0.0,
            is_complete=now >= self._complete_from,
        )

    def list_own(self) -> dict[str, AttemptCounts]:
        """Return this instance's attempts in the present window, by service."""
        return {name: budget.count_own() for name, budget in self.by_service.items()}

    def note_peer(self, service: str, peer: str, counts: AttemptCounts) -> None:
        """Record the counts of one incarnation of a peer."""
        self.get(service).estimate.note_peer(peer, counts, trio.current_time())

    def keep_peers(self, peers: Container[str]) -> None:
        """Remove all counts but those of ``peers``, own or forwarded by other peers."""
        for budget in self.by_service.values():
            budget.estimate.keep_peers(peers)

    def measure_left(self, service: str) -> float:
        """Return how many streams a weight load may cut off, at one retry each."""
        budget = self.get(service)
        if budget.has_reports():
            return budget.estimate_fleet_left()
        return budget.measure_left()

    async def run(self) -> None:
        """Ask peers for rights while they are needed, until cancelled."""
        self._is_running = True
        pause = MIN_PAUSE_SECONDS
        while True:
            with trio.move_on_after(self._find_tidy_time()):
                await self._needed.wait()
            self._needed = trio.Event()
            needed = self._list_needed()
            returned = self._drop_expired()
            received = 0
            if needed or returned:
                received = await self._links.ask(needed, returned, self._receive)
            for budget in self.by_service.values():
                budget.note_asked()
            if needed:
                pause = MIN_PAUSE_SECONDS if received else pause * 2
                pause = min(pause, MAX_PAUSE_SECONDS)
                self._next_round_at = trio.current_time() + pause
                await trio.sleep(pause)

    async def serve(self, first: RetryRightsQuery, stream: PeerStream) -> None:
        """Grant a peer rights until its connection ends.

        :raises FrameError: if the peer sends an invalid message.
        """
        await self._links.serve(first, stream, self._grant, self._take_back)

    def _ask_soon(self) -> bool:
        is_soon = self._next_round_at <= trio.current_time() + WAIT_SECONDS
        if not self._is_running or not is_soon or not self._links.can_ask():
            return False
        self._needed.set()
        return True

    def _find_tidy_time(self) -> float:
        """Return after which time received rights may have expired (seconds)."""
        has_received = any(b.rights.has_received for b in self.by_service.values())
        return GRANT_SECONDS if has_received else math.inf

    def _list_needed(self) -> NeededRights:
        needed = {name: b.count_needed() for name, b in self.by_service.items()}
        return {name: count for name, count in needed.items() if count > 0}

    def _drop_expired(self) -> list[tuple[str, GrantId, int]]:
        now = trio.current_time()
        return [
            (service, grant_id, count)
            for service, budget in self.by_service.items()
            for grant_id, count in budget.rights.drop_expired(now)
        ]

    def _receive(
        self, service: str, grant_id: GrantId, count: int, asked_at: float
    ) -> None:
        now = trio.current_time()
        self.get(service).rights.receive(grant_id, count, asked_at, now)

    def _grant(self, service: str, grant_id: GrantId, wanted: int) -> int:
        rights = self.get(service).rights
        now = trio.current_time()
        return rights.grant(grant_id, wanted, self.find_entitlement(), now)

    def _take_back(self, service: str, grant_id: GrantId, count: int) -> None:
        self.get(service).rights.take_back(grant_id, count)


def make_lone_budget(share: float, slack: float, window: float) -> ServiceBudget:
    """Return the budget of an instance that has no peers."""
    bounds = GatewayBounds(retry_share=share, retry_slack=slack, retry_window_s=window)
    entitlement = Entitlement(slack, is_complete=True)
    return ServiceBudget(lambda: bounds, lambda: entitlement, lambda: False, math.inf)
