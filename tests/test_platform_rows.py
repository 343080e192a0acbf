"""Tests of decoding the rows of the operator and of the backend servers."""

from __future__ import annotations

from ashpond.decisions.declared import (
    CacheStore,
    RouteKind,
    ServiceShare,
    WeightTarget,
    find_route,
)
from ashpond.gateway.store import Row
from ashpond_platform.rows import decode_operator_row, decode_server_row
from tests.row_builders import CONFIGURATION, ROUTE, SERVER, make_row


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


def test_the_longest_pause_of_a_stream_is_read() -> None:
    """Without it a coordinator bounds no reading, and streams pause too long."""
    for fields, expected in (({"gap_aim_ms": 500}, 0.5), ({}, 0.0)):
        configuration = CONFIGURATION | {"routes": [ROUTE | fields]}
        found = decode_operator_row(make_row("config", configuration))
        assert find_route(found, "a.example", "/x/y").longest_pause == expected


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


def test_a_server_in_the_state_draining_is_draining() -> None:
    row = make_row("i-1", {**SERVER, "state": "draining"})
    assert decode_server_row(row).is_draining


def test_a_removed_row_has_no_server() -> None:
    assert decode_server_row(Row("servers", "i-1", None, 9)) is None
