"""The load of a backend server, as numbers that can be added."""

from __future__ import annotations

__all__ = ["NO_LOAD", "PEER_LOAD_SECONDS", "Load"]

from typing import NamedTuple

from ashpond.bounds import Number

# Loads reported by a peer are ignored once it has sent nothing for this (seconds).
PEER_LOAD_SECONDS = 1.5


class Load(NamedTuple):
    """The load of a server in requests, prompt tokens to prefill and memory.

    ``held_tokens`` is the memory that the requests take, in tokens. ``bound`` counts
    the requests that cannot be resumed at another server if their answer is cut off.
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
