"""Intervals of updates between instances, and delays of their reconnections."""

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

# Shortest interval between load updates to a peer in a flat fleet, and the longest one
# in any fleet (seconds).
UPDATE_SECONDS = 0.08
HEARTBEAT_SECONDS = 0.6
# Shortest interval in groups, and so the longest wait in each of the three steps from
# one instance over two hubs to another (seconds).
GROUP_UPDATE_SECONDS = 0.12
# Longest delay of an update over these three steps on busy machines (seconds).
GROUP_LAG_SECONDS = 1.2
# First delay before reconnecting, doubled up to the limit (seconds). Instances that
# restart together can reach one another after some 0.1 s.
RECONNECT_SECONDS = 0.15
RECONNECT_LIMIT_SECONDS = 2.4


def choose_update_interval(group: str) -> float:
    """Return the interval between two updates (seconds).

    :param group: the instance's group, empty in a flat fleet.
    """
    return GROUP_UPDATE_SECONDS if group else UPDATE_SECONDS
