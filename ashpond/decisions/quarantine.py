"""Find the requests that crash servers, from the crashes that instances have seen.

A request is identified by its fingerprint, a crash by the server and its start.
Instances exchange sets of such pairs: unlike a counter, a set counts a crash once
however many instances report it, and however often.

All requests at a server are lost when it crashes. One that a server has since answered
in full is not the cause; one that crashes the next server at each retry and is never
answered is. If several requests were in flight at the same crashes, these are
attributed to the request that was there at most of them, and no longer count against
the others.
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

# A request and its retry may both lose their servers by chance.
QUARANTINE_CRASHES = 3
# Where servers crash often, a long request may lose more of them by chance: if one in
# five crashes each second, a request of 6 s loses its server two times in three. A
# request is quarantined only if the probability of as many crashes by chance, in the
# time that it was in flight, is below this.
CHANCE_LIMIT = 0.002
# The crashes required if another request was in flight at as many of them, so that
# either may be the cause. Until then, a single instance sends each of the requests, one
# attempt at a time, which usually shows the cause.
CONTESTED_CRASHES = 5
# For this long after its last crash, a request is neither sent nor refused permanently:
# a report of an answer, or of another request that is the cause, may be under way.
# Between groups of instances, reports take up to 1.2 s (seconds).
SETTLING_SECONDS = 1.5
# The clocks of instances follow the store's and differ by a few ms. A connection that
# was idle when its server crashed may be used slightly later (seconds).
CLOCK_ERROR_SECONDS = 0.03
# A crash dated further in the future is from a clock that has been reset (seconds).
MAX_FUTURE_SECONDS = 5.0
# A request that many clients send is in flight all the time, and so at every crash. If
# it has been answered within this time, it is not the cause (seconds).
ANSWERED_SECONDS = 10.0
MAX_ANSWERED = 2_048
# The most requests to keep: 12 servers of 64 slots that crash at once lose 768.
MAX_REQUESTS = 1_024
# The most crashes to keep of each request, about 300 bytes each. A request that is sent
# 20 times a second crashes 30 servers before all instances know of it; each of these
# crashes clears the other requests that were lost with it.
MAX_CRASHES = 64
# Without new reports, an assessment changes with time only. It is repeated after this
# (seconds).
ASSESSMENT_TTL_SECONDS = 0.25
# The most crashes sent to an instance that has just connected, about 70 bytes each.
MAX_SENT_CRASHES = 256

_Start = tuple[str, int | None]
Fingerprint = Annotated[
    str, msgspec.Meta(pattern=rf"^[0-9a-f]{{{FINGERPRINT_BYTES * 2}}}$")
]
ServerId = Annotated[str, msgspec.Meta(min_length=1, max_length=200)]


class ServerCrash(NamedTuple):
    """A crash of a server with a request in flight.

    ``started_ms`` is when the server had started (Unix time in ms), None if unknown.
    ``sent_at`` is when the request was sent there and ``crashed_at`` when it was lost,
    on the store's steady clock, which all instances share (seconds). ``is_cleared`` is
    set if the request is not the cause; it is never reset.
    """

    fingerprint: Fingerprint
    server_id: ServerId
    started_ms: Count | None
    sent_at: Amount
    crashed_at: Amount
    is_cleared: bool = False


class QuarantineState(StrEnum):
    """Whether a request is known or suspected to crash servers.

    A held request is neither sent nor refused permanently until ``SETTLING_SECONDS``
    have passed. A contested one may have lost its servers to another request.
    """

    FREE = "free"
    SUSPECTED = "suspected"
    HELD = "held"
    CONTESTED = "contested"
    QUARANTINED = "quarantined"


class _Assessment(NamedTuple):
    """The quarantined and contested requests, with the times of their last crashes.

    ``attributed`` holds the starts whose crashes the quarantined requests caused.
    """

    quarantined: dict[str, float]
    contested: dict[str, float]
    attributed: set[_Start]


class CrashRecords:
    """The known crashes by request, kept for a limited time.

    Times are those of the store's clock, which all instances share.

    :param keep_seconds: how long a crash counts. A request whose oldest crash has
        expired may be tried once more, so that a wrong suspicion ends.
    :param measure_hazard: returns the recent rate of crashes for any reason (crashes
        per server and second).
    :param clock_error: the greatest difference between two instances' clocks (seconds).
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
        """Return the quarantine state of a request."""
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
        """Return how many servers have crashed under a request one after the other."""
        return len(self._list_successive(self.list_crashes(fingerprint, now)))

    def _assess(self, now: float) -> _Assessment:
        """Return the requests with enough crashes to be quarantined or contested.

        Requests with the most successive crashes are assessed first, and crashes
        attributed to them do not count against the others.
        """
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
        """Return the crashes whose request was sent after the previous crash.

        An event such as a power failure stops many servers at once, and with them a
        request that was in flight at several. A further crash counts only if the
        request was sent after the previous one.
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
        """Return the successive crashes of each other request at the same crashes."""
        own = set(map(_get_start, cases[name]))
        rivals = []
        for other, crashes in cases.items():
            left = _exclude(crashes, attributed)
            if other != name and any(_get_start(crash) in own for crash in left):
                rivals.append(len(self._list_successive(left)))
        return rivals

    def list_servers(self, fingerprint: str | None, now: float) -> list[str]:
        """Return the servers that crashed under a request, one entry for each start."""
        return [crash.server_id for crash in self.list_crashes(fingerprint, now)]

    def list_crashes(self, fingerprint: str | None, now: float) -> list[ServerCrash]:
        """Return the crashes that count against a request.

        A report without the server's start is taken for the same crash as one with it.
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
        """Record a crash seen here or by a peer; return whether it changes anything."""
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
        """Record a complete answer to a request; return the crashes that it clears."""
        self._answered.pop(fingerprint, None)
        self._answered[fingerprint] = now
        if len(self._answered) > MAX_ANSWERED:
            del self._answered[next(iter(self._answered))]
        return self.clear(fingerprint, now)

    def was_answered(self, fingerprint: str, now: float) -> bool:
        """Return whether a request was answered completely in ``ANSWERED_SECONDS``."""
        at = self._answered.get(fingerprint, float("-inf"))
        return now - at <= ANSWERED_SECONDS

    def clear(self, fingerprint: str, now: float) -> list[ServerCrash]:
        """Clear a request of all its known crashes; return them."""
        crashes = self._crashes.get(fingerprint, {})
        active = [key for key, crash in crashes.items() if not crash.is_cleared]
        for key in active:
            crashes[key] = crashes[key]._replace(is_cleared=True)
        self._assessed = None
        return [crashes[key] for key in active]

    def list_most_suspect(self, now: float) -> list[ServerCrash]:
        """Return the crashes to send to an instance that has just connected.

        The requests with the most crashes come first; the rest that does not fit into
        a message is left out.
        """
        crashes = [self.list_crashes(name, now) for name in self._crashes]
        crashes.sort(key=len, reverse=True)
        return [crash for group in crashes for crash in group][:MAX_SENT_CRASHES]

    def export(self, limit: int) -> list[ServerCrash]:
        """Return the crashes of the requests with the most, including cleared ones."""
        groups = sorted((list(e.values()) for e in self._crashes.values()), key=len)
        return [crash for group in reversed(groups) for crash in group][:limit]

    def list_fingerprints(self) -> set[str]:
        """Return the fingerprints of the requests with any known crash."""
        return set(self._crashes)

    def list_by_state(self, state: QuarantineState, now: float) -> list[str]:
        """Return the fingerprints of the requests in a state."""
        return [name for name in self._crashes if self.classify(name, now) is state]

    def expire(self, now: float) -> None:
        """Remove the crashes that no longer count."""
        for crashes in self._crashes.values():
            for key, crash in list(crashes.items()):
                if self._is_expired(crash, now):
                    del crashes[key]
        self._crashes = {
            name: crashes for name, crashes in self._crashes.items() if crashes
        }
        self._assessed = None

    def _evict_request(self, now: float) -> None:
        """Remove the oldest request with the fewest crashes if there are too many.

        A client that sends another body each time can thus only evict requests with
        fewer crashes than its own, never those quarantined before.
        """
        if len(self._crashes) < MAX_REQUESTS:
            return
        self.expire(now)
        if len(self._crashes) < MAX_REQUESTS:
            return
        # Usually some request has a single crash, and the others need not be counted.
        single = next(
            (name for name, crashes in self._crashes.items() if len(crashes) == 1), ""
        )
        least = single or min(
            self._crashes, key=lambda n: self.count_successive(n, now)
        )
        del self._crashes[least]
        self._assessed = None

    def _evict_crash(self, crashes: dict[_Start, ServerCrash], now: float) -> bool:
        """Remove a crash that does not count; return whether there was one."""
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
    """Return the union of two reports of one crash, independent of their order."""
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
    """Return whether a chain of crashes is likely to have occurred by chance.

    Crashes are modelled as a Poisson process during the time the request was in flight.

    :param hazard: crashes per server and second.
    """
    in_flight = sum(max(0.0, crash.crashed_at - crash.sent_at) for crash in chain)
    expected = hazard * in_flight
    fewer = sum(expected**n / math.factorial(n) for n in range(len(chain)))
    return 1.0 - math.exp(-expected) * fewer > CHANCE_LIMIT
