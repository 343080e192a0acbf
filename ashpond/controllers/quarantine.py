"""Keep requests that end servers away from them, as all instances together see it."""

from __future__ import annotations

__all__ = ["AttemptDecision", "Quarantine"]

from collections import Counter
from collections.abc import AsyncIterator, Callable, Sequence
from contextlib import asynccontextmanager
from enum import Enum, auto
from typing import TYPE_CHECKING

import trio

from ashpond.controllers.quarantinerows import QuarantineRows
from ashpond.decisions.placement import rank_by_rendezvous
from ashpond.decisions.quarantine import (
    CrashRecords,
    QuarantineState,
    ServerCrash,
)

if TYPE_CHECKING:
    from ashpond.controllers.crashdetection import LostRequest
    from ashpond.controllers.invalidrows import InvalidRows
    from ashpond.gateway.decisionlog import DecisionLog
    from ashpond.gateway.metrics import GatewayMetrics
    from ashpond.gateway.store import Store, StoreClock

# Who told of an end: nobody else, or the store.
OWN = "own"
STORE = "store"
# Of these, the store keeps what is known.
PERSISTED_STATES = (QuarantineState.HELD, QuarantineState.QUARANTINED)
# A request in flight when a server ends is mostly answered by the next. An end that
# only one instance has seen, of a request that got no answer, is told; so many a
# second, 1.2 KB (ends). At a second end all are told at once.
MAX_SINGLE_REPORTS = 20
SINGLE_REPORTS_SECONDS = 1.0


class AttemptDecision(Enum):
    """Whether, and how, a request may be sent."""

    FREE = auto()
    # Suspected: alone of its kind here, once, where it does least harm.
    ALONE = auto()
    # Another attempt of a suspected request is on its way.
    BUSY = auto()
    QUARANTINED = auto()


class Quarantine:
    """What is known of requests that end servers, and what follows from it here.

    :param tell: tells the other instances of ends.
    :param is_reader: whether this instance asks the store for others as well.
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
        self._unsent: set[str] = set()
        self._shared: set[str] = set()
        self._reporters: dict[str, set[str]] = {}
        self._states: dict[str, QuarantineState] = {}
        self._refused: Counter[str] = Counter()
        self._single_reports = 0
        self._single_reports_since = float("-inf")
        store.era.on_change(self._persist_again)

    async def run(self) -> None:
        """Read what the store keeps, and write to it, until cancelled."""
        await self._rows.run(
            lambda: self.crash_records.keep_seconds, self._merge_persisted
        )

    def classify(self, fingerprint: str | None) -> QuarantineState:
        """Return what is believed of a request now."""
        return self.crash_records.classify(fingerprint, self._now())

    def _now(self) -> float:
        """Return the time on the clock that all instances share."""
        return self._clock.estimate_store_time(trio.current_time())

    @asynccontextmanager
    async def track_call(self, fingerprint: str | None) -> AsyncIterator[None]:
        """Count a call while it lasts; what it lost, and got no answer to, is told."""
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
        self, fingerprint: str | None, until: float
    ) -> AsyncIterator[AttemptDecision]:
        """Wait, until ``until`` at the latest, for the turn of a request.

        Of a suspected one a single attempt is on its way at a time: if it ends its
        server the others need not, and if it is answered all are free. One that is
        held, until its case has settled, gets no turn.
        """
        if fingerprint is None:
            yield AttemptDecision.FREE
            return
        decision = await self._await_admission(fingerprint, until)
        if decision in (AttemptDecision.BUSY, AttemptDecision.QUARANTINED):
            yield decision
            return
        self._attempts[fingerprint] += 1
        try:
            yield decision
        finally:
            self._attempts[fingerprint] -= 1
            if not self._attempts[fingerprint]:
                del self._attempts[fingerprint]
                self._wake(fingerprint)

    async def _await_admission(self, fingerprint: str, until: float) -> AttemptDecision:
        while True:
            state = self.classify(fingerprint)
            if state is QuarantineState.FREE:
                return AttemptDecision.FREE
            if state is QuarantineState.QUARANTINED:
                return AttemptDecision.QUARANTINED
            is_allowed = state is QuarantineState.SUSPECTED or (
                state is QuarantineState.CONTESTED and self._is_home(fingerprint)
            )
            if is_allowed and not self._attempts[fingerprint]:
                return AttemptDecision.ALONE
            if trio.current_time() >= until:
                return AttemptDecision.BUSY
            state_change = self._state_changes.setdefault(fingerprint, trio.Event())
            with trio.move_on_at(until):
                await state_change.wait()

    def _is_home(self, fingerprint: str) -> bool:
        """Return whether this instance is the one to try a contested request.

        At 20 sends a second to six instances each of them tried it, and with it another
        that was lost at the same ends, and ten more servers ended.
        """
        names = {self._name, *self._list_instances()}
        return rank_by_rendezvous(int(fingerprint, 16), sorted(names))[0] == self._name

    def _wake(self, fingerprint: str) -> None:
        """Have those that wait for a turn look again."""
        state_change = self._state_changes.pop(fingerprint, None)
        if state_change is not None:
            state_change.set()

    def note_lost(self, lost: LostRequest) -> None:
        """Take a request that was in flight here when its server ended."""
        server = lost.server
        sent_at = self._clock.estimate_store_time(lost.sent_at)
        ended_at = self._clock.estimate_store_time(lost.failed_at)
        crash = ServerCrash(
            lost.fingerprint, server.id, server.started_ms, sent_at, ended_at
        )
        now = self._now()
        if not self._merge(crash, now, OWN):
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
        """Take what another instance tells; return what of it is new here."""
        now = self._now()
        self._shared.update(crash.fingerprint for crash in crashes)
        return [crash for crash in crashes if self._merge(crash, now, sender)]

    def _merge(self, crash: ServerCrash, now: float, reporter: str) -> bool:
        """Take an end; return whether it is new. What is answered here is cleared."""
        name = crash.fingerprint
        if not self.crash_records.note(crash, now):
            return False
        self._reporters.setdefault(name, set()).add(reporter)
        if self.crash_records.was_answered(name, now):
            self._note_cleared(self.crash_records.clear(name, now), "answered here")
        new_state = self.crash_records.classify(name, now)
        if new_state is not self._states.get(name, QuarantineState.FREE):
            self._note_state(name, new_state, now)
        if new_state is not QuarantineState.SUSPECTED:
            self._wake(name)
        return True

    def note_answered(self, fingerprint: str | None) -> None:
        """Note that a server has answered a request whole: it is not the cause."""
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

    def clear(self, fingerprint: str) -> bool:
        """Let a request be sent again, at all instances, as an operator asks for.

        :return: whether anything counted against it.
        """
        cleared = self.crash_records.clear(fingerprint, self._now())
        self._shared.add(fingerprint)
        self._release(fingerprint, cleared, "operator", was_persisted=True)
        return bool(cleared)

    def _release(
        self, name: str, cleared: list[ServerCrash], reason: str, *, was_persisted: bool
    ) -> None:
        if not cleared:
            return
        self._note_cleared(cleared, reason)
        self._wake(name)
        if was_persisted:
            self._rows.remove(name)

    def _note_cleared(self, cleared: list[ServerCrash], reason: str) -> None:
        """Log that a request is not the cause; tell it to those that suspect it."""
        if not cleared:
            return
        name = cleared[0].fingerprint
        self._unsent.discard(name)
        self._log.note("request_cleared", fingerprint=name, reason=reason)
        if name in self._shared:
            self._send_crashes(cleared)

    def _note_state(self, name: str, state: QuarantineState, now: float) -> None:
        was_persisted = self._states.get(name) in PERSISTED_STATES
        self._states[name] = state
        self._log.note(
            f"request_{state}",
            fingerprint=name,
            servers=self.crash_records.list_servers(name, now),
            told_by=sorted(self._reporters.get(name, ())),
        )
        if state in PERSISTED_STATES and not was_persisted:
            self._metrics.count_quarantined()
            if OWN in self._reporters.get(name, ()):
                self._persist(name, now)

    def note_refused(self, fingerprint: str | None) -> None:
        """Count a refusal for a quarantined request."""
        self._metrics.count_refusal("quarantined")
        if fingerprint is None:
            return
        self._refused[fingerprint] += 1
        if self._states.get(fingerprint) is not QuarantineState.QUARANTINED:
            # Settled since the last news of it.
            self._note_state(fingerprint, QuarantineState.QUARANTINED, self._now())

    def _send_unsent(self, fingerprint: str) -> None:
        """Tell of a request that lost its server and got no answer, within limits."""
        now = trio.current_time()
        if fingerprint not in self._unsent:
            return
        if now - self._single_reports_since >= SINGLE_REPORTS_SECONDS:
            self._single_reports_since = now
            self._single_reports = 0
        if self._single_reports < MAX_SINGLE_REPORTS:
            self._single_reports += 1
            self._share(fingerprint, self._now())

    def _share(self, fingerprint: str, now: float) -> None:
        self._unsent.discard(fingerprint)
        self._shared.add(fingerprint)
        self._send_crashes(self.crash_records.list_crashes(fingerprint, now))

    def list_for_new_peer(self) -> list[ServerCrash]:
        """Return what an instance is told that has just connected."""
        return self.crash_records.list_most_suspect(self._now())

    def expire(self) -> None:
        """Forget what no longer counts."""
        self.crash_records.expire(self._now())
        for fingerprints in (self._unsent, self._shared):
            fingerprints.intersection_update(self.crash_records.list_fingerprints())
        for by_fingerprint in (self._reporters, self._refused, self._states):
            for name in by_fingerprint.keys() - self.crash_records.list_fingerprints():
                del by_fingerprint[name]

    def describe(self) -> list[dict[str, object]]:
        """Return the requests that are quarantined, for operators."""
        now = self._now()
        return [
            {
                "fingerprint": name,
                "standing": state,
                "servers": self.crash_records.list_servers(name, now),
                "told_by": sorted(self._reporters.get(name, ())),
                "refused_here": self._refused[name],
            }
            for state in reversed(QuarantineState)
            for name in self.crash_records.list_by_state(state, now)
        ]

    def _persist(self, fingerprint: str, now: float) -> None:
        """Have the store keep a quarantined request.

        Without it, once all instances have been ended together, nobody would know; the
        request would end three more servers each time.
        """
        self._rows.persist(
            fingerprint, self.crash_records.list_crashes(fingerprint, now)
        )

    def _persist_again(self) -> None:
        """Write what a store that came back from an older copy may lack."""
        now = self._now()
        for name in self.crash_records.list_by_state(QuarantineState.QUARANTINED, now):
            if OWN in self._reporters.get(name, ()):
                self._persist(name, now)

    def _merge_persisted(self, crashes: list[ServerCrash]) -> None:
        """Take what the store has kept, and tell those that do not ask it."""
        new_crashes = self.merge_reported(crashes, STORE)
        if new_crashes:
            self._send_crashes(new_crashes)
