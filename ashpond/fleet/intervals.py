"""How often news are told, and how soon lost connections between instances return."""

from __future__ import annotations

__all__ = [
    "GROUP_LAG_SECONDS",
    "GROUP_UPDATE_SECONDS",
    "HEARTBEAT_SECONDS",
    "RECONNECT_LIMIT_SECONDS",
    "RECONNECT_SECONDS",
    "UPDATE_SECONDS",
    "choose_update_interval",
]

# Loads are told at most so often in a flat fleet, and at least so often (seconds).
UPDATE_SECONDS = 0.08
HEARTBEAT_SECONDS = 0.6
# In groups each of the three steps between two instances takes up to this (seconds).
GROUP_UPDATE_SECONDS = 0.12
# From one instance over two hubs to another: three steps, on machines that are busy.
GROUP_LAG_SECONDS = 1.2
# Instances that restart together reach one another some 0.1 s later.
RECONNECT_SECONDS = 0.15
RECONNECT_LIMIT_SECONDS = 2.4


def choose_update_interval(group: str) -> float:
    """Return the time between two turns of news (seconds).

    :param group: the instance's group, empty in a flat fleet.
    """
    return GROUP_UPDATE_SECONDS if group else UPDATE_SECONDS
