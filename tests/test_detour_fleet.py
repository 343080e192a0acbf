"""What callers get when most instances of a fleet lose all servers at once."""

from __future__ import annotations

import pytest
import trio

from tests.detour_fleet import OBJECTIVE_SECONDS, DetourFleet, Result

CONTACT_SECONDS = 3.0
CUT_AT, HEALED_AT, ENDS_AT = 2.0, 8.0, 13.0
RETURN_SECONDS = 2.5
PER_SECOND = 3.0
# Requests that no peer can carry are refused within this (seconds).
REFUSED_SECONDS = 1.0


def measure(results: list[Result]) -> float:
    in_time = sum(r.is_served and r.seconds <= OBJECTIVE_SECONDS for r in results)
    return in_time / len(results)


@pytest.mark.parametrize(
    ("count", "cut", "is_hanging"),
    [
        (6, 4, False),
        (6, 2, True),
        (84, 56, False),
        (84, 56, True),
        (195, 130, False),
        (390, 260, False),
        (390, 260, True),
    ],
)
async def test_two_thirds_of_a_fleet_are_served_through_the_rest(
    count: int, cut: int, is_hanging: bool, autojump_clock: object
) -> None:
    fleet = DetourFleet(count, is_hanging=is_hanging)
    # Whole failure domains first, as they lose their links together.
    cut_off = set(range(cut))

    async def play() -> None:
        await trio.sleep(CUT_AT)
        for number in cut_off:
            fleet.instances[number].is_cut = True
        await trio.sleep(HEALED_AT - CUT_AT)
        for number in cut_off:
            fleet.instances[number].is_cut = False

    begin = trio.current_time()
    await fleet.run(ENDS_AT, PER_SECOND, play)
    bound_from, healed = begin + CUT_AT + CONTACT_SECONDS, begin + HEALED_AT
    counted = [r for r in fleet.results if bound_from <= r.sent_at < healed - 0.5]
    there = measure([r for r in counted if r.instance in cut_off])
    others = measure([r for r in counted if r.instance not in cut_off])
    later = [r for r in fleet.results if r.sent_at > healed + RETURN_SECONDS]
    print(f"{cut} of {count}: {there:.3f}, others {others:.3f}, {measure(later):.3f}")
    assert others >= 0.98
    assert there >= others * 2 / 3
    assert measure(later) >= 0.98
    refused = [r for r in counted if not r.is_served]
    assert all(r.seconds < REFUSED_SECONDS and not r.has_run for r in refused)
    back_in_detours = [
        event
        for instance in fleet.instances
        for at, event in instance.events
        if event == "servers_cut_off" and at > healed + 0.5
    ]
    assert not back_in_detours


async def test_a_fleet_that_is_cut_off_as_a_whole_refuses_at_once(
    autojump_clock: object,
) -> None:
    fleet = DetourFleet(30)

    async def play() -> None:
        for instance in fleet.instances:
            instance.is_cut = True

    await fleet.run(4.0, PER_SECOND, play)
    late = [r for r in fleet.results if r.seconds > REFUSED_SECONDS]
    assert not late
    assert not any(r.is_served or r.has_run for r in fleet.results)


async def test_relays_that_die_are_replaced_by_others(autojump_clock: object) -> None:
    fleet = DetourFleet(30)

    async def play() -> None:
        for instance in fleet.instances[:10]:
            instance.is_cut = True
        await trio.sleep(3.0)
        for instance in fleet.instances[10:20]:
            instance.is_down = True

    await fleet.run(9.0, PER_SECOND, play)
    counted = [r for r in fleet.results if r.instance < 10 and r.sent_at > 6.0]
    assert measure(counted) >= 0.95
