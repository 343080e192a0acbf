"""Send a peer what waits for it on its link; what does not go out whole stays there."""

from __future__ import annotations

__all__ = ["SEND_SECONDS", "send_digest", "send_urgent"]

import trio

from ashpond.clients.peer import PeerStream
from ashpond.errors import FrameError
from ashpond.fleet.links import SCOPE_BY_ROLE, Link
from ashpond.fleet.updates import (
    Digest,
    encode_changes,
    encode_crashes,
    encode_notices,
    encode_update,
)
from ashpond.fleet.view import InstanceLoad

# A peer that does not take a frame within this is connected to anew (seconds).
SEND_SECONDS = 1.0


async def send_urgent(incarnation: str, link: Link, stream: PeerStream) -> None:
    """Tell changes of tables, ends, and notices that need not wait for a digest.

    :param life: the sender's.
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
        link.put_back(notices, [])
        raise


async def _send_crashes(incarnation: str, link: Link, stream: PeerStream) -> None:
    """Tell of ends; a connection that breaks meanwhile begins by telling of all."""
    if not link.crashes:
        return
    crashes = list(link.crashes)
    link.crashes.clear()
    with trio.fail_after(SEND_SECONDS):
        await stream.send(
            encode_crashes(incarnation, SCOPE_BY_ROLE[link.role], crashes)
        )


async def send_digest(
    incarnation: str, group: str, link: Link, stream: PeerStream, load: InstanceLoad
) -> None:
    """Tell the work, and with it the notices and holdings that wait.

    :param life: the sender's, of the group ``group``.
    """
    notices, cache_entries = link.take()
    digest = Digest(SCOPE_BY_ROLE[link.role], group, load, notices, cache_entries)
    update = encode_update(incarnation, digest)
    try:
        with trio.fail_after(SEND_SECONDS):
            await stream.send(update)
    except FrameError:
        # Too large: it would end the next connection as well.
        raise
    except BaseException:
        # The peer takes nothing of a message that did not go out whole.
        link.put_back(notices, cache_entries)
        raise
