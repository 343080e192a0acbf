"""Forward a backend server's stream to the client as it arrives."""

from __future__ import annotations

__all__ = ["forward_stream"]

from typing import TYPE_CHECKING

import trio

from ashpond.clients.channels import ChannelError
from ashpond.decisions.eventstream import MAX_EVENT_BYTES
from ashpond.gateway.streamends import StreamEnd

if TYPE_CHECKING:
    from collections.abc import Awaitable, Callable

    from ashpond.clients.channels import Response
    from ashpond.gateway.callprogress import CallProgress


async def forward_stream(
    call: CallProgress,
    response: Response,
    reserve: Callable[[int], Awaitable[None]] | None,
    note_first_piece: Callable[[], None],
    note_begun: Callable[[], None],
    version: str,
) -> bytes:
    """Forward a stream up to its last complete event; return what comes after that.

    Resumable streams are forwarded in complete events, others as they arrive.

    :param reserve: waits for memory for a piece, as its client may read slowly.
    :param note_begun: is called before the first event is forwarded.
    :param version: the software version of the server.
    :raises ChannelError: if the stream breaks off, or an event is too large.
    """
    incomplete: list[bytes] = []
    held_bytes = 0
    end = StreamEnd(response.framing, response.headers)
    is_first = True
    has_begun = False
    while piece := await response.read():
        if is_first:
            note_first_piece()
            is_first = False
        if reserve is not None:
            await reserve(len(piece))
        end.feed(piece)
        data = piece
        if call.route.is_resumable:
            incomplete.append(piece)
            held_bytes += len(piece)
            data = b""
            # Only a line end can complete an event, and the splitter searches all that
            # it holds with each piece. 300 answers of 400 KB without one delayed other
            # requests by 1 s.
            if b"\n" in piece or b"\r" in piece:
                data = call.splitter.feed(b"".join(incomplete))
                incomplete.clear()
                held_bytes = call.splitter.pending_bytes
        if max(held_bytes, end.open_bytes) > MAX_EVENT_BYTES:
            raise ChannelError("an event of the stream is too large", is_sent=True)
        if data:
            if not has_begun:
                note_begun()
                has_begun = True
            if call.route.is_resumable:
                call.note_event(version)
            await start_reply(call, response, end)
            await call.reply.send(data)
            call.forwarded_at = trio.current_time()
    is_doubt_shown = call.is_close_delimited or not call.is_started
    failure = end.find_failure(is_doubt_shown=is_doubt_shown)
    if failure is not None:
        raise ChannelError(failure, is_sent=True)
    await start_reply(call, response, end)
    rest = call.splitter.feed(b"".join(incomplete))
    return rest + call.splitter.take_remainder()


async def start_reply(call: CallProgress, response: Response, end: StreamEnd) -> None:
    """Start the client's answer, whose end shows no more than the server's does."""
    await call.start_reply(
        response.status, response.headers, is_close_delimited=end.is_unproven
    )
