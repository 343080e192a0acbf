"""The work at a backend server, as numbers that add up."""

from __future__ import annotations

__all__ = ["NO_LOAD", "PEER_LOAD_SECONDS", "Load"]

from typing import NamedTuple

from ashpond.bounds import Number

# Loads told by a peer that has been silent for longer no longer count (seconds).
PEER_LOAD_SECONDS = 1.5


class Load(NamedTuple):
    """Work at a server: requests, prompt tokens to be read, memory in tokens.

    ``bound`` of the requests cannot go on at another server if they are cut.
    """

    requests: Number = 0
    unread_tokens: Number = 0
    held_tokens: Number = 0
    bound: Number = 0

    def add(self, other: Load) -> Load:
        """Return the sum."""
        return Load(
            self.requests + other.requests,
            self.unread_tokens + other.unread_tokens,
            self.held_tokens + other.held_tokens,
            self.bound + other.bound,
        )

    def subtract(self, other: Load) -> Load:
        """Return the difference."""
        return Load(
            self.requests - other.requests,
            self.unread_tokens - other.unread_tokens,
            self.held_tokens - other.held_tokens,
            self.bound - other.bound,
        )


NO_LOAD = Load()
