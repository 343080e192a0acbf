"""Which requests are quarantined, and when, in fleets whose servers crash.

The instances run the real dispatcher, reservations, crash detection and quarantine in
virtual time. Their reports are delayed, cut off or lost with all instances.
"""

from __future__ import annotations

import random

import pytest
import trio
import trio.testing

from ashpond.decisions.quarantine import SETTLING_SECONDS, QuarantineState
from tests.gateway_builders import make_call
from tests.quarantine_fleet import DEADLY_BODY, ClientResult, Fleet, compute_fingerprint

# The required time from the third crash until all instances know it (seconds), and the
# most attempts after that.
PROPAGATION_SECONDS = 3.0
MAX_ATTEMPTS = 3
CRASHES = 3
# The delay of reports: direct in a small fleet, over two hubs in a large one (seconds).
FULL_MESH_LAG = 0.05
GROUP_LAG = 0.6
POPULAR = b"popular"
RUN_SECONDS = {POPULAR: 0.4, b"long": 3.0}
LONG_OBJECTIVE = 4.0
CRASH_INTERVAL_SECONDS = 3.5


def list_late(fleet: Fleet) -> list[float]:
    """Return when the deadly request was sent after it had to be quarantined."""
    known_at = sorted(fleet.crashed_at)[CRASHES - 1] + PROPAGATION_SECONDS
    return [a.at for a in fleet.arrivals if a.body == DEADLY_BODY and a.at > known_at]


def list_refused(fleet: Fleet) -> list[ClientResult]:
    """Return the harmless requests that were refused without a retry."""
    return [s for s in fleet.results if s.body != DEADLY_BODY and s.status == 400]


@pytest.mark.parametrize(
    ("instances", "servers", "lag"),
    [
        (1, 5, FULL_MESH_LAG),
        (6, 5, FULL_MESH_LAG),
        (78, 24, GROUP_LAG),
        (195, 59, GROUP_LAG),
    ],
)
@pytest.mark.parametrize("gap", [0.05, 0.4, 2.0, 9.0])
async def test_all_instances_quarantine_a_deadly_request_in_time(
    instances: int, servers: int, lag: float, gap: float, autojump_clock: object
) -> None:
    async with trio.open_nursery() as nursery:
        fleet = Fleet(nursery, instances, servers, lag, RUN_SECONDS)
        nursery.start_soon(fleet.ask_repeatedly, POPULAR, 0.05)
        nursery.start_soon(fleet.ask_repeatedly, DEADLY_BODY, gap)
        await trio.sleep(max(15.0, gap * 8))
        nursery.cancel_scope.cancel()
    assert len(list_late(fleet)) <= MAX_ATTEMPTS
    assert not list_refused(fleet)
    known_at = sorted(fleet.crashed_at)[CRASHES - 1] + PROPAGATION_SECONDS * 2
    later = [s for s in fleet.results if s.body == POPULAR and s.sent_at > known_at]
    assert {s.status for s in later} <= {200}


async def test_quarantine_survives_a_restart_of_all_instances(
    autojump_clock: object,
) -> None:
    async with trio.open_nursery() as nursery:
        fleet = Fleet(nursery, 6, 5, FULL_MESH_LAG, RUN_SECONDS)
        nursery.start_soon(fleet.ask_repeatedly, DEADLY_BODY, 0.4)
        await trio.sleep(8.0)
        fleet.start_instances(6)
        await trio.sleep(2.0)
        crashes = len(fleet.crashed_at)
        await trio.sleep(20.0)
        nursery.cancel_scope.cancel()
    assert len(fleet.crashed_at) == crashes


async def test_partitioned_instances_quarantine_a_request_once_reconnected(
    autojump_clock: object,
) -> None:
    async with trio.open_nursery() as nursery:
        fleet = Fleet(nursery, 6, 8, FULL_MESH_LAG, RUN_SECONDS)
        fleet.partitioned = {"i0", "i1", "i2"}
        for number in (3, 4, 5, 3):
            await fleet.ask(number, DEADLY_BODY)
            await trio.sleep(0.4)
        await trio.sleep(SETTLING_SECONDS)
        name = compute_fingerprint(make_call(body=DEADLY_BODY))
        assert (
            fleet.instances[5].quarantine.classify(name) is QuarantineState.QUARANTINED
        )
        assert fleet.instances[0].quarantine.classify(name) is QuarantineState.FREE
        fleet.reconnect()
        for instance in fleet.instances:
            assert instance.quarantine.classify(name) is QuarantineState.QUARANTINED
        nursery.cancel_scope.cancel()


@pytest.mark.parametrize(
    ("instances", "servers", "lag"),
    [(6, 5, FULL_MESH_LAG), (78, 24, GROUP_LAG)],
)
@pytest.mark.parametrize("seed", range(3))
async def test_no_harmless_request_is_quarantined_when_many_servers_crash(
    instances: int, servers: int, lag: float, seed: int, autojump_clock: object
) -> None:
    rng = random.Random(seed)
    async with trio.open_nursery() as nursery:
        fleet = Fleet(nursery, instances, servers, lag, RUN_SECONDS, LONG_OBJECTIVE)
        nursery.start_soon(fleet.ask_repeatedly, POPULAR, 0.05)
        nursery.start_soon(fleet.ask_repeatedly, b"long", 1.0, 20.0)
        for number in range(4):
            nursery.start_soon(fleet.ask_repeatedly, b"rare %d" % number, 5.0 + number)
        for _ in range(20):
            names = sorted(fleet.servers)
            fleet.crash(rng.sample(names, round(len(names) * 0.34)))
            await trio.sleep(CRASH_INTERVAL_SECONDS)
        nursery.cancel_scope.cancel()
    assert not list_refused(fleet)


@pytest.mark.parametrize("seed", range(3))
async def test_no_harmless_request_is_quarantined_when_servers_crash_one_by_one(
    seed: int, autojump_clock: object
) -> None:
    rng = random.Random(seed)
    async with trio.open_nursery() as nursery:
        fleet = Fleet(nursery, 6, 5, FULL_MESH_LAG, RUN_SECONDS, LONG_OBJECTIVE)
        nursery.start_soon(fleet.ask_repeatedly, POPULAR, 0.05)
        nursery.start_soon(fleet.ask_repeatedly, b"long", 1.0, 20.0)
        for _ in range(60):
            if fleet.servers:
                fleet.crash([rng.choice(sorted(fleet.servers))])
            await trio.sleep(rng.uniform(0.3, 2.0))
        nursery.cancel_scope.cancel()
    assert not list_refused(fleet)
