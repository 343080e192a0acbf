"""The state of each start of a backend server at this instance."""

from __future__ import annotations

__all__ = [
    "CUT_OFF_PAUSE_SECONDS",
    "FULL_PAUSE_SECONDS",
    "LATE_ENTRY_SECONDS",
    "LOADING_PAUSE_SECONDS",
    "ServerState",
]

import itertools
import math
from collections.abc import Callable

from ashpond.controllers.backendservers import BackendServer
from ashpond.controllers.crashdetection import WatchedServer
from ashpond.decisions.loads import Load
from ashpond.decisions.ratelimits import NO_LIMIT

# The exclusion of a server that refused a request because it is full (seconds).
FULL_PAUSE_SECONDS = 0.15
# The exclusion after a refusal while weights load, which takes about 0.8 s (seconds).
LOADING_PAUSE_SECONDS = 0.4
# The exclusion of a server that this instance does not reach, while it is cut off
# itself: a relay may be found, or the partition end, at any time (seconds).
CUT_OFF_PAUSE_SECONDS = 0.2
# The pause after a failure to connect (seconds); it doubles with each further failure.
CONNECT_PAUSE_SECONDS = 0.5
MAX_DOUBLINGS = 3
# A peer that fails to connect to a server may itself be cut off: its report is ignored
# if the server answered here within this time (seconds).
RECENT_ANSWER_SECONDS = 0.4
# A row that a start wrote before its end is read at most this much later (seconds).
LATE_ENTRY_SECONDS = 6.0
# The weight of the latest answer in the exponential moving average of failures.
FAILURE_SMOOTHING = 0.12
# The longest Retry-After for want of a permit (seconds).
MAX_PERMIT_PAUSE_SECONDS = 2.0

_numbers = itertools.count()


class ServerState:
    """The state of one start of a server, as far as this instance knows it.

    ``owner`` is the key of this start's connections in the connection pool.

    :param note_load: called when the load changes.
    """

    def __init__(
        self,
        info: BackendServer,
        now: float,
        note_load: Callable[[], None] = lambda: None,
    ):
        self.info = info
        self.owner = f"{info.id} {next(_numbers)}"
        self.weights = dict(info.weights)
        self.known_since = now
        self._load = Load()
        self._note_load = note_load
        self.cold_until = now + info.cold_seconds
        self.excluded_until = 0.0
        # Until when this instance takes it for full, as it rejected a request.
        self.full_until = 0.0
        # Until when it may be loading weights, as it rejected a request with old ones.
        self.loading_until = 0.0
        self.failure_share = 0.0
        self.connect_failures = 0
        # When this instance or a peer last failed to connect to it.
        self.unreached_at = float("-inf")
        # Whether this instance has ever connected to it, not through a peer.
        self.was_reached = False
        self.answered_at = float("-inf")
        self.is_misdirected = False
        # Whether an answer announced that it leaves; the row may show it much later.
        self.is_leaving = False
        # The end of the backoff that the server asked this instance for.
        self.backoff_until = 0.0
        self.rate_limit = NO_LIMIT
        # When an answer here raised or lifted the limit; None once that is sent again.
        self.limit_raised_at: float | None = None
        # Until when no permit is requested, and the number of refusals in a row.
        self.permit_pause_until = 0.0
        self.permit_refusals = 0
        # Whether the latest row is invalid; the server is not used until it is valid.
        self.is_entry_invalid = False
        self.disappeared_at: float | None = None
        # Whether the row is that of the previous start.
        self.is_entry_outdated = False
        # Whether the sequence of its entries rises with each write.
        self.is_counting_writes = False
        # When this start was found to have ended, None if it was not.
        self.ended_at: float | None = None
        # When the connections were opened that carry a request now.
        self._busy_since: list[float] = []

    @property
    def load(self) -> Load:
        """The load of this instance's requests at the server."""
        return self._load

    @load.setter
    def load(self, load: Load) -> None:
        self._load = load
        self._note_load()

    @property
    def watched(self) -> WatchedServer:
        """Return the description of this start for crash detection."""
        info = self.info
        return WatchedServer(
            self.owner,
            info.id,
            info.started_ms,
            info.address,
            info.service,
            info.is_draining,
        )

    @property
    def announced_leaving(self) -> bool:
        """Whether this start announced in an answer or its entry that it leaves."""
        is_own_entry = self.info.entry_sequence is not None
        return self.is_leaving or (self.info.is_draining and is_own_entry)

    @property
    def is_version_certain(self) -> bool:
        """Whether the server runs the software version that its row names.

        Another start, with other software, may have followed at the same address.
        """
        return self.ended_at is None and not self.is_entry_outdated

    def note_busy(self, opened_at: float) -> None:
        """Record that a connection carries a request, and when it was opened."""
        self._busy_since.append(opened_at)

    def note_not_busy(self, opened_at: float) -> None:
        """Record that a connection carries no request any more."""
        self._busy_since.remove(opened_at)

    def find_oldest_busy(self) -> float:
        """Return since when a connection that carries a request has been open."""
        return min(self._busy_since, default=math.inf)

    def note_ended(self, now: float) -> None:
        """Record that this start was found to have ended."""
        if self.ended_at is None:
            self.ended_at = now

    def note_entry(self, now: float) -> None:
        """Record that this start's row was written again."""
        self.is_entry_invalid = False
        self.is_entry_outdated = False
        self.disappeared_at = None
        if self.ended_at is not None and now - self.ended_at > LATE_ENTRY_SECONDS:
            self.ended_at = None

    def is_present(self) -> bool:
        """Return whether the server is eligible and its row has not disappeared."""
        return self.is_eligible() and self.disappeared_at is None

    def is_usable(self, now: float) -> bool:
        """Return whether the server may get new requests now."""
        return (
            self.is_present()
            and not self.is_pausing(now)
            and not self.is_backing_off(now)
        )

    def is_pausing(self, now: float) -> bool:
        """Return whether this instance excludes the server, or takes it for full."""
        return now < self.find_pause_end()

    def find_pause_end(self) -> float:
        """Return until when this instance sends no new requests to the server."""
        return max(self.excluded_until, self.full_until, self.loading_until)

    def is_backing_off(self, now: float) -> bool:
        """Return whether a backoff or the rate limit forbids new requests now."""
        return now < max(self.permit_pause_until, self.backoff_until)

    def find_retry_time(self, now: float) -> float:
        """Return when a client may retry, by the server's backoff and rate limit.

        The pause between permit requests counts only up to
        ``MAX_PERMIT_PAUSE_SECONDS``: another instance may get a permit earlier.
        """
        pause_until = min(self.permit_pause_until, now + MAX_PERMIT_PAUSE_SECONDS)
        return max(now, self.backoff_until, pause_until)

    def is_eligible(self) -> bool:
        """Return whether the server may get new requests, now or later."""
        leaves = self.info.is_draining or self.is_leaving
        return not (leaves or self.is_misdirected or self.is_entry_invalid)

    @property
    def is_limited(self) -> bool:
        """Whether the server has a rate limit."""
        return self.rate_limit.rate is not None

    def exclude_for(self, seconds: float, now: float) -> None:
        """Send no new requests to the server for a number of seconds."""
        self.excluded_until = max(self.excluded_until, now + seconds)

    def note_full(self, now: float) -> None:
        """Record that the server rejected a request, as it was full.

        Without a coordinator, which knows better, it gets no new ones for some time.
        """
        self.full_until = max(self.full_until, now + FULL_PAUSE_SECONDS)

    def note_loading(self, now: float) -> None:
        """Record that the server rejected a request while it has outdated weights."""
        self.loading_until = max(self.loading_until, now + LOADING_PAUSE_SECONDS)

    def readmit(self) -> None:
        """End the server's exclusion."""
        self.excluded_until = self.full_until = self.loading_until = 0.0

    def update_weights(self, model: str, version: int) -> bool:
        """Record a version seen at the server; return whether it is newer."""
        if version <= self.weights.get(model, 0):
            return False
        self.weights[model] = version
        return True

    def note_answer(self, now: float, *, failed: bool) -> None:
        """Add an answer, or a failure to get one, to the average of failures."""
        if not failed:
            self.note_reached()
            self.answered_at = now
        self.failure_share += FAILURE_SMOOTHING * (failed - self.failure_share)

    def note_reached(self) -> None:
        """Record that a connection to the server was made."""
        self.connect_failures = 0

    def note_connect_failure(self, now: float) -> float:
        """Record a failure to connect; return the exclusion in seconds."""
        pause = CONNECT_PAUSE_SECONDS * 2 ** min(self.connect_failures, MAX_DOUBLINGS)
        self.connect_failures += 1
        self.unreached_at = now
        self.exclude_for(pause, now)
        return pause

    def note_peer_connect_failure(self, seconds: float, now: float) -> bool:
        """Exclude the server if it has not answered here lately.

        Return whether it has been excluded.
        """
        is_excluded = now - self.answered_at > RECENT_ANSWER_SECONDS
        if is_excluded:
            self.unreached_at = now
            self.exclude_for(seconds, now)
        return is_excluded
