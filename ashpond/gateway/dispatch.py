"""Answer accepted calls, each with a loop of attempts at backend servers."""

from __future__ import annotations

__all__ = ["Dispatcher"]

from typing import TYPE_CHECKING

import trio

from ashpond.gateway.attemptloop import AttemptLoop
from ashpond.gateway.callprogress import CallProgress

if TYPE_CHECKING:
    from ashpond.gateway.admission import AcceptedCall
    from ashpond.gateway.callprogress import DispatchContext
    from ashpond.gateway.calls import IncomingCall, Reply


class Dispatcher:
    """Answers accepted calls, with an attempt loop for each."""

    def __init__(self, context: DispatchContext):
        self.context = context

    async def dispatch(
        self, call: IncomingCall, accepted: AcceptedCall, reply: Reply
    ) -> None:
        """Answer ``call``; on return ``reply`` is complete or aborted."""
        loop = AttemptLoop(
            self.context, CallProgress(self.context, call, accepted, reply)
        )
        async with self.context.quarantine.track_call(loop.call.fingerprint):
            await self._run(loop, accepted, reply)

    async def _run(
        self, loop: AttemptLoop, accepted: AcceptedCall, reply: Reply
    ) -> None:
        with self.context.grace.limit(accepted.deadline) as scope:
            if await loop.find_origin() and await loop.take_allowance():
                await loop.run()
        if not scope.cancelled_caught:
            return
        if loop.call.is_finished:
            # The deadline cancelled the sending of the last answer or refusal.
            await reply.abort()
        elif trio.current_time() < accepted.deadline:
            await loop.give_up_for_stop()
        else:
            await loop.give_up("the deadline has passed")
