"""Runs a stand-in as a process."""

from __future__ import annotations

__all__ = ["run_standin"]

import signal
from collections.abc import Callable
from typing import Any

import trio

from ashpond.server import run_app


async def run_standin(build: Callable[[trio.Nursery], Any], address: str) -> None:
    """Serve the application that ``build`` returns until SIGINT or SIGTERM."""
    stop_requested = trio.Event()
    async with trio.open_nursery() as nursery:
        nursery.start_soon(_watch_signals, stop_requested)
        await run_app(build(nursery), address, stop_requested.wait)
        nursery.cancel_scope.cancel()


async def _watch_signals(stop_requested: trio.Event) -> None:
    with trio.open_signal_receiver(signal.SIGINT, signal.SIGTERM) as signals:
        async for _ in signals:
            stop_requested.set()
