"""The state of one call across its attempts, and the services attempts use."""

from __future__ import annotations

__all__ = [
    "Answer",
    "AttemptFailed",
    "AttemptNotRun",
    "AttemptOutcome",
    "CallConnections",
    "CallProgress",
    "Delivered",
    "DispatchContext",
    "Reservations",
    "SERVER_ERROR",
    "classify_end",
    "compute_fingerprints",
]

import random
from collections.abc import Awaitable, Callable
from contextlib import AbstractContextManager
from typing import NamedTuple, Protocol

import trio

from ashpond.clients.channels import Channel
from ashpond.clients.responseheads import Framing
from ashpond.controllers.allowancegrants import AllowanceGrant
from ashpond.controllers.budgets import ServiceBudget
from ashpond.controllers.crashdetection import CrashDetector
from ashpond.controllers.directory import ServerState, ServerTable
from ashpond.controllers.quarantine import Quarantine
from ashpond.controllers.serverdirectives import ServerDirectives
from ashpond.controllers.streamorigins import StreamOrigins
from ashpond.decisions.declared import Route, RouteKind, Team, pick_service
from ashpond.decisions.eventstream import EventSplitter
from ashpond.decisions.fingerprints import (
    Fingerprints,
    make_fingerprint,
    make_part_fingerprint,
)
from ashpond.decisions.knowledge import FindVersion, Knowledge
from ashpond.decisions.placementterms import (
    PlacementEvent,
    PlacementRefusal,
    PlacementTerms,
)
from ashpond.decisions.prompts import Prompt
from ashpond.decisions.selection import Demand
from ashpond.decisions.servicetimes import ServiceTimes
from ashpond.decisions.streamorigins import StreamOrigin
from ashpond.decisions.timeleft import choose_longest_gap
from ashpond.gateway.admission import AcceptedCall
from ashpond.gateway.calls import Codec, Headers, IncomingCall, Reply
from ashpond.gateway.decisionlog import DecisionLog
from ashpond.gateway.graceperiod import GracePeriod
from ashpond.gateway.replies import drop_connection_headers
from ashpond.gateway.serverchoice import Reservation
from ashpond.outcomes import Refusal

# Takes a request's cost from its team's allowance. The arguments are the team, tokens,
# urgency and deadline.
TakeAllowance = Callable[
    [Team | None, int | None, int, float], Awaitable[AllowanceGrant | Refusal]
]
# Returns whether a server's rate limit permits a request of an urgency now.
TakePermit = Callable[[ServerState, int], Awaitable[bool]]


class Reservations(Protocol):
    """Reserves servers for requests, alone or through coordinators."""

    @property
    def table(self) -> ServerTable:
        """The known servers."""

    async def reserve(
        self,
        demand: Demand,
        urgency: int,
        until: float,
        terms: PlacementTerms | None = None,
    ) -> Reservation | PlacementRefusal | None:
        """Reserve a server; return a refusal, or None if the time is over.

        :param until: the caller's deadline, or an earlier time to stop waiting.
        """

    def release(
        self,
        reservation: Reservation,
        event: PlacementEvent = PlacementEvent.UNUSED,
    ) -> None:
        """End a reservation."""

    def note_prompt_read(self, reservation: Reservation) -> Reservation:
        """Return the reservation without the unread tokens, once they are read."""

    def find_room_time(
        self, demand: Demand, urgency: int, team: str, now: float
    ) -> float:
        """Return when a server may have room for a new request, infinite if unknown."""


class CallConnections(Protocol):
    """The connections for calls; the methods that only record do nothing here."""

    async def acquire(
        self,
        owner: str,
        address: str,
        *,
        is_repeatable: bool,
        request_id: str | None = None,
    ) -> Channel:
        """Return an idle or a new connection to a server.

        :param request_id: the id of the request, which no two attempts carry on the
            same connection.
        :raises ChannelError: if there is none; nothing was sent.
        """

    def release(self, owner: str, channel: Channel) -> None:
        """Return a connection after a complete exchange."""

    def close_idle(self, owner: str) -> None:
        """Close the idle connections to a server."""

    def note_sent(self, owner: str, channel: Channel, silent_seconds: float) -> None:
        """Record that a request has been sent."""
        return

    def note_answered(self, channel: Channel, backoff: float | None) -> None:
        """Record that the head of an answer has arrived."""
        return

    def note_unanswered(self, owner: str, channel: Channel, sent_at: float) -> None:
        """Record that nothing has come from the server since ``sent_at``."""
        return

    def note_unused(self, channel: Channel) -> None:
        """Record that a connection has shown nothing, as its attempt has ended."""
        return


class DispatchContext(NamedTuple):
    """The services and settings that the dispatcher uses."""

    reservations: Reservations
    pool: CallConnections
    codec: Codec
    id_header: bytes
    knowledge: Knowledge
    log: DecisionLog
    get_budget: Callable[[str], ServiceBudget]
    note_cached: Callable[[ServerState, str, Prompt], None]
    compute_fingerprints: Callable[[IncomingCall, AcceptedCall], Fingerprints | None]
    crash_detector: CrashDetector
    directives: ServerDirectives
    quarantine: Quarantine
    announce_unreachable: Callable[[ServerState, float], None]
    take_allowance: TakeAllowance
    refund_allowance: Callable[[AllowanceGrant], None]
    take_permit: TakePermit
    count_refusal: Callable[[str], None]
    rng: random.Random
    origins: StreamOrigins
    # How long the requests of this instance take.
    times: ServiceTimes
    # Returns the servers of a service at which no resumable stream begins now.
    list_avoided: Callable[[str], frozenset[str]] = lambda service: frozenset()
    # Returns whether a server certainly runs the software version that its row names.
    is_version_certain: Callable[[ServerState], bool] = lambda state: (
        state.is_version_certain
    )
    # Returns the version of a model without which a server gets no requests.
    find_required_version: FindVersion = lambda model, now: 0
    # What this instance has left for its answers.
    grace: GracePeriod = GracePeriod()
    # Counts an answer that refuses a request, by what shows that it has not run.
    count_rejection: Callable[[str], None] = lambda proof: None
    # Limits a run, not counting stalls of this instance's event loop.
    move_on_after: Callable[[float], AbstractContextManager[trio.CancelScope]] = (
        trio.move_on_after
    )


def compute_fingerprints(
    secret: str, call: IncomingCall, accepted: AcceptedCall
) -> Fingerprints | None:
    """Return a request's fingerprints; None until instances share a secret."""
    if not secret:
        return None
    name = accepted.team.name if accepted.team else None
    prompt = call.envelope.prompt
    shared_parts = prompt.parts[:-1] if prompt else ()
    return Fingerprints(
        make_fingerprint(secret, name, call.host, call.method, call.target, call.body),
        tuple(
            make_part_fingerprint(secret, accepted.cache_namespace, part.id)
            for part in shared_parts
        ),
    )


# The lowest status of a server's failure.
SERVER_ERROR = 500


class AttemptNotRun(NamedTuple):
    """The attempt had no effect.

    ``is_rejected`` is whether the server answered that it did not run the request.
    """

    reason: str
    is_rejected: bool = False


class AttemptFailed(NamedTuple):
    """The request may have run; there is no complete answer."""

    reason: str


class Answer(NamedTuple):
    """A complete answer that has not been forwarded yet."""

    status: int
    headers: Headers
    body: bytes
    framing: Framing


class Delivered(NamedTuple):
    """The answer has been forwarded completely."""

    status: int


AttemptOutcome = AttemptNotRun | AttemptFailed | Answer | Delivered


def classify_end(outcome: AttemptOutcome | None, *, is_sent: bool) -> PlacementEvent:
    """Return what an attempt means for its placement; None is a cancelled attempt."""
    if isinstance(outcome, AttemptNotRun):
        is_rejected = outcome.is_rejected
        return PlacementEvent.REJECTED if is_rejected else PlacementEvent.UNUSED
    if isinstance(outcome, Delivered):
        return PlacementEvent.ANSWERED
    if isinstance(outcome, Answer) and outcome.status < SERVER_ERROR:
        return PlacementEvent.ANSWERED
    return PlacementEvent.FAILED if outcome or is_sent else PlacementEvent.UNUSED


class CallProgress:
    """One call and the state of its attempts.

    ``fingerprints`` identify the request and the parts of its prompt; they are None
    until instances share a secret.
    ``runs`` counts the attempts that may have run. ``splitter`` knows the last event
    that the client has received. ``origin`` is where its stream began, None before the
    first event.
    """

    def __init__(
        self,
        context: DispatchContext,
        call: IncomingCall,
        accepted: AcceptedCall,
        reply: Reply,
    ):
        self.request = call
        self.accepted = accepted
        self.reply = reply
        self.fingerprints = context.compute_fingerprints(call, accepted)
        self.attempts = 0
        self.runs = 0
        # Whether the last attempt ran alone, as the request may crash its server.
        self.is_suspected = False
        self.is_started = False
        self.is_finished = False
        self.is_close_delimited = False
        # When the client was sent a piece of its stream last.
        self.forwarded_at = call.received_at
        self.seconds_to_first_byte: float | None = None
        self.splitter = EventSplitter(call.envelope.resume_after)
        prompt = call.envelope.prompt
        self.demand = Demand(
            pick_service(accepted.route, context.rng),
            prompt.model if prompt else None,
            prompt,
            accepted.cache_namespace,
            is_resumable=accepted.route.is_resumable,
        )
        self.origin: StreamOrigin | None = None
        self._grace = context.grace
        self._origins = context.origins
        self._log = context.log

    @property
    def fingerprint(self) -> str | None:
        """The fingerprint of the whole request."""
        return self.fingerprints.request if self.fingerprints else None

    @property
    def route(self) -> Route:
        """The route of the call."""
        return self.accepted.route

    @property
    def deadline(self) -> float:
        """When the answer must be complete, here and for the client."""
        return min(self.accepted.deadline, self._grace.ends_at)

    @property
    def is_repeatable(self) -> bool:
        """Whether the call may run again after it may have run."""
        return self.route.is_idempotent or self.route.is_resumable

    @property
    def stream_id(self) -> str:
        """The id of the request that brought, or will bring, the first event."""
        return self.request.envelope.resumes or self.request.envelope.request_id

    def continue_at(self, origin: StreamOrigin) -> None:
        """Send the call only to servers that can continue what began at ``origin``."""
        self.origin = origin
        self.demand = self.demand._replace(service=origin.service)

    def note_event(self, version: str) -> None:
        """Record that the client is about to get events of a resumable stream.

        :param version: the software version of the server that wrote them.
        """
        if self.is_started:
            return
        if self.origin is None:
            self.origin = StreamOrigin(self.demand.service, version)
        accepted = self.accepted
        waited = trio.current_time() - self.request.received_at
        timeout = self.request.envelope.timeout
        self._origins.note_begun(
            accepted.team.name if accepted.team else "",
            self.stream_id,
            self.origin,
            self.route.timeout if timeout is None else timeout - waited,
            has_other_services=len(self.route.shares) > 1,
        )

    def find_end_of_wait(self) -> float:
        """Return until when the call can wait: its deadline, or the end of its stream.

        Clients close a stream that has begun and pauses for too long.
        """
        if not self.is_started:
            return self.deadline
        closed_at = self.forwarded_at + choose_longest_gap(self.route.longest_pause)
        return min(self.deadline, closed_at)

    def make_placement_terms(self, until: float) -> PlacementTerms:
        """Return what a coordinator is sent about the caller's needs.

        :param until: when the answer must be complete, or go on.
        """
        accepted = self.accepted
        return PlacementTerms(
            accepted.urgency,
            accepted.team.name if accepted.team else "",
            self.fingerprint or "",
            self.request.received_at,
            until,
            self._find_longest_pause(),
        )

    def _find_longest_pause(self) -> float:
        """Return the pause after which the client closes its stream, 0 without one."""
        if self.route.kind is not RouteKind.STREAM:
            return 0.0
        return choose_longest_gap(self.route.longest_pause)

    def note(self, event: str, **fields: object) -> None:
        """Log a decision on the call."""
        self._log.note(
            event,
            id=self.request.envelope.request_id,
            route=self.route.name,
            after=round(trio.current_time() - self.request.received_at, 4),
            sends=self.attempts,
            runs=self.runs,
            **fields,
        )

    async def start_reply(
        self, status: int, headers: Headers, *, is_close_delimited: bool
    ) -> None:
        """Send the status and headers to the client, unless they were sent before.

        :param is_close_delimited: as for :meth:`Reply.start`.
        """
        if self.is_started:
            return
        self.is_started = True
        self.is_close_delimited = is_close_delimited
        self.seconds_to_first_byte = trio.current_time() - self.request.received_at
        await self.reply.start(
            status,
            drop_connection_headers(headers),
            is_close_delimited=is_close_delimited,
        )
