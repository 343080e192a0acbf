"""Choose the server for a request among those of its service."""

from __future__ import annotations

__all__ = ["Reservation", "ServerChooser"]

import random
from collections.abc import Callable, Collection, Mapping, Sequence
from typing import NamedTuple

from ashpond.controllers.cachestores import CacheStores
from ashpond.controllers.directory import ServerState
from ashpond.decisions.brittleness import BrittleServices, limit_slots
from ashpond.decisions.cacheindex import CacheIndex
from ashpond.decisions.declared import Declaration
from ashpond.decisions.loads import Load
from ashpond.decisions.placementorigin import PlacementOrigin
from ashpond.decisions.prompts import Prompt
from ashpond.decisions.selection import (
    FEW_SERVERS,
    MANY_STALE_COST_SECONDS,
    STALE_COST_SECONDS,
    Candidate,
    Demand,
    choose_scored,
    count_shared_tokens,
    find_home_ranks,
    make_load,
    rank_homes,
    sample_servers,
    score_candidates,
    select_by_prompt_size,
)
from ashpond.gateway.promptsources import PromptSources, find_sources
from ashpond.gateway.serversources import LoadSource, ServerRoom, SpeedSource

# How many of the best candidates are logged; each takes some 80 bytes of a line.
LOGGED_CANDIDATES = 6


class Reservation(NamedTuple):
    """The server that is reserved for a request, and the load it adds there.

    ``fetch_from`` is the address of an engine or store that has more of the prompt
    cached, ``save_to`` that of a store that is sent the prompt parts that are read.
    ``candidates`` are the best ones of the choice. ``permitted_at`` is when the
    request got its permit, None if the server had no rate limit then. ``origin`` is
    None if no link to a coordinator knows the reservation.
    """

    state: ServerState
    load: Load
    weights_version: int | None
    candidates: tuple[Candidate, ...]
    salt: str | None = None
    fetch_from: str | None = None
    cached_tokens: int = 0
    fetch_tokens: int = 0
    save_to: str | None = None
    permitted_at: float | None = None
    origin: PlacementOrigin | None = None


class ServerChooser:
    """Chooses servers; keeps no state of the requests that it chose them for.

    ``find_target_version`` returns the version of a model that servers should have,
    ``find_required_version`` the one without which they get no requests.
    ``has_delayed_updates`` returns whether peers' loads arrive late. Without
    ``speeds``, all servers count as equally fast. ``brittle`` are the services whose
    servers bear few rejections; ``count_own_slots`` returns how many slots of such a
    server only this instance may use.
    """

    def __init__(
        self,
        servers: LoadSource,
        cache_index: CacheIndex,
        stores: CacheStores,
        failure_domain: str,
        get_declaration: Callable[[], Declaration | None],
        find_target_version: Callable[[str, float], int],
        find_required_version: Callable[[str, float], int],
        rng: random.Random,
        has_delayed_updates: Callable[[], bool] = lambda: False,
        speeds: SpeedSource | None = None,
        brittle: BrittleServices | None = None,
        count_own_slots: Callable[[str, int], int] = lambda server_id, slots: slots,
    ):
        self.servers = servers
        self.cache_index = cache_index
        self.stores = stores
        self._failure_domain = failure_domain
        self._get_declaration = get_declaration
        self._find_target_version = find_target_version
        self._find_required_version = find_required_version
        self._rng = rng
        self._has_delayed_updates = has_delayed_updates
        self._speeds = speeds
        self.brittle = brittle
        self._count_own_slots = count_own_slots

    def choose(
        self, demand: Demand, now: float, failure_domain: str | None = None
    ) -> Reservation | None:
        """Return the reservation of the best server, None if none has room.

        The caller adds its load to the server's.

        :param failure_domain: that of the instance that has the request, None if it is
            this one.
        """
        required = self._find_required_version(demand.model, now) if demand.model else 0
        states = {
            state.info.id: state
            for state in self.servers.list_usable(demand.service, now)
            if state.info.id not in demand.excluded
            and state.weights.get(demand.model or "", 0) >= required
        }
        sources = find_sources(self.cache_index, self.stores, states, demand, now)
        sampled = self._sample_servers(states, sources, demand)
        domain = failure_domain or self._failure_domain
        candidates = self._build_candidates(
            states, sampled, sources, demand, now, domain
        )
        scored = score_candidates(candidates, demand)
        if not scored and len(sampled) < len(states):
            candidates = self._build_candidates(
                states, states, sources, demand, now, domain
            )
            scored = score_candidates(candidates, demand)
        chosen = choose_scored(scored, demand, self._rng)
        if chosen is None:
            return None
        state = states[chosen.id]
        available = max(chosen.cached_tokens, chosen.fetch_tokens)
        load = make_load(demand, available)
        best = [entry.candidate for entry in scored[:LOGGED_CANDIDATES]]
        if chosen not in best:
            best.append(chosen)
        reservation = Reservation(state, load, None, tuple(best))
        if demand.model is None or demand.prompt is None:
            return reservation
        salt = sources.salts[chosen.id]
        source = sources.choose(state.info)
        address = source.address if source else None
        is_missing = available < count_shared_tokens(demand.prompt)
        store = self.stores.pick(demand.prompt, demand.cache_namespace)
        if is_missing and store is not None and not store.is_complete:
            # An instance that has just started knows only what is saved from now on;
            # the store mostly has what was read before.
            address = store.store.address
        elif is_missing and address is None:
            address = self._guess_source(states, sources, demand, chosen)
        is_saved = store is not None and store.plan_save(salt, demand.prompt, now)
        return reservation._replace(
            weights_version=state.weights.get(demand.model),
            salt=salt,
            fetch_from=address,
            cached_tokens=chosen.cached_tokens,
            fetch_tokens=chosen.fetch_tokens,
            save_to=store.store.address if is_saved and store else None,
        )

    def _sample_servers(
        self,
        states: Mapping[str, ServerState],
        sources: PromptSources,
        demand: Demand,
    ) -> Collection[str]:
        """Return the servers to choose among: all, or a sample if updates are delayed.

        The sample is random, plus the home of parts that no server has read, so that
        only one reads them, or else a server with the most cached tokens.
        """
        if (
            not self._has_delayed_updates()
            or len(states) <= FEW_SERVERS
            or demand.is_suspected
        ):
            return states
        matching_ids: Collection[str] = states
        preferred: set[str] = set()
        if demand.prompt is not None:
            matching_ids = set(
                self._list_matching(states, demand.prompt, demand.service)
            )
            preferred = self._find_preferred(states, matching_ids, sources, demand)
        others = [name for name in states if name not in matching_ids]
        sampled = preferred | sample_servers((sorted(matching_ids), others), self._rng)
        # In a fixed order, so that the same random numbers lead to the same choice.
        return [name for name in states if name in sampled]

    def _find_preferred(
        self,
        states: Mapping[str, ServerState],
        matching_ids: Collection[str],
        sources: PromptSources,
        demand: Demand,
    ) -> set[str]:
        """Return the home of the shared parts, or a server that has them cached."""
        if demand.prompt is None or len(demand.prompt.parts) < 2 or not matching_ids:
            return set()
        most = max(sources.cached_tokens.values(), default=0)
        if most < count_shared_tokens(demand.prompt):
            part = demand.prompt.parts[-2].id
            homes = _list_homes(states, sorted(matching_ids))
            return {rank_homes(part, demand.cache_namespace, homes)[0]}
        holders = [
            name for name, tokens in sources.cached_tokens.items() if tokens == most
        ]
        return {self._rng.choice(sorted(holders))}

    def _list_matching(
        self, states: Mapping[str, ServerState], prompt: Prompt, service: str
    ) -> list[str]:
        """Return the usable servers that are reserved for prompts of this size."""
        ids = [s.info.id for s in self.servers.list_service(service) if s.is_present()]
        matching = [
            name for name in select_by_prompt_size(prompt, ids) if name in states
        ]
        return matching or list(states)

    def _guess_source(
        self,
        states: Mapping[str, ServerState],
        sources: PromptSources,
        demand: Demand,
        chosen: Candidate,
    ) -> str | None:
        """Return the address of a server that probably has the missing parts cached.

        Updates on cached parts arrive later than the next requests for them. The home
        of a part has mostly read it, or is reading it; a fetch that finds nothing costs
        1 ms. The home itself fetches from the home of the first part, which more share.
        """
        if len(states) <= FEW_SERVERS or demand.prompt is None:
            return None
        salt = sources.salts[chosen.id]
        names = [
            server_id
            for server_id in self._list_matching(states, demand.prompt, demand.service)
            if sources.salts[server_id] == salt
            and not states[server_id].connect_failures
        ]
        if not names:
            return None
        shared = demand.prompt.parts[:-1]
        for part in (shared[-1], shared[0]):
            home = rank_homes(part.id, demand.cache_namespace, names)[0]
            if home != chosen.id:
                return states[home].info.address
        return None

    def _build_candidates(
        self,
        states: Mapping[str, ServerState],
        sampled: Collection[str],
        sources: PromptSources,
        demand: Demand,
        now: float,
        failure_domain: str,
    ) -> list[Candidate]:
        declaration = self._get_declaration()
        service = declaration.services.get(demand.service) if declaration else None
        engine = service.engine if service else None
        is_many = len(states) > FEW_SERVERS
        ranks: dict[str, int] = {}
        matching = list(states)
        if demand.prompt is not None:
            most = max(sources.cached_tokens.values(), default=0)
            matching = self._list_matching(states, demand.prompt, demand.service)
            homes = _list_homes(states, matching)
            ranks = find_home_ranks(
                demand.prompt, demand.cache_namespace, homes, most, are_few=not is_many
            )
        target = self._find_target_version(demand.model, now) if demand.model else 0
        matching_ids = set(matching)
        stale_cost = MANY_STALE_COST_SECONDS if is_many else STALE_COST_SECONDS
        candidates = []
        for server_id in sampled:
            state = states[server_id]
            if engine is not None and demand.model and not state.weights:
                # It has loaded no weights, or has not reported them.
                continue
            room = self._find_room(state, now)
            if not room.slots:
                continue
            source = sources.choose(state.info)
            candidates.append(
                Candidate(
                    id=server_id,
                    is_local=state.info.failure_domain == failure_domain,
                    load=room.load,
                    slots=room.slots,
                    memory_tokens=engine.cache_tokens if engine else 0,
                    has_newest=state.weights.get(demand.model or "", 0) >= target,
                    home_rank=ranks.get(server_id, len(ranks)),
                    failure_share=state.failure_share,
                    is_cold=now < state.cold_until,
                    cached_tokens=sources.cached_tokens.get(server_id, 0),
                    fetch_tokens=source.tokens if source else 0,
                    fetches_from_store=bool(source and source.is_store),
                    matches_prompt_size=server_id in matching_ids,
                    stale_cost=stale_cost,
                    may_queue=room.may_queue,
                )
            )
        if self._speeds is None:
            return candidates
        return [
            self._add_speed(
                candidate, states[candidate.id], self._speeds, demand.longest_pause, now
            )
            for candidate in candidates
        ]

    def _find_room(self, state: ServerState, now: float) -> ServerRoom:
        """Return what this instance may use of a server.

        Without a coordinator, instances learn late what the others send: each uses only
        its own slots of a server that bears few rejections.
        """
        info = state.info
        if self.brittle is None or self.brittle.find_limit(info.service, now) is None:
            return ServerRoom(info.slots, self.servers.sum_load(info.id, now))
        slots = limit_slots(info.slots, now - state.known_since)
        own_slots = self._count_own_slots(info.id, slots)
        return ServerRoom(own_slots, state.load, may_queue=False)

    @staticmethod
    def _add_speed(
        candidate: Candidate,
        state: ServerState,
        speeds: SpeedSource,
        pause: float,
        now: float,
    ) -> Candidate:
        service, start_id = state.info.service, state.info.start_id
        if not candidate.memory_tokens:
            work_seconds = speeds.get_work_seconds(service, start_id, now)
            return candidate._replace(work_seconds=work_seconds)
        return candidate._replace(
            read_rate=speeds.get_read_rate(service, start_id, now),
            reading_seconds=speeds.estimate_reading(service, start_id, pause, now),
        )


def _list_homes(states: Mapping[str, ServerState], names: Sequence[str]) -> list[str]:
    """Return the servers that may be the rendezvous-hash homes of prompt parts.

    Servers with a rate limit are left out, unless all have one: parts that many
    requests share would be cached where few of the requests may be sent.
    """
    free = [name for name in names if not states[name].is_limited]
    return free or list(names)
