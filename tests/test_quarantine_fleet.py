"""Fleets whose servers end: which requests are quarantined, when, and which never.

Real instances' decisions, in virtual time: dispatcher, places, ends, quarantine. Their
news come late, are cut off, or nobody is left to tell them.
"""

from __future__ import annotations

import random

import pytest
import trio
import trio.testing

from ashpond.decisions.quarantine import SETTLING_SECONDS, QuarantineState
from tests.gateway_builders import make_call
from tests.quarantine_fleet import DEADLY_BODY, Fleet, Seen, identify

# What the operators ask for: known to all so long after the third end (seconds), and
# so many sends after it at most.
KNOWN_SECONDS = 3.0
MOST_SENDS = 3
ENDS = 3
# News between instances: at once among few, over two hubs among many (seconds).
FLAT_LAG = 0.05
GROUP_LAG = 0.6
POPULAR = b"popular"
WORK = {POPULAR: 0.4, b"long": 3.0}
LONG_OBJECTIVE = 4.0
HERD_SECONDS = 3.5


def list_late(fleet: Fleet) -> list[float]:
    """Return when the deadly request was sent although it had to be known."""
    known_at = sorted(fleet.ended_at)[ENDS - 1] + KNOWN_SECONDS
    return [a.at for a in fleet.arrivals if a.body == DEADLY_BODY and a.at > known_at]


def list_refused(fleet: Fleet) -> list[Seen]:
    """Return the harmless requests that were refused for good."""
    return [s for s in fleet.seen if s.body != DEADLY_BODY and s.status == 400]


@pytest.mark.parametrize(
    ("instances", "servers", "lag"),
    [(1, 5, FLAT_LAG), (6, 5, FLAT_LAG), (78, 24, GROUP_LAG), (195, 59, GROUP_LAG)],
)
@pytest.mark.parametrize("gap", [0.05, 0.4, 2.0, 9.0])
async def test_all_instances_know_a_deadly_request_in_time(
    instances: int, servers: int, lag: float, gap: float, autojump_clock: object
) -> None:
    async with trio.open_nursery() as nursery:
        fleet = Fleet(nursery, instances, servers, lag, WORK)
        nursery.start_soon(fleet.ask_often, POPULAR, 0.05)
        nursery.start_soon(fleet.ask_often, DEADLY_BODY, gap)
        await trio.sleep(max(15.0, gap * 8))
        nursery.cancel_scope.cancel()
    assert len(list_late(fleet)) <= MOST_SENDS
    assert not list_refused(fleet)
    known_at = sorted(fleet.ended_at)[ENDS - 1] + KNOWN_SECONDS * 2
    later = [s for s in fleet.seen if s.body == POPULAR and s.sent_at > known_at]
    assert {s.status for s in later} <= {200}


async def test_it_is_known_after_all_instances_have_ended_together(
    autojump_clock: object,
) -> None:
    async with trio.open_nursery() as nursery:
        fleet = Fleet(nursery, 6, 5, FLAT_LAG, WORK)
        nursery.start_soon(fleet.ask_often, DEADLY_BODY, 0.4)
        await trio.sleep(8.0)
        fleet.start_instances(6)
        await trio.sleep(2.0)
        ended = len(fleet.ended_at)
        await trio.sleep(20.0)
        nursery.cancel_scope.cancel()
    assert len(fleet.ended_at) == ended


async def test_those_that_were_cut_off_know_it_when_they_are_back(
    autojump_clock: object,
) -> None:
    async with trio.open_nursery() as nursery:
        fleet = Fleet(nursery, 6, 8, FLAT_LAG, WORK)
        fleet.cut = {"i0", "i1", "i2"}
        for number in (3, 4, 5, 3):
            await fleet.ask(number, DEADLY_BODY)
            await trio.sleep(0.4)
        await trio.sleep(SETTLING_SECONDS)
        name = identify(make_call(body=DEADLY_BODY))
        assert (
            fleet.instances[5].quarantine.classify(name) is QuarantineState.QUARANTINED
        )
        assert fleet.instances[0].quarantine.classify(name) is QuarantineState.FREE
        fleet.heal()
        for instance in fleet.instances:
            assert instance.quarantine.classify(name) is QuarantineState.QUARANTINED
        nursery.cancel_scope.cancel()


@pytest.mark.parametrize(
    ("instances", "servers", "lag"),
    [(6, 5, FLAT_LAG), (78, 24, GROUP_LAG)],
)
@pytest.mark.parametrize("seed", range(3))
async def test_no_harmless_request_is_quarantined_however_many_servers_end(
    instances: int, servers: int, lag: float, seed: int, autojump_clock: object
) -> None:
    rng = random.Random(seed)
    async with trio.open_nursery() as nursery:
        fleet = Fleet(nursery, instances, servers, lag, WORK, LONG_OBJECTIVE)
        nursery.start_soon(fleet.ask_often, POPULAR, 0.05)
        nursery.start_soon(fleet.ask_often, b"long", 1.0, 20.0)
        for number in range(4):
            nursery.start_soon(fleet.ask_often, b"rare %d" % number, 5.0 + number)
        for _ in range(20):
            names = sorted(fleet.servers)
            fleet.end(rng.sample(names, round(len(names) * 0.34)))
            await trio.sleep(HERD_SECONDS)
        nursery.cancel_scope.cancel()
    assert not list_refused(fleet)


@pytest.mark.parametrize("seed", range(3))
async def test_no_harmless_request_is_quarantined_where_servers_end_one_by_one(
    seed: int, autojump_clock: object
) -> None:
    rng = random.Random(seed)
    async with trio.open_nursery() as nursery:
        fleet = Fleet(nursery, 6, 5, FLAT_LAG, WORK, LONG_OBJECTIVE)
        nursery.start_soon(fleet.ask_often, POPULAR, 0.05)
        nursery.start_soon(fleet.ask_often, b"long", 1.0, 20.0)
        for _ in range(60):
            if fleet.servers:
                fleet.end([rng.choice(sorted(fleet.servers))])
            await trio.sleep(rng.uniform(0.3, 2.0))
        nursery.cancel_scope.cancel()
    assert not list_refused(fleet)
