"""Quart applications served by the listener."""

from __future__ import annotations

import functools
from collections.abc import AsyncIterator
from contextlib import asynccontextmanager

import trio

from ashpond.server import LIMITS, make_app, read_body, run_app
from tests.kept_connections import BODY, Client
from tests.listeners import POST, REQUEST, read_all, take_steps
from tests.ports import find_free_port

CONNECTIONS = 10
ROUNDS = 5
STEPS = 40


class App:
    """An echo application that counts requests received and answered."""

    def __init__(self) -> None:
        self.address = f"127.0.0.1:{find_free_port()}"
        self.stop = trio.Event()
        self.received = 0
        self.answered = 0

    async def answer(self) -> bytes:
        self.received += 1
        body = await read_body()
        for _ in range(STEPS):
            await trio.lowlevel.checkpoint()
        self.answered += 1
        return body or BODY

    async def connect(self) -> trio.SocketStream:
        host, port = self.address.split(":")
        return await trio.open_tcp_stream(host, int(port))


@asynccontextmanager
async def run_echo(max_body_bytes: int = 100) -> AsyncIterator[App]:
    echo = App()
    app = make_app("echo", max_body_bytes)
    app.post("/x")(echo.answer)
    async with trio.open_nursery() as nursery:
        run = functools.partial(run_app, app, echo.address, echo.stop.wait)
        await nursery.start(run)
        yield echo
        nursery.cancel_scope.cancel()


async def test_a_request_that_arrives_as_the_idle_limit_expires_is_answered(mock_clock):
    """The API of an instance has the same race as the ingress.

    A separate timer task closed a connection whose request the reader had just
    accepted. With it, 200 of 400 such requests were started and then cancelled.
    """
    async with run_echo() as echo:
        clients = [Client(echo.address, f"c{n}") for n in range(CONNECTIONS)]
        for _ in range(ROUNDS):
            for client in clients:
                client.send()
                assert (await client.read()).endswith(BODY)
            await take_steps(STEPS)
            for client in clients:
                client.send()
            mock_clock.jump(LIMITS.idle_timeout)
            for client in clients:
                assert (await client.read()).endswith(BODY)
        for client in clients:
            client.close()
    assert echo.answered == echo.received == 2 * ROUNDS * CONNECTIONS


async def test_a_body_over_the_limit_is_refused_while_it_is_being_sent():
    async with run_echo() as echo:
        stream = await echo.connect()
        async with stream:
            size = 1 << 20
            head = POST + f"Content-Length: {size}\r\n\r\n".encode()
            await stream.send_all(head + b"x" * size)
            assert (await read_all(stream)).startswith(b"HTTP/1.1 413")
    assert echo.answered == 0


async def test_a_shutdown_waits_for_the_request_in_flight(mock_clock):
    async with run_echo() as echo:
        stream = await echo.connect()
        async with stream:
            await stream.send_all(REQUEST[:-1])
            await take_steps(STEPS)
            echo.stop.set()
            await take_steps(STEPS)
            await stream.send_all(REQUEST[-1:])
            assert (await read_all(stream)).endswith(b"ab")


async def test_a_body_announced_too_large_is_refused_before_it_is_sent():
    async with run_echo() as echo:
        for _ in range(20):
            stream = await echo.connect()
            async with stream:
                head = b"Expect: 100-continue\r\nContent-Length: 1000000\r\n\r\n"
                await stream.send_all(POST + head)
                assert b" 413" in await read_all(stream)
