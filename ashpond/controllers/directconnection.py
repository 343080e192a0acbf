"""A direct connection to a backend server that is being opened."""

from __future__ import annotations

__all__ = ["DirectConnection"]

from typing import TYPE_CHECKING

import trio

from ashpond.clients.channels import Channel, ChannelError

if TYPE_CHECKING:
    from collections.abc import Awaitable, Callable


class DirectConnection:
    """The connection once it is open, or the error; ``done`` is set with either."""

    def __init__(self) -> None:
        self.channel: Channel | None = None
        self.error: ChannelError | None = None
        self.done = trio.Event()

    async def open(self, connect: Callable[[], Awaitable[Channel]]) -> None:
        """Connect, and record the connection or the error."""
        try:
            self.channel = await connect()
        except ChannelError as error:
            self.error = error
        self.done.set()
