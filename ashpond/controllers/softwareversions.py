"""Keep streams at one software version: origins, their rows, and those of versions."""

from __future__ import annotations

__all__ = ["SoftwareVersions"]

from collections.abc import Awaitable, Callable
from typing import TYPE_CHECKING

import trio

from ashpond.controllers.originkeepers import OriginKeepers
from ashpond.controllers.originrows import OriginRecorder
from ashpond.controllers.recordedorigins import RecordedOrigins
from ashpond.controllers.streamorigins import StreamOrigins
from ashpond.controllers.versionrows import VersionRows

if TYPE_CHECKING:
    import random

    from ashpond.controllers.invalidrows import InvalidRows
    from ashpond.controllers.serverstate import ServerState
    from ashpond.controllers.storeview import StoreView
    from ashpond.decisions.eras import EraState
    from ashpond.fleet.members import Members
    from ashpond.gateway.decisionlog import DecisionLog
    from ashpond.gateway.store import Store


class SoftwareVersions:
    """What an instance knows of the software versions of servers and open streams.

    :param is_reader: returns whether this instance reads the store for others.
    :param count: counts streams that were taken up, by how their origin was known.
    :param wait_era: returns what missing rows mean, once that is known.
    :param find_oldest_idle: returns since when an idle connection to the owner of a
        start has been open (seconds), infinity if there is none.
    """

    def __init__(
        self,
        name: str,
        store: Store,
        store_view: StoreView,
        get_members: Callable[[], Members],
        is_reader: Callable[[], bool],
        log: DecisionLog,
        count: Callable[[str], None],
        invalid_rows: InvalidRows,
        rng: random.Random,
        wait_era: Callable[[], Awaitable[EraState]],
        find_oldest_idle: Callable[[str], float],
    ):
        history = store_view.table.versions
        self._keepers = OriginKeepers(get_members)
        self._recorded = RecordedOrigins(store, log, invalid_rows)
        self._recorder = OriginRecorder(
            name,
            store,
            store_view.clock,
            log,
            invalid_rows,
            rng,
            self._keepers.count_recorders,
        )
        self._version_rows = VersionRows(
            store,
            history,
            log,
            invalid_rows,
            rng,
            is_reader,
            wait_era,
        )
        self.origins = StreamOrigins(
            history,
            get_members,
            store_view.measure_servers_age,
            log,
            count,
            keepers=self._keepers,
            recorder=self._recorder,
            recorded=self._recorded,
            read_only_version=self._version_rows.find_only,
        )
        self._table = store_view.table
        self._store_view = store_view
        self._find_oldest_idle = find_oldest_idle
        store_view.table.on_versions = self._on_versions

    async def run(self) -> None:
        """Run until cancelled."""
        async with trio.open_nursery() as nursery:
            nursery.start_soon(self.origins.run)
            nursery.start_soon(self._recorder.run)
            nursery.start_soon(self._recorded.run)
            nursery.start_soon(self._version_rows.run)

    def note_members(self) -> None:
        """Choose the keepers again, as the members have changed."""
        self._keepers.note_members()

    def expire(self) -> None:
        """Forget the streams that have ended."""
        self.origins.expire()
        self._recorder.expire()
        self._recorded.expire()

    def is_version_certain(self, state: ServerState) -> bool:
        """Return whether a server runs the software version that its row names.

        While no rows arrive, another start may have followed under the same id. A
        connection that has been open since the last ones shows that none has.
        """
        if not state.is_version_certain:
            return False
        if not self._store_view.may_miss_servers():
            return True
        oldest = min(state.find_oldest_busy(), self._find_oldest_idle(state.owner))
        last_heard_at = trio.current_time() - self._store_view.measure_servers_age()
        return oldest <= last_heard_at

    def list_avoided(self, service: str) -> frozenset[str]:
        """Return the servers at which no stream begins, as others can be known better.

        After the end of all instances nothing would show that a stream began at a
        version that the service's row does not list. If there is no other server, such
        servers are used. Where it is only the rows that do not arrive, streams begin
        at all servers, as the others could not take them all.
        """
        avoided = frozenset(
            state.info.id
            for state in self._table.list_service(service)
            if not state.is_version_certain
            or not self._version_rows.is_listed(service, state.info.software_version)
        )
        if not avoided:
            return avoided
        usable = self._table.list_usable(service, trio.current_time())
        has_other = any(state.info.id not in avoided for state in usable)
        return avoided if has_other else frozenset()

    def describe(self) -> dict[str, object]:
        """Return what is known of open streams, for operators."""
        return self.origins.describe() | self._recorder.describe()

    def _on_versions(self, service: str) -> None:
        self.origins.note_versions_changed(service)
        self._version_rows.note_change(service)
