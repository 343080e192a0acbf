"""Find the requests and prompt parts that crash servers, from the crashes seen.

Requests and the parts of their prompts are identified by fingerprints, a crash by the
server and its start. Instances exchange sets of such pairs: unlike a counter, a set
counts a crash once however many instances report it, and however often.

All requests at a server are lost when it crashes. One that a server has since answered
in full is not the cause, nor is a part on which an answer has begun; what crashes the
next server each time and is never answered is.
"""

from __future__ import annotations

__all__ = [
    "QUARANTINE_CRASHES",
    "NO_JUDGEMENT",
    "CrashRecords",
    "Fingerprint",
    "Judgement",
    "QuarantineState",
    "ServerCrash",
    "ServerId",
]

from collections.abc import Callable, Sequence
from enum import StrEnum
from typing import NamedTuple

from ashpond.decisions.crashassessment import (
    CLOCK_ERROR_SECONDS,
    QUARANTINE_CRASHES,
    Assessment,
    Fingerprint,
    ServerCrash,
    ServerId,
    Start,
    assess_crashes,
    get_start,
    list_successive,
    merge_reports,
)
from ashpond.decisions.fingerprints import Fingerprints, is_part

# A part is in flight with many requests, and so at many crashes. A single crash says
# nothing of it; with as many successive ones as this, it is tried.
PART_SUSPECTED_CRASHES = 2
# For this long after its last crash, a suspected part is tried by a single instance,
# and after that by each, one request at a time (seconds).
PART_TRIAL_SECONDS = 3.0

# For this long after its last crash, a request is neither sent nor refused permanently:
# a report of an answer, or of another request that is the cause, may be under way.
# Between groups of instances, reports take up to 1.2 s (seconds).
SETTLING_SECONDS = 1.5
# A crash dated further in the future is from a clock that has been reset (seconds).
MAX_FUTURE_SECONDS = 5.0
# A request that many clients send is in flight all the time, and so at every crash. If
# it has been answered within this time, it is not the cause (seconds).
ANSWERED_SECONDS = 10.0
MAX_ANSWERED = 8_192
# A later answer within this time is not recorded again (seconds).
ANSWERED_UPDATE_SECONDS = 0.5
# The most requests and parts to keep: 12 servers of 64 slots that crash at once lose
# 768 requests, each with some parts.
MAX_REQUESTS = 4_096
# The most crashes to keep of each request, about 300 bytes each. A request that is sent
# 20 times a second crashes 30 servers before all instances know of it; each of these
# crashes clears the other requests that were lost with it.
MAX_CRASHES = 64
# Without new reports, an assessment changes with time only. It is repeated after this
# (seconds).
ASSESSMENT_TTL_SECONDS = 0.25
# The most crashes sent to an instance that has just connected, about 70 bytes each.
MAX_SENT_CRASHES = 256


class QuarantineState(StrEnum):
    """Whether a request or a part is known or suspected to crash servers.

    A held one is neither sent nor refused permanently until ``SETTLING_SECONDS`` have
    passed. A contested one may have lost its servers to another one.
    """

    FREE = "free"
    SUSPECTED = "suspected"
    HELD = "held"
    CONTESTED = "contested"
    QUARANTINED = "quarantined"


# From the state that hinders a request least to that which hinders it most.
_SEVERITY = (
    QuarantineState.FREE,
    QuarantineState.SUSPECTED,
    QuarantineState.CONTESTED,
    QuarantineState.HELD,
    QuarantineState.QUARANTINED,
)


class Judgement(NamedTuple):
    """The state of a request, and the fingerprint that it is due to."""

    state: QuarantineState
    suspect: str


NO_JUDGEMENT = Judgement(QuarantineState.FREE, "")


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
        self._crashes: dict[str, dict[Start, ServerCrash]] = {}
        self._answered: dict[str, float] = {}
        self._assessed: Assessment | None = None
        self._assessed_at = float("-inf")

    def judge(self, fingerprints: Fingerprints, now: float) -> Judgement:
        """Return the state of a request, by itself and by the parts of its prompt."""
        known = [name for name in fingerprints.all if name in self._crashes]
        if not known:
            return NO_JUDGEMENT
        judgements = [
            Judgement(self._classify_in_request(name, fingerprints, now), name)
            for name in known
        ]
        return max(judgements, key=lambda found: _SEVERITY.index(found.state))

    def _classify_in_request(
        self, name: str, fingerprints: Fingerprints, now: float
    ) -> QuarantineState:
        """Return the state of a fingerprint in a request.

        A request that has all of the fingerprints of which one is the cause need not be
        tried, whichever of them it is.
        """
        state = self.classify(name, now)
        if state is not QuarantineState.CONTESTED:
            return state
        rivals = self._assess(now).rivals.get(name)
        if rivals is not None and rivals.issubset(fingerprints.all):
            return QuarantineState.QUARANTINED
        return state

    def classify(self, fingerprint: str | None, now: float) -> QuarantineState:
        """Return the quarantine state of one request or part."""
        if fingerprint is None or fingerprint not in self._crashes:
            return QuarantineState.FREE
        assessed = self._assess(now)
        settled = now - SETTLING_SECONDS
        if fingerprint in assessed.quarantined:
            is_settled = assessed.quarantined[fingerprint] <= settled
            return QuarantineState.QUARANTINED if is_settled else QuarantineState.HELD
        if fingerprint in assessed.contested:
            is_settled = assessed.contested[fingerprint] <= settled
            return QuarantineState.CONTESTED if is_settled else QuarantineState.HELD
        crashes = [
            crash
            for crash in self.list_crashes(fingerprint, now)
            if get_start(crash) not in assessed.attributed
        ]
        if is_part(fingerprint):
            return self._classify_part(crashes, now)
        return QuarantineState.SUSPECTED if crashes else QuarantineState.FREE

    def _classify_part(
        self, crashes: Sequence[ServerCrash], now: float
    ) -> QuarantineState:
        """Return the state of a part that is neither quarantined nor contested."""
        chain = list_successive(crashes, self._clock_error)
        if len(chain) < PART_SUSPECTED_CRASHES:
            return QuarantineState.FREE
        if now - chain[-1].crashed_at < PART_TRIAL_SECONDS:
            return QuarantineState.CONTESTED
        return QuarantineState.SUSPECTED

    def count_successive(self, fingerprint: str | None, now: float) -> int:
        """Return how many servers have crashed under a request one after the other."""
        crashes = self.list_crashes(fingerprint, now)
        return len(list_successive(crashes, self._clock_error))

    def _assess(self, now: float) -> Assessment:
        """Return the assessment of all crashes, from the cache while it is fresh."""
        is_fresh = now - self._assessed_at <= ASSESSMENT_TTL_SECONDS
        if self._assessed is not None and is_fresh:
            return self._assessed
        cases = {
            name: self.list_crashes(name, now)
            for name, crashes in self._crashes.items()
            if len(crashes) >= QUARANTINE_CRASHES
        }
        hazard = self._measure_hazard() if cases else 0.0
        self._assessed = assess_crashes(cases, hazard, self._clock_error)
        self._assessed_at = now
        return self._assessed

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
        crashes[key] = reported if known is None else merge_reports(known, reported)
        if len(crashes) >= QUARANTINE_CRASHES:
            self._assessed = None
        return crashes[key] != known

    def note_answered(self, fingerprint: str, now: float) -> list[ServerCrash]:
        """Record a complete answer to a request; return the crashes that it clears."""
        known_at = self._answered.pop(fingerprint, float("-inf"))
        if now - known_at < ANSWERED_UPDATE_SECONDS and (
            fingerprint not in self._crashes
        ):
            self._answered[fingerprint] = known_at
            return []
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
        if active:
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

    def _evict_crash(self, crashes: dict[Start, ServerCrash], now: float) -> bool:
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
