"""Shares of the ports of loopback, so that test processes do not pick the same."""

from __future__ import annotations

__all__ = ["choose_share"]

import re

# Test processes that run side by side have ports of their own.
MAX_WORKERS = 8


def choose_share(ports: range, worker: str) -> range:
    """Return the ports of a test process by its name, all for an unnamed one."""
    number = re.search(r"\d+$", worker)
    if number is None:
        return ports
    size = len(ports) // MAX_WORKERS
    start = ports.start + int(number[0]) % MAX_WORKERS * size
    return range(start, start + size)
