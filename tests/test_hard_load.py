"""What callers get under heavy load, in virtual time with the real decisions."""

from __future__ import annotations

import pytest

from tests.placementload import PlainServer, Simulation, Stream

SERVERS, SLOTS, WORK_SECONDS = 4, 6, 0.072
CAPACITY = SERVERS * SLOTS / WORK_SECONDS
OBJECTIVE, TIMEOUT = 0.355, 2.0


def make_plain_simulation(seed: int) -> Simulation:
    sim = Simulation(seed)
    sim.add_servers([PlainServer(sim, WORK_SECONDS, SLOTS, 24) for _ in range(SERVERS)])
    return sim


@pytest.mark.parametrize("seed", range(3))
def test_a_burst_of_two_and_a_half_times_the_capacity(seed: int) -> None:
    """All waited until they were refused with the same time to return."""
    sim = make_plain_simulation(seed)
    factor = (0.7, 2.5)
    stream = Stream(lambda t: CAPACITY * factor[3.0 <= t < 8.0], OBJECTIVE, TIMEOUT)
    sim.run([stream], 12.0)
    served = [r for r in sim.requests if r.answered_at is not None]
    refused = [r for r in sim.requests if r.refused_at is not None]
    assert len(served) + len(refused) == len(sim.requests)
    assert all(r.answered_at <= r.arrived_at + TIMEOUT for r in served)
    assert all(r.refused_at <= r.arrived_at + OBJECTIVE / 8 for r in refused)
    returned = [r for r in sim.requests if r.is_return]
    assert len(returned) > 1_000
    assert sum(r.is_in_time() for r in returned) >= 0.9 * len(returned)
    busy = sum(
        max(0.0, min(ended, 8.0) - max(began, 3.0))
        for model in sim.models.values()
        for began, ended in model.busy
    )
    assert busy > 0.95 * 5.0 * SERVERS * SLOTS
