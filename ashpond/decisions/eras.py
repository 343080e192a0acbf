"""What an instance concludes from the era of the store and from missing rows."""

from __future__ import annotations

__all__ = ["EraState"]

import enum


class EraState(enum.Enum):
    """What a missing row means in the present era of the store.

    ``UNKNOWN``: the store has not answered yet. ``UNSETTLED``: the row may have been
    lost with the last restore, and not been written again. ``SETTLED`` and
    ``FIRST_START``: there is none; in the latter, no instance has served before.
    """

    UNKNOWN = "unknown"
    UNSETTLED = "unsettled"
    SETTLED = "settled"
    FIRST_START = "first start"
