"""Faults that the bench injects while a trace is replayed."""

from __future__ import annotations

__all__ = ["FAULTS"]

from collections.abc import Callable
from typing import Any

import httpx
import trio

from tools.fleet import Fleet, Process

FAULT_AT_SECONDS = 5.0
FaultInjector = Callable[[Fleet], Any]


async def _post(process: Process | None, path: str, **body: Any) -> None:
    assert process is not None
    async with httpx.AsyncClient(trust_env=False) as client:
        await client.post(f"http://{process.address}{path}", json=body)


async def crash_engine(fleet: Fleet) -> None:
    """Restart the first engine with an empty cache and a new incarnation."""
    await trio.sleep(FAULT_AT_SECONDS)
    await _post(fleet.engines[0], "/control/crash")


async def kill_engine(fleet: Fleet) -> None:
    """Kill the first engine without restarting it."""
    await trio.sleep(FAULT_AT_SECONDS)
    fleet.kill(fleet.engines[0])


async def slow_down_engine(fleet: Fleet) -> None:
    """Slow the first engine down to a tenth of its speed."""
    await trio.sleep(FAULT_AT_SECONDS)
    await _post(fleet.engines[0], "/control/faults", slow=10.0)


async def lose_events(fleet: Fleet) -> None:
    """Drop a third of the cache events of every engine."""
    for engine in fleet.engines:
        await _post(engine, "/control/faults", lose_events=0.33)


async def delay_load_reports(fleet: Fleet) -> None:
    """Delay the load reports of every engine by 5 s."""
    for engine in fleet.engines:
        await _post(engine, "/control/faults", report_lag=5.0)


async def stop_platform(fleet: Fleet) -> None:
    """Make the platform stop answering requests."""
    await trio.sleep(FAULT_AT_SECONDS)
    await _post(fleet.platform, "/control/faults", outage=True)


FAULTS: dict[str, FaultInjector | None] = {
    "none": None,
    "crash": crash_engine,
    "kill": kill_engine,
    "slow": slow_down_engine,
    "gaps": lose_events,
    "late-reports": delay_load_reports,
    "store": stop_platform,
}
