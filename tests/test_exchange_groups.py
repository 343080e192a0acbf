"""In a large fleet, instances exchange updates through the hubs of their groups."""

from __future__ import annotations

from collections.abc import AsyncIterator
from contextlib import asynccontextmanager
from typing import Any

import pytest
import trio

from ashpond.clients.peer import Notices, PeerUpdate
from ashpond.controllers.feeds import TableUpdate
from ashpond.decisions.cacheindex import CacheEntry
from ashpond.decisions.fleetlinks import READER_GROUPS, Member
from ashpond.decisions.loads import Load
from ashpond.fleet.intervals import (
    GROUP_UPDATE_SECONDS,
    HEARTBEAT_SECONDS,
    UPDATE_SECONDS,
)
from ashpond.fleet.links import Link, PeerRole
from ashpond.fleet.updates import ServerNotice
from ashpond.gateway.store import Row
from ashpond.standins.tables import MemoryStore
from tests.gateway_builders import make_crash
from tests.peer_fleet import Instance, wait_for
from tests.ports import find_free_port


@pytest.fixture
def grouped() -> list[Instance]:
    """Ten instances in two failure domains, too many for a full mesh."""
    store = MemoryStore()
    return [
        Instance(f"i{n}", store, find_free_port(), "north" if n % 2 else "south", 3)
        for n in range(10)
    ]


@asynccontextmanager
async def running(instances: list[Instance]) -> AsyncIterator[None]:
    async with trio.open_nursery() as nursery:
        for instance in instances:
            nursery.start_soon(instance.run)
        await wait_for(lambda: all(i.members.count() == 10 for i in instances))
        await wait_for(lambda: all(has_hub(i) for i in instances))
        # On a busy machine a standby may act as hub until the preferred one reports.
        # What it forwards until then reaches few peers; the others read the store.
        await wait_for(lambda: have_one_hub_each(instances))
        yield
        nursery.cancel_scope.cancel()


def have_one_hub_each(instances: list[Instance]) -> bool:
    hubs = [i.peers.links.group for i in instances if i.peers.is_hub]
    return sorted(hubs) == sorted({i.peers.links.group for i in instances})


def has_hub(instance: Instance) -> bool:
    hub = instance.peers.view.find_hub(trio.current_time())
    return instance.peers.is_hub or hub is not None


async def test_loads_attempts_and_notices_cross_groups_through_hubs(
    grouped: list[Instance],
) -> None:
    notice = ServerNotice("a", "m1", 2, 0.5)
    cache_entry = CacheEntry("a", "salt", "rules")
    async with running(grouped):
        hubs = [i for i in grouped if i.peers.is_hub]
        assert len(hubs) >= 2
        for number, instance in enumerate(grouped):
            instance.table.by_id["a"].load = Load(number, 10, 20, 1)
        await wait_for(lambda: all(i.sum_load().requests == 45 for i in grouped))
        await wait_for(lambda: all(i.sum_attempts() == (100, 20) for i in grouped))
        sender = next(i for i in grouped if not i.peers.is_hub)
        sender.peers.announce(notice)
        sender.peers.send_cache_entry(cache_entry)
        others = [i for i in grouped if i is not sender]
        await wait_for(lambda: all(notice in i.notices for i in others))
        await wait_for(lambda: all(cache_entry in i.cache_entries for i in others))
        assert notice not in sender.notices


async def test_crashes_reach_all_groups_and_an_instance_that_has_just_joined(
    grouped: list[Instance],
) -> None:
    crash = make_crash("a")
    *running_now, late = grouped
    async with running(grouped):
        late.scope.cancel()
        sender = next(i for i in running_now if not i.peers.is_hub)
        sender.crashes.append(crash)
        sender.peers.send_crashes([crash])
        await wait_for(lambda: all(crash in i.crashes for i in running_now))
        assert all(i.crashes.count(crash) == 1 for i in running_now)
        late.crashes.clear()
        late.scope = trio.CancelScope()
        async with trio.open_nursery() as nursery:
            nursery.start_soon(late.run)
            await wait_for(lambda: crash in late.crashes)
            nursery.cancel_scope.cancel()


async def test_a_groups_next_candidate_replaces_a_lost_hub(
    grouped: list[Instance],
) -> None:
    async with running(grouped):
        hub = next(
            i for i in grouped if i.peers.is_hub and i.list_names(PeerRole.MEMBER)
        )
        group = hub.peers.links.group
        rest = [i for i in grouped if i is not hub]
        for instance in rest:
            instance.table.by_id["a"].load = Load(1, 10, 20, 1)
        hub.scope.cancel()
        await wait_for(
            lambda: any(i.peers.is_hub and i.peers.links.group == group for i in rest)
        )
        await wait_for(lambda: all(i.sum_load().requests == 9 for i in rest))


async def test_a_members_own_load_is_not_counted_twice(grouped: list[Instance]) -> None:
    async with running(grouped):
        member = next(i for i in grouped if not i.peers.is_hub)
        member.table.by_id["a"].load = Load(7, 10, 20, 1)
        await wait_for(
            lambda: all(i.sum_load().requests == 7 for i in grouped if i is not member)
        )
        await trio.sleep(3 * GROUP_UPDATE_SECONDS)
        assert member.sum_load().requests == 7


async def test_table_updates_of_a_reader_reach_all_groups(
    grouped: list[Instance],
) -> None:
    row = Row("op", "config", b"new", 7)
    update = TableUpdate("op", 6, 7, 1000.5, (row, Row("op", "old", None, 7)))
    async with running(grouped):
        readers = [i for i in grouped if i.peers.is_reader]
        assert 1 <= len(readers) <= READER_GROUPS
        readers[0].peers.publish(update)
        others = [i for i in grouped if i is not readers[0]]
        await wait_for(lambda: all(update in i.tables for i in others))


async def test_table_updates_of_a_hub_that_is_no_reader_stay_in_its_group(
    grouped: list[Instance],
) -> None:
    """If other hubs received such an update, each would read the store in turn."""
    update = TableUpdate("op", 6, 7, 1000.5, (Row("op", "config", b"new", 7),))

    def list_hubs() -> list[Instance]:
        hubs = [i for i in grouped if i.peers.is_hub and not i.peers.is_reader]
        return [hub for hub in hubs if hub.list_names(PeerRole.MEMBER)]

    async with running(grouped):
        await wait_for(lambda: bool(list_hubs()))
        hub = list_hubs()[0]
        hub.peers.publish(update)
        received = {
            link.role for link in hub.peers.list_links() if update in link.tables
        }
        assert received == {PeerRole.MEMBER}


async def test_a_notice_queued_for_a_standby_hub_does_not_spin_the_sender(
    grouped: list[Instance],
) -> None:
    """A notice that waits for the next heartbeat must not cause a busy loop."""
    async with running(grouped):
        member = next(
            i
            for i in grouped
            if len(i.list_names(PeerRole.HUB)) == 2 and not i.peers.is_hub
        )
        standby = next(
            link
            for link in member.peers.list_links()
            if not member.peers._needs_updates(link)
        )
        builds = 0
        build = member.peers._build_load

        def count(link: Any, now: float) -> Any:
            nonlocal builds
            builds += 1
            return build(link, now)

        member.peers._build_load = count  # type: ignore[method-assign]
        member.peers.announce(ServerNotice("a", "m1", 2, 0.5))
        standby.notices.append(ServerNotice("a", "m1", 3, 0.5))
        await trio.sleep(2 * GROUP_UPDATE_SECONDS)
        assert builds < 30


async def test_only_the_first_connected_candidate_of_a_group_is_sent_updates(
    grouped: list[Instance],
) -> None:
    async with running(grouped):
        hub = next(i for i in grouped if i.peers.is_hub)
        pairs = [names for names in hub.peers.links.other_hubs if len(names) == 2]
        assert pairs
        links = {link.name: link for link in hub.peers.list_links()}
        first, second = (links[member.name] for member in pairs[0])
        await wait_for(lambda: first.is_connected and second.is_connected)
        assert hub.peers._needs_updates(first)
        assert not hub.peers._needs_updates(second)
        first.is_connected = False
        assert hub.peers._needs_updates(second)


async def test_an_instance_without_its_own_row_links_as_a_member() -> None:
    """An instance that starts in a fleet of 195 must not link to every other one."""
    store = MemoryStore()
    instance = Instance("new", store, find_free_port(), mesh_limit=4)
    names = [f"i{n}" for n in range(40)]
    instance.members.by_name = {
        name: Member(name, "127.0.0.1:9", "d") for name in names
    }
    started: list[Link] = []

    class Nursery:
        def start_soon(self, function: object, link: Link, address: str) -> None:
            started.append(link)

    instance.peers._nursery = Nursery()  # type: ignore[assignment]
    instance.peers.adjust_links()
    assert instance.peers.links.group
    assert len(started) < len(names) / 2


async def test_an_instance_that_starts_reads_the_store_itself() -> None:
    """Otherwise it would wait up to 20 s before it learns of the other instances."""
    assert Instance("i0", MemoryStore(), find_free_port()).peers.is_reader


async def test_urgent_notices_are_sent_at_once_without_all_loads(
    autojump_clock: object,
) -> None:
    """Otherwise, while weights load, a hub sends its members all loads 30 times/s."""
    instance = Instance("i0", MemoryStore(), find_free_port(), mesh_limit=4)
    link = Link(PeerRole.EQUAL, "i1")
    instance.peers._own_members.append(link)
    sent: list[object] = []

    class Stream:
        async def send(self, message: object) -> None:
            sent.append(message)

    async with trio.open_nursery() as nursery:
        nursery.start_soon(instance.peers._schedule_updates)
        nursery.start_soon(instance.peers._send_updates, link, Stream())
        await trio.sleep(0.05)
        for number in range(100):
            instance.table.by_id["a"].load = Load(number + 1)
            instance.peers.announce(ServerNotice("a", "m1", number + 1, 0.5))
            await trio.sleep(0.01)
        nursery.cancel_scope.cancel()
    digests = [message for message in sent if isinstance(message, PeerUpdate)]
    urgent = [message for message in sent if isinstance(message, Notices)]
    assert len(digests) <= 1.05 / UPDATE_SECONDS + 1
    assert len(urgent) >= 80
    received = [n for message in sent for n in message.notices]  # type: ignore[attr-defined]
    assert sorted(notice[2] for notice in received) == list(range(1, 101))


async def test_a_hub_forwards_urgent_notices(grouped: list[Instance]) -> None:
    async with running(grouped):
        hub = next(i for i in grouped if i.peers.is_hub)
        member = next(i for i in grouped if not i.peers.is_hub)
        notice = ServerNotice("a", "m1", 7, 0.5, started_ms=1000)
        member.peers.announce(notice)
        others = [i for i in grouped if i is not member]
        await wait_for(lambda: all(notice in i.notices for i in others))
        assert hub.peers.is_hub


async def test_a_link_without_changes_wakes_up_for_heartbeats_only(
    autojump_clock: object,
) -> None:
    """Otherwise each of a hub's 43 links wakes 8 times a second and at each notice."""
    instance = Instance("i0", MemoryStore(), find_free_port(), mesh_limit=4)
    link = Link(PeerRole.EQUAL, "i1")
    instance.peers._own_members.append(link)
    sent_count = 0

    class Stream:
        async def send(self, message: object) -> None:
            nonlocal sent_count
            sent_count += 1

    async with trio.open_nursery() as nursery:
        nursery.start_soon(instance.peers._schedule_updates)
        nursery.start_soon(instance.peers._send_updates, link, Stream())
        await trio.sleep(6.05)
        assert sent_count == pytest.approx(6.0 / HEARTBEAT_SECONDS, abs=2)
        sent_count = 0
        instance.peers.announce(ServerNotice("a", "m1", 2, 0.5))
        await trio.sleep(0.001)
        assert sent_count == 1
        instance.table.by_id["a"].load = Load(3)
        await trio.sleep(UPDATE_SECONDS * 1.1)
        assert sent_count == 2
        nursery.cancel_scope.cancel()


async def test_a_hub_builds_no_load_for_standby_hubs(
    autojump_clock: object,
) -> None:
    """Of a hub's 38 links, 15 lead to standby hubs; summing loads for them is waste."""
    instance = Instance("i0", MemoryStore(), find_free_port(), mesh_limit=4)
    first, standby = Member("h1", "127.0.0.1:9", "e"), Member("h2", "127.0.0.1:9", "e")
    instance.peers.links = instance.peers.links._replace(other_hubs=((first, standby),))
    built: list[str] = []
    build = instance.peers._build_load

    def count(link: Link, now: float) -> object:
        built.append(link.name)
        return build(link, now)

    instance.peers._build_load = count  # type: ignore[method-assign,assignment]
    for member in (first, standby):
        link = Link(PeerRole.OTHER_HUB, member.name)
        link.is_connected = True
        link.last_load, link.sent_at = build(link, 0.0), 0.0
        instance.peers._outgoing[PeerRole.OTHER_HUB, member] = link
    now = HEARTBEAT_SECONDS / 2
    assert not any(
        instance.peers._is_due(li, now) for li in instance.peers.list_links()
    )
    assert built == ["h1"]
