"""Ask peers whether backend servers answer them."""

from __future__ import annotations

__all__ = ["PeerContacts"]

from collections.abc import Callable
from typing import TYPE_CHECKING

import trio

from ashpond.clients.peer import query_peer
from ashpond.clients.peermessages import ContactAnswer, ContactQuery
from ashpond.decisions.contact import PeerContact
from ashpond.decisions.fleetlinks import spread_domains

if TYPE_CHECKING:
    import random

    from ashpond.clients.peer import PeerStream
    from ashpond.fleet.members import Members

# How many peers are asked, and how long they have to answer (seconds).
ASKED_PEERS = 3
ANSWER_SECONDS = 0.3
MAX_FRAME_BYTES = 1 << 16


class PeerContacts:
    """What peers say of their contact to the servers, and what this instance says.

    :param describe: returns the contact of this instance.
    """

    def __init__(
        self,
        get_members: Callable[[], Members],
        describe: Callable[[], PeerContact],
        rng: random.Random,
    ):
        self._get_members = get_members
        self._describe = describe
        self._rng = rng

    async def ask(self) -> list[PeerContact]:
        """Return the contacts of a few peers of several failure domains."""
        members = self._get_members()
        own = members.own
        others = [m for m in members.by_name.values() if m.name != own.name]
        if not members.secret or not others:
            return []
        self._rng.shuffle(others)
        # Instances of one failure domain lose their links together.
        others.sort(key=lambda member: member.failure_domain == own.failure_domain)
        answers: list[PeerContact] = []

        async def ask_one(address: str) -> None:
            answer = await query_peer(
                address,
                ContactQuery(own.name),
                secret=members.secret,
                max_frame=MAX_FRAME_BYTES,
                timeout=ANSWER_SECONDS,
            )
            if isinstance(answer, ContactAnswer):
                answers.append(PeerContact(*answer))

        async with trio.open_nursery() as nursery:
            for member in spread_domains(others)[:ASKED_PEERS]:
                nursery.start_soon(ask_one, member.address)
        return answers

    async def serve(self, first: ContactQuery, stream: PeerStream) -> None:
        """Answer a peer."""
        await stream.send(ContactAnswer(*self._describe()))
