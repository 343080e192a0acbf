"""Forward an answer that a server has completed."""

from __future__ import annotations

__all__ = ["find_obstacle", "forward_answer"]

from typing import TYPE_CHECKING

from ashpond.clients.responseheads import Framing
from ashpond.gateway.rejections import PROMISES
from ashpond.gateway.replies import drop_connection_headers

if TYPE_CHECKING:
    from ashpond.gateway.callprogress import Answer, CallProgress

BODYLESS_STATUSES = (204, 304)


def find_obstacle(call: CallProgress, answer: Answer) -> str | None:
    """Return why an answer cannot be the client's, None if it can.

    A client that gets one of the statuses that promise that its request has not run
    sends it again; the server that answered has promised nothing.
    """
    if call.is_started:
        return f"status {answer.status} on resumption"
    if answer.status in PROMISES:
        return f"the server answered {answer.status}, but may have run the request"
    return None


async def forward_answer(call: CallProgress, answer: Answer) -> None:
    """Complete the client's answer with that of a server."""
    headers = drop_connection_headers(answer.headers)
    # A length would claim that the body is complete, which nothing has shown.
    is_close_delimited = answer.framing is Framing.CLOSE
    has_length = answer.body or not is_bodyless(call, answer.status)
    if has_length and not is_close_delimited:
        headers.append((b"content-length", str(len(answer.body)).encode()))
    call.is_finished = True
    call.note("ended", status=answer.status, framing=answer.framing)
    await call.reply.start(
        answer.status, headers, is_close_delimited=is_close_delimited
    )
    await call.reply.send(answer.body)
    await call.reply.finish()


def is_bodyless(call: CallProgress, status: int) -> bool:
    """Return whether an answer has no body, whatever its Content-Length."""
    return call.request.method == "HEAD" or status in BODYLESS_STATUSES
