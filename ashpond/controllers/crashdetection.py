"""Detect crashes of servers, and the requests that were in flight there.

An attempt can fail without an answer for many reasons: the server crashed, a link
failed, a weights order interrupted the request, or the answer was lost. Only evidence
of the crash itself counts: refused connections, a new start under the server's id,
another server at its address, or a row that disappears without notice.
"""

from __future__ import annotations

__all__ = ["CrashDetector", "CrashEvidence", "LostRequest", "WatchedServer"]

from collections import Counter
from collections.abc import Awaitable, Callable, Iterable
from enum import StrEnum
from typing import NamedTuple

import trio

from ashpond.clients.channelpools import ConnectResult

# The row of a crashed server disappears after three missed heartbeats, 2.4 to 3.6 s
# after the crash. An attempt that failed longer ago than this is not attributed to the
# crash (seconds).
ATTRIBUTION_SECONDS = 6.0
# All connections break in the crash, but some are read later than the one by which the
# crash was detected. Attempts that fail within this time belong to it (seconds).
SAME_CRASH_SECONDS = 1.0
# The shortest interval between two connection checks of a server (seconds).
CHECK_INTERVAL_SECONDS = 0.5
# The most servers with failed attempts, and fingerprints of each: 64 slots, with the
# requests and the parts of their prompts.
MAX_SERVERS = 256
MAX_REQUESTS = 256
# The most servers that wait for a connection check.
MAX_CHECKS = 64
# The time over which the rate of crashes is measured. After the start of an instance it
# is the time since then, but at least the minimum below (seconds).
HAZARD_SECONDS = 30.0
MIN_HAZARD_SECONDS = 5.0
MAX_CRASHES = 4_096


class CrashEvidence(StrEnum):
    """What shows that a server has crashed."""

    REFUSED = "refused"
    REFUSED_HERE = "refused_here"
    NEW_START = "new_start"
    OTHER_SERVER = "other_server"
    ENTRY_GONE = "entry_gone"


class WatchedServer(NamedTuple):
    """One start of a server; ``owner`` identifies it in this process.

    ``started_ms`` is the Unix time of the start in ms, None if the server does not
    report it.
    """

    owner: str
    id: str
    started_ms: int | None
    address: str
    service: str
    is_draining: bool


class LostRequest(NamedTuple):
    """A request that was in flight at a server when it crashed.

    ``sent_at`` and ``failed_at`` are on this process's clock (seconds).
    """

    fingerprint: str
    server: WatchedServer
    sent_at: float
    failed_at: float


class _FailedAttempts:
    """The failed attempts at one start of a server, by the request's fingerprint."""

    def __init__(self, server: WatchedServer):
        self.server = server
        self.requests: dict[str, LostRequest] = {}
        self.failed_at = float("-inf")
        self.checked_at = float("-inf")
        self.reachable_at = float("-inf")
        self.crashed_at: float | None = None


class CrashDetector:
    """The detector of crashes, which attributes failed attempts to them.

    :param check: checks whether a server accepts connections.
    :param log_event: logs an event with its fields.
    :param on_lost: is called once for each request that was in flight at a crash.
    :param on_refused: is called with a server that refuses connections.
    :param list_servers: returns the current servers.
    """

    def __init__(
        self,
        check: Callable[[WatchedServer], Awaitable[ConnectResult]],
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
        # The service and the time of each recent crash, by the start's owner key.
        self._crashes: dict[str, tuple[str, float]] = {}
        # The highest recent number of servers of each service, and when it was seen.
        self._peaks: dict[str, tuple[int, float]] = {}
        self._by_owner: dict[str, _FailedAttempts] = {}
        self._checks, self._to_check = trio.open_memory_channel[_FailedAttempts](
            MAX_CHECKS
        )

    async def run(self) -> None:
        """Check the servers at which attempts failed, until cancelled."""
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
        """Record an attempt that failed without a complete answer.

        A draining server closes its connections without having crashed, so it is
        ignored. After an idle timeout the server is not checked: it is probably busy,
        so a connection would prove nothing, and might take a slot of a full server.
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
        """Record the crash of a start, and call ``on_lost`` for its requests."""
        if server.is_draining:
            return
        now = trio.current_time()
        self._count_crash(server, now)
        attempts = self._by_owner.get(server.owner)
        if attempts is None or attempts.crashed_at is not None:
            return
        since = now - ATTRIBUTION_SECONDS
        if evidence is not CrashEvidence.NEW_START:
            # The server was reachable after earlier attempts failed, so that this crash
            # is not their cause.
            since = max(since, attempts.reachable_at)
        lost = [
            request
            for request in attempts.requests.values()
            if request.failed_at >= since
        ]
        attempts.crashed_at = now
        attempts.requests.clear()
        self._log_crash(attempts, evidence, lost)

    def _note_likely_crash(self, attempts: _FailedAttempts) -> None:
        """Report the lost requests of a server that this instance alone found refusing.

        If all servers crash at once, every instance takes itself for cut off, and none
        can say for sure. If it was cut off, the requests are answered elsewhere soon.
        """
        since = max(trio.current_time() - ATTRIBUTION_SECONDS, attempts.reachable_at)
        lost = [r for r in attempts.requests.values() if r.failed_at >= since]
        attempts.requests.clear()
        self._log_crash(attempts, CrashEvidence.REFUSED_HERE, lost)

    def _log_crash(
        self,
        attempts: _FailedAttempts,
        evidence: CrashEvidence,
        lost: list[LostRequest],
    ) -> None:
        """Log a crash, and call ``on_lost`` for the requests that were lost in it."""
        server = attempts.server
        self._log_event(
            "server_ended",
            server=server.id,
            born=server.started_ms,
            evidence=evidence,
            after=round(trio.current_time() - attempts.failed_at, 4),
            in_flight=sorted(request.fingerprint for request in lost),
        )
        for request in lost:
            self._on_lost(request)

    def _count_crash(self, server: WatchedServer, now: float) -> None:
        if server.owner in self._crashes or len(self._crashes) >= MAX_CRASHES:
            return
        self.note_server_counts()
        self._crashes[server.owner] = (server.service, now)

    def note_server_counts(self) -> None:
        """Record the current number of servers; to be called every few seconds."""
        now = trio.current_time()
        if self._watched_since is None:
            self._watched_since = now
        counts = Counter(server.service for server in self._list_servers())
        for service, count in counts.items():
            peak, at = self._peaks.get(service, (0, now))
            if count >= peak or now - at > HAZARD_SECONDS:
                self._peaks[service] = (count, now)
        since = now - HAZARD_SECONDS
        self._crashes = {
            o: crash for o, crash in self._crashes.items() if crash[1] >= since
        }

    def measure_hazard(self) -> float:
        """Return the recent hazard rate of the service with the highest one.

        :return: crashes per server and second.
        """
        self.note_server_counts()
        since = self._watched_since or 0.0
        crashes = Counter(service for service, _ in self._crashes.values())
        watched = max(MIN_HAZARD_SECONDS, trio.current_time() - since)
        seconds = min(HAZARD_SECONDS, watched)
        return max(
            (
                count / (self._peaks.get(service, (1, 0.0))[0] * seconds)
                for service, count in crashes.items()
            ),
            default=0.0,
        )

    def _get_attempts(self, server: WatchedServer, now: float) -> _FailedAttempts:
        attempts = self._by_owner.pop(server.owner, None)
        if attempts is None:
            attempts = _FailedAttempts(server)
        # In the order of the last failure, so that the first is the oldest.
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
        if reach is ConnectResult.REFUSED:
            self.note_crash(server, CrashEvidence.REFUSED)
            self._on_refused(server)
        elif reach is ConnectResult.REFUSED_HERE:
            self._note_likely_crash(attempts)
        elif reach is ConnectResult.CONNECTED:
            attempts.reachable_at = trio.current_time()
