"""Log and count the ends of calls and connections, and event loop delays."""

from __future__ import annotations

__all__ = ["ConnectionLog"]

from typing import TYPE_CHECKING

from ashpond.connections import ClosedConnection, CloseReason
from ashpond.loopdelay import LoopDelay, LoopWatch

if TYPE_CHECKING:
    from collections.abc import Callable

    from ashpond.gateway.decisionlog import DecisionLog
    from ashpond.gateway.ingress import CutCall
    from ashpond.gateway.metrics import GatewayMetrics

# Shorter delays of the event loop are counted, but not logged (seconds).
LOGGED_DELAY_SECONDS = 0.05
# Causes for which the close of an idle connection is counted, but not logged.
UNLOGGED_CAUSES = (CloseReason.CLIENT, CloseReason.LAST_ANSWER)


class ConnectionLog:
    """Counts every end of a call or connection; logs those that may need explaining.

    :param count_calls: returns the number of open calls.
    :param is_leaving: returns whether the instance is shutting down.
    :param watch: measures the delays of the event loop.
    """

    def __init__(
        self,
        log: DecisionLog,
        metrics: GatewayMetrics,
        count_calls: Callable[[], int],
        is_leaving: Callable[[], bool],
        watch: LoopWatch,
    ):
        self.watch = watch
        watch.note = self._note_delay
        self._log = log
        self._metrics = metrics
        self._count_calls = count_calls
        self._is_leaving = is_leaving

    def note_cut(self, cut: CutCall) -> None:
        """Record a call that ended before its answer was complete."""
        self._metrics.count_cut_call(cut.by)
        self._log.note(
            "call_cut",
            id=cut.request_id,
            by=cut.by,
            after=round(cut.after, 4),
            idle_before=cut.idle_before and round(cut.idle_before, 3),
            idle_limit=cut.idle_limit,
            failure=cut.failure,
            leaving=self._is_leaving(),
            loop_delay=self.watch.describe(),
        )

    def note_closed(self, closed: ClosedConnection) -> None:
        """Record a closed connection."""
        self._metrics.count_closed(closed.by)
        if closed.by in UNLOGGED_CAUSES and not closed.has_call:
            return
        self._log.note(
            "connection_closed",
            by=closed.by,
            requests=closed.requests,
            idle=round(closed.idle, 3),
            idle_limit=closed.idle_limit,
            has_call=closed.has_call,
            failure=closed.failure,
            loop_delay=self.watch.describe(),
        )

    def note_error(self, event: str, error: BaseException) -> None:
        """Record an error in accepting or closing connections."""
        self._log.note(event, error=repr(error))

    def _note_delay(self, delay: LoopDelay) -> None:
        self._metrics.observe_delay(delay.seconds)
        if delay.seconds >= LOGGED_DELAY_SECONDS:
            seconds = round(delay.seconds, 3)
            self._log.note("loop_delayed", seconds=seconds, calls=self._count_calls())
