"""The peers that one instance sends news to, and what is queued for each."""

from __future__ import annotations

__all__ = [
    "PEER_ERRORS",
    "SCOPE_BY_ROLE",
    "Link",
    "PeerRole",
    "UpdateMessage",
    "is_first_reachable",
    "is_relied_on",
    "limit_cache_entries",
    "list_required_links",
    "receive_first",
    "receive_update",
    "run_until_first_end",
    "strip_incarnation",
]

from collections import deque
from collections.abc import Awaitable, Callable, Iterable, Mapping, Sequence
from enum import Enum, auto

import trio

from ashpond.clients.peer import (
    AllowanceAsk,
    News,
    Notices,
    PeerStream,
    ServerEndNews,
    TableChanges,
)
from ashpond.controllers.feeds import TableUpdate
from ashpond.decisions.cacheindex import CacheEntry
from ashpond.decisions.fleetlinks import Links, Member
from ashpond.decisions.quarantine import ServerCrash
from ashpond.errors import FrameError
from ashpond.fleet.updates import ServerNotice
from ashpond.fleet.view import InstanceLoad, Scope

# For a peer that is away; what it misses costs it some reading (entries).
MAX_PENDING_CACHE_ENTRIES = 500
# The same for one turn in a group, where a hub passes on the holdings of all. Of 336 a
# second in a fleet of 195, with 8 turns a second, 12 a turn leave out two of three.
MIN_GROUP_CACHE_ENTRIES = 12
MAX_GROUP_CACHE_ENTRIES = 40
# What a hub may spend of its machine's network link on holdings (share of its rate).
CACHE_ENTRIES_SHARE = 0.05
# A holding in a message: ids of a server and a part, a salt, a start (bytes).
CACHE_ENTRY_BYTES = 64
BYTES_PER_MBIT = 125_000
# The same of changes in the store; a peer that misses one asks the store (entries).
MAX_PENDING_TABLES = 30
# The same of ends of servers; a peer that connects anew is told of all (entries).
MAX_PENDING_CRASHES = 500
# What peers tell of their work and of what they learn.
UpdateMessage = News | Notices | ServerEndNews | TableChanges
# Ways in which a connection between instances ends.
PEER_ERRORS = (
    OSError,
    FrameError,
    trio.TooSlowError,
    trio.BrokenResourceError,
    trio.ClosedResourceError,
)


class PeerRole(Enum):
    """What a peer is to this instance."""

    EQUAL = auto()
    HUB = auto()
    MEMBER = auto()
    OTHER_HUB = auto()


# Whose work each is told.
SCOPE_BY_ROLE = {
    PeerRole.EQUAL: Scope.OWN,
    PeerRole.HUB: Scope.MEMBER,
    PeerRole.MEMBER: Scope.FLEET,
    PeerRole.OTHER_HUB: Scope.GROUP,
}


def limit_cache_entries(
    role: PeerRole, link_mbps: float, groups: int, turn: float
) -> int:
    """Return how many holdings an instance tells a peer in a turn.

    :param link_mbps: what its machine's network link carries, 0 if that is not known.
    :param groups: how many other groups there are; about as many members has its own.
    :param turn: the time between two turns (seconds).
    """
    if role is PeerRole.EQUAL:
        return MAX_PENDING_CACHE_ENTRIES
    bytes_a_turn = link_mbps * BYTES_PER_MBIT * CACHE_ENTRIES_SHARE * turn
    links = 2 * max(1, groups)
    fitting = int(bytes_a_turn / (links * CACHE_ENTRY_BYTES))
    return max(MIN_GROUP_CACHE_ENTRIES, min(MAX_GROUP_CACHE_ENTRIES, fitting))


class Link:
    """One peer that is told.

    ``name`` is the peer's, or its life's for a member of this instance's group.
    ``sent`` is the work that it was told last, at ``sent_at``; ``is_due`` tells that
    it is to be told anew. Of holdings that wait for a turn, the first
    ``max_holdings`` are kept.
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
        self.sent: InstanceLoad | None = None
        self.sent_at = float("-inf")
        self.is_due = False
        self._signal = trio.Event()
        self.notices: list[ServerNotice] = []
        self.cache_entries: list[CacheEntry] = []
        self.tables: deque[TableUpdate] = deque(maxlen=MAX_PENDING_TABLES)
        self.crashes: deque[ServerCrash] = deque(maxlen=MAX_PENDING_CRASHES)

    @property
    def is_urgent(self) -> bool:
        """Whether there is something that should not wait for the next turn."""
        return bool(self.notices or self.tables or self.crashes)

    def add(
        self,
        notices: Iterable[ServerNotice] = (),
        cache_entries: Iterable[CacheEntry] = (),
        tables: Iterable[TableUpdate] = (),
        crashes: Iterable[ServerCrash] = (),
    ) -> None:
        """Keep news until the next turn."""
        self.crashes.extend(crashes)
        self.notices.extend(notices)
        self.tables.extend(tables)
        self.cache_entries.extend(cache_entries)
        self._limit_cache_entries()

    def wake(self) -> None:
        """Have what there is told now."""
        self._signal.set()

    async def wait(self) -> None:
        """Wait until there is something to tell."""
        await self._signal.wait()
        self._signal = trio.Event()

    def take(self) -> tuple[list[ServerNotice], list[CacheEntry]]:
        """Return the notices and holdings that wait, which are then told."""
        notices, self.notices = self.notices, []
        cache_entries, self.cache_entries = self.cache_entries, []
        return notices, cache_entries

    def put_back(
        self, notices: list[ServerNotice], cache_entries: list[CacheEntry]
    ) -> None:
        """Keep what was taken and not told, before what has come since."""
        self.notices[:0] = notices
        self.cache_entries[:0] = cache_entries
        self._limit_cache_entries()

    def _limit_cache_entries(self) -> None:
        del self.cache_entries[self.max_cache_entries :]


def list_required_links(links: Links, *, is_hub: bool) -> set[tuple[PeerRole, Member]]:
    """Return whom an instance links to, and as what."""
    required = {(PeerRole.EQUAL, member) for member in links.mesh_peers}
    required |= {(PeerRole.HUB, member) for member in links.preferred_hubs}
    if is_hub:
        others = [m for candidates in links.other_hubs for m in candidates]
        required |= {(PeerRole.OTHER_HUB, member) for member in others}
    return required


def is_relied_on(link: Link, hub: str | None, *, is_hub: bool) -> bool:
    """Return whether an equal, a member or a hub relies on what it is told.

    :param hub: the life of the hub that this instance goes by, if there is one.
    """
    if link.role is PeerRole.MEMBER:
        return is_hub
    if link.role is PeerRole.HUB:
        return hub is None or strip_incarnation(hub) == link.name
    return True


def is_first_reachable(
    name: str,
    other_hubs: Iterable[Sequence[Member]],
    links: Mapping[tuple[PeerRole, Member], Link],
) -> bool:
    """Return whether no candidate of its group goes before one that can be reached.

    :param other_hubs: the candidates of the other groups, the first choice first.
    """
    for candidates in other_hubs:
        names = [member.name for member in candidates]
        if name not in names:
            continue
        before = candidates[: names.index(name)]
        found = [links.get((PeerRole.OTHER_HUB, member)) for member in before]
        return not any(link and link.is_connected for link in found)
    return True


async def run_until_first_end(*tasks: Callable[[], Awaitable[None]]) -> str:
    """Run tasks until one of them fails; return the reason."""
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


def strip_incarnation(incarnation: str) -> str:
    """Return the name of the instance whose life this is."""
    return incarnation.rpartition("#")[0]


async def receive_update(stream: PeerStream) -> UpdateMessage:
    """Return the next news; other messages are passed over."""
    while True:
        message = await stream.receive()
        if isinstance(message, UpdateMessage):
            return message


async def receive_first(stream: PeerStream) -> UpdateMessage | AllowanceAsk:
    """Return what a peer that has connected begins with."""
    while True:
        message = await stream.receive()
        if isinstance(message, UpdateMessage | AllowanceAsk):
            return message
