"""Instance processes with servers that a deadly request crashes."""

from __future__ import annotations

import os
import time
from collections.abc import Callable, Sequence
from pathlib import Path
from typing import NamedTuple

import httpx
import orjson
import trio

from ashpond.decisions.fleetlinks import MAX_MESH_MEMBERS
from ashpond.standins.tables import MemoryStore
from ashpond_platform.rows import OPERATOR_TABLE, SERVERS_TABLE
from tests.ports import find_free_port
from tests.row_builders import ROUTE, SERVER
from tests.servers import make_answer, read_request
from tests.soak.instances import Instance
from tests.soak.resets import reset
from tests.soak.servers import CONTROL_PREFIX, parse_headers
from tests.test_platform_store import answer_call

# How long the deadly request runs until its server crashes, and how long the server is
# away (seconds).
RUNNING_SECONDS = 0.05
AWAY_SECONDS = 1.5
# A row disappears after three missed heartbeats (seconds).
ENTRY_EXPIRY_SECONDS = 1.0
WORK_SECONDS = 0.03
DEADLY_BODY = b"deadly"
HARMLESS_BODY = b"harmless"


class Arrival(NamedTuple):
    """A request that reached a server."""

    at: float
    server: str
    body: bytes


class ClientResult(NamedTuple):
    """The result of a request for its client; status 0 without a complete answer."""

    sent_at: float
    body: bytes
    status: int
    retry_after: str | None


class World:
    """A store, servers and instances.

    ``is_deadly`` returns whether a request with that body crashes its server.
    """

    def __init__(
        self,
        folder: Path,
        instances: int,
        servers: int,
        is_deadly: Callable[[bytes], bool],
        mesh_limit: int = MAX_MESH_MEMBERS,
        limit: dict[str, object] | None = None,
        coordinated_from: int = 0,
    ):
        self._limit = limit or {}
        self.memory = MemoryStore()
        self.arrivals: list[Arrival] = []
        self.crashes: list[Arrival] = []
        self.results: list[ClientResult] = []
        self._is_deadly = is_deadly
        self.deadly_parts: set[str] = set()
        self.server_row: dict[str, object] = SERVER
        self.entries: dict[str, dict[str, object]] = {}
        # How long the callers wait.
        self.deadline_ms = 4000
        # Whether the servers have a model, as requests with prompts require.
        self.has_model = False
        # Bounds in the settings of the instances that differ from the usual ones.
        self.bounds: dict[str, float] = {}
        # Further settings of the instances.
        self.settings: dict[str, float] = {}
        self._folder = folder
        self._counts = (instances, servers)
        self._mesh_limit = mesh_limit
        self._coordinated_from = coordinated_from
        self._requests = 0
        # The instance that each request was sent to, by request id.
        self.instance_by_request: dict[str, int] = {}
        self.instances: list[Instance] = []

    def make_configuration(self) -> dict[str, object]:
        """Return the configuration that the instances start with."""
        return make_configuration(limit=self._limit)

    async def run(self, play: Callable[[], object]) -> None:
        """Start everything, run ``play`` and kill the processes."""
        async with trio.open_nursery() as nursery, httpx.AsyncClient() as client:
            self._client = client
            try:
                await self._open(nursery)
                await play()  # type: ignore[misc]
            finally:
                with trio.CancelScope(shield=True):
                    for instance in self.instances:
                        await instance.stop(9)
                        instance.log.close()
            nursery.cancel_scope.cancel()

    async def _open(self, nursery: trio.Nursery) -> None:
        listeners = await trio.open_tcp_listeners(0, host="127.0.0.1")
        store = f"127.0.0.1:{listeners[0].socket.getsockname()[1]}"
        nursery.start_soon(trio.serve_listeners, self._serve_store, listeners)
        self.memory.put(
            OPERATOR_TABLE,
            "config",
            orjson.dumps(self.make_configuration()),
        )
        for number in range(self._counts[1]):
            nursery.start_soon(self._run_server, f"s{number}")
        for number in range(self._counts[0]):
            instance = Instance(
                f"i{number}",
                self._folder,
                store,
                f"127.77.{os.getpid() % 254 + 1}.{number + 1}",
                self._mesh_limit,
                self._coordinated_from,
                self.bounds,
                self.settings,
            )
            instance.start()
            self.instances.append(instance)
        await self.wait_until_served()

    async def wait_until_served(self) -> None:
        """Wait until each instance serves."""
        with trio.fail_after(60):
            for number in range(len(self.instances)):
                while (await self.ask(number, b"first")).status != 200:
                    await trio.sleep(0.1)

    async def _serve_store(self, stream: trio.SocketStream) -> None:
        try:
            while request := await read_request(stream):
                era = self.memory.era
                status, body = await answer_call(self.memory, request)
                if self.memory.era != era:
                    # The connections of the previous era are closed.
                    return
                head = f"Store-Era: {era}\r\n"
                data = orjson.dumps(body)
                await stream.send_all(make_answer(data, status=status, extra=head))
        except (trio.BrokenResourceError, OSError):
            return

    async def _run_server(self, name: str) -> None:
        """Run a server; each of its starts has another id, at the same address."""
        port = find_free_port()
        for start in range(100):
            server_id = f"{name}-{start}"
            entry = {**self.server_row, "address": f"127.0.0.1:{port}"}
            if not self.has_model:
                entry["models"] = []
            self.entries[server_id] = entry
            self.memory.put(SERVERS_TABLE, server_id, orjson.dumps(entry))
            await self._serve_until_crash(server_id, port)
            await trio.sleep(ENTRY_EXPIRY_SECONDS)
            self.memory.put(SERVERS_TABLE, server_id, None)
            await trio.sleep(AWAY_SECONDS - ENTRY_EXPIRY_SECONDS)

    async def _serve_until_crash(self, server_id: str, port: int) -> None:
        """Serve until a request crashes the server, then reset its connections."""
        streams: set[trio.SocketStream] = set()
        async with trio.open_nursery() as nursery:

            async def serve(stream: trio.SocketStream) -> None:
                streams.add(stream)
                try:
                    while request := await read_request(stream):
                        if parse_headers(request)[1].startswith(CONTROL_PREFIX):
                            await stream.send_all(make_answer(b"", status=404))
                            continue
                        await self._answer(server_id, stream, request, nursery)
                except (trio.BrokenResourceError, trio.ClosedResourceError, OSError):
                    return
                finally:
                    streams.discard(stream)

            listeners = await trio.open_tcp_listeners(port, host="127.0.0.1")
            nursery.start_soon(trio.serve_listeners, serve, listeners)
        for stream in streams:
            reset(stream)

    async def _answer(
        self,
        server_id: str,
        stream: trio.SocketStream,
        request: bytes,
        server_nursery: trio.Nursery,
    ) -> None:
        body = request.partition(b"\r\n\r\n")[2]
        headers = parse_headers(request)[2]
        arrival = Arrival(time.monotonic(), server_id, body)
        self.arrivals.append(arrival)
        parts = list_parts(headers)
        if self._is_deadly(body) or not self.deadly_parts.isdisjoint(parts):
            await trio.sleep(RUNNING_SECONDS)
            self.crashes.append(arrival._replace(at=time.monotonic()))
            server_nursery.cancel_scope.cancel()
            await trio.sleep_forever()
        await trio.sleep(WORK_SECONDS)
        answer = make_answer(
            b"done", headers["x-request-id"], 200, "X-Engine-Seal: s\r\n"
        )
        await stream.send_all(answer)

    async def ask(
        self,
        number: int,
        body: bytes,
        key: str = "k1",
        path: str = "/x/1",
        parts: Sequence[str] = (),
        timeout_ms: float | None = None,
    ) -> ClientResult:
        """Send a request to an instance on a connection of its own.

        :param parts: the ids of the prompt's parts; none for a request without prompt.
        :param timeout_ms: how long the caller waits, ``deadline_ms`` if None.
        """
        timeout_ms = timeout_ms or self.deadline_ms
        self._requests += 1
        sent_at = time.monotonic()
        self.instance_by_request[f"r{self._requests}"] = number
        headers = {
            "Host": "a.example",
            "Authorization": f"Token {key}",
            "X-Request-Id": f"r{self._requests}",
            "X-Deadline-Ms": str(round(timeout_ms)),
            "Connection": "close",
        }
        if parts:
            headers["X-Model"] = "m1"
            headers["X-Token-Counts"] = f"{100 * len(parts)},20"
            headers["X-Prompt-Prefix"] = ",".join(f"{part}:100" for part in parts)
        status, retry_after = 0, None
        try:
            answer = await self._client.post(
                f"http://{self.instances[number].address}{path}",
                content=body,
                headers=headers,
                timeout=timeout_ms / 1000 + 2.0,
            )
            status, retry_after = answer.status_code, answer.headers.get("retry-after")
        except httpx.HTTPError:
            status = 0
        return ClientResult(sent_at, body, status, retry_after)

    async def ask_and_record(
        self, number: int, body: bytes, path: str = "/x/1", parts: Sequence[str] = ()
    ) -> None:
        """Send a request, and record its result."""
        self.results.append(await self.ask(number, body, path=path, parts=parts))


def list_parts(headers: dict[str, str]) -> list[str]:
    """Return the ids of the parts of a request's prompt."""
    entries = headers.get("x-prompt-prefix", "").split(",")
    return [entry.partition(":")[0] for entry in entries]


def make_configuration(
    version: int = 1,
    keys: tuple[str, ...] = ("k1", "k2"),
    limit: dict[str, object] | None = None,
) -> dict[str, object]:
    route = {
        **ROUTE,
        "kind": "idempotent",
        "backends": None,
        "service": "s1",
        "max_attempts": 2,
        "resumable": False,
        "target_latency_ms": 500,
    }
    return {
        "version": version,
        "routes": [route],
        "services": [{"name": "s1"}],
        "tenants": [{"name": "t1", "api_keys": list(keys), **(limit or {})}],
    }
