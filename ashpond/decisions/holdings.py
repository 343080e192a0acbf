"""Which engine has read which shared prompt parts, as far as instances know."""

from __future__ import annotations

__all__ = ["Holding", "Holdings", "make_salt"]

from typing import NamedTuple

from ashpond.bounds import Count
from ashpond.decisions.prompts import Prompt

# Engines drop the least recently used parts within seconds; a wrong guess costs
# one fruitless fetch (a ms) and reading the part.
KEPT_SECONDS = 4.0
# A part in steady use is told to the peers again after this (seconds).
RETELL_SECONDS = 1.5
MAX_ENTRIES = 20_000


class Holding(NamedTuple):
    """An engine has read a part under a salt, since its start at ``born``."""

    server_id: str
    salt: str
    part: str
    born: Count | None = None


def make_salt(wall: str, model: str, version: int | None) -> str:
    """Return what separates cached parts: by team wall, model and weights."""
    return f"{wall}/{model}/{version}"


class Holdings:
    """A view of the engines' caches, which ages."""

    def __init__(self) -> None:
        self._used_at: dict[tuple[str, str], dict[str, float]] = {}
        self._told_at: dict[Holding, float] = {}

    def note_read(
        self,
        server_id: str,
        salt: str,
        prompt: Prompt,
        now: float,
        born: int | None = None,
    ) -> list[Holding]:
        """Note that an engine has read a prompt; return what peers should hear."""
        news = []
        for part in prompt.parts[:-1]:
            holding = Holding(server_id, salt, part.id, born)
            self._note(holding, now)
            if now - self._told_at.get(holding, float("-inf")) >= RETELL_SECONDS:
                self._told_at[holding] = now
                news.append(holding)
        return news

    def note_told(self, holding: Holding, now: float) -> None:
        """Take what a peer says."""
        self._note(holding, now)
        self._told_at[holding] = now

    def _note(self, holding: Holding, now: float) -> None:
        key = (holding.salt, holding.part)
        self._used_at.setdefault(key, {})[holding.server_id] = now

    def count_tokens(
        self, server_id: str, salt: str, prompt: Prompt, now: float
    ) -> int:
        """Return how many of the prompt's first tokens an engine holds."""
        return self.find_holders(salt, prompt, now).get(server_id, 0)

    def find_holders(self, salt: str, prompt: Prompt, now: float) -> dict[str, int]:
        """Return how many of the prompt's first tokens each engine holds, if any."""
        holders: dict[str, int] = {}
        tokens = 0
        for part in prompt.parts[:-1]:
            used_at = self._used_at.get((salt, part.id), {})
            fresh = [s for s, at in used_at.items() if now - at <= KEPT_SECONDS]
            # A part is of use only after all parts before it.
            going_on = [s for s in fresh if holders.get(s, 0) == tokens]
            if not going_on:
                break
            tokens += part.tokens
            holders.update(dict.fromkeys(going_on, tokens))
        return holders

    def forget_server(self, server_id: str) -> None:
        """Drop all that an engine held."""
        for servers in self._used_at.values():
            servers.pop(server_id, None)
        self._told_at = {
            holding: at
            for holding, at in self._told_at.items()
            if holding.server_id != server_id
        }

    def expire(self, now: float) -> None:
        """Drop what has aged."""
        limit = now - KEPT_SECONDS
        for key in list(self._used_at):
            servers = self._used_at[key]
            for server_id in [s for s, used_at in servers.items() if used_at < limit]:
                del servers[server_id]
            if not servers:
                del self._used_at[key]
        self._told_at = {h: at for h, at in self._told_at.items() if at >= limit}
