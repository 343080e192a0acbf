"""The instances there are, as their rows in the store tell."""

from __future__ import annotations

__all__ = ["MEMBERS_TABLE", "Members"]

import secrets
from collections.abc import Callable

import msgspec
import orjson
import trio

from ashpond.addresses import parse_address
from ashpond.decisions.fleetlinks import Member
from ashpond.gateway.decisionlog import DecisionLog
from ashpond.gateway.invalidrows import InvalidRows
from ashpond.gateway.store import Condition, InvalidRow, Row, Snapshot, Store
from ashpond.outcomes import Conflict, Done

MEMBERS_TABLE = "ashpond-members"
SECRET_TABLE = "ashpond-secret"
SECRET_KEY = "peers"
SECRET_BYTES = 24
# A write or read that failed is tried again after this (seconds).
RETRY_SECONDS = 0.3


class _MemberRow(msgspec.Struct):
    address: str
    failure_domain: str = ""
    link_mbps: float = 0.0


_MEMBER_DECODER = msgspec.json.Decoder(_MemberRow)


def decode_member_row(row: Row) -> Member | InvalidRow | None:
    """Return the instance that a row describes; None for one that has left."""
    if row.value is None:
        return None
    try:
        table = _MEMBER_DECODER.decode(row.value)
        parse_address(table.address)
    except (msgspec.MsgspecError, ValueError, RecursionError) as error:
        return InvalidRow(row.table, row.key, row.version, str(error))
    return Member(row.key, table.address, table.failure_domain, table.link_mbps)


def decode_secret(row: Row) -> str | InvalidRow:
    """Return the secret that instances share, as its row holds it."""
    try:
        secret = (row.value or b"").decode("ascii")
    except UnicodeDecodeError as error:
        return InvalidRow(row.table, row.key, row.version, str(error))
    if len(secret) != SECRET_BYTES * 2:
        return InvalidRow(row.table, row.key, row.version, "not of a secret's length")
    return secret


class Members:
    """The rows of all instances, the own one included, and the secret that they share.

    :param on_change: is called after a change of the members.
    :param invalid_rows: is told of rows that cannot be read, which name no instance.
    """

    def __init__(
        self,
        own: Member,
        store: Store,
        log: DecisionLog,
        on_change: Callable[[], None],
        invalid_rows: InvalidRows | None = None,
    ):
        self.own = own
        self.by_name: dict[str, Member] = {}
        self.secret = ""
        self._store = store
        self._log = log
        self._on_change = on_change
        self._invalid_rows = invalid_rows or InvalidRows(log)

    def count(self) -> int:
        """Return how many instances there are, this one included."""
        return max(1, len(self.by_name))

    async def register(self) -> None:
        """Enter this instance into the members' table."""
        table = self.own._asdict()
        del table["name"]
        value = orjson.dumps(table)
        row = Row(MEMBERS_TABLE, self.own.name, value, 0)
        while not isinstance(await self._store.write([], [row]), Done):
            await trio.sleep(RETRY_SECONDS)

    async def leave(self) -> None:
        """Take this instance out of the members' table, if the store answers."""
        row = Row(MEMBERS_TABLE, self.own.name, None, 0)
        outcome = await self._store.write([], [row])
        if not isinstance(outcome, Done):
            self._log.note("leave_not_recorded", outcome=str(outcome))

    async def agree_secret(self) -> None:
        """Learn the secret that all instances share; the first one makes it."""
        while not self.secret:
            outcome = await self._store.read(SECRET_TABLE)
            if not isinstance(outcome, Done):
                await trio.sleep(RETRY_SECONDS)
                continue
            rows = [row for row in outcome.value.rows if row.key == SECRET_KEY]
            if not rows:
                await self._make_secret(0)
                continue
            found = decode_secret(rows[0])
            if isinstance(found, InvalidRow):
                # Those that know the one before it go on with it; without a new one
                # no instance that starts would ever hear of another again.
                self._invalid_rows.note(found)
                await self._make_secret(found.version)
            else:
                self.secret = found

    async def _make_secret(self, version: int) -> None:
        """Write a secret in place of the row at ``version``, 0 for none."""
        made = secrets.token_hex(SECRET_BYTES)
        row = Row(SECRET_TABLE, SECRET_KEY, made.encode(), 0)
        condition = Condition(SECRET_TABLE, SECRET_KEY, version)
        written = await self._store.write([condition], [row])
        if isinstance(written, Done):
            self.secret = made
        elif not isinstance(written, Conflict):
            await trio.sleep(RETRY_SECONDS)

    def take_rows(self, snapshot: Snapshot, is_whole: bool, as_of: float) -> None:
        """Take over rows of the members' table."""
        before = dict(self.by_name)
        if is_whole:
            self.by_name = {}
        for row in snapshot.rows:
            found = decode_member_row(row)
            if isinstance(found, InvalidRow):
                self._invalid_rows.note(found)
                # What it should hold of this instance is known.
                found = self.own if row.key == self.own.name else None
            else:
                self._invalid_rows.clear(row.table, row.key)
            if found is None:
                self.by_name.pop(row.key, None)
            else:
                self.by_name[row.key] = found
        self._log.note(
            "members",
            count=len(self.by_name),
            joined=sorted(self.by_name.keys() - before.keys()),
            left=sorted(before.keys() - self.by_name.keys()),
        )
        self._on_change()
