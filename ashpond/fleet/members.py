"""The instances of the fleet, and the secret that they share, as the store has them."""

from __future__ import annotations

__all__ = ["MEMBERS_TABLE", "Members"]

import secrets
from collections.abc import Callable
from typing import NamedTuple

import msgspec
import orjson
import trio

from ashpond.addresses import parse_address
from ashpond.bounds import Amount
from ashpond.controllers.invalidrows import InvalidRows
from ashpond.decisions.eras import EraState
from ashpond.decisions.fleetlinks import Member
from ashpond.fleet.formermembers import FormerMembers
from ashpond.gateway.decisionlog import DecisionLog
from ashpond.gateway.store import Condition, InvalidRow, Row, Snapshot, Store
from ashpond.names import PlainName
from ashpond.outcomes import Conflict, Done, Unavailable, Unknown

MEMBERS_TABLE = "ashpond-members"
SECRET_TABLE = "ashpond-secret"
SECRET_KEY = "peers"
SECRET_BYTES = 24
INCARNATION_BYTES = 4
# After the store was restored from an older copy, instances missing from it have this
# long to write their rows again, and count as members until then (seconds).
RESTORE_SECONDS = 5.0
# An instance that starts after such a restore does not know who is missing. All that
# run have written their rows again by this time after its start (seconds).
UNKNOWN_MEMBERS_SECONDS = 2.0
# An older copy may lack the secret if the secret was agreed on less than this before
# the restore (seconds).
NEW_DEPLOYMENT_SECONDS = 60.0
# Delay before a failed read or write is retried (seconds).
RETRY_SECONDS = 0.3


class _MemberRow(msgspec.Struct):
    address: str
    failure_domain: PlainName = ""
    link_mbps: Amount = 0.0
    # Distinguishes the processes of one instance; earlier versions do not write it.
    incarnation: str = ""


class Registration(NamedTuple):
    """One process of an instance, as its row describes it."""

    member: Member
    incarnation: str


_MEMBER_DECODER = msgspec.json.Decoder(_MemberRow)


def decode_member_row(row: Row) -> Registration | InvalidRow | None:
    """Return the process described by a row; None for an instance that has left."""
    if row.value is None:
        return None
    try:
        table = _MEMBER_DECODER.decode(row.value)
        parse_address(table.address)
    except (msgspec.MsgspecError, ValueError, RecursionError) as error:
        return InvalidRow(row.table, row.key, row.version, str(error))
    member = Member(row.key, table.address, table.failure_domain, table.link_mbps)
    return Registration(member, table.incarnation)


def decode_secret(row: Row) -> str | InvalidRow:
    """Return the shared secret of the instances from its row."""
    try:
        secret = (row.value or b"").decode("ascii")
    except UnicodeDecodeError as error:
        return InvalidRow(row.table, row.key, row.version, str(error))
    if len(secret) != SECRET_BYTES * 2:
        return InvalidRow(
            row.table, row.key, row.version, "the secret has the wrong length"
        )
    return secret


class Members:
    """The rows of all instances, including this one, and the secret that they share.

    :param on_change: called after a change of the members.
    :param invalid_rows: records rows that cannot be decoded; they add no instance.
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
        self._is_registered = False
        self._incarnation = secrets.token_hex(INCARNATION_BYTES)
        self._own_version: int | None = None
        self._replaced: set[str] = set()
        self._agreed_at = float("-inf")
        self._incarnations: dict[str, str] = {}
        self._former_members = FormerMembers()
        # Members whose rows are missing from the restored store, and until when they
        # count as members.
        self._missing: dict[str, float] = {}
        self._is_restored = False
        # Until when the table may lack rows of members that this instance never knew.
        self._may_lack_until = float("-inf")
        self._pending_writes: list[tuple[list[Condition], Row]] = []
        self._needs_secret = False
        self._restore_needed = trio.Event()
        store.era.on_change(self._begin_era)

    def _begin_era(self) -> None:
        """Prepare for a table that lacks rows and has rows of instances that left."""
        self._is_restored = True
        if (
            self.secret
            and trio.current_time() - self._agreed_at < NEW_DEPLOYMENT_SECONDS
        ):
            self._needs_secret = True
            self._restore_needed.set()

    async def restore_rows(self) -> None:
        """Write rows that a restored store lacks, until cancelled."""
        while True:
            await self._restore_needed.wait()
            self._restore_needed = trio.Event()
            if self._needs_secret:
                self._needs_secret = False
                await self._restore_secret()
            writes, self._pending_writes = self._pending_writes, []
            for conditions, row in writes:
                outcome = await self._store.write(conditions, [row])
                if not isinstance(outcome, Done | Conflict):
                    self._pending_writes.append((conditions, row))
                elif isinstance(outcome, Done) and row.key == self.own.name:
                    self._own_version = outcome.value
            if self._pending_writes:
                await trio.sleep(RETRY_SECONDS)
                self._restore_needed.set()

    async def _restore_secret(self) -> None:
        """Write the known secret if the store has none, and adopt the stored one."""
        row = Row(SECRET_TABLE, SECRET_KEY, self.secret.encode(), 0)
        await self._store.write([Condition(SECRET_TABLE, SECRET_KEY, 0)], [row])
        outcome = await self._store.read(SECRET_TABLE)
        if not isinstance(outcome, Done):
            self._needs_secret = True
            await trio.sleep(RETRY_SECONDS)
            self._restore_needed.set()
            return
        for stored_row in outcome.value.rows:
            found = decode_secret(stored_row)
            if stored_row.key == SECRET_KEY and isinstance(found, str):
                self.secret = found

    def begin(self, state: EraState) -> None:
        """Record what missing rows mean when this instance starts."""
        if state is EraState.UNSETTLED:
            self._may_lack_until = trio.current_time() + UNKNOWN_MEMBERS_SECONDS

    def may_lack_members(self) -> bool:
        """Return whether there may be more instances than the known ones."""
        return trio.current_time() < self._may_lack_until

    def count(self) -> int:
        """Return the number of instances, this one included."""
        return max(1, len(self.by_name))

    async def register(self) -> None:
        """Write the row of this instance to the members table."""
        row = self._make_own_row()
        self._is_registered = True
        while self._own_version is None:
            outcome = await self._store.write([], [row])
            if isinstance(outcome, Done):
                self._own_version = outcome.value
            else:
                await trio.sleep(RETRY_SECONDS)

    def _make_own_row(self) -> Row:
        table = self.own._asdict() | {"incarnation": self._incarnation}
        del table["name"]
        return Row(MEMBERS_TABLE, self.own.name, orjson.dumps(table), 0)

    async def leave(self) -> None:
        """Remove this instance from the members table, if the store answers.

        Only the row of this process is removed: the store may perform the removal after
        the next process of this instance has registered.
        """
        self._is_registered = False
        # Without an acknowledged registration, a conflict shows whether there is a row.
        outcome = await self._remove_own(self._own_version or 0)
        if isinstance(outcome, Conflict):
            version = self._find_own_version(outcome)
            if version is not None:
                outcome = await self._remove_own(version)
        if not isinstance(outcome, Done):
            self._log.note("leave_not_recorded", outcome=str(outcome))

    async def _remove_own(
        self, version: int
    ) -> Done | Conflict | Unavailable | Unknown:
        condition = Condition(MEMBERS_TABLE, self.own.name, version)
        row = Row(MEMBERS_TABLE, self.own.name, None, 0)
        return await self._store.write([condition], [row])

    def _find_own_version(self, conflict: Conflict) -> int | None:
        """Return the present version of this process's row, if it is stored."""
        stored: Row | None = conflict.current.get(self.own.name)
        found = None if stored is None else decode_member_row(stored)
        if stored is None or not isinstance(found, Registration):
            return None
        return stored.version if found.incarnation == self._incarnation else None

    async def agree_secret(self) -> None:
        """Read the secret that all instances share; the first instance creates it."""
        self._agreed_at = trio.current_time()
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
                # Instances that know the previous secret keep using it. Without a new
                # one, an instance that starts could never connect to a peer.
                self._invalid_rows.note(found)
                await self._make_secret(found.version)
            else:
                self.secret = found

    async def _make_secret(self, version: int) -> None:
        """Write a new secret if the row is still at ``version``, 0 for no row."""
        new_secret = secrets.token_hex(SECRET_BYTES)
        row = Row(SECRET_TABLE, SECRET_KEY, new_secret.encode(), 0)
        condition = Condition(SECRET_TABLE, SECRET_KEY, version)
        written = await self._store.write([condition], [row])
        if isinstance(written, Done):
            self.secret = new_secret
        elif not isinstance(written, Conflict):
            await trio.sleep(RETRY_SECONDS)

    def apply_rows(self, snapshot: Snapshot, is_whole: bool, as_of: float) -> None:
        """Apply rows of the members table.

        :param is_whole: whether the snapshot is the whole table, not only changes.
        """
        before = dict(self.by_name)
        if is_whole:
            self.by_name = self._prepare_whole(snapshot)
        for row in snapshot.rows:
            self._apply_row(row, is_restored=is_whole and self._is_restored)
        if is_whole and self._is_restored:
            self._is_restored = False
            self._restore_own(snapshot)
        self._log.note(
            "members",
            count=len(self.by_name),
            joined=sorted(self.by_name.keys() - before.keys()),
            left=sorted(before.keys() - self.by_name.keys()),
        )
        self._on_change()

    def _apply_row(self, row: Row, *, is_restored: bool) -> None:
        found = decode_member_row(row)
        if isinstance(found, InvalidRow):
            self._invalid_rows.note(found)
            # This instance knows its own row even if the stored one is invalid.
            is_own = row.key == self.own.name
            found = Registration(self.own, self._incarnation) if is_own else None
        else:
            self._invalid_rows.clear(row.table, row.key)
        self._missing.pop(row.key, None)
        if found is None:
            self.by_name.pop(row.key, None)
            self._record_former_member(row.key)
            self._note_removed(row.key, row.version)
        elif self._has_left(row.key, found, is_restored=is_restored):
            condition = Condition(row.table, row.key, row.version)
            self._pending_writes.append(([condition], row._replace(value=None)))
            self._restore_needed.set()
            self._log.note("member_row_outdated", name=row.key)
        else:
            self.by_name[row.key] = found.member
            self._incarnations[row.key] = found.incarnation
            self._former_members.discard(row.key, found.incarnation)
            self._replace_predecessor(row, found)

    def _replace_predecessor(self, row: Row, found: Registration) -> None:
        """Write the own row again over a late registration of an earlier process.

        Each incarnation is replaced once, so that two running processes of the same
        name do not replace each other forever.
        """
        if row.key != self.own.name or found.incarnation == self._incarnation:
            return
        if self._own_version is None or not self._is_registered:
            return
        if row.version < self._own_version or found.incarnation in self._replaced:
            return
        self._replaced.add(found.incarnation)
        condition = Condition(row.table, row.key, row.version)
        self._pending_writes.append(([condition], self._make_own_row()))
        self._restore_needed.set()
        self._log.note("member_row_replaced", incarnation=found.incarnation)

    def _note_removed(self, name: str, version: int) -> None:
        """Register again if another instance has removed the row of this process.

        All others take this process for one that has left, so the row names another
        incarnation.
        """
        if name != self.own.name or not self._is_registered:
            return
        if self._own_version is None or version <= self._own_version:
            return
        self._incarnation = secrets.token_hex(INCARNATION_BYTES)
        condition = Condition(MEMBERS_TABLE, name, 0)
        self._pending_writes.append(([condition], self._make_own_row()))
        self._restore_needed.set()
        self._log.note("own_member_row_removed", version=version)

    def _has_left(self, name: str, found: Registration, *, is_restored: bool) -> bool:
        """Return whether a row is that of a process that has left."""
        if self._is_registered and found.incarnation == self._incarnation:
            return False
        incarnation = found.incarnation
        return self._former_members.includes(name, incarnation, is_restored=is_restored)

    def _prepare_whole(self, snapshot: Snapshot) -> dict[str, Member]:
        """Return the instances that are known besides the rows of a whole table."""
        if self._is_restored:
            return self._keep_missing(snapshot)
        stored_names = {row.key for row in snapshot.rows}
        kept = {n: m for n, m in self.by_name.items() if n in self._missing}
        for name in self.by_name.keys() - stored_names - kept.keys():
            self._record_former_member(name)
            self._note_removed(name, snapshot.version)
        return kept

    def _keep_missing(self, snapshot: Snapshot) -> dict[str, Member]:
        """Return the known instances whose rows the restored table lacks."""
        stored_names = {row.key for row in snapshot.rows}
        missing = {n: m for n, m in self.by_name.items() if n not in stored_names}
        until = trio.current_time() + RESTORE_SECONDS
        self._missing.update(dict.fromkeys(missing, until))
        return missing

    def _restore_own(self, snapshot: Snapshot) -> None:
        """Schedule a write of this instance's row if the table lacks it."""
        own = self._make_own_row()
        is_stored = any((r.key, r.value) == (own.key, own.value) for r in snapshot.rows)
        if self._is_registered and not is_stored:
            self._pending_writes.append(([], own))
        if self._pending_writes:
            self._restore_needed.set()

    def _record_former_member(self, name: str) -> None:
        self._former_members.add(name, self._incarnations.pop(name, None))

    def expire(self) -> None:
        """Remove instances that have not written their rows again in time."""
        now = trio.current_time()
        expired_names = [name for name, until in self._missing.items() if now >= until]
        for name in expired_names:
            del self._missing[name]
            if name != self.own.name:
                self.by_name.pop(name, None)
        if expired_names:
            self._log.note("members_not_back", names=sorted(expired_names))
            self._on_change()
