"""Directives in servers' answers: rate limit, leaving and backoff."""

from __future__ import annotations

__all__ = ["ServerDirectives"]

import random
from collections.abc import Callable
from typing import TYPE_CHECKING

import trio

from ashpond.clients.retryafter import REJECTIONS
from ashpond.decisions.ratelimits import (
    MAX_NOTICE_AGE_SECONDS,
    update_limit,
    update_limit_from_peer,
)
from ashpond.fleet.updates import (
    MAX_EXCLUDED_SECONDS,
    LimitNotice,
    ServerNotice,
    make_leaving_notice,
)

if TYPE_CHECKING:
    from ashpond.controllers.directory import ServerState, ServerTable
    from ashpond.decisions.ratelimits import RateLimit
    from ashpond.gateway.calls import AnswerHeaders
    from ashpond.gateway.decisionlog import DecisionLog

# Takes a server whose limit has changed, and its previous limit (requests a second).
OnLimit = Callable[["ServerState", float | None], None]
MISDIRECTED_REQUEST = 421
# Longer backoffs are cut to this (seconds).
MAX_BACKOFF_SECONDS = 3600.0
# A random jitter keeps instances that were rejected together from retrying at once: up
# to this share of the backoff, but at most ``MAX_JITTER_SECONDS``.
JITTER_SHARE = 0.1
MAX_JITTER_SECONDS = 0.5


class ServerDirectives:
    """The handler of directives in answers and notices, which notifies the peers.

    :param count_event: counts an event by its name.
    :param send_notice: sends a notice to the peers.
    :param on_limit: is called when a limit has changed.
    :param on_leaving: is called when a server has announced that it leaves.
    """

    def __init__(
        self,
        table: ServerTable,
        log: DecisionLog,
        count_event: Callable[[str], None],
        send_notice: Callable[[ServerNotice], None],
        rng: random.Random,
        on_limit: OnLimit | None = None,
        on_leaving: Callable[[], None] | None = None,
    ):
        self._table = table
        self._log = log
        self._count_event = count_event
        self._send_notice = send_notice
        self._rng = rng
        self._on_limit = on_limit
        self._on_leaving = on_leaving

    def apply_answer(
        self, state: ServerState, status: int, marks: AnswerHeaders, sent_at: float
    ) -> None:
        """Apply the directives in an answer, unless they are another server's.

        :param sent_at: when the request was sent, on this process's clock (seconds).
        """
        if marks.server_id not in (None, state.info.id):
            return
        # A 421 without an id may come from another server at the address, so that a
        # missing limit does not lift the known one.
        is_from_server = status != MISDIRECTED_REQUEST or marks.server_id is not None
        self._apply_limit(state, marks, sent_at, is_from_server=is_from_server)
        if marks.is_leaving_invalid:
            self._note(state, "server_leaving_invalid")
        if marks.is_leaving:
            self._note_leaving(state, "answer")
        if status in REJECTIONS:
            self._apply_backoff(state, marks)
        self._apply_max_rejections(state, marks)

    def _apply_max_rejections(self, state: ServerState, marks: AnswerHeaders) -> None:
        """Record that the servers of a service bear few rejections."""
        if marks.is_max_rejections_invalid:
            self._note(state, "server_brittle_invalid")
        limit = marks.max_rejections
        if limit is None:
            return
        now = trio.current_time()
        service = state.info.service
        is_new = self._table.brittle.find_limit(service, now) != limit
        if is_new:
            self._note(state, "server_brittle", max_rejections=limit, source="answer")
        if self._table.brittle.note_answer(service, limit, now):
            info = state.info
            self._send_notice(
                ServerNotice(
                    info.id,
                    "",
                    0,
                    0.0,
                    started_ms=info.started_ms,
                    max_rejections=limit,
                )
            )

    def apply_notice(self, state: ServerState, notice: ServerNotice) -> None:
        """Apply the directives in a peer's notice."""
        if notice.is_leaving:
            self._note_leaving(state, "peer")
        if notice.limit is not None:
            self._apply_limit_notice(state, notice.limit)
        if notice.max_rejections is not None:
            now = trio.current_time()
            service, limit = state.info.service, notice.max_rejections
            if self._table.brittle.find_limit(service, now) != limit:
                self._note(state, "server_brittle", max_rejections=limit, source="peer")
            self._table.brittle.note_peer(service, limit, now)

    def _apply_limit_notice(self, state: ServerState, limit: LimitNotice) -> None:
        now = trio.current_time()
        updated = update_limit_from_peer(state.rate_limit, limit.rate, limit.age, now)
        self._set_limit(state, updated, "peer")

    def _apply_limit(
        self,
        state: ServerState,
        marks: AnswerHeaders,
        sent_at: float,
        *,
        is_from_server: bool,
    ) -> None:
        if marks.is_limit_invalid:
            self._note(state, "server_limit_invalid")
        if marks.rate_limit is None and (marks.is_limit_invalid or not is_from_server):
            return
        now = trio.current_time()
        known = state.rate_limit
        updated = update_limit(known, marks.rate_limit, sent_at, now)
        self._set_limit(state, updated, "answer")
        if updated.rate == known.rate:
            self._resend_raised_limit(state, sent_at, now)
            return
        if not _is_lower(updated, known):
            state.limit_raised_at = now
        self._send_limit(state, now - sent_at)

    def _resend_raised_limit(
        self, state: ServerState, sent_at: float, now: float
    ) -> None:
        """Send a raised or lifted limit a second time, once it is confirmed.

        A peer that received an answer with the previous limit at that time ignores the
        first notice, because it cannot determine which of the two is older.
        """
        raised_at = state.limit_raised_at
        if raised_at is not None and sent_at >= raised_at + 2 * MAX_NOTICE_AGE_SECONDS:
            state.limit_raised_at = None
            self._send_limit(state, now - sent_at)

    def _set_limit(self, state: ServerState, limit: RateLimit, source: str) -> None:
        previous_rate = state.rate_limit.rate
        state.rate_limit = limit
        if limit.rate == previous_rate:
            return
        state.limit_raised_at = None
        self._note(
            state, "server_limit", rate=limit.rate, before=previous_rate, source=source
        )
        if self._on_limit is not None:
            self._on_limit(state, previous_rate)

    def _note_leaving(self, state: ServerState, source: str) -> None:
        if state.is_leaving:
            return
        self._table.note_leaving(state)
        self._note(state, "server_leaving", source=source)
        if self._on_leaving is not None:
            self._on_leaving()
        if source == "answer":
            info = state.info
            self._send_notice(make_leaving_notice(info.id, info.started_ms))

    def _apply_backoff(self, state: ServerState, marks: AnswerHeaders) -> None:
        """Apply the backoff that a server asks this instance for, with jitter."""
        if marks.is_backoff_invalid:
            self._note(state, "server_backoff_invalid")
        if marks.backoff is None:
            return
        now = trio.current_time()
        seconds = min(marks.backoff, MAX_BACKOFF_SECONDS)
        jitter = self._rng.uniform(0, min(MAX_JITTER_SECONDS, seconds * JITTER_SHARE))
        until = now + seconds + jitter
        if until > state.backoff_until:
            state.backoff_until = until
            self._note(
                state,
                "server_backoff",
                asked=marks.backoff,
                seconds=round(until - now, 3),
            )

    def _send_limit(self, state: ServerState, age: float) -> None:
        info = state.info
        limit = LimitNotice(state.rate_limit.rate, min(age, MAX_EXCLUDED_SECONDS))
        self._send_notice(
            ServerNotice(info.id, "", 0, 0.0, started_ms=info.started_ms, limit=limit)
        )

    def _note(self, state: ServerState, event: str, **fields: object) -> None:
        self._count_event(event)
        info = state.info
        self._log.note(
            event, server=info.id, service=info.service, born=info.started_ms, **fields
        )


def _is_lower(limit: RateLimit, known: RateLimit) -> bool:
    if limit.rate is None:
        return False
    return known.rate is None or limit.rate < known.rate
