"""Compute the cache efficiency of a replayed trace, and its upper bound."""

from __future__ import annotations

__all__ = [
    "compute_max_hit_rate",
    "count_wasted_tokens",
    "hash_event_blocks",
    "make_prefix_chain",
]

from collections.abc import Sequence
from typing import Any

from ashpond.decisions.placement import BLOCK_TOKENS
from ashpond.identity import (
    PrefixChain,
    PrefixSeed,
    chain_blocks,
    count_tokens,
    hash_prompt,
    make_cache_salt,
    render_chat,
)
from tools.load import Result, make_messages
from tools.traces import Event

MODEL = "m1"
WEIGHTS = "w1"


def hash_event_blocks(event: Event) -> tuple[int, ...]:
    """Return the block hashes under which engines cache an event's prompt."""
    salt = make_cache_salt(PrefixSeed(event.team, MODEL, WEIGHTS))
    return chain_blocks(salt, render_chat(make_messages(event))[0])


def make_prefix_chain(event: Event) -> PrefixChain:
    """Return the prefix chain that an instance computes for an event's prompt."""
    text, ends = render_chat(make_messages(event))
    return hash_prompt(PrefixSeed(event.team, MODEL, WEIGHTS), text, ends)


def compute_max_hit_rate(events: Sequence[Event]) -> float:
    """Return the hit rate of a single unlimited cache that serves all requests.

    Such a cache computes each distinct block once, at its first occurrence. This is
    the upper bound for every placement policy, even one that knows the whole trace.
    """
    seen: set[int] = set()
    total = hits = 0
    for event in events:
        if not event.parts:
            continue
        blocks = hash_event_blocks(event)
        total += count_tokens(render_chat(make_messages(event))[0])
        hits += sum(block in seen for block in blocks) * BLOCK_TOKENS
        seen.update(blocks)
    return hits / total if total else 0.0


def count_wasted_tokens(results: Sequence[Result], logs: Sequence[Any]) -> int:
    """Return the tokens computed although an engine had them cached.

    Only whole results of model requests count. The cached tokens of a request are
    compared with the longest prefix that any engine had cached when it was sent.

    :param logs: the cache event log of each engine; every event has its wall-clock
        time in ``wall``.
    """
    changes = [
        (event["wall"], engine, event)
        for engine, log in enumerate(logs)
        for event in log["events"]
    ]
    changes.sort(key=lambda change: change[0])
    cached_blocks: list[set[int]] = [set() for _ in logs]
    wasted = 0
    position = 0
    complete_results = [r for r in results if r.whole and r.event.parts]
    for result in sorted(complete_results, key=lambda r: r.sent_at):
        while position < len(changes) and changes[position][0] <= result.sent_at:
            _, engine, event = changes[position]
            cached_blocks[engine].update(event["stored"])
            cached_blocks[engine].difference_update(event["removed"])
            position += 1
        blocks = hash_event_blocks(result.event)
        best = max(_count_leading(blocks, engine) for engine in cached_blocks)
        wasted += max(0, best * BLOCK_TOKENS - result.cached_tokens)
    return wasted


def _count_leading(blocks: Sequence[int], cached_blocks: set[int]) -> int:
    count = 0
    for block in blocks:
        if block not in cached_blocks:
            break
        count += 1
    return count
