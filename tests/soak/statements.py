"""Servers of the soak that name limits, ask for backoffs and leave; what must hold."""

from __future__ import annotations

import random
import signal
from collections import defaultdict
from typing import TYPE_CHECKING, NamedTuple

import trio

from tests.directives import (
    BACKOFF_SLACK,
    LEAVING_SECONDS,
    LIMIT_SETTLED_SECONDS,
    LIMIT_SHARE,
    LIMIT_SLACK,
    LIMIT_WINDOW_SECONDS,
    REACTION_SECONDS,
    Directive,
)

if TYPE_CHECKING:
    from tests.soak.servers import Server, Told
    from tests.soak.world import World

BETWEEN_SECONDS = (0.1, 0.8)
LIMITS = (0.0, 0.5, 1.5, 6.0)
LIMITED_SECONDS = (3.5, 7.0)
BACKOFFS = (0.3, 1.0, 2.5)
REJECTING_SECONDS = (0.5, 2.5)
# From a server's first word that it leaves until its entry goes.
LISTED_SECONDS = (1.0, 4.0)
MAX_LEAVING_STARTS = 3
# What may keep an instance from a word, or arrivals from their time, acts for so long;
# what an instance was told before a restart or freeze does not bind it.
EXCUSED_SECONDS = 1.5
ENDS = (signal.SIGKILL, signal.SIGTERM, signal.SIGSTOP, signal.SIGCONT)


class Phase(NamedTuple):
    """A time in which a server named one limit."""

    server: str
    rate: float
    begin: float
    end: float


class Statements:
    """Lets servers say something of themselves, several at a time."""

    def __init__(self, world: World, rng: random.Random):
        self._world = world
        self._rng = rng
        self._left = 0

    async def run(self) -> None:
        """Play statements until cancelled."""
        kinds = [self._name_limit, self._name_limit, self._ask_for_backoff, self._leave]
        async with trio.open_nursery() as nursery:
            while True:
                await trio.sleep(self._rng.uniform(*BETWEEN_SECONDS))
                servers = self._world.servers.values()
                silent = [server for server in servers if not server.is_speaking]
                if len(silent) > 1:
                    server = self._rng.choice(silent)
                    server.is_speaking = True
                    nursery.start_soon(self._rng.choice(kinds), server)

    async def _name_limit(self, server: Server) -> None:
        rate = self._rng.choice(LIMITS)
        begin = trio.current_time()
        server.statement = Directive(limit=rate)
        try:
            await trio.sleep(self._rng.uniform(*LIMITED_SECONDS))
        finally:
            server.fall_silent()
            end = trio.current_time()
            phase = Phase(server.server_id, rate, begin, end)
            self._world.ledger.phases.append(phase)

    async def _ask_for_backoff(self, server: Server) -> None:
        server.statement = Directive(503, backoff=self._rng.choice(BACKOFFS))
        try:
            await trio.sleep(self._rng.uniform(*REJECTING_SECONDS))
        finally:
            server.fall_silent()

    async def _leave(self, server: Server) -> None:
        """Leave for good; another server takes its place at once."""
        if self._left >= MAX_LEAVING_STARTS:
            server.fall_silent()
            return
        self._left += 1
        server.statement = Directive(is_leaving=True)
        await self._world.add_server()
        await trio.sleep(self._rng.uniform(*LISTED_SECONDS))
        self._world.remove_entry(server.server_id)


def find_overruns(world: World) -> list[str]:
    """Return a line on each word of a server that was not kept."""
    overruns = _Overruns(world)
    return [
        *overruns.list_after_leaving(),
        *overruns.list_in_backoffs(),
        *overruns.list_over_limits(),
    ]


class _Overruns:
    """What reached servers, by the instance that sent it."""

    def __init__(self, world: World):
        self._world = world
        self._seen = {seen.request_id: seen for seen in world.seen}
        self._reached: dict[tuple[str, str], list[float]] = defaultdict(list)
        for at, server, request_id in world.ledger.reached:
            seen = self._seen.get(request_id)
            if seen is not None:
                self._reached[server, seen.way.instance].append(at)

    def _find_told(self, word: Told) -> str | None:
        """Return the instance that has read a word, as its client got an answer."""
        seen = self._seen.get(word.request_id)
        return seen.way.instance if seen is not None and seen.is_whole else None

    def _is_excused(self, server: str, name: str, since: float, until: float) -> bool:
        instance = self._world.find_instance(name)
        if instance is None:
            return True
        if any(s.number in ENDS and since <= s.at <= until for s in instance.signals):
            return True
        proxy = self._world.server_proxies[server]
        return proxy.was_harmed(since - EXCUSED_SECONDS, until)

    def list_after_leaving(self) -> list[str]:
        broken = []
        for word in self._world.ledger.told:
            name = self._find_told(word) if word.statement.is_leaving else None
            if name is None:
                continue
            for at in self._reached[word.server, name]:
                is_late = at > word.at + LEAVING_SECONDS
                if is_late and not self._is_excused(word.server, name, word.at, at):
                    late = at - word.at
                    broken.append(
                        f"{name} sent to {word.server} {late:.2f} s after it left"
                    )
        return broken

    def list_in_backoffs(self) -> list[str]:
        broken = []
        for word in self._world.ledger.told:
            backoff = word.statement.backoff
            name = self._find_told(word) if backoff is not None else None
            if backoff is None or name is None:
                continue
            end = word.at + backoff
            sent = [
                at
                for at in self._reached[word.server, name]
                if word.at + REACTION_SECONDS <= at < end
            ]
            excused = self._is_excused(word.server, name, word.at, end)
            if len(sent) > BACKOFF_SLACK and not excused:
                broken.append(
                    f"{name} sent {len(sent)} to {word.server} in its backoff"
                )
        return broken

    def list_over_limits(self) -> list[str]:
        broken = []
        for phase in self._world.ledger.phases:
            most = self._count_fullest(phase)
            bound = LIMIT_SHARE * phase.rate * LIMIT_WINDOW_SECONDS + LIMIT_SLACK
            if most > bound:
                broken.append(f"{phase.server} got {most} in 4 s, named {phase.rate}")
        return broken

    def _count_fullest(self, phase: Phase) -> int:
        told: dict[str, float] = {}
        named_at = phase.end
        for word in self._world.ledger.told:
            if word.server != phase.server or not phase.begin <= word.at <= phase.end:
                continue
            named_at = min(named_at, word.at)
            name = self._find_told(word)
            if name is not None:
                told.setdefault(name, word.at)
        counted = sorted(
            at
            for name, told_at in told.items()
            for at in self._reached[phase.server, name]
            if told_at + REACTION_SECONDS <= at <= phase.end
            and not self._is_excused(phase.server, name, told_at, at)
        )
        ends = [at for at in counted if at >= named_at + LIMIT_SETTLED_SECONDS]
        return max(
            (
                sum(1 for at in counted if end - LIMIT_WINDOW_SECONDS <= at <= end)
                for end in ends
            ),
            default=0,
        )
