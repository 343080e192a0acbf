"""Decide whether an instance is cut off from the backend servers.

A server that crashes fails alone, and others answer meanwhile. An instance that gets
no answer from several servers in a row, from none at all, is more probably cut off
itself; its peers then still reach the servers. Requests go through peers until a direct
attempt is answered again.
"""

from __future__ import annotations

__all__ = ["ContactMonitor", "PeerContact", "do_peers_reach_servers"]

import math
from typing import TYPE_CHECKING, NamedTuple

if TYPE_CHECKING:
    import random
    from collections.abc import Sequence

# Servers that must have failed without an answer from any in between.
MIN_FAILED_SERVERS = 2
# A failure longer ago than this does not count any more (seconds).
EVIDENCE_SECONDS = 3.0
# From one attempt to go straight to a server again until the next (seconds); doubles
# with each that fails.
TRIAL_SECONDS = 0.5
MAX_TRIAL_SECONDS = 2.0
# Requests that may not be repeated are tried only if no other request came for so long.
UNREPEATABLE_SECONDS = 2.0
# Servers answer a peer if one did within this time, and leave it waiting if they have
# not answered a request for longer (seconds).
RECENT_SECONDS = 0.3
# What an instance reports that no server has answered for so long, or ever (seconds).
LONGEST_SECONDS = 3600.0
# An instance that is cut off again within this time takes longer to return (seconds).
FLAP_SECONDS = 5.0


class PeerContact(NamedTuple):
    """An instance's contact to the backend servers (seconds).

    ``answered_ago`` is the time since a server last answered it straight, ``waiting``
    how long its oldest unanswered request has waited. An instance that is cut off
    names neither.
    """

    answered_ago: float
    waiting: float = 0.0


NO_CONTACT = PeerContact(math.inf)


def do_peers_reach_servers(contacts: Sequence[PeerContact]) -> bool:
    """Return whether late answers here mean that this instance is cut off.

    If peers wait as well, servers or machines are slow, and if all are cut off, none
    can relay: a detour would not help. Peers without requests say nothing, and the
    evidence of this instance stands.
    """
    if any(contact.answered_ago <= RECENT_SECONDS for contact in contacts):
        return True
    if contacts and all(contact == NO_CONTACT for contact in contacts):
        return False
    return not any(contact.waiting > RECENT_SECONDS for contact in contacts)


class ContactMonitor:
    """The evidence on whether this instance reaches the backend servers.

    All times are on one clock, in seconds.

    :param rng: spreads the attempts of instances that are cut off together.
    """

    def __init__(self, rng: random.Random):
        self.is_cut_off = False
        # Whether there is enough evidence, but only of answers that are late.
        self.is_doubtful = False
        self._rng = rng
        self._failed: dict[str, float] = {}
        self._late: set[str] = set()
        # Those that are there for sure, to this instance or to a peer.
        self._present: set[str] = set()
        self._answered_at = float("-inf")
        self._regained_at = float("-inf")
        self._trial_seconds = TRIAL_SECONDS
        self._trial_at = float("inf")
        self._is_trying = False
        self._is_reachable = False

    def list_failed(self) -> list[str]:
        """Return the servers whose failures are the present evidence."""
        return sorted(self._failed)

    def note_answer(self, now: float) -> bool:
        """Record an answer that came straight from a server.

        Return whether the instance was cut off until now.
        """
        self._answered_at = now
        self._forget_failures()
        self._is_trying = False
        if not self.is_cut_off:
            return False
        self.is_cut_off = False
        self._regained_at = now
        return True

    def note_failure(
        self,
        server_id: str,
        sent_at: float,
        now: float,
        *,
        is_late: bool = False,
        may_be_gone: bool = False,
    ) -> bool:
        """Record a direct request without any byte of an answer.

        Return whether the instance is cut off from now on. Once a server has answered,
        those that may be gone show nothing by themselves.

        :param sent_at: since when nothing has come from the server.
        :param is_late: whether the connection is open, and the answer only late.
        :param may_be_gone: whether neither this instance nor a peer has ever connected
            to the server, as far as it is known here.
        """
        is_present = not may_be_gone or math.isinf(self._answered_at)
        if self.is_cut_off and not is_present:
            return False
        self._is_trying = False
        if self.is_cut_off:
            self._plan_trial(now, self._trial_seconds * 2)
            return False
        if sent_at <= self._answered_at:
            # Another server has answered since.
            return False
        self._failed[server_id] = now
        if is_late:
            self._late.add(server_id)
        else:
            self._late.discard(server_id)
        if is_present:
            self._present.add(server_id)
        oldest = now - EVIDENCE_SECONDS
        self._failed = {s: at for s, at in self._failed.items() if at >= oldest}
        present = self._failed.keys() & self._present
        if len(self._failed) < MIN_FAILED_SERVERS or not present:
            return False
        if present <= self._late:
            self.is_doubtful = True
            return False
        self._cut_off(now)
        return True

    def resolve_doubt(self, now: float, *, do_peers_reach: bool) -> bool:
        """Record what peers say on late answers; return whether it is cut off now.

        :param do_peers_reach: as of :func:`do_peers_reach_servers`.
        """
        if not self.is_doubtful:
            return False
        if not do_peers_reach:
            self._forget_failures()
            return False
        self._cut_off(now)
        return True

    def describe(self, now: float, waiting: float) -> PeerContact:
        """Return the contact that is reported to peers.

        :param waiting: how long the oldest unanswered request has waited (seconds).
        """
        if self.is_cut_off:
            return NO_CONTACT
        return PeerContact(min(now - self._answered_at, LONGEST_SECONDS), waiting)

    def _forget_failures(self) -> None:
        self._failed.clear()
        self._late.clear()
        self._present.clear()
        self.is_doubtful = False

    def _cut_off(self, now: float) -> None:
        self.is_doubtful = False
        self.is_cut_off = True
        is_flapping = now - self._regained_at < FLAP_SECONDS
        self._plan_trial(now, self._trial_seconds * 2 if is_flapping else TRIAL_SECONDS)

    def note_probe(self, *, is_reachable: bool) -> None:
        """Record whether a connection to a server could be opened and stayed open."""
        self._is_reachable = is_reachable

    def begin_trial(self, now: float, *, is_repeatable: bool) -> bool:
        """Return whether a request should go straight to its server as a trial.

        Only one does at a time. A connection that can be opened is no proof, as only
        an answer shows that the server has received the request.
        """
        wait = 0.0 if is_repeatable else UNREPEATABLE_SECONDS
        if self._is_trying or not self._is_reachable or now < self._trial_at + wait:
            return False
        self._is_trying = True
        return True

    def end_trial(self) -> None:
        """Record that a trial has ended without evidence, as its caller has left."""
        self._is_trying = False

    def _plan_trial(self, now: float, seconds: float) -> None:
        self._is_reachable = False
        self._trial_seconds = min(MAX_TRIAL_SECONDS, seconds)
        self._trial_at = now + self._trial_seconds * self._rng.uniform(0.7, 1.3)
