"""Periodic removal of expired state from the memory of an instance."""

from __future__ import annotations

__all__ = ["run_cleanup"]

from typing import TYPE_CHECKING

import trio

if TYPE_CHECKING:
    from ashpond.gateway.application import Gateway

# Interval at which expired servers are removed (seconds).
EXPIRY_SECONDS = 0.5
# Cache entries expire by their own times, so this interval only affects memory use
# (seconds).
MEMORY_CLEANUP_SECONDS = 2.0


async def run_cleanup(gateway: Gateway) -> None:
    """Remove expired state, and the servers whose entries have expired."""
    cleaned_at = trio.current_time()
    while True:
        await trio.sleep(EXPIRY_SECONDS)
        now = trio.current_time()
        if now - cleaned_at >= MEMORY_CLEANUP_SECONDS:
            cleaned_at = now
            gateway.cache_index.expire(now)
            gateway.cache_stores.expire(now)
            gateway.quarantine.expire()
            gateway.software.expire()
            gateway.members.expire()
            gateway.crash_detector.note_server_counts()
        for expired_state in gateway.table.expire(now):
            gateway.server_updates.on_entry_gone(expired_state)
            gateway.log.note("server_expired", server=expired_state.info.id)
