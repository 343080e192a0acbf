"""What a coordinator needs of a queue and of learned speeds, with plain defaults."""

from __future__ import annotations

__all__ = ["ConstantSpeeds", "FirstComeQueue", "Queue", "Speeds", "Ticket"]

from typing import NamedTuple, Protocol

from ashpond.decisions.selection import PREFILL_TOKENS_PER_SECOND, SLOT_COST_SECONDS

# The Retry-After of a queue without an estimate (seconds).
RETRY_SECONDS = 0.35


class Ticket(NamedTuple):
    """A request that waits for a server.

    ``session`` and ``number`` identify it, ``cost`` is in seconds of a server, times
    are on the coordinator's clock.
    """

    number: int
    session: int
    service: str
    urgency: int
    team: str
    weight: float
    cost: float
    arrived_at: float
    objective_at: float
    deadline: float
    fingerprint: str


class Queue(Protocol):
    """The order of the requests of one shard, and what it estimates for them.

    Every request that starts has been added; :meth:`note_started` precedes its
    :meth:`remove`.
    """

    def add(self, ticket: Ticket) -> None:
        """Add a request."""

    def remove(self, ticket: Ticket) -> None:
        """Remove a request; does nothing if it is not there."""

    def list_in_order(self, now: float) -> list[Ticket]:
        """Return the waiting requests, the next one to start first."""

    def note_started(self, ticket: Ticket, now: float) -> None:
        """Record that a request has got a server."""

    def forecast(self, urgency: int, team: str, now: float) -> float:
        """Return the estimated wait of a new request (seconds)."""

    def refuse(self, ticket: Ticket, now: float) -> float:
        """Return the Retry-After of a refused request (seconds); negative if none."""

    def take_promise(
        self, fingerprint: str, urgency: int, team: str, now: float
    ) -> float | None:
        """Return when a returning request first arrived, None if it does not return."""


class Speeds(Protocol):
    """The speeds of servers, learned from the requests they served."""

    def note_read(
        self, service: str, start_id: str, tokens: int, seconds: float, now: float
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


class FirstComeQueue:
    """Serves the most urgent requests first, and the earliest among equal ones.

    It estimates no waits, so it refuses no request before its deadline.
    """

    def __init__(self) -> None:
        self._tickets: dict[tuple[int, int], Ticket] = {}

    def add(self, ticket: Ticket) -> None:
        """Add a request."""
        self._tickets[ticket.session, ticket.number] = ticket

    def remove(self, ticket: Ticket) -> None:
        """Remove a request; does nothing if it is not there."""
        self._tickets.pop((ticket.session, ticket.number), None)

    def list_in_order(self, now: float) -> list[Ticket]:
        """Return the waiting requests, the next one to start first."""
        return sorted(self._tickets.values(), key=lambda t: (t.urgency, t.arrived_at))

    def note_started(self, ticket: Ticket, now: float) -> None:
        """Do nothing: no interval between starts is needed."""

    def forecast(self, urgency: int, team: str, now: float) -> float:
        """Return no wait."""
        return 0.0

    def refuse(self, ticket: Ticket, now: float) -> float:
        """Return the same Retry-After for all."""
        return RETRY_SECONDS

    def take_promise(
        self, fingerprint: str, urgency: int, team: str, now: float
    ) -> float | None:
        """Return None: nothing is promised."""
        return None


class ConstantSpeeds:
    """Takes all servers to be as fast as the constants of the selection say."""

    def note_read(
        self, service: str, start_id: str, tokens: int, seconds: float, now: float
    ) -> None:
        """Do nothing."""

    def note_run(self, service: str, start_id: str, seconds: float, now: float) -> None:
        """Do nothing."""

    def get_read_rate(self, service: str, start_id: str, now: float) -> float:
        """Return the constant rate."""
        return PREFILL_TOKENS_PER_SECOND

    def get_work_seconds(self, service: str, start_id: str, now: float) -> float:
        """Return the constant time."""
        return SLOT_COST_SECONDS

    def forget(self, start_id: str) -> None:
        """Do nothing."""
