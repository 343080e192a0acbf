"""Tests of the log lines and counters for ends of calls and connections."""

from __future__ import annotations

from typing import Any

import pytest

from ashpond.connections import ClosedConnection, CloseReason
from ashpond.gateway.connectionlog import ConnectionLog
from ashpond.gateway.decisionlog import DecisionLog
from ashpond.gateway.ingress import CutBy, CutCall
from ashpond.gateway.metrics import GatewayMetrics
from ashpond.loopdelay import LoopDelay, LoopWatch


def make_log() -> tuple[ConnectionLog, GatewayMetrics, list[dict[str, Any]]]:
    lines: list[dict[str, Any]] = []
    log = DecisionLog("i0")
    log.note = lambda event, **fields: lines.append({"event": event, **fields})  # type: ignore[method-assign]
    metrics = GatewayMetrics()
    watch = LoopWatch()
    return ConnectionLog(log, metrics, lambda: 3, lambda: True, watch), metrics, lines


def make_closed(by: CloseReason, *, has_call: bool = False) -> ClosedConnection:
    return ClosedConnection(by, 4, 1.5, 2.0, has_call, None)


def test_cut_call_is_counted_and_logged_with_its_cause():
    connection_log, metrics, lines = make_log()
    connection_log.note_cut(CutCall("r1", CutBy.CLIENT, 0.067, 1.99, 2.0))
    (line,) = lines
    assert line["event"] == "call_cut"
    assert (line["id"], line["by"], line["leaving"]) == ("r1", "client", True)
    assert (line["idle_before"], line["idle_limit"]) == (1.99, 2.0)
    assert b'cut_calls{cause="client"} 1' in metrics.render()


@pytest.mark.parametrize("by", [CloseReason.IDLE_LIMIT, CloseReason.SHUTDOWN])
def test_close_by_the_instance_is_logged(by):
    connection_log, metrics, lines = make_log()
    connection_log.note_closed(make_closed(by))
    (line,) = lines
    assert (line["event"], line["by"]) == ("connection_closed", by)
    assert f'closed{{cause="{by}"}} 1'.encode() in metrics.render()


def test_idle_close_by_the_client_is_counted_but_not_logged():
    connection_log, metrics, lines = make_log()
    connection_log.note_closed(make_closed(CloseReason.CLIENT))
    connection_log.note_closed(make_closed(CloseReason.CLIENT, has_call=True))
    assert [line["has_call"] for line in lines] == [True]
    assert b'closed{cause="client"} 2' in metrics.render()


def test_only_long_loop_delays_are_logged():
    connection_log, metrics, lines = make_log()
    connection_log._note_delay(LoopDelay(1.0, 0.03))
    connection_log._note_delay(LoopDelay(2.0, 0.067))
    assert [(line["event"], line["seconds"]) for line in lines] == [
        ("loop_delayed", 0.067)
    ]
    assert b"ashpond_gateway_loop_delay_seconds_count 2" in metrics.render()
