"""Instances that share origins of streams in virtual time, over streams in memory."""

from __future__ import annotations

import random
from collections.abc import Iterable
from types import SimpleNamespace
from typing import Any

import trio
import trio.testing

from ashpond.clients.peer import PeerStream
from ashpond.clients.peermessages import StreamQuery
from ashpond.controllers.directory import ServerTable
from ashpond.controllers.invalidrows import InvalidRows
from ashpond.controllers.originkeepers import OriginKeepers
from ashpond.controllers.originrows import OriginRecorder
from ashpond.controllers.recordedorigins import RecordedOrigins
from ashpond.controllers.streamorigins import StreamOrigins
from ashpond.decisions.fleetlinks import Member
from ashpond.decisions.softwareversions import LONGEST_STREAM_SECONDS
from ashpond.decisions.streamorigins import FoundOrigin, StreamOrigin, UnknownReason
from ashpond.errors import FrameError
from ashpond.fleet.links import PEER_ERRORS
from ashpond.gateway.decisionlog import DecisionLog
from ashpond.gateway.store import StoreClock
from ashpond.standins.tables import MemoryStore
from tests.gateway_builders import make_server

SERVICE = "reader"
MAX_FRAME = 1 << 20


class OriginInstance:
    """One instance: its servers and origins, which a kill loses."""

    def __init__(self, fleet: OriginFleet, member: Member):
        self.member = member
        self.servers_age = 0.0
        self.is_frozen = False
        # The only version of the service by its row in the store.
        self.only_version: str | None = None
        self.outcomes: list[str] = []
        self.scope = trio.CancelScope()
        self.ended = trio.Event()
        self.table = ServerTable()
        members = SimpleNamespace(own=member, by_name=fleet.members, secret="s")
        log = DecisionLog(member.name)
        self.keepers = OriginKeepers(lambda: members)  # type: ignore[arg-type, return-value]
        store = fleet.store.build_port()
        self.recorded = RecordedOrigins(store, log, InvalidRows(log))
        self.recorder = OriginRecorder(
            member.name,
            store,
            StoreClock(),
            log,
            InvalidRows(log),
            fleet.rng,
            self.keepers.count_recorders,
        )
        self.origins = StreamOrigins(
            self.table.versions,
            lambda: members,  # type: ignore[arg-type, return-value]
            lambda: self.servers_age,
            log,
            self.outcomes.append,
            lambda peer: fleet.connect(member, peer),
            self.keepers,
            self.recorder,
            self.recorded,
            self._read_only_version,
        )
        self.table.on_versions = self.origins.note_versions_changed

    async def _read_only_version(self, service: str) -> str | None:
        await trio.lowlevel.checkpoint()
        return self.only_version

    def see_versions(self, *versions: str, is_long_known: bool = False) -> None:
        """Know one server of each software version."""
        now = trio.current_time()
        since = now - LONGEST_STREAM_SECONDS if is_long_known else now
        self.table.versions.begin(since)
        self.table.replace_all(
            [make_server(f"e-{v}", software_version=v) for v in versions],
            now,
            may_reappear=False,
        )

    def begin(
        self, stream_id: str, version: str, team: str = "t", **changes: Any
    ) -> None:
        """Forward the first event of a stream."""
        values = {"seconds": 10.0, "has_other_services": False} | changes
        origin = StreamOrigin(SERVICE, version)
        self.origins.note_begun(team, stream_id, origin, **values)

    async def find(
        self, stream_id: str, team: str = "t", services: Iterable[str] = (SERVICE,)
    ) -> str | None:
        """Return the version at which a stream may go on, None if it must not."""
        found = await self.origins.find(team, stream_id, list(services))
        if isinstance(found, UnknownReason):
            return None
        assert isinstance(found, FoundOrigin)
        return found.origin.version


class OriginFleet:
    """A fleet of instances, any of which may be killed, frozen or cut off."""

    def __init__(self, nursery: trio.Nursery, count: int, domains: int = 4):
        self.members = {
            f"i{n}": Member(f"i{n}", f"127.0.0.1:{n}", f"d{n % domains}")
            for n in range(count)
        }
        self.cut: set[str] = set()
        self.store = MemoryStore()
        self.rng = random.Random(1)
        self.connections = 0
        self._nursery = nursery
        self.by_name = {
            name: self._start(member) for name, member in self.members.items()
        }

    def __getitem__(self, number: int) -> OriginInstance:
        return self.by_name[f"i{number}"]

    def _start(self, member: Member) -> OriginInstance:
        instance = OriginInstance(self, member)
        self._nursery.start_soon(self._run, instance)
        return instance

    async def _run(self, instance: OriginInstance) -> None:
        with instance.scope:
            async with trio.open_nursery() as nursery:
                nursery.start_soon(instance.origins.run)
                nursery.start_soon(instance.recorder.run)
                nursery.start_soon(instance.recorded.run)

    async def settle(self) -> None:
        """Let everything that is queued be sent."""
        await trio.sleep(0.05)

    def kill(self, number: int) -> None:
        """End an instance and its connections."""
        instance = self.by_name.pop(f"i{number}")
        instance.scope.cancel()
        instance.ended.set()

    def restart(self, number: int) -> OriginInstance:
        """Kill an instance and start it again without what it knew."""
        if f"i{number}" in self.by_name:
            self.kill(number)
        instance = self._start(self.members[f"i{number}"])
        self.by_name[f"i{number}"] = instance
        return instance

    async def connect(self, own: Member, peer: Member) -> PeerStream:
        """Connect two instances."""
        await trio.lowlevel.checkpoint()
        target = self.by_name.get(peer.name)
        if target is None:
            raise ConnectionRefusedError
        if self.cut & {own.name, peer.name}:
            await trio.sleep_forever()
        self.connections += 1
        near, far = trio.testing.memory_stream_pair()
        self._nursery.start_soon(self._serve, target, PeerStream(far, "", MAX_FRAME))
        return PeerStream(near, "", MAX_FRAME)

    async def _serve(self, instance: OriginInstance, stream: PeerStream) -> None:
        with trio.CancelScope() as scope:
            self._nursery.start_soon(self._end_with, instance, scope)
            try:
                first = await stream.receive()
                if instance.is_frozen:
                    await trio.sleep_forever()
                assert isinstance(first, StreamQuery)
                await instance.origins.serve(first, stream)
            except (*PEER_ERRORS, FrameError):
                pass
            finally:
                with trio.CancelScope(shield=True):
                    await stream.aclose()

    @staticmethod
    async def _end_with(instance: OriginInstance, scope: trio.CancelScope) -> None:
        await instance.ended.wait()
        scope.cancel()
