"""Clients that read streams, leave, and take them up again at other instances."""

from __future__ import annotations

import time
from collections.abc import Callable, Sequence
from typing import NamedTuple

import h11
import trio

from ashpond.addresses import parse_address

# A client that leaves does so after this event.
BREAK_AFTER = 3
AWAY_SECONDS = 0.1
DEADLINE_SECONDS = 6.0
MAX_TRIES = 3
# Clients whose connections are refused come back after this time, up to a total number
# of tries.
REFUSED_SECONDS = 0.4
MAX_ALL_TRIES = 12
RETRY_SHARE = 1 / 3
WHOLE, RESET, LEAVE = b"whole", b"reset", b"leave"


class Event(NamedTuple):
    """One event of a stream, and the software version that wrote it."""

    number: int
    version: str


class Try(NamedTuple):
    """What one try of a client brought; status 0 without a head of an answer.

    ``first_event_at`` and ``ended_at`` are on the same clock as ``at``. ``serving`` is
    the number of servers of the stream's version at its beginning.
    """

    at: float
    first_event_at: float | None
    ended_at: float
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
    def begun_for(self) -> float:
        """For how long the stream had been open when its first events ended (seconds).

        It is 0 if no try brought any.
        """
        for one in self.tries:
            if one.first_event_at is not None:
                return one.ended_at - one.first_event_at
        return 0.0

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


class Target(NamedTuple):
    """Where a try is sent: the number and address of an instance, path and key."""

    instance: int
    address: str
    path: str = "/s/1"
    key: str = "k1"


async def play_stream(
    name: str,
    body: bytes,
    choose_target: Callable[[int], Target],
    count_serving: Callable[[str], int],
) -> Stream:
    """Be one client: read a stream, and take it up again until it is whole.

    :param choose_target: returns where the try of a number is sent.
    :param count_serving: returns how many servers of a software version serve.
    """
    deadline = trio.current_time() + DEADLINE_SECONDS
    tries: list[Try] = []
    first_id = ""
    while len(tries) < MAX_ALL_TRIES and count_answered(tries) < MAX_TRIES:
        headers = {"X-Request-Id": f"{name}-{len(tries)}"}
        events = Stream(tuple(tries)).events
        if events:
            headers |= {"Last-Event-Id": str(events[-1].number), "Resumes": first_id}
        version = events[0].version if events else ""
        serving = count_serving(version)
        left = deadline - trio.current_time()
        leaves = body == LEAVE and not tries
        target = choose_target(len(tries))
        one = await read_stream(target, body, headers, left, leaves=leaves)
        serving = min(serving, count_serving(version))
        tries.append(one._replace(serving=serving))
        if one.events and not first_id:
            first_id = one.request_id
        left = deadline - trio.current_time()
        if one.is_whole or left < AWAY_SECONDS:
            break
        away = AWAY_SECONDS if one.status else REFUSED_SECONDS
        await trio.sleep(min(one.retry_after or away, left * RETRY_SHARE))
    return Stream(tuple(tries))


async def read_stream(
    target: Target,
    body: bytes,
    headers: dict[str, str],
    left: float,
    *,
    leaves: bool = False,
) -> Try:
    """Make one try; leave after a few events if ``leaves`` is set."""
    at = time.monotonic()
    reader = _Reader()
    address = parse_address(target.address)
    head = {
        "Host": "a.example",
        "Authorization": f"Token {target.key}",
        "X-Deadline-Ms": str(max(1, int(left * 1000))),
        "Content-Length": str(len(body)),
        "Connection": "close",
        **headers,
    }
    lines = "".join(f"{name}: {text}\r\n" for name, text in head.items())
    request = f"POST {target.path} HTTP/1.1\r\n{lines}\r\n".encode() + body
    with trio.move_on_after(max(0.0, left)):
        try:
            stream = await trio.open_tcp_stream(address.host, address.port)
            async with stream:
                await stream.send_all(request)
                while not reader.is_ended:
                    reader.feed(await stream.receive_some(65_536))
                    if leaves and len(reader.events) >= BREAK_AFTER:
                        break
        except (OSError, trio.BrokenResourceError, h11.RemoteProtocolError):
            pass
    return Try(
        at,
        reader.first_event_at,
        time.monotonic(),
        headers["X-Request-Id"],
        target.instance,
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
        self.first_event_at: float | None = None
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
        if complete and self.first_event_at is None:
            self.first_event_at = time.monotonic()
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
