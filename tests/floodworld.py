"""An instance process, servers that write without end, and those of another service."""

from __future__ import annotations

from collections import Counter
from pathlib import Path

import orjson
import trio

from ashpond_platform.rows import SERVERS_TABLE
from tests.crashingservers import World, make_configuration
from tests.ports import find_free_port
from tests.row_builders import SERVER
from tests.servers import make_answer
from tests.soak.servers import parse_headers

PIECE = b"8000\r\n" + b"x" * 0x8000 + b"\r\n"
# Between two pieces: about a megabyte a second on each connection.
PIECE_SECONDS = 0.03
FLOOD_PATH, SOUND_PATH = "/x/1", "/sound/1"


class FloodWorld(World):
    """Three servers of one service write without end, one of another is sound.

    :param memory_mb: the memory limit of the instance.
    """

    def __init__(self, folder: Path, memory_mb: int):
        super().__init__(folder, 1, 3, lambda body: False)
        self.settings = {"memory_mb": memory_mb}
        self.statuses: dict[str, Counter[int]] = {
            FLOOD_PATH: Counter(),
            SOUND_PATH: Counter(),
        }
        self._is_flooding = False

    def make_configuration(self) -> dict[str, object]:
        """Return a configuration with a route to each service."""
        configuration = make_configuration()
        (route,) = configuration["routes"]  # type: ignore[misc]
        route["max_attempts"] = 1  # type: ignore[has-type]
        sound = {**route, "name": "r2", "prefix": "/sound/", "service": "s2"}
        configuration["routes"] = [route, sound]
        configuration["services"] = [{"name": "s1"}, {"name": "s2"}]
        return configuration

    async def _open(self, nursery: trio.Nursery) -> None:
        nursery.start_soon(self._run_sound_server)
        await super()._open(nursery)

    async def _run_sound_server(self) -> None:
        port = find_free_port()
        entry = {**SERVER, "address": f"127.0.0.1:{port}", "models": []}
        entry["service"] = "s2"
        self.memory.put(SERVERS_TABLE, "sound", orjson.dumps(entry))
        await self._serve_until_crash("sound", port)

    async def play(self, per_second: float, seconds: float) -> None:
        """Send requests to both services at the same rate."""
        self._is_flooding = True
        async with trio.open_nursery() as nursery:
            for _ in range(round(per_second * seconds)):
                for path in self.statuses:
                    nursery.start_soon(self._count, path)
                await trio.sleep(1.0 / per_second)

    async def _count(self, path: str) -> None:
        result = await self.ask(0, b"x" * 300, path=path)
        self.statuses[path][result.status] += 1

    async def _answer(
        self,
        server_id: str,
        stream: trio.SocketStream,
        request: bytes,
        server_nursery: trio.Nursery,
    ) -> None:
        _, target, headers = parse_headers(request)
        request_id = headers["x-request-id"]
        if target == SOUND_PATH or not self._is_flooding:
            await stream.send_all(make_answer(b"done", request_id))
            return
        head = f"HTTP/1.1 200 X\r\nX-Request-Id: {request_id}\r\n"
        await stream.send_all(f"{head}Transfer-Encoding: chunked\r\n\r\n".encode())
        while True:
            await stream.send_all(PIECE)
            await trio.sleep(PIECE_SECONDS)
