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
    "QUARANTINE_CRASHES",
    "CrashRecords",
    "Fingerprint",
    "QuarantineState",
    "ServerCrash",
    "ServerId",
]

import math
from collections.abc import Callable, Mapping, Sequence
from enum import StrEnum
from typing import Annotated, NamedTuple

import msgspec

from ashpond.bounds import Amount, Count
from ashpond.decisions.fingerprints import FINGERPRINT_BYTES

# A request and its repeat may lose two servers by chance.
QUARANTINE_CRASHES = 3
# So may one that takes long where servers end often: with one of five lost each second,
# a request of six seconds loses its server two times in three. One is quarantined only
# if chance would have done as much, in the time that it was in flight, less often.
CHANCE_LIMIT = 0.002
# As many where another request was there at as many of the ends, so that one of the two
# may have lost its servers to the other. Until then one instance alone sends each of
# them, one at a time, which mostly tells them apart.
CONTESTED_CRASHES = 5
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
MAX_CRASHES = 64
# Of what is believed, only time changes anything without news; it is looked at anew so
# often (seconds).
ASSESSMENT_TTL_SECONDS = 0.25
# What is told to an instance that has just connected (ends); some 70 bytes each.
MAX_SENT_CRASHES = 256

_Start = tuple[str, int | None]
Fingerprint = Annotated[
    str, msgspec.Meta(pattern=rf"^[0-9a-f]{{{FINGERPRINT_BYTES * 2}}}$")
]
ServerId = Annotated[str, msgspec.Meta(min_length=1, max_length=200)]


class ServerCrash(NamedTuple):
    """The end of a server's start with a request in flight.

    ``sent_at`` is when the request was sent there and ``crashed_at`` when it was lost,
    on the steady clock that all instances share, the store's (seconds). ``is_cleared``
    tells that the request is not the cause; that is never taken back.
    """

    fingerprint: Fingerprint
    server_id: ServerId
    started_ms: Count | None
    sent_at: Amount
    crashed_at: Amount
    is_cleared: bool = False


class QuarantineState(StrEnum):
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

    quarantined: dict[str, float]
    contested: dict[str, float]
    attributed: set[_Start]


class CrashRecords:
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
        self._crashes: dict[str, dict[_Start, ServerCrash]] = {}
        self._answered: dict[str, float] = {}
        self._assessed: _Assessment | None = None
        self._assessed_at = float("-inf")

    def classify(self, fingerprint: str | None, now: float) -> QuarantineState:
        """Return what is believed of a request."""
        if fingerprint not in self._crashes:
            return QuarantineState.FREE
        assessed = self._assess(now)
        settled = now - SETTLING_SECONDS
        if fingerprint in assessed.quarantined:
            is_settled = assessed.quarantined[fingerprint] <= settled
            return QuarantineState.QUARANTINED if is_settled else QuarantineState.HELD
        if fingerprint in assessed.contested:
            is_settled = assessed.contested[fingerprint] <= settled
            return QuarantineState.CONTESTED if is_settled else QuarantineState.HELD
        crashes = self.list_crashes(fingerprint, now)
        is_suspected = any(
            _get_start(crash) not in assessed.attributed for crash in crashes
        )
        return QuarantineState.SUSPECTED if is_suspected else QuarantineState.FREE

    def count_successive(self, fingerprint: str | None, now: float) -> int:
        """Return how many servers a request has ended one after the other."""
        return len(self._list_successive(self.list_crashes(fingerprint, now)))

    def _assess(self, now: float) -> _Assessment:
        """Return which requests have ended enough servers, the gravest case first."""
        is_fresh = now - self._assessed_at <= ASSESSMENT_TTL_SECONDS
        if self._assessed is not None and is_fresh:
            return self._assessed
        cases = {
            name: self.list_crashes(name, now)
            for name, crashes in self._crashes.items()
            if len(crashes) >= QUARANTINE_CRASHES
        }
        assessed = _Assessment({}, {}, set())
        hazard = self._measure_hazard() if cases else 0.0
        most_suspect_first = sorted(
            cases, key=lambda n: -len(self._list_successive(cases[n]))
        )
        for name in most_suspect_first:
            chain = self._list_successive(_exclude(cases[name], assessed.attributed))
            if len(chain) < QUARANTINE_CRASHES or _is_likely_chance(chain, hazard):
                continue
            rivals = self._count_rivals(name, cases, assessed.attributed)
            if len(chain) < CONTESTED_CRASHES and len(chain) <= max(rivals, default=0):
                assessed.contested[name] = chain[-1].crashed_at
                continue
            assessed.quarantined[name] = chain[-1].crashed_at
            assessed.attributed.update(map(_get_start, cases[name]))
        self._assessed = assessed
        self._assessed_at = now
        return assessed

    def _list_successive(self, crashes: Sequence[ServerCrash]) -> list[ServerCrash]:
        """Return as many ends as there are that came one after the other.

        What ends many servers at once, as a loss of power, takes with it what is in
        flight at several of them. Only a request that was sent after the one end, and
        was there again at the next, counts again.
        """
        chain: list[ServerCrash] = []
        last = float("-inf")
        for crash in sorted(crashes, key=lambda e: e.crashed_at):
            if crash.sent_at > last + self._clock_error:
                chain.append(crash)
                last = crash.crashed_at
        return chain

    def _count_rivals(
        self,
        name: str,
        cases: Mapping[str, Sequence[ServerCrash]],
        attributed: set[_Start],
    ) -> list[int]:
        """Return how many servers those have ended that were at the same ends."""
        own = set(map(_get_start, cases[name]))
        rivals = []
        for other, crashes in cases.items():
            left = _exclude(crashes, attributed)
            if other != name and any(_get_start(crash) in own for crash in left):
                rivals.append(len(self._list_successive(left)))
        return rivals

    def list_servers(self, fingerprint: str | None, now: float) -> list[str]:
        """Return the servers that have ended under a request, one entry a start."""
        return [crash.server_id for crash in self.list_crashes(fingerprint, now)]

    def list_crashes(self, fingerprint: str | None, now: float) -> list[ServerCrash]:
        """Return the ends that count against a request.

        Who does not know when a server started tells of the same end as who does.
        """
        crashes = self._crashes.get(fingerprint or "", {})
        dated = {
            server_id for server_id, started_ms in crashes if started_ms is not None
        }
        return [
            crash
            for (server_id, started_ms), crash in crashes.items()
            if self._counts(crash, now)
            and not (started_ms is None and server_id in dated)
        ]

    def _counts(self, crash: ServerCrash, now: float) -> bool:
        return not crash.is_cleared and not self._is_expired(crash, now)

    def _is_expired(self, crash: ServerCrash, now: float) -> bool:
        age = now - crash.crashed_at
        return age >= self.keep_seconds or age < -MAX_FUTURE_SECONDS

    def note(self, reported: ServerCrash, now: float) -> bool:
        """Take an end, seen or told; return whether there is something new in it."""
        if self._is_expired(reported, now):
            return False
        crashes = self._crashes.get(reported.fingerprint)
        if crashes is None:
            self._evict_request(now)
            crashes = self._crashes[reported.fingerprint] = {}
        key = (reported.server_id, reported.started_ms)
        known = crashes.get(key)
        if (
            known is None
            and len(crashes) >= MAX_CRASHES
            and not self._evict_crash(crashes, now)
        ):
            return False
        crashes[key] = reported if known is None else _merge(known, reported)
        if len(crashes) >= QUARANTINE_CRASHES:
            self._assessed = None
        return crashes[key] != known

    def note_answered(self, fingerprint: str, now: float) -> list[ServerCrash]:
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

    def clear(self, fingerprint: str, now: float) -> list[ServerCrash]:
        """Acquit a request of the ends that are known; return them as cleared."""
        crashes = self._crashes.get(fingerprint, {})
        active = [key for key, crash in crashes.items() if not crash.is_cleared]
        for key in active:
            crashes[key] = crashes[key]._replace(is_cleared=True)
        self._assessed = None
        return [crashes[key] for key in active]

    def list_most_suspect(self, now: float) -> list[ServerCrash]:
        """Return what an instance should be told that knows nothing.

        Of those that are most suspect first, and no more than a message takes.
        """
        crashes = [self.list_crashes(name, now) for name in self._crashes]
        crashes.sort(key=len, reverse=True)
        return [crash for group in crashes for crash in group][:MAX_SENT_CRASHES]

    def export(self, limit: int) -> list[ServerCrash]:
        """Return ends to tell, cleared ones too, those of the gravest cases first."""
        groups = sorted((list(e.values()) for e in self._crashes.values()), key=len)
        return [crash for group in reversed(groups) for crash in group][:limit]

    def list_fingerprints(self) -> set[str]:
        """Return the requests of which any end is known."""
        return set(self._crashes)

    def list_by_state(self, state: QuarantineState, now: float) -> list[str]:
        """Return the requests of which this is believed."""
        return [name for name in self._crashes if self.classify(name, now) is state]

    def expire(self, now: float) -> None:
        """Drop the ends that no longer count."""
        for crashes in self._crashes.values():
            for key, crash in list(crashes.items()):
                if self._is_expired(crash, now):
                    del crashes[key]
        self._crashes = {
            name: crashes for name, crashes in self._crashes.items() if crashes
        }
        self._assessed = None

    def _evict_request(self, now: float) -> None:
        """Drop a request with the fewest ends if there are too many, the oldest first.

        A caller with another body each time can so push out what has ended fewer
        servers than its own, never what was quarantined before it.
        """
        if len(self._crashes) < MAX_REQUESTS:
            return
        self.expire(now)
        if len(self._crashes) < MAX_REQUESTS:
            return
        # Mostly one of those that have lost a server once: no need to count all.
        single = next(
            (name for name, crashes in self._crashes.items() if len(crashes) == 1), ""
        )
        least = single or min(
            self._crashes, key=lambda n: self.count_successive(n, now)
        )
        del self._crashes[least]
        self._assessed = None

    def _evict_crash(self, crashes: dict[_Start, ServerCrash], now: float) -> bool:
        """Drop an end that adds nothing to the count; return whether there was one."""
        last = float("-inf")
        for key, crash in sorted(crashes.items(), key=lambda item: item[1].crashed_at):
            if (
                not self._counts(crash, now)
                or crash.sent_at <= last + self._clock_error
            ):
                del crashes[key]
                return True
            last = crash.crashed_at
        return False


def _merge(one: ServerCrash, other: ServerCrash) -> ServerCrash:
    """Return what two instances know of one end, the same in whichever order."""
    return one._replace(
        sent_at=min(one.sent_at, other.sent_at),
        crashed_at=min(one.crashed_at, other.crashed_at),
        is_cleared=one.is_cleared or other.is_cleared,
    )


def _get_start(crash: ServerCrash) -> _Start:
    return crash.server_id, crash.started_ms


def _exclude(
    crashes: Sequence[ServerCrash], attributed: set[_Start]
) -> list[ServerCrash]:
    return [crash for crash in crashes if _get_start(crash) not in attributed]


def _is_likely_chance(chain: Sequence[ServerCrash], hazard: float) -> bool:
    """Return whether servers end so often that the chain may have been hit by chance.

    :param hazard: ends per server and second.
    """
    in_flight = sum(max(0.0, crash.crashed_at - crash.sent_at) for crash in chain)
    expected = hazard * in_flight
    fewer = sum(expected**n / math.factorial(n) for n in range(len(chain)))
    return 1.0 - math.exp(-expected) * fewer > CHANCE_LIMIT
