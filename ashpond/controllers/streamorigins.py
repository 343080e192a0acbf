"""Know at which software version a stream began that a client takes up again."""

from __future__ import annotations

__all__ = ["StreamOrigins", "make_lone_origins"]

from collections import Counter
from collections.abc import Awaitable, Callable, Sequence
from typing import TYPE_CHECKING, NamedTuple

import trio

from ashpond.clients.peer import connect_peer
from ashpond.clients.peermessages import StreamQuery
from ashpond.clients.streamorigins import (
    BegunStreams,
    StreamFinding,
    decode_stream_query,
    encode_stream_answer,
)
from ashpond.controllers.originkeepers import OriginKeepers
from ashpond.controllers.originlink import OriginLink
from ashpond.decisions.streamorigins import (
    FoundOrigin,
    KnownBy,
    OriginRecords,
    OriginView,
    StreamOrigin,
    UnknownReason,
    decide_origin,
    make_stream_key,
)
from ashpond.errors import FrameError

if TYPE_CHECKING:
    from ashpond.clients.peer import PeerStream
    from ashpond.controllers.originrows import OriginRecorder
    from ashpond.controllers.recordedorigins import RecordedOrigins
    from ashpond.decisions.fleetlinks import Member
    from ashpond.decisions.softwareversions import VersionHistory
    from ashpond.fleet.members import Members
    from ashpond.gateway.decisionlog import DecisionLog

MAX_FRAME_BYTES = 1 << 20
# An origin is kept this much longer than its client waits (seconds).
MARGIN_SECONDS = 2.0
# The most own streams that keepers get again after a reconnection.
MAX_OWN_STREAMS = 20_000
# The longest time for which an origin is kept, whatever a client or peer says.
MAX_KEPT_SECONDS = 300.0
# How long other keepers have to contradict the first that knows an origin (seconds).
CONFIRM_SECONDS = 0.02
# Servers that were known this lately are all that there are (seconds).
FRESH_SECONDS = 3.0


class _OwnStream(NamedTuple):
    """A stream that began here, and until when its client may take it up again."""

    team: str
    origin: StreamOrigin
    until: float
    is_replicated: bool


class StreamOrigins:
    """The origins that this instance knows, and those that it asks its peers for.

    While a service has had one software version only, nothing is sent.

    :param history: the software versions of the known servers.
    :param get_servers_age: returns how old the knowledge of the servers is (seconds).
    :param count: counts streams that were taken up, by how their origin was known.
    :param connect: opens a connection to a peer, by its address if it is None.
    :param keepers: the instances that keep origins, None without peers.
    :param recorder: writes origins to the store, None without one.
    :param recorded: the origins in the store, None without one.
    :param read_only_version: returns the version that the store proves to be the only
        one of a service, if there is one; None without a store.
    """

    def __init__(
        self,
        history: VersionHistory,
        get_members: Callable[[], Members],
        get_servers_age: Callable[[], float],
        log: DecisionLog,
        count: Callable[[str], None],
        connect: Callable[[Member], Awaitable[PeerStream]] | None = None,
        keepers: OriginKeepers | None = None,
        recorder: OriginRecorder | None = None,
        recorded: RecordedOrigins | None = None,
        read_only_version: Callable[[str], Awaitable[str | None]] | None = None,
    ):
        self._connect = connect or self._connect_by_address
        self.records = OriginRecords()
        self.outcomes: Counter[str] = Counter()
        self._history = history
        self._get_members = get_members
        self._get_servers_age = get_servers_age
        self._log = log
        self._count = count
        self._own: dict[bytes, _OwnStream] = {}
        self._links: dict[str, OriginLink] = {}
        self._keepers = keepers
        self._recorder = recorder
        self._recorded = recorded
        self._read_only_version = read_only_version
        self._nursery: trio.Nursery | None = None

    async def run(self) -> None:
        """Run the links to keepers, which are opened when they are needed."""
        async with trio.open_nursery() as nursery:
            self._nursery = nursery
            await trio.sleep_forever()

    def note_begun(
        self,
        team: str,
        stream_id: str,
        origin: StreamOrigin,
        seconds: float,
        *,
        has_other_services: bool,
    ) -> None:
        """Record where a stream began, or that it has been continued here.

        :param stream_id: the id of the request that brought its first event.
        :param seconds: how long its client still waits.
        :param has_other_services: whether requests of its route go to several services.
        """
        now = trio.current_time()
        key = make_stream_key(team, stream_id)
        until = now + min(seconds + MARGIN_SECONDS, MAX_KEPT_SECONDS)
        self.records.add(key, team, origin, now, until)
        is_replicated = has_other_services or not self._is_only(origin, now)
        stream = _OwnStream(team, origin, until, is_replicated)
        if len(self._own) < MAX_OWN_STREAMS:
            self._own[key] = stream
        if is_replicated:
            self._replicate(key, stream)

    def note_versions_changed(self, service: str) -> None:
        """Replicate the streams that began while a service had one version."""
        for key, stream in list(self._own.items()):
            if stream.origin.service == service and not stream.is_replicated:
                self._own[key] = stream._replace(is_replicated=True)
                self._replicate(key, stream)

    def expire(self) -> None:
        """Forget the streams that have ended."""
        now = trio.current_time()
        self.records.expire(now)
        self._own = {k: s for k, s in self._own.items() if s.until > now}

    async def find(
        self, team: str, stream_id: str, services: Sequence[str]
    ) -> FoundOrigin | UnknownReason:
        """Return where a stream began that a client takes up again.

        :param stream_id: the id of the request that brought its first event, empty if
            the client names none.
        :param services: the services of the request's route.
        """
        found = await self._find(make_stream_key(team, stream_id), services)
        if isinstance(found, FoundOrigin) and found.origin.service not in services:
            found = UnknownReason.OTHER_SERVICE
        outcome = found.by if isinstance(found, FoundOrigin) else found.name.lower()
        self.outcomes[outcome] += 1
        self._count(outcome)
        return found

    async def _find(
        self, key: bytes, services: Sequence[str]
    ) -> FoundOrigin | UnknownReason:
        now = trio.current_time()
        known = self.records.find(key, now)
        if known is not None:
            if known.origin is None:
                return UnknownReason.AMBIGUOUS
            return FoundOrigin(known.origin, KnownBy.INSTANCE, known.age)
        keepers: list[Member] = []
        are_known = self._keepers is None
        if self._keepers is not None and self._nursery is not None:
            keepers = self._keepers.list_asked(key)
            are_known = self._keepers.are_known()
        findings = await self._ask_all(keepers, key, services)
        service = services[0] if len(services) == 1 else None
        views = [self._build_view(service)]
        views += [
            OriginView(f.known, f.claims.get(service or ""), f.is_fresh)
            for f in findings
        ]
        # While the members are not known, there may be one that would not answer.
        asked = len(keepers) if are_known else max(1, len(keepers))
        found = decide_origin(views, service, asked=asked, answered=len(findings))
        if found is UnknownReason.NO_RECORD and self._recorded is not None:
            found = await self._find_in_store(self._recorded, key)
        if found is UnknownReason.NO_RECORD and service is not None:
            found = await self._find_only_version(service, views)
        if isinstance(found, FoundOrigin) and found.by is KnownBy.ONLY_VERSION:
            self._history.prove(*found.origin, trio.current_time())
        return found

    async def _find_only_version(
        self, service: str, views: Sequence[OriginView]
    ) -> FoundOrigin | UnknownReason:
        """Return the only version in all views if the store confirms it now."""
        versions = {v for view in views if view.claim for v in view.claim.versions}
        if len(versions) != 1 or self._read_only_version is None:
            return UnknownReason.NO_RECORD
        (version,) = versions
        if await self._read_only_version(service) != version:
            return UnknownReason.NO_RECORD
        return FoundOrigin(StreamOrigin(service, version), KnownBy.ONLY_VERSION, 0.0)

    @staticmethod
    async def _find_in_store(
        recorded: RecordedOrigins, key: bytes
    ) -> FoundOrigin | UnknownReason:
        known = await recorded.find(key)
        if known is None:
            return UnknownReason.NO_RECORD
        if known.origin is None:
            return UnknownReason.AMBIGUOUS
        return FoundOrigin(known.origin, KnownBy.STORE, known.age)

    def _build_view(self, service: str | None) -> OriginView:
        """Return what this instance knows of a stream that it has no record of."""
        now = trio.current_time()
        claim = None if service is None else self._history.claim(service, now)
        return OriginView(None, claim, self._is_fresh())

    def _is_fresh(self) -> bool:
        return self._get_servers_age() <= FRESH_SECONDS

    def _is_only(self, origin: StreamOrigin, now: float) -> bool:
        """Return whether any instance knows the origin without a record."""
        claim = self._history.claim(origin.service, now)
        return claim == ([origin.version], True) and self._is_fresh()

    def _replicate(self, key: bytes, stream: _OwnStream) -> None:
        if self._keepers is None or self._nursery is None:
            return
        for member in self._keepers.list_receivers(key):
            self._get_link(member).send_begun(self._build_begun(key, stream))
        self._record(key, stream.origin, stream.until)

    def _record(self, key: bytes, origin: StreamOrigin, until: float) -> None:
        """Write an origin to the store if this instance does so for its key."""
        if self._recorder is None or self._keepers is None:
            return
        is_needed = not self._is_only(origin, trio.current_time())
        if is_needed and self._keepers.is_recorder(key):
            self._recorder.add(key, origin, until)

    @staticmethod
    def _build_begun(key: bytes, stream: _OwnStream) -> BegunStreams:
        left = max(0.0, stream.until - trio.current_time())
        return BegunStreams(stream.team, *stream.origin, left, key)

    def _list_begun(self, member: Member) -> list[BegunStreams]:
        """Return the streams that a keeper should know of."""
        now = trio.current_time()
        assert self._keepers is not None
        return [
            self._build_begun(key, stream)
            for key, stream in self._own.items()
            if stream.is_replicated
            and stream.until > now
            and member in self._keepers.list_receivers(key)
        ]

    async def _ask_all(
        self, keepers: Sequence[Member], key: bytes, services: Sequence[str]
    ) -> list[StreamFinding]:
        """Return the answers of keepers, few of them if the first knows the origin."""
        findings: list[StreamFinding] = []

        async def ask(member: Member) -> None:
            finding = await self._get_link(member).ask(key, services)
            if finding is None:
                return
            findings.append(finding)
            if finding.known is not None:
                scope = nursery.cancel_scope
                scope.deadline = min(
                    scope.deadline, trio.current_time() + CONFIRM_SECONDS
                )

        async with trio.open_nursery() as nursery:
            for member in keepers:
                nursery.start_soon(ask, member)
        return findings

    def _get_link(self, member: Member) -> OriginLink:
        link = self._links.get(member.name)
        if link is not None and not link.is_closed and link.member == member:
            return link
        if link is not None:
            link.scope.cancel()
        link = OriginLink(member, self._log, self._connect, self._list_begun)
        self._links[member.name] = link
        assert self._nursery is not None
        self._nursery.start_soon(link.run)
        return link

    async def _connect_by_address(self, member: Member) -> PeerStream:
        secret = self._get_members().secret
        return await connect_peer(member.address, secret, MAX_FRAME_BYTES)

    async def serve(self, first: StreamQuery, stream: PeerStream) -> None:
        """Keep the origins of a peer's streams and answer it, until it disconnects.

        :raises FrameError: if the peer sends an invalid message.
        """
        message: object = first
        while True:
            if not isinstance(message, StreamQuery):
                raise FrameError("expected a stream query")
            findings = self._handle(message)
            if findings:
                await stream.send(encode_stream_answer(findings))
            message = await stream.receive()

    def _handle(self, message: StreamQuery) -> list[StreamFinding]:
        now = trio.current_time()
        begun, asked = decode_stream_query(message)
        for streams in begun:
            origin = StreamOrigin(streams.service, streams.version)
            until = now + min(streams.left, MAX_KEPT_SECONDS)
            for key in streams.list_keys():
                self.records.add(key, streams.team, origin, now, until)
                self._record(key, origin, until)
        return [
            StreamFinding(
                ask.number,
                self.records.find(ask.key, now),
                {
                    service: self._history.claim(service, now)
                    for service in ask.services
                },
                self._is_fresh(),
            )
            for ask in asked
        ]

    def describe(self) -> dict[str, object]:
        """Return how many origins are known and were found, for operators."""
        return {
            "known": len(self.records),
            "begun_here": len(self._own),
            "keepers_connected": sum(
                not link.is_closed for link in self._links.values()
            ),
            "taken_up": dict(self.outcomes),
        }


def make_lone_origins(history: VersionHistory, log: DecisionLog) -> StreamOrigins:
    """Return the origins of the only instance, which knows all servers."""
    history.begin(0.0, is_first_start=True)

    def get_members() -> Members:
        raise AssertionError("an instance without peers has no members")

    return StreamOrigins(history, get_members, lambda: 0.0, log, lambda outcome: None)
