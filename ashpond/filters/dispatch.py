"""Send a call to a backend server, with retries, and forward its answer."""

from __future__ import annotations

__all__ = ["Dispatcher"]

import random
import uuid
from typing import TYPE_CHECKING, NamedTuple

import httpx
import trio

from ashpond.call import Call, CallKind, Reply
from ashpond.clients.engine import (
    EngineAnswer,
    EngineRequest,
    read_body,
    send_request,
)
from ashpond.clients.http import make_client
from ashpond.clients.service import PlainAnswer, PlainRequest, send_plain
from ashpond.decisions.placement import BLOCK_TOKENS
from ashpond.decisions.quarantine import QuarantineState
from ashpond.decisions.retries import GiveUp, RetryBudget, decide_retry
from ashpond.filters.placement import list_other_software
from ashpond.filters.relay import StreamSource, close_response, relay_stream
from ashpond.filters.resumption import make_cancel, resume_on_same_engine
from ashpond.outcomes import Answered, MaybeRun, NotRun, Refusal, RunState
from ashpond.replies import make_refusal_reply
from ashpond.tokens import StreamToken, make_stream_token

if TYPE_CHECKING:
    from ashpond.controllers.callquarantine import CallQuarantine
    from ashpond.controllers.claims import ClaimsController
    from ashpond.controllers.configuration import ConfigurationController
    from ashpond.controllers.engines import EnginesController, InFlight
    from ashpond.decisions.streams import Continue
    from ashpond.filters.placement import Placement, PlacementPolicy
    from ashpond.metrics import Metrics
    from ashpond.settings import Settings

PATHS = {CallKind.CHAT: "/v1/chat/completions", CallKind.TEXT: "/v1/completions"}
STREAM_HEADER = "Ashpond-Stream"
ATTEMPT_HEADER = "Ashpond-Attempt"
STALL_SECONDS = 10.0
UNRESPONSIVE_CHECK_SECONDS = 0.25
NO_SERVER_RETRY_SECONDS = 1.0
SERVICE_UNAVAILABLE = 503
BAD_GATEWAY = 502
OK = 200


class _Attempt(NamedTuple):
    """An attempt in progress: its server, its id and its entry in the server's load."""

    placement: Placement
    id: str
    in_flight: InFlight


class Dispatcher:
    """Sends calls to backend servers; holds the connections and the retry budgets."""

    def __init__(
        self,
        settings: Settings,
        configuration: ConfigurationController,
        engines: EnginesController,
        claims: ClaimsController,
        choose_placement: PlacementPolicy,
        metrics: Metrics,
        rng: random.Random,
        client: httpx.AsyncClient,
        call_quarantine: CallQuarantine,
    ):
        self._call_quarantine = call_quarantine
        self._settings = settings
        self._configuration = configuration
        self._engines = engines
        self._claims = claims
        self._choose_placement = choose_placement
        self._metrics = metrics
        self._rng = rng
        self._budgets: dict[str, RetryBudget] = {}
        connect = settings.timing.connect_timeout
        self._client = client
        # For calls that may not be retried: if the server closes a kept connection just
        # as a request is sent, the request counts as possibly run.
        self._single_use_client = make_client(connect, STALL_SECONDS, keep_alive=False)

    async def dispatch(self, call: Call) -> Reply:
        """Send a call, with retries where allowed; this ends the filter chain."""
        claim = call.claim_attempt
        if claim is not None and not self._claims.registry.mark_sent(claim):
            text = "another instance was told that this attempt will not run"
            return make_refusal_reply(Refusal(SERVICE_UNAVAILABLE, "revoked", text))
        assert call.service is not None
        budget = self._find_budget(call)
        budget.note_first_attempt()
        skipped: set[str] = set()
        attempts = 0
        while True:
            placement = self._choose_placement(call, skipped)
            if placement is None:
                return self._refuse(call, "no backend server is available")
            attempts += 1
            outcome = await self._attempt(call, placement)
            if isinstance(outcome, Reply):
                return outcome
            skipped.add(placement.server)
            decision = decide_retry(
                outcome,
                repeatable=call.repeatable,
                attempts=attempts,
                # One attempt shows whether the call crashes another server too.
                max_attempts=1 if call.is_suspected else call.service.max_attempts,
                now=trio.current_time(),
                deadline=call.deadline,
                budget=budget,
                rng=self._rng,
            )
            if isinstance(decision, GiveUp):
                return self._refuse(call, f"{decision.reason}: {outcome.reason}")
            self._metrics.retries.inc({"service": call.service_name})
            await trio.sleep(decision.pause)

    def _find_budget(self, call: Call) -> RetryBudget:
        assert call.service is not None
        share = call.service.retry_share
        budget = self._budgets.setdefault(call.service_name, RetryBudget(share))
        budget.share = share
        return budget

    def _refuse(self, call: Call, message: str) -> Reply:
        run = call.progress.run
        if run is RunState.NOT_RUN:
            wait = NO_SERVER_RETRY_SECONDS * self._rng.uniform(1, 2)
            wait = max(wait, self._engines.find_retry_wait(call.service_name) or 0.0)
            refusal = Refusal(SERVICE_UNAVAILABLE, "unavailable", message, run, wait)
        else:
            refusal = Refusal(BAD_GATEWAY, "outcome_unknown", message, run)
        self._metrics.refusals.inc({"kind": refusal.kind})
        return make_refusal_reply(refusal)

    async def _attempt(
        self, call: Call, placement: Placement
    ) -> Reply | NotRun | MaybeRun:
        cached = placement.expected_cached * BLOCK_TOKENS
        tokens = max(0, call.prompt_tokens - cached)
        in_flight = self._engines.note_sent(placement.server, tokens, placement.blocks)
        call.exits.callback(self._engines.note_ended, placement.server, in_flight)
        attempt = _Attempt(placement, uuid.uuid4().hex, in_flight)
        server = self._call_quarantine.find_server(placement.server)
        run_before = call.progress.run
        call.progress.run = RunState.OUTCOME_UNKNOWN
        try:
            if call.kind is CallKind.PLAIN:
                outcome = await self._send_plain(call, attempt)
            else:
                outcome = await self._send_model(call, attempt)
        except trio.Cancelled:
            self._engines.abandon_probe(placement.server)
            raise
        if isinstance(outcome, MaybeRun):
            self._call_quarantine.note_failed_attempt(call, server, in_flight.sent_at)
        self._record_outcome(call, placement, outcome, run_before)
        if not isinstance(outcome, Reply):
            self._engines.note_ended(placement.server, in_flight)
        return outcome

    def _record_outcome(
        self,
        call: Call,
        placement: Placement,
        outcome: Reply | NotRun | MaybeRun,
        run_before: RunState,
    ) -> None:
        result = type(outcome).__name__.lower()
        self._metrics.attempts.inc({"server": placement.server, "result": result})
        if isinstance(outcome, Reply):
            call.progress.run = RunState.RUN
            call.progress.first_token_at = trio.current_time()
            return
        if isinstance(outcome, NotRun):
            call.progress.run = run_before
        if outcome.backoff is not None:
            self._engines.note_backoff(placement.server, outcome.backoff)
        is_refused = isinstance(outcome, NotRun) and outcome.unreached
        if is_refused or isinstance(outcome, MaybeRun):
            self._engines.note_failure(placement.server, refused=is_refused)
        else:
            self._engines.abandon_probe(placement.server)

    async def _send_plain(
        self, call: Call, attempt: _Attempt
    ) -> Reply | NotRun | MaybeRun:
        assert call.service is not None
        request = PlainRequest(
            call.method,
            call.path,
            call.query,
            call.headers,
            call.body,
            attempt.id,
            call.service.answer_seconds,
        )
        client = self._client if call.repeatable else self._single_use_client
        outcome = await send_plain(client, attempt.placement.address, request)
        if not isinstance(outcome, Answered):
            return outcome
        answer: PlainAnswer = outcome.response
        self._engines.note_answer(attempt.placement.server, "", (), None)
        return Reply(
            answer.status, dict(answer.headers), answer.body, answer.is_close_delimited
        )

    async def _send_model(
        self, call: Call, attempt: _Attempt
    ) -> Reply | NotRun | MaybeRun:
        outcome = await self._open_before_timeout(call, attempt)
        if not isinstance(outcome, Answered):
            return outcome
        answer: EngineAnswer = outcome.response
        self._note_engine_answer(call, attempt, answer)
        if call.streamed and answer.status == OK:
            return self._start_relay(call, attempt, answer)
        try:
            body = await read_body(answer)
        except (httpx.HTTPError, httpx.StreamError) as error:
            return MaybeRun(repr(error))
        headers = self._make_headers(call, attempt, answer)
        return Reply(answer.status, headers, body)

    async def _open(
        self, call: Call, attempt: _Attempt, after: int
    ) -> Answered | NotRun | MaybeRun:
        assert call.service is not None
        placement = attempt.placement
        rank = self._configuration.current.priorities[call.priority].rank
        request = EngineRequest(
            path=PATHS[call.kind],
            body=call.body,
            attempt=attempt.id,
            cache_salt=placement.cache_salt,
            weights=placement.weights,
            rank=rank,
            stall_seconds=max(STALL_SECONDS, call.service.answer_seconds),
            after=after,
        )
        client = self._client if call.repeatable else self._single_use_client
        return await send_request(client, placement.address, request)

    async def _open_before_timeout(
        self, call: Call, attempt: _Attempt
    ) -> Answered | NotRun | MaybeRun:
        """Wait for the head of the answer until the timeout.

        A repeatable call gives up earlier if its engine no longer reports its load.
        An engine that is merely busy still does, and sending the call elsewhere would
        add to the load that delays it.
        """
        assert call.service is not None
        outcome: Answered | NotRun | MaybeRun = MaybeRun("no answer in time")
        with trio.move_on_after(call.service.answer_seconds):
            async with trio.open_nursery() as nursery:
                if call.repeatable:
                    nursery.start_soon(self._cancel_if_unresponsive, attempt, nursery)
                outcome = await self._open(call, attempt, after=0)
                if isinstance(outcome, Answered):
                    # Registered at once, since the call may be cancelled in the next
                    # step, and nothing else would close the response.
                    call.exits.push_async_callback(close_response, outcome.response)
                nursery.cancel_scope.cancel()
        return outcome

    async def _cancel_if_unresponsive(
        self, attempt: _Attempt, nursery: trio.Nursery
    ) -> None:
        while not self._engines.is_unresponsive(attempt.placement.server):
            await trio.sleep(UNRESPONSIVE_CHECK_SECONDS)
        nursery.cancel_scope.cancel()

    def _note_engine_answer(
        self, call: Call, attempt: _Attempt, answer: EngineAnswer
    ) -> None:
        placement = attempt.placement
        attempt.in_flight.tokens = 0
        self._engines.note_answer(
            placement.server, answer.incarnation, placement.blocks, answer.cached_blocks
        )
        labels = {"service": call.service_name}
        self._metrics.prompt_tokens.add(labels, call.prompt_tokens)
        cached = (answer.cached_blocks or 0) * BLOCK_TOKENS
        self._metrics.cached_tokens.add(labels, cached)

    def _make_headers(
        self, call: Call, attempt: _Attempt, answer: EngineAnswer
    ) -> dict[str, str]:
        content_type = answer.response.headers.get("Content-Type", "application/json")
        headers = {"Content-Type": content_type, ATTEMPT_HEADER: attempt.id}
        if call.streamed and answer.stream:
            token = StreamToken(
                attempt.placement.server,
                answer.incarnation,
                answer.stream,
                call.team_name,
            )
            secret = self._settings.peer_secret
            headers[STREAM_HEADER] = make_stream_token(secret, token)
            headers["Cache-Control"] = "no-store"
        return headers

    def _start_relay(
        self, call: Call, attempt: _Attempt, answer: EngineAnswer
    ) -> Reply:
        source = self._make_source(call, attempt)
        body = relay_stream(call, answer, source, self._metrics, after=0)
        return Reply(OK, self._make_headers(call, attempt, answer), body)

    def _make_source(self, call: Call, attempt: _Attempt) -> StreamSource:
        server = self._call_quarantine.find_server(attempt.placement.server)

        async def reopen(current: EngineAnswer, plan: Continue) -> EngineAnswer | None:
            if plan.same_engine:
                return await resume_on_same_engine(self._client, current, plan.after)
            self._call_quarantine.note_failed_attempt(
                call, server, attempt.in_flight.sent_at
            )
            if (
                self._call_quarantine.classify(
                    self._call_quarantine.compute_fingerprint(call)
                )
                is not QuarantineState.FREE
            ):
                return None
            return await self._continue_elsewhere(call, attempt, current, plan.after)

        return StreamSource(reopen, make_cancel(self._client, call))

    async def _continue_elsewhere(
        self, call: Call, attempt: _Attempt, current: EngineAnswer, after: int
    ) -> EngineAnswer | None:
        skipped = {attempt.placement.server}
        if after:
            skipped |= list_other_software(self._engines, current.software)
        placement = self._choose_placement(call, skipped)
        if placement is None or placement.server in skipped:
            return None
        if placement.weights != attempt.placement.weights:
            # Other weights would continue with a different text.
            return None
        other = _Attempt(placement, uuid.uuid4().hex, attempt.in_flight)
        outcome = await self._open(call, other, after)
        if not isinstance(outcome, Answered):
            return None
        answer: EngineAnswer = outcome.response
        # An engine may have restarted with other software since its last report.
        if answer.status == OK and (not after or answer.software == current.software):
            return answer
        await answer.response.aclose()
        return None
