"""Keep a connection open to each peer that receives updates."""

from __future__ import annotations

__all__ = ["MAX_FRAME_BYTES", "keep_connected"]

from collections.abc import Awaitable, Callable

import trio

from ashpond.clients.peer import PeerStream, connect_peer
from ashpond.fleet.intervals import RECONNECT_LIMIT_SECONDS, RECONNECT_SECONDS
from ashpond.fleet.links import PEER_ERRORS, Link
from ashpond.fleet.members import Members
from ashpond.fleet.sending import SEND_SECONDS
from ashpond.gateway.decisionlog import DecisionLog

MAX_FRAME_BYTES = 1 << 20


async def keep_connected(
    link: Link,
    address: str,
    members: Members,
    log: DecisionLog,
    run_link: Callable[[Link, PeerStream], Awaitable[str]],
) -> None:
    """Connect to a peer, and reconnect with backoff, until the link is cancelled.

    :param run_link: uses a connection until it ends, and returns the reason.
    """
    pause = RECONNECT_SECONDS
    is_lost = False
    with link.scope:
        while True:
            reason = "it ended the connection"
            try:
                with trio.fail_after(SEND_SECONDS):
                    stream = await connect_peer(
                        address, members.secret, MAX_FRAME_BYTES
                    )
                if is_lost:
                    log.note("peer_regained", peer=link.name)
                is_lost = False
                pause = RECONNECT_SECONDS
                reason = await run_link(link, stream)
            except PEER_ERRORS as error:
                reason = repr(error)
            if not is_lost:
                log.note("peer_lost", peer=link.name, reason=reason)
            is_lost = True
            await trio.sleep(pause)
            pause = min(RECONNECT_LIMIT_SECONDS, pause * 2)
