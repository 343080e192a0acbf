"""Relay connections of peers to backend servers that they cannot reach themselves."""

from __future__ import annotations

__all__ = ["RelayServer"]

from typing import TYPE_CHECKING

import trio

from ashpond.clients.liveness import PATIENT_UNACKNOWLEDGED_MS
from ashpond.clients.peermessages import (
    TunnelAnswer,
    TunnelBackoff,
    TunnelData,
    TunnelEnd,
    TunnelRequest,
)
from ashpond.clients.sockets import (
    close_socket,
    has_unacknowledged_data,
    open_socket,
    receive,
    send_all,
)
from ashpond.clients.tunnels import PIECE_BYTES, TunnelState
from ashpond.fleet.links import run_until_end

if TYPE_CHECKING:
    import socket
    from collections.abc import Callable

    from ashpond.clients.peer import PeerStream
    from ashpond.controllers.directory import ServerState, ServerTable
    from ashpond.gateway.decisionlog import DecisionLog

# Shorter than the time that a peer waits, so that it gets an answer (seconds).
CONNECT_SECONDS = 0.25
# An answered request has ended if the server sends nothing for so long; clients give up
# streams with longer pauses (seconds).
IDLE_SECONDS = 2.0
DRAIN_CHECK_SECONDS = 0.1
# The longest backoff that a peer may report (seconds).
MAX_BACKOFF_SECONDS = 600.0


class _Traffic:
    """The state of one tunnel; ``awaits_server`` from a request until its answer.

    ``has_unsent_data`` is whether bytes of the peer are yet to be sent to the server,
    which stays so once that has failed.
    """

    def __init__(self) -> None:
        self.awaits_server = False
        self.has_unsent_data = False
        self.moved_at = trio.current_time()
        self.sent_bytes = 0
        self.received_bytes = 0
        self.scope = trio.CancelScope()

    def is_idle(self, now: float) -> bool:
        """Return whether no request seems to be in flight."""
        return not self.awaits_server and now - self.moved_at > IDLE_SECONDS


class RelayServer:
    """The relay for peers that are cut off from servers.

    A relay connects to the server itself, never through a third instance.

    ``is_leaving`` is set once it opens no more tunnels.

    :param is_cut_off: returns whether this instance reaches no servers itself.
    :param is_busy: returns whether its own callers leave no room for more.
    :param on_unreached: is called with a server that it could not connect to.
    :param count: counts tunnels by outcome.
    :param limit: the most tunnels that may be open.
    """

    def __init__(
        self,
        table: ServerTable,
        log: DecisionLog,
        is_cut_off: Callable[[], bool],
        is_busy: Callable[[], bool],
        on_unreached: Callable[[ServerState], None],
        count: Callable[[str], None],
        limit: int,
        get_buffer_bytes: Callable[[], int] = lambda: 0,
    ):
        self._table = table
        self._log = log
        self._is_cut_off = is_cut_off
        self._is_busy = is_busy
        self._on_unreached = on_unreached
        self._count = count
        self._limit = limit
        self._get_buffer_bytes = get_buffer_bytes
        self._open: set[_Traffic] = set()
        self.is_leaving = False

    @property
    def tunnels(self) -> int:
        """The number of open tunnels."""
        return len(self._open)

    async def serve(self, first: TunnelRequest, stream: PeerStream) -> None:
        """Serve one tunnel until either side ends it."""
        state = self._table.by_id.get(first.server_id)
        refusal = self.find_refusal(state, first.started_ms)
        sock: socket.socket | None = None
        if refusal is None and state is not None:
            sock, refusal = await self._connect(state)
        if state is None or sock is None:
            assert refusal is not None
            self._count(refusal)
            await stream.send(TunnelAnswer(refusal, self.tunnels))
            return
        self._count(TunnelState.OPEN)
        traffic = _Traffic()
        self._open.add(traffic)
        try:
            await stream.send(TunnelAnswer(TunnelState.OPEN, self.tunnels))
            with traffic.scope:
                await self._relay(state, sock, stream, traffic)
        finally:
            close_socket(sock)
            self._open.discard(traffic)
            self._log.note(
                "relay_ended",
                peer=first.sender,
                server=first.server_id,
                sent_bytes=traffic.sent_bytes,
                received_bytes=traffic.received_bytes,
                awaits_server=traffic.awaits_server,
                has_unsent_data=traffic.has_unsent_data,
            )

    def find_refusal(
        self, state: ServerState | None, started_ms: int
    ) -> TunnelState | None:
        """Return why no tunnel to a server is opened now, None if one may be."""
        now = trio.current_time()
        if self._is_cut_off():
            return TunnelState.CUT_OFF
        if self.is_leaving or self.tunnels >= self._limit or self._is_busy():
            return TunnelState.BUSY
        if state is None or not state.is_present() or state.is_backing_off(now):
            return TunnelState.UNUSABLE
        known_start = state.info.started_ms
        if known_start is not None and started_ms not in (-1, known_start):
            return TunnelState.UNUSABLE
        return None

    async def _connect(
        self, state: ServerState
    ) -> tuple[socket.socket | None, TunnelState | None]:
        buffer_bytes = self._get_buffer_bytes()
        try:
            sock = await open_socket(
                state.info.address,
                CONNECT_SECONDS,
                buffer_bytes,
                PATIENT_UNACKNOWLEDGED_MS,
            )
        except (OSError, trio.TooSlowError) as error:
            self._on_unreached(state)
            is_refused = isinstance(error, ConnectionRefusedError)
            return None, TunnelState.REFUSED if is_refused else TunnelState.UNREACHED
        return sock, None

    async def _relay(
        self,
        state: ServerState,
        sock: socket.socket,
        stream: PeerStream,
        traffic: _Traffic,
    ) -> None:
        async def forward_requests() -> None:
            while True:
                message = await stream.receive()
                if isinstance(message, TunnelData):
                    await _forward_request(sock, message.data, traffic)
                elif isinstance(message, TunnelBackoff):
                    # The server counts the peer's requests as this instance's.
                    seconds = min(max(0.0, message.seconds), MAX_BACKOFF_SECONDS)
                    until = trio.current_time() + seconds
                    state.backoff_until = max(state.backoff_until, until)

        async def forward_answers() -> None:
            try:
                while True:
                    data, _ = await receive(sock, PIECE_BYTES, shield_ready_data=False)
                    if not data:
                        break
                    traffic.awaits_server = False
                    traffic.moved_at = trio.current_time()
                    traffic.received_bytes += len(data)
                    await stream.send(TunnelData(data))
            except OSError:
                await stream.send(TunnelEnd(is_reset=True))
                return
            # The peer cannot know which of its bytes the server has.
            is_early = traffic.has_unsent_data or stream.has_data()
            is_early = is_early or has_unacknowledged_data(sock)
            await stream.send(TunnelEnd(is_reset=is_early))

        reason = await run_until_end(forward_requests, forward_answers)
        if reason:
            self._count("lost")

    async def drain(self, until: float) -> None:
        """Open no more tunnels, end idle ones, and wait for the others to end."""
        self.is_leaving = True
        while self._open and trio.current_time() < until:
            now = trio.current_time()
            for traffic in list(self._open):
                if traffic.is_idle(now):
                    traffic.scope.cancel()
            await trio.sleep(DRAIN_CHECK_SECONDS)


async def _forward_request(sock: socket.socket, data: bytes, traffic: _Traffic) -> None:
    """Send bytes of a request; discard them once sending has failed."""
    if traffic.has_unsent_data:
        return
    traffic.awaits_server = True
    traffic.has_unsent_data = True
    try:
        await send_all(sock, data)
    except OSError:
        # What the server has sent before is still to be forwarded.
        return
    traffic.sent_bytes += len(data)
    traffic.has_unsent_data = False
