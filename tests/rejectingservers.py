"""Instance processes with servers that reject requests, and answer oddly besides."""

from __future__ import annotations

import random
import time
from collections import Counter
from enum import StrEnum
from pathlib import Path
from typing import NamedTuple

import httpx
import trio

from tests.crashingservers import WORK_SECONDS, World, make_configuration
from tests.servers import make_answer
from tests.soak.servers import parse_headers

# The share of requests that a server answers oddly.
ODD_SHARE = 0.2
REJECTED = "X-Not-Executed: 1\r\n"
PROMISES = (408, 421, 429, 503)


class Oddity(StrEnum):
    """What a server does to a part of the requests.

    ``COPY`` rejects a request and sends the rejection again where the next answer is
    due on that connection, ``COPY_WITHOUT_ID`` without the id of the request.
    ``STRAY`` sends another request's success without an id there. The numbers are
    statuses of requests that ran, without the header that says that they did not.
    """

    NONE = "none"
    COPY = "copy"
    COPY_WITHOUT_ID = "copy_without_id"
    STRAY = "stray"
    RAN_408 = "408"
    RAN_421 = "421"
    RAN_429 = "429"
    RAN_503 = "503"


class Result(NamedTuple):
    """What a client got; status 0 for no complete answer."""

    request_id: str
    status: int
    body: bytes


class Count(NamedTuple):
    """Requests by what became of them.

    ``twice`` ran more than once, ``refused`` ran though their answers promised that
    they did not, ``foreign`` got the answer to another request.
    """

    served: int
    twice: int
    refused: int
    foreign: int


class RejectingWorld(World):
    """Clients that do not retry, with requests that must not run twice."""

    def __init__(
        self,
        folder: Path,
        servers: int,
        oddity: Oddity,
        *,
        kind: str = "non_idempotent",
        body: bytes = b"x" * 300,
        seed: int = 1,
    ):
        super().__init__(folder, 1, servers, lambda body: False)
        self._oddity = oddity
        self._kind = kind
        self._body = body
        self._rng = random.Random(seed)
        self._is_playing = False
        self._due: dict[trio.SocketStream, bytes] = {}
        self.runs: Counter[str] = Counter()
        self.rejected: set[str] = set()
        self.outcomes: list[Result] = []

    def make_configuration(self) -> dict[str, object]:
        """Return a configuration whose route has the kind of this world."""
        configuration = make_configuration()
        for route in configuration["routes"]:  # type: ignore[attr-defined]
            route["kind"] = self._kind
        return configuration

    async def send_requests(self, per_second: float, seconds: float) -> Count:
        """Send requests to the first instance; return what became of them."""
        self._is_playing = True
        begun = time.monotonic()
        async with trio.open_nursery() as nursery:
            for number in range(round(per_second * seconds)):
                await trio.sleep(
                    max(0.0, begun + number / per_second - time.monotonic())
                )
                nursery.start_soon(self._send, f"q{number}")
        return self._count()

    async def _send(self, request_id: str) -> None:
        headers = {
            "Host": "a.example",
            "Authorization": "Token k1",
            "X-Request-Id": request_id,
            "X-Deadline-Ms": str(self.deadline_ms),
            "Connection": "close",
        }
        status, body = 0, b""
        try:
            answer = await self._client.post(
                f"http://{self.instances[0].address}/x/1",
                content=self._body,
                headers=headers,
                timeout=self.deadline_ms / 1000 + 2.0,
            )
            status, body = answer.status_code, answer.content
        except httpx.HTTPError:
            status = 0
        self.outcomes.append(Result(request_id, status, body))

    def _count(self) -> Count:
        served = [o for o in self.outcomes if o.status == 200]
        return Count(
            len(served),
            sum(count > 1 for count in self.runs.values()),
            sum(
                o.status in PROMISES and o.request_id in self.runs
                for o in self.outcomes
            ),
            sum(o.body != o.request_id.encode() for o in served),
        )

    async def _answer(
        self,
        server_id: str,
        stream: trio.SocketStream,
        request: bytes,
        server_nursery: trio.Nursery,
    ) -> None:
        headers = parse_headers(request)[2]
        request_id = headers["x-request-id"]
        is_odd = self._is_playing and self._rng.random() < ODD_SHARE
        due = self._due.pop(stream, None)
        if due is not None:
            await stream.send_all(due)
        elif is_odd and self._oddity in (Oddity.COPY, Oddity.COPY_WITHOUT_ID):
            await self._reject(stream, request_id)
            return
        self.runs[request_id] += 1
        await trio.sleep(WORK_SECONDS)
        status, extra = 200, "X-Engine-Seal: s\r\n"
        if is_odd and self._oddity.isdigit():
            status, extra = int(self._oddity), f"X-Instance-Id: {server_id}\r\n"
        answer = make_answer(request_id.encode(), request_id, status, extra)
        if is_odd and self._oddity is Oddity.STRAY:
            self._due[stream] = drop_id(answer)
        await stream.send_all(answer)

    async def _reject(self, stream: trio.SocketStream, request_id: str) -> None:
        self.rejected.add(request_id)
        answer = make_answer(b"full", request_id, 503, REJECTED)
        has_id = self._oddity is Oddity.COPY
        self._due[stream] = answer if has_id else drop_id(answer)
        await stream.send_all(answer)


def drop_id(answer: bytes) -> bytes:
    """Return an answer without the id of its request."""
    head, _, body = answer.partition(b"\r\n\r\n")
    lines = [x for x in head.split(b"\r\n") if not x.startswith(b"X-Request-Id:")]
    return b"\r\n".join(lines) + b"\r\n\r\n" + body
