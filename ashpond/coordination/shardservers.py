"""The servers of a shard as its coordinator sees them: loads, speeds and lists."""

from __future__ import annotations

__all__ = ["ShardServers"]

from collections.abc import Mapping

from ashpond.controllers.directory import ServerState, ServerTable
from ashpond.coordination.queueing import Speeds
from ashpond.decisions.brittleness import limit_slots
from ashpond.decisions.loads import NO_LOAD, Load
from ashpond.decisions.partreading import ReadingOrder
from ashpond.decisions.placementledger import PlacementLedger
from ashpond.decisions.prompts import Prompt
from ashpond.decisions.recentreading import RecentReading
from ashpond.decisions.selection import (
    MANY_STALE_COST_SECONDS,
    Demand,
    make_load,
    select_by_prompt_size,
)
from ashpond.decisions.servercosts import (
    COLD_COST_SECONDS,
    FAILURE_COST_SECONDS,
    MEMORY_SHARE,
    QUEUE_SHARE,
    READING_SHARE,
    RUNNING_COST_SECONDS,
    SHORT_TOKENS,
)
from ashpond.decisions.shardloads import ExcessLoads, RecentLoads, SeenCapacities
from ashpond.decisions.shards import is_in_shard

# How long the lists of servers and their speeds are kept (seconds). Without that, a
# choice among 16 of 146 servers would sort and filter the whole table twice.
LIST_SECONDS = 0.05


class ShardServers:
    """The servers of one shard, with exact loads and learned speeds.

    It is the chooser's source of both. A load is what the ledger has, and what peers
    report beyond that.

    :param table: all servers, with the loads that the peers report.
    """

    def __init__(
        self,
        service: str,
        shard: str,
        table: ServerTable,
        ledger: PlacementLedger,
        capacities: SeenCapacities,
        speeds: Speeds,
    ):
        self._service = service
        self._shard = shard
        self._table = table
        self._ledger = ledger
        self._capacities = capacities
        self._speeds = speeds
        self.excess = ExcessLoads()
        self._placed = RecentLoads()
        self.recent = RecentReading()
        self.reading_order = ReadingOrder()
        # When the lists of servers were read.
        self.listed_at = float("-inf")
        self._all: list[ServerState] = []
        self._own: list[ServerState] = []
        # The homes of prompt parts and cache namespaces that were looked up.
        self.homes: dict[tuple[str, str], str] = {}
        self.id_by_start: dict[str, str] = {}
        self._by_size: dict[bool, list[str]] = {}
        self._read_rates: dict[str, float] = {}

    def forget_lists(self) -> None:
        """Read the table again before the next choice."""
        self.listed_at = float("-inf")

    def refresh(self, now: float) -> None:
        """Bring the lists and the loads beyond the ledger up to date."""
        if not 0 <= now - self.listed_at < LIST_SECONDS:
            self.listed_at = now
            self._by_size = {}
            self.homes = {}
            self._read_rates = {}
            self._all = self._table.list_service(self._service)
            self._own = [
                state
                for state in self._all
                if is_in_shard(self._shard, state.info.failure_domain)
            ]
            self.id_by_start = {s.info.start_id: s.info.id for s in self._own}
        if self.excess.is_due(now):
            differences = {}
            for state in self._own:
                start_id = state.info.start_id
                reported = self._table.sum_load(state.info.id, now)
                self._placed.note(start_id, self._ledger.sum_load(start_id), now)
                placed = self._placed.get_greatest(start_id)
                differences[start_id] = reported.subtract(placed)
            self._placed.retain(differences)
            self.excess.sample(differences, now)

    def list_own(self, now: float) -> list[ServerState]:
        """Return all servers of the shard, sorted by id."""
        self.refresh(now)
        return self._own

    def list_service(self, service: str) -> list[ServerState]:
        """Return all servers of the service, sorted by id.

        All coordinators must agree on the ones for short prompts.
        """
        return self._all

    def list_usable(self, service: str, now: float) -> list[ServerState]:
        """Return the servers of the shard that may get new requests now.

        If there are none, those whose rows disappeared in an outage are used.
        """
        own = self.list_own(now)
        usable = [state for state in own if state.is_usable(now)]
        if not usable:
            usable = [
                state
                for state in own
                if state.disappeared_at is not None
                and state.is_eligible()
                and not state.is_pausing(now)
                and not state.is_backing_off(now)
            ]
        if not self._capacities.is_any_known:
            return usable
        return [state for state in usable if self._may_take(state, now)]

    def _may_take(self, state: ServerState, now: float) -> bool:
        start_id = state.info.start_id
        in_flight = self.sum_start_load(start_id).requests
        return self._capacities.may_take(start_id, in_flight, now)

    def list_for_size(self, prompt: Prompt) -> list[str]:
        """Return the servers of the service that are reserved for such prompts."""
        is_short = prompt.tokens <= SHORT_TOKENS
        if is_short not in self._by_size:
            names = [state.info.id for state in self._all if state.is_present()]
            self._by_size[is_short] = select_by_prompt_size(prompt, names)
        return self._by_size[is_short]

    def is_brittle(self, now: float) -> bool:
        """Return whether the servers bear few rejections, and must not queue any."""
        return self._table.brittle.find_limit(self._service, now) is not None

    def count_slots(self, state: ServerState, now: float) -> int:
        """Return the slots of a server that may be used at present."""
        if not self.is_brittle(now):
            return state.info.slots
        return limit_slots(state.info.slots, now - state.known_since)

    def may_have_room(self, demand: Demand, memory_tokens: int, now: float) -> bool:
        """Return whether any server has a slot, and memory, for a request.

        :param memory_tokens: the memory of an engine, 0 if unknown.
        """
        claim = make_load(demand, 0).held_tokens
        may_queue = demand.prompt is None and not self.is_brittle(now)
        share = QUEUE_SHARE if may_queue else 1.0
        for state in self.list_own(now):
            load = self.sum_start_load(state.info.start_id)
            if not load.requests:
                return True
            if load.requests >= self.count_slots(state, now) * share:
                continue
            held_tokens = load.held_tokens + claim
            if not memory_tokens or held_tokens <= memory_tokens * MEMORY_SHARE:
                return True
        return False

    def estimate_waits(
        self,
        states: Mapping[str, ServerState],
        cached_tokens: Mapping[str, int],
        model: str,
        target_version: int,
    ) -> dict[str, float]:
        """Return about what a prompt would cost at each server with a free slot.

        It differs from the full cost by what is the same at all of them, and by terms
        of a few ms (seconds).

        :param cached_tokens: the tokens of the prompt that servers have cached, by id.
        :param target_version: the version of the model that servers should have.
        """
        now = self.listed_at
        waits = {}
        for server_id, state in states.items():
            info = state.info
            load = self.sum_start_load(info.start_id)
            if load.requests >= self.count_slots(state, now):
                continue
            tokens = load.unread_tokens - cached_tokens.get(server_id, 0)
            rate = self.get_read_rate(info.service, info.start_id, now)
            seconds = tokens / rate + load.requests * RUNNING_COST_SECONDS
            if state.failure_share:
                seconds += state.failure_share * FAILURE_COST_SECONDS
            if now < state.cold_until:
                seconds += COLD_COST_SECONDS
            if state.weights.get(model, 0) < target_version:
                seconds += MANY_STALE_COST_SECONDS
            waits[server_id] = seconds
        return waits

    def find(self, start_id: str) -> ServerState | None:
        """Return the state of a start, None if it is not the server's present one."""
        server_id = start_id.rpartition("#")[0]
        state = self._table.by_id.get(start_id) or self._table.by_id.get(server_id)
        return state if state and state.info.start_id == start_id else None

    def find_retry_time(self, demand: Demand, now: float) -> float:
        """Return when the first server may take a request, by its directives.

        Infinite if the shard has none that could.
        """
        times = [
            state.find_retry_time(now)
            for state in self.list_own(now)
            if state.is_eligible() and state.info.id not in demand.excluded
        ]
        return min(times, default=float("inf"))

    def sum_load(self, server_id: str, now: float) -> Load:
        """Return the load of a server by the requests of all instances."""
        state = self._table.by_id.get(server_id)
        return NO_LOAD if state is None else self.sum_start_load(state.info.start_id)

    def sum_start_load(self, start_id: str) -> Load:
        """Return the load of a start of a server."""
        placed = self._ledger.sum_load(start_id)
        excess = self.excess.get(start_id)
        return placed if excess is NO_LOAD else placed.add(excess)

    def get_read_rate(self, service: str, start_id: str, now: float) -> float:
        """Return how many prompt tokens an engine reads a second."""
        rate = self._read_rates.get(start_id)
        if rate is None:
            rate = min(
                self._speeds.get_read_rate(service, start_id, now),
                self.reading_order.limit_rate(start_id, now),
            )
            self._read_rates[start_id] = rate
        return rate

    def get_work_seconds(self, service: str, start_id: str, now: float) -> float:
        """Return how long a plain server works on a request."""
        return self._speeds.get_work_seconds(service, start_id, now)

    def estimate_reading(
        self, service: str, start_id: str, window: float, now: float
    ) -> float:
        """Return how long an engine will read, and has read in a window (seconds)."""
        unread_tokens = self.sum_start_load(start_id).unread_tokens
        unread_seconds = unread_tokens / self.get_read_rate(service, start_id, now)
        return unread_seconds + self.recent.sum_seconds(start_id, window, now)

    def estimate_capacity(self, now: float) -> float:
        """Return the server seconds a second that the usable servers can work.

        An engine works on one prompt at a time, a plain server on one request per slot.
        """
        usable = self.list_usable(self._service, now)
        return sum(
            READING_SHARE if state.info.weights else float(state.info.slots)
            for state in usable
        )
