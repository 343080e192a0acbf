"""HTTP clients, and the errors after which a request was certainly not sent."""

from __future__ import annotations

__all__ = [
    "MAX_ANSWER_BYTES",
    "NOT_SENT_ERRORS",
    "ends_with_connection",
    "make_client",
    "read_backoff",
    "read_limited",
]

import ssl

import httpx
import trio

from ashpond import __version__
from ashpond.clients.checkedtransports import CheckedTransport
from ashpond.clients.responseheads import Framing, find_framing
from ashpond.clients.retryafter import REJECTIONS, parse_retry_after

# After these errors, no byte of the request has reached the server.
NOT_SENT_ERRORS = (
    httpx.ConnectError,
    httpx.ConnectTimeout,
    httpx.PoolTimeout,
    httpx.UnsupportedProtocol,
)
# The largest answer that is not a stream.
MAX_ANSWER_BYTES = 32 << 20
MAX_CONNECTIONS = 2000
IDLE_SECONDS = 20.0


def read_backoff(response: httpx.Response) -> float | None:
    """Return the backoff that a rejecting server requests, in seconds."""
    if response.status_code not in REJECTIONS:
        return None
    texts = response.headers.get_list("Retry-After")
    backoff, _ = parse_retry_after(texts, response.headers.get("Date"))
    return backoff


async def read_limited(response: httpx.Response) -> bytes:
    """Return the body of a response that is not read yet.

    :raises httpx.HTTPError: if it breaks off or is larger than ``MAX_ANSWER_BYTES``.
    """
    body = bytearray()
    try:
        async for piece in response.aiter_bytes():
            body += piece
            if len(body) > MAX_ANSWER_BYTES:
                raise httpx.RemoteProtocolError("the answer is too large")
    finally:
        with trio.CancelScope(shield=True):
            await response.aclose()
    return bytes(body)


def ends_with_connection(response: httpx.Response) -> bool:
    """Return whether only the end of the connection marks the end of the body.

    Such a body may have broken off anywhere; ``httpx`` reports it as complete.
    """
    headers = [(name.lower(), value) for name, value in response.headers.raw]
    method, status = response.request.method, response.status_code
    return find_framing(method, status, headers) is Framing.CLOSE


def make_client(
    connect_timeout: float, answer_timeout: float, *, keep_alive: bool = True
) -> httpx.AsyncClient:
    """Return an HTTP client for many servers.

    :param keep_alive: whether connections are reused. Without it, the server's close
        of an idle connection cannot be mistaken for a lost request.
    """
    timeout = httpx.Timeout(
        answer_timeout, connect=connect_timeout, pool=connect_timeout
    )
    limits = httpx.Limits(
        max_connections=MAX_CONNECTIONS,
        max_keepalive_connections=MAX_CONNECTIONS if keep_alive else 0,
        keepalive_expiry=IDLE_SECONDS,
    )
    # All addresses are plain HTTP. A context without CA certificates rejects any TLS
    # server, and saves loading some hundred certificates.
    context = ssl.SSLContext(ssl.PROTOCOL_TLS_CLIENT)
    return httpx.AsyncClient(
        transport=CheckedTransport(context, limits),
        timeout=timeout,
        trust_env=False,
        headers={"User-Agent": f"ashpond/{__version__}"},
    )
