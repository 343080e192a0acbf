"""An ingress on loopback with clients that keep their connections open."""

from __future__ import annotations

import functools
import socket
from collections.abc import AsyncIterator
from contextlib import asynccontextmanager

import trio

from ashpond.decisions.declared import IngressLimits
from ashpond.gateway import replies
from ashpond.gateway.calls import IncomingCall, Reply
from ashpond.gateway.ingress import Ingress, IngressAddresses
from ashpond_platform.headers import CODEC
from tests.ports import find_free_port

# Steps of the event loop until the handler answers: more than the close of a
# connection takes to reach the handler.
SERVER_STEPS = 20
BODY = b"ok"
# Longer than any test lasts.
GRACE_SECONDS = 1000.0


class Client:
    """A connection that is kept open; sending does not yield to the event loop."""

    def __init__(self, address: str, name: str):
        host, port = address.split(":")
        self.name = name
        self.count = 0
        self._sock = socket.create_connection((host, int(port)))
        self._sock.setblocking(False)

    @property
    def last_id(self) -> str:
        """The id of the last request."""
        return f"{self.name}-{self.count}"

    def make_request(self) -> bytes:
        """Return the bytes of a new request."""
        self.count += 1
        head = f"POST /x HTTP/1.1\r\nHost: a\r\nX-Request-Id: {self.last_id}\r\n"
        return f"{head}Content-Length: 0\r\n\r\n".encode()

    def send(self) -> str:
        """Send a new request; return its id."""
        self.send_bytes(self.make_request())
        return self.last_id

    def send_bytes(self, data: bytes) -> None:
        try:
            self._sock.send(data)
        except OSError:
            # The connection has been closed; the next read shows it.
            return

    def read_now(self) -> bytes:
        """Return the bytes that have arrived, without waiting."""
        data = b""
        try:
            while piece := self._sock.recv(65_536):
                data += piece
        except (BlockingIOError, ConnectionResetError):
            return data
        return data

    async def read(self) -> bytes:
        """Return one answer, or as much as arrived before the connection closed."""
        data = b""
        while not data.endswith(BODY):
            await trio.lowlevel.wait_readable(self._sock)
            try:
                piece = self._sock.recv(65_536)
            except ConnectionResetError:
                return data
            if not piece:
                return data
            data += piece
        return data

    def is_open(self) -> bool:
        """Return whether the other side has not closed the connection."""
        try:
            return bool(self._sock.recv(1))
        except BlockingIOError:
            return True
        except ConnectionResetError:
            return False

    def close(self) -> None:
        self._sock.close()


class IngressHarness:
    """An ingress, its clients, and the ids of the requests that it has forwarded."""

    def __init__(self) -> None:
        self.limits = IngressLimits(idle_timeout=15.0)
        self.forwarded: set[str] = set()
        self.stop = trio.Event()
        self.clients: list[Client] = []
        ports = IngressAddresses(*[f"127.0.0.1:{find_free_port()}" for _ in range(3)])
        self.address = ports.callers
        self.ingress = Ingress(
            ports,
            CODEC,
            self._handle,
            lambda: self.limits,
            lambda: True,
            lambda: b"",
            lambda: b"",
        )

    async def _handle(self, call: IncomingCall, reply: Reply) -> None:
        self.forwarded.add(call.envelope.request_id)
        for _ in range(SERVER_STEPS):
            await trio.lowlevel.checkpoint()
        await replies.send_complete(reply, 200, b"text/plain", BODY)

    def set_idle_limit(self, seconds: float) -> None:
        self.limits = IngressLimits(idle_timeout=seconds)
        self.ingress.apply_limits()

    async def open(self, count: int) -> list[Client]:
        """Return clients whose connections are idle after a first answer."""
        opened = [Client(self.address, f"c{n}") for n in range(count)]
        self.clients += opened
        for client in opened:
            client.send()
            assert (await client.read()).endswith(BODY)
        await take_steps(SERVER_STEPS)
        self.forwarded.clear()
        return opened

    async def find_lost(self, sent: dict[Client, str]) -> set[str]:
        """Return the requests that were forwarded but not answered.

        :param sent: the last request of each client.
        """
        lost = set()
        for client, request_id in sent.items():
            answer = await client.read()
            if request_id in self.forwarded and not answer.endswith(BODY):
                lost.add(request_id)
        return lost


async def take_steps(count: int) -> None:
    """Yield ``count`` times to the event loop."""
    for _ in range(count):
        await trio.lowlevel.checkpoint()


@asynccontextmanager
async def run_ingress() -> AsyncIterator[IngressHarness]:
    harness = IngressHarness()
    async with trio.open_nursery() as nursery:
        run = functools.partial(harness.ingress.run, harness.stop.wait, GRACE_SECONDS)
        await nursery.start(run)
        yield harness
        for client in harness.clients:
            client.close()
        nursery.cancel_scope.cancel()
