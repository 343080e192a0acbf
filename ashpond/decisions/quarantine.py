"""Which requests end the servers that run them, by the ends that instances have seen.

A request is named by its fingerprint, an end by the start of the server that ended. A
set of such pairs unites what instances tell each other without counting an end twice,
whoever has seen it and however often it is told; a counter would not. A server that
ends takes all its requests with it: one that has been answered whole since is not the
cause, one that is sent anew, ends the next server and is never answered is. Where
several were there at the same ends, the one that was there at most of them explains
them; what an explained end says of the others counts no more.
"""

from __future__ import annotations

__all__ = [
    "QUARANTINE_ENDS",
    "Fingerprint",
    "ServerEnd",
    "ServerId",
    "Standing",
    "Suspicions",
]

import math
from collections.abc import Callable, Mapping, Sequence
from enum import StrEnum
from typing import Annotated, NamedTuple

import msgspec

from ashpond.bounds import Amount, Count
from ashpond.decisions.fingerprints import FINGERPRINT_BYTES

# A request and its repeat may lose two servers by chance.
QUARANTINE_ENDS = 3
# So may one that takes long where servers end often: with one of five lost each second,
# a request of six seconds loses its server two times in three. One is quarantined only
# if chance would have done as much, in the time that it was in flight, less often.
CHANCE_LIMIT = 0.002
# As many where another request was there at as many of the ends, so that one of the two
# may have lost its servers to the other. Until then one instance alone sends each of
# them, one at a time, which mostly tells them apart.
CONTESTED_ENDS = 5
# So long after the last of them nothing is sent and nothing is refused for good: news
# of an answer, or of another request that explains the ends, may be on the way. Between
# groups they take up to 1.2 s (seconds).
SETTLING_SECONDS = 1.5
# Clocks of instances are set by the store's and differ by a few ms, and a connection
# that was idle when its server ended may be used a little later (seconds).
CLOCK_ERROR_SECONDS = 0.03
# An end that is told as of later than this is of a clock that has been set anew.
MAX_FUTURE_SECONDS = 5.0
# What is in flight all the time, as a request that many clients send, is in flight at
# every end. It has been answered a moment ago (seconds).
ANSWERED_SECONDS = 10.0
MAX_ANSWERED = 2_048
# Requests that are remembered: 12 servers of 64 slots that end at once lose 768. And
# ends of each, some 300 bytes: one that comes 20 times a second has ended 30 before all
# instances know, and explains as many losses of others.
MAX_REQUESTS = 1_024
MAX_ENDS = 64
# Of what is believed, only time changes anything without news; it is looked at anew so
# often (seconds).
ASSESSED_SECONDS = 0.25
# What is told to an instance that has just connected (ends); some 70 bytes each.
MAX_TOLD = 256

_Start = tuple[str, int | None]
Fingerprint = Annotated[
    str, msgspec.Meta(pattern=rf"^[0-9a-f]{{{FINGERPRINT_BYTES * 2}}}$")
]
ServerId = Annotated[str, msgspec.Meta(min_length=1, max_length=200)]


class ServerEnd(NamedTuple):
    """The end of a server's start with a request in flight.

    ``sent_at`` is when the request was sent there and ``ended_at`` when it was lost, on
    the steady clock that all instances share, the store's (seconds). ``is_cleared``
    tells that the request is not the cause; that is never taken back.
    """

    fingerprint: Fingerprint
    server_id: ServerId
    born: Count | None
    sent_at: Amount
    ended_at: Amount
    is_cleared: bool = False


class Standing(StrEnum):
    """What is believed of a request.

    One that is held is neither sent nor refused for good until its case has settled; a
    contested one may have lost its servers to another request.
    """

    FREE = "free"
    SUSPECTED = "suspected"
    HELD = "held"
    CONTESTED = "contested"
    QUARANTINED = "quarantined"


class _Assessment(NamedTuple):
    """Those to quarantine, and those that may be, by the time of their last end.

    ``explained`` are the ends that the former explain.
    """

    proved: dict[str, float]
    contested: dict[str, float]
    explained: set[_Start]


class Suspicions:
    """The ends that are known, by request, for a limited time.

    Times are those of the clock that all instances share.

    :param keep_seconds: how long an end counts. A request whose oldest end is forgotten
        may be tried once more, and wrong suspicion passes.
    :param measure_hazard: returns how often a server has ended of late, whatever the
        reason (ends per server and second).
    :param clock_error: how far the times of two instances may be apart (seconds).
    """

    def __init__(
        self,
        keep_seconds: float,
        measure_hazard: Callable[[], float] = lambda: 0.0,
        clock_error: float = CLOCK_ERROR_SECONDS,
    ):
        self._clock_error = clock_error
        self.keep_seconds = keep_seconds
        self._measure_hazard = measure_hazard
        self._ends: dict[str, dict[_Start, ServerEnd]] = {}
        self._answered: dict[str, float] = {}
        self._assessed: _Assessment | None = None
        self._assessed_at = float("-inf")

    def judge(self, fingerprint: str | None, now: float) -> Standing:
        """Return what is believed of a request."""
        if fingerprint not in self._ends:
            return Standing.FREE
        assessed = self._assess(now)
        settled = now - SETTLING_SECONDS
        if fingerprint in assessed.proved:
            is_settled = assessed.proved[fingerprint] <= settled
            return Standing.QUARANTINED if is_settled else Standing.HELD
        if fingerprint in assessed.contested:
            is_settled = assessed.contested[fingerprint] <= settled
            return Standing.CONTESTED if is_settled else Standing.HELD
        ends = self.list_ends(fingerprint, now)
        is_suspected = any(_name_start(end) not in assessed.explained for end in ends)
        return Standing.SUSPECTED if is_suspected else Standing.FREE

    def count_in_turn(self, fingerprint: str | None, now: float) -> int:
        """Return how many servers a request has ended one after the other."""
        return len(self._list_in_turn(self.list_ends(fingerprint, now)))

    def _assess(self, now: float) -> _Assessment:
        """Return which requests have ended enough servers, the gravest case first."""
        is_fresh = now - self._assessed_at <= ASSESSED_SECONDS
        if self._assessed is not None and is_fresh:
            return self._assessed
        cases = {
            name: self.list_ends(name, now)
            for name, ends in self._ends.items()
            if len(ends) >= QUARANTINE_ENDS
        }
        assessed = _Assessment({}, {}, set())
        hazard = self._measure_hazard() if cases else 0.0
        by_gravity = sorted(cases, key=lambda n: -len(self._list_in_turn(cases[n])))
        for name in by_gravity:
            chain = self._list_in_turn(_leave_out(cases[name], assessed.explained))
            if len(chain) < QUARANTINE_ENDS or _may_be_chance(chain, hazard):
                continue
            rivals = self._list_rivals(name, cases, assessed.explained)
            if len(chain) < CONTESTED_ENDS and len(chain) <= max(rivals, default=0):
                assessed.contested[name] = chain[-1].ended_at
                continue
            assessed.proved[name] = chain[-1].ended_at
            assessed.explained.update(map(_name_start, cases[name]))
        self._assessed = assessed
        self._assessed_at = now
        return assessed

    def _list_in_turn(self, ends: Sequence[ServerEnd]) -> list[ServerEnd]:
        """Return as many ends as there are that came one after the other.

        What ends many servers at once, as a loss of power, takes with it what is in
        flight at several of them. Only a request that was sent after the one end, and
        was there again at the next, counts again.
        """
        chain: list[ServerEnd] = []
        last = float("-inf")
        for end in sorted(ends, key=lambda e: e.ended_at):
            if end.sent_at > last + self._clock_error:
                chain.append(end)
                last = end.ended_at
        return chain

    def _list_rivals(
        self,
        name: str,
        cases: Mapping[str, Sequence[ServerEnd]],
        explained: set[_Start],
    ) -> list[int]:
        """Return how many servers those have ended that were at the same ends."""
        own = set(map(_name_start, cases[name]))
        rivals = []
        for other, ends in cases.items():
            left = _leave_out(ends, explained)
            if other != name and any(_name_start(end) in own for end in left):
                rivals.append(len(self._list_in_turn(left)))
        return rivals

    def list_servers(self, fingerprint: str | None, now: float) -> list[str]:
        """Return the servers that have ended under a request, one entry a start."""
        return [end.server_id for end in self.list_ends(fingerprint, now)]

    def list_ends(self, fingerprint: str | None, now: float) -> list[ServerEnd]:
        """Return the ends that count against a request.

        Who does not know when a server started tells of the same end as who does.
        """
        ends = self._ends.get(fingerprint or "", {})
        dated = {server_id for server_id, born in ends if born is not None}
        return [
            end
            for (server_id, born), end in ends.items()
            if self._counts(end, now) and not (born is None and server_id in dated)
        ]

    def _counts(self, end: ServerEnd, now: float) -> bool:
        return not end.is_cleared and not self._is_forgotten(end, now)

    def _is_forgotten(self, end: ServerEnd, now: float) -> bool:
        age = now - end.ended_at
        return age >= self.keep_seconds or age < -MAX_FUTURE_SECONDS

    def note(self, told: ServerEnd, now: float) -> bool:
        """Take an end, seen or told; return whether there is something new in it."""
        if self._is_forgotten(told, now):
            return False
        ends = self._ends.get(told.fingerprint)
        if ends is None:
            self._make_room(now)
            ends = self._ends[told.fingerprint] = {}
        key = (told.server_id, told.born)
        known = ends.get(key)
        if known is None and len(ends) >= MAX_ENDS and not self._drop_end(ends, now):
            return False
        ends[key] = told if known is None else _unite(known, told)
        if len(ends) >= QUARANTINE_ENDS:
            self._assessed = None
        return ends[key] != known

    def note_answered(self, fingerprint: str, now: float) -> list[ServerEnd]:
        """Note that a server has answered a request whole; return what that clears."""
        self._answered.pop(fingerprint, None)
        self._answered[fingerprint] = now
        if len(self._answered) > MAX_ANSWERED:
            del self._answered[next(iter(self._answered))]
        return self.clear(fingerprint, now)

    def was_answered(self, fingerprint: str, now: float) -> bool:
        """Return whether a request was answered whole a moment ago."""
        at = self._answered.get(fingerprint, float("-inf"))
        return now - at <= ANSWERED_SECONDS

    def clear(self, fingerprint: str, now: float) -> list[ServerEnd]:
        """Acquit a request of the ends that are known; return them as cleared."""
        ends = self._ends.get(fingerprint, {})
        active = [key for key, end in ends.items() if not end.is_cleared]
        for key in active:
            ends[key] = ends[key]._replace(is_cleared=True)
        self._assessed = None
        return [ends[key] for key in active]

    def list_all(self, now: float) -> list[ServerEnd]:
        """Return what an instance should be told that knows nothing.

        Of those that are most suspect first, and no more than a message takes.
        """
        ends = [self.list_ends(name, now) for name in self._ends]
        ends.sort(key=len, reverse=True)
        return [end for group in ends for end in group][:MAX_TOLD]

    def export(self, limit: int) -> list[ServerEnd]:
        """Return ends to tell, cleared ones too, those of the gravest cases first."""
        groups = sorted((list(e.values()) for e in self._ends.values()), key=len)
        return [end for group in reversed(groups) for end in group][:limit]

    def list_names(self) -> set[str]:
        """Return the requests of which any end is known."""
        return set(self._ends)

    def list_by_standing(self, standing: Standing, now: float) -> list[str]:
        """Return the requests of which this is believed."""
        return [name for name in self._ends if self.judge(name, now) is standing]

    def expire(self, now: float) -> None:
        """Drop the ends that no longer count."""
        for ends in self._ends.values():
            for key, end in list(ends.items()):
                if self._is_forgotten(end, now):
                    del ends[key]
        self._ends = {name: ends for name, ends in self._ends.items() if ends}
        self._assessed = None

    def _make_room(self, now: float) -> None:
        """Drop a request with the fewest ends if there are too many, the oldest first.

        A caller with another body each time can so push out what has ended fewer
        servers than its own, never what was quarantined before it.
        """
        if len(self._ends) < MAX_REQUESTS:
            return
        self.expire(now)
        if len(self._ends) < MAX_REQUESTS:
            return
        # Mostly one of those that have lost a server once: no need to count all.
        single = next((name for name, ends in self._ends.items() if len(ends) == 1), "")
        least = single or min(self._ends, key=lambda n: self.count_in_turn(n, now))
        del self._ends[least]
        self._assessed = None

    def _drop_end(self, ends: dict[_Start, ServerEnd], now: float) -> bool:
        """Drop an end that adds nothing to the count; return whether there was one."""
        last = float("-inf")
        for key, end in sorted(ends.items(), key=lambda item: item[1].ended_at):
            if not self._counts(end, now) or end.sent_at <= last + self._clock_error:
                del ends[key]
                return True
            last = end.ended_at
        return False


def _unite(one: ServerEnd, other: ServerEnd) -> ServerEnd:
    """Return what two instances know of one end, the same in whichever order."""
    return one._replace(
        sent_at=min(one.sent_at, other.sent_at),
        ended_at=min(one.ended_at, other.ended_at),
        is_cleared=one.is_cleared or other.is_cleared,
    )


def _name_start(end: ServerEnd) -> _Start:
    return end.server_id, end.born


def _leave_out(ends: Sequence[ServerEnd], explained: set[_Start]) -> list[ServerEnd]:
    return [end for end in ends if _name_start(end) not in explained]


def _may_be_chance(chain: Sequence[ServerEnd], hazard: float) -> bool:
    """Return whether servers end so often that the chain may have been hit by chance.

    :param hazard: ends per server and second.
    """
    in_flight = sum(max(0.0, end.ended_at - end.sent_at) for end in chain)
    expected = hazard * in_flight
    fewer = sum(expected**n / math.factorial(n) for n in range(len(chain)))
    return 1.0 - math.exp(-expected) * fewer > CHANCE_LIMIT
