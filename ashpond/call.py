"""A client's request as the filter chain handles it, and its reply."""

from __future__ import annotations

__all__ = ["Call", "CallKind", "Filter", "Handler", "Progress", "Reply", "build_chain"]

from collections.abc import AsyncIterator, Awaitable, Callable
from contextlib import AsyncExitStack
from enum import StrEnum
from typing import TYPE_CHECKING, Any, NamedTuple

from ashpond.outcomes import RunState

if TYPE_CHECKING:
    from ashpond.configuration import ServiceConfig, TeamConfig


class CallKind(StrEnum):
    """The API of ashpond through which a request arrived."""

    CHAT = "chat"
    TEXT = "text"
    PLAIN = "plain"


class Progress:
    """The state of a call so far, which the filters share.

    ``first_token_at`` is in seconds of the runtime's clock. ``is_whole`` is set once a
    stream has passed on its end event. ``run`` is what is known of the call's effect
    at the backend server.
    """

    def __init__(self) -> None:
        self.team = ""
        self.service = ""
        self.first_token_at: float | None = None
        self.failed = False
        self.is_whole = False
        self.run = RunState.NOT_RUN


class Call(NamedTuple):
    """A client's request; each filter passes on a copy with more fields set.

    ``arrived`` and ``deadline`` are in seconds of the runtime's clock.
    ``exits`` is closed once the whole response has been sent to the client.
    ``resumable`` means that the engine keeps the stream when the client disconnects.
    ``level_ends`` are the character offsets in ``prompt`` at which its shared levels
    end. ``is_suspected`` means that the call may crash the server that runs it.
    """

    kind: CallKind
    method: str
    path: str
    headers: dict[str, str]
    body: bytes
    arrived: float
    exits: AsyncExitStack
    progress: Progress
    query: str = ""
    service_name: str = ""
    payload: dict[str, Any] | None = None
    team_name: str = ""
    team: TeamConfig | None = None
    service: ServiceConfig | None = None
    priority: str = ""
    deadline: float = 0.0
    repeatable: bool = True
    streamed: bool = False
    resumable: bool = False
    idempotency_key: str | None = None
    prompt: str = ""
    level_ends: tuple[int, ...] = ()
    prompt_tokens: int = 0
    max_tokens: int = 0
    claim_attempt: str | None = None
    is_suspected: bool = False


class Reply(NamedTuple):
    """The HTTP response to a call; the body is complete or a stream of chunks.

    ``is_close_delimited`` is whether nothing showed that the body is complete. Then
    only the end of the client's connection may mark its end.
    """

    status: int
    headers: dict[str, str]
    body: bytes | AsyncIterator[bytes]
    is_close_delimited: bool = False


Handler = Callable[[Call], Awaitable[Reply]]
Filter = Callable[[Call, Handler], Awaitable[Reply]]


def build_chain(filters: list[Filter], last: Handler) -> Handler:
    """Return a handler that runs ``filters`` in order and then calls ``last``."""
    handler = last
    for step in reversed(filters):
        handler = _bind(step, handler)
    return handler


def _bind(step: Filter, following: Handler) -> Handler:
    async def handle(call: Call) -> Reply:
        return await step(call, following)

    return handle
