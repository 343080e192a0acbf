"""The requests that a coordinator has placed at servers and that have not ended.

Answers the load of a shard whose servers are full: what each server has in flight is
known exactly, whatever message is late or doubled.
"""

from __future__ import annotations

__all__ = ["EndedGrant", "Grant", "GrantKey", "PlacementLedger"]

from typing import NamedTuple

from ashpond.decisions.loads import NO_LOAD, Load

# A grant ends this long after its deadline (seconds): its instance is frozen, or the
# message of its end is lost.
EXPIRY_SECONDS = 1.0
# Numbers of ended requests that are kept by session, so that a message that arrives
# again does not place them again (entries).
MAX_ENDED_NUMBERS = 64


class Grant(NamedTuple):
    """A request that is placed at a start of a server.

    ``read_tokens`` are the prompt tokens that the server reads for it, before and after
    they are read; the unread ones in ``load`` are 0 once ``is_read``. ``granted_at`` is
    None if the grant is another coordinator's; ``deadline`` is on this process's clock.
    """

    start_id: str
    load: Load
    read_tokens: int
    granted_at: float | None
    deadline: float
    is_read: bool = False


class GrantKey(NamedTuple):
    """The session of a grant, and its number on it."""

    session: int
    number: int


class EndedGrant(NamedTuple):
    """A grant that has ended."""

    key: GrantKey
    grant: Grant


class _SessionGrants:
    def __init__(self) -> None:
        self.by_number: dict[int, Grant] = {}
        self.ended: dict[int, None] = {}

    def note_ended(self, number: int) -> None:
        self.ended[number] = None
        if len(self.ended) > MAX_ENDED_NUMBERS:
            del self.ended[next(iter(self.ended))]


class PlacementLedger:
    """The grants of all open sessions, and their sums by server.

    A session is one connection of one incarnation of an instance. A method that gets an
    unknown session or number changes nothing.
    """

    def __init__(self) -> None:
        self._sessions: dict[int, _SessionGrants] = {}
        self._loads: dict[str, Load] = {}
        self._read_tokens: dict[str, int] = {}

    def open_session(self, session: int) -> None:
        """Begin to take grants of a session."""
        self._sessions.setdefault(session, _SessionGrants())

    def is_new(self, session: int, number: int) -> bool:
        """Return whether a session is open and has not used a number yet."""
        grants = self._sessions.get(session)
        if grants is None:
            return False
        return number not in grants.by_number and number not in grants.ended

    def add(self, session: int, number: int, grant: Grant) -> bool:
        """Add a grant; return False if that changes nothing."""
        if not self.is_new(session, number):
            return False
        self._sessions[session].by_number[number] = grant
        self._change(grant.start_id, grant.load, grant.read_tokens)
        return True

    def get(self, session: int, number: int) -> Grant | None:
        """Return a grant, None if there is none."""
        grants = self._sessions.get(session)
        return None if grants is None else grants.by_number.get(number)

    def note_read(self, session: int, number: int) -> Grant | None:
        """Record that a prompt is read; return the grant as it was before.

        None if there is none, or if its prompt was read already.
        """
        grant = self.get(session, number)
        if grant is None or grant.is_read:
            return None
        read = Load(unread_tokens=grant.load.unread_tokens)
        self._sessions[session].by_number[number] = grant._replace(
            load=grant.load.subtract(read), is_read=True
        )
        self._change(grant.start_id, NO_LOAD.subtract(read), 0)
        return grant

    def end(self, session: int, number: int) -> Grant | None:
        """End a grant and return it, None if there is none."""
        grants = self._sessions.get(session)
        grant = grants.by_number.pop(number, None) if grants else None
        if grants is None or grant is None:
            return None
        grants.note_ended(number)
        self._change(grant.start_id, NO_LOAD.subtract(grant.load), -grant.read_tokens)
        return grant

    def note_withdrawn(self, session: int, number: int) -> None:
        """Record that a number is used by a request that was placed at no server."""
        if self.is_new(session, number):
            self._sessions[session].note_ended(number)

    def end_session(self, session: int) -> list[EndedGrant]:
        """End a session and all its grants, and return these."""
        grants = self._sessions.get(session)
        keys = [GrantKey(session, n) for n in grants.by_number] if grants else []
        ended = self._end_all(keys)
        self._sessions.pop(session, None)
        return ended

    def expire(self, now: float) -> list[EndedGrant]:
        """End the grants that are too long past their deadlines, and return these."""
        keys = [
            GrantKey(session, number)
            for session, grants in self._sessions.items()
            for number, grant in grants.by_number.items()
            if now > grant.deadline + EXPIRY_SECONDS
        ]
        return self._end_all(keys)

    def _end_all(self, keys: list[GrantKey]) -> list[EndedGrant]:
        ended = [(key, self.end(*key)) for key in keys]
        return [EndedGrant(key, grant) for key, grant in ended if grant is not None]

    def count(self, session: int) -> int:
        """Return the number of grants of a session."""
        grants = self._sessions.get(session)
        return 0 if grants is None else len(grants.by_number)

    def sum_load(self, start_id: str) -> Load:
        """Return the load of all grants at a start of a server."""
        return self._loads.get(start_id, NO_LOAD)

    def sum_read_tokens(self, start_id: str) -> int:
        """Return the prompt tokens that a start of a server reads for its grants."""
        return self._read_tokens.get(start_id, 0)

    def _change(self, start_id: str, load: Load, read_tokens: int) -> None:
        total = self.sum_load(start_id).add(load)
        tokens = self.sum_read_tokens(start_id) + read_tokens
        if total == NO_LOAD and not tokens:
            self._loads.pop(start_id, None)
            self._read_tokens.pop(start_id, None)
            return
        self._loads[start_id] = total
        self._read_tokens[start_id] = tokens
