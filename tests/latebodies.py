"""Requests whose last byte reaches an instance process that is stopping."""

from __future__ import annotations

import signal
import time
from collections import Counter
from pathlib import Path
from typing import NamedTuple

import h11
import trio

from tests.crashingservers import World, make_configuration
from tests.servers import make_answer
from tests.soak.servers import parse_headers

BODY = b"x" * 300
# Requests before SIGTERM, from which the instance learns how long they take.
EARLIER = 20
DEADLINE_MS = 14_000


class LateRequest(NamedTuple):
    """What became of a request; status 0 for a connection closed without an answer.

    ``at`` is when its last byte was sent, and ``ended_at`` when it ended, after SIGTERM
    (seconds).
    """

    request_id: str
    at: float
    status: int
    retry_after: str | None
    ended_at: float


class LateBodyWorld(World):
    """One instance that is stopped, and a server that works for a while.

    :param work: how long the server works on a request (seconds).
    """

    def __init__(self, folder: Path, work: float, grace: float):
        super().__init__(folder, 1, 1, lambda body: False)
        self.bounds = {"grace_s": grace}
        self.deadline_ms = DEADLINE_MS
        self._work = work
        self._grace = grace
        self.runs: Counter[str] = Counter()
        self.late: list[LateRequest] = []

    def make_configuration(self) -> dict[str, object]:
        """Return a configuration whose requests must not run twice."""
        configuration = make_configuration()
        for route in configuration["routes"]:  # type: ignore[attr-defined]
            route["kind"] = "non_idempotent"
            route["timeout_ms"] = DEADLINE_MS
        return configuration

    def list_lost(self) -> list[LateRequest]:
        """Return the requests that a server ran and that got no answer."""
        return [x for x in self.late if x.request_id in self.runs and not x.status]

    async def play(self, requests: int) -> None:
        """Stop the instance; the last bytes come until the end of its grace period."""
        async with trio.open_nursery() as nursery:
            for _ in range(EARLIER):
                nursery.start_soon(self.ask, 0, b"earlier")
        async with trio.open_nursery() as nursery:
            stop = trio.Event()
            for number in range(requests):
                after = (self._grace - 0.1) * number / requests
                nursery.start_soon(self._send_late, f"l{number}", after, stop)
            await trio.sleep(0.5)
            self._stopped_at = time.monotonic()
            self.instances[0].send(signal.SIGTERM)
            stop.set()

    async def _send_late(self, request_id: str, after: float, stop: trio.Event) -> None:
        conn = h11.Connection(h11.CLIENT)
        head = h11.Request(
            method="POST",
            target="/x/1",
            headers=[
                ("Host", "a.example"),
                ("Authorization", "Token k1"),
                ("X-Request-Id", request_id),
                ("X-Deadline-Ms", str(DEADLINE_MS)),
                ("Content-Length", str(len(BODY))),
            ],
        )
        host, port = self.instances[0].address.split(":")
        stream = await trio.open_tcp_stream(host, int(port))
        status, retry_after = 0, None
        async with stream:
            await stream.send_all((conn.send(head) or b"") + BODY[:-1])
            conn.send(h11.Data(data=BODY))
            conn.send(h11.EndOfMessage())
            await stop.wait()
            await trio.sleep(max(0.0, self._stopped_at + after - time.monotonic()))
            try:
                await stream.send_all(BODY[-1:])
                status, retry_after = await read_answer(conn, stream)
            except (OSError, trio.BrokenResourceError, h11.RemoteProtocolError):
                status = 0
        ended_at = time.monotonic() - self._stopped_at
        self.late.append(LateRequest(request_id, after, status, retry_after, ended_at))

    async def _answer(
        self,
        server_id: str,
        stream: trio.SocketStream,
        request: bytes,
        server_nursery: trio.Nursery,
    ) -> None:
        headers = parse_headers(request)[2]
        request_id = headers["x-request-id"]
        self.runs[request_id] += 1
        await trio.sleep(self._work)
        await stream.send_all(make_answer(b"done", request_id))


async def read_answer(
    conn: h11.Connection, stream: trio.SocketStream
) -> tuple[int, str | None]:
    """Return the status and Retry-After of a whole answer, status 0 for none."""
    status, retry_after = 0, None
    while True:
        event = conn.next_event()
        if event is h11.NEED_DATA:
            conn.receive_data(await stream.receive_some(65_536))
        elif isinstance(event, h11.Response):
            status = event.status_code
            retry_after = dict(event.headers).get(b"retry-after")
        elif isinstance(event, h11.EndOfMessage):
            return status, retry_after.decode() if retry_after else None
        elif isinstance(event, h11.ConnectionClosed):
            return 0, None
