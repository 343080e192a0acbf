"""The router's own answers, and the headers that it does not forward."""

from __future__ import annotations

__all__ = ["drop_connection_headers", "send_complete", "send_refusal"]

import math

from ashpond.gateway.calls import Headers, Reply
from ashpond.outcomes import Refusal

# Far below a hundredth of a second, above the error of a sum of times (hundredths).
ROUNDING = 1e-4
CONNECTION_HEADERS = frozenset(
    {b"connection", b"keep-alive", b"transfer-encoding", b"content-length"}
    | {b"proxy-connection", b"te", b"trailer", b"upgrade"}
)


def drop_connection_headers(headers: Headers) -> Headers:
    """Return the headers without those that concern one connection only."""
    return [(n, v) for n, v in headers if n.lower() not in CONNECTION_HEADERS]


async def send_refusal(reply: Reply, refusal: Refusal) -> None:
    """Send a refusal as plain text, with Retry-After if it has a retry time."""
    headers: Headers = []
    if refusal.retry_after is not None:
        headers.append((b"retry-after", _format_seconds(refusal.retry_after)))
    body = refusal.message.encode() + b"\n"
    await send_complete(reply, refusal.status, b"text/plain", body, headers)


def _format_seconds(seconds: float) -> bytes:
    """Return a time with two decimals, rounded up: a client must not come too early."""
    hundredths = math.ceil(seconds * 100 - ROUNDING)
    return f"{hundredths / 100:.2f}".encode()


async def send_complete(
    reply: Reply,
    status: int,
    content_type: bytes,
    body: bytes,
    headers: Headers | None = None,
) -> None:
    """Send a complete answer."""
    length = str(len(body)).encode()
    own_headers: Headers = [
        (b"content-type", content_type),
        (b"content-length", length),
    ]
    await reply.start(status, [*own_headers, *(headers or [])])
    await reply.send(body)
    await reply.finish()
