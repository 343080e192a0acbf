"""What backend servers say of themselves in their answers."""

from __future__ import annotations

__all__ = ["ServerStatements"]

from collections.abc import Callable
from typing import TYPE_CHECKING

import trio

from ashpond.decisions.ratelimits import weigh_limit

if TYPE_CHECKING:
    from ashpond.controllers.directory import ServerState
    from ashpond.gateway.calls import AnswerMarks
    from ashpond.gateway.decisionlog import DecisionLog

MISDIRECTED = 421


class ServerStatements:
    """Takes what answers say of the servers that sent them.

    :param count: counts a statement by its kind.
    """

    def __init__(self, log: DecisionLog, count: Callable[[str], None]):
        self._log = log
        self._count = count

    def take_answer(
        self, state: ServerState, status: int, marks: AnswerMarks, sent_at: float
    ) -> None:
        """Take what an answer says of its server.

        :param sent_at: when the request of the answer was sent.
        """
        if marks.server_id not in (None, state.info.id):
            return
        # Another server may be at the address and not tell its id.
        is_certain = status != MISDIRECTED or marks.server_id is not None
        self._take_limit(state, marks, sent_at, is_certain=is_certain)

    def _take_limit(
        self,
        state: ServerState,
        marks: AnswerMarks,
        sent_at: float,
        *,
        is_certain: bool,
    ) -> None:
        if marks.is_limit_invalid:
            self._note(state, "server_limit_invalid")
        if marks.rate_limit is None and (marks.is_limit_invalid or not is_certain):
            return
        known = state.rate_limit
        now = trio.current_time()
        state.rate_limit = weigh_limit(known, marks.rate_limit, sent_at, now)
        if state.rate_limit.rate != known.rate:
            rate = state.rate_limit.rate
            self._note(state, "server_limit", rate=rate, before=known.rate)

    def _note(self, state: ServerState, event: str, **fields: object) -> None:
        self._count(event)
        info = state.info
        self._log.note(
            event, server=info.id, service=info.service, born=info.born, **fields
        )
