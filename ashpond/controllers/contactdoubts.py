"""Decide whether late answers show that this instance is cut off."""

from __future__ import annotations

__all__ = ["DoubtResolver"]

from collections.abc import Awaitable, Callable
from typing import TYPE_CHECKING

import trio

from ashpond.decisions.contact import (
    ContactMonitor,
    PeerContact,
    do_peers_reach_servers,
)
from ashpond.outcomes import MaybeRun, NotRun

if TYPE_CHECKING:
    import random

    from ashpond.controllers.directory import BackendServer, ServerTable
    from ashpond.gateway.decisionlog import DecisionLog


class DoubtResolver:
    """Asks an engine, and then peers, when answers of several servers are late.

    It also asks an engine when servers have failed in a row: they may have crashed.

    :param read_report: reads the state of an engine, which waits in no queue.
    :param ask_peers: returns the contacts of some peers.
    """

    def __init__(
        self,
        table: ServerTable,
        log: DecisionLog,
        rng: random.Random,
        read_report: Callable[[BackendServer], Awaitable[object]],
        ask_peers: Callable[[], Awaitable[list[PeerContact]]],
    ):
        self.contact: ContactMonitor | None = None
        self._table = table
        self._log = log
        self._rng = rng
        self._read_report = read_report
        self._ask_peers = ask_peers
        self._is_asking = False

    async def resolve(self) -> bool:
        """Return whether the instance is cut off from now on."""
        contact = self.contact
        if contact is None or self._is_asking:
            return False
        self._is_asking = True
        try:
            return await self._resolve(contact)
        finally:
            self._is_asking = False

    async def _resolve(self, contact: ContactMonitor) -> bool:
        servers = contact.list_failed()
        if await self._reach_late_engine(servers):
            self._log.note("answers_late", servers=servers, is_reached=True)
            contact.note_answer(trio.current_time())
            return False
        contacts = await self._ask_peers()
        do_reach = do_peers_reach_servers(contacts)
        self._log.note(
            "answers_late",
            servers=servers,
            is_reached=False,
            peers=[[round(value, 3) for value in answer] for answer in contacts],
            do_peers_reach=do_reach,
        )
        return contact.resolve_doubt(trio.current_time(), do_peers_reach=do_reach)

    async def check_contact(self, note_reached: Callable[[], None]) -> None:
        """Call ``note_reached`` if an engine answers: those that failed have crashed.

        An instance with few requests would otherwise go without an answer for long.
        """
        if await self._reach_other_engine():
            note_reached()

    async def _reach_other_engine(self) -> bool:
        """Return whether an engine answers that is no evidence of a partition."""
        failed = set(self.contact.list_failed()) if self.contact else set()
        engines = [
            state
            for state in self._table.by_id.values()
            if state.weights and state.is_present() and state.info.id not in failed
        ]
        if not engines:
            return False
        return await self._answers(self._rng.choice(engines).info)

    async def _answers(self, server: BackendServer) -> bool:
        report = await self._read_report(server)
        return not isinstance(report, NotRun | MaybeRun)

    async def _reach_late_engine(self, servers: list[str]) -> bool:
        """Return whether an engine whose answers are late answers at all.

        An answer of an engine may wait for long behind the prompts of others.
        """
        failed = (self._table.by_id.get(name) for name in servers)
        engines = [state for state in failed if state is not None and state.weights]
        if not engines:
            return False
        return await self._answers(self._rng.choice(engines).info)
