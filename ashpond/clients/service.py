"""The protocol of plain services: any HTTP request, with an attempt id."""

from __future__ import annotations

__all__ = ["PlainAnswer", "PlainRequest", "fetch_draining", "send_plain"]

from typing import NamedTuple

import httpx
import orjson

from ashpond.clients.engine import (
    ATTEMPT_HEADER,
    NOT_RUN_HEADER,
    OTHER_ANSWER,
    make_idle_timeout,
    says_not_run,
)
from ashpond.clients.http import (
    NOT_SENT_ERRORS,
    ends_with_connection,
    read_backoff,
    read_limited,
)
from ashpond.outcomes import Answered, MaybeRun, NotRun

SERVER_ERROR = 500
# Headers that belong to one connection, or that the router sets itself.
UNFORWARDED_HEADERS = frozenset(
    {
        "authorization",
        "connection",
        "content-length",
        "date",
        "host",
        "keep-alive",
        "proxy-authenticate",
        "proxy-authorization",
        "server",
        "te",
        "trailer",
        "transfer-encoding",
        "upgrade",
        ATTEMPT_HEADER.lower(),
        NOT_RUN_HEADER.lower(),
    }
)


class PlainRequest(NamedTuple):
    """One attempt of a call to a plain service."""

    method: str
    path: str
    query: str
    headers: dict[str, str]
    body: bytes
    attempt: str
    answer_seconds: float


class PlainAnswer(NamedTuple):
    """The response of a plain service.

    ``is_close_delimited`` is whether only the end of the connection marked its end, so
    that it may be incomplete.
    """

    status: int
    headers: dict[str, str]
    body: bytes
    is_close_delimited: bool


async def send_plain(
    client: httpx.AsyncClient, address: str, request: PlainRequest
) -> Answered | NotRun | MaybeRun:
    """Send one attempt; ``Answered`` holds a :class:`PlainAnswer`."""
    headers = keep_end_to_end(request.headers)
    headers[ATTEMPT_HEADER] = request.attempt
    url = httpx.URL(f"http://{address}{request.path}", query=request.query.encode())
    try:
        http_request = client.build_request(
            request.method,
            url,
            headers=headers,
            content=request.body,
            timeout=make_idle_timeout(client, request.answer_seconds),
        )
        response = await client.send(http_request, stream=True)
        body = await read_limited(response)
    except NOT_SENT_ERRORS as error:
        return NotRun(f"not reached: {error!r}", unreached=True)
    except httpx.HTTPError as error:
        return MaybeRun(repr(error))
    echo = response.headers.get(ATTEMPT_HEADER)
    if echo not in (None, request.attempt):
        return MaybeRun(OTHER_ANSWER)
    if says_not_run(response, request.attempt):
        reason = f"refused with status {response.status_code}"
        return NotRun(reason, backoff=read_backoff(response))
    if response.status_code >= SERVER_ERROR:
        reason = f"failed with status {response.status_code}"
        return MaybeRun(reason, read_backoff(response))
    kept = keep_end_to_end(dict(response.headers))
    kept.pop("content-encoding", None)
    answer = PlainAnswer(
        response.status_code, kept, body, ends_with_connection(response)
    )
    return Answered(answer)


def keep_end_to_end(headers: dict[str, str]) -> dict[str, str]:
    """Return the end-to-end headers."""
    return {
        name: value
        for name, value in headers.items()
        if name.lower() not in UNFORWARDED_HEADERS
    }


async def fetch_draining(client: httpx.AsyncClient, address: str) -> bool | None:
    """Return whether a plain server is draining, ``None`` if it does not answer."""
    try:
        response = await client.get(f"http://{address}/load")
        return bool(orjson.loads(response.content).get("draining"))
    except (httpx.HTTPError, orjson.JSONDecodeError, AttributeError):
        return None
