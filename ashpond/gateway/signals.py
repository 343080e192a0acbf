"""Signal handling: shutdown and reload."""

from __future__ import annotations

__all__ = ["watch_signals"]

import signal
from collections.abc import Callable

import trio


async def watch_signals(leave: Callable[[], None], reload: Callable[[], None]) -> None:
    """Call ``leave`` on SIGTERM and ``reload`` on SIGHUP, until cancelled."""
    with trio.open_signal_receiver(signal.SIGTERM, signal.SIGHUP) as signals:
        async for number in signals:
            if number == signal.SIGTERM:
                leave()
            else:
                reload()
