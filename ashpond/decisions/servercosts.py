"""Compute what it costs to send a request to a backend server, and whether it fits.

The load is long prompts beside short ones at engines, and bursts at plain servers. All
terms of a cost are seconds, so that they can be added.
"""

from __future__ import annotations

__all__ = [
    "MANY_STALE_COST_SECONDS",
    "PREFILL_TOKENS_PER_SECOND",
    "SHORT_TOKENS",
    "SLOT_COST_SECONDS",
    "STALE_COST_SECONDS",
    "Candidate",
    "Demand",
    "count_shared_tokens",
    "estimate_seconds",
    "is_full",
    "make_load",
]

from typing import NamedTuple

from ashpond.decisions.loads import Load
from ashpond.decisions.prompts import Prompt
from ashpond.decisions.timeleft import MIN_SILENT_SECONDS

# An idle engine prefills 57 prompt tokens per ms, one with running requests 50: the
# first event of an answer comes 0.05 s and 20 us per token after the request is sent.
PREFILL_TOKENS_PER_SECOND = 50_000.0
# Each running request adds 0.1 ms to every output token; an answer has about 50.
RUNNING_COST_SECONDS = 0.006
# A request that a plain server queues waits for about the duration of one answer.
SLOT_COST_SECONDS = 0.06
# A request and its answer each cross the network between two failure domains once.
DOMAIN_COST_SECONDS = 0.004
# Links between failure domains are narrow for prompts and answers. Without this cost,
# instances of different domains would all choose the same idle engine.
PROMPT_DOMAIN_COST_SECONDS = 0.04
# How much longer a caller waits for an answer by the newest weights, which replace
# those that the operator takes for worse.
STALE_COST_SECONDS = 0.25
# Used among many servers. At the full cost, the few servers that load the newest
# weights first would be overloaded, and requests that queue there delay those behind.
MANY_STALE_COST_SECONDS = 0.08
# A run that fails without a byte is noticed after this time; only then another begins.
FAILURE_COST_SECONDS = MIN_SILENT_SECONDS
COLD_COST_SECONDS = 0.05
# Fetching cached tokens takes a few ms, a hundredth of the time to prefill the same.
FETCH_COST_SECONDS = 0.006
# A cached token takes 18 KB; stores have links of 25 Gbit/s, engines 20 times that.
STORE_SECONDS_PER_TOKEN = 6e-6
# Share of an engine's memory for requests; the rest keeps shared parts cached.
MEMORY_SHARE = 0.8
# Plain servers queue some requests beyond their slots, which is better than a refusal.
QUEUE_SHARE = 1.5
# A plain server of known speed queues what it processes in this time, in which the end
# of one request leads to the arrival of the next (seconds). All others wait here, where
# more urgent ones can still go before them.
FEED_SECONDS = 0.05
# Share of each span as long as the pause after which clients close a stream that an
# engine may read for. The running answers make progress in the rest.
READING_SHARE = 0.95
# An engine gets no further prompt while it has this much unread (seconds). Two chunks
# keep it busy until the next prompt arrives; with more, an engine that turns slow would
# hold many prompts before that is noticed.
UNREAD_SECONDS = 0.2
# While a prompt is read, no running answer of the engine progresses. This is the weight
# of their delay against that of the prompt itself; 1.0 gave the same waits in trials.
DELAY_SHARE = 0.1
# Engines prefill prompts in chunks of 4,096 tokens, 72 ms each, between the decoding
# steps of running answers, which long prompts in a row pause for long. Among many
# servers, some are therefore reserved for prompts shorter than half a chunk (tokens).
SHORT_TOKENS = 2_048
# A short prompt among long ones is delayed; a long one among short ones delays many.
SHORT_MISMATCH_SECONDS = 0.06
LONG_MISMATCH_SECONDS = 0.15


class Demand(NamedTuple):
    """The properties of a request that the choice of a server depends on.

    ``cache_namespace`` separates the cached prompt parts of teams that share none.
    Servers in ``excluded`` are not chosen. ``is_suspected`` marks a request that may
    crash its server. ``longest_pause`` bounds the reading at an engine of known speed;
    0 sets no bound (seconds). ``uses_speeds`` is whether the speeds of servers are
    learned, which also bounds the queue at a plain server. ``reserved_share`` is the
    share of each server that is kept for other requests.
    """

    service: str
    model: str | None
    prompt: Prompt | None
    cache_namespace: str
    excluded: frozenset[str] = frozenset()
    is_resumable: bool = False
    is_suspected: bool = False
    longest_pause: float = 0.0
    uses_speeds: bool = False
    reserved_share: float = 0.0


class Candidate(NamedTuple):
    """A server that may take a request.

    ``cached_tokens`` is the number of leading prompt tokens that the server has cached,
    ``fetch_tokens`` the number that it can fetch from another engine or a cache store.
    ``home_rank`` is its rank as home of the prompt, see :func:`find_home_ranks`.
    ``memory_tokens`` is 0 for a plain server. ``matches_prompt_size`` is false for a
    server that is reserved for prompts of another length. ``stale_cost`` is the cost of
    weights that are not the newest (seconds). ``may_queue`` is false if the server must
    get no more requests than it has slots.

    The other fields are those of a server whose speed is known: ``read_rate`` in prompt
    tokens a second, ``work_seconds`` the time that a plain server works on a request,
    ``reading_seconds`` how long an engine has still to read, and how long it read
    within the longest pause that the request allows.
    """

    id: str
    is_local: bool
    load: Load
    slots: int
    memory_tokens: int
    has_newest: bool
    home_rank: int
    failure_share: float
    is_cold: bool
    cached_tokens: int = 0
    fetch_tokens: int = 0
    fetches_from_store: bool = False
    matches_prompt_size: bool = True
    stale_cost: float = STALE_COST_SECONDS
    read_rate: float = PREFILL_TOKENS_PER_SECOND
    work_seconds: float = SLOT_COST_SECONDS
    reading_seconds: float = 0.0
    may_queue: bool = True


def count_shared_tokens(prompt: Prompt) -> int:
    """Return the number of tokens in the parts that other prompts may share."""
    return sum(part.tokens for part in prompt.parts[:-1])


def make_load(demand: Demand, reusable_tokens: int) -> Load:
    """Return the load that a request adds to a server.

    :param reusable_tokens: how many prompt tokens are cached or can be fetched.
    """
    bound = 0 if demand.is_resumable else 1
    prompt = demand.prompt
    if prompt is None:
        return Load(1, bound=bound)
    own_tokens = prompt.tokens - count_shared_tokens(prompt)
    unread = prompt.tokens - reusable_tokens
    # Shared parts take memory once, so a request claims that of its own part only.
    memory = max(0, own_tokens) + prompt.max_output_tokens
    return Load(1, max(0, unread), memory, bound)


def is_speed_known(candidate: Candidate, demand: Demand) -> bool:
    """Return whether the formulas for a server of known speed apply."""
    if demand.uses_speeds or demand.longest_pause:
        return True
    if demand.prompt is None:
        return candidate.work_seconds != SLOT_COST_SECONDS
    return candidate.read_rate != PREFILL_TOKENS_PER_SECOND


def is_full(candidate: Candidate, demand: Demand, claim: int) -> bool:
    """Return whether a server has no room for one more request.

    :param claim: the memory that the request would claim (tokens).
    """
    load, usable = candidate.load, 1.0 - demand.reserved_share
    if demand.prompt is None:
        share = QUEUE_SHARE if candidate.may_queue else 1.0
        limit = candidate.slots * share
        if not demand.uses_speeds:
            return load.requests >= limit * usable
        queued = FEED_SECONDS / candidate.work_seconds
        limit = min(limit, candidate.slots * (1.0 + queued))
        return load.requests + 1 > max(1.0, limit * usable)
    if load.requests >= candidate.slots * usable:
        return True
    if not load.requests or not candidate.memory_tokens:
        return False
    claimed = load.held_tokens + claim
    if claimed > candidate.memory_tokens * MEMORY_SHARE * usable:
        return True
    return exceeds_reading(candidate, demand)


def exceeds_reading(candidate: Candidate, demand: Demand) -> bool:
    """Return whether one more prompt would keep an engine reading for too long.

    While it reads, the answers that it makes hardly progress. An engine that has read
    nothing lately takes a prompt of any length.
    """
    if not demand.longest_pause or demand.prompt is None:
        return False
    usable = 1.0 - demand.reserved_share
    if candidate.load.unread_tokens > UNREAD_SECONDS * usable * candidate.read_rate:
        return True
    reusable = max(candidate.cached_tokens, candidate.fetch_tokens)
    own_seconds = max(0, demand.prompt.tokens - reusable) / candidate.read_rate
    bound = demand.longest_pause * READING_SHARE * usable
    reading_seconds = candidate.reading_seconds
    return reading_seconds > 0 and reading_seconds + own_seconds > bound


def estimate_work_seconds(candidate: Candidate, demand: Demand) -> float:
    """Return the time until a plain server answers."""
    seconds = candidate.work_seconds * (candidate.load.requests + 1) / candidate.slots
    if is_speed_known(candidate, demand):
        return max(candidate.work_seconds, seconds)
    return seconds


def estimate_reading_seconds(
    candidate: Candidate, demand: Demand, prompt: Prompt, shared: int | None
) -> float:
    """Return the time until an engine has read a prompt, and its cost to others."""
    load = candidate.load
    reusable = max(candidate.cached_tokens, candidate.fetch_tokens)
    unread = load.unread_tokens + prompt.tokens - reusable
    seconds = unread / candidate.read_rate
    seconds += load.requests * RUNNING_COST_SECONDS
    if candidate.fetch_tokens > candidate.cached_tokens:
        seconds += FETCH_COST_SECONDS
        if candidate.fetches_from_store:
            missing = candidate.fetch_tokens - candidate.cached_tokens
            seconds += missing * STORE_SECONDS_PER_TOKEN
    if candidate.home_rank:
        # Another instance may be having the same parts prefilled at their home.
        if shared is None:
            shared = count_shared_tokens(prompt)
        seconds += max(0, shared - reusable) / candidate.read_rate
    if is_speed_known(candidate, demand):
        own_seconds = (prompt.tokens - reusable) / candidate.read_rate
        seconds += load.requests * own_seconds * DELAY_SHARE
    return seconds


def estimate_seconds(
    candidate: Candidate, demand: Demand, shared: int | None = None
) -> float:
    """Return the cost of a candidate in seconds, the best having the least.

    It is the time until the answer begins, plus the costs of old weights, failures and
    traffic between failure domains.

    :param shared: the number of the prompt's shared tokens, counted here if None.
    """
    if demand.prompt is None:
        seconds = estimate_work_seconds(candidate, demand)
    else:
        seconds = estimate_reading_seconds(candidate, demand, demand.prompt, shared)
    if not candidate.is_local:
        is_plain = demand.prompt is None
        seconds += DOMAIN_COST_SECONDS if is_plain else PROMPT_DOMAIN_COST_SECONDS
    if not candidate.has_newest:
        seconds += candidate.stale_cost
    if not candidate.matches_prompt_size and demand.prompt is not None:
        is_short = demand.prompt.tokens <= SHORT_TOKENS
        seconds += SHORT_MISMATCH_SECONDS if is_short else LONG_MISMATCH_SECONDS
    if candidate.is_cold:
        seconds += COLD_COST_SECONDS
    return seconds + candidate.failure_share * FAILURE_COST_SECONDS
