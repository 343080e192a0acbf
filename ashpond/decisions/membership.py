"""Facts that instances publish about themselves; the newest of each is kept."""

from __future__ import annotations

__all__ = ["Fact", "FactTable", "MemberState", "choose_links", "choose_watchers"]

from collections.abc import Iterable, Sequence
from enum import StrEnum
from typing import Any, NamedTuple

import xxhash

FACT_LIFETIME_SECONDS = 5.0


class MemberState(StrEnum):
    """The state that an instance reports of itself."""

    LIVE = "live"
    LEAVING = "leaving"


class Fact(NamedTuple):
    """The state published by ``origin``, a peer address.

    ``epoch`` grows with each start of the origin, ``sequence`` with each fact since
    that start. The facts of a restarted origin therefore replace its older ones.
    """

    origin: str
    epoch: int
    sequence: int
    body: dict[str, Any]

    @property
    def order(self) -> tuple[int, int]:
        """The order of this fact among all facts of its origin."""
        return self.epoch, self.sequence


class FactTable:
    """The newest fact of each origin, and which facts each link has been sent."""

    def __init__(self, own: str):
        self.own = own
        self._facts: dict[str, Fact] = {}
        self._received_at: dict[str, float] = {}
        self._sent: dict[str, dict[str, tuple[int, int]]] = {}

    def put(self, fact: Fact, now: float) -> bool:
        """Store a fact; return whether it was newer than the known one."""
        known = self._facts.get(fact.origin)
        if known is not None and known.order >= fact.order:
            return False
        self._facts[fact.origin] = fact
        self._received_at[fact.origin] = now
        return True

    def get(self, origin: str) -> Fact | None:
        """Return the newest fact of one origin."""
        return self._facts.get(origin)

    def list_others(self, now: float) -> list[Fact]:
        """Return the facts of other origins that are not expired."""
        oldest = now - FACT_LIFETIME_SECONDS
        return [
            fact
            for origin, fact in self._facts.items()
            if origin != self.own and self._received_at[origin] > oldest
        ]

    def collect_updates(self, link: str) -> list[Fact]:
        """Return the facts that the peer at ``link`` lacks, and mark them as sent."""
        sent = self._sent.setdefault(link, {})
        updates = []
        for origin, fact in self._facts.items():
            if origin != link and sent.get(origin, (-1, -1)) < fact.order:
                sent[origin] = fact.order
                updates.append(fact)
        return updates

    def mark_known(self, link: str, facts: Iterable[Fact]) -> None:
        """Record that the peer at ``link`` has these facts, because it sent them."""
        sent = self._sent.setdefault(link, {})
        for fact in facts:
            sent[fact.origin] = max(sent.get(fact.origin, (-1, -1)), fact.order)

    def remove_link(self, link: str) -> None:
        """Remove a closed link; a new link to the same peer is sent all facts again."""
        self._sent.pop(link, None)

    def expire(self, now: float, keep: Iterable[str]) -> list[str]:
        """Remove origins without a new fact for twice the fact lifetime.

        :param keep: origins that stay in any case.
        :returns: the removed origins.
        """
        kept = {self.own, *keep}
        oldest = now - 2 * FACT_LIFETIME_SECONDS
        gone = [
            origin
            for origin, received_at in self._received_at.items()
            if origin not in kept and received_at < oldest
        ]
        for origin in gone:
            del self._facts[origin]
            del self._received_at[origin]
            self._sent.pop(origin, None)
            for sent in self._sent.values():
                sent.pop(origin, None)
        return gone


def choose_links(own: str, members: Sequence[str], count: int) -> list[str]:
    """Return the members to open links to, at growing steps on a ring of all members.

    Steps of 1, 2, 4, … keep the whole fleet within a few hops, and the first step alone
    connects all members.
    """
    ring = sorted(set(members) | {own})
    at = ring.index(own)
    links: list[str] = []
    step = 1
    while len(links) < count and step < len(ring):
        links.append(ring[(at + step) % len(ring)])
        step *= 2
    return links


def choose_watchers(engine: str, members: Sequence[str], count: int) -> list[str]:
    """Return the instances that watch an engine, the same list on every instance."""
    ranked = sorted(
        members,
        key=lambda member: xxhash.xxh3_64_intdigest(f"{engine}\x1f{member}".encode()),
        reverse=True,
    )
    return ranked[:count]
