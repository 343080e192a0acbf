"""Turn the rows of the store into what an instance knows."""

from __future__ import annotations

__all__ = ["StoreView"]

from collections.abc import Callable

import trio

from ashpond.clients.channels import ChannelPool
from ashpond.gateway.decisionlog import DecisionLog
from ashpond.gateway.declared import Declaration, WeightTarget
from ashpond.gateway.directory import ServerTable
from ashpond.gateway.knowledge import Knowledge
from ashpond.gateway.ports import Platform
from ashpond.gateway.store import Row, Snapshot, StoreClock

# Entries that vanish so soon after the store failed may come back (seconds).
RECENT_OUTAGE_SECONDS = 5.0


class StoreView:
    """Configuration, weight targets and servers, as the store's feeds tell them.

    :param on_configuration: is called after a new configuration.
    :param on_servers: is called after a change of servers.
    """

    def __init__(
        self,
        platform: Platform,
        pool: ChannelPool,
        log: DecisionLog,
        on_configuration: Callable[[], None],
        on_servers: Callable[[], None],
    ):
        self.knowledge = Knowledge()
        self.table = ServerTable()
        self.clock = StoreClock()
        self._platform = platform
        self._pool = pool
        self._log = log
        self._on_configuration = on_configuration
        self._on_servers = on_servers
        self._failed_at = float("-inf")

    def note_failure(self) -> None:
        """Note that the store did not answer."""
        self._failed_at = trio.current_time()

    def take_operator_rows(
        self, snapshot: Snapshot, is_whole: bool, as_of: float
    ) -> None:
        """Take over rows of the operators' table."""
        now = trio.current_time()
        for row in snapshot.rows:
            found = self._platform.decode_operator_row(row)
            if isinstance(found, Declaration) and self.knowledge.adopt(found):
                self._on_configuration()
                self._log.note(
                    "configuration", version=found.version, row_version=row.version
                )
            elif isinstance(found, WeightTarget):
                self._on_weight_target(found, now)
        self.knowledge.confirm(as_of)

    def _on_weight_target(self, target: WeightTarget, now: float) -> None:
        if self.knowledge.adopt_target(target, now):
            self._log.note("weights_wanted", model=target.model, version=target.version)

    def take_server_rows(
        self, snapshot: Snapshot, is_whole: bool, as_of: float
    ) -> None:
        """Take over rows of the servers' table."""
        now = trio.current_time()
        may_lapse = now - self._failed_at < RECENT_OUTAGE_SECONDS
        decode = self._platform.decode_server_row
        if is_whole:
            servers = [server for row in snapshot.rows if (server := decode(row))]
            self.table.replace_all(servers, now, may_lapse=may_lapse)
            self._log.note("servers", count=len(servers), version=snapshot.version)
        else:
            for row in snapshot.rows:
                self._on_server_row(row, now, may_lapse)
        self._on_servers()

    def _on_server_row(self, row: Row, now: float, may_lapse: bool) -> None:
        server = self._platform.decode_server_row(row)
        if server is None:
            self.table.remove(row.key, now, may_lapse=may_lapse)
            self._log.note("server_gone", server=row.key, may_lapse=may_lapse)
            if row.key not in self.table.by_id:
                self._pool.forget(row.key)
            return
        self.table.update(server, now)
        self._log.note(
            "server",
            server=server.id,
            service=server.service,
            address=server.address,
            is_draining=server.is_draining,
            weights=server.weights,
            row_version=row.version,
        )
