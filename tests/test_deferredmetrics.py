"""Tests of metrics that are recorded before their library is imported."""

from __future__ import annotations

import os
import subprocess
import sys

from ashpond.gateway.deferredmetrics import MAX_RECORDED, Registry
from ashpond.gateway.metrics import GatewayMetrics

IMPORTS = """
import sys
import ashpond_platform.composition
assert "aioprometheus" not in sys.modules and "asyncio" not in sys.modules
"""


def record_values(metrics: GatewayMetrics) -> None:
    metrics.count_refusal("late")
    metrics.count_refusal("late")
    metrics.count_allowance("t1", 40, True)
    metrics.observe_latency("stream", 0.02)
    metrics.observe_latency("stream", 3.0)


def test_values_recorded_before_the_first_page_are_on_it():
    """Otherwise all counts from the start to the first page would be lost."""
    recorded, direct = GatewayMetrics(), GatewayMetrics()
    record_values(recorded)
    direct.render()
    record_values(direct)
    page = recorded.render()
    assert page == direct.render() == recorded.render()
    assert b'ashpond_gateway_refusals{kind="late"} 2' in page
    assert b'outcome="granted",team="t1"} 40' in page
    assert b'ashpond_gateway_seconds_bucket{kind="stream",le="0.025"} 1' in page
    assert b'ashpond_gateway_seconds_count{kind="stream"} 2' in page


def test_recorded_values_are_bounded():
    """An instance whose metrics nobody reads would otherwise record without end."""
    metrics = GatewayMetrics()
    for _ in range(MAX_RECORDED + 10):
        metrics.count_refusal("late")
    registry: Registry = metrics.registry
    assert len(registry._records) == 0
    assert b'{kind="late"} %d' % (MAX_RECORDED + 10) in metrics.render()


def test_a_start_does_not_import_asyncio():
    """A direct import of the library anywhere would undo the shorter start."""
    env = {**os.environ, "PYTHONPATH": os.pathsep.join(sys.path)}
    subprocess.run([sys.executable, "-c", IMPORTS], check=True, env=env)
