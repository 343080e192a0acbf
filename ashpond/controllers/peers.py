"""The server for other instances' requests and facts."""

from __future__ import annotations

__all__ = ["PeerServer"]

from typing import TYPE_CHECKING

import trio
from logbook import Logger

from ashpond.addresses import parse_address
from ashpond.clients.peer import (
    AttemptAnswer,
    AttemptQuery,
    CacheAnswer,
    CacheRequest,
    ConfigRequest,
    Facts,
    PeerMessage,
    PeerStream,
)
from ashpond.errors import FrameError

if TYPE_CHECKING:
    from ashpond.controllers.claims import ClaimsController
    from ashpond.controllers.configuration import ConfigurationController
    from ashpond.controllers.engines import EnginesController
    from ashpond.controllers.members import MembersController
    from ashpond.metrics import Metrics
    from ashpond.settings import Settings

logger = Logger("ashpond.peers")

MAX_CACHE_BLOCKS = 50_000


class PeerServer:
    """Accepts connections of peers and refuses those without the shared secret."""

    def __init__(
        self,
        settings: Settings,
        members: MembersController,
        configuration: ConfigurationController,
        engines: EnginesController,
        claims: ClaimsController,
        metrics: Metrics,
    ):
        self._settings = settings
        self._members = members
        self._configuration = configuration
        self._engines = engines
        self._claims = claims
        self._metrics = metrics

    async def run(
        self, task_status: trio.TaskStatus[None] = trio.TASK_STATUS_IGNORED
    ) -> None:
        """Accept and serve connections, forever."""
        address = parse_address(self._settings.peers_address)
        async with trio.open_nursery() as nursery:
            listeners = await trio.open_tcp_listeners(address.port, host=address.host)
            task_status.started()
            await trio.serve_listeners(self._serve, listeners, handler_nursery=nursery)

    async def _serve(self, connection: trio.SocketStream) -> None:
        limit = self._settings.limits.max_frame_bytes
        stream = PeerStream(connection, self._settings.peer_secret, limit)
        try:
            await stream.authenticate(is_server=True)
        except (FrameError, trio.BrokenResourceError):
            self._metrics.refused_peers.inc({})
            await stream.aclose()
            return
        senders: set[str] = set()
        try:
            while True:
                message = await stream.receive()
                if isinstance(message, Facts):
                    senders.add(message.sender)
                await self._answer(stream, message)
        except (FrameError, trio.BrokenResourceError, trio.ClosedResourceError):
            return
        finally:
            # The last facts may not have arrived, whichever side closed the connection.
            for sender in senders:
                self._members.table.remove_link(sender)
            await stream.aclose()

    async def _answer(self, stream: PeerStream, message: PeerMessage) -> None:
        reply = self._build_answer(message)
        if reply is None:
            raise FrameError("an answer without a request")
        before = stream.sent_bytes
        await stream.send(reply)
        self._metrics.peer_bytes.add({}, stream.sent_bytes - before)

    def _build_answer(self, message: PeerMessage) -> PeerMessage | None:
        if isinstance(message, Facts):
            self._members.take_facts(message)
            return self._members.collect_facts(message.sender)
        if isinstance(message, AttemptQuery):
            return AttemptAnswer(str(self._claims.answer(message.attempt)))
        if isinstance(message, ConfigRequest):
            return self._configuration.answer_peer()
        if isinstance(message, CacheRequest):
            limit = min(message.limit, MAX_CACHE_BLOCKS)
            return CacheAnswer(self._engines.export_views(limit))
        return None
