"""The interface between a coordinator and an instance that asks it."""

from __future__ import annotations

__all__ = ["Coordinators", "Deliver", "Session"]

from collections.abc import Callable
from typing import Protocol

from ashpond.clients.peer import PeerStream, PlacementAnswer, PlacementQuery

# Takes the answers of a session, in order; it must not block.
Deliver = Callable[[PlacementAnswer], None]


class Session(Protocol):
    """One instance's connection to the coordinator of one shard.

    Grants of a closed session end.
    """

    def submit(self, query: PlacementQuery) -> None:
        """Handle a query; the answers are delivered, some of them later.

        :raises FrameError: if a field of the query is not valid.
        """

    def close(self) -> None:
        """End the session and its grants."""


class Coordinators(Protocol):
    """The shards that this instance coordinates, for itself and for its peers."""

    def open_session(
        self, sender: str, service: str, shard: str, deliver: Deliver
    ) -> Session:
        """Begin to coordinate a shard for one incarnation of an instance."""

    async def serve(self, first: PlacementQuery, stream: PeerStream) -> None:
        """Serve a peer that has connected, beginning with its first query.

        :raises FrameError: if the peer sends an invalid message.
        """
