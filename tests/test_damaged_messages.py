"""Tests of decoders with damaged reports, cache events, store answers and updates.

For any bytes, a decoder raises the one error that its caller expects or returns a valid
value, whose numbers can be added, compared and sent in messages.
"""

from __future__ import annotations

import math
from functools import partial
from typing import Any

import msgpack
import orjson
import pytest
from hypothesis import given, strategies as st

from ashpond.bounds import MAX_NUMBER
from ashpond.clients.coordinator import decode_accrued_time, decode_answer, decode_query
from ashpond.clients.peer import (
    AllowanceAnswer,
    AllowanceQuery,
    Notices,
    PeerMessage,
    PeerUpdate,
    PlacementAnswer,
    PlacementQuery,
    TableChanges,
    parse_message,
    unpack_value,
)
from ashpond.clients.placements import (
    HeldPlacement,
    decode_placement_answer,
    decode_placement_query,
    encode_placement_query,
)
from ashpond.controllers.cachestores import EVENTS_PREFIX, StoreContents
from ashpond.controllers.feeds import TableUpdate
from ashpond.decisions.declared import CacheStore
from ashpond.errors import FrameError
from ashpond.fleet.updates import (
    MAX_EXCLUDED_SECONDS,
    decode_changes,
    decode_notices,
    decode_update,
)
from ashpond.gateway.store import Row
from ashpond_platform.engines import decode_cache_events, decode_report
from ashpond_platform.store import decode_body
from tests.damage import damage, values
from tests.peer_fleet import make_update
from tests.placement_builders import make_ask

DEEP = b"[" * 100_000 + b"]" * 100_000
REPORT = {"models": [{"name": "m", "version": 1}], "busy": False, "seq": 2, "born": 5}
EVENTS = {
    "boot_epoch": 1,
    "next": 9,
    "lost": False,
    "events": [[1, "+", "s", "p", 8, "m"], "x", [2, "-", "s", "p", 8, "m"]],
}
ANSWER = {
    "rows": [{"table": "t", "key": "k", "ver": 3, "value": "YQ=="}, {"key": 1}],
    "ver": 4,
    "now_ms": 10,
    "has_more": False,
}


QUERY = [
    "allowance_ask",
    [
        "i1#1",
        1,
        0,
        False,
        [1.0, 2.0],
        [[1, 3, "desk", "tokens", 9.0, 9.0, 5, 1, 4.0]],
        [["desk", "tokens", 5]],
    ],
]
DECISIONS = ["allowance", [5.0, [[1, False, 0.5, 3.0, 1.0]]]]


def decode_message(value: Any) -> None:
    """Decode a message as the exchange does; check that its values are valid."""
    message: PeerMessage = parse_message(value)
    if isinstance(message, PeerUpdate):
        digest = decode_update(message)
        for load in digest.load.loads.values():
            assert all(abs(number) <= MAX_NUMBER for number in load)
        for counts in digest.load.attempts.values():
            assert all(abs(number) <= MAX_NUMBER for number in counts)
        notices = digest.notices
    elif isinstance(message, Notices):
        notices = decode_notices(message)[1]
    elif isinstance(message, TableChanges):
        table_update = decode_changes(message)[1]
        assert math.isfinite(table_update.store_time)
        assert 0 <= table_update.after <= MAX_NUMBER
        assert 0 <= table_update.version <= MAX_NUMBER
        return
    else:
        return
    for notice in notices:
        assert 0 <= notice.excluded_seconds <= MAX_EXCLUDED_SECONDS


def decode_or_reject(value: Any) -> None:
    try:
        decode_message(value)
    except FrameError:
        return


@given(st.binary(max_size=80) | damage(REPORT))
def test_a_report_raises_one_error_only(data: bytes) -> None:
    try:
        report = decode_report(data)
    except (ValueError, RecursionError):
        return
    assert all(0 < version <= MAX_NUMBER for version in report.weights.values())
    assert 0 <= report.accepted_orders <= MAX_NUMBER


@given(st.binary(max_size=80) | damage(EVENTS))
def test_cache_events_raise_one_error_only(data: bytes) -> None:
    try:
        events = decode_cache_events(data)
    except (ValueError, RecursionError):
        return
    assert 0 <= events.next <= MAX_NUMBER
    assert all(0 <= event.number <= MAX_NUMBER for event in events.events)


@given(st.binary(max_size=80) | damage(ANSWER), st.sampled_from([200, 410, 412, 500]))
def test_an_answer_of_the_store_raises_one_error_only(data: bytes, status: int) -> None:
    try:
        decode_body(status, data)
    except (ValueError, RecursionError):
        return


@pytest.mark.parametrize("odd", [DEEP, b"9" * 400, b"1e999", b"NaN", b'"\xff"'])
def test_odd_values_in_unknown_fields_raise_one_error_only(odd: bytes) -> None:
    for good, decode in (
        (REPORT, decode_report),
        (EVENTS, decode_cache_events),
        (ANSWER, partial(decode_body, 200)),
    ):
        data = orjson.dumps(good)[:-1] + b',"odd":' + odd + b"}"
        try:
            decode(data)
        except (ValueError, RecursionError):
            continue


@pytest.mark.parametrize("opening", [b"\x91", b"\x81\xa1a"])
@pytest.mark.parametrize("depth", [400, 100_000])
def test_deeply_nested_messages_of_peers_are_refused(
    opening: bytes, depth: int
) -> None:
    with pytest.raises(FrameError):
        parse_message(unpack_value(opening * depth + b"\xc0"))


def test_one_damaged_cache_event_does_not_drop_the_others() -> None:
    found = decode_cache_events(orjson.dumps(EVENTS))
    assert [event.number for event in found.events] == [1, 2]
    assert found.is_gap


@given(st.binary(max_size=80))
def test_any_bytes_of_a_peer_raise_one_error_only(data: bytes) -> None:
    try:
        decode_or_reject(unpack_value(data))
    except FrameError:
        return


@given(st.sampled_from(["news", "notices", "table"]), st.lists(values, max_size=7))
def test_any_fields_of_a_message_raise_one_error_only(
    kind: str, fields: list[Any]
) -> None:
    decode_or_reject([kind, fields])


@given(st.sampled_from(["loads", "notices", "cache_entries", "attempts"]), values)
def test_updates_with_one_odd_field_raise_one_error_only(
    field: str, value: Any
) -> None:
    decode_or_reject(["news", list(make_update(**{field: value}))])


@pytest.mark.parametrize(
    "changes",
    [
        {"notices": [["a", "m", 1, "soon", False, None, None, False]]},
        {"notices": [["a", "m", 1, float("nan"), False, None, None, False]]},
        {"notices": [["a", "m", 1, float("inf"), False, None, None, False]]},
        {"notices": [["a", "m", 1, -1.0, False, None, None, False]]},
        {"notices": [["a", "m", 2**63, 0.0, False, None, None, False]]},
        {"notices": [["a", "", 0, 0.0, False, None, ["fast", 0.0], False]]},
        {"notices": [["a", "", 0, 0.0, False, None, [-1.0, 0.0], False]]},
        {"notices": [["a", "", 0, 0.0, False, None, [float("nan"), 0.0], False]]},
        {"notices": [["a", "", 0, 0.0, False, None, [float("inf"), 0.0], False]]},
        {"notices": [["a", "", 0, 0.0, False, None, [1.0, float("nan")], False]]},
        {"notices": [["a", "", 0, 0.0, False, None, [1.0, -1.0], False]]},
        {"notices": [["a", "", 0, 0.0, False, None, [1.0], False]]},
        {"notices": [["a", "", 0, 0.0, False, None, 1.0, False]]},
        {"notices": [["a", "", 0, 0.0, False, None, None, "yes"]]},
        {"notices": [["a", "", 0, 0.0, False, None, None, 2]]},
        {"loads": {"a": [2**63, 0, 0, 0]}},
        {"loads": {"a": [1, 2]}},
        {"loads": {"a": [1.5, 0, 0, 0]}},
        {"attempts": {"s": [-(2**63), 0]}},
        {"cache_entries": [["a", "salt"]]},
        {"cache_entries": [["a", "salt", "part", "soon"]]},
        {"scope": "everyone"},
    ],
)
def test_incomplete_updates_are_refused(changes: dict[str, Any]) -> None:
    """The sum of two such loads fits no message and crashed the sending instance."""
    message = unpack_value(msgpack.packb(["news", list(make_update(**changes))]))
    with pytest.raises(FrameError):
        decode_update(parse_message(message))  # type: ignore[arg-type]


@pytest.mark.parametrize(
    "changes",
    [
        {"version": 2**63},
        {"after": -1},
        {"era": -2},
        {"era": 2**63},
        {"store_time": float("nan")},
        {"rows": [["k", "text", 1]]},
        {"rows": [["k", b"v", 2**63]]},
        {"rows": [["k", b"v"]]},
    ],
)
def test_incomplete_table_changes_are_refused(changes: dict[str, Any]) -> None:
    """A version that no store reaches would have all later changes ignored."""
    whole = TableChanges("i", "own", "t", 0, 1, 0.0, [["k", b"v", 1]], 1, False)
    with pytest.raises(FrameError):
        decode_changes(whole._replace(**changes))


@given(
    st.text(max_size=12),
    st.lists(
        st.tuples(st.text(max_size=9), st.none() | st.binary(), st.integers(0, 9))
    ),
)
async def test_any_cache_events_of_a_peer_are_applied_or_ignored(
    epoch: str, rows: list[tuple[str, bytes | None, int]]
) -> None:
    contents = StoreContents(CacheStore("127.0.0.1:9", "d"), lambda: False)
    table = f"{EVENTS_PREFIX}127.0.0.1:9 {epoch}"
    rows_of_peer = tuple(
        Row(table, key, value, version) for key, value, version in rows
    )
    contents.apply_update(TableUpdate(table, 0, 9, 0.0, rows_of_peer))


def decode_allowance(value: Any) -> None:
    """Decode a query or an answer; check that times and amounts can be added."""
    message = parse_message(value)
    if isinstance(message, AllowanceQuery):
        requests, returned = decode_query(message)
        accrued = decode_accrued_time(message)
        numbers = [number for span in (accrued,) if span for number in span]
        numbers += [n for r in requests for n in (r.rate, r.burst, r.cost, r.timeout)]
        numbers += [entry.cost for entry in returned]
    elif isinstance(message, AllowanceAnswer):
        decisions = decode_answer(message)
        numbers = [message.now]
        numbers += [n for v in decisions for n in (v.left, v.share, v.retry_after or 0)]
    else:
        return
    assert all(abs(number) <= MAX_NUMBER for number in numbers)


@given(
    good=st.sampled_from([QUERY, DECISIONS]),
    field=st.integers(0, 6),
    bad=values | st.lists(st.lists(values, max_size=9), max_size=2),
)
def test_damaged_allowance_messages_are_refused(
    good: list[Any], field: int, bad: Any
) -> None:
    kind, fields = good
    changed = list(fields)
    changed[field % len(fields)] = bad
    value = unpack_value(msgpack.packb([kind, changed], default=str))
    try:
        decode_allowance(value)
    except FrameError:
        return


@pytest.mark.parametrize("number", [math.nan, math.inf, -math.inf])
def test_allowance_times_that_are_not_finite_are_refused(number: float) -> None:
    for value in (
        ["allowance_ask", ["i1#1", 1, 0, False, [number, 2.0], [], []]],
        ["allowance_ask", ["i1#1", 1, 0, False, [1.0, number], [], []]],
        ["allowance", [number, []]],
    ):
        with pytest.raises(FrameError):
            decode_allowance(value)


PLACEMENT_ASK = [
    "placement_ask",
    list(
        encode_placement_query(
            "i1#a",
            "reader",
            "north",
            [make_ask(parts=[("rules", 6300), ("own", 2890)])],
            [HeldPlacement(7, "e1#2a", 500, 800, 500, 1, False, 2.0)],
        )._replace(ended=[[6, 1]])
    ),
]
PLACEMENT = [
    "placement",
    [[[1, 0, "e1#2a", 3, "salt", None, 6300, 0, None, 0.0]], [[1, 0.2]]],
]


def list_numbers(value: Any) -> list[float]:
    """Return the numbers in named tuples, lists and tuples of any depth."""
    if isinstance(value, list | tuple):
        return [number for entry in value for number in list_numbers(entry)]
    return [value] if isinstance(value, int | float) else []


def decode_placement(value: Any) -> None:
    """Decode a query or an answer; check that its numbers can be added and waited."""
    message = parse_message(value)
    decoded: Any = ()
    if isinstance(message, PlacementQuery):
        decoded = decode_placement_query(message)
    elif isinstance(message, PlacementAnswer):
        decoded = decode_placement_answer(message)
    assert all(-1 <= number <= MAX_NUMBER for number in list_numbers(decoded))


@given(
    good=st.sampled_from([PLACEMENT_ASK, PLACEMENT]),
    field=st.integers(0, 5),
    entry=st.integers(0, 15),
    bad=values | st.lists(st.lists(values, max_size=3), max_size=2),
    is_whole=st.booleans(),
)
def test_damaged_placement_messages_are_refused(
    good: list[Any], field: int, entry: int, bad: Any, is_whole: bool
) -> None:
    kind, fields = good
    changed = list(fields)
    position = field % len(fields)
    if is_whole or not isinstance(changed[position], list):
        changed[position] = bad
    else:
        first = list(changed[position][0])
        first[entry % len(first)] = bad
        changed[position] = [first]
    value = unpack_value(msgpack.packb([kind, changed], default=str))
    try:
        decode_placement(value)
    except FrameError:
        return


@pytest.mark.parametrize(
    ("field", "entry", "bad"),
    [
        (3, 0, -1),
        (3, 3, 2**63),
        (3, 5, [["rules", -1]]),
        (3, 5, [["rules", 2**50], ["own", 1]]),
        (3, 5, [["rules"]]),
        (3, 9, -1),
        (3, 12, math.inf),
        (3, 13, math.nan),
        (3, 13, -0.1),
        (4, 2, 2**63),
        (4, 7, math.inf),
        (5, 1, 5),
    ],
)
def test_placement_queries_out_of_bounds_are_refused(
    field: int, entry: int, bad: Any
) -> None:
    """Loads of such numbers can't be summed; such a deadline never passes."""
    decode_placement(PLACEMENT_ASK)
    changed = list(PLACEMENT_ASK[1])
    first = list(changed[field][0])
    first[entry] = bad
    changed[field] = [first]
    with pytest.raises(FrameError):
        decode_placement(["placement_ask", changed])


@pytest.mark.parametrize("seconds", [math.nan, math.inf, -2.0])
def test_placement_answers_out_of_bounds_are_refused(seconds: float) -> None:
    """A request would wait for ever, or get a time to return in the past."""
    decode_placement(PLACEMENT)
    for value in (
        ["placement", [[[1, 1, None, None, None, None, 0, 0, None, seconds]], []]],
        ["placement", [[], [[1, seconds]]]],
    ):
        with pytest.raises(FrameError):
            decode_placement(value)


def test_a_deadline_that_has_just_passed_is_sent_as_now() -> None:
    """Else the coordinator takes the message for damaged, and ends the connection."""
    held = HeldPlacement(7, "e1", 5, 8, 5, 1, False, -0.01)
    ask = make_ask(left=-0.001, waited=-0.001)
    query = encode_placement_query("i1#a", "reader", "", [ask], [held])
    asks, found, _ = decode_placement_query(query)
    assert (asks[0].left, asks[0].waited, found[0].left) == (0.0, 0.0, 0.0)
