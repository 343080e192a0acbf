"""What a coordinator needs of a queue and of learned speeds."""

from __future__ import annotations

__all__ = ["Queue", "Speeds"]

from collections.abc import Iterable
from typing import Protocol

from ashpond.decisions.ticketorder import Ticket


class Queue(Protocol):
    """The order of the requests of one shard, and what it estimates for them.

    :meth:`note_started` is called for each request that gets a server, also for those
    that never waited, and removes it.
    """

    def note_servers(self, expected: float) -> None:
        """Record the server seconds a second that the usable servers should work."""

    def add(self, ticket: Ticket, now: float | None = None) -> None:
        """Let a request wait."""

    def remove(self, ticket: Ticket) -> bool:
        """Remove a request; return whether it was waiting."""

    def list_in_order(self) -> Iterable[Ticket]:
        """Return the waiting requests, the next one to start first."""

    def note_started(self, ticket: Ticket, now: float) -> None:
        """Record that a request has got a server."""

    def forecast(self, urgency: int, team: str, now: float) -> float:
        """Return the estimated wait of a new request (seconds)."""

    def forecast_wait(self, ticket: Ticket, now: float) -> float:
        """Return the estimated wait of a request that isn't waiting yet (seconds)."""

    def can_serve(self, ticket: Ticket, now: float) -> bool:
        """Return whether a request that isn't waiting yet can be served."""

    def list_hopeless(self, now: float) -> list[Ticket]:
        """Return the waiting requests that can't be served before their deadlines."""

    def compute_reserved_share(self, urgency: int, now: float) -> float:
        """Return the share of each server that a request leaves to urgent ones."""

    def refuse(self, ticket: Ticket, now: float) -> float | None:
        """Refuse a request; return its Retry-After (seconds), None if none helps."""


class Speeds(Protocol):
    """The speeds of servers, learned from the requests they served."""

    def note_read(
        self,
        service: str,
        start_id: str,
        tokens: int,
        seconds: float,
        was_queued: bool,
        now: float,
    ) -> None:
        """Record how long an engine took to read a prompt."""

    def note_run(self, service: str, start_id: str, seconds: float, now: float) -> None:
        """Record how long a plain server worked on a request."""

    def get_read_rate(self, service: str, start_id: str, now: float) -> float:
        """Return how many prompt tokens an engine reads a second."""

    def get_work_seconds(self, service: str, start_id: str, now: float) -> float:
        """Return how long a plain server works on a request."""

    def forget(self, start_id: str) -> None:
        """Remove what is known of a start that is gone."""
