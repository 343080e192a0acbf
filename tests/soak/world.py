"""Environment of one soak: store, servers, instances, faults and checks."""

from __future__ import annotations

import random
import signal
from collections.abc import Awaitable, Callable
from functools import partial
from pathlib import Path
from typing import Any, NamedTuple

import orjson
import trio

from ashpond.decisions.declared import IngressLimits
from ashpond.decisions.fleetlinks import MAX_MESH_MEMBERS
from ashpond.standins.tables import MemoryStore
from ashpond_platform.rows import OPERATOR_TABLE, SERVERS_TABLE
from tests.directives import NO_DIRECTIVE
from tests.row_builders import ROUTE, SERVER
from tests.servers import make_answer, read_request
from tests.soak.checks import LEAST_SERVED, check
from tests.soak.clients import ConnectionUse, Outcome, choose_kind, send_request
from tests.soak.departures import Departure, DeparturePlayer
from tests.soak.directives import DirectivePlayer
from tests.soak.faults import (
    IDLE_LIMITS_MS,
    Faults,
    PartitionPlayer,
    Series,
    StoreRestores,
)
from tests.soak.herds import LONG_EVENT_SECONDS, HerdPlayer
from tests.soak.instances import Instance
from tests.soak.keepalive import KeepAliveClient
from tests.soak.membership import await_members
from tests.soak.partitions import Cut, Partitions
from tests.soak.parts import MODEL, PartPlayer, crash_server
from tests.soak.proxy import Harm, Proxy
from tests.soak.servers import AnswerEnding, Ledger, Server
from tests.soak.versions import ResumingClient, StreamUse, VersionPlayer
from tests.test_platform_store import answer_call

# Restarted instances need a second or two, and longer on a busy machine.
RECOVERY_SECONDS = 30.0
# How much longer a run lasts at most if it has not seen enough (seconds).
LONGEST_SECONDS = 40.0
REQUEST_SECONDS = 0.04
SINGLE_FAULTS = 2
# Enough for the many removals by series, so that some keys remain valid.
SERIES_KEYS = 16


class Play(NamedTuple):
    """Options of a run; without keepers and series only single faults are played.

    ``keepers`` is the number of clients that reuse connections, ``series`` and
    ``statements`` are the numbers of concurrent players of fault series and of server
    directives, and ``returns`` restores the store from older copies. ``partitions``
    players cut instances off from all servers; ``unframed`` is the share of answers
    that have neither length nor chunks, a half of which break off. ``versions`` clients
    take up streams while servers of several software versions come and go. ``parts``
    players send requests with a prompt part that crashes servers. ``departures``
    players let servers leave while their earlier writes are performed late; ``endless``
    is the share of requests that get bytes without end. ``herds`` players kill all
    instances at once, around releases and outages; streams then last for longer. From
    ``coordinated_from`` instances on, coordinators choose the servers; 0 is never.
    ``rejections`` is the share of requests that servers reject, and that of requests
    which run and get a status that promises that they have not.
    """

    instances: int | None = None
    servers: int = 3
    keepers: int = 0
    series: int = 0
    returns: bool = False
    statements: int = 0
    partitions: int = 0
    unframed: float = 0.0
    versions: int = 0
    parts: int = 0
    departures: int = 0
    endless: float = 0.0
    herds: int = 0
    coordinated_from: int = 0
    rejections: float = 0.0


class World:
    """State of one run with one seed."""

    def __init__(self, seed: int, folder: Path, play: Play | None = None):
        self.seed = seed
        self.play = play or Play()
        self.rng = random.Random(seed)
        self.folder = folder
        self.memory = MemoryStore()
        self.ledger = Ledger()
        self.outcomes: list[Outcome] = []
        self.stream_uses: list[StreamUse] = []
        self.store_outages: list[tuple[float, float]] = []
        self.removed_keys: dict[str, float] = {}
        self.departures: list[Departure] = []
        self.partitions = Partitions(self._list_pids)
        self._endings_rng = random.Random(f"endings {seed}")
        self.store_proxies: list[Proxy] = []
        self.server_proxies: dict[str, Proxy] = {}
        self._entries: dict[str, bytes] = {}
        self.crashed: set[str] = set()
        self.instances: list[Instance] = []
        self.servers: dict[str, Server] = {}
        self._nursery: trio.Nursery | None = None
        # Every other seed runs instances in groups, whose readers query the store.
        self._mesh_limit = MAX_MESH_MEMBERS if seed % 2 else 1
        self._instance_count = self.play.instances or (3 if seed % 2 else 5)
        self._version = 1
        self._requests = 0
        self.faults_started_at = 0.0
        self.keys = ["k1", "k2", "k3", "k4"]
        # A separate generator, so that the single faults of a seed stay the same.
        self._series_rng = random.Random(f"series {seed}")
        self._limits: dict[str, Any] = {}
        self._timeout_ms: Any = ROUTE["timeout_ms"]
        if self.play.series:
            count = range(1, SERIES_KEYS + 1)
            self.keys = [f"k{number}" for number in count]
            first = self._series_rng.randint(*IDLE_LIMITS_MS)
            self._limits = {"idle_timeout_ms": first}

    @property
    def idle_limit(self) -> float:
        """The idle timeout last configured, in seconds."""
        default = IngressLimits().idle_timeout
        return self._limits.get("idle_timeout_ms", default * 1000) / 1000

    async def run(
        self, seconds: float, has_seen_enough: Callable[[], bool] = lambda: True
    ) -> list[str]:
        """Play faults for some seconds, await recovery, and return the violations.

        :param has_seen_enough: until it returns true, or for ``LONGEST_SECONDS``, the
            faults go on.
        """
        async with trio.open_nursery() as nursery:
            await self._open(nursery)
            try:
                await self._wait_until_served()
                await self._play_for(seconds, has_seen_enough)
                await self._heal()
                settled = await self._await_service()
                broken = await await_members(self)
            finally:
                with trio.CancelScope(shield=True):
                    for instance in self.instances:
                        await instance.stop(signal.SIGKILL)
                        instance.log.close()
            nursery.cancel_scope.cancel()
        return broken + check(self, settled)

    async def _play_for(
        self, seconds: float, has_seen_enough: Callable[[], bool]
    ) -> None:
        async with trio.open_nursery() as nursery:
            nursery.start_soon(self._play)
            await trio.sleep(seconds)
            with trio.move_on_after(LONGEST_SECONDS):
                while not has_seen_enough():
                    await trio.sleep(0.1)
            nursery.cancel_scope.cancel()

    def has_served(self, *, on_used_connection: bool = False) -> bool:
        """Return whether a client has got a whole answer."""
        return any(
            outcome.status == 200
            and outcome.is_whole
            and (outcome.connection.uses or not on_used_connection)
            for outcome in self.outcomes
        )

    def count_resumed(self) -> int:
        """Return how many streams have been taken up by their clients."""
        return sum(bool(use.stream.list_resumptions()) for use in self.stream_uses)

    async def _play(self) -> None:
        self.faults_started_at = trio.current_time()
        async with trio.open_nursery() as nursery:
            nursery.start_soon(self._send_requests)
            for _ in range(SINGLE_FAULTS):
                nursery.start_soon(Faults(self).run)
            for _ in range(self.play.series):
                nursery.start_soon(Series(self, self._fork_rng()).run)
            if self.play.returns:
                nursery.start_soon(StoreRestores(self, self._fork_rng()).run)
            for _ in range(self.play.partitions):
                nursery.start_soon(PartitionPlayer(self, self._fork_rng()).run)
            for _ in range(self.play.statements):
                nursery.start_soon(DirectivePlayer(self, self._fork_rng()).run)
            # With herds, these change the versions: a service has only one at times.
            if self.play.versions and not self.play.herds:
                nursery.start_soon(VersionPlayer(self, self._fork_rng()).run)
            for _ in range(self.play.parts):
                nursery.start_soon(PartPlayer(self, self._fork_rng()).run)
            for _ in range(self.play.departures):
                nursery.start_soon(DeparturePlayer(self, self._fork_rng()).run)
            for _ in range(self.play.herds):
                nursery.start_soon(HerdPlayer(self, self._fork_rng()).run)
            for number in range(self.play.versions):
                client = ResumingClient(self, self._fork_rng(), number)
                nursery.start_soon(client.run)
            for _ in range(self.play.keepers):
                nursery.start_soon(KeepAliveClient(self, self._fork_rng()).run)

    def _fork_rng(self) -> random.Random:
        return random.Random(self._series_rng.random())

    async def _open(self, nursery: trio.Nursery) -> None:
        self._nursery = nursery
        store = await self._listen(nursery, self._serve_store)
        self._write_configuration()
        for _ in range(self.play.servers):
            await self.add_server()
        for number in range(self._instance_count):
            proxy = Proxy(store)
            await nursery.start(proxy.run)
            self.store_proxies.append(proxy)
            host = f"127.{self.seed % 250 + 1}.0.{number + 1}"
            instance = Instance(
                f"i{number}",
                self.folder,
                proxy.address,
                host,
                self._mesh_limit,
                self.play.coordinated_from,
            )
            instance.start()
            self.instances.append(instance)

    async def _listen(
        self,
        nursery: trio.Nursery,
        serve: Callable[[trio.SocketStream], Awaitable[object]],
    ) -> str:
        listeners = await trio.open_tcp_listeners(0, host="127.0.0.1")
        nursery.start_soon(partial(trio.serve_listeners, serve, listeners))
        return f"127.0.0.1:{listeners[0].socket.getsockname()[1]}"

    async def _serve_store(self, stream: trio.SocketStream) -> None:
        try:
            while request := await read_request(stream):
                era = self.memory.era
                head = f"Store-Era: {era}\r\n"
                if self.memory.is_down:
                    await stream.send_all(make_answer(b"", status=503, extra=head))
                    continue
                status, body = await answer_call(self.memory, request)
                if self.memory.era != era:
                    # The store's connections end when it is restored.
                    return
                data = orjson.dumps(body)
                await stream.send_all(make_answer(data, status=status, extra=head))
        except (trio.BrokenResourceError, OSError):
            return

    def _list_pids(self) -> dict[str, int]:
        return {
            instance.name: instance.process.pid
            for instance in self.instances
            if instance.process is not None
        }

    def _choose_ending(self) -> AnswerEnding:
        if self.play.endless and self._endings_rng.random() < self.play.endless:
            return AnswerEnding.ENDLESS
        if self._endings_rng.random() >= self.play.unframed:
            return AnswerEnding.FRAMED
        endings = [AnswerEnding.UNFRAMED, AnswerEnding.TORN, AnswerEnding.RESET]
        return self._endings_rng.choices(endings, [2, 1, 1])[0]

    def list_entries(self) -> list[str]:
        """Return the ids of the servers that have an entry."""
        return sorted(self._entries)

    def count_serving(self, version: str) -> int:
        """Return how many servers of a software version have an entry and no harm."""
        return sum(
            self.servers[name].version == version
            and self.server_proxies[name].harm is Harm.NONE
            for name in self._entries
        )

    async def add_server(self, version: str = "v1") -> str:
        """Add a server behind a proxy, write its entry, and return its id."""
        nursery = self._nursery
        assert nursery is not None
        server_id = f"s{len(self.servers)}"
        server = Server(
            server_id,
            self.ledger,
            self._choose_ending,
            version,
            lambda: nursery.start_soon(
                crash_server, self, server_id, self._endings_rng
            ),
        )
        if self.play.herds:
            server.event_seconds = LONG_EVENT_SECONDS
        server.rejections.share = self.play.rejections
        self.servers[server_id] = server
        address = await self._listen(nursery, server.serve)
        proxy = Proxy(address, self.partitions)
        await nursery.start(proxy.run)
        self.server_proxies[server_id] = proxy
        entry = {**SERVER, "address": proxy.address, "service": "s1"}
        if not self.play.parts:
            entry["models"] = []
        entry["version"] = version
        self._entries[server_id] = orjson.dumps(entry)
        self.memory.put(SERVERS_TABLE, server_id, self._entries[server_id])
        return server_id

    def write_entry(self, server_id: str, **changes: object) -> None:
        """Write the entry of a server again, with the next sequence.

        Nothing is written if another player has removed the server.
        """
        entry = self.find_entry(server_id)
        if entry is None:
            return
        entry["seq"] += 1
        self._entries[server_id] = orjson.dumps(entry | changes)
        self.memory.put(SERVERS_TABLE, server_id, self._entries[server_id])

    def close_server(self, server_id: str) -> None:
        """End a server for good, with all its connections."""
        assert self._nursery is not None
        proxy = self.server_proxies[server_id]
        self._nursery.start_soon(proxy.refuse, float("inf"))

    def _write_configuration(self) -> None:
        self._version += 1
        base = {**ROUTE, "backends": None, "service": "s1", "max_attempts": 3}
        base["timeout_ms"] = self._timeout_ms
        kinds = {
            "/n/": ("non_idempotent", False),
            "/i/": ("idempotent", False),
            "/s/": ("stream", True),
            "/v/": ("stream", True),
        }
        routes = [
            {**base, "name": p, "prefix": p, "kind": kind, "resumable": resumable}
            for p, (kind, resumable) in kinds.items()
        ]
        keys = [key for key in self.keys if key not in self.removed_keys]
        service: dict[str, Any] = {"name": "s1"}
        if self.play.parts:
            models = [{"name": MODEL}]
            service["engine"] = {
                "slots": 64,
                "kv_capacity_tokens": 100_000,
                "models": models,
            }
        table = {
            "version": self._version,
            "routes": routes,
            "services": [service],
            "tenants": [{"name": "t", "api_keys": keys}],
            "limits": self._limits,
        }
        self.memory.put(OPERATOR_TABLE, "config", orjson.dumps(table))

    def find_entry(self, server_id: str) -> dict[str, Any] | None:
        """Return the entry of a server, None if it has left."""
        entry = self._entries.get(server_id)
        return None if entry is None else orjson.loads(entry)

    def rewrite_entries(self) -> None:
        """Write all configuration and server entries again; the store may lack them."""
        self._write_configuration()
        for server_id, entry in self._entries.items():
            self.memory.put(SERVERS_TABLE, server_id, entry)

    def remove_entry(self, server_id: str) -> None:
        """Remove the entry of a server that has left, unless another player has."""
        if self._entries.pop(server_id, None) is None:
            return
        self.memory.put(SERVERS_TABLE, server_id, None)

    def set_idle_limit(self, limit_ms: int) -> None:
        """Change the idle timeout."""
        self._limits = {"idle_timeout_ms": limit_ms}
        self._write_configuration()

    def set_timeout(self, timeout_ms: int) -> None:
        """Change the timeout of all routes."""
        self._timeout_ms = timeout_ms
        self._write_configuration()

    def remove_key(self, rng: random.Random) -> None:
        """Remove one key, but never the first."""
        left = [key for key in self.keys[1:] if key not in self.removed_keys]
        if left:
            self.removed_keys[rng.choice(left)] = trio.current_time()
            self._write_configuration()

    def find_instance(self, name: str) -> Instance | None:
        """Return the instance of this name."""
        return next((i for i in self.instances if i.name == name), None)

    async def _wait_until_served(self) -> None:
        with trio.fail_after(60):
            for instance in self.instances:
                while (await self._send_request(instance, "again")).status != 200:
                    await trio.sleep(0.1)

    def make_id(self) -> str:
        """Return the id of the next request."""
        self._requests += 1
        return f"r{self._requests}"

    def note(self, outcome: Outcome, instance: Instance) -> None:
        """Record the outcome of a request for the checks."""
        self.outcomes.append(outcome)
        self._note_answer(outcome, instance)

    def _note_answer(self, outcome: Outcome, instance: Instance) -> None:
        if outcome.is_whole:
            instance.answered_at = max(instance.answered_at, outcome.sent_at)

    async def _send_request(
        self, instance: Instance, kind: str, key: str = "k1"
    ) -> Outcome:
        connection = ConnectionUse(instance.name, instance.started_at)
        outcome = await send_request(
            instance.address, kind, self.make_id(), key, connection
        )
        self._note_answer(outcome, instance)
        return outcome

    async def _send_requests(self) -> None:
        async with trio.open_nursery() as nursery:
            while True:
                await trio.sleep(REQUEST_SECONDS)
                nursery.start_soon(self._send_one)

    async def _send_one(self) -> None:
        instance = self.rng.choice(self.instances)
        key = self.rng.choice(self.keys)
        self.outcomes.append(
            await self._send_request(instance, choose_kind(self.rng), key)
        )

    async def _heal(self) -> None:
        self.memory.is_down = False
        self.partitions.cut([], Cut.RESET)
        for server in self.servers.values():
            server.rejections.share = 0.0
            if not server.directive.is_leaving:
                server.directive = NO_DIRECTIVE
        for proxy in [*self.store_proxies, *self.server_proxies.values()]:
            proxy.harm = Harm.NONE
        for instance in self.instances:
            instance.send(signal.SIGCONT)
            if instance.process is None or instance.process.poll() is not None:
                instance.start()

    async def _await_service(self) -> float:
        """Return the share of requests served once it suffices or a timeout passes."""
        with trio.move_on_after(RECOVERY_SECONDS):
            while await self._measure_service() < LEAST_SERVED:
                await trio.sleep(0.5)
        return await self._measure_service()

    async def _measure_service(self) -> float:
        served = 0
        asked = 0
        for instance in self.instances:
            for kind in ("once", "again", "stream"):
                for _ in range(4):
                    outcome = await self._send_request(instance, kind)
                    self.outcomes.append(outcome)
                    asked += 1
                    served += outcome.status == 200 and outcome.is_whole
        return served / asked
