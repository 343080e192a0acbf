"""Which requests end the servers that run them, by the ends that instances have seen.

A request is named by its fingerprint, an end by the start of the server that ended. A
set of such pairs unites what instances tell each other without counting an end twice,
whoever has seen it and however often it is told; a counter would not. A server that
ends takes all its requests with it: one that has been answered whole since is not the
cause, one that is in flight at end after end and never answered is.
"""

from __future__ import annotations

__all__ = ["QUARANTINE_ENDS", "ServerEnd", "Standing", "Suspicions", "limit_age"]

from enum import StrEnum
from typing import Annotated, NamedTuple

import msgspec

from ashpond.bounds import Count
from ashpond.decisions.fingerprints import FINGERPRINT_BYTES

# A request and its repeat may lose two servers by chance. A third loss of one that was
# never answered in between is none: with a third of all engines lost every 3.5 s, a
# request that takes a second is in flight at an end once in ten sends.
QUARANTINE_ENDS = 3
# Servers that end together were ended by something else, as a loss of power: a request
# ends the next server only once it runs there, 0.1 s later and more. News of an end may
# take that long to instances in other groups (seconds).
SAME_MOMENT_SECONDS = 0.25
# What is in flight all the time, as a request that many clients send, is in flight at
# every end. It has been answered a moment ago (seconds).
ANSWERED_SECONDS = 10.0
MAX_ANSWERED = 2_048
# Requests that are remembered: 12 servers of 64 slots that end at once lose 768. And
# ends of each; one takes some 300 bytes.
MAX_REQUESTS = 1_024
MAX_ENDS = 12
# What is told to an instance that has just connected (ends); some 60 bytes each.
MAX_TOLD = 256
# A server's end cannot be older than this when it is told (seconds).
MAX_AGE_SECONDS = 86_400.0

Fingerprint = Annotated[
    str, msgspec.Meta(pattern=rf"^[0-9a-f]{{{FINGERPRINT_BYTES * 2}}}$")
]
ServerId = Annotated[str, msgspec.Meta(min_length=1, max_length=200)]
Age = Annotated[float, msgspec.Meta(ge=0, le=MAX_AGE_SECONDS)]


class ServerEnd(NamedTuple):
    """The end of a server's start with a request in flight.

    ``age`` is how long ago it was (seconds). ``is_cleared`` tells that the request is
    not the cause; that is never taken back.
    """

    fingerprint: Fingerprint
    server_id: ServerId
    born: Count | None
    age: Age
    is_cleared: bool = False


def limit_age(seconds: float) -> float:
    """Return the age of an end as it may be told, whatever the clocks said."""
    return min(MAX_AGE_SECONDS, max(0.0, seconds))


class Standing(StrEnum):
    """What is to be done with a request."""

    FREE = "free"
    SUSPECTED = "suspected"
    QUARANTINED = "quarantined"


class _End:
    def __init__(self, at: float, is_cleared: bool):
        self.at = at
        self.is_cleared = is_cleared


_Start = tuple[str, int | None]


class Suspicions:
    """The ends that are known, by request, for a limited time.

    :param keep_seconds: how long an end counts. A request whose oldest end is forgotten
        may be tried once more, and wrong suspicion passes.
    """

    def __init__(self, keep_seconds: float):
        self.keep_seconds = keep_seconds
        self._ends: dict[str, dict[_Start, _End]] = {}
        self._answered: dict[str, float] = {}

    def judge(self, fingerprint: str | None, now: float) -> Standing:
        """Return what is believed of a request."""
        count = self.count_moments(fingerprint, now)
        if count >= QUARANTINE_ENDS:
            return Standing.QUARANTINED
        return Standing.SUSPECTED if count else Standing.FREE

    def count_moments(self, fingerprint: str | None, now: float) -> int:
        """Return at how many moments servers have ended under a request."""
        count = 0
        begun_at = float("-inf")
        for at in sorted(self._date_ends(fingerprint, now).values()):
            if at - begun_at > SAME_MOMENT_SECONDS:
                count += 1
                begun_at = at
        return count

    def list_servers(self, fingerprint: str | None, now: float) -> list[str]:
        """Return the servers that have ended under a request, one entry a start."""
        return [server_id for server_id, _ in self._date_ends(fingerprint, now)]

    def _date_ends(self, fingerprint: str | None, now: float) -> dict[_Start, float]:
        """Return when the starts of servers have ended under a request.

        Who does not know when a server started tells of the same end as who does.
        """
        dated: dict[_Start, float] = {}
        ends = self._ends.get(fingerprint or "", {})
        dated_ids = {server_id for server_id, born in ends if born is not None}
        for (server_id, born), end in ends.items():
            if born is None and server_id in dated_ids:
                continue
            if not end.is_cleared and now - end.at < self.keep_seconds:
                dated[server_id, born] = end.at
        return dated

    def note(self, told: ServerEnd, now: float) -> bool:
        """Take an end, seen or told; return whether there is something new in it."""
        at = now - told.age
        if told.age >= self.keep_seconds:
            return False
        ends = self._ends.get(told.fingerprint)
        if ends is None:
            self._make_room(now)
            ends = self._ends[told.fingerprint] = {}
        key = (told.server_id, told.born)
        known = ends.get(key)
        if known is not None:
            # The earliest time is the truest: news lose time on their way. So what is
            # told again and again does not grow younger by it.
            known.at = min(known.at, at)
            is_news = told.is_cleared and not known.is_cleared
            known.is_cleared |= told.is_cleared
            return is_news
        if len(ends) >= MAX_ENDS and not self._drop_end(ends, now):
            return False
        ends[key] = _End(at, told.is_cleared)
        return True

    def note_answered(self, fingerprint: str, now: float) -> list[ServerEnd]:
        """Note that a server has answered a request whole; return what that clears."""
        self._answered.pop(fingerprint, None)
        self._answered[fingerprint] = now
        if len(self._answered) > MAX_ANSWERED:
            del self._answered[next(iter(self._answered))]
        return self.clear(fingerprint, now)

    def was_answered(self, fingerprint: str, now: float) -> bool:
        """Return whether a request was answered whole a moment ago."""
        at = self._answered.get(fingerprint, float("-inf"))
        return now - at <= ANSWERED_SECONDS

    def clear(self, fingerprint: str, now: float) -> list[ServerEnd]:
        """Acquit a request of the ends that are known; return them as cleared."""
        cleared = []
        for (server_id, born), end in self._ends.get(fingerprint, {}).items():
            if not end.is_cleared:
                end.is_cleared = True
                age = limit_age(now - end.at)
                cleared.append(ServerEnd(fingerprint, server_id, born, age, True))
        return cleared

    def list_ends(self, fingerprint: str, now: float) -> list[ServerEnd]:
        """Return the ends that count against a request."""
        return [
            ServerEnd(fingerprint, server_id, born, limit_age(now - end.at))
            for (server_id, born), end in self._ends.get(fingerprint, {}).items()
            if not end.is_cleared and now - end.at < self.keep_seconds
        ]

    def list_all(self, now: float) -> list[ServerEnd]:
        """Return what an instance should be told that knows nothing.

        Of those that are most suspect first, and no more than a message takes.
        """
        ends = [self.list_ends(name, now) for name in self._ends]
        ends.sort(key=len, reverse=True)
        return [end for group in ends for end in group][:MAX_TOLD]

    def list_names(self) -> set[str]:
        """Return the requests of which any end is known."""
        return set(self._ends)

    def list_by_standing(self, standing: Standing, now: float) -> list[str]:
        """Return the requests of which this is believed."""
        return [name for name in self._ends if self.judge(name, now) is standing]

    def expire(self, now: float) -> None:
        """Drop the ends that no longer count."""
        for ends in self._ends.values():
            for key, end in list(ends.items()):
                if now - end.at >= self.keep_seconds:
                    del ends[key]
        self._ends = {name: ends for name, ends in self._ends.items() if ends}

    def _make_room(self, now: float) -> None:
        """Drop a request with the fewest ends if there are too many, the oldest first.

        A caller with another body each time can so push out what has ended servers at
        fewer moments than its own, never what was quarantined before it.
        """
        if len(self._ends) < MAX_REQUESTS:
            return
        self.expire(now)
        if len(self._ends) < MAX_REQUESTS:
            return
        # Mostly one of those that have lost a server once: no need to count all.
        single = next((name for name, ends in self._ends.items() if len(ends) == 1), "")
        least = single or min(
            self._ends, key=lambda name: self.count_moments(name, now)
        )
        del self._ends[least]

    def _drop_end(self, ends: dict[_Start, _End], now: float) -> bool:
        """Drop an end that adds nothing to the count; return whether there was one."""
        begun_at = float("-inf")
        for key, end in sorted(ends.items(), key=lambda item: item[1].at):
            is_old = now - end.at >= self.keep_seconds
            if end.is_cleared or is_old or end.at - begun_at <= SAME_MOMENT_SECONDS:
                del ends[key]
                return True
            begun_at = end.at
        return False
