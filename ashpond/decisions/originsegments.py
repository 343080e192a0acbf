"""Group the origins of streams into rows of a store, each rewritten a few times only.

Answers the load of streams that begin by the hundred: a row is written again only until
it is full or old, and is removed once all its streams have ended.
"""

from __future__ import annotations

__all__ = [
    "OriginSegment",
    "OriginSegments",
    "choose_recorder",
    "find_in_row",
    "is_row_expired",
    "list_recorders",
]

import math
from collections.abc import Sequence

import msgspec
import xxhash

from ashpond.decisions.placement import rank_by_rendezvous, weigh_home
from ashpond.decisions.streamorigins import KEY_BYTES, StreamOrigin

RECORDERS_SEED = 52
# One instance of this many writes the origins of all, up to a number of writers that
# bounds the calls to the store.
INSTANCES_PER_RECORDER = 3
MAX_RECORDERS = 48
# The most streams in one segment, and for how long streams are added to it (seconds).
MAX_SEGMENT_STREAMS = 256
MAX_OPEN_SECONDS = 4.0


class _Group(msgspec.Struct):
    """Streams of one origin; ``keys`` are their keys one after another."""

    service: str
    version: str
    # On the store's monotonic clock (seconds).
    until: float
    # In hexadecimal.
    keys: str


class _Row(msgspec.Struct):
    groups: list[_Group]


_ROW_DECODER = msgspec.json.Decoder(_Row)


class OriginSegment:
    """The streams of one row; times are on the store's monotonic clock (seconds)."""

    def __init__(self, name: str, opened_at: float):
        self.name = name
        self.until = opened_at
        self.is_open = True
        self.is_written = False
        self._opened_at = opened_at
        self._count = 0
        self._keys: dict[tuple[StreamOrigin, int], list[bytes]] = {}

    def has_room(self, now: float) -> bool:
        """Return whether streams may be added."""
        is_recent = now - self._opened_at < MAX_OPEN_SECONDS
        return self.is_open and is_recent and self._count < MAX_SEGMENT_STREAMS

    def add(self, key: bytes, origin: StreamOrigin, until: float) -> None:
        """Add a stream that its client may take up until a time."""
        self._keys.setdefault((origin, math.ceil(until)), []).append(key)
        self._count += 1
        self.until = max(self.until, math.ceil(until))
        self.is_written = False

    def encode(self) -> bytes:
        """Return the value of the row."""
        return msgspec.json.encode(
            _Row(
                [
                    _Group(origin.service, origin.version, until, b"".join(keys).hex())
                    for (origin, until), keys in self._keys.items()
                ]
            )
        )


class OriginSegments:
    """The segments of one start of an instance; no other start writes to them.

    :param prefix: begins the names of the segments, and differs at each start.
    """

    def __init__(self, prefix: str):
        self._prefix = prefix
        self._opened = 0
        self._segments: list[OriginSegment] = []

    def add(self, key: bytes, origin: StreamOrigin, now: float, until: float) -> None:
        """Add a stream to the open segment, or to a new one."""
        if not self._segments or not self._segments[-1].has_room(now):
            self._opened += 1
            name = f"{self._prefix}.{self._opened}"
            self._segments.append(OriginSegment(name, now))
        self._segments[-1].add(key, origin, until)

    def list_unwritten(self, now: float) -> list[OriginSegment]:
        """Return the segments whose rows have to be written."""
        return [s for s in self._segments if not s.is_written and s.until > now]

    def list_expired(self, now: float) -> list[OriginSegment]:
        """Return the segments whose streams have all ended."""
        return [s for s in self._segments if s.until <= now]

    def note_lost(self) -> None:
        """Write all segments again, as the store has lost some."""
        for segment in self._segments:
            segment.is_written = False

    def remove(self, segments: Sequence[OriginSegment]) -> None:
        """Forget segments whose streams have ended."""
        self._segments = [s for s in self._segments if s not in segments]


def list_recorders(names: Sequence[str]) -> list[str]:
    """Return the instances that write the origins of all, in an order all agree on."""
    count = min(MAX_RECORDERS, max(1, len(names) // INSTANCES_PER_RECORDER))
    return rank_by_rendezvous(RECORDERS_SEED, names)[:count]


def choose_recorder(key: bytes, recorders: Sequence[str]) -> str:
    """Return the instance that writes the origin of a key."""
    seed = xxhash.xxh3_64_intdigest(key)
    return max(recorders, key=lambda name: weigh_home(seed, name))


def find_in_row(value: bytes, key: bytes, now: float) -> set[StreamOrigin]:
    """Return the origins that a row has for a key: none, one, or several if ambiguous.

    :param now: on the store's monotonic clock (seconds).
    :raises ValueError: if the row cannot be decoded.
    """
    # Most rows do not hold the key, and need not be decoded.
    if key.hex().encode() not in value:
        return set()
    return {
        StreamOrigin(group.service, group.version)
        for group in _decode(value).groups
        if group.until > now and key in _split_keys(group.keys)
    }


def is_row_expired(value: bytes, now: float) -> bool:
    """Return whether all streams of a row have ended.

    :param now: on the store's monotonic clock (seconds).
    :raises ValueError: if the row cannot be decoded.
    """
    return all(group.until <= now for group in _decode(value).groups)


def _decode(value: bytes) -> _Row:
    try:
        return _ROW_DECODER.decode(value)
    except (msgspec.MsgspecError, RecursionError) as error:
        raise ValueError(str(error)) from error


def _split_keys(text: str) -> list[bytes]:
    keys = bytes.fromhex(text)
    return [keys[at : at + KEY_BYTES] for at in range(0, len(keys), KEY_BYTES)]
