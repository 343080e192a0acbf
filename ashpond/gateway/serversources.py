"""What the choice of a server reads: servers, loads, speeds and room."""

from __future__ import annotations

__all__ = ["LoadSource", "ServerRoom", "SpeedSource"]

from typing import NamedTuple, Protocol

from ashpond.controllers.directory import ServerState
from ashpond.decisions.loads import Load


class ServerRoom(NamedTuple):
    """What may be used of a server: its slots, and the load that they have."""

    slots: int
    load: Load
    may_queue: bool = True


class LoadSource(Protocol):
    """The servers to choose among, and the load of each.

    :class:`~ashpond.controllers.directory.ServerTable` is the one of an instance that
    chooses for its own requests only.
    """

    def list_service(self, service: str) -> list[ServerState]:
        """Return all known servers of a service, sorted by id."""

    def list_usable(self, service: str, now: float) -> list[ServerState]:
        """Return the servers of a service that may get new requests now."""

    def sum_load(self, server_id: str, now: float) -> Load:
        """Return the load of a server by the requests of all instances."""


class SpeedSource(Protocol):
    """The speed of each server, and what engines read for their unfinished requests."""

    def get_read_rate(self, service: str, start_id: str, now: float) -> float:
        """Return how many prompt tokens an engine reads a second."""

    def get_work_seconds(self, service: str, start_id: str, now: float) -> float:
        """Return how long a plain server works on a request."""

    def estimate_reading(
        self, service: str, start_id: str, window: float, now: float
    ) -> float:
        """Return how long an engine will read, and has read in a window (seconds)."""
