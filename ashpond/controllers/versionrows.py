"""The rows of the store with the software versions that services have had lately.

They are needed only if all instances end together. Otherwise an instance that starts
learns from its peers that a service has had one version only.

A row that lists one version proves that no stream began at another. So no instance
begins a stream at a version before it knows that a row lists it, as long as there is a
server of a version that is listed.
"""

from __future__ import annotations

__all__ = ["VERSIONS_TABLE", "VersionRows"]

from collections.abc import Awaitable, Callable
from typing import TYPE_CHECKING

import msgspec
import trio

from ashpond.decisions.eras import EraState
from ashpond.decisions.softwareversions import LONGEST_STREAM_SECONDS
from ashpond.gateway.store import Condition, InvalidRow, Row, Snapshot
from ashpond.outcomes import Done

if TYPE_CHECKING:
    import random

    from ashpond.controllers.invalidrows import InvalidRows
    from ashpond.decisions.softwareversions import VersionHistory
    from ashpond.gateway.decisionlog import DecisionLog
    from ashpond.gateway.store import Store

VERSIONS_TABLE = "ashpond-software"
RETRY_SECONDS = 0.5
# The longest pause between two reads while a version is not listed (seconds).
MAX_PAUSE_SECONDS = 4.0
MAX_ATTEMPTS = 20
# How long a client that takes a stream up waits for the rows, and the shortest time
# between two reads for such clients (seconds).
CONFIRM_SECONDS = 0.5
CONFIRM_PAUSE_SECONDS = 0.25
# Stands in a row for a time before all streams, as the store's clock begins at 0.
ALWAYS = -LONGEST_STREAM_SECONDS
# Changes are written after a random part of this time (seconds): one instance writes,
# and the others find the row as they want it. A new version is urgent, as no stream
# begins at it before.
MAX_DELAY_SECONDS = 1.0
MAX_URGENT_DELAY_SECONDS = 0.2
# How long instances that do not write changes wait for one that does (seconds).
READER_DELAY_SECONDS = 0.3
# A row may show that a version left this much too early (seconds).
LEFT_TOLERANCE_SECONDS = 1.0
KEPT_SECONDS = LONGEST_STREAM_SECONDS + LEFT_TOLERANCE_SECONDS


class _Row(msgspec.Struct):
    # When the last server of each version left, and from when on all versions are
    # listed, on the store's monotonic clock in seconds. Null while there are any.
    versions: dict[str, float | None]
    complete_since: float
    # The era of the store in which the row was written. In a later one, the row may be
    # from a copy that lacks versions which have come since.
    era: int | None = None


_ROW_DECODER = msgspec.json.Decoder(_Row)


def _decode(row: Row) -> _Row | InvalidRow:
    try:
        return _ROW_DECODER.decode(row.value or b"")
    except (msgspec.MsgspecError, ValueError, RecursionError) as error:
        return InvalidRow(row.table, row.key, row.version, str(error))


class VersionRows:
    """The writer of the rows, which also reads them once after the start.

    :param is_writer: returns whether this instance writes changes. Other instances read
        the rows until these list the versions that they see.
    :param wait_era: returns what missing rows mean, once that is known. At the first
        start of a deployment nothing has to be read.
    """

    def __init__(
        self,
        store: Store,
        history: VersionHistory,
        log: DecisionLog,
        invalid_rows: InvalidRows,
        rng: random.Random,
        is_writer: Callable[[], bool],
        wait_era: Callable[[], Awaitable[EraState]],
    ):
        self._store = store
        self._history = history
        self._log = log
        self._invalid_rows = invalid_rows
        self._rng = rng
        self._is_writer = is_writer
        self._wait_era = wait_era
        self._changed: set[str] = set()
        self._wake = trio.Event()
        # The rows that were read for streams that are taken up, and since when.
        self._confirming = trio.Lock()
        self._confirmed_at = float("-inf")
        self._confirmed: Snapshot | None = None
        # The versions that the rows of this era are known to list, by service.
        self._listed: dict[str, set[str]] = {}
        store.era.on_change(self._begin_era)

    def _begin_era(self) -> None:
        """Write all rows again, as those of a restored store prove nothing."""
        self._listed.clear()
        for service in self._history.list_services():
            self.note_change(service)

    def note_change(self, service: str) -> None:
        """Write the versions of a service soon, as they have changed."""
        # What has left is listed again, if it comes back, once a writer has seen it.
        self._listed[service] = (
            self._listed.get(service, set())
            & self._history.list_present(service).keys()
        )
        self._changed.add(service)
        self._wake.set()

    def is_listed(self, service: str, version: str) -> bool:
        """Return whether the row of a service is known to list a version."""
        return version in self._listed.get(service, ())

    async def run(self) -> None:
        """Read the rows once, and write changes until cancelled."""
        if await self._wait_era() is not EraState.FIRST_START:
            await self._load()
        while True:
            await self._wake.wait()
            self._wake = trio.Event()
            await trio.sleep(self._choose_delay())
            changed, self._changed = self._changed, set()
            is_done = await (
                self._write(changed) if self._is_writer() else self._confirm(changed)
            )
            if not is_done:
                self._changed |= changed
                self._wake.set()

    def _list_unlisted(self, service: str) -> set[str]:
        """Return the present versions that the row is not known to list."""
        present = self._history.list_present(service).keys()
        return present - self._listed.get(service, set())

    def _choose_delay(self) -> float:
        """Return the time until the changes are written (seconds)."""
        is_urgent = any(self._list_unlisted(service) for service in self._changed)
        longest = MAX_URGENT_DELAY_SECONDS if is_urgent else MAX_DELAY_SECONDS
        delay = self._rng.uniform(0.0, longest)
        return delay if self._is_writer() else delay + READER_DELAY_SECONDS

    async def _load(self) -> None:
        snapshot = await self._read()
        if snapshot is None:
            return
        self._note_listed(snapshot)
        now = trio.current_time()
        for row in snapshot.rows:
            version = self._find_only(row, snapshot.store_time)
            if version is not None:
                self._history.prove(row.key, version, now)

    def _find_only(self, row: Row, store_time: float) -> str | None:
        """Return the version that a row proves to have been the only one for long."""
        known = self._decode_recent(row, store_time)
        if known is None or known.complete_since > store_time - LONGEST_STREAM_SECONDS:
            return None
        if known.era != self._store.era.current:
            self._log.note("software_versions_of_other_era", service=row.key)
            return None
        return next(iter(known.versions)) if len(known.versions) == 1 else None

    async def find_only(self, service: str) -> str | None:
        """Return the only version of a service, by its row as it is now.

        None if there were others, or if the store does not answer in time.
        """
        asked_at = trio.current_time()
        with trio.move_on_after(CONFIRM_SECONDS):
            snapshot = await self._read_after(asked_at)
            if snapshot is None:
                return None
            for row in snapshot.rows:
                if row.key == service:
                    return self._find_only(row, snapshot.store_time)
        return None

    async def _read_after(self, asked_at: float) -> Snapshot | None:
        """Return the rows as of a time or later; calls at once share a read."""
        async with self._confirming:
            if self._confirmed_at < asked_at:
                earliest = self._confirmed_at + CONFIRM_PAUSE_SECONDS
                await trio.sleep(max(0.0, earliest - trio.current_time()))
                self._confirmed_at = trio.current_time()
                self._confirmed = None
                outcome = await self._store.read(VERSIONS_TABLE)
                if isinstance(outcome, Done):
                    self._confirmed = outcome.value
                else:
                    self._log.note("software_version_unconfirmed", reason=str(outcome))
            return self._confirmed

    def _note_listed(self, snapshot: Snapshot) -> None:
        for row in snapshot.rows:
            known = self._decode_recent(row, snapshot.store_time)
            if known is not None and known.era == self._store.era.current:
                self._listed[row.key] = _list_present(known)

    async def _read(self) -> Snapshot | None:
        reason = ""
        for _ in range(MAX_ATTEMPTS):
            outcome = await self._store.read(VERSIONS_TABLE)
            if isinstance(outcome, Done):
                snapshot: Snapshot = outcome.value
                return snapshot
            reason = str(outcome)
            await trio.sleep(RETRY_SECONDS)
        self._log.note("software_versions_not_read", reason=reason)
        return None

    def _decode_recent(self, row: Row | None, store_time: float) -> _Row | None:
        """Return a row with the versions at which streams may have begun only."""
        decoded = None if row is None else _decode(row)
        if isinstance(decoded, InvalidRow):
            self._invalid_rows.note(decoded)
            return None
        if decoded is not None:
            decoded.versions = {
                version: left_at
                for version, left_at in decoded.versions.items()
                if left_at is None or store_time - left_at <= KEPT_SECONDS
            }
        return decoded

    async def _confirm(self, services: set[str]) -> bool:
        """Read the rows until they list the present versions of services.

        :returns: False if this instance has become a writer meanwhile.
        """
        pause = RETRY_SECONDS
        while any(self._list_unlisted(service) for service in services):
            if self._is_writer():
                return False
            snapshot = await self._read()
            if snapshot is not None:
                self._note_listed(snapshot)
            await trio.sleep(pause)
            pause = min(pause * 2, MAX_PAUSE_SECONDS)
        return True

    async def _write(self, services: set[str]) -> bool:
        """Write the rows of services that differ; try again after a conflict.

        :returns: whether all rows are known to be up to date.
        """
        for _ in range(MAX_ATTEMPTS):
            snapshot = await self._read()
            if snapshot is None:
                break
            rows = {row.key: row for row in snapshot.rows}
            conditions, puts, listed = [], [], {}
            for service in sorted(services):
                row = rows.get(service)
                known = self._decode_recent(row, snapshot.store_time)
                merged = self._merge(service, known, snapshot.store_time)
                listed[service] = _list_present(merged)
                if merged == known:
                    continue
                value = msgspec.json.encode(merged)
                version = row.version if row else 0
                conditions.append(Condition(VERSIONS_TABLE, service, version))
                puts.append(Row(VERSIONS_TABLE, service, value, 0))
            era_changes = self._store.era.changes
            is_done = not puts or isinstance(
                await self._store.write(conditions, puts), Done
            )
            if is_done and era_changes == self._store.era.changes:
                self._listed |= listed
                return True
            await trio.sleep(RETRY_SECONDS * self._rng.uniform(0.5, 1.5))
        self._log.note("software_versions_not_written", services=sorted(services))
        return False

    def _merge(self, service: str, known: _Row | None, store_time: float) -> _Row:
        """Return a row that is brought up to date by the versions known here.

        A version that has no server here, and none that was seen to leave, counts as
        one that leaves now.

        :param known: the present row, None if there is none that can be read.
        """
        now = trio.current_time()
        present = self._history.list_present(service)
        merged = {} if known is None else dict(known.versions)
        for version, ago in self._history.list_left(service, now):
            left_at = merged.get(version)
            if left_at is None or left_at < store_time - ago - LEFT_TOLERANCE_SECONDS:
                merged[version] = store_time - ago
        for version, left_at in merged.items():
            if left_at is None and version not in present:
                merged[version] = store_time
        merged |= dict.fromkeys(present, None)
        era = self._store.era.current
        if known is not None and known.era == era:
            return _Row(merged, known.complete_since, era)
        is_complete = self._history.claim(service, now).is_complete
        return _Row(merged, ALWAYS if is_complete else store_time, era)


def _list_present(row: _Row | None) -> set[str]:
    """Return the versions that a row lists as those of present servers."""
    if row is None:
        return set()
    return {version for version, left_at in row.versions.items() if left_at is None}
