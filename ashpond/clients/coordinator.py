"""What an instance and the keeper of allowances say to each other, as typed values."""

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

# A time on some process's clock; no other is added to an account (seconds).
ClockSeconds = Annotated[float, Meta(ge=-float(MAX_NUMBER), le=float(MAX_NUMBER))]


class AllowanceRequest(NamedTuple):
    """One request of a client that needs its team's allowance.

    ``number`` names it on its connection; ``rate`` and ``burst`` are the limit by the
    configuration ``version``, the newest that the asker knows. ``patience`` is in
    seconds.
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
    """What was granted to a request that has not run."""

    team: str
    unit: AllowanceUnit
    cost: Count


class AllowanceDecision(NamedTuple):
    """The keeper's answer to one request; fields are as in its decisions."""

    number: Count
    is_granted: bool
    retry_after: Amount | None
    left: Amount
    share: Amount


class _StoredTimeSpan(NamedTuple):
    # A keeper that has just started shows less than what was earned before.
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
    """Return the message that asks a keeper, or only hands it time."""
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
    """Return the requests of a message, and what it gives back.

    :raises FrameError: if it makes no sense.
    """
    try:
        requests = convert_list(message.requests, AllowanceRequest)
        return requests, convert_list(message.returned, ReturnedAllowance)
    except ValueError as error:
        raise FrameError(f"an ask that makes no sense: {error!r}") from error


def decode_accrued_time(message: AllowanceQuery) -> TimeSpan | None:
    """Return the time that a message hands over, on the keeper's clock.

    :raises FrameError: if it makes no sense.
    """
    if not message.accrued:
        return None
    try:
        return TimeSpan(*msgspec.convert(message.accrued, _StoredTimeSpan))
    except ValueError as error:
        raise FrameError(f"time that makes no sense: {error!r}") from error


def encode_answer(
    now: float, decisions: Sequence[AllowanceDecision] = ()
) -> AllowanceAnswer:
    """Return the message that answers an ask."""
    return AllowanceAnswer(now, [list(decision) for decision in decisions])


def decode_answer(message: AllowanceAnswer) -> list[AllowanceDecision]:
    """Return a keeper's verdicts.

    :raises FrameError: if they, or its clock, make no sense.
    """
    try:
        msgspec.convert(message.now, ClockSeconds)
        return convert_list(message.answers, AllowanceDecision)
    except ValueError as error:
        raise FrameError(f"an answer that makes no sense: {error!r}") from error
