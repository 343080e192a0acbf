"""Exchange loads and changes at backend servers with the other instances."""

from __future__ import annotations

__all__ = ["PeerExchange"]

import secrets
from collections.abc import Callable, Sequence

import trio

from ashpond.addresses import parse_address
from ashpond.clients.liveness import enable_dead_peer_detection
from ashpond.clients.peer import (
    CrashReport,
    Notices,
    PeerStream,
    PeerUpdate,
)
from ashpond.controllers.directory import ServerTable
from ashpond.controllers.feeds import TableUpdate
from ashpond.decisions.cacheindex import CacheEntry
from ashpond.decisions.fleetlinks import (
    MAX_MESH_MEMBERS,
    Links,
    Member,
    list_names,
    plan_links,
)
from ashpond.decisions.quarantine import ServerCrash
from ashpond.errors import FrameError
from ashpond.fleet.intervals import (
    GROUP_LAG_SECONDS,
    HEARTBEAT_SECONDS,
    choose_update_interval,
)
from ashpond.fleet.links import (
    PEER_ERRORS,
    Link,
    PeerRole,
    UpdateMessage,
    get_peer_name,
    is_first_candidate,
    is_relied_on,
    list_required_links,
    make_link,
    receive_first,
    receive_update,
    run_until_end,
    should_act_as_hub,
)
from ashpond.fleet.members import Members
from ashpond.fleet.reconnection import MAX_FRAME_BYTES, keep_connected
from ashpond.fleet.rounds import UpdateRounds
from ashpond.fleet.sending import queue_full_state, send_digest, send_urgent
from ashpond.fleet.sharedloads import SharedLoads
from ashpond.fleet.updates import (
    Digest,
    ServerNotice,
    UpdateHandlers,
    decode_changes,
    decode_crashes,
    decode_notices,
    decode_update,
)
from ashpond.fleet.view import FleetView, InstanceLoad, PeerReport, Scope
from ashpond.gateway.decisionlog import DecisionLog

INCARNATION_BYTES = 4
# How long a link that is no longer needed stays open (seconds).
CLOSE_SECONDS = 0.5


class PeerExchange:
    """Sends updates to other instances and applies theirs."""

    def __init__(
        self,
        members: Members,
        table: ServerTable,
        log: DecisionLog,
        handlers: UpdateHandlers,
        window: float,
        mesh_limit: int = MAX_MESH_MEMBERS,
    ):
        self.members = members
        self.view = FleetView(window)
        self.links = Links()
        self._mesh_limit = mesh_limit
        self._table = table
        self._log = log
        self._handlers = handlers
        self._sender_id = f"{members.own.name}#{secrets.token_hex(INCARNATION_BYTES)}"
        self._outgoing: dict[tuple[PeerRole, Member], Link] = {}
        self._own_members: list[Link] = []
        self._counted: set[str] = set()
        self._rounds = UpdateRounds()
        attempts = handlers.list_attempts
        self._loads = SharedLoads(self._sender_id, self.view, table, attempts)
        table.on_load_change = self._rounds.note_change
        self._grouped_at = float("inf")
        self._is_hub = False
        # Called when this instance has to read the store from now on.
        self.on_reader: Callable[[], None] = lambda: None
        self._nursery: trio.Nursery | None = None

    @property
    def is_hub(self) -> bool:
        """Whether this instance acts as the hub of its group at present."""
        return self._is_hub

    def list_links(self) -> list[Link]:
        """Return the links to all peers that receive updates at present."""
        return [*self._outgoing.values(), *self._own_members]

    def announce(self, notice: ServerNotice) -> None:
        """Send all peers a notice at once."""
        for link in self._list_receivers():
            link.add([notice])
            link.wake()

    def send_cache_entry(self, cache_entry: CacheEntry) -> None:
        """Send all peers a new cache entry of an engine with the next update."""
        for link in self._list_receivers():
            link.add(cache_entries=[cache_entry])

    def send_crashes(self, crashes: Sequence[ServerCrash]) -> None:
        """Send all peers at once the requests that were in flight at server crashes."""
        for link in self._list_receivers():
            link.add(crashes=crashes)
            link.wake()

    @property
    def is_reader(self) -> bool:
        """Whether this instance reads the store and forwards changes to the others."""
        return not self.links.group or (self._is_hub and self.links.is_reader)

    def get_max_lag(self) -> float:
        """Return the longest delay of peers' loads in groups, 0 in a flat fleet."""
        return GROUP_LAG_SECONDS if self.links.group else 0.0

    def publish(self, update: TableUpdate) -> None:
        """Send changes from the store: readers to all, other hubs to their group."""
        scope = Scope.MEMBER if self.is_reader else Scope.GROUP
        self._forward(scope, self._sender_id, tables=[update])

    async def run(
        self, task_status: trio.TaskStatus = trio.TASK_STATUS_IGNORED
    ) -> None:
        """Exchange updates with the peers until cancelled."""
        async with trio.open_nursery() as nursery:
            await self.members.agree_secret()
            self._nursery = nursery
            self.adjust_links()
            target = parse_address(self.members.own.address)
            listeners = await trio.open_tcp_listeners(target.port, host=target.host)
            nursery.start_soon(trio.serve_listeners, self._serve_connection, listeners)
            nursery.start_soon(self._schedule_updates)
            nursery.start_soon(self.members.restore_rows)
            await self.members.register()
            task_status.started()

    def adjust_links(self) -> None:
        """Open and close links to match the present members."""
        if self._nursery is None:
            return
        # The store may lack this instance's own row yet. Without it, an instance that
        # starts in a large fleet would link to every other.
        own = self.members.own
        members = {**self.members.by_name, own.name: own}
        links = plan_links(members, own.name, self._mesh_limit)
        was_reader = self.is_reader
        if links.group != self.links.group:
            self._log.note(
                "news_group", group=links.group, hubs=list_names(links.preferred_hubs)
            )
            self._grouped_at = trio.current_time()
        self.links = links
        self._rounds.note_change()
        self.view.set_hubs(member.name for member in links.preferred_hubs)
        self._is_hub = self._should_act_as_hub(trio.current_time())
        if self.is_reader and not was_reader:
            self.on_reader()
        required = list_required_links(links, is_hub=self._is_hub)
        for key in self._outgoing.keys() - required:
            # What has changed the links may still have to be sent on them.
            scope = self._outgoing.pop(key).scope
            scope.deadline = min(scope.deadline, trio.current_time() + CLOSE_SECONDS)
        for role, member in sorted(required - self._outgoing.keys(), key=str):
            link = self._make_link(role, member.name)
            self._outgoing[role, member] = link
            self._nursery.start_soon(self._keep_connected, link, member.address)

    def _should_act_as_hub(self, now: float) -> bool:
        waited = now - self._grouped_at
        return should_act_as_hub(self.links, self.view.find_hub(now), waited)

    def _check_hub(self, now: float) -> None:
        """Become the hub of the group, or stop being it, when that is due."""
        self.view.expire(now)
        self._retain_counted(now)
        if self._should_act_as_hub(now) != self._is_hub:
            self.adjust_links()
            hubs = list_names(self.links.preferred_hubs)
            self._log.note("news_hub", is_hub=self._is_hub, hubs=hubs)

    async def _keep_connected(self, link: Link, address: str) -> None:
        await keep_connected(link, address, self.members, self._log, self._run_link)

    async def _run_link(self, link: Link, stream: PeerStream) -> str:
        """Send updates, and receive those of a hub; return why the connection ended."""
        link.is_connected = True
        self._rounds.note_change()
        try:
            if link.role is not PeerRole.HUB:
                return await run_until_end(lambda: self._send_updates(link, stream))
            return await self._exchange_updates(link, stream)
        finally:
            link.is_connected = False
            self._rounds.note_change()
            with trio.CancelScope(shield=True):
                await stream.aclose()

    async def _schedule_updates(self) -> None:
        """Wake the links that have something to send, once per update interval.

        Others are not woken: of a hub's 43 links, 15 lead to standby hubs.
        """
        while True:
            await self._rounds.wait(
                self.list_links(), self.view, self.links.group, is_hub=self._is_hub
            )
            now = trio.current_time()
            self._check_hub(now)
            for link in self.list_links():
                if self._is_due(link, now):
                    link.is_due = True
                    link.wake()

    async def _send_updates(self, link: Link, stream: PeerStream) -> None:
        """Send a newly connected peer the full state, and then what changes.

        Urgent values are sent without the loads, 2.8 KB for 123 servers. Otherwise a
        hub would send its members all loads 30 times per second instead of 8.
        """
        link.is_due = True
        queue_full_state(link, self._handlers)
        while True:
            await send_urgent(self._sender_id, link, stream)
            if link.is_due:
                link.is_due = False
                now = trio.current_time()
                load = self._build_load(link, now)
                encode = self._loads.encode
                await send_digest(encode, self.links.group, link, stream, load)
                link.last_load, link.sent_at = load, now
            await link.wait()

    def _is_due(self, link: Link, now: float) -> bool:
        """Return whether a peer should be sent the load and the queued values."""
        if link.last_load is None or now >= link.sent_at + HEARTBEAT_SECONDS:
            return True
        if not self._needs_updates(link):
            return False
        if link.notices or link.cache_entries or link.tables:
            return True
        return self._build_load(link, now).loads != link.last_load.loads

    def _build_load(self, link: Link, now: float) -> InstanceLoad:
        return self._loads.build(link, now)

    def _list_receivers(self) -> list[Link]:
        self._rounds.note_change()  # The check follows once the value is queued.
        return [link for link in self.list_links() if self._needs_updates(link)]

    def _needs_updates(self, link: Link) -> bool:
        """Return whether a peer uses the updates on this link, not just heartbeats."""
        if link.role is PeerRole.OTHER_HUB:
            return is_first_candidate(link.name, self.links.other_hubs, self._outgoing)
        hub = self.view.find_hub(trio.current_time())
        return is_relied_on(link, hub, is_hub=self._is_hub)

    def _make_link(self, role: PeerRole, name: str) -> Link:
        interval = choose_update_interval(self.links.group)
        groups = len(self.links.other_hubs)
        return make_link(role, name, self.members.own.link_mbps, groups, interval)

    async def _serve_connection(self, raw: trio.SocketStream) -> None:
        """Serve a peer that has connected, until the connection ends."""
        enable_dead_peer_detection(raw.socket)
        stream = PeerStream(raw, self.members.secret, MAX_FRAME_BYTES)
        try:
            await stream.authenticate(is_server=True)
            first = await receive_first(stream)
            if isinstance(first, UpdateMessage):
                reason = await self._handle_updates(first, stream)
            else:
                serve = self._handlers.serve
                reason = await run_until_end(lambda: serve(first, stream))
        except PEER_ERRORS as error:
            reason = repr(error)
        finally:
            with trio.CancelScope(shield=True):
                await stream.aclose()
        self._log.note("peer_stream_ended", reason=reason)

    async def _handle_updates(self, first: UpdateMessage, stream: PeerStream) -> str:
        """Apply a peer's updates, and send a member some; return why the link ended."""
        self._apply(first)
        if first.scope == Scope.MEMBER:
            return await self._serve_member(first.sender, stream)
        return await run_until_end(lambda: self._receive_updates(stream))

    async def _serve_member(self, incarnation: str, stream: PeerStream) -> str:
        link = self._make_link(PeerRole.MEMBER, incarnation)
        self._own_members.append(link)
        try:
            return await self._exchange_updates(link, stream)
        finally:
            self._own_members.remove(link)

    async def _exchange_updates(self, link: Link, stream: PeerStream) -> str:
        return await run_until_end(
            lambda: self._send_updates(link, stream),
            lambda: self._receive_updates(stream),
        )

    async def _receive_updates(self, stream: PeerStream) -> None:
        while True:
            self._apply(await receive_update(stream))

    def _apply(self, message: UpdateMessage) -> None:
        try:
            if isinstance(message, PeerUpdate):
                self._apply_digest(message.sender, decode_update(message))
            elif isinstance(message, Notices):
                self._apply_notices(message.sender, *decode_notices(message))
            elif isinstance(message, CrashReport):
                self._add_crashes(message.sender, *decode_crashes(message))
            else:
                scope, update = decode_changes(message)
                # Its rows may change the links, and whether this instance is a hub.
                links = self._list_forwarding(scope, message.sender)
                if self._handlers.on_table(update):
                    self._send_on(links, tables=[update])
        except FrameError as error:
            self._log.note("peer_news_invalid", peer=message.sender, reason=str(error))

    def _add_crashes(
        self, sender: str, scope: Scope, crashes: list[ServerCrash]
    ) -> None:
        new = self._handlers.on_crashes(crashes, get_peer_name(sender))
        self._forward(scope, sender, crashes=new)

    def _apply_notices(
        self, sender: str, scope: Scope, notices: list[ServerNotice]
    ) -> None:
        for notice in notices:
            self._handlers.on_notice(notice)
        self._forward(scope, sender, notices)

    def _apply_digest(self, sender: str, digest: Digest) -> None:
        now = trio.current_time()
        scope = digest.scope
        key = f"group {digest.group}" if scope is Scope.GROUP else sender
        report = PeerReport(get_peer_name(sender), scope, now, digest.load)
        if self.view.add(key, report) and self._is_hub:
            self._rounds.note_change()
        self._retain_counted(now)
        if key in self._counted:
            self._table.note_peer_loads(key, digest.load.loads, now)
            for service, counts in digest.load.attempts.items():
                self._handlers.on_attempts(service, key, counts)
        for notice in digest.notices:
            self._handlers.on_notice(notice)
        for cache_entry in digest.cache_entries:
            self._handlers.on_cache_entry(cache_entry)
        self._forward(scope, sender, digest.notices, digest.cache_entries)

    def _retain_counted(self, now: float) -> None:
        counted = set(self.view.list_counted(now))
        if self._counted - counted:
            self._table.retain_peer_loads(counted)
            self._handlers.retain_peers(counted)
        if counted != self._counted:
            self._rounds.note_change()
        self._counted = counted

    def _forward(
        self,
        scope: Scope,
        sender: str,
        notices: Sequence[ServerNotice] = (),
        cache_entries: Sequence[CacheEntry] = (),
        tables: Sequence[TableUpdate] = (),
        crashes: Sequence[ServerCrash] = (),
    ) -> None:
        """Forward, as a hub, what other peers receive through this instance only."""
        if not (notices or cache_entries or tables or crashes):
            return
        self._rounds.note_change()
        for link in self._list_forwarding(scope, sender):
            link.add(notices, cache_entries, tables, crashes)
            if link.is_urgent and self._needs_updates(link):
                link.wake()

    def _list_forwarding(self, scope: Scope, sender: str) -> list[Link]:
        """Return the links to peers that receive values of a scope through this hub."""
        if not self._is_hub:
            return []
        links = [link for link in self._own_members if link.name != sender]
        if scope is Scope.MEMBER:
            others = self._outgoing.values()
            links += [o for o in others if o.role is PeerRole.OTHER_HUB]
        return links

    def _send_on(self, links: Sequence[Link], tables: Sequence[TableUpdate]) -> None:
        """Send updates of tables at once on links that were in use before them."""
        self._rounds.note_change()
        for link in links:
            link.add(tables=tables)
            link.wake()
