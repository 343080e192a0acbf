"""An index of the shared prompt parts that engines have cached."""

from __future__ import annotations

__all__ = ["CacheEntry", "CacheIndex", "make_salt"]

from typing import NamedTuple

from ashpond.bounds import Count
from ashpond.decisions.prompts import Prompt

# Engines evict the least recently used parts within seconds. A stale entry costs one
# failed fetch (1 ms) and prefilling the part.
ENTRY_TTL_SECONDS = 4.0
# The entry of a part in steady use is sent to the peers again after this (seconds).
RESEND_SECONDS = 1.5
MAX_ENTRIES = 20_000


class CacheEntry(NamedTuple):
    """A prompt part that an engine has cached under a salt.

    ``started_ms`` is the time at which the engine started (Unix time in ms), None if it
    does not report one.
    """

    server_id: str
    salt: str
    part: str
    started_ms: Count | None = None


def make_salt(cache_namespace: str, model: str, version: int | None) -> str:
    """Return the salt that separates cached parts by namespace, model and weights."""
    return f"{cache_namespace}/{model}/{version}"


class CacheIndex:
    """The prompt parts that each engine is assumed to have cached.

    Entries expire after ``ENTRY_TTL_SECONDS`` without use.
    """

    def __init__(self) -> None:
        self._used_at: dict[tuple[str, str], dict[str, float]] = {}
        self._reported_at: dict[CacheEntry, float] = {}

    def note_read(
        self,
        server_id: str,
        salt: str,
        prompt: Prompt,
        now: float,
        started_ms: int | None = None,
    ) -> list[CacheEntry]:
        """Record that an engine has read a prompt; return the entries for peers."""
        to_report = []
        for part in prompt.parts[:-1]:
            entry = CacheEntry(server_id, salt, part.id, started_ms)
            self._note(entry, now)
            if now - self._reported_at.get(entry, float("-inf")) >= RESEND_SECONDS:
                self._reported_at[entry] = now
                to_report.append(entry)
        return to_report

    def note_reported(self, entry: CacheEntry, now: float) -> None:
        """Record an entry that a peer has sent."""
        self._note(entry, now)
        self._reported_at[entry] = now

    def _note(self, entry: CacheEntry, now: float) -> None:
        key = (entry.salt, entry.part)
        self._used_at.setdefault(key, {})[entry.server_id] = now

    def count_tokens(
        self, server_id: str, salt: str, prompt: Prompt, now: float
    ) -> int:
        """Return how many leading tokens of a prompt an engine has cached."""
        return self.count_tokens_by_server(salt, prompt, now).get(server_id, 0)

    def count_tokens_by_server(
        self, salt: str, prompt: Prompt, now: float
    ) -> dict[str, int]:
        """Return how many leading tokens of a prompt each engine has cached, if any."""
        tokens_by_server: dict[str, int] = {}
        tokens = 0
        for part in prompt.parts[:-1]:
            used_at = self._used_at.get((salt, part.id), {})
            current = [s for s, at in used_at.items() if now - at <= ENTRY_TTL_SECONDS]
            # A cached part is usable only if all parts before it are cached as well.
            continuing = [s for s in current if tokens_by_server.get(s, 0) == tokens]
            if not continuing:
                break
            tokens += part.tokens
            tokens_by_server.update(dict.fromkeys(continuing, tokens))
        return tokens_by_server

    def remove_server(self, server_id: str) -> None:
        """Remove all entries of an engine."""
        for servers in self._used_at.values():
            servers.pop(server_id, None)
        self._reported_at = {
            entry: at
            for entry, at in self._reported_at.items()
            if entry.server_id != server_id
        }

    def expire(self, now: float) -> None:
        """Remove expired entries."""
        limit = now - ENTRY_TTL_SECONDS
        for key in list(self._used_at):
            servers = self._used_at[key]
            for server_id in [s for s, used_at in servers.items() if used_at < limit]:
                del servers[server_id]
            if not servers:
                del self._used_at[key]
        self._reported_at = {
            h: at for h, at in self._reported_at.items() if at >= limit
        }
