"""The connection of one instance to a keeper of the origins of streams."""

from __future__ import annotations

__all__ = ["OriginLink"]

from collections.abc import Awaitable, Callable, Iterable
from typing import TYPE_CHECKING

import trio

from ashpond.clients.peermessages import StreamAnswer
from ashpond.clients.streamorigins import (
    AskedStream,
    BegunStreams,
    StreamFinding,
    decode_stream_answer,
    encode_stream_query,
)
from ashpond.fleet.links import PEER_ERRORS

if TYPE_CHECKING:
    from ashpond.clients.peer import PeerStream
    from ashpond.decisions.fleetlinks import Member
    from ashpond.gateway.decisionlog import DecisionLog

CONNECT_SECONDS = 0.3
SEND_SECONDS = 0.5
# A keeper that leaves a question unanswered for this time counts as lost (seconds).
ANSWER_SECONDS = 0.25
# How long a lost keeper is not tried again (seconds).
AVOID_SECONDS = 1.0
# A connection that is not used for this time is closed (seconds).
IDLE_SECONDS = 20.0


class _Question:
    def __init__(self, ask: AskedStream):
        self.ask = ask
        self.is_sent = False
        self.finding: StreamFinding | None = None
        self.answered = trio.Event()


class OriginLink:
    """Reports to one keeper where streams began, and queries where others did.

    Each new connection begins with all streams that the keeper should know.

    :param connect: opens a connection to the keeper.
    :param list_begun: returns all streams that the keeper should know of.
    """

    def __init__(
        self,
        member: Member,
        log: DecisionLog,
        connect: Callable[[Member], Awaitable[PeerStream]],
        list_begun: Callable[[Member], list[BegunStreams]],
    ):
        self.member = member
        self.scope = trio.CancelScope()
        self.is_closed = False
        self._log = log
        self._connect = connect
        self._list_begun = list_begun
        self._avoided_until = float("-inf")
        self._is_connected = False
        self._begun: list[BegunStreams] = []
        self._questions: dict[int, _Question] = {}
        self._number = 0
        self._wake = trio.Event()
        self._connection_scope = trio.CancelScope()

    def send_begun(self, begun: BegunStreams) -> None:
        """Send the origin of streams to the keeper."""
        if self._is_connected:
            self._begun.append(begun)
        self._wake.set()

    async def ask(self, key: bytes, services: Iterable[str]) -> StreamFinding | None:
        """Return what the keeper knows of a stream, None if it does not answer."""
        if trio.current_time() < self._avoided_until:
            return None
        self._number += 1
        question = _Question(AskedStream(self._number, key, list(services)))
        self._questions[self._number] = question
        self._wake.set()
        try:
            with trio.move_on_after(ANSWER_SECONDS) as scope:
                await question.answered.wait()
        finally:
            del self._questions[question.ask.number]
        if scope.cancelled_caught:
            self._connection_scope.cancel()
        return question.finding

    async def run(self) -> None:
        """Be connected while there is something to send, until idle or cancelled."""
        try:
            with self.scope:
                while await self._wait_for_work():
                    reason = await self._run_connection()
                    if reason is None:
                        return
                    self._lose(reason)
                    await trio.sleep(AVOID_SECONDS)
        finally:
            self.is_closed = True
            self._lose("", is_logged=False)

    def _lose(self, reason: str, *, is_logged: bool = True) -> None:
        """Leave the questions unanswered, and ask the keeper nothing for a while."""
        if is_logged:
            self._log.note("origin_keeper_lost", peer=self.member.name, reason=reason)
        self._avoided_until = trio.current_time() + AVOID_SECONDS
        for question in self._questions.values():
            question.answered.set()

    async def _wait_for_work(self) -> bool:
        """Return whether there was something to send before the link was idle."""
        with trio.move_on_after(IDLE_SECONDS) as scope:
            await self._wake.wait()
        self._wake = trio.Event()
        return not scope.cancelled_caught

    async def _run_connection(self) -> str | None:
        """Serve until the connection ends; return why, None if it was idle."""
        stream: PeerStream | None = None
        try:
            with trio.fail_after(CONNECT_SECONDS):
                stream = await self._connect(self.member)
            for question in self._questions.values():
                question.is_sent = False
            self._begun = self._list_begun(self.member)
            self._is_connected = True
            async with trio.open_nursery() as nursery:
                self._connection_scope = nursery.cancel_scope
                nursery.start_soon(self._receive, stream)
                await self._send_until_idle(stream)
                nursery.cancel_scope.cancel()
                return None
            return "no answer in time"
        except* PEER_ERRORS as errors:
            reason = repr(errors.exceptions[0])
        finally:
            self._is_connected = False
            if stream is not None:
                with trio.CancelScope(shield=True):
                    await stream.aclose()
        return reason

    async def _send_until_idle(self, stream: PeerStream) -> None:
        while True:
            begun, self._begun = self._begun, []
            unsent = [q for q in self._questions.values() if not q.is_sent]
            for question in unsent:
                question.is_sent = True
            if begun or unsent:
                asked = [question.ask for question in unsent]
                query = encode_stream_query(begun, asked)
                with trio.fail_after(SEND_SECONDS):
                    await stream.send(query)
                if self._begun or any(not q.is_sent for q in self._questions.values()):
                    continue
            if not await self._wait_for_work():
                return

    async def _receive(self, stream: PeerStream) -> None:
        while True:
            message = await stream.receive()
            if not isinstance(message, StreamAnswer):
                continue
            for finding in decode_stream_answer(message):
                question = self._questions.get(finding.number)
                if question is not None:
                    question.finding = finding
                    question.answered.set()
