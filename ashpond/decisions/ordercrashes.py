"""Whether an order may be given again that engines have ended under."""

from __future__ import annotations

__all__ = ["OrderCrashes"]

# Engines end by chance too: with a third of them lost every 3.5 s, one in four during a
# load of 0.8 s. Three in a row, and none that came through in between, are the order's.
MAX_CRASHES = 3
# Then one engine at a time tries it, after this and twice as long each time (seconds).
PAUSE_SECONDS = 5.0
MAX_PAUSE_SECONDS = 300.0

_Order = tuple[str, int]


class OrderCrashes:
    """Counts, by model and version, the engines that ended while they loaded it.

    Without it weights that end each engine which loads them would end all engines again
    and again: each comes back with the version before, and is ordered anew.
    """

    def __init__(self) -> None:
        self._crashes: dict[_Order, int] = {}
        self._paused_until: dict[_Order, float] = {}

    def note_crash(self, model: str, version: int, now: float) -> None:
        """Note that an engine ended under an order."""
        key = (model, version)
        crashes = self._crashes[key] = self._crashes.get(key, 0) + 1
        if crashes >= MAX_CRASHES:
            pause = PAUSE_SECONDS * 2.0 ** (crashes - MAX_CRASHES)
            self._paused_until[key] = now + min(pause, MAX_PAUSE_SECONDS)

    def note_loaded(self, model: str, version: int) -> None:
        """Note that an engine has come through: the order is not the cause."""
        self._crashes.pop((model, version), None)
        self._paused_until.pop((model, version), None)

    def limit_loads(self, model: str, version: int, now: float) -> int | None:
        """Return how many engines may try an order now, None for no limit."""
        key = (model, version)
        if self._crashes.get(key, 0) < MAX_CRASHES:
            return None
        return 1 if now >= self._paused_until[key] else 0
