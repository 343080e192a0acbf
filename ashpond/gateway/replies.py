"""The router's own answers, and the headers that it does not forward."""

from __future__ import annotations

__all__ = ["drop_connection_headers", "send_complete", "send_refusal"]

from ashpond.gateway.calls import Headers, Reply
from ashpond.outcomes import Refusal

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
        headers.append((b"retry-after", f"{refusal.retry_after:.2f}".encode()))
    body = refusal.message.encode() + b"\n"
    await send_complete(reply, refusal.status, b"text/plain", body, headers)


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
