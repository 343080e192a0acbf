"""Hashes that identify prompt prefixes and cached blocks.

A prompt is cut into blocks of :data:`BLOCK_CHARS` characters. Each block's hash
covers its text, all text before it and a seed of (team, model, weights version,
adapter), so equal hashes mean equal prefixes of the same team under the same weights.
A cache entry is also keyed by the incarnation of the engine that holds it.
"""

from __future__ import annotations

__all__ = [
    "BLOCK_CHARS",
    "CHARS_PER_TOKEN",
    "PrefixChain",
    "PrefixSeed",
    "chain_blocks",
    "count_tokens",
    "hash_prompt",
    "make_cache_salt",
    "render_chat",
]

import hashlib
from typing import Any, NamedTuple

import msgpack

BLOCK_CHARS = 512
CHARS_PER_TOKEN = 4
HASH_BYTES = 8


class PrefixSeed(NamedTuple):
    """The values that must be equal for two prompts to share cached blocks."""

    team: str
    model: str
    weights: str
    adapter: str = ""


class PrefixChain(NamedTuple):
    """The block hashes of a prompt and the ends of its shared levels.

    ``blocks[i]`` identifies the first ``i + 1`` blocks. ``levels`` holds the number of
    blocks up to the end of each level, ascending; the last is the whole prompt.
    """

    blocks: tuple[int, ...]
    levels: tuple[int, ...]


def make_cache_salt(seed: PrefixSeed) -> str:
    """Return the salt that separates the cache entries of different seeds."""
    material = msgpack.packb(list(seed))
    return hashlib.blake2b(material, digest_size=16).hexdigest()


def chain_blocks(salt: str, text: str) -> tuple[int, ...]:
    """Return the chained hash of each complete block of ``text``."""
    running = hashlib.blake2b(salt.encode(), digest_size=HASH_BYTES)
    blocks = []
    whole = len(text) - len(text) % BLOCK_CHARS
    for start in range(0, whole, BLOCK_CHARS):
        running.update(text[start : start + BLOCK_CHARS].encode())
        blocks.append(int.from_bytes(running.digest()))
    return tuple(blocks)


def hash_prompt(seed: PrefixSeed, text: str, level_ends: list[int]) -> PrefixChain:
    """Return the prefix chain of ``text``.

    :param level_ends: character offsets at which the prompt's shared levels end.
    """
    blocks = chain_blocks(make_cache_salt(seed), text)
    counts = {min(end // BLOCK_CHARS, len(blocks)) for end in level_ends}
    counts.add(len(blocks))
    counts.discard(0)
    return PrefixChain(blocks, tuple(sorted(counts)))


def render_chat(messages: list[dict[str, Any]]) -> tuple[str, list[int]]:
    """Return the prompt text of chat messages and the offset where each ends."""
    parts = []
    ends = []
    length = 0
    for message in messages:
        part = f"<|{message.get('role', '')}|>{_read_content(message)}\n"
        parts.append(part)
        length += len(part)
        ends.append(length)
    return "".join(parts), ends


def _read_content(message: dict[str, Any]) -> str:
    content = message.get("content")
    if isinstance(content, str):
        return content
    if not isinstance(content, list):
        return ""
    texts = (part.get("text", "") for part in content if isinstance(part, dict))
    return "".join(text for text in texts if isinstance(text, str))


def count_tokens(text: str) -> int:
    """Return an estimated number of tokens, precise enough to compare prompts."""
    return len(text) // CHARS_PER_TOKEN + 1
