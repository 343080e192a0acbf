"""One attempt to have a call answered by a backend server."""

from __future__ import annotations

__all__ = ["Attempt"]

from collections.abc import Awaitable, Callable

import trio

from ashpond.clients.channels import Channel, ChannelError, Response
from ashpond.controllers.crashdetection import CrashEvidence
from ashpond.controllers.directory import (
    CUT_OFF_PAUSE_SECONDS,
    ServerState,
)
from ashpond.controllers.memory import NoMemoryError
from ashpond.decisions.declared import RouteKind
from ashpond.decisions.ratelimits import PERMIT_SECONDS
from ashpond.gateway.answertimeouts import RunTimes
from ashpond.gateway.callprogress import (
    SERVER_ERROR,
    Answer,
    AttemptFailed,
    AttemptNotRun,
    AttemptOutcome,
    CallProgress,
    Delivered,
    DispatchContext,
    classify_end,
)
from ashpond.gateway.rejections import read_rejection, skip_body
from ashpond.gateway.reservations import Reservation
from ashpond.gateway.serverrequests import build_server_request, describe_sent
from ashpond.gateway.streamrelay import forward_stream
from ashpond.gateway.wholebodies import MAX_ANSWER_BYTES, read_body

OK = 200
NO_ANSWER = "silent"


def describe_version(state: ServerState, *, is_certain: bool) -> str:
    """Return the software version of a start, one of its own if it is not certain."""
    if is_certain:
        return state.info.software_version
    return f"{state.info.software_version} or another, at {state.owner}"


class Attempt:
    """One attempt of a call at the server of its reservation."""

    def __init__(
        self, context: DispatchContext, call: CallProgress, reservation: Reservation
    ):
        self.context = context
        self.call = call
        self._reservation = reservation
        self._sent_at = trio.current_time()
        self._times = RunTimes(call, context.times)
        # That of the start to which the connection leads. A restart under the same id
        # may bring other software while the request runs.
        self._software_version = ""
        # Whether the server has begun to write an answer.
        self._has_begun = False
        # Whether the attempt has shown if its connection reaches the server.
        self._has_shown_contact = False

    async def run(self) -> AttemptOutcome:
        """Send the call, return the outcome and release the reservation."""
        runs = self.call.runs
        outcome: AttemptOutcome | None = None
        server_id = self._reservation.state.info.id
        memory, size = self.call.request.memory, len(self.call.request.body)
        # Also counts those that are not sent: a large body tried all servers otherwise.
        self.call.attempts += 1
        try:
            if not memory.hold_at_server(server_id, size):
                reason = "the bytes of requests there reach their limit"
                self._log_failure(reason, is_sent=False)
                outcome = AttemptNotRun(reason)
                return outcome
            try:
                outcome = await self._run(self._reservation.state)
                return outcome
            finally:
                memory.release_at_server(server_id, size)
        finally:
            event = classify_end(outcome, is_sent=self.call.runs > runs)
            self.context.reservations.release(self._reservation, event)

    async def _run(self, state: ServerState) -> AttemptOutcome:
        sent_fields = describe_sent(
            self.call, self._reservation, self.context.knowledge
        )
        self.call.note("sent", **sent_fields)
        channel: Channel | None = None
        is_complete = False
        memory = self.call.request.memory
        # That of an earlier answer, which may yet be forwarded.
        credit = memory.credit
        try:
            with self.context.move_on_after(self._choose_timeout()) as timeout:
                channel = await self.context.pool.acquire(
                    state.owner,
                    state.info.address,
                    is_repeatable=self.call.is_repeatable,
                    request_id=self.call.request.envelope.request_id,
                )
                state.note_busy(channel.opened_at)
                obstacle = self._find_obstacle(state)
                if obstacle is not None:
                    return AttemptNotRun(obstacle)
                if channel.relay:
                    server_id = state.info.id
                    self.call.note("relayed", server=server_id, by=channel.relay)
                outcome = await self._exchange(channel, timeout)
                is_complete = not isinstance(outcome, AttemptFailed)
                if not is_complete:
                    self._note_unanswered(channel, trio.current_time())
                return outcome
            if channel is not None:
                self._note_unanswered(channel, self._sent_at)
                self._times.note_ended(self._sent_at)
            return self._handle_failure(NO_ANSWER, is_sent=channel is not None)
        except ChannelError as error:
            if channel is not None:
                self._note_unanswered(channel, trio.current_time())
            if error.is_refused:
                state.note_ended(trio.current_time())
                self.context.crash_detector.note_crash(
                    state.watched, CrashEvidence.REFUSED
                )
            return self._handle_failure(
                str(error), is_sent=error.is_sent, is_own_fault=error.is_own_fault
            )
        except NoMemoryError as error:
            # The server has answered; this does not count against it.
            self.call.splitter.drop_remainder()
            self._log_failure(str(error), is_sent=True)
            return AttemptFailed(str(error))
        finally:
            if not is_complete:
                memory.drop_credit(credit)
            if channel is not None and not self._has_shown_contact:
                self.context.pool.note_unused(channel)
            if channel is not None:
                state.note_not_busy(channel.opened_at)
            if channel is not None and is_complete:
                self.context.pool.release(state.owner, channel)
            elif channel is not None:
                channel.close()

    def _note_unanswered(self, channel: Channel, sent_at: float) -> None:
        """Record that nothing has come from the server since ``sent_at``."""
        self._has_shown_contact = True
        owner = self._reservation.state.owner
        self.context.pool.note_unanswered(owner, channel, sent_at)

    def _choose_timeout(self) -> float:
        budget = self.context.get_budget(self.call.demand.service)
        return self._times.choose_timeout(budget.measure_left())

    def _describe_version(self, state: ServerState) -> str:
        is_certain = self.context.is_version_certain(state)
        return describe_version(state, is_certain=is_certain)

    def _find_obstacle(self, state: ServerState) -> str | None:
        """Return why the request must no longer be sent to its server, if at all.

        A directive of the server may have arrived while the request waited for a
        reservation, a permit or a connection.
        """
        if not state.is_present():
            return "the server is leaving"
        origin = self.call.origin
        if origin is not None and origin.version != self._describe_version(state):
            return "the server has another software version than the stream"
        if not self.context.grace.leaves_time(self._times.estimate_longest()):
            return "it would not end before this instance stops"
        if self._is_overdue():
            return "the weights there have been replaced for too long"
        if trio.current_time() < state.backoff_until:
            return "the server has asked for a backoff"
        if not state.is_limited:
            return None
        permitted_at = self._reservation.permitted_at
        now = trio.current_time()
        if permitted_at is None or now - permitted_at > PERMIT_SECONDS:
            return "it has no permit for a server that names a rate limit"
        return None

    def _is_overdue(self) -> bool:
        """Return whether the server has weights on which no request may begin now."""
        model = self.call.demand.model
        if model is None:
            return False
        version = self._reservation.weights_version
        if version is None:
            version = self._reservation.state.weights.get(model, 0)
        now = trio.current_time()
        return version < self.context.find_required_version(model, now)

    async def _exchange(
        self, channel: Channel, timeout: trio.CancelScope
    ) -> AttemptOutcome:
        """Send the request; read its answer, or relay it if it is a stream.

        :raises ChannelError: if the answer is incomplete.
        """
        state = self._reservation.state
        self._software_version = self._describe_version(state)
        self._sent_at = trio.current_time()
        # From here on the request counts as run, even if the deadline cancels it.
        self.call.runs += 1
        silent_seconds = self._times.choose_silent_seconds()
        self.context.pool.note_sent(state.owner, channel, silent_seconds)
        request = build_server_request(self.call, self._reservation, self.context)
        response = await channel.exchange(request)
        answer_headers = self.context.codec.read_answer_headers(response.headers)
        self._has_shown_contact = True
        self.context.pool.note_answered(channel, answer_headers.backoff)
        self.context.directives.apply_answer(
            state, response.status, answer_headers, self._sent_at
        )
        rejection = read_rejection(
            self.context, self.call, self._reservation, response, answer_headers
        )
        if rejection is not None:
            self.call.runs -= 1
            await skip_body(self.call, state.info.id, response)
            return rejection
        model = self.call.demand.model
        if model and answer_headers.weights_version is not None:
            state.update_weights(model, answer_headers.weights_version)
        reserve = await self._reserve_declared(response, timeout)
        if self.call.route.kind is RouteKind.STREAM and response.status == OK:
            timeout.deadline = float("inf")
            return await self._relay_stream(response, reserve)
        body = await read_body(response, state.info, self.call.request.memory, reserve)
        failed = response.status >= SERVER_ERROR
        if not failed:
            self._times.note_ended(self._sent_at)
        state.note_answer(trio.current_time(), failed=failed)
        if not failed:
            self.context.quarantine.note_begun(self.call.fingerprints)
            self.context.quarantine.note_answered(self.call.fingerprint)
        return Answer(response.status, response.headers, body, response.framing)

    async def _reserve_declared(
        self, response: Response, timeout: trio.CancelScope
    ) -> Callable[[int], Awaitable[None]] | None:
        """Wait for memory for an answer whose length is known.

        Many answers of which each is held in part would wait for each other. Return
        the function that reserves each piece, None if nothing more is to be reserved.

        :raises NoMemoryError: if there will be no memory.
        """
        memory = self.call.request.memory
        if not memory.is_limited or self.call.request.method == "HEAD":
            return None
        lengths = [
            value for name, value in response.headers if name == b"content-length"
        ]
        if not lengths:
            return memory.grow_by_answer
        # The server has answered in time; this wait is not its fault.
        began, deadline = trio.current_time(), timeout.deadline
        timeout.deadline = float("inf")
        await memory.grow_by_answer(min(int(lengths[0]), MAX_ANSWER_BYTES))
        timeout.deadline = deadline + trio.current_time() - began
        return None

    def _handle_failure(
        self, reason: str, *, is_sent: bool, is_own_fault: bool = False
    ) -> AttemptNotRun | AttemptFailed:
        state = self._reservation.state
        self._log_failure(reason, is_sent=is_sent)
        if is_own_fault:
            # The server is probably well, so the peers get no notice of it.
            state.exclude_for(CUT_OFF_PAUSE_SECONDS, trio.current_time())
            return AttemptNotRun(reason)
        if not is_sent:
            pause = state.note_connect_failure(trio.current_time())
            self.context.announce_unreachable(state, pause)
            self.context.pool.close_idle(state.owner)
            return AttemptNotRun(reason)
        state.note_answer(trio.current_time(), failed=True)
        self._report_incomplete(state, is_timeout=reason == NO_ANSWER)
        return AttemptFailed(reason)

    def _log_failure(self, reason: str, *, is_sent: bool) -> None:
        server_id = self._reservation.state.info.id
        self.call.note("send_failed", server=server_id, reason=reason, is_sent=is_sent)

    def _report_incomplete(
        self, state: ServerState, *, is_timeout: bool = False
    ) -> None:
        for fingerprint in self._list_suspects():
            self.context.crash_detector.note_failed_attempt(
                state.watched, fingerprint, self._sent_at, is_idle_timeout=is_timeout
            )

    def _list_suspects(self) -> tuple[str, ...]:
        """Return what may have crashed the server.

        No part of the prompt has, if the answer had begun.
        """
        fingerprints = self.call.fingerprints
        if fingerprints is None:
            return ()
        return (fingerprints.request,) if self._has_begun else fingerprints.all

    async def _relay_stream(
        self, response: Response, reserve: Callable[[int], Awaitable[None]] | None
    ) -> AttemptOutcome:
        """Forward a stream, and complete the client's answer if it is complete.

        :param reserve: waits for memory for a piece, as its client may read slowly.
        """
        state = self._reservation.state
        try:
            rest = await forward_stream(
                self.call,
                response,
                reserve,
                self._note_prompt_read,
                self._note_begun,
                self._software_version,
            )
        except ChannelError as error:
            self.call.splitter.drop_remainder()
            now = trio.current_time()
            if state.is_usable(now):
                # An excluded server may have been ordered to cut its streams.
                state.note_answer(now, failed=True)
            self.call.note(
                "stream_broken",
                server=state.info.id,
                reason=str(error),
                framing=response.framing,
                last_event=self.call.splitter.last_id,
            )
            self._report_incomplete(state)
            return AttemptFailed(str(error))
        state.note_answer(trio.current_time(), failed=False)
        self._times.note_ended(self._sent_at)
        self.context.quarantine.note_answered(self.call.fingerprint)
        if rest:
            await self.call.reply.send(rest)
        self.call.is_finished = True
        await self.call.reply.finish()
        self.call.note(
            "ended",
            status=response.status,
            server=state.info.id,
            framing=response.framing,
            first_after=round(self.call.seconds_to_first_byte or 0.0, 4),
        )
        return Delivered(response.status)

    def _note_begun(self) -> None:
        """Record the first complete event of a stream."""
        self._has_begun = True
        self.context.quarantine.note_begun(self.call.fingerprints)

    def _note_prompt_read(self) -> None:
        """Record, at the first event, that the server has read the prompt."""
        self._times.note_begun(self._sent_at)
        self._reservation = self.context.reservations.note_prompt_read(
            self._reservation
        )
        prompt = self.call.request.envelope.prompt
        salt = self._reservation.salt
        if prompt is not None and salt is not None:
            self.context.note_cached(self._reservation.state, salt, prompt)
