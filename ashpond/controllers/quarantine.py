"""Keep requests that end servers away from them, as all instances together see it."""

from __future__ import annotations

__all__ = ["Quarantine", "Turn"]

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
KEPT = (QuarantineState.HELD, QuarantineState.QUARANTINED)
# A request in flight when a server ends is mostly answered by the next. An end that
# only one instance has seen, of a request that got no answer, is told; so many a
# second, 1.2 KB (ends). At a second end all are told at once.
MAX_SINGLES = 20
SINGLES_SECONDS = 1.0


class Turn(Enum):
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
        suspicions: CrashRecords,
        store: Store,
        clock: StoreClock,
        log: DecisionLog,
        metrics: GatewayMetrics,
        invalid_rows: InvalidRows,
        tell: Callable[[Sequence[ServerCrash]], None],
        is_reader: Callable[[], bool],
        list_instances: Callable[[], Sequence[str]],
    ):
        self._name = name
        self._list_instances = list_instances
        self.suspicions = suspicions
        self._clock = clock
        self._log = log
        self._metrics = metrics
        self._tell = tell
        self._rows = QuarantineRows(store, log, invalid_rows, is_reader)
        self._calls: Counter[str] = Counter()
        self._attempts: Counter[str] = Counter()
        self._settled: dict[str, trio.Event] = {}
        self._untold: set[str] = set()
        self._shared: set[str] = set()
        self._told_by: dict[str, set[str]] = {}
        self._standings: dict[str, QuarantineState] = {}
        self._refused: Counter[str] = Counter()
        self._singles = 0
        self._singles_since = float("-inf")
        store.era.on_change(self._keep_again)

    async def run(self) -> None:
        """Read what the store keeps, and write to it, until cancelled."""
        await self._rows.run(lambda: self.suspicions.keep_seconds, self._take_kept)

    def judge(self, fingerprint: str | None) -> QuarantineState:
        """Return what is believed of a request now."""
        return self.suspicions.classify(fingerprint, self._now())

    def _now(self) -> float:
        """Return the time on the clock that all instances share."""
        return self._clock.estimate_store_time(trio.current_time())

    @asynccontextmanager
    async def take_part(self, fingerprint: str | None) -> AsyncIterator[None]:
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
                self._tell_untold(fingerprint)

    @asynccontextmanager
    async def take_turn(
        self, fingerprint: str | None, until: float
    ) -> AsyncIterator[Turn]:
        """Wait, until ``until`` at the latest, for the turn of a request.

        Of a suspected one a single attempt is on its way at a time: if it ends its
        server the others need not, and if it is answered all are free. One that is
        held, until its case has settled, gets no turn.
        """
        if fingerprint is None:
            yield Turn.FREE
            return
        turn = await self._await_turn(fingerprint, until)
        if turn in (Turn.BUSY, Turn.QUARANTINED):
            yield turn
            return
        self._attempts[fingerprint] += 1
        try:
            yield turn
        finally:
            self._attempts[fingerprint] -= 1
            if not self._attempts[fingerprint]:
                del self._attempts[fingerprint]
                self._wake(fingerprint)

    async def _await_turn(self, fingerprint: str, until: float) -> Turn:
        while True:
            standing = self.judge(fingerprint)
            if standing is QuarantineState.FREE:
                return Turn.FREE
            if standing is QuarantineState.QUARANTINED:
                return Turn.QUARANTINED
            may_try = standing is QuarantineState.SUSPECTED or (
                standing is QuarantineState.CONTESTED and self._is_home(fingerprint)
            )
            if may_try and not self._attempts[fingerprint]:
                return Turn.ALONE
            if trio.current_time() >= until:
                return Turn.BUSY
            settled = self._settled.setdefault(fingerprint, trio.Event())
            with trio.move_on_at(until):
                await settled.wait()

    def _is_home(self, fingerprint: str) -> bool:
        """Return whether this instance is the one to try a contested request.

        At 20 sends a second to six instances each of them tried it, and with it another
        that was lost at the same ends, and ten more servers ended.
        """
        names = {self._name, *self._list_instances()}
        return rank_by_rendezvous(int(fingerprint, 16), sorted(names))[0] == self._name

    def _wake(self, fingerprint: str) -> None:
        """Have those that wait for a turn look again."""
        settled = self._settled.pop(fingerprint, None)
        if settled is not None:
            settled.set()

    def note_lost(self, lost: LostRequest) -> None:
        """Take a request that was in flight here when its server ended."""
        server = lost.server
        sent_at = self._clock.estimate_store_time(lost.sent_at)
        ended_at = self._clock.estimate_store_time(lost.failed_at)
        end = ServerCrash(
            lost.fingerprint, server.id, server.started_ms, sent_at, ended_at
        )
        now = self._now()
        if not self._take(end, now, OWN):
            return
        standing = self.suspicions.classify(lost.fingerprint, now)
        if standing is QuarantineState.FREE:
            return
        self._untold.add(lost.fingerprint)
        if self.suspicions.count_successive(lost.fingerprint, now) > 1:
            self._share(lost.fingerprint, now)
        elif not self._calls[lost.fingerprint]:
            self._tell_untold(lost.fingerprint)

    def take_told(self, ends: Sequence[ServerCrash], sender: str) -> list[ServerCrash]:
        """Take what another instance tells; return what of it is new here."""
        now = self._now()
        self._shared.update(end.fingerprint for end in ends)
        return [end for end in ends if self._take(end, now, sender)]

    def _take(self, end: ServerCrash, now: float, told_by: str) -> bool:
        """Take an end; return whether it is new. What is answered here is cleared."""
        name = end.fingerprint
        if not self.suspicions.note(end, now):
            return False
        self._told_by.setdefault(name, set()).add(told_by)
        if self.suspicions.was_answered(name, now):
            self._note_cleared(self.suspicions.clear(name, now), "answered here")
        after = self.suspicions.classify(name, now)
        if after is not self._standings.get(name, QuarantineState.FREE):
            self._note_standing(name, after, now)
        if after is not QuarantineState.SUSPECTED:
            self._wake(name)
        return True

    def note_answered(self, fingerprint: str | None) -> None:
        """Note that a server has answered a request whole: it is not the cause."""
        if fingerprint is None:
            return
        now = self._now()
        was_kept = (
            self.suspicions.classify(fingerprint, now) is QuarantineState.QUARANTINED
        )
        cleared = self.suspicions.note_answered(fingerprint, now)
        self._release(fingerprint, cleared, "answered here", was_kept=was_kept)

    def clear(self, fingerprint: str) -> bool:
        """Let a request be sent again, at all instances, as an operator asks for.

        :return: whether anything counted against it.
        """
        cleared = self.suspicions.clear(fingerprint, self._now())
        self._shared.add(fingerprint)
        self._release(fingerprint, cleared, "operator", was_kept=True)
        return bool(cleared)

    def _release(
        self, name: str, cleared: list[ServerCrash], reason: str, *, was_kept: bool
    ) -> None:
        if not cleared:
            return
        self._note_cleared(cleared, reason)
        self._wake(name)
        if was_kept:
            self._rows.remove(name)

    def _note_cleared(self, cleared: list[ServerCrash], reason: str) -> None:
        """Log that a request is not the cause; tell it to those that suspect it."""
        if not cleared:
            return
        name = cleared[0].fingerprint
        self._untold.discard(name)
        self._log.note("request_cleared", fingerprint=name, reason=reason)
        if name in self._shared:
            self._tell(cleared)

    def _note_standing(self, name: str, standing: QuarantineState, now: float) -> None:
        was_kept = self._standings.get(name) in KEPT
        self._standings[name] = standing
        self._log.note(
            f"request_{standing}",
            fingerprint=name,
            servers=self.suspicions.list_servers(name, now),
            told_by=sorted(self._told_by.get(name, ())),
        )
        if standing in KEPT and not was_kept:
            self._metrics.count_quarantined()
            if OWN in self._told_by.get(name, ()):
                self._keep(name, now)

    def note_refused(self, fingerprint: str | None) -> None:
        """Count a refusal for a quarantined request."""
        self._metrics.count_refusal("quarantined")
        if fingerprint is None:
            return
        self._refused[fingerprint] += 1
        if self._standings.get(fingerprint) is not QuarantineState.QUARANTINED:
            # Settled since the last news of it.
            self._note_standing(fingerprint, QuarantineState.QUARANTINED, self._now())

    def _tell_untold(self, fingerprint: str) -> None:
        """Tell of a request that lost its server and got no answer, within limits."""
        now = trio.current_time()
        if fingerprint not in self._untold:
            return
        if now - self._singles_since >= SINGLES_SECONDS:
            self._singles_since = now
            self._singles = 0
        if self._singles < MAX_SINGLES:
            self._singles += 1
            self._share(fingerprint, self._now())

    def _share(self, fingerprint: str, now: float) -> None:
        self._untold.discard(fingerprint)
        self._shared.add(fingerprint)
        self._tell(self.suspicions.list_crashes(fingerprint, now))

    def list_for_newcomer(self) -> list[ServerCrash]:
        """Return what an instance is told that has just connected."""
        return self.suspicions.list_most_suspect(self._now())

    def expire(self) -> None:
        """Forget what no longer counts."""
        self.suspicions.expire(self._now())
        for kept in (self._untold, self._shared):
            kept.intersection_update(self.suspicions.list_fingerprints())
        for noted in (self._told_by, self._refused, self._standings):
            for name in noted.keys() - self.suspicions.list_fingerprints():
                del noted[name]

    def describe(self) -> list[dict[str, object]]:
        """Return the requests that are quarantined, for operators."""
        now = self._now()
        return [
            {
                "fingerprint": name,
                "standing": standing,
                "servers": self.suspicions.list_servers(name, now),
                "told_by": sorted(self._told_by.get(name, ())),
                "refused_here": self._refused[name],
            }
            for standing in reversed(QuarantineState)
            for name in self.suspicions.list_by_state(standing, now)
        ]

    def _keep(self, fingerprint: str, now: float) -> None:
        """Have the store keep a quarantined request.

        Without it, once all instances have been ended together, nobody would know; the
        request would end three more servers each time.
        """
        self._rows.keep(fingerprint, self.suspicions.list_crashes(fingerprint, now))

    def _keep_again(self) -> None:
        """Write what a store that came back from an older copy may lack."""
        now = self._now()
        for name in self.suspicions.list_by_state(QuarantineState.QUARANTINED, now):
            if OWN in self._told_by.get(name, ()):
                self._keep(name, now)

    def _take_kept(self, ends: list[ServerCrash]) -> None:
        """Take what the store has kept, and tell those that do not ask it."""
        news = self.take_told(ends, STORE)
        if news:
            self._tell(news)
