"""Find out which servers have ended, and which requests were in flight there.

A send that ends without an answer has many causes: its server ended, a link was cut,
an order cut its runs, the answer was lost. Only what shows an end by itself counts:
connections that the server's address refuses, a new start under its id, another server
at its address, its entry gone without a word.
"""

from __future__ import annotations

__all__ = ["EndEvidence", "LostRequest", "ServerEnds"]

from collections.abc import Callable
from enum import StrEnum
from typing import TYPE_CHECKING, NamedTuple

import trio

from ashpond.clients.channels import Reach

if TYPE_CHECKING:
    from ashpond.clients.channels import ChannelPool
    from ashpond.controllers.directory import ServerState
    from ashpond.gateway.decisionlog import DecisionLog

# The entry of a server that has ended goes after three heartbeats of silence, 2.4 to
# 3.6 s later; a send that broke longer before was not broken by the end (seconds).
ATTRIBUTION_SECONDS = 6.0
# All connections break at the moment of an end; some are read a little later than the
# first of them, which may have been enough to learn of the end (seconds).
SAME_END_SECONDS = 1.0
# A server is connected to at most so often to see whether it lives (seconds).
CHECK_SECONDS = 0.5
# Servers whose sends broke of late, and requests of each; a server has 24 to 64 slots.
MAX_SERVERS = 256
MAX_REQUESTS = 64
# Servers that wait to be asked.
MAX_CHECKS = 64


class EndEvidence(StrEnum):
    """What shows that a server has ended."""

    REFUSED = "refused"
    NEW_START = "new_start"
    OTHER_SERVER = "other_server"
    ENTRY_GONE = "entry_gone"


class LostRequest(NamedTuple):
    """A request that was in flight at a server when it ended."""

    fingerprint: str
    state: ServerState
    at: float


class _Broken:
    """The sends that broke at one start of a server: fingerprints, and when."""

    def __init__(self, state: ServerState):
        self.state = state
        self.lost: dict[str, float] = {}
        self.broken_at = float("-inf")
        self.checked_at = float("-inf")
        self.alive_at = float("-inf")
        self.ended_at: float | None = None


class ServerEnds:
    """Takes broken sends and signs of an end, and tells which requests were lost.

    :param on_lost: is called once for each request that was in flight at an end.
    :param on_refused: is called with a server that refuses connections.
    """

    def __init__(
        self,
        pool: ChannelPool,
        log: DecisionLog,
        on_lost: Callable[[LostRequest], None],
        on_refused: Callable[[ServerState], None] = lambda state: None,
    ):
        self._pool = pool
        self._log = log
        self._on_lost = on_lost
        self._on_refused = on_refused
        self._by_owner: dict[str, _Broken] = {}
        self._checks, self._to_check = trio.open_memory_channel[_Broken](MAX_CHECKS)

    async def run(self) -> None:
        """Ask the servers whose sends broke, until cancelled."""
        async with trio.open_nursery() as nursery:
            async for broken in self._to_check:
                nursery.start_soon(self._check, broken)

    def note_broken(self, state: ServerState, fingerprint: str | None) -> None:
        """Note that a send broke, or fell silent, without a whole answer.

        A server that leaves as announced ends its connections; nobody ended it.
        """
        if fingerprint is None or state.info.is_draining:
            return
        now = trio.current_time()
        broken = self._find(state, now)
        broken.broken_at = now
        if broken.ended_at is not None:
            if now - broken.ended_at <= SAME_END_SECONDS:
                self._tell(broken, {fingerprint: now})
            return
        if len(broken.lost) < MAX_REQUESTS:
            broken.lost[fingerprint] = now
        self._ask_to_check(broken, now)

    def note_ended(self, state: ServerState, evidence: EndEvidence) -> None:
        """Take a sign that a start of a server has ended."""
        now = trio.current_time()
        broken = self._by_owner.get(state.owner)
        if broken is None or broken.ended_at is not None or state.info.is_draining:
            return
        since = now - ATTRIBUTION_SECONDS
        if evidence is not EndEvidence.NEW_START:
            # It lived after these broke, or has gone without ending them.
            since = max(since, broken.alive_at)
        lost = {f: at for f, at in broken.lost.items() if at >= since}
        broken.ended_at = now
        broken.lost.clear()
        self._log.note(
            "server_ended",
            server=state.info.id,
            born=state.info.born,
            evidence=evidence,
            after=round(now - broken.broken_at, 4),
            in_flight=sorted(lost),
        )
        self._tell(broken, lost)

    def _tell(self, broken: _Broken, lost: dict[str, float]) -> None:
        for fingerprint, at in lost.items():
            self._on_lost(LostRequest(fingerprint, broken.state, at))

    def _find(self, state: ServerState, now: float) -> _Broken:
        broken = self._by_owner.pop(state.owner, None)
        if broken is None:
            broken = _Broken(state)
        # The last one that broke stands last, so that the first is the oldest.
        self._by_owner[state.owner] = broken
        for owner, oldest in list(self._by_owner.items()):
            is_old = now - oldest.broken_at > ATTRIBUTION_SECONDS
            if oldest is broken or not (is_old or len(self._by_owner) > MAX_SERVERS):
                break
            del self._by_owner[owner]
        return broken

    def _ask_to_check(self, broken: _Broken, now: float) -> None:
        if now - broken.checked_at < CHECK_SECONDS:
            return
        broken.checked_at = now
        try:
            self._checks.send_nowait(broken)
        except trio.WouldBlock:
            self._log.note("server_check_skipped", server=broken.state.info.id)

    async def _check(self, broken: _Broken) -> None:
        state = broken.state
        reach = await self._pool.check(state.owner, state.info.address)
        if reach is Reach.REFUSED:
            self.note_ended(state, EndEvidence.REFUSED)
            self._on_refused(state)
        elif reach is Reach.CONNECTED:
            broken.alive_at = trio.current_time()
