"""TCP proxy on loopback that can delay, reset or block its connections."""

from __future__ import annotations

import socket
import struct
from enum import StrEnum

import trio

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
    """Proxy that forwards connections to ``target`` and applies ``harm`` to them."""

    def __init__(self, target: str):
        self.target = target
        self.address = ""
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
        self.address = f"127.0.0.1:{listeners[0].socket.getsockname()[1]}"
        task_status.started()
        await trio.serve_listeners(self._serve, listeners)

    async def _serve(self, client: trio.SocketStream) -> None:
        host, port = self.target.split(":")
        try:
            if self.harm is Harm.RESET:
                reset(client)
                return
            server = await trio.open_tcp_stream(host, int(port))
        except OSError:
            reset(client)
            return
        async with client, server, trio.open_nursery() as nursery:
            nursery.start_soon(self._forward, client, server, True, nursery)
            nursery.start_soon(self._forward, server, client, False, nursery)

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
                while self.harm is Harm.SILENT or (
                    self.harm is Harm.ONE_WAY and not is_request
                ):
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


def reset(stream: trio.SocketStream) -> None:
    """Close a connection so that the peer receives a reset."""
    try:
        linger = struct.pack("ii", 1, 0)
        stream.socket.setsockopt(socket.SOL_SOCKET, socket.SO_LINGER, linger)
    except OSError:
        pass
    stream.socket.close()
