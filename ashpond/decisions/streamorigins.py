"""Remember at which software version each stream began, and who is to know it.

Answers the load of clients that take a stream up at any instance, also while others
are killed: each origin is kept by a few instances of different failure domains.
"""

from __future__ import annotations

__all__ = [
    "QUERY_KEEPERS",
    "KEY_BYTES",
    "FoundOrigin",
    "KnownBy",
    "KnownOrigin",
    "OriginRecords",
    "OriginView",
    "StreamOrigin",
    "RECORD_KEEPERS",
    "UnknownReason",
    "choose_keepers",
    "count_needed_answers",
    "decide_origin",
    "list_keepers",
    "make_stream_key",
]

import hashlib
from collections import OrderedDict
from collections.abc import Mapping, Sequence
from enum import StrEnum
from typing import NamedTuple

import xxhash

from ashpond.decisions.fleetlinks import Member, spread_domains
from ashpond.decisions.placement import rank_by_rendezvous
from ashpond.decisions.softwareversions import VersionClaim

KEY_BYTES = 8
# How many peers keep an origin, besides the instance that knows it. With three, the
# loss of any two instances and of any failure domain leaves one.
RECORD_KEEPERS = 3
# How many are asked. Instances that start or leave move the preferred keepers of a key,
# by one place each.
QUERY_KEEPERS = 5
# In large fleets, only this many instances keep origins, which bounds the connections.
MAX_KEEPERS = 128
KEEPERS_SEED = 51
# The most origins that are kept of one team, and of all teams together.
MAX_TEAM_RECORDS = 20_000
MAX_RECORDS = 60_000


class UnknownReason(StrEnum):
    """Why the origin of a stream is not known."""

    NO_RECORD = "no instance knows where the stream began"
    AMBIGUOUS = "its id names streams of different origins"
    OTHER_SERVICE = "the stream began at a service that is not on this route"


class StreamOrigin(NamedTuple):
    """The service of a stream, and the software version that wrote its first event."""

    service: str
    version: str


class KnownOrigin(NamedTuple):
    """An origin and for how long it has been known where it was found (seconds).

    The origin is None if the key belongs to streams of different origins.
    """

    origin: StreamOrigin | None
    age: float


class KnownBy(StrEnum):
    """How the origin of a stream is known."""

    INSTANCE = "instance"
    KEEPER = "keeper"
    STORE = "store"
    ONLY_VERSION = "only_version"


class FoundOrigin(NamedTuple):
    """The origin of a stream, how it is known and for how long (seconds)."""

    origin: StreamOrigin
    by: KnownBy
    age: float


class OriginView(NamedTuple):
    """What one instance knows of a stream, and of the versions of its service.

    ``is_fresh`` is whether it has lately known all servers.
    """

    known: KnownOrigin | None
    claim: VersionClaim | None
    is_fresh: bool


class _Record:
    def __init__(self, team: str, origin: StreamOrigin, now: float, until: float):
        self.team = team
        self.origin: StreamOrigin | None = origin
        self.known_since = now
        self.until = until


class OriginRecords:
    """The origins of streams by key, bounded by team, number and time."""

    def __init__(self) -> None:
        self._by_team: dict[str, OrderedDict[bytes, _Record]] = {}
        self._by_key: dict[bytes, _Record] = {}

    def __len__(self) -> int:
        return len(self._by_key)

    def add(
        self, key: bytes, team: str, origin: StreamOrigin, now: float, until: float
    ) -> None:
        """Keep an origin until a time, or longer if it was to be kept for longer."""
        known = self._by_key.get(key)
        if known is not None and known.until > now:
            known.until = max(known.until, until)
            if known.origin != origin:
                known.origin = None
            return
        if known is not None:
            self._remove(key, known)
        record = _Record(team, origin, now, until)
        records = self._by_team.setdefault(team, OrderedDict())
        records[key] = self._by_key[key] = record
        if len(records) > MAX_TEAM_RECORDS:
            self._remove_oldest(team)
        if len(self._by_key) > MAX_RECORDS:
            self._remove_oldest(max(self._by_team, key=lambda t: len(self._by_team[t])))

    def find(self, key: bytes, now: float) -> KnownOrigin | None:
        """Return what is known of a key."""
        record = self._by_key.get(key)
        if record is None or record.until <= now:
            return None
        return KnownOrigin(record.origin, now - record.known_since)

    def expire(self, now: float) -> None:
        """Forget the origins of streams that have ended."""
        for key, record in list(self._by_key.items()):
            if record.until <= now:
                self._remove(key, record)

    def _remove_oldest(self, team: str) -> None:
        key, record = next(iter(self._by_team[team].items()))
        self._remove(key, record)

    def _remove(self, key: bytes, record: _Record) -> None:
        del self._by_key[key]
        records = self._by_team[record.team]
        del records[key]
        if not records:
            del self._by_team[record.team]


def make_stream_key(team: str, request_id: str) -> bytes:
    """Return the key of the stream that began with a request of a team."""
    text = f"{len(team)}:{team}{request_id}".encode("utf-8", "surrogateescape")
    return hashlib.blake2b(text, digest_size=KEY_BYTES).digest()


def list_keepers(members: Mapping[str, Member]) -> dict[str, Member]:
    """Return the instances that keep origins, by name: all but in large fleets."""
    names = sorted(members)
    if len(names) > MAX_KEEPERS:
        names = rank_by_rendezvous(KEEPERS_SEED, names)[:MAX_KEEPERS]
    return {name: members[name] for name in names}


def choose_keepers(
    key: bytes, keepers: Mapping[str, Member], own_name: str, count: int
) -> list[Member]:
    """Return the instances that keep a key's origin, the first choice first.

    They are the same at all instances that know the same members, but for the instance
    itself, and of as many failure domains as possible.

    :param keepers: as of :func:`list_keepers`.
    """
    ranked = rank_by_rendezvous(xxhash.xxh3_64_intdigest(key), list(keepers))
    # All instances order the whole list, so that they agree on the first ones.
    ordered = spread_domains([keepers[name] for name in ranked])
    return [member for member in ordered if member.name != own_name][:count]


def count_needed_answers(asked: int) -> int:
    """Return how many of the asked keepers certainly include one that has a record.

    The asking instance may be one of those that were sent it, and may have missed it.

    :param asked: how many were asked, :data:`QUERY_KEEPERS` or all others.
    """
    holders = min(RECORD_KEEPERS, asked)
    return min(asked, asked - holders + 2)


def decide_origin(
    views: Sequence[OriginView], service: str | None, *, asked: int, answered: int
) -> FoundOrigin | UnknownReason:
    """Return where a stream began, from what several instances know.

    Without a record, it began at the only version of its service, if there is no other
    one in any view, and one view is certain of that and fresh. A fresh view may still
    lack a version that has just come, so it takes answers of enough keepers: one of
    them would know a stream that began there. Old views are enough if all instances
    have answered: nobody can have used a version that nobody knows.

    :param service: the only service of the route, None if there are several.
    :param asked: how many keepers were asked.
    :param answered: how many of them have answered.
    """
    known = [view.known for view in views if view.known is not None]
    origins = {record.origin for record in known}
    if None in origins or len(origins) > 1:
        return UnknownReason.AMBIGUOUS
    for record in known:
        if record.origin is not None:
            return FoundOrigin(record.origin, KnownBy.KEEPER, record.age)
    claims = [view for view in views if view.claim is not None]
    versions = {v for view in claims if view.claim for v in view.claim.versions}
    is_certain = any(
        view.claim is not None
        and view.claim.is_complete
        and (view.is_fresh or answered == asked)
        for view in claims
    )
    if answered < count_needed_answers(asked):
        is_certain = False
    if service is None or len(versions) != 1 or not is_certain:
        return UnknownReason.NO_RECORD
    (version,) = versions
    return FoundOrigin(StreamOrigin(service, version), KnownBy.ONLY_VERSION, 0.0)
