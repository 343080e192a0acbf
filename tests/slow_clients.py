"""Slow clients, and a gateway in a process of its own whose memory is measured."""

from __future__ import annotations

import os
import subprocess
import sys
from collections.abc import AsyncIterator, Awaitable, Callable
from contextlib import asynccontextmanager, suppress
from pathlib import Path
from socket import SO_RCVBUF, SOL_SOCKET

import orjson
import trio

from ashpond.standins.tables import MemoryStore
from ashpond_platform.rows import OPERATOR_TABLE, SERVERS_TABLE
from tests.row_builders import CONFIGURATION, SERVER
from tests.servers import Script, read_request, run_server
from tests.test_gateway_ingress import ROUTES, make_request
from tests.test_platform_process import (
    ROOT,
    run_http_store,
    wait_until_ready,
    write_settings,
)

OBJECTIVE_SECONDS = 0.6
SLOTS = 400


async def connect_slowly(address: str) -> trio.SocketStream:
    """Connect with a small buffer, so that the kernel does not read for the client."""
    host, port = address.split(":")
    sock = trio.socket.socket()
    sock.setsockopt(SOL_SOCKET, SO_RCVBUF, 4096)
    await sock.connect((host, int(port)))
    return trio.SocketStream(sock)


class MeasuredGateway:
    """A running gateway process, its address and its resident size."""

    def __init__(self, address: str, process: trio.Process):
        self.address = address
        self.process = process

    def measure_peak_mb(self) -> float:
        status = Path(f"/proc/{self.process.pid}/status").read_text()
        (line,) = [row for row in status.splitlines() if row.startswith("VmHWM")]
        return int(line.split()[1]) / 1024

    async def connect(self) -> trio.SocketStream:
        host, port = self.address.split(":")
        return await trio.open_tcp_stream(host, int(port))

    async def probe(self, body: bytes) -> bool:
        """Return whether an ordinary request is answered in time."""
        begin = trio.current_time()
        async with await self.connect() as stream:
            await stream.send_all(make_request("/x/small", body))
            answer = await read_request(stream)
        is_in_time = trio.current_time() - begin <= OBJECTIVE_SECONDS
        return is_in_time and answer.startswith(b"HTTP/1.1 200")


@asynccontextmanager
async def run_measured_gateway(
    path: Path, script: Script, memory_mb: int
) -> AsyncIterator[MeasuredGateway]:
    memory = MemoryStore()
    configuration = {**CONFIGURATION, "routes": ROUTES}
    memory.put(OPERATOR_TABLE, "config", orjson.dumps(configuration))
    async with run_server(script) as server, run_http_store(memory) as store:
        entry = {**SERVER, "address": server, "slots": SLOTS}
        memory.put(SERVERS_TABLE, "i-1", orjson.dumps(entry))
        file = path / "node.toml"
        settings = write_settings(file, store)
        if memory_mb:
            file.write_text(f"memory_mb = {memory_mb}\n{file.read_text()}")
        with (path / "log").open("wb") as log:
            process = await trio.lowlevel.open_process(
                [sys.executable, "platform/serve.py"],
                cwd=ROOT,
                env={**os.environ, "ASHPOND_NODE_FILE": str(file)},
                stdout=log,
                stderr=subprocess.STDOUT,
            )
        try:
            await wait_until_ready(settings["readiness_address"])
            yield MeasuredGateway(settings["callers_address"], process)
        finally:
            process.kill()
            await process.wait()


async def probe_while(
    gateway: MeasuredGateway, bodies: tuple[bytes, ...], action: Awaitable[None]
) -> float:
    """Return the share of ordinary requests answered in time during ``action``."""
    outcomes: list[bool] = []

    async def probe(body: bytes) -> None:
        while True:
            outcomes.append(await gateway.probe(body))
            await trio.sleep(0.05)

    async with trio.open_nursery() as nursery:
        for body in bodies:
            nursery.start_soon(probe, body)
        await action
        nursery.cancel_scope.cancel()
    return sum(outcomes) / len(outcomes)


async def run_clients(
    count: int, client: Callable[[], Awaitable[None]], seconds: float
) -> None:
    """Start clients within a second and let them run for ``seconds``."""

    async def run() -> None:
        with suppress(trio.BrokenResourceError, OSError):
            await client()

    async with trio.open_nursery() as nursery:
        for _ in range(count):
            nursery.start_soon(run)
            await trio.sleep(1.0 / count)
        await trio.sleep(seconds)
        nursery.cancel_scope.cancel()
