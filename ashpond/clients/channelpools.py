"""Idle connections to backend servers, which are kept for reuse."""

from __future__ import annotations

__all__ = ["ChannelPool", "ConnectResult", "check_address"]

import math
from collections.abc import Callable
from enum import Enum, auto

import trio

from ashpond.clients.channels import Channel, ChannelError
from ashpond.clients.liveness import UNACKNOWLEDGED_MS
from ashpond.clients.sockets import open_socket
from ashpond.clients.transports import SocketTransport

# Connecting within a site takes a few ms; a lost packet is retransmitted after 1 s.
CONNECT_SECONDS = 0.45


class ConnectResult(Enum):
    """Result of an attempt to connect to a server."""

    CONNECTED = auto()
    REFUSED = auto()
    # Refused here, and no peer was sure whether the server is up.
    REFUSED_HERE = auto()
    UNKNOWN = auto()


async def check_address(address: str) -> ConnectResult:
    """Connect to an address to check that a server listens there, and disconnect."""
    pool = ChannelPool()
    reach = await pool.check("", address)
    pool.close_idle("")
    return reach


class ChannelPool:
    """Idle connections by backend server; the most recently used is reused first."""

    def __init__(self, clock: Callable[[], float] = trio.current_time):
        self._clock = clock
        self._idle: dict[str, list[Channel]] = {}
        self.opened = 0
        # Size of the buffers of each new connection's socket; 0: the kernel's choice.
        self.buffer_bytes = 0

    async def acquire(
        self, owner: str, address: str, request_id: str | None = None
    ) -> Channel:
        """Return an idle or a new connection to ``address``.

        :param owner: key of the server. An address may later be assigned to another
            server, which must not get the connections of the former one.
        :param request_id: as for :meth:`take_idle`.
        :raises ChannelError: if connecting fails; nothing was sent.
        """
        return self.take_idle(owner, request_id) or await self.connect(address)

    def take_idle(self, owner: str, request_id: str | None = None) -> Channel | None:
        """Return an idle connection to a server, None if there is none.

        :param request_id: the id of the request to send, None if it has none. The
            attempts of a request need connections of their own: a late copy of the
            answer to one looks like that to the next.
        """
        idle = self._idle.get(owner, [])
        for index in reversed(range(len(idle))):
            channel = idle[index]
            if request_id is not None and channel.has_carried(request_id):
                continue
            del idle[index]
            if channel.is_usable(self._clock()):
                return channel
            channel.close()
        return None

    async def connect(
        self, address: str, unacknowledged_ms: int = UNACKNOWLEDGED_MS
    ) -> Channel:
        """Return a new connection to ``address``.

        :param unacknowledged_ms: how long the server may acknowledge nothing.
        :raises ChannelError: if connecting fails; nothing was sent.
        """
        try:
            sock = await open_socket(
                address, CONNECT_SECONDS, self.buffer_bytes, unacknowledged_ms
            )
        except (OSError, trio.TooSlowError) as error:
            is_refused = isinstance(error, ConnectionRefusedError)
            raise ChannelError(
                f"no connection: {error!r}", is_sent=False, is_refused=is_refused
            ) from error
        self.opened += 1
        return Channel(SocketTransport(sock), self._clock)

    async def check(self, owner: str, address: str) -> ConnectResult:
        """Open a connection to check that a server is up, and keep it for reuse."""
        try:
            channel = await self.connect(address)
        except ChannelError as error:
            return ConnectResult.REFUSED if error.is_refused else ConnectResult.UNKNOWN
        self.keep(owner, channel)
        return ConnectResult.CONNECTED

    def keep(self, owner: str, channel: Channel) -> None:
        """Keep a new connection, which has served no request, for use."""
        channel.start_idle_time()
        self._idle.setdefault(owner, []).append(channel)

    def release(self, owner: str, channel: Channel) -> None:
        """Return a connection to the pool after a complete exchange."""
        if channel.prepare_reuse():
            self._idle.setdefault(owner, []).append(channel)
        else:
            channel.close()

    def close_relayed(self, relay: str) -> None:
        """Close the idle connections that lead through an instance."""
        for owner, channels in self._idle.items():
            for channel in channels:
                if channel.relay == relay:
                    channel.close()
            self._idle[owner] = [c for c in channels if c.relay != relay]

    def count_idle(self, owner: str) -> int:
        """Return the number of idle connections to a server."""
        return len(self._idle.get(owner, ()))

    def find_oldest(self, owner: str) -> float:
        """Return since when an idle connection to a server has been open (seconds).

        Infinity is returned if there is none. The process that accepted it still runs.
        """
        opened = [c.opened_at for c in self._idle.get(owner, ()) if c.is_open()]
        return min(opened, default=math.inf)

    def close_idle(self, owner: str) -> None:
        """Close the idle connections to a server that was removed."""
        for channel in self._idle.pop(owner, []):
            channel.close()
