"""Lines and counters on how calls and connections end."""

from __future__ import annotations

from typing import Any

import pytest

from ashpond.connections import Closed, ClosedBy
from ashpond.gateway.connectionlog import ConnectionLog
from ashpond.gateway.decisionlog import DecisionLog
from ashpond.gateway.ingress import CutBy, CutCall
from ashpond.gateway.metrics import GatewayMetrics
from ashpond.loopdelay import LoopDelay


def make_log() -> tuple[ConnectionLog, GatewayMetrics, list[dict[str, Any]]]:
    lines: list[dict[str, Any]] = []
    log = DecisionLog("i0")
    log.note = lambda event, **fields: lines.append({"event": event, **fields})  # type: ignore[method-assign]
    metrics = GatewayMetrics()
    return ConnectionLog(log, metrics, lambda: 3, lambda: True), metrics, lines


def make_closed(by: ClosedBy, *, has_call: bool = False) -> Closed:
    return Closed(by, 4, 1.5, 2.0, has_call, None)


def test_a_cut_call_is_counted_and_told_with_what_tells_causes_apart():
    recorder, metrics, lines = make_log()
    recorder.note_cut(CutCall("r1", CutBy.CLIENT, 0.067, 1.99, 2.0))
    (line,) = lines
    assert line["event"] == "call_cut"
    assert (line["id"], line["by"], line["leaving"]) == ("r1", "client", True)
    assert (line["idle_before"], line["idle_limit"]) == (1.99, 2.0)
    assert b'cut_calls{cause="client"} 1' in metrics.render()


@pytest.mark.parametrize("by", [ClosedBy.IDLE_LIMIT, ClosedBy.SHUTDOWN])
def test_a_close_of_this_side_leaves_a_line(by):
    recorder, metrics, lines = make_log()
    recorder.note_closed(make_closed(by))
    (line,) = lines
    assert (line["event"], line["by"]) == ("connection_closed", by)
    assert f'closed{{cause="{by}"}} 1'.encode() in metrics.render()


def test_an_idle_end_by_the_client_is_only_counted():
    recorder, metrics, lines = make_log()
    recorder.note_closed(make_closed(ClosedBy.CLIENT))
    recorder.note_closed(make_closed(ClosedBy.CLIENT, has_call=True))
    assert [line["has_call"] for line in lines] == [True]
    assert b'closed{cause="client"} 2' in metrics.render()


def test_only_long_hold_ups_leave_a_line():
    recorder, metrics, lines = make_log()
    recorder._note_delay(LoopDelay(1.0, 0.03))
    recorder._note_delay(LoopDelay(2.0, 0.067))
    assert [(line["event"], line["seconds"]) for line in lines] == [
        ("loop_delayed", 0.067)
    ]
    assert b"ashpond_gateway_loop_delay_seconds_count 2" in metrics.render()
