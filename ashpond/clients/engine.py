"""The engines' protocol: completions, streams, load, cache events, orders.

This module alone knows its wire format; another engine replaces it.
"""

from __future__ import annotations

__all__ = [
    "CacheEvents",
    "EngineAnswer",
    "EngineRequest",
    "FeedLine",
    "Order",
    "OrderOutcome",
    "StreamEvent",
    "cancel_stream",
    "follow_feed",
    "merge_events",
    "read_body",
    "read_event_batches",
    "resume_stream",
    "says_not_run",
    "send_order",
    "send_request",
]

from collections.abc import AsyncGenerator, AsyncIterator
from enum import Enum
from typing import Any, NamedTuple

import httpx
import orjson

from ashpond.clients.http import (
    NOT_SENT_ERRORS,
    ends_with_connection,
    read_backoff,
    read_limited,
)
from ashpond.decisions.eventstream import MAX_EVENT_BYTES
from ashpond.decisions.placement import BLOCK_TOKENS, LoadReport
from ashpond.outcomes import Answered, MaybeRun, NotRun

ATTEMPT_HEADER = "X-Attempt-Id"
NOT_RUN_HEADER = "X-Not-Run"
EVENT_END = b"\n\n"
DONE_DATA = b"data: [DONE]"
SERVER_ERROR = 500
OK = 200
FENCED_OUT = 412
OTHER_ANSWER = "the answer belongs to another request"


class EngineRequest(NamedTuple):
    """One attempt of a completion.

    ``after`` is the number of the last event received; ``stall_seconds`` is the idle
    timeout of the response.
    """

    path: str
    body: bytes
    attempt: str
    cache_salt: str
    weights: str
    rank: int
    stall_seconds: float
    after: int = 0


class EngineAnswer(NamedTuple):
    """An engine's response whose head has arrived; the body has not been read.

    ``cached_blocks`` is ``None`` if the engine did not report it. ``software`` is the
    version of the engine's software, empty if it names none.
    """

    address: str
    status: int
    incarnation: str
    stream: str
    weights: str
    cached_blocks: int | None
    response: httpx.Response
    software: str = ""


class StreamEvent(NamedTuple):
    """One server-sent event as received, with the blank line that ends it."""

    number: int
    data: bytes
    is_end: bool


class CacheEvents(NamedTuple):
    """A batch of cache events of one incarnation, with its first and last number."""

    incarnation: str
    first: int
    last: int
    stored: list[int]
    removed: list[int]


class FeedLine(NamedTuple):
    """A load report made ``age`` seconds before it was sent, and cache events."""

    report: LoadReport
    events: CacheEvents | None
    age: float


class Order(NamedTuple):
    """An order to an engine; idempotent, because it names the target state."""

    kind: str
    fence: int
    weights: str = ""
    role: str = ""


class OrderOutcome(Enum):
    """Result of an order to an engine."""

    TAKEN = "taken"
    FENCED_OUT = "fenced_out"
    FAILED = "failed"


async def send_request(
    client: httpx.AsyncClient, address: str, request: EngineRequest
) -> Answered | NotRun | MaybeRun:
    """Send one attempt; ``Answered`` holds an :class:`EngineAnswer`."""
    headers = {
        ATTEMPT_HEADER: request.attempt,
        "X-Prompt-Salt": request.cache_salt,
        "X-Priority": str(request.rank),
        "Content-Type": "application/json",
    }
    if request.weights:
        headers["X-Weights-Version"] = request.weights
    if request.after:
        headers["X-Resume-After"] = str(request.after)
    url = f"http://{address}{request.path}"
    timeout = make_idle_timeout(client, request.stall_seconds)
    http_request = client.build_request(
        "POST", url, content=request.body, headers=headers, timeout=timeout
    )
    return await _send(client, http_request, address, request.attempt)


def make_idle_timeout(client: httpx.AsyncClient, seconds: float) -> httpx.Timeout:
    """Return the client's timeouts with another idle timeout."""
    base = client.timeout
    return httpx.Timeout(seconds, connect=base.connect, pool=base.pool)


async def resume_stream(
    client: httpx.AsyncClient, address: str, stream: str, after: int, attempt: str
) -> Answered | NotRun | MaybeRun:
    """Request the events of a stream after ``after`` from the same engine."""
    url = f"http://{address}/v1/streams/{stream}?after={after}"
    http_request = client.build_request("GET", url, headers={ATTEMPT_HEADER: attempt})
    return await _send(client, http_request, address, attempt)


async def _send(
    client: httpx.AsyncClient, http_request: httpx.Request, address: str, attempt: str
) -> Answered | NotRun | MaybeRun:
    try:
        response = await client.send(http_request, stream=True)
    except NOT_SENT_ERRORS as error:
        return NotRun(f"not reached: {error!r}", unreached=True)
    except httpx.HTTPError as error:
        return MaybeRun(repr(error))
    status = response.status_code
    echo = response.headers.get(ATTEMPT_HEADER)
    if echo != attempt and (status == OK or echo is not None):
        # This is the response to another request: close the connection.
        await response.aclose()
        return MaybeRun(OTHER_ANSWER)
    if says_not_run(response, attempt):
        await response.aclose()
        return NotRun(f"refused with status {status}", backoff=read_backoff(response))
    if status >= SERVER_ERROR:
        await response.aclose()
        return MaybeRun(f"failed with status {status}", read_backoff(response))
    return Answered(_read_head(address, response))


def says_not_run(response: httpx.Response, attempt: str) -> bool:
    """Return whether a response says that this attempt has not run.

    One that names no attempt may be a late response to an earlier request.
    """
    headers = response.headers
    return (
        headers.get(NOT_RUN_HEADER) == "true" and headers.get(ATTEMPT_HEADER) == attempt
    )


def _read_head(address: str, response: httpx.Response) -> EngineAnswer:
    headers = response.headers
    cached = headers.get("X-Cached-Tokens")
    return EngineAnswer(
        address=address,
        status=response.status_code,
        incarnation=headers.get("X-Engine-Incarnation", ""),
        stream=headers.get("X-Stream-Id", ""),
        weights=headers.get("X-Weights-Version", ""),
        cached_blocks=int(cached) // BLOCK_TOKENS if cached else None,
        response=response,
        software=headers.get("X-Software-Version", ""),
    )


async def read_body(answer: EngineAnswer) -> bytes:
    """Return the JSON body of an answer that is not a stream.

    :raises httpx.HTTPError: if it has broken off.
    """
    body = await read_limited(answer.response)
    if ends_with_connection(answer.response):
        try:
            orjson.loads(body)
        except orjson.JSONDecodeError as error:
            raise httpx.RemoteProtocolError("the answer broke off") from error
    return body


async def read_event_batches(
    response: httpx.Response,
) -> AsyncIterator[list[StreamEvent]]:
    """Yield the complete events of each chunk as soon as it arrives.

    :raises httpx.HTTPError: if the connection is cut.
    """
    buffered = b""
    async for chunk in response.aiter_raw():
        buffered += chunk
        if len(buffered) > MAX_EVENT_BYTES:
            raise httpx.RemoteProtocolError("an event is too large")
        *whole, buffered = buffered.split(EVENT_END)
        if whole:
            yield [_parse_event(raw) for raw in whole]


def _parse_event(raw: bytes) -> StreamEvent:
    head, _, data = raw.partition(b"\n")
    if not head.startswith(b"id: ") or not head[4:].isdigit():
        raise httpx.RemoteProtocolError("an event has no number")
    return StreamEvent(int(head[4:]), raw + EVENT_END, data == DONE_DATA)


async def cancel_stream(client: httpx.AsyncClient, address: str, stream: str) -> None:
    """Cancel a stream that no client reads any more."""
    try:
        await client.delete(f"http://{address}/v1/streams/{stream}")
    except httpx.HTTPError:
        # The engine itself drops unread streams after a while.
        return


async def follow_feed(
    client: httpx.AsyncClient, address: str, after: int
) -> AsyncGenerator[FeedLine, None]:
    """Yield an engine's load reports and cache events as it sends them.

    One connection for both costs a tenth of polling each. The iterator ends when the
    engine closes the connection or the idle timeout expires.

    :param after: number of the last cache event received.
    """
    url = f"http://{address}/feed?after={after}"
    try:
        async with client.stream("GET", url) as response:
            if response.status_code != OK:
                return
            async for line in response.aiter_lines():
                yield _parse_feed_line(line)
    except (httpx.HTTPError, orjson.JSONDecodeError, KeyError, TypeError):
        return


def _parse_feed_line(line: str) -> FeedLine:
    value = orjson.loads(line)
    return FeedLine(
        _parse_report(value["load"]), merge_events(value["events"]), value["age"]
    )


def _parse_report(report: dict[str, Any]) -> LoadReport:
    return LoadReport(
        incarnation=report["incarnation"],
        running=report["running"],
        waiting=report["waiting"],
        waiting_tokens=report["waiting_tokens"],
        max_running=max(1, report["max_running"]),
        prefill_rate=max(1.0, report["prefill_rate"]),
        weights=report["weights"],
        draining=report["draining"],
        cache_blocks=report["cache_blocks"],
        observed_at=0.0,
        fence=report["fence"],
        loading=report["loading"],
        software=report.get("software", ""),
    )


def merge_events(events: list[dict[str, Any]]) -> CacheEvents | None:
    """Return one batch with the same effect as all events in order."""
    if not events:
        return None
    stored_by_block: dict[int, bool] = {}
    for event in events:
        stored_by_block |= dict.fromkeys(event["stored"], True)
        stored_by_block |= dict.fromkeys(event["removed"], False)
    stored = [block for block, is_stored in stored_by_block.items() if is_stored]
    removed = [block for block, is_stored in stored_by_block.items() if not is_stored]
    incarnation = events[-1]["incarnation"]
    return CacheEvents(
        incarnation, events[0]["seq"], events[-1]["seq"], stored, removed
    )


async def send_order(
    client: httpx.AsyncClient, address: str, order: Order
) -> OrderOutcome:
    """Send an order; the engine rejects it if its fencing number is too old."""
    try:
        url = f"http://{address}/orders"
        response = await client.post(url, content=orjson.dumps(order._asdict()))
    except httpx.HTTPError:
        return OrderOutcome.FAILED
    if response.status_code == FENCED_OUT:
        return OrderOutcome.FENCED_OUT
    return OrderOutcome.TAKEN if response.status_code == OK else OrderOutcome.FAILED
