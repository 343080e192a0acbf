"""Forward an engine's stream completely and in order, resuming it after a break."""

from __future__ import annotations

__all__ = ["StreamSource", "close_response", "relay_stream"]

from collections.abc import AsyncIterator, Awaitable, Callable
from typing import TYPE_CHECKING, NamedTuple

import httpx
import trio

from ashpond.clients.engine import EngineAnswer, StreamEvent, read_event_batches
from ashpond.decisions.streams import (
    Continue,
    EventAction,
    EventSequence,
    plan_continuation,
)
from ashpond.outcomes import Refusal, RunState
from ashpond.replies import make_error_event

if TYPE_CHECKING:
    from ashpond.call import Call
    from ashpond.metrics import Metrics

BAD_GATEWAY = 502
CLEANUP_SECONDS = 1.0


class StreamSource(NamedTuple):
    """The functions by which the relay reopens and cancels an engine's stream.

    ``reopen`` resumes the stream after a given event, on the engine of the current
    answer or on another one, and returns ``None`` if that fails. ``cancel`` cancels
    the stream of a client that has disconnected, unless the client may resume it.
    """

    reopen: Callable[[EngineAnswer, Continue], Awaitable[EngineAnswer | None]]
    cancel: Callable[[EngineAnswer], Awaitable[None]]


async def relay_stream(
    call: Call, answer: EngineAnswer, source: StreamSource, metrics: Metrics, after: int
) -> AsyncIterator[bytes]:
    """Yield the stream for the caller, up to its end event or an error event.

    :param after: number of the last event that the caller already has.
    """
    sequence = EventSequence(after)
    resumes = 0
    current = answer
    finished = False
    chunks = 0
    try:
        while True:
            batches = read_event_batches(current.response)
            try:
                async for batch in batches:
                    new_events = filter_batch(batch, sequence)
                    # Set before the chunk is yielded: the caller may disconnect once it
                    # has the end event.
                    finished = new_events.is_end
                    call.progress.is_whole = finished
                    if new_events.chunk:
                        chunks += 1
                        yield new_events.chunk
                    if finished or new_events.has_gap:
                        break
            except (httpx.HTTPError, httpx.StreamError):
                pass
            if finished:
                await drain_batches(batches)
                return
            await current.response.aclose()
            continuation = await open_continuation(
                call, current, sequence, resumes, source
            )
            resumes += 1
            if isinstance(continuation, str):
                call.progress.failed = True
                yield make_stream_error(continuation)
                finished = True
                return
            metrics.resumes.inc({"service": call.service_name})
            current = continuation
    finally:
        metrics.events.add({"service": call.service_name}, chunks)
        with trio.move_on_after(CLEANUP_SECONDS, shield=True):
            if not finished:
                await source.cancel(current)
            await current.response.aclose()


class NewEvents(NamedTuple):
    """The events of a batch that the caller does not have yet, as bytes.

    ``has_gap`` is set if events are missing after ``chunk``.
    """

    chunk: bytes
    is_end: bool = False
    has_gap: bool = False


def filter_batch(batch: list[StreamEvent], sequence: EventSequence) -> NewEvents:
    """Return the new events of a batch, up to the end event or a gap."""
    parts: list[bytes] = []
    for event in batch:
        action = sequence.check(event.number)
        if action is EventAction.GAP:
            return NewEvents(b"".join(parts), has_gap=True)
        if action is EventAction.FORWARD:
            parts.append(event.data)
            if event.is_end:
                return NewEvents(b"".join(parts), is_end=True)
    return NewEvents(b"".join(parts))


async def drain_batches(batches: AsyncIterator[list[StreamEvent]]) -> None:
    """Read the rest after the end event, so that the connection can be reused."""
    with trio.move_on_after(CLEANUP_SECONDS):
        try:
            async for _ in batches:
                pass
        except (httpx.HTTPError, httpx.StreamError):
            return


async def open_continuation(
    call: Call,
    current: EngineAnswer,
    sequence: EventSequence,
    resumes: int,
    source: StreamSource,
) -> EngineAnswer | str:
    """Resume the stream on the same engine, else on another one.

    :return: the answer that continues the stream, or the reason why there is none.
    """
    assert call.service is not None
    for engine_lost in (False, True):
        plan = plan_continuation(
            last=sequence.last,
            resumes=resumes,
            engine_lost=engine_lost,
            repeatable=call.repeatable,
            exact_resume=call.service.exact_resume,
        )
        if not isinstance(plan, Continue):
            return plan.reason
        answer = await source.reopen(current, plan)
        if answer is not None:
            return answer
    return "no engine could go on with the stream"


def make_stream_error(reason: str) -> bytes:
    """Return the error event that marks the stream as incomplete."""
    refusal = Refusal(BAD_GATEWAY, "stream_cut", reason, RunState.OUTCOME_UNKNOWN)
    return make_error_event(refusal)


async def close_response(answer: EngineAnswer) -> None:
    """Close an engine's response, also while the task is being cancelled."""
    with trio.move_on_after(CLEANUP_SECONDS, shield=True):
        await answer.response.aclose()
