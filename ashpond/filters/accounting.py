"""Count the outcome of every call, for metrics and the error budget burn report."""

from __future__ import annotations

__all__ = ["make_accounting"]

from typing import TYPE_CHECKING

import trio

from ashpond.call import Call, Filter, Handler, Reply

if TYPE_CHECKING:
    from ashpond.controllers.burn import BurnController
    from ashpond.controllers.configuration import ConfigurationController
    from ashpond.metrics import Metrics

SERVER_ERROR = 500
TOO_MANY_REQUESTS = 429


def make_accounting(
    configuration: ConfigurationController, burn: BurnController, metrics: Metrics
) -> Filter:
    """Return the filter that counts the outcome of every call when it exits."""

    async def count_outcome(call: Call, following: Handler) -> Reply:
        reply = await following(call)
        call.exits.callback(record_outcome, call, reply.status)
        return reply

    def record_outcome(call: Call, status: int) -> None:
        progress = call.progress
        labels = {"service": progress.service, "status": str(status)}
        metrics.requests.inc(labels)
        service = configuration.current.services.get(progress.service)
        if service is None or not progress.team or status == TOO_MANY_REQUESTS:
            return
        first = progress.first_token_at or trio.current_time()
        seconds = first - call.arrived
        answered = status < SERVER_ERROR and not progress.failed
        bound = service.objective.first_token_seconds
        in_time = answered and seconds <= bound
        if answered:
            metrics.first_token.observe({"service": progress.service}, seconds)
        burn.note(progress.service, progress.team, answered=answered, in_time=in_time)

    return count_outcome
