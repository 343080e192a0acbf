"""The links to the peers that an instance sends updates to, and their queues."""

from __future__ import annotations

__all__ = [
    "PEER_ERRORS",
    "SCOPE_BY_ROLE",
    "FirstMessage",
    "Link",
    "PeerRole",
    "UpdateMessage",
    "get_peer_name",
    "is_first_candidate",
    "is_relied_on",
    "limit_cache_entries",
    "list_required_links",
    "make_link",
    "receive_first",
    "receive_update",
    "run_until_end",
    "should_act_as_hub",
]

from collections import deque
from collections.abc import Awaitable, Callable, Iterable, Mapping, Sequence
from enum import Enum, auto

import trio

from ashpond.clients.peer import (
    AllowanceQuery,
    CrashReport,
    Notices,
    PeerStream,
    PeerUpdate,
    PlacementQuery,
    TableChanges,
)
from ashpond.clients.peermessages import (
    ContactQuery,
    RetryRightsQuery,
    StreamQuery,
    TunnelRequest,
)
from ashpond.controllers.feeds import TableUpdate
from ashpond.decisions.cacheindex import CacheEntry
from ashpond.decisions.fleetlinks import Links, Member
from ashpond.decisions.quarantine import ServerCrash
from ashpond.errors import FrameError
from ashpond.fleet.intervals import HEARTBEAT_SECONDS
from ashpond.fleet.updates import ServerNotice
from ashpond.fleet.view import InstanceLoad, Scope

# Queue of cache entries for a peer without a connection. For each entry it misses,
# engines may have to read a prompt part again (entries).
MAX_PENDING_CACHE_ENTRIES = 500
# Limits of the same queue in groups, where a hub forwards the cache entries of all
# instances (entries per update). A fleet of 195 reports 336 entries per second; at 8
# updates per second, a limit of 12 entries per update omits two of three.
MIN_GROUP_CACHE_ENTRIES = 12
MAX_GROUP_CACHE_ENTRIES = 40
# Share of the rate of its machine's network link that a hub may use for cache entries.
CACHE_ENTRIES_SHARE = 0.05
# Size of a cache entry in a message: ids of a server and a prompt part, a salt, a start
# of the server (bytes).
CACHE_ENTRY_BYTES = 64
BYTES_PER_MBIT = 125_000
# Queue of changes of tables; a peer that misses one reads the store (entries).
MAX_PENDING_TABLES = 30
# Queue of crashes; a peer that reconnects is sent all known crashes (entries).
MAX_PENDING_CRASHES = 500
# The messages of updates.
UpdateMessage = PeerUpdate | Notices | CrashReport | TableChanges
# The messages that a connection may begin with.
FirstMessage = (
    UpdateMessage
    | AllowanceQuery
    | PlacementQuery
    | StreamQuery
    | ContactQuery
    | RetryRightsQuery
    | TunnelRequest
)
# Exceptions that end a connection between instances.
PEER_ERRORS = (
    OSError,
    FrameError,
    trio.TooSlowError,
    trio.BrokenResourceError,
    trio.ClosedResourceError,
)


class PeerRole(Enum):
    """The role of a peer as seen from this instance."""

    EQUAL = auto()
    HUB = auto()
    MEMBER = auto()
    OTHER_HUB = auto()


# What the updates to a peer of each role cover.
SCOPE_BY_ROLE = {
    PeerRole.EQUAL: Scope.OWN,
    PeerRole.HUB: Scope.MEMBER,
    PeerRole.MEMBER: Scope.FLEET,
    PeerRole.OTHER_HUB: Scope.GROUP,
}


def limit_cache_entries(
    role: PeerRole, link_mbps: float, groups: int, interval: float
) -> int:
    """Return how many cache entries an instance may send a peer with one update.

    :param link_mbps: the rate of its machine's network link, 0 if unknown.
    :param groups: the number of other groups; its own group has about as many members.
    :param interval: the interval between two updates (seconds).
    """
    if role is PeerRole.EQUAL:
        return MAX_PENDING_CACHE_ENTRIES
    bytes_per_update = link_mbps * BYTES_PER_MBIT * CACHE_ENTRIES_SHARE * interval
    links = 2 * max(1, groups)
    fitting_entries = int(bytes_per_update / (links * CACHE_ENTRY_BYTES))
    return max(MIN_GROUP_CACHE_ENTRIES, min(MAX_GROUP_CACHE_ENTRIES, fitting_entries))


class Link:
    """One peer that receives updates, and what is queued for it.

    ``name`` is the peer's name, or its incarnation for a member of this instance's
    group. ``last_load`` is the load in the last update, sent at ``sent_at``; ``is_due``
    means that another one should be sent. Only the first ``max_cache_entries`` queued
    cache entries are kept.
    """

    def __init__(
        self,
        role: PeerRole,
        name: str,
        max_cache_entries: int = MAX_PENDING_CACHE_ENTRIES,
    ):
        self.role = role
        self.name = name
        self.max_cache_entries = max_cache_entries
        self.scope = trio.CancelScope()
        self.is_connected = False
        self.last_load: InstanceLoad | None = None
        self.sent_at = float("-inf")
        self.is_due = False
        self._signal = trio.Event()
        self.notices: list[ServerNotice] = []
        self.cache_entries: list[CacheEntry] = []
        self.tables: deque[TableUpdate] = deque(maxlen=MAX_PENDING_TABLES)
        self.crashes: deque[ServerCrash] = deque(maxlen=MAX_PENDING_CRASHES)

    @property
    def is_urgent(self) -> bool:
        """Whether anything is queued that should not wait for the next update."""
        return bool(self.notices or self.tables or self.crashes)

    def add(
        self,
        notices: Iterable[ServerNotice] = (),
        cache_entries: Iterable[CacheEntry] = (),
        tables: Iterable[TableUpdate] = (),
        crashes: Iterable[ServerCrash] = (),
    ) -> None:
        """Queue values for the peer."""
        self.crashes.extend(crashes)
        self.notices.extend(notices)
        self.tables.extend(tables)
        self.cache_entries.extend(cache_entries)
        self._limit_cache_entries()

    def wake(self) -> None:
        """Resume the sender, which waits in :meth:`wait`."""
        self._signal.set()

    async def wait(self) -> None:
        """Wait for the next call of :meth:`wake`."""
        await self._signal.wait()
        self._signal = trio.Event()

    def take_pending(self) -> tuple[list[ServerNotice], list[CacheEntry]]:
        """Remove and return the queued notices and cache entries."""
        notices, self.notices = self.notices, []
        cache_entries, self.cache_entries = self.cache_entries, []
        return notices, cache_entries

    def requeue(
        self, notices: list[ServerNotice], cache_entries: list[CacheEntry]
    ) -> None:
        """Requeue what was taken and not sent, before what was queued since."""
        self.notices[:0] = notices
        self.cache_entries[:0] = cache_entries
        self._limit_cache_entries()

    def _limit_cache_entries(self) -> None:
        del self.cache_entries[self.max_cache_entries :]


def make_link(
    role: PeerRole, name: str, link_mbps: float, groups: int, interval: float
) -> Link:
    """Return a link with its limit of cache entries.

    Parameters are as for :func:`limit_cache_entries`.
    """
    return Link(role, name, limit_cache_entries(role, link_mbps, groups, interval))


def list_required_links(links: Links, *, is_hub: bool) -> set[tuple[PeerRole, Member]]:
    """Return the peers that an instance links to, with their roles."""
    required = {(PeerRole.EQUAL, member) for member in links.mesh_peers}
    required |= {(PeerRole.HUB, member) for member in links.preferred_hubs}
    if is_hub:
        others = [m for candidates in links.other_hubs for m in candidates]
        required |= {(PeerRole.OTHER_HUB, member) for member in others}
    return required


def should_act_as_hub(links: Links, hub: str | None, waited: float) -> bool:
    """Return whether an instance should act as the hub of its group.

    :param hub: the incarnation of the hub whose reports it uses, if there is one.
    :param waited: how long it has been in this group (seconds).
    """
    if not links.group or not links.is_candidate:
        return False
    if not links.preferred_hubs:
        return True
    return hub is None and waited > HEARTBEAT_SECONDS * 2


def is_relied_on(link: Link, hub: str | None, *, is_hub: bool) -> bool:
    """Return whether an equal, a member or a hub uses the updates on its link.

    :param hub: the incarnation of the hub that this instance uses, if there is one.
    :param is_hub: whether this instance acts as the hub of its group.
    """
    if link.role is PeerRole.MEMBER:
        return is_hub
    if link.role is PeerRole.HUB:
        return hub is None or get_peer_name(hub) == link.name
    return True


def is_first_candidate(
    name: str,
    other_hubs: Iterable[Sequence[Member]],
    links: Mapping[tuple[PeerRole, Member], Link],
) -> bool:
    """Return whether every candidate preferred over this one is disconnected.

    :param name: a candidate for the hub of another group.
    :param other_hubs: the candidates of each other group, the preferred one first.
    """
    for candidates in other_hubs:
        names = [member.name for member in candidates]
        if name not in names:
            continue
        before = candidates[: names.index(name)]
        found = [links.get((PeerRole.OTHER_HUB, member)) for member in before]
        return not any(link and link.is_connected for link in found)
    return True


async def run_until_end(*tasks: Callable[[], Awaitable[None]]) -> str:
    """Run tasks until the first one ends; return the errors that ended them."""
    reasons: list[str] = []
    async with trio.open_nursery() as nursery:

        async def run(task: Callable[[], Awaitable[None]]) -> None:
            try:
                await task()
            except PEER_ERRORS as error:
                reasons.append(repr(error))
            nursery.cancel_scope.cancel()

        for task in tasks:
            nursery.start_soon(run, task)
    return ", ".join(reasons)


def get_peer_name(incarnation: str) -> str:
    """Return the name of the instance of an incarnation."""
    return incarnation.rpartition("#")[0]


async def receive_update(stream: PeerStream) -> UpdateMessage:
    """Return the next update; other messages are ignored."""
    while True:
        message = await stream.receive()
        if isinstance(message, UpdateMessage):
            return message


async def receive_first(stream: PeerStream) -> FirstMessage:
    """Return the first update, or the first query of a peer that has connected."""
    while True:
        message = await stream.receive()
        if isinstance(message, FirstMessage):
            return message
