"""Updates of servers' states from calls of this instance and from peers."""

from __future__ import annotations

__all__ = ["ServerUpdates"]

from collections.abc import Callable
from typing import TYPE_CHECKING

import trio

from ashpond.controllers.crashdetection import (
    CrashDetector,
    CrashEvidence,
    WatchedServer,
)
from ashpond.controllers.directory import ServerState, ServerTable, StartOrder
from ashpond.fleet.updates import ServerNotice, make_leaving_notice

if TYPE_CHECKING:
    from ashpond.controllers.detours import Detours
    from ashpond.controllers.serverdirectives import ServerDirectives
    from ashpond.decisions.cacheindex import CacheEntry, CacheIndex
    from ashpond.decisions.prompts import Prompt
    from ashpond.fleet.exchange import PeerExchange
    from ashpond.gateway.decisionlog import DecisionLog
    from ashpond.gateway.rollouts import RolloutController


class ServerUpdates:
    """The handler of updates of servers, received from peers and sent to them.

    :param get_news: returns the exchange of updates with the peers.
    :param get_rollouts: returns the controller of weights orders.
    :param wake: retries the reservations that wait for a slot.
    """

    def __init__(
        self,
        table: ServerTable,
        cache_index: CacheIndex,
        pool: Detours,
        crash_detector: CrashDetector,
        log: DecisionLog,
        directives: ServerDirectives,
        get_news: Callable[[], PeerExchange],
        get_rollouts: Callable[[], RolloutController],
        wake: Callable[[], None],
    ):
        self._table = table
        self._cache_index = cache_index
        self._pool = pool
        self._crash_detector = crash_detector
        self._log = log
        self._directives = directives
        self._get_news = get_news
        self._get_rollouts = get_rollouts
        self._wake = wake

    def on_new_start(self, previous: ServerState, state: ServerState) -> None:
        """Remove what other components keep for a server's previous start.

        Calls in flight there fail with their connections. None of them counts as not
        run, whatever the new start reports.
        """
        server_id = state.info.id
        self._cache_index.remove_server(server_id)
        self._pool.close_idle(previous.owner)
        self._crash_detector.note_crash(previous.watched, CrashEvidence.NEW_START)
        self._get_rollouts().reset_server(server_id)
        self._log.note(
            "server_started_anew",
            server=server_id,
            born=state.info.started_ms,
            weights=state.weights,
        )
        self._wake()

    def on_notice(self, notice: ServerNotice) -> None:
        """Apply a peer's notice of a change at a server, unless its start is older."""
        now = trio.current_time()
        weights = {notice.model: notice.version} if notice.version else {}
        order = self._table.note_start(
            notice.server_id, notice.started_ms, now, weights
        )
        if order is StartOrder.OLDER:
            return
        state = self._table.by_id.get(notice.server_id)
        has_directive = notice.limit is not None or notice.max_rejections is not None
        if has_directive or notice.is_leaving:
            if state is not None:
                self._directives.apply_notice(state, notice)
            elif notice.is_leaving:
                self._table.note_leaving_start(notice.server_id, notice.started_ms)
            return
        if notice.is_unreached:
            if state is not None:
                self._apply_unreached(state, notice.excluded_seconds, now)
            return
        self._get_rollouts().note_progress()
        if state is None:
            return
        state.update_weights(notice.model, notice.version)
        if notice.excluded_seconds:
            state.exclude_for(notice.excluded_seconds, now)
        else:
            state.readmit()
            self._wake()

    def list_leaving(self) -> list[ServerNotice]:
        """Return notices of the leaving servers, for a peer that has just connected.

        The peer may have started after a server reported draining, and know only an
        earlier entry that the store performed late.
        """
        return [
            make_leaving_notice(server.id, server.started_ms)
            for server in self._table.list_leaving()
        ]

    def _apply_unreached(self, state: ServerState, seconds: float, now: float) -> None:
        """Apply the report of a peer that could not connect to a server."""
        is_excluded = state.note_peer_connect_failure(seconds, now)
        self._log.note(
            "server_unreached",
            server=state.info.id,
            evidence="peer",
            excluded=seconds if is_excluded else 0.0,
            answered=_describe_age(state.answered_at, now),
        )

    def on_cache_entry(self, entry: CacheEntry) -> None:
        """Apply a peer's cache entry, unless it is of an older start."""
        now = trio.current_time()
        order = self._table.note_start(entry.server_id, entry.started_ms, now)
        if order is not StartOrder.OLDER:
            self._cache_index.note_reported(entry, now)

    def note_cached_prompt(self, state: ServerState, salt: str, prompt: Prompt) -> None:
        """Record that an engine has read a prompt, and send that to the peers."""
        if not self._table.is_current(state):
            return
        now = trio.current_time()
        info = state.info
        for entry in self._cache_index.note_read(
            info.id, salt, prompt, now, info.started_ms
        ):
            self._get_news().send_cache_entry(entry)

    def on_entry_gone(self, state: ServerState) -> None:
        """Record a crash of a server whose row is gone; close its connections."""
        self._crash_detector.note_crash(state.watched, CrashEvidence.ENTRY_GONE)
        self._pool.close_idle(state.owner)

    def on_connection_refused(self, server: WatchedServer) -> None:
        """Exclude a server that refuses connections, and notify the peers."""
        state = self._table.by_id.get(server.id)
        if state is None or state.owner != server.owner:
            return
        now = trio.current_time()
        self._table.note_ended(server.id, server.started_ms, now)
        exclusion_seconds = state.note_connect_failure(now)
        self._pool.close_idle(state.owner)
        self.announce_unreachable(state, exclusion_seconds)

    def announce_unreachable(self, state: ServerState, seconds: float) -> None:
        """Notify the peers that a connection to a server failed."""
        info = state.info
        now = trio.current_time()
        self._log.note(
            "server_unreached",
            server=info.id,
            evidence="own",
            excluded=seconds,
            answered=_describe_age(state.answered_at, now),
        )
        notice = ServerNotice(info.id, "", 0, seconds, True, started_ms=info.started_ms)
        self._get_news().announce(notice)


def _describe_age(at: float, now: float) -> float | None:
    """Return how long ago a time was, for a log line; None if it never was."""
    return None if at == float("-inf") else round(now - at, 3)
