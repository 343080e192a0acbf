"""Which requests are suspected of ending servers, and what becomes of them."""

from __future__ import annotations

import random

import msgspec
import orjson
import pytest
import trio
import trio.testing
from hypothesis import given, strategies as st

from ashpond.clients.peer import ServerEndNews
from ashpond.controllers.crashdetection import LostRequest
from ashpond.controllers.directory import ServerState, ServerTable
from ashpond.controllers.quarantine import (
    MAX_SINGLES,
    SINGLES_SECONDS,
    Quarantine,
    Turn,
)
from ashpond.controllers.quarantinerows import QUARANTINE_TABLE, decode_row, encode_row
from ashpond.decisions.knowledge import Knowledge
from ashpond.decisions.loads import Load
from ashpond.decisions.quarantine import (
    ANSWERED_SECONDS,
    CLOCK_ERROR_SECONDS,
    CONTESTED_CRASHES,
    MAX_CRASHES,
    MAX_REQUESTS,
    QUARANTINE_CRASHES,
    SETTLING_SECONDS,
    CrashRecords,
    QuarantineState,
    ServerCrash,
)
from ashpond.errors import FrameError
from ashpond.gateway.decisionlog import DecisionLog
from ashpond.gateway.store import InvalidRow, Row
from ashpond.news.items import decode_ends
from ashpond.standins.tables import MemoryStore
from ashpond_platform.store import parse_era
from tests.damage import damage
from tests.gateway_builders import (
    FINGERPRINT,
    QUARANTINE_SECONDS,
    make_end,
    make_quarantine,
    make_server,
    make_table,
)
from tests.scripted import BROKEN, RESUMABLE, Answer, run_call

GAP = 0.5
# The last of some ends, and when their case has settled.
LAST = 1000.0
NOW = LAST + SETTLING_SECONDS


def make_ends(count: int = QUARANTINE_CRASHES, **changes: object) -> list[ServerCrash]:
    """Return ends of different servers one after the other, the last one now."""
    return [make_end(f"s{n}", LAST - n * GAP, **changes) for n in range(count)]


def make_settled_ends() -> list[ServerCrash]:
    """Return the same of some time ago."""
    return [
        end._replace(sent_at=end.sent_at - 9.0, crashed_at=end.crashed_at - 9.0)
        for end in make_ends()
    ]


def make_suspicions(*ends: ServerCrash) -> CrashRecords:
    suspicions = CrashRecords(QUARANTINE_SECONDS)
    for end in ends:
        suspicions.note(end, NOW)
    return suspicions


def test_three_ends_make_a_quarantine() -> None:
    standings = [
        make_suspicions(*make_ends(count)).classify(FINGERPRINT, NOW)
        for count in range(4)
    ]
    assert standings == [
        QuarantineState.FREE,
        QuarantineState.SUSPECTED,
        QuarantineState.SUSPECTED,
        QuarantineState.QUARANTINED,
    ]
    assert make_suspicions().classify(None, 0.0) is QuarantineState.FREE


def test_an_end_counts_once_however_often_it_is_told() -> None:
    suspicions = make_suspicions()
    for later in range(20):
        suspicions.note(make_end("s1"), NOW + later)
    assert suspicions.count_successive(FINGERPRINT, NOW) == 1


def test_who_knows_no_start_tells_of_the_same_end() -> None:
    first = make_end("s1", LAST - GAP, started_ms=None)
    suspicions = make_suspicions(first, make_end("s1"))
    assert suspicions.count_successive(FINGERPRINT, NOW) == 1
    assert suspicions.list_servers(FINGERPRINT, NOW) == ["s1"]


def test_starts_of_one_server_count_each() -> None:
    ends = [make_end("s1", LAST - n * GAP, started_ms=1000 + n) for n in range(3)]
    suspicions = make_suspicions(*ends)
    assert suspicions.classify(FINGERPRINT, NOW) is QuarantineState.QUARANTINED


def test_servers_that_end_together_were_ended_by_something_else() -> None:
    # Seen by instances whose clocks differ, some on connections that were idle then.
    ends = [make_end(f"s{n}", LAST + n * CLOCK_ERROR_SECONDS / 18) for n in range(18)]
    ends += [e._replace(server_id=f"idle {e.server_id}", sent_at=LAST) for e in ends]
    suspicions = make_suspicions(*ends)
    assert suspicions.classify(FINGERPRINT, NOW) is QuarantineState.SUSPECTED


def test_servers_that_end_one_after_the_other_count_however_fast() -> None:
    ends = [make_end(f"s{n}", LAST - n * 0.1) for n in range(3)]
    suspicions = make_suspicions(*ends)
    assert suspicions.classify(FINGERPRINT, NOW) is QuarantineState.QUARANTINED


def test_copies_that_were_sent_before_the_first_end_count_once() -> None:
    ends = [make_end(f"s{n}", LAST - n, sent_at=LAST - 9.0) for n in range(5)]
    suspicions = make_suspicions(*ends)
    assert suspicions.classify(FINGERPRINT, NOW) is QuarantineState.SUSPECTED


def test_what_is_answered_is_cleared_and_stays_so() -> None:
    suspicions = make_suspicions(*make_ends())
    cleared = suspicions.note_answered(FINGERPRINT, NOW)
    assert [end.is_cleared for end in cleared] == [True] * QUARANTINE_CRASHES
    assert not any(suspicions.note(end, 1001.0) for end in make_ends())
    assert suspicions.classify(FINGERPRINT, 1001.0) is QuarantineState.FREE
    other = make_suspicions(*make_ends())
    for end in cleared:
        assert other.note(end, NOW)
    assert other.classify(FINGERPRINT, NOW) is QuarantineState.FREE


def test_an_end_is_forgotten_however_often_it_is_told() -> None:
    suspicions = make_suspicions(*make_ends())
    for passed in range(0, 700, 50):
        for end in suspicions.list_most_suspect(NOW + passed):
            suspicions.note(end, NOW + passed)
    now = NOW + QUARANTINE_SECONDS
    assert suspicions.classify(FINGERPRINT, now) is QuarantineState.FREE
    assert not suspicions.note(make_end(), now)
    assert suspicions.list_fingerprints() == {FINGERPRINT}
    suspicions.expire(now)
    assert not suspicions.list_fingerprints()


def test_an_end_of_a_clock_that_was_set_anew_does_not_stay_for_ever() -> None:
    suspicions = make_suspicions(*make_ends())
    assert suspicions.classify(FINGERPRINT, 10.0) is QuarantineState.FREE
    assert not suspicions.note(make_end(at=NOW * 2), NOW)


def test_a_request_may_be_tried_once_more_when_its_first_end_is_forgotten() -> None:
    suspicions = make_suspicions(*make_ends())
    now = LAST + QUARANTINE_SECONDS - GAP * 1.5
    assert suspicions.classify(FINGERPRINT, now) is QuarantineState.SUSPECTED
    suspicions.note(make_end("s9", now), now)
    assert suspicions.classify(FINGERPRINT, now) is QuarantineState.HELD
    now += SETTLING_SECONDS
    suspicions = make_suspicions()
    for end in [*make_ends(2), make_end("s9", LAST + 1)]:
        suspicions.note(end, LAST + 1)
    now = LAST + 1 + SETTLING_SECONDS
    assert suspicions.classify(FINGERPRINT, now) is QuarantineState.QUARANTINED


def test_other_bodies_push_out_nothing_that_is_quarantined() -> None:
    suspicions = make_suspicions(*make_ends())
    for number in range(MAX_REQUESTS * 3):
        suspicions.note(make_end(fingerprint=f"{number:024x}"), NOW)
    assert suspicions.classify(FINGERPRINT, NOW) is QuarantineState.QUARANTINED
    assert len(suspicions.list_fingerprints()) == MAX_REQUESTS


def test_ends_of_one_moment_push_out_no_other() -> None:
    suspicions = make_suspicions()
    for number in range(MAX_CRASHES * 2):
        suspicions.note(make_end(f"h{number}", LAST - 2 * GAP), NOW)
    suspicions.note(make_end("s1", LAST - GAP), NOW)
    suspicions.note(make_end("s2"), NOW)
    assert suspicions.classify(FINGERPRINT, NOW) is QuarantineState.QUARANTINED


ENDS = st.lists(
    st.builds(
        ServerCrash,
        st.just(FINGERPRINT),
        st.sampled_from(["a", "b", "c"]),
        st.sampled_from([None, 1, 2]),
        st.sampled_from([990.0, 999.0, 999.5]),
        st.sampled_from([999.5, 999.9, 1000.0]),
        st.booleans(),
    ),
    max_size=MAX_CRASHES,
)


@given(ends=ENDS, seed=st.integers(0, 1000))
def test_the_order_and_number_of_messages_make_no_difference(
    ends: list[ServerCrash], seed: int
) -> None:
    rng = random.Random(seed)
    doubled = ends * 2
    rng.shuffle(doubled)
    one, other = make_suspicions(*ends), make_suspicions(*doubled)
    assert one.count_successive(FINGERPRINT, NOW) == other.count_successive(
        FINGERPRINT, NOW
    )
    assert set(one.list_crashes(FINGERPRINT, NOW)) == set(
        other.list_crashes(FINGERPRINT, NOW)
    )


# What an instance does with it.


def make_lost(server_id: str, fingerprint: str = FINGERPRINT) -> LostRequest:
    now = trio.current_time()
    state = ServerState(make_server(server_id), now)
    return LostRequest(fingerprint, state.watched, now - 0.05, now)


async def end_three_servers(quarantine: Quarantine) -> None:
    for server_id in ("a", "b", "c"):
        quarantine.note_lost(make_lost(server_id))
        await trio.sleep(GAP)


class Heard:
    def __init__(self) -> None:
        self.ends: list[ServerCrash] = []
        self.quarantine = make_quarantine(tell=self.ends.extend)

    def take_names(self) -> list[str]:
        names = [end.server_id for end in self.ends]
        self.ends.clear()
        return names


async def test_an_end_is_told_once_its_call_got_no_answer(
    autojump_clock: object,
) -> None:
    heard = Heard()
    async with heard.quarantine.take_part(FINGERPRINT):
        heard.quarantine.note_lost(make_lost("a"))
        assert heard.take_names() == []
    assert heard.take_names() == ["a"]


async def test_what_the_next_server_answers_is_told_to_nobody(
    autojump_clock: object,
) -> None:
    heard = Heard()
    async with heard.quarantine.take_part(FINGERPRINT):
        heard.quarantine.note_lost(make_lost("a"))
        heard.quarantine.note_answered(FINGERPRINT)
    assert heard.take_names() == []


async def test_a_second_end_is_told_at_once(autojump_clock: object) -> None:
    heard = Heard()
    async with heard.quarantine.take_part(FINGERPRINT):
        heard.quarantine.note_lost(make_lost("a"))
        await trio.sleep(GAP)
        heard.quarantine.note_lost(make_lost("b"))
        assert sorted(heard.take_names()) == ["a", "b"]


async def test_an_end_that_is_proved_after_its_call_is_told(
    autojump_clock: object,
) -> None:
    heard = Heard()
    async with heard.quarantine.take_part(FINGERPRINT):
        pass
    heard.quarantine.note_lost(make_lost("a"))
    assert heard.take_names() == ["a"]


async def test_other_bodies_do_not_fill_the_news(autojump_clock: object) -> None:
    heard = Heard()
    for number in range(MAX_SINGLES * 10):
        heard.quarantine.note_lost(make_lost("a", f"{number:024x}"))
    assert len(heard.take_names()) == MAX_SINGLES
    await trio.sleep(SINGLES_SECONDS)
    heard.quarantine.note_lost(make_lost("b", "e" * 24))
    assert heard.take_names() == ["b"]


async def test_what_was_answered_here_a_moment_ago_is_cleared_for_all(
    autojump_clock: object,
) -> None:
    heard = Heard()
    heard.quarantine.note_answered(FINGERPRINT)
    await trio.sleep(ANSWERED_SECONDS / 2)
    heard.quarantine.take_told(make_ends(), "peer")
    assert heard.quarantine.judge(FINGERPRINT) is QuarantineState.FREE
    assert all(end.is_cleared for end in heard.ends)
    assert len(heard.ends) == QUARANTINE_CRASHES


async def test_what_was_answered_long_ago_is_not(autojump_clock: object) -> None:
    heard = Heard()
    heard.quarantine.note_answered(FINGERPRINT)
    await trio.sleep(ANSWERED_SECONDS * 1.1)
    heard.quarantine.take_told(make_ends(), "peer")
    assert heard.quarantine.judge(FINGERPRINT) is QuarantineState.QUARANTINED


async def take(quarantine: Quarantine, seconds: float, turns: list[Turn]) -> None:
    until = trio.current_time() + 1.0
    async with quarantine.take_turn(FINGERPRINT, until) as turn:
        turns.append(turn)
        await trio.sleep(seconds)


async def test_one_attempt_of_a_suspected_request_at_a_time(
    autojump_clock: object, nursery: trio.Nursery
) -> None:
    quarantine = make_quarantine()
    quarantine.take_told(make_ends(1), "peer")
    turns: list[Turn] = []
    for _ in range(3):
        nursery.start_soon(take, quarantine, 0.7, turns)
    await trio.sleep(0.1)
    assert turns == [Turn.ALONE]
    await trio.sleep(0.7)
    assert turns == [Turn.ALONE] * 2
    # The third has waited for as long as a request is held.
    await trio.sleep(0.3)
    assert turns[2] is Turn.BUSY


async def test_who_is_refused_holds_nobody_up(autojump_clock: object) -> None:
    quarantine = make_quarantine()
    quarantine.take_told(make_ends(1), "peer")
    now = trio.current_time()
    async with (
        quarantine.take_turn(FINGERPRINT, now) as first,
        quarantine.take_turn(FINGERPRINT, now) as second,
    ):
        assert (first, second) == (Turn.ALONE, Turn.BUSY)
    async with quarantine.take_turn(FINGERPRINT, now) as third:
        assert third is Turn.ALONE


async def test_a_stream_that_has_begun_waits_for_its_turn(
    autojump_clock: object, nursery: trio.Nursery
) -> None:
    quarantine = make_quarantine()
    half = Answer(200, (b"id: 1\ndata: x\n\n",), error=BROKEN, delay=0.1)
    rest = Answer(200, (b"id: 2\ndata: y\n\n",))

    async def suspect() -> None:
        await trio.sleep(0.05)
        quarantine.take_told(make_ends(1), "peer")
        async with quarantine.take_turn(FINGERPRINT, 0.0):
            await trio.sleep(0.6)
            quarantine.note_answered(FINGERPRINT)

    def learn(table: ServerTable, knowledge: Knowledge) -> None:
        nursery.start_soon(suspect)

    bench = await run_call(
        half, rest, route=RESUMABLE, quarantine=quarantine, prepare=learn
    )
    assert bench.reply.is_whole
    assert bench.reply.body.getvalue().count(b"data") == 2


async def test_all_that_wait_are_free_once_one_is_answered(
    autojump_clock: object, nursery: trio.Nursery
) -> None:
    quarantine = make_quarantine()
    quarantine.take_told(make_ends(1), "peer")
    turns: list[Turn] = []
    for _ in range(3):
        nursery.start_soon(take, quarantine, 0.5, turns)
    await trio.sleep(0.2)
    quarantine.note_answered(FINGERPRINT)
    await trio.sleep(0.01)
    assert turns == [Turn.ALONE, Turn.FREE, Turn.FREE]


async def test_those_that_wait_are_refused_with_the_third_end(
    autojump_clock: object, nursery: trio.Nursery
) -> None:
    quarantine = make_quarantine()
    quarantine.take_told(make_ends(1), "peer")
    turns: list[Turn] = []
    for _ in range(2):
        nursery.start_soon(take, quarantine, 0.5, turns)
    await trio.sleep(0.2)
    quarantine.take_told(make_settled_ends(), "peer")
    await trio.sleep(0.01)
    assert turns == [Turn.ALONE, Turn.QUARANTINED]


def make_contested(count: int) -> list[ServerCrash]:
    """Return ends of two requests that were in flight at the same ones."""
    other = make_ends(count, fingerprint="0" * 24)
    return make_ends(count) + other


def test_two_requests_at_the_same_ends_are_contested() -> None:
    suspicions = make_suspicions(*make_contested(QUARANTINE_CRASHES))
    for name in (FINGERPRINT, "0" * 24):
        assert suspicions.classify(name, LAST) is QuarantineState.HELD
        assert suspicions.classify(name, NOW) is QuarantineState.CONTESTED


def test_one_more_end_tells_two_requests_apart() -> None:
    suspicions = make_suspicions(*make_contested(QUARANTINE_CRASHES))
    suspicions.note(make_end("s9", LAST + 0.2), NOW)
    assert suspicions.classify(FINGERPRINT, NOW + 0.2) is QuarantineState.QUARANTINED
    assert suspicions.classify("0" * 24, NOW + 0.2) is QuarantineState.FREE


def test_an_answer_tells_two_requests_apart() -> None:
    suspicions = make_suspicions(*make_contested(QUARANTINE_CRASHES))
    suspicions.note_answered("0" * 24, NOW)
    assert suspicions.classify(FINGERPRINT, NOW) is QuarantineState.QUARANTINED
    assert suspicions.classify("0" * 24, NOW) is QuarantineState.FREE


def test_what_cannot_be_told_apart_is_quarantined_in_the_end() -> None:
    suspicions = make_suspicions(*make_contested(CONTESTED_CRASHES))
    assert suspicions.classify(FINGERPRINT, NOW) is QuarantineState.QUARANTINED


async def test_one_instance_alone_tries_a_contested_request(
    autojump_clock: object,
) -> None:
    names = [f"i{number}" for number in range(6)]
    turns = []
    for name in names:
        quarantine = make_quarantine(DecisionLog(name), list_instances=lambda: names)
        contested = make_contested(QUARANTINE_CRASHES)
        quarantine.take_told(
            [
                e._replace(sent_at=e.sent_at - 9, crashed_at=e.crashed_at - 9)
                for e in contested
            ],
            "peer",
        )
        async with quarantine.take_turn(FINGERPRINT, trio.current_time()) as turn:
            turns.append(turn)
    assert sorted(turns, key=str) == [Turn.ALONE] + [Turn.BUSY] * 5


async def test_an_operator_lets_a_request_be_sent_again(
    autojump_clock: object,
) -> None:
    heard = Heard()
    heard.quarantine.take_told(make_ends(), "peer")
    assert heard.quarantine.clear(FINGERPRINT)
    assert heard.quarantine.judge(FINGERPRINT) is QuarantineState.FREE
    assert [end.is_cleared for end in heard.ends] == [True] * QUARANTINE_CRASHES
    assert not heard.quarantine.clear(FINGERPRINT)


DAMAGED_END = b'{"ends":[{"server":"","born":1,"sent_at":1.0,"ended_at":1.0}]}'


async def test_the_store_keeps_it_when_all_instances_have_ended(
    autojump_clock: object,
) -> None:
    store = MemoryStore()
    async with trio.open_nursery() as nursery:
        quarantine = make_quarantine(store=store)
        nursery.start_soon(quarantine.run)
        await end_three_servers(quarantine)
        nursery.cancel_scope.cancel()
    assert [key for table, key in store.rows if table == QUARANTINE_TABLE]
    async with trio.open_nursery() as nursery:
        heard = Heard()
        other = make_quarantine(store=store, tell=heard.ends.extend)
        nursery.start_soon(other.run)
        await trio.sleep(3.0)
        assert other.judge(FINGERPRINT) is QuarantineState.QUARANTINED
        # Those that do not ask the store are told.
        assert sorted(heard.take_names()) == ["a", "b", "c"]
        other.clear(FINGERPRINT)
        await trio.sleep(0.1)
        nursery.cancel_scope.cancel()
    assert not [key for table, key in store.rows if table == QUARANTINE_TABLE]


@pytest.mark.parametrize("value", [b"", b"[]", b"{}", DAMAGED_END, b"\xff"])
async def test_a_damaged_row_is_passed_over(
    value: bytes, autojump_clock: object, nursery: trio.Nursery
) -> None:
    store = MemoryStore()
    store.put(QUARANTINE_TABLE, "0" * 24, value)
    good = encode_row(FINGERPRINT, make_ends())
    store.put(QUARANTINE_TABLE, FINGERPRINT, good.value)
    store.put(QUARANTINE_TABLE, "no fingerprint", good.value)
    quarantine = make_quarantine(store=store)
    nursery.start_soon(quarantine.run)
    await trio.sleep(3.0)
    assert quarantine.suspicions.list_fingerprints() == {FINGERPRINT}


async def test_a_row_that_counts_no_more_is_removed(
    autojump_clock: object, nursery: trio.Nursery
) -> None:
    store = MemoryStore()
    store.clock_offset = 10 * QUARANTINE_SECONDS
    store.put(QUARANTINE_TABLE, FINGERPRINT, encode_row(FINGERPRINT, make_ends()).value)
    nursery.start_soon(make_quarantine(store=store).run)
    await trio.sleep(3.0)
    assert not [key for table, key in store.rows if table == QUARANTINE_TABLE]


# What becomes of a call.


async def test_a_quarantined_request_is_refused_at_once_for_good(
    autojump_clock: object,
) -> None:
    quarantine = make_quarantine()
    quarantine.take_told(make_settled_ends(), "peer")
    begun_at = trio.current_time()
    bench = await run_call(Answer(), quarantine=quarantine)
    assert bench.reply.status == 400
    assert bench.reply.get(b"retry-after") is None
    assert not bench.pool.requests
    assert trio.current_time() == begun_at


async def test_a_request_whose_case_has_not_settled_may_come_again(
    autojump_clock: object,
) -> None:
    quarantine = make_quarantine()
    quarantine.take_told(make_ends(), "peer")
    bench = await run_call(Answer(), quarantine=quarantine)
    assert bench.reply.status == 503
    assert bench.reply.get(b"retry-after") is not None
    assert not bench.pool.requests


async def test_another_request_is_served_beside_it(autojump_clock: object) -> None:
    quarantine = make_quarantine()
    quarantine.take_told(make_ends(fingerprint="0" * 24), "peer")
    bench = await run_call(Answer(), quarantine=quarantine)
    assert bench.reply.status == 200


async def test_a_suspected_request_has_one_attempt(autojump_clock: object) -> None:
    quarantine = make_quarantine()
    quarantine.take_told(make_ends(1), "peer")
    bench = await run_call(BROKEN, Answer(), quarantine=quarantine)
    assert len(bench.pool.requests) == 1
    assert bench.reply.status == 502


async def test_a_suspected_request_goes_elsewhere_if_it_has_not_run(
    autojump_clock: object,
) -> None:
    quarantine = make_quarantine()
    quarantine.take_told(make_ends(1), "peer")
    refused = Answer(503, (), ((b"x-not-executed", b"1"),))
    bench = await run_call(refused, Answer(), quarantine=quarantine)
    assert bench.reply.status == 200
    assert quarantine.judge(FINGERPRINT) is QuarantineState.FREE


async def test_a_suspected_request_goes_where_it_does_least_harm(
    autojump_clock: object,
) -> None:
    quarantine = make_quarantine()
    quarantine.take_told(make_ends(1), "peer")
    # The idlest one is cold and in another failure domain: slower, if anything.
    table = make_table(
        make_server("a"), make_server("b", failure_domain="south", cold_seconds=60.0)
    )

    def load(table: ServerTable, knowledge: Knowledge) -> None:
        table.note_peer_loads("peer", {"a": Load(1)}, trio.current_time())

    bench = await run_call(Answer(), quarantine=quarantine, table=table, prepare=load)
    assert [server for server, _ in bench.pool.requests] == ["b"]
    plain = await run_call(Answer(), table=table, prepare=load)
    assert [server for server, _ in plain.pool.requests] == ["a"]


async def test_a_stream_is_broken_off_once_it_is_known_to_end_servers(
    autojump_clock: object,
) -> None:
    quarantine = make_quarantine()
    half = Answer(200, (b"id: 1\ndata: x\n\n",), error=BROKEN)

    def learn(table: ServerTable, knowledge: Knowledge) -> None:
        async def tell() -> None:
            await trio.sleep(0.05)
            quarantine.take_told(make_settled_ends(), "peer")

        nursery.start_soon(tell)

    async with trio.open_nursery() as nursery:
        bench = await run_call(
            half._replace(delay=0.1),
            Answer(),
            route=RESUMABLE,
            quarantine=quarantine,
            prepare=learn,
        )
    assert bench.reply.is_aborted
    assert len(bench.pool.requests) == 1


# What comes from outside: rows of the store, and news of other instances.


@given(
    st.binary(max_size=80) | damage(orjson.loads(encode_row("f", make_ends()).value))
)
def test_no_row_raises_or_is_used_in_part(value: bytes) -> None:
    found = decode_row(Row(QUARANTINE_TABLE, FINGERPRINT, value, 1))
    if isinstance(found, InvalidRow):
        return
    for end in found:
        assert msgspec.convert(tuple(end), ServerCrash) == end


@given(
    st.lists(
        st.lists(st.none() | st.booleans() | st.integers() | st.text(), max_size=7)
    )
)
def test_no_news_of_ends_raise_anything_else_or_are_used_in_part(
    ends: list[list[object]],
) -> None:
    whole = list(make_end())
    for told in (ends, [whole, *ends], [whole[:-1]], [[*whole, 1]]):
        try:
            _, found = decode_ends(ServerEndNews("i", "own", told))
        except FrameError:
            continue
        assert [list(end) for end in found] == told


@given(st.binary(max_size=40))
def test_no_era_raises(value: bytes) -> None:
    era = parse_era([(b"store-era", value)])
    assert era is None or 0 <= era < 10**9
