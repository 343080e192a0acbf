"""Free what an instance knows and does not need any more."""

from __future__ import annotations

__all__ = ["keep_house"]

from typing import TYPE_CHECKING

import trio

if TYPE_CHECKING:
    from ashpond.gateway.application import Gateway

HOUSEKEEPING_SECONDS = 0.5
# What engines were heard to hold ages by itself; only its memory is freed so often
# (seconds).
SWEEP_SECONDS = 2.0


async def keep_house(gateway: Gateway) -> None:
    """Forget what has expired, until cancelled."""
    swept_at = trio.current_time()
    while True:
        await trio.sleep(HOUSEKEEPING_SECONDS)
        now = trio.current_time()
        if now - swept_at >= SWEEP_SECONDS:
            swept_at = now
            gateway.holdings.expire(now)
            gateway.stores.expire(now)
            gateway.quarantine.expire()
            gateway.members.expire()
            gateway.ends.note_server_counts()
        for gone in gateway.table.expire(now):
            gateway.servers.on_entry_gone(gone)
            gateway.log.note("server_expired", server=gone.info.id)
