"""Fleets in virtual time with servers that crash, also because of a request."""

from __future__ import annotations

import random
from collections.abc import Iterable, Sequence
from typing import NamedTuple

import trio

from ashpond.clients.channelpools import ConnectResult
from ashpond.clients.channels import ChannelError, OutgoingRequest
from ashpond.controllers.allowancegrants import grant_unlimited
from ashpond.controllers.budgets import make_lone_budget
from ashpond.controllers.crashdetection import CrashDetector, CrashEvidence
from ashpond.controllers.permits import grant_without_limit
from ashpond.controllers.quarantine import Quarantine
from ashpond.controllers.serverdirectives import ServerDirectives
from ashpond.controllers.streamorigins import make_lone_origins
from ashpond.decisions.fingerprints import (
    Fingerprints,
    make_fingerprint,
    make_part_fingerprint,
)
from ashpond.decisions.knowledge import Knowledge
from ashpond.decisions.quarantine import ServerCrash
from ashpond.decisions.servicetimes import ServiceTimes
from ashpond.gateway.admission import admit_call
from ashpond.gateway.callprogress import CallConnections, DispatchContext
from ashpond.gateway.calls import IncomingCall
from ashpond.gateway.decisionlog import DecisionLog
from ashpond.gateway.dispatch import Dispatcher
from ashpond.standins.tables import MemoryStore
from ashpond_platform.headers import CODEC, REQUEST_ID
from tests.gateway_builders import (
    make_address,
    make_call,
    make_declaration,
    make_prompt,
    make_quarantine,
    make_reservations,
    make_route,
    make_server,
    make_table,
)
from tests.scripted import Answer, RecordedReply, ScriptedResponse

DEADLY_BODY = b"deadly"
# How long a deadly request runs until its server crashes, how long the server is away,
# and when its row disappears meanwhile (seconds).
RUNNING_SECONDS = 0.05
AWAY_SECONDS = 3.0
ENTRY_EXPIRY_SECONDS = 2.4


class Arrival(NamedTuple):
    """A request that reached a server."""

    at: float
    body: bytes


class ClientResult(NamedTuple):
    """The result of a request for its client."""

    sent_at: float
    body: bytes
    status: int | None
    is_whole: bool


class FleetServer:
    """One start of a server."""

    def __init__(self, server_id: str):
        self.server_id = server_id
        self.crashed = trio.Event()


class FleetPool(CallConnections):
    """The connection pool of one instance to the servers of a fleet."""

    def __init__(self, fleet: Fleet):
        self._fleet = fleet

    async def acquire(  # type: ignore[override]
        self,
        owner: str,
        address: str,
        *,
        is_repeatable: bool = False,
        request_id: str | None = None,
    ) -> FleetChannel:
        await trio.sleep(0.001)
        server = self._fleet.servers.get(owner.partition(" ")[0])
        if server is None:
            raise ChannelError("refused", is_sent=False, is_refused=True)
        return FleetChannel(self._fleet, server)

    async def check(self, owner: str, address: str) -> ConnectResult:
        await trio.sleep(0.001)
        is_there = owner.partition(" ")[0] in self._fleet.servers
        return ConnectResult.CONNECTED if is_there else ConnectResult.REFUSED

    def release(self, owner: str, channel: FleetChannel) -> None:
        pass

    def close_idle(self, owner: str) -> None:
        pass


class FleetChannel:
    relay = ""
    opened_at = 0.0

    def __init__(self, fleet: Fleet, server: FleetServer):
        self._fleet = fleet
        self._server = server

    async def exchange(self, request: OutgoingRequest) -> ScriptedResponse:
        self._fleet.arrivals.append(Arrival(trio.current_time(), request.body))
        if self._fleet.is_deadly(request.body):
            with trio.move_on_after(RUNNING_SECONDS):
                await self._server.crashed.wait()
            if self._server.server_id in self._fleet.servers:
                self._fleet.crashes.append((trio.current_time(), request.body))
            self._fleet.crash([self._server.server_id])
            raise ChannelError("crashed", is_sent=True)
        with trio.move_on_after(self._fleet.get_run_seconds(request.body)):
            await self._server.crashed.wait()
            raise ChannelError("crashed", is_sent=True)
        return ScriptedResponse(Answer())

    def close(self) -> None:
        pass


class FleetInstance:
    """One instance with its real dispatcher, crash detection and quarantine."""

    def __init__(self, fleet: Fleet, name: str):
        self.name = name
        self.table = make_table(*(make_server(name) for name in fleet.servers))
        log = DecisionLog(name)
        self.quarantine: Quarantine = make_quarantine(
            log,
            fleet.store,
            lambda crashes: fleet.broadcast(self, crashes),
            lambda: [instance.name for instance in fleet.instances],
            lambda: self.crash_detector.measure_hazard(),
        )
        pool = FleetPool(fleet)
        self.crash_detector = CrashDetector(
            lambda server: pool.check(server.owner, server.address),
            log.note,
            self.quarantine.note_lost,
            lambda server: fleet.note_connect_failure(server.id),
            lambda: (state.watched for state in self.table.by_id.values()),
        )
        self.knowledge = Knowledge()
        route = make_route(objective=fleet.objective, max_attempts=2, timeout=30.0)
        self.knowledge.adopt(make_declaration(route))
        budget = make_lone_budget(0.2, 50.0, 10.0)
        self.dispatcher = Dispatcher(
            DispatchContext(
                make_reservations(self.table),
                pool,  # type: ignore[arg-type]
                CODEC,
                REQUEST_ID,
                self.knowledge,
                log,
                lambda service: budget,
                lambda server, salt, prompt: None,
                lambda call, accepted: compute_fingerprints(call),
                self.crash_detector,
                ServerDirectives(
                    self.table,
                    log,
                    lambda kind: None,
                    lambda notice: None,
                    random.Random(name),
                ),
                self.quarantine,
                lambda state, seconds: fleet.note_connect_failure(state.info.id),
                grant_unlimited,
                lambda taken: None,
                grant_without_limit,
                lambda kind: None,
                random.Random(name),
                make_lone_origins(self.table.versions, log),
                ServiceTimes(),
            )
        )

    async def run(self) -> None:
        async with trio.open_nursery() as nursery:
            nursery.start_soon(self.crash_detector.run)
            nursery.start_soon(self.quarantine.run)


def compute_fingerprint(call: IncomingCall) -> str:
    return make_fingerprint("s", "desk", call.host, call.method, b"/x", call.body)


def compute_fingerprints(call: IncomingCall) -> Fingerprints:
    """Return the fingerprints of a request and of the shared parts of its prompt."""
    parts = call.envelope.prompt.parts[:-1] if call.envelope.prompt else ()
    return Fingerprints(
        compute_fingerprint(call),
        tuple(make_part_fingerprint("s", "", part.id) for part in parts),
    )


class Fleet:
    """Servers, and instances that receive each other's reports after ``lag`` seconds.

    ``run_seconds`` maps the bodies of harmless requests to how long they run (seconds).
    A request without an answer for longer than the route's objective is sent elsewhere.
    """

    def __init__(
        self,
        nursery: trio.Nursery,
        instances: int,
        servers: int,
        lag: float,
        run_seconds: dict[bytes, float] | None = None,
        objective: float = 0.5,
    ):
        self.store = MemoryStore()
        self.arrivals: list[Arrival] = []
        self.crashed_at: list[float] = []
        # The crashes that deadly requests caused, with their bodies.
        self.crashes: list[tuple[float, bytes]] = []
        self.results: list[ClientResult] = []
        self.servers: dict[str, FleetServer] = {}
        self.partitioned: set[str] = set()
        self.deadly_parts: set[str] = set()
        self._nursery = nursery
        self._lag = lag
        self._run_seconds = run_seconds or {}
        self.objective = objective
        self._number = 0
        for _ in range(servers):
            self._start_server()
        self.instances: list[FleetInstance] = []
        self._scope = trio.CancelScope()
        self.start_instances(instances)

    def start_instances(self, count: int) -> None:
        """Stop all instances, and start new ones without any state."""
        self._scope.cancel()
        self._scope = trio.CancelScope()
        self.instances = [FleetInstance(self, f"i{number}") for number in range(count)]
        self._nursery.start_soon(self._run_instances, self.instances, self._scope)

    async def _run_instances(
        self, instances: Iterable[FleetInstance], scope: trio.CancelScope
    ) -> None:
        with scope:
            async with trio.open_nursery() as nursery:
                for instance in instances:
                    nursery.start_soon(instance.run)

    def is_deadly(self, body: bytes) -> bool:
        """Return whether a request crashes its server: by itself, or by a part."""
        parts = body.decode().partition(":")[0].split(",")
        return body == DEADLY_BODY or not self.deadly_parts.isdisjoint(parts)

    def get_run_seconds(self, body: bytes) -> float:
        return self._run_seconds.get(body, 0.1)

    def broadcast(self, sender: FleetInstance, crashes: Sequence[ServerCrash]) -> None:
        if sender.name not in self.partitioned:
            self._nursery.start_soon(self._deliver, sender, list(crashes))

    async def _deliver(self, sender: FleetInstance, crashes: list[ServerCrash]) -> None:
        receivers = [i for i in self.instances if i is not sender]
        await trio.sleep(self._lag)
        for receiver in receivers:
            if receiver.name not in self.partitioned:
                receiver.quarantine.merge_reported(crashes, sender.name)

    def reconnect(self) -> None:
        """Reconnect partitioned instances, which send their crashes to the others."""
        reconnected, self.partitioned = self.partitioned, set()
        for instance in self.instances:
            for other in self.instances:
                if (instance.name in reconnected) != (other.name in reconnected):
                    crashes = instance.quarantine.list_for_new_peer()
                    other.quarantine.merge_reported(crashes, instance.name)

    def note_connect_failure(self, server_id: str) -> None:
        """Exclude a server that refuses connections at all instances."""
        now = trio.current_time()
        for instance in self.instances:
            state = instance.table.by_id.get(server_id)
            if state is not None:
                state.exclude_for(ENTRY_EXPIRY_SECONDS, now)

    def crash(self, names: Iterable[str]) -> None:
        """Crash servers with all requests there; each is replaced by a new one."""
        for name in names:
            server = self.servers.pop(name, None)
            if server is not None:
                self.crashed_at.append(trio.current_time())
                server.crashed.set()
                self._nursery.start_soon(self._replace, name)

    async def _replace(self, name: str) -> None:
        await trio.sleep(ENTRY_EXPIRY_SECONDS)
        now = trio.current_time()
        for instance in self.instances:
            removed = instance.table.remove(name, now, may_reappear=False)
            if removed is not None:
                instance.crash_detector.note_crash(
                    removed.watched, CrashEvidence.ENTRY_GONE
                )
        await trio.sleep(AWAY_SECONDS - ENTRY_EXPIRY_SECONDS)
        self._start_server()

    def _start_server(self) -> None:
        self._number += 1
        name = f"s{self._number}"
        self.servers[name] = FleetServer(name)
        for instance in getattr(self, "instances", ()):
            info = make_server(name, address=make_address(name))
            instance.table.update(info, trio.current_time())

    async def ask(self, number: int, body: bytes, timeout: float = 4.0) -> None:
        """Send a request to an instance, and record its result.

        :param body: with a colon, it begins with the shared parts of the prompt.
        """
        instance = self.instances[number % len(self.instances)]
        now = trio.current_time()
        instance.knowledge.confirm(now)
        parts, colon, own = body.decode().partition(":")
        prompt = make_prompt(*parts.split(","), own) if colon else None
        call = make_call(received_at=now, body=body, timeout=timeout, prompt=prompt)
        accepted = admit_call(call, instance.knowledge, 5.0, now)
        reply = RecordedReply()
        await instance.dispatcher.dispatch(call, accepted, reply)  # type: ignore[arg-type]
        self.results.append(ClientResult(now, body, reply.status, reply.is_complete))

    async def ask_with_parts(self, parts: str, gap: float) -> None:
        """Send requests of which no two are alike to instances drawn at random.

        :param parts: the shared parts; ``*`` stands for one of a hundred sessions.
        """
        rng = random.Random(parts)
        number = 0
        while True:
            number += 1
            session = f"session{rng.randrange(100)}"
            body = f"{parts.replace('*', session)}:{number}".encode()
            instance = rng.randrange(len(self.instances))
            self._nursery.start_soon(self.ask, instance, body)
            await trio.sleep(gap)

    async def ask_repeatedly(
        self, body: bytes, gap: float, timeout: float = 4.0
    ) -> None:
        """Send a request to each instance in turn until cancelled."""
        number = 0
        while True:
            self._nursery.start_soon(self.ask, number, body, timeout)
            number += 1
            await trio.sleep(gap)
