"""Tests of when an instance checks which peers to send an update."""

from __future__ import annotations

from collections.abc import AsyncIterator
from contextlib import asynccontextmanager

import pytest
import trio

from ashpond.controllers.directory import BackendServer, ServerTable
from ashpond.decisions.budget import AttemptCounts
from ashpond.decisions.loads import Load
from ashpond.fleet.intervals import HEARTBEAT_SECONDS, UPDATE_SECONDS
from ashpond.fleet.links import Link, PeerRole
from ashpond.fleet.rounds import UpdateRounds, measure_idle_time
from ashpond.fleet.sharedloads import SHARE_SECONDS, SharedLoads
from ashpond.fleet.updates import Digest
from ashpond.fleet.view import FleetView, InstanceLoad, PeerReport, Scope

LOADED = InstanceLoad({"a": Load(2)}, {})


def make_link(sent_at: float, role: PeerRole = PeerRole.EQUAL) -> Link:
    link = Link(role, "i1")
    link.last_load, link.sent_at = LOADED, sent_at
    return link


@asynccontextmanager
async def checking(link: Link) -> AsyncIterator[tuple[UpdateRounds, list[float]]]:
    rounds, checks = UpdateRounds(), list[float]()

    async def check() -> None:
        while True:
            await rounds.wait([link], FleetView(10.0), "", is_hub=False)
            checks.append(trio.current_time())
            link.sent_at = trio.current_time()

    async with trio.open_nursery() as nursery:
        nursery.start_soon(check)
        yield rounds, checks
        nursery.cancel_scope.cancel()


async def test_without_changes_checks_take_place_for_heartbeats_only(
    autojump_clock: object,
) -> None:
    """Checks at each interval were 13% of the instructions of an idle member."""
    async with checking(make_link(trio.current_time())) as (_, checks):
        await trio.sleep(6.05)
    assert len(checks) == pytest.approx(6.0 / HEARTBEAT_SECONDS, abs=1)


async def test_a_change_is_checked_within_the_interval(autojump_clock: object) -> None:
    """Peers place requests by loads that are late by the wait in each step."""
    async with checking(make_link(trio.current_time())) as (rounds, checks):
        for wait in (0.31, 0.5, 0.05, 0.02, 0.4):
            await trio.sleep(wait)
            checks.clear()
            changed_at = trio.current_time()
            rounds.note_change()
            await trio.sleep(UPDATE_SECONDS + 0.001)
            assert checks[0] - changed_at <= UPDATE_SECONDS


async def test_many_changes_are_checked_at_the_interval(autojump_clock: object) -> None:
    """Checks at each change would send all loads with each of a server's events."""
    async with checking(make_link(trio.current_time())) as (rounds, checks):
        for _ in range(400):
            rounds.note_change()
            await trio.sleep(0.005)
    gaps = [b - a for a, b in zip(checks, checks[1:], strict=False)]
    assert min(gaps) >= UPDATE_SECONDS - 1e-9
    assert max(gaps) <= UPDATE_SECONDS * 1.2


def test_idle_time_ends_with_what_is_due_first() -> None:
    """A wait beyond it would delay heartbeats, or the replacement of a lost hub."""
    view = FleetView(10.0)
    view.set_hubs(["h"])
    links = [make_link(9.8), make_link(9.7)]
    assert measure_idle_time(links, view, "", 10.0, is_hub=False) == pytest.approx(0.3)
    assert measure_idle_time(links, view, "g", 10.0, is_hub=False) == 0.0
    view.add("h#1", PeerReport("h", Scope.FLEET, 8.9, LOADED))
    assert measure_idle_time(links, view, "g", 10.0, is_hub=False) == pytest.approx(0.2)
    # The sums of a hub change when this report expires.
    assert measure_idle_time(links, view, "g", 10.0, is_hub=True) == 0.0


def test_a_report_is_new_if_its_loads_differ() -> None:
    """A hub that misses a change sends its members outdated sums for 0.6 s."""
    view = FleetView(10.0)
    idle = InstanceLoad({}, {"s": AttemptCounts(1, 0)})

    def add(load: InstanceLoad) -> bool:
        return view.add("i1#1", PeerReport("i1", Scope.MEMBER, 0.0, load))

    loads = [idle, LOADED, LOADED, idle, idle]
    assert [add(load) for load in loads] == [False, True, False, True, False]


def test_a_change_of_a_servers_load_is_reported() -> None:
    """A change without a check would reach peers with the next heartbeat only."""
    table = ServerTable()
    changes: list[dict[str, Load]] = []
    table.on_load_change = lambda: changes.append(table.list_own_loads())
    server = BackendServer("a", "s", "127.0.0.1:9", "north", 4, False, 0.0, {})
    table.update(server, 0.0)
    table.by_id["a"].load = Load(1)
    table.update(server._replace(started_ms=5), 0.0)
    table.remove("a", 0.0, may_reappear=False)
    assert changes[0] == {"a": Load(1)}
    assert changes[-1] == {}


def test_links_of_one_role_share_a_load_for_a_moment() -> None:
    """A hub built the same sum for each other hub, and twice for each update."""
    table = ServerTable()
    server = BackendServer("a", "s", "127.0.0.1:9", "north", 4, False, 0.0, {})
    table.update(server, 0.0)
    loads = SharedLoads("i0#1", FleetView(10.0), table, lambda: {})
    hubs = [make_link(0.0, PeerRole.OTHER_HUB) for _ in range(2)]
    first = loads.build(hubs[0], 1.0)
    table.by_id["a"].load = Load(1)
    assert loads.build(hubs[1], 1.001) is first
    digest = Digest(Scope.GROUP, "g", first, [], [])
    update = loads.encode(digest)
    assert loads.encode(digest._replace(cache_entries=[])) is update
    assert update.loads == {}
    later = loads.build(hubs[0], 1.0 + SHARE_SECONDS)
    assert later.loads == {"a": Load(1)}
    assert loads.encode(digest._replace(load=later)).loads == {"a": [1, 0, 0, 0]}
    assert loads.encode(digest._replace(group="h")).group == "h"
