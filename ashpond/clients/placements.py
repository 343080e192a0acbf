"""Encoding of the messages between an instance and the coordinator of a shard."""

from __future__ import annotations

__all__ = [
    "DecisionState",
    "EndedPlacement",
    "HeldPlacement",
    "PlacementAsk",
    "PlacementDecision",
    "ReportedWait",
    "decode_placement_answer",
    "decode_placement_query",
    "encode_placement_answer",
    "encode_placement_query",
]

from collections.abc import Sequence
from enum import IntEnum
from typing import Annotated, Any, NamedTuple

import msgspec

from ashpond.bounds import MAX_NUMBER, Amount, Count
from ashpond.clients.fields import convert_list
from ashpond.clients.peer import PlacementAnswer, PlacementQuery
from ashpond.decisions.placementterms import PlacementEvent
from ashpond.decisions.prompts import PromptPart
from ashpond.errors import FrameError

# Below 0 for a refusal without a time to return.
DecisionSeconds = Annotated[float, msgspec.Meta(ge=-1, le=float(MAX_NUMBER))]


class DecisionState(IntEnum):
    """The state of an ask after a coordinator's answer."""

    GRANTED = 0
    QUEUED = 1
    REFUSED = 2


class PlacementAsk(NamedTuple):
    """A request that needs a server.

    ``number`` identifies it on its connection; a grant keeps it. ``waited`` is how long
    the request has waited, ``left`` the time until its deadline, ``longest_pause`` as
    in :class:`~ashpond.decisions.placementterms.PlacementTerms` (seconds).
    """

    number: Count
    model: str | None
    cache_namespace: str
    tokens: Count
    max_output_tokens: Count
    parts: list[PromptPart]
    is_resumable: bool
    is_suspected: bool
    excluded: list[str]
    urgency: Count
    team: str
    waited: Amount
    left: Amount
    longest_pause: Amount


class HeldPlacement(NamedTuple):
    """A request that is in flight at a server of the shard.

    ``unread_tokens``, ``held_tokens`` and ``bound`` are those of its
    :class:`~ashpond.decisions.loads.Load`; ``read_tokens`` are the prompt tokens that
    the server reads for it, before and after they are read. ``left`` is the time until
    its deadline (seconds).
    """

    number: Count
    start_id: str
    unread_tokens: Count
    held_tokens: Count
    read_tokens: Count
    bound: Count
    is_read: bool
    left: Amount


class EndedPlacement(NamedTuple):
    """What has happened to a granted placement."""

    number: Count
    event: PlacementEvent


class PlacementDecision(NamedTuple):
    """A coordinator's decision on an ask.

    A grant names the start of a server and what the request is sent with. ``seconds``
    is 0 for a grant, the estimated wait of a queued ask, and for a refusal the time
    after which to return, -1 if there is none.
    """

    number: Count
    state: DecisionState
    start_id: str | None = None
    weights_version: Count | None = None
    salt: str | None = None
    fetch_from: str | None = None
    cached_tokens: Count = 0
    fetch_tokens: Count = 0
    save_to: str | None = None
    seconds: DecisionSeconds = 0.0


class ReportedWait(NamedTuple):
    """The estimated wait of a new request of an urgency (seconds)."""

    urgency: Count
    seconds: Amount


def encode_placement_query(
    sender: str,
    service: str,
    shard: str,
    asks: Sequence[PlacementAsk] = (),
    held: Sequence[HeldPlacement] = (),
    ended: Sequence[EndedPlacement] = (),
) -> PlacementQuery:
    """Return the message that asks for servers and reports ended requests.

    A deadline that has just passed counts as now; the message would not be valid.
    """
    return PlacementQuery(
        sender,
        service,
        shard,
        [_list_fields(ask) for ask in asks],
        [list(entry._replace(left=max(0.0, entry.left))) for entry in held],
        [list(entry) for entry in ended],
    )


def _list_fields(ask: PlacementAsk) -> list[Any]:
    ask = ask._replace(waited=max(0.0, ask.waited), left=max(0.0, ask.left))
    return [*ask[:5], [list(part) for part in ask.parts], *ask[6:]]


def decode_placement_query(
    message: PlacementQuery,
) -> tuple[list[PlacementAsk], list[HeldPlacement], list[EndedPlacement]]:
    """Return the asks, held and ended placements of a message.

    :raises FrameError: if a field is not valid.
    """
    try:
        asks = convert_list(message.asks, PlacementAsk)
        _check_parts(asks)
        return (
            asks,
            convert_list(message.held, HeldPlacement),
            convert_list(message.ended, EndedPlacement),
        )
    except ValueError as error:
        raise FrameError(f"invalid placement query: {error!r}") from error


def _check_parts(asks: Sequence[PlacementAsk]) -> None:
    """Check the sizes of parts, whose sum is sent back in answers.

    :raises ValueError: if one is negative, or their sum is too large.
    """
    for ask in asks:
        sizes = [part.tokens for part in ask.parts]
        if min(sizes, default=0) < 0 or sum(sizes) > MAX_NUMBER:
            raise ValueError(f"the parts of ask {ask.number} have invalid sizes")


def encode_placement_answer(
    decisions: Sequence[PlacementDecision], waits: Sequence[ReportedWait] = ()
) -> PlacementAnswer:
    """Return the message that answers asks."""
    return PlacementAnswer(
        [list(decision) for decision in decisions], [list(wait) for wait in waits]
    )


def decode_placement_answer(
    message: PlacementAnswer,
) -> tuple[list[PlacementDecision], list[ReportedWait]]:
    """Return a coordinator's decisions and its estimated waits.

    :raises FrameError: if a field is not valid.
    """
    try:
        return (
            convert_list(message.answers, PlacementDecision),
            convert_list(message.waits, ReportedWait),
        )
    except ValueError as error:
        raise FrameError(f"invalid placement answer: {error!r}") from error
