"""Attribute crashes of servers to the requests, or prompt parts, that caused them.

Requests and prompt parts are both identified by fingerprints. All that was in flight at
a server is lost when it crashes. If several fingerprints were in flight at the same
crashes, these are attributed to the one that was there at most of them, and no longer
count against the others.
"""

from __future__ import annotations

__all__ = [
    "CLOCK_ERROR_SECONDS",
    "CONTESTED_CRASHES",
    "QUARANTINE_CRASHES",
    "Assessment",
    "Fingerprint",
    "ServerCrash",
    "ServerId",
    "Start",
    "assess_crashes",
    "get_start",
    "list_successive",
    "merge_reports",
]

import math
from collections.abc import Mapping, Sequence
from typing import Annotated, NamedTuple

import msgspec

from ashpond.bounds import Amount, Count
from ashpond.decisions.fingerprints import FINGERPRINT_BYTES, PART_PREFIX, is_part

# A request and its retry may both lose their servers by chance.
QUARANTINE_CRASHES = 3
# Where servers crash often, a long request may lose more of them by chance: if one in
# five crashes each second, a request of 6 s loses its server two times in three. A
# request is quarantined only if the probability of as many crashes by chance, in the
# time that it was in flight, is below this.
CHANCE_LIMIT = 0.002
# The crashes required if another request was in flight at as many of them, so that
# either may be the cause. Until then, a single instance sends each of the requests, one
# attempt at a time, which usually shows the cause.
CONTESTED_CRASHES = 5
# The clocks of instances follow the store's and differ by a few ms. A connection that
# was idle when its server crashed may be used slightly later (seconds).
CLOCK_ERROR_SECONDS = 0.03

# A server and when it had started (Unix time in ms), None if unknown.
Start = tuple[str, int | None]
Fingerprint = Annotated[
    str,
    msgspec.Meta(pattern=rf"^{PART_PREFIX}?[0-9a-f]{{{FINGERPRINT_BYTES * 2}}}\Z"),
]
ServerId = Annotated[str, msgspec.Meta(min_length=1, max_length=200)]


class ServerCrash(NamedTuple):
    """A crash of a server with a request, or a prompt part, in flight.

    ``started_ms`` is when the server had started (Unix time in ms), None if unknown.
    ``sent_at`` is when the request was sent there and ``crashed_at`` when it was lost,
    on the store's steady clock, which all instances share (seconds). ``is_cleared`` is
    set if the fingerprint is not the cause; it is never reset.
    """

    fingerprint: Fingerprint
    server_id: ServerId
    started_ms: Count | None
    sent_at: Amount
    crashed_at: Amount
    is_cleared: bool = False


class Assessment(NamedTuple):
    """The quarantined and contested fingerprints, with the times of their last crashes.

    ``attributed`` holds the starts whose crashes the quarantined ones caused.
    ``rivals`` holds the others that were in flight at as many of the same crashes as a
    contested one: one of them is the cause.
    """

    quarantined: dict[str, float]
    contested: dict[str, float]
    rivals: dict[str, frozenset[str]]
    attributed: set[Start]


def assess_crashes(
    cases: Mapping[str, Sequence[ServerCrash]], hazard: float, clock_error: float
) -> Assessment:
    """Return the fingerprints with enough crashes to be quarantined or contested.

    Those with the most successive crashes are assessed first, and crashes attributed to
    them do not count against the others.

    :param hazard: the recent rate of crashes for any reason (per server and second).
    :param clock_error: the greatest difference between two instances' clocks (seconds).
    """
    assessed = Assessment({}, {}, {}, set())
    most_suspect_first = sorted(
        cases, key=lambda name: -len(list_successive(cases[name], clock_error))
    )
    for name in most_suspect_first:
        left = _exclude(cases[name], assessed.attributed)
        chain = list_successive(left, clock_error)
        if len(chain) < QUARANTINE_CRASHES or _is_likely_chance(chain, hazard):
            continue
        rivals = _list_rivals(name, len(chain), cases, assessed.attributed, clock_error)
        # Of parts that are always in flight together, a sound one must stay usable.
        is_decided = len(chain) >= CONTESTED_CRASHES and not is_part(name)
        if rivals and not is_decided:
            assessed.contested[name] = chain[-1].crashed_at
            assessed.rivals[name] = frozenset(rivals)
            continue
        assessed.quarantined[name] = chain[-1].crashed_at
        assessed.attributed.update(map(get_start, cases[name]))
    return assessed


def list_successive(
    crashes: Sequence[ServerCrash], clock_error: float
) -> list[ServerCrash]:
    """Return the crashes whose request was sent after the previous crash.

    An event such as a power failure stops many servers at once, and with them a request
    that was in flight at several. A further crash counts only if the request was sent
    after the previous one.
    """
    chain: list[ServerCrash] = []
    last = float("-inf")
    for crash in sorted(crashes, key=lambda e: e.crashed_at):
        if crash.sent_at > last + clock_error:
            chain.append(crash)
            last = crash.crashed_at
    return chain


def merge_reports(one: ServerCrash, other: ServerCrash) -> ServerCrash:
    """Return the union of two reports of one crash, independent of their order.

    Several requests with a part may have been there; the last one decides whether the
    part was sent there after another crash.
    """
    choose = max if is_part(one.fingerprint) else min
    return one._replace(
        sent_at=choose(one.sent_at, other.sent_at),
        crashed_at=min(one.crashed_at, other.crashed_at),
        is_cleared=one.is_cleared or other.is_cleared,
    )


def get_start(crash: ServerCrash) -> Start:
    """Return the start of the server that crashed."""
    return crash.server_id, crash.started_ms


def _list_rivals(
    name: str,
    successive: int,
    cases: Mapping[str, Sequence[ServerCrash]],
    attributed: set[Start],
    clock_error: float,
) -> list[str]:
    """Return the others that were in flight at as many successive crashes as a name.

    Another one that does not explain enough of the crashes of a part is no rival of it:
    two parts may both be causes, and be in flight together now and then.

    :param successive: the number of its own successive crashes.
    """
    own = set(map(get_start, cases[name]))
    own_left = _exclude(cases[name], attributed)
    rivals = []
    for other, crashes in cases.items():
        left = _exclude(crashes, attributed)
        if other == name or not any(get_start(crash) in own for crash in left):
            continue
        if len(list_successive(left, clock_error)) < successive:
            continue
        unexplained = _exclude(own_left, set(map(get_start, left)))
        chain = list_successive(unexplained, clock_error)
        if not is_part(name) or len(chain) < QUARANTINE_CRASHES:
            rivals.append(other)
    return rivals


def _exclude(
    crashes: Sequence[ServerCrash], attributed: set[Start]
) -> list[ServerCrash]:
    return [crash for crash in crashes if get_start(crash) not in attributed]


def _is_likely_chance(chain: Sequence[ServerCrash], hazard: float) -> bool:
    """Return whether a chain of crashes is likely to have occurred by chance.

    Crashes are modelled as a Poisson process during the time the request was in flight.

    :param hazard: crashes per server and second.
    """
    in_flight = sum(max(0.0, crash.crashed_at - crash.sent_at) for crash in chain)
    expected = hazard * in_flight
    fewer = sum(expected**n / math.factorial(n) for n in range(len(chain)))
    return 1.0 - math.exp(-expected) * fewer > CHANCE_LIMIT
