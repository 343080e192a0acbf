"""The software versions of services are known after all instances have ended."""

from __future__ import annotations

import random
from typing import Any

import orjson
import pytest
import trio

from ashpond.controllers.directory import ServerTable
from ashpond.controllers.invalidrows import InvalidRows
from ashpond.controllers.versionrows import (
    CONFIRM_PAUSE_SECONDS,
    CONFIRM_SECONDS,
    VERSIONS_TABLE,
    VersionRows,
)
from ashpond.decisions.eras import EraState
from ashpond.decisions.softwareversions import LONGEST_STREAM_SECONDS
from ashpond.gateway.decisionlog import DecisionLog
from ashpond.standins.tables import MemoryStore
from tests.gateway_builders import make_server

SERVICE = "reader"


class Instance:
    """The servers that one instance knows, and its writer of the rows."""

    def __init__(self, store: MemoryStore, *, first_start: bool = False):
        self.table = ServerTable()
        self.era_state = EraState.FIRST_START if first_start else EraState.SETTLED
        log = DecisionLog("i")
        self.is_writer = True
        self.port = store.build_port()
        self.rows = VersionRows(
            self.port,
            self.table.versions,
            log,
            InvalidRows(log, lambda table: None),
            random.Random(1),
            lambda: self.is_writer,
            self._get_era_state,
        )
        self.table.on_versions = self.rows.note_change
        self.scope = trio.CancelScope()

    async def _get_era_state(self) -> EraState:
        return self.era_state

    async def run(self) -> None:
        with self.scope:
            await self.rows.run()

    def see(self, *versions: str) -> None:
        """Know one server of each software version, and no other."""
        now = trio.current_time()
        if not self.table.is_known:
            self.table.versions.begin(now)
        servers = [make_server(f"e-{v}", software_version=v) for v in versions]
        self.table.replace_all(servers, now, may_reappear=False)

    @property
    def claim(self) -> tuple[list[str], bool]:
        return self.table.versions.claim(SERVICE, trio.current_time())


def read_versions(store: MemoryStore) -> dict[str, Any]:
    row = store.rows[VERSIONS_TABLE, SERVICE]
    return orjson.loads(row.value or b"")["versions"]


async def start(nursery: trio.Nursery, store: MemoryStore, *versions: str) -> Instance:
    instance = Instance(store)
    instance.see(*versions)
    nursery.start_soon(instance.run)
    await trio.sleep(3.0)
    return instance


async def test_the_only_version_is_known_after_the_restart_of_all(
    autojump_clock: object,
) -> None:
    store = MemoryStore()
    async with trio.open_nursery() as nursery:
        first = [await start(nursery, store, "v1") for _ in range(3)]
        # The first one may have missed a version, and the others know no more.
        assert [instance.claim for instance in first] == [(["v1"], False)] * 3
        assert read_versions(store) == {"v1": None}
        await trio.sleep(LONGEST_STREAM_SECONDS)
        writes = store.version
        for instance in first:
            instance.scope.cancel()
        again = await start(nursery, store, "v1")
        assert again.claim == (["v1"], True)
        assert store.version == writes
        nursery.cancel_scope.cancel()


async def test_a_version_that_has_just_left_is_known_after_the_restart_of_all(
    autojump_clock: object,
) -> None:
    store = MemoryStore()
    async with trio.open_nursery() as nursery:
        first = await start(nursery, store, "v1", "v1.1")
        first.see("v1")
        await trio.sleep(3.0)
        first.scope.cancel()
        assert list(read_versions(store)) == ["v1", "v1.1"]
        assert (await start(nursery, store, "v1")).claim == (["v1"], False)
        await trio.sleep(LONGEST_STREAM_SECONDS)
        assert (await start(nursery, store, "v1")).claim == (["v1"], True)
        nursery.cancel_scope.cancel()


async def test_a_row_of_the_first_start_is_a_proof_at_once(
    autojump_clock: object,
) -> None:
    store = MemoryStore()
    async with trio.open_nursery() as nursery:
        first = Instance(store, first_start=True)
        first.table.versions.begin(0.0, is_first_start=True)
        first.table.is_known = True
        first.see("v1")
        nursery.start_soon(first.run)
        await trio.sleep(3.0)
        first.scope.cancel()
        assert (await start(nursery, store, "v1")).claim == (["v1"], True)
        nursery.cancel_scope.cancel()


async def test_a_row_that_differs_from_what_is_seen_proves_nothing(
    autojump_clock: object,
) -> None:
    store = MemoryStore()
    async with trio.open_nursery() as nursery:
        first = await start(nursery, store, "v1")
        first.scope.cancel()
        other = await start(nursery, store, "v2")
        assert not other.claim[1]
        # The version without servers counts as one that has left by now.
        versions = read_versions(store)
        assert versions["v2"] is None
        assert versions["v1"] is not None
        nursery.cancel_scope.cancel()


@pytest.mark.parametrize(
    "value", [b"{", b'{"versions": {"v1": "x"}, "complete_since": 0}', b"[]", None]
)
async def test_an_unreadable_row_proves_nothing_and_is_replaced(
    value: bytes | None, autojump_clock: object
) -> None:
    store = MemoryStore()
    if value is not None:
        store.put(VERSIONS_TABLE, SERVICE, value)
    async with trio.open_nursery() as nursery:
        instance = await start(nursery, store, "v1")
        assert not instance.claim[1]
        assert read_versions(store) == {"v1": None}
        nursery.cancel_scope.cancel()


async def test_changes_are_written_once_the_store_is_back(
    autojump_clock: object,
) -> None:
    store = MemoryStore()
    async with trio.open_nursery() as nursery:
        first = await start(nursery, store, "v1")
        store.is_down = True
        first.see("v1", "v2")
        await trio.sleep(4.0)
        store.is_down = False
        await trio.sleep(3.0)
        assert read_versions(store) == {"v1": None, "v2": None}
        nursery.cancel_scope.cancel()


async def test_only_writers_write(autojump_clock: object) -> None:
    store = MemoryStore()
    async with trio.open_nursery() as nursery:
        member = Instance(store)
        member.is_writer = False
        member.see("v1")
        nursery.start_soon(member.run)
        await trio.sleep(3.0)
        assert not store.rows
        nursery.cancel_scope.cancel()


async def restore_without_a_version(store: MemoryStore, nursery: trio.Nursery) -> None:
    """Restore a store from a copy whose row lacks a version that was recorded."""
    first = Instance(store, first_start=True)
    first.table.versions.begin(0.0, is_first_start=True)
    first.table.is_known = True
    first.see("v1")
    nursery.start_soon(first.run)
    await trio.sleep(3.0)
    copy = store.take_copy()
    first.see("v1", "v2")
    await trio.sleep(3.0)
    first.see("v1")
    first.scope.cancel()
    store.restore_from(copy)


async def test_a_row_of_a_restored_copy_proves_nothing(
    autojump_clock: object, nursery: trio.Nursery
) -> None:
    """Guards against streams of a version whose row was lost with a restore."""
    store = MemoryStore()
    await restore_without_a_version(store, nursery)
    assert (await start(nursery, store, "v1")).claim == (["v1"], False)
    # A later start finds a row of this era, which proves as much as its writer knew.
    assert (await start(nursery, store, "v1")).claim == (["v1"], False)
    await trio.sleep(LONGEST_STREAM_SECONDS)
    assert (await start(nursery, store, "v1")).claim == (["v1"], True)


async def test_rows_are_written_again_after_a_restore(
    autojump_clock: object, nursery: trio.Nursery
) -> None:
    store = MemoryStore()
    first = Instance(store)
    first.see("v1")
    nursery.start_soon(first.run)
    await trio.sleep(3.0)
    copy = store.take_copy()
    first.see("v1", "v2")
    await trio.sleep(3.0)
    store.restore_from(copy)
    await first.port.read(VERSIONS_TABLE)
    await trio.sleep(3.0)
    assert read_versions(store) == {"v1": None, "v2": None}


async def test_a_version_is_listed_once_its_row_is_acknowledged(
    autojump_clock: object, nursery: trio.Nursery
) -> None:
    """Guards against streams that begin at a version which no row lists."""
    store = MemoryStore()
    writer = await start(nursery, store, "v1")
    reader = Instance(store)
    reader.is_writer = False
    reader.see("v1")
    nursery.start_soon(reader.run)
    await trio.sleep(3.0)
    for instance in (writer, reader):
        assert instance.rows.is_listed(SERVICE, "v1")
        instance.see("v1", "v2")
        assert not instance.rows.is_listed(SERVICE, "v2")
    store.is_down = True
    await trio.sleep(15.0)
    assert not writer.rows.is_listed(SERVICE, "v2")
    assert not reader.rows.is_listed(SERVICE, "v2")
    store.is_down = False
    await trio.sleep(6.0)
    assert writer.rows.is_listed(SERVICE, "v2")
    assert reader.rows.is_listed(SERVICE, "v2")


async def test_a_new_version_is_listed_within_a_second(
    autojump_clock: object, nursery: trio.Nursery
) -> None:
    store = MemoryStore()
    instances = [await start(nursery, store, "v1") for _ in range(6)]
    for instance in instances[2:]:
        instance.is_writer = False
    for instance in instances:
        instance.see("v1", "v2")
    await trio.sleep(1.0)
    assert all(instance.rows.is_listed(SERVICE, "v2") for instance in instances)


async def test_a_version_that_came_back_is_listed_only_by_a_later_row(
    autojump_clock: object, nursery: trio.Nursery
) -> None:
    store = MemoryStore()
    instance = await start(nursery, store, "v1", "v2")
    assert instance.rows.is_listed(SERVICE, "v2")
    instance.see("v1")
    instance.see("v1", "v2")
    assert not instance.rows.is_listed(SERVICE, "v2")
    await trio.sleep(1.0)
    assert instance.rows.is_listed(SERVICE, "v2")


async def test_a_version_that_came_back_and_left_at_once_counts_from_its_last_end(
    autojump_clock: object, nursery: trio.Nursery
) -> None:
    """Guards against a row that forgets a version before its last stream has ended."""
    store = MemoryStore()
    instance = await start(nursery, store, "v1", "v2")
    instance.see("v1")
    await trio.sleep(20.0)
    store.is_down = True
    instance.see("v1", "v2")
    await trio.sleep(1.5)
    instance.see("v1")
    store.is_down = False
    await trio.sleep(3.0)
    instance.scope.cancel()
    await trio.sleep(LONGEST_STREAM_SECONDS - 10.0)
    assert (await start(nursery, store, "v1")).claim == (["v1"], False)


async def test_a_row_confirms_the_only_version_as_of_now(
    autojump_clock: object, nursery: trio.Nursery
) -> None:
    """Guards against a version that an instance does not know yet."""
    store = MemoryStore()
    one = await start(nursery, store, "v1")
    other = await start(nursery, store, "v1")
    # A row that has just begun proves nothing.
    assert await one.rows.find_only(SERVICE) is None
    await trio.sleep(LONGEST_STREAM_SECONDS)
    assert await one.rows.find_only(SERVICE) == "v1"
    assert await one.rows.find_only("another service") is None
    other.see("v1", "v1.1")
    await trio.sleep(1.0)
    assert await one.rows.find_only(SERVICE) is None
    other.see("v1")
    await trio.sleep(LONGEST_STREAM_SECONDS)
    assert await one.rows.find_only(SERVICE) is None
    await trio.sleep(5.0)
    assert await one.rows.find_only(SERVICE) == "v1"


async def test_a_row_of_a_store_that_is_away_or_was_restored_confirms_nothing(
    autojump_clock: object, nursery: trio.Nursery
) -> None:
    store = MemoryStore()
    one = await start(nursery, store, "v1")
    await trio.sleep(LONGEST_STREAM_SECONDS)
    store.is_down = True
    before = trio.current_time()
    assert await one.rows.find_only(SERVICE) is None
    assert trio.current_time() - before <= CONFIRM_SECONDS
    store.is_down = False
    await trio.sleep(CONFIRM_PAUSE_SECONDS)
    assert await one.rows.find_only(SERVICE) == "v1"
    one.scope.cancel()
    store.restore_from(store.take_copy())
    assert await one.rows.find_only(SERVICE) is None


async def test_clients_that_come_at_once_share_the_reads_of_a_row(
    autojump_clock: object, nursery: trio.Nursery, monkeypatch: pytest.MonkeyPatch
) -> None:
    """Guards against a call to the store for each stream that is taken up."""
    store = MemoryStore()
    one = await start(nursery, store, "v1")
    await trio.sleep(LONGEST_STREAM_SECONDS)
    reads = 0

    read = store.read

    async def count(table: str) -> Any:
        nonlocal reads
        reads += 1
        return await read(table)

    monkeypatch.setattr(store, "read", count)
    found: list[str | None] = []

    async def find() -> None:
        found.append(await one.rows.find_only(SERVICE))

    async with trio.open_nursery() as clients:
        for _ in range(200):
            clients.start_soon(find)
            await trio.sleep(0.01)
    assert found == ["v1"] * 200
    assert 0 < reads <= 2.0 / CONFIRM_PAUSE_SECONDS + 2
