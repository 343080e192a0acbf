"""The instances there are, as their rows in the store tell."""

from __future__ import annotations

__all__ = ["MEMBERS_TABLE", "Members"]

import secrets
from collections.abc import Callable

import orjson
import trio

from ashpond.decisions.fleetlinks import Member
from ashpond.gateway.decisionlog import DecisionLog
from ashpond.gateway.store import Condition, Row, Snapshot, Store
from ashpond.outcomes import Conflict, Done

MEMBERS_TABLE = "ashpond-members"
SECRET_TABLE = "ashpond-secret"
SECRET_KEY = "peers"
SECRET_BYTES = 24
# A write or read that failed is tried again after this (seconds).
RETRY_SECONDS = 0.3


class Members:
    """The rows of all instances, the own one included, and the secret that they share.

    :param on_change: is called after a change of the members.
    """

    def __init__(
        self, own: Member, store: Store, log: DecisionLog, on_change: Callable[[], None]
    ):
        self.own = own
        self.by_name: dict[str, Member] = {}
        self.secret = ""
        self._store = store
        self._log = log
        self._on_change = on_change

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
            elif outcome.value.rows:
                self.secret = outcome.value.rows[0].value.decode()
            else:
                await self._make_secret()

    async def _make_secret(self) -> None:
        made = secrets.token_hex(SECRET_BYTES)
        row = Row(SECRET_TABLE, SECRET_KEY, made.encode(), 0)
        condition = Condition(SECRET_TABLE, SECRET_KEY, 0)
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
            if row.value is None:
                self.by_name.pop(row.key, None)
                continue
            table = orjson.loads(row.value)
            self.by_name[row.key] = Member(
                row.key,
                table["address"],
                table.get("failure_domain", ""),
                table.get("link_mbps", 0.0),
            )
        self._log.note(
            "members",
            count=len(self.by_name),
            joined=sorted(self.by_name.keys() - before.keys()),
            left=sorted(before.keys() - self.by_name.keys()),
        )
        self._on_change()
