"""One start of a backend server, and how two starts compare."""

from __future__ import annotations

__all__ = ["BackendServer", "StartOrder", "compare_starts"]

from enum import Enum, auto
from typing import NamedTuple

# Of the time of a start, so many bits tell it from others of the same server: its loads
# are named by it eight times a second, at four bytes in place of ten.
START_MASK = 0xFFFF


class BackendServer(NamedTuple):
    """One start of a backend server, as its entry tells.

    ``weights`` maps models to versions; ``cold_seconds`` is how much longer it
    stays slow after its start. A server may start again under its id: ``born`` is
    the Unix time of its start in ms, None where it does not tell.
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

    @property
    def start_id(self) -> str:
        """The name of this start in messages: the id, and a few bits of ``born``."""
        if self.started_ms is None:
            return self.id
        return f"{self.id}#{self.started_ms & START_MASK:x}"


class StartOrder(Enum):
    """Whether what is told is of the start that is known of a server."""

    SAME = auto()
    NEWER = auto()
    OLDER = auto()


def compare_starts(known: int | None, received: int | None) -> StartOrder:
    """Return which start a message is about.

    One that names none is believed to be about the start that is known: those that
    send it have heard of no other, or know a server that never tells its start.
    """
    if known is None or received is None or known == received:
        return StartOrder.SAME
    return StartOrder.NEWER if received > known else StartOrder.OLDER
