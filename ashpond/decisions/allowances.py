"""Keep the use of all instances together within a limit: a team's, or a server's.

Time is what is shared out: in each second each instance earns one N-th of a second's
allowance of every team, N being the number of instances. It hands that time to the
instance that it takes for the keeper of a team, and asks it before each request. What
is granted anywhere was earned before, once, and lapses with its age. So the limit holds
whomever an instance takes for the keeper, whatever is cut off, ends, or begins anew;
what goes wrong makes the allowance smaller, never larger.

It answers a load of long prompts at many instances, where a part of the limit for each
instance would not hold one of them, and a team that sends many times its usual.
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

# What was granted and not used is given back within this (seconds).
REFUND_SECONDS = 0.25
# Earned time is kept by steps of this length (seconds).
STEP_SECONDS = 0.125
# What is given back, and a step that has begun, count in one more window than theirs.
MARGIN_SECONDS = REFUND_SECONDS + STEP_SECONDS
# A team can always save up what it earns in this time, so that a long prompt fits
# (seconds). Where the bound leaves no room for that, it earns more slowly.
MIN_RETENTION_SECONDS = 1.0
# Nothing is saved for longer (seconds).
MAX_RETENTION_SECONDS = 600.0
# Time that could not be handed over is kept for so long (seconds).
MAX_PENDING_SECONDS = 1.0
# A team that asks for twice what it earns: below this share of what it can save, its
# requests are refused at random, the more the less there is, so that long ones find
# room beside short ones; the most urgent are refused last.
EARLY_DENIAL_SHARES = (0.2, 0.3, 0.4)
# What a team asks for is averaged over about so long (seconds).
DEMAND_AVERAGE_SECONDS = 2.0
# A request of this share of what a team can save, and larger ones, have two thirds of
# the chance of the smallest: more callers are served, and long prompts not starved.
LARGE_REQUEST_SHARE = 0.05
# A client that comes back sooner finds nothing more (seconds).
MIN_RETRY_SECONDS = 0.05
# A keeper that gets hardly any of the fleet's time plans returns as with this share.
MIN_PLANNED_SHARE = 0.05
# One keeper's share of the fleet (instances).
INSTANCES_PER_HASH_SLOT = 100
# So many instances, of as many failure domains as possible, may be a slot's keeper.
COORDINATOR_CANDIDATES = 4


class AllowanceUnit(StrEnum):
    """What a limit counts."""

    REQUESTS = "requests"
    TOKENS = "tokens"
    # What all teams together may send to one backend server.
    SERVER_REQUESTS = "server_requests"


class Allowance(NamedTuple):
    """A team's limit: ``rate`` a second and a ``burst`` besides, in ``unit``.

    A request that does not tell its tokens counts as ``untold_tokens``.
    """

    rate: float
    burst: float = 0.0
    unit: AllowanceUnit = AllowanceUnit.REQUESTS
    untold_tokens: int = 1


class AllowanceBounds(NamedTuple):
    """How exactly limits are to be kept.

    In any ``window`` (seconds) a team may use what its limit allows, the ``overage``
    of it (a share), and ``slack`` besides (in the limit's unit).
    """

    window: float = 8.0
    overage: float = 0.0
    slack: float = 0.0


class Accrual(NamedTuple):
    """What a team earns in a second, and for how long it saves that (seconds)."""

    rate: float
    retention_seconds: float


class TimeSpan(NamedTuple):
    """Time that an instance has earned, from and to a moment (seconds)."""

    begin: float
    end: float


class Granted(NamedTuple):
    """A request may run, at this cost in the limit's unit."""

    cost: float


class Denied(NamedTuple):
    """A request may not run; ``retry_after`` is None if a repeat never may.

    ``left`` is what the keeper had, ``share`` the part of all time that it gets.
    """

    retry_after: float | None
    remaining: float
    share: float


def measure_cost(allowance: Allowance, tokens: int | None) -> int:
    """Return what one run of a request counts.

    :param tokens: those that it told, None if it told none.
    """
    if allowance.unit is not AllowanceUnit.TOKENS:
        return 1
    return allowance.untold_tokens if tokens is None else tokens


def plan_accrual(allowance: Allowance, bounds: AllowanceBounds) -> Accrual:
    """Return how a team earns and saves so that no window holds more than its bound.

    What is granted in a window was earned in it, or saved up before, or was on its way
    back when it began. A team that asks for too much all the time gets what its limit
    allows for a window, window after window; what may be used beyond the limit leaves
    room for what it saves.
    """
    limit = allowance.rate * bounds.window + allowance.burst
    bound = limit * (1 + bounds.overage) + bounds.slack
    min_span = bounds.window + MIN_RETENTION_SECONDS + MARGIN_SECONDS
    rate = min(limit / bounds.window, bound / min_span)
    capacity = bound / rate - bounds.window - MARGIN_SECONDS
    return Accrual(rate, min(capacity, MAX_RETENTION_SECONDS))


def count_hash_slots(instances: int) -> int:
    """Return among how many keepers the teams are shared out."""
    return max(1, math.ceil(instances / INSTANCES_PER_HASH_SLOT))


def find_hash_slot(team: str, hash_slots: int) -> int:
    """Return the slot whose keeper has a team's account."""
    return xxhash.xxh3_64_intdigest(team.encode()) % hash_slots


def rank_coordinators(hash_slot: int, members: Mapping[str, Member]) -> list[Member]:
    """Return who may be the keeper of a slot, the first choice first.

    All instances come to the same order, widest links first; the candidates are of
    different failure domains, so that one is reached when a domain is cut off.
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
    """Return what has to be left for a request to be granted for certain.

    :param pressure: what the team asks for, as a share of what it earns.
    """
    capacity = accrual.rate * accrual.retention_seconds
    threshold = (
        EARLY_DENIAL_SHARES[min(priority, len(EARLY_DENIAL_SHARES) - 1)] * capacity
    )
    size = min(1.0, cost / (LARGE_REQUEST_SHARE * capacity))
    return threshold * (2 + size) / 3 * min(1.0, max(0.0, demand_ratio - 1))


class AccruedTime:
    """The time that one instance has earned and not handed over.

    :param now: when it started; an earlier life of it has earned what was before.
    """

    def __init__(self, now: float):
        self._taken_until = now

    def take(self, now: float) -> TimeSpan | None:
        """Return what has been earned since the last call, None if hardly anything."""
        begin = max(self._taken_until, now - MAX_PENDING_SECONDS)
        if now <= begin:
            return None
        self._taken_until = now
        return TimeSpan(begin, now)


class _Account:
    """What one team has left at a keeper."""

    def __init__(self) -> None:
        self.remaining = float("inf")
        self.received_at_update = 0.0
        self.promised_until = float("-inf")
        self.demand = 0.0
        self.demand_at = 0.0
        self.accrual: Accrual | None = None

    def add_demand(self, cost: float, now: float) -> float:
        """Take what is asked for; return how much is in a second of late."""
        self.demand *= math.exp((self.demand_at - now) / DEMAND_AVERAGE_SECONDS)
        self.demand += cost
        self.demand_at = now
        return self.demand / DEMAND_AVERAGE_SECONDS


class Ledger:
    """The accounts of the teams of one slot, at an instance that is their keeper.

    Times are on this instance's clock.
    """

    def __init__(self) -> None:
        self._steps: deque[tuple[int, float]] = deque()
        self._received = 0.0
        self._accounts: dict[tuple[str, AllowanceUnit], _Account] = {}

    @property
    def account_count(self) -> int:
        """How many teams have an account."""
        return len(self._accounts)

    def receive(self, span: TimeSpan, share: float, now: float) -> None:
        """Take time that an instance has earned, which is ``share`` of the fleet.

        What was earned long ago may have lapsed on its way.
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
        """Return how much of the fleet's time of the last ``seconds`` has come here."""
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
        """Return what a team has left."""
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
        """Grant a request what it costs, or say when to come back.

        :param urgency: 0 is the most urgent.
        :param patience: how long its client will wait (seconds).
        :param draw: a random number from 0 to 1.
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
        """Take back a grant that was not used, soon after it was made."""
        account = self._update_account(team, allowance.unit, accrual, now)
        account.remaining = min(
            account.remaining + cost, self._compute_capacity(accrual, now)
        )

    def compute_received_share(self, now: float) -> float:
        """Return the part of the fleet's time that comes here at present."""
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
        """Return when a request that was refused may come back.

        Each one that will gets a time of its own, after those told before it.
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
        """Forget the accounts that are full, as new ones are."""
        for key, account in list(self._accounts.items()):
            assert account.accrual is not None
            self._update_account(*key, account.accrual, now)
            capacity = self._compute_capacity(account.accrual, now)
            if account.remaining >= capacity and account.promised_until < now:
                del self._accounts[key]

    def _compute_capacity(self, accrual: Accrual, now: float) -> float:
        """Return the most that a team may have left here."""
        return self.sum_received(accrual.retention_seconds, now) * accrual.rate
