"""The choice of a server among those of a shard."""

from __future__ import annotations

__all__ = ["ChoiceSources", "ShardChooser"]

import random
from collections.abc import Callable, Collection, Mapping, Sequence
from typing import NamedTuple

from ashpond.controllers.cachestores import CacheStores
from ashpond.controllers.directory import ServerState
from ashpond.coordination.shardservers import ShardServers
from ashpond.decisions.cacheindex import CacheIndex
from ashpond.decisions.declared import Declaration
from ashpond.decisions.partreading import PartsBeingRead
from ashpond.decisions.prompts import Prompt
from ashpond.decisions.selection import FEW_SERVERS, Candidate, Demand, rank_homes
from ashpond.gateway.promptsources import PromptSources
from ashpond.gateway.serverchoice import Reservation, ServerChooser
from ashpond.gateway.serversources import ServerRoom

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

    def _find_room(self, state: ServerState, now: float) -> ServerRoom:
        """Return the room of a server; a coordinator knows what all instances use."""
        info = state.info
        load = self.servers.sum_load(info.id, now)
        is_brittle = self._shard_servers.is_brittle(now)
        slots = self._shard_servers.count_slots(state, now)
        return ServerRoom(slots, load, may_queue=not is_brittle)

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
