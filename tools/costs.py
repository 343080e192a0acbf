"""Measure the processor time of an instance: its start, idle exchange, one call.

Runs instances as processes on loopback, in groups with hubs, with a store and servers
of the tests in this process. ``--profile`` profiles a member and a hub instead, which
slows them down; ``--imports`` lists the slowest imports of a start.
"""

from __future__ import annotations

import argparse
import json
import os
import pstats
import random
import signal
import statistics
import subprocess
import sys
import tempfile
import time
from collections.abc import Awaitable, Callable
from pathlib import Path
from typing import NamedTuple

import orjson
import trio

from ashpond.clients.channels import ChannelError, ChannelPool, OutgoingRequest
from ashpond.decisions.fleetlinks import Member, plan_links
from ashpond.standins.tables import MemoryStore
from ashpond_platform.rows import OPERATOR_TABLE, SERVERS_TABLE
from tests.row_builders import SERVER
from tests.servers import make_answer, read_request
from tests.soak.servers import Ledger, Server
from tests.test_platform_store import answer_call
from tools.fleet import find_ports

ROOT = Path(__file__).resolve().parent.parent
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
PROFILE_ROWS = 45
IMPORT_ROWS = 40
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


class Result(NamedTuple):
    """A measured cost: its name, value and unit."""

    name: str
    value: float
    unit: str


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


def list_hubs(options: Options) -> set[str]:
    """Return the names of the instances that act as hubs, by the plan of the links."""
    members = {
        name: Member(name, "", DOMAINS[number % len(DOMAINS)])
        for number in range(options.instances)
        for name in [f"i{number}"]
    }
    links = {n: plan_links(members, n, options.mesh_limit) for n in members}
    return {n for n, link in links.items() if link.group and not link.preferred_hubs}


def choose_profiled(options: Options) -> set[str]:
    """Return the names of one hub and one member."""
    hubs = sorted(list_hubs(options))
    others = (f"i{n}" for n in range(options.instances) if f"i{n}" not in hubs)
    return {*hubs[:1], *list(others)[:1]}


def summarize(
    options: Options, idle: dict[str, Usage], busy: dict[str, Usage], calls: int
) -> list[Result]:
    """Return the mean costs of members and hubs, without those that are profiled."""
    hubs = list_hubs(options)
    results = []
    for name, chosen in (("member", idle.keys() - hubs), ("hub", hubs)):
        if not chosen:
            continue
        processor = statistics.mean(idle[n].processor for n in chosen)
        wakeups = statistics.mean(idle[n].wakeups for n in chosen)
        results += [
            Result(
                f"idle {name}: processor per minute",
                processor / options.idle_seconds * 60,
                "s",
            ),
            Result(f"idle {name}: wake-ups", wakeups / options.idle_seconds, "1/s"),
        ]
    idle_share = sum(u.processor for u in idle.values()) / options.idle_seconds
    used = sum(u.processor for u in busy.values()) - idle_share * options.call_seconds
    results.append(Result("one call, beyond idle", used / calls * 1e3, "ms"))
    return results


async def measure(options: Options, folder: Path) -> list[Result]:
    """Run all measurements and return their results."""
    async with trio.open_nursery() as nursery:
        world = World(options, folder, nursery)
        await world.open()
        results = []
        if options.starts:
            starts = [await world.measure_start() for _ in range(options.starts)]
            results += [
                Result("start: processor, median", statistics.median(starts), "s"),
                Result("start: processor, least", min(starts), "s"),
            ]
        try:
            profiled = choose_profiled(options) if options.profiles else set()
            await world.start_fleet(profiled)
            idle = await world.measure_usage(options.idle_seconds, 0.0)
            connections = world.connections
            busy = await world.measure_usage(options.call_seconds, options.rate)
            calls = len(world.outcomes)
            opened = world.connections - connections
        finally:
            with trio.CancelScope(shield=True):
                await world.stop_fleet()
        nursery.cancel_scope.cancel()
    good = sum(status == 200 for status in world.outcomes)
    return [
        *results,
        *summarize(options, idle, busy, calls),
        Result("new connections to servers per call", opened / calls, ""),
        Result("calls", calls, ""),
        Result("calls answered with 200", good, ""),
    ]


def show_profiles(folder: Path, hubs: set[str]) -> None:
    """Print the functions of each profiled instance that take the most time."""
    for path in sorted(folder.glob("*.prof")):
        print(f"\n{path.stem}, a {'hub' if path.stem in hubs else 'member'}")
        pstats.Stats(str(path)).sort_stats("tottime").print_stats(PROFILE_ROWS)


def compile_modules(root: Path) -> None:
    """Write the bytecode of the measured modules, as the build of a deployment does."""
    command = [sys.executable, "-m", "compileall", "-q", "ashpond", "platform"]
    subprocess.run(command, cwd=root, check=True)


def show_imports(root: Path) -> None:
    """Print the imports that take the most time themselves, and all of them."""
    completed = subprocess.run(
        [
            sys.executable,
            "-X",
            "importtime",
            "-c",
            "import ashpond_platform.composition",
        ],
        env=os.environ | {"PYTHONPATH": f"{root}:{root / 'platform'}"},
        capture_output=True,
        text=True,
        check=True,
    )
    lines = completed.stderr.splitlines()[1:]
    by_cumulated = sorted(lines, key=lambda line: -int(line.split("|")[1]))
    print("\n".join(by_cumulated[:IMPORT_ROWS]))


def render_table(results: list[Result], before: dict[str, float]) -> str:
    """Return one line per result, with the earlier values if there are any."""
    lines = []
    for name, value, unit in results:
        earlier = f"{before[name]:10.4g} | " if name in before else ""
        lines.append(f"| {name:36} | {earlier}{value:10.4g} | {unit:3} |")
    return "\n".join(lines)


def main() -> None:
    """Measure, and print one table."""
    parser = argparse.ArgumentParser(description=__doc__)
    parser.add_argument("--root", type=Path, default=ROOT, help="Checkout to measure.")
    parser.add_argument("--instances", type=int, default=24)
    parser.add_argument("--mesh-limit", type=int, default=12)
    parser.add_argument("--engines", type=int, default=30)
    parser.add_argument("--starts", type=int, default=7)
    parser.add_argument("--idle-seconds", type=float, default=20.0)
    parser.add_argument("--call-seconds", type=float, default=20.0)
    parser.add_argument("--rate", type=float, default=3.0, help="Per instance.")
    parser.add_argument("--profile", action="store_true")
    parser.add_argument("--imports", action="store_true")
    parser.add_argument("--save", type=Path, help="Write the results as JSON.")
    parser.add_argument("--before", type=Path, help="Show these saved results too.")
    args = parser.parse_args()
    compile_modules(args.root)
    if args.imports:
        show_imports(args.root)
        return
    started_at = time.monotonic()
    with tempfile.TemporaryDirectory(prefix="ashpond-costs-") as name:
        folder = Path(name)
        options = Options(
            args.root.resolve(),
            args.instances,
            args.mesh_limit,
            args.engines,
            0 if args.profile else args.starts,
            args.idle_seconds,
            args.call_seconds,
            args.rate,
            folder if args.profile else None,
        )
        results = trio.run(measure, options, folder)
        if args.profile:
            show_profiles(folder, list_hubs(options))
            return
    before = json.loads(args.before.read_text()) if args.before else {}
    print(render_table(results, before))
    print(f"({time.monotonic() - started_at:.0f} s)")
    if args.save:
        args.save.write_text(json.dumps({r.name: r.value for r in results}, indent=1))


if __name__ == "__main__":
    main()
