"""The request value that filters pass on, and the reply that comes back."""

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
    """Which caller API a request came in by."""

    CHAT = "chat"
    TEXT = "text"
    PLAIN = "plain"


class Progress:
    """What has become of a call so far, for accounts and limits.

    ``is_whole`` tells that a stream has come to its end event.
    """

    def __init__(self) -> None:
        self.team = ""
        self.service = ""
        self.first_token_at: float | None = None
        self.failed = False
        self.is_whole = False
        self.run = RunState.NOT_RUN


class Call(NamedTuple):
    """One caller's request; each filter adds what it finds out.

    ``arrived`` and ``deadline`` are in seconds of the runtime's clock.
    ``exits`` is closed once the whole answer has been handed to the caller.
    ``resumable`` keeps a stream at its engine when the caller is gone.
    ``level_ends`` are offsets in ``prompt`` where its shared levels end.
    ``is_suspected`` tells that the call may end the server that runs it.
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
    """The answer to a call: whole bytes, or a stream of chunks."""

    status: int
    headers: dict[str, str]
    body: bytes | AsyncIterator[bytes]


Handler = Callable[[Call], Awaitable[Reply]]
Filter = Callable[[Call, Handler], Awaitable[Reply]]


def build_chain(filters: list[Filter], last: Handler) -> Handler:
    """Return one handler that runs ``filters`` in order and ends in ``last``."""
    handler = last
    for step in reversed(filters):
        handler = _bind(step, handler)
    return handler


def _bind(step: Filter, following: Handler) -> Handler:
    async def handle(call: Call) -> Reply:
        return await step(call, following)

    return handle
