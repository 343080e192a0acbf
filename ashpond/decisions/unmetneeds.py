"""What waiting requests need that no server has room for.

Answers the load of hundreds of requests that wait for full servers: they cost one
search each time that something changes, not one each.
"""

from __future__ import annotations

__all__ = ["UnmetNeeds"]

from collections import Counter
from collections.abc import Hashable

# A request that needs less memory than one without a server is tried only if it needs
# clearly less. With requests of many sizes, each would be a bit smaller than another.
SMALLER_SHARE = 0.8


class UnmetNeeds:
    """The needs of waiting requests, and which of them are known to be unmet.

    A need is what limits the choice of a server, its constraints, and an amount of
    memory (tokens).
    """

    def __init__(self) -> None:
        self._counts: Counter[Hashable] = Counter()
        # Not more than the least memory that a waiting request of these needs.
        self._least: dict[Hashable, int] = {}
        self._unmet: dict[Hashable, int] = {}

    def add(self, constraints: Hashable, memory: int) -> None:
        """Add the need of a request that begins to wait."""
        self._counts[constraints] += 1
        self._least[constraints] = min(memory, self._least.get(constraints, memory))

    def remove(self, constraints: Hashable) -> None:
        """Remove the need of a request that waits no longer."""
        self._counts[constraints] -= 1
        if self._counts[constraints] <= 0:
            del self._counts[constraints], self._least[constraints]

    def note_unmet(self, constraints: Hashable, memory: int) -> None:
        """Record that no server has room for a need."""
        known = self._unmet.get(constraints, memory)
        self._unmet[constraints] = min(memory, known)

    def is_unmet(self, constraints: Hashable, memory: int) -> bool:
        """Return whether no server has room for a need, as far as is known."""
        unmet = self._unmet.get(constraints)
        return unmet is not None and memory >= unmet * SMALLER_SHARE

    def are_all_unmet(self) -> bool:
        """Return whether no waiting request can have a server."""
        return all(self.is_unmet(key, least) for key, least in self._least.items())

    def clear(self) -> None:
        """Forget what is unmet, as a server may have room now."""
        self._unmet.clear()
