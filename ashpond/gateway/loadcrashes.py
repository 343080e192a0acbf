"""Tell crashes that weights cause from those with another cause."""

from __future__ import annotations

__all__ = ["LoadCrashes"]

from typing import TYPE_CHECKING

import trio

from ashpond.decisions.ordercrashes import OrderCrashes

if TYPE_CHECKING:
    from collections.abc import Container

    from ashpond.controllers.directory import ServerState, ServerTable
    from ashpond.gateway.decisionlog import DecisionLog
    from ashpond.gateway.outdatedweights import WeightsUpdate

# Crashes within this time have one cause (seconds): those of engines that are found
# later, by requests or their rows, as well.
SAME_CAUSE_SECONDS = 3.0
# If so many of the engines that do not load fail too, the weights are not the cause:
# this share, and at least this number.
OTHER_CRASHES_SHARE = 0.1
MIN_OTHER_CRASHES = 2
NEVER = float("-inf")


class LoadCrashes:
    """The crashes of engines that load, and what follows for further loads."""

    def __init__(self, table: ServerTable, log: DecisionLog):
        self._table = table
        self._log = log
        self._counts = OrderCrashes()
        self._restarted_at: dict[str, float] = {}
        # When engines crashed that were loading.
        self._load_crashed_at: dict[str, float] = {}

    def note_restart(self, server_id: str) -> None:
        """Record a new start of an engine."""
        self._restarted_at[server_id] = trio.current_time()

    def note_loaded(self, update: WeightsUpdate) -> None:
        """Record a successful load."""
        self._counts.note_loaded(update.model, update.version)

    def limit_loads(self, update: WeightsUpdate, now: float) -> int | None:
        """Return how many engines may load a version now, None for no limit."""
        return self._counts.limit_loads(update.model, update.version, now)

    def note_crash(self, update: WeightsUpdate, updating: Container[str]) -> None:
        """Count a crash against the weights, unless other engines crash as well.

        :param updating: the ids of the engines that load.
        """
        now = trio.current_time()
        self._load_crashed_at[update.state.info.id] = now
        others = [
            state
            for state in self._table.by_id.values()
            if state.info.weights
            and state.info.id not in updating
            and not self._has_loaded_lately(state, now)
        ]
        ended = [state for state in others if self._has_ended_lately(state, now)]
        least = max(MIN_OTHER_CRASHES, len(others) * OTHER_CRASHES_SHARE)
        is_alone = len(ended) < least
        if is_alone:
            self._counts.note_crash(update.model, update.version, now)
        self._log.note(
            "engine_crashed_loading",
            server=update.state.info.id,
            version=update.version,
            others_ended=len(ended),
            counts=is_alone,
        )

    def _has_loaded_lately(self, state: ServerState, now: float) -> bool:
        """Return whether an engine crashed while it loaded."""
        crashed_at = self._load_crashed_at.get(state.info.id, NEVER)
        return now - crashed_at < SAME_CAUSE_SECONDS

    def _has_ended_lately(self, state: ServerState, now: float) -> bool:
        """Return whether an engine ended, restarted or could not be connected to."""
        ended_at = NEVER if state.ended_at is None else state.ended_at
        restarted_at = self._restarted_at.get(state.info.id, NEVER)
        latest = max(ended_at, restarted_at, state.unreached_at)
        return now - latest < SAME_CAUSE_SECONDS
