"""Backend servers of the soak, which record the requests they process."""

from __future__ import annotations

import random
from collections import defaultdict
from collections.abc import Callable
from enum import StrEnum
from typing import TYPE_CHECKING, NamedTuple

import trio

from tests.directives import NO_DIRECTIVE, Directive
from tests.servers import make_answer, read_request
from tests.soak import versions
from tests.soak.endless import send_endless
from tests.soak.rejections import Rejections
from tests.soak.resets import reset

if TYPE_CHECKING:
    from tests.soak.directives import LimitPeriod

# The paths of calls to an engine itself, such as a read of its state. These servers
# answer none.
CONTROL_PREFIX = "/api/"
EVENTS = 6
EVENT_SECONDS = 0.03
PLAIN_SECONDS = 0.02


class AnswerEnding(StrEnum):
    """How a server ends an answer.

    Unframed, torn and reset ones have neither length nor chunks. Endless ones are bytes
    without end that are no answer.
    """

    FRAMED = "framed"
    UNFRAMED = "unframed"
    TORN = "torn"
    RESET = "reset"
    ENDLESS = "endless"


class Run(NamedTuple):
    """One request that a server began to process."""

    at: float
    server_id: str
    method: str
    key_leaked: bool


class Arrival(NamedTuple):
    """A request that reached a server, whether processed or rejected."""

    at: float
    server: str
    request_id: str


class IssuedDirective(NamedTuple):
    """The directive that a server sent in the answer to a request."""

    at: float
    server: str
    request_id: str
    directive: Directive


class Ledger:
    """Record of the arrivals, runs (by request id) and directives of all servers."""

    def __init__(self) -> None:
        self.runs: dict[str, list[Run]] = defaultdict(list)
        self.arrivals: list[Arrival] = []
        self.issued_directives: list[IssuedDirective] = []
        self.limit_periods: list[LimitPeriod] = []
        # The requests whose answers a server broke off.
        self.torn: set[str] = set()
        # The requests that got bytes without end.
        self.endless: set[str] = set()
        # The requests with a part that crashes servers, with their instances, and when
        # servers have crashed.
        self.deadly: dict[str, str] = {}
        self.crashes: list[float] = []


def parse_headers(request: bytes) -> tuple[str, str, dict[str, str]]:
    """Return method, target and headers (lower-case names) of a request."""
    lines = request.partition(b"\r\n\r\n")[0].decode("latin-1").split("\r\n")
    method, target, _ = lines[0].split(" ", 2)
    pairs = (line.partition(":") for line in lines[1:])
    return method, target, {name.lower(): value.strip() for name, _, value in pairs}


class Server:
    """One incarnation of a backend server with its own listener."""

    def __init__(
        self,
        server_id: str,
        ledger: Ledger,
        choose_ending: Callable[[], AnswerEnding] = lambda: AnswerEnding.FRAMED,
        version: str = "v1",
        crash: Callable[[], None] = lambda: None,
    ):
        self._crash = crash
        self._rng = random.Random(server_id)
        self.rejections = Rejections(server_id)
        self.server_id = server_id
        self.version = version
        # Between two events of a stream that may be resumed (seconds).
        self.event_seconds = versions.EVENT_SECONDS
        self.ledger = ledger
        self._choose_ending = choose_ending
        # Sent in every answer at present.
        self.directive = NO_DIRECTIVE
        self.has_directive = False

    def clear_directive(self) -> None:
        """Send no directive from now on."""
        self.directive = NO_DIRECTIVE
        self.has_directive = False

    async def serve(self, stream: trio.SocketStream) -> None:
        """Answer requests on one connection until it ends."""
        try:
            while request := await read_request(stream):
                await self._answer(stream, request)
        except (trio.BrokenResourceError, trio.ClosedResourceError, OSError):
            return
        finally:
            self.rejections.forget(stream)

    async def _answer(self, stream: trio.SocketStream, request: bytes) -> None:
        method, target, headers = parse_headers(request)
        if target.startswith(CONTROL_PREFIX):
            await stream.send_all(b"HTTP/1.1 404 X\r\nContent-Length: 0\r\n\r\n")
            return
        request_id = headers.get("x-request-id", "")
        expected = headers.get("x-expect-instance")
        if expected is not None and expected != self.server_id:
            head = f"HTTP/1.1 421 X\r\nX-Request-Id: {request_id}\r\n"
            head += f"X-Instance-Id: {self.server_id}\r\n"
            await stream.send_all((head + "Content-Length: 0\r\n\r\n").encode())
            return
        now = trio.current_time()
        self.ledger.arrivals.append(Arrival(now, self.server_id, request_id))
        directive = self.directive
        if directive != NO_DIRECTIVE:
            issued = IssuedDirective(now, self.server_id, request_id, directive)
            self.ledger.issued_directives.append(issued)
        if directive.status != 200:
            head = f"HTTP/1.1 {directive.status} X\r\nX-Request-Id: {request_id}\r\n"
            head += directive.format_headers() + "Content-Length: 0\r\n\r\n"
            await stream.send_all(head.encode())
            return
        await self.rejections.send_due(stream)
        if await self.rejections.reject(stream, request_id):
            return
        leaked = "authorization" in headers
        run = Run(trio.current_time(), self.server_id, method, leaked)
        self.ledger.runs[request_id].append(run)
        if request_id in self.ledger.deadly:
            await trio.sleep(PLAIN_SECONDS)
            self._crash()
            await trio.sleep_forever()
        status = self.rejections.choose_status()
        if status != 200:
            if "last-event-id" in headers:
                # A stream that may not be tried once more ends with this.
                self.ledger.torn.add(request_id)
            await trio.sleep(PLAIN_SECONDS)
            marks = f"X-Instance-Id: {self.server_id}\r\n"
            await stream.send_all(make_answer(b"odd", request_id, status, marks))
            return
        head = f"HTTP/1.1 200 X\r\nX-Request-Id: {request_id}\r\n"
        head += directive.format_headers()
        if target == versions.PATH:
            await versions.send_versioned(
                stream, head, headers, self.version, self.event_seconds
            )
            return
        ending = self._choose_ending()
        if ending is AnswerEnding.ENDLESS:
            self.ledger.torn.add(request_id)
            self.ledger.endless.add(request_id)
            await send_endless(stream, head.encode(), self._rng)
        if ending in (AnswerEnding.TORN, AnswerEnding.RESET):
            self.ledger.torn.add(request_id)
        if target.startswith("/s/"):
            await self._stream(stream, head, headers, ending)
            return
        await trio.sleep(PLAIN_SECONDS)
        body = make_body(request_id)
        if ending is AnswerEnding.FRAMED:
            head += f"Content-Length: {len(body)}\r\n\r\n"
            await stream.send_all(head.encode() + body)
            return
        if ending is not AnswerEnding.UNFRAMED:
            body = body[: len(body) // 2]
        await stream.send_all(head.encode() + b"\r\n" + body)
        await end_connection(stream, ending)

    async def _stream(
        self,
        stream: trio.SocketStream,
        head: str,
        headers: dict[str, str],
        ending: AnswerEnding,
    ) -> None:
        is_framed = ending is AnswerEnding.FRAMED
        head += "Content-Type: text/event-stream\r\n"
        head += "Transfer-Encoding: chunked\r\n\r\n" if is_framed else "\r\n"
        await stream.send_all(head.encode())
        first = int(headers.get("last-event-id", "0")) + 1
        for number in range(first, EVENTS + 1):
            await trio.sleep(EVENT_SECONDS)
            event = make_event(number)
            is_torn = ending in (AnswerEnding.TORN, AnswerEnding.RESET)
            if is_torn and number == (first + EVENTS) // 2:
                await stream.send_all(event[:-1])
                await end_connection(stream, ending)
                return
            if is_framed:
                event = b"%x\r\n%s\r\n" % (len(event), event)
            await stream.send_all(event)
        if is_framed:
            await stream.send_all(b"0\r\n\r\n")
        else:
            await end_connection(stream, ending)


async def end_connection(stream: trio.SocketStream, ending: AnswerEnding) -> None:
    """End a connection after the last bytes of an answer.

    :raises trio.ClosedResourceError: always, so that nothing more is served on it.
    """
    if ending is AnswerEnding.RESET:
        # The bytes before a reset have to arrive.
        await trio.sleep(EVENT_SECONDS)
        reset(stream)
    else:
        await stream.aclose()
    raise trio.ClosedResourceError


def make_body(request_id: str) -> bytes:
    """Return the only correct answer body for a request."""
    return f"answer to {request_id} ".encode() * 20


def make_event(number: int) -> bytes:
    """Return one event of a stream."""
    return b"id: %d\ndata: piece %d\n\n" % (number, number)
