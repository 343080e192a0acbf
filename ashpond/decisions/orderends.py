"""Whether an order may be given again that engines have ended under."""

from __future__ import annotations

__all__ = ["OrderEnds"]

# Engines end by chance too: with a third of them lost every 3.5 s, one in four during a
# load of 0.8 s. Three in a row, and none that came through in between, are the order's.
MOST_ENDS = 3
# Then one engine at a time tries it, after this and twice as long each time (seconds).
PAUSE_SECONDS = 5.0
PAUSE_LIMIT_SECONDS = 300.0

_Order = tuple[str, int]


class OrderEnds:
    """Counts, by model and version, the engines that ended while they loaded it.

    Without it weights that end each engine which loads them would end all engines again
    and again: each comes back with the version before, and is ordered anew.
    """

    def __init__(self) -> None:
        self._ended: dict[_Order, int] = {}
        self._paused_until: dict[_Order, float] = {}

    def note_ended(self, model: str, version: int, now: float) -> None:
        """Note that an engine ended under an order."""
        key = (model, version)
        ended = self._ended[key] = self._ended.get(key, 0) + 1
        if ended >= MOST_ENDS:
            pause = PAUSE_SECONDS * 2.0 ** (ended - MOST_ENDS)
            self._paused_until[key] = now + min(pause, PAUSE_LIMIT_SECONDS)

    def note_loaded(self, model: str, version: int) -> None:
        """Note that an engine has come through: the order is not the cause."""
        self._ended.pop((model, version), None)
        self._paused_until.pop((model, version), None)

    def limit_loads(self, model: str, version: int, now: float) -> int | None:
        """Return how many engines may try an order now, None for no limit."""
        key = (model, version)
        if self._ended.get(key, 0) < MOST_ENDS:
            return None
        return 1 if now >= self._paused_until[key] else 0
