"""The HTTP side towards clients: an ASGI application on hypercorn.

Without quart, since any method, raw path and body is passed on and no route of
this program's own exists.
"""

from __future__ import annotations

__all__ = ["CutCall", "Ingress", "IngressPorts"]

from collections.abc import Awaitable, Callable
from typing import Any, NamedTuple, cast

import trio
from hypercorn.config import Config
from hypercorn.trio import serve

from ashpond.gateway.calls import Codec, Headers, IncomingCall, Reply
from ashpond.gateway.declared import IngressLimits
from ashpond.gateway.replies import send_refusal, send_whole
from ashpond.outcomes import Refusal

BACKLOG = 1024
# Connections are ended by idle time and shutdown, not by a count.
MAX_REQUESTS = 1_000_000_000
# Connections whose last answer's end is remembered, for the log only.
MAX_IDLE_KNOWN = 4096
STATUS_PATH = b"/status"
METRICS_TYPE = b"text/plain; version=0.0.4"

Receive = Callable[[], Awaitable[dict[str, Any]]]
Send = Callable[[dict[str, Any]], Awaitable[None]]
Handle = Callable[[IncomingCall, Reply], Awaitable[None]]


def _strip_authority(target: bytes) -> bytes:
    """Return the path of a request target that may name scheme and host as well."""
    if target.startswith(b"/"):
        return target
    _, separator, rest = target.partition(b"://")
    return b"/" + rest.partition(b"/")[2] if separator else target


class IngressPorts(NamedTuple):
    """Addresses to listen on: for clients, readiness checks, metrics."""

    callers: str
    readiness: str
    metrics: str


class CutCall(NamedTuple):
    """A call whose connection ended before its answer did.

    ``after`` is the time since its request was read, ``idle_before`` how long the
    connection had been idle before that, None for a connection's first request;
    ``idle_limit`` the limit in force (all in seconds). ``failure`` is an error of the
    handler, None if the connection ended by itself.
    """

    request_id: str
    after: float
    idle_before: float | None
    idle_limit: float
    failure: str | None = None


class AsgiReply:
    """A :class:`Reply` on an ASGI connection.

    Sending is shielded: a cancellation in the midst of a head would leave the
    server believing that none was sent. It shields its socket writes as well.
    """

    def __init__(self, send: Send, *, is_last: Callable[[], bool]):
        self.is_finished = False
        self._send = send
        self._is_last = is_last

    async def start(self, status: int, headers: Headers) -> None:
        """Send the head; tell a client of a leaving instance to connect anew."""
        if self._is_last():
            headers = [*headers, (b"connection", b"close")]
        event = {"type": "http.response.start", "status": status, "headers": headers}
        await self._send_shielded(event)

    async def send(self, data: bytes) -> None:
        """Send a piece of the body."""
        event = {"type": "http.response.body", "body": data, "more_body": True}
        await self._send_shielded(event)

    async def finish(self) -> None:
        """End the body."""
        self.is_finished = True
        await self._send_shielded({"type": "http.response.body", "body": b""})

    async def abort(self) -> None:
        """Do nothing: a head without an end makes the server close the connection."""

    async def _send_shielded(self, event: dict[str, Any]) -> None:
        with trio.CancelScope(shield=True):
            await self._send(event)


class Ingress:
    """Serves clients, readiness checks and metrics."""

    def __init__(
        self,
        ports: IngressPorts,
        codec: Codec,
        handle: Handle,
        get_limits: Callable[[], IngressLimits],
        is_ready: Callable[[], bool],
        render_metrics: Callable[[], bytes],
        render_status: Callable[[], bytes],
        note_cut: Callable[[CutCall], None] = lambda cut: None,
    ):
        self.is_leaving = False
        self.open_calls = 0
        self._ports = ports
        self._codec = codec
        self._handle = handle
        self._get_limits = get_limits
        self._is_ready = is_ready
        self._render_metrics = render_metrics
        self._render_status = render_status
        self._note_cut = note_cut
        self._ended_at: dict[Any, float] = {}
        self._config = Config()

    async def run(
        self,
        shutdown: Callable[[], Awaitable[None]],
        graceful_seconds: float,
        task_status: trio.TaskStatus[list[str]] = trio.TASK_STATUS_IGNORED,
    ) -> None:
        """Serve until ``shutdown`` returns, then let answers in flight end."""
        config = self._config
        config.bind = list(dict.fromkeys(self._ports))
        config.backlog = BACKLOG
        config.graceful_timeout = graceful_seconds
        config.keep_alive_max_requests = MAX_REQUESTS
        config.errorlog = None
        config.accesslog = None
        config.include_server_header = False
        config.h11_pass_raw_headers = True
        self.apply_limits()
        await serve(
            cast("Any", self._serve),
            config,
            shutdown_trigger=shutdown,
            mode="asgi",
            task_status=task_status,
        )

    def apply_limits(self) -> None:
        """Use the limits of the configuration in force for new connections."""
        limits = self._get_limits()
        self._config.h11_max_incomplete_size = limits.max_header_bytes
        self._config.keep_alive_timeout = limits.idle_timeout

    async def _serve(self, scope: Any, receive: Receive, send: Send) -> None:
        if scope["type"] == "lifespan":
            await self._serve_lifespan(receive, send)
            return
        if scope["type"] != "http":
            return
        reply = AsgiReply(send, is_last=lambda: self.is_leaving)
        host, port = scope["server"]
        address = f"{host}:{port}"
        if address == self._ports.readiness and address != self._ports.callers:
            status = 200 if self._is_ready() else 503
            await send_refusal(reply, Refusal(status, "ready", str(status)))
        elif address == self._ports.metrics:
            await self._serve_operators(scope, reply)
        else:
            await self._serve_call(scope, receive, reply)

    async def _serve_operators(self, scope: Any, reply: AsgiReply) -> None:
        if scope["raw_path"] == STATUS_PATH:
            content_type, body = b"application/json", self._render_status()
        else:
            content_type, body = METRICS_TYPE, self._render_metrics()
        await send_whole(reply, 200, content_type, body)

    async def _serve_lifespan(self, receive: Receive, send: Send) -> None:
        while True:
            event = (await receive())["type"]
            await send({"type": f"{event}.complete"})
            if event == "lifespan.shutdown":
                return

    async def _serve_call(self, scope: Any, receive: Receive, reply: AsgiReply) -> None:
        received_at = trio.current_time()
        self.open_calls += 1
        try:
            body = await self._read_body(receive, reply)
            if body is None:
                return
            call = self._build_call(scope, body, received_at)
            if call is None:
                refusal = Refusal(400, "no_id", "the request has no id")
                await send_refusal(reply, refusal)
                return
            idle_before = self._measure_idle(scope["client"], received_at)
            await self._handle_while_connected(call, receive, reply, idle_before)
        finally:
            self.open_calls -= 1
            self._note_idle(scope["client"])

    def _measure_idle(self, client: Any, now: float) -> float | None:
        ended_at = self._ended_at.pop(client, None)
        return None if ended_at is None else now - ended_at

    def _note_idle(self, client: Any) -> None:
        if len(self._ended_at) >= MAX_IDLE_KNOWN:
            self._ended_at.clear()
        self._ended_at[client] = trio.current_time()

    async def _read_body(self, receive: Receive, reply: AsgiReply) -> bytes | None:
        limit = self._get_limits().max_body_bytes
        pieces: list[bytes] = []
        size = 0
        while True:
            event = await receive()
            if event["type"] == "http.disconnect":
                return None
            pieces.append(event.get("body", b""))
            size += len(pieces[-1])
            if size > limit:
                refusal = Refusal(413, "too_large", "the body is too large")
                await send_refusal(reply, refusal)
                return None
            if not event.get("more_body"):
                return b"".join(pieces)

    def _build_call(
        self, scope: Any, body: bytes, received_at: float
    ) -> IncomingCall | None:
        headers: Headers = list(scope["headers"])
        envelope = self._codec.read_envelope(headers)
        if envelope is None:
            return None
        hosts = [value for name, value in headers if name.lower() == b"host"]
        path = _strip_authority(scope["raw_path"])
        query: bytes = scope["query_string"]
        return IncomingCall(
            method=scope["method"],
            host=hosts[0].decode("latin-1") if hosts else "",
            path=path.decode("latin-1"),
            target=path + b"?" + query if query else path,
            envelope=envelope,
            body=body,
            received_at=received_at,
        )

    async def _handle_while_connected(
        self,
        call: IncomingCall,
        receive: Receive,
        reply: AsgiReply,
        idle_before: float | None,
    ) -> None:
        def note_cut(failure: str | None) -> None:
            after = trio.current_time() - call.received_at
            limit = self._config.keep_alive_timeout
            request_id = call.envelope.request_id
            cut = CutCall(request_id, after, idle_before, limit, failure)
            self._note_cut(cut)

        async with trio.open_nursery() as nursery:

            async def cancel_at_disconnect() -> None:
                while (await receive())["type"] != "http.disconnect":
                    pass
                if not reply.is_finished:
                    note_cut(None)
                nursery.cancel_scope.cancel()

            nursery.start_soon(cancel_at_disconnect)
            try:
                await self._handle(call, reply)
            except Exception as error:
                # The server ends the connection, or answers 500, and says nothing.
                note_cut(repr(error))
                raise
            nursery.cancel_scope.cancel()
