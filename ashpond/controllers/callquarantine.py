"""Calls of the callers' API that end the servers which run them.

Instances tell each other what they have seen in their facts. Those have no clock in
common, so that times travel as ages, and count as apart only beyond a gossip period.
"""

from __future__ import annotations

__all__ = ["CallQuarantine"]

from collections import Counter
from typing import TYPE_CHECKING, Any, NamedTuple

import msgspec
import trio
from logbook import Logger

from ashpond.bounds import Amount
from ashpond.clients.channels import Reach, check_address
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

ENDS_PART = "server_ends"
# As for routed calls: an end counts for ten minutes (seconds).
KEEP_SECONDS = 600.0
# Two gossip periods may pass until a fact has reached all (periods).
LATE_PERIODS = 2
# Ends in a fact, some 70 bytes each, which is sent in each gossip period.
MAX_TOLD = 32


class _ToldEnd(NamedTuple):
    fingerprint: Fingerprint
    server: ServerId
    sent_seconds_ago: Amount
    ended_seconds_ago: Amount
    is_cleared: bool


class CallQuarantine:
    """Knows which calls are suspected of ending servers, by all instances' word."""

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
        self._on_way: Counter[str] = Counter()
        self._ends = CrashDetector(
            _check,
            _log_event,
            self._note_lost,
            list_servers=lambda: (s.watched for s in engines.servers.values()),
        )
        late = settings.timing.gossip * LATE_PERIODS
        self._suspicions = CrashRecords(KEEP_SECONDS, self._ends.measure_hazard, late)
        engines.on_crash = self._ends.note_crash
        members.add_fact_part(ENDS_PART, self._describe)
        members.on_fact(self._take_fact)

    async def run(self) -> None:
        """Look whether servers have ended, until cancelled."""
        await self._ends.run()

    def identify(self, call: Call) -> str:
        """Return the name of what a call asks."""
        target = f"{call.service_name} {call.path}?{call.query}".encode()
        return make_fingerprint(
            self._secret, call.team_name, call.kind, call.method, target, call.body
        )

    def judge(self, fingerprint: str) -> QuarantineState:
        """Return what is believed of a call now."""
        return self._suspicions.classify(fingerprint, trio.current_time())

    def is_on_way(self, fingerprint: str) -> bool:
        """Return whether a call of that name is being handled here."""
        return self._on_way[fingerprint] > 0

    def note_begun(self, fingerprint: str) -> None:
        """Count a call that is being handled."""
        self._on_way[fingerprint] += 1

    def note_over(self, fingerprint: str, *, is_answered: bool) -> None:
        """Note the end of a call; one that was answered whole ends no server."""
        self._on_way[fingerprint] -= 1
        if not self._on_way[fingerprint]:
            del self._on_way[fingerprint]
        if is_answered:
            now = trio.current_time()
            if self._suspicions.note_answered(fingerprint, now):
                logger.notice("call_cleared", extra={"fingerprint": fingerprint})

    def find_server(self, name: str) -> WatchedServer | None:
        """Return the start of a server that a call is about to be sent to."""
        state = self._engines.servers.get(name)
        return None if state is None else state.watched

    def note_failed_attempt(
        self, call: Call, server: WatchedServer | None, sent_at: float
    ) -> None:
        """Note that an attempt brought no whole answer, and may have run."""
        if server is not None:
            self._ends.note_failed_attempt(server, self.identify(call), sent_at)

    def _note_lost(self, lost: LostRequest) -> None:
        server = lost.server
        end = ServerCrash(
            lost.fingerprint, server.id, server.started_ms, lost.sent_at, lost.failed_at
        )
        self._take(end)

    def _take(self, end: ServerCrash) -> None:
        now = trio.current_time()
        name = end.fingerprint
        if not self._suspicions.note(end, now):
            return
        if self._suspicions.was_answered(name, now):
            self._suspicions.clear(name, now)
        fields = {
            "fingerprint": name,
            "standing": self._suspicions.classify(name, now),
            "servers": self._suspicions.list_servers(name, now),
        }
        logger.notice("call_judged", extra=fields)

    def _describe(self) -> list[list[Any]]:
        """Return what the other instances are told, the gravest first."""
        now = trio.current_time()
        self._suspicions.expire(now)
        return [
            [
                end.fingerprint,
                end.server_id,
                max(0.0, now - end.sent_at),
                max(0.0, now - end.crashed_at),
                end.is_cleared,
            ]
            for end in self._suspicions.export(MAX_TOLD)
        ]

    def _take_fact(self, fact: Fact) -> None:
        """Take in what another instance tells; what makes no sense is passed over."""
        now = trio.current_time()
        try:
            told = msgspec.convert(fact.body.get(ENDS_PART, []), list[_ToldEnd])
        except msgspec.ValidationError as error:
            extra = {"origin": fact.origin, "reason": str(error)}
            logger.warning("server_ends_invalid", extra=extra)
            return
        for end in told:
            times = (now - end.sent_seconds_ago, now - end.ended_seconds_ago)
            self._take(
                ServerCrash(end.fingerprint, end.server, None, *times, end.is_cleared)
            )


async def _check(server: WatchedServer) -> Reach:
    return await check_address(server.address)


def _log_event(event: str, **fields: object) -> None:
    logger.notice(event, extra=fields)
