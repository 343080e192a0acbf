"""Odd rows in any table end no instance and hold up no other row.

Deeply nested values, numbers too large, ports out of range, wrong types, invalid UTF-8
and huge texts, in every field, from whoever may write to the store.
"""

from __future__ import annotations

import random
from collections.abc import Callable

import orjson
import pytest
import trio

from ashpond.controllers.erarecord import ERA_KEY, ERA_TABLE, decode_era_row
from ashpond.controllers.invalidrows import InvalidRows
from ashpond.controllers.originrows import ORIGINS_TABLE
from ashpond.controllers.quarantinerows import (
    LOAD_DELAY_SECONDS,
    QUARANTINE_TABLE,
    QuarantineRows,
    decode_row,
)
from ashpond.controllers.recordedorigins import RecordedOrigins
from ashpond.controllers.versionrows import VERSIONS_TABLE
from ashpond.decisions.eras import EraState
from ashpond.decisions.fleetlinks import Member
from ashpond.decisions.quarantine import ServerCrash
from ashpond.decisions.relays import rank_relays
from ashpond.fleet.members import (
    MEMBERS_TABLE,
    SECRET_KEY,
    Registration,
    decode_member_row,
    decode_secret,
)
from ashpond.gateway.decisionlog import DecisionLog
from ashpond.gateway.store import Row
from ashpond.standins.tables import MemoryStore
from ashpond_platform.rows import (
    OPERATOR_TABLE,
    SERVERS_TABLE,
    decode_operator_row,
    decode_server_row,
)
from tests.oddvalues import make_odd_values
from tests.row_builders import CONFIGURATION, SERVER, FollowedView
from tests.test_erarecord import StartedView
from tests.test_version_rows import SERVICE, Instance, read_versions

MEMBER: dict[str, object] = {
    "address": "127.0.0.1:9",
    "failure_domain": "d",
    "link_mbps": 10.0,
    "incarnation": "x",
}
TARGET: dict[str, object] = {"model": "m1", "version": 2}
VERSIONS: dict[str, object] = {"versions": {}, "complete_since": 1.0, "era": 1}
ERA: dict[str, object] = {"era": 1, "first_started_at": 1.0}
CRASH: dict[str, object] = {"server": "s", "born": 1, "sent_at": 1.0, "ended_at": 2.0}
KEY = "b" * 24
TABLES: dict[str, tuple[dict[str, object], Callable[[Row], object], str]] = {
    "servers": (SERVER, decode_server_row, "i-1"),
    "configuration": (CONFIGURATION, decode_operator_row, "config"),
    "weights": (TARGET, decode_operator_row, "version/m1"),
    "members": (MEMBER, decode_member_row, "i2"),
    "secret": ({"a": 1}, decode_secret, SECRET_KEY),
    "era": (ERA, decode_era_row, ERA_KEY),
    "quarantine": ({"ends": [CRASH]}, decode_row, KEY),
}


@pytest.mark.parametrize("table", TABLES)
def test_no_odd_row_raises(table: str) -> None:
    good, decode, key = TABLES[table]
    for value in make_odd_values(good).values():
        decode(Row(table, key, value, 1))


def test_odd_member_does_not_break_the_choice_of_relays() -> None:
    """A link of 1e308 Mbit/s raised OverflowError for each server not reached."""
    own = Member("i1", "127.0.0.1:8", "d")
    for value in make_odd_values(MEMBER).values():
        found = decode_member_row(Row(MEMBERS_TABLE, "i2", value, 1))
        if isinstance(found, Registration):
            assert found.member.link_mbps >= 0
            rank_relays([own, found.member], own, {}, 0.0, random.Random(1))


async def test_odd_rows_of_followed_tables_hold_up_no_valid_ones(
    autojump_clock: object,
) -> None:
    followed = FollowedView()
    store = followed.store
    store.put(OPERATOR_TABLE, "config", orjson.dumps(CONFIGURATION))
    async with trio.open_nursery() as nursery:
        followed.start(nursery)
        await trio.sleep(1.0)
        for number, value in enumerate(make_odd_values(SERVER).values()):
            store.put(SERVERS_TABLE, f"odd{number}", value)
        for number, value in enumerate(make_odd_values(MEMBER).values()):
            store.put(MEMBERS_TABLE, f"odd{number}", value)
        for value in make_odd_values(CONFIGURATION).values():
            store.put(OPERATOR_TABLE, "config", value)
        for number, value in enumerate(make_odd_values(TARGET).values()):
            store.put(OPERATOR_TABLE, f"version/odd{number}", value)
        await trio.sleep(1.0)
        followed.put_server("later")
        store.put(MEMBERS_TABLE, "i3", orjson.dumps(MEMBER))
        newer = CONFIGURATION | {"version": 2**40}
        store.put(OPERATOR_TABLE, "config", orjson.dumps(newer))
        store.put(OPERATOR_TABLE, "version/m1", orjson.dumps(TARGET))
        await trio.sleep(1.0)
        assert "later" in followed.list_usable()
        assert "i3" in followed.members.by_name
        knowledge = followed.view.knowledge
        assert knowledge.declaration is not None
        assert knowledge.declaration.version == 2**40
        assert knowledge.targets["m1"] == 2
        nursery.cancel_scope.cancel()


async def test_instances_start_beside_an_odd_record_of_the_era(
    autojump_clock: object,
) -> None:
    for value in make_odd_values(ERA).values():
        store = MemoryStore()
        store.put(ERA_TABLE, ERA_KEY, value)
        started = StartedView(store)
        async with trio.open_nursery() as nursery:
            started.start(nursery)
            await trio.sleep(8.0)
            assert started.record.state is EraState.SETTLED
            nursery.cancel_scope.cancel()


async def test_odd_rows_of_software_versions_are_written_anew(
    autojump_clock: object,
) -> None:
    for value in make_odd_values(VERSIONS).values():
        store = MemoryStore()
        store.put(VERSIONS_TABLE, SERVICE, value)
        store.put(VERSIONS_TABLE, "odd", value)
        instance = Instance(store)
        instance.see("v1")
        async with trio.open_nursery() as nursery:
            nursery.start_soon(instance.run)
            await trio.sleep(3.0)
            assert instance.rows.is_listed(SERVICE, "v1")
            assert read_versions(store)["v1"] is None
            nursery.cancel_scope.cancel()


async def test_odd_rows_of_quarantined_requests_hold_up_no_valid_ones(
    autojump_clock: object,
) -> None:
    store = MemoryStore()
    values = make_odd_values({"ends": [CRASH]}) | {
        f"end {name}": b'{"ends":[' + value + b"]}"
        for name, value in make_odd_values(CRASH).items()
    }
    for number, value in enumerate(values.values()):
        store.put(QUARANTINE_TABLE, f"{number:024x}", value)
    fresh = CRASH | {"ended_at": 1e6}
    store.put(QUARANTINE_TABLE, KEY, orjson.dumps({"ends": [fresh]}))
    log = DecisionLog("i")
    rows = QuarantineRows(store.build_port(), log, InvalidRows(log), lambda: True)
    merged: list[ServerCrash] = []
    async with trio.open_nursery() as nursery:
        nursery.start_soon(rows.run, lambda: 600.0, merged.extend)
        await trio.sleep(LOAD_DELAY_SECONDS + 1.0)
        assert KEY in {crash.fingerprint for crash in merged}
        nursery.cancel_scope.cancel()


async def test_odd_rows_of_stream_origins_end_no_search(
    autojump_clock: object,
) -> None:
    store = MemoryStore()
    for number, value in enumerate(make_odd_values({"a": 1}).values()):
        store.put(ORIGINS_TABLE, f"odd{number}", value)
    log = DecisionLog("i")
    origins = RecordedOrigins(store.build_port(), log, InvalidRows(log))
    async with trio.open_nursery() as nursery:
        nursery.start_soon(origins.run)
        for _ in range(2):
            assert await origins.find(random.Random(1).randbytes(16)) is None
            await trio.sleep(1.0)
        nursery.cancel_scope.cancel()
