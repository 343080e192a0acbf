"""The backend servers that are known, and what is believed of each."""

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

from ashpond.controllers.backendservers import (
    BackendServer,
    StartOrder,
    compare_starts,
)
from ashpond.controllers.crashdetection import WatchedServer
from ashpond.decisions.loads import NO_LOAD, PEER_LOAD_SECONDS, Load
from ashpond.decisions.ratelimits import NO_LIMIT

# After a refusal because it is full, a server is given this long (seconds).
FULL_PAUSE_SECONDS = 0.15
# After a refusal while weights load; a load takes about 0.8 s.
LOADING_PAUSE_SECONDS = 0.4
# A server that could not be reached is tried again after this, then doubled.
CONNECT_PAUSE_SECONDS = 0.5
MAX_DOUBLINGS = 3
# A peer that cannot reach a server may itself be cut off: what answered here
# within this time is not believed to be gone (seconds).
RECENT_ANSWER_SECONDS = 0.4
# One answer moves the failure share by this.
FAILURE_SMOOTHING = 0.12
# So many starts that leave are remembered beyond their entries.
MAX_LEAVING_STARTS = 2_000
# A client that finds no permit is not sent away for longer (seconds).
MAX_PERMIT_PAUSE_SECONDS = 2.0
# Entries that vanish just after the store was away may come back (seconds).
REAPPEAR_SECONDS = 2.2


_numbers = itertools.count()


class ServerState:
    """What this instance believes of one start of a server.

    ``owner`` names it to the pool of connections, which are of this start alone.
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
        # Whether an answer has said so; its row may say it much later.
        self.is_leaving = False
        # Until when the server wants no request from this instance.
        self.backoff_until = 0.0
        self.rate_limit = NO_LIMIT
        # When an answer here raised or lifted the limit, until that is told again.
        self.limit_raised_at: float | None = None
        # Until when no permit is asked for, as there was none so many times in a row.
        self.permit_pause_until = 0.0
        self.permit_refusals = 0
        # Its entry cannot be read: it names no server to use, until it can again.
        self.is_entry_invalid = False
        self.disappeared_at: float | None = None

    @property
    def watched(self) -> WatchedServer:
        """Return this start as those see it that look for its end."""
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
        """Return whether the server is there and stays, as far as is known."""
        return self.is_eligible() and self.disappeared_at is None

    def is_usable(self, now: float) -> bool:
        """Return whether the server may get new work."""
        return (
            self.is_present()
            and now >= self.excluded_until
            and not self.is_backing_off(now)
        )

    def is_backing_off(self, now: float) -> bool:
        """Return whether the server itself has asked for no new work now."""
        return now < max(self.permit_pause_until, self.backoff_until)

    def find_retry_time(self, now: float) -> float:
        """Return when a request that comes back may be taken, by what the server says.

        A permit may be had elsewhere before this instance asks for one again.
        """
        pause_until = min(self.permit_pause_until, now + MAX_PERMIT_PAUSE_SECONDS)
        return max(now, self.backoff_until, pause_until)

    def is_eligible(self) -> bool:
        """Return whether the server may get new work, now or later, as it is known."""
        leaves = self.info.is_draining or self.is_leaving
        return not (leaves or self.is_misdirected or self.is_entry_invalid)

    @property
    def is_limited(self) -> bool:
        """Whether the server takes only so many requests a second."""
        return self.rate_limit.rate is not None

    def exclude_for(self, seconds: float, now: float) -> None:
        """Send nothing to the server for some time."""
        self.excluded_until = max(self.excluded_until, now + seconds)

    def readmit(self) -> None:
        """Take the server back into use."""
        self.excluded_until = 0.0

    def update_weights(self, model: str, version: int) -> bool:
        """Note a version seen at the server; return whether that is news."""
        if version <= self.weights.get(model, 0):
            return False
        self.weights[model] = version
        return True

    def note_answer(self, now: float, *, failed: bool) -> None:
        """Count an answer, or a failure in its place."""
        if not failed:
            self.connect_failures = 0
            self.answered_at = now
        self.failure_share += FAILURE_SMOOTHING * (failed - self.failure_share)

    def note_connect_failure(self, now: float) -> float:
        """Count a failure to connect; return the pause that it gives the server."""
        pause = CONNECT_PAUSE_SECONDS * 2 ** min(self.connect_failures, MAX_DOUBLINGS)
        self.connect_failures += 1
        self.exclude_for(pause, now)
        return pause

    def note_peer_connect_failure(self, seconds: float, now: float) -> None:
        """Take a peer's failure to connect, unless the server answers here."""
        if now - self.answered_at > RECENT_ANSWER_SECONDS:
            self.exclude_for(seconds, now)


class ServerTable:
    """All known backend servers.

    ``on_new_start`` is called with the states of the start of a server that has ended
    and of the next: what else is known of the first has to go as well.
    """

    def __init__(self) -> None:
        self.by_id: dict[str, ServerState] = {}
        self.is_known = False
        self.on_new_start: Callable[[ServerState, ServerState], None] = (
            lambda previous, state: None
        )
        self._peer_loads: dict[str, tuple[float, dict[str, Load]]] = {}
        # The last starts of servers that have said that they leave, the oldest first.
        self._leaving: dict[tuple[str, int | None], None] = {}
        # The sum of the peers' loads, and until when none of them is too old.
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
        """Take over a whole list; return the states that are no longer used.

        :param invalid: the ids whose entries are there and cannot be read.
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
        """Take over a new or changed entry."""
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
        """Take what a report or a peer says of a server's start.

        :param weights: what the new start is known to have, if that is told; else
            it is believed to have what the server's entry said last.
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
            # Of these its entry tells, which has not been heard of anew.
            new_state.disappeared_at = state.disappeared_at
            new_state.is_entry_invalid = state.is_entry_invalid
            self._replace_start(new_state)
        return order

    def _replace_start(self, state: ServerState) -> None:
        """Forget all that was known of a server before its new start."""
        previous = self.by_id[state.info.id]
        self.by_id[state.info.id] = state
        self.on_new_start(previous, state)

    def has_limits(self) -> bool:
        """Return whether any server names a rate limit."""
        return any(state.is_limited for state in self.by_id.values())

    def find_rate_limit(self, start: str) -> float | None:
        """Return the rate limit of a start of a server, None if it has none."""
        state = self.by_id.get(start) or self.by_id.get(start.rpartition("#")[0])
        if state is None or state.info.start_id != start:
            return None
        return state.rate_limit.rate

    def note_leaving(self, state: ServerState) -> None:
        """Send no new work to a start of a server any more.

        Its row may be older than its answer, also one that is back after it had gone.
        """
        state.is_leaving = True
        self._leaving[state.info.id, state.info.started_ms] = None
        if len(self._leaving) > MAX_LEAVING_STARTS:
            del self._leaving[next(iter(self._leaving))]

    def is_current(self, state: ServerState) -> bool:
        """Return whether a server still runs as it did when ``state`` was made."""
        return self.by_id.get(state.info.id) is state

    def note_invalid_entry(self, server_id: str) -> None:
        """Send nothing more to a server whose entry cannot be read any more.

        The entry that it was known by is no longer there, and the writer may be
        another. What is in flight there goes on, and what is known of it stays: its
        next good entry takes it back into use.
        """
        state = self.by_id.get(server_id)
        if state is not None:
            state.is_entry_invalid = True

    def remove(
        self, server_id: str, now: float, *, may_reappear: bool
    ) -> ServerState | None:
        """Drop an entry; return the state of the server if it is no longer used.

        :param may_lapse: the store was away: a living server's entry is back
            within seconds, until when the server is used if there is no other.
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
        """Drop the vanished entries that did not come back; return their states."""
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
        """Return all servers, in a fixed order."""
        return sorted(
            self.by_id.values(), key=lambda state: (state.info.service, state.info.id)
        )

    def list_service(self, service: str) -> list[ServerState]:
        """Return the servers of a service, in a fixed order."""
        states = [s for s in self.by_id.values() if s.info.service == service]
        return sorted(states, key=lambda state: state.info.id)

    def list_usable(self, service: str, now: float) -> list[ServerState]:
        """Return those that may get new work now.

        Where all entries of a service vanished with the store, its servers are
        used on, as they were before.
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
        """Take what one life of a peer says of its work at each start of a server.

        What is told of another start than the one that is known counts nowhere.
        """
        self._peer_loads[peer] = (now, loads)
        self._totals_until = float("-inf")
        for expired in [
            name
            for name, (received_at, _) in self._peer_loads.items()
            if now - received_at > PEER_LOAD_SECONDS
        ]:
            del self._peer_loads[expired]

    def retain_peer_loads(self, peers: Container[str]) -> None:
        """Forget all loads but those of ``peers``, which include what others told."""
        self._peer_loads = {p: t for p, t in self._peer_loads.items() if p in peers}
        self._totals_until = float("-inf")

    def sum_load(self, server_id: str, now: float) -> Load:
        """Return the work of all instances at a server, as far as is known."""
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
        """Return this instance's work by start of a server, without idle ones."""
        return {
            state.info.start_id: state.load
            for state in self.by_id.values()
            if state.load.requests
        }
