"""Quarantine of calls of the callers' API that crash the servers which run them.

Instances report the crashes that they have seen in their gossip facts. They share no
clock, so times are sent as ages, and two times count as different only if they
are further apart than the longest propagation of a fact.
"""

from __future__ import annotations

__all__ = ["CallQuarantine"]

from collections import Counter
from typing import TYPE_CHECKING, Any, NamedTuple

import msgspec
import trio
from logbook import Logger

from ashpond.bounds import Amount
from ashpond.clients.channelpools import ConnectResult, check_address
from ashpond.controllers.crashdetection import CrashDetector, LostRequest, WatchedServer
from ashpond.decisions.fingerprints import make_fingerprint
from ashpond.decisions.quarantine import (
    CrashRecords,
    Fingerprint,
    QuarantineState,
    ServerCrash,
    ServerId,
)

if TYPE_CHECKING:
    from ashpond.call import Call
    from ashpond.controllers.engines import EnginesController
    from ashpond.controllers.members import MembersController
    from ashpond.decisions.membership import Fact
    from ashpond.metrics import Metrics
    from ashpond.settings import Settings

logger = Logger("ashpond.callends")

CRASHES_KEY = "server_ends"
# A crash counts for ten minutes, as for routed calls (seconds).
RETENTION_SECONDS = 600.0
# A fact reaches all instances within two gossip periods (periods).
MAX_GOSSIP_PERIODS = 2
# The most crashes in a fact, which is sent each gossip period; some 70 bytes each.
MAX_SENT_CRASHES = 32


class _ReportedCrash(NamedTuple):
    fingerprint: Fingerprint
    server: ServerId
    sent_seconds_ago: Amount
    crashed_seconds_ago: Amount
    is_cleared: bool


class CallQuarantine:
    """The states of calls, by the crashes that all instances have reported."""

    def __init__(
        self,
        settings: Settings,
        engines: EnginesController,
        members: MembersController,
        metrics: Metrics,
    ):
        self._secret = settings.peer_secret
        self._engines = engines
        self._metrics = metrics
        self._in_progress: Counter[str] = Counter()
        self._detector = CrashDetector(
            _check,
            _log_event,
            self._note_lost,
            list_servers=lambda: (s.watched for s in engines.servers.values()),
        )
        clock_error = settings.timing.gossip * MAX_GOSSIP_PERIODS
        self._crash_records = CrashRecords(
            RETENTION_SECONDS, self._detector.measure_hazard, clock_error
        )
        engines.on_crash = self._detector.note_crash
        members.add_fact_part(CRASHES_KEY, self._export_crashes)
        members.on_fact(self._merge_fact)

    async def run(self) -> None:
        """Run the crash detection until cancelled."""
        await self._detector.run()

    def compute_fingerprint(self, call: Call) -> str:
        """Return the fingerprint of a call's team, kind, method, target and body."""
        target = f"{call.service_name} {call.path}?{call.query}".encode()
        return make_fingerprint(
            self._secret, call.team_name, call.kind, call.method, target, call.body
        )

    def classify(self, fingerprint: str) -> QuarantineState:
        """Return the state of a call now."""
        return self._crash_records.classify(fingerprint, trio.current_time())

    def is_in_progress(self, fingerprint: str) -> bool:
        """Return whether a call with that fingerprint is being handled here."""
        return self._in_progress[fingerprint] > 0

    def note_started(self, fingerprint: str) -> None:
        """Count a call as being handled."""
        self._in_progress[fingerprint] += 1

    def note_finished(self, fingerprint: str, *, is_answered: bool) -> None:
        """Record the end of a call; a complete answer clears its fingerprint."""
        self._in_progress[fingerprint] -= 1
        if not self._in_progress[fingerprint]:
            del self._in_progress[fingerprint]
        if is_answered:
            now = trio.current_time()
            if self._crash_records.note_answered(fingerprint, now):
                logger.notice("call_cleared", extra={"fingerprint": fingerprint})

    def find_server(self, name: str) -> WatchedServer | None:
        """Return the current start of a server, None if the server is unknown."""
        state = self._engines.servers.get(name)
        return None if state is None else state.watched

    def note_failed_attempt(
        self, call: Call, server: WatchedServer | None, sent_at: float
    ) -> None:
        """Record an attempt that may have run and got no complete answer."""
        if server is not None:
            self._detector.note_failed_attempt(
                server, self.compute_fingerprint(call), sent_at
            )

    def _note_lost(self, lost: LostRequest) -> None:
        server = lost.server
        crash = ServerCrash(
            lost.fingerprint, server.id, server.started_ms, lost.sent_at, lost.failed_at
        )
        self._merge(crash)

    def _merge(self, crash: ServerCrash) -> None:
        now = trio.current_time()
        fingerprint = crash.fingerprint
        if not self._crash_records.note(crash, now):
            return
        if self._crash_records.was_answered(fingerprint, now):
            self._crash_records.clear(fingerprint, now)
        fields = {
            "fingerprint": fingerprint,
            "standing": self._crash_records.classify(fingerprint, now),
            "servers": self._crash_records.list_servers(fingerprint, now),
        }
        logger.notice("call_judged", extra=fields)

    def _export_crashes(self) -> list[list[Any]]:
        """Return the crashes to send to other instances, the gravest cases first."""
        now = trio.current_time()
        self._crash_records.expire(now)
        return [
            [
                crash.fingerprint,
                crash.server_id,
                max(0.0, now - crash.sent_at),
                max(0.0, now - crash.crashed_at),
                crash.is_cleared,
            ]
            for crash in self._crash_records.export(MAX_SENT_CRASHES)
        ]

    def _merge_fact(self, fact: Fact) -> None:
        """Merge the crashes in another instance's fact; log an invalid one."""
        now = trio.current_time()
        try:
            reports = msgspec.convert(
                fact.body.get(CRASHES_KEY, []), list[_ReportedCrash]
            )
        except msgspec.ValidationError as error:
            extra = {"origin": fact.origin, "reason": str(error)}
            logger.warning("server_ends_invalid", extra=extra)
            return
        for crash in reports:
            times = (now - crash.sent_seconds_ago, now - crash.crashed_seconds_ago)
            self._merge(
                ServerCrash(
                    crash.fingerprint, crash.server, None, *times, crash.is_cleared
                )
            )


async def _check(server: WatchedServer) -> ConnectResult:
    return await check_address(server.address)


def _log_event(event: str, **fields: object) -> None:
    logger.notice(event, extra=fields)
