"""The router's view of the prompt blocks that an engine has cached.

The view is built from the prompts that this instance sent, from the engine's cache
events (late, with gaps) and from the cached-token counts in its answers. It is valid
for one incarnation of the engine: a new one starts with an empty cache.
"""

from __future__ import annotations

__all__ = ["CacheView"]

from collections import OrderedDict
from collections.abc import Iterable, Sequence

DEFAULT_CAPACITY = 4096


class CacheView:
    """The blocks assumed to be cached at one engine, least recently used first.

    With a ``sample`` of n, only one block in n (by its hash) is recorded. Engines evict
    the ends of prefixes first, so if a block of a prompt is cached, all blocks before
    it are assumed cached as well.
    """

    def __init__(self, capacity: int = DEFAULT_CAPACITY, sample: int = 1):
        self.incarnation = ""
        self.capacity = capacity
        self.sample = sample
        self.last_event = 0
        self._blocks: OrderedDict[int, None] = OrderedDict()

    def __len__(self) -> int:
        return len(self._blocks)

    def adopt_incarnation(self, incarnation: str) -> bool:
        """Clear the view if the incarnation is a new one; return whether it is."""
        if incarnation == self.incarnation:
            return False
        self.incarnation = incarnation
        self.last_event = 0
        self._blocks.clear()
        return True

    def resize(self, capacity: int) -> None:
        """Set the capacity in blocks, dropping the least recently used beyond it."""
        self.capacity = max(1, capacity)
        self._trim()

    def note_used(self, incarnation: str, blocks: Iterable[int]) -> None:
        """Record the blocks of a prompt that the engine has answered."""
        if incarnation != self.incarnation:
            return
        # The last block is recorded first, and thus dropped first: engines evict the
        # ends of prefixes before their beginnings.
        for block in reversed(list(blocks)):
            if block % self.sample == 0:
                self._blocks[block] = None
                self._blocks.move_to_end(block)
        self._trim()

    def note_events(
        self,
        incarnation: str,
        first: int,
        last: int,
        stored: Iterable[int],
        removed: Iterable[int],
    ) -> bool:
        """Apply a batch of cache events; return whether some were missed."""
        if incarnation != self.incarnation:
            return False
        missed = first > self.last_event + 1
        self.last_event = max(self.last_event, last)
        for block in stored:
            if block % self.sample == 0:
                self._blocks[block] = None
        for block in removed:
            self._blocks.pop(block, None)
        self._trim()
        return missed

    def note_cached(self, incarnation: str, blocks: Sequence[int], cached: int) -> None:
        """Remove all but the ``cached`` leading blocks that an answer found cached."""
        if incarnation != self.incarnation:
            return
        for block in blocks[cached:]:
            self._blocks.pop(block, None)

    def match(self, blocks: Sequence[int]) -> int:
        """Return how many leading blocks of a prompt are assumed to be cached."""
        if self.sample > 1:
            cached_counts = [
                n for n, block in enumerate(blocks, 1) if block in self._blocks
            ]
            return max(cached_counts, default=0)
        count = 0
        for block in blocks:
            if block not in self._blocks:
                break
            count += 1
        return count

    def list_blocks(self, limit: int) -> list[int]:
        """Return the most recently used blocks, to send to a restarted peer."""
        return list(self._blocks)[-limit:]

    def _trim(self) -> None:
        while len(self._blocks) > self.capacity:
            self._blocks.popitem(last=False)
