"""Which engines load first, and how far engines fall behind their target."""

from __future__ import annotations

import trio

from ashpond.decisions.loads import Load
from tests.fleet import Fleet, watch_lag

WEIGHTS_BOUND_SECONDS = 10.0
# The last engine should reach a target within this share of the bound.
GOAL_SHARE = 0.6
NAMING_SECONDS = 4.0


async def test_engines_with_much_load_are_not_left_behind_by_frequent_targets(
    autojump_clock: object,
) -> None:
    fleet = Fleet(2, engines=30)
    for table in fleet.tables:
        for number, state in enumerate(table.by_id.values()):
            state.load = Load(1 + number)
    longest = 0.0
    async with trio.open_nursery() as nursery:
        await fleet.run(nursery)
        for version in range(2, 8):
            fleet.require_version(version)
            longest = max(longest, await watch_lag(fleet, NAMING_SECONDS))
        nursery.cancel_scope.cancel()
    assert longest <= WEIGHTS_BOUND_SECONDS * GOAL_SHARE
