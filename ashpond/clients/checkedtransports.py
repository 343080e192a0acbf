"""Transports of ``httpx`` that pass on no broken answer.

``httpx`` drops an error of sending, and reads a connection's end after it like a
regular one. It also joins the lines of a field.
"""

from __future__ import annotations

__all__ = ["CheckedTransport"]

from typing import TYPE_CHECKING, Any

import httpcore
import httpx

from ashpond.clients.readlimits import MAX_OVERHEAD_BYTES
from ashpond.clients.responseheads import FOLDED, read_lines
from ashpond.clients.sockets import has_unacknowledged_data

if TYPE_CHECKING:
    import ssl
    from collections.abc import Iterable


class CheckedStream(httpcore.AsyncNetworkStream):
    """A connection that carries one exchange of HTTP/1.1 at a time."""

    def __init__(self, stream: httpcore.AsyncNetworkStream):
        self._stream = stream
        self._has_write_failed = False
        # What has been received since the heads of a response began, None after them.
        self._heads: bytearray | None = None

    async def read(self, max_bytes: int, timeout: float | None = None) -> bytes:
        """Return the next bytes, empty at the end of the connection.

        :raises httpcore.ReadError: if it ends before the server has the request.
        :raises httpcore.RemoteProtocolError: if a line of a head continues another.
        """
        data = await self._stream.read(max_bytes, timeout)
        if not data and not self._has_server_request():
            raise httpcore.ReadError("the connection ended before the request was sent")
        if self._heads is not None:
            self._heads += data
            self._check_heads(self._heads)
        return data

    def _has_server_request(self) -> bool:
        sock = self._stream.get_extra_info("socket")
        return not self._has_write_failed and not has_unacknowledged_data(sock)

    def _check_heads(self, heads: bytearray) -> None:
        lines = read_lines(heads)
        if lines.is_folded:
            raise httpcore.RemoteProtocolError(FOLDED)
        if lines.has_ended:
            self._heads = None
        elif len(heads) > MAX_OVERHEAD_BYTES:
            raise httpcore.RemoteProtocolError("too many bytes before the body")

    async def write(self, buffer: bytes, timeout: float | None = None) -> None:
        """Send all bytes, after which the heads of a response are expected.

        :raises httpcore.WriteError: if the connection is broken.
        """
        self._heads = bytearray()
        try:
            await self._stream.write(buffer, timeout)
        except httpcore.WriteError:
            self._has_write_failed = True
            raise

    async def aclose(self) -> None:
        """Close the connection."""
        await self._stream.aclose()

    async def start_tls(
        self,
        ssl_context: ssl.SSLContext,
        server_hostname: str | None = None,
        timeout: float | None = None,
    ) -> httpcore.AsyncNetworkStream:
        """Return the connection within TLS."""
        stream = await self._stream.start_tls(ssl_context, server_hostname, timeout)
        return CheckedStream(stream)

    def get_extra_info(self, info: str) -> Any:
        """Return what ``httpcore`` asks of a connection."""
        return self._stream.get_extra_info(info)


class CheckedBackend(httpcore.TrioBackend):
    """Opens checked connections."""

    async def connect_tcp(
        self,
        host: str,
        port: int,
        timeout: float | None = None,
        local_address: str | None = None,
        socket_options: Iterable[httpcore.SOCKET_OPTION] | None = None,
    ) -> httpcore.AsyncNetworkStream:
        """Return a connection to a server."""
        stream = await super().connect_tcp(
            host, port, timeout, local_address, socket_options
        )
        return CheckedStream(stream)


class CheckedTransport(httpx.AsyncHTTPTransport):
    """Raises an error for each broken answer."""

    def __init__(self, context: ssl.SSLContext, limits: httpx.Limits):
        super().__init__(verify=context, limits=limits)
        # httpx has no parameter for the backend of its pool.
        self._pool = httpcore.AsyncConnectionPool(
            ssl_context=context,
            max_connections=limits.max_connections,
            max_keepalive_connections=limits.max_keepalive_connections,
            keepalive_expiry=limits.keepalive_expiry,
            network_backend=CheckedBackend(),
        )
