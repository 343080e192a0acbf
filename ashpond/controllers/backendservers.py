"""The description of one start of a backend server, and the order of two starts."""

from __future__ import annotations

__all__ = ["BackendServer", "StartOrder", "compare_starts"]

from enum import Enum, auto
from typing import NamedTuple

# The low 16 bits of the start time tell the starts of a server apart. Load updates name
# a start eight times a second; this takes four bytes instead of ten.
START_MASK = 0xFFFF


class BackendServer(NamedTuple):
    """One start of a backend server, as its row in the store describes it.

    ``weights`` maps models to versions; ``cold_seconds`` is how much longer the server
    stays slow after its start. A server may restart under the same id: ``started_ms``
    is the Unix time of the start in ms, None if the server does not report it. What
    servers of different ``software_version`` write does not fit together; versions have
    no order. ``entry_sequence`` orders the writes of a start's row as the server made
    them, whenever the store performs them: one with a lower number is an earlier one,
    while equal numbers have no order. It is None if no row of this start is known.
    """

    id: str
    service: str
    address: str
    failure_domain: str
    slots: int
    is_draining: bool
    cold_seconds: float
    weights: dict[str, int]
    started_ms: int | None = None
    software_version: str = ""
    entry_sequence: int | None = None

    @property
    def start_id(self) -> str:
        """The id of this start in messages: the server's id and the low start bits."""
        if self.started_ms is None:
            return self.id
        return f"{self.id}#{self.started_ms & START_MASK:x}"


class StartOrder(Enum):
    """How the start that a message is about compares with the known start."""

    SAME = auto()
    NEWER = auto()
    OLDER = auto()


def compare_starts(known: int | None, received: int | None) -> StartOrder:
    """Return how the start in a message compares with the known one.

    A message without a start counts as one about the known start: its sender knows no
    other, or the server never reports its start.

    :param known: the known start time (Unix time in ms), None if there is none.
    :param received: the start time in the message, None if there is none.
    """
    if known is None or received is None or known == received:
        return StartOrder.SAME
    return StartOrder.NEWER if received > known else StartOrder.OLDER
