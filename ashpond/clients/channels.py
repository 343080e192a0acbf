"""HTTP/1.1 connections to backend servers, one exchange at a time on each.

Uses ``h11``, because the connection pool of ``httpx`` hides three conditions: bytes
after a complete response, a response to an earlier request, and a response that arrives
before the server has read the request's body. A connection on which one of them
occurred is not reused.
"""

from __future__ import annotations

__all__ = [
    "Channel",
    "ChannelError",
    "Correlation",
    "OutgoingRequest",
    "Response",
]

import itertools
from collections.abc import Awaitable, Callable
from typing import NamedTuple

import h11
import trio

from ashpond.clients.readlimits import MAX_STALE_BYTES, ReadLimits
from ashpond.clients.responseheads import (
    Framing,
    find_fault,
    find_framing,
    find_header,
    find_idle_limit,
    find_length,
)
from ashpond.clients.transports import Transport
from ashpond.errors import AshpondError
from ashpond.gateway.calls import Headers

READ_BYTES = 65_536
# Requests up to this size fit into a socket's buffer and are sent without another task.
INLINE_BODY_BYTES = 16_384
# Idle connections are closed after this share of the server's keep-alive timeout.
IDLE_LIMIT_SHARE = 0.7
DEFAULT_IDLE_SECONDS = 4.0
MAX_STALE_ANSWERS = 3
# A connection that has carried more requests without success is not reused, which
# bounds the ids that it keeps.
MAX_UNSERVED_IDS = 64
_connection_numbers = itertools.count(1)


class ChannelError(AshpondError):
    """Raised when an exchange fails.

    :param is_sent: whether any byte of the request may have been sent.
    :param is_refused: whether the server's address refused the connection.
    :param is_own_fault: whether this instance, and not the server, seems to be
        disconnected.
    """

    def __init__(
        self,
        reason: str,
        *,
        is_sent: bool,
        is_refused: bool = False,
        is_own_fault: bool = False,
    ):
        super().__init__(reason)
        self.is_sent = is_sent
        self.is_refused = is_refused
        self.is_own_fault = is_own_fault


class OutgoingRequest(NamedTuple):
    """A request to send.

    ``id_header`` is the response header that has to repeat ``request_id``.
    """

    method: str
    target: bytes
    headers: Headers
    body: bytes = b""
    request_id: str | None = None
    id_header: bytes = b""


class Correlation(NamedTuple):
    """What distinguishes a response to a request from one to an earlier request.

    ``connection`` identifies the connection in this process; ``requests`` were sent on
    it. ``is_repeated`` is whether one of the earlier ones had the same id and was
    answered without success. ``has_id`` is whether the response names an id.
    ``skipped`` responses to other requests were discarded before it.
    """

    connection: int = 0
    requests: int = 1
    is_repeated: bool = False
    has_id: bool = True
    skipped: int = 0


class Response:
    """A response whose head has arrived; its body is read piece by piece."""

    def __init__(
        self,
        channel: Channel,
        status: int,
        headers: Headers,
        framing: Framing,
        correlation: Correlation,
    ):
        self.channel = channel
        self.status = status
        self.headers = headers
        self.framing = framing
        self.correlation = correlation

    async def read(self) -> bytes:
        """Return the next piece of the body, empty at its complete end.

        :raises ChannelError: if the response is truncated.
        """
        return await self.channel.read_body()

    async def read_all(
        self, limit: int, reserve: Callable[[int], Awaitable[None]] | None = None
    ) -> bytes:
        """Return the whole body.

        :param reserve: waits for memory for each piece.
        :raises ChannelError: if it is truncated or longer than ``limit`` bytes.
        """
        if self.framing is Framing.LENGTH and (find_length(self.headers) or 0) > limit:
            raise ChannelError("the answer is too large", is_sent=True)
        self.channel.limits.expect_whole_body()
        body = bytearray()
        while piece := await self.channel.read_body(shield_ready_data=True):
            if len(body) + len(piece) > limit:
                raise ChannelError("the answer is too large", is_sent=True)
            if reserve is not None:
                await reserve(len(piece))
            body += piece
        return bytes(body)


class Channel:
    """One HTTP/1.1 connection to a backend server.

    ``number`` identifies it in this process. ``requests`` is how many requests have
    been sent on it, the current one included.

    :param relay: the name of the instance through which it leads, empty if none.
    """

    def __init__(
        self,
        transport: Transport,
        clock: Callable[[], float] = trio.current_time,
        relay: str = "",
    ):
        self.transport = transport
        self.relay = relay
        self.opened_at = clock()
        self.number = next(_connection_numbers)
        self.requests = 0
        # Hashes, as ids may be as long as the head of a request.
        self._unserved_ids: set[int] = set()
        # Whether the last response named the id of its request.
        self._names_request_ids = True
        self._clock = clock
        self._conn = h11.Connection(h11.CLIENT, max_incomplete_event_size=READ_BYTES)
        # What has been received since the heads of a response began.
        self._heads = bytearray()
        self._has_sent_bytes = False
        self._is_request_sent = False
        self._idle_seconds = DEFAULT_IDLE_SECONDS
        self._read_at = 0.0
        self._idle_since = 0.0
        self.limits = ReadLimits()

    async def exchange(self, request: OutgoingRequest) -> Response:
        """Send a request and return the response once its head has arrived.

        :raises ChannelError: if the connection fails.
        """
        self._has_sent_bytes = False
        self._is_request_sent = False
        self._read_at = self._clock()
        self._heads.clear()
        self.requests += 1
        self.limits = ReadLimits()
        head = h11.Request(
            method=request.method, target=request.target, headers=request.headers
        )
        parts = [self._conn.send(head) or b""]
        if request.body:
            parts.append(self._conn.send(h11.Data(data=request.body)) or b"")
        parts.append(self._conn.send(h11.EndOfMessage()) or b"")
        if sum(map(len, parts)) <= INLINE_BODY_BYTES:
            await self._send(b"".join(parts))
            self._is_request_sent = True
            return await self._read_head(request)
        # Large bodies are not joined, as that would hold them twice until the answer.
        return await self._exchange_while_sending(parts, request)

    async def _exchange_while_sending(
        self, parts: list[bytes], request: OutgoingRequest
    ) -> Response:
        # A server may respond before it has read the body, so read while sending.
        answers: list[Response] = []
        failures: list[ChannelError] = []

        async def send_request() -> None:
            try:
                for part in filter(None, parts):
                    await self._send(part)
                self._is_request_sent = True
            except ChannelError:
                # The server may have responded before it closed the connection. The
                # task that reads returns that response if it has an end of its own.
                return

        async def read_response_head(scope: trio.CancelScope) -> None:
            try:
                answers.append(await self._read_head(request))
            except ChannelError as error:
                failures.append(error)
            scope.cancel()

        async with trio.open_nursery() as nursery:
            nursery.start_soon(send_request)
            nursery.start_soon(read_response_head, nursery.cancel_scope)
        if failures:
            raise failures[0]
        return answers[0]

    async def _send(self, data: bytes) -> None:
        try:
            self._has_sent_bytes = True
            await self.transport.send_all(data)
        except (trio.BrokenResourceError, trio.ClosedResourceError, OSError) as error:
            raise ChannelError(f"sending failed: {error!r}", is_sent=True) from error

    async def _read_head(self, request: OutgoingRequest) -> Response:
        for skipped in range(MAX_STALE_ANSWERS):
            event = await self._next_event(shield_ready_data=True)
            while isinstance(event, h11.InformationalResponse):
                event = await self._next_event(shield_ready_data=True)
            if not isinstance(event, h11.Response):
                raise ChannelError("no answer came", is_sent=True)
            fault = find_fault(event.status_code, self._heads)
            self._heads.clear()
            if fault is not None:
                raise ChannelError(f"not a whole answer: {fault}", is_sent=True)
            headers = [(bytes(name), bytes(value)) for name, value in event.headers]
            if self._matches_request(headers, request):
                self._read_idle_limit(headers)
                status = event.status_code
                framing = find_framing(request.method, status, headers)
                correlation = self._note_response(request, status, headers, skipped)
                return Response(self, status, headers, framing, correlation)
            await self._skip_answer(request, event.status_code, headers)
        raise ChannelError("only answers to other requests came", is_sent=True)

    def _matches_request(self, headers: Headers, request: OutgoingRequest) -> bool:
        if request.request_id is None:
            return True
        repeated = find_header(headers, request.id_header)
        if repeated is None:
            # Only on a new connection is it certainly no answer to an earlier request.
            return self.requests == 1
        return repeated.decode("latin-1") == request.request_id

    def _note_response(
        self, request: OutgoingRequest, status: int, headers: Headers, skipped: int
    ) -> Correlation:
        request_id = request.request_id
        correlation = Correlation(
            self.number,
            self.requests,
            request_id is not None and self.has_carried(request_id),
            find_header(headers, request.id_header) is not None,
            skipped,
        )
        if request_id is not None and not _is_success(status):
            self._unserved_ids.add(hash(request_id))
        self._names_request_ids = request_id is None or correlation.has_id
        return correlation

    async def _skip_answer(
        self, request: OutgoingRequest, status: int, headers: Headers
    ) -> None:
        """Discard a response to an earlier request of this connection."""
        framing = find_framing(request.method, status, headers)
        size = find_length(headers) if framing is Framing.LENGTH else None
        self.limits.expect_whole_body()
        if (size or 0) > MAX_STALE_BYTES:
            raise ChannelError(
                "an answer to another request is too large", is_sent=True
            )
        while piece := await self.read_body():
            self.limits.add_stale(len(piece))
        try:
            self._conn.start_next_cycle()
            # h11 already has the whole request, though a large body may still be on its
            # way; this only makes it expect another response.
            head = h11.Request(
                method=request.method, target=request.target, headers=request.headers
            )
            self._conn.send(head)
            if request.body:
                self._conn.send(h11.Data(data=request.body))
            self._conn.send(h11.EndOfMessage())
            self._heads[:] = self._conn.trailing_data[0]
        except h11.ProtocolError as error:
            raise ChannelError("the connection is closing", is_sent=True) from error

    async def read_body(self, *, shield_ready_data: bool = False) -> bytes:
        """Return the next piece of the body, empty at its complete end.

        :param shield_ready_data: return data that has already arrived even if
            the deadline has passed.
        :raises ChannelError: if the response is truncated.
        """
        event = await self._next_event(shield_ready_data=shield_ready_data)
        if isinstance(event, h11.Data):
            self.limits.add_body(len(event.data))
            return bytes(event.data)
        if isinstance(event, h11.EndOfMessage):
            return b""
        raise ChannelError("the answer broke off", is_sent=True)

    async def _next_event(self, *, shield_ready_data: bool) -> object:
        try:
            while True:
                event = self._conn.next_event()
                if event is not h11.NEED_DATA:
                    return event
                data = await self._receive(shield_ready_data=shield_ready_data)
                if not data and self._conn.their_state is h11.SEND_RESPONSE:
                    reason = "the server ended the connection without an answer"
                    raise ChannelError(reason, is_sent=True)
                if not data and not self._has_server_request():
                    reason = "the connection ended before the request was sent"
                    raise ChannelError(reason, is_sent=True)
                if self._conn.their_state is h11.SEND_RESPONSE:
                    self._heads += data
                self._conn.receive_data(data)
        except h11.RemoteProtocolError as error:
            raise ChannelError(f"not a whole answer: {error}", is_sent=True) from error
        except (trio.BrokenResourceError, trio.ClosedResourceError, OSError) as error:
            raise ChannelError(f"reading failed: {error!r}", is_sent=True) from error

    def _has_server_request(self) -> bool:
        """Return, at the end of the connection, whether the server has the request.

        Without it, that end may be one of two kinds of reset. One is reported to the
        task that sends, and to no other. The other follows a regular end, as the
        server's kernel answers bytes that arrive after it.
        """
        return self._is_request_sent and not self.transport.has_unacknowledged_data()

    async def _receive(self, *, shield_ready_data: bool) -> bytes:
        excess = self.limits.find_excess()
        if excess is not None:
            raise ChannelError(excess, is_sent=True)
        if shield_ready_data and _is_overdue():
            shield_ready_data = self.limits.may_read_overdue()
        data, was_ready = await self.transport.receive(
            READ_BYTES, shield_ready_data=shield_ready_data
        )
        self.limits.add_received(len(data))
        last_read_at, self._read_at = self._read_at, self._clock()
        # The server's idle timeout starts when it has written the end of the
        # response. Data that was already there may have arrived at any time since
        # the last read.
        self._idle_since = last_read_at if was_ready else self._read_at
        return data

    def _read_idle_limit(self, headers: Headers) -> None:
        seconds = find_idle_limit(headers)
        if seconds is not None:
            self._idle_seconds = seconds * IDLE_LIMIT_SHARE

    def has_carried(self, request_id: str) -> bool:
        """Return whether a request with this id was answered here without success.

        Only the id distinguishes a late copy of that response from the next one.
        """
        return hash(request_id) in self._unserved_ids

    def prepare_reuse(self) -> bool:
        """Reset the connection for another request; return whether that is possible."""
        if not self._names_request_ids:
            return False
        if len(self._unserved_ids) > MAX_UNSERVED_IDS:
            return False
        if not self._is_request_sent or self._conn.trailing_data != (b"", False):
            return False
        if self._conn.our_state is not h11.DONE:
            return False
        if self._conn.their_state is not h11.DONE:
            return False
        self._conn.start_next_cycle()
        return True

    def start_idle_time(self) -> None:
        """Start to measure the idle time."""
        self._idle_since = self._clock()

    def is_usable(self, now: float) -> bool:
        """Return whether an idle connection can be reused."""
        if now - self._idle_since > self._idle_seconds:
            return False
        # Readable data is the end of the stream or bytes that belong to no request.
        return not self.transport.has_data()

    def is_open(self) -> bool:
        """Return whether nothing has arrived on a connection that is not in use."""
        return not self.transport.has_data()

    def close(self) -> None:
        """Close the connection without waiting for pending data."""
        self.transport.close()


def _is_success(status: int) -> bool:
    return 200 <= status < 300


def _is_overdue() -> bool:
    """Return whether the deadline has passed, or the reader is cancelled otherwise."""
    return trio.current_effective_deadline() <= trio.current_time()
