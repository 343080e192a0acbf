"""Decide who may hold how many bytes of an instance's memory, and who must give way.

Answers the load of clients that read their answers slowly or hold back their bodies:
what an instance buffers for them must not push its process over its memory limit, and
must leave room for other requests.
"""

from __future__ import annotations

__all__ = [
    "CALL_BYTES",
    "SOCKET_BUFFER_BYTES",
    "Holding",
    "MemoryBudget",
    "Purpose",
    "Verdict",
    "compute_byte_budget",
]

import math
from enum import StrEnum
from typing import NamedTuple

MEGABYTE = 1 << 20
# Resident size of a process that has served requests and holds none; 33 MB to 40 MB.
PROCESS_MB = 40.0
# The other half is for copies, fragmentation and what the allocator does not return.
BUFFER_SHARE = 0.5
# A limit near or below the size of the process still leaves room for a few requests.
MIN_BUDGET_BYTES = 4 * MEGABYTE
# Value of SO_RCVBUF and SO_SNDBUF; the kernel doubles it to include its own overhead.
SOCKET_BUFFER_BYTES = 16_384
# Counted for each open call: one full socket buffer, and one read in the HTTP parser.
CALL_BYTES = 3 * SOCKET_BUFFER_BYTES
# A holding that stays below this size may use the whole budget. Larger ones leave a
# part of it, so that ordinary requests pass while large ones wait.
SMALL_BYTES = CALL_BYTES + 2 * 65_536
ANSWER_SHARE = 0.9
# Shares of the budget up to which bodies are read, by urgency, the last one for all
# further urgencies. Below the share of answers, so that reading bodies cannot keep
# answers from being completed.
BODY_SHARES = (0.8, 0.7, 0.6)
# Under this share of the budget the urgency of a body does not matter.
RELAXED_SHARE = BODY_SHARES[-1]
# A client on a link of 10 Mbit/s takes 400 KB in 0.32 s and is not considered slow.
MIN_UNREAD_SECONDS = 0.5
# Requests in flight at one server may take this share of the budget. An engine crashes
# if the requests that it holds exceed its memory.
SERVER_SHARE = 0.25
LARGE_SERVER_SHARE = 0.2
# Answers whose length is unknown may take these shares of the budget, from one server
# and from one service: a server that writes without end leaves the rest to others.
WRITER_SHARES = (0.2, 0.5)
# Time named to a refused client if nothing indicates when there will be room.
DEFAULT_RETRY_SECONDS = 1.0
MIN_RETRY_SECONDS = 0.1


class Purpose(StrEnum):
    """What the bytes of a holding wait for.

    ``BODY``: the client is to send the rest. ``CALL``: this instance or a backend
    server is busy with them. ``ANSWER``: the client is to read them.
    """

    BODY = "body"
    CALL = "call"
    ANSWER = "answer"


class Holding:
    """The bytes held for one call.

    ``declared`` is the size that it will have, as far as its client has said.
    ``since`` is when the oldest bytes that the client is to complete or read arrived,
    without the time for which this instance did not read (seconds). ``is_cut`` is true
    once its client is being disconnected.
    """

    def __init__(self, now: float):
        self.size = 0
        self.declared = 0
        self.purpose = Purpose.BODY
        self.since = now
        self.urgency = 0
        self.is_waiting = False
        self.is_cut = False

    def can_be_cut(self) -> bool:
        """Return whether its client is what the bytes wait for."""
        if self.is_cut or self.purpose is Purpose.CALL:
            return False
        return self.purpose is Purpose.ANSWER or not self.is_waiting


class Verdict(NamedTuple):
    """The answer to a reservation.

    ``cut`` are holdings whose clients are to be disconnected, which will make room.
    ``is_impossible`` means that there would be no room even if nothing else was held,
    and that the holding does not shrink as its client reads.
    """

    is_granted: bool
    cut: tuple[Holding, ...] = ()
    is_impossible: bool = False


def compute_byte_budget(memory_mb: float) -> int:
    """Return the bytes that may be buffered under a memory limit; 0 for no limit."""
    if memory_mb <= 0:
        return 0
    left = (memory_mb - PROCESS_MB) * BUFFER_SHARE * MEGABYTE
    return max(MIN_BUDGET_BYTES, int(left))


class MemoryBudget:
    """The holdings of all open calls, and the bytes that they may take in total."""

    def __init__(self, limit: int):
        self.limit = limit
        self.used = 0
        self.holdings: set[Holding] = set()
        self._freeing = 0
        self._at_servers: dict[str, int] = {}
        self._by_writers: dict[str, int] = {}

    def open(self, now: float) -> Holding:
        """Add a holding without bytes."""
        holding = Holding(now)
        self.holdings.add(holding)
        return holding

    def is_relaxed(self) -> bool:
        """Return whether bodies of every urgency may be read."""
        return self.used < self.limit * RELAXED_SHARE

    def find_ceiling(self, holding: Holding, size: int) -> int:
        """Return up to which use of the budget a holding may grow by ``size``."""
        if max(holding.size + size, holding.declared) <= SMALL_BYTES:
            return self.limit
        if holding.purpose is Purpose.BODY:
            index = min(holding.urgency, len(BODY_SHARES) - 1)
            return int(self.limit * BODY_SHARES[max(0, index)])
        return int(self.limit * ANSWER_SHARE)

    def reserve(self, holding: Holding, size: int, now: float) -> Verdict:
        """Add ``size`` bytes to a holding if there is room.

        If not, nothing is added, and the verdict names the holdings with the oldest
        unread bytes that have to go so that there will be.
        """
        ceiling = self.find_ceiling(holding, size)
        if self.used + size <= ceiling:
            self.used += size
            holding.size += size
            if holding.is_cut:
                self._freeing += size
            return Verdict(True)
        if holding.purpose is not Purpose.ANSWER and holding.size + size > ceiling:
            return Verdict(False, is_impossible=True)
        return Verdict(False, self._choose_cuts(self.used + size - ceiling, now))

    def _choose_cuts(self, excess: int, now: float) -> tuple[Holding, ...]:
        excess -= self._freeing
        if excess <= 0:
            return ()
        old = [
            holding
            for holding in self.holdings
            if holding.can_be_cut() and now - holding.since >= MIN_UNREAD_SECONDS
        ]
        chosen = []
        for holding in sorted(old, key=lambda holding: holding.since):
            if excess <= 0:
                break
            holding.is_cut = True
            self._freeing += holding.size
            excess -= holding.size
            chosen.append(holding)
        return tuple(chosen)

    def release(self, holding: Holding, size: int) -> None:
        """Take ``size`` bytes from a holding."""
        size = min(size, holding.size)
        holding.size -= size
        self.used -= size
        if holding.is_cut:
            self._freeing -= size

    def close(self, holding: Holding) -> None:
        """Remove a holding with all its bytes; a second time has no effect."""
        self.release(holding, holding.size)
        self.holdings.discard(holding)

    def find_retry_seconds(self, now: float) -> float:
        """Return after which time a refused client may find room (seconds)."""
        ages = [now - h.since for h in self.holdings if h.can_be_cut()]
        if not ages:
            return DEFAULT_RETRY_SECONDS
        wait = max(MIN_RETRY_SECONDS, MIN_UNREAD_SECONDS - max(ages))
        return math.ceil(wait * 100) / 100

    def hold_at_server(self, server_id: str, size: int) -> bool:
        """Count a request in flight at a server; return whether it may be sent there.

        A server that holds none accepts one of any size. Large requests leave room for
        small ones.
        """
        held = self._at_servers.get(server_id, 0)
        share = SERVER_SHARE if size <= SMALL_BYTES else LARGE_SERVER_SHARE
        if held and held + size > self.limit * share:
            return False
        self._at_servers[server_id] = held + size
        return True

    def release_at_server(self, server_id: str, size: int) -> None:
        """Stop counting a request at a server."""
        held = self._at_servers.get(server_id, 0) - size
        if held > 0:
            self._at_servers[server_id] = held
        else:
            self._at_servers.pop(server_id, None)

    def hold_for_writers(self, writers: tuple[str, str], held: int, size: int) -> bool:
        """Count a piece of an answer of unknown length; return whether it may be read.

        The only answer of a server or service may be of any size.

        :param writers: the server and the service that write it.
        :param held: the bytes of this answer that are counted already.
        """
        for writer, share in zip(writers, WRITER_SHARES, strict=True):
            total = self._by_writers.get(writer, 0)
            if total > held and total + size > self.limit * share:
                return False
        for writer in writers:
            self._by_writers[writer] = self._by_writers.get(writer, 0) + size
        return True

    def release_for_writers(self, writers: tuple[str, str], size: int) -> None:
        """Stop counting the bytes of an answer."""
        for writer in writers:
            left = self._by_writers.get(writer, 0) - size
            if left > 0:
                self._by_writers[writer] = left
            else:
                self._by_writers.pop(writer, None)
