"""Typed updates between instances, and their conversion to and from messages."""

from __future__ import annotations

__all__ = [
    "MAX_EXCLUDED_SECONDS",
    "Digest",
    "LimitNotice",
    "ServerNotice",
    "UpdateHandlers",
    "decode_changes",
    "decode_crashes",
    "decode_notices",
    "decode_update",
    "encode_changes",
    "encode_crashes",
    "encode_notices",
    "encode_update",
    "make_leaving_notice",
]

from collections.abc import Awaitable, Callable, Container
from typing import Annotated, Any, NamedTuple

import msgspec

from ashpond.bounds import Amount, Count
from ashpond.clients.fields import convert_list, convert_table
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
from ashpond.decisions.budget import AttemptCounts
from ashpond.decisions.cacheindex import CacheEntry
from ashpond.decisions.loads import Load
from ashpond.decisions.quarantine import ServerCrash
from ashpond.errors import FrameError
from ashpond.fleet.view import InstanceLoad, Scope
from ashpond.gateway.store import Row

# Upper bound of exclusions that peers may report, far above any real one (seconds).
# A server excluded for ever by a faulty message would never get a request again.
MAX_EXCLUDED_SECONDS = 600.0
# Stands in messages for the era of a store that reports none.
NO_ERA = -1
Seconds = Annotated[float, msgspec.Meta(ge=0, le=MAX_EXCLUDED_SECONDS)]


class LimitNotice(NamedTuple):
    """The rate limit in an answer of a backend server.

    ``rate`` is in requests per second, None if the answer gave none; ``age`` is the
    time since the answered request was sent (seconds).
    """

    rate: Amount | None
    age: Seconds


class ServerNotice(NamedTuple):
    """A change at a backend server that the sender has observed.

    ``version`` is that of the weights, 0 if the notice is not about them.
    ``excluded_seconds`` is how long the server should get no new requests; 0 readmits
    it. ``is_unreached`` means that the sender could not connect, which says nothing
    about weights orders. ``started_ms`` identifies the server's start that the notice
    refers to, None if the sender does not know it. ``max_rejections`` is the number of
    rejections a second above which servers of the service fall over. The other fields
    have no meaning in a notice with a ``limit``, ``is_leaving`` or ``max_rejections``.
    """

    server_id: str
    model: str
    version: Count
    excluded_seconds: Seconds
    is_unreached: bool = False
    started_ms: Count | None = None
    limit: LimitNotice | None = None
    is_leaving: bool = False
    max_rejections: Amount | None = None


def make_leaving_notice(server_id: str, started_ms: int | None) -> ServerNotice:
    """Return the notice that a start of a server leaves."""
    return ServerNotice(server_id, "", 0, 0.0, started_ms=started_ms, is_leaving=True)


class Digest(NamedTuple):
    """One regular update: a load with its scope, and queued notices and cache entries.

    ``group`` is the sender's group, empty in a flat fleet.
    """

    scope: Scope
    group: str
    load: InstanceLoad
    notices: list[ServerNotice]
    cache_entries: list[CacheEntry]


async def end_placements(first: PlacementQuery, stream: PeerStream) -> None:
    """End the connection of a peer that takes this instance for a coordinator.

    :raises FrameError: always.
    """
    raise FrameError("this instance places no requests of others")


async def end_tunnel(first: TunnelRequest, stream: PeerStream) -> None:
    """End the connection of a peer that takes this instance for a relay.

    :raises FrameError: always.
    """
    raise FrameError("this instance relays nothing")


async def end_streams(first: StreamQuery, stream: PeerStream) -> None:
    """End the connection of a peer that takes this instance for a keeper of origins.

    :raises FrameError: always.
    """
    raise FrameError("this instance keeps no origins of streams")


async def end_contact(first: ContactQuery, stream: PeerStream) -> None:
    """End the connection of a peer that asks for contacts to backend servers.

    :raises FrameError: always.
    """
    raise FrameError("this instance sends no requests to servers")


async def end_retry_rights(first: RetryRightsQuery, stream: PeerStream) -> None:
    """End the connection of a peer that asks for rights to retry.

    :raises FrameError: always.
    """
    raise FrameError("this instance grants no rights to retry")


class UpdateHandlers(NamedTuple):
    """Callbacks for received updates, and for the values that this instance sends.

    ``on_crashes`` gets the crashes in a message and the sender's name, and returns
    those that are new; ``list_crashes`` returns all crashes for a peer that has just
    connected. ``retain_peers`` gets the keys of the reports that together cover the
    fleet. ``on_table`` returns whether the table update should be forwarded.
    ``serve_allowances`` answers a peer that asks this instance for allowances, until
    its connection ends. ``serve_placements`` does so for a peer that asks for servers.
    ``list_versions`` returns the versions of tables for a peer that has just connected.
    ``list_leaving`` returns notices of the leaving servers for such a peer.
    ``serve_tunnel`` relays a peer's connection to a backend server until it ends.
    ``serve_streams`` keeps the origins of a peer's streams and answers what it asks.
    ``serve_contact`` reports to a peer whether backend servers answer here.
    ``serve_retry_rights`` grants a peer rights to retry until its connection ends.
    """

    on_notice: Callable[[ServerNotice], None]
    on_cache_entry: Callable[[CacheEntry], None]
    list_attempts: Callable[[], dict[str, AttemptCounts]]
    on_attempts: Callable[[str, str, AttemptCounts], None]
    retain_peers: Callable[[Container[str]], None]
    on_table: Callable[[TableUpdate], bool]
    on_crashes: Callable[[list[ServerCrash], str], list[ServerCrash]]
    list_crashes: Callable[[], list[ServerCrash]]
    serve_allowances: Callable[[AllowanceQuery, PeerStream], Awaitable[None]]
    serve_placements: Callable[[PlacementQuery, PeerStream], Awaitable[None]] = (
        end_placements
    )
    list_versions: Callable[[], list[TableUpdate]] = list
    serve_tunnel: Callable[[TunnelRequest, PeerStream], Awaitable[None]] = end_tunnel
    serve_streams: Callable[[StreamQuery, PeerStream], Awaitable[None]] = end_streams
    serve_contact: Callable[[ContactQuery, PeerStream], Awaitable[None]] = end_contact
    serve_retry_rights: Callable[[RetryRightsQuery, PeerStream], Awaitable[None]] = (
        end_retry_rights
    )
    list_leaving: Callable[[], list[ServerNotice]] = list

    async def serve(
        self,
        first: AllowanceQuery
        | PlacementQuery
        | StreamQuery
        | ContactQuery
        | RetryRightsQuery
        | TunnelRequest,
        stream: PeerStream,
    ) -> None:
        """Serve a peer whose first message is a query, until its connection ends.

        :raises FrameError: if the peer sends an invalid message, or is not served.
        """
        if isinstance(first, PlacementQuery):
            await self.serve_placements(first, stream)
        elif isinstance(first, TunnelRequest):
            await self.serve_tunnel(first, stream)
        elif isinstance(first, StreamQuery):
            await self.serve_streams(first, stream)
        elif isinstance(first, ContactQuery):
            await self.serve_contact(first, stream)
        elif isinstance(first, RetryRightsQuery):
            await self.serve_retry_rights(first, stream)
        else:
            await self.serve_allowances(first, stream)


class _Change(NamedTuple):
    """One row of a :class:`TableChanges` message, without its table."""

    key: str
    value: bytes | None
    version: Count


def encode_update(sender: str, digest: Digest) -> PeerUpdate:
    """Return the message for a digest.

    :param sender: the incarnation of the sending instance.
    """
    return PeerUpdate(
        sender,
        digest.scope,
        digest.group,
        {server_id: list(load) for server_id, load in digest.load.loads.items()},
        [_encode_notice(notice) for notice in digest.notices],
        [list(cache_entry) for cache_entry in digest.cache_entries],
        {service: list(counts) for service, counts in digest.load.attempts.items()},
    )


def decode_update(update: PeerUpdate) -> Digest:
    """Return the digest in a message.

    :raises FrameError: if a value in it is not valid.
    """
    try:
        return Digest(
            Scope(update.scope),
            update.group,
            InstanceLoad(
                convert_table(update.loads, Load),
                convert_table(update.attempts, AttemptCounts),
            ),
            _decode_notices(update.notices),
            convert_list(update.cache_entries, CacheEntry),
        )
    except ValueError as error:
        raise FrameError(f"invalid update: {error!r}") from error


def encode_notices(sender: str, scope: Scope, notices: list[ServerNotice]) -> Notices:
    """Return a message with notices alone."""
    return Notices(sender, scope, [_encode_notice(notice) for notice in notices])


def _encode_notice(notice: ServerNotice) -> list[object]:
    """Return a notice as a list; without its last field, earlier versions read it."""
    values: list[object] = list(notice)
    return values[:-1] if notice.max_rejections is None else values


def _decode_notices(values: list[Any]) -> list[ServerNotice]:
    last = len(ServerNotice._fields) - 1
    complete = [
        [*value, None] if isinstance(value, list) and len(value) == last else value
        for value in values
    ]
    return convert_list(complete, ServerNotice)


def decode_notices(message: Notices) -> tuple[Scope, list[ServerNotice]]:
    """Return the scope of a message and its notices.

    :raises FrameError: if a value in it is not valid.
    """
    try:
        notices = _decode_notices(message.notices)
        return Scope(message.scope), notices
    except ValueError as error:
        raise FrameError(f"invalid notices: {error!r}") from error


def encode_crashes(
    sender: str, scope: Scope, crashes: list[ServerCrash]
) -> CrashReport:
    """Return a message with crashes of backend servers."""
    return CrashReport(sender, scope, [list(crash) for crash in crashes])


def decode_crashes(message: CrashReport) -> tuple[Scope, list[ServerCrash]]:
    """Return the scope of a message and its crashes.

    :raises FrameError: if a value in it is not valid.
    """
    try:
        crashes = convert_list(message.crashes, ServerCrash)
        return Scope(message.scope), crashes
    except ValueError as error:
        raise FrameError(f"invalid crashes: {error!r}") from error


def encode_changes(sender: str, scope: Scope, update: TableUpdate) -> TableChanges:
    """Return the message that passes changes of a table on."""
    rows = [[row.key, row.value, row.version] for row in update.rows]
    return TableChanges(
        sender,
        scope,
        update.table,
        update.after,
        update.version,
        update.store_time,
        rows,
        NO_ERA if update.era is None else update.era,
        update.is_whole,
    )


def decode_changes(changes: TableChanges) -> tuple[Scope, TableUpdate]:
    """Return the scope of a message and the table update in it.

    :raises FrameError: if a value in it is not valid.
    """
    try:
        scope = Scope(changes.scope)
        after = msgspec.convert(changes.after, Count)
        version = msgspec.convert(changes.version, Count)
        store_time = msgspec.convert(changes.store_time, Amount)
        if changes.era != NO_ERA:
            msgspec.convert(changes.era, Count)
        rows = tuple(
            Row(changes.table, *change)
            for change in convert_list(changes.rows, _Change)
        )
    except ValueError as error:
        raise FrameError(f"invalid table changes: {error!r}") from error
    era = None if changes.era == NO_ERA else changes.era
    return scope, TableUpdate(
        changes.table, after, version, store_time, rows, era, changes.is_whole
    )
