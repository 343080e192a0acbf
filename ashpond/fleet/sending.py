"""Send what is queued on a link, and requeue what was not sent completely."""

from __future__ import annotations

__all__ = ["SEND_SECONDS", "queue_full_state", "send_digest", "send_urgent"]

from collections.abc import Callable

import trio

from ashpond.clients.peer import PeerStream, PeerUpdate
from ashpond.errors import FrameError
from ashpond.fleet.links import SCOPE_BY_ROLE, Link, PeerRole
from ashpond.fleet.updates import (
    Digest,
    UpdateHandlers,
    encode_changes,
    encode_crashes,
    encode_notices,
)
from ashpond.fleet.view import InstanceLoad

# If a frame is not sent within this time, the connection is reopened (seconds).
SEND_SECONDS = 1.0


def queue_full_state(link: Link, handlers: UpdateHandlers) -> None:
    """Queue what a peer that has just connected may not know."""
    queued = set(link.notices)
    leaving = [notice for notice in handlers.list_leaving() if notice not in queued]
    link.crashes.clear()
    link.add(notices=leaving, crashes=handlers.list_crashes())
    # An equal may still wait for a reader of a fleet that has become a mesh.
    if link.role is not PeerRole.HUB:
        link.add(tables=handlers.list_versions())


async def send_urgent(incarnation: str, link: Link, stream: PeerStream) -> None:
    """Send table updates, crashes, and notices that no due digest will carry.

    :param incarnation: that of the sending instance.
    """
    scope = SCOPE_BY_ROLE[link.role]
    while link.tables:
        changes = encode_changes(incarnation, scope, link.tables.popleft())
        with trio.fail_after(SEND_SECONDS):
            await stream.send(changes)
    await _send_crashes(incarnation, link, stream)
    if not link.notices or link.is_due:
        return
    notices, link.notices = link.notices, []
    try:
        with trio.fail_after(SEND_SECONDS):
            await stream.send(encode_notices(incarnation, scope, notices))
    except BaseException:
        link.requeue(notices, [])
        raise


async def _send_crashes(incarnation: str, link: Link, stream: PeerStream) -> None:
    """Send the queued crashes.

    Nothing is requeued on failure: each new connection begins with all known crashes.
    """
    if not link.crashes:
        return
    crashes = list(link.crashes)
    link.crashes.clear()
    with trio.fail_after(SEND_SECONDS):
        await stream.send(
            encode_crashes(incarnation, SCOPE_BY_ROLE[link.role], crashes)
        )


async def send_digest(
    encode: Callable[[Digest], PeerUpdate],
    group: str,
    link: Link,
    stream: PeerStream,
    load: InstanceLoad,
) -> None:
    """Send the load together with the queued notices and cache entries.

    :param encode: returns the message for a digest of the sending instance.
    :param group: the sender's group, empty in a flat fleet.
    """
    notices, cache_entries = link.take_pending()
    digest = Digest(SCOPE_BY_ROLE[link.role], group, load, notices, cache_entries)
    update = encode(digest)
    try:
        with trio.fail_after(SEND_SECONDS):
            await stream.send(update)
    except FrameError:
        # The frame is too large. If requeued, it would break the next connection too.
        raise
    except BaseException:
        # The peer ignores a message that it did not receive completely.
        link.requeue(notices, cache_entries)
        raise
