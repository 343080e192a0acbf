"""The origins of streams are known after all instances have ended together."""

from __future__ import annotations

from collections.abc import AsyncIterator
from contextlib import asynccontextmanager

import pytest
import trio
from hypothesis import given, strategies as st

from ashpond.controllers.originrows import MAX_WRITE_RATE, ORIGINS_TABLE, SWEEP_SECONDS
from ashpond.decisions.originsegments import (
    MAX_RECORDERS,
    MAX_SEGMENT_STREAMS,
    OriginSegments,
    choose_recorder,
    find_in_row,
    is_row_expired,
    list_recorders,
)
from ashpond.decisions.streamorigins import StreamOrigin, make_stream_key
from tests.origin_fleet import OriginFleet

V1, V2 = StreamOrigin("reader", "v1"), StreamOrigin("reader", "v1.1")
WRITE_SECONDS = 0.3


@asynccontextmanager
async def open_fleet(count: int = 6) -> AsyncIterator[OriginFleet]:
    """Run instances before servers of two software versions."""
    async with trio.open_nursery() as nursery:
        fleet = OriginFleet(nursery, count)
        see_versions(fleet)
        await fleet.settle()
        yield fleet
        nursery.cancel_scope.cancel()


def see_versions(fleet: OriginFleet, *versions: str) -> None:
    for instance in fleet.by_name.values():
        instance.see_versions(*(versions or ("v1", "v1.1")))


async def restart_all(fleet: OriginFleet) -> None:
    """Kill all instances at once; none of them knows anything when it starts again."""
    numbers = range(len(fleet.by_name))
    for number in numbers:
        fleet.kill(number)
    for number in numbers:
        fleet.restart(number)
    see_versions(fleet)
    await fleet.settle()


def count_rows(fleet: OriginFleet) -> int:
    return sum(table == ORIGINS_TABLE for table, _ in fleet.store.rows)


@pytest.mark.parametrize("count", [1, 2, 6, 24])
async def test_streams_are_known_after_the_restart_of_all(
    count: int, autojump_clock: object
) -> None:
    async with open_fleet(count) as fleet:
        for n in range(60):
            fleet[n % count].begin(f"a{n}", "v1")
            fleet[n % count].begin(f"b{n}", "v1.1")
        await trio.sleep(1.5 * MAX_RECORDERS / MAX_WRITE_RATE)
        await restart_all(fleet)
        for n in range(60):
            assert await fleet[n % count].find(f"a{n}") == "v1"
            assert await fleet[(n + 1) % count].find(f"b{n}") == "v1.1"
        assert await fleet[0].find("never begun") is None


async def test_streams_are_known_after_each_of_several_restarts(
    autojump_clock: object,
) -> None:
    async with open_fleet() as fleet:
        for n in range(5):
            fleet[n].begin(f"s{n}", "v1.1", seconds=20.0)
            await trio.sleep(WRITE_SECONDS)
            await restart_all(fleet)
        assert [await fleet[n].find(f"s{n}") for n in range(5)] == ["v1.1"] * 5


async def test_a_stream_that_has_ended_is_not_found_in_the_store(
    autojump_clock: object,
) -> None:
    async with open_fleet() as fleet:
        fleet[0].begin("a", "v1", seconds=5.0)
        await trio.sleep(WRITE_SECONDS)
        await restart_all(fleet)
        assert await fleet[1].find("a") == "v1"
        await trio.sleep(10.0)
        await restart_all(fleet)
        assert await fleet[1].find("a") is None


async def test_an_id_of_two_streams_in_the_store_is_refused(
    autojump_clock: object,
) -> None:
    async with open_fleet() as fleet:
        fleet[0].begin("a", "v1")
        await trio.sleep(WRITE_SECONDS)
        await restart_all(fleet)
        fleet[0].begin("a", "v1.1")
        await trio.sleep(WRITE_SECONDS)
        await restart_all(fleet)
        assert await fleet[2].find("a") is None


async def test_streams_that_begin_while_the_store_is_away_are_written_later(
    autojump_clock: object,
) -> None:
    async with open_fleet() as fleet:
        fleet.store.is_down = True
        fleet[0].begin("a", "v1")
        await trio.sleep(2.0)
        assert await fleet[3].find("never begun") is None
        fleet.store.is_down = False
        await trio.sleep(2.0)
        await restart_all(fleet)
        assert await fleet[1].find("a") == "v1"


async def test_a_long_absence_of_the_store_ends_with_calls_that_it_takes(
    autojump_clock: object,
) -> None:
    sizes = []
    async with open_fleet(1) as fleet:
        write = fleet.store.write

        async def write_and_count(conditions, puts):
            sizes.append(len(puts))
            return await write(conditions, puts)

        fleet.store.write = write_and_count
        fleet.store.lose_answers = True
        for n in range(600):
            fleet[0].begin(f"s{n}", "v1", seconds=60.0)
            await trio.sleep(0.2)
        fleet.store.lose_answers = False
        fleet.store.rows.clear()
        await trio.sleep(5.0)
        assert max(sizes) <= 100
        await restart_all(fleet)
        found = [await fleet[0].find(f"s{n}") for n in range(540, 600)]
        assert found == ["v1"] * 60


async def test_streams_are_written_again_to_a_store_that_has_lost_them(
    autojump_clock: object,
) -> None:
    async with open_fleet() as fleet:
        copy = fleet.store.take_copy()
        fleet[0].begin("a", "v1", seconds=20.0)
        await trio.sleep(WRITE_SECONDS)
        fleet.store.restore_from(copy)
        # Each recorder notices when it writes the next time.
        for n in range(20):
            fleet[0].begin(f"s{n}", "v1")
        await trio.sleep(2.0)
        await restart_all(fleet)
        assert await fleet[1].find("a") == "v1"


async def test_nothing_is_written_while_a_service_has_one_version(
    autojump_clock: object,
) -> None:
    async with trio.open_nursery() as nursery:
        fleet = OriginFleet(nursery, 6)
        for instance in fleet.by_name.values():
            instance.see_versions("v1", is_long_known=True)
        await fleet.settle()
        fleet[0].begin("a", "v1", has_other_services=True)
        await trio.sleep(WRITE_SECONDS)
        assert count_rows(fleet) == 0
        see_versions(fleet)
        fleet[0].begin("b", "v1")
        await trio.sleep(WRITE_SECONDS)
        assert count_rows(fleet) == 1
        nursery.cancel_scope.cancel()


async def test_unreadable_rows_hide_no_others(autojump_clock: object) -> None:
    async with open_fleet() as fleet:
        fleet[0].begin("a", "v1")
        await trio.sleep(WRITE_SECONDS)
        damaged = make_stream_key("t", "a").hex().encode()
        fleet.store.put(ORIGINS_TABLE, "damaged", damaged)
        await restart_all(fleet)
        assert await fleet[1].find("a") == "v1"


async def test_rows_of_streams_that_have_ended_are_removed(
    autojump_clock: object,
) -> None:
    async with open_fleet() as fleet:
        fleet[0].begin("a", "v1")
        await trio.sleep(WRITE_SECONDS)
        await restart_all(fleet)
        assert count_rows(fleet) == 1
        for n in range(round(6 * SWEEP_SECONDS)):
            fleet[n % 6].begin(f"s{n}", "v1", seconds=2.0)
            await trio.sleep(1.0)
        # Rows of 4 s, kept for 4 s, of two recorders.
        assert count_rows(fleet) <= 8


async def test_unknown_ids_cost_few_calls_to_the_store(autojump_clock: object) -> None:
    async with open_fleet() as fleet:
        before = len(fleet.store.calls)
        for n in range(200):
            assert await fleet[0].find(f"x{n}") is None
            await trio.sleep(0.01)
        assert len(fleet.store.calls) - before <= 10


async def test_rows_that_come_late_serve_clients_that_come_back(
    autojump_clock: object,
) -> None:
    async with open_fleet() as fleet:
        fleet[0].begin("a", "v1")
        await trio.sleep(WRITE_SECONDS)
        await restart_all(fleet)
        fleet.store.answer_seconds = 1.2
        before = trio.current_time()
        assert await fleet[1].find("a") is None
        assert trio.current_time() - before <= 1.0
        await trio.sleep(0.6)
        assert await fleet[1].find("a") == "v1"


async def test_instances_write_no_more_together_than_the_store_bears(
    autojump_clock: object,
) -> None:
    async with open_fleet(24) as fleet:
        before = len(fleet.store.calls)
        for n in range(1000):
            fleet[n % 24].begin(f"s{n}", "v1")
            await trio.sleep(0.01)
        assert len(fleet.store.calls) - before <= 10 * MAX_WRITE_RATE * 1.2


async def test_an_older_write_that_arrives_late_loses_no_stream(
    autojump_clock: object,
) -> None:
    async with open_fleet(1) as fleet:
        fleet.store.lose_answers = True
        fleet[0].begin("a", "v1")
        await trio.sleep(WRITE_SECONDS)
        late = {key: row.value for key, row in fleet.store.rows.items()}
        fleet.store.lose_answers = False
        fleet[0].begin("b", "v1.1")
        await trio.sleep(2.0)
        for (table, key), value in late.items():
            fleet.store.put(table, key, value)
        await restart_all(fleet)
        assert await fleet[0].find("a") == "v1"
        assert await fleet[0].find("b") == "v1.1"


@given(
    st.lists(
        st.tuples(
            st.integers(0, 20), st.booleans(), st.floats(0, 30), st.floats(0, 30)
        ),
        max_size=600,
    ),
    st.floats(0, 80),
)
def test_segments_hold_each_stream_until_its_end(
    streams: list[tuple[int, bool, float, float]], at: float
) -> None:
    segments = OriginSegments("i.1")
    expected: dict[bytes, set[StreamOrigin]] = {}
    now = 0.0
    for number, is_first, pause, seconds in streams:
        now += pause / 100
        key, origin = make_stream_key("t", str(number)), V1 if is_first else V2
        segments.add(key, origin, now, now + seconds)
        if now + seconds > at:
            expected.setdefault(key, set()).add(origin)
    rows = [segment.encode() for segment in segments.list_unwritten(0.0)]
    assert len(rows) <= len(streams) / MAX_SEGMENT_STREAMS + now / 4 + 1
    for key, origins in expected.items():
        assert set().union(*(find_in_row(row, key, at) for row in rows)) >= origins
        assert not all(is_row_expired(row, at) for row in rows)


@given(st.integers(1, 400), st.binary(min_size=8, max_size=8))
def test_all_instances_agree_on_few_recorders(count: int, key: bytes) -> None:
    names = [f"i{n}" for n in range(count)]
    recorders = list_recorders(names)
    assert 1 <= len(recorders) <= MAX_RECORDERS
    assert set(recorders) == set(list_recorders(names[::-1]))
    assert choose_recorder(key, recorders) == choose_recorder(key, recorders[::-1])
