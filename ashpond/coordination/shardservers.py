"""The servers of a shard as its coordinator sees them, and the choice among them."""

from __future__ import annotations

__all__ = ["ChoiceSources", "ShardChooser", "ShardServers"]

import random
from collections.abc import Callable, Collection, Mapping
from typing import NamedTuple

from ashpond.controllers.cachestores import CacheStores
from ashpond.controllers.directory import ServerState, ServerTable
from ashpond.coordination.queueing import Speeds
from ashpond.decisions.cacheindex import CacheIndex
from ashpond.decisions.declared import Declaration
from ashpond.decisions.loads import NO_LOAD, Load
from ashpond.decisions.partreading import PartsBeingRead
from ashpond.decisions.placementledger import PlacementLedger
from ashpond.decisions.selection import Candidate, Demand
from ashpond.decisions.shardloads import ExcessLoads, SeenCapacities
from ashpond.decisions.shards import is_in_shard
from ashpond.gateway.promptsources import PromptSources
from ashpond.gateway.serverchoice import ServerChooser

# How long the lists of servers are kept (seconds). Without that, a choice among 16 of
# 146 servers would sort and filter the whole table twice.
LIST_SECONDS = 0.05


class ChoiceSources(NamedTuple):
    """What a :class:`~ashpond.gateway.serverchoice.ServerChooser` depends on, besides
    the servers: see there.
    """

    cache_index: CacheIndex
    stores: CacheStores
    failure_domain: str
    get_declaration: Callable[[], Declaration | None]
    find_target_version: Callable[[str, float], int]
    find_required_version: Callable[[str, float], int]
    rng: random.Random


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
        self._listed_at = float("-inf")
        self._all: list[ServerState] = []
        self._own: list[ServerState] = []

    def forget_lists(self) -> None:
        """Read the table again before the next choice."""
        self._listed_at = float("-inf")

    def refresh(self, now: float) -> None:
        """Bring the lists and the loads beyond the ledger up to date."""
        if not 0 <= now - self._listed_at < LIST_SECONDS:
            self._listed_at = now
            self._all = self._table.list_service(self._service)
            self._own = [
                state
                for state in self._all
                if is_in_shard(self._shard, state.info.failure_domain)
            ]
        if self.excess.is_due(now):
            differences = {}
            for state in self._own:
                start_id = state.info.start_id
                reported = self._table.sum_load(state.info.id, now)
                placed = self._ledger.sum_load(start_id)
                differences[start_id] = reported.subtract(placed)
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
                and now >= state.excluded_until
                and not state.is_backing_off(now)
            ]
        return [state for state in usable if self._may_take(state, now)]

    def _may_take(self, state: ServerState, now: float) -> bool:
        start_id = state.info.start_id
        in_flight = self.sum_start_load(start_id).requests
        return self._capacities.may_take(start_id, in_flight, now)

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
        return self._speeds.get_read_rate(service, start_id, now)

    def get_work_seconds(self, service: str, start_id: str, now: float) -> float:
        """Return how long a plain server works on a request."""
        return self._speeds.get_work_seconds(service, start_id, now)

    def sum_reading_tokens(self, start_id: str) -> int:
        """Return the prompt tokens of all unfinished requests that an engine reads."""
        excess = self.excess.get(start_id).unread_tokens
        return self._ledger.sum_read_tokens(start_id) + excess


class ShardChooser(ServerChooser):
    """Chooses among the servers of a shard.

    Parts that an engine is reading count as cached there, for requests that go to it:
    no other engine can fetch them yet.
    """

    def __init__(
        self, servers: ShardServers, sources: ChoiceSources, reading: PartsBeingRead
    ):
        super().__init__(servers, *sources, speeds=servers)
        self._reading = reading

    def _build_candidates(
        self,
        states: Mapping[str, ServerState],
        sampled: Collection[str],
        sources: PromptSources,
        demand: Demand,
        now: float,
        failure_domain: str,
    ) -> list[Candidate]:
        candidates = super()._build_candidates(
            states, sampled, sources, demand, now, failure_domain
        )
        if demand.prompt is None:
            return candidates
        read_tokens: dict[tuple[str, str], int] = {}
        for salt in set(sources.salts.values()):
            counted = self._reading.count_tokens(salt, demand.prompt)
            for start_id, tokens in counted.items():
                read_tokens[start_id, salt] = tokens
        if not read_tokens:
            return candidates
        found = []
        for candidate in candidates:
            start_id = states[candidate.id].info.start_id
            tokens = read_tokens.get((start_id, sources.salts[candidate.id]), 0)
            if tokens > candidate.cached_tokens:
                candidate = candidate._replace(cached_tokens=tokens)
            found.append(candidate)
        return found
