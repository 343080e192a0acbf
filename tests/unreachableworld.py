"""Instance processes with servers, and entries of servers that cannot be reached."""

from __future__ import annotations

import socket
from collections import Counter
from collections.abc import Iterator
from contextlib import contextmanager
from pathlib import Path

import orjson
import trio

from ashpond_platform.rows import SERVERS_TABLE
from tests.crashingservers import World, make_configuration
from tests.ports import find_free_port
from tests.soak.servers import parse_headers

INSTANCES, SERVERS, UNREACHABLE = 3, 4, 5
DEADLINE_MS = 2_000
# More connections than wait at a listener that accepts none and queues one.
FILLING = 3


@contextmanager
def listen_without_accepting() -> Iterator[int]:
    """Occupy a port at which connecting takes for ever."""
    with socket.socket() as listener:
        listener.bind(("127.0.0.1", find_free_port()))
        listener.listen(0)
        address = listener.getsockname()
        clients = [socket.socket() for _ in range(FILLING)]
        for client in clients:
            client.setblocking(False)
            client.connect_ex(address)
        try:
            yield address[1]
        finally:
            for client in clients:
                client.close()


class UnreachableWorld(World):
    """Sound servers, beside which entries appear that no connection can be made to.

    :param kind: of the route.
    """

    def __init__(self, folder: Path, coordinated_from: int, kind: str = "idempotent"):
        super().__init__(
            folder,
            INSTANCES,
            SERVERS,
            lambda body: False,
            coordinated_from=coordinated_from,
        )
        self.deadline_ms = DEADLINE_MS
        self.runs: Counter[str] = Counter()
        self._kind = kind

    def make_configuration(self) -> dict[str, object]:
        """Return the configuration, with a route of this world's kind."""
        configuration = make_configuration()
        configuration["routes"] = [
            {**route, "kind": self._kind}
            for route in configuration["routes"]  # type: ignore[attr-defined]
        ]
        return configuration

    def add_entry(self, name: str, port: int) -> None:
        """Write the entry of a server that is not there."""
        entry = {**self.server_row, "address": f"127.0.0.1:{port}", "models": []}
        self.memory.put(SERVERS_TABLE, name, orjson.dumps(entry))

    async def send(self, per_second: float, seconds: float) -> None:
        """Send requests to the instances in turn, at a constant rate."""
        async with trio.open_nursery() as nursery:
            for number in range(round(per_second * seconds)):
                body = b"%d" % number
                nursery.start_soon(self.ask_and_record, number % INSTANCES, body)
                await trio.sleep(1 / per_second)

    def count_statuses(self) -> Counter[int]:
        """Return how many requests had each status."""
        return Counter(result.status for result in self.results)

    async def _answer(
        self,
        server_id: str,
        stream: trio.SocketStream,
        request: bytes,
        server_nursery: trio.Nursery,
    ) -> None:
        _, _, headers = parse_headers(request)
        self.runs[headers["x-request-id"]] += 1
        await super()._answer(server_id, stream, request, server_nursery)
