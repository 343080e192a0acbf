"""Decode the rows of the store into the configuration and servers of an instance."""

from __future__ import annotations

__all__ = ["StoreView", "build_feeds"]

from collections.abc import Callable

import trio

from ashpond.controllers.directory import (
    BackendServer,
    ServerState,
    ServerTable,
)
from ashpond.controllers.feeds import Feed
from ashpond.controllers.invalidrows import InvalidRows
from ashpond.decisions.declared import Declaration, WeightTarget
from ashpond.decisions.eras import EraState
from ashpond.decisions.knowledge import Knowledge
from ashpond.fleet.members import MEMBERS_TABLE, Members
from ashpond.gateway.decisionlog import DecisionLog
from ashpond.gateway.ports import Platform
from ashpond.gateway.store import InvalidRow, Row, Snapshot, StoreClock

# How long a call for operators' rows is held open, as a share of the revocation bound
# (1.7 s of 5 s). Its answer also confirms that nothing newer exists: with the time that
# a slow store takes to answer (0.6 s), the wait stays below the age of knowledge at
# which an instance is no longer ready.
OPERATOR_WAIT_SHARE = 0.34
SERVERS_WAIT_SECONDS = 5.0
MEMBERS_WAIT_SECONDS = 20.0
# How much longer than a reader's wait an instance waits for an update before it calls
# the store itself, as a share of the bound. It covers a slow answer of the store and
# three hops between instances.
READERS_IDLE_TIMEOUT_SHARE = 0.12
# Changes of servers come in bursts while weights are loaded: a pause after each answer
# lets the next one return several of them (seconds).
SERVERS_PAUSE_SECONDS = 0.3
# A store that was restored from an older copy lacks all later writes until the writers
# have repeated them. For this time (seconds) it may hold a key that was removed, so its
# answers do not confirm the known configuration.
RESTORE_SECONDS = 2.0
# Entries that disappear within this time after a failure of the store may reappear
# (seconds).
RECENT_OUTAGE_SECONDS = 5.0
# A call for changes of servers that has not ended after this time gets no answer any
# more: its own wait, and that of an instance for updates of readers (seconds).
SILENT_SECONDS = SERVERS_WAIT_SECONDS + 2.0
# A server may have come and gone unnoticed between two whole lists of them that are
# further apart (seconds).
UNNOTICED_SECONDS = 3.0


class StoreView:
    """Configuration, weight targets and servers, built from the store's rows.

    A row that cannot be decoded is skipped and recorded in ``invalid_rows``; the other
    rows of its snapshot are applied. If the configuration cannot be decoded, the
    previous one stays in force with its keys: refusing all calls for one damaged row
    would cost far more than a revocation that is late until the next valid row.

    :param on_configuration: called after a new configuration.
    :param on_servers: called after a change of servers.
    :param on_target: called after a new weight target.
    :param on_removed: called with each server whose entry was removed.
    """

    def __init__(
        self,
        platform: Platform,
        log: DecisionLog,
        invalid_rows: InvalidRows,
        on_configuration: Callable[[], None],
        on_servers: Callable[[], None],
        on_target: Callable[[], None],
        on_removed: Callable[[ServerState], None],
    ):
        self.knowledge = Knowledge()
        self.table = ServerTable()
        self.clock = StoreClock()
        self._platform = platform
        self._log = log
        self._invalid_rows = invalid_rows
        self._on_configuration = on_configuration
        self._on_servers = on_servers
        self._on_target = on_target
        self._on_removed = on_removed
        self._servers_as_of = float("-inf")
        self._failed_at = float("-inf")
        self._restored_at = float("-inf")
        self._is_held = False
        self._held_as_of = float("-inf")
        self.table.on_earlier_entry = self._log_earlier_entry
        platform.store.era.on_change(self._begin_era)

    def _begin_era(self) -> None:
        """Prefer known values to the restored rows until these are written again."""
        now = trio.current_time()
        self._restored_at = now
        self._failed_at = now
        self._invalid_rows.clear_all()
        era = self._platform.store.era
        self._log.note("store_came_back", era=era.current, changes=era.changes)

    def hold(self) -> None:
        """Confirm nothing until :meth:`begin` is called.

        An instance that starts cannot know whether the store was restored lately.
        """
        self._is_held = True

    def begin(self, state: EraState) -> None:
        """Confirm what has been read since :meth:`hold`.

        :param state: in an unsettled era the store may hold a key that was removed. Its
            answers then confirm nothing yet.
        """
        self._is_held = False
        if state is EraState.UNSETTLED:
            self._restored_at = trio.current_time()
        if state is EraState.FIRST_START:
            self.table.versions.note_first_start()
        if not self._is_restoring():
            self.knowledge.confirm(self._held_as_of)

    def _is_restoring(self) -> bool:
        return trio.current_time() - self._restored_at < RESTORE_SECONDS

    def note_failure(self) -> None:
        """Record that the store did not answer."""
        self._failed_at = trio.current_time()

    def apply_operator_rows(
        self, snapshot: Snapshot, is_whole: bool, as_of: float
    ) -> None:
        """Apply rows of the operators' table, which are valid as of ``as_of``."""
        now = trio.current_time()
        for row in snapshot.rows:
            found = self._platform.decode_operator_row(row)
            if isinstance(found, InvalidRow):
                self._invalid_rows.note(found)
                continue
            self._invalid_rows.clear(row.table, row.key)
            if isinstance(found, Declaration) and self.knowledge.adopt(found):
                self._on_configuration()
                self._log.note(
                    "configuration", version=found.version, row_version=row.version
                )
            elif isinstance(found, WeightTarget):
                self._apply_weight_target(found, now)
        if self._is_held:
            self._held_as_of = max(self._held_as_of, as_of)
        elif not self._is_restoring():
            self.knowledge.confirm(as_of)

    def _apply_weight_target(self, target: WeightTarget, now: float) -> None:
        has_failed = self._failed_at > self.knowledge.confirmed_at
        if self.knowledge.adopt_target(target, now, was_store_unreachable=has_failed):
            self._log.note("weights_wanted", model=target.model, version=target.version)
            self._on_target()

    def apply_server_rows(
        self, snapshot: Snapshot, is_whole: bool, as_of: float
    ) -> None:
        """Apply rows of the servers' table; ``is_whole`` if they are all its rows."""
        now = trio.current_time()
        may_reappear = now - self._failed_at < RECENT_OUTAGE_SECONDS
        if is_whole:
            self._note_whole(now)
            self._replace_servers(snapshot, now, may_reappear)
        else:
            for row in snapshot.rows:
                self._apply_server_row(row, now, may_reappear)
        self._servers_as_of = max(self._servers_as_of, as_of)
        self._on_servers()

    def _note_whole(self, now: float) -> None:
        """Record that servers may have come and gone since the last answer."""
        versions = self.table.versions
        if not self.table.is_known:
            versions.begin(now)
        elif self.measure_servers_age() > UNNOTICED_SECONDS:
            versions.restart(now)

    def measure_servers_age(self) -> float:
        """Return for how many seconds other servers may have become known."""
        return trio.current_time() - self._servers_as_of

    def may_miss_servers(self) -> bool:
        """Return whether servers may have changed of which no row has arrived.

        While a call for changes is open, no answer means that there are none. It is the
        failure of a call, or a call that has taken too long, that makes a table old.
        """
        age = self.measure_servers_age()
        has_failed = self._failed_at > self._servers_as_of
        return age > (UNNOTICED_SECONDS if has_failed else SILENT_SECONDS)

    def _replace_servers(
        self, snapshot: Snapshot, now: float, may_reappear: bool
    ) -> None:
        decoded = {row.key: self._decode_server(row) for row in snapshot.rows}
        servers = [s for s in decoded.values() if isinstance(s, BackendServer)]
        invalid = {key for key, s in decoded.items() if isinstance(s, InvalidRow)}
        for removed in self.table.replace_all(
            servers,
            now,
            may_reappear=may_reappear,
            invalid=invalid,
            is_restored=self._is_restoring(),
        ):
            self._on_removed(removed)
        self._log.note(
            "servers",
            count=len(servers),
            invalid=len(invalid),
            version=snapshot.version,
        )

    def _log_earlier_entry(self, known: BackendServer, received: BackendServer) -> None:
        self._log.note(
            "server_entry_earlier",
            server=received.id,
            born=received.started_ms,
            entry_sequence=received.entry_sequence,
            known_sequence=known.entry_sequence,
            is_draining=received.is_draining,
        )

    def _decode_server(self, row: Row) -> BackendServer | InvalidRow | None:
        found = self._platform.decode_server_row(row)
        if isinstance(found, InvalidRow):
            self._invalid_rows.note(found)
        else:
            self._invalid_rows.clear(row.table, row.key)
        return found

    def _apply_server_row(self, row: Row, now: float, may_reappear: bool) -> None:
        server = self._decode_server(row)
        if isinstance(server, InvalidRow):
            self.table.note_invalid_entry(row.key)
            return
        if server is None:
            removed = self.table.remove(row.key, now, may_reappear=may_reappear)
            self._log.note("server_gone", server=row.key, may_lapse=may_reappear)
            if removed is not None:
                self._on_removed(removed)
            return
        if not self.table.update(server, now):
            return
        self._log.note(
            "server",
            server=server.id,
            service=server.service,
            address=server.address,
            is_draining=server.is_draining,
            weights=server.weights,
            born=server.started_ms,
            entry_sequence=server.entry_sequence,
            row_version=row.version,
        )


def build_feeds(
    platform: Platform, view: StoreView, members: Members, revocation_bound: float
) -> list[Feed]:
    """Return the feeds of the tables that an instance follows.

    :param revocation_bound: time after a key's removal from which no request with it
        may run (seconds).
    """
    operator_wait = revocation_bound * OPERATOR_WAIT_SHARE
    idle_timeout = revocation_bound * READERS_IDLE_TIMEOUT_SHARE
    return [
        Feed(
            platform.operator_table,
            operator_wait,
            0.0,
            operator_wait + idle_timeout,
            view.apply_operator_rows,
            view.note_failure,
        ),
        Feed(
            platform.servers_table,
            SERVERS_WAIT_SECONDS,
            SERVERS_PAUSE_SECONDS,
            SERVERS_WAIT_SECONDS + idle_timeout,
            view.apply_server_rows,
            view.note_failure,
        ),
        Feed(
            MEMBERS_TABLE,
            MEMBERS_WAIT_SECONDS,
            SERVERS_PAUSE_SECONDS,
            MEMBERS_WAIT_SECONDS + idle_timeout,
            members.apply_rows,
            lambda: None,
        ),
    ]
