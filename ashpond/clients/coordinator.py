"""Encoding of the messages between an instance and an allowance coordinator."""

from __future__ import annotations

__all__ = [
    "AllowanceRequest",
    "AllowanceDecision",
    "ReturnedAllowance",
    "decode_answer",
    "decode_query",
    "decode_accrued_time",
    "encode_answer",
    "encode_query",
]

from collections.abc import Sequence
from typing import Annotated, NamedTuple

import msgspec
from msgspec import Meta

from ashpond.bounds import MAX_NUMBER, Amount, Count
from ashpond.clients.fields import convert_list
from ashpond.clients.peer import AllowanceAnswer, AllowanceQuery
from ashpond.decisions.allowances import AllowanceUnit, TimeSpan
from ashpond.errors import FrameError

# A time on a process's monotonic clock. The bounds keep infinity and NaN out of
# accounts.
ClockSeconds = Annotated[float, Meta(ge=-float(MAX_NUMBER), le=float(MAX_NUMBER))]


class AllowanceRequest(NamedTuple):
    """A client request that needs part of its team's allowance.

    ``number`` identifies it on its connection. ``rate`` and ``burst`` are the limit in
    configuration ``version``, the newest one known to the sending instance. ``timeout``
    is how long the client waits, in seconds.
    """

    number: Count
    version: Count
    team: str
    unit: AllowanceUnit
    rate: Amount
    burst: Amount
    cost: Count
    urgency: Count
    timeout: Amount


class ReturnedAllowance(NamedTuple):
    """A grant that is given back because its request did not run."""

    team: str
    unit: AllowanceUnit
    cost: Count


class AllowanceDecision(NamedTuple):
    """The coordinator's decision on one request.

    ``left`` is the remaining allowance of the team, ``share`` the coordinator's share
    of the fleet's accrued time.
    """

    number: Count
    is_granted: bool
    retry_after: Amount | None
    left: Amount
    share: Amount


class _TimeSpanFields(NamedTuple):
    # Starts may be negative: a coordinator's clock that has just started shows less
    # than the time accrued before.
    begin: ClockSeconds
    end: ClockSeconds


def encode_query(
    sender: str,
    hash_slots: int,
    hash_slot: int,
    accrued: TimeSpan | None,
    requests: Sequence[AllowanceRequest] = (),
    returned: Sequence[ReturnedAllowance] = (),
    *,
    wants_time: bool = False,
) -> AllowanceQuery:
    """Return the message that requests allowances or only transfers accrued time."""
    return AllowanceQuery(
        sender,
        hash_slots,
        hash_slot,
        wants_time,
        [] if accrued is None else list(accrued),
        [list(request) for request in requests],
        [list(entry) for entry in returned],
    )


def decode_query(
    message: AllowanceQuery,
) -> tuple[list[AllowanceRequest], list[ReturnedAllowance]]:
    """Return the requests and the returned allowances of a message.

    :raises FrameError: if a field is not valid.
    """
    try:
        requests = convert_list(message.requests, AllowanceRequest)
        return requests, convert_list(message.returned, ReturnedAllowance)
    except ValueError as error:
        raise FrameError(f"invalid allowance query: {error!r}") from error


def decode_accrued_time(message: AllowanceQuery) -> TimeSpan | None:
    """Return the accrued time that a message transfers, on the coordinator's clock.

    :raises FrameError: if it is not valid.
    """
    if not message.accrued:
        return None
    try:
        return TimeSpan(*msgspec.convert(message.accrued, _TimeSpanFields))
    except ValueError as error:
        raise FrameError(f"invalid accrued time: {error!r}") from error


def encode_answer(
    now: float, decisions: Sequence[AllowanceDecision] = ()
) -> AllowanceAnswer:
    """Return the message that answers a query."""
    return AllowanceAnswer(now, [list(decision) for decision in decisions])


def decode_answer(message: AllowanceAnswer) -> list[AllowanceDecision]:
    """Return a coordinator's decisions.

    :raises FrameError: if a decision or the time of the clock is not valid.
    """
    try:
        msgspec.convert(message.now, ClockSeconds)
        return convert_list(message.answers, AllowanceDecision)
    except ValueError as error:
        raise FrameError(f"invalid allowance answer: {error!r}") from error
