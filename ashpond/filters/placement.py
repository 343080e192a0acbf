"""Choose the backend server for a call by the policy in the settings."""

from __future__ import annotations

__all__ = [
    "Placement",
    "PlacementPolicy",
    "list_other_software",
    "make_placement",
]

import itertools
import random
from collections.abc import Callable
from typing import TYPE_CHECKING, NamedTuple

import trio

from ashpond.decisions.placement import (
    PRESUMED_HOME_SHARE,
    SAMPLED_PRESUMED_HOME_SHARE,
    Candidate,
    ChosenEngine,
    choose_engine,
    choose_least_loaded,
    rank_by_rendezvous,
)
from ashpond.identity import PrefixChain, PrefixSeed, hash_prompt, make_cache_salt

if TYPE_CHECKING:
    from ashpond.call import Call
    from ashpond.controllers.engines import EnginesController, ServerState
    from ashpond.settings import Settings


class Placement(NamedTuple):
    """The server of an attempt, and the cache identity that the attempt uses there.

    ``expected_cached`` counts blocks of the prompt.
    """

    server: str
    address: str
    weights: str
    cache_salt: str
    blocks: tuple[int, ...]
    expected_seconds: float
    expected_cached: int


PlacementPolicy = Callable[["Call", set[str]], Placement | None]
NO_BLOCKS = PrefixChain((), ())


def make_placement(
    settings: Settings, engines: EnginesController, rng: random.Random
) -> PlacementPolicy:
    """Return the function that chooses the server of an attempt.

    It takes the call and the names of the servers to skip, and returns ``None`` if
    no usable server is left.
    """
    counter = itertools.count()
    is_sampled = settings.cache_event_sample > 1
    presumed_home_share = (
        SAMPLED_PRESUMED_HOME_SHARE if is_sampled else PRESUMED_HOME_SHARE
    )

    def place(call: Call, skipped: set[str]) -> Placement | None:
        usable = engines.list_usable(call.service_name, skipped)
        if not usable:
            return None
        chains = hash_for_weights(call, usable)
        candidates = [
            state.build_candidate(chains[find_weights(call, state)].blocks)
            for state in usable
        ]
        chosen = choose(call, candidates, chains)
        state = engines.servers[chosen.name]
        weights = find_weights(call, state)
        return Placement(
            server=chosen.name,
            address=state.config.address,
            weights=weights,
            cache_salt=make_cache_salt(make_seed(call, weights)),
            blocks=chains[weights].blocks,
            expected_seconds=chosen.expected_seconds,
            expected_cached=chosen.expected_cached_blocks,
        )

    def choose(
        call: Call, candidates: list[Candidate], chains: dict[str, PrefixChain]
    ) -> ChosenEngine:
        now = trio.current_time()
        if call.is_suspected:
            # The call may crash its server, and calls that run beside it would be lost.
            least_loaded = choose_least_loaded(candidates, now, rng)
            assert least_loaded is not None
            return make_choice(least_loaded)
        if settings.policy == "round-robin":
            return make_choice(candidates[next(counter) % len(candidates)])
        chain = next(iter(chains.values()))
        if settings.policy == "hashing" and chain.levels:
            return make_choice(choose_by_hash(candidates, chain))
        if settings.policy == "ashpond" and chain.blocks:
            chosen = choose_engine(
                candidates,
                chain,
                call.prompt_tokens,
                settings.failure_domain,
                now,
                rng,
                presumed_home_share,
            )
            assert chosen is not None
            return chosen
        least_loaded = choose_least_loaded(candidates, now, rng)
        assert least_loaded is not None
        return make_choice(least_loaded)

    return place


def make_choice(candidate: Candidate) -> ChosenEngine:
    """Return a choice made without estimated times: ``expected_seconds`` is zero."""
    return ChosenEngine(candidate.name, 0.0, candidate.cached_blocks)


def choose_by_hash(candidates: list[Candidate], chain: PrefixChain) -> Candidate:
    """Return the home of the prompt's last but one prefix level.

    The home is the server that ranks first by rendezvous hashing. The last level is
    left out where there are several.
    """
    level = chain.levels[max(0, len(chain.levels) - 2)]
    names = [candidate.name for candidate in candidates]
    home = rank_by_rendezvous(chain.blocks[level - 1], names)[0]
    return next(candidate for candidate in candidates if candidate.name == home)


def hash_for_weights(call: Call, usable: list[ServerState]) -> dict[str, PrefixChain]:
    """Return the prompt's block hashes for each weights version that servers run.

    There are several versions only while new weights are rolled out.
    """
    versions = {find_weights(call, state) for state in usable}
    return {version: hash_call(call, version) for version in sorted(versions)}


def hash_call(call: Call, weights: str) -> PrefixChain:
    """Return the prompt's block hashes for one weights version."""
    if not call.prompt:
        return NO_BLOCKS
    return hash_prompt(make_seed(call, weights), call.prompt, list(call.level_ends))


def make_seed(call: Call, weights: str) -> PrefixSeed:
    """Return the seed of the block hashes.

    Prompts share cached blocks only within one team, model and weights version.
    """
    assert call.service is not None
    return PrefixSeed(call.team_name, call.service.model, weights)


def find_weights(call: Call, state: ServerState) -> str:
    """Return the weights that a server reported, else those of the configuration."""
    assert call.service is not None
    if state.report is not None and state.report.weights:
        return state.report.weights
    return call.service.weights


def list_other_software(engines: EnginesController, software: str) -> set[str]:
    """Return the servers that last reported another version of their software.

    They cannot continue a stream that an engine of this version has begun.
    """
    return {
        name
        for name, state in engines.servers.items()
        if state.report is not None and state.report.software != software
    }
