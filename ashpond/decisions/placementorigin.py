"""How a reservation was placed by a coordinator, for its end and for the log."""

from __future__ import annotations

__all__ = ["PlacementOrigin"]

from typing import NamedTuple


class PlacementOrigin(NamedTuple):
    """The coordinator that placed a request, and how long that took.

    ``number`` identifies the placement on this instance's link for ``service`` and
    ``shard``, 0 if no link knows it. ``coordinator`` is the name of an instance, empty
    if this instance chose the server without one; ``fallback`` is the reason then.
    ``waited`` is the time from the first ask to the grant, ``forecast`` the wait that
    the coordinator first estimated (seconds).
    """

    service: str
    shard: str
    number: int
    coordinator: str = ""
    waited: float = 0.0
    forecast: float = 0.0
    fallback: str = ""
