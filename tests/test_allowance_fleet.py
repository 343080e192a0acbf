"""Fleets under a team's load: no window over its bound, few refusals below the limit.

The real controllers of up to 195 instances, in virtual time, with connections that are
cut, instances that end and begin anew, and limits that change.
"""

from __future__ import annotations

from typing import Any

import pytest
import trio

from ashpond.clients.keeper import AllowanceRequest, ReturnedAllowance, encode_ask
from ashpond.clients.peer import AllowanceAsk, PeerStream
from ashpond.controllers import coordinatorlink
from ashpond.decisions.allowances import AllowanceUnit
from ashpond.decisions.fleetlinks import Member
from tests.allowance_fleet import Fleet

SETTLED_SECONDS = 6.0
USUAL = 0.55
HOT = 4.2
# What calm instances may refuse below the limit: one token in a thousand.
CALM_SHARE = 0.001


@pytest.mark.parametrize("instances", [1, 6, 90, 195])
async def test_below_the_limit_hardly_anything_is_refused(
    instances: int, autojump_clock: object
) -> None:
    async with trio.open_nursery() as nursery:
        fleet = Fleet(nursery, instances)
        await trio.sleep(SETTLED_SECONDS)
        await fleet.press(USUAL, 40.0)
        await trio.sleep(1.0)
        nursery.cancel_scope.cancel()
    assert fleet.measure_refused() <= CALM_SHARE
    assert fleet.measure_worst() <= 1.0
    assert sum(use.waited for use in fleet.uses) / len(fleet.uses) < 0.01


@pytest.mark.parametrize("instances", [1, 6, 90, 195])
async def test_a_hot_team_gets_its_limit_and_no_more(
    instances: int, autojump_clock: object
) -> None:
    async with trio.open_nursery() as nursery:
        fleet = Fleet(nursery, instances)
        await trio.sleep(SETTLED_SECONDS)
        began = trio.current_time()
        await fleet.press(HOT, 20.0)
        await trio.sleep(1.0)
        nursery.cancel_scope.cancel()
    assert fleet.measure_worst() <= 1.0
    served = sum(u.cost for u in fleet.uses if u.status == 200)
    assert served >= 0.9 * fleet.limit.rate * 20.0
    assert {u.status for u in fleet.uses} <= {200, 429}
    late = [u.waited for u in fleet.uses if u.at >= began]
    assert max(late) < 0.1


async def test_one_instance_alone_may_use_all_of_it(autojump_clock: object) -> None:
    async with trio.open_nursery() as nursery:
        fleet = Fleet(nursery, 90)
        await trio.sleep(SETTLED_SECONDS)
        await fleet.press(USUAL, 20.0, only="i5")
        await trio.sleep(1.0)
        nursery.cancel_scope.cancel()
    assert fleet.measure_refused() <= CALM_SHARE


@pytest.mark.parametrize("load", [USUAL, HOT])
@pytest.mark.parametrize("seed", range(3))
async def test_a_herd_that_ends_and_begins_anew(
    load: float, seed: int, autojump_clock: object
) -> None:
    """Of 90 instances 55 in 100 end at once, the keeper among them, and return."""
    async with trio.open_nursery() as nursery:
        fleet = Fleet(nursery, 90, seed)
        await trio.sleep(SETTLED_SECONDS)
        nursery.start_soon(fleet.press, load, 20.0)
        await trio.sleep(6.0)
        names = fleet.rng.sample(list(fleet.members), 50)
        widest = [n for n, m in fleet.members.items() if m.link_mbps > 100]
        await fleet.end(sorted({*names, *widest}), 2.0)
        back = trio.current_time() + 3.0
        await trio.sleep(13.0)
        nursery.cancel_scope.cancel()
    assert fleet.measure_worst() <= 1.0
    if load == USUAL:
        assert fleet.measure_refused(back) <= 0.01


async def test_all_instances_that_begin_anew_serve_at_once(
    autojump_clock: object,
) -> None:
    """What they earned while they read the configuration is theirs to use."""
    async with trio.open_nursery() as nursery:
        fleet = Fleet(nursery, 30)
        fleet.start_seconds = 0.8
        await trio.sleep(SETTLED_SECONDS)
        await fleet.end(list(fleet.instances), 1.0)
        await trio.sleep(0.9)
        began = trio.current_time()
        await fleet.press(USUAL, 3.0)
        await trio.sleep(1.0)
        nursery.cancel_scope.cancel()
    assert fleet.measure_worst() <= 1.0
    assert fleet.measure_refused(began) <= 0.01


@pytest.mark.parametrize("load", [USUAL, HOT])
@pytest.mark.parametrize("share", [1, 15, 45, 90])
async def test_instances_that_are_cut_off(
    load: float, share: int, autojump_clock: object
) -> None:
    async with trio.open_nursery() as nursery:
        fleet = Fleet(nursery, 90)
        await trio.sleep(SETTLED_SECONDS)
        nursery.start_soon(fleet.press, load, 20.0)
        await trio.sleep(4.0)
        names = fleet.rng.sample(list(fleet.members), share)
        await fleet.cut_off(names, 5.5)
        back = trio.current_time() + 3.0
        await trio.sleep(12.0)
        nursery.cancel_scope.cancel()
    assert fleet.measure_worst() <= 1.0
    if load == USUAL:
        assert fleet.measure_refused(back) <= 0.01


async def test_a_failure_domain_that_is_cut_off_with_the_keeper(
    autojump_clock: object,
) -> None:
    async with trio.open_nursery() as nursery:
        fleet = Fleet(nursery, 90)
        await trio.sleep(SETTLED_SECONDS)
        coordinator = fleet.instances["i1"].allowances.describe()["keepers"][0]
        domain = fleet.members[coordinator].failure_domain
        nursery.start_soon(fleet.press, HOT, 25.0)
        await trio.sleep(4.0)
        names = [n for n, m in fleet.members.items() if m.failure_domain == domain]
        await fleet.cut_off(names, 8.0)
        await fleet.end([coordinator], 3.0)
        await trio.sleep(10.0)
        nursery.cancel_scope.cancel()
    assert fleet.measure_worst() <= 1.0


async def test_a_keeper_that_ends_costs_calm_callers_little(
    autojump_clock: object,
) -> None:
    async with trio.open_nursery() as nursery:
        fleet = Fleet(nursery, 90)
        await trio.sleep(SETTLED_SECONDS)
        coordinator = fleet.instances["i1"].allowances.describe()["keepers"][0]
        nursery.start_soon(fleet.press, USUAL, 30.0)
        await trio.sleep(4.0)
        await fleet.end([coordinator], 3.0)
        await trio.sleep(24.0)
        nursery.cancel_scope.cancel()
    assert fleet.measure_worst() <= 1.0
    assert fleet.measure_refused() <= 0.01


async def test_instances_that_join_while_others_are_cut_off(
    autojump_clock: object,
) -> None:
    async with trio.open_nursery() as nursery:
        fleet = Fleet(nursery, 60)
        await trio.sleep(SETTLED_SECONDS)
        nursery.start_soon(fleet.press, HOT, 25.0)
        names = [n for n, m in fleet.members.items() if m.failure_domain == "d1"]
        nursery.start_soon(fleet.cut_off, names, 12.0)
        await trio.sleep(2.0)
        for _ in range(45):
            fleet.join()
        await trio.sleep(22.0)
        nursery.cancel_scope.cancel()
    assert fleet.measure_worst() <= 1.0


@pytest.mark.parametrize("coordinator_knows", [True, False])
async def test_a_limit_that_is_lowered_under_a_hot_team(
    coordinator_knows: bool, autojump_clock: object
) -> None:
    """A quarter of the instances does not hear of it, the keeper among them or not."""
    async with trio.open_nursery() as nursery:
        fleet = Fleet(nursery, 90)
        await trio.sleep(SETTLED_SECONDS)
        nursery.start_soon(fleet.press, HOT, 30.0)
        await trio.sleep(5.0)
        before = fleet.limit
        fleet.version += 1
        fleet.limit = before._replace(rate=before.rate / 3, burst=before.burst / 3)
        lowered_at = trio.current_time()
        coordinator = fleet.instances["i1"].allowances.describe()["keepers"][0]
        others = [name for name in fleet.members if name != coordinator]
        names = others[::4] if coordinator_knows else [*others[::4], coordinator]
        fleet.unaware = dict.fromkeys(names, before)
        await trio.sleep(24.0)
        nursery.cancel_scope.cancel()
    assert fleet.measure_worst(lowered_at) <= 1.0


async def test_what_was_to_be_given_back_lapses_with_the_connection(
    autojump_clock: object, monkeypatch: pytest.MonkeyPatch
) -> None:
    """Told later, it would be used in a window that has no room left for it."""
    told: list[ReturnedAllowance] = []

    def record(*args: Any, **options: Any) -> AllowanceAsk:
        told.extend(args[5] if len(args) > 5 else ())
        return encode_ask(*args, **options)

    monkeypatch.setattr(coordinatorlink, "encode_ask", record)
    async with trio.open_nursery() as nursery:
        fleet = Fleet(nursery, 8)
        await trio.sleep(SETTLED_SECONDS)
        coordinator = fleet.instances["i1"].allowances.describe()["keepers"][0]
        other = next(i for i in fleet.instances.values() if i.name != coordinator)
        link = other.allowances._links[0]
        connect = link._connect_to

        async def give_back_and_connect(member: Member) -> PeerStream:
            link.give_back(ReturnedAllowance("desk", AllowanceUnit.TOKENS, 9_000))
            return await connect(member)

        monkeypatch.setattr(link, "_connect_to", give_back_and_connect)
        nursery.start_soon(fleet.end, [coordinator], 5.0)
        await trio.sleep(1.5)
        assert link.coordinator not in ("", coordinator)
        nursery.cancel_scope.cancel()
    assert told == []


@pytest.mark.parametrize("unit", list(AllowanceUnit))
async def test_an_ask_with_a_rate_of_0_does_not_end_its_keeper(
    unit: AllowanceUnit, autojump_clock: object
) -> None:
    """It divided by the rate, and what a peer's task raises ends the process."""
    async with trio.open_nursery() as nursery:
        fleet = Fleet(nursery, 1)
        await trio.sleep(SETTLED_SECONDS)
        allowances = fleet.instances["i0"].allowances
        request = AllowanceRequest(1, 99, "other", unit, 0.0, 0.0, 1, 1, 1.0)
        verdict = allowances.decide_locally(1, 0, allowances._links[0], request)
        nursery.cancel_scope.cancel()
    assert verdict.number == 1
