"""Find out which servers have ended, and which requests were in flight there.

A send that ends without an answer has many causes: its server ended, a link was cut,
an order cut its runs, the answer was lost. Only what shows an end by itself counts:
connections that the server's address refuses, a new start under its id, another server
at its address, its entry gone without a word.
"""

from __future__ import annotations

__all__ = ["CrashDetector", "CrashEvidence", "LostRequest", "WatchedServer"]

from collections import Counter
from collections.abc import Awaitable, Callable, Iterable
from enum import StrEnum
from typing import NamedTuple

import trio

from ashpond.clients.channels import Reach

# The entry of a server that has ended goes after three heartbeats of silence, 2.4 to
# 3.6 s later; a send that broke longer before was not broken by the end (seconds).
ATTRIBUTION_SECONDS = 6.0
# All connections break at the moment of an end; some are read a little later than the
# first of them, which may have been enough to learn of the end (seconds).
SAME_CRASH_SECONDS = 1.0
# A server is connected to at most so often to see whether it lives (seconds).
CHECK_INTERVAL_SECONDS = 0.5
# Servers whose sends broke of late, and requests of each; a server has 24 to 64 slots.
MAX_SERVERS = 256
MAX_REQUESTS = 64
# Servers that wait to be asked.
MAX_CHECKS = 64
# How often servers end is measured over this time; just after the start of an instance
# over what has passed since, but not less than the shorter one (seconds).
HAZARD_SECONDS = 30.0
MIN_HAZARD_SECONDS = 5.0
MAX_CRASHES = 4_096


class CrashEvidence(StrEnum):
    """What shows that a server has ended."""

    REFUSED = "refused"
    NEW_START = "new_start"
    OTHER_SERVER = "other_server"
    ENTRY_GONE = "entry_gone"


class WatchedServer(NamedTuple):
    """One start of a server; ``owner`` names it in this process.

    ``born`` is the time of the start in ms, None where the server does not tell it.
    """

    owner: str
    id: str
    started_ms: int | None
    address: str
    service: str
    is_draining: bool


class LostRequest(NamedTuple):
    """A request that was in flight at a server when it ended.

    ``sent_at`` and ``broken_at`` are on this process's clock (seconds).
    """

    fingerprint: str
    server: WatchedServer
    sent_at: float
    failed_at: float


class _FailedAttempts:
    """The sends that broke at one start of a server, by fingerprint."""

    def __init__(self, server: WatchedServer):
        self.server = server
        self.requests: dict[str, LostRequest] = {}
        self.failed_at = float("-inf")
        self.checked_at = float("-inf")
        self.reachable_at = float("-inf")
        self.crashed_at: float | None = None


class CrashDetector:
    """Takes broken sends and signs of an end, and tells which requests were lost.

    :param check: connects to a server to see whether it lives.
    :param note: logs an event with its fields.
    :param on_lost: is called once for each request that was in flight at an end.
    :param on_refused: is called with a server that refuses connections.
    :param list_servers: returns the servers that are there.
    """

    def __init__(
        self,
        check: Callable[[WatchedServer], Awaitable[Reach]],
        log_event: Callable[..., None],
        on_lost: Callable[[LostRequest], None],
        on_refused: Callable[[WatchedServer], None] = lambda server: None,
        list_servers: Callable[[], Iterable[WatchedServer]] = lambda: (),
    ):
        self._check_server = check
        self._log_event = log_event
        self._on_lost = on_lost
        self._on_refused = on_refused
        self._list_servers = list_servers
        self._watched_since: float | None = None
        # The service of each start that has ended of late, and when.
        self._crashes: dict[str, tuple[str, float]] = {}
        # The most servers of each service that were there of late, and when.
        self._peaks: dict[str, tuple[int, float]] = {}
        self._by_owner: dict[str, _FailedAttempts] = {}
        self._checks, self._to_check = trio.open_memory_channel[_FailedAttempts](
            MAX_CHECKS
        )

    async def run(self) -> None:
        """Ask the servers whose sends broke, until cancelled."""
        self.note_server_counts()
        async with trio.open_nursery() as nursery:
            async for attempts in self._to_check:
                nursery.start_soon(self._check, attempts)

    def note_failed_attempt(
        self,
        server: WatchedServer,
        fingerprint: str | None,
        sent_at: float,
        *,
        is_idle_timeout: bool = False,
    ) -> None:
        """Note that a send broke, or fell silent, without a whole answer.

        A server that leaves as announced ends its connections; nobody ended it. One
        that is silent is mostly busy: a connection more would show nothing, and at a
        server that is full each one may hold a slot.
        """
        if fingerprint is None or server.is_draining:
            return
        now = trio.current_time()
        attempts = self._get_attempts(server, now)
        attempts.failed_at = now
        lost = LostRequest(fingerprint, server, sent_at, now)
        if attempts.crashed_at is not None:
            if now - attempts.crashed_at <= SAME_CRASH_SECONDS:
                self._on_lost(lost)
            return
        if len(attempts.requests) < MAX_REQUESTS:
            attempts.requests[fingerprint] = lost
        if not is_idle_timeout:
            self._request_check(attempts, now)

    def note_crash(self, server: WatchedServer, evidence: CrashEvidence) -> None:
        """Take a sign that a start of a server has ended."""
        if server.is_draining:
            return
        now = trio.current_time()
        self._count_crash(server, now)
        attempts = self._by_owner.get(server.owner)
        if attempts is None or attempts.crashed_at is not None:
            return
        since = now - ATTRIBUTION_SECONDS
        if evidence is not CrashEvidence.NEW_START:
            # It lived after these broke, or has gone without ending them.
            since = max(since, attempts.reachable_at)
        lost = [
            found for found in attempts.requests.values() if found.failed_at >= since
        ]
        attempts.crashed_at = now
        attempts.requests.clear()
        self._log_event(
            "server_ended",
            server=server.id,
            born=server.started_ms,
            evidence=evidence,
            after=round(now - attempts.failed_at, 4),
            in_flight=sorted(found.fingerprint for found in lost),
        )
        for found in lost:
            self._on_lost(found)

    def _count_crash(self, server: WatchedServer, now: float) -> None:
        if server.owner in self._crashes or len(self._crashes) >= MAX_CRASHES:
            return
        self.note_server_counts()
        self._crashes[server.owner] = (server.service, now)

    def note_server_counts(self) -> None:
        """Note how many servers there are now; call it every few seconds."""
        now = trio.current_time()
        if self._watched_since is None:
            self._watched_since = now
        counts = Counter(server.service for server in self._list_servers())
        for service, count in counts.items():
            peak, at = self._peaks.get(service, (0, now))
            if count >= peak or now - at > HAZARD_SECONDS:
                self._peaks[service] = (count, now)
        since = now - HAZARD_SECONDS
        self._crashes = {o: end for o, end in self._crashes.items() if end[1] >= since}

    def measure_hazard(self) -> float:
        """Return how often servers ended of late, in the service that lost most.

        :return: ends per server and second.
        """
        self.note_server_counts()
        since = self._watched_since or 0.0
        ended = Counter(service for service, _ in self._crashes.values())
        watched = max(MIN_HAZARD_SECONDS, trio.current_time() - since)
        seconds = min(HAZARD_SECONDS, watched)
        return max(
            (
                count / (self._peaks.get(service, (1, 0.0))[0] * seconds)
                for service, count in ended.items()
            ),
            default=0.0,
        )

    def _get_attempts(self, server: WatchedServer, now: float) -> _FailedAttempts:
        attempts = self._by_owner.pop(server.owner, None)
        if attempts is None:
            attempts = _FailedAttempts(server)
        # The last one that broke stands last, so that the first is the oldest.
        self._by_owner[server.owner] = attempts
        for owner, oldest in list(self._by_owner.items()):
            is_old = now - oldest.failed_at > ATTRIBUTION_SECONDS
            if oldest is attempts or not (is_old or len(self._by_owner) > MAX_SERVERS):
                break
            del self._by_owner[owner]
        return attempts

    def _request_check(self, attempts: _FailedAttempts, now: float) -> None:
        if now - attempts.checked_at < CHECK_INTERVAL_SECONDS:
            return
        attempts.checked_at = now
        try:
            self._checks.send_nowait(attempts)
        except trio.WouldBlock:
            self._log_event("server_check_skipped", server=attempts.server.id)

    async def _check(self, attempts: _FailedAttempts) -> None:
        server = attempts.server
        reach = await self._check_server(server)
        if reach is Reach.REFUSED:
            self.note_crash(server, CrashEvidence.REFUSED)
            self._on_refused(server)
        elif reach is Reach.CONNECTED:
            attempts.reachable_at = trio.current_time()
