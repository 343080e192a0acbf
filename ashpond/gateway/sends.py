"""One send of a call to one backend server, and what it brought."""

from __future__ import annotations

__all__ = [
    "Answer",
    "CallProgress",
    "Delivered",
    "Failed",
    "SendOutcome",
    "Sender",
    "Tools",
    "Unrun",
]

import random
from collections.abc import Callable
from typing import NamedTuple

import trio

from ashpond.clients.channels import (
    Channel,
    ChannelError,
    ChannelPool,
    Outgoing,
    Response,
)
from ashpond.controllers.directory import (
    FULL_PAUSE_SECONDS,
    LOADING_PAUSE_SECONDS,
    ServerState,
)
from ashpond.controllers.quarantine import Quarantine
from ashpond.controllers.serverends import EndEvidence, ServerEnds
from ashpond.decisions.budget import SendBudget
from ashpond.decisions.declared import Route, RouteKind, Team, pick_service
from ashpond.decisions.eventstream import EventCutter
from ashpond.decisions.knowledge import Knowledge
from ashpond.decisions.prompts import Prompt
from ashpond.decisions.selection import Demand, describe_candidate, describe_demand
from ashpond.gateway.admission import Accepted
from ashpond.gateway.calls import (
    AnswerMarks,
    Codec,
    Headers,
    IncomingCall,
    Instructions,
    Reply,
)
from ashpond.gateway.decisionlog import DecisionLog
from ashpond.gateway.places import Place, Places
from ashpond.gateway.replies import drop_connection_headers

OK = 200
MISDIRECTED = 421
SERVER_ERROR = 500
# An idempotent request goes elsewhere after a silence of so many objectives.
SILENCE_OBJECTIVES = 1.2
LEAST_SILENCE_SECONDS = 0.1
MAX_ANSWER_BYTES = 16 << 20


class Tools(NamedTuple):
    """What the dispatcher works with."""

    places: Places
    pool: ChannelPool
    codec: Codec
    id_header: bytes
    knowledge: Knowledge
    log: DecisionLog
    get_budget: Callable[[str], SendBudget]
    count_instances: Callable[[], int]
    note_held: Callable[[ServerState, str, Prompt], None]
    identify: Callable[[IncomingCall, Team | None], str | None]
    ends: ServerEnds
    quarantine: Quarantine
    announce_unreached: Callable[[ServerState, float], None]
    rng: random.Random


class Unrun(NamedTuple):
    """A send had no effect."""

    reason: str


class Failed(NamedTuple):
    """A send may have run, and brought no whole answer."""

    reason: str


class Answer(NamedTuple):
    """A whole answer, not passed on yet."""

    status: int
    headers: Headers
    body: bytes


class Delivered(NamedTuple):
    """The answer has been passed on to its end."""

    status: int


SendOutcome = Unrun | Failed | Answer | Delivered


class CallProgress:
    """One call on its way through its sends, and what has become of it so far.

    ``fingerprint`` names the request, None until instances share a secret. ``runs``
    counts the sends that may have run; ``cutter`` knows the last event that the client
    has.
    """

    def __init__(
        self,
        tools: Tools,
        call: IncomingCall,
        accepted: Accepted,
        reply: Reply,
    ):
        self.request = call
        self.accepted = accepted
        self.reply = reply
        self.fingerprint = tools.identify(call, accepted.team)
        self.sends = 0
        self.runs = 0
        self.is_started = False
        self.is_ended = False
        self.first_after: float | None = None
        self.cutter = EventCutter(call.envelope.resume_after)
        prompt = call.envelope.prompt
        self.demand = Demand(
            pick_service(accepted.route, tools.rng),
            prompt.model if prompt else None,
            prompt,
            accepted.wall,
            is_resumable=accepted.route.is_resumable,
        )
        self._log = tools.log

    @property
    def route(self) -> Route:
        """The route of the call."""
        return self.accepted.route

    @property
    def is_repeatable(self) -> bool:
        """Whether the call may run again after it may have run."""
        return self.route.is_repeatable or self.route.is_resumable

    def note(self, event: str, **fields: object) -> None:
        """Log a decision on the call."""
        self._log.note(
            event,
            id=self.request.envelope.request_id,
            route=self.route.name,
            after=round(trio.current_time() - self.request.received_at, 4),
            sends=self.sends,
            runs=self.runs,
            **fields,
        )

    async def start_reply(self, status: int, headers: Headers) -> None:
        """Send the head to the client, unless it was sent before."""
        if not self.is_started:
            self.is_started = True
            self.first_after = trio.current_time() - self.request.received_at
            await self.reply.start(status, drop_connection_headers(headers))


class Sender:
    """Sends a call, to one server at a time."""

    def __init__(self, tools: Tools, call: CallProgress, place: Place):
        self.tools = tools
        self.call = call
        self._place = place
        self._sent_at = trio.current_time()

    async def send(self) -> SendOutcome:
        """Send the call to the server of its place, which is given back."""
        try:
            return await self._send(self._place.state)
        finally:
            self.tools.places.give_back(self._place)

    async def _send(self, state: ServerState) -> SendOutcome:
        self.call.sends += 1
        self._note_sent()
        channel: Channel | None = None
        is_whole = False
        try:
            with trio.move_on_after(self._choose_silence()) as silence:
                channel = await self.tools.pool.acquire(state.owner, state.info.address)
                if not state.is_present():
                    return Unrun("the server is leaving")
                outcome = await self._exchange(channel, silence)
                is_whole = not isinstance(outcome, Failed)
                return outcome
            return self._note_failed("silent", is_sent=channel is not None)
        except ChannelError as error:
            if error.is_refused:
                self.tools.ends.note_ended(state.watched, EndEvidence.REFUSED)
            return self._note_failed(str(error), is_sent=error.is_sent)
        finally:
            if channel is not None and is_whole:
                self.tools.pool.release(state.owner, channel)
            elif channel is not None:
                channel.close()

    async def _exchange(
        self, channel: Channel, silence: trio.CancelScope
    ) -> SendOutcome:
        """Send the request and take its answer, or pass it on if it is a stream.

        :raises ChannelError: if the answer does not come whole.
        """
        state = self._place.state
        self._sent_at = trio.current_time()
        # From here on it counts as run, also if the deadline cuts in.
        self.call.runs += 1
        response = await channel.exchange(self._build_request())
        marks = self.tools.codec.read_marks(response.headers)
        rejection = self._read_rejection(response, marks)
        if rejection is not None:
            self.call.runs -= 1
            await response.read_all(MAX_ANSWER_BYTES)
            return rejection
        model = self.call.demand.model
        if model and marks.weights_version is not None:
            state.learn_weights(model, marks.weights_version)
        if self.call.route.kind is RouteKind.STREAM and response.status == OK:
            silence.deadline = float("inf")
            return await self._relay(response)
        body = await response.read_all(MAX_ANSWER_BYTES)
        failed = response.status >= SERVER_ERROR
        state.note_answer(trio.current_time(), failed=failed)
        if not failed:
            self.tools.quarantine.note_answered(self.call.fingerprint)
        return Answer(response.status, response.headers, body)

    def _note_sent(self) -> None:
        place = self._place
        knowledge = self.tools.knowledge
        declaration = knowledge.declaration
        self.call.note(
            "sent",
            fingerprint=self.call.fingerprint,
            server=place.state.info.id,
            weights=place.weights_version,
            objective=self.call.route.objective,
            demand=describe_demand(self.call.demand),
            candidates=[describe_candidate(c) for c in place.candidates],
            held=place.held_tokens,
            fetch=place.fetch_tokens if place.fetch_from else 0,
            fetch_from=place.fetch_from,
            saves=place.save_to is not None,
            config=declaration.version if declaration else None,
            knowledge_age=round(knowledge.measure_age(trio.current_time()), 3),
        )

    def _choose_silence(self) -> float:
        if (
            not self.call.route.is_repeatable
            or self.call.runs + 1 >= self.call.route.max_attempts
        ):
            return float("inf")
        silence = self.call.route.objective * SILENCE_OBJECTIVES
        return max(LEAST_SILENCE_SECONDS, silence)

    def _note_failed(self, reason: str, *, is_sent: bool) -> Unrun | Failed:
        state = self._place.state
        self.call.note(
            "send_failed", server=state.info.id, reason=reason, is_sent=is_sent
        )
        if not is_sent:
            pause = state.note_unreached(trio.current_time())
            self.tools.announce_unreached(state, pause)
            self.tools.pool.forget(state.owner)
            return Unrun(reason)
        state.note_answer(trio.current_time(), failed=True)
        self._note_broken(state)
        return Failed(reason)

    def _note_broken(self, state: ServerState) -> None:
        fingerprint = self.call.fingerprint
        self.tools.ends.note_broken(state.watched, fingerprint, self._sent_at)

    def _build_request(self) -> Outgoing:
        call = self.call.request
        place = self._place
        accepted = self.call.accepted
        instructions = Instructions(
            server_id=place.state.info.id,
            team=accepted.team.name if accepted.team else None,
            time_left=accepted.deadline - trio.current_time(),
            salt=place.salt,
            weights_version=place.weights_version,
            urgency=accepted.urgency if self.call.demand.model else None,
            resume_after=self.call.cutter.last_id,
            fetch_from=place.fetch_from,
            save_to=place.save_to,
        )
        headers = self.tools.codec.write_headers(call.envelope, instructions)
        if call.body or call.method in ("POST", "PUT", "PATCH"):
            headers.append((b"Content-Length", str(len(call.body)).encode()))
        return Outgoing(
            call.method,
            call.target,
            headers,
            call.body,
            call.envelope.request_id,
            self.tools.id_header,
        )

    def _read_rejection(self, response: Response, marks: AnswerMarks) -> Unrun | None:
        """Return what an answer says that tells of a request that has not run."""
        if not marks.is_not_run and response.status != MISDIRECTED:
            return None
        place = self._place
        state = place.state
        now = trio.current_time()
        model = self.call.demand.model or ""
        if response.status == MISDIRECTED:
            self._note_misdirected(state, marks, model, now)
        elif state.weights.get(model, 0) < self.tools.knowledge.targets.get(model, 0):
            state.close_for(LOADING_PAUSE_SECONDS, now)
        else:
            state.close_for(FULL_PAUSE_SECONDS, now)
        self.call.note(
            "not_run_there",
            server=state.info.id,
            status=response.status,
            weights=marks.weights_version,
            asked=place.weights_version,
        )
        return Unrun(f"the server answered {response.status} without running it")

    def _note_misdirected(
        self, state: ServerState, marks: AnswerMarks, model: str, now: float
    ) -> None:
        """Note that another server is at the address, or has other weights.

        An answer that does not say which mostly means that the weights wanted have
        been loaded and the news of it are still on the way.
        """
        target = self.tools.knowledge.targets.get(model, 0)
        asked = self._place.weights_version or 0
        if marks.server_id not in (None, state.info.id):
            state.misdirected = True
            self.tools.ends.note_ended(state.watched, EndEvidence.OTHER_SERVER)
        elif marks.weights_version is not None:
            state.weights[model] = marks.weights_version
        elif asked and state.weights.get(model, 0) == asked < target:
            state.weights[model] = target
        else:
            # Wrong as well: go by its entry again, after a pause.
            state.weights[model] = state.info.weights.get(model, 0)
            state.close_for(LOADING_PAUSE_SECONDS, now)

    async def _relay(self, response: Response) -> SendOutcome:
        """Pass a stream on as it arrives, in whole events where it can go on."""
        state = self._place.state
        is_first = True
        try:
            while piece := await response.read():
                if is_first:
                    self._note_read()
                    is_first = False
                data = (
                    self.call.cutter.feed(piece)
                    if self.call.route.is_resumable
                    else piece
                )
                if data:
                    await self.call.start_reply(response.status, response.headers)
                    await self.call.reply.send(data)
        except ChannelError as error:
            self.call.cutter.drop_rest()
            now = trio.current_time()
            if state.is_open(now):
                # A server that is closed may have been told to cut its streams.
                state.note_answer(now, failed=True)
            self.call.note(
                "stream_broken",
                server=state.info.id,
                reason=str(error),
                last_event=self.call.cutter.last_id,
            )
            self._note_broken(state)
            return Failed(str(error))
        state.note_answer(trio.current_time(), failed=False)
        self.tools.quarantine.note_answered(self.call.fingerprint)
        await self.call.start_reply(response.status, response.headers)
        rest = self.call.cutter.take_rest()
        if rest:
            await self.call.reply.send(rest)
        self.call.is_ended = True
        await self.call.reply.finish()
        self.call.note(
            "ended",
            status=response.status,
            server=state.info.id,
            first_after=round(self.call.first_after or 0.0, 4),
        )
        return Delivered(response.status)

    def _note_read(self) -> None:
        """Note that the server has read the prompt, with the first event."""
        self._place = self.tools.places.note_read(self._place)
        prompt = self.call.request.envelope.prompt
        salt = self._place.salt
        if prompt is not None and salt is not None:
            self.tools.note_held(self._place.state, salt, prompt)
