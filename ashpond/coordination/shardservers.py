"""The servers of a shard as its coordinator sees them, and the choice among them."""

from __future__ import annotations

__all__ = ["ChoiceSources", "ShardChooser", "ShardServers"]

import random
from collections.abc import Callable, Collection, Mapping, Sequence
from typing import NamedTuple

from ashpond.controllers.cachestores import CacheStores
from ashpond.controllers.directory import ServerState, ServerTable
from ashpond.coordination.queueing import Speeds
from ashpond.decisions.cacheindex import CacheIndex
from ashpond.decisions.declared import Declaration
from ashpond.decisions.loads import NO_LOAD, Load
from ashpond.decisions.partreading import PartsBeingRead, ReadingOrder
from ashpond.decisions.placementledger import PlacementLedger
from ashpond.decisions.prompts import Prompt
from ashpond.decisions.recentreading import RecentReading
from ashpond.decisions.selection import (
    FEW_SERVERS,
    MANY_STALE_COST_SECONDS,
    Candidate,
    Demand,
    make_load,
    rank_homes,
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
from ashpond.gateway.promptsources import PromptSources
from ashpond.gateway.serverchoice import Reservation, ServerChooser

# How long the lists of servers and their speeds are kept (seconds). Without that, a
# choice among 16 of 146 servers would sort and filter the whole table twice.
LIST_SECONDS = 0.05
# Of many engines, so many with the shortest waits are scored: of those for prompts of
# the same size, and of the others. Scoring all 90 of a shard takes 2 ms.
PROMISING_SERVERS = 4
OTHER_SERVERS = 1


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
                and now >= state.excluded_until
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

    def may_have_room(self, demand: Demand, memory_tokens: int, now: float) -> bool:
        """Return whether any server has a slot, and memory, for a request.

        :param memory_tokens: the memory of an engine, 0 if unknown.
        """
        claim = make_load(demand, 0).held_tokens
        share = QUEUE_SHARE if demand.prompt is None else 1.0
        for state in self.list_own(now):
            load = self.sum_start_load(state.info.start_id)
            if not load.requests:
                return True
            if load.requests >= state.info.slots * share:
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
            if load.requests >= info.slots:
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


class ShardChooser(ServerChooser):
    """Chooses among the servers of a shard.

    Parts that an engine is reading count as cached there, for requests that go to it:
    no other engine can fetch them yet. Of many engines, only the most promising ones
    are scored.
    """

    def __init__(
        self, servers: ShardServers, sources: ChoiceSources, reading: PartsBeingRead
    ):
        super().__init__(servers, *sources, speeds=servers)
        self._shard_servers = servers
        self._reading = reading
        # What servers read of the prompt that a server is being chosen for.
        self._read_tokens: dict[str, int] = {}

    def choose(
        self, demand: Demand, now: float, failure_domain: str | None = None
    ) -> Reservation | None:
        """Return the reservation of the best server, None if none has room.

        While all slots or all memory are taken, which is cheap to see, none is scored.
        """
        declaration = self._get_declaration()
        service = declaration.services.get(demand.service) if declaration else None
        memory = service.engine.cache_tokens if service and service.engine else 0
        if not self._shard_servers.may_have_room(demand, memory, now):
            return None
        return super().choose(demand, now, failure_domain)

    def _sample_servers(
        self,
        states: Mapping[str, ServerState],
        sources: PromptSources,
        demand: Demand,
    ) -> Collection[str]:
        """Return the most promising servers, and the home of the shared parts."""
        prompt = demand.prompt
        self._read_tokens = self._count_reading(sources, prompt) if prompt else {}
        if prompt is None or len(states) <= FEW_SERVERS or demand.is_suspected:
            return states
        matching = set(self._list_matching(states, prompt, demand.service))
        cached_tokens = {**sources.cached_tokens, **self._read_tokens}
        target = self._find_target_version(prompt.model, self._shard_servers.listed_at)
        costs = self._shard_servers.estimate_waits(
            states, cached_tokens, prompt.model, target
        )
        ranked = sorted(costs, key=costs.__getitem__)
        promising = [name for name in ranked if name in matching][:PROMISING_SERVERS]
        others = [name for name in ranked if name not in matching][:OTHER_SERVERS]
        chosen = {*promising, *others, *self._find_home(matching, demand)}
        # In a fixed order, so that the same random numbers lead to the same choice.
        return [name for name in states if name in chosen]

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
        reading = self._read_tokens
        if not reading:
            return candidates
        return [
            candidate
            if reading.get(candidate.id, 0) <= candidate.cached_tokens
            else candidate._replace(cached_tokens=reading[candidate.id])
            for candidate in candidates
        ]

    def _count_reading(self, sources: PromptSources, prompt: Prompt) -> dict[str, int]:
        """Return how many leading tokens of a prompt servers read or have cached."""
        reading = {}
        for salt in set(sources.salts.values()):
            for start_id, tokens in self._reading.count_tokens(salt, prompt).items():
                server_id = self._shard_servers.id_by_start.get(start_id, "")
                if sources.salts.get(server_id) == salt:
                    known = sources.cached_tokens.get(server_id, 0)
                    reading[server_id] = max(known, tokens)
        return reading

    def _find_home(self, names: Collection[str], demand: Demand) -> Sequence[str]:
        """Return the server where the shared parts are read that no server has."""
        if demand.prompt is None or len(demand.prompt.parts) < 2 or not names:
            return ()
        key = (demand.prompt.parts[-2].id, demand.cache_namespace)
        home = self._shard_servers.homes.get(key)
        if home is None or home not in names:
            home = rank_homes(*key, sorted(names))[0]
            self._shard_servers.homes[key] = home
        return (home,)

    def _list_matching(
        self, states: Mapping[str, ServerState], prompt: Prompt, service: str
    ) -> list[str]:
        """Return the usable servers that are reserved for prompts of this size."""
        names = self._shard_servers.list_for_size(prompt)
        return [name for name in names if name in states] or list(states)
