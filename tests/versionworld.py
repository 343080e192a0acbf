"""Instance processes in front of servers of several software versions."""

from __future__ import annotations

import itertools
import random
import time
from collections.abc import Sequence
from pathlib import Path
from typing import NamedTuple

import h11
import orjson
import trio

from ashpond.addresses import parse_address
from ashpond_platform.rows import SERVERS_TABLE
from tests.crashingservers import World, make_configuration
from tests.ports import find_free_port
from tests.row_builders import ROUTE, SERVER
from tests.soak.resets import reset
from tests.soak.servers import parse_headers

EVENTS = 8
EVENT_SECONDS = 0.06
# Streams break after this event, at their server or because the client leaves.
BREAK_AFTER = 3
AWAY_SECONDS = 0.1
DEADLINE_SECONDS = 6.0
MAX_TRIES = 3
# Clients whose connections are refused come back after this time, up to a total number
# of tries.
REFUSED_SECONDS = 0.4
MAX_ALL_TRIES = 12
RETRY_SHARE = 1 / 3
DRAIN_SECONDS = 0.5
WHOLE, RESET, LEAVE = b"whole", b"reset", b"leave"


class Event(NamedTuple):
    """One event of a stream, and the software version that wrote it."""

    number: int
    version: str


class Try(NamedTuple):
    """What one try of a client brought; status 0 without a head of an answer.

    ``serving`` is the number of servers of the stream's version at its beginning.
    """

    at: float
    request_id: str
    instance: int
    status: int
    events: tuple[Event, ...]
    is_whole: bool
    retry_after: float | None
    serving: int


class Stream(NamedTuple):
    """The tries of one client until it has the whole stream or gives up."""

    tries: tuple[Try, ...]

    @property
    def events(self) -> list[Event]:
        return [event for one in self.tries for event in one.events]

    @property
    def versions(self) -> set[str]:
        return {event.version for event in self.events}

    @property
    def is_in_order(self) -> bool:
        numbers = [event.number for event in self.events]
        return numbers == list(range(1, len(numbers) + 1))

    def list_resumptions(self) -> list[Try]:
        """Return the tries that take the stream up again."""
        return [
            one
            for number, one in enumerate(self.tries)
            if any(earlier.events for earlier in self.tries[:number])
        ]


class VersionWorld(World):
    """Servers of several software versions, and clients that resume streams."""

    def __init__(
        self,
        folder: Path,
        instances: int,
        versions: Sequence[str],
        seed: int = 1,
        coordinated_from: int = 0,
    ):
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
        self._servers: trio.Nursery | None = None

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

    async def replace_versions(self, version: str, seconds: float) -> None:
        """Replace each server by one of another software version, one after another."""
        async with trio.open_nursery() as nursery:
            for server_id, old in list(self.serving.items()):
                if old == version:
                    continue
                self.start_server(nursery, version)
                await trio.sleep(seconds / 2)
                await self.stop_server(server_id)
                await trio.sleep(seconds / 2)
            await trio.sleep_forever()

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
            await stream.send_all(b"HTTP/1.1 421 X\r\nContent-Length: 0\r\n\r\n")
            return
        body = request.partition(b"\r\n\r\n")[2]
        head = f"HTTP/1.1 200 X\r\nX-Request-Id: {headers['x-request-id']}\r\n"
        head += "X-Engine-Seal: s\r\nContent-Type: text/event-stream\r\n"
        head += "Transfer-Encoding: chunked\r\n\r\n"
        await stream.send_all(head.encode())
        first = int(headers.get("last-event-id") or 0) + 1
        for number in range(first, EVENTS + 1):
            await trio.sleep(EVENT_SECONDS)
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
        """Be one client: read a stream, and take it up at other instances."""
        deadline = trio.current_time() + DEADLINE_SECONDS
        tries: list[Try] = []
        first_id = ""
        while len(tries) < MAX_ALL_TRIES and count_answered(tries) < MAX_TRIES:
            count = len(self.instances)
            instance = (number + len(tries)) % count
            headers = {"X-Request-Id": f"n{number}-{len(tries)}"}
            events = Stream(tuple(tries)).events
            if events:
                headers |= {
                    "Last-Event-Id": str(events[-1].number),
                    "Resumes": first_id,
                }
            version = events[0].version if events else ""
            left = deadline - trio.current_time()
            leaves = body == LEAVE and not tries
            one = await self.read_stream(instance, body, headers, left, leaves=leaves)
            one = one._replace(serving=self.count_serving(version))
            tries.append(one)
            if one.events and not first_id:
                first_id = one.request_id
            left = deadline - trio.current_time()
            if one.is_whole or left < AWAY_SECONDS:
                break
            away = AWAY_SECONDS if one.status else REFUSED_SECONDS
            pause = min(one.retry_after or away, left * RETRY_SHARE)
            await trio.sleep(pause)
        self.streams.append(Stream(tuple(tries)))

    async def read_stream(
        self,
        instance: int,
        body: bytes,
        headers: dict[str, str],
        left: float,
        *,
        leaves: bool = False,
    ) -> Try:
        """Make one try; leave after a few events if ``leaves`` is set."""
        at = time.monotonic()
        reader = _Reader()
        address = parse_address(self.instances[instance].address)
        with trio.move_on_after(left):
            try:
                stream = await trio.open_tcp_stream(address.host, address.port)
                async with stream:
                    head = {
                        "Host": "a.example",
                        "Authorization": "Token k1",
                        "X-Deadline-Ms": str(max(1, int(left * 1000))),
                        "Content-Length": str(len(body)),
                        "Connection": "close",
                        **headers,
                    }
                    lines = "".join(
                        f"{name}: {text}\r\n" for name, text in head.items()
                    )
                    await stream.send_all(
                        f"POST /s/1 HTTP/1.1\r\n{lines}\r\n".encode() + body
                    )
                    while not reader.is_ended:
                        reader.feed(await stream.receive_some(65_536))
                        if leaves and len(reader.events) >= BREAK_AFTER:
                            break
            except (OSError, trio.BrokenResourceError, h11.RemoteProtocolError):
                pass
        return Try(
            at,
            headers["X-Request-Id"],
            instance,
            reader.status,
            tuple(reader.events),
            reader.is_whole,
            reader.retry_after,
            0,
        )


class _Reader:
    """Reads one answer as far as it arrives."""

    def __init__(self) -> None:
        self.status = 0
        self.retry_after: float | None = None
        self.is_ended = False
        self.is_whole = False
        self.events: list[Event] = []
        self._data = b""
        self._connection = h11.Connection(h11.CLIENT)
        self._connection.send(
            h11.Request(method="GET", target="/", headers=[("Host", "a")])
        )
        self._connection.send(h11.EndOfMessage())

    def feed(self, data: bytes) -> None:
        self._connection.receive_data(data)
        while True:
            event = self._connection.next_event()
            if isinstance(event, h11.Response):
                self.status = event.status_code
                text = dict(event.headers).get(b"retry-after")
                self.retry_after = float(text) if text else None
            elif isinstance(event, h11.Data):
                self._add(bytes(event.data))
            else:
                self.is_ended = event is not h11.NEED_DATA
                self.is_whole = (
                    isinstance(event, h11.EndOfMessage) and self.status == 200
                )
                return

    def _add(self, data: bytes) -> None:
        if self.status != 200:
            return
        *complete, self._data = (self._data + data).split(b"\n\n")
        for text in complete:
            number, version = text.decode().split("\n")
            self.events.append(
                Event(int(number.removeprefix("id: ")), version.removeprefix("data: "))
            )


def count_answered(tries: Sequence[Try]) -> int:
    """Return how many tries got at least the head of an answer."""
    return sum(one.status != 0 for one in tries)


class Outcome(NamedTuple):
    """What the clients of a world have seen.

    ``mixed`` streams hold events of two software versions. ``resumed`` counts the tries
    that took up a stream at a running instance while ``least`` servers of its version
    served, ``went_on`` those of them that brought more.
    """

    streams: int
    mixed: int
    out_of_order: int
    begun_share: float
    resumed: int
    went_on: int

    @property
    def went_on_share(self) -> float:
        return self.went_on / max(1, self.resumed)


def summarize(streams: Sequence[Stream], least: int = 2) -> Outcome:
    """Count what the clients have seen."""
    first = [stream.tries[0] for stream in streams]
    resumptions = [
        one
        for stream in streams
        for one in stream.list_resumptions()
        if one.serving >= least and one.status
    ]
    return Outcome(
        len(streams),
        sum(len(stream.versions) > 1 for stream in streams),
        sum(not stream.is_in_order for stream in streams),
        sum(bool(one.events) for one in first) / max(1, len(first)),
        len(resumptions),
        sum(bool(one.events) or one.is_whole for one in resumptions),
    )
