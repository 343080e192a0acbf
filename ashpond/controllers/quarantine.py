"""Quarantine of requests that crash servers, shared by all instances."""

from __future__ import annotations

__all__ = ["AttemptDecision", "Quarantine"]

from collections import Counter
from collections.abc import AsyncIterator, Callable, Sequence
from contextlib import asynccontextmanager
from enum import Enum, auto
from typing import TYPE_CHECKING

import trio

from ashpond.controllers.quarantinerows import QuarantineRows
from ashpond.controllers.reportlimits import ReportLimit
from ashpond.decisions.fingerprints import PART_PREFIX, Fingerprints, is_part
from ashpond.decisions.placement import rank_by_rendezvous
from ashpond.decisions.quarantine import (
    NO_JUDGEMENT,
    CrashRecords,
    Judgement,
    QuarantineState,
    ServerCrash,
)

if TYPE_CHECKING:
    from ashpond.controllers.crashdetection import LostRequest
    from ashpond.controllers.invalidrows import InvalidRows
    from ashpond.gateway.decisionlog import DecisionLog
    from ashpond.gateway.metrics import GatewayMetrics
    from ashpond.gateway.store import Store, StoreClock

# The reporter of a crash that this instance has seen itself, or read from the store.
OWN = "own"
STORE = "store"
# The states in which the crashes of a request are kept in the store.
PERSISTED_STATES = (QuarantineState.HELD, QuarantineState.QUARANTINED)
# Most requests that lose their server are answered by the next one. A single crash of a
# request is therefore reported only if its call ends without an answer, and at most 20
# are a second (1.2 KB). After a second successive crash, both are sent at once.
MAX_SINGLE_REPORTS = 20
# A part is lost with other requests each time, so its crashes are reported at once
# unless an answer has begun on it here, and at most 60 single ones are a second (4 KB).
MAX_SINGLE_PART_REPORTS = 60


class AttemptDecision(Enum):
    """Whether an attempt of a request may be sent, and under which condition."""

    FREE = auto()
    # The only attempt of a suspected request at this instance, sent once, to the
    # server where a crash does the least harm.
    ALONE = auto()
    # Another attempt of a suspected request is in flight, or the request is held.
    BUSY = auto()
    QUARANTINED = auto()


class Quarantine:
    """The known crashes by request, and the attempts that they allow.

    :param send_crashes: sends crashes to the other instances.
    :param is_reader: returns whether this instance reads the store for others as well.
    :param list_instances: returns the names of all instances.
    """

    def __init__(
        self,
        name: str,
        crash_records: CrashRecords,
        store: Store,
        clock: StoreClock,
        log: DecisionLog,
        metrics: GatewayMetrics,
        invalid_rows: InvalidRows,
        send_crashes: Callable[[Sequence[ServerCrash]], None],
        is_reader: Callable[[], bool],
        list_instances: Callable[[], Sequence[str]],
    ):
        self._name = name
        self._list_instances = list_instances
        self.crash_records = crash_records
        self._clock = clock
        self._log = log
        self._metrics = metrics
        self._send_crashes = send_crashes
        self._rows = QuarantineRows(store, log, invalid_rows, is_reader)
        self._calls: Counter[str] = Counter()
        self._attempts: Counter[str] = Counter()
        self._state_changes: dict[str, trio.Event] = {}
        # The requests whose crashes have not been sent to the peers, and those whose
        # crashes have been sent or received.
        self._unsent: set[str] = set()
        self._shared: set[str] = set()
        self._reporters: dict[str, set[str]] = {}
        self._states: dict[str, QuarantineState] = {}
        self._refused: Counter[str] = Counter()
        self._single_requests = ReportLimit(MAX_SINGLE_REPORTS)
        self._single_parts = ReportLimit(MAX_SINGLE_PART_REPORTS)
        store.era.on_change(self._persist_again)

    async def run(self) -> None:
        """Read the stored crashes once, and write new ones, until cancelled."""
        await self._rows.run(
            lambda: self.crash_records.keep_seconds, self._merge_persisted
        )

    def classify(self, fingerprint: str | None) -> QuarantineState:
        """Return the state of one request or part now."""
        return self.crash_records.classify(fingerprint, self._now())

    def judge(self, fingerprints: Fingerprints | None) -> Judgement:
        """Return the state of a request now, by itself and by its parts."""
        if fingerprints is None:
            return NO_JUDGEMENT
        return self.crash_records.judge(fingerprints, self._now())

    def _now(self) -> float:
        """Return the time on the clock that all instances share."""
        return self._clock.estimate_store_time(trio.current_time())

    @asynccontextmanager
    async def track_call(self, fingerprint: str | None) -> AsyncIterator[None]:
        """Count a call while it lasts; report its crash if it gets no answer."""
        if fingerprint is None:
            yield
            return
        self._calls[fingerprint] += 1
        try:
            yield
        finally:
            self._calls[fingerprint] -= 1
            if not self._calls[fingerprint]:
                del self._calls[fingerprint]
                self._send_unsent(fingerprint)

    @asynccontextmanager
    async def admit_attempt(
        self, fingerprints: Fingerprints | None, until: float
    ) -> AsyncIterator[AttemptDecision]:
        """Wait, until ``until`` at the latest, until a request may be sent.

        A suspected request has a single attempt in flight at a time, and so have all
        requests with a suspected part: if that crashes its server, no further server is
        lost, and once it is answered, all others may be sent. A request that is held
        isn't sent until its state has settled.
        """
        if fingerprints is None:
            yield AttemptDecision.FREE
            return
        decision = await self._await_admission(fingerprints, until)
        if decision in (AttemptDecision.BUSY, AttemptDecision.QUARANTINED):
            yield decision
            return
        self._attempts.update(fingerprints.all)
        try:
            yield decision
        finally:
            self._attempts.subtract(fingerprints.all)
            for fingerprint in fingerprints.all:
                if not self._attempts[fingerprint]:
                    del self._attempts[fingerprint]
                    self._wake(fingerprint)

    async def _await_admission(
        self, fingerprints: Fingerprints, until: float
    ) -> AttemptDecision:
        while True:
            state, suspect = self.judge(fingerprints)
            if state is QuarantineState.FREE:
                return AttemptDecision.FREE
            if state is QuarantineState.QUARANTINED:
                return AttemptDecision.QUARANTINED
            is_allowed = state is QuarantineState.SUSPECTED or (
                state is QuarantineState.CONTESTED and self._is_home(suspect)
            )
            if is_allowed and not self._attempts[suspect]:
                return AttemptDecision.ALONE
            if trio.current_time() >= until:
                return AttemptDecision.BUSY
            state_change = self._state_changes.setdefault(suspect, trio.Event())
            with trio.move_on_at(until):
                await state_change.wait()

    def _is_home(self, fingerprint: str) -> bool:
        """Return whether this instance is the rendezvous-hash home of a request.

        Only the home tries a contested request. If all instances tried it, they would
        also try the other request that was lost in the same crashes: with six instances
        and 20 attempts a second, ten more servers crashed.
        """
        names = {self._name, *self._list_instances()}
        key = int(fingerprint.removeprefix(PART_PREFIX), 16)
        return rank_by_rendezvous(key, sorted(names))[0] == self._name

    def _wake(self, fingerprint: str) -> None:
        """Wake the attempts of a request that wait for admission."""
        state_change = self._state_changes.pop(fingerprint, None)
        if state_change is not None:
            state_change.set()

    def note_lost(self, lost: LostRequest) -> None:
        """Record a request of this instance that was in flight at a crash."""
        server = lost.server
        sent_at = self._clock.estimate_store_time(lost.sent_at)
        crashed_at = self._clock.estimate_store_time(lost.failed_at)
        crash = ServerCrash(
            lost.fingerprint, server.id, server.started_ms, sent_at, crashed_at
        )
        now = self._now()
        if not self._merge(crash, now, OWN):
            return
        if is_part(lost.fingerprint):
            self._share_part(lost.fingerprint, now)
            return
        state = self.crash_records.classify(lost.fingerprint, now)
        if state is QuarantineState.FREE:
            return
        self._unsent.add(lost.fingerprint)
        if self.crash_records.count_successive(lost.fingerprint, now) > 1:
            self._share(lost.fingerprint, now)
        elif not self._calls[lost.fingerprint]:
            self._send_unsent(lost.fingerprint)

    def merge_reported(
        self, crashes: Sequence[ServerCrash], sender: str
    ) -> list[ServerCrash]:
        """Merge the crashes that another instance reports; return the new ones."""
        now = self._now()
        self._shared.update(crash.fingerprint for crash in crashes)
        return [crash for crash in crashes if self._merge(crash, now, sender)]

    def _merge(self, crash: ServerCrash, now: float, reporter: str) -> bool:
        """Merge a crash; return whether it is new.

        If a server has answered the request here lately, the crash is cleared.
        """
        fingerprint = crash.fingerprint
        if not self.crash_records.note(crash, now):
            return False
        self._reporters.setdefault(fingerprint, set()).add(reporter)
        if self.crash_records.was_answered(fingerprint, now):
            self._note_cleared(
                self.crash_records.clear(fingerprint, now), "answered here"
            )
        new_state = self.crash_records.classify(fingerprint, now)
        if new_state is not self._states.get(fingerprint, QuarantineState.FREE):
            self._note_state(fingerprint, new_state, now)
        if new_state is not QuarantineState.SUSPECTED:
            self._wake(fingerprint)
        return True

    def note_answered(self, fingerprint: str | None) -> None:
        """Record a complete answer to a request, which is therefore not the cause."""
        if fingerprint is None:
            return
        now = self._now()
        was_persisted = (
            self.crash_records.classify(fingerprint, now) is QuarantineState.QUARANTINED
        )
        cleared = self.crash_records.note_answered(fingerprint, now)
        self._release(
            fingerprint, cleared, "answered here", was_persisted=was_persisted
        )

    def note_begun(self, fingerprints: Fingerprints | None) -> None:
        """Record that an answer has begun, so that no part of the prompt is a cause."""
        for part in fingerprints.parts if fingerprints else ():
            self.note_answered(part)

    def clear(self, fingerprint: str) -> bool:
        """Clear a request at all instances, on an operator's order.

        :return: whether any crash counted against it.
        """
        cleared = self.crash_records.clear(fingerprint, self._now())
        self._shared.add(fingerprint)
        self._release(fingerprint, cleared, "operator", was_persisted=True)
        return bool(cleared)

    def _release(
        self,
        fingerprint: str,
        cleared: list[ServerCrash],
        reason: str,
        *,
        was_persisted: bool,
    ) -> None:
        if not cleared:
            return
        self._note_cleared(cleared, reason)
        self._wake(fingerprint)
        if was_persisted:
            self._rows.remove(fingerprint)

    def _note_cleared(self, cleared: list[ServerCrash], reason: str) -> None:
        """Log that a request is not the cause; report it if peers know its crashes."""
        if not cleared:
            return
        fingerprint = cleared[0].fingerprint
        self._unsent.discard(fingerprint)
        self._log.note("request_cleared", fingerprint=fingerprint, reason=reason)
        if fingerprint in self._shared:
            self._send_crashes(cleared)

    def _note_state(self, fingerprint: str, state: QuarantineState, now: float) -> None:
        was_persisted = self._states.get(fingerprint) in PERSISTED_STATES
        self._states[fingerprint] = state
        self._log.note(
            f"request_{state}",
            fingerprint=fingerprint,
            servers=self.crash_records.list_servers(fingerprint, now),
            told_by=sorted(self._reporters.get(fingerprint, ())),
        )
        if state in PERSISTED_STATES and not was_persisted:
            self._metrics.count_quarantined()
            if OWN in self._reporters.get(fingerprint, ()):
                self._persist(fingerprint, now)

    def note_refused(self, fingerprint: str) -> None:
        """Count a refusal for a quarantined request or part."""
        self._metrics.count_refusal("quarantined")
        self._refused[fingerprint] += 1
        if self._states.get(fingerprint) is not QuarantineState.QUARANTINED:
            # The state has settled since the last report.
            self._note_state(fingerprint, QuarantineState.QUARANTINED, self._now())

    def _send_unsent(self, fingerprint: str) -> None:
        """Send the crash of an unanswered request, within the limit of such reports."""
        if fingerprint not in self._unsent:
            return
        if self._single_requests.take(trio.current_time()):
            self._share(fingerprint, self._now())

    def _share_part(self, fingerprint: str, now: float) -> None:
        """Send the crashes of a part at once: each may be another instance's first.

        A single one is sent within the limit of such reports.
        """
        if not self.crash_records.list_crashes(fingerprint, now):
            return
        is_single = self.crash_records.count_successive(fingerprint, now) <= 1
        if not is_single or self._single_parts.take(trio.current_time()):
            self._share(fingerprint, now)

    def _share(self, fingerprint: str, now: float) -> None:
        self._unsent.discard(fingerprint)
        self._shared.add(fingerprint)
        self._send_crashes(self.crash_records.list_crashes(fingerprint, now))

    def list_for_new_peer(self) -> list[ServerCrash]:
        """Return the crashes to send to an instance that has just connected."""
        return self.crash_records.list_most_suspect(self._now())

    def expire(self) -> None:
        """Remove expired crashes and all that is kept for their requests."""
        self.crash_records.expire(self._now())
        for fingerprints in (self._unsent, self._shared):
            fingerprints.intersection_update(self.crash_records.list_fingerprints())
        for by_fingerprint in (self._reporters, self._refused, self._states):
            for fingerprint in (
                by_fingerprint.keys() - self.crash_records.list_fingerprints()
            ):
                del by_fingerprint[fingerprint]

    def describe(self) -> list[dict[str, object]]:
        """Return the requests with known crashes, gravest first, for operators."""
        now = self._now()
        return [
            {
                "fingerprint": fingerprint,
                "standing": state,
                "servers": self.crash_records.list_servers(fingerprint, now),
                "told_by": sorted(self._reporters.get(fingerprint, ())),
                "refused_here": self._refused[fingerprint],
            }
            for state in reversed(QuarantineState)
            for fingerprint in self.crash_records.list_by_state(state, now)
        ]

    def _persist(self, fingerprint: str, now: float) -> None:
        """Write the crashes of a quarantined request to the store.

        Otherwise they would be lost if all instances crash together, and the request
        would crash three more servers each time.
        """
        self._rows.persist(
            fingerprint, self.crash_records.list_crashes(fingerprint, now)
        )

    def _persist_again(self) -> None:
        """Write the rows again that a store restored from an older copy may lack."""
        now = self._now()
        for fingerprint in self.crash_records.list_by_state(
            QuarantineState.QUARANTINED, now
        ):
            if OWN in self._reporters.get(fingerprint, ()):
                self._persist(fingerprint, now)

    def _merge_persisted(self, crashes: list[ServerCrash]) -> None:
        """Merge the stored crashes, and send the new ones to the other instances."""
        new_crashes = self.merge_reported(crashes, STORE)
        if new_crashes:
            self._send_crashes(new_crashes)
