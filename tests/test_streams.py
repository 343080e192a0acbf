"""Streams reach their client complete and in order, or end with an error event."""

from __future__ import annotations

from typing import Any

import httpx
import pytest
import trio
from hypothesis import given, settings, strategies as st

from ashpond.call import Call, Reply
from ashpond.clients.engine import EngineAnswer, StreamEvent
from ashpond.controllers.claims import Claim
from ashpond.decisions.streams import Continue, EventSequence, Fail, plan_continuation
from ashpond.filters.idempotency import make_idempotency
from ashpond.filters.relay import StreamSource, filter_batch, relay_stream
from ashpond.metrics import Metrics
from ashpond.outcomes import RunState
from tests.builders import make_call

LENGTH = 6


def make_event(number: int) -> bytes:
    data = b"[DONE]" if number == LENGTH else b"token %d" % number
    return b"id: %d\ndata: %s\n\n" % (number, data)


WHOLE = b"".join(make_event(number) for number in range(1, LENGTH + 1))


class FakeResponse:
    """Sends numbered events in chunks of any size, then ends or fails."""

    def __init__(self, numbers: list[int], cut_at: int, size: int):
        text = b"".join(make_event(number) for number in numbers)
        self.text = text[: cut_at or None]
        self.size = size
        self.breaks = cut_at % 2 == 1

    async def aiter_raw(self) -> Any:
        for start in range(0, len(self.text), self.size):
            yield self.text[start : start + self.size]
        if self.breaks:
            raise httpx.ReadError("cut")

    async def aclose(self) -> None:
        return None


def make_answer(response: FakeResponse) -> EngineAnswer:
    return EngineAnswer("a:1", 200, "i1", "s1", "w1", 0, response)  # type: ignore


def leave_out(gap: int) -> list[int]:
    return [number for number in range(1, LENGTH + 1) if number != gap]


responses = st.builds(
    FakeResponse,
    numbers=st.one_of(
        st.just(list(range(1, LENGTH + 1))),
        st.integers(2, LENGTH - 1).map(leave_out),
        st.lists(st.integers(1, LENGTH), min_size=1, max_size=8),
    ),
    cut_at=st.one_of(st.just(0), st.integers(0, 120)),
    size=st.one_of(st.just(500), st.integers(1, 60)),
)


@settings(max_examples=500)
@given(
    first=responses,
    more=st.lists(responses, min_size=1, max_size=4)
    | st.lists(st.one_of(responses, st.none()), max_size=4),
)
async def test_a_stream_is_complete_or_ends_in_an_error(first, more):
    remaining = list(more)
    asked: list[int] = []

    async def reopen(_: EngineAnswer, plan: Continue) -> EngineAnswer | None:
        asked.append(plan.after)
        response = remaining.pop(0) if remaining else None
        return make_answer(response) if response else None

    async def cancel(answer: EngineAnswer) -> None:
        return None

    source = StreamSource(reopen, cancel)
    call = make_call()
    body = relay_stream(call, make_answer(first), source, Metrics(), 0)
    text = b"".join([chunk async for chunk in body])
    events, separator, error = text.partition(b"event: error\n")
    assert WHOLE.startswith(events)
    if separator:
        assert call.progress.failed
        assert b"outcome_unknown" in error
    else:
        assert events == WHOLE


async def test_a_stream_resumes_at_its_current_engine():
    asked: list[str] = []
    others = [("b:1", [3, 4]), ("b:1", [5, 6])]

    async def reopen(current: EngineAnswer, plan: Continue) -> EngineAnswer:
        asked.append(current.address)
        address, numbers = others.pop(0)
        answer = make_answer(FakeResponse(numbers, 0, 500))
        return answer._replace(address=address)

    async def cancel(answer: EngineAnswer) -> None:
        return None

    first = make_answer(FakeResponse([1, 2], 0, 500))
    source = StreamSource(reopen, cancel)
    body = relay_stream(make_call(), first, source, Metrics(), 0)
    assert b"".join([chunk async for chunk in body]) == WHOLE
    assert asked == ["a:1", "b:1"]


class HangingResponse(FakeResponse):
    """Sends all events but never closes the response."""

    def __init__(self, numbers: list[int]) -> None:
        super().__init__(numbers, 0, 500)

    async def aiter_raw(self) -> Any:
        yield self.text
        await trio.sleep_forever()


class RecordedClaims:
    """Stands in for the claims and records the answers finished or released."""

    def __init__(self) -> None:
        self.kept: list[bytes] = []
        self.released = 0

    async def claim(self, key: str, digest: str, ttl: float) -> Claim:
        return Claim(key, "a1", 1, digest, ttl)

    def finish(self, claim: Claim, answer: bytes) -> None:
        self.kept.append(answer)

    def release(self, claim: Claim) -> None:
        self.released += 1


async def read_and_disconnect(
    numbers: list[int], *, reads_to_end: bool
) -> tuple[Any, list]:
    """Return the claims of a stream whose client left, and the cancelled answers."""
    claims: Any = RecordedClaims()
    cancelled: list[EngineAnswer] = []

    async def reopen(_: EngineAnswer, plan: Continue) -> EngineAnswer | None:
        return None

    async def cancel(answer: EngineAnswer) -> None:
        cancelled.append(answer)

    async def answer(call: Call) -> Reply:
        call.progress.run = RunState.RUN
        source = StreamSource(reopen, cancel)
        first = make_answer(HangingResponse(numbers))
        return Reply(200, {}, relay_stream(call, first, source, Metrics(), 0))

    claim_once = make_idempotency(claims, Metrics())
    reply: Any = await claim_once(make_call(idempotency_key="k1"), answer)
    with trio.CancelScope() as caller:
        async for _ in reply.body:
            if not reads_to_end:
                break
            caller.cancel()
    await reply.body.aclose()
    return claims, cancelled


@pytest.mark.parametrize("reads_to_end", [False, True])
async def test_a_complete_stream_is_kept_though_the_client_disconnects(
    reads_to_end: bool,
) -> None:
    """The client has the final event and disconnects before the engine closes.

    If the complete stream is not kept, its retry is refused as of unknown outcome.
    """
    numbers = list(range(1, LENGTH + 1))
    claims, cancelled = await read_and_disconnect(numbers, reads_to_end=reads_to_end)
    assert len(claims.kept) == 1
    assert claims.kept[0].endswith(WHOLE)
    assert not cancelled


@pytest.mark.parametrize("is_close_delimited", [False, True])
async def test_an_answer_that_may_have_broken_off_is_not_kept(
    is_close_delimited: bool,
) -> None:
    """Each duplicate would get it as the whole answer."""
    claims: Any = RecordedClaims()

    async def answer(call: Call) -> Reply:
        call.progress.run = RunState.RUN
        return Reply(200, {}, b"part", is_close_delimited)

    claim_once = make_idempotency(claims, Metrics())
    reply = await claim_once(make_call(idempotency_key="k1"), answer)
    assert reply.is_close_delimited == is_close_delimited
    (kept,) = claims.kept
    assert (kept == b"") == is_close_delimited


@pytest.mark.parametrize("reads_to_end", [False, True])
async def test_an_incomplete_stream_is_not_kept(reads_to_end: bool) -> None:
    claims, cancelled = await read_and_disconnect([1, 2, 3], reads_to_end=reads_to_end)
    assert not claims.kept and not claims.released
    assert len(cancelled) == 1


def test_events_before_a_gap_in_one_batch_are_forwarded():
    batch = [StreamEvent(n, b"%d;" % n, False) for n in (1, 2, 4)]
    order = EventSequence()
    taken = filter_batch(batch, order)
    assert taken.chunk == b"1;2;"
    assert taken.has_gap
    assert order.last == 2


@pytest.mark.parametrize(
    ("changes", "expected"),
    [
        ({}, Continue(same_engine=True, after=3)),
        ({"engine_lost": True, "exact_resume": True}, Continue(False, 3)),
        ({"engine_lost": True, "last": 0}, Continue(False, 0)),
        ({"engine_lost": True}, Fail),
        ({"engine_lost": True, "exact_resume": True, "repeatable": False}, Fail),
        ({"resumes": 5}, Fail),
    ],
)
def test_a_stream_resumes_only_where_it_can_continue_exactly(changes, expected):
    values = {
        "last": 3,
        "resumes": 0,
        "engine_lost": False,
        "repeatable": True,
        "exact_resume": False,
    }
    planned = plan_continuation(**(values | changes))
    if expected is Fail:
        assert isinstance(planned, Fail)
    else:
        assert planned == expected
