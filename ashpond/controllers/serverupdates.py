"""What calls here, and peers, tell of backend servers besides their entries."""

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
from ashpond.news.items import ServerNotice

if TYPE_CHECKING:
    from ashpond.clients.channels import ChannelPool
    from ashpond.controllers.serverdirectives import ServerDirectives
    from ashpond.decisions.cacheindex import CacheEntry, CacheIndex
    from ashpond.decisions.prompts import Prompt
    from ashpond.gateway.decisionlog import DecisionLog
    from ashpond.gateway.rollouts import RolloutController
    from ashpond.news.room import Newsroom


class ServerUpdates:
    """Takes what is heard of servers, and tells the peers what was seen here.

    :param get_news: returns where the peers are told.
    :param get_rollouts: returns who gives orders to engines.
    :param wake: looks for places for calls that wait.
    """

    def __init__(
        self,
        table: ServerTable,
        holdings: CacheIndex,
        pool: ChannelPool,
        ends: CrashDetector,
        log: DecisionLog,
        statements: ServerDirectives,
        get_news: Callable[[], Newsroom],
        get_rollouts: Callable[[], RolloutController],
        wake: Callable[[], None],
    ):
        self._table = table
        self._holdings = holdings
        self._pool = pool
        self._ends = ends
        self._log = log
        self._statements = statements
        self._get_news = get_news
        self._get_rollouts = get_rollouts
        self._wake = wake

    def on_new_start(self, previous: ServerState, state: ServerState) -> None:
        """Forget what is known, beside the table, of a server's earlier start.

        Calls in flight there end with their connections, which the server's end has
        broken; none of them counts as not run, whatever the new start knows.
        """
        server_id = state.info.id
        self._holdings.remove_server(server_id)
        self._pool.forget(previous.owner)
        self._ends.note_crash(previous.watched, CrashEvidence.NEW_START)
        self._get_rollouts().forget_start(server_id)
        self._log.note(
            "server_started_anew",
            server=server_id,
            born=state.info.started_ms,
            weights=state.weights,
        )
        self._wake()

    def on_notice(self, notice: ServerNotice) -> None:
        """Take a peer's notice of a change at a server."""
        now = trio.current_time()
        weights = {notice.model: notice.version} if notice.version else {}
        order = self._table.note_start(notice.server_id, notice.born, now, weights)
        if order is StartOrder.OLDER:
            return
        state = self._table.by_id.get(notice.server_id)
        if notice.limit is not None or notice.is_leaving:
            if state is not None:
                self._statements.apply_notice(state, notice)
            return
        if notice.is_unreached:
            if state is not None:
                state.note_peer_connect_failure(notice.closed_seconds, now)
            return
        self._get_rollouts().note_progress()
        if state is None:
            return
        state.update_weights(notice.model, notice.version)
        if notice.closed_seconds:
            state.exclude_for(notice.closed_seconds, now)
        else:
            state.readmit()
            self._wake()

    def on_cache_entry(self, entry: CacheEntry) -> None:
        """Take a peer's word of what an engine has read."""
        now = trio.current_time()
        order = self._table.note_start(entry.server_id, entry.started_ms, now)
        if order is not StartOrder.OLDER:
            self._holdings.note_reported(entry, now)

    def note_cached_prompt(self, state: ServerState, salt: str, prompt: Prompt) -> None:
        """Note, and tell, that an engine has read a prompt."""
        if not self._table.is_current(state):
            return
        now = trio.current_time()
        info = state.info
        for entry in self._holdings.note_read(
            info.id, salt, prompt, now, info.started_ms
        ):
            self._get_news().tell_holding(entry)

    def on_entry_gone(self, gone: ServerState) -> None:
        """Forget a server whose entry has gone."""
        self._ends.note_crash(gone.watched, CrashEvidence.ENTRY_GONE)
        self._pool.forget(gone.owner)

    def on_connection_refused(self, server: WatchedServer) -> None:
        """Send nothing more to a server that takes no connections, and tell so."""
        state = self._table.by_id.get(server.id)
        if state is None or state.owner != server.owner:
            return
        exclusion_seconds = state.note_connect_failure(trio.current_time())
        self._pool.forget(state.owner)
        self.announce_unreachable(state, exclusion_seconds)

    def announce_unreachable(self, state: ServerState, seconds: float) -> None:
        """Tell the peers that a server could not be reached."""
        info = state.info
        notice = ServerNotice(info.id, "", 0, seconds, True, born=info.started_ms)
        self._get_news().announce(notice)
