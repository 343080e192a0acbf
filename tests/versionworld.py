"""Instance processes in front of servers of several software versions."""

from __future__ import annotations

import itertools
import random
from collections.abc import Sequence
from pathlib import Path

import orjson
import trio

from ashpond_platform.rows import SERVERS_TABLE
from tests.crashingservers import World, make_configuration
from tests.ports import find_free_port
from tests.row_builders import ROUTE, SERVER
from tests.servers import make_answer
from tests.soak.resets import reset
from tests.soak.servers import parse_headers
from tests.streamclients import (
    BREAK_AFTER,
    LEAVE,
    RESET,
    WHOLE,
    Stream,
    Target,
    play_stream,
)

EVENTS = 8
EVENT_SECONDS = 0.06
DRAIN_SECONDS = 0.5


class VersionWorld(World):
    """Servers of several software versions, and clients that resume streams."""

    def __init__(
        self,
        folder: Path,
        instances: int,
        versions: Sequence[str],
        seed: int = 1,
        coordinated_from: int = 0,
        event_seconds: float = EVENT_SECONDS,
    ):
        self._event_seconds = event_seconds
        super().__init__(
            folder,
            instances,
            len(versions),
            lambda body: False,
            coordinated_from=coordinated_from,
        )
        self.rng = random.Random(seed)
        self.streams: list[Stream] = []
        self.serving: dict[str, str] = {}
        self._versions = dict(enumerate(versions))
        self._numbers = itertools.count()
        self._scopes: dict[str, trio.CancelScope] = {}
        self.servers: trio.Nursery | None = None

    def make_configuration(self) -> dict[str, object]:
        """Return a configuration with a resumable route of streams."""
        route = {
            **ROUTE,
            "name": "streams",
            "prefix": "/s/",
            "backends": None,
            "service": "s1",
            "max_attempts": 2,
            "resumable": True,
            "gap_aim_ms": 500,
        }
        configuration = make_configuration()
        configuration["routes"] = [*configuration["routes"], route]  # type: ignore[misc]
        return configuration

    async def _run_server(self, name: str) -> None:
        async with trio.open_nursery() as nursery:
            self.servers = nursery
            version = self._versions[int(name.removeprefix("s"))]
            self.start_server(nursery, version)
            await trio.sleep_forever()

    def start_server(self, nursery: trio.Nursery, version: str) -> str:
        """Start a server of a software version; return its id."""
        server_id = f"e{next(self._numbers)}"
        self.serving[server_id] = version
        nursery.start_soon(self._serve_version, server_id)
        return server_id

    async def _serve_version(self, server_id: str) -> None:
        port = find_free_port()
        self._put_entry(server_id, port, "ready")
        with trio.CancelScope() as scope:
            self._scopes[server_id] = scope
            await self._serve_until_crash(server_id, port)

    def _put_entry(self, server_id: str, port: int, state: str) -> None:
        entry = {**SERVER, "address": f"127.0.0.1:{port}", "models": []}
        entry |= {"version": self.serving[server_id], "state": state}
        self.memory.put(SERVERS_TABLE, server_id, orjson.dumps(entry))

    async def stop_server(self, server_id: str) -> None:
        """Remove a server's entry, and end the server once it has drained."""
        self.memory.put(SERVERS_TABLE, server_id, None)
        await trio.sleep(DRAIN_SECONDS)
        del self.serving[server_id]
        self._scopes[server_id].cancel()

    def end_server(self, server_id: str) -> None:
        """End a server without notice, and remove its entry."""
        self.memory.put(SERVERS_TABLE, server_id, None)
        del self.serving[server_id]
        self._scopes[server_id].cancel()

    async def replace_versions(self, version: str, seconds: float) -> None:
        """Replace each server by one of another software version, one after another."""
        assert self.servers is not None
        for server_id in list(self.serving):
            self.start_server(self.servers, version)
            await trio.sleep(seconds / 2)
            await self.stop_server(server_id)
            await trio.sleep(seconds / 2)

    async def _answer(
        self,
        server_id: str,
        stream: trio.SocketStream,
        request: bytes,
        server_nursery: trio.Nursery,
    ) -> None:
        _, target, headers = parse_headers(request)
        if not target.startswith("/s/"):
            await super()._answer(server_id, stream, request, server_nursery)
            return
        if headers.get("x-expect-instance") != server_id:
            request_id = headers["x-request-id"]
            rejection = make_answer(b"", request_id, 421, "X-Not-Executed: 1\r\n")
            await stream.send_all(rejection)
            return
        body = request.partition(b"\r\n\r\n")[2]
        head = f"HTTP/1.1 200 X\r\nX-Request-Id: {headers['x-request-id']}\r\n"
        head += "X-Engine-Seal: s\r\nContent-Type: text/event-stream\r\n"
        head += "Transfer-Encoding: chunked\r\n\r\n"
        await stream.send_all(head.encode())
        first = int(headers.get("last-event-id") or 0) + 1
        for number in range(first, EVENTS + 1):
            await trio.sleep(self._event_seconds)
            if body == RESET and first == 1 and number > BREAK_AFTER:
                reset(stream)
                raise trio.ClosedResourceError
            data = b"id: %d\ndata: %s\n\n" % (
                number,
                self._get_version(server_id).encode(),
            )
            await stream.send_all(b"%x\r\n%s\r\n" % (len(data), data))
        await stream.send_all(b"0\r\n\r\n")

    def _get_version(self, server_id: str) -> str:
        return self.serving[server_id]

    def count_serving(self, version: str) -> int:
        """Return how many servers of a software version serve."""
        return sum(one == version for one in self.serving.values())

    async def send_streams(self, per_second: float, seconds: float) -> None:
        """Begin streams at a steady rate; a third is reset, a third is left."""
        begin = trio.current_time()
        async with trio.open_nursery() as nursery:
            for number in range(round(per_second * seconds)):
                await trio.sleep_until(begin + number / per_second)
                body = (WHOLE, RESET, LEAVE)[number % 3]
                nursery.start_soon(self.play_stream, number, body)

    async def play_stream(self, number: int, body: bytes) -> None:
        """Be one client, whose tries go to one instance after another."""

        def choose_target(tries: int) -> Target:
            instance = (number + tries) % len(self.instances)
            return Target(instance, self.instances[instance].address)

        name = f"n{number}"
        self.streams.append(
            await play_stream(name, body, choose_target, self.count_serving)
        )
