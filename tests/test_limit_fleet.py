"""Tests of a backend server's rate limit in fleets of 1 to 60 instances.

The real controllers run in virtual time. No window may exceed its bound, the limit must
nearly be used, and no request may be delayed for long.
"""

from __future__ import annotations

import pytest
import trio

from tests.limit_fleet import LimitFleet

SETTLED_SECONDS = 4.0
PER_SECOND = 200.0
# From the first answer with a limit until coordinators have received the accrued time
# of all instances (seconds).
RAMP_UP_SECONDS = 4.0
# A limited server must get at least this share of its limit.
MIN_USED_SHARE = 0.8
# The longest time without a request, as a multiple of the mean time between permits.
MAX_GAP_PERMITS = 2.0


async def load_and_set_limit(fleet: LimitFleet, rate: float, seconds: float) -> float:
    """Send requests and set the server's limit after 2 s; return when it was set."""
    await trio.sleep(SETTLED_SECONDS)
    fleet.nursery.start_soon(fleet.send_requests_to_server, PER_SECOND, seconds)
    await trio.sleep(2.0)
    fleet.set_server_limit(rate)
    return trio.current_time()


@pytest.mark.parametrize(
    ("instances", "rate", "seconds"),
    [(1, 1.1, 30), (6, 0.4, 40), (6, 8.0, 30), (60, 1.1, 16)],
)
async def test_a_server_gets_its_limit_and_no_more(
    instances: int, rate: float, seconds: float, autojump_clock: object
) -> None:
    async with trio.open_nursery() as nursery:
        fleet = LimitFleet(nursery, instances)
        limit_set_at = await load_and_set_limit(fleet, rate, seconds + 3)
        await trio.sleep(seconds)
        nursery.cancel_scope.cancel()
    assert fleet.measure_fullest_server_window(rate) <= 1.0
    begin, end = limit_set_at + RAMP_UP_SECONDS, limit_set_at + seconds
    assert fleet.count_arrivals(begin, end) >= MIN_USED_SHARE * rate * (end - begin) - 1
    assert max(fleet.waits) < 0.2


@pytest.mark.parametrize("seed", range(3))
async def test_the_limit_holds_while_coordinators_restart(
    seed: int, autojump_clock: object
) -> None:
    async with trio.open_nursery() as nursery:
        fleet = LimitFleet(nursery, 8, seed)
        await load_and_set_limit(fleet, 3.0, 36.0)
        for _ in range(6):
            await trio.sleep(4.0)
            coordinator = fleet.instances["i1"].allowances.describe()["keepers"][0]
            name = coordinator if coordinator != "i1" else "i2"
            nursery.start_soon(fleet.restart, [name], 1.5)
        await trio.sleep(6.0)
        nursery.cancel_scope.cancel()
    assert fleet.measure_fullest_server_window(3.0) <= 1.0


@pytest.mark.parametrize("seed", range(3))
@pytest.mark.parametrize("share", [1, 6, 11])
async def test_the_limit_holds_while_some_instances_are_partitioned(
    share: int, seed: int, autojump_clock: object
) -> None:
    async with trio.open_nursery() as nursery:
        fleet = LimitFleet(nursery, 12, seed)
        await load_and_set_limit(fleet, 3.0, 30.0)
        await trio.sleep(4.0)
        await fleet.partition(fleet.rng.sample(list(fleet.members), share), 8.0)
        await trio.sleep(10.0)
        nursery.cancel_scope.cancel()
    assert fleet.measure_fullest_server_window(3.0) <= 1.0


async def test_the_limit_holds_while_half_of_the_instances_restart_and_others_join(
    autojump_clock: object,
) -> None:
    async with trio.open_nursery() as nursery:
        fleet = LimitFleet(nursery, 20)
        await load_and_set_limit(fleet, 3.0, 30.0)
        await trio.sleep(4.0)
        nursery.start_soon(
            fleet.restart, fleet.rng.sample(list(fleet.members), 11), 2.0
        )
        for _ in range(10):
            await trio.sleep(0.5)
            fleet.add_instance()
        await trio.sleep(14.0)
        nursery.cancel_scope.cancel()
    assert fleet.measure_fullest_server_window(3.0) <= 1.0


@pytest.mark.parametrize("seed", range(3))
async def test_a_lowered_limit_holds(seed: int, autojump_clock: object) -> None:
    async with trio.open_nursery() as nursery:
        fleet = LimitFleet(nursery, 12, seed)
        await load_and_set_limit(fleet, 12.0, 30.0)
        await trio.sleep(8.0)
        fleet.set_server_limit(1.1)
        await trio.sleep(16.0)
        nursery.cancel_scope.cancel()
    assert fleet.measure_fullest_server_window(1.1) <= 1.0


@pytest.mark.parametrize("seed", range(3))
@pytest.mark.parametrize("rate", [0.0, 1.1])
async def test_all_instances_notice_that_a_limit_was_lifted(
    rate: float, seed: int, autojump_clock: object
) -> None:
    """This includes a limit of 0, and notices that overtake answers or follow them."""
    async with trio.open_nursery() as nursery:
        fleet = LimitFleet(nursery, 20, seed)
        await load_and_set_limit(fleet, rate, 120.0)
        await trio.sleep(20.0)
        assert all(
            incarnation.state.is_limited for incarnation in fleet.incarnations.values()
        )
        fleet.set_server_limit(None)
        lifted_at = trio.current_time()
        with trio.move_on_after(60.0):
            while any(
                incarnation.state.is_limited
                for incarnation in fleet.incarnations.values()
            ):
                await trio.sleep(0.1)
        noticed_at = trio.current_time()
        await trio.sleep(5.0)
        assert not any(
            incarnation.state.is_limited for incarnation in fleet.incarnations.values()
        )
        nursery.cancel_scope.cancel()
    assert fleet.measure_fullest_server_window(rate, lifted_at) <= 1.0
    assert noticed_at - lifted_at < 30.0
    assert fleet.count_arrivals(noticed_at + 1, noticed_at + 5) > 4 * PER_SECOND * 0.7


async def test_a_server_with_limit_0_is_probed(
    autojump_clock: object,
) -> None:
    """Only an answer of the server shows that its limit was lifted."""
    async with trio.open_nursery() as nursery:
        fleet = LimitFleet(nursery, 6)
        limit_set_at = await load_and_set_limit(fleet, 0.0, 65.0)
        await trio.sleep(62.0)
        nursery.cancel_scope.cancel()
    assert fleet.measure_fullest_server_window(0.0) <= 1.0
    assert 3 <= fleet.count_arrivals(limit_set_at + 4, limit_set_at + 62) <= 12


async def test_idle_instances_keep_accruing_time_for_a_limited_server(
    autojump_clock: object,
) -> None:
    """Their accrued time is part of the server's limit, which other instances use."""
    async with trio.open_nursery() as nursery:
        fleet = LimitFleet(nursery, 6)
        limit_set_at = await load_and_set_limit(fleet, 3.0, 8.0)
        await trio.sleep(8.0)
        fleet.nursery.start_soon(fleet.send_requests_to_server, 20.0, 60.0, "i0")
        await trio.sleep(60.0)
        nursery.cancel_scope.cancel()
    assert fleet.count_arrivals(limit_set_at + 50, limit_set_at + 66) >= 0.8 * 3.0 * 16
    assert fleet.measure_fullest_server_window(3.0) <= 1.0


async def test_a_limit_that_changes_with_each_answer_is_used(
    autojump_clock: object,
) -> None:
    """A pause at each change would leave the server idle."""
    async with trio.open_nursery() as nursery:
        fleet = LimitFleet(nursery, 6)
        limit_set_at = await load_and_set_limit(fleet, 4.0, 30.0)
        for number in range(280):
            await trio.sleep(0.1)
            fleet.rate = 4.0 + number % 5 * 0.1
        nursery.cancel_scope.cancel()
    begin, end = limit_set_at + RAMP_UP_SECONDS, limit_set_at + 28.0
    assert fleet.count_arrivals(begin, end) >= MIN_USED_SHARE * 4.0 * (end - begin)


async def test_a_raised_limit_is_used_at_once(autojump_clock: object) -> None:
    """Instances that stay in a pause after refusals would use it seconds later."""
    async with trio.open_nursery() as nursery:
        fleet = LimitFleet(nursery, 40)
        await load_and_set_limit(fleet, 0.4, 40.0)
        await trio.sleep(20.0)
        fleet.set_server_limit(20.0)
        with trio.fail_after(10.0):
            while any(
                incarnation.state.rate_limit.rate != 20.0
                for incarnation in fleet.incarnations.values()
            ):
                await trio.sleep(0.1)
        raised_at = trio.current_time()
        await trio.sleep(6.0)
        nursery.cancel_scope.cancel()
    used = fleet.count_arrivals(raised_at + 1.0, raised_at + 6.0)
    assert used >= MIN_USED_SHARE * 20.0 * 5.0


@pytest.mark.parametrize("seed", range(10))
async def test_a_small_fleet_leaves_no_permit_unused_for_long(
    seed: int, autojump_clock: object
) -> None:
    """Only an answer shows that a limit was lifted, so permits must not lie unused.

    Pauses that grow with each refusal left gaps of over 2 s among six instances.
    """
    rate = 1.5
    async with trio.open_nursery() as nursery:
        fleet = LimitFleet(nursery, 6, seed)
        limit_set_at = await load_and_set_limit(fleet, rate, 40.0)
        await trio.sleep(36.0)
        nursery.cancel_scope.cancel()
    times = [a.at for a in fleet.arrivals if a.at > limit_set_at + RAMP_UP_SECONDS]
    gaps = [later - at for at, later in zip(times, times[1:], strict=False)]
    assert fleet.measure_fullest_server_window(rate) <= 1.0
    assert max(gaps) <= MAX_GAP_PERMITS / rate
