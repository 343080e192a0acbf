"""Encoding of the messages by which instances share where streams began."""

from __future__ import annotations

__all__ = [
    "AskedStream",
    "BegunStreams",
    "StreamFinding",
    "decode_stream_answer",
    "decode_stream_query",
    "encode_stream_answer",
    "encode_stream_query",
]

from collections.abc import Sequence
from typing import NamedTuple

import msgspec

from ashpond.bounds import Amount, Count
from ashpond.clients.fields import convert_list
from ashpond.clients.peermessages import StreamAnswer, StreamQuery
from ashpond.decisions.softwareversions import VersionClaim
from ashpond.decisions.streamorigins import KEY_BYTES, KnownOrigin, StreamOrigin
from ashpond.errors import FrameError


class BegunStreams(NamedTuple):
    """Streams of one team that began at one software version of a service.

    ``keys`` are their keys one after another; ``left`` is for how long the last of them
    may be taken up again (seconds).
    """

    team: str
    service: str
    version: str
    left: Amount
    keys: bytes

    def list_keys(self) -> list[bytes]:
        """Return the keys of the streams."""
        starts = range(0, len(self.keys), KEY_BYTES)
        return [self.keys[at : at + KEY_BYTES] for at in starts]


class AskedStream(NamedTuple):
    """A stream whose origin is asked for; ``number`` identifies it on its connection.

    The answer also says which software versions ``services`` have had.
    """

    number: Count
    key: bytes
    services: list[str]


class StreamFinding(NamedTuple):
    """What an instance knows of an asked stream.

    ``known`` is None if it knows no origin. ``claims`` are the software versions of the
    asked services; ``is_fresh`` is whether it has lately known all servers.
    """

    number: int
    known: KnownOrigin | None
    claims: dict[str, VersionClaim]
    is_fresh: bool


class _Finding(NamedTuple):
    number: Count
    is_known: bool
    service: str | None
    version: str | None
    age: Amount
    claims: dict[str, VersionClaim]
    is_fresh: bool


def encode_stream_query(
    begun: Sequence[BegunStreams], asked: Sequence[AskedStream]
) -> StreamQuery:
    """Return the message that reports streams to a keeper, and queries others."""
    return StreamQuery(
        [list(streams) for streams in begun], [list(ask) for ask in asked]
    )


def decode_stream_query(
    message: StreamQuery,
) -> tuple[list[BegunStreams], list[AskedStream]]:
    """Return the streams that a message reports, and those that it queries.

    :raises FrameError: if a field is not valid.
    """
    try:
        begun = convert_list(message.begun, BegunStreams)
        asked = convert_list(message.asked, AskedStream)
    except ValueError as error:
        raise FrameError(f"invalid stream query: {error!r}") from error
    sizes = [len(streams.keys) for streams in begun]
    if any(size % KEY_BYTES for size in sizes):
        raise FrameError("the keys of streams have the wrong length")
    return begun, asked


def encode_stream_answer(findings: Sequence[StreamFinding]) -> StreamAnswer:
    """Return the message that answers for asked streams."""
    return StreamAnswer([_flatten(finding) for finding in findings])


def _flatten(finding: StreamFinding) -> list[object]:
    known = finding.known
    origin = known.origin if known is not None else None
    return [
        finding.number,
        known is not None,
        origin.service if origin else None,
        origin.version if origin else None,
        max(0.0, known.age) if known else 0.0,
        {service: list(claim) for service, claim in finding.claims.items()},
        finding.is_fresh,
    ]


def decode_stream_answer(message: StreamAnswer) -> list[StreamFinding]:
    """Return what a keeper knows of asked streams.

    :raises FrameError: if a field is not valid.
    """
    try:
        return [_build(f) for f in convert_list(message.findings, _Finding)]
    except (ValueError, msgspec.MsgspecError) as error:
        raise FrameError(f"invalid stream answer: {error!r}") from error


def _build(finding: _Finding) -> StreamFinding:
    known = None
    if finding.is_known:
        origin = None
        if finding.service is not None and finding.version is not None:
            origin = StreamOrigin(finding.service, finding.version)
        known = KnownOrigin(origin, finding.age)
    return StreamFinding(finding.number, known, finding.claims, finding.is_fresh)
