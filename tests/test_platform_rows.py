"""The rows of operator and servers, as the product's types."""

from __future__ import annotations

import orjson

from ashpond.gateway.declared import (
    CacheStore,
    RouteKind,
    ServiceShare,
    WeightTarget,
    find_route,
)
from ashpond.gateway.store import Row
from ashpond_platform.rows import decode_operator_row, decode_server_row

ROUTE = {
    "name": "r1",
    "host": "a.example",
    "prefix": "/x/",
    "kind": "stream",
    "timeout_ms": 4000,
    "target_latency_ms": 600,
    "priority": 1,
    "backends": [{"service": "s1", "weight": 90}, {"service": "s2", "weight": 10}],
    "max_attempts": 1,
    "anonymous": False,
    "resumable": True,
}
CONFIGURATION = {
    "version": 7,
    "routes": [ROUTE, {**ROUTE, "host": "b.example", "backends": None, "service": "s"}],
    "services": [
        {"name": "s1", "engine": {"slots": 64, "kv_capacity_tokens": 9, "models": []}},
        {"name": "kv", "kv_store_addr": "172.20.0.2:8781", "zone": "ub-south"},
        {"name": "plain", "max_conns": 110},
    ],
    "limits": {"max_header_bytes": 9000, "idle_timeout_ms": 15000},
    "tenants": [
        {"name": "t1", "api_keys": ["k1", "k2"], "priority": 1, "isolated": True},
        {"name": "t2", "api_keys": []},
    ],
}
SERVER = {
    "service": "s1",
    "address": "10.128.0.9:8080",
    "zone": "ub-north",
    "version": "v1",
    "slots": 64,
    "state": "ready",
    "cold_ms": 500,
    "models": [{"name": "m1", "version": 3, "adapters": []}],
    "seq": 4,
}


def make_row(key: str, value: object) -> Row:
    return Row("op", key, orjson.dumps(value), 1)


def test_a_configuration_is_read_whole() -> None:
    found = decode_operator_row(make_row("config", CONFIGURATION))
    route = find_route(found, "a.example", "/x/y")
    assert route.kind is RouteKind.STREAM
    assert route.shares == (ServiceShare("s1", 90), ServiceShare("s2", 10))
    assert (route.timeout, route.objective) == (4.0, 0.6)
    assert find_route(found, "b.example", "/x/y").shares == (ServiceShare("s", 1),)
    assert found.teams_by_key["k2"].is_isolated
    assert found.needs_keys
    assert found.services["s1"].engine.slots == 64
    assert found.cache_stores == (CacheStore("172.20.0.2:8781", "ub-south"),)
    assert found.limits.max_header_bytes == 9000
    assert found.limits.max_body_bytes > 0


def test_without_tenants_no_key_is_needed() -> None:
    table = {k: v for k, v in CONFIGURATION.items() if k != "tenants"}
    assert not decode_operator_row(make_row("config", table)).needs_keys


def test_a_weight_target_is_read() -> None:
    row = make_row("version/m1", {"model": "m1", "version": 2})
    assert decode_operator_row(row) == WeightTarget("m1", 2)


def test_other_rows_of_the_operator_are_ignored() -> None:
    assert decode_operator_row(make_row("new/kind", {})) is None


def test_a_server_is_read() -> None:
    server = decode_server_row(make_row("i-1", SERVER))
    assert (server.id, server.weights, server.cold_seconds) == ("i-1", {"m1": 3}, 0.5)
    assert not server.is_draining


def test_a_state_other_than_ready_means_no_new_work() -> None:
    row = make_row("i-1", {**SERVER, "state": "draining"})
    assert decode_server_row(row).is_draining


def test_a_removed_row_is_a_server_that_has_gone() -> None:
    assert decode_server_row(Row("servers", "i-1", None, 9)) is None
