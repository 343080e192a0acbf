"""Choose the peer through which an instance reaches servers that it cannot reach."""

from __future__ import annotations

__all__ = ["RelayRecord", "find_tunnel_limit", "rank_relays"]

from collections import Counter
from typing import TYPE_CHECKING

if TYPE_CHECKING:
    import random
    from collections.abc import Iterable, Mapping

    from ashpond.decisions.fleetlinks import Member

# A peer that has relayed within this time is preferred over an untried one (seconds).
GOOD_SECONDS = 10.0
# The preferences below add up to one score; the peer with the lowest is asked first.
OTHER_DOMAIN_SCORE = 1.0
UNTRIED_SCORE = 3.0
RANDOM_SCORE = 0.5
# Failure domains lose their links as a whole. An untried peer counts as this much worse
# if all others of its failure domain are avoided, and less by the share that is.
AVOIDED_DOMAIN_SCORE = 4.0
# As many open tunnels weigh as much as another failure domain, on the fastest links.
TUNNELS_PER_SCORE = 8.0
# A relay carries each byte of a tunnel twice, and its own callers' besides.
TUNNELS_PER_MBIT = 2.0
# Tunnels of all peers together; each holds two sockets and at most two pieces.
MAX_TUNNELS = 200


class RelayRecord:
    """What is known of one peer as a relay.

    ``avoid_until`` and ``good_at`` are times; ``tunnels`` is the number of tunnels that
    it last reported. ``unanswered`` counts the requests in a row without an answer.
    """

    def __init__(self) -> None:
        self.avoid_until = float("-inf")
        self.good_at = float("-inf")
        self.tunnels = 0
        self.unanswered = 0


def find_tunnel_limit(link_mbps: float) -> int:
    """Return how many tunnels an instance may have open for its peers.

    :param link_mbps: the rate of its network link, 0 if unknown.
    """
    if not link_mbps:
        return MAX_TUNNELS
    return max(1, min(MAX_TUNNELS, int(link_mbps * TUNNELS_PER_MBIT)))


def rank_relays(
    members: Iterable[Member],
    own: Member,
    records: Mapping[str, RelayRecord],
    now: float,
    rng: random.Random,
) -> list[Member]:
    """Return the peers to ask, the best first, without those to avoid now."""
    unknown = RelayRecord()
    peers = [member for member in members if member.name != own.name]
    sizes = Counter(member.failure_domain for member in peers)
    avoided = Counter(
        member.failure_domain
        for member in peers
        if now < records.get(member.name, unknown).avoid_until
    )
    scored = []
    for member in peers:
        record = records.get(member.name, unknown)
        if now < record.avoid_until:
            continue
        limit = find_tunnel_limit(member.link_mbps)
        score = record.tunnels / TUNNELS_PER_SCORE * MAX_TUNNELS / limit
        score += rng.random() * RANDOM_SCORE
        if member.failure_domain != own.failure_domain:
            score += OTHER_DOMAIN_SCORE
        if now - record.good_at > GOOD_SECONDS:
            domain = member.failure_domain
            score += UNTRIED_SCORE
            score += AVOIDED_DOMAIN_SCORE * avoided[domain] / sizes[domain]
        scored.append((score, member.name, member))
    return [member for _, _, member in sorted(scored, key=lambda entry: entry[:2])]
