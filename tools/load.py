"""An open-loop load client.

Requests are sent at the times given by the trace, whether or not earlier ones have
been answered. Latencies count from the intended send time, so a delayed send is
part of the latency.
"""

from __future__ import annotations

__all__ = ["LoadOptions", "Result", "Summary", "make_messages", "run_load", "summarize"]

import time
from collections import Counter
from collections.abc import Sequence
from typing import Any, NamedTuple

import httpx
import orjson
import trio
from hdrh.histogram import HdrHistogram

from tools.traces import Event, make_text

MAX_MICROSECONDS = 120_000_000
HISTOGRAM_DIGITS = 3
CLIENT_TIMEOUT_SECONDS = 60.0
RETRY_PAUSE_SECONDS = 0.1
MAX_RETRIES = 3
OK = 200


class LoadOptions(NamedTuple):
    """How a trace is sent.

    A ``speed`` of 2 sends it in half the time. ``resend_after`` is the timeout of
    an attempt in seconds; a positive value also makes the client retry after every
    attempt without a 200 answer. With ``obey_retry_after`` the client retries only
    refusals that give a retry time, after that time.
    """

    speed: float = 1.0
    resend_after: float = 0.0
    deadline_ms: int = 0
    obey_retry_after: bool = False


class Result(NamedTuple):
    """The outcome of one request of the trace; times are in seconds.

    ``first_token`` and ``total`` count from the intended send time; ``refused_in``
    counts from the start of the last attempt. ``sent_at`` is wall-clock time, so that
    it can be compared with the engines' event logs. ``whole`` is set if the answer
    was complete. ``sends`` is the number of attempts.
    """

    event: Event
    sent_at: float
    status: int
    kind: str = ""
    first_token: float = 0.0
    total: float = 0.0
    prompt_tokens: int = 0
    cached_tokens: int = 0
    whole: bool = False
    retry_after: float = 0.0
    refused_in: float = 0.0
    sends: int = 1


async def run_load(
    addresses: Sequence[str], events: Sequence[Event], options: LoadOptions
) -> list[Result]:
    """Send ``events`` to the instances in rotation and return all results."""
    results: list[Result] = []
    limits = httpx.Limits(max_connections=None, max_keepalive_connections=200)
    async with httpx.AsyncClient(
        limits=limits, timeout=CLIENT_TIMEOUT_SECONDS, trust_env=False
    ) as client:
        start = trio.current_time() + 0.2
        async with trio.open_nursery() as nursery:
            for number, event in enumerate(events):
                await trio.sleep_until(start + event.at / options.speed)
                intended = start + event.at / options.speed
                caller = _Client(client, addresses, options, number, intended)
                nursery.start_soon(caller.call, event, results)
    return results


class _Client:
    """The client of one request, which retries as the options specify."""

    def __init__(
        self,
        client: httpx.AsyncClient,
        addresses: Sequence[str],
        options: LoadOptions,
        number: int,
        intended: float,
    ):
        self._client = client
        self._addresses = addresses
        self._options = options
        self._number = number
        self._intended = intended

    async def call(self, event: Event, results: list[Result]) -> None:
        result = Result(event, time.time(), 0, "not_sent")
        for attempt in range(1 + MAX_RETRIES):
            result = await self._send_attempt(event, attempt)
            if result.status == OK or not self._should_retry(result):
                break
            pause = RETRY_PAUSE_SECONDS
            if self._options.obey_retry_after:
                pause = result.retry_after
            await trio.sleep(pause)
        results.append(result)

    def _should_retry(self, result: Result) -> bool:
        if self._options.obey_retry_after:
            return result.retry_after > 0
        return self._options.resend_after > 0

    async def _send_attempt(self, event: Event, attempt: int) -> Result:
        sent_at = time.time()
        base = Result(event, sent_at, 0, "timeout", sends=attempt + 1)
        limit = self._options.resend_after or CLIENT_TIMEOUT_SECONDS
        started_at = trio.current_time()
        with trio.move_on_after(limit):
            try:
                base = await self._exchange(event, base, attempt, started_at)
            except httpx.HTTPError as error:
                base = base._replace(kind=type(error).__name__)
        return base._replace(total=trio.current_time() - self._intended)

    async def _exchange(
        self, event: Event, base: Result, attempt: int, started_at: float
    ) -> Result:
        address = self._addresses[(self._number + attempt) % len(self._addresses)]
        path, body, headers = make_request(event, self._options)
        url = f"http://{address}{path}"
        request = self._client.stream("POST", url, content=body, headers=headers)
        async with request as response:
            if response.status_code != OK:
                await response.aread()
                refused_in = trio.current_time() - started_at
                return _read_refusal(base, response, refused_in)
            data = b""
            first = 0.0
            async for chunk in response.aiter_bytes():
                first = first or trio.current_time() - self._intended
                data += chunk
        if not event.parts:
            return base._replace(status=OK, kind="", first_token=first, whole=True)
        return _read_stream(base, data, event)._replace(first_token=first)


def make_request(
    event: Event, options: LoadOptions
) -> tuple[str, bytes, dict[str, str]]:
    """Return the path, body and headers of the request for an event."""
    headers = {
        "Authorization": f"Bearer demo-key-{event.team}",
        "Ashpond-Priority": event.priority,
    }
    if options.deadline_ms:
        headers["Ashpond-Deadline-Ms"] = str(options.deadline_ms)
    if event.key:
        headers |= {"Idempotency-Key": event.key, "X-Call-Id": event.key}
    if not event.parts:
        return f"/services/{event.service}/publish", b"{}", headers
    payload = {
        "model": event.service,
        "stream": True,
        "messages": make_messages(event),
        "max_tokens": event.max_tokens,
    }
    headers["Content-Type"] = "application/json"
    return "/v1/chat/completions", orjson.dumps(payload), headers


def make_messages(event: Event) -> list[dict[str, str]]:
    """Return the chat messages of an event, one for each prompt part."""
    roles = ["system"] * (len(event.parts) - 1) + ["user"]
    return [
        {"role": role, "content": make_text(part)}
        for role, part in zip(roles, event.parts, strict=True)
    ]


def _read_refusal(base: Result, response: httpx.Response, seconds: float) -> Result:
    try:
        error = orjson.loads(response.content)["error"]
    except (orjson.JSONDecodeError, KeyError):
        error = {"type": "no_body", "retry_after_ms": None}
    return base._replace(
        status=response.status_code,
        kind=error["type"],
        retry_after=(error["retry_after_ms"] or 0) / 1000,
        refused_in=seconds,
    )


def _read_stream(base: Result, data: bytes, event: Event) -> Result:
    """Check that a stream is complete and in order, and read its token counts."""
    blocks = data.split(b"\n\n")[:-1]
    if any(block.startswith(b"event: error") for block in blocks):
        return base._replace(status=OK, kind="stream_error")
    numbers = [int(block.split(b"\n")[0][4:]) for block in blocks]
    whole = numbers == list(range(1, event.max_tokens + 2))
    whole = whole and blocks[-1].endswith(b"[DONE]")
    usage: dict[str, Any] = {}
    if whole:
        usage = orjson.loads(blocks[-2].split(b"data: ", 1)[1])["usage"]
    return base._replace(
        status=OK,
        kind="" if whole else "broken_stream",
        whole=whole,
        prompt_tokens=usage.get("prompt_tokens", 0),
        cached_tokens=usage.get("prompt_tokens_details", {}).get("cached_tokens", 0),
    )


class Summary(NamedTuple):
    """Statistics of a group of results.

    Percentiles are of the time to first token in milliseconds, over whole results.
    """

    total: int
    whole: int
    refused: dict[str, int]
    hit_rate: float
    p50: float
    p95: float
    p99: float


def summarize(results: Sequence[Result]) -> Summary:
    """Return the statistics of ``results``."""
    histogram = HdrHistogram(1, MAX_MICROSECONDS, HISTOGRAM_DIGITS)
    whole = [result for result in results if result.whole]
    for result in whole:
        histogram.record_value(max(1, int(result.first_token * 1_000_000)))
    prompt = sum(result.prompt_tokens for result in whole)
    cached = sum(result.cached_tokens for result in whole)
    refused = Counter(result.kind for result in results if not result.whole)
    quantiles = [
        histogram.get_value_at_percentile(q) / 1000 if whole else 0.0
        for q in (50, 95, 99)
    ]
    rate = cached / prompt if prompt else 0.0
    return Summary(len(results), len(whole), dict(refused), rate, *quantiles)
