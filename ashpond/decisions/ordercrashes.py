"""Limit how often weights are loaded that crash the engines loading them."""

from __future__ import annotations

__all__ = ["OrderCrashes"]

# Engines also crash for other reasons: if a third of them does every 3.5 s, one in
# four crashes by chance during a load of 0.8 s. Three crashes in a row without a
# successful load in between are attributed to the weights.
MAX_CRASHES = 3
# Then one engine at a time tries the load. The pause before each try doubles, starting
# from this (seconds).
PAUSE_SECONDS = 5.0
MAX_PAUSE_SECONDS = 300.0

_Order = tuple[str, int]


class OrderCrashes:
    """Counts the engines that crashed while loading, by model and version.

    Without a limit, weights that crash every engine would crash all engines repeatedly:
    each restarts with the previous version and is ordered to load the new one again.
    """

    def __init__(self) -> None:
        self._crashes: dict[_Order, int] = {}
        self._paused_until: dict[_Order, float] = {}

    def note_crash(self, model: str, version: int, now: float) -> None:
        """Record that an engine crashed while loading a version."""
        key = (model, version)
        crashes = self._crashes[key] = self._crashes.get(key, 0) + 1
        if crashes >= MAX_CRASHES:
            pause = PAUSE_SECONDS * 2.0 ** (crashes - MAX_CRASHES)
            self._paused_until[key] = now + min(pause, MAX_PAUSE_SECONDS)

    def note_loaded(self, model: str, version: int) -> None:
        """Record a successful load: the version is not the cause of crashes."""
        self._crashes.pop((model, version), None)
        self._paused_until.pop((model, version), None)

    def limit_loads(self, model: str, version: int, now: float) -> int | None:
        """Return how many engines may load a version now, None for no limit."""
        key = (model, version)
        if self._crashes.get(key, 0) < MAX_CRASHES:
            return None
        return 1 if now >= self._paused_until[key] else 0
