"""The table of the known backend servers, and the state of each at this instance."""

from __future__ import annotations

__all__ = [
    "BackendServer",
    "ServerState",
    "ServerTable",
    "StartOrder",
    "compare_starts",
]

import itertools
from collections.abc import Callable, Container, Mapping

from ashpond.controllers.backendservers import BackendServer, StartOrder, compare_starts
from ashpond.controllers.crashdetection import WatchedServer
from ashpond.decisions.loads import NO_LOAD, PEER_LOAD_SECONDS, Load
from ashpond.decisions.ratelimits import NO_LIMIT

# The exclusion of a server that refused a request because it is full (seconds).
FULL_PAUSE_SECONDS = 0.15
# The exclusion after a refusal while weights load, which takes about 0.8 s (seconds).
LOADING_PAUSE_SECONDS = 0.4
# The pause after a failure to connect (seconds); it doubles with each further failure.
CONNECT_PAUSE_SECONDS = 0.5
MAX_DOUBLINGS = 3
# A peer that fails to connect to a server may itself be cut off: its report is ignored
# if the server answered here within this time (seconds).
RECENT_ANSWER_SECONDS = 0.4
# The weight of the latest answer in the exponential moving average of failures.
FAILURE_SMOOTHING = 0.12
# The number of leaving starts that are remembered after their rows have disappeared.
MAX_LEAVING_STARTS = 2_000
# The longest Retry-After for want of a permit (seconds).
MAX_PERMIT_PAUSE_SECONDS = 2.0
# How long rows may take to reappear after an outage of the store (seconds).
REAPPEAR_SECONDS = 2.2

_numbers = itertools.count()


class ServerState:
    """The state of one start of a server, as far as this instance knows it.

    ``owner`` is the key of this start's connections in the connection pool.
    """

    def __init__(self, info: BackendServer, now: float):
        self.info = info
        self.owner = f"{info.id} {next(_numbers)}"
        self.weights = dict(info.weights)
        self.load = Load()
        self.cold_until = now + info.cold_seconds
        self.excluded_until = 0.0
        self.failure_share = 0.0
        self.connect_failures = 0
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

    def is_present(self) -> bool:
        """Return whether the server is eligible and its row has not disappeared."""
        return self.is_eligible() and self.disappeared_at is None

    def is_usable(self, now: float) -> bool:
        """Return whether the server may get new requests now."""
        return (
            self.is_present()
            and now >= self.excluded_until
            and not self.is_backing_off(now)
        )

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

    def readmit(self) -> None:
        """End the server's exclusion."""
        self.excluded_until = 0.0

    def update_weights(self, model: str, version: int) -> bool:
        """Record a version seen at the server; return whether it is newer."""
        if version <= self.weights.get(model, 0):
            return False
        self.weights[model] = version
        return True

    def note_answer(self, now: float, *, failed: bool) -> None:
        """Add an answer, or a failure to get one, to the average of failures."""
        if not failed:
            self.connect_failures = 0
            self.answered_at = now
        self.failure_share += FAILURE_SMOOTHING * (failed - self.failure_share)

    def note_connect_failure(self, now: float) -> float:
        """Record a failure to connect; return the exclusion in seconds."""
        pause = CONNECT_PAUSE_SECONDS * 2 ** min(self.connect_failures, MAX_DOUBLINGS)
        self.connect_failures += 1
        self.exclude_for(pause, now)
        return pause

    def note_peer_connect_failure(self, seconds: float, now: float) -> None:
        """Exclude the server if it has not answered here lately."""
        if now - self.answered_at > RECENT_ANSWER_SECONDS:
            self.exclude_for(seconds, now)


class ServerTable:
    """The table of all known backend servers.

    ``on_new_start`` is called with the states of a server's previous and new start, so
    that other components drop what they keep for the previous one.
    """

    def __init__(self) -> None:
        self.by_id: dict[str, ServerState] = {}
        self.is_known = False
        self.on_new_start: Callable[[ServerState, ServerState], None] = (
            lambda previous, state: None
        )
        self._peer_loads: dict[str, tuple[float, dict[str, Load]]] = {}
        # The starts that announced that they leave, the oldest first.
        self._leaving: dict[tuple[str, int | None], None] = {}
        # The sums of the peers' loads by start, and until when none of them expires.
        self._totals: dict[str, Load] = {}
        self._totals_until = float("-inf")

    def replace_all(
        self,
        servers: list[BackendServer],
        now: float,
        *,
        may_reappear: bool,
        invalid: Container[str] = (),
    ) -> list[ServerState]:
        """Replace the table by a complete list; return the states of removed servers.

        :param invalid: the ids of the servers whose rows are invalid.
        """
        self.is_known = True
        for server in servers:
            self.update(server, now)
        dropped = []
        for missing in self.by_id.keys() - {server.id for server in servers}:
            if missing in invalid:
                self.note_invalid_entry(missing)
                continue
            state = self.remove(missing, now, may_reappear=may_reappear)
            if state is not None:
                dropped.append(state)
        return dropped

    def update(self, server: BackendServer, now: float) -> None:
        """Add a server, or apply its changed row unless that is of an older start."""
        state = self.by_id.get(server.id)
        if state is None:
            state = self.by_id[server.id] = ServerState(server, now)
            state.is_leaving = (server.id, server.started_ms) in self._leaving
            return
        order = compare_starts(state.info.started_ms, server.started_ms)
        if order is StartOrder.OLDER:
            return
        if order is StartOrder.NEWER:
            self._replace_start(ServerState(server, now))
            return
        started_ms = (
            state.info.started_ms if server.started_ms is None else server.started_ms
        )
        state.info = server._replace(started_ms=started_ms)
        state.is_entry_invalid = False
        state.disappeared_at = None
        for model, version in server.weights.items():
            state.update_weights(model, version)

    def note_start(
        self,
        server_id: str,
        started_ms: int | None,
        now: float,
        weights: Mapping[str, int] | None = None,
    ) -> StartOrder:
        """Record the start that a report or a peer names; return how it compares.

        :param weights: the weights of a new start, by model. Models that are missing
            here keep the version from the server's last row.
        """
        state = self.by_id.get(server_id)
        if state is None:
            return StartOrder.SAME
        order = compare_starts(state.info.started_ms, started_ms)
        if order is StartOrder.SAME and state.info.started_ms is None:
            state.info = state.info._replace(started_ms=started_ms)
        if order is StartOrder.NEWER:
            known = {**state.info.weights, **(weights or {})}
            new_state = ServerState(
                state.info._replace(started_ms=started_ms, weights=known), now
            )
            # Both depend on the row, which is still that of the previous start.
            new_state.disappeared_at = state.disappeared_at
            new_state.is_entry_invalid = state.is_entry_invalid
            self._replace_start(new_state)
        return order

    def _replace_start(self, state: ServerState) -> None:
        """Replace the state of a server's previous start, and call ``on_new_start``."""
        previous = self.by_id[state.info.id]
        self.by_id[state.info.id] = state
        self.on_new_start(previous, state)

    def has_limits(self) -> bool:
        """Return whether any server has a rate limit."""
        return any(state.is_limited for state in self.by_id.values())

    def find_rate_limit(self, start: str) -> float | None:
        """Return the rate limit of a start (requests a second), None if it has none."""
        state = self.by_id.get(start) or self.by_id.get(start.rpartition("#")[0])
        if state is None or state.info.start_id != start:
            return None
        return state.rate_limit.rate

    def note_leaving(self, state: ServerState) -> None:
        """Send no new requests to a leaving start.

        Its row may be older than its announcement, even a row that disappeared and
        reappeared; so the start is remembered here.
        """
        state.is_leaving = True
        self._leaving[state.info.id, state.info.started_ms] = None
        if len(self._leaving) > MAX_LEAVING_STARTS:
            del self._leaving[next(iter(self._leaving))]

    def is_current(self, state: ServerState) -> bool:
        """Return whether ``state`` is that of the server's current start."""
        return self.by_id.get(state.info.id) is state

    def note_invalid_entry(self, server_id: str) -> None:
        """Send no new requests to a server whose row has become invalid.

        The row may be another writer's. Requests in flight continue and the state is
        kept; the next valid row makes the server usable again.
        """
        state = self.by_id.get(server_id)
        if state is not None:
            state.is_entry_invalid = True

    def remove(
        self, server_id: str, now: float, *, may_reappear: bool
    ) -> ServerState | None:
        """Remove a server whose row has disappeared; return its state if removed.

        :param may_reappear: whether the store has just had an outage. The row of a
            running server then reappears within seconds; until then the server is
            used only if its service has no other.
        """
        state = self.by_id.get(server_id)
        if state is None:
            return None
        if may_reappear and not state.info.is_draining:
            state.disappeared_at = state.disappeared_at or now
            return None
        del self.by_id[server_id]
        return state

    def expire(self, now: float) -> list[ServerState]:
        """Remove servers whose rows did not reappear; return their states."""
        gone = [
            state
            for state in self.by_id.values()
            if state.disappeared_at is not None
            and now - state.disappeared_at > REAPPEAR_SECONDS
        ]
        for state in gone:
            del self.by_id[state.info.id]
        return gone

    def list_all(self) -> list[ServerState]:
        """Return all servers, sorted by service and id."""
        return sorted(
            self.by_id.values(), key=lambda state: (state.info.service, state.info.id)
        )

    def list_service(self, service: str) -> list[ServerState]:
        """Return the servers of a service, sorted by id."""
        states = [s for s in self.by_id.values() if s.info.service == service]
        return sorted(states, key=lambda state: state.info.id)

    def list_usable(self, service: str, now: float) -> list[ServerState]:
        """Return the servers of a service that may get new requests now.

        If there are none, those whose rows disappeared in an outage are used.
        """
        states = self.list_service(service)
        usable = [state for state in states if state.is_usable(now)]
        if usable:
            return usable
        return [
            state
            for state in states
            if state.disappeared_at is not None
            and state.is_eligible()
            and now >= state.excluded_until
            and not state.is_backing_off(now)
        ]

    def note_peer_loads(self, peer: str, loads: dict[str, Load], now: float) -> None:
        """Record a peer's loads by start id; those of other starts don't count."""
        self._peer_loads[peer] = (now, loads)
        self._totals_until = float("-inf")
        for expired in [
            name
            for name, (received_at, _) in self._peer_loads.items()
            if now - received_at > PEER_LOAD_SECONDS
        ]:
            del self._peer_loads[expired]

    def retain_peer_loads(self, peers: Container[str]) -> None:
        """Keep only the loads of ``peers``, which include those of other peers."""
        self._peer_loads = {p: t for p, t in self._peer_loads.items() if p in peers}
        self._totals_until = float("-inf")

    def sum_load(self, server_id: str, now: float) -> Load:
        """Return the known load of all instances at a server."""
        if now >= self._totals_until:
            self._sum_peers(now)
        state = self.by_id.get(server_id)
        if state is None:
            return NO_LOAD
        peers = self._totals.get(state.info.start_id)
        return state.load if peers is None else state.load.add(peers)

    def _sum_peers(self, now: float) -> None:
        totals: dict[str, Load] = {}
        until = float("inf")
        for received_at, loads in self._peer_loads.values():
            if now - received_at >= PEER_LOAD_SECONDS:
                continue
            until = min(until, received_at + PEER_LOAD_SECONDS)
            for server_id, load in loads.items():
                known = totals.get(server_id)
                totals[server_id] = load if known is None else known.add(load)
        self._totals = totals
        self._totals_until = until

    def list_own_loads(self) -> dict[str, Load]:
        """Return this instance's load by the id of a start, without idle starts."""
        return {
            state.info.start_id: state.load
            for state in self.by_id.values()
            if state.load.requests
        }
