"""Instance processes in front of engines that load weights while targets follow."""

from __future__ import annotations

import random
import signal
import time
from pathlib import Path
from typing import NamedTuple

import orjson
import trio

from ashpond_platform.rows import OPERATOR_TABLE, SERVERS_TABLE, WEIGHTS_PREFIX
from tests.crashingservers import World, make_configuration
from tests.ports import find_free_port
from tests.row_builders import SERVER
from tests.servers import make_answer, read_request
from tests.soak.servers import parse_headers

MODEL = "m1"
LOAD_SECONDS = 0.3
WORK_SECONDS = 0.03
# Between two requests of the clients, and between two restarts (seconds).
REQUEST_SECONDS = 0.02
RESTART_SECONDS = 1.5


class WeightsRun(NamedTuple):
    """A request that began on an engine, and the version that it began on."""

    at: float
    server_id: str
    version: int


class LoadingEngine:
    """An engine that loads weights by orders; a stuck one refuses each order."""

    def __init__(self, server_id: str, *, is_stuck: bool):
        self.server_id = server_id
        self.address = f"127.0.0.1:{find_free_port()}"
        self.version = 1
        self.is_loading = False
        self._accepted_orders = 0
        self._is_stuck = is_stuck
        self.runs: list[WeightsRun] = []

    def make_row(self) -> bytes:
        """Return the engine's entry."""
        models = [{"name": MODEL, "version": self.version, "adapters": []}]
        seq = self._accepted_orders + 1
        row = {**SERVER, "address": self.address, "models": models, "seq": seq}
        return orjson.dumps(row)

    def report(self) -> bytes:
        """Return the answer to a read of the engine's state."""
        models = [{"name": MODEL, "version": self.version, "adapters": []}]
        state = {"stage": "colocated", "models": models, "busy": self.is_loading}
        born = SERVER["born"]
        state |= {"seq": self._accepted_orders, "queued": 0, "running": 0, "born": born}
        return make_answer(orjson.dumps(state))

    def accept(self, order: dict[str, object]) -> int:
        """Return the status of the answer to an order."""
        if self._is_stuck or self.is_loading:
            return 409
        if order["precondition"] != self._accepted_orders:
            return 409
        if order["version"] == self.version:
            return 200
        self._accepted_orders += 1
        self.is_loading = True
        return 202

    def begin(self, headers: dict[str, str]) -> int:
        """Begin a request; return the status of its answer."""
        if headers.get("x-expect-version") not in (None, str(self.version)):
            return 421
        if self.is_loading:
            return 503
        run = WeightsRun(time.monotonic(), self.server_id, self.version)
        self.runs.append(run)
        return 200


class RolloutWorld(World):
    """Engines of one model, whose weights are replaced again and again.

    :param weights_bound: time after a target from which no request may begin on older
        weights (seconds).
    :param stuck: the number of engines that load nothing.
    """

    def __init__(
        self,
        folder: Path,
        instances: int,
        engines: int,
        weights_bound: float,
        stuck: int = 0,
        seed: int = 1,
    ):
        super().__init__(
            folder, instances, engines, lambda body: False, coordinated_from=2
        )
        self.bounds = {"weights_ms": weights_bound * 1000}
        self.engines = [
            LoadingEngine(f"s{number}", is_stuck=number < stuck)
            for number in range(engines)
        ]
        self.named_at: dict[int, float] = {}
        self.statuses: list[int] = []
        self._rng = random.Random(seed)

    def make_configuration(self) -> dict[str, object]:
        """Return a configuration with a service of engines."""
        engine = {"slots": 64, "kv_capacity_tokens": 100_000}
        service = {"name": "s1", "engine": engine | {"models": [{"name": MODEL}]}}
        return {**make_configuration(), "services": [service]}

    async def _run_server(self, name: str) -> None:
        engine = next(e for e in self.engines if e.server_id == name)
        host, _, port = engine.address.rpartition(":")
        listeners = await trio.open_tcp_listeners(int(port), host=host)
        self.memory.put(SERVERS_TABLE, name, engine.make_row())
        async with trio.open_nursery() as nursery:

            async def serve(stream: trio.SocketStream) -> None:
                try:
                    while request := await read_request(stream):
                        await self._answer_engine(engine, stream, request, nursery)
                except (trio.BrokenResourceError, trio.ClosedResourceError, OSError):
                    return

            nursery.start_soon(trio.serve_listeners, serve, listeners)

    async def _answer_engine(
        self,
        engine: LoadingEngine,
        stream: trio.SocketStream,
        request: bytes,
        nursery: trio.Nursery,
    ) -> None:
        _, target, headers = parse_headers(request)
        if target == "/api/report":
            await stream.send_all(engine.report())
            return
        if target == "/api/order":
            order = orjson.loads(request.partition(b"\r\n\r\n")[2])
            status = engine.accept(order)
            if status == 202:
                nursery.start_soon(self._load, engine, order["version"])
            await stream.send_all(make_answer(b"", status=status))
            return
        status = engine.begin(headers)
        await trio.sleep(WORK_SECONDS if status == 200 else 0)
        extra = "X-Not-Executed: 1\r\n" if status == 503 else "X-Engine-Seal: s\r\n"
        extra += f"X-Instance-Id: {engine.server_id}\r\n"
        extra += f"X-Weight-Versions: {engine.version}\r\n"
        request_id = headers["x-request-id"]
        await stream.send_all(make_answer(b"done", request_id, status, extra))

    async def _load(self, engine: LoadingEngine, version: int) -> None:
        await trio.sleep(LOAD_SECONDS)
        engine.version = version
        engine.is_loading = False
        self.memory.put(SERVERS_TABLE, engine.server_id, engine.make_row())

    async def name_targets(self, count: int, seconds: float) -> None:
        """Name a target, wait, and so on."""
        for version in range(2, 2 + count):
            self.named_at[version] = time.monotonic()
            row = orjson.dumps({"model": MODEL, "version": version})
            self.memory.put(OPERATOR_TABLE, f"{WEIGHTS_PREFIX}{MODEL}", row)
            await trio.sleep(seconds)

    async def restart_instances(self) -> None:
        """Kill or end one instance after the other, and start it again."""
        while True:
            for instance in self.instances:
                number = self._rng.choice([signal.SIGKILL, signal.SIGTERM])
                await instance.stop(number)
                instance.start()
                await trio.sleep(RESTART_SECONDS)

    async def send_requests(self) -> None:
        """Send requests with prompts to random instances."""
        async with trio.open_nursery() as nursery:
            while True:
                nursery.start_soon(self._send_one)
                await trio.sleep(REQUEST_SECONDS)

    async def _send_one(self) -> None:
        number = self._rng.randrange(len(self.instances))
        parts = (f"{self._rng.randrange(20):x}", f"{self._rng.getrandbits(32):x}")
        result = await self.ask(number, b"x", parts=parts)
        self.statuses.append(result.status)

    def list_late_runs(self, weights_bound: float) -> list[tuple[WeightsRun, float]]:
        """Return the runs on weights that had been replaced for longer, and the lag."""
        late = []
        for engine in self.engines:
            for run in engine.runs:
                lag = run.at - self.named_at.get(run.version + 1, run.at)
                if lag > weights_bound:
                    late.append((run, lag))
        return late
