"""The messages between instances, and their kinds on the wire."""

from __future__ import annotations

__all__ = [
    "AllowanceAnswer",
    "AllowanceQuery",
    "AttemptAnswer",
    "AttemptQuery",
    "CacheAnswer",
    "CacheRequest",
    "ConfigAnswer",
    "ConfigRequest",
    "ContactAnswer",
    "ContactQuery",
    "CrashReport",
    "FIELD_TYPES",
    "Facts",
    "KINDS",
    "KIND_NAMES",
    "Notices",
    "PeerMessage",
    "PeerUpdate",
    "PlacementAnswer",
    "PlacementQuery",
    "RetryRightsAnswer",
    "RetryRightsQuery",
    "StreamAnswer",
    "StreamQuery",
    "TableChanges",
    "TunnelAnswer",
    "TunnelBackoff",
    "TunnelData",
    "TunnelEnd",
    "TunnelRequest",
]

from typing import Any, NamedTuple, get_origin, get_type_hints


class Facts(NamedTuple):
    """Membership facts as lists of [origin, epoch, sequence, body]."""

    sender: str
    facts: list[Any]


class AttemptQuery(NamedTuple):
    """Query whether an attempt was sent, to the instance that owns it."""

    attempt: str


class AttemptAnswer(NamedTuple):
    """The owner's answer; ``state`` is ``never``, ``sent`` or ``unknown``."""

    state: str


class ConfigRequest(NamedTuple):
    """Request the peer's configuration if its generation is above ``above``."""

    above: int


class ConfigAnswer(NamedTuple):
    """A configuration generation: its files by name, and the head's apply ids."""

    generation: int
    files: dict[str, str]
    applies: dict[str, int]


class CacheRequest(NamedTuple):
    """Request the peer's view of the blocks that engines have cached."""

    limit: int


class CacheAnswer(NamedTuple):
    """Incarnation and cached blocks of each backend server."""

    views: dict[str, Any]


class PeerUpdate(NamedTuple):
    """Periodic update of an instance on the state of the backend servers.

    ``scope`` says which instances' load is reported; ``group`` is the group of a hub
    that reports the load of all its members. ``loads`` maps server ids to [requests,
    unread tokens, held tokens, requests that no other server can resume]. ``notices``
    are lists of [server id, model, version, seconds without new requests, whether it
    could not be reached, start, rate limit as nil or [requests per second or nil, age
    in seconds], whether it is leaving, rejections per second that its service's servers
    bear, which may be missing]; ``cache_entries`` are lists of [server id,
    salt, prompt part, start]. ``attempts`` maps services to [first attempts, retries]
    within the window of the retry budget. ``sender`` identifies one incarnation of an
    instance.
    """

    sender: str
    scope: str
    group: str
    loads: dict[str, Any]
    notices: list[Any]
    cache_entries: list[Any]
    attempts: dict[str, Any]


class Notices(NamedTuple):
    """Notices sent before the next :class:`PeerUpdate`, with the same fields."""

    sender: str
    scope: str
    notices: list[Any]


class CrashReport(NamedTuple):
    """Requests that were in flight when servers crashed.

    ``scope`` is as in :class:`PeerUpdate`; ``crashes`` are lists of [fingerprint of the
    request, server id, start, when the request was sent and when it was lost on the
    store's clock in seconds, whether the request is not the cause].
    """

    sender: str
    scope: str
    crashes: list[Any]


class TableChanges(NamedTuple):
    """Changes of one table of the platform's store, from the instance that reads it.

    ``scope`` is as in :class:`PeerUpdate`. ``rows`` are lists of [key, value or nil,
    version]: all changes from version ``after`` to ``version``, or with ``is_whole``
    the complete table. ``store_time`` is the store's monotonic clock at its answer, in
    seconds; ``era`` is the era of its data, -1 if the store reports none.
    """

    sender: str
    scope: str
    table: str
    after: int
    version: int
    store_time: float
    rows: list[Any]
    era: int
    is_whole: bool


class AllowanceQuery(NamedTuple):
    """Request allowances from the coordinator of some teams, and send it accrued time.

    ``hash_slot`` of ``hash_slots`` selects the teams. ``accrued`` is empty, or [begin,
    end] in seconds on the coordinator's clock as the sender estimates it;
    ``wants_time`` requests the time of that clock. ``requests`` are lists of [number,
    version of the configuration, team, unit, rate per second, burst, cost, urgency,
    the client's timeout in seconds], ``returned`` of [team, unit, cost].
    """

    sender: str
    hash_slots: int
    hash_slot: int
    wants_time: bool
    accrued: list[Any]
    requests: list[Any]
    returned: list[Any]


class AllowanceAnswer(NamedTuple):
    """The coordinator's decisions, and the time of its clock in seconds.

    ``answers`` are lists of [number, whether it is granted, seconds until a retry or
    nil, remaining allowance of the team, the coordinator's share of the fleet's time].
    """

    now: float
    answers: list[Any]


class PlacementQuery(NamedTuple):
    """Ask the coordinator of one shard of a service for servers.

    ``sender`` is an incarnation. ``asks`` are lists of the fields of
    :class:`~ashpond.clients.placements.PlacementAsk`, ``held`` of ``HeldPlacement`` and
    ``ended`` of ``EndedPlacement``. The first message of a connection holds everything
    that the sender has in flight in the shard.
    """

    sender: str
    service: str
    shard: str
    asks: list[Any]
    held: list[Any]
    ended: list[Any]


class PlacementAnswer(NamedTuple):
    """The coordinator's decisions.

    ``answers`` are lists of the fields of
    :class:`~ashpond.clients.placements.PlacementDecision`, ``waits`` of
    ``ReportedWait``.
    """

    answers: list[Any]
    waits: list[Any]


class StreamQuery(NamedTuple):
    """Report where streams began, and query the origins of others.

    ``begun`` are lists of the fields of
    :class:`~ashpond.clients.streamorigins.BegunStreams`, ``asked`` of ``AskedStream``.
    """

    begun: list[Any]
    asked: list[Any]


class StreamAnswer(NamedTuple):
    """What an instance knows of the asked streams.

    ``findings`` are lists of [number, whether an origin is known, its service and
    software version or nil, its age in seconds, by asked service [its software
    versions, whether there were no others], whether the sender has lately known all
    servers].
    """

    findings: list[Any]


class ContactQuery(NamedTuple):
    """Ask a peer whether backend servers answer it."""

    sender: str


class ContactAnswer(NamedTuple):
    """The fields of a :class:`~ashpond.decisions.contact.PeerContact`."""

    answered_ago: float
    waiting: float


class RetryRightsQuery(NamedTuple):
    """Ask a peer for rights to retry requests of services.

    ``sender`` is an incarnation, ``number`` identifies the query among its own.
    ``wanted`` maps services to numbers of rights. ``returned`` are lists of [service,
    number of an earlier query, rights of its answer that have not been used].
    """

    sender: str
    number: int
    wanted: dict[str, Any]
    returned: list[Any]


class RetryRightsAnswer(NamedTuple):
    """The rights that a peer grants, by service."""

    granted: dict[str, Any]


class TunnelRequest(NamedTuple):
    """Ask a peer for a tunnel to a backend server that it reaches.

    ``started_ms`` identifies the server's start, -1 if the sender does not know it.
    """

    sender: str
    server_id: str
    started_ms: int


class TunnelAnswer(NamedTuple):
    """The answer to a :class:`TunnelRequest`; after ``open``, bytes may be sent.

    ``state`` is a :class:`~ashpond.clients.tunnels.TunnelState`, ``tunnels`` the number
    of tunnels that the peer has open.
    """

    state: str
    tunnels: int


class TunnelData(NamedTuple):
    """Bytes of a tunnel, in either direction."""

    data: bytes


class TunnelEnd(NamedTuple):
    """The server has closed or reset its connection.

    One that it closed before it had all bytes of the sender counts as reset. The loss
    of the connection between the instances is not such an end.
    """

    is_reset: bool


class TunnelBackoff(NamedTuple):
    """The server has asked for no requests for ``seconds``, in an answer."""

    seconds: float


PeerMessage = (
    Facts
    | AttemptQuery
    | AttemptAnswer
    | ConfigRequest
    | ConfigAnswer
    | CacheRequest
    | CacheAnswer
    | PeerUpdate
    | Notices
    | CrashReport
    | TableChanges
    | AllowanceQuery
    | AllowanceAnswer
    | PlacementQuery
    | PlacementAnswer
    | StreamQuery
    | StreamAnswer
    | ContactQuery
    | ContactAnswer
    | RetryRightsQuery
    | RetryRightsAnswer
    | TunnelRequest
    | TunnelAnswer
    | TunnelData
    | TunnelEnd
    | TunnelBackoff
)
KINDS: dict[str, Any] = {
    "facts": Facts,
    "ask_attempt": AttemptQuery,
    "attempt": AttemptAnswer,
    "ask_config": ConfigRequest,
    "config": ConfigAnswer,
    "ask_cache": CacheRequest,
    "cache": CacheAnswer,
    "news": PeerUpdate,
    "notices": Notices,
    "ends": CrashReport,
    "table": TableChanges,
    "allowance_ask": AllowanceQuery,
    "allowance": AllowanceAnswer,
    "placement_ask": PlacementQuery,
    "placement": PlacementAnswer,
    "streams_ask": StreamQuery,
    "streams": StreamAnswer,
    "contact_ask": ContactQuery,
    "contact": ContactAnswer,
    "retries_ask": RetryRightsQuery,
    "retries": RetryRightsAnswer,
    "tunnel_ask": TunnelRequest,
    "tunnel": TunnelAnswer,
    "tunnel_data": TunnelData,
    "tunnel_end": TunnelEnd,
    "tunnel_backoff": TunnelBackoff,
}
FIELD_TYPES: dict[Any, dict[str, Any]] = {
    kind: {
        field: get_origin(hint) or hint for field, hint in get_type_hints(kind).items()
    }
    for kind in KINDS.values()
}
KIND_NAMES = {kind: name for name, kind in KINDS.items()}
