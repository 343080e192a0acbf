"""The values of a routed call that ingress, dispatch and channels share."""

from __future__ import annotations

__all__ = [
    "AnswerHeaders",
    "Codec",
    "Envelope",
    "Headers",
    "IncomingCall",
    "Instructions",
    "Reply",
]

from collections.abc import Callable
from typing import NamedTuple, Protocol

from ashpond.controllers.memory import NO_LIMIT, CallMemory
from ashpond.decisions.prompts import Prompt
from ashpond.wire import Headers


class Envelope(NamedTuple):
    """The headers of a request that the router reads.

    ``timeout`` is how long the client will wait (seconds). ``headers`` are
    forwarded to the backend server, without those that the router sets. ``tokens`` is
    the sum of the prompt's tokens and the output's limit, None if the client sent no
    valid number. ``resumes`` is the id of the request that brought the first event of
    the stream that the client takes up again: None if it names none, empty if what it
    names is not one id. ``model`` is the model that it names, also if the rest of
    ``prompt`` cannot be read.
    """

    request_id: str
    timeout: float | None
    key: str | None
    prompt: Prompt | None
    resume_after: str | None
    headers: Headers
    tokens: int | None = None
    resumes: str | None = None
    model: str | None = None

    @property
    def is_continuation(self) -> bool:
        """Whether the client has a part of the stream that it asks for."""
        return bool(self.resume_after) or self.resumes is not None


class Instructions(NamedTuple):
    """What the router sends to a backend server besides the client's headers.

    ``time_left`` is in seconds. ``salt`` separates cached prompt parts;
    ``fetch_from`` is the address of an engine or cache store that has some of them
    cached, ``save_to`` that of a store that they are saved to.
    """

    server_id: str
    team: str | None
    time_left: float
    salt: str | None = None
    weights_version: int | None = None
    urgency: int | None = None
    resume_after: str | None = None
    fetch_from: str | None = None
    save_to: str | None = None


class AnswerHeaders(NamedTuple):
    """The headers of a backend server's answer that the router reads.

    ``rate_limit`` is in requests per second, for all instances together; None if the
    answer has none. ``is_leaving`` means that the server is about to leave. ``backoff``
    is how long this instance must send it no request (seconds). ``is_limit_invalid``,
    ``is_leaving_invalid``, ``is_backoff_invalid`` and ``is_max_rejections_invalid``
    mean that a header has no valid value. ``max_rejections`` is the number of
    rejections a second above which the server falls over, None if it names none.
    """

    request_id: str | None
    is_not_run: bool
    server_id: str | None
    weights_version: int | None
    rate_limit: float | None = None
    is_limit_invalid: bool = False
    is_leaving: bool = False
    is_leaving_invalid: bool = False
    backoff: float | None = None
    is_backoff_invalid: bool = False
    max_rejections: float | None = None
    is_max_rejections_invalid: bool = False


class Codec(NamedTuple):
    """The functions that read and write the headers of one external protocol.

    ``read_envelope`` returns None for a request that lacks a required header.
    """

    read_envelope: Callable[[Headers], Envelope | None]
    write_headers: Callable[[Envelope, Instructions], Headers]
    read_answer_headers: Callable[[Headers], AnswerHeaders]


class IncomingCall(NamedTuple):
    """One request, read completely; ``target`` is path and query as sent.

    ``memory`` counts the bytes that are held for it.
    """

    method: str
    host: str
    path: str
    target: bytes
    envelope: Envelope
    body: bytes
    received_at: float
    memory: CallMemory = NO_LIMIT


class Reply(Protocol):
    """The answer to one request, as it is sent to the client."""

    async def start(
        self, status: int, headers: Headers, *, is_close_delimited: bool = False
    ) -> None:
        """Send the status line and headers.

        :param is_close_delimited: whether only the end of the connection marks the end
            of the body, as nothing else has shown that it is complete.
        """

    async def send(self, data: bytes) -> None:
        """Send a piece of the body."""

    async def finish(self) -> None:
        """Mark the end of a complete body."""

    async def abort(self) -> None:
        """Close the connection so that the client sees an incomplete answer."""
