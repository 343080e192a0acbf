"""The values that a routed call passes between ingress, filters and channels."""

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

from ashpond.decisions.prompts import Prompt
from ashpond.wire import Headers


class Envelope(NamedTuple):
    """What the headers of a request say to the router.

    ``timeout`` is how long the client will wait (seconds). ``headers`` are
    those that go on to the backend server, without the ones the router sets.
    ``tokens`` are those of the prompt and the most of the output, None if the client
    tells none that can be read.
    """

    request_id: str
    timeout: float | None
    key: str | None
    prompt: Prompt | None
    resume_after: str | None
    headers: Headers
    tokens: int | None = None


class Instructions(NamedTuple):
    """What the router tells a backend server besides the client's headers.

    ``time_left`` is in seconds; ``salt`` separates cached prompt parts;
    ``fetch_from`` is the address of an engine or cache store that holds some of
    them, ``save_to`` that of a store that is to get them.
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
    """What the headers of a backend server's answer say to the router.

    ``rate_limit`` is in requests a second, from all instances together; None if the
    answer names none. ``is_leaving`` tells that the server leaves; ``backoff``
    is for how long it wants no request from here (seconds). ``is_limit_invalid``,
    ``is_leaving_invalid`` and ``is_backoff_invalid`` tell of values that cannot be
    read.
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


class Codec(NamedTuple):
    """The headers of one outside protocol, read and written.

    ``read_envelope`` returns None for a request that lacks what the protocol
    demands.
    """

    read_envelope: Callable[[Headers], Envelope | None]
    write_headers: Callable[[Envelope, Instructions], Headers]
    read_answer_headers: Callable[[Headers], AnswerHeaders]


class IncomingCall(NamedTuple):
    """One request of a client, read whole; ``target`` is path and query as sent."""

    method: str
    host: str
    path: str
    target: bytes
    envelope: Envelope
    body: bytes
    received_at: float


class Reply(Protocol):
    """The answer to one request, on its way to the client."""

    async def start(self, status: int, headers: Headers) -> None:
        """Send the status line and headers."""

    async def send(self, data: bytes) -> None:
        """Send a piece of the body."""

    async def finish(self) -> None:
        """End the body as complete."""

    async def abort(self) -> None:
        """End the connection so that the answer is seen to be incomplete."""
