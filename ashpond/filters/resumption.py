"""Resume streams on the engine that runs them, also for a caller that reconnects."""

from __future__ import annotations

__all__ = ["ResumeForCaller", "make_cancel", "make_resumption", "resume_on_same_engine"]

import uuid
from collections.abc import Awaitable, Callable
from typing import TYPE_CHECKING

from ashpond.call import Call, Reply
from ashpond.clients.engine import EngineAnswer, cancel_stream, resume_stream
from ashpond.filters.relay import StreamSource, close_response, relay_stream
from ashpond.outcomes import Answered, Refusal, RunState

if TYPE_CHECKING:
    import httpx

    from ashpond.controllers.engines import EnginesController
    from ashpond.decisions.streams import Continue
    from ashpond.metrics import Metrics
    from ashpond.tokens import StreamToken

OK = 200
GONE = 410

ResumeForCaller = Callable[[Call, "StreamToken", int], Awaitable[Reply | Refusal]]


async def resume_on_same_engine(
    client: httpx.AsyncClient, current: EngineAnswer, after: int
) -> EngineAnswer | None:
    """Return the rest of a stream from the engine incarnation that started it.

    ``None`` is returned if that incarnation does not answer or has restarted.
    """
    return await _resume(
        client, current.address, current.stream, current.incarnation, after
    )


async def _resume(
    client: httpx.AsyncClient, address: str, stream: str, incarnation: str, after: int
) -> EngineAnswer | None:
    attempt = uuid.uuid4().hex
    outcome = await resume_stream(client, address, stream, after, attempt)
    if not isinstance(outcome, Answered):
        return None
    answer: EngineAnswer = outcome.response
    if answer.status == OK and answer.incarnation == incarnation:
        return answer
    await answer.response.aclose()
    return None


def make_cancel(
    client: httpx.AsyncClient, call: Call
) -> Callable[[EngineAnswer], Awaitable[None]]:
    """Return the function that cancels a stream whose caller has disconnected.

    A stream that the caller may resume is left running.
    """

    async def cancel(answer: EngineAnswer) -> None:
        if not call.resumable:
            await cancel_stream(client, answer.address, answer.stream)

    return cancel


def make_resumption(
    client: httpx.AsyncClient, engines: EnginesController, metrics: Metrics
) -> ResumeForCaller:
    """Return the function that resumes a stream for a caller with a stream token."""

    async def reopen(current: EngineAnswer, plan: Continue) -> EngineAnswer | None:
        if not plan.same_engine:
            return None
        return await resume_on_same_engine(client, current, plan.after)

    async def resume(call: Call, token: StreamToken, after: int) -> Reply | Refusal:
        state = engines.servers.get(token.server)
        answer = None
        if state is not None:
            answer = await _resume(
                client, state.config.address, token.stream, token.incarnation, after
            )
        if answer is None:
            text = "the engine no longer has the stream"
            return Refusal(GONE, "stream_gone", text, RunState.OUTCOME_UNKNOWN)
        # If the caller leaves before the first read, the generator never starts and
        # its cleanup does not run, so the response is closed when the call exits.
        call.exits.push_async_callback(close_response, answer)
        source = StreamSource(reopen, make_cancel(client, call))
        body = relay_stream(call, answer, source, metrics, after)
        headers = {"Content-Type": "text/event-stream", "Cache-Control": "no-store"}
        return Reply(OK, headers, body)

    return resume
