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
    "Allowance",
    "AllowanceBounds",
    "AllowanceUnit",
    "Earnings",
    "Granted",
    "Ledger",
    "Pace",
    "Short",
    "TimeSpan",
    "count_slots",
    "find_slot",
    "list_keepers",
    "measure_cost",
    "plan_pace",
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
RETURN_SECONDS = 0.25
# Earned time is kept by steps of this length (seconds).
STEP_SECONDS = 0.125
# What is given back, and a step that has begun, count in one more window than theirs.
MARGIN_SECONDS = RETURN_SECONDS + STEP_SECONDS
# A team can always save up what it earns in this time, so that a long prompt fits
# (seconds). Where the bound leaves no room for that, it earns more slowly.
LEAST_SAVED_SECONDS = 1.0
# Nothing is saved for longer (seconds).
MOST_SAVED_SECONDS = 600.0
# Time that could not be handed over is kept for so long (seconds).
MOST_PENDING_SECONDS = 1.0
# A team that asks for twice what it earns: below this share of what it can save, its
# requests are refused at random, the more the less there is, so that long ones find
# room beside short ones; the most urgent are refused last.
EASE_SHARES = (0.2, 0.3, 0.4)
# What a team asks for is averaged over about so long (seconds).
PRESSURE_SECONDS = 2.0
# A request of this share of what a team can save, and larger ones, have two thirds of
# the chance of the smallest: more callers are served, and long prompts not starved.
LARGE_SHARE = 0.05
# A client that comes back sooner finds nothing more (seconds).
LEAST_RETRY_SECONDS = 0.05
# A keeper that gets hardly any of the fleet's time plans returns as with this share.
LEAST_PLANNED_SHARE = 0.05
# One keeper's share of the fleet (instances).
INSTANCES_PER_SLOT = 100
# So many instances, of as many failure domains as possible, may be a slot's keeper.
CANDIDATES = 4


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


class Pace(NamedTuple):
    """What a team earns in a second, and for how long it saves that (seconds)."""

    rate: float
    saved_seconds: float


class TimeSpan(NamedTuple):
    """Time that an instance has earned, from and to a moment (seconds)."""

    begin: float
    end: float


class Granted(NamedTuple):
    """A request may run, at this cost in the limit's unit."""

    cost: float


class Short(NamedTuple):
    """A request may not run; ``retry_after`` is None if a repeat never may.

    ``left`` is what the keeper had, ``share`` the part of all time that it gets.
    """

    retry_after: float | None
    left: float
    share: float


def measure_cost(allowance: Allowance, tokens: int | None) -> int:
    """Return what one run of a request counts.

    :param tokens: those that it told, None if it told none.
    """
    if allowance.unit is not AllowanceUnit.TOKENS:
        return 1
    return allowance.untold_tokens if tokens is None else tokens


def plan_pace(allowance: Allowance, bounds: AllowanceBounds) -> Pace:
    """Return how a team earns and saves so that no window holds more than its bound.

    What is granted in a window was earned in it, or saved up before, or was on its way
    back when it began. A team that asks for too much all the time gets what its limit
    allows for a window, window after window; what may be used beyond the limit leaves
    room for what it saves.
    """
    limit = allowance.rate * bounds.window + allowance.burst
    bound = limit * (1 + bounds.overage) + bounds.slack
    least = bounds.window + LEAST_SAVED_SECONDS + MARGIN_SECONDS
    rate = min(limit / bounds.window, bound / least)
    saved = bound / rate - bounds.window - MARGIN_SECONDS
    return Pace(rate, min(saved, MOST_SAVED_SECONDS))


def count_slots(instances: int) -> int:
    """Return among how many keepers the teams are shared out."""
    return max(1, math.ceil(instances / INSTANCES_PER_SLOT))


def find_slot(team: str, slots: int) -> int:
    """Return the slot whose keeper has a team's account."""
    return xxhash.xxh3_64_intdigest(team.encode()) % slots


def list_keepers(slot: int, members: Mapping[str, Member]) -> list[Member]:
    """Return who may be the keeper of a slot, the first choice first.

    All instances come to the same order, widest links first; the candidates are of
    different failure domains, so that one is reached when a domain is cut off.
    """
    ranked = [members[name] for name in rank_by_rendezvous(slot, list(members))]
    ranked.sort(key=lambda member: -member.link_mbps)
    domains: set[str] = set()
    first: list[Member] = []
    rest: list[Member] = []
    for member in ranked:
        is_new = member.failure_domain not in domains
        (first if is_new else rest).append(member)
        domains.add(member.failure_domain)
    return (first + rest)[:CANDIDATES]


def _find_easy(pace: Pace, pressure: float, cost: float, urgency: int) -> float:
    """Return what has to be left for a request to be granted for certain.

    :param pressure: what the team asks for, as a share of what it earns.
    """
    saved = pace.rate * pace.saved_seconds
    easy = EASE_SHARES[min(urgency, len(EASE_SHARES) - 1)] * saved
    size = min(1.0, cost / (LARGE_SHARE * saved))
    return easy * (2 + size) / 3 * min(1.0, max(0.0, pressure - 1))


class Earnings:
    """The time that one instance has earned and not handed over.

    :param now: when it started; an earlier life of it has earned what was before.
    """

    def __init__(self, now: float):
        self._handed_until = now

    def take(self, now: float) -> TimeSpan | None:
        """Return what has been earned since the last call, None if hardly anything."""
        begin = max(self._handed_until, now - MOST_PENDING_SECONDS)
        if now <= begin:
            return None
        self._handed_until = now
        return TimeSpan(begin, now)


class _Account:
    """What one team has left at a keeper."""

    def __init__(self) -> None:
        self.left = float("inf")
        self.received_before = 0.0
        self.promised_until = float("-inf")
        self.asked = 0.0
        self.asked_at = 0.0
        self.pace: Pace | None = None

    def note_asked(self, cost: float, now: float) -> float:
        """Take what is asked for; return how much is in a second of late."""
        self.asked *= math.exp((self.asked_at - now) / PRESSURE_SECONDS)
        self.asked += cost
        self.asked_at = now
        return self.asked / PRESSURE_SECONDS


class Ledger:
    """The accounts of the teams of one slot, at an instance that is their keeper.

    Times are on this instance's clock.
    """

    def __init__(self) -> None:
        self._steps: deque[tuple[int, float]] = deque()
        self._received = 0.0
        self._accounts: dict[tuple[str, AllowanceUnit], _Account] = {}

    @property
    def accounts(self) -> int:
        """How many teams have an account."""
        return len(self._accounts)

    def receive(self, span: TimeSpan, share: float, now: float) -> None:
        """Take time that an instance has earned, which is ``share`` of the fleet.

        What was earned long ago may have lapsed on its way.
        """
        begin = max(span.begin, now - MOST_PENDING_SECONDS)
        end = min(span.end, now)
        if end <= begin:
            return
        self._received += (end - begin) * share
        while begin < end:
            step = math.floor(begin / STEP_SECONDS)
            until = min(end, (step + 1) * STEP_SECONDS)
            self._add_step(step, (until - begin) * share)
            begin = until
        oldest = math.floor((now - MOST_SAVED_SECONDS) / STEP_SECONDS)
        while self._steps and self._steps[0][0] < oldest:
            self._steps.popleft()

    def _add_step(self, step: int, earned: float) -> None:
        later = []
        while self._steps and self._steps[-1][0] > step:
            later.append(self._steps.pop())
        if self._steps and self._steps[-1][0] == step:
            earned += self._steps.pop()[1]
        self._steps.append((step, earned))
        self._steps.extend(reversed(later))

    def measure_received(self, seconds: float, now: float) -> float:
        """Return how much of the fleet's time of the last ``seconds`` has come here."""
        oldest = (now - seconds) / STEP_SECONDS
        total = 0.0
        for step, earned in reversed(self._steps):
            if step < oldest:
                break
            total += earned
        return total

    def measure_left(
        self, team: str, allowance: Allowance, pace: Pace, now: float
    ) -> float:
        """Return what a team has left."""
        return self._bring_up(team, allowance.unit, pace, now).left

    def _bring_up(
        self, team: str, unit: AllowanceUnit, pace: Pace, now: float
    ) -> _Account:
        key = team, unit
        account = self._accounts.get(key)
        if account is None:
            account = self._accounts[key] = _Account()
        earned = (self._received - account.received_before) * pace.rate
        account.received_before = self._received
        account.pace = pace
        account.left = min(account.left + earned, self._measure_saved(pace, now))
        return account

    def ask(
        self,
        team: str,
        allowance: Allowance,
        pace: Pace,
        cost: float,
        urgency: int,
        patience: float,
        draw: float,
        now: float,
    ) -> Granted | Short:
        """Grant a request what it costs, or say when to come back.

        :param urgency: 0 is the most urgent.
        :param patience: how long its client will wait (seconds).
        :param draw: a random number from 0 to 1.
        """
        account = self._bring_up(team, allowance.unit, pace, now)
        share = self.measure_share(now)
        pressure = account.note_asked(cost, now) / (pace.rate * share or 1.0)
        easy = _find_easy(pace, pressure, cost, urgency)
        if account.left >= max(cost, draw * easy):
            account.left -= cost
            return Granted(cost)
        retry_after = self._plan_return(account, pace, share, cost, patience, now)
        return Short(retry_after, account.left, share)

    def give_back(
        self, team: str, allowance: Allowance, pace: Pace, cost: float, now: float
    ) -> None:
        """Take back a grant that was not used, soon after it was made."""
        account = self._bring_up(team, allowance.unit, pace, now)
        account.left = min(account.left + cost, self._measure_saved(pace, now))

    def measure_share(self, now: float) -> float:
        """Return the part of the fleet's time that comes here at present."""
        seconds = MOST_PENDING_SECONDS + STEP_SECONDS
        return min(1.0, self.measure_received(seconds, now) / seconds)

    def _plan_return(
        self,
        account: _Account,
        pace: Pace,
        share: float,
        cost: float,
        patience: float,
        now: float,
    ) -> float | None:
        """Return when a request that was refused may come back.

        Each one that will gets a time of its own, after those told before it.
        """
        if cost > pace.rate * pace.saved_seconds:
            return None
        earned = max(share, LEAST_PLANNED_SHARE) * pace.rate
        begin = max(now, account.promised_until)
        missing = max(0.0, cost - account.left) if begin == now else cost
        retry_after = max(LEAST_RETRY_SECONDS, begin + missing / earned - now)
        if retry_after <= patience:
            account.promised_until = now + retry_after
        return retry_after

    def sweep(self, now: float) -> None:
        """Forget the accounts that are full, as new ones are."""
        for key, account in list(self._accounts.items()):
            assert account.pace is not None
            self._bring_up(*key, account.pace, now)
            saved = self._measure_saved(account.pace, now)
            if account.left >= saved and account.promised_until < now:
                del self._accounts[key]

    def _measure_saved(self, pace: Pace, now: float) -> float:
        """Return the most that a team may have left here."""
        return self.measure_received(pace.saved_seconds, now) * pace.rate
