"""Damaged rows of the store are skipped, and all other rows are applied.

The tests guard against a single incomplete entry that crashes every instance that reads
it, and crashes it again at each start, and against damaged entries that are accepted as
servers: one with "x" slots, one at the address "nowhere", one in an unknown state.
"""

from __future__ import annotations

import json

import msgspec
import orjson
import pydantic
import pytest
import trio
from hypothesis import example, given, strategies as st

from ashpond import configuration
from ashpond.bounds import MAX_NUMBER
from ashpond.controllers.directory import BackendServer
from ashpond.controllers.invalidrows import MAX_ROWS, InvalidRows
from ashpond.controllers.orderlease import LEASE_TABLE, make_lease_key
from ashpond.decisions.crashassessment import FINGERPRINT_BYTES, Fingerprint
from ashpond.decisions.declared import Declaration, WeightTarget
from ashpond.decisions.leases import Lease, LeaseRow
from ashpond.fleet.members import (
    SECRET_KEY,
    SECRET_TABLE,
    decode_member_row,
    decode_secret,
)
from ashpond.gateway.store import InvalidRow, Row
from ashpond_platform.rows import decode_operator_row, decode_server_row
from tests.damage import damage
from tests.fleet import Fleet, run_until_current
from tests.gateway_builders import (
    make_demand,
    make_prompt,
    make_reservations,
    make_server,
    make_table,
)
from tests.row_builders import (
    CONFIGURATION,
    ROUTE,
    SERVER,
    FollowedView,
    make_row,
    omit,
)

DAMAGED_SERVERS: dict[str, bytes] = {
    "not UTF-8": b"\xff\xfe\x00",
    "empty": b"",
    "cut off": orjson.dumps(SERVER)[:-9],
    "a list": b"[]",
    "a number": b"7",
    "nothing": b"null",
    "a text": b'"ready"',
    "deep": b"[" * 100_000,
    "a lone surrogate": b'{"service": "\\ud800"}',
    **{
        f"without {field}": orjson.dumps(omit(SERVER, field))
        for field in (
            "service",
            "address",
            "zone",
            "version",
            "slots",
            "state",
            "cold_ms",
            "seq",
            "models",
        )
    },
    **{
        f"{field} is {value!r}": json.dumps(SERVER | {field: value}).encode()
        for field, value in (
            ("service", ["s1"]),
            ("service", None),
            ("address", 7),
            ("address", "nowhere"),
            ("address", "10.0.0.1:99999"),
            ("address", ""),
            ("zone", 3),
            ("version", 1),
            *(
                (field, text)
                for field in ("service", "zone", "version")
                for text in ("a\r\nb", "a\0", "a\n", "\u2028", "\x85", "x" * 201)
            ),
            ("slots", "x"),
            ("slots", 0),
            ("slots", -4),
            ("slots", 2.5),
            ("slots", True),
            ("state", "asleep"),
            ("state", None),
            ("cold_ms", "500"),
            ("cold_ms", -1),
            ("seq", "4"),
            ("models", "m1"),
            ("models", [{"name": "m1"}]),
            ("models", [{"name": "m1", "version": "x"}]),
            ("models", [{"name": "m\n1", "version": 1}]),
            ("born", "yesterday"),
            ("born", 1.5),
            ("born", None),
            ("born", 2**70),
        )
    },
}
DAMAGED_CONFIGURATIONS: dict[str, bytes] = {
    "not UTF-8": b"\xff",
    "a list": b"[]",
    **{
        f"without {field}": orjson.dumps(omit(CONFIGURATION, field))
        for field in ("version", "routes", "services")
    },
    **{
        f"{field} is {value!r}": orjson.dumps(CONFIGURATION | {field: value})
        for field, value in (
            ("version", "8"),
            ("routes", {}),
            ("routes", [omit(ROUTE, "kind")]),
            ("routes", [ROUTE | {"kind": "unheard-of"}]),
            ("routes", [ROUTE | {"backends": []}]),
            ("routes", [ROUTE | {"backends": [{"service": "s", "weight": 0}]}]),
            ("services", [{"name": "kv", "kv_store_addr": "nowhere"}]),
            ("tenants", [{"name": "two words\r\n", "api_keys": ["k"]}]),
            ("tenants", [{"name": "t1", "api_keys": "k1"}]),
        )
    },
}
# The greatest age of confirmed knowledge while the store answers (seconds).
MAX_KNOWLEDGE_AGE = 2.0


@pytest.mark.parametrize("value", DAMAGED_SERVERS.values(), ids=DAMAGED_SERVERS)
def test_damaged_server_entry_is_rejected(value: bytes) -> None:
    found = decode_server_row(Row("servers", "i-1", value, 5))
    assert isinstance(found, InvalidRow)
    assert found.reason


@pytest.mark.parametrize("name", ["a\r\nb", "a\0", "a\n", "\u2028", "x" * 201])
def test_failure_domain_of_a_member_with_control_characters_is_invalid(
    name: str,
) -> None:
    value = {"address": "127.0.0.1:9", "failure_domain": name}
    assert isinstance(decode_member_row(make_row("i2", value)), InvalidRow)


@pytest.mark.parametrize("name", ["eu west", "caf\u00e9", ""])
def test_names_may_have_any_printable_characters(name: str) -> None:
    entry = SERVER | {"service": name, "zone": name, "version": name}
    assert isinstance(decode_server_row(make_row("i-1", entry)), BackendServer)


@pytest.mark.parametrize("key", ["", "two words", "line\r\nbreak", "\u20ac", "x" * 300])
def test_id_invalid_in_a_header_is_rejected(key: str) -> None:
    assert isinstance(decode_server_row(make_row(key, SERVER)), InvalidRow)


@pytest.mark.parametrize(
    "value", DAMAGED_CONFIGURATIONS.values(), ids=DAMAGED_CONFIGURATIONS
)
def test_damaged_configuration_is_rejected(value: bytes) -> None:
    assert isinstance(decode_operator_row(Row("op", "config", value, 5)), InvalidRow)


def test_unknown_fields_are_ignored() -> None:
    entry = SERVER | {"colour": ["blue"], "adapters": 3}
    assert isinstance(decode_server_row(make_row("i-1", entry)), BackendServer)


@given(damage(SERVER))
def test_no_entry_of_a_server_raises(value: bytes) -> None:
    found = decode_server_row(Row("servers", "i-1", value, 1))
    assert isinstance(found, BackendServer | InvalidRow)


@given(damage(CONFIGURATION), st.sampled_from(["config", "version/m1"]))
@example(b'{"model": "m1", "version": 0}', "version/m1")
def test_no_row_of_the_operator_raises(value: bytes, key: str) -> None:
    found = decode_operator_row(Row("op", key, value, 1))
    assert isinstance(found, Declaration | WeightTarget | InvalidRow)


@given(damage({"address": "127.0.0.1:9", "failure_domain": "d", "link_mbps": 10.0}))
def test_no_row_of_a_member_raises(value: bytes) -> None:
    decode_member_row(Row("ashpond-members", "i2", value, 1))


def test_engine_without_a_model_is_not_used() -> None:
    places = make_reservations(make_table(make_server("a", weights={})))
    assert places._try_reserve(make_demand(make_prompt()), 0.0) is None
    # A server of a plain service needs no model, whatever a client's headers request.
    plain = make_server("p", weights={}, service="plain")
    places = make_reservations(make_table(plain))
    assert places._try_reserve(make_demand(make_prompt(), "plain"), 0.0) is not None


@pytest.mark.parametrize("key", ["i-1\n", "i-1\r\n", "\n"])
def test_server_id_that_ends_in_a_line_feed_is_invalid(key: str) -> None:
    value = orjson.dumps(SERVER)
    assert isinstance(decode_server_row(Row("servers", key, value, 1)), InvalidRow)


@pytest.mark.parametrize("models", [["m1\n"], ["m1", "m2\n"]])
def test_model_that_ends_in_a_line_feed_is_invalid(models: list[str]) -> None:
    listed = [{"name": name, "version": 1} for name in models]
    value = orjson.dumps({**SERVER, "models": listed})
    assert isinstance(decode_server_row(Row("servers", "i-1", value, 1)), InvalidRow)


def test_fingerprint_that_ends_in_a_line_feed_is_invalid() -> None:
    digest = "0" * FINGERPRINT_BYTES * 2
    msgspec.convert(digest, Fingerprint)
    with pytest.raises(msgspec.ValidationError):
        msgspec.convert(f"{digest}\n", Fingerprint)


def test_names_in_declared_files_do_not_end_in_a_line_feed() -> None:
    for kind, name in ((configuration.Name, "team"), (configuration.KeyHash, "0" * 64)):
        adapter: pydantic.TypeAdapter[str] = pydantic.TypeAdapter(kind)
        assert adapter.validate_python(name) == name
        with pytest.raises(pydantic.ValidationError):
            adapter.validate_python(f"{name}\n")


async def test_damaged_entries_do_not_affect_valid_ones(autojump_clock: object) -> None:
    followed = FollowedView()
    followed.put_server("good")
    for number, value in enumerate(DAMAGED_SERVERS.values()):
        followed.store.put("servers", f"bad{number}", value)
    followed.store.put("op", "config", orjson.dumps(CONFIGURATION))
    async with trio.open_nursery() as nursery:
        followed.start(nursery)
        await trio.sleep(1.0)
        assert followed.list_usable() == ["good"]
        followed.put_server("later")
        followed.store.put("servers", "bad-later", b"{")
        await trio.sleep(1.0)
        assert followed.list_usable() == ["good", "later"]
        nursery.cancel_scope.cancel()


async def test_server_with_a_damaged_entry_gets_no_new_requests(
    autojump_clock: object,
) -> None:
    followed = FollowedView()
    followed.put_server("a")
    followed.put_server("b")
    async with trio.open_nursery() as nursery:
        followed.start(nursery)
        await trio.sleep(1.0)
        state = followed.view.table.by_id["a"]
        followed.store.put("servers", "a", b"{}")
        await trio.sleep(1.0)
        assert followed.list_usable() == ["b"]
        # The same holds when the whole table is read, as after lost history.
        followed.store.drop_history()
        await trio.sleep(8.0)
        assert followed.list_usable() == ["b"]
        followed.put_server("a", seq=5)
        await trio.sleep(1.0)
        assert followed.list_usable() == ["a", "b"]
        assert followed.view.table.is_current(state)
        nursery.cancel_scope.cancel()


async def test_damaged_configuration_leaves_the_previous_one_in_force(
    autojump_clock: object,
) -> None:
    followed = FollowedView()
    followed.store.put("op", "config", orjson.dumps(CONFIGURATION))
    async with trio.open_nursery() as nursery:
        followed.start(nursery)
        await trio.sleep(1.0)
        for value in DAMAGED_CONFIGURATIONS.values():
            followed.store.put("op", "config", value)
            await trio.sleep(0.1)
        knowledge = followed.view.knowledge
        assert knowledge.declaration is not None
        assert set(knowledge.declaration.teams_by_key) == {"k1", "k2"}
        assert knowledge.measure_age(trio.current_time()) < MAX_KNOWLEDGE_AGE
        # The next valid configuration removes a key.
        tenants = [{"name": "t1", "api_keys": ["k1"]}]
        newer = CONFIGURATION | {"version": 9, "tenants": tenants}
        followed.store.put("op", "config", orjson.dumps(newer))
        await trio.sleep(0.5)
        assert set(knowledge.declaration.teams_by_key) == {"k1"}
        nursery.cancel_scope.cancel()


async def test_each_damaged_version_is_logged_once(autojump_clock: object) -> None:
    followed = FollowedView()
    followed.store.put("servers", "a", b"{")
    async with trio.open_nursery() as nursery:
        followed.start(nursery)
        await trio.sleep(1.0)
        followed.store.drop_history()
        await trio.sleep(8.0)
        assert followed.invalid == ["servers"]
        followed.store.put("servers", "a", b"[")
        await trio.sleep(1.0)
        assert followed.invalid == ["servers", "servers"]
        assert followed.list_events().count("row_invalid") == 2
        nursery.cancel_scope.cancel()


def test_number_of_stored_invalid_rows_is_limited() -> None:
    followed = FollowedView()
    rows = InvalidRows(followed.log)
    for number in range(MAX_ROWS + 50):
        rows.note(InvalidRow("servers", f"s{number}", 1, "why"))
    assert len(rows.list_all()) == MAX_ROWS
    rows.clear("servers", f"s{MAX_ROWS}")
    assert len(rows.list_all()) == MAX_ROWS - 1


async def test_damaged_member_row_is_ignored(
    autojump_clock: object,
) -> None:
    followed = FollowedView()
    followed.store.put("ashpond-members", "i", b"\xff")
    followed.store.put("ashpond-members", "i2", b'{"address": "nowhere"}')
    followed.store.put("ashpond-members", "i3", b'{"address": "127.0.0.1:3"}')
    async with trio.open_nursery() as nursery:
        followed.start(nursery)
        await trio.sleep(1.0)
        # An instance lists itself even if its own row is damaged.
        assert sorted(followed.members.by_name) == ["i", "i3"]
        nursery.cancel_scope.cancel()


@pytest.mark.parametrize("value", [b"", b"\xff\xfe", b"short"])
async def test_damaged_secret_is_replaced(value: bytes, autojump_clock: object) -> None:
    followed = FollowedView()
    other = FollowedView()
    other.members._store = followed.store.build_port()
    followed.store.put(SECRET_TABLE, SECRET_KEY, value)
    with trio.fail_after(5.0):
        await followed.members.agree_secret()
        await other.members.agree_secret()
    assert followed.members.secret == other.members.secret


async def test_damaged_lease_is_taken_over_with_a_higher_fence(
    autojump_clock: object,
) -> None:
    fleet = Fleet(2)
    earlier = {"holder": "gone", "fence": 40, "beat": 0, "renewed_at": 0.0}
    for _ in range(50):
        # Each increase of the fence takes a write, so it never exceeds the version.
        fleet.store.put(LEASE_TABLE, make_lease_key(1), orjson.dumps(earlier))
    fleet.store.put(LEASE_TABLE, make_lease_key(1), b'{"holder": 7}')
    async with trio.open_nursery() as nursery:
        await fleet.run(nursery)
        fleet.require_version(2)
        await run_until_current(fleet, 2, 20.0)
        nursery.cancel_scope.cancel()
    assert min(sent.order.fence for sent in fleet.engines.orders) > 40


def test_unreadable_lease_is_waited_out() -> None:
    lease = Lease("i1")
    lease.on_read(LeaseRow("", 9, 0), 9, 0.0)
    assert lease.plan_write(lease.terms.takeover_wait / 2) is None
    write = lease.plan_write(lease.terms.takeover_wait + 0.1)
    assert write is not None
    assert write.row.fence == 10


@given(
    st.binary(max_size=60)
    | damage({"holder": "i1", "fence": 4, "beat": 2, "renewed_at": 3.5})
)
def test_no_row_of_the_lease_raises(value: bytes) -> None:
    fleet = Fleet(1, engines=1)
    row = Row(LEASE_TABLE, make_lease_key(1), value, 9)
    lease, renewed_at = fleet.controllers[0]._order_lease._decode_lease(row, 7.0)
    assert 0 <= lease.fence <= MAX_NUMBER
    assert 0 <= renewed_at <= MAX_NUMBER


@given(st.binary(max_size=60) | st.binary(min_size=48, max_size=48))
def test_no_row_of_the_secret_raises(value: bytes) -> None:
    found = decode_secret(Row(SECRET_TABLE, SECRET_KEY, value, 1))
    assert isinstance(found, InvalidRow) or len(found) == len(value)
