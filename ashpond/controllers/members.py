"""The other instances, by gossip and by the platform's list."""

from __future__ import annotations

__all__ = ["MembersController"]

import random
import time
from collections.abc import Callable
from typing import TYPE_CHECKING, Any

import trio
from logbook import Logger

from ashpond.clients.peer import Facts, PeerStream, connect_peer
from ashpond.clients.platform import Member, MemberKind
from ashpond.decisions.membership import Fact, FactTable, MemberState, choose_links
from ashpond.errors import FrameError
from ashpond.outcomes import Done

if TYPE_CHECKING:
    from ashpond.clients.platform import PlatformClient
    from ashpond.metrics import Metrics
    from ashpond.settings import Settings

logger = Logger("ashpond.members")

LINK_COUNT = 3
LINK_FAILURES = (
    OSError,
    FrameError,
    trio.BrokenResourceError,
    trio.ClosedResourceError,
    trio.TooSlowError,
)
MAX_PAUSE_SECONDS = 2.0


class MembersController:
    """Spreads the facts of all instances by gossip.

    A fact is what one instance reports about itself. Other controllers add parts to it
    with :meth:`add_fact_part` and read those of other instances with
    :meth:`read_parts`.
    """

    def __init__(self, settings: Settings, platform: PlatformClient, metrics: Metrics):
        self._settings = settings
        self._platform = platform
        self._metrics = metrics
        self.address = settings.peers_address
        self.table = FactTable(self.address)
        # The wall clock only has to advance from one start to the next.
        self.epoch = time.time_ns() // 1_000_000
        self.state = MemberState.LIVE
        self.listed: list[Member] = []
        self._sequence = 0
        self._parts: dict[str, Callable[[], Any]] = {}
        self._on_facts: list[Callable[[Fact], None]] = []
        self._wake = trio.Event()
        self._links: dict[str, trio.CancelScope] = {}

    def add_fact_part(self, name: str, produce: Callable[[], Any]) -> None:
        """Add a part to this instance's fact, produced again in each gossip period."""
        self._parts[name] = produce

    def on_fact(self, listener: Callable[[Fact], None]) -> None:
        """Call ``listener`` with each new fact of another instance."""
        self._on_facts.append(listener)

    def read_parts(self, name: str) -> dict[str, Any]:
        """Return one part of the facts of other live instances, by their address."""
        return {
            fact.origin: fact.body[name]
            for fact in self.list_live()
            if name in fact.body
        }

    def list_live(self) -> list[Fact]:
        """Return the facts of other instances that are live and not leaving."""
        others = self.table.list_others(trio.current_time())
        return [f for f in others if f.body.get("state") == MemberState.LIVE]

    def count_instances(self) -> int:
        """Return how many instances share the load, including this one."""
        return 1 + len(self.list_live())

    def announce(self) -> None:
        """Send this instance's fact to the peers now, not at the next period."""
        self._wake.set()
        self._wake = trio.Event()

    async def run(self) -> None:
        """Gossip and poll the platform's list, forever."""
        async with trio.open_nursery() as nursery:
            nursery.start_soon(self._refresh_fact)
            nursery.start_soon(self._poll_list)
            nursery.start_soon(self._maintain_links, nursery)

    async def _refresh_fact(self) -> None:
        while True:
            self.update_own_fact()
            with trio.move_on_after(self._settings.timing.gossip):
                await self._wake.wait()

    def update_own_fact(self) -> None:
        """Replace this instance's fact by one with the present parts."""
        self._sequence += 1
        body = {name: produce() for name, produce in self._parts.items()}
        body |= {"state": str(self.state), "name": self._settings.name}
        fact = Fact(self.address, self.epoch, self._sequence, body)
        self.table.put(fact, trio.current_time())

    async def _poll_list(self) -> None:
        while True:
            outcome = await self._platform.list_members()
            if isinstance(outcome, Done):
                self.listed = outcome.value
            pause = self._settings.timing.members_poll
            await trio.sleep(pause * random.uniform(0.8, 1.2))

    def list_addresses(self) -> list[str]:
        """Return all peer addresses that may belong to a live instance."""
        addresses = set(self._settings.peers) | {self.address}
        for member in self.listed:
            if member.kind is MemberKind.INSTANCE and not member.leaving:
                addresses.add(member.address)
        addresses.update(fact.origin for fact in self.list_live())
        return sorted(addresses)

    async def _maintain_links(self, nursery: trio.Nursery) -> None:
        while True:
            addresses = self.list_addresses()
            wanted = set(choose_links(self.address, addresses, LINK_COUNT))
            for address in self._links.keys() - wanted:
                self._links.pop(address).cancel()
            for address in wanted - self._links.keys():
                scope = trio.CancelScope()
                self._links[address] = scope
                nursery.start_soon(self._run_link, address, scope)
            for origin in self.table.expire(trio.current_time(), addresses):
                logger.notice("member_forgotten", extra={"member": origin})
            self._metrics.members.set({}, self.count_instances())
            await trio.sleep(self._settings.timing.gossip)

    async def _run_link(self, address: str, scope: trio.CancelScope) -> None:
        pause = self._settings.timing.gossip
        with scope:
            while True:
                started_at = trio.current_time()
                try:
                    await self._gossip_with(address)
                except LINK_FAILURES:
                    # The link is opened again after a pause and resends all facts.
                    pass
                if trio.current_time() - started_at > MAX_PAUSE_SECONDS:
                    pause = self._settings.timing.gossip
                await trio.sleep(pause * random.uniform(0.5, 1.0))
                pause = min(MAX_PAUSE_SECONDS, pause * 2)

    async def _gossip_with(self, address: str) -> None:
        limits = self._settings.limits
        with trio.fail_after(self._settings.timing.connect_timeout):
            stream = await connect_peer(
                address, self._settings.peer_secret, limits.max_frame_bytes
            )
        try:
            while True:
                await self._exchange(address, stream)
                with trio.move_on_after(self._settings.timing.gossip):
                    await self._wake.wait()
        finally:
            # The last facts may not have arrived, whichever side closed the connection.
            self.table.remove_link(address)
            await stream.aclose()

    async def _exchange(self, address: str, stream: PeerStream) -> None:
        before = stream.sent_bytes
        with trio.fail_after(MAX_PAUSE_SECONDS):
            await stream.send(self.collect_facts(address))
            answer = await stream.receive()
        self._metrics.peer_bytes.add({}, stream.sent_bytes - before)
        if isinstance(answer, Facts):
            self.take_facts(answer)

    def collect_facts(self, link: str) -> Facts:
        """Return the facts that have not been sent on ``link`` yet."""
        facts = self.table.collect_updates(link)
        return Facts(self.address, [list(fact) for fact in facts])

    def take_facts(self, message: Facts) -> None:
        """Add a peer's facts to the table and ignore malformed ones."""
        facts = [fact for item in message.facts if (fact := parse_fact(item))]
        self.table.mark_known(message.sender, facts)
        for fact in facts:
            if fact.origin == self.address:
                continue
            if self.table.put(fact, trio.current_time()):
                for listener in self._on_facts:
                    listener(fact)


def parse_fact(item: Any) -> Fact | None:
    """Return the fact that a peer sent, ``None`` if it is malformed."""
    if not isinstance(item, list) or len(item) != len(Fact._fields):
        return None
    origin, epoch, sequence, body = item
    has_valid_numbers = isinstance(epoch, int) and isinstance(sequence, int)
    if (
        not has_valid_numbers
        or not isinstance(origin, str)
        or not isinstance(body, dict)
    ):
        return None
    return Fact(origin, epoch, sequence, body)
