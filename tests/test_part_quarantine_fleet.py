"""Prompt parts that crash servers are quarantined, whatever else the requests hold.

Each request has another body and last part. A crash was attributed to whole requests
only, so that nothing added up: 28 servers crashed in a play of the incident.
"""

from __future__ import annotations

from typing import NamedTuple

import pytest
import trio

from tests.quarantine_fleet import ClientResult, Fleet

# The required time from the fifth crash until all instances know it (seconds), and the
# most attempts after that.
CONTACT_SECONDS = 3.0
MAX_LATE = 3
CRASHES = 5
FULL_MESH_LAG = 0.05
GROUP_LAG = 0.6
LEAST_SERVED = 0.99
DEADLY_GAP_SECONDS = 0.2
SOUND_GAP_SECONDS = 0.025


class Scene(NamedTuple):
    """The parts of deadly and of sound requests, and which of them are deadly."""

    deadly_parts: frozenset[str]
    deadly: tuple[str, ...]
    sound: tuple[str, ...]


SCENES = {
    "second of three": Scene(frozenset({"d"}), ("rules,d,*",), ("rules,*",)),
    "first": Scene(frozenset({"d"}), ("d,rules,*",), ("rules,*",)),
    "last but one": Scene(frozenset({"d"}), ("rules,*,d",), ("rules,*",)),
    "two parts": Scene(frozenset({"d", "e"}), ("rules,d,*", "rules,e,*"), ("rules,*",)),
    "two in one request": Scene(frozenset({"d", "e"}), ("d,e,*",), ("rules,*",)),
    "always beside a sound part": Scene(
        frozenset({"d"}), ("rules,beside,d",), ("rules,*", "rules,beside,*")
    ),
    "alone": Scene(frozenset({"d"}), ("d",), ()),
}


def list_late(fleet: Fleet, part: str) -> list[float]:
    """Return when requests with a part were sent after it had to be quarantined."""
    crashed_at = sorted(at for at, body in fleet.crashes if part in list_parts(body))
    if len(crashed_at) < CRASHES:
        return []
    known_at = crashed_at[CRASHES - 1] + CONTACT_SECONDS
    return [
        a.at for a in fleet.arrivals if part in list_parts(a.body) and a.at > known_at
    ]


def list_parts(body: bytes) -> list[str]:
    return body.decode().partition(":")[0].split(",")


def list_sound(fleet: Fleet, since: float) -> list[ClientResult]:
    """Return the results of the sound requests sent after a time."""
    return [
        result
        for result in fleet.results
        if not fleet.is_deadly(result.body) and result.sent_at >= since
    ]


@pytest.mark.parametrize(
    ("instances", "servers", "lag"),
    [(1, 5, FULL_MESH_LAG), (6, 5, FULL_MESH_LAG), (78, 24, GROUP_LAG)],
)
@pytest.mark.parametrize("scene", SCENES.values(), ids=SCENES)
async def test_a_part_that_crashes_servers_is_quarantined_in_time(
    instances: int, servers: int, lag: float, scene: Scene, autojump_clock: object
) -> None:
    async with trio.open_nursery() as nursery:
        fleet = Fleet(nursery, instances, servers, lag)
        fleet.deadly_parts = set(scene.deadly_parts)
        for parts in scene.sound:
            nursery.start_soon(fleet.ask_with_parts, parts, SOUND_GAP_SECONDS)
        await trio.sleep(3.0)
        for parts in scene.deadly:
            nursery.start_soon(fleet.ask_with_parts, parts, DEADLY_GAP_SECONDS)
        await trio.sleep(25.0)
        nursery.cancel_scope.cancel()
    for part in scene.deadly_parts:
        assert len(list_late(fleet, part)) <= MAX_LATE
    since = max(at for at, _ in fleet.crashes) + 2 * CONTACT_SECONDS
    sound = list_sound(fleet, since)
    assert sound or not scene.sound
    served = sum(result.status == 200 for result in sound)
    assert served >= LEAST_SERVED * len(sound)


async def test_a_part_stays_quarantined_over_a_restart_of_all_instances(
    autojump_clock: object,
) -> None:
    async with trio.open_nursery() as nursery:
        fleet = Fleet(nursery, 6, 5, FULL_MESH_LAG)
        fleet.deadly_parts = {"d"}
        nursery.start_soon(fleet.ask_with_parts, "rules,*", SOUND_GAP_SECONDS)
        await trio.sleep(1.0)
        nursery.start_soon(fleet.ask_with_parts, "rules,d,*", DEADLY_GAP_SECONDS)
        await trio.sleep(10.0)
        fleet.start_instances(6)
        await trio.sleep(2.0)
        crashes = len(fleet.crashes)
        await trio.sleep(20.0)
        nursery.cancel_scope.cancel()
    assert CRASHES - 2 <= len(fleet.crashes) == crashes


@pytest.mark.parametrize("seed", range(3))
async def test_no_part_is_quarantined_when_servers_crash_for_other_reasons(
    seed: int, autojump_clock: object
) -> None:
    async with trio.open_nursery() as nursery:
        fleet = Fleet(nursery, 6, 5, FULL_MESH_LAG)
        nursery.start_soon(fleet.ask_with_parts, "rules,*", SOUND_GAP_SECONDS)
        nursery.start_soon(fleet.ask_with_parts, f"rare{seed},*", 1.0)
        for _ in range(40):
            await trio.sleep(0.7)
            if len(fleet.servers) > 1:
                fleet.crash([sorted(fleet.servers)[seed % len(fleet.servers)]])
        await trio.sleep(4.0)
        nursery.cancel_scope.cancel()
    assert 400 not in {result.status for result in fleet.results}


async def test_no_part_is_quarantined_after_power_failures(
    autojump_clock: object,
) -> None:
    async with trio.open_nursery() as nursery:
        fleet = Fleet(nursery, 6, 8, FULL_MESH_LAG)
        nursery.start_soon(fleet.ask_with_parts, "rules,*", SOUND_GAP_SECONDS)
        for _ in range(6):
            await trio.sleep(5.0)
            fleet.crash(list(fleet.servers))
        await trio.sleep(5.0)
        nursery.cancel_scope.cancel()
    assert 400 not in {result.status for result in fleet.results}
