"""Direct connections to backend servers that are being opened."""

from __future__ import annotations

__all__ = ["DirectConnection", "probe_servers"]

from typing import TYPE_CHECKING

import trio

from ashpond.clients.channels import Channel, ChannelError

if TYPE_CHECKING:
    import random
    from collections.abc import Awaitable, Callable, Sequence

    from ashpond.clients.channelpools import ChannelPool
    from ashpond.controllers.directory import ServerState

# How long the connection of a probe has to stay open to count (seconds).
PROBE_HOLD_SECONDS = 0.05


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


async def probe_servers(
    pool: ChannelPool, states: Sequence[ServerState], rng: random.Random
) -> bool:
    """Return whether a connection to some server can be opened and stays open.

    Servers that this instance has reached before are preferred: others may not exist.
    """
    present = [state for state in states if state.is_present()]
    reached = [state for state in present if state.was_reached]
    if not present:
        return False
    try:
        channel = await pool.connect(rng.choice(reached or present).info.address)
    except ChannelError:
        return False
    await trio.sleep(PROBE_HOLD_SECONDS)
    is_open = channel.is_open()
    channel.close()
    return is_open
