"""Enforce the limit of a team or a backend server over all instances together.

With N instances, each accrues 1/N of a second's allowance of every team per second. It
transfers this time to the instance that it assumes to be the team's coordinator, and
asks that instance before each request. Any allowance that is granted was accrued
before, exactly once, and expires with age. The limit therefore holds whichever
instance is assumed to be the coordinator, and under partitions, crashes and restarts:
a fault makes the allowance smaller, never larger.

With many instances, a fixed part of the limit for each would be less than one long
prompt, and could not follow a team that sends many times its usual load.
"""

from __future__ import annotations

__all__ = [
    "Accrual",
    "AccruedTime",
    "Allowance",
    "AllowanceBounds",
    "AllowanceUnit",
    "Denied",
    "Granted",
    "Ledger",
    "TimeSpan",
    "count_hash_slots",
    "find_hash_slot",
    "measure_cost",
    "plan_accrual",
    "rank_coordinators",
]

import math
from collections import deque
from collections.abc import Mapping
from enum import StrEnum
from typing import NamedTuple

import xxhash

from ashpond.decisions.fleetlinks import Member
from ashpond.decisions.placement import rank_by_rendezvous

# An unused grant is refunded within this time (seconds).
REFUND_SECONDS = 0.25
# Accrued time is recorded in steps of this length (seconds).
STEP_SECONDS = 0.125
# Refunds and partly elapsed steps may still count in windows up to this much later.
MARGIN_SECONDS = REFUND_SECONDS + STEP_SECONDS
# Allowance is retained for at least this time, so that a team can save up for a long
# prompt (seconds). Where the bound is too tight for that, the accrual rate is lowered.
MIN_RETENTION_SECONDS = 1.0
MAX_RETENTION_SECONDS = 600.0
# Accrued time that could not be transferred is kept for this long (seconds).
MAX_PENDING_SECONDS = 1.0
# If a team's demand is twice its accrual rate, its requests are denied at random while
# less than this share of its capacity remains, with a probability that rises as the
# remainder falls. Without this, short requests would use up what long ones need. One
# share per priority, the highest priority first: it is denied last.
EARLY_DENIAL_SHARES = (0.2, 0.3, 0.4)
# Time constant of the average of a team's demand (seconds).
DEMAND_AVERAGE_SECONDS = 2.0
# Below the denial threshold, requests that cost at least this share of the capacity
# have two thirds of the smallest ones' chance: more callers are served, and long
# prompts are not starved.
LARGE_REQUEST_SHARE = 0.05
# A retry before this time would find no more allowance (seconds).
MIN_RETRY_SECONDS = 0.05
# Retries are planned as if a coordinator received at least this share of the time.
MIN_PLANNED_SHARE = 0.05
# There is one hash slot, and so one coordinator, for this many instances.
INSTANCES_PER_HASH_SLOT = 100
# Candidates for coordinator of a hash slot, from as many failure domains as possible.
COORDINATOR_CANDIDATES = 4


class AllowanceUnit(StrEnum):
    """The unit that a limit counts."""

    REQUESTS = "requests"
    TOKENS = "tokens"
    # Requests of all teams together to one backend server.
    SERVER_REQUESTS = "server_requests"


class Allowance(NamedTuple):
    """A limit of ``rate`` per second and an additional ``burst``, in ``unit``.

    A request that does not state its token count is charged ``untold_tokens``.
    """

    rate: float
    burst: float = 0.0
    unit: AllowanceUnit = AllowanceUnit.REQUESTS
    untold_tokens: int = 1


class AllowanceBounds(NamedTuple):
    """The tolerance within which limits are enforced.

    In any ``window`` (seconds) a team may use its limit, plus ``overage`` as a share
    of the limit, plus ``slack`` in the limit's unit.
    """

    window: float = 8.0
    overage: float = 0.0
    slack: float = 0.0


class Accrual(NamedTuple):
    """The allowance a team accrues per second, and how long it is retained."""

    rate: float
    retention_seconds: float


class TimeSpan(NamedTuple):
    """A span of accrued time; both ends are clock readings in seconds."""

    begin: float
    end: float


class Granted(NamedTuple):
    """Permission to run a request, at a cost in the limit's unit."""

    cost: float


class Denied(NamedTuple):
    """Denial of a request; ``retry_after`` is None if no retry can succeed.

    ``remaining`` is the team's allowance at the coordinator, ``share`` the share of
    the fleet's time that the coordinator receives.
    """

    retry_after: float | None
    remaining: float
    share: float


def measure_cost(allowance: Allowance, tokens: int | None) -> int:
    """Return the cost of one attempt of a request, in the limit's unit.

    :param tokens: the token count that the request states, None if it states none.
    """
    if allowance.unit is not AllowanceUnit.TOKENS:
        return 1
    return allowance.untold_tokens if tokens is None else tokens


def plan_accrual(allowance: Allowance, bounds: AllowanceBounds) -> Accrual:
    """Return the accrual that keeps the use in every window within its bound.

    Allowance granted in a window was accrued in it, retained from before, or was being
    refunded when the window began. A team whose demand always exceeds its limit gets
    its limit in each window; overage and slack make room for what it retains.
    """
    limit = allowance.rate * bounds.window + allowance.burst
    bound = limit * (1 + bounds.overage) + bounds.slack
    min_span = bounds.window + MIN_RETENTION_SECONDS + MARGIN_SECONDS
    rate = min(limit / bounds.window, bound / min_span)
    capacity = bound / rate - bounds.window - MARGIN_SECONDS
    return Accrual(rate, min(capacity, MAX_RETENTION_SECONDS))


def count_hash_slots(instances: int) -> int:
    """Return the number of hash slots that teams are distributed over."""
    return max(1, math.ceil(instances / INSTANCES_PER_HASH_SLOT))


def find_hash_slot(team: str, hash_slots: int) -> int:
    """Return the hash slot of a team; its coordinator has the team's account."""
    return xxhash.xxh3_64_intdigest(team.encode()) % hash_slots


def rank_coordinators(hash_slot: int, members: Mapping[str, Member]) -> list[Member]:
    """Return the candidates for coordinator of a hash slot, the first choice first.

    The order is the same at all instances, the links with most bandwidth first. The
    candidates are in different failure domains where possible, so that one stays
    reachable when a domain is cut off.
    """
    ranked = [members[name] for name in rank_by_rendezvous(hash_slot, list(members))]
    ranked.sort(key=lambda member: -member.link_mbps)
    domains: set[str] = set()
    first: list[Member] = []
    rest: list[Member] = []
    for member in ranked:
        is_new = member.failure_domain not in domains
        (first if is_new else rest).append(member)
        domains.add(member.failure_domain)
    return (first + rest)[:COORDINATOR_CANDIDATES]


def _compute_grant_threshold(
    accrual: Accrual, demand_ratio: float, cost: float, priority: int
) -> float:
    """Return the remaining allowance from which a request is always granted.

    :param demand_ratio: the team's demand, as a multiple of its accrual rate.
    """
    capacity = accrual.rate * accrual.retention_seconds
    threshold = (
        EARLY_DENIAL_SHARES[min(priority, len(EARLY_DENIAL_SHARES) - 1)] * capacity
    )
    size = min(1.0, cost / (LARGE_REQUEST_SHARE * capacity))
    return threshold * (2 + size) / 3 * min(1.0, max(0.0, demand_ratio - 1))


class AccruedTime:
    """The time that one instance has accrued and not yet transferred.

    :param now: when the instance started; time before it was accrued by its previous
        incarnation.
    """

    def __init__(self, now: float):
        self._taken_until = now

    def take(self, now: float) -> TimeSpan | None:
        """Return the time accrued since the last call, None if there is none."""
        begin = max(self._taken_until, now - MAX_PENDING_SECONDS)
        if now <= begin:
            return None
        self._taken_until = now
        return TimeSpan(begin, now)


class _Account:
    """The allowance and the demand of one team at a coordinator."""

    def __init__(self) -> None:
        self.remaining = float("inf")
        self.received_at_update = 0.0
        self.promised_until = float("-inf")
        self.demand = 0.0
        self.demand_at = 0.0
        self.accrual: Accrual | None = None

    def add_demand(self, cost: float, now: float) -> float:
        """Add a request's cost; return the recent average demand per second."""
        self.demand *= math.exp((self.demand_at - now) / DEMAND_AVERAGE_SECONDS)
        self.demand += cost
        self.demand_at = now
        return self.demand / DEMAND_AVERAGE_SECONDS


class Ledger:
    """The accounts of the teams of one hash slot, at an instance that coordinates it.

    Times are on this instance's clock.
    """

    def __init__(self) -> None:
        self._steps: deque[tuple[int, float]] = deque()
        self._received = 0.0
        self._accounts: dict[tuple[str, AllowanceUnit], _Account] = {}

    @property
    def account_count(self) -> int:
        """The number of teams that have an account."""
        return len(self._accounts)

    def receive(self, span: TimeSpan, share: float, now: float) -> None:
        """Credit time accrued by an instance, which is ``share`` of the fleet.

        Time older than :data:`MAX_PENDING_SECONDS` has expired and is not credited.
        """
        begin = max(span.begin, now - MAX_PENDING_SECONDS)
        end = min(span.end, now)
        if end <= begin:
            return
        self._received += (end - begin) * share
        while begin < end:
            step = math.floor(begin / STEP_SECONDS)
            until = min(end, (step + 1) * STEP_SECONDS)
            self._add_step(step, (until - begin) * share)
            begin = until
        oldest = math.floor((now - MAX_RETENTION_SECONDS) / STEP_SECONDS)
        while self._steps and self._steps[0][0] < oldest:
            self._steps.popleft()

    def _add_step(self, step: int, accrued: float) -> None:
        later = []
        while self._steps and self._steps[-1][0] > step:
            later.append(self._steps.pop())
        if self._steps and self._steps[-1][0] == step:
            accrued += self._steps.pop()[1]
        self._steps.append((step, accrued))
        self._steps.extend(reversed(later))

    def sum_received(self, seconds: float, now: float) -> float:
        """Return how much of the fleet's time of the last ``seconds`` was received."""
        oldest = (now - seconds) / STEP_SECONDS
        total = 0.0
        for step, accrued in reversed(self._steps):
            if step < oldest:
                break
            total += accrued
        return total

    def get_remaining(
        self, team: str, allowance: Allowance, accrual: Accrual, now: float
    ) -> float:
        """Return the remaining allowance of a team."""
        return self._update_account(team, allowance.unit, accrual, now).remaining

    def _update_account(
        self, team: str, unit: AllowanceUnit, accrual: Accrual, now: float
    ) -> _Account:
        key = team, unit
        account = self._accounts.get(key)
        if account is None:
            account = self._accounts[key] = _Account()
        accrued = (self._received - account.received_at_update) * accrual.rate
        account.received_at_update = self._received
        account.accrual = accrual
        account.remaining = min(
            account.remaining + accrued, self._compute_capacity(accrual, now)
        )
        return account

    def spend(
        self,
        team: str,
        allowance: Allowance,
        accrual: Accrual,
        cost: float,
        priority: int,
        timeout: float,
        draw: float,
        now: float,
    ) -> Granted | Denied:
        """Charge a request to its team's account, or deny it.

        :param priority: 0 is the highest.
        :param timeout: how long the client waits (seconds).
        :param draw: a random number from 0 to 1, which decides on random denials.
        """
        account = self._update_account(team, allowance.unit, accrual, now)
        share = self.compute_received_share(now)
        demand_ratio = account.add_demand(cost, now) / (accrual.rate * share or 1.0)
        threshold = _compute_grant_threshold(accrual, demand_ratio, cost, priority)
        if account.remaining >= max(cost, draw * threshold):
            account.remaining -= cost
            return Granted(cost)
        retry_after = self._plan_retry(account, accrual, share, cost, timeout, now)
        return Denied(retry_after, account.remaining, share)

    def refund(
        self, team: str, allowance: Allowance, accrual: Accrual, cost: float, now: float
    ) -> None:
        """Credit a grant that was not used, within :data:`REFUND_SECONDS` of it."""
        account = self._update_account(team, allowance.unit, accrual, now)
        account.remaining = min(
            account.remaining + cost, self._compute_capacity(accrual, now)
        )

    def compute_received_share(self, now: float) -> float:
        """Return the share of the fleet's recent time that was received here."""
        seconds = MAX_PENDING_SECONDS + STEP_SECONDS
        return min(1.0, self.sum_received(seconds, now) / seconds)

    def _plan_retry(
        self,
        account: _Account,
        accrual: Accrual,
        share: float,
        cost: float,
        timeout: float,
        now: float,
    ) -> float | None:
        """Return the seconds after which a denied request should be retried.

        Each client that waits long enough gets a time of its own, after the times
        given to earlier ones, so that they do not all retry together.
        """
        if cost > accrual.rate * accrual.retention_seconds:
            return None
        accrued = max(share, MIN_PLANNED_SHARE) * accrual.rate
        begin = max(now, account.promised_until)
        missing = max(0.0, cost - account.remaining) if begin == now else cost
        retry_after = max(MIN_RETRY_SECONDS, begin + missing / accrued - now)
        if retry_after <= timeout:
            account.promised_until = now + retry_after
        return retry_after

    def remove_full_accounts(self, now: float) -> None:
        """Remove accounts that are full: a new account starts out full as well."""
        for key, account in list(self._accounts.items()):
            assert account.accrual is not None
            self._update_account(*key, account.accrual, now)
            capacity = self._compute_capacity(account.accrual, now)
            if account.remaining >= capacity and account.promised_until < now:
                del self._accounts[key]

    def _compute_capacity(self, accrual: Accrual, now: float) -> float:
        """Return the upper limit of a team's remaining allowance here."""
        return self.sum_received(accrual.retention_seconds, now) * accrual.rate
