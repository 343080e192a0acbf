"""The store, servers and instances whose processor time is measured."""

from __future__ import annotations

__all__ = ["DOMAINS", "Options", "Usage", "World"]

import os
import random
import signal
import subprocess
import sys
from collections.abc import Awaitable, Callable
from pathlib import Path
from typing import NamedTuple

import orjson
import trio

from ashpond.clients.channelpools import ChannelPool
from ashpond.clients.channels import ChannelError, OutgoingRequest
from ashpond.decisions.fleetlinks import Member
from ashpond.standins.tables import MemoryStore
from ashpond_platform.rows import OPERATOR_TABLE, SERVERS_TABLE
from tests.row_builders import SERVER
from tests.servers import make_answer, read_request
from tests.soak.servers import Ledger, Server
from tests.test_platform_store import answer_call
from tools.fleet import find_ports

HOST = "127.0.0.1"
DOMAINS = ("ub-north", "ub-south", "ub-east")
PLAIN_SERVERS = 4
STORE_PAGE_ROWS = 500
START_TIMEOUT_SECONDS = 90.0
POLL_SECONDS = 0.05
# Between two starts of a fleet, which all take processor time.
START_INTERVAL_SECONDS = 0.2
# After the last start, until reconnections and changes of hubs have ended.
SETTLE_SECONDS = 8.0
EXIT_SECONDS = 20.0
PLAIN_SHARE = 0.2
SHARED_PROMPTS = 40
NANOSECONDS = 1e9

ServeStream = Callable[[trio.SocketStream], Awaitable[None]]

_ROUTE = {
    "host": "a.example",
    "timeout_ms": 5000,
    "target_latency_ms": 600,
    "max_attempts": 3,
    "priority": 1,
    "backends": None,
    "anonymous": False,
}
CONFIGURATION = {
    "version": 1,
    "routes": [
        _ROUTE
        | {"name": "s", "prefix": "/s/", "kind": "stream", "service": "engines"}
        | {"resumable": True},
        _ROUTE
        | {"name": "i", "prefix": "/i/", "kind": "idempotent", "service": "plain"}
        | {"resumable": False},
    ],
    "services": [
        {
            "name": "engines",
            "engine": {
                "slots": 64,
                "kv_capacity_tokens": 105_764,
                "models": [{"name": "m1"}],
            },
        },
        {"name": "plain"},
    ],
    "tenants": [{"name": "t", "api_keys": ["k1"], "priority": 1}],
    "limits": {},
}


class Options(NamedTuple):
    """Size and length of a measurement; ``rate`` is requests per second and instance.

    ``root`` is the checkout whose instances are measured.
    """

    root: Path
    instances: int
    mesh_limit: int
    engines: int
    starts: int
    idle_seconds: float
    call_seconds: float
    rate: float
    profiles: Path | None = None


class Usage(NamedTuple):
    """Processor seconds and voluntary context switches of a process."""

    processor: float
    wakeups: int

    def subtract(self, other: Usage) -> Usage:
        """Return the difference to an earlier value."""
        return Usage(self.processor - other.processor, self.wakeups - other.wakeups)


class Instance(NamedTuple):
    """A started instance; ``member`` is its entry in the members table."""

    member: Member
    callers: str
    readiness: str
    process: subprocess.Popen[bytes]


def read_usage(pid: int) -> Usage:
    """Return the usage of all threads of a process, as the kernel counts it."""
    processor, wakeups = 0.0, 0
    for task in Path(f"/proc/{pid}/task").iterdir():
        processor += int((task / "schedstat").read_text().split()[0]) / NANOSECONDS
        for line in (task / "status").read_text().splitlines():
            if line.startswith("voluntary_ctxt_switches:"):
                wakeups += int(line.split()[1])
    return Usage(processor, wakeups)


class World:
    """The store, the servers and the instances of one measurement."""

    def __init__(self, options: Options, folder: Path, nursery: trio.Nursery):
        self.options = options
        self.instances: list[Instance] = []
        self.connections = 0
        self.outcomes: list[int] = []
        self._folder = folder
        self._nursery = nursery
        self._memory = MemoryStore()
        self._pool = ChannelPool()
        self._rng = random.Random(1)
        self._requests = 0
        self._store = ""

    async def open(self) -> None:
        """Start the store and the servers."""
        self._store = await self._listen(self._serve_store)
        self._memory.put(OPERATOR_TABLE, "config", orjson.dumps(CONFIGURATION))
        ledger = Ledger()
        for number in range(self.options.engines + PLAIN_SERVERS):
            is_engine = number < self.options.engines
            server = Server(f"server-{number}", ledger)
            entry = {
                **SERVER,
                "address": await self._listen(self._count_connections(server)),
                "service": "engines" if is_engine else "plain",
                "models": SERVER["models"] if is_engine else [],
                "zone": DOMAINS[number % len(DOMAINS)],
            }
            self._memory.put(SERVERS_TABLE, server.server_id, orjson.dumps(entry))

    async def _listen(self, serve: ServeStream) -> str:
        listeners = await trio.open_tcp_listeners(0, host=HOST)
        self._nursery.start_soon(trio.serve_listeners, serve, listeners)
        return f"{HOST}:{listeners[0].socket.getsockname()[1]}"

    async def _serve_store(self, stream: trio.SocketStream) -> None:
        try:
            while request := await read_request(stream):
                status, body = await answer_call(self._memory, request, STORE_PAGE_ROWS)
                data = orjson.dumps(body)
                await stream.send_all(make_answer(data, status=status))
        except (trio.BrokenResourceError, OSError):
            return

    def _count_connections(self, server: Server) -> ServeStream:
        async def serve(stream: trio.SocketStream) -> None:
            self.connections += 1
            await server.serve(stream)

        return serve

    def start_instance(self, number: int, *, is_profiled: bool = False) -> Instance:
        """Start an instance under ``cProfile`` or as deployments do."""
        ports = [f"{HOST}:{port}" for port in find_ports(4)]
        member = Member(f"i{number}", ports[2], DOMAINS[number % len(DOMAINS)])
        path = self._folder / f"{member.name}.toml"
        path.write_text(
            f'name = "{member.name}"\nfailure_domain = "{member.failure_domain}"\n'
            f'callers_address = "{ports[0]}"\nreadiness_address = "{ports[1]}"\n'
            f'peers_address = "{ports[2]}"\nmetrics_address = "{ports[3]}"\n'
            f'store_address = "{self._store}"\n'
            f"mesh_limit = {self.options.mesh_limit}\n"
            "first_start = true\n"
        )
        command = [sys.executable]
        if is_profiled and self.options.profiles is not None:
            target = self.options.profiles / f"{member.name}.prof"
            command += ["-m", "cProfile", "-o", str(target)]
        environment = os.environ | {
            "ASHPOND_NODE_FILE": str(path),
            "PYTHONPATH": str(self.options.root),
        }
        with (self._folder / f"{member.name}.log").open("ab") as log:
            process = subprocess.Popen(
                [*command, "platform/serve.py"],
                cwd=self.options.root,
                env=environment,
                stdout=log,
                stderr=log,
            )
        return Instance(member, ports[0], ports[1], process)

    async def wait_until_ready(self, instance: Instance) -> None:
        """Wait until an instance accepts requests.

        :raises RuntimeError: if it ends before, or does not within the timeout.
        """
        deadline = trio.current_time() + START_TIMEOUT_SECONDS
        while trio.current_time() < deadline and instance.process.poll() is None:
            if await self._request(instance.readiness, b"/", []) == 200:
                return
            await trio.sleep(POLL_SECONDS)
        log = (self._folder / f"{instance.member.name}.log").read_text()
        raise RuntimeError(f"{instance.member.name} is not ready: {log[-800:]}")

    async def _request(
        self, address: str, target: bytes, headers: list[tuple[bytes, bytes]]
    ) -> int:
        """Send a request, and return the status of its answer, 0 if there is none."""
        channel = None
        try:
            with trio.fail_after(10):
                channel = await self._pool.acquire(address, address)
                request = OutgoingRequest(
                    "GET", target, [(b"Host", b"a.example"), *headers]
                )
                response = await channel.exchange(request)
                await response.read_all(1 << 20)
        except (ChannelError, trio.TooSlowError):
            if channel is not None:
                channel.close()
            return 0
        self._pool.release(address, channel)
        return response.status

    async def stop_instance(self, instance: Instance) -> None:
        """Let an instance leave; kill it if that takes too long."""
        instance.process.send_signal(signal.SIGTERM)
        deadline = trio.current_time() + EXIT_SECONDS
        while instance.process.poll() is None:
            if trio.current_time() > deadline:
                instance.process.kill()
            await trio.sleep(POLL_SECONDS)

    async def measure_start(self) -> float:
        """Return the processor seconds of one instance until it is ready."""
        instance = self.start_instance(0)
        try:
            await self.wait_until_ready(instance)
            return read_usage(instance.process.pid).processor
        finally:
            with trio.CancelScope(shield=True):
                await self.stop_instance(instance)

    async def start_fleet(self, profiled: set[str]) -> None:
        """Start all instances and wait until they exchange updates."""
        for number in range(self.options.instances):
            is_profiled = f"i{number}" in profiled
            started = self.start_instance(number, is_profiled=is_profiled)
            self.instances.append(started)
            await trio.sleep(START_INTERVAL_SECONDS)
        for instance in self.instances:
            await self.wait_until_ready(instance)
        await trio.sleep(SETTLE_SECONDS)

    async def stop_fleet(self) -> None:
        """Stop all instances."""
        async with trio.open_nursery() as nursery:
            for instance in self.instances:
                nursery.start_soon(self.stop_instance, instance)

    async def measure_usage(self, seconds: float, rate: float) -> dict[str, Usage]:
        """Return the usage of each instance within some seconds, by its name.

        :param rate: the requests per second to each instance.
        """
        pids = {i.member.name: i.process.pid for i in self.instances}
        before = {name: read_usage(pid) for name, pid in pids.items()}
        with trio.move_on_after(seconds):
            async with trio.open_nursery() as nursery:
                for instance in self.instances if rate else ():
                    nursery.start_soon(self._send_requests, instance, rate)
                await trio.sleep_forever()
        return {name: read_usage(pids[name]).subtract(before[name]) for name in before}

    async def _send_requests(self, instance: Instance, rate: float) -> None:
        async with trio.open_nursery() as nursery:
            while True:
                await trio.sleep(self._rng.expovariate(rate))
                nursery.start_soon(self._send_call, instance)

    async def _send_call(self, instance: Instance) -> None:
        self._requests += 1
        headers = [
            (b"X-Request-Id", b"r%d" % self._requests),
            (b"X-Deadline-Ms", b"5000"),
            (b"Authorization", b"Token k1"),
        ]
        target = b"/i/1"
        if self._rng.random() > PLAIN_SHARE:
            target = b"/s/1"
            prefix = b"p%d:198,q%d:628" % (
                self._rng.randrange(SHARED_PROMPTS),
                self._requests,
            )
            headers += [
                (b"X-Model", b"m1"),
                (b"X-Token-Counts", b"826,290"),
                (b"X-Prompt-Prefix", prefix),
            ]
        self.outcomes.append(await self._request(instance.callers, target, headers))
