"""Reserve backend servers for requests; the most urgent ones are served first."""

from __future__ import annotations

__all__ = ["Reservation", "ReservationQueue"]

import math
import random
from collections.abc import Callable, Collection, Mapping, Sequence
from typing import NamedTuple

import trio

from ashpond.controllers.cachestores import CacheStores
from ashpond.controllers.directory import ServerState, ServerTable
from ashpond.decisions.cacheindex import CacheIndex
from ashpond.decisions.declared import Declaration
from ashpond.decisions.loads import Load
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

# Waiting requests are not woken when a peer's load changes or a pause ends, so the
# search is repeated this often (seconds).
RECHECK_SECONDS = 0.03
# How many of the best candidates are logged; each takes some 80 bytes of a line.
LOGGED_CANDIDATES = 6


class Reservation(NamedTuple):
    """The server that is reserved for a request, and the load it adds there.

    ``fetch_from`` is the address of an engine or store that has more of the prompt
    cached, ``save_to`` that of a store that is sent the prompt parts that are read.
    ``candidates`` are the best ones of the choice. ``permitted_at`` is when the
    request got its permit, None if the server had no rate limit then.
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


class _Waiter:
    def __init__(self, demand: Demand, urgency: int, number: int):
        self.demand = demand
        self.order = (urgency, number)
        self.memory_tokens = make_load(demand, 0).held_tokens
        self.reservation: Reservation | None = None
        self.event = trio.Event()

    def get_constraints(self) -> tuple[str, str | None, frozenset[str]]:
        """Return what limits the choice of a server, besides the memory it needs."""
        return self.demand.service, self.demand.model, self.demand.excluded


class ReservationQueue:
    """One instance's reservations, and the requests that wait for a server.

    ``find_target_version`` returns the version of a model that servers should have,
    ``find_required_version`` the one without which they get no requests.
    ``has_delayed_updates`` returns whether peers' loads arrive late.
    """

    def __init__(
        self,
        table: ServerTable,
        cache_index: CacheIndex,
        stores: CacheStores,
        failure_domain: str,
        get_declaration: Callable[[], Declaration | None],
        find_target_version: Callable[[str, float], int],
        find_required_version: Callable[[str, float], int],
        rng: random.Random,
        has_delayed_updates: Callable[[], bool] = lambda: False,
    ):
        self.table = table
        self.cache_index = cache_index
        self.stores = stores
        self._failure_domain = failure_domain
        self._get_declaration = get_declaration
        self._find_target_version = find_target_version
        self._find_required_version = find_required_version
        self._rng = rng
        self._has_delayed_updates = has_delayed_updates
        self._waiters: list[_Waiter] = []
        self._assigned_at = float("-inf")
        self._count = 0

    @property
    def waiting(self) -> int:
        """The number of requests that wait for a server."""
        return len(self._waiters)

    async def reserve(
        self, demand: Demand, urgency: int, until: float
    ) -> Reservation | None:
        """Reserve a server; return None if none is free by the time ``until``."""
        now = trio.current_time()
        if not any(w.demand.service == demand.service for w in self._waiters):
            reservation = self._try_reserve(demand, now)
            if reservation is not None or now >= until:
                return reservation
        if self.find_retry_time(demand, now) > until:
            return None
        self._count += 1
        waiter = _Waiter(demand, urgency, self._count)
        self._waiters.append(waiter)
        try:
            while waiter.reservation is None:
                # Read the clock once: a second reading may lie after ``until``.
                now = trio.current_time()
                if now >= until:
                    break
                with trio.move_on_at(min(now + RECHECK_SECONDS, until)):
                    await waiter.event.wait()
                if waiter.reservation is None:
                    self._recheck()
            return waiter.reservation
        except trio.Cancelled:
            if waiter.reservation is not None:
                self.release(waiter.reservation)
            raise
        finally:
            if waiter in self._waiters:
                self._waiters.remove(waiter)

    def find_retry_time(self, demand: Demand, now: float) -> float:
        """Return when the first server may take a request again, by its directives.

        Infinite if all are leaving; ``now`` if none is known or one is not backing off.
        """
        states = self.table.list_service(demand.service)
        if not states:
            return now
        times = [
            state.find_retry_time(now)
            for state in states
            if state.is_eligible() and state.info.id not in demand.excluded
        ]
        return min(times, default=math.inf)

    def _recheck(self) -> None:
        """Search for all that wait, unless another request has just caused that."""
        if trio.current_time() - self._assigned_at >= RECHECK_SECONDS / 2:
            self.assign()

    def assign(self) -> None:
        """Reserve free servers for waiting requests, the most urgent first.

        A request is skipped if one with the same constraints and no greater need of
        memory has found no server: with full engines, ten requests cost one search.
        """
        now = trio.current_time()
        self._assigned_at = now
        unmet: dict[tuple[str, str | None, frozenset[str]], int] = {}
        for waiter in sorted(self._waiters, key=lambda waiter: waiter.order):
            constraints = waiter.get_constraints()
            if constraints in unmet and waiter.memory_tokens >= unmet[constraints]:
                continue
            reservation = self._try_reserve(waiter.demand, now)
            if reservation is None:
                unmet[constraints] = waiter.memory_tokens
                continue
            waiter.reservation = reservation
            self._waiters.remove(waiter)
            waiter.event.set()

    def release(self, reservation: Reservation) -> None:
        """Take the load of a reservation from its server."""
        reservation.state.load = reservation.state.load.subtract(reservation.load)
        if self._waiters:
            self.assign()

    def note_prompt_read(self, reservation: Reservation) -> Reservation:
        """Return the reservation without the unread tokens, once they are read."""
        read = Load(unread_tokens=reservation.load.unread_tokens)
        reservation.state.load = reservation.state.load.subtract(read)
        return reservation._replace(load=reservation.load.subtract(read))

    def _try_reserve(self, demand: Demand, now: float) -> Reservation | None:
        required = self._find_required_version(demand.model, now) if demand.model else 0
        states = {
            state.info.id: state
            for state in self.table.list_usable(demand.service, now)
            if state.info.id not in demand.excluded
            and state.weights.get(demand.model or "", 0) >= required
        }
        sources = find_sources(self.cache_index, self.stores, states, demand, now)
        sampled = self._sample_servers(states, sources, demand)
        candidates = self._build_candidates(states, sampled, sources, demand, now)
        scored = score_candidates(candidates, demand)
        if not scored and len(sampled) < len(states):
            candidates = self._build_candidates(states, states, sources, demand, now)
            scored = score_candidates(candidates, demand)
        chosen = choose_scored(scored, demand, self._rng)
        if chosen is None:
            return None
        state = states[chosen.id]
        available = max(chosen.cached_tokens, chosen.fetch_tokens)
        load = make_load(demand, available)
        state.load = state.load.add(load)
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
        ids = [s.info.id for s in self.table.list_service(service) if s.is_present()]
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
            source = sources.choose(state.info)
            candidates.append(
                Candidate(
                    id=server_id,
                    is_local=state.info.failure_domain == self._failure_domain,
                    load=self.table.sum_load(server_id, now),
                    slots=state.info.slots,
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
                )
            )
        return candidates


def _list_homes(states: Mapping[str, ServerState], names: Sequence[str]) -> list[str]:
    """Return the servers that may be the rendezvous-hash homes of prompt parts.

    Servers with a rate limit are left out, unless all have one: parts that many
    requests share would be cached where few of the requests may be sent.
    """
    free = [name for name in names if not states[name].is_limited]
    return free or list(names)
