"""What instances tell each other, as typed values and as messages."""

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
]

from collections.abc import Awaitable, Callable, Container
from typing import Annotated, NamedTuple

import msgspec

from ashpond.bounds import Amount, Count
from ashpond.clients.fields import convert_list, convert_table
from ashpond.clients.peer import (
    AllowanceAsk,
    News,
    Notices,
    PeerStream,
    ServerEndNews,
    TableChanges,
)
from ashpond.controllers.feeds import TableUpdate
from ashpond.decisions.budget import AttemptCounts
from ashpond.decisions.cacheindex import CacheEntry
from ashpond.decisions.loads import Load
from ashpond.decisions.quarantine import ServerCrash
from ashpond.errors import FrameError
from ashpond.fleet.view import InstanceLoad, Scope
from ashpond.gateway.store import Row

# Far more than any server is closed for; one that is told to be closed for ever would
# get nothing again (seconds).
MAX_EXCLUDED_SECONDS = 600.0
# In messages, for a store that tells no era.
NO_ERA = -1
Seconds = Annotated[float, msgspec.Meta(ge=0, le=MAX_EXCLUDED_SECONDS)]


class LimitNotice(NamedTuple):
    """The rate limit that an answer of a server named.

    ``rate`` is in requests a second, None if it named none; ``age`` is how long ago the
    request of that answer was sent.
    """

    rate: Amount | None
    age: Seconds


class ServerNotice(NamedTuple):
    """A change at a backend server that the sender knows first.

    ``version`` 0 tells nothing of the weights; ``closed_seconds`` is how long the
    server should get no new work, 0 that it may again. ``is_unreached`` tells
    that the sender could not connect, and nothing of orders. ``born`` is the start
    of the server that the sender speaks of, None if it knows none. A notice with a
    ``limit``, or of a server that ``is_leaving``, tells of nothing else.
    """

    server_id: str
    model: str
    version: Count
    excluded_seconds: Seconds
    is_unreached: bool = False
    started_ms: Count | None = None
    limit: LimitNotice | None = None
    is_leaving: bool = False


class Digest(NamedTuple):
    """One piece of news: whose work it is, the work, and what has happened.

    ``group`` is the sender's, empty in a flat fleet.
    """

    scope: Scope
    group: str
    load: InstanceLoad
    notices: list[ServerNotice]
    cache_entries: list[CacheEntry]


class UpdateHandlers(NamedTuple):
    """What is done with the news of others, and what is told of this instance.

    ``on_ends`` gets the ends that a sender tells of and returns those that are new;
    ``list_ends`` returns what a peer is told that has just connected. ``keep_peers``
    gets the senders whose reports add up to the whole fleet's; ``on_table`` returns
    whether it should be forwarded. ``serve_asker`` answers a peer that asks this
    instance for allowances, until its connection ends.
    """

    on_notice: Callable[[ServerNotice], None]
    on_cache_entry: Callable[[CacheEntry], None]
    list_attempts: Callable[[], dict[str, AttemptCounts]]
    on_attempts: Callable[[str, str, AttemptCounts], None]
    retain_peers: Callable[[Container[str]], None]
    on_table: Callable[[TableUpdate], bool]
    on_crashes: Callable[[list[ServerCrash], str], list[ServerCrash]]
    list_crashes: Callable[[], list[ServerCrash]]
    serve_allowances: Callable[[AllowanceAsk, PeerStream], Awaitable[None]]


class _Change(NamedTuple):
    """One row of a message of changes, without its table."""

    key: str
    value: bytes | None
    version: Count


def encode_update(sender: str, digest: Digest) -> News:
    """Return the message that tells a digest; ``sender`` is a life."""
    return News(
        sender,
        digest.scope,
        digest.group,
        {server_id: list(load) for server_id, load in digest.load.loads.items()},
        [list(notice) for notice in digest.notices],
        [list(cache_entry) for cache_entry in digest.cache_entries],
        {service: list(counts) for service, counts in digest.load.attempts.items()},
    )


def decode_update(update: News) -> Digest:
    """Return what a message tells.

    :raises FrameError: if it makes no sense.
    """
    try:
        return Digest(
            Scope(update.scope),
            update.group,
            InstanceLoad(
                convert_table(update.loads, Load),
                convert_table(update.sends, AttemptCounts),
            ),
            convert_list(update.notices, ServerNotice),
            convert_list(update.holdings, CacheEntry),
        )
    except ValueError as error:
        raise FrameError(f"news that make no sense: {error!r}") from error


def encode_notices(sender: str, scope: Scope, notices: list[ServerNotice]) -> Notices:
    """Return the message that tells notices alone."""
    return Notices(sender, scope, [list(notice) for notice in notices])


def decode_notices(message: Notices) -> tuple[Scope, list[ServerNotice]]:
    """Return the scope of a message, and the notices that it tells.

    :raises FrameError: if it makes no sense.
    """
    try:
        notices = convert_list(message.notices, ServerNotice)
        return Scope(message.scope), notices
    except ValueError as error:
        raise FrameError(f"notices that make no sense: {error!r}") from error


def encode_crashes(
    sender: str, scope: Scope, crashes: list[ServerCrash]
) -> ServerEndNews:
    """Return the message that tells of ends of servers."""
    return ServerEndNews(sender, scope, [list(crash) for crash in crashes])


def decode_crashes(message: ServerEndNews) -> tuple[Scope, list[ServerCrash]]:
    """Return the scope of a message, and the ends that it tells of.

    :raises FrameError: if it makes no sense.
    """
    try:
        crashes = convert_list(message.ends, ServerCrash)
        return Scope(message.scope), crashes
    except ValueError as error:
        raise FrameError(f"ends that make no sense: {error!r}") from error


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
    """Return the scope of a message, and the changes of a table that it holds.

    :raises FrameError: if it makes no sense.
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
        raise FrameError(f"changes that make no sense: {error!r}") from error
    era = None if changes.era == NO_ERA else changes.era
    return scope, TableUpdate(
        changes.table, after, version, store_time, rows, era, changes.is_whole
    )
