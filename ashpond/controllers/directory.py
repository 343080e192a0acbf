"""The table of the known backend servers, and the state of each at this instance."""

from __future__ import annotations

__all__ = [
    "CUT_OFF_PAUSE_SECONDS",
    "FULL_PAUSE_SECONDS",
    "LOADING_PAUSE_SECONDS",
    "BackendServer",
    "ServerState",
    "ServerTable",
    "StartOrder",
    "compare_starts",
]

from collections.abc import Callable, Container, Mapping

from ashpond.controllers.backendservers import BackendServer, StartOrder, compare_starts
from ashpond.controllers.entryhistory import (
    RemovedEntries,
    is_earlier_entry,
    merge_leaving,
    shows_counted_writes,
)
from ashpond.controllers.serverstate import (
    CUT_OFF_PAUSE_SECONDS,
    FULL_PAUSE_SECONDS,
    LOADING_PAUSE_SECONDS,
    ServerState,
)
from ashpond.decisions.brittleness import BrittleServices
from ashpond.decisions.loads import NO_LOAD, PEER_LOAD_SECONDS, Load
from ashpond.decisions.softwareversions import VersionHistory

# The number of leaving starts that are remembered after their rows have disappeared.
MAX_LEAVING_STARTS = 2_000
# How long rows may take to reappear after an outage of the store (seconds).
REAPPEAR_SECONDS = 2.2


class ServerTable:
    """The table of all known backend servers.

    ``on_new_start`` is called with the states of a server's previous and new start, so
    that other components drop what they keep for the previous one. ``on_load_change``
    is called when :meth:`list_own_loads` may have changed, ``on_versions`` with a
    service whose servers have got, or lost, a software version. ``on_earlier_entry``
    is called with the known and the received entry when the received one is ignored,
    as its server wrote it before the known one.
    """

    def __init__(self) -> None:
        self.by_id: dict[str, ServerState] = {}
        self.is_known = False
        self.on_new_start: Callable[[ServerState, ServerState], None] = (
            lambda previous, state: None
        )
        self.on_load_change: Callable[[], None] = lambda: None
        self.on_versions: Callable[[str], None] = lambda service: None
        self.on_earlier_entry: Callable[[BackendServer, BackendServer], None] = (
            lambda known, received: None
        )
        self.versions = VersionHistory()
        self.brittle = BrittleServices()
        self._peer_loads: dict[str, tuple[float, dict[str, Load]]] = {}
        # The starts that announced that they leave, the oldest first.
        self._leaving: dict[tuple[str, int | None], None] = {}
        self._removed = RemovedEntries()
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
        is_restored: bool = False,
    ) -> list[ServerState]:
        """Replace the table by a complete list; return the states of removed servers.

        :param invalid: the ids of the servers whose rows are invalid.
        :param is_restored: whether the list is from a restored copy of the store.
        """
        self.is_known = True
        for server in servers:
            self.update(server, now, is_restored=is_restored)
        dropped = []
        for missing in self.by_id.keys() - {server.id for server in servers}:
            if missing in invalid:
                self.note_invalid_entry(missing)
                continue
            state = self.remove(missing, now, may_reappear=may_reappear)
            if state is not None:
                dropped.append(state)
        return dropped

    def update(
        self, server: BackendServer, now: float, *, is_restored: bool = False
    ) -> bool:
        """Add a server, or apply its changed entry; return whether it was applied.

        An entry of an older start is ignored, and one that its server wrote before an
        entry that is known or was removed.

        :param is_restored: whether the entry is from a restored copy of the store.
        """
        state = self.by_id.get(server.id)
        if state is None:
            return self._add(server, now, is_restored=is_restored)
        order = compare_starts(state.info.started_ms, server.started_ms)
        if order is StartOrder.OLDER:
            # The host's clock may have been set back before a restart. If not, the
            # known start writes its row again.
            state.is_entry_invalid = state.is_entry_invalid or server.is_draining
            return False
        if order is StartOrder.SAME:
            if is_earlier_entry(state.info, server):
                self.on_earlier_entry(state.info, server)
                return False
            if shows_counted_writes(state.info, server):
                state.is_counting_writes = True
            server = merge_leaving(state.info, server, is_restored=is_restored)
        if (server.service, server.software_version) != (
            state.info.service,
            state.info.software_version,
        ):
            self._remove_version(state.info, now)
            self._add_version(server)
        if order is StartOrder.NEWER:
            self._replace_start(self._make_state(server, now))
            return True
        started_ms = (
            state.info.started_ms if server.started_ms is None else server.started_ms
        )
        state.info = server._replace(started_ms=started_ms)
        state.note_entry(now)
        for model, version in server.weights.items():
            state.update_weights(model, version)
        return True

    def _add(self, server: BackendServer, now: float, *, is_restored: bool) -> bool:
        later = self._removed.find_later(server, now, is_restored=is_restored)
        if later is not None:
            self.on_earlier_entry(later, server)
            return False
        removed = self._removed.pop(server.id)
        if removed is not None and (
            compare_starts(removed.started_ms, server.started_ms) is StartOrder.SAME
        ):
            server = merge_leaving(removed, server, is_restored=is_restored)
        state = self.by_id[server.id] = self._make_state(server, now)
        state.is_leaving = (server.id, server.started_ms) in self._leaving
        self._add_version(server)
        return True

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
            info = state.info._replace(
                started_ms=started_ms, weights=known, entry_sequence=None
            )
            new_state = self._make_state(info, now)
            # These depend on the row, which is still that of the previous start.
            new_state.is_entry_outdated = True
            new_state.disappeared_at = state.disappeared_at
            new_state.is_entry_invalid = state.is_entry_invalid
            self._replace_start(new_state)
        return order

    def _add_version(self, server: BackendServer) -> None:
        present = self.versions.list_present(server.service)
        self.versions.add(server.service, server.software_version)
        if server.software_version not in present:
            self.on_versions(server.service)

    def _remove_version(self, server: BackendServer, now: float) -> None:
        self.versions.remove(server.service, server.software_version, now)
        if server.software_version not in self.versions.list_present(server.service):
            self.on_versions(server.service)

    def note_ended(self, server_id: str, started_ms: int | None, now: float) -> None:
        """Record that a start has ended, unless another start is known."""
        state = self.by_id.get(server_id)
        if state is None:
            return
        if compare_starts(state.info.started_ms, started_ms) is StartOrder.SAME:
            state.note_ended(now)

    def list_other_versions(
        self, service: str, version: str, is_certain: Callable[[ServerState], bool]
    ) -> frozenset[str]:
        """Return a service's servers whose software may be of another version.

        :param is_certain: returns whether a server runs the version that its row names.
        """
        return frozenset(
            state.info.id
            for state in self.list_service(service)
            if state.info.software_version != version or not is_certain(state)
        )

    def _make_state(self, server: BackendServer, now: float) -> ServerState:
        return ServerState(server, now, lambda: self.on_load_change())

    def _replace_start(self, state: ServerState) -> None:
        """Replace the state of a server's previous start, and call ``on_new_start``."""
        previous = self.by_id[state.info.id]
        self.by_id[state.info.id] = state
        self.on_load_change()
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
        self.note_leaving_start(state.info.id, state.info.started_ms)

    def note_leaving_start(self, server_id: str, started_ms: int | None) -> None:
        """Remember that a start leaves, whose entry may not be known here yet."""
        self._leaving[server_id, started_ms] = None
        if len(self._leaving) > MAX_LEAVING_STARTS:
            del self._leaving[next(iter(self._leaving))]

    def list_leaving(self) -> list[BackendServer]:
        """Return the present starts that announced that they leave."""
        return [state.info for state in self.by_id.values() if state.announced_leaving]

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
        self._discard(state, now)
        return state

    def _discard(self, state: ServerState, now: float) -> None:
        del self.by_id[state.info.id]
        self._removed.note(state.info, now, is_counting_writes=state.is_counting_writes)
        self._remove_version(state.info, now)
        self.on_load_change()

    def expire(self, now: float) -> list[ServerState]:
        """Remove servers whose rows did not reappear; return their states."""
        gone = [
            state
            for state in self.by_id.values()
            if state.disappeared_at is not None
            and now - state.disappeared_at > REAPPEAR_SECONDS
        ]
        for state in gone:
            self._discard(state, now)
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
            and not state.is_pausing(now)
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
