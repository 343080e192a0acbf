"""What instances tell each other, as typed values and as messages."""

from __future__ import annotations

__all__ = [
    "Digest",
    "NewsHandlers",
    "ServerNotice",
    "decode_changes",
    "decode_news",
    "decode_notices",
    "encode_changes",
    "encode_news",
    "encode_notices",
]

from collections.abc import Callable, Container
from typing import NamedTuple

import msgspec

from ashpond.clients.peer import News, Notices, TableChanges
from ashpond.controllers.feeds import TableNews
from ashpond.decisions.budget import SendCounts
from ashpond.decisions.holdings import Holding
from ashpond.decisions.loads import Load
from ashpond.errors import FrameError
from ashpond.gateway.store import Row
from ashpond.news.fleetview import Scope, Work


class ServerNotice(NamedTuple):
    """A change at a backend server that the sender knows first.

    ``version`` 0 tells nothing of the weights; ``closed_seconds`` is how long the
    server should get no new work, 0 that it may again. ``is_unreached`` tells
    that the sender could not connect, and nothing of orders. ``born`` is the start
    of the server that the sender speaks of, None if it knows none.
    """

    server_id: str
    model: str
    version: int
    closed_seconds: float
    is_unreached: bool = False
    born: int | None = None


class Digest(NamedTuple):
    """One piece of news: whose work it is, the work, and what has happened.

    ``group`` is the sender's, empty in a flat fleet.
    """

    scope: Scope
    group: str
    work: Work
    notices: list[ServerNotice]
    holdings: list[Holding]


class NewsHandlers(NamedTuple):
    """What is done with the news of others, and what is told of this instance.

    ``keep_peers`` gets the senders whose reports add up to the whole fleet's;
    ``on_table`` returns whether it should be forwarded.
    """

    on_notice: Callable[[ServerNotice], None]
    on_holding: Callable[[Holding], None]
    list_sends: Callable[[], dict[str, SendCounts]]
    on_sends: Callable[[str, str, SendCounts], None]
    keep_peers: Callable[[Container[str]], None]
    on_table: Callable[[TableNews], bool]


class _Change(NamedTuple):
    """One row of a message of changes, without its table."""

    key: str
    value: bytes | None
    version: int


def encode_news(sender: str, digest: Digest) -> News:
    """Return the message that tells a digest; ``sender`` is a life."""
    return News(
        sender,
        digest.scope,
        digest.group,
        {server_id: list(load) for server_id, load in digest.work.loads.items()},
        [list(notice) for notice in digest.notices],
        [list(holding) for holding in digest.holdings],
        {service: list(counts) for service, counts in digest.work.sends.items()},
    )


def decode_news(news: News) -> Digest:
    """Return what a message tells.

    :raises FrameError: if it makes no sense.
    """
    try:
        return Digest(
            Scope(news.scope),
            news.group,
            Work(
                msgspec.convert(news.loads, dict[str, Load]),
                msgspec.convert(news.sends, dict[str, SendCounts]),
            ),
            msgspec.convert(news.notices, list[ServerNotice]),
            msgspec.convert(news.holdings, list[Holding]),
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
        notices = msgspec.convert(message.notices, list[ServerNotice])
        return Scope(message.scope), notices
    except ValueError as error:
        raise FrameError(f"notices that make no sense: {error!r}") from error


def encode_changes(sender: str, scope: Scope, news: TableNews) -> TableChanges:
    """Return the message that passes changes of a table on."""
    rows = [[row.key, row.value, row.version] for row in news.rows]
    return TableChanges(
        sender, scope, news.table, news.after, news.version, news.store_time, rows
    )


def decode_changes(changes: TableChanges) -> tuple[Scope, TableNews]:
    """Return the scope of a message, and the changes of a table that it holds.

    :raises FrameError: if it makes no sense.
    """
    try:
        scope = Scope(changes.scope)
        rows = tuple(
            Row(changes.table, key, value, version)
            for key, value, version in msgspec.convert(changes.rows, list[_Change])
        )
    except ValueError as error:
        raise FrameError(f"changes that make no sense: {error!r}") from error
    return scope, TableNews(
        changes.table, changes.after, changes.version, changes.store_time, rows
    )
