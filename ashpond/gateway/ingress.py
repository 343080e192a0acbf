"""The HTTP server for clients, readiness checks and metrics.

It does not use quart: every method, raw path and body is forwarded, and the program has
no routes of its own.
"""

from __future__ import annotations

__all__ = ["CutBy", "CutCall", "Ingress", "IngressAddresses"]

import sys
from collections.abc import Awaitable, Callable
from enum import StrEnum
from typing import NamedTuple

import trio

from ashpond.connections import ClosedConnection, ConnectionLimits
from ashpond.controllers.memory import CallMemory, MemoryController
from ashpond.decisions.declared import IngressLimits
from ashpond.decisions.memorybudget import Purpose
from ashpond.exchanges import Exchange
from ashpond.gateway.bufferedreply import BufferedReply
from ashpond.gateway.calls import Codec, IncomingCall, Reply
from ashpond.gateway.replies import send_complete, send_refusal
from ashpond.listener import Listener
from ashpond.outcomes import Refusal

STATUS_PATH = b"/status"
RELEASE_PATH = b"/quarantine/release"
# How long the reading of a body may pause for want of memory before the call is refused
# (seconds). Clients send the request again, mostly to another instance.
MAX_PAUSE_SECONDS = 2.0
# Urgency of calls that will not be accepted.
LOWEST_URGENCY = 100
METRICS_TYPE = b"text/plain; version=0.0.4"

CallHandler = Callable[[IncomingCall, Reply], Awaitable[None]]


def _strip_authority(target: bytes) -> bytes:
    """Return path and query of a request target, without its scheme and host."""
    if target.startswith(b"/"):
        return target
    _, separator, rest = target.partition(b"://")
    return b"/" + rest.partition(b"/")[2] if separator else target


class IngressAddresses(NamedTuple):
    """Addresses to listen on: for clients, readiness checks, metrics."""

    callers: str
    readiness: str
    metrics: str


class CutBy(StrEnum):
    """Why a call ended before its answer was complete."""

    CLIENT = "client"
    FAILURE = "failure"
    GRACE_PERIOD = "grace_period"
    MEMORY_LIMIT = "memory_limit"


class CutCall(NamedTuple):
    """A call that ended before its answer was complete.

    ``after`` is the time since its request was received. ``idle_before`` is how long
    the connection had been idle before, None for its first request. ``idle_limit`` is
    the current idle timeout (all in seconds). ``failure`` is the error that the handler
    raised, None if it raised none.
    """

    request_id: str
    by: CutBy
    after: float
    idle_before: float | None
    idle_limit: float
    failure: str | None = None


class Ingress:
    """Serves clients, readiness checks and the operators' pages."""

    def __init__(
        self,
        addresses: IngressAddresses,
        codec: Codec,
        handle: CallHandler,
        get_limits: Callable[[], IngressLimits],
        is_ready: Callable[[], bool],
        render_metrics: Callable[[], bytes],
        render_status: Callable[[], bytes],
        release_quarantined: Callable[[str], bool] = lambda fingerprint: False,
        note_cut: Callable[[CutCall], None] = lambda cut: None,
        note_closed: Callable[[ClosedConnection], None] = lambda closed: None,
        note_error: Callable[[str, BaseException], None] = lambda event, error: None,
        memory: MemoryController | None = None,
        find_urgency: Callable[[IncomingCall], int | None] = lambda call: None,
    ):
        self._memory = memory or MemoryController()
        self._find_urgency = find_urgency
        self.is_leaving = False
        self.open_calls = 0
        self._codec = codec
        self._handle = handle
        self._get_limits = get_limits
        self._is_ready = is_ready
        self._render_metrics = render_metrics
        self._render_status = render_status
        self._release_quarantined = release_quarantined
        self._note_cut = note_cut
        # Where addresses are equal, the later entry replaces the earlier one.
        handlers = {
            addresses.readiness: self._serve_readiness,
            addresses.callers: self._serve_call,
            addresses.metrics: self._serve_operators,
        }
        self._listener = Listener(
            handlers,
            self._get_connection_limits,
            lambda: self.is_leaving,
            note_closed,
            note_error,
            self._memory.socket_buffer_bytes,
        )

    async def run(
        self,
        shutdown: Callable[[], Awaitable[object]],
        graceful_seconds: float,
        task_status: trio.TaskStatus[list[str]] = trio.TASK_STATUS_IGNORED,
    ) -> None:
        """Serve until ``shutdown`` returns, then let open answers end.

        :param graceful_seconds: how long open answers may take to end.
        """
        await self._listener.run(shutdown, graceful_seconds, task_status)

    def apply_limits(self) -> None:
        """Apply the current limits to idle connections."""
        self._listener.apply_limits()

    def _get_connection_limits(self) -> ConnectionLimits:
        limits = self._get_limits()
        return ConnectionLimits(
            limits.max_header_bytes, limits.header_timeout, limits.idle_timeout
        )

    async def _serve_readiness(self, exchange: Exchange) -> None:
        if await self._read_body(exchange) is not None:
            status = 200 if self._is_ready() else 503
            await send_refusal(exchange, Refusal(status, "ready", str(status)))

    async def _serve_operators(self, exchange: Exchange) -> None:
        body = await self._read_body(exchange)
        if body is None:
            return
        path = exchange.target.partition(b"?")[0]
        if path == RELEASE_PATH and exchange.method == "POST":
            is_released = self._release_quarantined(body.decode("latin-1"))
            refusal = Refusal(200 if is_released else 404, "release", str(is_released))
            await send_refusal(exchange, refusal)
            return
        if path == STATUS_PATH:
            content_type, page = b"application/json", self._render_status()
        else:
            content_type, page = METRICS_TYPE, self._render_metrics()
        await send_complete(exchange, 200, content_type, page)

    async def _serve_call(self, exchange: Exchange) -> None:
        received_at = trio.current_time()
        self.open_calls += 1
        memory: CallMemory | None = None
        try:
            memory = await self._memory.open(self._find_id(exchange))
            if memory is None:
                await self._refuse_for_memory(exchange)
                return
            body = await self._read_body_within(exchange, memory, received_at)
            # If the event loop was delayed, the client may have left since it sent the
            # request.
            if body is None or await exchange.check_client_left():
                return
            call = self._build_call(exchange, body, received_at, memory)
            if call is None:
                refusal = Refusal(400, "no_id", "the request has no id")
                await send_refusal(exchange, refusal)
                return
            await self._handle_while_connected(call, exchange)
        finally:
            self.open_calls -= 1
            if memory is not None:
                memory.close()

    def _find_id(self, exchange: Exchange) -> str:
        if not self._memory.is_limited:
            return ""
        envelope = self._codec.read_envelope(exchange.headers)
        return envelope.request_id if envelope else ""

    async def _refuse_for_memory(self, exchange: Exchange) -> None:
        """Refuse a call that has not been sent to any server."""
        wait = self._memory.budget.find_retry_seconds(trio.current_time())
        message = "the instance is at its memory limit"
        await send_refusal(exchange, Refusal(503, "memory", message, retry_after=wait))

    async def _read_body_within(
        self, exchange: Exchange, memory: CallMemory, received_at: float
    ) -> bytes | None:
        """Read the body as memory allows; None as for :meth:`_read_body`."""
        if not memory.is_limited:
            return await self._read_body(exchange)

        # A declared body is reserved as a whole with its first piece: many bodies of
        # which each is held in part would wait for each other.
        declared = exchange.find_declared_length()
        memory.holding.declared = declared if declared is not None else sys.maxsize
        ahead = 0

        async def reserve(size: int) -> bool:
            nonlocal ahead
            if size <= ahead:
                ahead -= size
                return True
            total = min(declared or 0, self._get_limits().max_body_bytes)
            ahead = max(0, total - size)
            size = max(size, total)
            if not self._memory.budget.is_relaxed():
                call = self._build_call(exchange, b"", received_at, memory)
                urgency = self._find_urgency(call) if call is not None else None
                memory.holding.urgency = LOWEST_URGENCY if urgency is None else urgency
            return await memory.grow(size, MAX_PAUSE_SECONDS)

        body: bytes | None = None
        with trio.CancelScope() as scope:
            memory.cut = scope.cancel
            body = await self._read_body(exchange, reserve)
        memory.holding.declared = 0
        memory.cut = lambda: exchange.cut("the memory limit of the instance")
        memory.note_purpose(Purpose.CALL, received_at)
        if not memory.is_cut or (body is None and not scope.cancelled_caught):
            return body
        # The memory controller has logged and counted the cut.
        if not exchange.is_started and not exchange.is_refused:
            await self._refuse_for_memory(exchange)
        return None

    async def _read_body(
        self,
        exchange: Exchange,
        reserve: Callable[[int], Awaitable[bool]] | None = None,
    ) -> bytes | None:
        """Return the whole body; None if the client left or the body was refused.

        :param reserve: waits for memory for each piece; returns False if there is none.
        """
        limit = self._get_limits().max_body_bytes
        pieces: list[bytes] = []
        size = 0
        while piece := await exchange.read_piece():
            if reserve is not None and not await reserve(len(piece)):
                self._memory.note_refused(self._find_id(exchange), "body")
                await self._refuse_for_memory(exchange)
                return None
            pieces.append(piece)
            size += len(piece)
            if size > limit:
                refusal = Refusal(413, "too_large", "the body is too large")
                await send_refusal(exchange, refusal)
                return None
        return None if piece is None else b"".join(pieces)

    def _build_call(
        self, exchange: Exchange, body: bytes, received_at: float, memory: CallMemory
    ) -> IncomingCall | None:
        headers = exchange.headers
        envelope = self._codec.read_envelope(headers)
        if envelope is None:
            return None
        hosts = [value for name, value in headers if name.lower() == b"host"]
        target = _strip_authority(exchange.target)
        return IncomingCall(
            method=exchange.method,
            host=hosts[0].decode("latin-1") if hosts else "",
            path=target.partition(b"?")[0].decode("latin-1"),
            target=target,
            envelope=envelope,
            body=body,
            received_at=received_at,
            memory=memory,
        )

    async def _handle_while_connected(
        self, call: IncomingCall, exchange: Exchange
    ) -> None:
        """Handle a call; cancel the handler if the client leaves.

        :raises Exception: any error of the handler.
        """

        async def cancel_when_client_leaves() -> None:
            await exchange.wait_until_client_left()
            nursery.cancel_scope.cancel()

        by: CutBy | None = CutBy.GRACE_PERIOD
        failure: str | None = None
        try:
            async with trio.open_nursery() as nursery:
                nursery.start_soon(cancel_when_client_leaves)
                reply: Reply = exchange
                if call.memory.is_limited:
                    reply = BufferedReply(exchange, call.memory, nursery)
                await self._handle(call, reply)
                nursery.cancel_scope.cancel()
            by = CutBy.CLIENT if exchange.has_client_left else None
            if exchange.is_cut:
                by = CutBy.MEMORY_LIMIT
        except Exception as error:
            by, failure = CutBy.FAILURE, repr(error)
            raise
        finally:
            if by is not None and not exchange.is_finished:
                self._report_cut(call, exchange, by, failure)

    def _report_cut(
        self, call: IncomingCall, exchange: Exchange, by: CutBy, failure: str | None
    ) -> None:
        cut = CutCall(
            call.envelope.request_id,
            by,
            trio.current_time() - call.received_at,
            exchange.idle_before,
            self._get_limits().idle_timeout,
            failure,
        )
        self._note_cut(cut)
