"""TCP proxy on loopback that can delay, reset or block its connections."""

from __future__ import annotations

from enum import StrEnum

import trio

from tests.soak.partitions import PartitionProxy, Partitions
from tests.soak.resets import reset

PIECE_BYTES = 16_384
DELAY_SECONDS = 0.4


class Harm(StrEnum):
    """The fault that a proxy applies to its connections."""

    NONE = "none"
    DELAY = "delay"
    RESET = "reset"
    SILENT = "silent"
    ONE_WAY = "one_way"


class Proxy:
    """Proxy that forwards connections to ``target`` and applies ``harm`` to them.

    :param partitions: the instances that are cut off from this target.
    """

    def __init__(self, target: str, partitions: Partitions | None = None):
        self.target = target
        self._partition = PartitionProxy(partitions) if partitions else None
        self.address = ""
        self._listening = trio.CancelScope()
        self._refuses_until = 0.0
        self._clients: set[trio.SocketStream] = set()
        self._harms: list[tuple[float, Harm]] = [(0.0, Harm.NONE)]

    @property
    def harm(self) -> Harm:
        """The fault applied now."""
        return self._harms[-1][1]

    @harm.setter
    def harm(self, harm: Harm) -> None:
        self._harms.append((trio.current_time(), harm))

    def was_harmed(self, since: float, until: float) -> bool:
        """Return whether any fault was applied between two times."""
        ends = [at for at, _ in self._harms[1:]] + [float("inf")]
        return any(
            harm is not Harm.NONE and at <= until and end >= since
            for (at, harm), end in zip(self._harms, ends, strict=True)
        )

    async def run(self, task_status: trio.TaskStatus[None]) -> None:
        """Listen until cancelled."""
        listeners = await trio.open_tcp_listeners(0, host="127.0.0.1")
        port = listeners[0].socket.getsockname()[1]
        self.address = f"127.0.0.1:{port}"
        task_status.started()
        while True:
            with self._listening:
                await trio.serve_listeners(self._serve, listeners)
            await trio.sleep_until(self._refuses_until)
            self._listening = trio.CancelScope()
            listeners = await trio.open_tcp_listeners(port, host="127.0.0.1")

    async def refuse(self, seconds: float) -> None:
        """Reset all connections, and refuse new ones for some seconds."""
        self.harm = Harm.RESET
        for client in list(self._clients):
            reset(client)
        self._refuses_until = trio.current_time() + seconds
        self._listening.cancel()
        await trio.sleep_until(self._refuses_until)
        self.harm = Harm.NONE

    async def _serve(self, client: trio.SocketStream) -> None:
        host, port = self.target.split(":")
        is_cut = self._partition is not None and not self._partition.admit(client)
        try:
            if self.harm is Harm.RESET or is_cut:
                reset(client)
                return
            server = await trio.open_tcp_stream(host, int(port))
        except OSError:
            reset(client)
            return
        self._clients.add(client)
        try:
            async with client, server, trio.open_nursery() as nursery:
                nursery.start_soon(self._forward, client, server, True, nursery)
                nursery.start_soon(self._forward, server, client, False, nursery)
        finally:
            self._clients.discard(client)
            if self._partition is not None:
                self._partition.remove(client)

    def _is_silent(self, client: trio.SocketStream, *, is_request: bool) -> bool:
        """Return whether nothing is delivered now in a direction of a connection."""
        if self._partition is not None and self._partition.is_hanging(client):
            return True
        return self.harm is Harm.SILENT or (
            self.harm is Harm.ONE_WAY and not is_request
        )

    async def _forward(
        self,
        source: trio.SocketStream,
        sink: trio.SocketStream,
        is_request: bool,
        nursery: trio.Nursery,
    ) -> None:
        try:
            while piece := await source.receive_some(PIECE_BYTES):
                if self.harm is Harm.RESET:
                    break
                if self.harm is Harm.DELAY:
                    await trio.sleep(DELAY_SECONDS)
                client = source if is_request else sink
                while self._is_silent(client, is_request=is_request):
                    await trio.sleep(0.05)
                await sink.send_all(piece)
            else:
                await sink.send_eof()
                return
        except (trio.BrokenResourceError, trio.ClosedResourceError, OSError):
            pass
        reset(sink)
        reset(source)
        nursery.cancel_scope.cancel()
